//! Claims of non-idempotent requests in the table.
//!
//! Each claim has a second row that orders claims by age, written and deleted in the same
//! transaction, so that a sweep reads only what it deletes.

use sapphiretrack_core::{Claim, ClaimState, claim_expired};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, UnreadableSnafu};
use crate::wire::{Condition, Row, TransactReply, TransactRequest, Write};

const CLAIM_PREFIX: &str = "claim/";
const EXPIRY_PREFIX: &str = "claim-expiry/";
/// The most claims that one transaction of a sweep deletes.
const SWEEP_CLAIMS: u32 = 50;

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

/// What a sweep did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Swept {
    /// Claims that were deleted.
    pub deleted: usize,
    /// Whether there may be more to delete.
    pub more: bool,
}

/// The value of the row that orders a claim by age.
#[derive(Debug, Deserialize, Serialize)]
struct Expiry {
    claim_row: String,
    claimed_at_ms: u64,
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
            Ok(TransactReply::Committed { row_version }) => Ok(ClaimWritten::Ours { row_version }),
            Ok(TransactReply::Conflict { .. }) | Err(PlatformError::ReplyLost { .. }) => {
                self.read_back(&row_key, claim).await
            }
            Err(error) => Err(error),
        }
    }

    /// Records the answer of a request that ran; true if the row holds it now.
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
            // An earlier try whose reply was lost may have written it.
            TransactReply::Conflict { .. } => Ok(self
                .read(&row_key)
                .await?
                .is_some_and(|(_, found)| found == *claim)),
        }
    }

    /// Withdraws a claim whose request was not sent; only its writer may call this. False if
    /// the row is not there: withdrawn before, or not written yet.
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

    /// Deletes some claims past their retention, the oldest first: one read, at most one write.
    pub async fn sweep(&self, now_ms: u64) -> Result<Swept, PlatformError> {
        let rows = self
            .platform
            .scan_page(EXPIRY_PREFIX, None, SWEEP_CLAIMS)
            .await?;
        let full_page = rows.len() == SWEEP_CLAIMS as usize;
        let mut request = TransactRequest::default();
        for row in rows {
            let expiry: Expiry = read_value(&row, "a claim's age")?;
            if !claim_expired(expiry.claimed_at_ms, now_ms) {
                continue;
            }
            // The age row belongs to this one claim: while it stands, so does the claim, and a
            // later claim under the same key has another one.
            request.conditions.push(Condition::Version {
                key: row.key.clone(),
                row_version: row.row_version,
            });
            request.writes.push(Write::Delete { key: row.key });
            request.writes.push(Write::Delete {
                key: expiry.claim_row,
            });
        }
        let deleted = request.conditions.len();
        if deleted == 0 {
            return Ok(Swept::default());
        }
        match self.platform.transact(&request).await? {
            TransactReply::Committed { .. } => Ok(Swept {
                deleted,
                more: full_page && deleted == SWEEP_CLAIMS as usize,
            }),
            // Another router swept the same rows.
            TransactReply::Conflict { .. } => Ok(Swept {
                deleted: 0,
                more: true,
            }),
        }
    }

    /// Stores a body that is large or no text, and returns its object's name.
    pub async fn put_body(
        &self,
        claim: &Claim,
        body: bytes::Bytes,
    ) -> Result<String, PlatformError> {
        let name = format!("claim-answer-{}", claim.claim_id);
        self.platform.put_object(&name, body).await?;
        Ok(name)
    }

    /// Reads a body that was stored.
    pub async fn get_body(&self, name: &str) -> Result<Option<bytes::Bytes>, PlatformError> {
        self.platform.get_object(name).await
    }

    /// Whose the row is after a conflict or a lost reply. A missing row is no proof that the
    /// write will not take effect yet, so it counts as a lost reply.
    async fn read_back(&self, row_key: &str, own: &Claim) -> Result<ClaimWritten, PlatformError> {
        let Some((row, found)) = self.read(row_key).await? else {
            return Err(PlatformError::ReplyLost {
                call: String::from("a claim"),
                reason: String::from("the row is not there yet"),
            });
        };
        if found.claim_id == own.claim_id && found.state == ClaimState::Claimed {
            return Ok(ClaimWritten::Ours {
                row_version: row.row_version,
            });
        }
        Ok(ClaimWritten::Found(found))
    }

    async fn read(&self, row_key: &str) -> Result<Option<(Row, Claim)>, PlatformError> {
        let Some(row) = self.platform.get(row_key).await? else {
            return Ok(None);
        };
        let claim = read_value(&row, "a claim")?;
        Ok(Some((row, claim)))
    }
}

fn row_key(customer: &str, key: &str) -> String {
    // The whole key, in hex: a hash could let two keys share a claim.
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
