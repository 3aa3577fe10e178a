//! Claims, which ensure that a non-idempotent request runs at most once.

use serde::{Deserialize, Serialize};

/// How long a claim and its recorded answer are kept: 24 hours.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The claim row of a non-idempotent request, keyed by customer and idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// A random id, by which the writer recognizes its own row after a lost reply.
    pub claim_id: String,
    /// Hash of the request, to detect a key reused for another request.
    pub request_hash: u64,
    /// When the claim was written, by the writer's wall clock.
    pub claimed_at_ms: u64,
    /// The state of the request.
    pub state: ClaimState,
}

/// The state of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have been sent.
    Claimed,
    /// The request ran and returned this answer.
    Finished(RecordedAnswer),
}

/// The recorded answer of a request that ran, returned to repeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedAnswer<Body = RecordedBody> {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Body,
}

/// Where the body of a recorded answer is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// The body is stored in the row itself.
    Text(String),
    /// The body is stored in the object of this name, because it is large or not text.
    Object(String),
}

/// What to do about an existing claim row.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimDecision {
    /// The row is this writer's own: send the request once.
    Send,
    /// The request already ran: return the recorded answer.
    Replay(RecordedAnswer),
    /// Another writer claimed the request and its outcome is unknown.
    Unknown,
    /// The idempotency key was used for another request.
    KeyReused,
}

/// Decides about a row that already exists where the claim `own_claim_id` was to be written.
pub fn decide_claim(found: &Claim, own_claim_id: &str, request_hash: u64) -> ClaimDecision {
    if found.request_hash != request_hash {
        return ClaimDecision::KeyReused;
    }
    match &found.state {
        ClaimState::Finished(answer) => ClaimDecision::Replay(answer.clone()),
        ClaimState::Claimed if found.claim_id == own_claim_id => ClaimDecision::Send,
        ClaimState::Claimed => ClaimDecision::Unknown,
    }
}

/// Whether a claim written at `claimed_at_ms` has passed its retention time and may be deleted.
pub fn claim_expired(claimed_at_ms: u64, now_ms: u64) -> bool {
    now_ms > claimed_at_ms.saturating_add(CLAIM_RETENTION_MS)
}
