//! An engine's answer as a stream of checked pieces.

use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use sapphiretrack_core::{Chunk, STREAM_END, Usage};

use crate::error::{BackendError, BrokenSnafu, CrossedSnafu};

type Bodies = Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>>;

/// The longest line of a stream; the rest of a longer one is not read into memory.
const MAX_LINE_BYTES: usize = 1 << 20;

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
    finish: Option<Piece>,
    finished: bool,
}

impl AnswerStream {
    pub(crate) fn new(attempt: String, body: Incoming) -> Self {
        Self::from_bytes(attempt, BodyDataStream::new(body))
    }

    /// Reads the bytes of a stream that answers the attempt of this id.
    pub fn from_bytes<Bodies, Error>(attempt: String, bodies: Bodies) -> Self
    where
        Bodies: Stream<Item = Result<Bytes, Error>> + Send + 'static,
        Error: std::fmt::Display,
    {
        let mut line_bytes = 0;
        let limited = bodies.map(move |part| {
            let part = part.map_err(|error| std::io::Error::other(error.to_string()))?;
            line_bytes = longest_line(line_bytes, &part)?;
            Ok(part)
        });
        let bodies: self::Bodies = Box::pin(limited);
        Self {
            attempt,
            events: bodies.eventsource(),
            finish: None,
            finished: false,
        }
    }

    /// The next piece; a stream that stops before [`Piece::End`] is broken.
    pub async fn next(&mut self) -> Result<Piece, BackendError> {
        if let Some(finish) = self.finish.take() {
            self.finished = true;
            return Ok(finish);
        }
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

    fn read(&mut self, event: &Event) -> Result<Option<Piece>, BackendError> {
        if event.data == STREAM_END {
            // The end names no attempt: it counts only after this attempt's own last chunk.
            if !self.finished {
                let reason = "ended without a last chunk of this attempt";
                return BrokenSnafu { reason }.fail();
            }
            return Ok(Some(Piece::End));
        }
        if event.event == "error" {
            return BrokenSnafu {
                reason: "the engine sent an error event",
            }
            .fail();
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
        if self.finished {
            let reason = "went on after its last chunk";
            return BrokenSnafu { reason }.fail();
        }
        let token = choice.delta.content.map(Piece::Token);
        let Some(reason) = choice.finish_reason else {
            return Ok(token);
        };
        let finish = Piece::Finish {
            reason,
            usage: chunk.usage.unwrap_or_default(),
        };
        if token.is_some() {
            // The last chunk may carry the last token as well.
            self.finish = Some(finish);
            return Ok(token);
        }
        self.finished = true;
        Ok(Some(finish))
    }
}

/// The length of the line that `part` leaves open, given the bytes that were open before.
fn longest_line(open_bytes: usize, part: &[u8]) -> Result<usize, std::io::Error> {
    let mut bytes = open_bytes;
    for line in part.split_inclusive(|byte| *byte == b'\n') {
        bytes += line.len();
        if bytes > MAX_LINE_BYTES {
            let message = format!("a line is over {MAX_LINE_BYTES} bytes");
            return Err(std::io::Error::other(message));
        }
        if line.ends_with(b"\n") {
            bytes = 0;
        }
    }
    Ok(bytes)
}
