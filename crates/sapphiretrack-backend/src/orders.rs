//! Orders to engines, and what engines say about themselves.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sapphiretrack_core::{EngineOrder, EngineState, MAX_ORDER_DELAY_MS};

use crate::error::{BackendError, BrokenSnafu, UnreachableSnafu};

/// The largest reply that is read.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderTaken {
    /// It works towards the goal.
    Taken,
    /// It refused: the fencing number is old, or the order is for an earlier run.
    Refused,
}

/// Gives orders; clones share connections.
#[derive(Clone, Debug)]
pub struct OrderClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Default for OrderClient {
    fn default() -> Self {
        // An order that the pool sends again on its own could arrive after the lease.
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { http }
    }
}

impl OrderClient {
    /// Reads what an engine says that it is: `GET /state`.
    pub async fn state(&self, address: SocketAddr) -> Result<EngineState, BackendError> {
        let request = http::Request::get(format!("http://{address}/state")).body(Full::default());
        let (_, body) = self.call(request).await?;
        serde_json::from_slice(&body).or_else(|error| broken(&error))
    }

    /// Gives an order: `POST /orders`. The call is given up before a successor may start.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> Result<OrderTaken, BackendError> {
        let body = serde_json::to_vec(order).or_else(|error| broken(&error))?;
        let request = http::Request::post(format!("http://{address}/orders"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let (status, _) = self.call(request).await?;
        Ok(if status == http::StatusCode::CONFLICT {
            OrderTaken::Refused
        } else {
            OrderTaken::Taken
        })
    }

    async fn call(
        &self,
        request: Result<http::Request<Full<Bytes>>, http::Error>,
    ) -> Result<(http::StatusCode, Bytes), BackendError> {
        let request = request.or_else(|error| broken(&error))?;
        let limit = Duration::from_millis(MAX_ORDER_DELAY_MS / 2);
        let called = tokio::time::timeout(limit, async {
            let response = self.http.request(request).await;
            let response = response.or_else(|error| {
                let reason = error.to_string();
                if error.is_connect() {
                    return UnreachableSnafu { reason }.fail();
                }
                BrokenSnafu { reason }.fail()
            })?;
            let status = response.status();
            if !status.is_success() && status != http::StatusCode::CONFLICT {
                let reason = format!("status {status}");
                return BrokenSnafu { reason }.fail();
            }
            let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect();
            match body.await {
                Ok(body) => Ok((status, body.to_bytes())),
                Err(error) => {
                    let reason = error.to_string();
                    BrokenSnafu { reason }.fail()
                }
            }
        });
        called.await.unwrap_or_else(|_| {
            let reason = "no reply in time";
            BrokenSnafu { reason }.fail()
        })
    }
}

fn broken<Value, Cause>(cause: &Cause) -> Result<Value, BackendError>
where
    Cause: std::fmt::Display,
{
    let reason = cause.to_string();
    BrokenSnafu { reason }.fail()
}
