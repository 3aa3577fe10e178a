//! Leases in the platform's table: one row for each lease, written by compare-and-swap.

use sapphiretrack_core::LeaseRow;
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, ReplyLostSnafu, UnreadableSnafu};
use crate::wire::{Condition, Row, TransactReply, TransactRequest, Write};

const LEASE_PREFIX: &str = "lease/";

/// A lease's row as read from the table.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoredLease {
    /// The lease; `None` before the first holder.
    pub row: Option<LeaseRow>,
    row_version: Option<u64>,
}

/// Result of writing a lease's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseWriteResult {
    /// The row contains the written value.
    Written,
    /// The row had changed since it was read, and nothing was written.
    Conflict,
}

/// Store of one lease in the platform's table.
#[derive(Clone, Debug)]
pub struct LeaseStore {
    platform: PlatformClient,
    key: String,
}

impl LeaseStore {
    /// Creates the store of the lease with this name.
    pub fn new(platform: PlatformClient, name: &str) -> Self {
        Self {
            platform,
            key: format!("{LEASE_PREFIX}{name}"),
        }
    }

    /// Reads the row. Makes one read.
    pub async fn read(&self) -> Result<StoredLease, PlatformError> {
        let Some(stored) = self.platform.get(&self.key).await? else {
            return Ok(StoredLease::default());
        };
        Ok(StoredLease {
            row: Some(parse(&stored)?),
            row_version: Some(stored.row_version),
        })
    }

    /// Writes the row if it has not changed since `seen` was read.
    ///
    /// After a lost reply, the row is read back. If that fails too, or the row is unchanged, the
    /// write may still take effect later; the call returns an error, and the lease counts as not
    /// held.
    pub async fn write(
        &self,
        seen: &StoredLease,
        row: &LeaseRow,
    ) -> Result<LeaseWriteResult, PlatformError> {
        let key = self.key.clone();
        let condition = match seen.row_version {
            Some(row_version) => Condition::Version { key, row_version },
            None => Condition::Absent { key },
        };
        let value = serde_json::to_string(row).context(UnreadableSnafu { what: "a lease" })?;
        let request = TransactRequest {
            conditions: vec![condition],
            writes: vec![Write::Put {
                key: self.key.clone(),
                value,
            }],
        };
        match self.platform.transact(&request).await {
            Ok(TransactReply::Committed { .. }) => Ok(LeaseWriteResult::Written),
            Ok(TransactReply::Conflict { .. }) => Ok(LeaseWriteResult::Conflict),
            Err(PlatformError::ReplyLost { .. }) => self.read_back(seen, row).await,
            Err(error) => Err(error),
        }
    }

    async fn read_back(
        &self,
        seen: &StoredLease,
        row: &LeaseRow,
    ) -> Result<LeaseWriteResult, PlatformError> {
        let found = self.read().await?;
        if found.row.as_ref() == Some(row) {
            return Ok(LeaseWriteResult::Written);
        }
        if found.row_version != seen.row_version {
            return Ok(LeaseWriteResult::Conflict);
        }
        ReplyLostSnafu {
            call: "a lease",
            reason: "the row is not written yet",
        }
        .fail()
    }
}

fn parse(stored: &Row) -> Result<LeaseRow, PlatformError> {
    serde_json::from_str(&stored.value).context(UnreadableSnafu { what: "a lease" })
}
