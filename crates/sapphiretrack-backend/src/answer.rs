//! Reads an engine's streamed answer and checks that it is complete and belongs to the attempt.

use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use sapphiretrack_core::{Chunk, STREAM_END, Usage};

use crate::error::{AnswerFailedSnafu, BackendError, WrongAttemptSnafu};

type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>>;

/// Maximum length of a line of the stream, in bytes. A longer line ends the stream with an error
/// and is not read into memory any further. A chunk holds one token or a few; the parser reads an
/// unfinished line again with each part, so that its time grows with the square of this limit.
const MAX_LINE_BYTES: usize = 128 << 10;
/// Maximum length of an event of several lines, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One part of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The text of the next token.
    Token(String),
    /// The answer's finish reason and token counts.
    Finish {
        /// The finish reason that the engine gives.
        reason: String,
        /// Token counts; zero if the engine sent none.
        usage: Usage,
    },
    /// The end marker of the stream: the answer is complete.
    End,
}

/// Parses an engine's server-sent events and checks that each carries the attempt's id.
pub struct AnswerStream {
    attempt: String,
    software: Option<String>,
    events: EventStream<ByteStream>,
    finish: Option<Piece>,
    finished: bool,
}

impl AnswerStream {
    pub(crate) fn new(attempt: String, body: Incoming, software: Option<String>) -> Self {
        let answer = Self::from_bytes(attempt, BodyDataStream::new(body));
        Self { software, ..answer }
    }

    /// Returns the version of the engine's software; `None` if it states none.
    pub fn software(&self) -> Option<&str> {
        self.software.as_deref()
    }

    /// Creates a stream from the body bytes of the answer to the attempt with this id.
    pub fn from_bytes<ByteStream, Error>(attempt: String, stream: ByteStream) -> Self
    where
        ByteStream: Stream<Item = Result<Bytes, Error>> + Send + 'static,
        Error: std::fmt::Display,
    {
        let mut unfinished = Unfinished::default();
        let limited = stream.map(move |part| {
            let part = part.map_err(|error| std::io::Error::other(error.to_string()))?;
            unfinished.add(&part)?;
            Ok(part)
        });
        let stream: self::ByteStream = Box::pin(limited);
        Self {
            attempt,
            software: None,
            events: stream.eventsource(),
            finish: None,
            finished: false,
        }
    }

    /// Returns the next piece. A stream that stops before [`Piece::End`] is an error.
    pub async fn next(&mut self) -> Result<Piece, BackendError> {
        if let Some(finish) = self.finish.take() {
            self.finished = true;
            return Ok(finish);
        }
        loop {
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(error)) => {
                    return AnswerFailedSnafu {
                        reason: error.to_string(),
                    }
                    .fail();
                }
                None => {
                    return AnswerFailedSnafu {
                        reason: "cut before its end",
                    }
                    .fail();
                }
            };
            if let Some(piece) = self.parse_event(&event)? {
                return Ok(piece);
            }
        }
    }

    fn parse_event(&mut self, event: &Event) -> Result<Option<Piece>, BackendError> {
        if event.data == STREAM_END {
            // The end marker carries no attempt id, so it is valid only after the attempt's own
            // last chunk.
            if !self.finished {
                let reason = "ended without a last chunk of this attempt";
                return AnswerFailedSnafu { reason }.fail();
            }
            return Ok(Some(Piece::End));
        }
        if event.event == "error" {
            return AnswerFailedSnafu {
                reason: "the engine sent an error event",
            }
            .fail();
        }
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => {
                return AnswerFailedSnafu {
                    reason: error.to_string(),
                }
                .fail();
            }
        };
        if chunk.id != self.attempt {
            return WrongAttemptSnafu {
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
            return AnswerFailedSnafu { reason }.fail();
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
            // The last chunk may also contain the last token, which is returned first.
            self.finish = Some(finish);
            return Ok(token);
        }
        self.finished = true;
        Ok(Some(finish))
    }
}

/// The lengths of the line and of the event that are not finished, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Unfinished {
    line_bytes: usize,
    event_bytes: usize,
    /// Whether the line has other bytes than line ends.
    has_text: bool,
}

impl Unfinished {
    /// Adds a part of the stream. Fails if a line or an event exceeds its limit.
    fn add(&mut self, part: &[u8]) -> Result<(), std::io::Error> {
        for line in part.split_inclusive(|byte| *byte == b'\n') {
            self.line_bytes += line.len();
            self.event_bytes += line.len();
            let lengths = [
                ("a line", self.line_bytes, MAX_LINE_BYTES),
                ("an event", self.event_bytes, MAX_EVENT_BYTES),
            ];
            let too_long = lengths.iter().find(|(_, bytes, limit)| bytes > limit);
            if let Some((what, _, limit)) = too_long {
                let message = format!("{what} is over {limit} bytes");
                return Err(std::io::Error::other(message));
            }
            self.has_text |= line.iter().any(|byte| !b"\r\n".contains(byte));
            if line.ends_with(b"\n") {
                // An empty line ends the event.
                if !self.has_text {
                    self.event_bytes = 0;
                }
                self.line_bytes = 0;
                self.has_text = false;
            }
        }
        Ok(())
    }
}
