//! Retry budget and backoff, which keep retries a small fraction of all requests.

/// Limits retries to a fraction of the requests received.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_request: f64,
    capacity: f64,
    level: f64,
}

impl RetryBudget {
    /// Retries allowed before any request was received.
    const RESERVE: f64 = 5.0;

    /// Creates a budget that gains this many retries per request.
    pub fn new(retries_per_request: f64) -> Self {
        Self {
            retries_per_request,
            capacity: Self::RESERVE * 4.0,
            level: Self::RESERVE,
        }
    }

    /// Records a request, which adds to the budget.
    pub fn note_request(&mut self) {
        self.level = (self.level + self.retries_per_request).min(self.capacity);
    }

    /// Takes one retry from the budget; returns false if it is used up.
    pub fn try_retry(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// Maximum wait before the first retry of a request; doubles with each further one.
const BACKOFF_MS: u64 = 20;
/// Maximum wait before any retry.
const MAX_BACKOFF_MS: u64 = 200;

/// The wait before the next attempt: a random part of a bound that doubles with each attempt.
///
/// The randomness keeps routers that failed at the same time from retrying at the same time. `draw`
/// is a random number below 1.
pub fn backoff_ms(attempts: u32, draw: f64) -> u64 {
    let doublings = attempts.saturating_sub(1).min(8);
    let bound_ms = (BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
    (bound_ms as f64 * draw.clamp(0.0, 1.0)) as u64
}
