//! Sends attempts to backend servers and reads their load reports.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sapphiretrack_core::{AttemptId, ChatKey, LoadReport};

use crate::answer::AnswerStream;
use crate::error::{
    BackendError, BrokenSnafu, CrossedSnafu, LeavingSnafu, NotStartedSnafu, UnreachableSnafu,
};
use crate::wire::{
    ATTEMPT_HEADER, CHAT_HEADER, DEADLINE_HEADER, IMPORT_HEADER, LEAVING_HEADER,
    NOT_STARTED_HEADER, PRIORITY_HEADER, RESUME_HEADER,
};

/// How backend servers are reached.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a connection may take to open.
    pub connect_timeout_ms: u64,
    /// How long a load report may take.
    pub report_timeout_ms: u64,
    /// The largest answer of a plain service that is read.
    pub max_answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            report_timeout_ms: 500,
            max_answer_bytes: 4 << 20,
        }
    }
}

/// One attempt to run a chat request on an engine.
#[derive(Clone, Debug)]
pub struct ChatAttempt {
    /// The attempt's id.
    pub id: AttemptId,
    /// The caller's body; it must ask for a stream.
    pub body: Bytes,
    /// The chat's key.
    pub chat: ChatKey,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The time that is left.
    pub deadline_ms: u64,
    /// How many tokens the caller has already.
    pub resume_tokens: u32,
    /// The engine to import the chat's cached prefix from, where that beats computing it.
    pub import_from: Option<SocketAddr>,
}

/// One attempt to run a call on a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAttempt<'a> {
    /// The attempt's id.
    pub id: AttemptId,
    /// The HTTP method.
    pub method: http::Method,
    /// The path on the service, with its query.
    pub path: &'a str,
    /// The caller's content type.
    pub content_type: Option<&'a str>,
    /// The caller's body.
    pub body: Bytes,
    /// The time that is left.
    pub deadline_ms: u64,
}

/// A plain service's whole answer.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Calls backend servers; clones share connections.
#[derive(Clone, Debug)]
pub struct BackendClient {
    settings: Settings,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    /// A client; it connects when first used.
    pub fn new(settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect_timeout_ms)));
        connector.set_nodelay(true);
        // A request that the pool sends again on its own could run twice.
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .retry_canceled_requests(false)
            .build(connector);
        Self { settings, http }
    }

    /// Starts a chat attempt; its answer streams. Dropping the stream cancels the attempt.
    pub async fn chat(
        &self,
        address: SocketAddr,
        attempt: &ChatAttempt,
    ) -> Result<AnswerStream, BackendError> {
        let id = attempt.id.to_string();
        let mut request = http::Request::post(format!("http://{address}/v1/chat/completions"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, &id)
            .header(CHAT_HEADER, format!("{:016x}", attempt.chat.0))
            .header(PRIORITY_HEADER, attempt.priority.to_string())
            .header(DEADLINE_HEADER, attempt.deadline_ms.to_string())
            .header(RESUME_HEADER, attempt.resume_tokens.to_string());
        if let Some(source) = attempt.import_from {
            request = request.header(IMPORT_HEADER, source.to_string());
        }
        let body = Full::new(attempt.body.clone());
        let response = self.send(request.body(body)).await?;
        let response = started(response, &id)?;
        check_attempt(&response, &id)?;
        if !response.status().is_success() {
            return BrokenSnafu {
                reason: format!("status {}", response.status()),
            }
            .fail();
        }
        Ok(AnswerStream::new(id, response.into_body()))
    }

    /// Runs a plain service call and reads its whole answer.
    pub async fn service(
        &self,
        address: SocketAddr,
        attempt: &ServiceAttempt<'_>,
    ) -> Result<ServiceReply, BackendError> {
        let id = attempt.id.to_string();
        let mut request = http::Request::builder()
            .method(attempt.method.clone())
            .uri(format!("http://{address}{}", attempt.path))
            .header(ATTEMPT_HEADER, &id)
            .header(DEADLINE_HEADER, attempt.deadline_ms.to_string());
        if let Some(content_type) = attempt.content_type {
            request = request.header(http::header::CONTENT_TYPE, content_type);
        }
        let response = self
            .send(request.body(Full::new(attempt.body.clone())))
            .await?;
        let response = started(response, &id)?;
        check_attempt(&response, &id)?;
        let status = response.status().as_u16();
        let content_type = header(&response, http::header::CONTENT_TYPE.as_str());
        let body = self.read_whole(response).await?;
        Ok(ServiceReply {
            status,
            content_type,
            body,
        })
    }

    /// Reads a server's load report.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport, BackendError> {
        let timeout = Duration::from_millis(self.settings.report_timeout_ms);
        let report = async {
            let request =
                http::Request::get(format!("http://{address}/load")).body(Full::default());
            let response = self.send(request).await?;
            let body = self.read_whole(response).await?;
            serde_json::from_slice(&body).or_else(|error| {
                BrokenSnafu {
                    reason: error.to_string(),
                }
                .fail()
            })
        };
        match tokio::time::timeout(timeout, report).await {
            Ok(result) => result,
            Err(_) => BrokenSnafu {
                reason: "no load report in time",
            }
            .fail(),
        }
    }

    async fn send(
        &self,
        request: Result<http::Request<Full<Bytes>>, http::Error>,
    ) -> Result<http::Response<Incoming>, BackendError> {
        let request = request.or_else(|error| {
            UnreachableSnafu {
                reason: error.to_string(),
            }
            .fail()
        })?;
        match self.http.request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => UnreachableSnafu {
                reason: error.to_string(),
            }
            .fail(),
            Err(error) => BrokenSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }

    async fn read_whole(&self, response: http::Response<Incoming>) -> Result<Bytes, BackendError> {
        match Limited::new(response.into_body(), self.settings.max_answer_bytes)
            .collect()
            .await
        {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => BrokenSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }
}

/// Believes a server that it did not start the request only if it names this attempt: a crossed
/// refusal speaks of another request.
fn started(
    response: http::Response<Incoming>,
    id: &str,
) -> Result<http::Response<Incoming>, BackendError> {
    let refused = header(&response, NOT_STARTED_HEADER) == "true";
    if refused && header(&response, ATTEMPT_HEADER) == id {
        if header(&response, LEAVING_HEADER) == "true" {
            return LeavingSnafu.fail();
        }
        return NotStartedSnafu {
            status: response.status().as_u16(),
        }
        .fail();
    }
    Ok(response)
}

fn check_attempt(response: &http::Response<Incoming>, id: &str) -> Result<(), BackendError> {
    let found = header(response, ATTEMPT_HEADER);
    if found != id {
        return CrossedSnafu {
            expected: id,
            found,
        }
        .fail();
    }
    Ok(())
}

fn header(response: &http::Response<Incoming>, name: &str) -> String {
    let value = response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
