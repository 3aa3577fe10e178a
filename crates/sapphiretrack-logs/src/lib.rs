//! Reads routers' logs and explains how a request was handled.

mod cause;
mod line;
mod trace;

pub use line::LogLine;
pub use trace::{RequestTrace, trace_request};
