//! Clocks: a monotonic one for all decisions, the wall clock only for records.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Counts milliseconds since the daemon started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts at 0 now.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Milliseconds since 1970; may jump.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
