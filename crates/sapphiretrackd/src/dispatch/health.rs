//! What this router's own requests tell about pools and servers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sapphiretrack_core::{
    Candidate, ClassPolicy, DrainRate, OutlierDetector, ServerId, ShedControl,
};

/// Outlier detection, shedding and drain rates, shared by all requests.
#[derive(Default)]
pub(crate) struct Health {
    outliers: Mutex<OutlierDetector>,
    pools: Mutex<BTreeMap<String, PoolLoad>>,
}

/// The load of one pool as this router meets it.
struct PoolLoad {
    shed: ShedControl,
    drain: DrainRate,
}

impl Health {
    /// The candidates without the servers that are left out.
    pub(crate) fn filter(&self, candidates: Vec<Candidate>, now_ms: u64) -> Vec<Candidate> {
        self.outliers()
            .filter(candidates, |one| one.server, rand::random(), now_ms)
    }

    /// Notes how an attempt ended; true if the server is left out from now on.
    pub(crate) fn note_attempt(&self, server: ServerId, went_well: bool, now_ms: u64) -> bool {
        let mut outliers = self.outliers();
        if went_well {
            outliers.note_success(server, now_ms);
            return false;
        }
        outliers.note_failure(server, now_ms)
    }

    /// The part of a server's load bound that a request may fill now.
    pub(crate) fn bound_share(&self, pool: &str, policy: &ClassPolicy, now_ms: u64) -> f64 {
        self.with_pool(pool, now_ms, |load| {
            load.shed.note_request(policy.priority, now_ms);
            policy.bound_share * load.shed.share(policy.priority, now_ms)
        })
    }

    /// Notes a whole or late answer.
    pub(crate) fn note_answer(&self, pool: &str, policy: &ClassPolicy, took_ms: u64, now_ms: u64) {
        self.with_pool(pool, now_ms, |load| {
            load.drain.note_end(now_ms);
            load.shed
                .note_answer(policy.priority, took_ms, policy.deadline_ms, now_ms);
        });
    }

    /// When a caller that is refused for want of room may come back.
    pub(crate) fn retry_after_ms(&self, pool: &str, now_ms: u64) -> u64 {
        self.with_pool(pool, now_ms, |load| {
            load.drain.retry_after_ms(rand::random(), now_ms)
        })
    }

    fn with_pool<Result, Act>(&self, pool: &str, now_ms: u64, act: Act) -> Result
    where
        Act: FnOnce(&mut PoolLoad) -> Result,
    {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(load) = pools.get_mut(pool) {
            return act(load);
        }
        // Pools are those of contracts, so their number is bounded.
        let load = pools.entry(pool.to_owned()).or_insert_with(|| PoolLoad {
            shed: ShedControl::default(),
            drain: DrainRate::new(now_ms),
        });
        act(load)
    }

    fn outliers(&self) -> MutexGuard<'_, OutlierDetector> {
        self.outliers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
