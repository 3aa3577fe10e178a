//! The control thread: the only writer of control state.
//!
//! It runs one loop on a thread of its own. Everything that waits (the platform, peers, load
//! reports) runs in tasks beside the loop and comes back as a [`Command`].

mod budgets;
mod configuration;
mod endings;
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
    BudgetPlace, Command, CommandReceiver, ControlHandle, Place, SlotRefusal, SlotWish,
    control_channel,
};
pub(crate) use orders::OrderKeeper;
pub(crate) use snapshot::Snapshot;
pub(crate) use state::{ControlState, Identity, Timing};
pub(crate) use thread::{ControlParts, run_control};
