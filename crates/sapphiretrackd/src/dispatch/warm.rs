//! The opaque value that tells where a chat is warm: written, and read without trust.

use sapphiretrack_core::{ServerId, WarmHint};

/// The value for a caller.
pub(crate) fn write_warm(hint: WarmHint) -> String {
    format!(
        "{:016x}.{:016x}.{:x}",
        hint.server.0, hint.incarnation, hint.tokens
    )
}

/// Reads a caller's value; anything else than our own form is no hint.
pub(crate) fn read_warm(text: &str) -> Option<WarmHint> {
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
