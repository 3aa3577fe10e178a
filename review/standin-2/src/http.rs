//! Just enough HTTP/1.1 over blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A head and the bytes that were read after it.
pub struct Message {
    /// The first line.
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The length of the body.
    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection and what was read ahead on it.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    /// Takes over a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> std::io::Result<Option<Message>> {
        let mut searched = 0;
        loop {
            let from = searched.min(self.ahead.len());
            let found = self.ahead[from..]
                .windows(4)
                .position(|part| part == b"\r\n\r\n");
            if let Some(at) = found {
                let end = from + at + 4;
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end);
                let mut lines = text.lines();
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
                return Ok(Some(Message {
                    start,
                    headers: headers.collect(),
                }));
            }
            searched = self.ahead.len().saturating_sub(3);
            if self.read_more(64 * 1024)? == 0 {
                return Ok(None);
            }
        }
    }

    /// Takes up to `count` bytes of a body; fewer only at the end of the connection.
    pub fn read_bytes(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            let missing = count - self.ahead.len();
            if self.read_more(missing.min(64 * 1024))? == 0 {
                break;
            }
        }
        let count = count.min(self.ahead.len());
        Ok(self.ahead.drain(..count).collect())
    }

    fn read_more(&mut self, limit: usize) -> std::io::Result<usize> {
        let mut buffer = vec![0; limit];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }
}
