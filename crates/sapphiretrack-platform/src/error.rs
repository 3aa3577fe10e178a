//! Errors of calls to the platform.

use snafu::Snafu;

/// Why a call to the platform did not return a usable result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No connection was established, so nothing was sent.
    #[snafu(display("the platform cannot be reached: {reason}; hint: check --platform-url"))]
    Unreachable {
        /// The transport's error.
        reason: String,
    },
    /// The reply was lost or late, so the call may have taken effect.
    #[snafu(display("no reply from the platform to {call}: {reason}; it may have taken effect"))]
    ReplyLost {
        /// The call.
        call: String,
        /// The cause.
        reason: String,
    },
    /// The platform refused the call, which had no effect.
    #[snafu(display("the platform refused {call} with status {status}"))]
    Refused {
        /// The call.
        call: String,
        /// The HTTP status.
        status: u16,
    },
    /// A message, row or object cannot be encoded or decoded.
    #[snafu(display("{what} from the platform cannot be read: {source}"))]
    Unreadable {
        /// What could not be encoded or decoded.
        what: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The rows changed during each attempt to read them.
    #[snafu(display("the configuration changed while it was read; hint: read again"))]
    ChangedWhileRead,
    /// The platform was restored to an older version than routers hold. The routers write theirs
    /// back.
    #[snafu(display(
        "the platform stands at version {head_version}, older than version {newest_version} which routers hold; they are writing it back; hint: repeat in some seconds"
    ))]
    OlderState {
        /// The platform's version.
        head_version: u64,
        /// The newest version known to be in force at any router.
        newest_version: u64,
    },
    /// There is no snapshot of the router's placement memory.
    #[snafu(display("there is no snapshot; chats may find their prefix cold once"))]
    NoWarmSnapshot,
    /// A snapshot of a placement memory cannot be used.
    #[snafu(display("the snapshot is not used: {problem}; chats may find their prefix cold once"))]
    BadWarmSnapshot {
        /// The problem with the snapshot.
        problem: &'static str,
    },
    /// The snapshot of the configuration is damaged.
    #[snafu(display("the snapshot of the configuration cannot be used: {problem}"))]
    BadSnapshot {
        /// The problem with the snapshot.
        problem: &'static str,
    },
}

/// Why a change was not confirmed as applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApplyError {
    /// The call changed nothing.
    #[snafu(display("{source}; this call changed nothing"))]
    NotApplied {
        /// The cause.
        source: PlatformError,
    },
    /// The change may have been applied; its id can be looked up to find out.
    #[snafu(display("{source}"))]
    Unknown {
        /// The cause.
        source: PlatformError,
    },
}

impl PlatformError {
    /// Whether the call certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Refused { .. } | Self::OlderState { .. }
        )
    }
}
