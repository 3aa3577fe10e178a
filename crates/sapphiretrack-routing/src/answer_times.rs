//! Remembers which requests, or prompt prefixes, backend servers have answered lately.

use std::collections::HashMap;

use crate::Fingerprint;

/// When requests, or those with a prompt prefix, last got a whole answer. Servers answer harmless ones all
/// the time, so that such a request is not the cause of a crash before its answer, nor such a prefix that of
/// one shortly after.
///
/// Times are kept in two generations, so that old ones are dropped without a search.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    current: HashMap<Fingerprint, u64>,
    former: HashMap<Fingerprint, u64>,
    rotated_ms: u64,
}

impl AnswerTimes {
    /// Maximum number of requests or prefixes in a generation.
    pub(crate) const MAX_ENTRIES: usize = 4_096;
    /// Time in milliseconds after which a generation becomes the former one.
    const GENERATION_MS: u64 = 30_000;

    /// Records a whole answer.
    pub(crate) fn record(&mut self, answered: Fingerprint, now_ms: u64) {
        let is_old = now_ms >= self.rotated_ms.saturating_add(Self::GENERATION_MS);
        let is_full =
            self.current.len() >= Self::MAX_ENTRIES && !self.current.contains_key(&answered);
        if is_old || is_full {
            self.former = std::mem::take(&mut self.current);
            self.rotated_ms = now_ms;
        }
        self.current.insert(answered, now_ms);
    }

    /// Returns the time of the last whole answer, if it is remembered.
    pub(crate) fn last_ms(&self, answered: Fingerprint) -> Option<u64> {
        let known = self.current.get(&answered);
        known.or_else(|| self.former.get(&answered)).copied()
    }
}
