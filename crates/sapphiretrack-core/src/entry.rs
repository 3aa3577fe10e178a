//! Which routers a caller is told to connect to.

use std::net::SocketAddr;

use crate::{RouterId, VmState, rendezvous_score};

/// The most addresses of a lookup.
const MAX_ADDRESSES: usize = 3;

/// A router that a lookup may name.
#[derive(Clone, Copy, Debug)]
pub struct EntryCandidate<'a> {
    /// Who.
    pub id: RouterId,
    /// Its availability zone.
    pub zone: &'a str,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: VmState,
}

/// The addresses for a caller: routers of its availability zone first, spread by `spread`, and
/// never one that is leaving.
pub fn entry_addresses(
    candidates: &[EntryCandidate<'_>],
    zone: Option<&str>,
    spread: u64,
) -> Vec<SocketAddr> {
    let mut routers: Vec<&EntryCandidate<'_>> = candidates
        .iter()
        .filter(|router| router.state == VmState::Live)
        .collect();
    routers.sort_by(|a, b| {
        let a_near = zone == Some(a.zone);
        let b_near = zone == Some(b.zone);
        b_near.cmp(&a_near).then_with(|| {
            rendezvous_score(spread, b.id.0, 1.0).total_cmp(&rendezvous_score(spread, a.id.0, 1.0))
        })
    });
    routers
        .into_iter()
        .take(MAX_ADDRESSES)
        .map(|router| router.address)
        .collect()
}
