//! Errors of calls between routers.

use snafu::Snafu;

/// Why a call to a peer did not return a usable reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No connection was established.
    #[snafu(display("the peer cannot be reached: {source}"))]
    Unreachable {
        /// The transport's error.
        source: std::io::Error,
    },
    /// The peer did not reply in time.
    #[snafu(display("no reply from the peer: {reason}"))]
    NoReply {
        /// The cause.
        reason: String,
    },
    /// The peer does not accept this router's key or protocol version, or the reply is not signed
    /// with the key or is of an unexpected kind.
    #[snafu(display("the peer rejected the call; hint: check --cell-key on both routers"))]
    Rejected,
    /// The message cannot be encoded.
    #[snafu(display("the message cannot be encoded: {source}"))]
    Encode {
        /// The cause.
        source: bincode::Error,
    },
    /// The connection ended before the reply.
    #[snafu(display("the connection to the peer ended: {reason}"))]
    ConnectionLost {
        /// The cause.
        reason: String,
    },
}

impl PeerError {
    /// Whether the connection was refused: nothing listens at the peer's address, so its process
    /// has ended.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Unreachable { source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}
