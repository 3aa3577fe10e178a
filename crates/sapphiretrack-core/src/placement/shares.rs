//! Estimate of each workspace's share of the load from one router's requests.

use std::collections::BTreeMap;

use crate::WorkspaceKey;

/// Half-life of the request counts.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Maximum number of counted workspaces; the share of any further one is estimated as 0.
const MAX_WORKSPACES: usize = 4_096;

/// A decaying count of requests by workspace.
///
/// A router sees only a small sample of the traffic, but a workspace's share of the sample is an
/// estimate of its share of the total.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    counts: BTreeMap<WorkspaceKey, DecayingCount>,
    total: DecayingCount,
}

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    count: f64,
    at_ms: u64,
}

impl WorkspaceShares {
    /// Counts a request of a workspace and returns the workspace's estimated share of the load.
    pub fn note_request(&mut self, workspace: WorkspaceKey, now_ms: u64) -> f64 {
        if self.counts.len() >= MAX_WORKSPACES && !self.counts.contains_key(&workspace) {
            self.counts.retain(|_, count| count.at(now_ms) >= 1.0);
        }
        self.total.add(now_ms);
        if self.counts.len() >= MAX_WORKSPACES && !self.counts.contains_key(&workspace) {
            return 0.0;
        }
        let own = self.counts.entry(workspace).or_default();
        own.add(now_ms);
        // The prior requests limit the effect of the first few requests on the estimate.
        own.count / (self.total.count + PRIOR_REQUESTS)
    }
}

/// Number of requests of other workspaces that a router is assumed to have seen before its first
/// request.
const PRIOR_REQUESTS: f64 = 20.0;

impl DecayingCount {
    fn add(&mut self, now_ms: u64) {
        self.count = self.at(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / HALF_LIFE_MS).exp2()
    }
}
