//! Selects the backend server for a request: the one with the lowest estimated cost in time.

use crate::Incarnation;

/// Cost model of a request at a server, in milliseconds of its caller's time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementCosts {
    /// Prompt tokens that an engine processes in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of one more running request to all others on an engine, over their whole answers.
    pub engine_request_ms: f64,
    /// Cost of one running request at a plain service: about its service time, divided by the slots
    /// that share it.
    pub plain_request_ms: f64,
    /// Added for another availability zone: the round trip and the price of the bytes.
    pub other_zone_ms: f64,
    /// Added for another region: the round trip and the price of the bytes.
    pub other_region_ms: f64,
    /// Added for a failure share of 1, and in proportion below.
    pub failure_ms: f64,
    /// Added for a server that is unreachable or makes no progress.
    pub suspect_ms: f64,
    /// Added for a cold server: the next requests for the same prompts go elsewhere.
    pub cold_ms: f64,
    /// Fraction of the processing time of the uncached tokens that is deducted at their home
    /// server. Where no server is known to hold the shared prefixes, all routers choose the same
    /// one, and the prefixes are processed once. With the whole time, requests would queue at a
    /// busy home for as long as the processing takes elsewhere.
    pub home_part: f64,
    /// How far the load of a server may exceed the mean of its service, as a factor and a fixed
    /// number of requests. A little less than callers tolerate, since counts are delayed.
    pub bound_factor: f64,
    /// See `bound_factor`.
    pub bound_requests: f64,
    /// Requests with one prefix that a home may hold concurrently, as a multiple of the mean load
    /// of its service. Beyond it the prefix gets another home.
    pub home_load: f64,
    /// Requests with one prefix that a home may always hold concurrently.
    pub home_requests: f64,
    /// Engines in the home set of a root, as a multiple of those that its share of the load fills; 0:
    /// homes are chosen among all engines.
    pub root_slack: f64,
    /// Minimum number of tokens for which fetching a prefix from another server's memory is worth a
    /// transfer.
    pub min_fetch_tokens: u32,
}

impl Default for PlacementCosts {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            engine_request_ms: 3.0,
            plain_request_ms: 8.0,
            other_zone_ms: 2.0,
            other_region_ms: 40.0,
            failure_ms: 500.0,
            suspect_ms: 5_000.0,
            cold_ms: 20.0,
            home_part: 0.8,
            bound_factor: 1.8,
            bound_requests: 2.0,
            home_load: 1.0,
            home_requests: 3.0,
            root_slack: 2.0,
            min_fetch_tokens: 256,
        }
    }
}

/// Distance of a server or router.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two availability zones. `region_of` returns the region of a
    /// zone; a zone whose region is unknown counts as in the same region.
    pub fn between<'a, RegionOf>(one: &str, other: &str, region_of: RegionOf) -> Self
    where
        RegionOf: Fn(&str) -> Option<&'a str>,
    {
        if one == other {
            return Self::SameZone;
        }
        match (region_of(one), region_of(other)) {
            (Some(one), Some(other)) if one != other => Self::OtherRegion,
            _ => Self::SameRegion,
        }
    }
}

/// A server that placement compares with others.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server.
    pub server: Incarnation,
    /// Its distance.
    pub distance: Distance,
    /// Whether it is the home of the prompt's last shared prefix for this request, see
    /// [`crate::home_server`].
    pub is_home: bool,
    /// Whether that prefix has several homes, of which this request uses one.
    pub is_hot: bool,
    /// Requests that all routers have there, by the latest counts.
    pub in_flight: u32,
    /// The same, averaged over the last seconds.
    pub average_in_flight: f64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of requests that it may hold.
    pub capacity: u32,
    /// Prompt tokens that it still has to process for other requests.
    pub prefill_tokens: u64,
    /// Estimated number of tokens of this prompt in its cache.
    pub cached_tokens: u32,
    /// Recent share of failed attempts.
    pub failure_share: f64,
    /// Whether it is unreachable or makes no progress.
    pub suspect: bool,
    /// Whether it is cold, so that it gets only part of the requests that placement prefers it for.
    pub is_cold: bool,
    /// Whether this request was already sent there.
    pub tried: bool,
}

/// Minimum bonus of a home in milliseconds: the cost of two requests to the others.
const MIN_HOME_BONUS_MS: f64 = 6.0;

/// Returns the index of the candidate from which the chosen one should fetch a prefix: the one that
/// holds the most of the prompt. `None` if it holds too few tokens more than the chosen one.
/// Fetching a token takes half the time of computing it, and the prefix is not computed twice.
pub fn fetch_source(
    costs: &PlacementCosts,
    candidates: &[Candidate],
    chosen: usize,
) -> Option<usize> {
    let held = candidates.get(chosen)?.cached_tokens;
    let holders = candidates.iter().enumerate();
    let holders = holders.filter(|(_, one)| !one.suspect);
    let (holder, one) = holders.max_by_key(|(_, one)| one.cached_tokens)?;
    (one.cached_tokens >= held.saturating_add(costs.min_fetch_tokens)).then_some(holder)
}

