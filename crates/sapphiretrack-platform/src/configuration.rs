//! The fleet's configuration in the platform's table. Changes have an id and are applied by
//! compare-and-swap.

use std::sync::Arc;

use sapphiretrack_core::{Change, Contract, FleetConfig, HistoryEntry, contract_differences};
use snafu::{ResultExt, ensure};

use crate::PlatformClient;
use crate::error::{
    ApplyError, ChangedWhileReadSnafu, NotAppliedSnafu, OlderStateSnafu, PlatformError,
};
use crate::rows::{
    AcceptedChange, CHANGE_PREFIX, CONTRACT_PREFIX, ContractRow, DRAIN_PREFIX, HEAD_KEY,
    HISTORY_PREFIX, Head, history_key, read_row,
};
use crate::snapshot::{decode_snapshot, encode_snapshot};
use crate::transaction::{change_transaction, republish_transaction};
use crate::wire::{Row, TransactReply};

const SNAPSHOT_OBJECT: &str = "config-snapshot";

/// Maximum number of attempts of a read or write that concurrent changes interrupt.
const MAX_ATTEMPTS: usize = 8;
/// Number of versions between snapshots. The router that applied the change to such a version
/// writes the snapshot.
const SNAPSHOT_INTERVAL_VERSIONS: u64 = 32;

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change was applied.
    Accepted {
        /// Version of the configuration that contains the change first.
        version: u64,
        /// The configuration at that version, if this call applied the change.
        config: Option<Arc<FleetConfig>>,
    },
    /// The change was not applied, because the contract is not at the version that the operator
    /// saw.
    Refused {
        /// Version of the contract's last change; 0 if there is no contract.
        current_version: u64,
        /// The operator who made that change; empty if there is no contract.
        changed_by: String,
        /// Differences from the contract that the operator saw, one for each field.
        differences: Vec<String>,
    },
}

/// What a caller of [`ConfigurationStore::apply`] knows about the fleet's configuration.
#[derive(Clone, Debug)]
pub struct KnownConfig {
    /// The configuration in force at the caller.
    pub config: Arc<FleetConfig>,
    /// The newest version known to be in force at any router.
    pub newest_version: u64,
}

/// Store of the configuration in the platform's table.
#[derive(Clone, Debug)]
pub struct ConfigurationStore {
    platform: PlatformClient,
}

impl ConfigurationStore {
    /// Creates a store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads the newest version number. Makes one read.
    pub async fn head_version(&self) -> Result<u64, PlatformError> {
        Ok(self.head().await?.1.version)
    }

    /// Loads the whole configuration: from the snapshot and the changes since, or otherwise from
    /// all rows.
    pub async fn load(&self) -> Result<FleetConfig, PlatformError> {
        let head = self.head().await?.1;
        if let Ok(Some(snapshot)) = self.load_snapshot().await
            && snapshot.version <= head.version
            && let Some(config) = self.replay(&snapshot, head.version).await?
        {
            return Ok(config);
        }
        self.load_rows().await
    }

    /// Updates a configuration to the newest version. Makes one read for the head, and one more for
    /// the history if the changes since are there.
    pub async fn load_since(&self, held: &FleetConfig) -> Result<FleetConfig, PlatformError> {
        let head = self.head().await?.1;
        if head.version <= held.version {
            return Ok(held.clone());
        }
        if held.version > 0
            && let Some(config) = self.replay(held, head.version).await?
        {
            return Ok(config);
        }
        self.load().await
    }

    /// Applies a change at most once. A repeated call with the id of an accepted change returns the
    /// version of that change.
    pub async fn apply(
        &self,
        change_id: &str,
        operator: &str,
        change: &Change,
        now_ms: u64,
        known: &KnownConfig,
    ) -> Result<ChangeOutcome, ApplyError> {
        let mut base = known.config.as_ref().clone();
        for _ in 0..MAX_ATTEMPTS {
            if let Some(AcceptedChange { version }) =
                self.outcome_of(change_id).await.context(NotAppliedSnafu)?
            {
                let config = None;
                return Ok(ChangeOutcome::Accepted { version, config });
            }
            // The head is read before the other rows: if one of them changes in the meantime, the
            // transaction's condition on the head fails.
            let (head_row, head) = self.head().await.context(NotAppliedSnafu)?;
            check_head_version(head.version, known.newest_version).context(NotAppliedSnafu)?;
            base = self.load_since(&base).await.context(NotAppliedSnafu)?;
            if base.version != head.version {
                continue;
            }
            if let Some(refused) = self
                .check_seen_version(change)
                .await
                .context(NotAppliedSnafu)?
            {
                return Ok(refused);
            }
            let entry = Arc::new(HistoryEntry {
                version: head.version + 1,
                change_id: change_id.to_owned(),
                operator: operator.to_owned(),
                at_ms: now_ms,
                change: change.clone(),
            });
            let Some(next) = base.with_change(&entry) else {
                continue;
            };
            let request = change_transaction(head_row.as_ref(), &entry).context(NotAppliedSnafu)?;
            let committed = match self.platform.transact(&request).await {
                Ok(reply) => matches!(reply, TransactReply::Committed { .. }),
                Err(source) if source.is_without_effect() => {
                    return Err(ApplyError::NotApplied { source });
                }
                Err(source) => match self.outcome_of(change_id).await {
                    Ok(Some(accepted)) if accepted.version == entry.version => true,
                    // If the change is absent, the write may still take effect later.
                    _ => return Err(ApplyError::Unknown { source }),
                },
            };
            if committed {
                return Ok(ChangeOutcome::Accepted {
                    version: entry.version,
                    config: Some(Arc::new(next)),
                });
            }
        }
        ChangedWhileReadSnafu.fail().context(NotAppliedSnafu)
    }

