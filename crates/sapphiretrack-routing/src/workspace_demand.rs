//! Compares what workspaces ask for, to find those that ask for more than their share.

use std::collections::HashMap;

/// Work that workspaces asked for lately, with exponential decay.
///
/// Callers choose their router at random, so that what one router sees of each workspace is a sample
/// of what all see, and no messages are needed to compare workspaces.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceDemand {
    /// By the hash of the workspace's name.
    demands: HashMap<u64, Demand>,
    /// The sum of these.
    total: Demand,
    expired_ms: u64,
}

/// The work that was asked for, as of a time.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    work: f64,
    /// Number of requests.
    requests: f64,
    updated_ms: u64,
}

impl Demand {
    fn decayed(&self, now_ms: u64) -> Self {
        let past_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let left = (-past_ms / WorkspaceDemand::DECAY_MS).exp();
        Self {
            work: self.work * left,
            requests: self.requests * left,
            updated_ms: now_ms,
        }
    }

    fn add(&mut self, work: u32, now_ms: u64) {
        *self = self.decayed(now_ms);
        self.work += f64::from(work);
        self.requests += 1.0;
    }
}

impl WorkspaceDemand {
    /// A workspace is above its share if it asks for more than this multiple of the mean of all
    /// workspaces.
    const OVER_SHARE_FACTOR: f64 = 2.0;
    /// Requests of mean work by which a workspace must exceed that multiple. Where a router sees few
    /// requests of each workspace, one or two more are chance.
    const MARGIN_REQUESTS: f64 = 3.0;
    /// Time constant of the decay in milliseconds: long enough that a router which sees one request of
    /// a workspace in a second can compare them.
    const DECAY_MS: f64 = 3_000.0;
    /// Interval at which workspaces without recent requests are dropped, in milliseconds.
    const EXPIRE_MS: u64 = 10_000;

    /// Records a request of a workspace and its work, in any unit. Returns whether the workspace asks
    /// for more than its share, by a margin of some requests of mean work.
    pub fn record(&mut self, workspace: u64, work: u32, now_ms: u64) -> bool {
        let own = self.add(workspace, work, now_ms);
        self.is_over_share(own - self.margin())
    }

    /// Returns whether a workspace asks for more than its share, without recording a request.
    pub fn is_above(&self, workspace: u64, now_ms: u64) -> bool {
        let Some(demand) = self.demands.get(&workspace) else {
            return false;
        };
        // The total is as of the last request of any workspace.
        let as_of_ms = self.total.updated_ms.min(now_ms);
        self.is_over_share(demand.decayed(as_of_ms).work - self.margin())
    }

    fn margin(&self) -> f64 {
        let requests = self.total.requests.max(f64::MIN_POSITIVE);
        Self::MARGIN_REQUESTS * self.total.work / requests
    }

    /// Records a request of a workspace and its work. Returns what the workspace asked for lately.
    fn add(&mut self, workspace: u64, work: u32, now_ms: u64) -> f64 {
        if now_ms >= self.expired_ms + Self::EXPIRE_MS {
            self.expire(now_ms);
        }
        self.total.add(work, now_ms);
        let demand = self.demands.entry(workspace).or_default();
        demand.add(work, now_ms);
        demand.work
    }

    /// Returns whether a workspace that asked for this much lately, as of the last request of any,
    /// asks for more than its share.
    fn is_over_share(&self, own: f64) -> bool {
        own * self.demands.len() as f64 > self.total.work * Self::OVER_SHARE_FACTOR
    }

    fn expire(&mut self, now_ms: u64) {
        self.expired_ms = now_ms;
        self.demands
            .retain(|_, demand| demand.decayed(now_ms).work >= 1.0);
        let left = self.demands.values().map(|one| one.decayed(now_ms));
        let (work, requests) = left.fold((0.0, 0.0), |(work, requests), one| {
            (work + one.work, requests + one.requests)
        });
        self.total = Demand {
            work,
            requests,
            updated_ms: now_ms,
        };
    }
}
