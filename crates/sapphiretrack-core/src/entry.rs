//! Selects the router addresses that a lookup returns to a caller.

use std::net::SocketAddr;

use crate::{RouterId, VmState, rendezvous_score};

/// Maximum number of addresses returned by a lookup.
const MAX_ADDRESSES: usize = 3;

/// A router that a lookup may return.
#[derive(Clone, Copy, Debug)]
pub struct EntryCandidate<'a> {
    /// The router's id.
    pub id: RouterId,
    /// Its availability zone.
    pub zone: &'a str,
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub state: VmState,
}

/// The addresses for a caller: routers of its availability zone first, leaving ones excluded.
///
/// `spread` is the hash key that orders routers of equal rank, to distribute callers over them.
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
        let a_in_zone = zone == Some(a.zone);
        let b_in_zone = zone == Some(b.zone);
        b_in_zone.cmp(&a_in_zone).then_with(|| {
            rendezvous_score(spread, b.id.0, 1.0).total_cmp(&rendezvous_score(spread, a.id.0, 1.0))
        })
    });
    routers
        .into_iter()
        .take(MAX_ADDRESSES)
        .map(|router| router.address)
        .collect()
}
