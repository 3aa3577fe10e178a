//! The HTTP interface for operators, and its client.

mod client;
mod server;
pub mod wire;

pub use client::{OperatorClient, OperatorError};
pub use server::{Handler, OperatorHandlers, StartError, start};