/// Returns the index of the draining server from which the chosen server should fetch a prefix:
/// the one that holds the most of the prompt, if it holds enough tokens more than the chosen server
/// (`held`) and more than the best other source (`best`). A server that drains gets no requests, so
/// its memory is lost to prompts that are not fetched in time.
pub fn draining_source(
    costs: &PlacementCosts,
    draining: &[u32],
    held: u32,
    best: u32,
) -> Option<usize> {
    let sources = draining.iter().enumerate();
    let (source, tokens) = sources.max_by_key(|(_, tokens)| **tokens)?;
    let is_worth = *tokens >= held.saturating_add(costs.min_fetch_tokens) && *tokens > best;
    is_worth.then_some(source)
}

/// Minimum weight of a failing server. The requests it still gets show when it has recovered.
const MIN_SUCCESS_WEIGHT: f64 = 0.05;
/// Maximum number of servers for which all are compared. So few servers have few routers, which
/// exchange loads often.
const MAX_COMPARE_ALL: usize = 16;
/// Number of servers sampled from all, and from the holders, besides the home.
const SAMPLE_SIZE: usize = 3;

/// Returns the indices of the candidates to compare for one request: the home, a few of the servers
/// that hold at least half as much of the prompt as the best holder, and a few of all. Their order
/// is random, since the first of equal candidates wins.
///
/// All routers see the same delayed counts. If each chose the least loaded of all servers, or of
/// all holders of a common prefix, the one with the lowest count would get the next requests of all
/// routers. The least loaded of a few random ones is nearly as good, and differs between routers.
pub fn sample_candidates<Draw>(candidates: &[Candidate], draw: Draw) -> Vec<usize>
where
    Draw: FnMut() -> f64,
{
    sample_candidates_where(candidates, |_| true, draw)
}

/// The same, where the few of all servers are drawn from those for which `is_compared` is true.
pub fn sample_candidates_where<IsCompared, Draw>(
    candidates: &[Candidate],
    is_compared: IsCompared,
    mut draw: Draw,
) -> Vec<usize>
where
    IsCompared: Fn(&Candidate) -> bool,
    Draw: FnMut() -> f64,
{
    let count = candidates.len();
    let mut random_index =
        |count: usize| ((draw().clamp(0.0, 1.0) * count as f64) as usize).min(count.max(1) - 1);
    if count <= MAX_COMPARE_ALL {
        let first = random_index(count);
        return (first..count).chain(0..first).collect();
    }
    let max_tokens = candidates.iter().map(|one| one.cached_tokens).max();
    let min_tokens = (max_tokens.unwrap_or(0) / 2).max(1);
    let mut compared: Vec<usize> = (0..count).collect();
    compared.retain(|index| is_compared(&candidates[*index]));
    let mut chosen = Vec::with_capacity(2 * SAMPLE_SIZE + 1);
    if !compared.is_empty() {
        chosen.extend((0..SAMPLE_SIZE).map(|_| compared[random_index(compared.len())]));
    }
    chosen.extend(candidates.iter().position(|one| one.is_home));
    let holders = candidates.iter().enumerate();
    let holders = holders.filter(|(_, one)| one.cached_tokens >= min_tokens);
    let mut holders: Vec<usize> = holders.map(|(index, _)| index).collect();
    for _ in 0..SAMPLE_SIZE.min(holders.len()) {
        chosen.push(holders.swap_remove(random_index(holders.len())));
    }
    chosen
}

/// Returns the index of the best of the sampled candidates, where the candidates are all servers of
/// the service; see [`choose_server_among`].
pub fn choose_server(
    costs: &PlacementCosts,
    is_engine: bool,
    prompt_tokens: u32,
    candidates: &[Candidate],
    sampled: &[usize],
) -> Option<usize> {
    let mean = mean_load(candidates, 0, 0);
    choose_server_among(costs, is_engine, prompt_tokens, candidates, sampled, mean)
}

/// Returns the mean number of requests at the servers of a service: at the candidates, and at
/// `others` servers that get no requests now and still hold `others_in_flight`.
pub fn mean_load(candidates: &[Candidate], others: usize, others_in_flight: u32) -> f64 {
    let total: u32 = candidates.iter().map(|one| one.in_flight).sum();
    let servers = (candidates.len() + others).max(1);
    f64::from(total + others_in_flight) / servers as f64
}

