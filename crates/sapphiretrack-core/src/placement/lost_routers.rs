//! Whose snapshot a router reads: that of each peer which went without a word.

use std::collections::BTreeMap;

use crate::{RouterId, RouterView, VmState};

/// How long the snapshot of a peer that comes and goes is not read again.
const AGAIN_AFTER_MS: u64 = 60_000;

/// Watches which peers go; one that leaves as planned hands over what it knows by itself.
#[derive(Clone, Debug, Default)]
pub struct LostRouters {
    seen: BTreeMap<RouterId, VmState>,
    read_ms: BTreeMap<RouterId, u64>,
}

impl LostRouters {
    /// Takes in the routers that are seen now; returns those that were lost since.
    pub fn note(&mut self, routers: &[RouterView], me: RouterId, now_ms: u64) -> Vec<RouterId> {
        let others = routers.iter().filter(|router| router.id != me);
        let now: BTreeMap<_, _> = others.map(|router| (router.id, router.state)).collect();
        let before = std::mem::replace(&mut self.seen, now);
        self.read_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < AGAIN_AFTER_MS);
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
