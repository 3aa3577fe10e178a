//! The time as of which a router judges which others are live when it chooses schedulers.

/// Follows a router's own pauses.
///
/// After a pause the router has not heard from any other one for its length. If it took them all for
/// lost, it would become the scheduler of its own requests, and assign slots that are taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerView {
    observed_ms: Option<u64>,
    pause: Option<Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    began_ms: u64,
    /// Until when the view from before the pause is used.
    until_ms: u64,
}

impl SchedulerView {
    /// Time between two observations after which this router itself was paused, in milliseconds.
    const MIN_PAUSE_MS: u64 = 350;
    /// Running time after a pause for which the view from before it is used, in milliseconds: that
    /// without heartbeats after which a router counts as lost.
    const HOLD_MS: u64 = 1_000;

    /// Records that this router runs, and returns the time as of which others are live. Must be called
    /// every 100 ms or so.
    pub fn observe(&mut self, now_ms: u64) -> u64 {
        let before_ms = self.observed_ms.replace(now_ms);
        if let Some(before_ms) = before_ms
            && now_ms.saturating_sub(before_ms) >= Self::MIN_PAUSE_MS
        {
            // A pause that follows soon continues the one before, so that repeated pauses do not extend
            // the time for which this router runs with an outdated view.
            let (began_ms, left_ms) = match self.held(before_ms) {
                Some(pause) => (pause.began_ms, pause.until_ms - before_ms),
                None => (before_ms, Self::HOLD_MS),
            };
            let until_ms = now_ms + left_ms;
            self.pause = Some(Pause { began_ms, until_ms });
        }
        self.held(now_ms).map_or(now_ms, |pause| pause.began_ms)
    }

    /// The last pause, if the view from before it is used.
    fn held(&self, now_ms: u64) -> Option<Pause> {
        self.pause.filter(|pause| now_ms < pause.until_ms)
    }
}
