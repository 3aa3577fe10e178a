//! Leases in the table: one row each, written by compare-and-swap.

use sapphiretrack_core::LeaseRow;
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, ReplyLostSnafu, UnreadableSnafu};
use crate::wire::{Condition, Row, TransactReply, TransactRequest, Write};

const LEASE_PREFIX: &str = "lease/";

/// A lease's row as the table has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoredLease {
    /// The lease; none before the first holder.
    pub row: Option<LeaseRow>,
    row_version: Option<u64>,
}

/// What came of writing a lease's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseWritten {
    /// The row is as it was written.
    Ours,
    /// The row had changed; nothing was written.
    Lost,
}

/// Reads and writes the row of one lease.
#[derive(Clone, Debug)]
pub struct LeaseStore {
    platform: PlatformClient,
    key: String,
}

impl LeaseStore {
    /// The store of the lease of this name.
    pub fn new(platform: PlatformClient, name: &str) -> Self {
        Self {
            platform,
            key: format!("{LEASE_PREFIX}{name}"),
        }
    }

    /// Reads the row: one read.
    pub async fn read(&self) -> Result<StoredLease, PlatformError> {
        let Some(stored) = self.platform.get(&self.key).await? else {
            return Ok(StoredLease::default());
        };
        Ok(StoredLease {
            row: Some(parse(&stored)?),
            row_version: Some(stored.row_version),
        })
    }

    /// Writes the row, if it is still as it was read.
    ///
    /// A lost reply is settled by reading back. If that fails too, or the row is still the old
    /// one, the write may yet take effect: the lease is not held.
    pub async fn write(
        &self,
        seen: &StoredLease,
        row: &LeaseRow,
    ) -> Result<LeaseWritten, PlatformError> {
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
            Ok(TransactReply::Committed { .. }) => Ok(LeaseWritten::Ours),
            Ok(TransactReply::Conflict { .. }) => Ok(LeaseWritten::Lost),
            Err(PlatformError::ReplyLost { .. }) => self.read_back(seen, row).await,
            Err(error) => Err(error),
        }
    }

    async fn read_back(
        &self,
        seen: &StoredLease,
        row: &LeaseRow,
    ) -> Result<LeaseWritten, PlatformError> {
        let found = self.read().await?;
        if found.row.as_ref() == Some(row) {
            return Ok(LeaseWritten::Ours);
        }
        if found.row_version != seen.row_version {
            return Ok(LeaseWritten::Lost);
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
