//! The HTTP interface for callers.

mod answer;
mod client;
mod headers;
mod listen;
mod parse;
mod request;
mod server;

pub use answer::{Answer, BufferedAnswer, EntryReply, ErrorBody, ErrorDetail, StreamEvent};
pub use client::{CallerClient, ClientError, ReceivedAnswer, RequestOptions};
pub use headers::{
    CHAT_HEADER, CLASS_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, WARM_HEADER, WORKSPACE_HEADER,
    ZONE_HEADER,
};
pub use listen::{CONNECTION_BYTES, CallerServer, Settings, StartError};
pub use request::{CallerRequest, ChatCall, RequestGuard, ServiceCall, Target};
pub use server::{Authenticate, CallerHandlers, EntryLookup, RunRequest};