/// Returns the index of the best of the sampled candidates. If these are all full, tried, suspect
/// or above the load bound, the best of all candidates that are neither full nor tried; `None` if
/// there is none. The load bound and suspicion only add to the cost.
///
/// The bound follows from the mean over all servers of the service, also over those that get no
/// requests: the others may not hold more because of them.
pub fn choose_server_among(
    costs: &PlacementCosts,
    is_engine: bool,
    prompt_tokens: u32,
    candidates: &[Candidate],
    sampled: &[usize],
    mean: f64,
) -> Option<usize> {
    let bound = mean * costs.bound_factor + costs.bound_requests;
    let cost = |index: &usize| {
        let one = &candidates[*index];
        let mut cost = request_cost(costs, is_engine, prompt_tokens, one);
        if f64::from(one.in_flight) > bound {
            cost += costs.suspect_ms / 2.0;
        }
        cost
    };
    let is_available = |index: &usize| {
        let one = &candidates[*index];
        !one.tried && one.in_flight < one.capacity
    };
    let cheapest = |available: Vec<usize>| {
        available
            .into_iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
    };
    let best = cheapest(sampled.iter().copied().filter(is_available).collect());
    let acceptable = best.filter(|index| {
        let one = &candidates[*index];
        !one.suspect && f64::from(one.in_flight) <= bound
    });
    acceptable.or_else(|| cheapest((0..candidates.len()).filter(is_available).collect()))
}

/// Returns the index of a random server, for when counts are too old to show which one is free. If
/// all routers chose the one with the lowest count, it would get all requests until the next counts
/// arrive.
///
/// The weight of a server is its number of slots, reduced if it has been busier than the others for
/// some time, as slow ones are. Suspects are chosen only if there is nothing else. While the
/// service is overloaded, requests are refused with `None`, the more of them the more of its
/// capacity is in use, so that admitted requests still find a short queue.
pub fn sample_server<Draw>(candidates: &[Candidate], mut draw: Draw) -> Option<usize>
where
    Draw: FnMut() -> f64,
{
    let untried = candidates.iter().filter(|one| !one.tried);
    let slots: f64 = untried.clone().map(|one| f64::from(one.slots)).sum();
    let accepting_slots: f64 = untried
        .map(|one| f64::from(one.slots) * admission_share(one))
        .sum();
    if draw() * slots >= accepting_slots {
        return None;
    }
    let has_healthy = candidates
        .iter()
        .any(|one| !one.tried && !one.suspect && admission_share(one) > 0.0);
    let weight = |one: &Candidate| match one.tried || (has_healthy && one.suspect) {
        true => 0.0,
        false => {
            let slots = f64::from(one.slots.max(1)) * admission_share(one);
            let success_weight = (1.0 - one.failure_share).max(MIN_SUCCESS_WEIGHT);
            slots * success_weight / (1.0 + one.average_in_flight)
        }
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut remaining = draw().clamp(0.0, 1.0) * total;
    let mut last = None;
    for (index, one) in candidates.iter().enumerate() {
        let weight = weight(one);
        if weight > 0.0 {
            last = Some(index);
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
    }
    last
}

/// Returns the share of requests that a server accepts: all up to half of its capacity, none from
/// four thirds of it.
fn admission_share(candidate: &Candidate) -> f64 {
    let utilization = candidate.average_in_flight / f64::from(candidate.capacity.max(1));
    (1.6 - 1.2 * utilization).clamp(0.0, 1.0)
}

/// Returns the cost of a request at a server, without the load bound.
fn request_cost(
    costs: &PlacementCosts,
    is_engine: bool,
    prompt_tokens: u32,
    candidate: &Candidate,
) -> f64 {
    // A hot prefix is soon cached at all of its homes; the current holders must not attract all of
    // its requests.
    let cached = if candidate.is_hot {
        0
    } else {
        candidate.cached_tokens
    };
    let uncached = f64::from(prompt_tokens.saturating_sub(cached));
    let request_ms = match is_engine {
        true => costs.engine_request_ms,
        false => costs.plain_request_ms,
    };
    let mut cost = f64::from(candidate.in_flight) * request_ms;
    if is_engine {
        cost += (uncached + candidate.prefill_tokens as f64) / costs.prefill_tokens_per_ms;
    }
    if candidate.is_home {
        cost -= MIN_HOME_BONUS_MS + uncached * costs.home_part / costs.prefill_tokens_per_ms;
    }
    cost += match candidate.distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => costs.other_zone_ms,
        Distance::OtherRegion => costs.other_region_ms,
    };
    if candidate.suspect {
        cost += costs.suspect_ms;
    }
    if candidate.is_cold {
        cost += costs.cold_ms;
    }
    cost + candidate.failure_share * costs.failure_ms
}
