//! Decides which of many alike reports are logged.

use std::collections::{HashSet, VecDeque};

use sapphiretrack_core::hash_parts;

/// Remembers the newest reports, so that one that comes again is not logged again.
#[derive(Clone, Debug, Default)]
pub struct RecentReports {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl RecentReports {
    /// Maximum number of reports that are remembered. Older ones are logged again.
    pub const MAX_KNOWN: usize = 1_024;

    /// Records a report that consists of these parts. Returns whether it is not among the newest ones.
    pub fn record(&mut self, parts: &[&str]) -> bool {
        let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
        let report = hash_parts(&parts);
        if !self.known.insert(report) {
            return false;
        }
        self.order.push_back(report);
        if self.order.len() > Self::MAX_KNOWN
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}
