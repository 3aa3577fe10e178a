//! Refused requests that are told to return later.

use std::collections::BTreeMap;

/// Number of refused requests by the time at which they are told to return.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpectedReturns {
    counts: BTreeMap<u64, u32>,
    total: u64,
}

impl ExpectedReturns {
    /// Resolution of the times in milliseconds, which bounds the number of entries.
    const STEP_MS: u64 = 20;

    /// Returns the number of requests that have not been due to return yet.
    pub(crate) fn count(&mut self, now_ms: u64) -> u64 {
        while let Some(first) = self.counts.first_entry()
            && *first.key() <= now_ms
        {
            self.total -= u64::from(first.remove());
        }
        self.total
    }

    pub(crate) fn record(&mut self, return_ms: u64) {
        let step_ms = return_ms.next_multiple_of(Self::STEP_MS);
        *self.counts.entry(step_ms).or_default() += 1;
        self.total += 1;
    }
}
