//! The subcommand `cell`: resource usage of routers, detection times and gaps without grants, as
//! JSON lines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use pico_args::Arguments;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::VmRole;
use serde_json::json;

use crate::cell::detection::{
    RouterExit, measure_flapping_router, measure_grant_gap, measure_leaving_engine,
    measure_router_exit, measure_silent_engine,
};
use crate::cell::routers::{CALLER_KEY, Cell};
use crate::cell::usage::{SocketBytes, SocketKey, process_usage, socket_bytes};

/// Engines of the cell in `costs` and `detection`, as many as the larger customer has.
const ENGINES: usize = 12;

/// Runs `cell costs`, `cell detection` or `cell gap`; an error says what failed.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    let what = arguments.subcommand().map_err(|error| error.to_string())?;
    let mut number = |flag: &'static str, default: u64| {
        let value = arguments.opt_value_from_str(flag);
        value
            .map(|value| value.unwrap_or(default))
            .map_err(|error| error.to_string())
    };
    let routers = number("--routers", 9)? as usize;
    let seconds = number("--seconds", 20)?;
    let chats_per_s = number("--chats-per-s", 0)?;
    let trials = number("--trials", 10)? as usize;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    match what.as_deref() {
        Some("costs") => runtime.block_on(costs(routers, seconds, chats_per_s)),
        Some("detection") => runtime.block_on(detection(routers, trials)),
        Some("gap") => runtime.block_on(gap(routers, trials)),
        _ => Err(String::from(
            "cell: expected one of costs, detection or gap",
        )),
    }
}

async fn costs(routers: usize, seconds: u64, chats_per_s: u64) -> Result<(), String> {
    let cell = Cell::start(routers, ENGINES).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_chats(caller_urls(&cell), chats_per_s, stop.clone()));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = take_sample(&cell)?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = take_sample(&cell)?;
    stop.store(true, Ordering::Relaxed);
    let chats = load.await.map_err(|error| error.to_string())?;
    let per_router = |total: f64| total / (routers as f64 * seconds as f64);
    let mut line = json!({
        "measure": "cell-costs",
        "routers": routers,
        "engines": ENGINES,
        "seconds": seconds,
        "chats_answered": chats,
        "cpu_percent_of_a_core": 100.0 * per_router(after.cpu_s - before.cpu_s),
        "resident_mb": after.resident_bytes as f64 / routers as f64 / f64::from(1 << 20),
    });
    for (kind, bytes) in traffic_by_kind(&cell, &before.sockets, &after.sockets) {
        line[format!("{kind}_sent_bytes_per_s")] = json!(per_router(bytes.sent as f64));
        line[format!("{kind}_received_bytes_per_s")] = json!(per_router(bytes.received as f64));
    }
    println!("{line}");
    Ok(())
}

/// The accumulated usage of all routers of a cell, and the byte counts of all sockets.
struct Sample {
    cpu_s: f64,
    resident_bytes: u64,
    sockets: BTreeMap<SocketKey, SocketBytes>,
}

fn take_sample(cell: &Cell) -> Result<Sample, String> {
    let mut sample = Sample {
        cpu_s: 0.0,
        resident_bytes: 0,
        sockets: socket_bytes()?,
    };
    for router in &cell.routers {
        let usage = process_usage(router.id())?;
        sample.cpu_s += usage.cpu_s;
        sample.resident_bytes += usage.resident_bytes;
    }
    Ok(sample)
}

/// The payload bytes of the routers between two samples, by kind of connection: `peer`, `platform`
/// or `engine`.
///
/// Without load, the connections to engines carry probes only; under load they carry chats too.
fn traffic_by_kind(
    cell: &Cell,
    before: &BTreeMap<SocketKey, SocketBytes>,
    after: &BTreeMap<SocketKey, SocketBytes>,
) -> BTreeMap<&'static str, SocketBytes> {
    let ids: Vec<u32> = cell.routers.iter().map(|router| router.id()).collect();
    let peer_ports: Vec<u16> = cell
        .routers
        .iter()
        .filter_map(|router| match router.vm.role {
            VmRole::Router { peer_address, .. } => Some(peer_address.port()),
            VmRole::Server { .. } => None,
        })
        .collect();
    let engine_ports: Vec<u16> = cell.engines.iter().map(|e| e.address().port()).collect();
    let mut kinds: BTreeMap<&'static str, SocketBytes> = BTreeMap::new();
    for (key, now) in after.iter().filter(|(key, _)| ids.contains(&key.0)) {
        let kind = if peer_ports.contains(&key.1) || peer_ports.contains(&key.2) {
            "peer"
        } else if key.2 == cell.platform.address().port() {
            "platform"
        } else if engine_ports.contains(&key.2) {
            "engine"
        } else {
            continue;
        };
        let then = before.get(key).copied().unwrap_or_default();
        let total = kinds.entry(kind).or_default();
        total.sent += now.sent.saturating_sub(then.sent);
        total.received += now.received.saturating_sub(then.received);
    }
    kinds
}

