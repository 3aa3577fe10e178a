//! The events of a streamed chat answer, in the form that callers and engines share.

use serde::{Deserialize, Serialize};

/// The `data` of the last event of a whole stream.
pub const STREAM_END: &str = "[DONE]";

/// One event of an engine's stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// The attempt's id, echoed.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The model.
    pub model: String,
    /// One entry.
    pub choices: Vec<ChunkChoice>,
    /// Token counts, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The new part of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The text.
    pub delta: Delta,
    /// Set in the last chunk.
    pub finish_reason: Option<String>,
}

/// Text of an answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// One token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Of them, those found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}
