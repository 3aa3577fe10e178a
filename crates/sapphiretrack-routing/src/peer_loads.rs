//! The load that other routers put on servers, and whether it is recent enough to use.

use std::collections::HashMap;

use crate::LoadsByServer;

/// The last received counts, and their moving averages.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    counts: LoadsByServer,
    averages: HashMap<u32, f64>,
    /// Average age of the counts when they arrived, in milliseconds.
    age_ms: u64,
    received_ms: u64,
}

impl PeerLoads {
    /// Time constant of the averages in milliseconds: several digests, and well below the time in
    /// which the load of a service changes.
    const AVERAGE_MS: f64 = 1_000.0;
    /// Number of service times after which a count no longer shows which requests run at a server.
    const OUTDATED_SERVICE_TIMES: f64 = 5.0;
    /// Averages below this are dropped.
    const MIN_AVERAGE: f64 = 0.01;

    /// Returns the state after new counts, which are `age_ms` old.
    pub fn update(&self, counts: LoadsByServer, age_ms: u64, now_ms: u64) -> Self {
        let passed_ms = now_ms.saturating_sub(self.received_ms) as f64;
        let decay = (-passed_ms / Self::AVERAGE_MS).exp();
        let mut averages: HashMap<u32, f64> = HashMap::with_capacity(counts.len());
        for (server, average) in &self.averages {
            if average * decay >= Self::MIN_AVERAGE {
                averages.insert(*server, average * decay);
            }
        }
        for (server, (in_flight, _)) in &counts {
            *averages.entry(*server).or_default() += f64::from(*in_flight) * (1.0 - decay);
        }
        Self {
            counts,
            averages,
            age_ms,
            received_ms: now_ms,
        }
    }

    /// Returns the last counts.
    pub fn counts(&self) -> &LoadsByServer {
        &self.counts
    }

    /// Returns the requests and unprocessed prompt tokens at a server, by the last counts.
    pub fn count(&self, server: u32) -> (u32, u64) {
        self.counts.get(&server).copied().unwrap_or_default()
    }

    /// Returns the average number of requests at a server over the last seconds.
    pub fn average(&self, server: u32) -> f64 {
        self.averages.get(&server).copied().unwrap_or(0.0)
    }

    /// Returns whether the counts are too old to show which server of a service is free: most of
    /// the counted requests have ended.
    pub fn is_outdated(&self, service_ms: Option<f64>, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.received_ms) + self.age_ms;
        service_ms
            .is_some_and(|service_ms| age_ms as f64 > service_ms * Self::OUTDATED_SERVICE_TIMES)
    }
}

/// Estimate of the time in milliseconds that a service takes for a request that does not queue,
/// from this router's own requests. It follows a low quantile, since most slower requests were
/// queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime(Option<f64>);

impl ServiceTime {
    /// Weight of a time below the estimate.
    const FASTER_WEIGHT: f64 = 0.1;
    /// Weight of a time above the estimate.
    const SLOWER_WEIGHT: f64 = 0.005;

    /// Records the time of a served request in milliseconds.
    pub fn record(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        let estimate = self.0.get_or_insert(took_ms);
        let weight = match took_ms < *estimate {
            true => Self::FASTER_WEIGHT,
            false => Self::SLOWER_WEIGHT,
        };
        *estimate += (took_ms - *estimate) * weight;
    }

    /// Returns the estimate in milliseconds; `None` before the first request.
    pub fn estimate_ms(&self) -> Option<f64> {
        self.0
    }
}
