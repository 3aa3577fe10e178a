//! Changes of the configuration, as operators make them and as the history keeps them.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::Contract;

/// The longest change id or server name that an operator may give.
const MAX_NAME_BYTES: usize = 64;

/// What an operator changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets a customer's contract, if its version is still the one that the operator saw.
    Contract {
        /// The contract.
        contract: Box<Contract>,
        /// The configuration version at which the operator saw the contract change last; 0 for
        /// a new one.
        seen_version: u64,
    },
    /// Starts or ends the drain of a backend server.
    Drain {
        /// The server's name.
        server: String,
        /// Whether it drains.
        draining: bool,
    },
    /// A router wrote back what it held after the platform had lost it; nothing else changed.
    Republished {
        /// The version that the router held.
        held_version: u64,
    },
}

/// A line of the history of changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The configuration version that the change made.
    pub version: u64,
    /// The change's id.
    pub change_id: String,
    /// Which operator made it.
    pub operator: String,
    /// When, by the wall clock of the router that wrote it; only for people to read.
    pub at_ms: u64,
    /// What it changed.
    pub change: Change,
}

/// Why a name cannot be part of a row's key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "{what} {name:?} cannot be used; hint: use 1 to 64 letters, digits, `-`, `_` or `.`"
))]
pub struct NameError {
    what: &'static str,
    name: String,
}

/// Checks a change's id.
pub fn check_change_id(change_id: &str) -> Result<(), NameError> {
    check_name("the change id", change_id)
}

/// Checks a backend server's name.
pub fn check_server_name(server: &str) -> Result<(), NameError> {
    check_name("the server name", server)
}

/// Whether a name is short and made of letters, digits, `-`, `_` and `.` only.
pub(crate) fn is_plain_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain)
}

fn check_name(what: &'static str, name: &str) -> Result<(), NameError> {
    ensure!(is_plain_name(name), NameSnafu { what, name });
    Ok(())
}