    /// Looks up an accepted change by its id. Returns `None` if there is none.
    pub async fn outcome_of(
        &self,
        change_id: &str,
    ) -> Result<Option<AcceptedChange>, PlatformError> {
        let row = self
            .platform
            .get(&format!("{CHANGE_PREFIX}{change_id}"))
            .await?;
        row.as_ref().map(read_row).transpose()
    }

    /// Like [`Self::outcome_of`], but returns an error instead of `None` if the platform is at an
    /// older version than `newest_version`: the change may be missing only because of that.
    pub async fn settled_outcome_of(
        &self,
        change_id: &str,
        newest_version: u64,
    ) -> Result<Option<AcceptedChange>, PlatformError> {
        let found = self.outcome_of(change_id).await?;
        if found.is_none() {
            check_head_version(self.head().await?.1.version, newest_version)?;
        }
        Ok(found)
    }

    /// Writes back the configuration that a router holds if the platform was restored to an older
    /// state.
    ///
    /// Returns the configuration with its new version, or `None` if there is nothing to write back
    /// or another router was faster. An outdated read is harmless, because the condition on the
    /// head row then fails.
    pub async fn republish(
        &self,
        held: &FleetConfig,
        router: &str,
        now_ms: u64,
    ) -> Result<Option<FleetConfig>, PlatformError> {
        let (head_row, head) = self.head().await?;
        if head.version >= held.version {
            return Ok(None);
        }
        let contracts = self.platform.scan(CONTRACT_PREFIX).await?;
        let drains = self.platform.scan(DRAIN_PREFIX).await?;
        let unusable = self.platform.unusable();
        let contracts: Vec<_> = unusable.read_rows(&contracts).collect();
        let (next, request) =
            republish_transaction(head_row.as_ref(), &contracts, &drains, held, router, now_ms)?;
        match self.platform.transact(&request).await? {
            TransactReply::Committed { .. } => Ok(Some(next)),
            TransactReply::Conflict { .. } => Ok(None),
        }
    }

    /// Writes the snapshot if one is due at this version.
    pub async fn write_snapshot_if_due(&self, config: &FleetConfig) -> Result<(), PlatformError> {
        if !config.version.is_multiple_of(SNAPSHOT_INTERVAL_VERSIONS) {
            return Ok(());
        }
        self.write_snapshot(config).await
    }

    /// Writes the snapshot.
    pub async fn write_snapshot(&self, config: &FleetConfig) -> Result<(), PlatformError> {
        let body = encode_snapshot(config)?;
        self.platform.put_object(SNAPSHOT_OBJECT, body).await
    }

    /// Reads a customer's contract and the version that last changed it.
    pub async fn contract(
        &self,
        customer: &str,
    ) -> Result<Option<(u64, Arc<Contract>)>, PlatformError> {
        let row = self.contract_row(customer).await?;
        Ok(row.map(|row| (row.version, row.contract)))
    }

    /// Reads a customer's contract as of `version`, and the version that had set it.
    pub async fn contract_at(
        &self,
        customer: &str,
        version: u64,
    ) -> Result<Option<(u64, Arc<Contract>)>, PlatformError> {
        let history = self.history().await?;
        let found = history.into_iter().rev().find_map(|entry| {
            let Change::Contract { contract, .. } = entry.change else {
                return None;
            };
            let is_match = entry.version <= version && contract.customer == customer;
            is_match.then(|| (entry.version, Arc::new(*contract)))
        });
        Ok(found)
    }

