//! An HTTP client that makes one call at a time over one connection, as to the platform's store.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use snafu::{ResultExt, Snafu};
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::connect::{ConnectError, ConnectionDriver, connect};
use crate::ports::{ConnectServer, connect_directly};

/// The largest answer body that is read if a call sets no other limit: a page of rows has at most 1 MB,
/// base64 included.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Calls one address over one connection, which is replaced after any failed or cancelled call.
pub struct HttpCaller {
    open: ConnectServer,
    address: SocketAddr,
    connect_ms: u64,
    connection: Mutex<Option<(SendRequest<Full<Bytes>>, ConnectionDriver)>>,
}

/// A failed call. The server may have executed it, unless no connection could be opened.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("{source}"))]
    NotConnected {
        /// The underlying error.
        source: ConnectError,
    },
    /// The connection failed after at least a part of the call was sent, and before the answer's
    /// head.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// The underlying error.
        source: hyper::Error,
    },
    /// The answer did not arrive within a time limit.
    #[snafu(display("no answer within {limit_ms} ms"))]
    TimedOut {
        /// The limit that passed, in milliseconds.
        limit_ms: u64,
    },
    /// The answer's body cannot be read.
    #[snafu(display("answer cannot be read: {reason}"))]
    Unreadable {
        /// The cause.
        reason: String,
    },
}

/// Time limits of the phases of a call, in milliseconds, once the connection is open, and the limit of
/// its answer.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// From the start of the call to the head of the answer.
    pub head_ms: u64,
    /// From the head, or from a piece of the body, to the next piece: a long answer is not cut off
    /// while it keeps arriving.
    pub idle_ms: u64,
    /// From the start of the call to the end of the answer, however steadily it arrives.
    pub total_ms: u64,
    /// The largest body of an answer that is read, in bytes.
    pub max_answer_bytes: usize,
}

impl CallLimits {
    /// A limit for the whole call, without shorter ones for its phases.
    pub const fn total(limit_ms: u64) -> Self {
        Self {
            head_ms: limit_ms,
            idle_ms: limit_ms,
            total_ms: limit_ms,
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }
}

impl HttpCaller {
    /// Creates a client for an address. The first call opens the connection, within `connect_ms`.
    pub fn new(address: SocketAddr, connect_ms: u64) -> Self {
        Self::with_connect(connect_directly(), address, connect_ms)
    }

    /// Creates a client like [`HttpCaller::new`] whose TCP connection `open` opens.
    pub fn with_connect(open: ConnectServer, address: SocketAddr, connect_ms: u64) -> Self {
        Self {
            open,
            address,
            connect_ms,
            connection: Mutex::new(None),
        }
    }

    /// Makes one call and reads its whole answer, within `limit_ms` once the connection is open.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let limits = CallLimits::total(limit_ms);
        self.call_within(request, limits).await
    }

    /// Makes one call and reads its whole answer; fails with [`CallError::TimedOut`] as soon as one
    /// of the limits has passed.
    pub async fn call_within(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = self.exchange(request, limits).await?;
        Ok((answer.status(), answer.into_body()))
    }

    /// Makes one call like [`HttpCaller::call_within`], and returns the headers of its answer, too.
    pub async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<Response<Bytes>, CallError> {
        let mut connection = self.connection.lock().await;
        // Taken out of its slot, so that a call that is dropped midway leaves no connection with
        // half an answer behind.
        let reusable = connection.take().filter(|(sender, _)| sender.is_ready());
        let (mut sender, driver) = match reusable {
            Some(reusable) => reusable,
            None => connect(&self.open, self.address, self.connect_ms)
                .await
                .context(NotConnectedSnafu)?,
        };
        let exchange = async {
            driver.expect_head(&mut request);
            let sent = with_limit(limits.head_ms, sender.send_request(request));
            let answer = sent.await?.context(BrokenSnafu)?;
            driver.record_head();
            let (head, body) = answer.into_parts();
            let body = read_body(body, limits).await?;
            Ok(Response::from_parts(head, body))
        };
        let answer = with_limit(limits.total_ms, exchange).await??;
        *connection = Some((sender, driver));
        Ok(answer)
    }
}

async fn read_body(body: Incoming, limits: CallLimits) -> Result<Bytes, CallError> {
    let mut body = pin!(Limited::new(body, limits.max_answer_bytes));
    let mut pieces = BytesMut::new();
    while let Some(frame) = with_limit(limits.idle_ms, body.frame()).await? {
        let frame = frame.map_err(|error| {
            let reason = error.to_string();
            CallError::Unreadable { reason }
        })?;
        if let Ok(piece) = frame.into_data() {
            pieces.extend_from_slice(&piece);
        }
    }
    Ok(pieces.freeze())
}

async fn with_limit<Output, Work>(limit_ms: u64, work: Work) -> Result<Output, CallError>
where
    Work: Future<Output = Output>,
{
    let limit = Duration::from_millis(limit_ms);
    let result = timeout(limit, work).await;
    result.map_err(|_| CallError::TimedOut { limit_ms })
}
