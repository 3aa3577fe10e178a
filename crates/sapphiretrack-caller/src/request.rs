//! A caller's request, read and checked.

use std::any::Any;
use std::sync::Arc;

use bytes::Bytes;
use sapphiretrack_core::{ClassPolicy, Contract};

/// A request of a known customer.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The customer's contract.
    pub contract: Arc<Contract>,
    /// The name of the request's class.
    pub class: String,
    /// The class.
    pub policy: ClassPolicy,
    /// The workspace, empty if none was named.
    pub workspace: String,
    /// The chat's id, if the caller gave one.
    pub chat: Option<String>,
    /// The value of an earlier answer that tells where the chat is warm.
    pub warm: Option<String>,
    /// The key of a non-idempotent request.
    pub idempotency_key: Option<String>,
    /// What is asked for.
    pub target: Target,
    /// Counts the request as in flight.
    pub token: RequestToken,
}

/// Counts a request as in flight until the last clone is dropped: the handler, the answer's
/// body and each task that works on the request hold one.
#[derive(Clone)]
pub struct RequestToken(Arc<dyn Any + Send + Sync>);

impl RequestToken {
    /// A token that drops `counted` when the request has ended.
    pub fn new<Counted>(counted: Counted) -> Self
    where
        Counted: Send + Sync + 'static,
    {
        Self(Arc::new(counted))
    }
}

impl std::fmt::Debug for RequestToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RequestToken({})", Arc::strong_count(&self.0))
    }
}

impl CallerRequest {
    /// The model or service that is asked for.
    pub fn pool(&self) -> &str {
        match &self.target {
            Target::Chat(call) => &call.model,
            Target::Service(call) => &call.service,
        }
    }

    /// The path by which non-idempotent requests are told from others.
    pub fn path(&self) -> &str {
        match &self.target {
            Target::Chat(_) => "/v1/chat/completions",
            Target::Service(call) => &call.path,
        }
    }
}

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A chat answer of a model.
    Chat(ChatCall),
    /// A call on a plain service.
    Service(ServiceCall),
}

/// A chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The model.
    pub model: String,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// The caller's body, asking for a stream.
    pub body: Bytes,
    /// The opening of the chat: the messages up to the first of the user.
    pub opening: String,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
}

/// A plain service call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service.
    pub service: String,
    /// The HTTP method.
    pub method: http::Method,
    /// The path on the service, with its query.
    pub path: String,
    /// The body's content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}
