//! The text that stand-in engines answer: it follows from the messages alone, so that a caller
//! can tell a foreign, doubled or missing part.

use sapphiretrack_core::hash_parts;

/// Identifies these messages among all others.
pub fn messages_hash(messages: &serde_json::Value) -> u64 {
    hash_parts(&[messages.to_string().as_bytes()])
}

/// Marks the answer to these messages.
pub fn answer_tag(messages: &serde_json::Value) -> u16 {
    messages_hash(messages) as u16
}

/// The text of one token of an answer.
pub fn token_text(tag: u16, index: u32) -> String {
    format!("{tag:04x}-{index} ")
}

/// The whole answer to these messages.
pub fn expected_answer(messages: &serde_json::Value, tokens: u32) -> String {
    let tag = answer_tag(messages);
    (0..tokens).map(|index| token_text(tag, index)).collect()
}
