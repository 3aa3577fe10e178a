//! Errors that prevent a router from starting.

use std::net::SocketAddr;

use snafu::Snafu;

/// An error that prevents a router from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// A thread, a runtime or the signal handlers cannot be started.
    #[snafu(display("the {what} cannot start: {source}"))]
    Thread {
        /// What cannot be started.
        what: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// The address for peers cannot be used.
    #[snafu(display("peers cannot be served on {address}: {source}; hint: --peer-address"))]
    Peers {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The endpoint for callers did not start.
    #[snafu(display("{source}; hint: --caller-address"))]
    Callers {
        /// The cause.
        source: sapphiretrack_caller::StartError,
    },
    /// The endpoint for operators did not start.
    #[snafu(display("{source}; hint: --operator-address"))]
    Operators {
        /// The cause.
        source: sapphiretrack_operator::StartError,
    },
}
