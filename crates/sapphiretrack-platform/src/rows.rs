//! Keys and values of the table rows that contain the configuration.

use std::sync::Arc;

use sapphiretrack_core::Contract;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{PlatformError, UnreadableSnafu};
use crate::wire::Row;

pub(crate) const HEAD_KEY: &str = "config/head";
pub(crate) const CONTRACT_PREFIX: &str = "config/contract/";
pub(crate) const DRAIN_PREFIX: &str = "config/drain/";
pub(crate) const CHANGE_PREFIX: &str = "config/change/";
pub(crate) const HISTORY_PREFIX: &str = "config/history/";

/// Value of the row that records an accepted change under its id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// Version of the configuration that the change created.
    pub version: u64,
}

/// Value of a contract's row.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ContractRow {
    pub(crate) version: u64,
    pub(crate) operator: String,
    pub(crate) contract: Arc<Contract>,
}

/// Value of the head row, which contains the newest version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Head {
    pub(crate) version: u64,
}

/// Returns the key of a version's history entry. Zero padding sorts the keys by version.
pub(crate) fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

/// Decodes a row's value.
pub(crate) fn read_row<Value>(row: &Row) -> Result<Value, PlatformError>
where
    Value: for<'a> Deserialize<'a>,
{
    serde_json::from_str(&row.value).context(UnreadableSnafu {
        what: format!("row {}", row.key),
    })
}
