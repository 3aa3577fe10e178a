//! Events of the simulation.

use sapphiretrack_core::{ReservationId, ReserveRequest, RouterId, VmState};
use sapphiretrack_peer::Heartbeat;

use crate::policy::replace::ReplacementMode;
use crate::policy::router::Attempt;
use crate::policy::trace::Change;

/// An event of the simulation.
pub(crate) enum Event {
    /// A request arrives, or is placed again after a wait or a failure.
    Arrive(u32),
    /// A request tries its next server.
    Retry(u32),
    /// A slot request reaches a steward.
    RequestSlot {
        request: u32,
        router: usize,
        reserve_request: ReserveRequest,
        attempt: Attempt,
    },
    Finish {
        server: usize,
        incarnation: u64,
        request: u32,
    },
    /// A released slot reaches its steward.
    Release {
        steward: usize,
        router: RouterId,
        server: usize,
        reservation: ReservationId,
        in_flight: u32,
    },
    Heartbeat {
        router: usize,
    },
    Receive {
        from: usize,
        to: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// All routers update their live routers and consents to stewards.
    UpdateStewardship,
    /// Samples the load skew of the servers.
    SampleSkew,
    /// All servers send load reports to the routers.
    PublishReports,
    Change(Change),
    Fail(usize),
    Restart(usize),
    /// A partition between two routers ends.
    HealPartition {
        first: usize,
        second: usize,
    },
    /// A router learns of a state of a server.
    ApplyState {
        router: usize,
        server: usize,
        state: VmState,
        version: u64,
    },
    /// A router may send requests to a server that joined.
    FinishJoin {
        router: usize,
        server: usize,
    },
    TakeSnapshot,
    Replace(ReplacementMode),
}
