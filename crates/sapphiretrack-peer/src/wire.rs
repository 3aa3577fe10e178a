//! The messages between routers.

use std::net::SocketAddr;

use bincode::Options;
use hmac::{Hmac, Mac};
use sapphiretrack_core::{
    BudgetAsk, BudgetReply, Grant, HeldSlots, Incarnation, LoadReport, ReservationId,
    ReserveRequest, RouterId, ServerId, VmState,
};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of the HMAC-SHA-256 that travel with a message.
const SIGNATURE_BYTES: usize = 16;

/// The version of the messages; routers of another version are not understood.
pub const PROTOCOL_VERSION: u16 = 1;

/// What a router tells each peer of its cell, again and again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Who.
    pub router: RouterId,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether it takes new work.
    pub state: VmState,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// The configuration version that it has in force.
    pub config_version: u64,
    /// Its own requests in flight on each server that has any.
    pub in_flight: Vec<(ServerId, u16)>,
    /// What it knows first-hand of the servers that it watches.
    pub servers: Vec<ServerState>,
    /// What it holds on the servers whose steward the receiver is.
    pub held: HeldSlots,
}

/// What a router knows first-hand of a backend server that it watches.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerState {
    /// The server.
    pub server: ServerId,
    /// Whether it is leaving; this outranks live for its incarnation.
    pub state: VmState,
    /// Whether it answers.
    pub reachable: bool,
    /// Its last load report.
    pub report: LoadReport,
}

/// The answer to a heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// The configuration version that the receiver has in force.
    pub config_version: u64,
}

/// A configuration, as JSON text, since its form may grow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigReply {
    /// The `FleetConfig`.
    pub config_json: String,
}

/// What brings an older configuration up to date.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// The whole `FleetConfig`, as JSON text.
    Whole(String),
    /// The changes since, a list of `HistoryEntry`, as JSON text.
    Changes(String),
}

/// A call from one router to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Tells the sender's state.
    Heartbeat(Box<Heartbeat>),
    /// Asks the receiver, as steward, for a slot.
    Reserve(ReserveRequest),
    /// Gives a slot back.
    Release {
        /// Who held it.
        router: RouterId,
        /// On which server.
        server: ServerId,
        /// The reservation.
        reservation: ReservationId,
        /// The sender's requests in flight on the server's pool.
        in_flight: u16,
    },
    /// Asks for the receiver's configuration.
    FetchConfig,
    /// Asks for what is newer than the sender's configuration.
    FetchConfigSince {
        /// The version that the sender has.
        version: u64,
        /// The change that made it, since a restored platform may give a number twice.
        change_id: String,
    },
    /// Asks the receiver, as steward, for a part of a customer's budget.
    LeaseBudget(BudgetAsk),
}

/// The reply to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a reservation.
    Reserve(Grant),
    /// To a release.
    Released,
    /// To a request for the configuration.
    Config(ConfigReply),
    /// The call was not understood or not signed by the cell's key.
    Rejected,
    /// To a request for what is newer: a list of `HistoryEntry` as JSON text.
    ConfigChanges(String),
    /// To a question about a budget.
    Budget(BudgetReply),
}

/// A request with the proof that its sender has the cell's key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Signed {
    /// The protocol version of the sender.
    pub version: u16,
    /// The first bytes of the HMAC-SHA-256 of the body under the cell's key.
    pub signature: [u8; SIGNATURE_BYTES],
    /// The encoded [`PeerRequest`].
    pub body: Vec<u8>,
}

/// The key that the routers of a cell share.
#[derive(Clone)]
pub struct SigningKey {
    mac: Hmac<Sha256>,
}

impl SigningKey {
    /// A key; all routers of a cell need the same text.
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// Encodes and signs a request.
    pub fn sign(&self, request: &PeerRequest) -> Result<Signed, bincode::Error> {
        let body = codec().serialize(request)?;
        let whole = self.mac.clone().chain_update(&body).finalize().into_bytes();
        let mut signature = [0; SIGNATURE_BYTES];
        signature.copy_from_slice(&whole[..SIGNATURE_BYTES]);
        Ok(Signed {
            version: PROTOCOL_VERSION,
            signature,
            body,
        })
    }

    /// Checks and decodes a request; none if it is foreign or malformed.
    pub fn open(&self, signed: &Signed) -> Option<PeerRequest> {
        if signed.version != PROTOCOL_VERSION {
            return None;
        }
        let mac = self.mac.clone().chain_update(&signed.body);
        mac.verify_truncated_left(&signed.signature).ok()?;
        codec().deserialize(&signed.body).ok()
    }
}

/// Small numbers take few bytes: most of a heartbeat is counts and lengths.
fn codec() -> impl Options {
    bincode::options().with_varint_encoding()
}
