//! Deterministic answers of the fake engine.
//!
//! The text of an answer is a function of the request's messages, so that a caller can detect
//! tokens that are missing, duplicated or from another request.

use sapphiretrack_core::hash_parts;

/// Hash of a request's messages, which identifies the request.
pub fn messages_hash(messages: &serde_json::Value) -> u64 {
    hash_parts(&[messages.to_string().as_bytes()])
}

/// Tag that each token of the answer to these messages starts with: the low 16 bits of
/// [`messages_hash`].
pub fn answer_tag(messages: &serde_json::Value) -> u16 {
    messages_hash(messages) as u16
}

/// Text of the answer's token at `index`, which counts from 0.
pub fn token_text(tag: u16, index: u32) -> String {
    format!("{tag:04x}-{index} ")
}

/// Complete answer of `tokens` tokens to these messages.
pub fn expected_answer(messages: &serde_json::Value, tokens: u32) -> String {
    let tag = answer_tag(messages);
    (0..tokens).map(|index| token_text(tag, index)).collect()
}
