//! Answers to callers and their encoding as HTTP responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, SizeHint};
use sapphiretrack_core::{Chunk, Outcome, Refusal, RefusalCode, STREAM_END};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Receiver;

use crate::headers::{OUTCOME_HEADER, WARM_HEADER};
use crate::request::RequestGuard;

/// The body of an HTTP response; an error in it aborts the connection.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// The value of the outcome header of a streamed answer, whose last event carries the outcome.
const OUTCOME_IN_STREAM: &str = "in-stream";

/// An answer to a caller.
pub enum Answer {
    /// An answer with its complete body.
    Buffered(BufferedAnswer),
    /// An answer that is forwarded as its events arrive.
    Stream {
        /// Identifies the server that has the chat in its cache, for the caller's next request.
        warm: String,
        /// The events; the last one is [`StreamEvent::End`] or [`StreamEvent::Error`].
        events: Receiver<StreamEvent>,
    },
    /// A typed error instead of a result.
    Refused(Refusal),
}

/// An answer with its complete body.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// Identifies the server that has the chat in its cache, for the caller's next request.
    pub warm: Option<String>,
}

/// An event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// A part of the answer.
    Chunk(Box<Chunk>),
    /// The explicit end: the answer is complete.
    End,
    /// The explicit error: the answer is incomplete.
    Error(Refusal),
}

/// The reply to a lookup of the routers to connect to: `GET /v1/entry`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EntryReply {
    /// The addresses of the routers, the preferred one first.
    pub addresses: Vec<String>,
    /// How long the caller may cache the reply, in milliseconds.
    pub ttl_ms: u64,
}

/// The JSON body of an answer without a result.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error as callers receive it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// One of the error codes in `docs/callers.md`.
    pub code: String,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub hint: String,
    /// Whether the request ran: `not-run` or `unknown`.
    pub outcome: String,
    /// The delay before a retry in milliseconds, if a retry can help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Refusal> for ErrorBody {
    fn from(refusal: &Refusal) -> Self {
        Self {
            error: ErrorDetail {
                code: refusal.code.as_str().to_owned(),
                message: refusal.message.clone(),
                hint: refusal.code.hint().to_owned(),
                outcome: refusal.outcome.as_str().to_owned(),
                retry_after_ms: refusal.retry_after_ms,
            },
        }
    }
}

/// Encodes an answer as an HTTP response. The guard is held until the transport has taken the last
/// byte of the body.
pub(crate) fn respond(answer: Answer, guard: RequestGuard) -> Response<AnswerBody> {
    let fallback_guard = guard.clone();
    let response = match answer {
        Answer::Refused(refusal) => respond_refusal(&refusal, guard),
        Answer::Buffered(answer) => respond_buffered(answer, guard),
        Answer::Stream { warm, events } => Response::builder()
            .status(StatusCode::OK)
            .header(header::CONTENT_TYPE, "text/event-stream")
            .header(header::CACHE_CONTROL, "no-store")
            .header(OUTCOME_HEADER, OUTCOME_IN_STREAM)
            .header(WARM_HEADER, warm)
            .body(StreamBody::new(stream_frames(events, guard)).boxed_unsync()),
    };
    response.unwrap_or_else(|error| {
        // The answer of the backend server holds a value that is not a valid header.
        let message = format!("the answer cannot be written: {error}");
        let refusal = Refusal::unknown(RefusalCode::ServerFailed, message);
        let response = respond_refusal(&refusal, fallback_guard);
        response.unwrap_or_else(|_| Response::new(AnswerBody::default()))
    })
}

/// The body frames of a streamed answer. If the channel closes without an end or error event, the
/// body fails and the connection is aborted, so that a truncated answer never looks complete.
fn stream_frames(
    mut events: Receiver<StreamEvent>,
    guard: RequestGuard,
) -> impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    let mut guard = Some(guard);
    futures::stream::poll_fn(move |context| {
        if guard.is_none() {
            return Poll::Ready(None);
        }
        let Poll::Ready(event) = events.poll_recv(context) else {
            return Poll::Pending;
        };
        if !matches!(event, Some(StreamEvent::Chunk(_))) {
            guard = None;
        }
        let truncated = || std::io::Error::other("the answer ended without an end event");
        let frame = event.map(|event| Frame::data(encode_event(&event)));
        Poll::Ready(Some(frame.ok_or_else(truncated)))
    })
}

fn respond_buffered(
    answer: BufferedAnswer,
    guard: RequestGuard,
) -> Result<Response<AnswerBody>, http::Error> {
    let mut builder = Response::builder()
        .status(answer.status)
        .header(header::CONTENT_TYPE, answer.content_type)
        .header(OUTCOME_HEADER, Outcome::Complete.as_str());
    if let Some(warm) = answer.warm {
        builder = builder.header(WARM_HEADER, warm);
    }
    builder.body(guarded_body(answer.body, guard))
}

fn respond_refusal(
    refusal: &Refusal,
    guard: RequestGuard,
) -> Result<Response<AnswerBody>, http::Error> {
    let body = serde_json::to_vec(&ErrorBody::from(refusal)).unwrap_or_default();
    let mut builder = Response::builder()
        .status(refusal.code.http_status())
        .header(header::CONTENT_TYPE, "application/json")
        .header(OUTCOME_HEADER, refusal.outcome.as_str());
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    builder.body(guarded_body(Bytes::from(body), guard))
}

/// A complete body that keeps its request in flight until the transport has taken it.
struct GuardedBody {
    inner: Full<Bytes>,
    _guard: RequestGuard,
}

fn guarded_body(body: Bytes, guard: RequestGuard) -> AnswerBody {
    let body = GuardedBody {
        inner: Full::new(body),
        _guard: guard,
    };
    body.map_err(|never| match never {}).boxed_unsync()
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

fn encode_event(event: &StreamEvent) -> Bytes {
    let text = match event {
        StreamEvent::Chunk(chunk) => match serde_json::to_string(chunk) {
            Ok(json) => format!("data: {json}\n\n"),
            Err(error) => format!("event: error\ndata: \"{error}\"\n\n"),
        },
        StreamEvent::End => format!("data: {STREAM_END}\n\n"),
        StreamEvent::Error(refusal) => {
            let json = serde_json::to_string(&ErrorBody::from(refusal)).unwrap_or_default();
            format!("event: error\ndata: {json}\n\n")
        }
    };
    Bytes::from(text)
}
