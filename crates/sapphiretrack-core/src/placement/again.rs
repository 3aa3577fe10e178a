//! Whether a steward that refused a slot is asked again, with fresher counts than it has.

use serde::{Deserialize, Serialize};

use crate::{LoadBound, PoolLoad, ToldLoad, server_limit};

/// What a steward tells with a refusal, so that the asker knows the pool's load of now.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FullServer {
    /// Slots that are counted on the server.
    pub held: u16,
    /// The steward's own requests in flight on the server's pool.
    pub in_flight: u16,
    /// The pool's live servers that the steward knows.
    pub live_servers: u16,
}

/// What the asker tells a steward that refused, if asking again is expected to help.
///
/// A steward knows the other routers' counts of up to a heartbeat ago, and bounds its server by
/// what of them must be left. While load grows, all servers of a pool are then refused though
/// they have room. Each refusal brings the steward's own count, so that an asker that was
/// refused everywhere knows the load of now, and can tell it.
pub fn ask_again(
    bound: &LoadBound,
    load: &PoolLoad,
    share: f64,
    refusal: FullServer,
) -> Option<ToldLoad> {
    let told = ToldLoad {
        least_in_flight: load.least_in_flight,
        live_servers: load.live_servers.max(u32::from(refusal.live_servers)),
    };
    let limit = server_limit(bound, &load.with_told(told), share);
    (u32::from(refusal.held) < limit).then_some(told)
}

/// The refusals of a round, each with the most live servers that any steward knows.
///
/// Routers learn of a new server one after the other; the bound holds for all of them.
pub fn with_most_servers<'a, Refusals>(refusals: Refusals)
where
    Refusals: Iterator<Item = &'a mut FullServer>,
{
    let refusals: Vec<&mut FullServer> = refusals.collect();
    let most = refusals.iter().map(|refusal| refusal.live_servers).max();
    for refusal in refusals {
        refusal.live_servers = most.unwrap_or(0);
    }
}
