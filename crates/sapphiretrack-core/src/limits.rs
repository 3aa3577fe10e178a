//! A customer's limits on one router.

/// A token bucket; time is passed in.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    updated_ms: u64,
}

impl RateLimiter {
    /// A full bucket of `burst_s` seconds' worth.
    pub fn new(rate_per_s: f64, burst_s: f64, now_ms: u64) -> Self {
        let capacity = (rate_per_s * burst_s).max(1.0);
        Self {
            rate_per_s,
            capacity,
            level: capacity,
            updated_ms: now_ms,
        }
    }

    /// Takes `amount`, or says after how many milliseconds it will be there.
    ///
    /// More than the bucket holds is granted from a full bucket and leaves a debt.
    pub fn try_take(&mut self, amount: f64, now_ms: u64) -> Result<(), u64> {
        self.refill(now_ms);
        let needed = amount.min(self.capacity);
        if self.level < needed {
            return Err(((needed - self.level) / self.rate_per_s * 1_000.0).ceil() as u64);
        }
        self.level -= amount;
        Ok(())
    }

    /// Takes what was used beyond the estimate, as a debt if need be.
    pub fn charge(&mut self, amount: f64, now_ms: u64) {
        self.refill(now_ms);
        self.level -= amount;
    }

    /// Changes rate and burst and keeps the level within the new capacity.
    pub fn set_rate(&mut self, rate_per_s: f64, burst_s: f64, now_ms: u64) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.capacity = (rate_per_s * burst_s).max(1.0);
        self.level = self.level.min(self.capacity);
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        let gained = self.rate_per_s * elapsed_ms as f64 / 1_000.0;
        self.level = (self.level + gained).min(self.capacity);
    }
}

/// Counts requests in flight against a limit.
#[derive(Clone, Debug, Default)]
pub struct InFlightGate {
    in_flight: u32,
}

impl InFlightGate {
    /// Takes one in, if the limit allows.
    pub fn try_enter(&mut self, limit: u32) -> bool {
        if self.in_flight >= limit {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Lets one out.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
