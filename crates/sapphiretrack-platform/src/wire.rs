//! Messages of the platform's protocol.

use sapphiretrack_core::VmRecord;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, as text.
    pub value: String,
    /// Increases with each write to the row and never decreases, even if the row is deleted.
    pub row_version: u64,
}

/// A condition for a transaction to take effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// There is no row with this key.
    Absent {
        /// The key.
        key: String,
    },
    /// The row is at this version.
    Version {
        /// The key.
        key: String,
        /// The version.
        row_version: u64,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Sets a row.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Removes a row.
    Delete {
        /// The key.
        key: String,
    },
}

/// Runs a transaction: `POST /table/transact`. All writes take effect if all conditions hold,
/// otherwise none does.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TransactRequest {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactReply {
    /// The transaction took effect.
    Committed {
        /// The new version of the written rows.
        row_version: u64,
    },
    /// A condition did not hold.
    Conflict {
        /// The key of the first such condition.
        key: String,
    },
}

/// Reads one row: `POST /table/get`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GetRequest {
    /// The key.
    pub key: String,
}

/// The reply to a read of one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GetReply {
    /// The row; `None` if it does not exist.
    pub row: Option<Row>,
}

/// Reads rows ordered by key: `POST /table/scan`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScanRequest {
    /// Prefix of the keys to read.
    pub prefix: String,
    /// Only rows with a greater key are returned.
    #[serde(default)]
    pub after: Option<String>,
    /// Maximum number of rows in the reply.
    pub limit: u32,
}

/// The reply to a scan.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScanReply {
    /// The rows, ordered by key.
    pub rows: Vec<Row>,
}

/// The list of VMs: `GET /vms`. It may lag behind the actual state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<VmRecord>,
}

/// The same with its records as text, so that one that cannot be read does not hide the others.
#[derive(Deserialize)]
pub(crate) struct VmRecords<'a> {
    #[serde(borrow)]
    pub(crate) vms: Vec<&'a RawValue>,
}

/// The name of a VM whose other fields may be unreadable.
#[derive(Deserialize)]
pub(crate) struct VmName {
    pub(crate) name: String,
}
