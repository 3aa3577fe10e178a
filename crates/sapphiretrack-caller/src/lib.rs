//! The HTTP interface for callers.

mod answer;
mod client;
mod listen;
mod parse;
mod request;
mod server;

pub use answer::{Answer, EntryReply, ErrorBody, ErrorDetail, StreamEvent, WholeAnswer};
pub use client::{CallerClient, ClientError, ReadAnswer, RequestOptions};
pub use listen::{CallerServer, Settings, StartError};
pub use request::{CallerRequest, ChatCall, RequestToken, ServiceCall, Target};
pub use server::{
    Authenticate, CHAT_HEADER, CLASS_HEADER, CallerHandlers, IDEMPOTENCY_HEADER, LookUp,
    OUTCOME_HEADER, Run, WARM_HEADER, WORKSPACE_HEADER, ZONE_HEADER,
};
