//! A pool of connections to backend servers or routers. Each connection carries one request at a time
//! and is reused only after a complete answer.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use snafu::Snafu;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::connect::{ConnectError, ConnectionDriver, connect, is_invalid_head};
use crate::ports::ConnectServer;

/// How long an idle connection is kept if the server states no keep-alive limit.
const DEFAULT_IDLE_MS: u64 = 8_000;
/// The margin by which an idle connection is closed before the server's own limit, so that the
/// server does not close it while a request is being sent.
const IDLE_MARGIN_MS: u64 = 1_000;
/// The most idle connections to one server: as many as it has requests in flight at usual load.
const MAX_IDLE: usize = 16;

/// The connections to all peers of one kind. A key stands for one run of a peer.
pub(crate) struct ConnectionPool<Key> {
    open: ConnectServer,
    peers: Mutex<HashMap<Key, Arc<PeerConnections>>>,
}

/// The connections to one peer.
#[derive(Debug, Default)]
struct PeerConnections {
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    open_count: u32,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: ConnectionDriver,
    opened_ms: u64,
    until_ms: u64,
}

/// A connection in use by one request. It is closed on drop unless it was returned with
/// [`Connection::return_to_pool`].
#[derive(Debug)]
pub(crate) struct Connection {
    /// Whether the connection has carried a request before.
    pub(crate) is_reused: bool,
    /// When it was opened, by the local clock.
    pub(crate) opened_ms: u64,
    open: Option<(SendRequest<Full<Bytes>>, ConnectionDriver)>,
    slot: Slot,
}

/// Why a request that was sent has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing was written to the connection.
    NotSent,
    /// The head of the answer exceeds the limit. The request may have run.
    HeadTooLong,
    /// What came is no answer in the protocol. The request may have run.
    InvalidHead,
    /// The connection was lost. The request may have run.
    ConnectionLost,
}

/// The connection on which a request was sent, and the head of its answer.
pub(crate) type SentRequest = (Connection, Result<Response<Incoming>, SendFailure>);

impl From<TrySendError<Request<Full<Bytes>>>> for SendFailure {
    fn from(mut error: TrySendError<Request<Full<Bytes>>>) -> Self {
        if error.take_message().is_some() {
            return Self::NotSent;
        }
        let error = error.error();
        if error.is_parse_too_large() {
            return Self::HeadTooLong;
        }
        match error.is_parse() || is_invalid_head(error) {
            true => Self::InvalidHead,
            false => Self::ConnectionLost,
        }
    }
}

/// A slot among the connections that this router may open to a server.
#[derive(Debug)]
struct Slot(Arc<PeerConnections>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().open_count -= 1;
    }
}

/// Why no connection is available. Nothing was sent.
#[derive(Debug, Snafu)]
pub(crate) enum PoolError {
    /// This router's share of the server's connections is in use.
    #[snafu(display("all {limit} connections to the server are in use"))]
    LimitReached {
        /// The size of the share.
        limit: u32,
    },
    /// The connection could not be established.
    #[snafu(display("{source}"), context(false))]
    Unreachable {
        /// The cause.
        source: ConnectError,
    },
}

