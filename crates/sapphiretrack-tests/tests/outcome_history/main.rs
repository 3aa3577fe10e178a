//! A concurrent run under faults, and a check of what ran against what callers were told.

mod faults;
mod requests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use faults::make_trouble;
use requests::{Shared, Told, work};
use sapphiretrack_core::PoolKind;
use sapphiretrack_fakes::RunCount;
use sapphiretrack_tests::{Fleet, FleetSettings, contract_toml, get_text};

const SEED: u64 = 6;
const REQUESTS: usize = 1_200;
const WORKERS: usize = 16;
const ANSWER_TOKENS: u32 = 8;
/// A guard against a hang, not a measure.
const TIME_LIMIT: Duration = Duration::from_secs(240);

fn contract() -> String {
    let rule = "[[non_idempotent]]\npool = \"dispatch\"\n";
    let text = contract_toml(100_000) + "\n" + rule;
    text.replace("[\"assistant\",", "[\"dispatch\", \"assistant\",")
        .replace("deadline_ms = 20000", "deadline_ms = 6000")
}

async fn runs_of(address: SocketAddr) -> Vec<RunCount> {
    let text = get_text(&format!("http://{address}/fake/runs")).await;
    serde_json::from_str(&text).expect("run counts")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_runs_twice_and_no_refusal_lies_under_concurrent_faults() {
    let mut fleet = Fleet::start(FleetSettings {
        services: 2,
        router_flags: vec![String::from("--platform-timeout-ms=400")],
        // No caller may be so slow between its choice of a router and its request.
        entry_ttl_ms: 5_000,
        ..FleetSettings::default()
    })
    .await;
    fleet
        .add_server("engine", "dispatch", PoolKind::Engine, 2)
        .await;
    fleet.publish().await;
    fleet.wait_settled().await;
    fleet.apply_contract(&contract(), 0).await;
    let shared = Arc::new(Shared {
        urls: Mutex::new((0..3).map(|router| fleet.caller_url(router)).collect()),
        killed: Mutex::default(),
        next: AtomicUsize::new(0),
        done: AtomicBool::new(false),
        records: Mutex::default(),
    });
    let workers: Vec<_> = (0..WORKERS as u64)
        .map(|worker| tokio::spawn(work(shared.clone(), SEED * 1_000 + worker)))
        .collect();
    let finished = shared.clone();
    let callers = tokio::spawn(async move {
        for worker in workers {
            worker.await.expect("a worker ends well");
        }
        finished.done.store(true, Ordering::Relaxed);
    });
    let troubled = make_trouble(&mut fleet, &shared);
    assert!(
        tokio::time::timeout(TIME_LIMIT, troubled).await.is_ok(),
        "the run hangs"
    );
    callers.await.expect("the callers end well");

    // The streams and late calls of callers that are gone may still be under way: they can only
    // add runs, so wait until nothing is left of them.
    fleet
        .wait_status("all requests ended", |status| status.in_flight == 0)
        .await;
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for member in &fleet.servers {
        for count in runs_of(member.vm.address).await {
            *runs.entry(count.order).or_default() += count.runs;
        }
    }
    let records = shared.records.lock().expect("no panic").clone();
    assert_eq!(records.len(), REQUESTS);
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    for record in &records {
        for one in &record.tries {
            let name = match one {
                Told::Answer(answer) => {
                    let code = answer.error.as_ref().map_or("", |body| &body.error.code);
                    format!("{:?} {} {code}", record.kind, answer.outcome)
                }
                Told::NotReached => format!("{:?} not reached", record.kind),
                Told::Broken(_) => format!("{:?} broken", record.kind),
            };
            *told.entry(name).or_default() += 1;
        }
    }
    println!("{told:#?}");
    let killed = shared.killed.lock().expect("no panic").clone();
    let flaws: Vec<String> = records
        .iter()
        .flat_map(|record| {
            let flaws = record.check(&runs, &killed);
            flaws.into_iter().map(move |flaw| {
                format!(
                    "{:?} {}: {flaw}: {:?}",
                    record.kind, record.order, record.tries
                )
            })
        })
        .collect();
    assert!(
        flaws.is_empty(),
        "{} flaws:\n{}",
        flaws.len(),
        flaws.join("\n")
    );
    let complete = told.iter().filter(|(name, _)| name.contains("complete"));
    assert!(complete.map(|(_, count)| count).sum::<usize>() > REQUESTS / 2);
}
