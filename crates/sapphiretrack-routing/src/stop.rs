//! A planned stop: what a router still takes, and when it ends.

/// The times of a planned stop, counted from its signal.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// The time that the platform grants before it kills the process.
    pub grace_ms: u64,
}

/// What a stopping router does at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopPhase {
    /// It takes requests on, since callers still hold lookups that name it.
    Serving,
    /// It refuses new requests as not run, and ends those that it has.
    Finishing,
    /// It ends.
    Over,
}

impl StopTimes {
    /// A long request that is taken later than this may not end within the grace.
    const SERVE_MS: u64 = 2_500;
    /// How long after the last request an idle router stays, for callers that still connect.
    const QUIET_MS: u64 = 3_000;
    /// Kept between the end of the process and the kill.
    const RESERVE_MS: u64 = 400;

    /// The phase at `since_ms` after the signal. `in_flight` requests run, and the last one came
    /// or ended `quiet_ms` ago.
    pub fn phase(&self, since_ms: u64, in_flight: usize, quiet_ms: u64) -> StopPhase {
        let last_ms = self.grace_ms.saturating_sub(Self::RESERVE_MS);
        if since_ms >= last_ms {
            return StopPhase::Over;
        }
        let idle = in_flight == 0 && quiet_ms >= Self::QUIET_MS && since_ms >= Self::QUIET_MS;
        if idle {
            return StopPhase::Over;
        }
        match since_ms < Self::SERVE_MS {
            true => StopPhase::Serving,
            false => StopPhase::Finishing,
        }
    }
}
