//! Messages over raw sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection and what was read from it beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// A message as it was received.
pub struct Message {
    /// The first line.
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received up to its stated end.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A failure only delays small messages.
        drop(stream.set_nodelay(true));
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a message; none if the connection ends before the end of its head.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        let length = message
            .header("content-length")
            .and_then(|value| value.trim().parse().ok());
        let chunked = message.header("transfer-encoding").is_some();
        match (length, chunked) {
            (_, true) => message.is_complete = self.read_chunks(&mut message.body),
            (Some(length), _) => {
                message.is_complete = self.fill(length);
                let length = length.min(self.rest.len());
                message.body = self.rest.drain(..length).collect();
            }
            (None, false) => {}
        }
        Some(message)
    }

    /// Reads a message's head; none if the connection ends before.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            if !self.more() {
                return None;
            }
        };
        let head: Vec<u8> = self.rest.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Some(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
            is_complete: true,
        })
    }

    /// Reads a chunk of a body; none if the connection ends before its end. The last one is empty.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let mut chunk = Vec::new();
        self.read_one_chunk(&mut chunk).then_some(chunk)
    }

    /// Reads the body of an answer whose head has been read, as text.
    pub fn read_body(&mut self, answer: &Message) -> String {
        let length = answer
            .header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        self.fill(length);
        String::from_utf8_lossy(&self.rest).into_owned()
    }

    /// Takes what was read beyond the last head.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.rest)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let before = body.len();
            if !self.read_one_chunk(body) {
                return false;
            }
            if body.len() == before {
                return true;
            }
        }
    }

    fn read_one_chunk(&mut self, body: &mut Vec<u8>) -> bool {
        let end = loop {
            if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            if !self.more() {
                return false;
            }
        };
        let line: Vec<u8> = self.rest.drain(..end + 2).collect();
        let line = String::from_utf8_lossy(&line);
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        if !self.fill(size + 2) {
            return false;
        }
        body.extend(self.rest.drain(..size));
        self.rest.drain(..2);
        true
    }

    fn fill(&mut self, length: usize) -> bool {
        while self.rest.len() < length {
            if !self.more() {
                return false;
            }
        }
        true
    }

    fn more(&mut self) -> bool {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.rest.extend_from_slice(&piece[..count]);
                true
            }
        }
    }
}
