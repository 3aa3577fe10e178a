//! Rate limiting with a token bucket.

/// A token bucket; callers pass in the current time.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    updated_ms: u64,
}

impl RateLimiter {
    /// Creates a full bucket that holds `burst_s` seconds of the rate, at least one unit.
    pub fn new(rate_per_s: f64, burst_s: f64, now_ms: u64) -> Self {
        let capacity = (rate_per_s * burst_s).max(1.0);
        Self {
            rate_per_s,
            capacity,
            level: capacity,
            updated_ms: now_ms,
        }
    }

    /// Takes `amount`, or returns in how many milliseconds it will be available.
    ///
    /// An amount above the capacity is granted from a full bucket and leaves a debt.
    pub fn try_take(&mut self, amount: f64, now_ms: u64) -> Result<(), u64> {
        match self.wait_ms(amount, now_ms) {
            0 => {
                self.level -= amount;
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Milliseconds until [`Self::try_take`] would succeed for `amount`; 0 if it would now.
    pub fn wait_ms(&mut self, amount: f64, now_ms: u64) -> u64 {
        self.refill(now_ms);
        let needed = amount.min(self.capacity);
        if self.level >= needed {
            return 0;
        }
        ((needed - self.level) / self.rate_per_s * 1_000.0)
            .ceil()
            .max(1.0) as u64
    }

    /// The amount that can be taken without leaving a debt.
    pub fn available(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        self.level.max(0.0)
    }

    /// Whether the bucket is full.
    pub fn is_full(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.level >= self.capacity
    }

    /// Returns an amount that was taken and not used.
    pub fn give_back(&mut self, amount: f64, now_ms: u64) {
        self.refill(now_ms);
        self.level = (self.level + amount).min(self.capacity);
    }

    /// Reduces the level to a fraction of it, but not below one unit.
    pub fn scale_level(&mut self, share: f64) {
        self.level = (self.level * share).max(self.level.min(1.0));
    }

    /// Takes an amount unconditionally; the level may become negative.
    pub fn charge(&mut self, amount: f64, now_ms: u64) {
        self.refill(now_ms);
        self.level -= amount;
    }

    /// Changes the rate and burst; the level is limited to the new capacity.
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
