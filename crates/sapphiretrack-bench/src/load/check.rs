//! Checks that an answer is complete and belongs to its request.
//!
//! Fake engines answer with tokens of the form `TAG-INDEX`: the tag is derived from the messages,
//! and the index counts from 0 without gaps.

use sapphiretrack_fakes::answer_tag;
use serde::{Deserialize, Serialize};

/// The kind of a violated guarantee.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A token belongs to another request's answer, or to no answer at all.
    Foreign,
    /// A token came more than once.
    Doubled,
    /// A token is missing between others.
    Missing,
    /// An incomplete answer ended as if it were complete.
    CutAsEnd,
    /// A non-idempotent order ran more than once.
    RanTwice,
    /// A request ran although its caller was told that it did not.
    RanThoughNotRun,
    /// A non-idempotent order was answered as complete but ran at no server.
    CompleteWithoutRun,
    /// An attempt did not end within its time limit, although no fault of the soak lasts as long.
    NoEnd,
    /// A planned stop of a router cut a request, or the router did not exit with code 0.
    CutByPlannedStop,
    /// A router returned to an earlier configuration version.
    ConfigurationWentBack,
    /// An accepted change was lost, a refused one was applied, or a change's outcome is unknown.
    ChangeLost,
    /// Two changes of the same version of a contract were both accepted.
    BothAccepted,
    /// The routers did not all see all routers and servers again after the faults.
    NotSettled,
}

/// A violated guarantee with its evidence.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Violation {
    /// The kind of the violation.
    pub kind: ViolationKind,
    /// A description of the evidence.
    pub detail: String,
}

impl Violation {
    /// Creates a violation.
    pub fn new(kind: ViolationKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

/// Checks the tokens of a chat's answer as they arrive.
pub struct AnswerCheck {
    tag: u16,
    next_index: u32,
    expected_tokens: u32,
    first_violation: Option<Violation>,
}

impl AnswerCheck {
    /// Creates the check of the answer to these messages.
    pub fn new(messages: &serde_json::Value, expected_tokens: u32) -> Self {
        Self {
            tag: answer_tag(messages),
            next_index: 0,
            expected_tokens,
            first_violation: None,
        }
    }

    /// Checks the next piece of the answer. A piece must not split a token.
    pub fn push_text(&mut self, text: &str) {
        for token in text.split_whitespace() {
            self.check_token(token);
        }
    }

    /// Returns the number of tokens received.
    pub fn tokens(&self) -> u32 {
        self.next_index
    }

    /// Returns the first violation. `complete` is whether the router reported a complete answer.
    pub fn finish(mut self, complete: bool) -> Option<Violation> {
        if complete && self.next_index < self.expected_tokens {
            let detail = format!("{} of {} tokens", self.next_index, self.expected_tokens);
            self.record(ViolationKind::CutAsEnd, &detail);
        }
        self.first_violation
    }

    fn check_token(&mut self, token: &str) {
        let parsed = token.split_once('-').and_then(|(tag, index)| {
            let tag = u16::from_str_radix(tag, 16).ok()?;
            Some((tag, index.parse::<u32>().ok()?))
        });
        let expected = self.next_index;
        match parsed {
            Some((tag, index)) if tag == self.tag => {
                if index < expected {
                    self.record(ViolationKind::Doubled, token);
                } else if index > expected {
                    self.record(ViolationKind::Missing, token);
                } else if index >= self.expected_tokens {
                    self.record(ViolationKind::Foreign, token);
                }
            }
            _ => self.record(ViolationKind::Foreign, token),
        }
        self.next_index += 1;
    }

    fn record(&mut self, kind: ViolationKind, found: &str) {
        let expected = self.next_index;
        self.first_violation.get_or_insert_with(|| {
            Violation::new(
                kind,
                format!("{found:?} where token {expected} was expected"),
            )
        });
    }
}

/// Checks the answer of a fake plain service: it names the order that it ran, and for a
/// non-idempotent order, that this was the first run.
pub fn check_service_answer(body: &str, order: &str, non_idempotent: bool) -> Option<Violation> {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    if value["order"] != order {
        let detail = format!("{body:?} answers {order:?}");
        return Some(Violation::new(ViolationKind::Foreign, detail));
    }
    if non_idempotent && value["run"] != 1 {
        let detail = format!("{body:?} answers {order:?}");
        return Some(Violation::new(ViolationKind::RanTwice, detail));
    }
    None
}
