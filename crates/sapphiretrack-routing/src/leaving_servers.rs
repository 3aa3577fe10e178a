//! Tracks which backend servers state in their answers that they leave.

use std::collections::{HashMap, HashSet};

use crate::Incarnation;

/// The servers that stated that they leave.
///
/// A statement is final for an incarnation, whatever the store lists: the list is late, and it may
/// not be available at all.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    /// When each server stated it, or was last listed.
    last_seen_ms: HashMap<Incarnation, u64>,
    /// Whether one of them may be listed, so that requests have to be kept from it.
    may_be_listed: bool,
}

impl LeavingServers {
    /// Time in milliseconds for which a server that is no longer listed is remembered: longer than
    /// a server takes to leave, in case that its entry is restored meanwhile.
    const REMEMBERED_MS: u64 = 600_000;

    /// Records a statement. Returns whether it is the first one of this server.
    pub fn record(&mut self, server: Incarnation, now_ms: u64) -> bool {
        self.may_be_listed = true;
        self.last_seen_ms.insert(server, now_ms).is_none()
    }

    /// Returns whether a server stated that it leaves.
    pub fn contains(&self, server: Incarnation) -> bool {
        self.last_seen_ms.contains_key(&server)
    }

    /// Returns whether a server that stated that it leaves may be listed.
    pub fn may_be_listed(&self) -> bool {
        self.may_be_listed
    }

    /// Forgets servers that have not been listed for long. `listed` are those that are.
    pub fn retain_listed(&mut self, listed: &HashSet<Incarnation>, now_ms: u64) {
        self.may_be_listed = false;
        self.last_seen_ms.retain(|server, last_seen_ms| {
            if listed.contains(server) {
                self.may_be_listed = true;
                *last_seen_ms = now_ms;
            }
            now_ms < *last_seen_ms + Self::REMEMBERED_MS
        });
    }
}
