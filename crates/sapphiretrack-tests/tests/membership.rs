//! Routers and backend servers, as processes, that join, leave, are paused or become unreachable.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_core::{VmRole, VmState};
use sapphiretrack_fakes::{EngineFaults, PlatformFaults};
use sapphiretrack_platform::wire::VmList;
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml, get_json, post_json};
use tokio::task::JoinHandle;

/// Long enough for several reads of the list of VMs and several heartbeats.
const SEVERAL_PERIODS: Duration = Duration::from_secs(4);

fn options(chat: &str) -> RequestOptions {
    RequestOptions {
        key: CALLER_KEY.to_owned(),
        workspace: Some(String::from("tempering")),
        chat: Some(chat.to_owned()),
        ..RequestOptions::default()
    }
}

fn chat_body(tokens: u32) -> Bytes {
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "how long is the dark mass conched" }],
    });
    Bytes::from(body.to_string())
}

async fn chat(url: &str, name: &str) -> ReceivedAnswer {
    let answer = CallerClient::new()
        .chat(url, chat_body(4), &options(name), |_| {})
        .await;
    answer.expect("the router answers")
}

/// Sends a chat until it is answered completely; refusals before that must be reported as not run.
async fn chat_until_complete(url: &str, name: &str) {
    loop {
        let answer = chat(url, name).await;
        if answer.outcome == "complete" {
            return;
        }
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn started_requests(fleet: &Fleet, server: usize) -> u64 {
    let url = format!("http://{}/fake/started", fleet.servers[server].vm.address);
    get_json(&url).await
}

/// Callers that find routers by lookups and send chats until they are told to stop.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicU32>,
    callers: Vec<JoinHandle<LoadCount>>,
}

#[derive(Debug, Default)]
struct LoadCount {
    refused: u32,
    cut: Vec<String>,
}

impl BackgroundLoad {
    fn start(callers: usize, entries: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicU32::new(0));
        let callers = (0..callers).map(|index| {
            let (stop, completed) = (stop.clone(), completed.clone());
            tokio::spawn(run_caller(index, entries.to_vec(), stop, completed))
        });
        Self {
            callers: callers.collect(),
            stop,
            completed,
        }
    }

    /// Waits for some more complete answers, so that requests are in progress at each step.
    async fn wait_more(&self) {
        const MORE_ANSWERS: u32 = 20;
        let enough = self.completed.load(Ordering::Relaxed) + MORE_ANSWERS;
        let waited = tokio::time::timeout(Duration::from_secs(60), async {
            while self.completed.load(Ordering::Relaxed) < enough {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        assert!(
            waited.await.is_ok(),
            "callers do not get {MORE_ANSWERS} more answers"
        );
    }

    async fn end(self) -> LoadCount {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = LoadCount::default();
        for caller in self.callers {
            let count = caller.await.expect("the caller does not panic");
            all.refused += count.refused;
            all.cut.extend(count.cut);
        }
        all
    }
}

async fn run_caller(
    index: usize,
    mut entries: Vec<String>,
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicU32>,
) -> LoadCount {
    let client = CallerClient::new();
    let mut count = LoadCount::default();
    let mut round = index;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let url = entries[round % entries.len()].clone();
        let Ok(entry) = client.entry(&url, None).await else {
            continue;
        };
        if entry.addresses.is_empty() {
            continue;
        }
        entries = entry
            .addresses
            .iter()
            .map(|address| format!("http://{address}"))
            .collect();
        // Looks routers up again after the time to live of the lookup.
        let kept_until = tokio::time::Instant::now() + Duration::from_millis(entry.ttl_ms);
        while tokio::time::Instant::now() < kept_until {
            let name = format!("chat-{index}");
            let answer = client
                .chat(&entries[0], chat_body(20), &options(&name), |_| {})
                .await;
            match answer {
                Ok(answer) if answer.outcome == "complete" => {
                    completed.fetch_add(1, Ordering::Relaxed);
                }
                Ok(answer) if answer.outcome == "not-run" => count.refused += 1,
                Ok(answer) => count.cut.push(format!("{answer:?}")),
                Err(error) => count.cut.push(error.to_string()),
            }
        }
    }
    count
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_empty_list_after_a_platform_restart_removes_no_servers() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let url = format!("http://{}/fake/vms", fleet.platform_address);
    post_json(&url, &VmList::default()).await;
    tokio::time::sleep(SEVERAL_PERIODS).await;
    for router in 0..3 {
        let answer = chat(&fleet.caller_url(router), "kept").await;
        assert_eq!(answer.outcome, "complete", "{answer:?}");
    }
    fleet.publish().await;
    fleet.wait_converged().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_one_request_marks_the_server_as_leaving_on_every_router() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let faults = EngineFaults {
        refuse_as_leaving: true,
        ..EngineFaults::default()
    };
    fleet.set_faults(fleet.servers[0].vm.address, &faults).await;
    // Each chat is sent to one of two engines; those that are refused are answered by the other.
    for number in 0..16 {
        let answer = chat(&fleet.caller_url(0), &format!("chat-{number}")).await;
        assert_eq!(answer.outcome, "complete", "{answer:?}");
    }
    let name = fleet.servers[0].vm.name.clone();
    fleet
        .wait_status("the engine marked as leaving", |status| {
            status
                .servers
                .iter()
                .any(|server| server.name == name && server.state == "leaving")
        })
        .await;
    // The engine stays marked as leaving, although the list and its own reports say it is live.
    fleet
        .set_faults(fleet.servers[0].vm.address, &EngineFaults::default())
        .await;
    fleet.publish().await;
    tokio::time::sleep(SEVERAL_PERIODS).await;
    let before = started_requests(&fleet, 0).await;
    for number in 0..16 {
        let router = number % 3;
        let answer = chat(&fleet.caller_url(router), &format!("later-{number}")).await;
        assert_eq!(answer.outcome, "complete", "{answer:?}");
    }
    assert_eq!(
        started_requests(&fleet, 0).await,
        before,
        "a leaving engine got new work"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_was_paused_notices_it_and_rejoins() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let frozen = &fleet.routers[1];
    frozen.process.signal("STOP").await;
    for router in [0, 2] {
        loop {
            let status = fleet
                .operator(router)
                .status()
                .await
                .expect("the router answers");
            if status
                .routers
                .iter()
                .all(|line| line.name != frozen.vm.name)
            {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        chat_until_complete(&fleet.caller_url(router), "meanwhile").await;
    }
    frozen.process.signal("CONT").await;
    frozen.process.wait_line("event=\"220\"").await;
    fleet.wait_converged().await;
    for router in 0..3 {
        chat_until_complete(&fleet.caller_url(router), "after").await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routers_join_die_and_restart_while_the_platform_is_down() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let faults = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    fleet.set_faults(fleet.platform_address, &faults).await;
    let VmRole::Router { peer_address, .. } = fleet.routers[0].vm.role else {
        panic!("`routers` holds routers only");
    };
    let seeds = [format!("--peer-seeds={peer_address}")];
    let mut dead = fleet.routers.remove(1);
    dead.process.kill().await;
    fleet.add_router_with("router-1", 1, &seeds).await;
    fleet.add_router_with("router-9", 2, &seeds).await;
    fleet.wait_converged().await;
    for router in 0..4 {
        chat_until_complete(&fleet.caller_url(router), "during").await;
    }
    fleet
        .set_faults(fleet.platform_address, &PlatformFaults::default())
        .await;
    fleet.publish().await;
    fleet.wait_converged().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_restart_of_all_routers_under_load_cuts_no_request() {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 3,
        ..FleetSettings::default()
    })
    .await;
    fleet.apply_contract(&contract_toml(10_000), 0).await;
    let entries: Vec<String> = (0..3).map(|router| fleet.caller_url(router)).collect();
    let load = BackgroundLoad::start(4, &entries);
    for index in 0..3 {
        let mut old = fleet.routers.remove(0);
        let name = old.vm.name.clone();
        fleet
            .add_router_with(&format!("{name}-next"), index, &[])
            .await;
        fleet.publish().await;
        fleet.wait_converged_with(1).await;
        load.wait_more().await;
        old.process.signal("TERM").await;
        assert_eq!(old.process.wait().await, Some(0));
        load.wait_more().await;
    }
    let count = load.end().await;
    assert!(count.cut.is_empty(), "{count:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_availability_zone_is_lost_and_restored() {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 3,
        ..FleetSettings::default()
    })
    .await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let zone = fleet.routers[1].vm.zone.clone();
    let mut lost_routers = Vec::new();
    let mut lost_servers = Vec::new();
    for index in (0..fleet.routers.len()).rev() {
        if fleet.routers[index].vm.zone == zone {
            lost_routers.push(fleet.routers.remove(index));
        }
    }
    for index in (0..fleet.servers.len()).rev() {
        if fleet.servers[index].vm.zone == zone {
            lost_servers.push(fleet.servers.remove(index));
        }
    }
    assert!(!lost_routers.is_empty() && !lost_servers.is_empty());
    for member in lost_routers.iter_mut().chain(&mut lost_servers) {
        member.process.kill().await;
    }
    let (routers, live) = (fleet.routers.len(), fleet.servers.len());
    // The platform's list still shows all VMs of the zone as live.
    fleet
        .wait_status("the loss noticed by every router", |status| {
            let open = status
                .servers
                .iter()
                .filter(|server| server.state == "live")
                .count();
            status.routers.len() == routers && open == live
        })
        .await;
    for router in 0..routers {
        chat_until_complete(&fleet.caller_url(router), "without the zone").await;
    }
    fleet.add_router("router-1", 1).await;
    fleet
        .add_server(
            "engine",
            "assistant",
            sapphiretrack_core::PoolKind::Engine,
            1,
        )
        .await;
    assert!(
        fleet
            .routers
            .iter()
            .all(|member| member.vm.state == VmState::Live)
    );
    fleet.publish().await;
    fleet.wait_converged().await;
    for router in 0..fleet.routers.len() {
        chat_until_complete(&fleet.caller_url(router), "with the zone").await;
    }
}