    /// Reads all changes, the oldest first. Rows that cannot be read are reported and skipped.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, PlatformError> {
        let rows = self.platform.scan(HISTORY_PREFIX).await?;
        let entries = self.platform.unusable().read_rows(&rows);
        Ok(entries.map(|(_, entry)| entry).collect())
    }

    async fn head(&self) -> Result<(Option<Row>, Head), PlatformError> {
        let row = self.platform.get(HEAD_KEY).await?;
        let head = row.as_ref().map(read_row).transpose()?.unwrap_or_default();
        Ok((row, head))
    }

    async fn load_snapshot(&self) -> Result<Option<FleetConfig>, PlatformError> {
        let object = self.platform.get_object(SNAPSHOT_OBJECT).await?;
        object.as_deref().map(decode_snapshot).transpose()
    }

    /// Updates a configuration to at least `version` by the history. Returns `None` if the
    /// configuration has no known last change or the history does not continue from it.
    async fn replay(
        &self,
        from: &FleetConfig,
        version: u64,
    ) -> Result<Option<FleetConfig>, PlatformError> {
        let Some(last) = from.recent.back() else {
            return Ok(None);
        };
        let before = history_key(from.version.saturating_sub(1));
        let rows = self.platform.scan_after(HISTORY_PREFIX, &before).await?;
        let entries = self.platform.unusable().read_rows::<HistoryEntry>(&rows);
        // Without an entry that cannot be read the changes do not follow one another.
        let entries: Vec<_> = entries.map(|(_, entry)| Arc::new(entry)).collect();
        // A restored platform may have assigned this version to another change.
        let Some((first, newer)) = entries.split_first() else {
            return Ok(None);
        };
        if first.version != from.version || first.change_id != last.change_id {
            return Ok(None);
        }
        let config = from.with_changes(newer);
        Ok(config.filter(|config| config.version >= version))
    }

    /// Loads the configuration from a consistent read of all rows.
    async fn load_rows(&self) -> Result<FleetConfig, PlatformError> {
        for _ in 0..MAX_ATTEMPTS {
            let before = self.head().await?.1;
            let contracts = self.platform.scan(CONTRACT_PREFIX).await?;
            let draining = self.platform.scan(DRAIN_PREFIX).await?;
            let after = self.head().await?.1;
            if before.version != after.version {
                continue;
            }
            let mut config = FleetConfig {
                version: after.version,
                ..FleetConfig::default()
            };
            let unusable = self.platform.unusable();
            for (_, parsed) in unusable.read_rows::<ContractRow>(&contracts) {
                let customer = parsed.contract.customer.clone();
                config.contracts.insert(customer, parsed.contract);
            }
            config.share_tables();
            let last = self.platform.get(&history_key(after.version)).await?;
            let last = unusable.read_rows(last.as_slice());
            config.recent.extend(last.map(|(_, entry)| Arc::new(entry)));
            let rows = draining.iter();
            config.draining = rows
                .map(|row| row.key[DRAIN_PREFIX.len()..].to_owned())
                .collect();
            return Ok(config);
        }
        ChangedWhileReadSnafu.fail()
    }

    async fn contract_row(&self, customer: &str) -> Result<Option<ContractRow>, PlatformError> {
        let key = format!("{CONTRACT_PREFIX}{customer}");
        let row = self.platform.get(&key).await?;
        row.as_ref().map(read_row).transpose()
    }

    async fn check_seen_version(
        &self,
        change: &Change,
    ) -> Result<Option<ChangeOutcome>, PlatformError> {
        let Change::Contract {
            contract,
            seen_version,
        } = change
        else {
            return Ok(None);
        };
        let current = self.contract_row(&contract.customer).await?;
        let current_version = current.as_ref().map_or(0, |row| row.version);
        if current_version == *seen_version {
            return Ok(None);
        }
        let Some(current) = current else {
            return Ok(Some(ChangeOutcome::Refused {
                current_version,
                changed_by: String::new(),
                differences: Vec::new(),
            }));
        };
        let row = self.platform.get(&history_key(*seen_version)).await?;
        let seen: Option<HistoryEntry> = row.as_ref().map(read_row).transpose()?;
        let differences = match seen.map(|entry| entry.change) {
            Some(Change::Contract { contract, .. })
                if contract.customer == current.contract.customer =>
            {
                contract_differences(&contract, &current.contract)
            }
            _ => Vec::new(),
        };
        Ok(Some(ChangeOutcome::Refused {
            current_version,
            changed_by: current.operator,
            differences,
        }))
    }
}

/// Returns an error if the platform was restored to an older version than routers hold.
fn check_head_version(head_version: u64, newest_version: u64) -> Result<(), PlatformError> {
    ensure!(
        head_version >= newest_version,
        OlderStateSnafu {
            head_version,
            newest_version,
        }
    );
    Ok(())
}
