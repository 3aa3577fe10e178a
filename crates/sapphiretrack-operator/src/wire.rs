//! Messages of the operator interface, JSON over HTTP.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Applies a contract: `POST /v1/contracts`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ApplyContract {
    /// A random id chosen by the operator's tool, so that the outcome can be asked for if the reply
    /// is lost.
    pub change_id: String,
    /// The name of the operator who applies it.
    pub operator: String,
    /// The version of the contract that the operator based the change on; 0 for a new contract.
    pub seen_version: u64,
    /// The contract as TOML.
    pub contract_toml: String,
}

/// Starts or ends the drain of a backend server: `POST /v1/drains`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct DrainServer {
    /// A random id chosen by the operator's tool, so that the outcome can be asked for if the reply
    /// is lost.
    pub change_id: String,
    /// The name of the operator who drains it.
    pub operator: String,
    /// The server's name.
    pub server: String,
    /// Whether the drain starts (true) or ends (false).
    pub draining: bool,
}

/// The outcome of a change.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeReply {
    /// The change is committed.
    Accepted {
        /// The configuration version that it created.
        version: u64,
    },
    /// The change was not applied.
    Refused {
        /// The reason.
        reason: String,
        /// The current version of the contract, if another change was committed first.
        current_version: Option<u64>,
        /// The differences from the contract that the operator saw, one field per entry.
        #[serde(default)]
        differences: Vec<String>,
    },
    /// The change may or may not be committed: ask `GET /v1/changes/{change_id}`.
    Unknown {
        /// The id to ask with.
        change_id: String,
        /// Why the outcome is unknown.
        reason: String,
    },
}

/// A query for a contract.
#[derive(Clone, Debug, PartialEq)]
pub struct ContractQuery {
    /// The customer.
    pub customer: String,
    /// The configuration version as of which the contract is requested; `None` for the current one.
    pub version: Option<u64>,
}

/// A contract: `GET /v1/contracts/{customer}`, with `?version=N` as of that version.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ContractReply {
    /// The version in which it last changed.
    pub version: u64,
    /// The contract as TOML.
    pub contract_toml: String,
}

/// A change in the reply to `GET /v1/history`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct HistoryLine {
    /// The configuration version that the change created.
    pub version: u64,
    /// The id of the change.
    pub change_id: String,
    /// The name of the operator who made the change.
    pub operator: String,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What the change affected.
    pub what: String,
}

/// The status of the fleet as one router sees it: `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct Status {
    /// The name of the router that answers.
    pub router: String,
    /// The configuration version that it has in force.
    pub config_version: u64,
    /// Whether it has read a configuration since its start; until then it refuses new requests.
    pub config_known: bool,
    /// Whether it reached the platform recently.
    pub platform_reached: bool,
    /// Whether it is in a planned stop.
    pub stopping: bool,
    /// Callers' requests in flight on it.
    pub in_flight: u64,
    /// The routers that it knows.
    pub routers: Vec<RouterStatus>,
    /// The backend servers that it knows.
    pub servers: Vec<ServerStatus>,
}

/// A router in a [`Status`].
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct RouterStatus {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The last reported configuration version that it has in force.
    pub config_version: u64,
    /// The address for callers.
    pub caller_address: String,
    /// The address for operators.
    pub operator_address: String,
}

/// A backend server in a [`Status`].
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its pool.
    pub pool: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The last reported number of requests in flight from all routers.
    pub in_flight: u32,
    /// The name of the router that manages its slots; empty if that router is not known.
    pub steward: String,
}

/// The reply to a planned stop: `POST /v1/stop`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StopReply {
    /// The number of callers' requests that the router still has to finish.
    pub in_flight: u64,
}

/// Sets the desired state of a backend server: `POST /v1/goals`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct SetGoal {
    /// The server's name.
    pub server: String,
    /// The model to serve.
    pub model: Option<String>,
    /// The version of the model.
    pub version: Option<String>,
    /// The adapters to load.
    pub adapters: Option<Vec<String>>,
    /// `mixed`, `prefill` or `decode`.
    pub role: Option<String>,
    /// Whether the server should be stopped.
    pub stopped: bool,
}

/// Sets whether a pool's engines check fencing numbers: `POST /v1/fencing`.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct SetFencing {
    /// The pool.
    pub pool: String,
    /// Whether its engines refuse an order with an outdated fencing number.
    pub checks: bool,
}

/// The reply to [`SetGoal`] and [`SetFencing`]; both calls may safely be repeated.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct GoalReply {
    /// Why the call failed or its effect is unknown; `None` if it succeeded.
    pub problem: Option<String>,
}
