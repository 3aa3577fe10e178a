//! Runs concurrent requests under faults and compares what ran with the outcomes that callers got.

mod faults;
mod requests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use faults::inject_faults;
use requests::{Shared, TryResult, run_worker};
use sapphiretrack_core::PoolKind;
use sapphiretrack_fakes::RunCount;
use sapphiretrack_tests::{Fleet, FleetSettings, contract_toml, get_text};

const SEED: u64 = 6;
const REQUESTS: usize = 1_200;
const WORKERS: usize = 16;
const ANSWER_TOKENS: u32 = 8;
/// Only guards against a hang.
const RUN_TIMEOUT: Duration = Duration::from_secs(240);

fn contract() -> String {
    let rule = "[[non_idempotent]]\npool = \"dispatch\"\n";
    let text = contract_toml(100_000) + "\n" + rule;
    text.replace("[\"assistant\",", "[\"dispatch\", \"assistant\",")
        .replace("deadline_ms = 20000", "deadline_ms = 6000")
}

async fn read_runs(address: SocketAddr) -> Vec<RunCount> {
    let text = get_text(&format!("http://{address}/fake/runs")).await;
    serde_json::from_str(&text).expect("the counts are JSON")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_order_runs_twice_and_no_refused_request_runs_under_concurrent_faults() {
    let mut fleet = Fleet::start(FleetSettings {
        services: 2,
        router_flags: vec![String::from("--platform-timeout-ms=400")],
        // Longer than any caller takes between the choice of a router and its request.
        entry_ttl_ms: 5_000,
        ..FleetSettings::default()
    })
    .await;
    fleet
        .add_server("engine", "dispatch", PoolKind::Engine, 2)
        .await;
    fleet.publish().await;
    fleet.wait_converged().await;
    fleet.apply_contract(&contract(), 0).await;
    let shared = Arc::new(Shared {
        urls: Mutex::new((0..3).map(|router| fleet.caller_url(router)).collect()),
        killed: Mutex::default(),
        next: AtomicUsize::new(0),
        done: AtomicBool::new(false),
        records: Mutex::default(),
    });
    let workers: Vec<_> = (0..WORKERS as u64)
        .map(|worker| tokio::spawn(run_worker(shared.clone(), SEED * 1_000 + worker)))
        .collect();
    let finished = shared.clone();
    let callers = tokio::spawn(async move {
        for worker in workers {
            worker.await.expect("the worker does not panic");
        }
        finished.done.store(true, Ordering::Relaxed);
    });
    let fault_injection = inject_faults(&mut fleet, &shared);
    assert!(
        tokio::time::timeout(RUN_TIMEOUT, fault_injection)
            .await
            .is_ok(),
        "the run hangs"
    );
    callers.await.expect("the callers do not panic");

    // Streams and late calls of callers that have left may still be running. They can only add
    // runs, so the runs are counted after they have all ended.
    fleet
        .wait_status("all requests ended", |status| status.in_flight == 0)
        .await;
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for member in &fleet.servers {
        for count in read_runs(member.vm.address).await {
            *runs.entry(count.order).or_default() += count.runs;
        }
    }
    let records = shared.records.lock().expect("no thread panicked").clone();
    assert_eq!(records.len(), REQUESTS);
    let mut results: BTreeMap<String, usize> = BTreeMap::new();
    for record in &records {
        for result in &record.tries {
            let name = match result {
                TryResult::Answer(answer) => {
                    let code = answer.error.as_ref().map_or("", |body| &body.error.code);
                    format!("{:?} {} {code}", record.kind, answer.outcome)
                }
                TryResult::Unreachable => format!("{:?} unreachable", record.kind),
                TryResult::Broken(_) => format!("{:?} broken", record.kind),
            };
            *results.entry(name).or_default() += 1;
        }
    }
    println!("{results:#?}");
    let killed = shared.killed.lock().expect("no thread panicked").clone();
    let violations: Vec<String> = records
        .iter()
        .flat_map(|record| {
            let violations = record.check(&runs, &killed);
            violations.into_iter().map(move |violation| {
                format!(
                    "{:?} {}: {violation}: {:?}",
                    record.kind, record.order, record.tries
                )
            })
        })
        .collect();
    assert!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations.join("\n")
    );
    let complete = results.iter().filter(|(name, _)| name.contains("complete"));
    assert!(complete.map(|(_, count)| count).sum::<usize>() > REQUESTS / 2);
}
