//! No request is refused because the steward of a pool's only server, the router that counts its
//! slots, stops or is killed.

use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml};

/// Enough to cover the change of the steward and the time after it.
const CHATS: usize = 40;

async fn chat(url: &str) -> ReceivedAnswer {
    let body = Bytes::from_static(
        b"{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":1,\
          \"messages\":[{\"role\":\"user\",\"content\":\"how warm is the mill\"}]}",
    );
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        chat: Some(String::from("mill")),
        ..RequestOptions::default()
    };
    let answer = CallerClient::new().chat(url, body, &options, |_| {}).await;
    answer.expect("the router answers")
}

async fn start(entry_ttl_ms: u64) -> Fleet {
    let fleet = Fleet::start(FleetSettings {
        routers: 4,
        engines: 1,
        entry_ttl_ms,
        ..FleetSettings::default()
    })
    .await;
    fleet.apply_contract(&contract_toml(100_000), 0).await;
    fleet
}

/// The index of the steward of the engine, and the URL of another router that already gets slots
/// from it.
async fn steward_and_entry(fleet: &Fleet) -> (usize, String) {
    let engine = &fleet.servers[0].vm.name;
    let status = fleet
        .operator(0)
        .status()
        .await
        .expect("the router answers");
    let mut servers = status.servers.iter();
    let line = servers.find(|line| line.name == *engine);
    let name = &line.expect("the router knows the engine").steward;
    let mut routers = fleet.routers.iter();
    let steward = routers.position(|router| router.vm.name == *name);
    let steward = steward.expect("the steward is one of the routers");
    let url = fleet.caller_url((steward + 1) % fleet.routers.len());
    while chat(&url).await.outcome != "complete" {}
    (steward, url)
}

async fn expect_complete_chats(url: &str, chats: usize) {
    for number in 0..chats {
        let answer = chat(url).await;
        assert_eq!(answer.outcome, "complete", "chat {number}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_is_refused_when_a_steward_is_killed() {
    let mut fleet = start(1_000).await;
    let (steward, url) = steward_and_entry(&fleet).await;
    let mut killed = fleet.routers.remove(steward);
    killed.process.kill().await;
    expect_complete_chats(&url, CHATS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_is_refused_when_a_steward_stops_as_planned() {
    let mut fleet = start(1_000).await;
    let (steward, url) = steward_and_entry(&fleet).await;
    let mut leaving = fleet.routers.remove(steward);
    leaving.process.signal("TERM").await;
    expect_complete_chats(&url, CHATS).await;
    assert_eq!(leaving.process.wait().await, Some(0));
    expect_complete_chats(&url, CHATS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routers_that_all_leave_at_once_continue_to_grant_slots() {
    let fleet = start(20_000).await;
    let (_, url) = steward_and_entry(&fleet).await;
    for router in &fleet.routers {
        router.process.signal("TERM").await;
    }
    for _ in 0..CHATS {
        expect_complete_chats(&url, 1).await;
        // The pauses add up to more than the time for which a consent to a steward is valid.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
