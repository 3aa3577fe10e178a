//! Splits a stream of server-sent events into whole events and checks the order of their ids.

use bytes::{Bytes, BytesMut};

/// A whole event, including the empty line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes as received.
    pub bytes: Bytes,
}

/// Error after which the rest of a stream cannot be trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// The id of an event does not follow that of the previous one.
    OutOfOrder {
        /// Id of the last valid event.
        last: u64,
        /// Id of the invalid event.
        found: u64,
    },
    /// An event exceeds the maximum length.
    TooLong,
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
    last_id: Option<u64>,
    /// Whether `last_id` follows from an earlier id.
    is_confirmed: bool,
    /// Whether an event without an id was returned after the one with `last_id`.
    has_unnumbered: bool,
    /// The fault that was found, after which there are no further events.
    fault: Option<StreamFault>,
}

impl EventSplitter {
    /// Maximum number of bytes buffered for an incomplete event.
    const MAX_EVENT_BYTES: usize = 1024 * 1024;

    /// Creates a splitter for a stream that continues after `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            is_confirmed: last_id.is_some(),
            ..Self::default()
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event; `None` if more bytes are needed. Fails if the id of the event
    /// does not follow the previous one, or if an incomplete event exceeds the maximum length; all
    /// later calls then fail in the same way.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        let event = self.split_event();
        self.fault = event.as_ref().err().copied();
        event
    }

    fn split_event(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > Self::MAX_EVENT_BYTES {
                return Err(StreamFault::TooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        self.record(id, &bytes)?;
        Ok(Some(StreamEvent { id, bytes }))
    }

    /// Records the position in the stream after an event.
    fn record(&mut self, id: Option<u64>, event: &[u8]) -> Result<(), StreamFault> {
        let Some(found) = id else {
            self.has_unnumbered |= has_data(event);
            return Ok(());
        };
        if let Some(last) = self.last_id {
            if last.checked_add(1) != Some(found) {
                return Err(StreamFault::OutOfOrder { last, found });
            }
            self.is_confirmed = true;
        }
        self.last_id = id;
        self.has_unnumbered = false;
        Ok(())
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes of the incomplete event that are buffered.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the last id of the events returned so far.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream may be resumed after [`EventSplitter::last_id`]. It may not if that would
    /// repeat an event whose id cannot be read, nor after the only id so far if the next one contradicts it.
    pub fn can_resume(&self) -> bool {
        let is_doubtful =
            !self.is_confirmed && matches!(self.fault, Some(StreamFault::OutOfOrder { .. }));
        !self.has_unnumbered && !is_doubtful
    }

    /// Finds the end of the first event, after an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched;
        let mut index = start;
        while index < self.buffer.len() {
            if self.buffer[index] != b'\n' {
                index += 1;
                continue;
            }
            match self.buffer.get(index + 1) {
                Some(b'\n') => return Some(index + 2),
                Some(b'\r') if self.buffer.get(index + 2) == Some(&b'\n') => {
                    return Some(index + 3);
                }
                Some(b'\r') if self.buffer.len() == index + 2 => break,
                None => break,
                Some(_) => index += 1,
            }
        }
        self.searched = index;
        None
    }
}

/// Returns whether an event has data. Comments and other fields alone are no part of the stream's content.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data"))
}

/// Parses the number in an event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
