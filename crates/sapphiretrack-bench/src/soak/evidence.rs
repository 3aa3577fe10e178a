//! What a soak has seen, for the check of the whole history.

use std::collections::{BTreeMap, BTreeSet};

use crate::load::{RequestRecord, Violation};

/// All that a soak has seen.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What became of each request.
    pub requests: Vec<RequestRecord>,
    /// How often each order ran, over all plain services.
    pub runs: BTreeMap<String, u32>,
    /// The hashes of the messages of all chats that an engine started.
    pub started_chats: BTreeSet<String>,
    /// The planned stops.
    pub stops: Vec<StopRecord>,
    /// Routers that were killed: `http://IP:PORT`.
    pub killed: BTreeSet<String>,
    /// Configuration versions, in the order in which they were seen.
    pub versions: Vec<VersionSeen>,
    /// The operators' changes.
    pub changes: Vec<ChangeRecord>,
    /// The history of changes as each router tells it at the end: change ids by version.
    pub told: BTreeMap<String, BTreeMap<u64, String>>,
    /// Each customer's contract as each router has it at the end: its version.
    pub contract_versions: BTreeMap<(String, String), u64>,
    /// What was found while the soak ran.
    pub violations: Vec<Violation>,
}

/// A planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct StopRecord {
    /// The router: `http://IP:PORT`.
    pub router: String,
    /// Its exit code; none if it did not end.
    pub exit_code: Option<i32>,
}

/// A configuration version that a router had in force.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSeen {
    /// The process, which a restart makes another one.
    pub process: String,
    /// The version.
    pub version: u64,
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// Its id.
    pub change_id: String,
    /// Whose contract it changes.
    pub customer: String,
    /// The version that its operator saw.
    pub seen_version: u64,
    /// What came of it, once it is settled.
    pub state: ChangeState,
}

/// What came of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeState {
    /// It made this version.
    Accepted(u64),
    /// It was not applied.
    Refused,
    /// It could not be settled.
    Unsettled,
}
