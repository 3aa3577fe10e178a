//! A monotonic clock for decisions, and the wall clock for timestamps that are stored or shared.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Measures the milliseconds since the daemon started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Returns the milliseconds since the Unix epoch, which may jump in either direction.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
