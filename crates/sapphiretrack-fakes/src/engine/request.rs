//! Parsing of chat requests by the fake engine.

use std::net::SocketAddr;

use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use sapphiretrack_backend::wire::{
    ATTEMPT_HEADER, CHAT_HEADER, IMPORT_HEADER, PRIORITY_HEADER, REQUIRED_SOFTWARE_HEADER,
    RESUME_HEADER,
};

use crate::answer::{answer_tag, messages_hash};
use crate::http_server::{FakeResponse, read_bytes, status_response};

/// Approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Length of an answer whose request sets no `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

/// Parsed chat request.
pub(super) struct ChatRequest {
    /// Id of the router's attempt, which the answer echoes.
    pub(super) attempt: String,
    /// Key of the chat in the prefix cache.
    pub(super) chat: String,
    /// Lower values are served first.
    pub(super) priority: u8,
    /// Number of tokens that the caller has already; the answer starts after them.
    pub(super) resume_tokens: u32,
    /// Version of the software that began the answer; empty if it may be any.
    pub(super) required_software: String,
    pub(super) model: String,
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
    pub(super) answer_tag: u16,
    /// Engine that holds the chat's prefix.
    pub(super) import_from: Option<SocketAddr>,
    pub(super) messages_hash: u64,
    /// The messages as JSON, which identify the request in the counts of executions.
    pub(super) messages: String,
}

/// Reads and parses a chat request; the error is a response with status 400.
pub(super) async fn read_chat(request: Request<Incoming>) -> Result<ChatRequest, FakeResponse> {
    let headers = request.headers().clone();
    let bytes = read_bytes(request).await?;
    let body: serde_json::Value = serde_json::from_slice(&bytes)
        .map_err(|error| status_response(StatusCode::BAD_REQUEST, error.to_string()))?;
    let text_bytes: usize = body["messages"].as_array().map_or(0, |messages| {
        messages
            .iter()
            .map(|message| message["content"].as_str().map_or(0, str::len))
            .sum()
    });
    let max_tokens = body["max_tokens"].as_u64().map(|tokens| tokens as u32);
    Ok(ChatRequest {
        attempt: header_text(&headers, ATTEMPT_HEADER),
        chat: header_text(&headers, CHAT_HEADER),
        priority: header_text(&headers, PRIORITY_HEADER)
            .parse()
            .unwrap_or(u8::MAX),
        resume_tokens: header_text(&headers, RESUME_HEADER).parse().unwrap_or(0),
        required_software: header_text(&headers, REQUIRED_SOFTWARE_HEADER),
        model: body["model"].as_str().unwrap_or_default().to_owned(),
        prompt_tokens: text_bytes.div_ceil(BYTES_PER_TOKEN) as u32,
        answer_tokens: max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
        answer_tag: answer_tag(&body["messages"]),
        import_from: header_text(&headers, IMPORT_HEADER).parse().ok(),
        messages_hash: messages_hash(&body["messages"]),
        messages: body["messages"].to_string(),
    })
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
