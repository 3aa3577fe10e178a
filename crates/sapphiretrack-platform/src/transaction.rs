//! Transactions that change the configuration's rows.

use std::sync::Arc;

use sapphiretrack_core::{Change, Contract, FleetConfig, HistoryEntry, REPUBLISH_STEP};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::error::{ChangedWhileReadSnafu, PlatformError, UnreadableSnafu};
use crate::rows::{
    AcceptedChange, CHANGE_PREFIX, CONTRACT_PREFIX, ContractRow, DRAIN_PREFIX, HEAD_KEY, Head,
    history_key, read_row,
};
use crate::wire::{Condition, Row, TransactRequest, Write};

/// Creates the transaction of one change, on the condition that the head row is unchanged and the
/// change id is not used yet.
pub(crate) fn change_transaction(
    head_row: Option<&Row>,
    entry: &HistoryEntry,
) -> Result<TransactRequest, PlatformError> {
    let change_key = change_key(entry);
    let mut writes = vec![put_head(entry.version)?];
    writes.extend(put_record(entry)?);
    match &entry.change {
        Change::Contract { contract, .. } => writes.push(put_contract(
            entry.version,
            &entry.operator,
            Arc::new(contract.as_ref().clone()),
        )?),
        Change::Drain {
            server,
            draining: true,
        } => writes.push(put_drain(server, entry.version)?),
        Change::Drain {
            server,
            draining: false,
        } => writes.push(Write::Delete {
            key: format!("{DRAIN_PREFIX}{server}"),
        }),
        Change::Republished { .. } => {}
    }
    Ok(TransactRequest {
        conditions: vec![
            head_condition(head_row),
            Condition::Absent { key: change_key },
        ],
        writes,
    })
}

/// Creates the transaction that sets the rows to the configuration that a router holds, under a new
/// version.
pub(crate) fn republish_transaction(
    head_row: Option<&Row>,
    contracts: &[(&Row, ContractRow)],
    drains: &[Row],
    held: &FleetConfig,
    router: &str,
    now_ms: u64,
) -> Result<(FleetConfig, TransactRequest), PlatformError> {
    let head: Head = head_row.map(read_row).transpose()?.unwrap_or_default();
    let version = held.version + REPUBLISH_STEP;
    let entry = Arc::new(HistoryEntry {
        version,
        change_id: format!("republish-{version}"),
        operator: router.to_owned(),
        at_ms: now_ms,
        change: Change::Republished {
            held_version: held.version,
        },
    });
    let next = held.with_change(&entry).context(ChangedWhileReadSnafu)?;
    let mut writes = vec![put_head(version)?];
    writes.extend(put_record(&entry)?);
    for lost in held.recent.iter().filter(|e| e.version > head.version) {
        writes.extend(put_record(lost)?);
    }
    writes.extend(contract_writes(contracts, held)?);
    for row in drains {
        if !held.draining.contains(&row.key[DRAIN_PREFIX.len()..]) {
            writes.push(Write::Delete {
                key: row.key.clone(),
            });
        }
    }
    for server in &held.draining {
        writes.push(put_drain(server, version)?);
    }
    let request = TransactRequest {
        conditions: vec![head_condition(head_row)],
        writes,
    };
    Ok((next, request))
}

/// Returns the writes that set contracts which differ from their rows and delete rows of customers
/// without a contract in `held`.
fn contract_writes(
    rows: &[(&Row, ContractRow)],
    held: &FleetConfig,
) -> Result<Vec<Write>, PlatformError> {
    let mut writes = Vec::new();
    let mut unchanged: Vec<String> = Vec::new();
    for (row, parsed) in rows {
        let customer = parsed.contract.customer.clone();
        match held.contracts.get(&customer) {
            Some(contract) if *contract == parsed.contract => unchanged.push(customer),
            Some(_) => {}
            None => writes.push(Write::Delete {
                key: row.key.clone(),
            }),
        }
    }
    // The rows are ordered by key, so `unchanged` is sorted.
    let changed = held
        .contracts
        .iter()
        .filter(|(customer, _)| unchanged.binary_search(customer).is_err());
    for (customer, contract) in changed {
        let (version, operator) = last_change_of(held, customer);
        writes.push(put_contract(version, &operator, contract.clone())?);
    }
    Ok(writes)
}

/// Returns the version and operator of the last change to a customer's contract, or the held
/// version if `held` no longer contains that change.
fn last_change_of(held: &FleetConfig, customer: &str) -> (u64, String) {
    let last = held.recent.iter().rev().find(|entry| {
        matches!(&entry.change, Change::Contract { contract, .. } if contract.customer == customer)
    });
    match last {
        Some(entry) => (entry.version, entry.operator.clone()),
        None => (held.version, String::from("unknown, before a restore")),
    }
}

fn head_condition(head_row: Option<&Row>) -> Condition {
    match head_row {
        Some(row) => Condition::Version {
            key: HEAD_KEY.to_owned(),
            row_version: row.row_version,
        },
        None => Condition::Absent {
            key: HEAD_KEY.to_owned(),
        },
    }
}

fn change_key(entry: &HistoryEntry) -> String {
    format!("{CHANGE_PREFIX}{}", entry.change_id)
}

fn put_head(version: u64) -> Result<Write, PlatformError> {
    put(HEAD_KEY.to_owned(), &Head { version })
}

/// Returns the writes that record a change under its id and in the history.
fn put_record(entry: &HistoryEntry) -> Result<[Write; 2], PlatformError> {
    let accepted = AcceptedChange {
        version: entry.version,
    };
    Ok([
        put(change_key(entry), &accepted)?,
        put(history_key(entry.version), entry)?,
    ])
}

fn put_contract(
    version: u64,
    operator: &str,
    contract: Arc<Contract>,
) -> Result<Write, PlatformError> {
    let key = format!("{CONTRACT_PREFIX}{}", contract.customer);
    let row = ContractRow {
        version,
        operator: operator.to_owned(),
        contract,
    };
    put(key, &row)
}

fn put_drain(server: &str, version: u64) -> Result<Write, PlatformError> {
    put(format!("{DRAIN_PREFIX}{server}"), &version)
}

fn put<Value>(key: String, value: &Value) -> Result<Write, PlatformError>
where
    Value: Serialize,
{
    let value = serde_json::to_string(value).context(UnreadableSnafu { what: "a row" })?;
    Ok(Write::Put { key, value })
}
