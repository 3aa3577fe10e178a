//! Configuration changes, as submitted by operators and as recorded in the history.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::Contract;

/// Maximum length of a plain name: a change id, or the name of a server, customer, pool or class.
const MAX_NAME_BYTES: usize = 64;

/// A change of the fleet's configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets a customer's contract if it has not changed since the operator read it.
    Contract {
        /// The contract.
        contract: Box<Contract>,
        /// The configuration version of the contract's last change that the operator saw; 0 for
        /// a new contract.
        seen_version: u64,
    },
    /// Starts or ends the drain of a backend server.
    Drain {
        /// The server's name.
        server: String,
        /// Whether it drains.
        draining: bool,
    },
    /// A router wrote its configuration back after the platform had lost it; nothing else changed.
    Republished {
        /// The configuration version that the router held.
        held_version: u64,
    },
}

/// An entry of the change history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The configuration version that the change created.
    pub version: u64,
    /// The change's id.
    pub change_id: String,
    /// The operator who made the change.
    pub operator: String,
    /// When it was recorded, by the wall clock of the recording router; informational only.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// A name that cannot be part of a row's key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "{what} {name:?} cannot be used; hint: use 1 to 64 letters, digits, `-`, `_` or `.`"
))]
pub struct NameError {
    what: &'static str,
    name: String,
}

/// Checks that a change id can be part of a row's key.
pub fn check_change_id(change_id: &str) -> Result<(), NameError> {
    check_name("the change id", change_id)
}

/// Checks that a backend server's name can be part of a row's key.
pub fn check_server_name(server: &str) -> Result<(), NameError> {
    check_name("the server name", server)
}

/// Whether a name has 1 to [`MAX_NAME_BYTES`] letters, digits, `-`, `_` and `.` only.
pub(crate) fn is_plain_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain)
}

fn check_name(what: &'static str, name: &str) -> Result<(), NameError> {
    ensure!(is_plain_name(name), NameSnafu { what, name });
    Ok(())
}
