//! Checks the bytes of an answer's head for what parsers accept although it is no answer in the protocol.

use memchr::{memchr_iter, memchr2};

/// Why the bytes of a head are no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadFault {
    /// A line does not end with CR LF. Parsers differ on where such a head ends, so that fields of it may be taken for
    /// the body.
    LineEnd,
    /// The status is no number from 100 to 599.
    Status,
    /// Another answer begins within a line: the first one was cut off.
    Joined,
}

impl HeadFault {
    /// Returns the fault as it appears in errors.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LineEnd => "a line of the head does not end with CR LF",
            Self::Status => "the status is not one from 100 to 599",
            Self::Joined => "another answer begins within the head",
        }
    }
}

/// The protocol in a status line, before its minor version.
const PROTOCOL: &[u8] = b"HTTP/1.";
/// The place of its slash, which is rarer in lines than letters.
const SLASH: usize = 4;
/// The length of a status line up to its status: the protocol, the minor version, a space, and three digits.
const STATUS_END: usize = PROTOCOL.len() + 5;

/// Checks the head of an answer as it arrives, in pieces of any length, and the heads of interim answers before it. Bytes
/// after the head are not checked.
#[derive(Clone, Debug, Default)]
pub struct HeadCheck {
    /// The status; 0 until the status line has one.
    status: u16,
    has_status_line: bool,
    /// The length of the line so far, in bytes.
    line_bytes: usize,
    /// The newest bytes of the line.
    newest: [u8; STATUS_END],
    is_after_return: bool,
    has_ended: bool,
}

impl HeadCheck {
    /// Checks the next bytes. After a fault, nothing that follows on the connection can be trusted.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        let mut rest = bytes;
        while !self.has_ended && !rest.is_empty() {
            if std::mem::take(&mut self.is_after_return) {
                rest = rest.strip_prefix(b"\n").ok_or(HeadFault::LineEnd)?;
                self.end_line()?;
                continue;
            }
            let end = memchr2(b'\r', b'\n', rest);
            let (line, after) = rest.split_at(end.unwrap_or(rest.len()));
            self.extend_line(line)?;
            rest = match after {
                [b'\r', after @ ..] => {
                    self.is_after_return = true;
                    after
                }
                [] => after,
                _ => return Err(HeadFault::LineEnd),
            };
        }
        Ok(())
    }

    /// Returns whether the head of the final answer has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Adds bytes of a line without its end.
    fn extend_line(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        let first_bytes = match self.has_status_line {
            true => 0,
            false => (STATUS_END + 1).saturating_sub(self.line_bytes),
        };
        let (first, rest) = bytes.split_at(first_bytes.min(bytes.len()));
        for byte in first {
            self.extend_status(*byte)?;
        }
        if self.has_joined(rest) {
            return Err(HeadFault::Joined);
        }
        self.keep(rest);
        Ok(())
    }

    /// Adds a byte of a status line up to the one after the status.
    fn extend_status(&mut self, byte: u8) -> Result<(), HeadFault> {
        self.keep(&[byte]);
        if self.line_bytes == STATUS_END {
            let status = status_at_end(&self.newest);
            let valid = status.filter(|status| (100..=599).contains(status));
            self.status = valid.ok_or(HeadFault::Status)?;
        }
        let has_more_digits = self.line_bytes > STATUS_END && byte != b' ';
        match has_more_digits {
            true => Err(HeadFault::Status),
            false => Ok(()),
        }
    }

    /// Whether a status line begins in the line so far, or in the bytes that follow it, and ends in these.
    fn has_joined(&self, bytes: &[u8]) -> bool {
        let is_status = |window: &[u8]| status_at_end(window).is_some();
        let kept = self.line_bytes.min(STATUS_END - 1);
        let next = bytes.len().min(STATUS_END - 1);
        let mut around = [0; 2 * (STATUS_END - 1)];
        around[..kept].copy_from_slice(&self.newest[STATUS_END - kept..]);
        around[kept..kept + next].copy_from_slice(&bytes[..next]);
        if kept > 0 && around[..kept + next].windows(STATUS_END).any(is_status) {
            return true;
        }
        memchr_iter(b'/', bytes).any(|slash| {
            let begin = slash.checked_sub(SLASH);
            let window = begin.and_then(|begin| bytes.get(begin..begin + STATUS_END));
            window.is_some_and(is_status)
        })
    }

    /// Counts bytes of the line, and keeps the newest.
    fn keep(&mut self, bytes: &[u8]) {
        self.line_bytes += bytes.len();
        let newest = &bytes[bytes.len().saturating_sub(STATUS_END)..];
        self.newest.rotate_left(newest.len());
        self.newest[STATUS_END - newest.len()..].copy_from_slice(newest);
    }

    fn end_line(&mut self) -> Result<(), HeadFault> {
        let is_empty = std::mem::take(&mut self.line_bytes) == 0;
        if !self.has_status_line {
            // Empty lines may come before an answer.
            self.has_status_line = self.status != 0;
            return match is_empty || self.has_status_line {
                true => Ok(()),
                false => Err(HeadFault::Status),
            };
        }
        if is_empty {
            // The next answer follows an interim one, but not a change of the protocol.
            let is_interim = self.status < 200 && self.status != 101;
            self.has_ended = !is_interim;
            self.has_status_line = false;
            self.status = 0;
        }
        Ok(())
    }
}

/// Returns the status with which these bytes end, if they are those of a status line.
fn status_at_end(bytes: &[u8]) -> Option<u16> {
    let rest = bytes.strip_prefix(PROTOCOL)?;
    let [minor, b' ', status @ ..] = rest else {
        return None;
    };
    let mut digits = status.iter().chain([minor]);
    if !digits.all(u8::is_ascii_digit) {
        return None;
    }
    let digits = status.iter().map(|digit| u16::from(digit - b'0'));
    Some(digits.fold(0, |status, digit| status * 10 + digit))
}
