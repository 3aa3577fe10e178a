//! Relays a stream of events to the caller, and records how answers end.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http::response::Parts;
use http::{Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use sapphiretrack_routing::{
    EventSplitter, HeldBytes, HeldPiece, Origin, RequestKind, StreamFault,
};
use tokio::time::timeout;

use crate::answer::{AnswerBody, TruncatedBody, strip_connection_headers};
use crate::attempt::{AttemptFailure, ServerAnswer};
use crate::attempts::Attempts;
use crate::clock::Clock;
use crate::crashes;
use crate::events::{Event, note};
use crate::held_answers::streamed_body;
use crate::job::Job;
use crate::stream_origins::{BegunStream, stream_key};

/// The length of an event that is read whatever the budget for held answers.
const MIN_EVENT_BYTES: usize = 16 * 1024;

/// Relays a stream of events; if it breaks off, another server resumes it where the request allows
/// that.
pub(crate) fn stream_events(
    job: Arc<Job>,
    attempts: Attempts,
    answer: ServerAnswer,
) -> Response<AnswerBody> {
    let head = caller_head(&job, answer.head.clone());
    let is_over_budget = is_over_budget(&job);
    let relay = EventRelay {
        splitter: EventSplitter::after(job.facts.resume_after),
        partial: HeldBytes::new(job.shared.activity.held_answers()),
        job,
        attempts,
        answer: Some(answer),
        answer_began_ms: None,
        begun: None,
        first_ms: None,
        longest_pause_ms: 0,
        last_ms: 0,
        has_ended: false,
    };
    let pieces = unfold(relay, |mut relay| async move {
        let piece = relay.next_piece().await?;
        Some((piece, relay))
    });
    Response::from_parts(head, streamed_body(Box::pin(pieces), None, is_over_budget))
}

/// A stream on its way to the caller.
struct EventRelay {
    job: Arc<Job>,
    attempts: Attempts,
    answer: Option<ServerAnswer>,
    splitter: EventSplitter,
    /// Counts the bytes of the event that is not complete.
    partial: HeldBytes,
    /// When the first bytes of the answer were read.
    answer_began_ms: Option<u64>,
    /// The stream's record, from its first event on, if its caller may take it up.
    begun: Option<BegunStream>,
    /// The age of the request at its first event.
    first_ms: Option<u64>,
    /// The longest time between two arrivals of bytes after the first event.
    longest_pause_ms: u64,
    /// When bytes last arrived.
    last_ms: u64,
    has_ended: bool,
}

impl EventRelay {
    /// Returns all whole events that are available next; none after the last.
    async fn next_piece(&mut self) -> Option<Result<HeldPiece, TruncatedBody>> {
        if self.has_ended {
            return None;
        }
        loop {
            let failure = match self.take_events() {
                Ok(Some(bytes)) => {
                    self.record_begun();
                    self.record_first_event();
                    let held_answers = self.job.shared.activity.held_answers();
                    return Some(Ok(HeldPiece::new(held_answers, bytes)));
                }
                Ok(None) if self.is_event_too_long() => {
                    AttemptFailure::MayHaveRun("event-too-long")
                }
                Ok(None) => match self.read_more().await {
                    Ok(true) => continue,
                    Ok(false) => return None,
                    Err(failure) => failure,
                },
                Err(StreamFault::OutOfOrder { .. }) => {
                    AttemptFailure::MayHaveRun("events-out-of-order")
                }
                Err(StreamFault::TooLong) => AttemptFailure::MayHaveRun("event-too-long"),
            };
            if !self.resume(failure).await {
                self.has_ended = true;
                return Some(Err(fail_truncated(&self.job, failure.as_str(), false)));
            }
        }
    }

    /// Whether no more of the event that is not complete is read: what is held exceeds the budget.
    fn is_event_too_long(&mut self) -> bool {
        let partial_bytes = self.splitter.partial_bytes();
        self.partial.set(partial_bytes);
        partial_bytes > MIN_EVENT_BYTES && is_over_budget(&self.job)()
    }

    /// Takes all whole events that were read. A fault after the first one is returned by the next call, once
    /// the events before it were passed on.
    fn take_events(&mut self) -> Result<Option<Bytes>, StreamFault> {
        let Some(first) = self.splitter.next_event()? else {
            return Ok(None);
        };
        let mut all = BytesMut::from(first.bytes);
        while let Ok(Some(event)) = self.splitter.next_event() {
            all.extend_from_slice(&event.bytes);
        }
        Ok(Some(all.freeze()))
    }

    /// Reads from the server. Returns false after the end of a whole stream.
    async fn read_more(&mut self) -> Result<bool, AttemptFailure> {
        let Some(answer) = &mut self.answer else {
            return Err(AttemptFailure::MayHaveRun("no-answer"));
        };
        let left = Duration::from_millis(self.job.left_ms());
        let frame = timeout(left, answer.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                answer.target.record_progress();
                self.record_pause();
                if let Some(data) = frame.data_ref() {
                    if !data.is_empty() {
                        self.answer_began_ms.get_or_insert(self.last_ms);
                    }
                    self.splitter.push(data);
                }
                Ok(true)
            }
            // A server that crashes before its first event would end the stream in the same way.
            Ok(None) if answer.ends_with_connection && self.answer_began_ms.is_none() => {
                Err(AttemptFailure::ConnectionLost("stream-broke-off"))
            }
            Ok(None) if self.splitter.has_partial() => {
                Err(AttemptFailure::ConnectionLost("event-broke-off"))
            }
            Ok(None) => {
                self.finish();
                Ok(false)
            }
            Ok(Some(Err(_))) => Err(AttemptFailure::ConnectionLost("stream-broke-off")),
            Err(_) => Err(AttemptFailure::TimedOut("stream-not-whole")),
        }
    }

    /// Records the end of a whole stream, and returns the connection to the pool.
    fn finish(&mut self) {
        self.has_ended = true;
        let Some(mut answer) = self.answer.take() else {
            return;
        };
        answer.target.record_outcome(false);
        let times = StreamTimes {
            first_ms: self.first_ms.unwrap_or(0),
            longest_pause_ms: self.longest_pause_ms,
        };
        let last_event = self.splitter.last_id().unwrap_or(0);
        crashes::record_answered(&self.job, &answer);
        record_streamed(&self.job, &answer, self.attempts.offers, last_event, times);
        answer.connection.return_to_pool(answer.facts.keep_alive_s);
    }

    /// Records the version of the software that began the stream, before its first event is passed on, and
    /// again once it is confirmed.
    fn record_begun(&mut self) {
        let job = &self.job;
        let is_done = self.begun.is_some() && job.required_origin.get().is_some();
        // The router that the caller is connected to decides which events it gets.
        if is_done || job.hop.is_some() {
            return;
        }
        let Some(answer) = &self.answer else {
            return;
        };
        let origin = answer.origin(job);
        let confirmed = origin.filter(|origin| origin.unconfirmed.is_none());
        if let Some(confirmed) = confirmed {
            job.required_origin.get_or_init(|| confirmed);
        }
        if job.route.kind != (RequestKind::Stream { resumable: true }) {
            return;
        }
        let server = answer.target.server_id();
        match &self.begun {
            Some(begun) if confirmed.is_some() => begun.record(&job.route, confirmed, server),
            Some(_) => {}
            None => {
                let key = stream_key(&job.facts, job.tenant.as_deref());
                let begun = BegunStream::new(&job.shared, key, &job.route, origin, server);
                self.begun = Some(begun);
            }
        }
    }

    /// Limits the request to the version that began the stream. Returns false if that is not known, so that no
    /// server may go on with the stream. One that is not confirmed yet is confirmed before the request is sent.
    fn require_origin(&self, origin: Option<Origin>) -> bool {
        let job = &self.job;
        if job.required_origin.get().is_none() {
            // The router that the caller is connected to decides which events it gets.
            let Some(origin) = origin.filter(|_| job.hop.is_none()) else {
                return false;
            };
            job.required_origin.get_or_init(|| origin);
        }
        !self.begun.as_ref().is_some_and(BegunStream::is_uncertain)
    }

    /// Resumes the stream at another server after the last whole event. Returns false if that is
    /// not possible.
    async fn resume(&mut self, failure: AttemptFailure) -> bool {
        let has_begun = self.first_ms.is_some();
        if has_begun {
            self.record_begun();
        }
        let answer = self.answer.as_ref();
        let origin = answer.and_then(|answer| answer.origin(&self.job));
        let began_ms = self.answer_began_ms;
        let answer_age_ms = began_ms.map_or(0, |began_ms| Clock.now_ms().saturating_sub(began_ms));
        // Dropping the answer closes its connection: the first server stops before the next starts.
        if let Some(mut answer) = self.answer.take() {
            answer
                .target
                .record_failure(&self.job, failure, answer_age_ms);
        }
        self.attempts.note_connection_loss(failure);
        if !self.job.may_retry(&self.attempts, failure)
            || !self.splitter.can_resume()
            || has_begun && !self.require_origin(origin)
        {
            return false;
        }
        let last_id = self.splitter.last_id();
        let Ok(answer) = self.job.attempt(&mut self.attempts, last_id).await else {
            return false;
        };
        if !answer.head.status.is_success() {
            return false;
        }
        if let Some(begun) = &self.begun {
            begun.move_to(answer.target.server_id());
        }
        self.splitter = EventSplitter::after(last_id);
        self.answer_began_ms = None;
        self.answer = Some(answer);
        true
    }

    /// Records the time since the last bytes, if the stream has begun.
    fn record_pause(&mut self) {
        let now_ms = Clock.now_ms();
        if self.first_ms.is_some() {
            let pause_ms = now_ms.saturating_sub(self.last_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
            self.job
                .shared
                .metrics
                .observe_pause(&self.job.labels, pause_ms);
        }
        self.last_ms = now_ms;
    }

    /// Records the age of the request at its first event.
    fn record_first_event(&mut self) {
        if self.first_ms.is_some() {
            return;
        }
        let age_ms = self.job.age_ms();
        self.first_ms = Some(age_ms);
        let metrics = &self.job.shared.metrics;
        metrics.observe_first_piece(&self.job.labels, age_ms);
    }
}

/// Returns a check whether the held answers exceed their budget.
pub(crate) fn is_over_budget(job: &Job) -> impl Fn() -> bool + Send + 'static {
    let shared = job.shared.clone();
    move || {
        let held_answers = shared.activity.held_answers();
        !held_answers.fits(shared.settings().held_answer_bytes())
    }
}

