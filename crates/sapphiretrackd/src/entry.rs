//! Which routers a caller connects to.

use sapphiretrack_caller::EntryReply;
use sapphiretrack_core::{VmState, rendezvous_score};

use crate::control::Snapshot;

/// The most addresses of a lookup.
const MAX_ADDRESSES: usize = 3;

/// The routers for a caller: those of its availability zone first, spread by `spread`.
pub(crate) fn entry_reply(
    snapshot: &Snapshot,
    zone: Option<&str>,
    ttl_ms: u64,
    spread: u64,
) -> EntryReply {
    let mut routers: Vec<_> = snapshot
        .routers
        .iter()
        .filter(|router| router.state == VmState::Live)
        .collect();
    routers.sort_by(|a, b| {
        let a_near = zone == Some(a.zone.as_str());
        let b_near = zone == Some(b.zone.as_str());
        b_near.cmp(&a_near).then_with(|| {
            rendezvous_score(spread, b.id.0, 1.0).total_cmp(&rendezvous_score(spread, a.id.0, 1.0))
        })
    });
    let addresses = routers
        .iter()
        .take(MAX_ADDRESSES)
        .map(|router| router.caller_address.to_string())
        .collect();
    EntryReply { addresses, ttl_ms }
}
