//! Leases in the table and orders to engines: lost replies, concurrent and paused holders.

use std::time::Duration;

use sapphiretrack_core::{FencingCheck, LeaseRow, RouterId};
use sapphiretrack_fakes::{FakePlatform, PlatformFaults, PlatformSettings, ReceivedOrder};
use sapphiretrack_operator::wire::{SetFencing, SetGoal};
use sapphiretrack_platform::{
    LeaseStore, LeaseWriteResult, PlatformClient, PlatformError, Settings, StoredLease,
};
use sapphiretrack_tests::{ChildProcess, Fleet, FleetSettings, OPERATOR_KEY, get_json};

/// How long an order may take to arrive; generous, as it only guards against a hang.
const ORDER_TIMEOUT: Duration = Duration::from_secs(90);

fn row(holder: u64, fencing: u64, write_id: u64) -> LeaseRow {
    LeaseRow {
        holder: RouterId(holder),
        incarnation: 1,
        fencing,
        renewal: 0,
        released: false,
        write_id,
    }
}

async fn platform() -> (FakePlatform, LeaseStore) {
    let platform = FakePlatform::start(PlatformSettings::default())
        .await
        .expect("the fake platform starts");
    let client = PlatformClient::new(Settings {
        url: platform.url(),
        timeout_ms: 2_000,
    });
    (platform, LeaseStore::new(client, "orders"))
}

fn lose(replies: u32, requests: u32) -> PlatformFaults {
    PlatformFaults {
        lose_replies: replies,
        lose_requests: requests,
        ..PlatformFaults::default()
    }
}

#[tokio::test]
async fn a_reply_lost_after_a_lease_write_is_resolved_by_reading_back() {
    let (platform, store) = platform().await;
    let before = store.read().await.expect("the row is read");
    assert_eq!(before, StoredLease::default());
    platform.set_faults(lose(1, 0));
    let written = store
        .write(&before, &row(1, 1, 10))
        .await
        .expect("the outcome is known");
    assert_eq!(written, LeaseWriteResult::Written);
    // A write that never arrived gets no lease, although it could still be on its way.
    let seen = store.read().await.expect("the row is read");
    platform.set_faults(lose(0, 1));
    let lost = store.write(&seen, &row(2, 2, 11)).await;
    assert!(
        matches!(lost, Err(PlatformError::ReplyLost { .. })),
        "{lost:?}"
    );
    assert_eq!(store.read().await.expect("the row is read"), seen);
}

#[tokio::test]
async fn one_of_two_concurrent_writers_gets_the_lease_even_if_a_reply_is_lost() {
    let (platform, store) = platform().await;
    for round in 1..=20 {
        let seen = store.read().await.expect("the row is read");
        platform.set_faults(lose(u32::from(round % 2 == 0), 0));
        let (one, two) = (row(1, round, round * 2), row(2, round, round * 2 + 1));
        let (first, second) = tokio::join!(store.write(&seen, &one), store.write(&seen, &two));
        let results = [
            first.expect("the outcome is known"),
            second.expect("the outcome is known"),
        ];
        let ours = results
            .iter()
            .filter(|result| **result == LeaseWriteResult::Written);
        assert_eq!(ours.count(), 1, "round {round}: {results:?}");
        let winner = if results[0] == LeaseWriteResult::Written {
            one
        } else {
            two
        };
        assert_eq!(
            store.read().await.expect("the row is read").row,
            Some(winner)
        );
    }
}

fn goal(fleet: &Fleet, version: &str) -> SetGoal {
    SetGoal {
        server: fleet.servers[0].vm.name.clone(),
        model: None,
        version: Some(version.to_owned()),
        adapters: None,
        role: None,
        stopped: false,
    }
}

async fn orders(fleet: &Fleet) -> Vec<ReceivedOrder> {
    get_json(&format!(
        "http://{}/fake/orders",
        fleet.servers[0].vm.address
    ))
    .await
}

async fn set_version(fleet: &Fleet, router: usize, version: &str) {
    let reply = fleet.operator(router).set_goal(&goal(fleet, version)).await;
    assert_eq!(reply.expect("the router answers").problem, None);
}

