//! A client of a router's operator interface.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sapphiretrack_tls::{Connector, Trust};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::wire::{
    ApplyContract, ChangeReply, ContractReply, DrainServer, GoalReply, HistoryLine, SetFencing,
    SetGoal, Status, StopReply,
};

/// The longest reply that is read, in bytes: the history of some hundred thousand changes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Why a call gave no reply.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The request was not sent: nothing was done.
    #[snafu(display("the router at {url} cannot be reached: {reason}; hint: check --router"))]
    Unreachable {
        /// The URL of the router.
        url: String,
        /// The error of the transport or of the encoding.
        reason: String,
    },
    /// The reply was lost or is invalid: the call may have had an effect.
    #[snafu(display("no reply from the router at {url}: {reason}"))]
    ReplyLost {
        /// The URL of the router.
        url: String,
        /// What went wrong.
        reason: String,
    },
    /// The router refused the call.
    #[snafu(display("the router refused the call with status {status}: {message}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The message in the reply, or else the status text.
        message: String,
    },
}

/// Calls the operator interface of one router.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    url: String,
    key: String,
    timeout: Duration,
    http: Client<Connector, Full<Bytes>>,
}

impl OperatorClient {
    /// Creates a client of the router at `url` (`http://IP:PORT`) that authenticates with the
    /// operators' key. Each call has at most `timeout_ms` until the response headers.
    pub fn new(url: &str, key: &str, timeout_ms: u64) -> Self {
        Self::with_trust(url, key, timeout_ms, &Trust::default())
    }

    /// Creates a client that also connects over TLS (`https://IP:PORT`), to servers whose
    /// certificates `trust` accepts.
    pub fn with_trust(url: &str, key: &str, timeout_ms: u64, trust: &Trust) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
            key: key.to_owned(),
            timeout: Duration::from_millis(timeout_ms),
            http: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(trust.connector()),
        }
    }

    /// Applies a contract.
    pub async fn apply(&self, request: &ApplyContract) -> Result<ChangeReply, OperatorError> {
        self.post("/v1/contracts", request).await
    }

    /// Starts or ends a drain.
    pub async fn drain(&self, request: &DrainServer) -> Result<ChangeReply, OperatorError> {
        self.post("/v1/drains", request).await
    }

    /// Asks for the outcome of a change.
    pub async fn outcome_of(&self, change_id: &str) -> Result<ChangeReply, OperatorError> {
        self.get(&format!("/v1/changes/{change_id}")).await
    }

    /// Reads a customer's contract.
    pub async fn show(&self, customer: &str) -> Result<ContractReply, OperatorError> {
        self.get(&format!("/v1/contracts/{customer}")).await
    }

    /// Reads a customer's contract as of a configuration version.
    pub async fn show_at(
        &self,
        customer: &str,
        version: u64,
    ) -> Result<ContractReply, OperatorError> {
        self.get(&format!("/v1/contracts/{customer}?version={version}"))
            .await
    }

    /// Lists all changes.
    pub async fn history(&self) -> Result<Vec<HistoryLine>, OperatorError> {
        self.get("/v1/history").await
    }

    /// Reads the status of the fleet as this router sees it.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.get("/v1/status").await
    }

    /// Starts the planned stop of the router.
    pub async fn stop(&self) -> Result<StopReply, OperatorError> {
        self.post("/v1/stop", &()).await
    }

    /// Reads the router's metrics in the OpenMetrics text format.
    pub async fn metrics(&self) -> Result<String, OperatorError> {
        let body = self
            .call_bytes(http::Method::GET, "/metrics", Bytes::new())
            .await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Sets the desired state of a backend server.
    pub async fn set_goal(&self, request: &SetGoal) -> Result<GoalReply, OperatorError> {
        self.post("/v1/goals", request).await
    }

    /// Sets whether a pool's engines check fencing numbers.
    pub async fn set_fencing(&self, request: &SetFencing) -> Result<GoalReply, OperatorError> {
        self.post("/v1/fencing", request).await
    }

    async fn get<Reply>(&self, path: &str) -> Result<Reply, OperatorError>
    where
        Reply: DeserializeOwned,
    {
        self.call(http::Method::GET, path, Bytes::new()).await
    }

    async fn post<Request, Reply>(
        &self,
        path: &str,
        request: &Request,
    ) -> Result<Reply, OperatorError>
    where
        Request: Serialize,
        Reply: DeserializeOwned,
    {
        let body = serde_json::to_vec(request).or_else(|error| {
            UnreachableSnafu {
                url: self.url.as_str(),
                reason: error.to_string(),
            }
            .fail()
        })?;
        self.call(http::Method::POST, path, Bytes::from(body)).await
    }

    async fn call<Reply>(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, OperatorError>
    where
        Reply: DeserializeOwned,
    {
        let body = self.call_bytes(method, path, body).await?;
        serde_json::from_slice(&body).or_else(|error| {
            ReplyLostSnafu {
                url: self.url.as_str(),
                reason: error.to_string(),
            }
            .fail()
        })
    }

    async fn call_bytes(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, OperatorError> {
        let url = self.url.as_str();
        let reply_lost = |reason: String| ReplyLostSnafu { url, reason }.build();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{url}{path}"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .or_else(|error| {
                UnreachableSnafu {
                    url,
                    reason: error.to_string(),
                }
                .fail()
            })?;
        let sent = tokio::time::timeout(self.timeout, self.http.request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return UnreachableSnafu {
                    url,
                    reason: error.to_string(),
                }
                .fail();
            }
            Ok(Err(error)) => return Err(reply_lost(error.to_string())),
            Err(_) => return Err(reply_lost(String::from("it timed out"))),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let body = body.collect().await;
        let body = body
            .map_err(|error| reply_lost(error.to_string()))?
            .to_bytes();
        if !status.is_success() {
            let parsed: Result<serde_json::Value, _> = serde_json::from_slice(&body);
            let message = parsed
                .ok()
                .and_then(|value| Some(value["message"].as_str()?.to_owned()));
            return RefusedSnafu {
                status: status.as_u16(),
                message: message.unwrap_or_else(|| status.to_string()),
            }
            .fail();
        }
        Ok(body)
    }
}
