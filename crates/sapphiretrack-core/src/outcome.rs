//! Outcomes and refusals: what is reported to a caller when its request ends.

use serde::{Deserialize, Serialize};

/// Whether a request has run, as known when its answer ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its complete answer was sent.
    Complete,
    /// The request did not run.
    NotRun,
    /// The request may have run, partially or completely.
    Unknown,
}

impl Outcome {
    /// The value of the `sapphiretrack-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No caller key was sent, or no contract lists it.
    BadKey,
    /// The body is not the JSON that the path requires.
    MalformedBody,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// A header has an invalid value.
    BadHeader,
    /// The path or method does not exist.
    UnknownPath,
    /// No pool of the contract serves this model or service.
    UnknownModel,
    /// The contract has no class of this name.
    UnknownClass,
    /// A non-idempotent request has no `idempotency-key` header.
    IdempotencyKeyRequired,
    /// The customer exceeds the request or token rate of its contract.
    RateLimited,
    /// The customer exceeds the in-flight limit of its contract.
    InFlightLimited,
    /// No backend server of the pool has capacity in time.
    Overloaded,
    /// The pool has no live backend server.
    NoServer,
    /// The platform could not record the claim of a non-idempotent request.
    PlatformUnavailable,
    /// The router has had no contact with the platform or a peer for too long.
    Isolated,
    /// The router is stopping.
    Stopping,
    /// The same idempotency key was used before and the answer is not known.
    AlreadyClaimed,
    /// The deadline of the request's class passed.
    DeadlinePassed,
    /// The backend server failed after it may have started the request.
    ServerFailed,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The path on a service is spelled in a way that could bypass a path rule.
    BadPath,
}

impl RefusalCode {
    /// All codes, in the order of the documentation.
    pub const ALL: [Self; 20] = [
        Self::BadKey,
        Self::MalformedBody,
        Self::BodyTooLarge,
        Self::BadHeader,
        Self::UnknownPath,
        Self::UnknownModel,
        Self::UnknownClass,
        Self::IdempotencyKeyRequired,
        Self::RateLimited,
        Self::InFlightLimited,
        Self::Overloaded,
        Self::NoServer,
        Self::PlatformUnavailable,
        Self::Isolated,
        Self::Stopping,
        Self::AlreadyClaimed,
        Self::DeadlinePassed,
        Self::ServerFailed,
        Self::KeyReused,
        Self::BadPath,
    ];

    /// The code as written in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadKey => "bad_key",
            Self::MalformedBody => "malformed_body",
            Self::BodyTooLarge => "body_too_large",
            Self::BadHeader => "bad_header",
            Self::UnknownPath => "unknown_path",
            Self::UnknownModel => "unknown_model",
            Self::UnknownClass => "unknown_class",
            Self::IdempotencyKeyRequired => "idempotency_key_required",
            Self::RateLimited => "rate_limited",
            Self::InFlightLimited => "in_flight_limited",
            Self::Overloaded => "overloaded",
            Self::NoServer => "no_server",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::Isolated => "isolated",
            Self::Stopping => "stopping",
            Self::AlreadyClaimed => "already_claimed",
            Self::DeadlinePassed => "deadline_passed",
            Self::ServerFailed => "server_failed",
            Self::KeyReused => "key_reused",
            Self::BadPath => "bad_path",
        }
    }

    /// The HTTP status of an answer with this code.
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadKey => 401,
            Self::MalformedBody
            | Self::BadHeader
            | Self::IdempotencyKeyRequired
            | Self::BadPath => 400,
            Self::KeyReused => 422,
            Self::BodyTooLarge => 413,
            Self::UnknownPath | Self::UnknownModel | Self::UnknownClass => 404,
            Self::RateLimited | Self::InFlightLimited => 429,
            Self::AlreadyClaimed => 409,
            Self::ServerFailed => 502,
            Self::DeadlinePassed => 504,
            Self::Overloaded
            | Self::NoServer
            | Self::PlatformUnavailable
            | Self::Isolated
            | Self::Stopping => 503,
        }
    }

    /// What the caller can do about it.
    pub fn hint(self) -> &'static str {
        match self {
            Self::BadKey => "send `authorization: Bearer KEY` with a key of your contract",
            Self::MalformedBody => "send a JSON body as the path's page describes it",
            Self::BodyTooLarge => "send a smaller body",
            Self::BadHeader => "correct the header that the message names",
            Self::UnknownPath => "see the callers' page for the paths and methods",
            Self::UnknownModel => "use a model or service that your contract lists",
            Self::UnknownClass => "use a class that your contract lists, or none for the default",
            Self::IdempotencyKeyRequired => {
                "send an `idempotency-key` header and keep it on repeats"
            }
            Self::RateLimited | Self::InFlightLimited => "come back after `retry-after` seconds",
            Self::Overloaded | Self::NoServer => "come back after `retry-after` seconds",
            Self::PlatformUnavailable => "repeat with the same key after `retry-after` seconds",
            Self::Isolated | Self::Stopping => "ask for an entry address and repeat there",
            Self::AlreadyClaimed => {
                "repeat with the same key after `retry-after` seconds to get the recorded answer; \
                 use no new key before checking whether it ran"
            }
            Self::DeadlinePassed => "repeat if the request is idempotent, or use a slower class",
            Self::ServerFailed => "repeat if the request is idempotent or its outcome is not-run",
            Self::KeyReused => "use a new idempotency key for each new request",
            Self::BadPath => "spell the path plainly: no `//`, `.`, `..` or needless encoding",
        }
    }
}

/// A final error answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// Human-readable description.
    pub message: String,
    /// Retry delay, if retrying may help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates an error answer to a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the retry delay.
    pub fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}
