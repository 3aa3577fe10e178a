//! Costs and sizes that rule placement.

use crate::LoadBound;

/// Costs and sizes that rule placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// Time to compute one uncached prompt token.
    pub prefill_us_per_token: f64,
    /// Time to begin an import of a chat's cached tokens from another server.
    pub import_ms: f64,
    /// Time to import one cached token.
    pub import_us_per_token: f64,
    /// Time that a request in flight adds to the wait of a new one.
    pub queue_ms_per_request: f64,
    /// The smallest number of servers that a workspace's chats start on.
    pub subset_servers: usize,
    /// How many times its share of the load a workspace's subset holds.
    pub subset_spread: f64,
    /// The part of a prompt that a chat without evidence is expected to find at its home.
    pub home_warm_fraction: f64,
    /// The part of a prompt that a chat is expected to find on its workspace's other servers.
    pub subset_warm_fraction: f64,
    /// After this time half of the chats noted as warm are expected to be evicted.
    pub warm_half_life_ms: u64,
    /// The load bound that stewards grant under; servers that look full are tried last.
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
