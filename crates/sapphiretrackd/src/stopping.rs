//! Decides during a planned stop which requests are accepted, and when the endpoints may be closed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sapphiretrack_core::{Refusal, RefusalCode, StopTiming};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Interval at which a planned stop checks whether it may close the endpoints.
const STOP_POLL: Duration = Duration::from_millis(20);

/// When the planned stop has begun, and when the last request arrived.
pub(crate) struct Stopping {
    clock: Clock,
    timing: StopTiming,
    limit_ms: u64,
    /// 0 before the stop.
    begun_ms: AtomicU64,
    last_arrival_ms: AtomicU64,
}

impl Stopping {
    /// Creates the state of a router that is not stopping.
    pub(crate) fn new(clock: Clock, settings: &Settings) -> Self {
        Self {
            clock,
            timing: StopTiming {
                entry_ttl_ms: settings.entry_ttl_ms,
                peers_informed_ms: settings.dead_after_ms,
            },
            limit_ms: settings.stop_limit_ms,
            begun_ms: AtomicU64::new(0),
            last_arrival_ms: AtomicU64::new(0),
        }
    }

    /// Records the arrival of a request.
    pub(crate) fn record_arrival(&self) {
        let now_ms = self.clock.now_ms();
        self.last_arrival_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Returns whether the planned stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun_ms.load(Ordering::Relaxed) != 0
    }

    /// Returns the refusal of a request with this deadline, if the stop may end before the request does.
    pub(crate) fn refusal(&self, deadline_ms: u64) -> Option<Refusal> {
        let begun_ms = self.begun_ms.load(Ordering::Relaxed);
        if begun_ms == 0 {
            return None;
        }
        let stopping_ms = self.clock.now_ms().saturating_sub(begun_ms);
        if self.timing.accepts(stopping_ms, self.limit_ms, deadline_ms) {
            return None;
        }
        let message = "the router stops before the deadline of the class";
        Some(Refusal::not_run(RefusalCode::Stopping, message))
    }

    /// Begins the stop and waits until the endpoints may be closed or the limit is reached.
    ///
    /// Requests are still served in the meantime.
    pub(crate) async fn drain_requests(&self, metrics: &Metrics, limit: tokio::time::Instant) {
        let started_ms = self.clock.now_ms().max(1);
        self.begun_ms.store(started_ms, Ordering::Relaxed);
        while tokio::time::Instant::now() < limit {
            let now_ms = self.clock.now_ms();
            let quiet_ms = now_ms.saturating_sub(self.last_arrival_ms.load(Ordering::Relaxed));
            let stopping_ms = now_ms.saturating_sub(started_ms);
            let in_flight = metrics.requests_in_flight();
            if self.timing.may_close(stopping_ms, quiet_ms, in_flight) {
                return;
            }
            tokio::time::sleep(STOP_POLL).await;
        }
    }
}
