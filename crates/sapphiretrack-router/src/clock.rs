//! The clock of all decisions: it also counts the time that the machine was suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine started, suspended time included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// The time now.
    ///
    /// # Panics
    ///
    /// If the system has no such clock, which Linux has had for longer than this program.
    pub fn now_ms(self) -> u64 {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system counts its uptime");
        Duration::from(time).as_millis() as u64
    }
}
