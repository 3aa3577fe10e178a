//! The opaque value by which callers return a warm hint; it is parsed as untrusted input.

use sapphiretrack_core::{ServerId, WarmHint};

/// Encodes a hint for a caller.
pub(crate) fn encode_warm_hint(hint: WarmHint) -> String {
    format!(
        "{:016x}.{:016x}.{:x}",
        hint.server.0, hint.incarnation, hint.tokens
    )
}

/// Parses the value of a caller; returns `None` if it is malformed.
pub(crate) fn parse_warm_hint(text: &str) -> Option<WarmHint> {
    let mut parts = text.split('.');
    let server = u64::from_str_radix(parts.next()?, 16).ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let tokens = u32::from_str_radix(parts.next()?, 16).ok()?;
    if parts.next().is_some() {
        return None;
    }
    Some(WarmHint {
        server: ServerId(server),
        incarnation,
        tokens,
        age_ms: 0,
    })
}
