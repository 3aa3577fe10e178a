//! The HTTP interface for operators, and its client.

mod client;
mod listener;
mod server;
pub mod wire;

pub use client::{OperatorClient, OperatorError};
pub use listener::OperatorServer;
pub use server::{Handler, OperatorHandlers, StartError};
