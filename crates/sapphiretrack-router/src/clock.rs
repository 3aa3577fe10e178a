//! The monotonic clock of all timing decisions; it keeps running while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A clock that counts the milliseconds since boot, suspended time included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the milliseconds since boot.
    ///
    /// # Panics
    ///
    /// If the system has no `CLOCK_BOOTTIME`; every supported Linux has it.
    pub fn now_ms(self) -> u64 {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
        Duration::from(time).as_millis() as u64
    }
}
