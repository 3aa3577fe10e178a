//! Decides which requests are logged in full under high load.

use sapphiretrack_core::hash_parts;

/// Limits the size of the log: above a rate, only a part of the requests is logged in full. They
/// are chosen by their id, so that either all lines of a request are logged or none. Failures are
/// always logged.
#[derive(Clone, Debug)]
pub struct LogSampling {
    full_per_s: u32,
    second: u64,
    count: u32,
    sample_one_in: u32,
}

impl LogSampling {
    /// Creates a sampling that logs up to this many requests per second in full.
    pub fn new(full_per_s: u32) -> Self {
        Self {
            full_per_s: full_per_s.max(1),
            second: 0,
            count: 0,
            sample_one_in: 1,
        }
    }

    /// Counts a request and returns whether it is logged in full. The share follows the rate of the
    /// previous second, and falls within a second that is much busier.
    pub fn is_sampled(&mut self, id: &str, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            let was_idle = second > self.second + 1;
            self.sample_one_in = if was_idle { 1 } else { self.required_one_in() };
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        let one_in = self.sample_one_in.max(self.required_one_in());
        hash_parts(&[id.as_bytes()]).is_multiple_of(u64::from(one_in))
    }

    fn required_one_in(&self) -> u32 {
        self.count.div_ceil(self.full_per_s).next_power_of_two()
    }
}
