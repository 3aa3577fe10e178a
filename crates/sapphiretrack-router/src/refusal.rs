//! Refusals that this router itself sends for requests that have not run.

use http::{Response, StatusCode, header};
use rand::RngExt;

use crate::answer::{AnswerBody, generated_answer};
use crate::events::{Event, note};
use crate::peer_hop::{HopAnswer, HopOutcome};
use crate::shared::Shared;

/// The least retry delay when another router may be able to serve the request. It is short because
/// the caller can retry on a new connection to another router. The actual delay is spread over a
/// further 100 ms so that refused callers do not retry all at once.
const RETRY_DELAY_MS: u64 = 50;

/// A refusal of a request that has not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The reason, for the log and the caller.
    pub(crate) reason: &'static str,
    /// How long the caller should wait before it retries; none if a retry cannot help.
    pub(crate) retry_after_ms: Option<u64>,
    /// Whether another router may serve the request now.
    pub(crate) is_local: bool,
}

impl Refusal {
    /// A 503 refusal with a retry delay: another router may be able to serve the request.
    pub(crate) fn retryable(reason: &'static str) -> Self {
        let spread_ms = rand::rng().random_range(0..2 * RETRY_DELAY_MS);
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(RETRY_DELAY_MS + spread_ms),
            is_local: true,
        }
    }

    /// A 503 refusal of a request that no router can serve before `wait_ms`. The delay is spread
    /// over half as much again.
    pub(crate) fn retryable_after(reason: &'static str, wait_ms: u64) -> Self {
        let spread_ms = rand::rng().random_range(0..=wait_ms / 2);
        let retryable = Self::retryable(reason);
        Self {
            retry_after_ms: retryable.retry_after_ms.max(Some(wait_ms + spread_ms)),
            is_local: false,
            ..retryable
        }
    }

    /// A refusal without a retry delay: asking another router would not help.
    pub(crate) fn permanent(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
            is_local: false,
        }
    }
}

/// Logs and counts a refusal and builds its answer.
pub(crate) fn refuse(
    shared: &Shared,
    id: &str,
    refusal: Refusal,
    leaving: bool,
) -> Response<AnswerBody> {
    shared.metrics.count_refusal(refusal.reason);
    note!(
        Event::REFUSED,
        id = id,
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        configuration_age_ms = shared.configuration_age_ms().unwrap_or(u64::MAX),
    );
    let mut answer = generated_answer(refusal.status, refusal.reason, refusal.retry_after_ms);
    if leaving || refusal.status == StatusCode::SERVICE_UNAVAILABLE && refusal.reason == "leaving" {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer.extensions_mut().insert(HopAnswer {
        outcome: match refusal.is_local {
            true => HopOutcome::Declined,
            false => HopOutcome::Refused,
        },
        offers: 0,
        possible_runs: 0,
        server: None,
        origin: None,
    });
    answer
}
