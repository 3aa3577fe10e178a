//! The observations of a soak, for the check of its history.

use std::collections::{BTreeMap, BTreeSet};

use crate::load::{RequestRecord, Violation};

/// All observations of a soak.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// All requests with their attempts.
    pub requests: Vec<RequestRecord>,
    /// Number of runs of each service request, over all plain services.
    pub runs: BTreeMap<String, u32>,
    /// Hashes of the messages of all chats that an engine started.
    pub started_chats: BTreeSet<String>,
    /// The planned stops of routers.
    pub stops: Vec<StopRecord>,
    /// The routers that were killed: `http://IP:PORT`.
    pub killed: BTreeSet<String>,
    /// Configuration versions of the routers, in the order in which they were read.
    pub versions: Vec<VersionSeen>,
    /// The operators' changes of contracts.
    pub changes: Vec<ChangeRecord>,
    /// The change history that each router returned at the end, by router: change ids by version.
    pub histories: BTreeMap<String, BTreeMap<u64, String>>,
    /// The version of the contract that each router returned at the end, by router and customer.
    pub contract_versions: BTreeMap<(String, String), u64>,
    /// Violations found before the check of the history.
    pub violations: Vec<Violation>,
}

/// A planned stop of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct StopRecord {
    /// The router: `http://IP:PORT`.
    pub router: String,
    /// Its exit code; `None` if a signal ended it or it did not exit in time.
    pub exit_code: Option<i32>,
}

/// A configuration version that a router reported as in force.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSeen {
    /// The router process; a restarted router counts as another one.
    pub process: String,
    /// The version.
    pub version: u64,
}

/// An operator's change of a contract.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// Its id.
    pub change_id: String,
    /// The customer whose contract it changes.
    pub customer: String,
    /// The version of the contract on which the change is based.
    pub seen_version: u64,
    /// Its outcome.
    pub state: ChangeState,
}

/// The outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeState {
    /// It was applied and created this version.
    Accepted(u64),
    /// It was not applied.
    Refused,
    /// It is not known whether it was applied.
    Unresolved,
}
