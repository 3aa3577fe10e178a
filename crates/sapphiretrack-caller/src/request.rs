//! A caller's request after parsing and validation.

use std::any::Any;
use std::sync::Arc;

use bytes::Bytes;
use sapphiretrack_core::{ClassPolicy, Contract};

/// A request of an authenticated customer.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The customer's contract.
    pub contract: Arc<Contract>,
    /// The name of the request's class.
    pub class: String,
    /// The settings of the class.
    pub policy: ClassPolicy,
    /// The workspace; empty if the caller named none.
    pub workspace: String,
    /// The chat's id, if the caller gave one.
    pub chat: Option<String>,
    /// The value of the warm header in the previous answer of the chat.
    pub warm: Option<String>,
    /// The idempotency key of a non-idempotent request.
    pub idempotency_key: Option<String>,
    /// The model or service that the request is for.
    pub target: Target,
    /// Keeps the request counted as in flight.
    pub guard: RequestGuard,
}

/// Keeps a request counted as in flight until the last clone is dropped. The handler, the body of
/// the answer and each task that works on the request hold a clone.
#[derive(Clone)]
pub struct RequestGuard(Arc<dyn Any + Send + Sync>);

impl RequestGuard {
    /// Creates a guard that drops `inner` when the request has ended.
    pub fn new<Inner>(inner: Inner) -> Self
    where
        Inner: Send + Sync + 'static,
    {
        Self(Arc::new(inner))
    }
}

impl std::fmt::Debug for RequestGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RequestGuard({})", Arc::strong_count(&self.0))
    }
}

impl CallerRequest {
    /// The name of the requested model or service, which is also the name of its pool.
    pub fn pool(&self) -> &str {
        match &self.target {
            Target::Chat(call) => &call.model,
            Target::Service(call) => &call.service,
        }
    }

    /// The path that the contract's rules for non-idempotent requests are matched against.
    pub fn path(&self) -> &str {
        match &self.target {
            Target::Chat(_) => "/v1/chat/completions",
            Target::Service(call) => &call.path,
        }
    }
}

/// The model or service that a request is for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A chat with a model.
    Chat(ChatCall),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// A chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The model.
    pub model: String,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// The caller's body, changed to always ask for a stream.
    pub body: Bytes,
    /// The text of the messages up to and including the first one of the user; it identifies a
    /// chat without an id.
    pub opening: String,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// The largest number of tokens in the answer.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The name of the service.
    pub service: String,
    /// The HTTP method.
    pub method: http::Method,
    /// The path on the service, with the query.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}
