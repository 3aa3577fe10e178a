//! Attempts of one request: whether it may have run, and whether it may be retried.

use crate::{Outcome, Refusal, RefusalCode, ServerId};

/// Maximum attempts per request, regardless of the retry budget.
const MAX_ATTEMPTS: u32 = 4;
/// The idle timeout of a stream is the class's deadline divided by this.
const IDLE_TIMEOUT_DIVISOR: u64 = 8;
/// Minimum idle timeout of a stream, and minimum timeout for the first token.
const MIN_IDLE_TIMEOUT_MS: u64 = 250;
/// Maximum idle timeout of a stream.
const MAX_IDLE_TIMEOUT_MS: u64 = 10_000;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatable {
    /// The request is idempotent.
    Always,
    /// The request is non-idempotent: it is retried only if no earlier attempt can have run.
    OnlyIfNotRun,
}

/// Whether a failed attempt may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The attempt certainly did not run.
    NotRun,
    /// The attempt may have run, partially or completely.
    MayHaveRun,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Make another attempt if the retry budget allows one.
    Retry,
    /// Answer the caller with an error.
    GiveUp,
}

/// The state machine of a request's attempts.
///
/// It tracks whether the request may have run, so that an error answer reports the correct outcome
/// at any time.
#[derive(Clone, Debug)]
pub struct AttemptLog {
    repeatable: Repeatable,
    is_in_progress: bool,
    may_have_run: bool,
    attempts: u32,
    delivered_tokens: u32,
    tried: Vec<ServerId>,
}

impl AttemptLog {
    /// Creates the log of a request that has not been sent yet.
    pub fn new(repeatable: Repeatable) -> Self {
        Self {
            repeatable,
            is_in_progress: false,
            may_have_run: false,
            attempts: 0,
            delivered_tokens: 0,
            tried: Vec::new(),
        }
    }

    /// Records that the request is about to be sent to a server.
    pub fn begin(&mut self, server: ServerId) {
        self.is_in_progress = true;
        self.attempts += 1;
        self.tried.push(server);
    }

    /// Records that a token is forwarded to the caller.
    pub fn deliver(&mut self) {
        self.may_have_run = true;
        self.delivered_tokens += 1;
    }

    /// Records that the current attempt failed and decides whether to retry.
    pub fn fail(&mut self, failure: AttemptFailure) -> NextStep {
        self.is_in_progress = false;
        self.may_have_run |= failure == AttemptFailure::MayHaveRun;
        let repeatable = self.repeatable == Repeatable::Always || !self.may_have_run;
        if repeatable && self.attempts < MAX_ATTEMPTS {
            NextStep::Retry
        } else {
            NextStep::GiveUp
        }
    }

    /// The outcome to report if the request ended now.
    pub fn outcome(&self) -> Outcome {
        if self.is_in_progress || self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Creates a refusal with the current outcome.
    pub fn refusal(&self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => Refusal::not_run(code, message),
            Outcome::Complete | Outcome::Unknown => Refusal::unknown(code, message),
        }
    }

    /// Adapts a refusal to the current outcome. Once the request may have run, the code becomes
    /// [`RefusalCode::ServerFailed`], since other codes promise that nothing ran.
    pub fn adapt_refusal(&self, refusal: Refusal) -> Refusal {
        if self.outcome() == Outcome::NotRun {
            return refusal;
        }
        Refusal {
            code: RefusalCode::ServerFailed,
            outcome: Outcome::Unknown,
            ..refusal
        }
    }

    /// Tokens forwarded to the caller so far; the next attempt resumes after them.
    pub fn delivered_tokens(&self) -> u32 {
        self.delivered_tokens
    }

    /// Number of attempts started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The servers of all attempts, in order.
    pub fn tried(&self) -> &[ServerId] {
        &self.tried
    }
}

/// Idle timeout between two tokens of a stream, from the class's deadline.
pub fn idle_timeout_ms(deadline_ms: u64) -> u64 {
    (deadline_ms / IDLE_TIMEOUT_DIVISOR).clamp(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS)
}

/// Timeout of an attempt until its first token: three quarters of the time left to the deadline.
///
/// A server that is only busy is then rarely given up on, and one that hangs leaves some time for
/// another attempt.
pub fn first_token_timeout_ms(left_ms: u64) -> u64 {
    (left_ms / 4 * 3).max(MIN_IDLE_TIMEOUT_MS)
}
