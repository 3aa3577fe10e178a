//! The messages between routers.
//!
//! Two releases may run side by side. New variants are therefore added at the end of an enum only,
//! and a heartbeat is extended by new kinds of [`Section`], which older releases ignore. A change
//! that an older release cannot ignore raises [`OLDEST_PROTOCOL_VERSION`] one release after the
//! old form was last sent.

use std::net::SocketAddr;

use sapphiretrack_core::{
    BudgetReply, BudgetRequest, FullServer, Grant, HeldSlots, Incarnation, LoadReport,
    RequesterLoad, ReservationId, ReserveRequest, RouterId, RouterProfile, ServerId, VmState,
    WarmList,
};
use serde::{Deserialize, Serialize};

/// Protocol version that this release sends.
pub const PROTOCOL_VERSION: u16 = 3;
/// Oldest protocol version that this release accepts.
pub const OLDEST_PROTOCOL_VERSION: u16 = 2;
/// Maximum size of a message, in bytes. A configuration with 24,000 workspaces fits.
pub(crate) const MAX_FRAME_BYTES: usize = 64 << 20;

/// Maximum number of chats in one hand-over. Further chats are ignored, so that merging them never
/// delays a router for long.
pub const MAX_HAND_OVER_CHATS: usize = 1_024;

/// The state that a router regularly sends to each peer of its cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub router: RouterId,
    /// Incarnation of the sender: the number of its current run.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat, also across restarts.
    pub sequence: u64,
    /// Newest sequence number of the receiver that the sender has processed; 0 if there is none.
    pub seen_sequence: u64,
    /// Whether the sender accepts new work.
    pub state: VmState,
    /// Version of the configuration in force at the sender.
    pub config_version: u64,
    /// Name, zone and addresses of the sender, if the receiver may not know them yet.
    pub profile: Option<Box<RouterProfile>>,
    /// The sender's own requests in flight.
    pub in_flight: InFlight,
    /// States of the backend servers that the sender monitors itself.
    pub servers: Vec<ServerState>,
    /// Slots that the sender holds on servers for which the receiver is the steward.
    pub held: HeldSlots,
    /// Incarnations of servers that the sender has recently learned to be leaving, from any source.
    pub leaving_servers: Vec<(ServerId, Incarnation)>,
    /// Digest of the sender's list of VMs; 0 before the first list.
    pub list_digest: u64,
    /// Routers with which the sender recently lost contact. The receiver checks them at once.
    pub suspects: Vec<RouterId>,
    /// Extensions of later releases.
    pub sections: Vec<Section>,
}

/// A router's own requests in flight, by server.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InFlight {
    /// Whether `counts` is complete. If so, a server that is not listed has no requests in flight;
    /// otherwise its count is unchanged since the previous heartbeat.
    pub whole: bool,
    /// Number of requests in flight on each listed server.
    pub counts: Vec<(ServerId, u16)>,
}

/// An extension of a heartbeat. A release that does not know its kind ignores it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Section {
    /// Identifies the meaning of the content.
    pub kind: u16,
    /// The encoded content.
    pub body: Vec<u8>,
}

impl Section {
    /// The sender has resigned: it is leaving and grants no more slots in this run.
    pub const RESIGNED: u16 = 1;

    /// Creates the section which states that the sender has resigned.
    pub fn resigned() -> Self {
        Self {
            kind: Self::RESIGNED,
            body: Vec::new(),
        }
    }
}

impl Heartbeat {
    /// Whether the sender has resigned and grants no more slots in this run.
    pub fn has_resigned(&self) -> bool {
        let mut sections = self.sections.iter();
        sections.any(|section| section.kind == Section::RESIGNED)
    }
}

/// State of a backend server, as seen by a router that monitors it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerState {
    /// The server.
    pub server: ServerId,
    /// Whether the server is leaving. Leaving takes precedence over live for the same incarnation.
    pub state: VmState,
    /// Whether the server answers.
    pub reachable: bool,
    /// The server's last load report.
    pub report: LoadReport,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Version of the configuration in force at the receiver.
    pub config_version: u64,
    /// Whether the receiver lacks the sender's profile or earlier heartbeats, so that the next one
    /// must contain the profile and all counts.
    pub wants_whole: bool,
    /// Newest incarnation of the sender that the receiver has seen.
    pub known_incarnation: Incarnation,
    /// Addresses of the receiver's other peers, for a sender that included its profile.
    pub introduced: Vec<(RouterId, SocketAddr)>,
}

/// A configuration, as JSON text because its format may be extended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigReply {
    /// The `FleetConfig`.
    pub config_json: String,
}

/// A list of VMs, as JSON text because its format may be extended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmListReply {
    /// The VM records.
    pub vms_json: String,
}

/// An update for an older configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// The whole `FleetConfig`, as JSON text.
    Whole(String),
    /// The changes since the older configuration: a list of `HistoryEntry`, as JSON text.
    Changes(String),
}

/// A request from one router to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Reports the sender's state.
    Heartbeat(Box<Heartbeat>),
    /// Requests a slot from the receiver as steward.
    Reserve(ReserveRequest),
    /// Returns a slot to its steward.
    Release {
        /// The router that held the slot.
        router: RouterId,
        /// The server that the slot belongs to.
        server: ServerId,
        /// The reservation.
        reservation: ReservationId,
        /// The sender's number of requests in flight in the server's pool.
        in_flight: u16,
    },
    /// Requests the receiver's configuration.
    FetchConfig,
    /// Requests the changes since the sender's configuration.
    FetchConfigSince {
        /// Version of the sender's configuration.
        version: u64,
        /// Id of the change that created the version, because a restored platform may assign a
        /// version number twice.
        change_id: String,
    },
    /// Requests a part of a customer's budget from the receiver as steward.
    LeaseBudget(BudgetRequest),
    /// Requests the receiver's list of VMs. Sent by a router that cannot reach the platform.
    FetchVmList,
    /// Hands over on which servers chats are warm, for at most [`MAX_HAND_OVER_CHATS`] chats. Added
    /// in version 3.
    HandOver(WarmList),
    /// Repeats a slot request that the receiver refused as steward because the server was full.
    ReserveAgain {
        /// The slot request.
        request: ReserveRequest,
        /// What the sender knows about the pool's load.
        known_load: RequesterLoad,
    },
}

/// The reply to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Reply to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Reply to a slot request: the steward's decision.
    Reserve(Grant),
    /// Reply to a release.
    Released,
    /// Reply to a request for the configuration.
    Config(ConfigReply),
    /// The request is not signed with the cell's key or is malformed.
    Rejected,
    /// Reply to a request for newer changes: a list of `HistoryEntry`, as JSON text.
    ConfigChanges(String),
    /// Reply to a request for a part of a budget.
    Budget(BudgetReply),
    /// Reply to a request for the list of VMs.
    VmList(VmListReply),
    /// The request is of a later release and unknown to the receiver.
    Unsupported,
    /// Reply to a hand-over.
    HandedOver {
        /// Number of chats for which the receiver had no information as recent.
        chats: u32,
    },
    /// Reply to a slot request that is refused because the server is full.
    Full(FullServer),
}
