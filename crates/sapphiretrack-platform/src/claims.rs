//! Claims of non-idempotent requests in the table.

use sapphiretrack_core::{Claim, ClaimState, hash_parts};
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, UnreadableSnafu};
use crate::wire::{Condition, TransactReply, TransactRequest, Write};

const CLAIM_PREFIX: &str = "claim/";

/// What came of writing a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimWritten {
    /// The claim is ours.
    Ours {
        /// Its row's version, for the withdrawal and the record of the answer.
        row_version: u64,
    },
    /// There is a claim already.
    Found(Claim),
}

/// Writes and reads claims.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    platform: PlatformClient,
}

impl ClaimStore {
    /// A store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Writes a claim where there is none. A lost reply is settled by reading the row back.
    pub async fn write(
        &self,
        customer: &str,
        key: &str,
        claim: &Claim,
    ) -> Result<ClaimWritten, PlatformError> {
        let row_key = row_key(customer, key);
        let request = TransactRequest {
            conditions: vec![Condition::Absent {
                key: row_key.clone(),
            }],
            writes: vec![put(&row_key, claim)?],
        };
        match self.platform.transact(&request).await {
            Ok(TransactReply::Committed { row_version }) => Ok(ClaimWritten::Ours { row_version }),
            Ok(TransactReply::Conflict { .. }) | Err(PlatformError::ReplyLost { .. }) => {
                self.read_back(&row_key, claim).await
            }
            Err(error) => Err(error),
        }
    }

    /// Records the answer of a request that ran.
    pub async fn finish(
        &self,
        customer: &str,
        key: &str,
        row_version: u64,
        claim: &Claim,
    ) -> Result<(), PlatformError> {
        let row_key = row_key(customer, key);
        let request = TransactRequest {
            conditions: vec![Condition::Version {
                key: row_key.clone(),
                row_version,
            }],
            writes: vec![put(&row_key, claim)?],
        };
        self.platform.transact(&request).await.map(drop)
    }

    /// Withdraws a claim whose request was not sent; only its writer may call this.
    pub async fn withdraw(
        &self,
        customer: &str,
        key: &str,
        row_version: u64,
    ) -> Result<(), PlatformError> {
        let row_key = row_key(customer, key);
        let request = TransactRequest {
            conditions: vec![Condition::Version {
                key: row_key.clone(),
                row_version,
            }],
            writes: vec![Write::Delete { key: row_key }],
        };
        self.platform.transact(&request).await.map(drop)
    }

    /// Whose the row is after a conflict or a lost reply. A missing row is no proof that the
    /// write will not take effect yet, so it counts as a lost reply.
    async fn read_back(&self, row_key: &str, own: &Claim) -> Result<ClaimWritten, PlatformError> {
        let Some(row) = self.platform.get(row_key).await? else {
            return Err(PlatformError::ReplyLost {
                call: String::from("a claim"),
                reason: String::from("the row is not there yet"),
            });
        };
        let found: Claim =
            serde_json::from_str(&row.value).context(UnreadableSnafu { what: "a claim" })?;
        if found.claim_id == own.claim_id && found.state == ClaimState::Claimed {
            return Ok(ClaimWritten::Ours {
                row_version: row.row_version,
            });
        }
        Ok(ClaimWritten::Found(found))
    }
}

fn row_key(customer: &str, key: &str) -> String {
    format!(
        "{CLAIM_PREFIX}{customer}/{:016x}",
        hash_parts(&[customer.as_bytes(), key.as_bytes()])
    )
}

fn put(row_key: &str, claim: &Claim) -> Result<Write, PlatformError> {
    let value = serde_json::to_string(claim).context(UnreadableSnafu { what: "a claim" })?;
    Ok(Write::Put {
        key: row_key.to_owned(),
        value,
    })
}
