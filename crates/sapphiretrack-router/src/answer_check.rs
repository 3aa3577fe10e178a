//! Checks whose answer a backend server sent, and records what it states about the server.

use std::time::Duration;

use http::response::Parts;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use sapphiretrack_routing::{SlotOutcome, can_pass_on};
use tokio::time::timeout;

use crate::attempt::{AttemptFailure, AttemptTarget, ServerAnswer};
use crate::connection_pool::Connection;
use crate::events::{Event, note};
use crate::job::Job;
use crate::placement::Placement;
use crate::ports::AnswerFacts;
use crate::stated_availability::record_stated_availability;

/// The time limit for reading the body of a refusal; after it, the connection is closed.
const REFUSAL_BODY_TIMEOUT_MS: u64 = 100;
/// The longest body of a refusal that is read to make the connection reusable.
const MAX_REFUSAL_BODY_BYTES: usize = 16 * 1024;

/// Accepts an answer only if it belongs to this attempt and comes from the intended server.
pub(crate) async fn check_answer(
    job: &Job,
    mut placement: Placement,
    connection: Connection,
    answer: Response<Incoming>,
) -> Result<ServerAnswer, (Placement, AttemptFailure)> {
    let (head, body) = answer.into_parts();
    let facts = (job.interface.read_answer)(&head);
    // A late copy of another request's answer promises nothing about this request, which the server may
    // run, and tells how things stood when it was first sent.
    let is_refusal = facts.wrong_server || facts.not_run;
    if !facts.answers(&job.facts.id) || is_refusal && is_joined(&head) {
        note!(
            Event::ANSWER_OF_ANOTHER_REQUEST,
            id = job.facts.id,
            server = placement.server.id,
            answer_id = facts.request_id.as_deref().unwrap_or("-"),
            status = head.status.as_u16(),
            not_run = facts.not_run,
            reused = connection.is_reused,
        );
        let failure = AttemptFailure::MayHaveRun("answer-of-another-request");
        return Err((placement, failure));
    }
    record_statements(job, &mut placement, &facts);
    if is_refusal {
        let reason = record_refusal(job, &mut placement, &facts);
        read_refusal_body(body, connection, &facts).await;
        return Err((placement, AttemptFailure::NotRun(reason)));
    }
    if let Some(problem) = unusable_reason(&head, &facts) {
        return Err((placement, AttemptFailure::MayHaveRun(problem)));
    }
    if !can_pass_on(head.status.as_u16(), job.route.kind) {
        let failure = match read_refusal_body(body, connection, &facts).await {
            RefusalBody::BrokeOff => AttemptFailure::ConnectionLost("answer-broke-off"),
            RefusalBody::Whole | RefusalBody::Unread => AttemptFailure::RefusalNotStated,
        };
        return Err((placement, failure));
    }
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    let ends_with_connection = !is_chunked && body.size_hint().exact().is_none();
    Ok(ServerAnswer {
        head,
        facts,
        body,
        ends_with_connection,
        connection,
        stated_origin: None,
        target: AttemptTarget::Server(placement),
    })
}

/// Records what the server states about itself.
fn record_statements(job: &Job, placement: &mut Placement, facts: &AnswerFacts) {
    if let Some(left_ms) = facts.cold_left_ms {
        let cold_servers = &job.shared.cold_servers;
        cold_servers.record_statement(&placement.server, left_ms);
    }
    // What another server states at the same address says nothing about this one.
    if facts.wrong_server {
        return;
    }
    let (server, stated) = (&placement.server, facts.availability);
    record_stated_availability(&job.shared, server, stated, &job.facts.id);
    if let Some(slot) = &mut placement.slot {
        slot.record_load(facts.load);
    }
}

/// Records that the server did not run the request, or that another server has its address. Returns the
/// reason.
fn record_refusal(job: &Job, placement: &mut Placement, facts: &AnswerFacts) -> &'static str {
    let shared = &job.shared;
    if facts.wrong_server {
        let ended_servers = &shared.ended_servers;
        ended_servers.record_replaced(shared, &placement.server);
        placement.record_unreachable();
        return "wrong-server";
    }
    let stated = &shared.stated_availability;
    stated.record_refusal(shared, &placement.server);
    if let Some(slot) = &mut placement.slot {
        // A server that leaves or pauses refuses whatever room it has, so that neither the refusal nor
        // its load says how much may be assigned to it.
        let stated = facts.availability;
        match stated.is_leaving || stated.pause_ms.is_some() {
            true => slot.record_load(None),
            false => slot.record_outcome(SlotOutcome::Refused),
        }
    }
    "server-refused"
}

/// Whether a head runs on into that of another answer: a refusal that was cut off before its end states
/// nothing about the request whose answer follows it.
fn is_joined(head: &Parts) -> bool {
    const STATUS_LINE: &[u8] = b"HTTP/1.";
    let mut values = head.headers.values();
    values.any(|value| {
        let mut parts = value.as_bytes().windows(STATUS_LINE.len());
        parts.any(|part| part == STATUS_LINE)
    })
}

/// How much of the body of a refusal was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RefusalBody {
    /// All of it, so that the connection can be used again.
    Whole,
    /// Not all, because it is long or slow.
    Unread,
    /// The connection was lost before its end.
    BrokeOff,
}

/// Reads the body of a refusal, and returns the connection to the pool after it.
async fn read_refusal_body(
    body: Incoming,
    connection: Connection,
    facts: &AnswerFacts,
) -> RefusalBody {
    let read_body = Limited::new(body, MAX_REFUSAL_BODY_BYTES).collect();
    let limit = Duration::from_millis(REFUSAL_BODY_TIMEOUT_MS);
    match timeout(limit, read_body).await {
        Ok(Ok(_)) => {
            connection.return_to_pool(facts.keep_alive_s);
            RefusalBody::Whole
        }
        Ok(Err(error)) if !error.is::<LengthLimitError>() => RefusalBody::BrokeOff,
        Ok(Err(_)) | Err(_) => RefusalBody::Unread,
    }
}

/// Why an answer to the request cannot be passed on; none if it can.
fn unusable_reason(head: &Parts, facts: &AnswerFacts) -> Option<&'static str> {
    if head.status.is_success() && !facts.is_signed {
        return Some("answer-not-signed");
    }
    if facts.is_encoded {
        return Some("answer-encoded");
    }
    let is_final =
        !head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS;
    (!is_final).then_some("answer-not-final")
}
