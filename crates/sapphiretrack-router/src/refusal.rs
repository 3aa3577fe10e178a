//! Refusals of this router's own: the request has not run.

use http::{Response, StatusCode, header};
use rand::RngExt;

use crate::answer::{AnswerBody, own_answer};
use crate::events::{Event, note};
use crate::shared::Shared;

/// When to come back to a fleet of which only this router cannot serve: at once, on a new
/// connection to another one, spread over a tenth of a second.
const ELSEWHERE_MS: u64 = 50;

/// A final answer of this router's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Why, for the log and the caller.
    pub(crate) reason: &'static str,
    /// When the caller may come back.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The request has not run; another router may serve it.
    pub(crate) fn elsewhere(reason: &'static str) -> Self {
        let spread_ms = rand::rng().random_range(0..2 * ELSEWHERE_MS);
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(ELSEWHERE_MS + spread_ms),
        }
    }

    /// A status that is final whatever router is asked.
    pub(crate) fn final_status(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }
}

/// Refuses a request that has not run.
pub(crate) fn refuse(
    shared: &Shared,
    id: &str,
    refusal: Refusal,
    leaving: bool,
) -> Response<AnswerBody> {
    shared.metrics.refused(refusal.reason);
    note!(
        Event::REFUSED,
        id = id,
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        configuration_age_ms = shared.configuration_age_ms().unwrap_or(u64::MAX),
    );
    let mut answer = own_answer(refusal.status, refusal.reason, refusal.retry_after_ms);
    if leaving || refusal.status == StatusCode::SERVICE_UNAVAILABLE && refusal.reason == "leaving" {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}
