//! Parses requests; every invalid one gets a typed refusal.

use bytes::Bytes;
use http::HeaderMap;
use sapphiretrack_core::{Refusal, RefusalCode, check_path};
use serde::Deserialize;
use serde_json::Value;

use crate::request::{ChatCall, ServiceCall};

/// The largest accepted header value, in bytes.
const MAX_HEADER_BYTES: usize = 256;
/// The approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// The assumed limit on the tokens of an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// The fields of a chat body that the router uses.
#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// A message of a chat.
#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

/// Parses the body of a chat request.
pub(crate) fn parse_chat(body: &Bytes) -> Result<ChatCall, Refusal> {
    let chat: ChatBody = serde_json::from_slice(body).map_err(|error| malformed_body(&error))?;
    if chat.messages.is_empty() {
        return Err(Refusal::not_run(
            RefusalCode::MalformedBody,
            "`messages` is empty",
        ));
    }
    let mut forwarded: Value =
        serde_json::from_slice(body).map_err(|error| malformed_body(&error))?;
    forwarded["stream"] = Value::Bool(true);
    let text_bytes: usize = chat
        .messages
        .iter()
        .map(|message| message_text(message).len())
        .sum();
    Ok(ChatCall {
        opening: opening_text(&chat.messages),
        model: chat.model,
        stream: chat.stream,
        body: Bytes::from(forwarded.to_string()),
        prompt_tokens: text_bytes.div_ceil(BYTES_PER_TOKEN) as u32,
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    })
}

/// Parses a service call, whose path after the prefix is `NAME/REST`.
pub(crate) fn parse_service_call(
    method: &http::Method,
    rest: &str,
    query: Option<&str>,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<ServiceCall, Refusal> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    check_path(&format!("/{path}"))?;
    let query = query.map(|query| format!("?{query}")).unwrap_or_default();
    Ok(ServiceCall {
        service: service.to_owned(),
        method: method.clone(),
        path: format!("/{path}{query}"),
        content_type: text_header(headers, http::header::CONTENT_TYPE.as_str())?.map(str::to_owned),
        body,
    })
}

/// The value of a header; `None` if the header is absent, and a refusal if its value is too long or
/// not visible ASCII.
pub(crate) fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if text.len() <= MAX_HEADER_BYTES => Ok(Some(text)),
        _ => Err(Refusal::not_run(
            RefusalCode::BadHeader,
            format!("the header `{name}` is not plain text of up to {MAX_HEADER_BYTES} bytes"),
        )),
    }
}

fn malformed_body(error: &serde_json::Error) -> Refusal {
    Refusal::not_run(
        RefusalCode::MalformedBody,
        format!("the body cannot be read: {error}"),
    )
}

fn opening_text(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message_text(message));
        text.push('\n');
        if message.role == "user" {
            break;
        }
    }
    text
}

fn message_text(message: &Message) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        parts => parts.to_string(),
    }
}
