//! Tracks which backend servers asked this router for a pause.

use std::collections::HashMap;

use crate::Incarnation;

/// The pauses that servers asked this router for.
///
/// A server that is overloaded refuses a request and says for how long it wants no others. A later
/// statement only extends the pause, because an earlier one stays valid.
#[derive(Clone, Debug, Default)]
pub struct ServerPauses {
    until_ms: HashMap<Incarnation, u64>,
    /// The end of the last pause, which shows without a search that no server pauses.
    last_end_ms: u64,
}

impl ServerPauses {
    /// Records that a server wants no requests for `pause_ms`. Returns whether it did not pause
    /// before.
    pub fn record(&mut self, server: Incarnation, pause_ms: u64, now_ms: u64) -> bool {
        let end_ms = now_ms.saturating_add(pause_ms);
        let until_ms = self.until_ms.entry(server).or_default();
        let is_new = *until_ms <= now_ms;
        *until_ms = end_ms.max(*until_ms);
        self.last_end_ms = end_ms.max(self.last_end_ms);
        is_new
    }

    /// Returns the time in milliseconds until a server's pause ends; `None` if it does not pause.
    pub fn left_ms(&self, server: Incarnation, now_ms: u64) -> Option<u64> {
        let until_ms = self.until_ms.get(&server)?;
        until_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)
    }

    /// Returns whether any server may pause.
    pub fn may_be_any(&self, now_ms: u64) -> bool {
        now_ms < self.last_end_ms
    }

    /// Returns the number of servers that pause.
    pub fn count(&self, now_ms: u64) -> usize {
        let ends = self.until_ms.values();
        ends.filter(|until_ms| now_ms < **until_ms).count()
    }

    /// Forgets pauses that ended. Those of servers that are not listed are kept, since an entry may
    /// be missing for a moment.
    pub fn drop_ended(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