/// Converts the head of a server's answer to that of the caller's answer.
pub(crate) fn caller_head(job: &Job, mut head: Parts) -> Parts {
    strip_connection_headers(&mut head.headers);
    if job.method != Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    head
}

/// Ends a request whose answer breaks off, and records the failure. `unbuffered` tells whether the
/// answer would have been read to its end before it was passed on if the budget had allowed that.
pub(crate) fn fail_truncated(job: &Job, reason: &'static str, unbuffered: bool) -> TruncatedBody {
    job.mark_ended();
    job.shared.metrics.count_failure(reason);
    note!(
        Event::FAILED,
        id = job.facts.id,
        status = 0,
        reason = reason,
        unbuffered = unbuffered,
        age_ms = job.age_ms(),
    );
    TruncatedBody { reason }
}

/// Ends a request that got a whole answer, and records it in the metrics. Returns whether it is
/// logged.
fn record_completion(job: &Job) -> bool {
    job.mark_ended();
    job.shared.metrics.observe_whole(&job.labels, job.age_ms());
    job.is_log_sampled
}

/// The times of a stream as seen by its caller.
#[derive(Clone, Copy, Debug)]
struct StreamTimes {
    first_ms: u64,
    longest_pause_ms: u64,
}

/// Records that the caller got a whole stream.
fn record_streamed(
    job: &Job,
    answer: &ServerAnswer,
    offers: u32,
    last_event: u64,
    times: StreamTimes,
) {
    if !record_completion(job) {
        return;
    }
    note!(
        Event::ANSWERED,
        id = job.facts.id,
        status = answer.head.status.as_u16(),
        offers = offers,
        ends_with_connection = answer.ends_with_connection,
        last_event = last_event,
        first_ms = times.first_ms,
        longest_pause_ms = times.longest_pause_ms,
        age_ms = job.age_ms(),
    );
}

/// Records that the caller gets a server's whole answer. A failure that is passed on is always logged.
pub(crate) fn record_answered(job: &Job, status: StatusCode, offers: u32) {
    let is_logged = record_completion(job);
    if !is_logged && status.is_success() {
        return;
    }
    note!(
        Event::ANSWERED,
        id = job.facts.id,
        status = status.as_u16(),
        offers = offers,
        age_ms = job.age_ms(),
    );
}
