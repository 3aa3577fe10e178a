//! Keeps the connections and the uploads of clients within the limits of the machine, for all HTTP listeners.

mod body;
mod counts;
mod discard;
mod frames;
mod gate;
mod memory;

pub use body::{BodyError, read_body};
pub use counts::ClientCounts;
pub use discard::discard_body;
pub use frames::MeteredFrames;
pub use gate::{ConnectionGate, GatedBody, OpenConnection, RequestInProgress};
pub use memory::{ClientEvent, ClientMemory, HeldMemory, Report};
