//! Pauses of the control loop: a loop that stood still must not act on what it knew before.

/// A gap between two turns from which on the view counts as old.
pub const MAX_TURN_GAP_MS: u64 = 1_000;

/// Notices that the control loop stood still, for a stopped process as for a starved one.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseWatch {
    last_turn_ms: Option<u64>,
}

impl PauseWatch {
    /// Notes a turn of the loop; returns the length of the pause before it, if it was one.
    pub fn turn(&mut self, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_turn_ms.replace(now_ms)?;
        let gap_ms = now_ms.saturating_sub(last_ms);
        (gap_ms >= MAX_TURN_GAP_MS).then_some(gap_ms)
    }
}
