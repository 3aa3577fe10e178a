//! A router's view of the VMs: routers and backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{RouterId, ServerId, rendezvous_score};

/// Distinguishes runs of a VM of the same name; set at startup, larger for a later run.
pub type Incarnation = u64;

/// The incarnation of a server that has not reported yet.
pub const UNKNOWN_INCARNATION: Incarnation = 0;

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmRecord {
    /// The VM's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its service address: for callers of a router, for requests to a backend server.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: VmRole,
    /// Whether it is live or leaving.
    pub state: VmState,
}

/// What runs on a VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A router of the fleet.
    Router {
        /// Address for peers.
        peer_address: SocketAddr,
        /// Address for operators.
        operator_address: SocketAddr,
    },
    /// A backend server.
    Server {
        /// The pool that it belongs to.
        pool: String,
        /// What the pool serves.
        kind: PoolKind,
    },
}

/// What a pool serves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// A model, on engines with a prefix cache.
    Engine,
    /// A plain service, without a prefix cache.
    Service,
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM accepts new work.
    Live,
    /// The VM is shutting down and gets no new work; final for an incarnation, so it overrides
    /// `Live`.
    Leaving,
}

/// The load that a backend server reports; it arrives with a delay.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// The server's incarnation; a new one shows a restart, after which the cache is empty.
    pub incarnation: Incarnation,
    /// Requests being processed in a batch.
    pub running: u32,
    /// Requests waiting for a batch.
    pub queued: u32,
    /// Prompt tokens that are not computed yet.
    pub queued_prompt_tokens: u64,
    /// Whether the server announces that it is leaving.
    pub leaving: bool,
}

/// A router as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterView {
    /// The router's id.
    pub id: RouterId,
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
    /// Whether it accepts new work.
    pub state: VmState,
    /// The configuration version in force there, as last seen.
    pub config_version: u64,
}

/// A backend server as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server's id.
    pub id: ServerId,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub state: VmState,
    /// Requests in flight there from all routers, as last seen.
    pub in_flight: u32,
    /// Its last load report.
    pub report: LoadReport,
    /// The router that counts its slots.
    pub steward: RouterId,
    /// Whether it joined recently. It then counts for the load bound, but gets no requests until
    /// all routers have had time to see it.
    pub is_joining: bool,
    /// Prompt tokens that it still has to compute, as estimated by this router.
    pub backlog_tokens: u64,
}

impl ServerView {
    /// Whether new requests may be sent to it.
    pub fn is_open(&self) -> bool {
        self.state == VmState::Live && !self.is_joining
    }
}

/// A pool as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// The model or service name.
    pub name: String,
    /// What the pool serves.
    pub kind: PoolKind,
    /// Its live and leaving backend servers.
    pub servers: Vec<ServerView>,
}

impl PoolView {
    /// Requests in flight on the pool from all routers, as last seen.
    pub fn in_flight(&self) -> u32 {
        self.servers.iter().map(|server| server.in_flight).sum()
    }

    /// Number of live servers, including joining ones.
    pub fn live_count(&self) -> u32 {
        self.servers
            .iter()
            .filter(|server| server.state == VmState::Live)
            .count() as u32
    }

    /// Number of servers that accept requests.
    pub fn open_count(&self) -> u32 {
        let open = self.servers.iter().filter(|server| server.is_open());
        open.count() as u32
    }

    /// The server with this id.
    pub fn server(&self, id: ServerId) -> Option<&ServerView> {
        self.servers.iter().find(|server| server.id == id)
    }
}

/// The router that counts a server's slots, by rendezvous hashing over the live routers.
pub fn steward_of(server: ServerId, live_routers: &[RouterId]) -> Option<RouterId> {
    live_routers.iter().copied().max_by(|a, b| {
        rendezvous_score(server.0, a.0, 1.0)
            .total_cmp(&rendezvous_score(server.0, b.0, 1.0))
            .then(a.cmp(b))
    })
}
