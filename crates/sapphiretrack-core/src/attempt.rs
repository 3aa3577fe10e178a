//! The attempts of one request: what may have run, what went out, whether another may follow.

use crate::{Outcome, Refusal, RefusalCode, ServerId};

/// The most attempts of one request, however large the retry budget is.
const MAX_ATTEMPTS: u32 = 4;
/// The part of a class's deadline after which a silent stream counts as broken.
const IDLE_SHARE_OF_DEADLINE: u64 = 8;
/// The shortest time after which a silent stream counts as broken.
const MIN_IDLE_MS: u64 = 250;
/// The longest time after which a silent stream counts as broken.
const MAX_IDLE_MS: u64 = 10_000;

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatable {
    /// It is idempotent: a second run does no harm.
    Always,
    /// It is non-idempotent: another attempt only follows one that certainly did not run.
    OnlyIfNotRun,
}

/// What a failed attempt leaves behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// It certainly did not run.
    NotRun,
    /// It may have run, in part or whole.
    MayHaveRun,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Another attempt, if the retry budget allows one.
    Retry,
    /// The final answer.
    GiveUp,
}

/// The state machine of a request's attempts.
///
/// At any moment it knows whether a byte of the request may have been run, so that whatever
/// ends the request can tell the truth.
#[derive(Clone, Debug)]
pub struct AttemptLog {
    repeatable: Repeatable,
    sending: bool,
    may_have_run: bool,
    attempts: u32,
    delivered_tokens: u32,
    tried: Vec<ServerId>,
}

impl AttemptLog {
    /// The log of a request that was not sent yet.
    pub fn new(repeatable: Repeatable) -> Self {
        Self {
            repeatable,
            sending: false,
            may_have_run: false,
            attempts: 0,
            delivered_tokens: 0,
            tried: Vec::new(),
        }
    }

    /// Notes that the request is about to be sent.
    pub fn begin(&mut self, server: ServerId) {
        self.sending = true;
        self.attempts += 1;
        self.tried.push(server);
    }

    /// Notes a token that goes to the caller.
    pub fn deliver(&mut self) {
        self.may_have_run = true;
        self.delivered_tokens += 1;
    }

    /// Notes that the running attempt failed, and decides what follows.
    pub fn fail(&mut self, failure: AttemptFailure) -> NextStep {
        self.sending = false;
        self.may_have_run |= failure == AttemptFailure::MayHaveRun;
        let repeatable = self.repeatable == Repeatable::Always || !self.may_have_run;
        if repeatable && self.attempts < MAX_ATTEMPTS {
            NextStep::Retry
        } else {
            NextStep::GiveUp
        }
    }

    /// What can be said now about the run of the request.
    pub fn outcome(&self) -> Outcome {
        if self.sending || self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// A refusal with the true outcome.
    pub fn refusal(&self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => Refusal::not_run(code, message),
            Outcome::Complete | Outcome::Unknown => Refusal::unknown(code, message),
        }
    }

    /// The same refusal with the true outcome. A code that promises that nothing ran becomes
    /// [`RefusalCode::ServerFailed`] once something may have.
    pub fn correct(&self, refusal: Refusal) -> Refusal {
        if self.outcome() == Outcome::NotRun {
            return refusal;
        }
        Refusal {
            code: RefusalCode::ServerFailed,
            outcome: Outcome::Unknown,
            ..refusal
        }
    }

    /// How many tokens went to the caller; an attempt resumes after them.
    pub fn delivered_tokens(&self) -> u32 {
        self.delivered_tokens
    }

    /// How many attempts were begun.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The servers that were tried.
    pub fn tried(&self) -> &[ServerId] {
        &self.tried
    }
}

/// How long a stream of a class may be silent between two tokens.
pub fn idle_timeout_ms(deadline_ms: u64) -> u64 {
    (deadline_ms / IDLE_SHARE_OF_DEADLINE).clamp(MIN_IDLE_MS, MAX_IDLE_MS)
}

/// How long an attempt may take to its first token: most of what is left. A server that is only
/// busy is then rarely given up on, and one that hangs leaves some time for another.
pub fn first_token_timeout_ms(left_ms: u64) -> u64 {
    (left_ms / 4 * 3).max(MIN_IDLE_MS)
}
