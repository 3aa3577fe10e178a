//! Phases of a planned stop: what a router still accepts and passes on, and when it exits.

/// The timing of a planned stop, counted from its signal.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// Time in milliseconds until the platform kills the process.
    pub grace_ms: u64,
}

/// The phase of a stopping router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopPhase {
    /// It still accepts requests, since callers may have cached lookups that contain its address.
    Serving,
    /// It rejects new requests as not run, and completes those in flight.
    Draining,
    /// It exits.
    Finished,
}

impl StopTimes {
    /// Longest time for which requests are accepted, in milliseconds. A long request that is accepted
    /// later may not complete within the grace period.
    const MAX_SERVE_MS: u64 = 2_500;
    /// The part of the grace period in which requests are accepted at most, in sixteenths, so that most
    /// of a short one is left for those that run.
    const SERVE_SIXTEENTHS: u64 = 5;
    /// Time without requests after which an idle router exits, in milliseconds. Until then callers
    /// may still connect.
    const QUIET_MS: u64 = 3_000;
    /// Longest margin between the last answers and the kill, in milliseconds.
    const MAX_RESERVE_MS: u64 = 400;
    /// The part of the grace period that this margin takes at most.
    const RESERVE_SHARE: u64 = 6;
    /// The part of the margin in which the last answers are written before the process exits.
    const WRITE_SHARE: u64 = 4;

    /// Returns the phase at `since_ms` after the signal. `in_flight` requests are running, and the
    /// last one arrived or ended `quiet_ms` ago.
    pub fn phase(&self, since_ms: u64, in_flight: usize, quiet_ms: u64) -> StopPhase {
        if since_ms >= self.end_ms() + self.reserve_ms() / Self::WRITE_SHARE {
            return StopPhase::Finished;
        }
        let idle = in_flight == 0 && quiet_ms >= Self::QUIET_MS && since_ms >= Self::QUIET_MS;
        if idle {
            return StopPhase::Finished;
        }
        match since_ms < self.serve_ms() {
            true => StopPhase::Serving,
            false => StopPhase::Draining,
        }
    }

    /// Whether a request that was accepted before may be passed on, `since_ms` after the signal, if it
    /// needs up to `needed_ms` from then on. Once no requests are accepted any more, only those are passed
    /// on that end before the process does.
    pub fn may_pass_on(&self, since_ms: u64, needed_ms: u64) -> bool {
        since_ms < self.serve_ms() || since_ms.saturating_add(needed_ms) <= self.end_ms()
    }

    /// For how long a request may wait to be passed on, `since_ms` after the signal, if its deadline
    /// passes in `left_ms` and it then needs up to `needed_ms`; none if only its deadline limits that.
    pub fn wait_ms(&self, since_ms: u64, left_ms: u64, needed_ms: u64) -> Option<u64> {
        if since_ms.saturating_add(left_ms) <= self.end_ms() {
            return None;
        }
        let latest_ms = self.end_ms().saturating_sub(needed_ms);
        Some(latest_ms.max(self.serve_ms()).saturating_sub(since_ms))
    }

    /// When requests without an answer get one, in milliseconds after the signal.
    pub fn end_ms(&self) -> u64 {
        self.grace_ms - self.reserve_ms()
    }

    fn reserve_ms(&self) -> u64 {
        Self::MAX_RESERVE_MS.min(self.grace_ms / Self::RESERVE_SHARE)
    }

    fn serve_ms(&self) -> u64 {
        let share_ms = self.grace_ms.saturating_mul(Self::SERVE_SIXTEENTHS) / 16;
        Self::MAX_SERVE_MS.min(share_ms)
    }
}
