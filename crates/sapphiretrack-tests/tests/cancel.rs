//! A caller that leaves takes its attempt with it.

use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::LoadReport;
use sapphiretrack_fakes::EngineFaults;
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml, get_json};
use tokio::sync::mpsc;

/// Below the time after which the router itself gives a silent stream up: 10 s at this deadline.
const HANG_GUARD: Duration = Duration::from_secs(8);
const DEADLINE: &str = "deadline_ms = 80000";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_stops_when_the_caller_leaves() {
    let fleet = Fleet::start(FleetSettings {
        routers: 1,
        engines: 1,
        services: 0,
        ..FleetSettings::default()
    })
    .await;
    let contract = contract_toml(1_000).replace("deadline_ms = 20000", DEADLINE);
    fleet.apply_contract(&contract, 0).await;
    // The stream stands still after its first token: nothing that comes tells the router that
    // its caller has left.
    let still = EngineFaults {
        stalled_streams: 1,
        cut_after_tokens: 1,
        stall_ms: 600_000,
        ..EngineFaults::default()
    };
    fleet.set_faults(fleet.servers[0].vm.address, &still).await;
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
    let (client, (seen, mut first_token)) = (CallerClient::new(), mpsc::unbounded_channel());
    {
        let chat = client.chat(&url, Bytes::from(body.to_string()), &options, |_| {
            seen.send(()).expect("the test listens");
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
    let stopped = tokio::time::timeout(HANG_GUARD, async {
        while get_json::<LoadReport>(&engine).await.running > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(stopped.await.is_ok(), "the engine still runs the request");
}
