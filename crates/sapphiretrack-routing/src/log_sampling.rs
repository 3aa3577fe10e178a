//! Which requests are told in full in the log when there are too many for it.

use sapphiretrack_core::hash_parts;

/// Keeps the log bounded: above a rate only a part of the requests is told in full, chosen by
/// their id, so that all lines of one request are there or none. Failures are always told.
#[derive(Clone, Debug)]
pub struct LogSampling {
    full_per_s: u32,
    second: u64,
    count: u32,
    keep_one_in: u32,
}

impl LogSampling {
    /// Tells up to so many requests a second in full.
    pub fn new(full_per_s: u32) -> Self {
        Self {
            full_per_s: full_per_s.max(1),
            second: 0,
            count: 0,
            keep_one_in: 1,
        }
    }

    /// Counts a request; whether it is told in full. The share follows the rate of the second
    /// before, and falls within a second that is much busier.
    pub fn keeps(&mut self, id: &str, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            let idle = second > self.second + 1;
            self.keep_one_in = if idle { 1 } else { self.share() };
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        let one_in = self.keep_one_in.max(self.share());
        hash_parts(&[id.as_bytes()]).is_multiple_of(u64::from(one_in))
    }

    fn share(&self) -> u32 {
        self.count.div_ceil(self.full_per_s).next_power_of_two()
    }
}
