//! Answers the lookups by which callers find routers to connect to.

use sapphiretrack_caller::EntryReply;
use sapphiretrack_core::{EntryCandidate, RouterId, VmRecord, entry_addresses};

use crate::control::Snapshot;

/// Answers a lookup with the addresses of routers.
///
/// An isolated router sees no peers and refuses new work itself. It returns the other routers of
/// the platform's last list instead, since the caller may still reach one of them.
pub(crate) fn entry_reply(
    snapshot: &Snapshot,
    zone: Option<&str>,
    ttl_ms: u64,
    spread: u64,
) -> EntryReply {
    let candidates: Vec<EntryCandidate<'_>> = if snapshot.isolated {
        snapshot.listed_others.iter().map(listed).collect()
    } else {
        let seen = snapshot.routers.iter().map(|router| EntryCandidate {
            id: router.id,
            zone: &router.zone,
            address: router.caller_address,
            state: router.state,
        });
        seen.collect()
    };
    let addresses = entry_addresses(&candidates, zone, spread)
        .iter()
        .map(ToString::to_string)
        .collect();
    EntryReply { addresses, ttl_ms }
}

fn listed(record: &VmRecord) -> EntryCandidate<'_> {
    EntryCandidate {
        id: RouterId::from_name(&record.name),
        zone: &record.zone,
        address: record.address,
        state: record.state,
    }
}
