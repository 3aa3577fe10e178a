//! The fleet's configuration in the table: changes by compare-and-swap, each with an id.

use std::sync::Arc;

use sapphiretrack_core::{Contract, FleetConfig};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{ChangedWhileReadSnafu, PlatformError, UnreadableSnafu};
use crate::wire::{Condition, Row, TransactReply, TransactRequest, Write};

const HEAD_KEY: &str = "config/head";
const CONTRACT_PREFIX: &str = "config/contract/";
const DRAIN_PREFIX: &str = "config/drain/";
const CHANGE_PREFIX: &str = "config/change/";
const HISTORY_PREFIX: &str = "config/history/";

/// How often a read or a write is tried again when another operator is faster.
const ATTEMPTS: usize = 8;

/// What an operator changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets a customer's contract, if its version is still the one that the operator saw.
    Contract {
        /// The contract.
        contract: Box<Contract>,
        /// The configuration version at which the operator saw the contract change last; 0 for
        /// a new one.
        seen_version: u64,
    },
    /// Starts or ends the drain of a backend server.
    Drain {
        /// The server's name.
        server: String,
        /// Whether it drains.
        draining: bool,
    },
}

/// An accepted change, as recorded under its id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// The configuration version that it made.
    pub version: u64,
}

/// What came of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It holds, from this version on.
    Accepted {
        /// The version.
        version: u64,
    },
    /// It was not applied: another operator changed the contract since.
    Refused {
        /// The version at which the contract stands.
        current_version: u64,
        /// Who made that change.
        changed_by: String,
    },
}

/// A line of the history of changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The configuration version that the change made.
    pub version: u64,
    /// The change's id.
    pub change_id: String,
    /// Which operator made it.
    pub operator: String,
    /// When, by the wall clock of the router that wrote it.
    pub at_ms: u64,
    /// What it changed.
    pub change: Change,
}

/// A contract row.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ContractRow {
    version: u64,
    operator: String,
    contract: Arc<Contract>,
}

/// The head row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct Head {
    version: u64,
}

/// Reads and changes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationStore {
    platform: PlatformClient,
}

impl ConfigurationStore {
    /// A store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// The newest version number: one read.
    pub async fn head_version(&self) -> Result<u64, PlatformError> {
        Ok(self.head().await?.1.version)
    }

    /// The whole configuration, as it stood at one moment.
    pub async fn load(&self) -> Result<FleetConfig, PlatformError> {
        for _ in 0..ATTEMPTS {
            let (_, before) = self.head().await?;
            let contracts = self.platform.scan(CONTRACT_PREFIX).await?;
            let draining = self.platform.scan(DRAIN_PREFIX).await?;
            let (_, after) = self.head().await?;
            if before.version != after.version {
                continue;
            }
            let mut config = FleetConfig {
                version: after.version,
                ..FleetConfig::default()
            };
            for row in &contracts {
                let parsed: ContractRow = read_row(row)?;
                config
                    .contracts
                    .insert(parsed.contract.customer.clone(), parsed.contract);
            }
            config.draining = draining
                .iter()
                .map(|row| row.key[DRAIN_PREFIX.len()..].to_owned())
                .collect();
            return Ok(config);
        }
        ChangedWhileReadSnafu.fail()
    }

    /// Applies a change at most once; the same id gives the same outcome.
    ///
    /// After [`PlatformError::ReplyLost`] the change may hold: ask [`Self::outcome_of`].
    pub async fn apply(
        &self,
        change_id: &str,
        operator: &str,
        change: &Change,
        now_ms: u64,
    ) -> Result<ChangeOutcome, PlatformError> {
        for _ in 0..ATTEMPTS {
            if let Some(accepted) = self.outcome_of(change_id).await? {
                return Ok(ChangeOutcome::Accepted {
                    version: accepted.version,
                });
            }
            let (head_row, head) = self.head().await?;
            if let Some(refused) = self.check_seen_version(change).await? {
                return Ok(refused);
            }
            let version = head.version + 1;
            let entry = HistoryEntry {
                version,
                change_id: change_id.to_owned(),
                operator: operator.to_owned(),
                at_ms: now_ms,
                change: change.clone(),
            };
            let request = change_transaction(head_row.as_ref(), &entry)?;
            if let TransactReply::Committed { .. } = self.platform.transact(&request).await? {
                return Ok(ChangeOutcome::Accepted { version });
            }
        }
        ChangedWhileReadSnafu.fail()
    }

