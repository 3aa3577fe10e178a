//! Phases of a planned stop: what a router still accepts, and when it exits.

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
    /// Time for which requests are accepted, in milliseconds. A long request that is accepted later
    /// may not complete within the grace period.
    const SERVE_MS: u64 = 2_500;
    /// Time without requests after which an idle router exits, in milliseconds. Until then callers
    /// may still connect.
    const QUIET_MS: u64 = 3_000;
    /// Margin between the exit of the process and the kill, in milliseconds.
    const RESERVE_MS: u64 = 400;

    /// Returns the phase at `since_ms` after the signal. `in_flight` requests are running, and the
    /// last one arrived or ended `quiet_ms` ago.
    pub fn phase(&self, since_ms: u64, in_flight: usize, quiet_ms: u64) -> StopPhase {
        let end_ms = self.grace_ms.saturating_sub(Self::RESERVE_MS);
        if since_ms >= end_ms {
            return StopPhase::Finished;
        }
        let idle = in_flight == 0 && quiet_ms >= Self::QUIET_MS && since_ms >= Self::QUIET_MS;
        if idle {
            return StopPhase::Finished;
        }
        match since_ms < Self::SERVE_MS {
            true => StopPhase::Serving,
            false => StopPhase::Draining,
        }
    }
}
