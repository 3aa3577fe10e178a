//! Errors of the command-line tool and their exit codes.

use std::path::PathBuf;

use sapphiretrack_operator::OperatorError;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A flag has no value or an invalid one.
    #[snafu(display("{source}; hint: see --help"))]
    Arguments {
        /// The cause.
        source: pico_args::Error,
    },
    /// The command line is invalid, or its request cannot be carried out.
    #[snafu(display("{problem}; hint: see --help"))]
    Usage {
        /// What is wrong.
        problem: String,
    },
    /// A file cannot be read.
    #[snafu(display("{} cannot be read: {source}", file.display()))]
    ReadFile {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file of trusted certificates cannot be used.
    #[snafu(display("{source}; hint: --tls-ca"))]
    Trust {
        /// The cause.
        source: sapphiretrack_tls::TrustError,
    },
    /// The contract in a file is invalid; it was not sent.
    #[snafu(display("{} is refused: {source}", file.display()))]
    Contract {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: sapphiretrack_core::ContractError,
    },
    /// The call to the router failed.
    #[snafu(display("{source}"))]
    Router {
        /// The cause.
        source: OperatorError,
    },
    /// The router refused the request: nothing was changed.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// The reason.
        reason: String,
    },
    /// The change may or may not be committed.
    #[snafu(display("unknown: {reason}; hint: sapphiretrack change show {change_id}"))]
    Unknown {
        /// The id to ask with.
        change_id: String,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// `--wait` reached its time limit.
    #[snafu(display("{what} after {wait_limit_ms} ms: {missing}"))]
    WaitEnded {
        /// The condition that is still not met.
        what: &'static str,
        /// The time limit in milliseconds.
        wait_limit_ms: u64,
        /// What is missing for the condition.
        missing: String,
    },
    /// The router knows no router or server of this name.
    #[snafu(display("there is no {what} {name:?}; hint: sapphiretrack {what} list"))]
    NoSuch {
        /// The kind of object: `router`.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A request as a caller got no answer.
    #[snafu(display("{source}"))]
    Caller {
        /// The cause.
        source: sapphiretrack_caller::ClientError,
    },
}

impl CliError {
    /// The exit code of the process, as listed in the help text.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. }
            | Self::Contract { .. }
            | Self::NoSuch { .. }
            | Self::Router {
                source: OperatorError::Refused { .. },
            } => 1,
            Self::Arguments { .. }
            | Self::Usage { .. }
            | Self::ReadFile { .. }
            | Self::Trust { .. } => 2,
            Self::Unknown { .. }
            | Self::Router {
                source: OperatorError::ReplyLost { .. },
            }
            | Self::Caller {
                source: sapphiretrack_caller::ClientError::Broken { .. },
            } => 3,
            Self::Router {
                source: OperatorError::Unreachable { .. },
            }
            | Self::Caller {
                source: sapphiretrack_caller::ClientError::Unreachable { .. },
            } => 4,
            Self::WaitEnded { .. } => 5,
        }
    }
}
