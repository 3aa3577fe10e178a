//! Messages and calls between routers.

mod client;
mod error;
mod server;
mod wire;

pub use client::{PeerClient, Settings};
pub use error::PeerError;
pub use server::{PeerHandlers, serve};
pub use wire::{
    ConfigReply, ConfigUpdate, Heartbeat, HeartbeatReply, PROTOCOL_VERSION, PeerReply, PeerRequest,
    ServerState, Signed, SigningKey,
};
