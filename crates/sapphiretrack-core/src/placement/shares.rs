//! How the load divides over workspaces, as one router sees it.

use std::collections::BTreeMap;

use crate::WorkspaceKey;

/// After this time a request counts half.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Workspaces that are counted at a time; the rest count as small.
const MAX_WORKSPACES: usize = 4_096;

/// A decaying count of requests by workspace.
///
/// A router sees only a sliver of the traffic, but a workspace's share of the sliver estimates
/// its share of the whole.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    counts: BTreeMap<WorkspaceKey, Decaying>,
    total: Decaying,
}

/// A count that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    count: f64,
    at_ms: u64,
}

impl WorkspaceShares {
    /// Counts a request of a workspace and returns the workspace's share of the load.
    pub fn note(&mut self, workspace: WorkspaceKey, now_ms: u64) -> f64 {
        if self.counts.len() >= MAX_WORKSPACES && !self.counts.contains_key(&workspace) {
            self.counts.retain(|_, known| known.at(now_ms) >= 1.0);
        }
        self.total.add(now_ms);
        if self.counts.len() >= MAX_WORKSPACES && !self.counts.contains_key(&workspace) {
            return 0.0;
        }
        let own = self.counts.entry(workspace).or_default();
        own.add(now_ms);
        // One request more is taken as spread evenly, so that the first requests tell little.
        own.count / (self.total.count + PRIOR_REQUESTS)
    }
}

/// Requests of other workspaces that a router is taken to have seen before its first.
const PRIOR_REQUESTS: f64 = 20.0;

impl Decaying {
    fn add(&mut self, now_ms: u64) {
        self.count = self.at(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / HALF_LIFE_MS).exp2()
    }
}
