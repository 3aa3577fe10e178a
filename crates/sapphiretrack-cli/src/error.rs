//! Errors of the command-line tool and their exit codes.

use std::path::PathBuf;

use sapphiretrack_operator::OperatorError;
use snafu::Snafu;

/// Why a command did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A flag has no value, or one that does not parse.
    #[snafu(display("{source}; hint: see --help"))]
    Arguments {
        /// Why.
        source: pico_args::Error,
    },
    /// The command line asks for nothing known.
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
        /// Why.
        source: std::io::Error,
    },
    /// The certificates cannot be trusted.
    #[snafu(display("{source}; hint: --tls-ca"))]
    Trust {
        /// Why.
        source: sapphiretrack_tls::TrustError,
    },
    /// The contract in a file is refused before it is sent.
    #[snafu(display("{} is refused: {source}", file.display()))]
    Contract {
        /// The file.
        file: PathBuf,
        /// Why.
        source: sapphiretrack_core::ContractError,
    },
    /// The call to the router failed.
    #[snafu(display("{source}"))]
    Router {
        /// Why.
        source: OperatorError,
    },
    /// The change is refused and nothing of it holds.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// The change may or may not hold.
    #[snafu(display("unknown: {reason}; hint: sapphiretrack change show {change_id}"))]
    Unknown {
        /// The id to ask with.
        change_id: String,
        /// Why it is not known.
        reason: String,
    },
    /// `--wait` ended too early.
    #[snafu(display("{what} after {wait_limit_ms} ms: {missing}"))]
    WaitEnded {
        /// What was waited for.
        what: &'static str,
        /// How long.
        wait_limit_ms: u64,
        /// Who is missing.
        missing: String,
    },
    /// The router does not know the name.
    #[snafu(display("there is no {what} {name:?}; hint: sapphiretrack {what} list"))]
    NoSuch {
        /// A router or server.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A caller's request got no answer.
    #[snafu(display("{source}"))]
    Caller {
        /// Why.
        source: sapphiretrack_caller::ClientError,
    },
}

impl CliError {
    /// The exit code.
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
