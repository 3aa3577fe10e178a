//! The control thread, the only writer of control state.
//!
//! It runs a single loop on its own thread. Everything that waits (calls to the platform, to peers
//! and for load reports) runs in separate tasks, which send their results back as a [`Command`].
//!
//! The steward of a server is the router that counts and grants the server's slots. The steward of
//! a customer is the router that keeps the customer's rate and in-flight budgets. Each router
//! derives both by rendezvous hashing over the routers that may be stewards. To grant slots, a
//! steward also needs the consent of most routers of the cell. Heartbeats carry this consent, and
//! it expires.

mod budgets;
mod configuration;
mod ended_stewards;
mod handle;
mod heartbeats;
mod load;
mod orders;
mod polling;
mod slots;
mod snapshot;
mod state;
mod thread;
mod views;

pub(crate) use handle::{
    BudgetRoute, Command, CommandReceiver, ControlHandle, ReservationRequest, SlotRefusal,
    SlotRoute, control_channel,
};
pub(crate) use orders::EngineReconciler;
pub(crate) use snapshot::Snapshot;
pub(crate) use state::{ControlState, Identity, Timing};
pub(crate) use thread::{ControlLoop, run_control};
