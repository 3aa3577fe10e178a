//! Claims of non-idempotent requests.

use sapphiretrack_caller::{BufferedAnswer, RequestGuard};
use sapphiretrack_core::Claim;

/// Marks a request that must run at most once.
pub(crate) struct AtMostOnce {
    /// The idempotency key of its claim; without one a repeat cannot be recognized.
    pub(super) idempotency_key: Option<String>,
}

/// The result of claiming a request.
pub(crate) enum ClaimOutcome {
    /// The request may be sent under this claim.
    Held(HeldClaim),
    /// The request ran before; this is its recorded answer.
    Recorded(BufferedAnswer),
}

/// A claim that this router holds; without a row if the request has no key.
#[derive(Clone)]
pub(crate) struct HeldClaim {
    pub(super) customer: String,
    pub(super) guard: RequestGuard,
    pub(super) row: Option<ClaimRow>,
}

/// The row of a claim in the platform's table.
#[derive(Clone)]
pub(super) struct ClaimRow {
    pub(super) key: String,
    pub(super) row_version: u64,
    pub(super) claim: Claim,
}