impl<Key> ConnectionPool<Key>
where
    Key: Copy + Eq + Hash,
{
    /// An empty pool that opens connections with `open`.
    pub(crate) fn new(open: ConnectServer) -> Self {
        Self {
            open,
            peers: Mutex::default(),
        }
    }

    /// Opens a TCP connection and closes it; fails after `limit_ms`.
    pub(crate) async fn probe(&self, address: SocketAddr, limit_ms: u64) -> std::io::Result<()> {
        let limit = Duration::from_millis(limit_ms);
        timeout(limit, (self.open)(address)).await??;
        Ok(())
    }

    /// Returns an idle connection to a peer, or opens a new one if fewer than `limit` are open. If
    /// `force_new` is set, idle connections are not used.
    pub(crate) async fn get(
        &self,
        (key, address): (Key, SocketAddr),
        limit: u32,
        connect_ms: u64,
        force_new: bool,
    ) -> Result<Connection, PoolError> {
        let connections = self.connections(key);
        if !force_new && let Some(connection) = connections.take_idle(Clock.now_ms()) {
            return Ok(Connection {
                is_reused: true,
                opened_ms: connection.opened_ms,
                open: Some((connection.sender, connection.driver)),
                slot: Slot(connections),
            });
        }
        if !connections.reserve(limit) {
            return Err(PoolError::LimitReached { limit });
        }
        let slot = Slot(connections);
        let open = connect(&self.open, address, connect_ms).await?;
        Ok(Connection {
            is_reused: false,
            opened_ms: Clock.now_ms(),
            open: Some(open),
            slot,
        })
    }

    /// Closes expired idle connections, and all idle connections to peers that are not listed.
    pub(crate) fn sweep<Listed>(&self, is_listed: Listed)
    where
        Listed: Fn(Key) -> bool,
    {
        let now_ms = Clock.now_ms();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|key, connections| {
            let mut state = connections.lock();
            let listed = is_listed(*key);
            let before = state.idle.len();
            state
                .idle
                .retain(|idle| listed && now_ms < idle.until_ms && idle.sender.is_ready());
            state.open_count -= (before - state.idle.len()) as u32;
            listed || state.open_count > 0
        });
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers
            .values()
            .for_each(|connections| connections.close_idle());
    }

    /// Closes the idle connections to one peer.
    pub(crate) fn close_idle_to(&self, key: Key) {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connections) = peers.get(&key) {
            connections.close_idle();
        }
    }

    fn connections(&self, key: Key) -> Arc<PeerConnections> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.entry(key).or_default().clone()
    }
}

impl PeerConnections {
    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_idle(&self) {
        let mut state = self.lock();
        state.open_count -= state.idle.len() as u32;
        state.idle.clear();
    }

    /// Takes the most recently used idle connection that is still usable. It keeps its slot.
    fn take_idle(&self, now_ms: u64) -> Option<IdleConnection> {
        let mut state = self.lock();
        while let Some(connection) = state.idle.pop() {
            if now_ms < connection.until_ms && connection.sender.is_ready() {
                return Some(connection);
            }
            state.open_count -= 1;
        }
        None
    }

    /// Takes a slot for a new connection; false if `limit` is reached.
    fn reserve(&self, limit: u32) -> bool {
        let mut state = self.lock();
        if state.open_count >= limit {
            // Idle connections that are closed free their slots.
            let before = state.idle.len();
            state.idle.retain(|connection| connection.sender.is_ready());
            state.open_count -= (before - state.idle.len()) as u32;
        }
        let has_free_slot = state.open_count < limit;
        if has_free_slot {
            state.open_count += 1;
        }
        has_free_slot
    }
}

impl Connection {
    /// Sends a request.
    pub(crate) async fn send(mut self, mut request: Request<Full<Bytes>>) -> SentRequest {
        let (sender, driver) = self
            .open
            .as_mut()
            .expect("the connection is open until it is returned");
        driver.expect_head(&mut request);
        let answer = sender.try_send_request(request).await;
        driver.record_head();
        (self, answer.map_err(SendFailure::from))
    }

    /// Returns the connection to the pool. Only valid after a complete answer was read.
    pub(crate) fn return_to_pool(mut self, keep_alive_s: Option<u64>) {
        let idle_ms = keep_alive_s.map_or(DEFAULT_IDLE_MS, |limit_s| {
            (limit_s * 1_000).saturating_sub(IDLE_MARGIN_MS)
        });
        let Some((sender, driver)) = self.open.take() else {
            return;
        };
        let mut state = self.slot.0.lock();
        if idle_ms == 0 || state.idle.len() >= MAX_IDLE {
            return;
        }
        state.idle.push(IdleConnection {
            sender,
            driver,
            opened_ms: self.opened_ms,
            until_ms: Clock.now_ms() + idle_ms,
        });
        // The idle connection takes over the slot that this one frees on drop.
        state.open_count += 1;
    }
}
