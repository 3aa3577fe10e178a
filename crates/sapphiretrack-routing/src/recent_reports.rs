//! Decides which of many alike reports are logged.

use std::collections::{HashSet, VecDeque};

use sapphiretrack_core::hash_parts;

/// Remembers the newest reports, so that one that comes again is not logged again.
#[derive(Clone, Debug, Default)]
pub struct RecentReports {
    known: HashSet<u64>,
    order: VecDeque<u64>,
    minute: u64,
    /// Reports that were logged in that minute.
    logged: usize,
}

impl RecentReports {
    /// Maximum number of reports that are remembered. Older ones are logged again.
    pub const MAX_KNOWN: usize = 1_024;
    /// Maximum number of reports that are logged in a minute, however many there are.
    pub const MAX_LOGGED: usize = 120;

    /// Records a report that consists of these parts. Returns whether to log it: it is not among the newest ones, and
    /// there is room for it in this minute. Times are those of a local clock, in milliseconds.
    pub fn record(&mut self, parts: &[&str], now_ms: u64) -> bool {
        let minute = now_ms / 60_000;
        if minute != self.minute {
            (self.minute, self.logged) = (minute, 0);
        }
        if self.logged >= Self::MAX_LOGGED {
            return false;
        }
        let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
        let report = hash_parts(&parts);
        if !self.known.insert(report) {
            return false;
        }
        self.logged += 1;
        self.order.push_back(report);
        if self.order.len() > Self::MAX_KNOWN
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}
