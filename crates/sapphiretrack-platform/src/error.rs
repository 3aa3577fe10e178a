//! Errors of the platform's client.

use snafu::Snafu;

/// Why a call to the platform gave no usable reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No connection: nothing was sent.
    #[snafu(display("the platform cannot be reached: {reason}; hint: check --platform-url"))]
    Unreachable {
        /// What the transport said.
        reason: String,
    },
    /// The reply was lost or late: the call may have taken effect.
    #[snafu(display("no reply from the platform to {call}: {reason}; it may have taken effect"))]
    ReplyLost {
        /// The call.
        call: String,
        /// What happened.
        reason: String,
    },
    /// The platform refused the call; it took no effect.
    #[snafu(display("the platform refused {call} with status {status}"))]
    Refused {
        /// The call.
        call: String,
        /// The HTTP status.
        status: u16,
    },
    /// The reply or a row does not read as what it should be.
    #[snafu(display("{what} from the platform cannot be read: {source}"))]
    Unreadable {
        /// What was read.
        what: String,
        /// Why.
        source: serde_json::Error,
    },
    /// The rows kept changing while they were read.
    #[snafu(display("the configuration changed while it was read; hint: read again"))]
    ChangedWhileRead,
    /// The platform has gone back behind what routers hold; they write it back.
    #[snafu(display(
        "the platform stands at version {head_version}, older than version {newest_version} which routers hold; they are writing it back; hint: repeat in some seconds"
    ))]
    OlderState {
        /// The platform's version.
        head_version: u64,
        /// The newest version that is known.
        newest_version: u64,
    },
    /// A router has no snapshot of its placement memory.
    #[snafu(display("there is no snapshot; chats may find their prefix cold once"))]
    NoWarmSnapshot,
    /// A snapshot of a placement memory cannot be used.
    #[snafu(display("the snapshot is not used: {problem}; chats may find their prefix cold once"))]
    BadWarmSnapshot {
        /// What is wrong with it.
        problem: &'static str,
    },
    /// The snapshot of the configuration is damaged.
    #[snafu(display("the snapshot of the configuration cannot be used: {problem}"))]
    BadSnapshot {
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// Why it is not known that a change holds.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApplyError {
    /// This call changed nothing.
    #[snafu(display("{source}; this call changed nothing"))]
    NotApplied {
        /// Why.
        source: PlatformError,
    },
    /// The change may hold: ask with its id.
    #[snafu(display("{source}"))]
    Unknown {
        /// Why.
        source: PlatformError,
    },
}

impl PlatformError {
    /// Whether the call certainly took no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Refused { .. } | Self::OlderState { .. }
        )
    }
}
