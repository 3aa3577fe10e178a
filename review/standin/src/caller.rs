//! Callers: they ask a router for addresses, keep connections and follow `Retry-After`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::node::ZONES;
use crate::words::{fill, head, word};

/// Asks the directories in turn, as callers do, one second for each; none if no router answers.
pub fn look_up(directories: &[SocketAddr], zone: &str) -> Option<Vec<SocketAddr>> {
    let limit = Duration::from_secs(1);
    directories.iter().find_map(|directory| {
        let mut connection = Connection::open(*directory, limit).ok()?;
        connection.stream.set_read_timeout(Some(limit)).ok()?;
        let path = fill("lookup", &[("zone", zone)]);
        let request = format!("GET {} HTTP/1.1\r\nHost: x\r\n\r\n", path.trim_end());
        connection.send(request.as_bytes()).ok()?;
        let answer = connection.read().filter(|answer| answer.status() == 200)?;
        let body = crate::json::Json::parse(&answer.body);
        let addresses = body.get("Addresses").items().iter();
        let addresses: Vec<SocketAddr> = addresses
            .filter_map(|one| one.text().parse().ok())
            .collect();
        (!addresses.is_empty()).then_some(addresses)
    })
}

/// Builds a request's head.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    length: usize,
) -> Vec<u8> {
    let (deadline, length) = (deadline.as_millis().to_string(), length.to_string());
    head(
        "request",
        &[
            ("method", method),
            ("path", path),
            ("id", id),
            ("deadline", &deadline),
            ("length", &length),
        ],
    )
}

/// How an attempt ended.
pub enum Outcome {
    /// The status, whether the answer bears a server's signature, and the retry delay.
    Answered(u16, bool, Option<Duration>),
    /// The connection ended without a complete answer.
    Closed,
    /// The caller gave up at its deadline.
    GaveUp,
}

/// A caller that keeps one connection.
pub struct Caller {
    directories: Vec<SocketAddr>,
    zone: &'static str,
    number: usize,
    addresses: Vec<SocketAddr>,
    asked: Option<Instant>,
    connection: Option<Connection>,
    turn: usize,
}

impl Caller {
    pub fn new(directories: &[SocketAddr], number: usize) -> Self {
        let mut directories = directories.to_vec();
        // The nearest first.
        directories.rotate_left(number % ZONES.len());
        Self {
            directories,
            zone: ZONES[number % ZONES.len()],
            number,
            addresses: Vec::new(),
            asked: None,
            connection: None,
            turn: number,
        }
    }

    /// Connects to one of the addresses of a lookup that is at most 2 s old.
    fn connect(&mut self) -> Option<()> {
        let is_old = self
            .asked
            .is_none_or(|asked| asked.elapsed() >= Duration::from_secs(2));
        if is_old && let Some(addresses) = look_up(&self.directories, self.zone) {
            self.asked = Some(Instant::now());
            if self.connection.is_some() && self.addresses != addresses {
                self.connection = None;
            }
            self.addresses = addresses;
        }
        if self.connection.is_none() {
            self.turn += 1;
            let address = *self
                .addresses
                .get(self.turn % self.addresses.len().max(1))?;
            self.connection = Some(Connection::open(address, Duration::from_secs(1)).ok()?);
        }
        Some(())
    }

    /// Makes one attempt; none if no router could be reached.
    pub fn attempt(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        body: &[u8],
        deadline: Duration,
    ) -> Option<Outcome> {
        self.connect()?;
        let mut connection = self.connection.take()?;
        let head = request_head(method, path, id, deadline, body.len());
        connection.stream.set_read_timeout(Some(deadline)).ok()?;
        let sent = Instant::now();
        if connection.send(&[&head, body].concat()).is_err() {
            return Some(Outcome::Closed);
        }
        let answer = connection.read().filter(|answer| answer.is_complete);
        let Some(answer) = answer else {
            return Some(match sent.elapsed() >= deadline {
                true => Outcome::GaveUp,
                false => Outcome::Closed,
            });
        };
        let closes = answer
            .header("connection")
            .is_some_and(|value| value == "close");
        let retry_after = answer
            .header("retry-after")
            .and_then(|value| value.parse().ok());
        // A retry goes over a new connection.
        if !closes && answer.status() == 200 {
            self.connection = Some(connection);
        }
        let is_signed = answer.header(word("seal-header")).is_some();
        Some(Outcome::Answered(
            answer.status(),
            is_signed,
            retry_after.map(Duration::from_secs_f64),
        ))
    }

    pub fn number(&self) -> usize {
        self.number
    }
}
