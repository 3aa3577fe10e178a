//! The load bound: how many requests one backend server may have in flight.

use serde::{Deserialize, Serialize};

/// Parameters of a pool's load bound.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadBound {
    /// Limit of a server as a multiple of the pool's mean in-flight count per server.
    pub load_multiple: f64,
    /// Lower bound of the limit, in requests: applies when the mean is low.
    pub floor_requests: u32,
    /// Upper bound of the limit, in requests: applies when the mean is high.
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

/// A class counts as shed while its share of the load bound is below this. A larger share only
/// leaves headroom for more urgent classes.
pub const SHED_BELOW_SHARE: f64 = 0.7;

/// A router's estimate of a pool's requests in flight and servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Lower bound of the requests in flight on the pool's live servers.
    pub least_in_flight: u32,
    /// Most likely number of requests in flight on them.
    pub in_flight: u32,
    /// Live servers, including those that are joining.
    pub live_servers: u32,
    /// Servers that accept requests.
    pub open_servers: u32,
}

/// A pool's load as known to the router that requests a slot; the steward's counts may be older.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequesterLoad {
    /// Lower bound of the requests in flight on the pool.
    pub least_in_flight: u32,
    /// Number of live servers.
    pub live_servers: u32,
}

impl PoolLoad {
    /// Combines this load with that in the view of another router.
    ///
    /// Both request counts are lower bounds, so the higher one applies. The higher server count
    /// applies as well, since a server counts as soon as one of the routers sees it.
    pub fn with_requester_load(self, other: RequesterLoad) -> Self {
        let least_in_flight = self.least_in_flight.max(other.least_in_flight);
        Self {
            least_in_flight,
            in_flight: self.in_flight.max(least_in_flight),
            live_servers: self.live_servers.max(other.live_servers),
            ..self
        }
    }
}

/// The number of requests that a server may have in flight at the current load of its pool.
///
/// `share` is the fraction of the bound that a class may fill: urgent classes get 1.0, less urgent
/// ones leave headroom. The request to be placed counts as part of the load. The multiple of the
/// mean is rounded down, so that above the floor no server exceeds the multiple.
///
/// A class that is not shed gets at least one request above the likely mean, as far as the bound
/// allows. The least loaded server is at the mean or below it, so headroom alone never causes a
/// refusal while the pool has capacity. This stops at the class's share of the ceiling: the rest
/// is reserved for more urgent classes, otherwise less urgent ones would fill it within the first
/// second of an overload.
pub fn server_limit(bound: &LoadBound, load: &PoolLoad, share: f64) -> u32 {
    let least_load = f64::from(load.least_in_flight.saturating_add(1));
    let least_mean = least_load / f64::from(load.live_servers.max(1));
    let likely_load = f64::from(load.in_flight.saturating_add(1));
    let mean = likely_load / f64::from(load.open_servers.max(1));
    let mean_limit = (bound.load_multiple * least_mean).floor() as u32;
    let full_limit = mean_limit
        .max(bound.floor_requests)
        .min(bound.ceiling_requests);
    let class_limit = (f64::from(full_limit) * share.clamp(0.0, 1.0)).floor() as u32;
    let class_ceiling = (f64::from(bound.ceiling_requests) * share.clamp(0.0, 1.0)).floor() as u32;
    let above_mean = match share < SHED_BELOW_SHARE {
        true => 0,
        false => (mean.floor() as u32)
            .saturating_add(1)
            .min(full_limit)
            .min(class_ceiling),
    };
    class_limit.max(above_mean).max(1)
}
