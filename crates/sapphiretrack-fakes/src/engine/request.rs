//! A chat request as the stand-in engine reads it.

use std::net::SocketAddr;

use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use sapphiretrack_backend::wire::{
    ATTEMPT_HEADER, CHAT_HEADER, IMPORT_HEADER, PRIORITY_HEADER, RESUME_HEADER,
};

use crate::answer::{answer_tag, messages_hash};
use crate::http_server::{FakeResponse, read_bytes, with_status};

/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer whose request names no limit.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

/// A request as the engine reads it.
pub(super) struct ChatRequest {
    pub(super) attempt: String,
    pub(super) chat: String,
    pub(super) priority: u8,
    pub(super) resume_tokens: u32,
    pub(super) model: String,
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
    pub(super) answer_tag: u16,
    pub(super) import_from: Option<SocketAddr>,
    pub(super) messages_hash: u64,
    pub(super) messages: String,
}

/// Reads a chat request.
pub(super) async fn read_chat(request: Request<Incoming>) -> Result<ChatRequest, FakeResponse> {
    let headers = request.headers().clone();
    let body = read_bytes(request).await?;
    let value: serde_json::Value = serde_json::from_slice(&body)
        .map_err(|error| with_status(StatusCode::BAD_REQUEST, error.to_string()))?;
    let text_bytes: usize = value["messages"].as_array().map_or(0, |messages| {
        messages
            .iter()
            .map(|m| m["content"].as_str().map_or(0, str::len))
            .sum()
    });
    let max_tokens = value["max_tokens"].as_u64().map(|tokens| tokens as u32);
    Ok(ChatRequest {
        attempt: text(&headers, ATTEMPT_HEADER),
        chat: text(&headers, CHAT_HEADER),
        priority: text(&headers, PRIORITY_HEADER).parse().unwrap_or(u8::MAX),
        resume_tokens: text(&headers, RESUME_HEADER).parse().unwrap_or(0),
        model: value["model"].as_str().unwrap_or_default().to_owned(),
        prompt_tokens: text_bytes.div_ceil(BYTES_PER_TOKEN) as u32,
        answer_tokens: max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
        answer_tag: answer_tag(&value["messages"]),
        import_from: text(&headers, IMPORT_HEADER).parse().ok(),
        messages_hash: messages_hash(&value["messages"]),
        messages: value["messages"].to_string(),
    })
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
