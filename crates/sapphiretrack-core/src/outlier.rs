//! Outlier detection: ejects servers with failed attempts for some time, then ramps them up slowly.

use std::collections::BTreeMap;

use crate::ServerId;

/// Settings for ejecting servers and for their return.
#[derive(Clone, Debug)]
pub struct OutlierSettings {
    /// Consecutive failures after which a server is ejected.
    pub failures_in_row: u32,
    /// Duration of the first ejection; doubles with each further one.
    pub ejection_ms: u64,
    /// Maximum duration of an ejection.
    pub max_ejection_ms: u64,
    /// Time after an ejection until the server gets its full share again.
    pub slow_start_ms: u64,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            failures_in_row: 5,
            ejection_ms: 2_000,
            max_ejection_ms: 60_000,
            slow_start_ms: 10_000,
        }
    }
}

/// Server health as observed by a router's own attempts.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    servers: BTreeMap<ServerId, Health>,
}

/// The failures of one server; a server without failures has no entry.
#[derive(Clone, Debug, Default)]
struct Health {
    failures_in_row: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

impl OutlierDetector {
    /// Fraction of its share that a server gets directly after an ejection.
    const FIRST_SHARE: f64 = 0.1;

    /// Creates a detector without recorded failures.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Records a successful attempt.
    pub fn note_success(&mut self, server: ServerId, now_ms: u64) {
        let Some(health) = self.servers.get_mut(&server) else {
            return;
        };
        health.failures_in_row = 0;
        if now_ms >= health.ejected_until_ms + self.settings.slow_start_ms {
            self.servers.remove(&server);
        }
    }

    /// Records a failed attempt; returns true if it causes an ejection.
    pub fn note_failure(&mut self, server: ServerId, now_ms: u64) -> bool {
        let health = self.servers.entry(server).or_default();
        health.failures_in_row += 1;
        let is_recovering =
            health.ejections > 0 && now_ms < health.ejected_until_ms + self.settings.slow_start_ms;
        let limit = if is_recovering {
            1
        } else {
            self.settings.failures_in_row
        };
        if now_ms < health.ejected_until_ms || health.failures_in_row < limit {
            return false;
        }
        let doubled = self.settings.ejection_ms << health.ejections.min(16);
        health.ejected_until_ms = now_ms + doubled.min(self.settings.max_ejection_ms);
        health.ejections += 1;
        health.failures_in_row = 0;
        true
    }

    /// Fraction of its usual share that a server gets now; 0 while it is ejected.
    pub fn share(&self, server: ServerId, now_ms: u64) -> f64 {
        let Some(health) = self.servers.get(&server) else {
            return 1.0;
        };
        if health.ejections == 0 {
            return 1.0;
        }
        if now_ms < health.ejected_until_ms {
            return 0.0;
        }
        let since_ms = (now_ms - health.ejected_until_ms) as f64;
        let ramp = since_ms / self.settings.slow_start_ms.max(1) as f64;
        (Self::FIRST_SHARE + (1.0 - Self::FIRST_SHARE) * ramp).min(1.0)
    }

    /// The ranked candidates without ejected servers; `draw` is a random number below 1.
    ///
    /// If more than half of the candidates are ejected, the cause is probably not theirs, and all
    /// are returned.
    pub fn filter<Ranked, ServerOf>(
        &self,
        candidates: Vec<Ranked>,
        server_of: ServerOf,
        draw: f64,
        now_ms: u64,
    ) -> Vec<Ranked>
    where
        ServerOf: Fn(&Ranked) -> ServerId,
    {
        let share = |candidate: &Ranked| self.share(server_of(candidate), now_ms);
        let ejected = candidates
            .iter()
            .filter(|candidate| share(candidate) == 0.0)
            .count();
        if ejected * 2 > candidates.len() {
            return candidates;
        }
        // Recovering servers that are skipped for this request come last, in the same order.
        let (preferred, skipped): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .filter(|candidate| share(candidate) > 0.0)
            .partition(|candidate| draw < share(candidate));
        preferred.into_iter().chain(skipped).collect()
    }
}
