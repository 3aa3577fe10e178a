//! Claims: how a non-idempotent request runs at most once.

use serde::{Deserialize, Serialize};

/// How long a claim and its recorded answer are kept.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The claim row of a non-idempotent request, under its customer and idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Drawn by the writer, so that it knows its own row after a lost reply.
    pub claim_id: String,
    /// Hash of the request, so that a key reused for another request is noticed.
    pub request_hash: u64,
    /// When it was written, by the writer's wall clock.
    pub claimed_at_ms: u64,
    /// How far it got.
    pub state: ClaimState,
}

/// How far a claimed request got.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may have been sent.
    Claimed,
    /// It ran; this is its answer.
    Finished(RecordedAnswer),
}

/// The answer of a request that ran, as it is recorded for repeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedAnswer<Body = RecordedBody> {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Body,
}

/// Where a recorded body is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// In the row itself.
    Text(String),
    /// In the object of this name: it is large or no text.
    Object(String),
}

/// What to do about a claim row that is found.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimDecision {
    /// It is our own write: send, once.
    Send,
    /// Someone ran it: give the recorded answer.
    Replay(RecordedAnswer),
    /// Someone claimed it and its end is not known.
    Unknown,
    /// The key belongs to another request.
    KeyReused,
}

/// Decides about a claim row that was found where `own_claim_id` was to be written.
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

/// Whether a claim written at `claimed_at_ms` may be deleted.
pub fn claim_expired(claimed_at_ms: u64, now_ms: u64) -> bool {
    now_ms > claimed_at_ms.saturating_add(CLAIM_RETENTION_MS)
}
