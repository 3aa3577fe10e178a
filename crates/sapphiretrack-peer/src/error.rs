//! Errors of calls between routers.

use snafu::Snafu;

/// Why a call to a peer gave no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No connection.
    #[snafu(display("the peer cannot be reached: {source}"))]
    Unreachable {
        /// What the transport said.
        source: std::io::Error,
    },
    /// No reply in time.
    #[snafu(display("no reply from the peer: {reason}"))]
    NoReply {
        /// What happened.
        reason: String,
    },
    /// The peer does not take our key or version, or replied with another kind of message.
    #[snafu(display("the peer rejected the call; hint: check --cell-key on both routers"))]
    Rejected,
    /// The message cannot be encoded.
    #[snafu(display("the message cannot be encoded: {source}"))]
    Encode {
        /// Why.
        source: bincode::Error,
    },
    /// The connection ended before the reply.
    #[snafu(display("the connection to the peer ended: {reason}"))]
    ConnectionLost {
        /// What happened.
        reason: String,
    },
}

impl PeerError {
    /// Whether nothing listens at the peer's address: its process has ended.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Unreachable { source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}
