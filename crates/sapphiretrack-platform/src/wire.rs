//! The platform's messages.

use sapphiretrack_core::VmRecord;
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, as text.
    pub value: String,
    /// Rises with each write to the row, and never goes back even if it is deleted.
    pub row_version: u64,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// There is no row of this key.
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

/// All writes take effect if all conditions hold, else none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TransactRequest {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What came of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactReply {
    /// It took effect.
    Committed {
        /// The version that the written rows have now.
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

/// The row, if there is one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GetReply {
    /// The row.
    pub row: Option<Row>,
}

/// Reads rows in the order of their keys: `POST /table/scan`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScanRequest {
    /// The start of the keys.
    pub prefix: String,
    /// Rows up to this key are left out.
    #[serde(default)]
    pub after: Option<String>,
    /// The largest number of rows in the reply.
    pub limit: u32,
}

/// The rows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScanReply {
    /// The rows, by key.
    pub rows: Vec<Row>,
}

/// The lagging list of VMs: `GET /vms`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<VmRecord>,
}
