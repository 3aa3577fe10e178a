//! The load bound: how many requests one backend server may hold.

use serde::{Deserialize, Serialize};

/// The shape of the load bound of a pool.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadBound {
    /// The multiple of the mean in-flight count that no server exceeds.
    pub load_multiple: f64,
    /// The number of requests that a server may always hold, however low the mean is.
    pub floor_requests: u32,
    /// The number of requests that a server never exceeds, however high the mean is.
    pub ceiling_requests: u32,
}

impl Default for LoadBound {
    fn default() -> Self {
        Self {
            load_multiple: 1.25,
            floor_requests: 8,
            ceiling_requests: 64,
        }
    }
}

/// A class whose share of the bound is below this is shed on purpose; a larger share only leaves
/// headroom to more urgent classes.
pub const SHED_BELOW_SHARE: f64 = 0.7;

/// A pool's requests in flight and servers, as far as a router knows them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Requests in flight on the pool's live servers, at the least.
    pub least_in_flight: u32,
    /// Requests in flight there, as likely.
    pub in_flight: u32,
    /// Live servers, those that join just now included.
    pub live_servers: u32,
    /// Servers that take requests already.
    pub open_servers: u32,
}

/// What an asker knows of a pool's load, for a steward whose own counts are older.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldLoad {
    /// Requests in flight on the pool, at the least.
    pub least_in_flight: u32,
    /// Live servers, by whichever router knows the most.
    pub live_servers: u32,
}

impl PoolLoad {
    /// The same with what another router knows.
    ///
    /// Both counts of requests are bounds from below, so the higher one holds; a server counts as
    /// soon as one of both knows it.
    pub fn with_told(self, told: ToldLoad) -> Self {
        let least_in_flight = self.least_in_flight.max(told.least_in_flight);
        Self {
            least_in_flight,
            in_flight: self.in_flight.max(least_in_flight),
            live_servers: self.live_servers.max(told.live_servers),
            ..self
        }
    }
}

/// The number of requests that a server may hold, as its pool stands.
///
/// `share` is the part of the bound that a class may fill: urgent classes get 1.0, lower ones
/// leave headroom. The request about to be placed counts as part of the load. The multiple of
/// the mean is rounded down: above the floor no server passes the multiple, not by a fraction.
///
/// A class that is not shed gets at least one request above the likely mean, as far as the
/// bound allows it: the emptiest server is at the mean or under it, so that headroom alone
/// never refuses work while the pool could take it. Not so at the ceiling: what urgent classes
/// are left there is theirs, or lower ones would fill it in the first second of an overload.
pub fn server_limit(bound: &LoadBound, load: &PoolLoad, share: f64) -> u32 {
    let least = f64::from(load.least_in_flight.saturating_add(1));
    let least_mean = least / f64::from(load.live_servers.max(1));
    let likely = f64::from(load.in_flight.saturating_add(1));
    let mean = likely / f64::from(load.open_servers.max(1));
    let by_mean = (bound.load_multiple * least_mean).floor() as u32;
    let whole = by_mean
        .max(bound.floor_requests)
        .min(bound.ceiling_requests);
    let by_class = (f64::from(whole) * share.clamp(0.0, 1.0)).floor() as u32;
    let below_ceiling = (f64::from(bound.ceiling_requests) * share.clamp(0.0, 1.0)).floor() as u32;
    let above_mean = match share < SHED_BELOW_SHARE {
        true => 0,
        false => (mean.floor() as u32)
            .saturating_add(1)
            .min(whole)
            .min(below_ceiling),
    };
    by_class.max(above_mean).max(1)
}