    /// What came of the change of this id: none if it was not accepted.
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

    /// A customer's contract with the version that last changed it.
    pub async fn contract(
        &self,
        customer: &str,
    ) -> Result<Option<(u64, Arc<Contract>)>, PlatformError> {
        let Some(row) = self
            .platform
            .get(&format!("{CONTRACT_PREFIX}{customer}"))
            .await?
        else {
            return Ok(None);
        };
        let parsed: ContractRow = read_row(&row)?;
        Ok(Some((parsed.version, parsed.contract)))
    }

    /// All changes, the oldest first.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, PlatformError> {
        self.platform
            .scan(HISTORY_PREFIX)
            .await?
            .iter()
            .map(read_row)
            .collect()
    }

    async fn head(&self) -> Result<(Option<Row>, Head), PlatformError> {
        let row = self.platform.get(HEAD_KEY).await?;
        let head = row.as_ref().map(read_row).transpose()?.unwrap_or_default();
        Ok((row, head))
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
        let row = self
            .platform
            .get(&format!("{CONTRACT_PREFIX}{}", contract.customer))
            .await?;
        let current: Option<ContractRow> = row.as_ref().map(read_row).transpose()?;
        let current_version = current.as_ref().map_or(0, |row| row.version);
        if current_version == *seen_version {
            return Ok(None);
        }
        let changed_by = current.map_or_else(String::new, |row| row.operator);
        Ok(Some(ChangeOutcome::Refused {
            current_version,
            changed_by,
        }))
    }
}

fn change_transaction(
    head_row: Option<&Row>,
    entry: &HistoryEntry,
) -> Result<TransactRequest, PlatformError> {
    let head_condition = match head_row {
        Some(row) => Condition::Version {
            key: HEAD_KEY.to_owned(),
            row_version: row.row_version,
        },
        None => Condition::Absent {
            key: HEAD_KEY.to_owned(),
        },
    };
    let change_key = format!("{CHANGE_PREFIX}{}", entry.change_id);
    let body = match &entry.change {
        Change::Contract { contract, .. } => put(
            format!("{CONTRACT_PREFIX}{}", contract.customer),
            &ContractRow {
                version: entry.version,
                operator: entry.operator.clone(),
                contract: Arc::new(contract.as_ref().clone()),
            },
        )?,
        Change::Drain {
            server,
            draining: true,
        } => put(format!("{DRAIN_PREFIX}{server}"), &entry.version)?,
        Change::Drain {
            server,
            draining: false,
        } => Write::Delete {
            key: format!("{DRAIN_PREFIX}{server}"),
        },
    };
    Ok(TransactRequest {
        conditions: vec![
            head_condition,
            Condition::Absent {
                key: change_key.clone(),
            },
        ],
        writes: vec![
            put(
                HEAD_KEY.to_owned(),
                &Head {
                    version: entry.version,
                },
            )?,
            put(
                change_key,
                &AcceptedChange {
                    version: entry.version,
                },
            )?,
            put(format!("{HISTORY_PREFIX}{:020}", entry.version), entry)?,
            body,
        ],
    })
}

fn put<Value>(key: String, value: &Value) -> Result<Write, PlatformError>
where
    Value: Serialize,
{
    let value = serde_json::to_string(value).context(UnreadableSnafu { what: "a row" })?;
    Ok(Write::Put { key, value })
}

fn read_row<Value>(row: &Row) -> Result<Value, PlatformError>
where
    Value: for<'a> Deserialize<'a>,
{
    serde_json::from_str(&row.value).context(UnreadableSnafu {
        what: format!("row {}", row.key),
    })
}
