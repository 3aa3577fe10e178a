//! Cost estimates and limits for placement.

use crate::LoadBound;

/// Cost estimates and limits for placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// Time to compute one uncached prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Fixed cost of importing a chat's cached tokens from another server.
    pub import_ms: f64,
    /// Additional time to import one cached token, in microseconds.
    pub import_us_per_token: f64,
    /// Delay that each request in flight on a server adds to a new request.
    pub queue_ms_per_request: f64,
    /// Minimum number of servers in a workspace's subset, where its new chats are placed.
    pub subset_servers: usize,
    /// Size of a workspace's subset relative to the workspace's share of the load.
    pub subset_spread: f64,
    /// Fraction of a prompt that is assumed to be cached on the chat's home server, even without a
    /// hint.
    pub home_warm_fraction: f64,
    /// Fraction of a prompt that is assumed to be cached on the other servers of the workspace's
    /// subset.
    pub subset_warm_fraction: f64,
    /// Time after which half of the tokens recorded as cached are assumed to be evicted.
    pub warm_half_life_ms: u64,
    /// Load bound that stewards apply; servers that appear to have reached it are ranked last.
    pub bound: LoadBound,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 250.0,
            import_ms: 5.0,
            import_us_per_token: 25.0,
            queue_ms_per_request: 15.0,
            subset_servers: 4,
            subset_spread: 2.0,
            home_warm_fraction: 0.6,
            subset_warm_fraction: 0.2,
            warm_half_life_ms: 1_800_000,
            bound: LoadBound::default(),
        }
    }
}
