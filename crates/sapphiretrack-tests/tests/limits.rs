//! Limits across router processes: a surge during which one router dies and one is paused, and a
//! full pool.

use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::{
    NEW_STEWARD_SHARE, RouterId, ServerId, hash_parts, sha256_hex, steward_of,
};
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml};
use tokio::task::JoinHandle;

const ROUTERS: usize = 9;
const RATE_PER_S: f64 = 30.0;
const BURST: f64 = 2.0 * RATE_PER_S;
/// Interval between requests at five times the contract's rate.
const REQUEST_INTERVAL: Duration = Duration::from_micros(6_667);
/// Number of requests in a second at this interval.
const REQUESTS_IN_ONE_SECOND: usize = 150;

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestResult {
    /// Complete, or possibly started, as on a router that died.
    Ran,
    /// Refused with the final outcome `not-run`.
    Refused,
}

async fn chat(url: String, key: &'static str, max_tokens: u32) -> RequestResult {
    let options = RequestOptions {
        key: key.to_owned(),
        workspace: Some(String::from("tempering")),
        ..RequestOptions::default()
    };
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "tempering check" }],
    });
    let body = Bytes::from(body.to_string());
    match CallerClient::new().chat(&url, body, &options, |_| {}).await {
        Ok(answer) if answer.outcome == "not-run" => RequestResult::Refused,
        _ => RequestResult::Ran,
    }
}

/// Sends requests to the routers in turn, at five times the contract's rate.
async fn send(fleet: &Fleet, routers: &[usize], count: usize) -> Vec<JoinHandle<RequestResult>> {
    let mut requests = Vec::with_capacity(count);
    for number in 0..count {
        let url = fleet.caller_url(routers[number % routers.len()]);
        requests.push(tokio::spawn(chat(url, CALLER_KEY, 2)));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    requests
}

async fn count_ran(requests: Vec<JoinHandle<RequestResult>>) -> usize {
    let mut ran = 0;
    for request in requests {
        ran +=
            usize::from(request.await.expect("the request does not panic") == RequestResult::Ran);
    }
    ran
}

/// All routers except the one that keeps the customer's budget.
fn routers_without_budget(fleet: &Fleet) -> Vec<usize> {
    let routers = fleet.routers.iter();
    let ids: Vec<RouterId> = routers
        .map(|router| RouterId::from_name(&router.vm.name))
        .collect();
    let key = ServerId(hash_parts(&[b"budget", b"teranga"]));
    let keeper = steward_of(key, &ids).expect("there are routers");
    (0..ROUTERS)
        .filter(|router| ids[*router] != keeper)
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nine_routers_stay_within_the_contract_while_one_dies_and_one_is_paused() {
    let settings = FleetSettings {
        routers: ROUTERS,
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(settings).await;
    fleet
        .apply_contract(&contract_toml(RATE_PER_S as u32), 0)
        .await;
    let mut entry_routers = routers_without_budget(&fleet);
    let started = Instant::now();
    let mut requests = send(&fleet, &entry_routers, 2 * REQUESTS_IN_ONE_SECOND).await;
    let dead = entry_routers.pop().expect("eight routers are left");
    fleet.routers[dead].process.kill().await;
    requests.extend(send(&fleet, &entry_routers, REQUESTS_IN_ONE_SECOND).await);
    let paused = entry_routers.pop().expect("seven routers are left");
    fleet.routers[paused].process.signal("STOP").await;
    requests.extend(send(&fleet, &entry_routers, 2 * REQUESTS_IN_ONE_SECOND).await);
    fleet.routers[paused].process.signal("CONT").await;
    entry_routers.push(paused);
    requests.extend(send(&fleet, &entry_routers, REQUESTS_IN_ONE_SECOND).await);
    let allowed = BURST + RATE_PER_S * started.elapsed().as_secs_f64();
    let offered = requests.len();
    let ran = count_ran(requests).await as f64;
    println!("{offered} offered, {ran} ran, {allowed:.1} allowed by one counter");
    assert!(ran <= allowed, "{ran} ran, {allowed} allowed");
    assert!(
        ran >= BURST * NEW_STEWARD_SHARE,
        "only {ran} requests were admitted"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn in_a_full_pool_a_quiet_customer_gets_most_of_its_requests_despite_a_busy_one() {
    const OTHER_KEY: &str = "key-of-another-customer";
    // 24 requests at a time, of one second each.
    let settings = FleetSettings {
        router_flags: vec![
            String::from("--floor-requests=12"),
            String::from("--ceiling-requests=12"),
        ],
        engine_flags: vec![String::from("--decode-ms=100")],
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).await;
    let contract = contract_toml(1_000);
    let version = fleet.apply_contract(&contract, 0).await;
    let other = contract
        .replace("teranga", "monterrey")
        .replace(&sha256_hex(CALLER_KEY), &sha256_hex(OTHER_KEY));
    let request = ApplyContract {
        change_id: String::from("the-other"),
        operator: String::from("tester"),
        seen_version: 0,
        contract_toml: other,
    };
    let reply = fleet.operator(0).apply(&request).await;
    assert!(
        matches!(reply, Ok(ChangeReply::Accepted { .. })),
        "{reply:?}"
    );
    fleet
        .wait_status("both contracts", |status| status.config_version > version)
        .await;
    let mut busy = Vec::new();
    let mut quiet = Vec::new();
    for number in 0..300 {
        let url = fleet.caller_url(number % 3);
        busy.push(tokio::spawn(chat(url.clone(), CALLER_KEY, 10)));
        if number % 4 == 3 {
            quiet.push(tokio::spawn(chat(url, OTHER_KEY, 10)));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (busy, quiet) = (count_ran(busy).await, count_ran(quiet).await);
    println!("{busy} of 300 and {quiet} of 75 ran");
    // The quiet customer asks for half of the capacity; by chance alone it would get at most half
    // of that.
    assert!(
        quiet * 10 >= 75 * 7,
        "{quiet} of 75 of the quiet customer ran, {busy} of 300 of the busy one"
    );
}
