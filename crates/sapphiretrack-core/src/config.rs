//! The fleet's configuration: all contracts and planned drains under one version.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::shared_tables::{self, SharedTables};
use crate::{Change, Contract, HistoryEntry, ServerId};

/// Number of recent changes kept in a configuration.
const RECENT_CHANGES: usize = 64;

/// Distance of a republished configuration's version from the one that a router held.
///
/// Routers that are not seen may hold later versions. None of those numbers is assigned twice as
/// long as there are fewer of them than this.
pub const REPUBLISH_STEP: u64 = 1_000;

/// Everything that operators have configured, under one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Increases with each accepted change; 0 before the first.
    pub version: u64,
    /// Contracts by customer name.
    #[serde(deserialize_with = "shared_tables::deserialize")]
    pub contracts: BTreeMap<String, Arc<Contract>>,
    /// Names of the backend servers that operators are draining.
    pub draining: BTreeSet<String>,
    /// The last changes, oldest first: sent to peers that are a few versions behind, and to the
    /// platform if it loses them.
    #[serde(default)]
    pub recent: VecDeque<Arc<HistoryEntry>>,
}

impl FleetConfig {
    /// Shares equal tables between the contracts.
    ///
    /// Deserialization already does this; call it on a configuration built in another way.
    pub fn share_tables(&mut self) {
        let mut tables = SharedTables::default();
        for contract in self.contracts.values_mut() {
            tables.share(Arc::make_mut(contract));
        }
    }

    /// Whether operators are draining this backend server.
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.draining
            .iter()
            .any(|name| ServerId::from_name(name) == server)
    }

    /// The configuration after the next change; `None` if the change does not follow this version.
    pub fn with_change(&self, entry: &Arc<HistoryEntry>) -> Option<Self> {
        let follows_current = match &entry.change {
            Change::Republished { held_version } => *held_version == self.version,
            _ => entry.version == self.version + 1,
        };
        if !follows_current || entry.version <= self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = entry.version;
        match &entry.change {
            Change::Contract { contract, .. } => {
                let mut contract = contract.as_ref().clone();
                SharedTables::of(&self.contracts).share(&mut contract);
                let customer = contract.customer.clone();
                next.contracts.insert(customer, Arc::new(contract));
            }
            Change::Drain {
                server,
                draining: true,
            } => {
                next.draining.insert(server.clone());
            }
            Change::Drain {
                server,
                draining: false,
            } => {
                next.draining.remove(server);
            }
            Change::Republished { .. } => {}
        }
        next.recent.push_back(entry.clone());
        while next.recent.len() > RECENT_CHANGES {
            next.recent.pop_front();
        }
        Some(next)
    }

    /// The configuration after a sequence of changes; `None` if there is a gap.
    pub fn with_changes(&self, entries: &[Arc<HistoryEntry>]) -> Option<Self> {
        let Some((first, rest)) = entries.split_first() else {
            return Some(self.clone());
        };
        let first = self.with_change(first)?;
        rest.iter()
            .try_fold(first, |config, entry| config.with_change(entry))
    }

    /// The changes from an older version to this one, if they are still in [`Self::recent`].
    ///
    /// The older version is identified by its change id as well, since a platform restored from a
    /// backup may have reused the number.
    pub fn changes_since(&self, version: u64, change_id: &str) -> Option<Vec<Arc<HistoryEntry>>> {
        let is_known_version =
            |entry: &Arc<HistoryEntry>| entry.version == version && entry.change_id == change_id;
        let position = self.recent.iter().position(is_known_version)?;
        Some(self.recent.iter().skip(position + 1).cloned().collect())
    }

    /// The id of the change that created this version; empty if unknown.
    pub fn last_change_id(&self) -> &str {
        self.recent.back().map_or("", |entry| &entry.change_id)
    }
}

/// The result of offering a configuration to a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigOffer {
    /// The configuration was newer and is now in force.
    Adopted,
    /// The configuration was not newer and was ignored.
    Ignored,
}

/// Replaces the current configuration only by a newer one, so that the version never decreases.
pub fn adopt_if_newer(
    current: &mut Arc<FleetConfig>,
    offered: impl Into<Arc<FleetConfig>>,
) -> ConfigOffer {
    let offered = offered.into();
    if offered.version <= current.version {
        return ConfigOffer::Ignored;
    }
    *current = offered;
    ConfigOffer::Adopted
}

/// Index of contracts by caller key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    by_digest: HashMap<[u8; 32], Arc<Contract>>,
}

impl KeyIndex {
    /// Builds the index of a configuration; do this once when the configuration takes effect.
    pub fn new(config: &FleetConfig) -> Self {
        let mut by_digest = HashMap::with_capacity(config.contracts.len());
        for contract in config.contracts.values() {
            for digest in &contract.caller_keys_sha256 {
                if let Some(digest) = parse_digest(digest) {
                    by_digest.entry(digest).or_insert_with(|| contract.clone());
                }
            }
        }
        Self { by_digest }
    }

    /// The contract that lists a caller's key, if any.
    pub fn contract_of_key(&self, key: &str) -> Option<&Arc<Contract>> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        self.by_digest.get(&digest)
    }
}

/// Parses a SHA-256 digest of 64 hex digits.
fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if text.len() != 2 * digest.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
