//! Checks the bytes of an answer's head for what parsers accept although it is no answer in the protocol.

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
        let mut bytes = bytes.iter();
        while !self.has_ended
            && let Some(byte) = bytes.next()
        {
            self.push_byte(*byte)?;
        }
        Ok(())
    }

    /// Returns whether the head of the final answer has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), HeadFault> {
        if self.is_after_return != (byte == b'\n') {
            return Err(HeadFault::LineEnd);
        }
        self.is_after_return = byte == b'\r';
        match byte {
            b'\r' => Ok(()),
            b'\n' => self.end_line(),
            byte => self.extend_line(byte),
        }
    }

    fn extend_line(&mut self, byte: u8) -> Result<(), HeadFault> {
        self.newest.rotate_left(1);
        self.newest[STATUS_END - 1] = byte;
        self.line_bytes += 1;
        let status = status_at_end(&self.newest).filter(|_| self.line_bytes >= STATUS_END);
        let is_beginning = !self.has_status_line && self.line_bytes <= STATUS_END + 1;
        if !is_beginning {
            return status.map_or(Ok(()), |_| Err(HeadFault::Joined));
        }
        if self.line_bytes == STATUS_END {
            let valid = status.filter(|status| (100..=599).contains(status));
            self.status = valid.ok_or(HeadFault::Status)?;
        }
        let has_more_digits = self.line_bytes > STATUS_END && byte != b' ';
        match has_more_digits {
            true => Err(HeadFault::Status),
            false => Ok(()),
        }
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
fn status_at_end(bytes: &[u8; STATUS_END]) -> Option<u16> {
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
