//! What became of each request, for the check of the whole history.

use serde::{Deserialize, Serialize};

/// One request with all its attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestRecord {
    /// What identifies its run at a server: an order's text, or the hash of a chat's messages.
    pub identity: String,
    /// Whether it calls a plain service.
    pub service: bool,
    /// Whether it is non-idempotent.
    pub non_idempotent: bool,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Attempt {
    /// The router: `http://IP:PORT`.
    pub router: String,
    /// What came of it.
    pub outcome: AttemptOutcome,
}

/// What came of an attempt, as its caller sees it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The whole answer.
    Complete,
    /// The router says that it was not run.
    NotRun(String),
    /// The router says that it may have run.
    Unknown(String),
    /// No connection.
    Unreachable,
    /// The connection broke.
    Cut,
    /// No end within the limit.
    NoEnd,
}

impl RequestRecord {
    /// Whether the caller knows that nothing ran.
    pub fn surely_not_run(&self) -> bool {
        self.attempts.iter().all(|attempt| {
            matches!(
                attempt.outcome,
                AttemptOutcome::NotRun(_) | AttemptOutcome::Unreachable
            )
        })
    }

    /// Whether the caller got the whole answer.
    pub fn complete(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::Complete)
    }
}
