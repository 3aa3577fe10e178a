//! Opens connections that notice when the other side falls silent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The time after which a silent connection is probed, and between probes: the smallest that
/// the system knows.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged: three times the delay of a resent packet.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why there is no connection; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The other side refused, or cannot be reached.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Refused {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// No connection in time.
    #[snafu(display("no connection to {address} within {limit_ms} ms"))]
    Slow {
        /// The address.
        address: SocketAddr,
        /// The limit.
        limit_ms: u64,
    },
    /// The protocol could not be set up.
    #[snafu(display("cannot speak HTTP with {address}: {source}"))]
    Handshake {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: hyper::Error,
    },
}

/// The task that moves a connection's bytes. When it is dropped the connection closes at once,
/// so that the other side sees that nobody waits any more.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection for one request at a time.
pub async fn connect(
    address: SocketAddr,
    limit_ms: u64,
) -> Result<(SendRequest<Full<Bytes>>, Driver), ConnectError> {
    let limit = Duration::from_millis(limit_ms);
    let stream = timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ConnectError::Slow { address, limit_ms })?;
    let stream = stream.context(RefusedSnafu { address })?;
    watch_silence(&stream).context(RefusedSnafu { address })?;
    let mut builder = http1::Builder::new();
    let handshake = builder
        .preserve_header_case(true)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.context(HandshakeSnafu { address })?;
    let driver = tokio::spawn(async move {
        // Whoever waits for an answer gets the same error from its own call.
        drop(connection.await);
    });
    Ok((sender, Driver(driver)))
}

/// Sets what makes a dead connection show: keep-alive probes and a limit on unacknowledged bytes.
pub(crate) fn watch_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
