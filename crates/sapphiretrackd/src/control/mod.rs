//! The control thread: the only writer of control state.
//!
//! It runs one loop on a thread of its own. Everything that waits (the platform, peers, load
//! reports) runs in tasks beside the loop and comes back as a [`Command`].

mod budgets;
mod handle;
mod polling;
mod snapshot;
mod state;
mod thread;

pub(crate) use handle::{
    Begun, BudgetPlace, Command, CommandReceiver, ControlHandle, Place, SlotWish, control_channel,
};
pub(crate) use snapshot::Snapshot;
pub(crate) use state::{ControlState, Identity, Timing};
pub(crate) use thread::{ControlParts, run_control};
