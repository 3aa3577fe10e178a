//! Relays a backend server's whole answer to the caller: buffered until it is complete, or as fast as the
//! caller takes it.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::unfold;
use http::{Response, Version};
use http_body::Body;
use http_body_util::BodyExt;
use sapphiretrack_routing::{HeldAnswer, HeldPiece};

use crate::answer::{AnswerBody, TruncatedBody};
use crate::attempt::{AttemptFailure, ServerAnswer};
use crate::clock::Clock;
use crate::crashes;
use crate::events::{Event, note};
use crate::held_answers::{held_body, streamed_body};
use crate::job::Job;
use crate::relay::{caller_head, fail_truncated, is_over_budget, record_answered};
use crate::resumed_reads::ResumedReads;

/// The longest answer that is buffered until it is whole, so that one that breaks off can be
/// requested again or reported as failed; a longer one is passed on as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The part of a server error, and of an answer of unknown length, that is read whatever the budget:
/// short ones stay complete, so that errors can be retried. The end of a chunked answer is known only
/// with the frame after its last bytes.
const MIN_BUFFERED_BYTES: usize = 16 * 1024;

/// An answer that was read to its end, or up to the buffer limit if it is long.
pub(crate) enum ReadAnswer {
    /// The answer for the caller.
    Final(Response<AnswerBody>),
    /// A server error; another server may be tried before this goes to the caller.
    ServerError(Response<AnswerBody>),
}

/// Reads an answer to its end and passes it on as a whole, or streams it if it exceeds the buffer
/// limit or the memory for answers that callers have not taken yet.
pub(crate) async fn buffered_answer(
    job: &Arc<Job>,
    mut answer: ServerAnswer,
    offers: u32,
) -> Result<ReadAnswer, AttemptFailure> {
    answer.target.record_progress();
    let mut held = HeldAnswer::new(job.shared.activity.held_answers());
    let mut reads = ResumedReads::default();
    loop {
        let left = Duration::from_millis(job.left_ms());
        let failure = match reads.read(&mut answer.body.frame(), left).await {
            Some(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    held.push(data);
                }
                let buffering = buffering(job, &answer, &held);
                if buffering == Buffering::Continues {
                    continue;
                }
                let is_unbuffered = buffering == Buffering::OverBudget;
                let answer =
                    AnswerRelay::start(job.clone(), answer, offers, held, is_unbuffered, reads);
                return Ok(ReadAnswer::Final(answer));
            }
            Some(None) => break,
            Some(Some(Err(_))) => AttemptFailure::ConnectionLost("answer-broke-off"),
            None => AttemptFailure::TimedOut("answer-not-whole"),
        };
        answer.target.record_failure(job, failure, 0);
        return Err(failure);
    }
    crashes::record_answered(job, &answer);
    answer.connection.return_to_pool(answer.facts.keep_alive_s);
    let failed = answer.head.status.is_server_error();
    if failed && let Some(server) = answer.target.server_id() {
        note!(
            Event::ATTEMPT_FAILED,
            id = job.facts.id,
            server = server,
            reason = "server-error",
            may_have_run = true,
        );
    }
    answer.target.record_outcome(failed);
    let answer = Response::from_parts(caller_head(job, answer.head), held_body(held));
    if failed {
        return Ok(ReadAnswer::ServerError(answer));
    }
    record_answered(job, answer.status(), offers);
    Ok(ReadAnswer::Final(answer))
}

/// Whether an answer is read further before it is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Buffering {
    /// It is.
    Continues,
    /// It exceeds the buffer limit.
    TooLong,
    /// The answers that callers have not taken yet exceed their budget.
    OverBudget,
}

/// Decides whether to read an answer further, and counts and reports one that does not fit. An answer
/// of which no more is to come takes no further memory.
fn buffering(job: &Job, answer: &ServerAnswer, held: &HeldAnswer) -> Buffering {
    // The connection does not ask for more after the last byte of a known length, so that a relay would
    // not see the end of an answer of which everything was read.
    if answer.body.is_end_stream() {
        return Buffering::Continues;
    }
    if held.len() > MAX_BUFFERED_BYTES {
        return Buffering::TooLong;
    }
    let shared = &job.shared;
    let held_answers = shared.activity.held_answers();
    let budget_bytes = shared.settings().held_answer_bytes();
    if held_answers.fits(budget_bytes) || is_exempt(job, answer, held) {
        return Buffering::Continues;
    }
    shared.metrics.count_unbuffered_answer();
    if held_answers.is_report_due(Clock.now_ms()) {
        note!(
            Event::ANSWERS_HELD,
            held_bytes = held_answers.bytes(),
            budget_bytes = budget_bytes,
        );
    }
    Buffering::OverBudget
}

