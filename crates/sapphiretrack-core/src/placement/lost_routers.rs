//! Detection of peers that disappeared without a planned stop; their snapshots are then read.

use std::collections::BTreeMap;

use crate::{RouterId, RouterView, VmState};

/// Minimum interval between two reads of the snapshot of a peer that repeatedly disappears.
const MIN_READ_INTERVAL_MS: u64 = 60_000;

/// Detects peers that disappeared while live. A leaving peer is not reported, because it hands over
/// its placement memory itself.
#[derive(Clone, Debug, Default)]
pub struct LostRouters {
    seen: BTreeMap<RouterId, VmState>,
    read_ms: BTreeMap<RouterId, u64>,
}

impl LostRouters {
    /// Updates the routers that are seen now and returns those lost since the last call, except the
    /// ones that were already returned within the minimum read interval.
    pub fn update(&mut self, routers: &[RouterView], me: RouterId, now_ms: u64) -> Vec<RouterId> {
        let others = routers.iter().filter(|router| router.id != me);
        let states: BTreeMap<_, _> = others.map(|router| (router.id, router.state)).collect();
        let before = std::mem::replace(&mut self.seen, states);
        self.read_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < MIN_READ_INTERVAL_MS);
        let gone = before
            .into_iter()
            .filter(|(id, state)| *state == VmState::Live && !self.seen.contains_key(id));
        let lost: Vec<RouterId> = gone
            .map(|(id, _)| id)
            .filter(|id| !self.read_ms.contains_key(id))
            .collect();
        self.read_ms.extend(lost.iter().map(|id| (*id, now_ms)));
        lost
    }
}
