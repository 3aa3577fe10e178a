//! Limits over router processes: a surge in which one dies and one stands still; a full pool.

use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::{RouterId, ServerId, UNSURE_SHARE, hash_parts, sha256_hex, steward_of};
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml};
use tokio::task::JoinHandle;

const ROUTERS: usize = 9;
const RATE_PER_S: f64 = 30.0;
const BURST: f64 = 2.0 * RATE_PER_S;
/// Five times the contract's rate.
const GAP: Duration = Duration::from_micros(6_667);
const A_SECOND: usize = 150;

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// Complete, or begun on a router that died.
    Ran,
    /// Refused, final, not run.
    Refused,
}

async fn chat(url: String, key: &'static str, max_tokens: u32) -> Fate {
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
        Ok(answer) if answer.outcome == "not-run" => Fate::Refused,
        _ => Fate::Ran,
    }
}

/// Sends requests to the routers in turn, at five times the rate.
async fn send(fleet: &Fleet, routers: &[usize], count: usize) -> Vec<JoinHandle<Fate>> {
    let mut requests = Vec::with_capacity(count);
    for number in 0..count {
        let url = fleet.caller_url(routers[number % routers.len()]);
        requests.push(tokio::spawn(chat(url, CALLER_KEY, 2)));
        tokio::time::sleep(GAP).await;
    }
    requests
}

async fn count_ran(requests: Vec<JoinHandle<Fate>>) -> usize {
    let mut ran = 0;
    for request in requests {
        ran += usize::from(request.await.expect("the request ends") == Fate::Ran);
    }
    ran
}

/// All routers but the one that keeps the customer's budget.
fn limiters(fleet: &Fleet) -> Vec<usize> {
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
async fn nine_routers_stay_within_the_contract_though_one_dies_and_one_stands_still() {
    let settings = FleetSettings {
        routers: ROUTERS,
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(settings).await;
    fleet
        .apply_contract(&contract_toml(RATE_PER_S as u32), 0)
        .await;
    let mut limiters = limiters(&fleet);
    let started = Instant::now();
    let mut requests = send(&fleet, &limiters, 2 * A_SECOND).await;
    let dead = limiters.pop().expect("there are eight");
    fleet.routers[dead].process.kill().await;
    requests.extend(send(&fleet, &limiters, A_SECOND).await);
    let still = limiters.pop().expect("there are seven");
    fleet.routers[still].process.signal("STOP").await;
    requests.extend(send(&fleet, &limiters, 2 * A_SECOND).await);
    fleet.routers[still].process.signal("CONT").await;
    limiters.push(still);
    requests.extend(send(&fleet, &limiters, A_SECOND).await);
    let exact = BURST + RATE_PER_S * started.elapsed().as_secs_f64();
    let offered = requests.len();
    let ran = count_ran(requests).await as f64;
    println!("{offered} offered, {ran} ran, {exact:.1} by one counter");
    assert!(ran <= exact, "{ran} of {exact}");
    assert!(ran >= BURST * UNSURE_SHARE, "{ran}: nobody got in");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn in_a_full_pool_a_loud_customer_leaves_a_quiet_one_most_of_what_it_asks() {
    const OTHER_KEY: &str = "key-of-another-customer";
    // Twenty-four requests of a second at a time.
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
    let mut many = Vec::new();
    let mut few = Vec::new();
    for number in 0..300 {
        let url = fleet.caller_url(number % 3);
        many.push(tokio::spawn(chat(url.clone(), CALLER_KEY, 10)));
        if number % 4 == 3 {
            few.push(tokio::spawn(chat(url, OTHER_KEY, 10)));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (many, few) = (count_ran(many).await, count_ran(few).await);
    println!("{many} of 300 and {few} of 75 ran");
    // It asks for half of the room. By chance alone it would have half of that.
    assert!(few * 10 >= 75 * 7, "{few} against {many}");
}
