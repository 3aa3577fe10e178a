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
}

impl PlatformError {
    /// Whether the call certainly took no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Refused { .. })
    }
}
