//! The record of each request and its attempts, for the check of the soak's history.

use serde::{Deserialize, Serialize};

/// One request with all its attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Identifies its runs at the servers: the method, path and body of a service request, or the
    /// hash of a chat's messages.
    pub identity: String,
    /// Whether it is a request to a plain service.
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
    /// Its outcome.
    pub outcome: AttemptOutcome,
}

/// The outcome of an attempt as seen by its caller.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// A complete answer.
    Complete,
    /// The router reported that the request was not run; with the error code.
    NotRun(String),
    /// The router reported that the request may have run; with the error code.
    Unknown(String),
    /// No connection to the router.
    Unreachable,
    /// The connection broke during the request.
    Cut,
    /// The attempt did not end within its time limit.
    NoEnd,
}

impl RequestRecord {
    /// Whether the caller knows from every attempt that the request did not run.
    pub fn surely_not_run(&self) -> bool {
        self.attempts.iter().all(|attempt| {
            matches!(
                attempt.outcome,
                AttemptOutcome::NotRun(_) | AttemptOutcome::Unreachable
            )
        })
    }

    /// Whether the caller got a complete answer.
    pub fn complete(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::Complete)
    }
}
