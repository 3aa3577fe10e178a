//! Connections to backend servers: one request at a time on each, kept while nothing is in doubt.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use sapphiretrack_routing::{Incarnation, ServerEntry};
use snafu::Snafu;

use crate::clock::Clock;
use crate::connect::{ConnectError, Driver, connect};

/// How long an idle connection is kept if the server names no limit.
const IDLE_MS: u64 = 8_000;
/// Kept free of a server's own limit, so that its close does not cross a request.
const IDLE_MARGIN_MS: u64 = 1_000;
/// Idle connections to one server: as many as there are requests at usual load.
const MAX_IDLE: usize = 16;

/// All kept connections.
#[derive(Debug, Default)]
pub(crate) struct ServerPool {
    servers: Mutex<HashMap<Incarnation, Arc<OneServer>>>,
}

/// The connections of one server.
#[derive(Debug, Default)]
struct OneServer {
    state: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Kept>,
    open: u32,
}

#[derive(Debug)]
struct Kept {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    until_ms: u64,
}

/// A connection that one request uses; it closes when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Whether it had carried a request before.
    pub(crate) is_reused: bool,
    open: Option<(SendRequest<Full<Bytes>>, Driver)>,
    place: Place,
}

/// A place among the connections that a server may have of this router.
#[derive(Debug)]
struct Place(Arc<OneServer>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

/// Why there is no connection; nothing was sent.
#[derive(Debug, Snafu)]
pub(crate) enum PoolError {
    /// This router's share of the server's connections is used up.
    #[snafu(display("all {limit} connections to the server are in use"))]
    NoneFree {
        /// The share.
        limit: u32,
    },
    /// It cannot be made.
    #[snafu(display("{source}"), context(false))]
    Unreachable {
        /// Why.
        source: ConnectError,
    },
}

impl ServerPool {
    /// A connection to a server: a kept one, or a new one if fewer than `limit` are open.
    pub(crate) async fn get(
        &self,
        server: &ServerEntry,
        limit: u32,
        connect_ms: u64,
        fresh: bool,
    ) -> Result<Connection, PoolError> {
        let one = self.server(server.incarnation);
        if !fresh && let Some(kept) = one.take_idle(Clock.now_ms()) {
            return Ok(Connection {
                is_reused: true,
                open: Some((kept.sender, kept.driver)),
                place: Place(one),
            });
        }
        if !one.reserve(limit) {
            return Err(PoolError::NoneFree { limit });
        }
        let place = Place(one);
        let open = connect(server.address, connect_ms).await?;
        Ok(Connection {
            is_reused: false,
            open: Some(open),
            place,
        })
    }

    /// Closes what idles too long, and all idle connections to servers that are not listed.
    pub(crate) fn sweep<Listed>(&self, is_listed: Listed)
    where
        Listed: Fn(Incarnation) -> bool,
    {
        let now_ms = Clock.now_ms();
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.retain(|incarnation, one| {
            let mut state = one.lock();
            let listed = is_listed(*incarnation);
            let before = state.idle.len();
            state
                .idle
                .retain(|kept| listed && now_ms < kept.until_ms && kept.sender.is_ready());
            state.open -= (before - state.idle.len()) as u32;
            listed || state.open > 0
        });
    }

    fn server(&self, incarnation: Incarnation) -> Arc<OneServer> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.entry(incarnation).or_default().clone()
    }
}

impl OneServer {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection that was used last, if it is still good; its place stays taken.
    fn take_idle(&self, now_ms: u64) -> Option<Kept> {
        let mut state = self.lock();
        while let Some(kept) = state.idle.pop() {
            if now_ms < kept.until_ms && kept.sender.is_ready() {
                return Some(kept);
            }
            state.open -= 1;
        }
        None
    }

    /// Takes a place for a new connection.
    fn reserve(&self, limit: u32) -> bool {
        let mut state = self.lock();
        if state.open >= limit {
            // An idle connection that is no good gives its place up.
            let before = state.idle.len();
            state.idle.retain(|kept| kept.sender.is_ready());
            state.open -= (before - state.idle.len()) as u32;
        }
        let free = state.open < limit;
        if free {
            state.open += 1;
        }
        free
    }
}

impl Connection {
    /// Sends a request. If the connection turns out to be closed before anything was written, the
    /// request comes back with the error.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let (sender, _) = self.open.as_mut().expect("open until it is kept");
        sender.try_send_request(request).await
    }

    /// Keeps the connection for the next request: its answer was whole and nothing is in doubt.
    pub(crate) fn keep(mut self, keep_alive_s: Option<u64>) {
        let idle_ms = keep_alive_s.map_or(IDLE_MS, |limit_s| {
            (limit_s * 1_000).saturating_sub(IDLE_MARGIN_MS)
        });
        let Some((sender, driver)) = self.open.take() else {
            return;
        };
        let mut state = self.place.0.lock();
        if idle_ms == 0 || state.idle.len() >= MAX_IDLE {
            return;
        }
        state.idle.push(Kept {
            sender,
            driver,
            until_ms: Clock.now_ms() + idle_ms,
        });
        // The idle connection keeps the place that this one gives up.
        state.open += 1;
    }
}
