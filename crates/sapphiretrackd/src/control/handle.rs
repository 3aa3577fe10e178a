//! How other threads talk to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use sapphiretrack_core::{
    BudgetAsk, BudgetReply, FleetConfig, FullServer, Grant, Incarnation, LoadReport, ReservationId,
    RouterId, ServerId, ToldLoad,
};
use sapphiretrack_peer::{HeartbeatReply, PeerReply, PeerRequest};
use sapphiretrack_platform::wire::VmList;
use tokio::sync::{mpsc, oneshot};

use crate::control::Snapshot;

/// A message to the control thread.
pub(crate) enum Command {
    /// A call of a peer.
    Peer {
        /// The call.
        request: PeerRequest,
        /// Where its reply goes.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A traffic thread wants a slot.
    Begin {
        /// Which.
        wish: SlotWish,
        /// Where the reply goes.
        reply: oneshot::Sender<Begun>,
    },
    /// A peer granted a slot that this router asked for.
    Granted {
        /// The reservation.
        reservation: ReservationId,
    },
    /// A peer did not grant a slot that this router asked for; its end follows.
    Refused {
        /// The reservation.
        reservation: ReservationId,
        /// Why.
        refusal: SlotRefusal,
    },
    /// A slot, or the wish for one, has ended.
    End {
        /// The reservation.
        reservation: ReservationId,
    },
    /// The platform's list of VMs came.
    VmList(VmList),
    /// A call to the platform ended.
    Platform {
        /// Whether a reply came.
        reached: bool,
    },
    /// A configuration came from the platform or an operator.
    OfferConfig(Arc<FleetConfig>),
    /// A load report came, or failed to.
    Report {
        /// The server.
        server: ServerId,
        /// The report.
        report: Option<LoadReport>,
    },
    /// A peer answered a heartbeat.
    PeerAnswered {
        /// The peer; none for an address of the settings.
        router: Option<RouterId>,
        /// Where it was called.
        address: SocketAddr,
        /// The heartbeat's sequence number.
        sequence: u64,
        /// Its answer.
        answer: HeartbeatReply,
    },
    /// The planned stop begins.
    Stop,
    /// A configuration came from a peer, which tells the others by itself.
    PeerConfig(Arc<FleetConfig>),
    /// A traffic thread asks for a part of a customer's budget.
    LeaseBudget {
        /// The question.
        ask: BudgetAsk,
        /// Where the reply goes.
        reply: oneshot::Sender<BudgetPlace>,
    },
    /// Nothing listens at a peer's address.
    PeerRefused {
        /// The peer.
        router: RouterId,
        /// The newest run of it that was known when the connection was begun.
        incarnation: Incarnation,
    },
    /// Nothing listens at the address of a steward.
    AddressRefused {
        /// Its peers' address.
        address: SocketAddr,
    },
    /// A request met a server that says that it is leaving.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// The incarnation to which the request was sent.
        incarnation: Incarnation,
    },
}

/// Why a peer did not grant a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotRefusal {
    /// The server has no room.
    Full(FullServer),
    /// The peer does not count the server's slots.
    NotSteward,
    /// The peer did not answer.
    Silent,
    /// The peer is of an earlier release, which gives no counts and cannot be asked again.
    Unexplained,
}

/// A slot that a traffic thread wants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotWish {
    /// On which server.
    pub(crate) server: ServerId,
    /// The part of the bound that the class may fill.
    pub(crate) bound_share: f64,
    /// Prompt tokens that the server is expected to compute.
    pub(crate) uncached_tokens: u32,
    /// The server's steward refused for want of room: it is asked again if this router now knows
    /// of a load that leaves room.
    pub(crate) refusal: Option<FullServer>,
}

/// The control thread's part of a reservation.
#[derive(Debug)]
pub(crate) struct Begun {
    /// The reservation's id.
    pub(crate) reservation: ReservationId,
    /// Where the slot is decided.
    pub(crate) place: Place,
    /// This router's requests in flight on the server's pool, for the steward.
    pub(crate) in_flight: u16,
    /// The pool's load, for a steward that is asked again.
    pub(crate) told: Option<ToldLoad>,
}

/// Where a slot is decided.
#[derive(Debug)]
pub(crate) enum Place {
    /// Here: this router is the server's steward.
    Here(Grant),
    /// At the server's steward.
    Peer(SocketAddr),
    /// Nowhere: no steward is known.
    Nowhere,
}

/// Where a customer's budget is kept.
#[derive(Debug)]
pub(crate) enum BudgetPlace {
    /// Here: this router is the customer's steward.
    Here(BudgetReply),
    /// At the customer's steward, which has to be asked.
    Peer {
        /// The steward.
        steward: RouterId,
        /// Where it is reached.
        address: SocketAddr,
        /// The question.
        ask: BudgetAsk,
    },
}

/// Where the control thread takes its messages from.
pub(crate) type CommandReceiver = mpsc::UnboundedReceiver<Command>;

/// A handle before its control thread runs; until then it shows an empty snapshot.
pub(crate) fn control_channel(me: RouterId) -> (ControlHandle, CommandReceiver) {
    let (commands, receiver) = mpsc::unbounded_channel();
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::empty(me)));
    (ControlHandle { commands, snapshot }, receiver)
}

/// Talks to the control thread and reads its snapshots.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
}

impl ControlHandle {
    /// The newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Sends a command; when the control thread has ended there is nothing left to decide.
    pub(crate) fn send(&self, command: Command) {
        drop(self.commands.send(command));
    }

    /// Asks for a slot; none if the control thread has ended.
    pub(crate) async fn begin(&self, wish: SlotWish) -> Option<Begun> {
        let (reply, receiver) = oneshot::channel();
        self.send(Command::Begin { wish, reply });
        receiver.await.ok()
    }

    /// Asks for a part of a customer's budget; none if the control thread has ended.
    pub(crate) async fn lease_budget(&self, ask: BudgetAsk) -> Option<BudgetPlace> {
        let (reply, receiver) = oneshot::channel();
        self.send(Command::LeaseBudget { ask, reply });
        receiver.await.ok()
    }

    /// Runs a call of a peer.
    pub(crate) async fn peer(&self, request: PeerRequest) -> PeerReply {
        let (reply, receiver) = oneshot::channel();
        self.send(Command::Peer { request, reply });
        receiver.await.unwrap_or(PeerReply::Rejected)
    }
}
