//! An engine's answer as a stream of checked pieces.

use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use sapphiretrack_core::{Chunk, STREAM_END, Usage};

use crate::error::{BackendError, BrokenSnafu, CrossedSnafu};

type Bodies = Pin<Box<dyn Stream<Item = Result<Bytes, hyper::Error>> + Send>>;

/// One step of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The next token's text.
    Token(String),
    /// Why the answer ends, and its token counts.
    Finish {
        /// The engine's reason.
        reason: String,
        /// The counts.
        usage: Usage,
    },
    /// The explicit end: nothing is missing.
    End,
}

/// Reads an engine's events and checks that each belongs to the attempt.
pub struct AnswerStream {
    attempt: String,
    events: EventStream<Bodies>,
}

impl AnswerStream {
    pub(crate) fn new(attempt: String, body: Incoming) -> Self {
        let bodies: Bodies = Box::pin(BodyDataStream::new(body));
        Self {
            attempt,
            events: bodies.eventsource(),
        }
    }

    /// The next piece; a stream that stops before [`Piece::End`] is broken.
    pub async fn next(&mut self) -> Result<Piece, BackendError> {
        loop {
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(error)) => {
                    return BrokenSnafu {
                        reason: error.to_string(),
                    }
                    .fail();
                }
                None => {
                    return BrokenSnafu {
                        reason: "cut before its end",
                    }
                    .fail();
                }
            };
            if let Some(piece) = self.read(&event)? {
                return Ok(piece);
            }
        }
    }

    fn read(&self, event: &Event) -> Result<Option<Piece>, BackendError> {
        if event.data == STREAM_END {
            return Ok(Some(Piece::End));
        }
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => {
                return BrokenSnafu {
                    reason: error.to_string(),
                }
                .fail();
            }
        };
        if chunk.id != self.attempt {
            return CrossedSnafu {
                expected: self.attempt.as_str(),
                found: chunk.id,
            }
            .fail();
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        if let Some(reason) = choice.finish_reason {
            return Ok(Some(Piece::Finish {
                reason,
                usage: chunk.usage.unwrap_or_default(),
            }));
        }
        Ok(choice.delta.content.map(Piece::Token))
    }
}
