//! What decisions need to know of a request; method, headers and body stay opaque.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What may be done with a request whose attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestKind {
    /// A second run does no harm.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// A stream of events with rising ids.
    Stream {
        /// Another run may go on after the last delivered event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may be sent again though an earlier attempt may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether its answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One prefix of a prompt, in the order in which the engine reads them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPrefix {
    /// Identifies the text; equal ids share cached computation.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The typed facts of one request, decoded by the interface it came in on.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// The caller's id of this attempt; backend servers echo it.
    pub id: Arc<str>,
    /// The host that the caller asked for.
    pub host: String,
    /// The key that the caller showed.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// The prefixes of the prompt; the last belongs to this request alone.
    pub prompt: Vec<PromptPrefix>,
    /// Tokens that the request reads.
    pub prompt_tokens: u32,
    /// The most tokens that it generates.
    pub output_tokens: u32,
    /// The last event that the caller has of an earlier stream.
    pub resume_after: Option<u64>,
}

impl RequestFacts {
    /// The prompt without the request's own last prefix: what other requests may share.
    pub fn shared_prefixes(&self) -> &[PromptPrefix] {
        let shared = self.prompt.len().saturating_sub(1);
        &self.prompt[..shared]
    }

    /// Prompt tokens that no other request shares.
    pub fn private_tokens(&self) -> u32 {
        let shared = self
            .shared_prefixes()
            .iter()
            .map(|prefix| prefix.tokens)
            .sum();
        self.prompt_tokens.saturating_sub(shared)
    }
}
