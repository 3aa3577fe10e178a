//! Opens HTTP/1.1 connections that detect a peer that stops responding, sends without end, or sends what is no answer.

use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use sapphiretrack_routing::HeadCheck;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::lock::lock;
use crate::ports::ConnectServer;

/// The idle time before the first keep-alive probe, and between probes: the smallest that the
/// system supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long sent bytes, or probes, may stay unacknowledged. With this limit the system ignores the
/// number of probes. A sound peer may be silent for a second, and a lost segment is sent again after
/// one more.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a connection could not be opened; no request was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The peer refused the connection, or cannot be reached.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// Connecting took longer than the limit.
    #[snafu(display("no connection to {address} within {limit_ms} ms"))]
    TimedOut {
        /// The address.
        address: SocketAddr,
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {address} failed: {source}"))]
    Handshake {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: hyper::Error,
    },
}

/// The size of a connection's read buffer, and of the longest head of an answer. A connection whose
/// answer waits for its caller holds up to two reads; with the library's limit of 408 KiB, 300 callers
/// that did not read took 71 MB instead of 42 MB.
const MAX_READ_BYTES: usize = 32 * 1024;
/// The bytes that a peer may send between a request and the head of the answer, interim answers
/// included. It leaves room for the begin of a body that follows at once.
const MAX_HEAD_BYTES: usize = 96 * 1024;
/// The interim answers to a request after which nothing further is read. Each takes as long to parse as a
/// head, so that a limit on bytes alone allows thousands of them.
const MAX_INTERIM_ANSWERS: usize = 64;

/// The task that drives a connection's I/O. Dropping it closes the connection at once, so that the
/// peer can detect that the answer is no longer awaited.
#[derive(Debug)]
pub struct ConnectionDriver {
    task: JoinHandle<()>,
    reads: Arc<ReadChecks>,
}

impl ConnectionDriver {
    /// Limits the bytes and the interim answers that are read until the head of the answer to `request` has
    /// arrived, and checks these bytes.
    pub(crate) fn expect_head<Body>(&self, request: &mut Request<Body>) {
        *lock(&self.reads.head) = Some(HeadCheck::default());
        self.reads.limit.set(MAX_HEAD_BYTES);
        let (reads, count) = (self.reads.clone(), AtomicUsize::new(0));
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                reads.limit.set(0);
            }
        });
    }

    /// Ends the limit and the check: the answer's head has arrived.
    pub(crate) fn record_head(&self) {
        self.reads.limit.set(usize::MAX);
        *lock(&self.reads.head) = None;
    }
}

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What may be read from a connection.
#[derive(Debug)]
struct ReadChecks {
    limit: ReadLimit,
    /// Checks the head of the answer that is awaited.
    head: Mutex<Option<HeadCheck>>,
}

impl ReadChecks {
    /// Counts and checks bytes that were read.
    fn take(&self, bytes: &[u8]) -> std::io::Result<()> {
        if !self.limit.take(bytes.len()) {
            return Err(std::io::Error::other("no head within the limit"));
        }
        let mut head = lock(&self.head);
        let checked = head.as_mut().map_or(Ok(()), |head| head.push(bytes));
        checked.map_err(|fault| std::io::Error::new(ErrorKind::InvalidData, fault.as_str()))
    }
}

/// Whether a request failed because the bytes of the answer's head are no answer.
pub(crate) fn is_invalid_head(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref());
    source.is_some_and(|source: &std::io::Error| source.kind() == ErrorKind::InvalidData)
}

/// The bytes that may still be read from a connection.
#[derive(Debug)]
struct ReadLimit(AtomicUsize);

impl ReadLimit {
    fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Counts bytes that were read. Returns false if they exceed the limit.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        let later = left.saturating_sub(bytes);
        let relaxed = Ordering::Relaxed;
        let was_counted = self.0.compare_exchange(left, later, relaxed, relaxed);
        // A limit that has just ended does not apply.
        was_counted.is_err() || bytes <= left
    }
}

/// A connection on which reads fail beyond a limit, or if what they bring is no answer.
struct CheckedStream {
    stream: TcpStream,
    reads: Arc<ReadChecks>,
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.reads.take(&buffer.filled()[before..]))
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

/// Opens a connection that carries one request at a time. The TCP connection must be established
/// within `limit_ms`.
pub async fn connect(
    open: &ConnectServer,
    address: SocketAddr,
    limit_ms: u64,
) -> Result<(SendRequest<Full<Bytes>>, ConnectionDriver), ConnectError> {
    let limit = Duration::from_millis(limit_ms);
    let stream = timeout(limit, open(address)).await;
    let stream = stream.map_err(|_| ConnectError::TimedOut { address, limit_ms })?;
    let stream = stream.context(RefusedSnafu { address })?;
    enable_dead_peer_detection(&stream).context(RefusedSnafu { address })?;
    let mut builder = http1::Builder::new();
    builder.preserve_header_case(true);
    builder.max_buf_size(MAX_READ_BYTES);
    let reads = Arc::new(ReadChecks {
        limit: ReadLimit(AtomicUsize::new(usize::MAX)),
        head: Mutex::default(),
    });
    let checked = CheckedStream {
        stream,
        reads: reads.clone(),
    };
    let handshake = builder.handshake(TokioIo::new(checked));
    let (sender, connection) = handshake.await.context(HandshakeSnafu { address })?;
    let task = tokio::spawn(async move {
        // The pending request returns the same error.
        drop(connection.await);
    });
    Ok((sender, ConnectionDriver { task, reads }))
}

/// Enables keep-alive probes and a limit on unacknowledged bytes, so that a dead connection is
/// detected; also disables Nagle's algorithm.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
