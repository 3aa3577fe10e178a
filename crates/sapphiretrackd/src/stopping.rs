//! Decides during a planned stop when the endpoints may be closed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use sapphiretrack_core::StopTiming;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Interval at which a planned stop checks whether it may close the endpoints.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Whether the planned stop has begun, and when the last request arrived.
pub(crate) struct Stopping {
    clock: Clock,
    begun: AtomicBool,
    last_arrival_ms: AtomicU64,
}

impl Stopping {
    /// Creates the state of a router that is not stopping.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            begun: AtomicBool::new(false),
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
        self.begun.load(Ordering::Relaxed)
    }

    /// Begins the stop and waits until the endpoints may be closed or the limit is reached.
    ///
    /// Requests are still served in the meantime.
    pub(crate) async fn drain_requests(
        &self,
        settings: &Settings,
        metrics: &Metrics,
        limit: tokio::time::Instant,
    ) {
        self.begun.store(true, Ordering::Relaxed);
        let timing = StopTiming {
            entry_ttl_ms: settings.entry_ttl_ms,
            peers_informed_ms: settings.dead_after_ms,
        };
        let started_ms = self.clock.now_ms();
        while tokio::time::Instant::now() < limit {
            let now_ms = self.clock.now_ms();
            let quiet_ms = now_ms.saturating_sub(self.last_arrival_ms.load(Ordering::Relaxed));
            if timing.may_close(now_ms - started_ms, quiet_ms, metrics.requests_in_flight()) {
                return;
            }
            tokio::time::sleep(STOP_POLL).await;
        }
    }
}
