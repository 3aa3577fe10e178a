//! Estimates send rates from counts in time slices.

/// Recent rate at which something was sent by all routers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendRate {
    slice: u64,
    count: u32,
    previous_count: u32,
}

impl SendRate {
    /// Length of the slices in which sends are counted, in milliseconds: long enough for heartbeats
    /// to arrive and to measure a rate of one send in two seconds.
    const SLICE_MS: u64 = 2_000;

    /// Counts sends.
    pub(crate) fn count(&mut self, sends: u32, now_ms: u64) {
        let slice = Self::slice(now_ms);
        if self.slice != slice {
            self.previous_count = match self.slice + 1 == slice {
                true => self.count,
                false => 0,
            };
            self.slice = slice;
            self.count = 0;
        }
        self.count = self.count.saturating_add(sends);
    }

    /// Returns the number of sends per second.
    pub(crate) fn per_s(&self, now_ms: u64) -> f64 {
        let slice = Self::slice(now_ms);
        let since_ms = (now_ms % Self::SLICE_MS) as f64;
        let (count, previous_count) = match slice - self.slice.min(slice) {
            0 => (self.count, self.previous_count),
            1 => (0, self.count),
            _ => return 0.0,
        };
        // The fraction of the previous slice that lies within one slice length before now.
        let previous_fraction = 1.0 - since_ms / Self::SLICE_MS as f64;
        let sends = f64::from(count) + f64::from(previous_count) * previous_fraction;
        sends * 1_000.0 / Self::SLICE_MS as f64
    }

    /// Returns whether there were any sends in the current or the previous slice.
    pub(crate) fn is_recent(&self, now_ms: u64) -> bool {
        self.slice + 1 >= Self::slice(now_ms)
    }

    /// Returns the index of the slice that contains a time.
    pub(crate) fn slice(now_ms: u64) -> u64 {
        now_ms / Self::SLICE_MS
    }
}
