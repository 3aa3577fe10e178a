//! Checks that an answer is the whole answer to its own request and to no other.
//!
//! Stand-in engines answer tokens of the form `TAG-INDEX`: the tag marks the messages, and the
//! index runs from 0 without gap.

use sapphiretrack_fakes::answer_tag;
use serde::{Deserialize, Serialize};

/// How an answer broke its promise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A part of another request's answer, or no part of any.
    Foreign,
    /// A part came twice.
    Doubled,
    /// A part is missing between others.
    Missing,
    /// The answer ended as if it were whole, and is not.
    CutAsEnd,
    /// A non-idempotent order ran more than once.
    RanTwice,
    /// A request ran though its caller was told that it did not.
    RanThoughNotRun,
    /// An order was answered as complete and ran nowhere.
    CompleteWithoutRun,
    /// An attempt had no end, though every fault was taken back.
    NoEnd,
    /// A planned stop cut a request or did not end as planned.
    CutByPlannedStop,
    /// A router went back to an earlier configuration.
    ConfigurationWentBack,
    /// An accepted change is lost, or a refused one holds.
    ChangeLost,
    /// Two racing changes of one version were both accepted.
    BothAccepted,
    /// The fleet did not come together again.
    NotSettled,
}

/// A broken promise, with what shows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Violation {
    /// Which promise.
    pub kind: ViolationKind,
    /// What shows it.
    pub detail: String,
}

impl Violation {
    /// A violation with what shows it.
    pub fn new(kind: ViolationKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

/// Checks the parts of a chat's answer as they come.
pub struct AnswerCheck {
    tag: u16,
    next_index: u32,
    expected_tokens: u32,
    first_violation: Option<Violation>,
}

impl AnswerCheck {
    /// The check of the answer to these messages.
    pub fn new(messages: &serde_json::Value, expected_tokens: u32) -> Self {
        Self {
            tag: answer_tag(messages),
            next_index: 0,
            expected_tokens,
            first_violation: None,
        }
    }

    /// Takes in text as it comes; it holds whole tokens.
    pub fn take(&mut self, text: &str) {
        for token in text.split_whitespace() {
            self.take_token(token);
        }
    }

    /// Tokens taken in.
    pub fn tokens(&self) -> u32 {
        self.next_index
    }

    /// The first broken promise; `complete` says that the answer was said to be whole.
    pub fn finish(mut self, complete: bool) -> Option<Violation> {
        if complete && self.next_index < self.expected_tokens {
            let detail = format!("{} of {} tokens", self.next_index, self.expected_tokens);
            self.note(ViolationKind::CutAsEnd, &detail);
        }
        self.first_violation
    }

    fn take_token(&mut self, token: &str) {
        let parsed = token.split_once('-').and_then(|(tag, index)| {
            let tag = u16::from_str_radix(tag, 16).ok()?;
            Some((tag, index.parse::<u32>().ok()?))
        });
        let expected = self.next_index;
        match parsed {
            Some((tag, index)) if tag == self.tag => {
                if index < expected {
                    self.note(ViolationKind::Doubled, token);
                } else if index > expected {
                    self.note(ViolationKind::Missing, token);
                } else if index >= self.expected_tokens {
                    self.note(ViolationKind::Foreign, token);
                }
            }
            _ => self.note(ViolationKind::Foreign, token),
        }
        self.next_index += 1;
    }

    fn note(&mut self, kind: ViolationKind, what: &str) {
        let expected = self.next_index;
        self.first_violation.get_or_insert_with(|| {
            Violation::new(
                kind,
                format!("{what:?} where token {expected} was expected"),
            )
        });
    }
}

/// Checks a plain service's answer: it names the order that it ran.
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
