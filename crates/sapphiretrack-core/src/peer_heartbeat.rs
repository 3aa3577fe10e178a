//! The part of a heartbeat that describes its sender.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RosterChange, RouterId, VmState};

/// Properties of a router that rarely change; sent only to peers that do not have them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterProfile {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
}

/// The part of a heartbeat that describes its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHeartbeat {
    /// The sender's id.
    pub router: RouterId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether the sender accepts new work.
    pub state: VmState,
    /// Whether the sender has resigned as steward and grants no more slots in this incarnation.
    pub has_resigned: bool,
    /// The sender's configuration version in force.
    pub config_version: u64,
    /// The sender's profile, if included.
    pub profile: Option<RouterProfile>,
}

/// The result of processing a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeartbeatResult {
    /// The heartbeat was accepted.
    Accepted {
        /// The change to log, if any.
        change: Option<RosterChange>,
    },
    /// The heartbeat is not newer than an accepted one: it is replayed, late, or from an earlier
    /// incarnation. Also returned for this router's own heartbeats.
    Stale,
    /// The sender's profile is not known and has to be included in its next heartbeat.
    NeedsProfile,
}
