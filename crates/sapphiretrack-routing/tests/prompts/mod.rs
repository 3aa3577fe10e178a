//! Requests and advertised prefixes for tests.

#![allow(dead_code)]

use sapphiretrack_routing::{PromptPrefix, RequestFacts, SentPrefix, SentPrompts};

/// A request with these shared prefixes and no tokens of its own.
pub(crate) fn request_with_prefixes(shared: &[PromptPrefix]) -> RequestFacts {
    request_with_private_tokens(shared, 0)
}

/// A request with these shared prefixes and `private_tokens` tokens of its own.
pub(crate) fn request_with_private_tokens(
    shared: &[PromptPrefix],
    private_tokens: u32,
) -> RequestFacts {
    let private = PromptPrefix {
        id: u64::MAX,
        tokens: private_tokens,
    };
    let prompt: Vec<PromptPrefix> = shared.iter().copied().chain([private]).collect();
    RequestFacts {
        prompt_tokens: prompt.iter().map(|prefix| prefix.tokens).sum(),
        prompt,
        ..RequestFacts::default()
    }
}

/// The advertisement of a router that sent one prefix to a server.
pub(crate) fn advertised_prefix(server: u64, prefix: PromptPrefix) -> SentPrompts {
    let sent = SentPrefix {
        server,
        prefix: prefix.id,
        tokens: prefix.tokens,
    };
    SentPrompts {
        prefixes: vec![sent],
        ..SentPrompts::default()
    }
}
