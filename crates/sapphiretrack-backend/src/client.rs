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
use crate::checked_connector::CheckedConnector;
use crate::error::{
    AnswerFailedSnafu, BackendError, LeavingSnafu, NotStartedSnafu, UnreachableSnafu,
    WrongAttemptSnafu,
};
use crate::wire::{
    ATTEMPT_HEADER, CHAT_HEADER, DEADLINE_HEADER, IMPORT_HEADER, LEAVING_HEADER,
    NOT_STARTED_HEADER, PRIORITY_HEADER, REQUIRED_SOFTWARE_HEADER, RESUME_HEADER, SOFTWARE_HEADER,
};

/// Timeouts and limits of calls to backend servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout for reading a load report, in milliseconds.
    pub report_timeout_ms: u64,
    /// Maximum size of a plain service's answer or of a load report, in bytes.
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
    /// The caller's request body. It must request a streamed answer.
    pub body: Bytes,
    /// Key under which the engine caches the chat's prefix.
    pub chat: ChatKey,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Number of tokens already sent to the caller. The engine continues after them.
    pub resume_tokens: u32,
    /// Version of the software that began the answer, if an engine stated one.
    pub required_software: Option<String>,
    /// Engine from which to import the chat's cached prefix, if that is faster than computing it.
    pub import_from: Option<SocketAddr>,
}

/// One attempt to run a request on a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAttempt<'a> {
    /// The attempt's id.
    pub id: AttemptId,
    /// The HTTP method.
    pub method: http::Method,
    /// The path on the service, including the query.
    pub path: &'a str,
    /// The caller's content type.
    pub content_type: Option<&'a str>,
    /// The caller's request body.
    pub body: Bytes,
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A plain service's complete answer.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Client of backend servers. Clones share connections.
#[derive(Clone, Debug)]
pub struct BackendClient {
    settings: Settings,
    http: Client<CheckedConnector, Full<Bytes>>,
}

impl BackendClient {
    /// Creates a client. Connections are opened on first use.
    pub fn new(settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect_timeout_ms)));
        connector.set_nodelay(true);
        // An automatic retry by the connection pool could run a request twice.
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .retry_canceled_requests(false)
            .build(CheckedConnector(connector));
        Self { settings, http }
    }

    /// Starts a chat attempt and returns its streamed answer. Dropping the stream cancels the
    /// attempt.
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
        if let Some(software) = &attempt.required_software {
            request = request.header(REQUIRED_SOFTWARE_HEADER, software);
        }
        let body = Full::new(attempt.body.clone());
        let response = self.send(request.body(body)).await?;
        let response = check_started(response, &id)?;
        check_attempt(&response, &id)?;
        if !response.status().is_success() {
            return AnswerFailedSnafu {
                reason: format!("status {}", response.status()),
            }
            .fail();
        }
        let software = header(&response, SOFTWARE_HEADER);
        // An engine that does not know the requirement may ignore it.
        if let Some(required) = &attempt.required_software
            && software != *required
        {
            return AnswerFailedSnafu {
                reason: format!("software version {software:?}, not {required:?}"),
            }
            .fail();
        }
        let software = (!software.is_empty()).then_some(software);
        Ok(AnswerStream::new(id, response.into_body(), software))
    }

    /// Runs a request on a plain service and reads its complete answer.
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
        let response = check_started(response, &id)?;
        check_attempt(&response, &id)?;
        let status = response.status().as_u16();
        let content_type = header(&response, http::header::CONTENT_TYPE.as_str());
        let body = self.read_body(response).await?;
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
            let body = self.read_body(response).await?;
            serde_json::from_slice(&body).or_else(|error| {
                AnswerFailedSnafu {
                    reason: error.to_string(),
                }
                .fail()
            })
        };
        match tokio::time::timeout(timeout, report).await {
            Ok(result) => result,
            Err(_) => AnswerFailedSnafu {
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
            Err(error) => AnswerFailedSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }

    async fn read_body(&self, response: http::Response<Incoming>) -> Result<Bytes, BackendError> {
        match Limited::new(response.into_body(), self.settings.max_answer_bytes)
            .collect()
            .await
        {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => AnswerFailedSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }
}

/// Returns an error if the server reports that it did not start the request.
///
/// The report counts only if it carries this attempt's id: a refusal that was delivered to the
/// wrong attempt says nothing about this request.
fn check_started(
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
        return WrongAttemptSnafu {
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
