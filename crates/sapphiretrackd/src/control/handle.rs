//! The interface of other threads to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use sapphiretrack_core::{
    BudgetReply, BudgetRequest, FleetConfig, FullServer, Grant, Incarnation, LoadReport,
    RequesterLoad, ReservationId, RouterId, ServerId,
};
use sapphiretrack_peer::{HeartbeatReply, PeerReply, PeerRequest};
use sapphiretrack_platform::wire::VmList;
use tokio::sync::{mpsc, oneshot};

use crate::control::Snapshot;

/// A message to the control thread.
pub(crate) enum Command {
    /// A request from a peer.
    PeerRequest {
        /// The request.
        request: PeerRequest,
        /// Receives the reply.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A traffic thread requests a slot.
    BeginReservation {
        /// The server and the conditions.
        request: ReservationRequest,
        /// Receives the reply.
        reply: oneshot::Sender<BegunReservation>,
    },
    /// A peer granted a slot that this router had requested.
    SlotGranted {
        /// The reservation.
        reservation: ReservationId,
    },
    /// A peer did not grant a slot that this router had requested. The reservation is ended by a
    /// command that follows.
    SlotRefused {
        /// The reservation.
        reservation: ReservationId,
        /// The reason.
        refusal: SlotRefusal,
    },
    /// A reservation has ended, whether it was granted or not.
    EndReservation {
        /// The reservation.
        reservation: ReservationId,
    },
    /// The platform's list of VMs, read from the platform or a peer.
    VmList(VmList),
    /// A call to the platform completed.
    PlatformCall {
        /// Whether the platform replied.
        reached: bool,
    },
    /// A configuration from the platform or an operator. If it comes into force, heartbeats
    /// announce it at once.
    OfferConfig(Arc<FleetConfig>),
    /// The result of fetching a load report.
    LoadReport {
        /// The server.
        server: ServerId,
        /// The report; none if the call failed.
        report: Option<LoadReport>,
    },
    /// A peer answered a heartbeat.
    HeartbeatAnswered {
        /// The peer; none for a seed address whose router is not known yet.
        router: Option<RouterId>,
        /// The address that was called.
        address: SocketAddr,
        /// The sequence number of the heartbeat.
        sequence: u64,
        /// The reply.
        reply: HeartbeatReply,
    },
    /// The planned stop begins.
    Stop,
    /// A configuration from a peer. This router does not announce it at once, since that peer
    /// informs the others.
    PeerConfig(Arc<FleetConfig>),
    /// A traffic thread requests budget of a customer.
    LeaseBudget {
        /// The amounts that the router holds and requests.
        request: BudgetRequest,
        /// Receives the reply.
        reply: oneshot::Sender<BudgetRoute>,
    },
    /// A peer's address refused a connection.
    PeerConnectionRefused {
        /// The peer.
        router: RouterId,
        /// Its newest incarnation that was known when the connection was started.
        incarnation: Incarnation,
    },
    /// A steward's address refused a connection.
    StewardConnectionRefused {
        /// The address at which the steward serves peers.
        address: SocketAddr,
    },
    /// A server refused a request because it is leaving.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// The incarnation that the request was sent to.
        incarnation: Incarnation,
    },
}

/// Why a peer did not grant a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotRefusal {
    /// The server is at its load bound; with the counts of its steward.
    Full(FullServer),
    /// The peer is not the server's steward, or cannot grant yet.
    NotSteward,
    /// The peer did not reply.
    NoReply,
    /// A refusal without counts, as from a peer of an earlier release. Without them the request
    /// cannot be repeated.
    WithoutCounts,
}

/// A traffic thread's request for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationRequest {
    /// The server.
    pub(crate) server: ServerId,
    /// The fraction of the load bound that the request's class may use.
    pub(crate) bound_share: f64,
    /// Prompt tokens that the server does not have cached and is expected to compute.
    pub(crate) uncached_tokens: u32,
    /// The counts of the steward that refused this slot before. The request is repeated only if the
    /// load in this router's current view leaves capacity.
    pub(crate) refusal: Option<FullServer>,
}

/// A reservation that the control thread has started.
#[derive(Debug)]
pub(crate) struct BegunReservation {
    /// The id.
    pub(crate) reservation: ReservationId,
    /// The router that decides on the slot.
    pub(crate) route: SlotRoute,
    /// This router's requests in flight on the server's pool, which the steward needs.
    pub(crate) in_flight: u16,
    /// The pool's load, sent to the steward with a repeated request.
    pub(crate) known_load: Option<RequesterLoad>,
}

/// The router that decides on a slot.
#[derive(Debug)]
pub(crate) enum SlotRoute {
    /// This router, as the server's steward; with its decision.
    Local(Grant),
    /// The peer that is the server's steward, at this address.
    Peer(SocketAddr),
    /// No router: no steward is known, or a request to it is not expected to succeed.
    Unavailable,
}

/// The router that keeps a customer's budget.
#[derive(Debug)]
pub(crate) enum BudgetRoute {
    /// This router, as the customer's steward; with its answer.
    Local(BudgetReply),
    /// A peer, which the request has to be sent to.
    Peer {
        /// The steward.
        steward: RouterId,
        /// The address at which it serves peers.
        address: SocketAddr,
        /// The amounts that the router holds and requests.
        request: BudgetRequest,
    },
}

/// The receiving end of the control thread's command channel.
pub(crate) type CommandReceiver = mpsc::UnboundedReceiver<Command>;

/// Creates the command channel of a control thread that is started later. Until its first snapshot
/// the handle returns an empty one.
pub(crate) fn control_channel(me: RouterId) -> (ControlHandle, CommandReceiver) {
    let (commands, receiver) = mpsc::unbounded_channel();
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::empty(me)));
    (ControlHandle { commands, snapshot }, receiver)
}

/// Sends commands to the control thread and reads its snapshots.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
}

impl ControlHandle {
    /// The latest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Sends a command. It is dropped if the control thread has ended.
    pub(crate) fn send(&self, command: Command) {
        drop(self.commands.send(command));
    }

    /// Starts a reservation; none if the control thread has ended.
    pub(crate) async fn begin_reservation(
        &self,
        request: ReservationRequest,
    ) -> Option<BegunReservation> {
        let (reply, receiver) = oneshot::channel();
        self.send(Command::BeginReservation { request, reply });
        receiver.await.ok()
    }

    /// Requests budget of a customer; none if the control thread has ended.
    pub(crate) async fn lease_budget(&self, request: BudgetRequest) -> Option<BudgetRoute> {
        let (reply, receiver) = oneshot::channel();
        self.send(Command::LeaseBudget { request, reply });
        receiver.await.ok()
    }

    /// Handles a request from a peer; rejects it if the control thread has ended.
    pub(crate) async fn handle_peer_request(&self, request: PeerRequest) -> PeerReply {
        let (reply, receiver) = oneshot::channel();
        self.send(Command::PeerRequest { request, reply });
        receiver.await.unwrap_or(PeerReply::Rejected)
    }
}
