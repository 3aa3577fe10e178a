//! Routers still know where chats are warm after a router stops as planned, is killed or restarts.

use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_core::{RouterId, ServerId};
use sapphiretrack_platform::{PlatformClient, Settings, WarmPart, WarmStore};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml};

/// Number of chats of a test; enough that without the placement memory some are sent to an engine
/// on which they are cold.
const CHATS: usize = 12;
const SNAPSHOT_PARTS: [(WarmPart, &str); 2] =
    [(WarmPart::Base, "base"), (WarmPart::Recent, "recent")];

/// Sends a chat that must be answered completely.
async fn chat(url: &str, name: &str, warm: Option<String>) -> ReceivedAnswer {
    let answer = try_chat(url, name, warm).await;
    assert_eq!(answer.outcome, "complete", "{answer:?}");
    answer
}

/// Sends a chat.
async fn try_chat(url: &str, name: &str, warm: Option<String>) -> ReceivedAnswer {
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

/// A warm value that names an engine of the fleet.
fn warm_value(fleet: &Fleet, engine: usize) -> String {
    let id = ServerId::from_name(&fleet.servers[engine].vm.name);
    format!("{:016x}.{:016x}.384", id.0, engine + 1)
}

/// Sends each chat with a warm value that names an engine, so that many are served away from their
/// home.
async fn serve_chats_on_named_engines(fleet: &Fleet, router: usize) {
    for number in 0..CHATS {
        let warm = warm_value(fleet, number % 2);
        let name = format!("chat-{number}");
        chat(&fleet.caller_url(router), &name, Some(warm)).await;
    }
}

/// Waits until a router places chats on both engines. After the loss of a router their slots are
/// counted anew, and until then chats are refused as not run.
async fn wait_both_engines(fleet: &Fleet, router: usize) {
    for engine in 0..2 {
        let warm = warm_value(fleet, engine);
        let waited = tokio::time::timeout(Duration::from_secs(30), async {
            for number in 0.. {
                let name = format!("other-{engine}-{number}");
                let url = fleet.caller_url(router);
                let served = try_chat(&url, &name, Some(warm.clone())).await.warm;
                if served.is_some_and(|served| served[..16] == warm[..16]) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        assert!(waited.await.is_ok(), "no chat is placed on engine {engine}");
    }
}

/// Sends the chats again without a warm value; returns those of whose prefix nothing was cached.
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

/// Waits until both parts of the snapshot of `router-0` exist and one of them contains all chats.
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

/// Waits until a router has logged an event for both parts of the snapshot of `router-0`.
async fn wait_event(fleet: &Fleet, router: usize, number: u16) {
    for (_, part) in SNAPSHOT_PARTS {
        let text = format!("event=\"{number}\" router=\"router-0\" part=\"{part}\"");
        fleet.routers[router].process.wait_line(&text).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chats_of_a_router_that_stops_as_planned_are_warm_at_its_peers() {
    let mut fleet = start(3, 0).await;
    serve_chats_on_named_engines(&fleet, 0).await;
    fleet.routers[0].process.signal("TERM").await;
    assert_eq!(fleet.routers[0].process.wait().await, Some(0));
    let lines = fleet.routers[0].process.wait_lines().await.join("\n");
    let cold = cold_chats(&fleet, 1).await;
    assert!(cold.is_empty(), "cold: {cold:?}; the stop:\n{lines}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_peer_does_not_delay_a_planned_stop() {
    let mut fleet = start(3, 0).await;
    serve_chats_on_named_engines(&fleet, 0).await;
    fleet.routers[2].process.signal("STOP").await;
    fleet.routers[0].process.signal("TERM").await;
    // Only guards against a hang.
    let stop_timeout = Duration::from_secs(30);
    let stopped = tokio::time::timeout(stop_timeout, fleet.routers[0].process.wait()).await;
    fleet.routers[2].process.signal("CONT").await;
    assert_eq!(stopped.ok().flatten(), Some(0));
    let cold = cold_chats(&fleet, 1).await;
    assert!(cold.is_empty(), "cold: {cold:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chats_of_a_killed_router_are_warm_at_its_peers() {
    let mut fleet = start(3, 300).await;
    serve_chats_on_named_engines(&fleet, 0).await;
    wait_written(&fleet).await;
    fleet.routers[0].process.kill().await;
    wait_event(&fleet, 1, 521).await;
    let cold = cold_chats(&fleet, 1).await;
    assert!(cold.is_empty(), "cold: {cold:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_router_knows_its_warm_chats_after_a_restart() {
    let mut fleet = start(1, 300).await;
    serve_chats_on_named_engines(&fleet, 0).await;
    wait_written(&fleet).await;
    fleet.restart_router(0).await;
    wait_event(&fleet, 0, 521).await;
    fleet.wait_converged().await;
    let cold = cold_chats(&fleet, 0).await;
    assert!(cold.is_empty(), "cold: {cold:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_snapshot_is_logged_and_all_chats_are_still_answered() {
    let mut fleet = start(1, 300).await;
    serve_chats_on_named_engines(&fleet, 0).await;
    wait_written(&fleet).await;
    fleet.routers[0].process.kill().await;
    let platform = platform(&fleet);
    for (_, part) in SNAPSHOT_PARTS {
        let name = format!(
            "placement-memory-{:016x}-{part}",
            RouterId::from_name("router-0").0
        );
        let object = platform
            .get_object(&name)
            .await
            .expect("the platform answers");
        let mut damaged = object.expect("the object exists").to_vec();
        let last = damaged.len() - 1;
        damaged[last] ^= 1;
        let put = platform.put_object(&name, Bytes::from(damaged)).await;
        put.expect("the object is written");
    }
    fleet.restart_router(0).await;
    wait_event(&fleet, 0, 523).await;
    fleet.wait_converged().await;
    // Every chat is answered, but the router does not know where they are warm any more.
    assert!(!cold_chats(&fleet, 0).await.is_empty());
}