/// Sends chats at a constant rate to the routers in turn until `stop` is set.
///
/// Returns the number of chats that are complete by then, without waiting for running ones.
async fn send_chats(urls: Vec<String>, chats_per_s: u64, stop: Arc<AtomicBool>) -> u64 {
    let answered = Arc::new(std::sync::atomic::AtomicU64::new(0));
    if chats_per_s == 0 {
        return 0;
    }
    let client = CallerClient::new();
    let mut interval = tokio::time::interval(Duration::from_micros(1_000_000 / chats_per_s));
    let mut sequence = 0_usize;
    while !stop.load(Ordering::Relaxed) {
        interval.tick().await;
        sequence += 1;
        let (client, url, answered) = (
            client.clone(),
            urls[sequence % urls.len()].clone(),
            answered.clone(),
        );
        tokio::spawn(async move {
            let options = RequestOptions {
                key: CALLER_KEY.to_owned(),
                workspace: Some(format!("workspace-{}", sequence % 10)),
                chat: Some(format!("chat-{}", sequence % 500)),
                ..RequestOptions::default()
            };
            let body = Bytes::from_static(
                b"{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":16,\
                  \"messages\":[{\"role\":\"user\",\"content\":\"how long\"}]}",
            );
            let answer = client.chat(&url, body, &options, |_| {}).await;
            if answer.is_ok_and(|answer| answer.outcome == "complete") {
                answered.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    answered.load(Ordering::Relaxed)
}

fn caller_urls(cell: &Cell) -> Vec<String> {
    let routers = cell.routers.iter();
    routers
        .map(|router| format!("http://{}", router.vm.address))
        .collect()
}

async fn detection(routers: usize, trials: usize) -> Result<(), String> {
    let mut cell = Cell::start(routers, ENGINES).await?;
    for exit in [RouterExit::Killed, RouterExit::Frozen, RouterExit::Leaving] {
        let mut times = Vec::new();
        for _ in 0..trials {
            times.extend(measure_router_exit(&mut cell, exit).await?);
        }
        print_quantiles(&format!("router {exit:?}"), routers, times);
    }
    let mut flapping = Vec::new();
    for _ in 0..trials {
        flapping.extend(measure_flapping_router(&mut cell).await?);
    }
    print_quantiles("router flapping, each death", routers, flapping);
    let mut silent = Vec::new();
    for trial in 0..trials.min(ENGINES / 2) {
        silent.extend(measure_silent_engine(&cell, trial).await?);
    }
    print_quantiles("engine silent", routers, silent);
    let mut leaving = Vec::new();
    for trial in 0..trials.min(ENGINES / 2) {
        leaving.extend(measure_leaving_engine(&cell, ENGINES / 2 + trial).await?);
    }
    print_quantiles("engine leaving by its report", routers, leaving);
    Ok(())
}

async fn gap(routers: usize, trials: usize) -> Result<(), String> {
    for planned in [false, true] {
        let mut cell = Cell::start(routers, 1).await?;
        let mut times = Vec::new();
        let mut refused: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..trials {
            let gap = measure_grant_gap(&mut cell, planned).await?;
            times.push(gap.without_grants_ms);
            for (code, count) in gap.refused {
                *refused.entry(code).or_default() += count;
            }
        }
        let what = if planned {
            "without grants, steward stopped as planned"
        } else {
            "without grants, steward killed"
        };
        print_quantiles(what, routers, times);
        let line = json!({ "measure": what, "refused_in_all_trials": refused });
        println!("{line}");
    }
    Ok(())
}

fn print_quantiles(what: &str, routers: usize, mut times_ms: Vec<f64>) {
    times_ms.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (share * times_ms.len() as f64).ceil() as usize;
        times_ms.get(index.saturating_sub(1)).copied()
    };
    let line = json!({
        "measure": what,
        "routers": routers,
        "samples": times_ms.len(),
        "p50_ms": at(0.5),
        "p99_ms": at(0.99),
        "max_ms": times_ms.last(),
    });
    println!("{line}");
}
