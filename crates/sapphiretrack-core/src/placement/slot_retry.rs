//! Repeating a refused slot request with more recent counts than the steward had.

use serde::{Deserialize, Serialize};

use crate::{LoadBound, PoolLoad, RequesterLoad, server_limit};

/// Counts that a steward sends with a refusal, so that the requesting router gets the pool's
/// current load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FullServer {
    /// Slots held on the server.
    pub held: u16,
    /// The steward's own requests in flight on the server's pool.
    pub in_flight: u16,
    /// The number of live servers of the pool in the steward's view.
    pub live_servers: u16,
}

/// The pool's load to send with a repeated slot request; `None` if the steward is expected to
/// refuse again.
///
/// A steward's counts of the other routers' requests are up to one heartbeat old, and it computes
/// the load bound from a lower bound of the requests that remain. While load is rising, all servers
/// of a pool may therefore refuse requests although they have capacity. Each refusal carries the
/// steward's own count, so that a router that was refused by all stewards has the current load and
/// can send it to them.
pub fn load_for_repeated_request(
    bound: &LoadBound,
    load: &PoolLoad,
    share: f64,
    refusal: FullServer,
) -> Option<RequesterLoad> {
    let requester_load = RequesterLoad {
        least_in_flight: load.least_in_flight,
        live_servers: load.live_servers.max(u32::from(refusal.live_servers)),
    };
    let limit = server_limit(bound, &load.with_requester_load(requester_load), share);
    (u32::from(refusal.held) < limit).then_some(requester_load)
}

/// Sets the live servers of all refusals of a round to the highest count among them.
///
/// A new server becomes visible to routers at different times, but the load bound has to count it
/// as soon as one router sees it.
pub fn raise_live_servers_to_max<'a, Refusals>(refusals: Refusals)
where
    Refusals: Iterator<Item = &'a mut FullServer>,
{
    let refusals: Vec<&mut FullServer> = refusals.collect();
    let highest = refusals.iter().map(|refusal| refusal.live_servers).max();
    for refusal in refusals {
        refusal.live_servers = highest.unwrap_or(0);
    }
}
