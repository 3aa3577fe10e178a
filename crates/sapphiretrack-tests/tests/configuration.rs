//! Contracts on a fleet of processes: changes come into force on all routers, no router returns to
//! an older version, and limits hold across routers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_fakes::PlatformFaults;
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrack_tests::{
    CALLER_KEY, ChildProcess, Fleet, FleetSettings, OPERATOR_KEY, contract_toml, post_json,
};

async fn chat(url: &str) -> ReceivedAnswer {
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
    let answer = CallerClient::new().chat(url, body, &options, |_| {}).await;
    answer.expect("the router answers")
}

fn down() -> PlatformFaults {
    PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }
}

async fn command_platform(fleet: &Fleet, command: &str) {
    let url = format!("http://{}/fake/{command}", fleet.platform_address);
    post_json(&url, &()).await;
}

/// Records every version that a router reports, until `stop` is set.
fn record_versions(
    operator: OperatorClient,
    stop: Arc<AtomicBool>,
) -> tokio::task::JoinHandle<Vec<u64>> {
    tokio::spawn(async move {
        let mut versions = Vec::new();
        loop {
            // Polls once more after the stop was requested.
            let is_last_poll = stop.load(Ordering::Acquire);
            // A starting router reports version 0; it refuses all work until it has a version.
            if let Ok(status) = operator.status().await
                && status.config_version > 0
                && versions.last() != Some(&status.config_version)
            {
                versions.push(status.config_version);
            }
            if is_last_poll {
                return versions;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_router_returns_to_an_older_version_after_a_platform_restore_and_a_restart() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = (0..3)
        .map(|router| record_versions(fleet.operator(router), stop.clone()))
        .collect();
    let first = fleet.apply_contract(&contract_toml(1_000), 0).await;
    command_platform(&fleet, "save").await;
    let second = fleet.apply_contract(&contract_toml(2_000), first).await;
    let third = fleet.apply_contract(&contract_toml(3_000), second).await;

    command_platform(&fleet, "restore").await;
    fleet.restart_router(1).await;
    // The routers write back what the platform lost, under a version above all that they had.
    fleet
        .wait_status("the configuration written back", |status| {
            status.config_version > third
        })
        .await;
    let shown = fleet
        .operator(0)
        .show("teranga")
        .await
        .expect("the router knows the contract");
    assert_eq!(shown.version, third);
    assert!(shown.contract_toml.contains("requests_per_s = 3000"));
    let last = fleet.apply_contract(&contract_toml(4_000), third).await;

    stop.store(true, Ordering::Release);
    for watcher in watchers {
        let versions = watcher.await.expect("the watcher does not panic");
        assert!(versions.is_sorted(), "a router went back: {versions:?}");
        assert_eq!(versions.last(), Some(&last), "{versions:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_comes_into_force_everywhere_even_if_the_platform_fails_after_accepting_it() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    let first = fleet.apply_contract(&contract_toml(1_000), 0).await;
    let request = ApplyContract {
        change_id: String::from("just-in-time"),
        operator: String::from("amina"),
        seen_version: first,
        contract_toml: contract_toml(2_000),
    };
    let reply = fleet
        .operator(2)
        .apply(&request)
        .await
        .expect("the router answers");
    fleet.set_faults(fleet.platform_address, &down()).await;
    let ChangeReply::Accepted { version } = reply else {
        panic!("not accepted: {reply:?}");
    };
    fleet
        .wait_status("in force while the platform is down", |status| {
            status.config_version == version
        })
        .await;
    // A router that starts now can get the configuration only from its peers.
    fleet.restart_router(0).await;
    fleet
        .wait_status("in force on the restarted router", |status| {
            status.config_version == version
        })
        .await;
    let change = fleet.operator(0).outcome_of("just-in-time").await;
    let change = change.expect("the router answers");
    assert!(matches!(change, ChangeReply::Unknown { .. }), "{change:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_router_that_missed_changes_does_not_spread_an_older_version() {
    // Long enough that the running router is heard in time, even on a busy machine.
    let settings = FleetSettings {
        router_flags: vec![
            String::from("--dead-after-ms=8000"),
            String::from("--isolated-after-ms=60000"),
        ],
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(settings).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = (0..3)
        .map(|router| record_versions(fleet.operator(router), stop.clone()))
        .collect();
    let mut version = fleet.apply_contract(&contract_toml(1_000), 0).await;
    fleet.routers[2].process.signal("STOP").await;
    for number in 0..3 {
        let request = ApplyContract {
            change_id: format!("while-one-sleeps-{number}"),
            operator: String::from("amina"),
            seen_version: version,
            contract_toml: contract_toml(2_000 + number),
        };
        let reply = fleet.operator(0).apply(&request).await;
        let Ok(ChangeReply::Accepted { version: made }) = reply else {
            panic!("not accepted: {reply:?}");
        };
        version = made;
    }
    fleet.set_faults(fleet.platform_address, &down()).await;
    // The restarted router first sees the outdated view of the router that was paused.
    fleet.routers[1].process.signal("STOP").await;
    fleet.routers[2].process.signal("CONT").await;
    fleet.restart_router(0).await;
    while fleet
        .operator(0)
        .status()
        .await
        .is_ok_and(|status| status.routers.len() < 2)
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Enough time for a faulty router to adopt that view.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.routers[1].process.signal("CONT").await;
    fleet
        .wait_status("the newest version everywhere", |status| {
            status.config_version == version
        })
        .await;
    stop.store(true, Ordering::Release);
    for (router, watcher) in watchers.into_iter().enumerate() {
        let versions = watcher.await.expect("the watcher does not panic");
        assert!(versions.is_sorted(), "{router}: {versions:?}");
        assert_eq!(versions.last(), Some(&version), "{router}: {versions:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_without_platform_and_peers_refuses_new_work_as_not_run() {
    let settings = FleetSettings {
        routers: 2,
        router_flags: vec![
            String::from("--heartbeat-ms=200"),
            String::from("--dead-after-ms=900"),
            String::from("--isolated-after-ms=1000"),
        ],
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(settings).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let url = fleet.caller_url(0);
    assert_eq!(chat(&url).await.outcome, "complete");
    fleet.routers[1].process.kill().await;
    fleet.set_faults(fleet.platform_address, &down()).await;
    fleet.routers[0].process.wait_line("event=\"212\"").await;
    let refused = chat(&url).await;
    assert_eq!(
        (refused.status, refused.outcome.as_str()),
        (503, "not-run"),
        "{refused:?}"
    );
    // After a restart it has no contracts, so it cannot tell whether the access key is valid.
    fleet.restart_router(0).await;
    let refused = chat(&url).await;
    assert_eq!(
        (refused.status, refused.outcome.as_str()),
        (503, "not-run"),
        "{refused:?}"
    );
    let up = PlatformFaults::default();
    fleet.set_faults(fleet.platform_address, &up).await;
    fleet.restart_router(1).await;
    fleet.wait_converged().await;
    fleet
        .wait_status("the contracts in force again", |status| {
            status.config_version == 1
        })
        .await;
    assert_eq!(chat(&url).await.outcome, "complete");
}

/// Runs the operators' command-line tool; returns its exit code and its output.
async fn run_tool(fleet: &Fleet, router: usize, arguments: &[&str]) -> (Option<i32>, String) {
    let mut all: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    all.push(format!("--router={}", fleet.operator_url(router)));
    all.push(format!("--operator-key={OPERATOR_KEY}"));
    let mut process = ChildProcess::start("sapphiretrack", &all);
    let code = process.wait().await;
    (code, process.wait_lines().await.join("\n"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_conflicting_changes_one_is_accepted_and_the_other_operator_is_told_why() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let file = std::env::temp_dir().join(format!("sapphiretrack-race-{}.toml", std::process::id()));
    let path = file.display().to_string();
    let write = |rate| std::fs::write(&file, contract_toml(rate)).expect("the file is written");
    write(1_000);
    let apply = ["contract", "apply", &path, "--new", "--operator=amina"];
    let (code, text) = run_tool(&fleet, 0, &[&apply[..], &["--wait"]].concat()).await;
    assert_eq!(code, Some(0), "{text}");
    for router in 0..3 {
        assert!(
            text.contains(&format!("in force on router-{router}")),
            "{text}"
        );
    }
    write(2_000);
    let second = ["contract", "apply", &path, "--seen=1", "--operator=amina"];
    let (code, text) = run_tool(&fleet, 1, &second).await;
    assert_eq!(code, Some(0), "{text}");
    write(3_000);
    let third = ["contract", "apply", &path, "--seen=1", "--operator=jorge"];
    let (code, text) = run_tool(&fleet, 2, &third).await;
    assert_eq!(code, Some(1), "{text}");
    for part in [
        "amina",
        "version 2",
        "limits.requests_per_s: 1000.0 -> 2000.0",
    ] {
        assert!(text.contains(part), "no {part:?} in {text}");
    }
    let (code, text) = run_tool(&fleet, 2, &["contract", "show", "teranga", "--version=1"]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("requests_per_s = 1000"), "{text}");
    let (code, text) = run_tool(&fleet, 2, &["contract", "history"]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("amina") && !text.contains("jorge"), "{text}");
    std::fs::remove_file(&file).expect("the file is removed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn three_routers_together_admit_no_more_than_the_contract_allows() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let started = Instant::now();
    fleet.apply_contract(&contract_toml(4), 0).await;
    let mut requests = Vec::new();
    // For 3 s, so that three routers that each admitted the whole limit would exceed it by far.
    for number in 0..180 {
        let url = fleet.caller_url(number % 3);
        requests.push(tokio::spawn(async move { chat(&url).await }));
        if number % 3 == 2 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let mut complete = 0;
    for request in requests {
        let answer = request.await.expect("the request does not panic");
        if answer.outcome == "complete" {
            complete += 1;
            continue;
        }
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        assert!(matches!(answer.status, 429 | 503), "{answer:?}");
    }
    // A burst of two seconds' worth, and four requests per second since.
    let allowed = 8.0 + 4.0 * started.elapsed().as_secs_f64();
    assert!(complete >= 1, "no request was admitted");
    assert!(
        f64::from(complete) <= allowed,
        "{complete} admitted, {allowed} allowed"
    );
}
