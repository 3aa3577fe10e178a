//! A client of the callers' interface, for the command-line tool, benchmarks and tests.

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sapphiretrack_core::{Chunk, Outcome, STREAM_END};
use sapphiretrack_tls::{Connector, Trust};
use snafu::Snafu;

use crate::answer::{EntryReply, ErrorBody};
use crate::headers::{
    CHAT_HEADER, CLASS_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, WARM_HEADER, WORKSPACE_HEADER,
    ZONE_HEADER,
};

/// The longest answer without events that is read, in bytes: several times what a router passes on.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection could be made: the request did not run.
    #[snafu(display("the router at {url} cannot be reached: {reason}"))]
    Unreachable {
        /// The URL of the router.
        url: String,
        /// The error of the transport.
        reason: String,
    },
    /// The connection broke or the answer is invalid: the request may have run.
    #[snafu(display("the answer from {url} broke: {reason}"))]
    Broken {
        /// The URL of the router.
        url: String,
        /// What went wrong.
        reason: String,
    },
}

/// The headers of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// A caller key of the customer's contract.
    pub key: String,
    /// The workspace.
    pub workspace: Option<String>,
    /// The chat's id.
    pub chat: Option<String>,
    /// The name of the request's class.
    pub class: Option<String>,
    /// The value of [`WARM_HEADER`] in the previous answer of the chat.
    pub warm: Option<String>,
    /// The idempotency key of a non-idempotent request.
    pub idempotency_key: Option<String>,
}

/// An answer that was read to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The outcome, from the header or from the last event of a stream.
    pub outcome: String,
    /// The value of [`WARM_HEADER`], to send with the chat's next request.
    pub warm: Option<String>,
    /// The value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// The body, or the concatenated text of a stream.
    pub body: String,
    /// The router's error, if the answer is not complete.
    pub error: Option<ErrorBody>,
    /// The number of prompt tokens as counted by the engine, cached ones included.
    pub prompt_tokens: u32,
    /// The number of prompt tokens that the engine found in a cache.
    pub cached_tokens: u32,
    /// The number of generated tokens.
    pub completion_tokens: u32,
}

/// Sends requests as a caller.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: Client<Connector, Full<Bytes>>,
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::new()
    }
}

impl CallerClient {
    /// Creates a client, which connects when it is first used.
    pub fn new() -> Self {
        Self::with_trust(&Trust::default())
    }

    /// Creates a client that also connects over TLS, to servers whose certificates `trust` accepts.
    pub fn with_trust(trust: &Trust) -> Self {
        // A request that the connection pool retries could run twice.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(trust.connector());
        Self { http }
    }

    /// Asks the router at `url` (`http://IP:PORT`) which routers to connect to.
    pub async fn entry(&self, url: &str, zone: Option<&str>) -> Result<EntryReply, ClientError> {
        let mut request = http::Request::get(format!("{url}/v1/entry"));
        if let Some(zone) = zone {
            request = request.header(ZONE_HEADER, zone);
        }
        let response = self.send(url, request.body(Full::default())).await?;
        let body = read_body(url, response).await?;
        serde_json::from_slice(&body).or_else(|error| broken(url, &error))
    }

    /// Sends a chat and reads its answer to the end. `on_text` is called with each part of the text
    /// as it arrives.
    pub async fn chat<OnText>(
        &self,
        url: &str,
        body: Bytes,
        options: &RequestOptions,
        mut on_text: OnText,
    ) -> Result<ReceivedAnswer, ClientError>
    where
        OnText: FnMut(&str),
    {
        let request = http::Request::post(format!("{url}/v1/chat/completions"));
        let response = self
            .send(url, add_headers(request, options).body(Full::new(body)))
            .await?;
        let mut answer = read_head(&response);
        let content_type = header_value(&response, http::header::CONTENT_TYPE.as_str());
        if content_type.as_deref() != Some("text/event-stream") {
            return read_buffered(url, response, answer).await;
        }
        answer.outcome = String::from("unknown");
        let mut events = std::pin::pin!(stream_events(response));
        while let Some(event) = events.next().await {
            let event = event.or_else(|reason| BrokenSnafu { url, reason }.fail())?;
            if event.event == "error" {
                answer.error = serde_json::from_str(&event.data).ok();
                if let Some(error) = &answer.error {
                    answer.outcome = error.error.outcome.clone();
                }
                return Ok(answer);
            }
            if event.data == STREAM_END {
                answer.outcome = String::from("complete");
                return Ok(answer);
            }
            let chunk: Chunk =
                serde_json::from_str(&event.data).or_else(|error| broken(url, &error))?;
            if let Some(usage) = chunk.usage {
                answer.prompt_tokens = usage.prompt_tokens;
                answer.cached_tokens = usage.cached_tokens;
                answer.completion_tokens = usage.completion_tokens;
            }
            for choice in chunk.choices {
                let text = choice.delta.content.unwrap_or_default();
                on_text(&text);
                answer.body.push_str(&text);
            }
        }
        BrokenSnafu {
            url,
            reason: "the stream ended before its last event",
        }
        .fail()
    }

