//! Limits the open connections of a listener: the one that is idle longest gives way to the next.

use std::collections::HashMap;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use sapphiretrack_routing::{ConnectionPhase, ConnectionTable};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::memory::{ClientEvent, ClientMemory, HeldMemory};

/// The interval at which a listener without room looks for a connection that may give way.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a connection that gives way may take to send what it still has.
const CLOSE_LIMIT: Duration = Duration::from_millis(20);

/// The connections of one listener.
#[derive(Debug)]
pub struct ConnectionGate {
    listener: &'static str,
    memory: Arc<ClientMemory>,
    state: Mutex<State>,
    ended: Notify,
}

#[derive(Debug, Default)]
struct State {
    table: ConnectionTable,
    /// Notifies connections that have to close.
    closes: HashMap<u64, Arc<Notify>>,
}

impl ConnectionGate {
    /// A gate for at most `max_connections` connections.
    pub fn new(
        listener: &'static str,
        memory: Arc<ClientMemory>,
        max_connections: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            listener,
            memory,
            state: Mutex::new(State {
                table: ConnectionTable::new(max_connections),
                closes: HashMap::new(),
            }),
            ended: Notify::new(),
        })
    }

    /// Sets the most connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.lock().table.set_max_connections(max_connections);
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.lock().table.len()
    }

    /// Waits until there is room for a connection that was accepted and takes `connection_bytes` of memory. If there
    /// is none, those that are idle longest give way.
    pub async fn admit(self: &Arc<Self>, connection_bytes: usize) -> OpenConnection {
        loop {
            let ended = self.ended.notified();
            if let Some(open) = self.try_admit(connection_bytes) {
                return open;
            }
            drop(timeout(RETRY_INTERVAL, ended).await);
        }
    }

    /// Opens a connection that was accepted; none if there is no room. Others then begin to give way.
    pub fn try_admit(self: &Arc<Self>, connection_bytes: usize) -> Option<OpenConnection> {
        let now_ms = self.memory.now_ms();
        let mut state = self.lock();
        let Some(id) = state.table.open(now_ms) else {
            let chosen = state.table.choose_closing(now_ms);
            for close in chosen.iter().filter_map(|id| state.closes.get(id)) {
                close.notify_one();
            }
            return None;
        };
        let close = Arc::new(Notify::new());
        state.closes.insert(id, close.clone());
        drop(state);
        Some(OpenConnection {
            _memory: self.memory.hold(connection_bytes),
            gate: self.clone(),
            id,
            close,
        })
    }

    fn move_request(&self, id: u64, from: ConnectionPhase, to: ConnectionPhase) {
        let now_ms = self.memory.now_ms();
        self.lock().table.move_request(id, from, to, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that counts as open until this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    gate: Arc<ConnectionGate>,
    id: u64,
    close: Arc<Notify>,
    _memory: HeldMemory,
}

impl OpenConnection {
    /// Begins a request on this connection.
    pub fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        let request = RequestInProgress {
            connection: self.clone(),
            phase: ConnectionPhase::Uploading,
        };
        self.gate
            .move_request(self.id, ConnectionPhase::Idle, request.phase);
        request
    }

    /// Records a request that is answered at once. The connection counts as idle from now on.
    pub fn record_request(&self) {
        let idle = ConnectionPhase::Idle;
        self.gate.move_request(self.id, idle, idle);
    }

    /// Drives a connection until it ends or has to give way. `shut_down` asks it to send what it still has and to
    /// end.
    pub async fn serve<Connection, ShutDown>(&self, connection: Connection, shut_down: ShutDown)
    where
        Connection: Future,
        ShutDown: Fn(Pin<&mut Connection>),
    {
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                _ = &mut connection => return,
                () = self.close.notified() => {}
            }
            if self.confirm_closing() {
                shut_down(connection.as_mut());
                drop(timeout(CLOSE_LIMIT, connection).await);
                return;
            }
        }
    }

    /// Whether this connection still may be closed; it may have begun a request.
    fn confirm_closing(&self) -> bool {
        let mut state = self.gate.lock();
        let may_close = state.table.confirm_closing(self.id);
        let open = state.table.len();
        drop(state);
        if may_close {
            self.gate.memory.report(ClientEvent::ConnectionClosed {
                listener: self.gate.listener,
                open,
            });
        }
        may_close
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.remove(self.id);
        state.closes.remove(&self.id);
        drop(state);
        self.gate.ended.notify_waiters();
    }
}

/// A request on a connection, until this is dropped. Its connection does not give way while it runs.
#[derive(Debug)]
pub struct RequestInProgress {
    connection: Arc<OpenConnection>,
    phase: ConnectionPhase,
}

impl RequestInProgress {
    /// Records that the request was read whole.
    pub fn record_running(&mut self) {
        let running = ConnectionPhase::Running;
        self.connection
            .gate
            .move_request(self.connection.id, self.phase, running);
        self.phase = running;
    }

    /// An answer's body. This ends when the connection has written the last of it.
    pub fn with_body<Content>(self, body: Content) -> GatedBody<Content> {
        GatedBody {
            body,
            request: Arc::new(self),
        }
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let idle = ConnectionPhase::Idle;
        self.connection
            .gate
            .move_request(self.connection.id, self.phase, idle);
    }
}

/// The body of an answer. Its request counts as running until the connection has written all of it, so that the
/// connection does not give way before.
#[derive(Debug)]
pub struct GatedBody<Content> {
    body: Content,
    request: Arc<RequestInProgress>,
}

/// A piece of an answer, which its connection drops when it is written.
struct GatedPiece {
    bytes: Bytes,
    _request: Arc<RequestInProgress>,
}

impl AsRef<[u8]> for GatedPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<Content> Body for GatedBody<Content>
where
    Content: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = Content::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let request = &self.request;
        let gated = frame.map(|frame| {
            frame.map(|frame| {
                frame.map_data(|bytes| {
                    let _request = request.clone();
                    Bytes::from_owner(GatedPiece { bytes, _request })
                })
            })
        });
        Poll::Ready(gated)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
