//! Messages and calls between routers.

mod client;
mod error;
mod server;
mod signing;
mod wire;

pub use client::{PeerClient, Settings, SlotReply};
pub use error::PeerError;
pub use server::{PeerHandlers, serve, serve_within};
pub use signing::{Signed, SigningKey, Verification};
pub use wire::{
    ConfigReply, ConfigUpdate, Heartbeat, HeartbeatReply, InFlight, MAX_HAND_OVER_CHATS,
    OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerReply, PeerRequest, Section, ServerState,
    VmListReply,
};
