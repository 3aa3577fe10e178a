//! Detects pauses of the control loop, after which its view is outdated.

/// Time between two iterations of the control loop from which on it counts as paused.
pub const MAX_ITERATION_GAP_MS: u64 = 1_000;

/// Detects that the control loop paused, because the process was stopped or got no CPU time.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_iteration_ms: Option<u64>,
}

impl PauseDetector {
    /// Records an iteration of the loop; returns the length of the pause before it, if any.
    pub fn record_iteration(&mut self, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_iteration_ms.replace(now_ms)?;
        let gap_ms = now_ms.saturating_sub(last_ms);
        (gap_ms >= MAX_ITERATION_GAP_MS).then_some(gap_ms)
    }
}
