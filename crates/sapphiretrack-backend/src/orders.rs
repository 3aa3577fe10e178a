//! Sends orders to engines and reads their state.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sapphiretrack_core::{EngineOrder, EngineState, MAX_ORDER_DELAY_MS};

use crate::checked_connector::CheckedConnector;
use crate::error::{AnswerFailedSnafu, BackendError, UnreachableSnafu};

/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// An engine's reply to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine works towards the desired state.
    Accepted,
    /// The engine refused: the fencing number is outdated, or the order is for an earlier run of
    /// the engine.
    Refused,
}

/// Client for orders to engines. Clones share connections.
#[derive(Clone, Debug)]
pub struct OrderClient {
    http: Client<CheckedConnector, Full<Bytes>>,
}

impl Default for OrderClient {
    fn default() -> Self {
        // An automatic retry by the connection pool could deliver an order after the sender's
        // lease has ended.
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(CheckedConnector(HttpConnector::new()));
        Self { http }
    }
}

impl OrderClient {
    /// Reads an engine's state: `GET /state`.
    pub async fn state(&self, address: SocketAddr) -> Result<EngineState, BackendError> {
        let request = http::Request::get(format!("http://{address}/state")).body(Full::default());
        let (_, body) = self.call(request).await?;
        serde_json::from_slice(&body).or_else(|error| answer_failed(&error))
    }

    /// Sends an order: `POST /orders`.
    ///
    /// The call times out before the next holder of the lease may send its first order.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> Result<OrderReply, BackendError> {
        let body = serde_json::to_vec(order).or_else(|error| answer_failed(&error))?;
        let request = http::Request::post(format!("http://{address}/orders"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let (status, _) = self.call(request).await?;
        Ok(if status == http::StatusCode::CONFLICT {
            OrderReply::Refused
        } else {
            OrderReply::Accepted
        })
    }

    async fn call(
        &self,
        request: Result<http::Request<Full<Bytes>>, http::Error>,
    ) -> Result<(http::StatusCode, Bytes), BackendError> {
        let request = request.or_else(|error| answer_failed(&error))?;
        let limit = Duration::from_millis(MAX_ORDER_DELAY_MS / 2);
        let called = tokio::time::timeout(limit, async {
            let response = self.http.request(request).await;
            let response = response.or_else(|error| {
                let reason = error.to_string();
                if error.is_connect() {
                    return UnreachableSnafu { reason }.fail();
                }
                AnswerFailedSnafu { reason }.fail()
            })?;
            let status = response.status();
            if !status.is_success() && status != http::StatusCode::CONFLICT {
                let reason = format!("status {status}");
                return AnswerFailedSnafu { reason }.fail();
            }
            let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect();
            match body.await {
                Ok(body) => Ok((status, body.to_bytes())),
                Err(error) => {
                    let reason = error.to_string();
                    AnswerFailedSnafu { reason }.fail()
                }
            }
        });
        called.await.unwrap_or_else(|_| {
            let reason = "no reply in time";
            AnswerFailedSnafu { reason }.fail()
        })
    }
}

fn answer_failed<Value, Cause>(cause: &Cause) -> Result<Value, BackendError>
where
    Cause: std::fmt::Display,
{
    let reason = cause.to_string();
    AnswerFailedSnafu { reason }.fail()
}
