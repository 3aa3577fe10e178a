//! What a router observes on its own requests.

use std::collections::HashMap;

use sapphiretrack_core::DrainRate;
use sapphiretrack_routing::{
    EngineAdmission, Incarnation, PlainShare, PrefixIndex, RetryShare, ServerHealth, ServiceTime,
};

use crate::settings::RouterSettings;

/// Data observed on this router's own requests.
pub(crate) struct Traffic {
    /// The load and the health of servers.
    pub(crate) health: HashMap<Incarnation, ServerHealth>,
    /// The servers that are expected to cache prompt prefixes.
    pub(crate) prefix_index: PrefixIndex,
    /// This router's share of the retry budget.
    pub(crate) retries: RetryShare,
    /// The estimated time per request of each service.
    pub(crate) service_times: HashMap<String, ServiceTime>,
    /// The rate at which each service completes requests.
    pub(crate) drain_rates: HashMap<String, DrainRate>,
    /// The limits of each engine service.
    pub(crate) engine_admissions: HashMap<String, EngineAdmission>,
    /// The demand of the workspaces at each plain service.
    pub(crate) plain_shares: HashMap<String, PlainShare>,
}

impl Traffic {
    /// The data of a router that has just started.
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let mut prefix_index = PrefixIndex::default();
        prefix_index.set_settings(settings.warm);
        Self {
            health: HashMap::new(),
            prefix_index,
            retries: RetryShare::new(settings.retry.clone()),
            service_times: HashMap::new(),
            drain_rates: HashMap::new(),
            engine_admissions: HashMap::new(),
            plain_shares: HashMap::new(),
        }
    }
}
