//! The facts about a request that routing decisions are based on; method, headers and body stay
//! opaque.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How a request may be retried after a failed attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestKind {
    /// A second run does no harm.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// A stream of events with increasing ids.
    Stream {
        /// Whether another run may continue after the last delivered event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request may be sent again although an earlier attempt may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One prefix of a prompt, in the order in which the engine processes them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPrefix {
    /// Identifies the text; equal ids share cached computation.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The typed facts of one request, decoded by the interface that received it.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// The caller's id of this attempt, echoed by backend servers.
    pub id: Arc<str>,
    /// Host that the caller requested.
    pub host: String,
    /// Key that the caller presented.
    pub key: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Prefixes of the prompt; the last one belongs to this request alone.
    pub prompt: Vec<PromptPrefix>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that the request generates.
    pub output_tokens: u32,
    /// Id of the last event that the caller received from an earlier stream.
    pub resume_after: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream which this one takes up.
    pub begun_by: Option<Arc<str>>,
}

impl RequestFacts {
    /// Upper bound of the work of a request at an engine, in tokens.
    const MAX_ENGINE_WORK: u32 = 1_000_000;

    /// Returns whether it takes up a stream of which the caller has events from an earlier attempt.
    pub fn takes_up_stream(&self) -> bool {
        self.begun_by.is_some() || self.resume_after.is_some_and(|last_id| last_id > 0)
    }

    /// Returns the prefixes that other requests may share: all but the last.
    pub fn shared_prefixes(&self) -> &[PromptPrefix] {
        let shared = self.prompt.len().saturating_sub(1);
        &self.prompt[..shared]
    }

    /// Returns the number of prompt tokens that no other request shares.
    pub fn private_tokens(&self) -> u32 {
        let shared = self.shared_prefixes().iter().map(|prefix| prefix.tokens);
        let shared = shared.fold(0, u32::saturating_add);
        self.prompt_tokens.saturating_sub(shared)
    }

    /// Returns the work of the request at an engine with this memory (0 if unknown), in tokens. Callers
    /// state both counts, so that it is limited to what an engine can hold.
    pub fn engine_work(&self, memory_tokens: u64) -> u32 {
        let limit = match u32::try_from(memory_tokens) {
            Ok(0) => Self::MAX_ENGINE_WORK,
            Ok(tokens) => tokens.min(Self::MAX_ENGINE_WORK),
            Err(_) => Self::MAX_ENGINE_WORK,
        };
        let tokens = self.private_tokens().saturating_add(self.output_tokens);
        tokens.min(limit)
    }
}
