//! Resignation of a leaving router from its stewardships, which is final.

use std::collections::BTreeMap;

use crate::RouterId;

/// Resignation of a leaving router as steward.
///
/// The router continues to grant slots until every successor, itself not leaving, has seen that
/// this router is leaving. So if all routers leave, the last one never resigns. After resigning,
/// the router grants nothing for the rest of its incarnation, even if all successors are lost.
#[derive(Debug, Default)]
pub struct Resignation {
    /// Sequence number of the first heartbeat that announced that this router is leaving.
    leaving_from: Option<u64>,
    /// This router's last sequence number that each peer has seen.
    seen: BTreeMap<RouterId, u64>,
    has_resigned: bool,
}

impl Resignation {
    /// Records that the heartbeat with this sequence number announces that this router is leaving.
    pub fn note_leaving(&mut self, sequence: u64) {
        self.leaving_from.get_or_insert(sequence);
    }

    /// Records the last heartbeat of this router that a peer reports to have seen.
    pub fn note_seen(&mut self, peer: RouterId, sequence: u64) {
        self.seen.insert(peer, sequence);
    }

    /// Resigns if all other routers that may be stewards have seen that this router is leaving;
    /// returns whether it resigned in this call.
    pub fn try_resign(&mut self, successors: &[RouterId]) -> bool {
        let Some(leaving_from) = self.leaving_from else {
            return false;
        };
        let has_seen = |peer: &RouterId| self.seen.get(peer).is_some_and(|at| *at >= leaving_from);
        if self.has_resigned || successors.is_empty() || !successors.iter().all(has_seen) {
            return false;
        }
        self.has_resigned = true;
        true
    }

    /// Whether this router has resigned.
    pub fn has_resigned(&self) -> bool {
        self.has_resigned
    }
}
