//! The text that stand-in engines answer: it follows from the messages alone, so that a caller
//! can tell a foreign, doubled or missing part.

use sapphiretrack_core::hash_parts;

/// Marks the answer to these messages.
pub fn answer_tag(messages: &serde_json::Value) -> u64 {
    hash_parts(&[messages.to_string().as_bytes()])
}

/// The text of one token of an answer; it shows the tag's last four hex digits.
pub fn token_text(tag: u64, index: u32) -> String {
    format!("{:04x}-{index} ", tag & 0xffff)
}

/// The whole answer to these messages.
pub fn expected_answer(messages: &serde_json::Value, tokens: u32) -> String {
    let tag = answer_tag(messages);
    (0..tokens).map(|index| token_text(tag, index)).collect()
}
