//! How old the proof is that the configuration in force was the newest.

/// The latest moment at which the store is known to have held nothing newer.
///
/// An open watch proves nothing until it answers; its answer names the store's own steady clock,
/// which is mapped to the local one by the best bound that any call gave: the answer was made
/// after its call was sent. So a watch that waited three seconds proves its end, not its start.
/// All times are of a local clock that also counts suspended time.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Least that the local clock is ahead of the store's.
    offset_ms: Option<i64>,
    proven_ms: Option<u64>,
}

impl Freshness {
    /// How far a store clock may seem ahead of the local one before it counts as reset.
    const CLOCK_TOLERANCE_MS: i64 = 50;
    /// Notes an answer that held the newest state: when its call was sent, when the answer came,
    /// and what the store's clock showed.
    pub fn note_answer(&mut self, sent_ms: u64, received_ms: u64, store_now_ms: u64) {
        let offset = self.note_clock(sent_ms, received_ms, store_now_ms);
        let proven = (store_now_ms as i64 + offset).clamp(sent_ms as i64, received_ms as i64);
        let proven = proven.max(0) as u64;
        self.proven_ms = Some(self.proven_ms.map_or(proven, |before| before.max(proven)));
    }

    /// Maps the store's clock to the local one by an answer that may be of another listing.
    /// Returns the offset in milliseconds.
    pub fn note_clock(&mut self, sent_ms: u64, received_ms: u64, store_now_ms: u64) -> i64 {
        let bound = sent_ms as i64 - store_now_ms as i64;
        let latest = received_ms as i64 - store_now_ms as i64;
        let offset = match self.offset_ms {
            // Ahead of what this answer allows: the store's clock jumped, the bound is void.
            Some(offset) if offset > latest + Self::CLOCK_TOLERANCE_MS => bound,
            // The answer was made before it came, also if the clocks have drifted apart a little. A store
            // clock that starts again at nothing gives a larger bound, which holds too.
            Some(offset) => offset.min(latest).max(bound),
            None => bound,
        };
        self.offset_ms = Some(offset);
        offset
    }

    /// A time of the store's clock as a local time; none before the first answer.
    pub fn to_local_ms(&self, store_ms: u64) -> Option<u64> {
        let offset = self.offset_ms?;
        Some((store_ms as i64 + offset).max(0) as u64)
    }

    /// Notes that another router had an answer that the store made at this time of its clock, and
    /// that showed nothing newer than what this router has.
    pub fn note_proof(&mut self, store_ms: u64, now_ms: u64) {
        // Without an answer of its own a router does not know the store's clock.
        let Some(offset) = self.offset_ms else {
            return;
        };
        let proven = (store_ms as i64 + offset).clamp(0, now_ms as i64) as u64;
        self.proven_ms = Some(self.proven_ms.map_or(proven, |before| before.max(proven)));
    }

    /// How long ago the last proof was; none before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proven_ms.map(|proven| now_ms.saturating_sub(proven))
    }
}
