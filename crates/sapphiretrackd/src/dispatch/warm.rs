//! The opaque value that tells where a chat is warm: written, and read without trust.

use sapphiretrack_core::{ServerId, WarmHint};

/// The value for a caller.
pub(crate) fn write_warm(hint: WarmHint) -> String {
    format!("{:016x}.{:016x}", hint.server.0, hint.incarnation)
}

/// Reads a caller's value; anything else than our own form is no hint.
pub(crate) fn read_warm(text: &str) -> Option<WarmHint> {
    let (server, incarnation) = text.split_once('.')?;
    let server = ServerId(u64::from_str_radix(server, 16).ok()?);
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some(WarmHint {
        server,
        incarnation,
    })
}
