//! One HTTP connection for calls that wait for each other, as to the platform's store.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use snafu::{ResultExt, Snafu};
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::connect::{ConnectError, Driver, connect};

/// The largest answer that is read: a page of rows has at most 1 MB, base64 included.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Calls one address over one connection, which is made anew after any doubt.
#[derive(Debug)]
pub struct HttpCaller {
    address: SocketAddr,
    connect_ms: u64,
    connection: Mutex<Option<(SendRequest<Full<Bytes>>, Driver)>>,
}

/// A failed call. It may have been performed unless no connection could be made.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection.
    #[snafu(display("{source}"))]
    NotConnected {
        /// Why.
        source: ConnectError,
    },
    /// The call was sent, or part of it, and no whole answer came.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// Why.
        source: hyper::Error,
    },
    /// No answer in time.
    #[snafu(display("no answer within {limit_ms} ms"))]
    TooLate {
        /// The limit.
        limit_ms: u64,
    },
    /// The answer's body cannot be read.
    #[snafu(display("answer cannot be read: {reason}"))]
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// How long the pieces of a call may take, once there is a connection.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Until the head of the answer.
    pub head_ms: u64,
    /// From the head, or from a piece of the body, to the next piece. An answer that arrives is not cut
    /// off for its length.
    pub pause_ms: u64,
    /// Until the end of the answer, however steadily it arrives.
    pub whole_ms: u64,
}

impl HttpCaller {
    /// Calls an address; the connection is made with the first call.
    pub fn new(address: SocketAddr, connect_ms: u64) -> Self {
        Self {
            address,
            connect_ms,
            connection: Mutex::new(None),
        }
    }

    /// Makes one call and reads its whole answer, within a time.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let limits = CallLimits {
            head_ms: limit_ms,
            pause_ms: limit_ms,
            whole_ms: limit_ms,
        };
        self.call_within(request, limits).await
    }

    /// Makes one call and reads its whole answer; fails with [`CallError::TooLate`] as soon as one of
    /// the limits has passed.
    pub async fn call_within(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut connection = self.connection.lock().await;
        // Taken out: a call that is dropped midway leaves no connection with half an answer.
        let kept = connection.take().filter(|(sender, _)| sender.is_ready());
        let (mut sender, driver) = match kept {
            Some(kept) => kept,
            None => connect(self.address, self.connect_ms)
                .await
                .context(NotConnectedSnafu)?,
        };
        let exchange = async {
            let sent = within(limits.head_ms, sender.send_request(request));
            let answer = sent.await?.context(BrokenSnafu)?;
            let (head, body) = answer.into_parts();
            Ok((head.status, read_body(body, limits.pause_ms).await?))
        };
        let answer = within(limits.whole_ms, exchange).await??;
        *connection = Some((sender, driver));
        Ok(answer)
    }
}

async fn read_body(body: Incoming, pause_ms: u64) -> Result<Bytes, CallError> {
    let mut body = pin!(Limited::new(body, MAX_ANSWER_BYTES));
    let mut pieces = BytesMut::new();
    while let Some(frame) = within(pause_ms, body.frame()).await? {
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

async fn within<Output, Work>(limit_ms: u64, work: Work) -> Result<Output, CallError>
where
    Work: Future<Output = Output>,
{
    let limit = Duration::from_millis(limit_ms);
    let done = timeout(limit, work).await;
    done.map_err(|_| CallError::TooLate { limit_ms })
}
