//! Measures the duration of a placement decision for several pool sizes.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use hdrhistogram::Histogram;
use sapphiretrack_core::{
    ChatKey, LoadReport, PlacementRequest, PlacementSettings, PoolKind, PoolView, RouterId,
    ServerId, ServerView, VmState, WarmHint, WorkspaceKey, hash_parts, rank_servers,
};

/// Numbers of servers to measure: a current site, a cell, and a whole fleet in one pool.
pub const DECISION_SERVERS: [usize; 3] = [12, 40, 1_800];
/// Measured decisions per pool size.
const DECISIONS_PER_SIZE: u64 = 20_000;
/// Upper limit of the histogram; longer decisions are recorded as this value.
const MAX_DECISION_NS: u64 = 1_000_000_000;

/// Prints the median and 99th percentile of the decision time for each pool size.
pub(crate) fn run() -> Result<(), String> {
    for servers in DECISION_SERVERS {
        let pool = decision_pool(servers);
        let times = Histogram::<u64>::new_with_bounds(1, MAX_DECISION_NS, 3);
        let mut times = times.map_err(|error| error.to_string())?;
        for number in 0..DECISIONS_PER_SIZE {
            let started = Instant::now();
            black_box(decide(&pool, number));
            times.saturating_record(started.elapsed().as_nanos() as u64);
        }
        let median_us = times.value_at_quantile(0.5) as f64 / 1e3;
        let p99_us = times.value_at_quantile(0.99) as f64 / 1e3;
        println!("{servers:>5} servers: median {median_us:.2} us, p99 {p99_us:.2} us");
    }
    Ok(())
}

/// Returns a pool with the given number of engines, each with some load.
pub fn decision_pool(servers: usize) -> PoolView {
    let view = |index: usize| ServerView {
        id: ServerId::from_name(&format!("server-{index}")),
        name: String::new(),
        zone: String::new(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: VmState::Live,
        in_flight: (index % 7) as u32 + 4,
        report: LoadReport {
            incarnation: 1,
            ..LoadReport::default()
        },
        steward: RouterId(1),
        is_joining: false,
        backlog_tokens: (index % 5) as u64 * 100,
    };
    PoolView {
        name: String::from("model"),
        kind: PoolKind::Engine,
        servers: (0..servers).map(view).collect(),
    }
}

/// Ranks the servers for a returning chat and returns the estimated time to first token, in
/// milliseconds, of the best candidate.
pub fn decide(pool: &PoolView, number: u64) -> Option<f64> {
    let chat = hash_parts(&[&number.to_le_bytes()]);
    let warm = [WarmHint {
        server: pool.servers[chat as usize % pool.servers.len()].id,
        incarnation: 1,
        tokens: 1_000,
        age_ms: 10_000,
    }];
    let request = PlacementRequest {
        workspace: WorkspaceKey(number % 500),
        workspace_share: 0.05,
        chat: ChatKey(chat),
        prompt_tokens: 1_200,
        warm: &warm,
        bound_share: 1.0,
        zone: "",
    };
    let ranked = rank_servers(&PlacementSettings::default(), pool, &request);
    ranked.first().map(|candidate| candidate.estimate_ms)
}