    /// Sends a request to a plain service.
    pub async fn service(
        &self,
        url: &str,
        method: http::Method,
        path: &str,
        body: Bytes,
        options: &RequestOptions,
    ) -> Result<ReceivedAnswer, ClientError> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{url}/v1/services/{path}"));
        let response = self
            .send(url, add_headers(request, options).body(Full::new(body)))
            .await?;
        let answer = read_head(&response);
        read_buffered(url, response, answer).await
    }

    async fn send(
        &self,
        url: &str,
        request: Result<http::Request<Full<Bytes>>, http::Error>,
    ) -> Result<http::Response<Incoming>, ClientError> {
        let request = request.or_else(|error| {
            UnreachableSnafu {
                url,
                reason: error.to_string(),
            }
            .fail()
        })?;
        match self.http.request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => UnreachableSnafu {
                url,
                reason: error.to_string(),
            }
            .fail(),
            Err(error) => broken(url, &error),
        }
    }
}

fn add_headers(
    request: http::request::Builder,
    options: &RequestOptions,
) -> http::request::Builder {
    let headers = [
        (WORKSPACE_HEADER, &options.workspace),
        (CHAT_HEADER, &options.chat),
        (CLASS_HEADER, &options.class),
        (WARM_HEADER, &options.warm),
        (IDEMPOTENCY_HEADER, &options.idempotency_key),
    ];
    let request = request
        .header(
            http::header::AUTHORIZATION,
            format!("Bearer {}", options.key),
        )
        .header(http::header::CONTENT_TYPE, "application/json");
    headers
        .into_iter()
        .fold(request, |request, (name, value)| match value {
            Some(value) => request.header(name, value),
            None => request,
        })
}

fn stream_events(
    response: http::Response<Incoming>,
) -> impl Stream<Item = Result<eventsource_stream::Event, String>> {
    BodyDataStream::new(response.into_body())
        .eventsource()
        .map(|event| event.map_err(|error| error.to_string()))
}

fn header_value(response: &http::Response<Incoming>, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

fn read_head(response: &http::Response<Incoming>) -> ReceivedAnswer {
    ReceivedAnswer {
        status: response.status().as_u16(),
        outcome: header_value(response, OUTCOME_HEADER).unwrap_or_default(),
        warm: header_value(response, WARM_HEADER),
        retry_after_s: header_value(response, http::header::RETRY_AFTER.as_str())
            .and_then(|text| text.parse().ok()),
        ..ReceivedAnswer::default()
    }
}

async fn read_buffered(
    url: &str,
    response: http::Response<Incoming>,
    mut answer: ReceivedAnswer,
) -> Result<ReceivedAnswer, ClientError> {
    let body = read_body(url, response).await?;
    answer.body = String::from_utf8_lossy(&body).into_owned();
    // The body of a complete answer is the server's own: an error in it says nothing of the router's.
    if answer.status >= 400 && answer.outcome != Outcome::Complete.as_str() {
        answer.error = serde_json::from_slice(&body).ok();
    }
    Ok(answer)
}

async fn read_body(url: &str, response: http::Response<Incoming>) -> Result<Bytes, ClientError> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => broken(url, &error),
    }
}

fn broken<T, Error>(url: &str, error: &Error) -> Result<T, ClientError>
where
    Error: std::fmt::Display,
{
    BrokenSnafu {
        url,
        reason: error.to_string(),
    }
    .fail()
}
