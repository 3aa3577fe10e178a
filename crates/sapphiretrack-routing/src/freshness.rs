//! Tracks how long ago the active configuration was known to be the newest.

/// The latest time at which the store is known to have held nothing newer.
///
/// A pending watch proves nothing until its answer arrives. The answer contains the time of the
/// store's monotonic clock, which is mapped to the local clock by the tightest bound of all calls:
/// an answer is created after its call was sent. So a watch that waited three seconds proves the
/// state at its end, not at its start. All times are of a local clock that also counts suspended
/// time.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Lower bound of the local clock minus the store's clock, in milliseconds.
    offset_ms: Option<i64>,
    proven_ms: Option<u64>,
}

impl Freshness {
    /// How far the mapped store time may exceed the local time of an answer before the store's
    /// clock counts as reset, in milliseconds.
    const CLOCK_TOLERANCE_MS: i64 = 50;
    /// Records an answer that contained the newest state: when the call was sent, when the answer
    /// arrived, and the time of the store's clock in it.
    pub fn record_answer(&mut self, sent_ms: u64, received_ms: u64, store_now_ms: u64) {
        let offset = self.record_clock(sent_ms, received_ms, store_now_ms);
        let proven = (store_now_ms as i64 + offset).clamp(sent_ms as i64, received_ms as i64);
        let proven = proven.max(0) as u64;
        self.proven_ms = Some(self.proven_ms.map_or(proven, |before| before.max(proven)));
    }

    /// Updates the mapping of the store's clock with an answer, which may be about another listing.
    /// Returns the offset in milliseconds.
    pub fn record_clock(&mut self, sent_ms: u64, received_ms: u64, store_now_ms: u64) -> i64 {
        let bound = sent_ms as i64 - store_now_ms as i64;
        let latest = received_ms as i64 - store_now_ms as i64;
        let offset = match self.offset_ms {
            // The bound contradicts this answer: the store's clock jumped, so the old bound is
            // void.
            Some(offset) if offset > latest + Self::CLOCK_TOLERANCE_MS => bound,
            // An answer is created before it arrives, even if the clocks have drifted apart
            // slightly. A store clock that restarts from zero yields a larger bound, which is valid
            // too.
            Some(offset) => offset.min(latest).max(bound),
            None => bound,
        };
        self.offset_ms = Some(offset);
        offset
    }

    /// Converts a time of the store's clock to local time; `None` before the first answer.
    pub fn to_local_ms(&self, store_ms: u64) -> Option<u64> {
        let offset = self.offset_ms?;
        Some((store_ms as i64 + offset).max(0) as u64)
    }

    /// Converts a local time to one of the store's clock, which may be too late but not too early; `None` before
    /// the first answer.
    pub fn to_store_ms(&self, local_ms: u64) -> Option<u64> {
        let offset = self.offset_ms?;
        Some((local_ms as i64 - offset).max(0) as u64)
    }

    /// Records that another router had an answer from this time of the store's clock which showed
    /// nothing newer than what this router has.
    pub fn record_proof(&mut self, store_ms: u64, now_ms: u64) {
        // Without an answer of its own a router cannot map the store's clock.
        let Some(offset) = self.offset_ms else {
            return;
        };
        let proven = (store_ms as i64 + offset).clamp(0, now_ms as i64) as u64;
        self.proven_ms = Some(self.proven_ms.map_or(proven, |before| before.max(proven)));
    }

    /// Returns the time since the last proof in milliseconds; `None` before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proven_ms.map(|proven| now_ms.saturating_sub(proven))
    }
}
