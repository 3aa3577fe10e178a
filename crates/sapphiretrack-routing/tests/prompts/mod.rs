//! Prompts for tests.

#![allow(dead_code)]

use sapphiretrack_routing::{PromptPart, RequestFacts, SentPart, SentPrompts};

/// A request with these shared parts and nothing of its own.
pub(crate) fn prompt_of(shared: &[PromptPart]) -> RequestFacts {
    prompt_with(shared, 0)
}

/// A request with these shared parts and so many tokens of its own.
pub(crate) fn prompt_with(shared: &[PromptPart], private_tokens: u32) -> RequestFacts {
    let own = PromptPart {
        id: u64::MAX,
        tokens: private_tokens,
    };
    let prompt: Vec<PromptPart> = shared.iter().copied().chain([own]).collect();
    RequestFacts {
        prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
        prompt,
        ..RequestFacts::default()
    }
}

/// What a router tells that sent one part to a server.
pub(crate) fn told_part(server: u64, part: PromptPart) -> SentPrompts {
    let sent = SentPart {
        server,
        part: part.id,
        tokens: part.tokens,
    };
    SentPrompts {
        parts: vec![sent],
        ..SentPrompts::default()
    }
}
