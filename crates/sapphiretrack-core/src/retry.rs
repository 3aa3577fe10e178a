//! The retry budget and backoff: retries stay a small part of the requests, whatever fails.

/// Allows retries as a share of the requests that came.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_request: f64,
    capacity: f64,
    level: f64,
}

impl RetryBudget {
    /// Retries that are allowed before any request came.
    const RESERVE: f64 = 5.0;

    /// A budget of this many retries for each request.
    pub fn new(retries_per_request: f64) -> Self {
        Self {
            retries_per_request,
            capacity: Self::RESERVE * 4.0,
            level: Self::RESERVE,
        }
    }

    /// Notes a request.
    pub fn note_request(&mut self) {
        self.level = (self.level + self.retries_per_request).min(self.capacity);
    }

    /// Takes one retry, if the budget allows.
    pub fn try_retry(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// The longest wait before the first retry of a request; doubled for each further one.
const BACKOFF_MS: u64 = 20;
/// The longest wait before any retry.
const MAX_BACKOFF_MS: u64 = 200;

/// How long to wait before the next attempt: anywhere up to a bound that doubles, so that
/// routers that failed together do not retry together. `draw` is a random number below 1.
pub fn backoff_ms(attempts: u32, draw: f64) -> u64 {
    let doublings = attempts.saturating_sub(1).min(8);
    let bound_ms = (BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
    (bound_ms as f64 * draw.clamp(0.0, 1.0)) as u64
}
