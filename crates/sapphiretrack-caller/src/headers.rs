//! Names of the headers that callers and routers exchange.

/// Tells the caller whether its request ran.
pub const OUTCOME_HEADER: &str = "sapphiretrack-outcome";
/// Identifies the server that has a chat in its cache; the caller sends the value back with the
/// chat's next request.
pub const WARM_HEADER: &str = "sapphiretrack-warm";
/// Names the workspace.
pub const WORKSPACE_HEADER: &str = "sapphiretrack-workspace";
/// Names the chat.
pub const CHAT_HEADER: &str = "sapphiretrack-chat";
/// Names the request's class.
pub const CLASS_HEADER: &str = "sapphiretrack-class";
/// Names the caller's availability zone in a lookup of routers.
pub const ZONE_HEADER: &str = "sapphiretrack-zone";
/// Holds the idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
