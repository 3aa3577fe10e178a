//! Client of the backend servers: model engines and plain services.

mod answer;
mod checked_connector;
mod client;
mod error;
mod orders;
pub mod wire;

pub use answer::{AnswerStream, Piece};
pub use client::{BackendClient, ChatAttempt, ServiceAttempt, ServiceReply, Settings};
pub use error::BackendError;
pub use orders::{OrderClient, OrderReply};
