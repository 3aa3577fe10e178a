//! Limits of a customer while the router process that keeps its budget is paused.

use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_core::{
    EMERGENCY_SHARE, HELD_SHARE, NEW_STEWARD_SHARE, RouterId, ServerId, hash_parts, steward_of,
};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml};

const CUSTOMER: &str = "teranga";

async fn chat(url: String) -> ReceivedAnswer {
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        workspace: Some(String::from("tempering")),
        ..RequestOptions::default()
    };
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": "tempering check" }],
    });
    let body = Bytes::from(body.to_string());
    let answer = CallerClient::new().chat(&url, body, &options, |_| {}).await;
    answer.expect("the router answers")
}

/// The router that keeps the customer's budget.
fn budget_keeper(fleet: &Fleet) -> usize {
    let routers = fleet.routers.iter();
    let ids: Vec<RouterId> = routers
        .map(|router| RouterId::from_name(&router.vm.name))
        .collect();
    let key = ServerId(hash_parts(&[b"budget", CUSTOMER.as_bytes()]));
    let keeper = steward_of(key, &ids).expect("there are routers");
    let index = ids.iter().position(|id| *id == keeper);
    index.expect("the keeper is one of the routers")
}

/// Sends requests to the routers in turn; returns how many were complete.
async fn send(fleet: &Fleet, routers: &[usize], count: usize, gap: Duration) -> usize {
    let mut requests = Vec::new();
    for number in 0..count {
        let url = fleet.caller_url(routers[number % routers.len()]);
        requests.push(tokio::spawn(chat(url)));
        tokio::time::sleep(gap).await;
    }
    let mut complete = 0;
    for request in requests {
        let answer = request.await.expect("the request does not panic");
        complete += usize::from(answer.outcome == "complete");
        let refused = answer.outcome == "not-run" && matches!(answer.status, 429 | 503);
        assert!(answer.outcome == "complete" || refused, "{answer:?}");
    }
    complete
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_continue_while_the_router_that_keeps_the_budget_is_paused() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(100), 0).await;
    let keeper = budget_keeper(&fleet);
    let others: Vec<usize> = (0..3).filter(|router| *router != keeper).collect();
    let gap = Duration::from_millis(100);
    assert_eq!(send(&fleet, &others, 10, gap).await, 10);
    fleet.routers[keeper].process.signal("STOP").await;
    let complete = send(&fleet, &others, 20, gap).await;
    fleet.routers[keeper].process.signal("CONT").await;
    assert_eq!(complete, 20, "some requests were refused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_surge_during_a_pause_stays_within_the_contract_and_the_emergency_share() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let started = Instant::now();
    fleet.apply_contract(&contract_toml(10), 0).await;
    let keeper = budget_keeper(&fleet);
    let others: Vec<usize> = (0..3).filter(|router| *router != keeper).collect();
    let gap = Duration::from_millis(20);
    let before = send(&fleet, &others, 50, gap).await;
    fleet.routers[keeper].process.signal("STOP").await;
    let pause = Instant::now();
    let paused = send(&fleet, &others, 100, gap).await;
    let emergency = EMERGENCY_SHARE * (20.0 + 10.0 * pause.elapsed().as_secs_f64());
    fleet.routers[keeper].process.signal("CONT").await;
    let after = send(&fleet, &others, 100, gap).await;
    // A burst of two seconds' worth, a quarter more for the pause, and the rate since.
    let allowed = 20.0 * (1.0 + EMERGENCY_SHARE) + 10.0 * started.elapsed().as_secs_f64();
    println!(
        "complete: {before} before the pause, {paused} of {emergency:.1} during it, \
         {after} after it; {allowed:.1} allowed in all"
    );
    assert!(
        paused > 2,
        "no more than the routers already held: {paused}"
    );
    assert!(paused as f64 <= emergency + 20.0 * HELD_SHARE, "{paused}");
    assert!((before + paused + after) as f64 <= allowed);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_budget_keeper_that_was_paused_grants_no_second_burst() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(10), 0).await;
    let keeper = budget_keeper(&fleet);
    let others: Vec<usize> = (0..3).filter(|router| *router != keeper).collect();
    let gap = Duration::from_millis(20);
    send(&fleet, &others, 10, gap).await;
    fleet.routers[keeper].process.signal("STOP").await;
    // Long enough that another router keeps the budget and its token bucket is full.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let started = Instant::now();
    let before = send(&fleet, &others, 25, gap).await;
    fleet.routers[keeper].process.signal("CONT").await;
    let after = send(&fleet, &others, 75, gap).await;
    // A burst of two seconds' worth, an eighth more for each of two changes of the keeper, and the
    // rate since.
    let allowed = 20.0 * (1.0 + 2.0 * NEW_STEWARD_SHARE) + 10.0 * started.elapsed().as_secs_f64();
    println!(
        "complete: {before} before the end of the pause, {after} after it; \
         {allowed:.1} allowed in all"
    );
    assert!((before + after) as f64 <= allowed, "{before}, {after}");
}
