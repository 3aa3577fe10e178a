//! The retry budget: retries stay a small part of the requests, whatever fails.

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
