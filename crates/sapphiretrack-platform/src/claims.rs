//! Claims of non-idempotent requests in the platform's table.
//!
//! Each claim has a second row, whose key orders claims by age. Both rows are written and deleted
//! in the same transaction, so that a sweep finds expired claims without reading all others.

use sapphiretrack_core::{Claim, ClaimState, claim_expired};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, UnreadableSnafu};
use crate::wire::{Condition, Row, TransactReply, TransactRequest, Write};

const CLAIM_PREFIX: &str = "claim/";
const EXPIRY_PREFIX: &str = "claim-expiry/";
/// Maximum number of claims that one transaction of a sweep deletes.
const MAX_SWEPT_CLAIMS: u32 = 50;

/// Result of writing a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimWriteResult {
    /// The claim was written and belongs to the caller.
    Acquired {
        /// Version of the claim's row, which recording the answer requires.
        row_version: u64,
    },
    /// A claim with this key already exists.
    Existing(Claim),
    /// A claim with this key already exists and cannot be read now.
    Unreadable,
}

/// Result of a sweep.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SweepResult {
    /// Number of deleted claims.
    pub deleted: usize,
    /// Whether there may be more claims to delete.
    pub more: bool,
}

/// Value of the second row of a claim, which orders claims by age.
#[derive(Debug, Deserialize, Serialize)]
struct Expiry {
    claim_row: String,
    claimed_at_ms: u64,
}

/// Store of claims in the platform's table.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    platform: PlatformClient,
}

impl ClaimStore {
    /// Creates a store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Writes a claim if there is none with this key. After a lost reply or a conflict, the row is
    /// read back.
    pub async fn write(
        &self,
        customer: &str,
        key: &str,
        claim: &Claim,
    ) -> Result<ClaimWriteResult, PlatformError> {
        let row_key = row_key(customer, key);
        let expiry = Expiry {
            claim_row: row_key.clone(),
            claimed_at_ms: claim.claimed_at_ms,
        };
        let request = TransactRequest {
            conditions: vec![Condition::Absent {
                key: row_key.clone(),
            }],
            writes: vec![put(&row_key, claim)?, put(&expiry_key(claim), &expiry)?],
        };
        match self.platform.transact(&request).await {
            Ok(TransactReply::Committed { row_version }) => {
                Ok(ClaimWriteResult::Acquired { row_version })
            }
            Ok(TransactReply::Conflict { .. }) => match self.read_back(&row_key, claim).await {
                Ok(Some(result)) => Ok(result),
                Ok(None) => reply_lost("the row is not there"),
                Err(_) => Ok(ClaimWriteResult::Unreadable),
            },
            Err(lost @ PlatformError::ReplyLost { .. }) => {
                match self.read_back(&row_key, claim).await {
                    Ok(Some(result)) => Ok(result),
                    Ok(None) => reply_lost("the row is not there yet"),
                    // A read without effect says nothing about the effect of the write.
                    Err(error) if error.is_without_effect() => Err(lost),
                    Err(error) => Err(error),
                }
            }
            Err(error) => Err(error),
        }
    }

    /// Records the answer of a request that ran. Returns whether the row contains it now.
    pub async fn finish(
        &self,
        customer: &str,
        key: &str,
        row_version: u64,
        claim: &Claim,
    ) -> Result<bool, PlatformError> {
        let row_key = row_key(customer, key);
        let request = TransactRequest {
            conditions: vec![Condition::Version {
                key: row_key.clone(),
                row_version,
            }],
            writes: vec![put(&row_key, claim)?],
        };
        match self.platform.transact(&request).await? {
            TransactReply::Committed { .. } => Ok(true),
            // An earlier attempt whose reply was lost may have written the answer.
            TransactReply::Conflict { .. } => Ok(self
                .read(&row_key)
                .await?
                .is_some_and(|(_, found)| found == *claim)),
        }
    }

    /// Withdraws a claim whose request was not sent. Only the claim's writer may call this.
    ///
    /// Returns whether this call deleted the claim. It does not if the row does not exist (the
    /// claim is already withdrawn or not written yet), if it contains another claim or a recorded
    /// answer, or if it changes in the meantime.
    pub async fn withdraw(
        &self,
        customer: &str,
        key: &str,
        claim: &Claim,
    ) -> Result<bool, PlatformError> {
        let row_key = row_key(customer, key);
        let Some((row, found)) = self.read(&row_key).await? else {
            return Ok(false);
        };
        if found.claim_id != claim.claim_id || found.state != ClaimState::Claimed {
            return Ok(false);
        }
        let request = TransactRequest {
            conditions: vec![Condition::Version {
                key: row_key.clone(),
                row_version: row.row_version,
            }],
            writes: vec![
                Write::Delete { key: row_key },
                Write::Delete {
                    key: expiry_key(claim),
                },
            ],
        };
        let reply = self.platform.transact(&request).await?;
        Ok(matches!(reply, TransactReply::Committed { .. }))
    }

