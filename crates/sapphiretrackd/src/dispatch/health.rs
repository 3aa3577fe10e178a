//! Health of pools and servers as observed by this router's own requests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sapphiretrack_core::{
    Candidate, ClassPolicy, DrainRate, OutlierDetector, ServerId, ShedControl,
};

/// Outlier detection, load shedding and drain rates, shared by all requests.
#[derive(Default)]
pub(crate) struct Health {
    outliers: Mutex<OutlierDetector>,
    pools: Mutex<BTreeMap<String, PoolLoad>>,
}

/// The load of one pool as observed by this router.
struct PoolLoad {
    shed: ShedControl,
    drain: DrainRate,
}

impl Health {
    /// Removes ejected servers from the candidates.
    pub(crate) fn filter(&self, candidates: Vec<Candidate>, now_ms: u64) -> Vec<Candidate> {
        self.outliers().filter(
            candidates,
            |candidate| candidate.server,
            rand::random(),
            now_ms,
        )
    }

    /// Records the result of an attempt. Returns true if it ejects the server.
    pub(crate) fn record_attempt(&self, server: ServerId, succeeded: bool, now_ms: u64) -> bool {
        let mut outliers = self.outliers();
        if succeeded {
            outliers.note_success(server, now_ms);
            return false;
        }
        outliers.note_failure(server, now_ms)
    }

    /// Counts a request and returns the share of a server's load bound that it may fill.
    pub(crate) fn bound_share(&self, pool: &str, policy: &ClassPolicy, now_ms: u64) -> f64 {
        self.with_pool(pool, now_ms, |load| {
            load.shed.note_request(policy.priority, now_ms);
            policy.bound_share * load.shed.share(policy.priority, now_ms)
        })
    }

    /// Records the time of a complete or late answer.
    pub(crate) fn record_answer(
        &self,
        pool: &str,
        policy: &ClassPolicy,
        took_ms: u64,
        now_ms: u64,
    ) {
        self.with_pool(pool, now_ms, |load| {
            load.drain.note_end(now_ms);
            load.shed
                .note_answer(policy.priority, took_ms, policy.deadline_ms, now_ms);
        });
    }

    /// Returns the retry delay for a caller that was refused because the pool has no capacity.
    pub(crate) fn retry_after_ms(&self, pool: &str, now_ms: u64) -> u64 {
        self.with_pool(pool, now_ms, |load| {
            load.drain.retry_after_ms(rand::random(), now_ms)
        })
    }

    fn with_pool<Output, Action>(&self, pool: &str, now_ms: u64, action: Action) -> Output
    where
        Action: FnOnce(&mut PoolLoad) -> Output,
    {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(load) = pools.get_mut(pool) {
            return action(load);
        }
        // Only pools named by contracts get here, so their number is bounded.
        let load = pools.entry(pool.to_owned()).or_insert_with(|| PoolLoad {
            shed: ShedControl::default(),
            drain: DrainRate::new(now_ms),
        });
        action(load)
    }

    fn outliers(&self) -> MutexGuard<'_, OutlierDetector> {
        self.outliers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
