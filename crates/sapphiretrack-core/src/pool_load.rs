//! Estimate of a pool's requests in flight from slightly outdated counts.

use crate::PoolLoad;

/// How long a server that joined counts for the load bound before it gets requests. This is longer
/// than a heartbeat interval plus the maximum delay of a heartbeat, so the pool's stewards have
/// seen the server by then.
pub const JOIN_SETTLE_MS: u64 = 1_800;

/// A router's requests in flight on a pool, as another router last saw them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouterLoad {
    /// Number of requests in flight at that time.
    pub in_flight: u32,
    /// Age of the count.
    pub age_ms: u64,
}

/// How fast a router's requests in flight are assumed to end.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// Shortest time in which all of a router's requests in flight are assumed to end.
    pub drain_ms: u64,
    /// Allowance for additional requests that may have ended, in units of the square root of the
    /// number assumed to have ended in the pool.
    pub deviations: f64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            drain_ms: 4_000,
            deviations: 3.0,
        }
    }
}

/// Estimates a pool's requests in flight; the server counts of the result are 0.
///
/// `own` is exact, while requests of other routers may have ended since they were counted. The
/// lower bound is valid unless requests end faster than the settings assume.
pub fn pool_load<Seen>(settings: &DrainSettings, own: u32, seen: Seen) -> PoolLoad
where
    Seen: IntoIterator<Item = RouterLoad>,
{
    let drain_ms = settings.drain_ms.max(1) as f64;
    let mut total = own;
    let mut expected = 0.0;
    let mut ended = 0.0;
    for load in seen {
        let in_flight = f64::from(load.in_flight);
        let ended_fraction = (load.age_ms as f64 / drain_ms).min(1.0);
        total = total.saturating_add(load.in_flight);
        expected += in_flight * (1.0 - ended_fraction);
        ended += in_flight * ended_fraction;
    }
    let remaining = (expected - settings.deviations * ended.sqrt()).max(0.0);
    PoolLoad {
        least_in_flight: own.saturating_add(remaining.floor() as u32),
        in_flight: total,
        ..PoolLoad::default()
    }
}