    /// Deletes some claims past their retention, the oldest first. Makes one read and at most one
    /// write.
    pub async fn sweep(&self, now_ms: u64) -> Result<SweepResult, PlatformError> {
        let rows = self
            .platform
            .scan_page(EXPIRY_PREFIX, None, MAX_SWEPT_CLAIMS)
            .await?;
        let full_page = rows.len() == MAX_SWEPT_CLAIMS as usize;
        let mut request = TransactRequest::default();
        let unusable = self.platform.unusable();
        for (row, expiry) in unusable.read_rows::<Expiry>(&rows) {
            if !claim_expired(expiry.claimed_at_ms, now_ms) {
                continue;
            }
            // The condition covers only the age row. It exists exactly as long as its claim, and a
            // later claim with the same key has a different age row.
            request.conditions.push(Condition::Version {
                key: row.key.clone(),
                row_version: row.row_version,
            });
            request.writes.push(Write::Delete {
                key: row.key.clone(),
            });
            request.writes.push(Write::Delete {
                key: expiry.claim_row,
            });
        }
        let deleted = request.conditions.len();
        if deleted == 0 {
            return Ok(SweepResult::default());
        }
        match self.platform.transact(&request).await? {
            TransactReply::Committed { .. } => Ok(SweepResult {
                deleted,
                more: full_page && deleted == MAX_SWEPT_CLAIMS as usize,
            }),
            // Another router has deleted some of the same rows.
            TransactReply::Conflict { .. } => Ok(SweepResult {
                deleted: 0,
                more: true,
            }),
        }
    }

    /// Stores the body of a recorded answer as an object, if it is too large for the row or not
    /// text. Returns the object's name.
    pub async fn put_body(
        &self,
        claim: &Claim,
        body: bytes::Bytes,
    ) -> Result<String, PlatformError> {
        let name = format!("claim-answer-{}", claim.claim_id);
        self.platform.put_object(&name, body).await?;
        Ok(name)
    }

    /// Reads a body stored by [`Self::put_body`].
    pub async fn get_body(&self, name: &str) -> Result<Option<bytes::Bytes>, PlatformError> {
        self.platform.get_object(name).await
    }

    /// Determines whose claim the row contains after a conflict or a lost reply. Returns `None` if
    /// the row is missing; after a lost reply, the write may still take effect later.
    async fn read_back(
        &self,
        row_key: &str,
        own: &Claim,
    ) -> Result<Option<ClaimWriteResult>, PlatformError> {
        let Some((row, found)) = self.read(row_key).await? else {
            return Ok(None);
        };
        if found.claim_id == own.claim_id && found.state == ClaimState::Claimed {
            return Ok(Some(ClaimWriteResult::Acquired {
                row_version: row.row_version,
            }));
        }
        Ok(Some(ClaimWriteResult::Existing(found)))
    }

    async fn read(&self, row_key: &str) -> Result<Option<(Row, Claim)>, PlatformError> {
        let Some(row) = self.platform.get(row_key).await? else {
            return Ok(None);
        };
        let claim = read_value(&row, "a claim")?;
        Ok(Some((row, claim)))
    }
}

fn reply_lost<Value>(reason: &str) -> Result<Value, PlatformError> {
    Err(PlatformError::ReplyLost {
        call: String::from("a claim"),
        reason: reason.to_owned(),
    })
}

fn row_key(customer: &str, key: &str) -> String {
    // The whole key in hexadecimal: with a hash, two keys could share a claim.
    let hex: String = key.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("{CLAIM_PREFIX}{customer}/{hex}")
}

fn expiry_key(claim: &Claim) -> String {
    format!(
        "{EXPIRY_PREFIX}{:016x}/{}",
        claim.claimed_at_ms, claim.claim_id
    )
}

fn read_value<Value>(row: &Row, what: &str) -> Result<Value, PlatformError>
where
    Value: for<'a> Deserialize<'a>,
{
    serde_json::from_str(&row.value).context(UnreadableSnafu { what })
}

fn put<Value>(row_key: &str, value: &Value) -> Result<Write, PlatformError>
where
    Value: Serialize,
{
    let value = serde_json::to_string(value).context(UnreadableSnafu { what: "a claim" })?;
    Ok(Write::Put {
        key: row_key.to_owned(),
        value,
    })
}
