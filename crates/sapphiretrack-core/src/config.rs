//! The configuration of the fleet: all contracts and planned drains under one version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Contract, ServerId, sha256_hex};

/// All that operators have set, under one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Rises by one with each accepted change; 0 before the first.
    pub version: u64,
    /// The contract of each customer, by customer name.
    pub contracts: BTreeMap<String, Arc<Contract>>,
    /// The names of backend servers that operators are draining.
    pub draining: BTreeSet<String>,
}

impl FleetConfig {
    /// The contract that lists a caller's key.
    pub fn contract_of_key(&self, key: &str) -> Option<&Arc<Contract>> {
        let digest = sha256_hex(key);
        self.contracts
            .values()
            .find(|contract| contract.caller_keys_sha256.contains(&digest))
    }

    /// Whether an operator is draining this backend server.
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.draining
            .iter()
            .any(|name| ServerId::from_name(name) == server)
    }
}

/// What came of a configuration that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refreshed {
    /// It was newer and is now in force.
    InForce,
    /// It was not newer and was dropped.
    Kept,
}

/// Takes an offered configuration only if it is newer: a version never goes back.
pub fn newer_config(
    current: &mut Arc<FleetConfig>,
    offered: impl Into<Arc<FleetConfig>>,
) -> Refreshed {
    let offered = offered.into();
    if offered.version <= current.version {
        return Refreshed::Kept;
    }
    *current = offered;
    Refreshed::InForce
}
