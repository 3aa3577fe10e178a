//! Events of a streamed chat answer, in the format used by both callers and engines.

use serde::{Deserialize, Serialize};

/// The `data` of the event that ends a complete stream.
pub const STREAM_END: &str = "[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// The id of the attempt, echoed by the engine.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The model's name.
    pub model: String,
    /// Always one entry.
    pub choices: Vec<ChunkChoice>,
    /// Token counts, in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The text that a chunk adds to the answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The added text.
    pub delta: Delta,
    /// Why generation ended; set in the last chunk only.
    pub finish_reason: Option<String>,
}

/// Text added to an answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// The text of one token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
}