/// Waits until the engine has accepted an order for a version; returns its fencing number.
async fn wait_ordered(fleet: &Fleet, version: &str) -> u64 {
    let waited = tokio::time::timeout(ORDER_TIMEOUT, async {
        loop {
            let all = orders(fleet).await;
            let found = all.iter().find(|arrived| {
                arrived.taken && arrived.order.goal.version.as_deref() == Some(version)
            });
            if let Some(found) = found {
                return found.order.fencing;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    waited
        .await
        .unwrap_or_else(|_| panic!("version {version} was not ordered"))
}

/// Pauses the lease holder past the end of its lease and resumes it while its successor sends
/// orders; returns the orders that arrived at the engine.
async fn pause_lease_holder(check: FencingCheck) -> Vec<ReceivedOrder> {
    let mut settings = FleetSettings::default();
    if check == FencingCheck::Ignores {
        settings.engine_flags.push(String::from("--ignore-fencing"));
    }
    let fleet = Fleet::start(settings).await;
    let fencing = SetFencing {
        pool: String::from("assistant"),
        checks: check == FencingCheck::Checks,
    };
    let reply = fleet.operator(0).set_fencing(&fencing).await;
    assert_eq!(reply.expect("the router answers").problem, None);
    set_version(&fleet, 0, "2").await;
    let first = wait_ordered(&fleet, "2").await;
    let taken = format!("event=\"410\" fencing=\"{first}\"");
    let holder = (0..3).find(|router| {
        let lines = fleet.routers[*router].process.lines();
        lines.iter().any(|line| line.contains(&taken))
    });
    let holder = holder.expect("the lease holder has logged its fencing number");
    let other = (holder + 1) % 3;
    fleet.routers[holder].process.signal("STOP").await;
    set_version(&fleet, other, "3").await;
    let second = wait_ordered(&fleet, "3").await;
    assert!(second > first, "{first} then {second}");
    fleet.routers[holder].process.signal("CONT").await;
    fleet.routers[holder]
        .process
        .wait_line("event=\"220\"")
        .await;
    set_version(&fleet, other, "4").await;
    wait_ordered(&fleet, "4").await;
    orders(&fleet).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_checking_engine_accepts_no_outdated_order_of_a_holder_paused_past_its_lease() {
    let history = pause_lease_holder(FencingCheck::Checks).await;
    let numbers: Vec<u64> = history
        .iter()
        .filter(|arrived| arrived.taken)
        .map(|arrived| arrived.order.fencing)
        .collect();
    assert!(numbers.is_sorted(), "{history:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_ignores_fencing_ends_at_the_last_goal_after_a_holder_was_paused() {
    let history = pause_lease_holder(FencingCheck::Ignores).await;
    let last = history.last().expect("orders arrived");
    assert_eq!(last.order.goal.version.as_deref(), Some("4"), "{history:?}");
    let highest = history.iter().map(|arrived| arrived.order.fencing).max();
    assert_eq!(Some(last.order.fencing), highest, "{history:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_server_is_ordered_to_stop_once_it_is_empty() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let mut tool = ChildProcess::start(
        "sapphiretrack",
        &[
            String::from("server"),
            String::from("drain"),
            fleet.servers[0].vm.name.clone(),
            String::from("--wait"),
            String::from("--stop"),
            format!("--router={}", fleet.operator_url(1)),
            format!("--operator-key={OPERATOR_KEY}"),
        ],
    );
    assert_eq!(tool.wait().await, Some(0), "{:?}", tool.lines());
    let stopped = tokio::time::timeout(ORDER_TIMEOUT, async {
        while !orders(&fleet)
            .await
            .iter()
            .any(|arrived| arrived.order.goal.stopped)
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert!(stopped.await.is_ok(), "no order to stop arrived");
    let status = fleet
        .operator(2)
        .status()
        .await
        .expect("the router answers");
    let name = &fleet.servers[0].vm.name;
    let line = status.servers.iter().find(|server| server.name == *name);
    assert!(
        line.is_some_and(|line| line.state == "leaving"),
        "{status:?}"
    );
}
