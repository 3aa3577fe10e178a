//! What routers know of warm chats survives a router that goes: planned, killed or restarted.

use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReadAnswer, RequestOptions};
use sapphiretrack_core::{RouterId, ServerId};
use sapphiretrack_platform::{PlatformClient, Settings, WarmPart, WarmStore};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml};

/// Chats of a test; without knowledge some are sent where they are cold.
const CHATS: usize = 12;
const PARTS: [(WarmPart, &str); 2] = [(WarmPart::Base, "base"), (WarmPart::Recent, "recent")];

/// Sends a chat, and expects a whole answer.
async fn chat(url: &str, name: &str, warm: Option<String>) -> ReadAnswer {
    let answer = ask(url, name, warm).await;
    assert_eq!(answer.outcome, "complete", "{answer:?}");
    answer
}

/// Sends a chat.
async fn ask(url: &str, name: &str, warm: Option<String>) -> ReadAnswer {
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": 2,
        "messages": [{ "role": "user", "content": "which lots are still to be tempered ".repeat(100) }],
    });
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        workspace: Some(String::from("tempering")),
        chat: Some(name.to_owned()),
        warm,
        ..RequestOptions::default()
    };
    let answer = CallerClient::new()
        .chat(url, Bytes::from(body.to_string()), &options, |_| {})
        .await;
    answer.expect("the router answers")
}

/// The value that names an engine of the fleet.
fn named(fleet: &Fleet, engine: usize) -> String {
    let id = ServerId::from_name(&fleet.servers[engine].vm.name);
    format!("{:016x}.{:016x}.384", id.0, engine + 1)
}

/// Serves each chat on an engine that its caller names, so that many are away from their home.
async fn warm_chats(fleet: &Fleet, router: usize) {
    for number in 0..CHATS {
        let warm = named(fleet, number % 2);
        let name = format!("chat-{number}");
        chat(&fleet.caller_url(router), &name, Some(warm)).await;
    }
}

/// Waits until a router places on both engines: after a loss their slots are counted anew, and
/// until then chats are refused as not run.
async fn wait_both_engines(fleet: &Fleet, router: usize) {
    for engine in 0..2 {
        let warm = named(fleet, engine);
        let waited = tokio::time::timeout(Duration::from_secs(30), async {
            for number in 0.. {
                let name = format!("other-{engine}-{number}");
                let url = fleet.caller_url(router);
                let served = ask(&url, &name, Some(warm.clone())).await.warm;
                if served.is_some_and(|served| served[..16] == warm[..16]) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        assert!(waited.await.is_ok(), "nothing is placed on engine {engine}");
    }
}

/// The chats that return without a value and find nothing of their prefix.
async fn cold_chats(fleet: &Fleet, router: usize) -> Vec<usize> {
    wait_both_engines(fleet, router).await;
    let mut cold = Vec::new();
    for number in 0..CHATS {
        let name = format!("chat-{number}");
        let answer = chat(&fleet.caller_url(router), &name, None).await;
        if answer.cached_tokens == 0 {
            cold.push(number);
        }
    }
    cold
}

async fn start(routers: usize, snapshot_ms: u64) -> Fleet {
    let fleet = Fleet::start(FleetSettings {
        routers,
        services: 0,
        router_flags: vec![format!("--memory-snapshot-ms={snapshot_ms}")],
        ..FleetSettings::default()
    })
    .await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    fleet
}

fn platform(fleet: &Fleet) -> PlatformClient {
    PlatformClient::new(Settings {
        url: format!("http://{}", fleet.platform_address),
        ..Settings::default()
    })
}

/// Waits until the snapshot of `router-0` holds all chats and both parts are there.
async fn wait_written(fleet: &Fleet) {
    let store = WarmStore::new(platform(fleet));
    let router = RouterId::from_name("router-0");
    let waited = tokio::time::timeout(Duration::from_secs(30), async {
        loop {
            let base = store.read(router, WarmPart::Base).await;
            let recent = store.read(router, WarmPart::Recent).await;
            if let (Ok(base), Ok(recent)) = (base, recent)
                && base.list.chats.len().max(recent.list.chats.len()) == CHATS
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert!(waited.await.is_ok(), "the snapshot is not written");
}

/// Waits for both lines of an event about the snapshot of `router-0`.
async fn wait_event(fleet: &Fleet, router: usize, number: u16) {
    for (_, part) in PARTS {
        let text = format!("event=\"{number}\" router=\"router-0\" part=\"{part}\"");
        fleet.routers[router].process.wait_line(&text).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chats_of_a_router_that_stops_as_planned_find_their_prefix_warm_at_the_next() {
    let mut fleet = start(3, 0).await;
    warm_chats(&fleet, 0).await;
    fleet.routers[0].process.signal("TERM").await;
    assert_eq!(fleet.routers[0].process.wait().await, Some(0));
    let lines = fleet.routers[0].process.wait_lines().await.join("\n");
    let cold = cold_chats(&fleet, 1).await;
    assert!(cold.is_empty(), "cold: {cold:?}; the stop:\n{lines}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_that_stands_still_holds_up_no_planned_stop() {
    let mut fleet = start(3, 0).await;
    warm_chats(&fleet, 0).await;
    fleet.routers[2].process.signal("STOP").await;
    fleet.routers[0].process.signal("TERM").await;
    // A guard against a hang, not a measure.
    let guard = Duration::from_secs(30);
    let stopped = tokio::time::timeout(guard, fleet.routers[0].process.wait()).await;
    fleet.routers[2].process.signal("CONT").await;
    assert_eq!(stopped.ok().flatten(), Some(0));
    let cold = cold_chats(&fleet, 1).await;
    assert!(cold.is_empty(), "cold: {cold:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chats_of_a_killed_router_find_their_prefix_warm_at_its_peers() {
    let mut fleet = start(3, 300).await;
    warm_chats(&fleet, 0).await;
    wait_written(&fleet).await;
    fleet.routers[0].process.kill().await;
    wait_event(&fleet, 1, 521).await;
    let cold = cold_chats(&fleet, 1).await;
    assert!(cold.is_empty(), "cold: {cold:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_is_killed_and_restarted_knows_its_warm_chats_again() {
    let mut fleet = start(1, 300).await;
    warm_chats(&fleet, 0).await;
    wait_written(&fleet).await;
    fleet.restart_router(0).await;
    wait_event(&fleet, 0, 521).await;
    fleet.wait_settled().await;
    let cold = cold_chats(&fleet, 0).await;
    assert!(cold.is_empty(), "cold: {cold:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_snapshot_is_logged_and_costs_no_answer() {
    let mut fleet = start(1, 300).await;
    warm_chats(&fleet, 0).await;
    wait_written(&fleet).await;
    fleet.routers[0].process.kill().await;
    let platform = platform(&fleet);
    for (_, part) in PARTS {
        let name = format!(
            "placement-memory-{:016x}-{part}",
            RouterId::from_name("router-0").0
        );
        let object = platform.get_object(&name).await.expect("a reply");
        let mut damaged = object.expect("it is there").to_vec();
        let last = damaged.len() - 1;
        damaged[last] ^= 1;
        let put = platform.put_object(&name, Bytes::from(damaged)).await;
        put.expect("it is stored");
    }
    fleet.restart_router(0).await;
    wait_event(&fleet, 0, 523).await;
    fleet.wait_settled().await;
    // Every chat is answered; what was known is not.
    assert!(!cold_chats(&fleet, 0).await.is_empty());
}
