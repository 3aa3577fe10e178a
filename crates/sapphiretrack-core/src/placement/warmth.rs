//! Hints about which servers have a chat's prefix cached.

use crate::{Incarnation, PoolView, ServerId, ServerView, UNKNOWN_INCARNATION};

/// A server that served a chat, and how much of the chat it had cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WarmHint {
    /// The server.
    pub server: ServerId,
    /// The server's incarnation at that time; a restarted server has lost its cache.
    pub incarnation: Incarnation,
    /// Number of the chat's tokens that it had cached.
    pub tokens: u32,
    /// Age of the hint.
    pub age_ms: u64,
}

/// The server with the most of a chat's cached tokens, and their expected number.
///
/// Leaving servers can still export tokens; servers of unknown incarnation are not considered.
pub(crate) fn import_source(
    pool: &PoolView,
    hints: &[WarmHint],
    prompt_tokens: u32,
    half_life_ms: u64,
) -> Option<(ServerId, f64)> {
    let sources = hints.iter().filter_map(|hint| pool.server(hint.server));
    sources
        .filter(|server| server.report.incarnation != UNKNOWN_INCARNATION)
        .map(|server| {
            let tokens = expected_warm_tokens(server, hints, prompt_tokens, half_life_ms);
            (server.id, tokens)
        })
        .filter(|(_, tokens)| *tokens > 0.0)
        .max_by(|a, b| a.1.total_cmp(&b.1))
}

/// The number of prompt tokens that a server is expected to have cached, from the best hint for it.
pub(crate) fn expected_warm_tokens(
    server: &ServerView,
    hints: &[WarmHint],
    prompt_tokens: u32,
    half_life_ms: u64,
) -> f64 {
    hints
        .iter()
        .filter(|hint| hint.server == server.id && same_incarnation(server, hint))
        .map(|hint| {
            let age = hint.age_ms as f64 / half_life_ms.max(1) as f64;
            f64::from(hint.tokens.min(prompt_tokens)) * (-age).exp2()
        })
        .fold(0.0, f64::max)
}

/// Whether the hint may apply to the server's current incarnation. This is assumed if the server
/// has not reported its incarnation yet, or had not when the hint was recorded.
fn same_incarnation(server: &ServerView, hint: &WarmHint) -> bool {
    server.report.incarnation == UNKNOWN_INCARNATION
        || hint.incarnation == UNKNOWN_INCARNATION
        || hint.incarnation == server.report.incarnation
}
