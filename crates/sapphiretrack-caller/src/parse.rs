//! Reads requests; every flaw is a typed refusal.

use bytes::Bytes;
use http::HeaderMap;
use sapphiretrack_core::{Refusal, RefusalCode, check_path};
use serde::Deserialize;
use serde_json::Value;

use crate::request::{ChatCall, ServiceCall};

/// The largest header value that is used.
const MAX_HEADER_BYTES: usize = 256;
/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// The most tokens of an answer whose request names none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// The fields of a chat body that the router reads.
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

/// Reads a chat body.
pub(crate) fn chat_call(body: &Bytes) -> Result<ChatCall, Refusal> {
    let chat: ChatBody = serde_json::from_slice(body).map_err(|error| malformed(&error))?;
    if chat.messages.is_empty() {
        return Err(Refusal::not_run(
            RefusalCode::MalformedBody,
            "`messages` is empty",
        ));
    }
    let mut forwarded: Value = serde_json::from_slice(body).map_err(|error| malformed(&error))?;
    forwarded["stream"] = Value::Bool(true);
    let text_bytes: usize = chat
        .messages
        .iter()
        .map(|message| text_of(message).len())
        .sum();
    Ok(ChatCall {
        opening: opening(&chat.messages),
        model: chat.model,
        stream: chat.stream,
        body: Bytes::from(forwarded.to_string()),
        prompt_tokens: text_bytes.div_ceil(BYTES_PER_TOKEN) as u32,
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    })
}

/// Reads the path of a service call: `NAME/REST`.
pub(crate) fn service_call(
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

/// A header's value, if it is there and can be used.
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

fn malformed(error: &serde_json::Error) -> Refusal {
    Refusal::not_run(
        RefusalCode::MalformedBody,
        format!("the body cannot be read: {error}"),
    )
}

fn opening(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&text_of(message));
        text.push('\n');
        if message.role == "user" {
            break;
        }
    }
    text
}

fn text_of(message: &Message) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        parts => parts.to_string(),
    }
}
