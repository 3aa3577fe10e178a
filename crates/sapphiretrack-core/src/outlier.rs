//! Outlier detection: servers whose attempts fail are left out for a while, then come back slowly.

use std::collections::BTreeMap;

use crate::ServerId;

/// When a server is left out, and how it comes back.
#[derive(Clone, Debug)]
pub struct OutlierSettings {
    /// Failures in a row after which a server is left out.
    pub failures_in_row: u32,
    /// How long a server is left out the first time; doubled each time.
    pub ejection_ms: u64,
    /// The longest time that a server is left out.
    pub max_ejection_ms: u64,
    /// How long a server that comes back takes to its full share.
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

/// What a router's own attempts tell about servers.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    servers: BTreeMap<ServerId, Health>,
}

/// What attempts told about one server; a server without failures has no entry.
#[derive(Clone, Debug, Default)]
struct Health {
    failures_in_row: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

impl OutlierDetector {
    /// The smallest part of its share that a server gets when it comes back.
    const FIRST_SHARE: f64 = 0.1;

    /// A detector that knows nothing yet.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Notes an attempt that ended well.
    pub fn note_success(&mut self, server: ServerId, now_ms: u64) {
        let Some(health) = self.servers.get_mut(&server) else {
            return;
        };
        health.failures_in_row = 0;
        if now_ms >= health.ejected_until_ms + self.settings.slow_start_ms {
            self.servers.remove(&server);
        }
    }

    /// Notes an attempt that failed; true if the server is left out from now on.
    pub fn note_failure(&mut self, server: ServerId, now_ms: u64) -> bool {
        let health = self.servers.entry(server).or_default();
        health.failures_in_row += 1;
        let recovering =
            health.ejections > 0 && now_ms < health.ejected_until_ms + self.settings.slow_start_ms;
        let limit = if recovering {
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

    /// The part of its usual share that a server gets now: 0 while it is left out.
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

    /// The ranked candidates without the servers that are left out; `draw` is a random number
    /// below 1.
    ///
    /// If more than half of them would be left out, the fault is hardly theirs: all stay.
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
        let ejected = candidates.iter().filter(|one| share(one) == 0.0).count();
        if ejected * 2 > candidates.len() {
            return candidates;
        }
        // Stable: servers that sit this request out are the last resort, in their order.
        let (first, last): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .filter(|candidate| share(candidate) > 0.0)
            .partition(|candidate| draw < share(candidate));
        first.into_iter().chain(last).collect()
    }
}
