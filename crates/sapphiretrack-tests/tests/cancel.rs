//! A caller that disconnects cancels its request on the engine.

use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::LoadReport;
use sapphiretrack_fakes::EngineFaults;
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml, get_json};
use tokio::sync::mpsc;

/// Less than the 10 s after which the router itself abandons a silent stream at this deadline.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(8);
const DEADLINE_SETTING: &str = "deadline_ms = 80000";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_stops_a_request_when_the_caller_disconnects() {
    let fleet = Fleet::start(FleetSettings {
        routers: 1,
        engines: 1,
        services: 0,
        ..FleetSettings::default()
    })
    .await;
    let contract = contract_toml(1_000).replace("deadline_ms = 20000", DEADLINE_SETTING);
    fleet.apply_contract(&contract, 0).await;
    // The stream stalls after its first token, so that the router does not notice the disconnect
    // by failing to forward the next one.
    let stall = EngineFaults {
        stalled_streams: 1,
        cut_after_tokens: 1,
        stall_ms: 600_000,
        ..EngineFaults::default()
    };
    fleet.set_faults(fleet.servers[0].vm.address, &stall).await;
    let url = fleet.caller_url(0);
    let engine = format!("http://{}/load", fleet.servers[0].vm.address);
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "messages": [{ "role": "user", "content": "the whole catalogue, please" }],
    });
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        ..RequestOptions::default()
    };
    let (client, (token_sender, mut first_token)) =
        (CallerClient::new(), mpsc::unbounded_channel());
    {
        let chat = client.chat(&url, Bytes::from(body.to_string()), &options, |_| {
            token_sender.send(()).expect("the test receives tokens");
        });
        let mut chat = std::pin::pin!(chat);
        tokio::select! {
            ended = &mut chat => panic!("the answer ended: {ended:?}"),
            token = first_token.recv() => assert!(token.is_some()),
        }
        tokio::select! {
            ended = &mut chat => panic!("the answer ended: {ended:?}"),
            load = get_json::<LoadReport>(&engine) => assert_eq!(load.running, 1),
        }
    }
    drop(client);
    let stopped = tokio::time::timeout(CANCEL_TIMEOUT, async {
        while get_json::<LoadReport>(&engine).await.running > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(stopped.await.is_ok(), "the engine still runs the request");
}
