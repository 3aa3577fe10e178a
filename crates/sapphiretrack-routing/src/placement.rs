//! Which backend server gets a request: the one with the least estimated cost in time.

use sapphiretrack_core::rendezvous_score;

use crate::{Incarnation, PromptPart};

/// What a request costs at a server, in milliseconds of its caller's time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementCosts {
    /// Prompt tokens that an engine reads in a millisecond, by the deployment's sheet.
    pub prefill_tokens_per_ms: f64,
    /// What one more running request costs all others on an engine, over their whole answers:
    /// 0.0445 ms a step for each of about 50 steps.
    pub engine_request_ms: f64,
    /// What one running request costs at a plain service: about its service time, divided by
    /// the slots that share it.
    pub plain_request_ms: f64,
    /// Added for another availability zone: both ways, and the price of the bytes.
    pub other_zone_ms: f64,
    /// Added for a failure share of 1.
    pub failure_ms: f64,
    /// Added for a server that cannot be reached or does not move.
    pub suspect_ms: f64,
    /// Taken off for the home of a prompt's last shared part: where nobody is known to hold the
    /// part, all routers choose the same server, and it is read once.
    pub home_ms: f64,
    /// How far above the mean of its service a server may be loaded, as a factor and a fixed
    /// number of requests: a little less than callers tolerate, since counts are late.
    pub bound_factor: f64,
    /// See `bound_factor`.
    pub bound_requests: f64,
}

impl Default for PlacementCosts {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            engine_request_ms: 3.0,
            plain_request_ms: 8.0,
            other_zone_ms: 2.0,
            failure_ms: 500.0,
            suspect_ms: 5_000.0,
            home_ms: 20.0,
            bound_factor: 1.8,
            bound_requests: 2.0,
        }
    }
}

/// A server as placement sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server.
    pub server: Incarnation,
    /// Whether it is in this router's availability zone.
    pub same_zone: bool,
    /// Whether it is the home of the prompt's last shared part.
    pub is_home: bool,
    /// Requests that all routers have there, as far as known.
    pub in_flight: u32,
    /// The most requests that it may hold.
    pub capacity: u32,
    /// Prompt tokens that it has yet to read for others.
    pub prefill_tokens: u64,
    /// Tokens of this prompt that it is believed to hold.
    pub cached_tokens: u32,
    /// The share of failed attempts lately.
    pub failure_share: f64,
    /// Whether it could not be reached or does not move.
    pub suspect: bool,
    /// Whether this request was already sent there.
    pub tried: bool,
}

/// The server whose cache is the home of a prompt's shared part, by rendezvous hashing over the
/// live servers: all routers agree on it without a word.
pub fn part_home<Servers>(part: &PromptPart, servers: Servers) -> Option<Incarnation>
where
    Servers: Iterator<Item = Incarnation>,
{
    let score = |server: &Incarnation| rendezvous_score(part.id, server.0, 1.0);
    servers.max_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Tokens from which on fetching a part from another server's memory is worth a transfer.
const MIN_FETCH_TOKENS: u32 = 256;

/// The candidate that holds the most of a prompt beyond what the chosen one holds. A token takes
/// half the time to fetch that it takes to compute, and the holder's part is not computed twice.
pub fn fetch_source(candidates: &[Candidate], chosen: usize) -> Option<usize> {
    let held = candidates.get(chosen)?.cached_tokens;
    let holders = candidates.iter().enumerate();
    let holders = holders.filter(|(_, one)| !one.suspect);
    let (holder, one) = holders.max_by_key(|(_, one)| one.cached_tokens)?;
    (one.cached_tokens >= held + MIN_FETCH_TOKENS).then_some(holder)
}

/// The index of the best candidate; none if all are full or tried. Servers above the load bound
/// are taken only if all others are worse than suspect.
pub fn choose_server(
    costs: &PlacementCosts,
    is_engine: bool,
    prompt_tokens: u32,
    candidates: &[Candidate],
) -> Option<usize> {
    let total: u32 = candidates.iter().map(|one| one.in_flight).sum();
    let mean = f64::from(total) / candidates.len().max(1) as f64;
    let bound = mean * costs.bound_factor + costs.bound_requests;
    let cost = |one: &Candidate| {
        let uncached = f64::from(prompt_tokens.saturating_sub(one.cached_tokens));
        let request_ms = match is_engine {
            true => costs.engine_request_ms,
            false => costs.plain_request_ms,
        };
        let mut cost = f64::from(one.in_flight) * request_ms;
        if is_engine {
            cost += (uncached + one.prefill_tokens as f64) / costs.prefill_tokens_per_ms;
        }
        if one.is_home {
            cost -= costs.home_ms;
        }
        if !one.same_zone {
            cost += costs.other_zone_ms;
        }
        if f64::from(one.in_flight) > bound {
            cost += costs.suspect_ms / 2.0;
        }
        if one.suspect {
            cost += costs.suspect_ms;
        }
        cost + one.failure_share * costs.failure_ms
    };
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_, one)| !one.tried && one.in_flight < one.capacity);
    let best = open.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
    best.map(|(index, _)| index)
}
