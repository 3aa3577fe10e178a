//! The HTTP interface for callers.

mod answer;
mod client;
mod parse;
mod request;
mod server;

pub use answer::{Answer, EntryReply, ErrorBody, ErrorDetail, StreamEvent, WholeAnswer};
pub use client::{CallerClient, ClientError, ReadAnswer, RequestOptions};
pub use request::{CallerRequest, ChatCall, RequestToken, ServiceCall, Target};
pub use server::{
    Authenticate, CHAT_HEADER, CLASS_HEADER, CallerHandlers, IDEMPOTENCY_HEADER, LookUp,
    OUTCOME_HEADER, Run, StartError, WARM_HEADER, WORKSPACE_HEADER, ZONE_HEADER, start,
};