/// Whether an answer is read further although the budget is used up.
fn is_exempt(job: &Job, answer: &ServerAnswer, held: &HeldAnswer) -> bool {
    let has_length = answer.body.size_hint().exact().is_some();
    // Without chunks and a length, the end of the connection is the end of the answer: one that breaks
    // off would look complete.
    if !has_length && job.version == Version::HTTP_10 {
        return true;
    }
    let may_be_short = !has_length || answer.head.status.is_server_error();
    may_be_short && held.len() <= MIN_BUFFERED_BYTES
}

/// An answer that is read only as fast as its caller takes it.
struct AnswerRelay {
    job: Arc<Job>,
    answer: Option<ServerAnswer>,
    /// How many servers the request was offered to.
    offers: u32,
    /// What was read and not passed on yet.
    held: HeldAnswer,
    /// Whether the answer would have been read to its end if the budget had allowed it.
    is_unbuffered: bool,
    /// When the last piece was passed on, until the connection asks for the next one.
    passed_on_ms: Option<u64>,
    /// How long the connection took to ask for further pieces.
    caller_took_ms: u64,
    reads: ResumedReads,
}

impl AnswerRelay {
    /// Streams an answer of which a first part was read.
    fn start(
        job: Arc<Job>,
        answer: ServerAnswer,
        offers: u32,
        held: HeldAnswer,
        is_unbuffered: bool,
        reads: ResumedReads,
    ) -> Response<AnswerBody> {
        let head = caller_head(&job, answer.head.clone());
        let rest_bytes = answer.body.size_hint().exact();
        let length = rest_bytes.map(|rest_bytes| rest_bytes + held.len() as u64);
        let is_over_budget = is_over_budget(&job);
        let relay = Self {
            job,
            answer: Some(answer),
            offers,
            held,
            is_unbuffered,
            passed_on_ms: None,
            caller_took_ms: 0,
            reads,
        };
        let pieces = unfold(relay, |mut relay| async move {
            relay.record_taken();
            let piece = relay.next_piece().await?;
            relay.record_passed_on();
            Some((piece, relay))
        });
        Response::from_parts(
            head,
            streamed_body(Box::pin(pieces), length, is_over_budget),
        )
    }

    /// Returns the next piece; none after the last.
    async fn next_piece(&mut self) -> Option<Result<HeldPiece, TruncatedBody>> {
        loop {
            if let Some(piece) = self.held.take_piece() {
                return Some(Ok(piece));
            }
            // The time that the caller took is not the server's.
            let expires_ms = self.job.expires_ms + self.caller_took_ms;
            let left_ms = expires_ms.saturating_sub(Clock.now_ms());
            let answer = self.answer.as_mut()?;
            let left = Duration::from_millis(left_ms);
            let frame = self.reads.read(&mut answer.body.frame(), left).await;
            let failure = match frame {
                Some(Some(Ok(frame))) => {
                    answer.target.record_progress();
                    let is_last = answer.body.is_end_stream();
                    if is_last {
                        // The connection does not ask again after the last byte of a known length.
                        self.finish();
                    }
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let held_answers = self.job.shared.activity.held_answers();
                    return Some(Ok(HeldPiece::new(held_answers, data)));
                }
                Some(None) => {
                    self.finish();
                    return None;
                }
                Some(Some(Err(_))) => AttemptFailure::ConnectionLost("answer-broke-off"),
                None => AttemptFailure::TimedOut("answer-not-whole"),
            };
            // Dropping the answer closes the connection to the server.
            self.answer
                .take()?
                .target
                .record_failure(&self.job, failure, 0);
            let truncated = fail_truncated(&self.job, failure.as_str(), self.is_unbuffered);
            return Some(Err(truncated));
        }
    }

    /// Records the end of a whole answer, and returns the connection to the pool.
    fn finish(&mut self) {
        let Some(mut answer) = self.answer.take() else {
            return;
        };
        crashes::record_answered(&self.job, &answer);
        answer.connection.return_to_pool(answer.facts.keep_alive_s);
        let status = answer.head.status;
        answer.target.record_outcome(status.is_server_error());
        record_answered(&self.job, status, self.offers);
    }

    /// Records that a piece was passed to the caller's connection.
    fn record_passed_on(&mut self) {
        self.passed_on_ms = Some(Clock.now_ms());
        if let Some(answer) = &mut self.answer {
            answer.target.set_held_back(true);
        }
    }

    /// Records that the caller's connection has room for another piece.
    fn record_taken(&mut self) {
        if let Some(passed_on_ms) = self.passed_on_ms.take() {
            self.caller_took_ms += Clock.now_ms().saturating_sub(passed_on_ms);
        }
        if let Some(answer) = &mut self.answer {
            answer.target.set_held_back(false);
        }
    }
}
