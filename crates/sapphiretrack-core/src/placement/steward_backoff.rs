//! Backoff for stewards that recently failed to answer or declined to count a server's slots.

use std::collections::BTreeMap;

use crate::{RouterId, ServerId};

/// How long a router sends no slot requests to a steward after a failure.
#[derive(Clone, Copy, Debug)]
pub struct StewardBackoffSettings {
    /// Backoff after a call that got no reply; applies to all servers of the steward.
    pub silent_ms: u64,
    /// Backoff after a reply that the called router is not the server's steward; applies to this
    /// server.
    pub not_steward_ms: u64,
}

impl Default for StewardBackoffSettings {
    fn default() -> Self {
        Self {
            silent_ms: 1_000,
            not_steward_ms: 250,
        }
    }
}

/// Tracks which stewards recently did not reply or are not the steward of a server.
///
/// Without it, each request of a partitioned router would wait for every unreachable steward in
/// turn and repeat the same calls.
#[derive(Debug, Default)]
pub struct StewardBackoff {
    settings: StewardBackoffSettings,
    silent_until_ms: BTreeMap<RouterId, u64>,
    not_steward_until_ms: BTreeMap<(RouterId, ServerId), u64>,
}

impl StewardBackoff {
    /// Creates an empty table.
    pub fn new(settings: StewardBackoffSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a steward did not reply.
    pub fn note_silent(&mut self, steward: RouterId, now_ms: u64) {
        let until_ms = now_ms + self.settings.silent_ms;
        self.silent_until_ms.insert(steward, until_ms);
    }

    /// Records that a router replied or sent a heartbeat.
    pub fn note_seen(&mut self, router: RouterId) {
        self.silent_until_ms.remove(&router);
    }

    /// Records a router's reply that it is not a server's steward.
    pub fn note_not_steward(&mut self, steward: RouterId, server: ServerId, now_ms: u64) {
        let until_ms = now_ms + self.settings.not_steward_ms;
        self.not_steward_until_ms.retain(|_, at_ms| *at_ms > now_ms);
        self.not_steward_until_ms
            .insert((steward, server), until_ms);
    }

    /// Whether a slot on a server may be requested from this steward now.
    pub fn may_ask(&self, steward: RouterId, server: ServerId, now_ms: u64) -> bool {
        let has_expired = |until_ms: Option<&u64>| until_ms.is_none_or(|at_ms| *at_ms <= now_ms);
        has_expired(self.silent_until_ms.get(&steward))
            && has_expired(self.not_steward_until_ms.get(&(steward, server)))
    }
}
