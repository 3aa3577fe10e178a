//! Messages between a router and the scheduler of a service with few slots.
//!
//! An update carries the whole state of its sender for one service, so that losing, repeating or
//! reordering messages does no harm. Servers are identified by [`Incarnation`](crate::Incarnation):
//! its number, or its tag in lists of excluded servers.

use serde::{Deserialize, Serialize};

/// All requests of a service that a router has waiting or running, for the scheduler.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUpdate {
    /// Name of the service.
    pub service: String,
    /// Distinguishes the runs of the sender.
    pub incarnation: u64,
    /// Increases with each update of a run.
    pub sequence: u64,
    /// Requests that wait for a slot.
    pub waiting: Vec<WaitingRequest>,
    /// Requests that have a slot.
    pub held: Vec<HeldSlot>,
    /// Requests that ended recently. Each is repeated in subsequent updates until one of them is
    /// answered.
    pub ended: Vec<EndedRequest>,
}

/// A request that waits for a slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingRequest {
    /// Unique within the sender's run.
    pub ticket: u64,
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time until the request's objective passes, in milliseconds; 0 if it has passed.
    pub objective_left_ms: u32,
    /// Time until the caller's deadline or the route's time limit, in milliseconds.
    pub left_ms: u32,
    /// Tags of the servers that the request must not be sent to.
    pub excluded: Vec<u32>,
}

/// A slot that a request has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldSlot {
    /// The request.
    pub ticket: u64,
    /// The server.
    pub server: u64,
    /// Hash of the workspace's name.
    pub workspace: u64,
}

/// A request that no longer has its slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedRequest {
    /// The request.
    pub ticket: u64,
    /// The server.
    pub server: u64,
    /// Time from sending the request to the end of the answer, in milliseconds.
    pub took_ms: u32,
    /// Numbers of running and waiting requests that the server stated in its answer.
    pub stated: Option<(u16, u16)>,
    /// How the request ended.
    pub outcome: SlotOutcome,
}

/// How a request ended that had a slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotOutcome {
    /// The server answered it.
    Served,
    /// The server refused it for lack of room.
    Refused,
    /// The attempt failed, or the caller left.
    Failed,
}

/// Decisions of a scheduler for one router.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReply {
    /// Name of the service.
    pub service: String,
    /// The receiver's run, from the update that this answers.
    pub incarnation: u64,
    /// The update that this answers.
    pub sequence: u64,
    /// Tickets that have a slot now, and its server.
    pub granted: Vec<(u64, u64)>,
    /// Tickets that get no slot, and the retry delay in milliseconds, or
    /// [`PLACE_UNSCHEDULED_MS`](Self::PLACE_UNSCHEDULED_MS).
    pub refused: Vec<(u64, u32)>,
}

impl SlotReply {
    /// Stated in place of a retry delay for a request that its router places itself, because the
    /// scheduler has no server for it. The delay of a refusal is at least 1.
    pub const PLACE_UNSCHEDULED_MS: u32 = 0;
}
