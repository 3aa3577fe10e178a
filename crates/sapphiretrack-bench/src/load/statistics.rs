//! What a load met, by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::check::Violation;
use crate::load::settings::ClassMix;

/// The longest time that is told apart: ten minutes.
const MAX_US: u64 = 600_000_000;
/// Digits of a time that are kept.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Violations that are kept with what shows them.
const MAX_VIOLATIONS: usize = 100;

/// What a load met.
#[derive(Clone, Debug)]
pub struct Statistics {
    /// By class, in the order of the settings.
    pub classes: Vec<ClassStatistics>,
    /// Prompt tokens of whole chat answers.
    pub prompt_tokens: u64,
    /// Of them, those found in a cache.
    pub cached_tokens: u64,
    /// Prompt tokens of whole answers to returning chats.
    pub returning_prompt_tokens: u64,
    /// Of them, those found in a cache.
    pub returning_cached_tokens: u64,
    /// Broken promises, counted.
    pub violation_count: u64,
    /// The first of them.
    pub violations: Vec<Violation>,
}

/// What the requests of a class met.
#[derive(Clone, Debug)]
pub struct ClassStatistics {
    /// The class.
    pub name: String,
    /// When a whole answer counts as late.
    pub late_after_ms: u64,
    /// What came of its requests.
    pub counts: ClassCounts,
    /// Time to the first token, from the scheduled arrival.
    pub first_token_us: Histogram<u64>,
    /// Time between two tokens.
    pub between_tokens_us: Histogram<u64>,
    /// Time to the whole answer, from the scheduled arrival.
    pub whole_us: Histogram<u64>,
}

/// What came of a class's requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassCounts {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests that got their whole answer.
    pub whole: u64,
    /// Of them, those that got it late.
    pub late: u64,
    /// Requests that waited for a place among those in flight.
    pub delayed: u64,
    /// Attempts that were refused as not run, by code.
    pub refused: BTreeMap<String, u64>,
    /// Attempts that may have run, by code.
    pub unknown: BTreeMap<String, u64>,
    /// Attempts whose connection broke.
    pub cut: u64,
    /// Attempts that found no connection.
    pub unreachable: u64,
    /// Attempts without an end in time.
    pub no_end: u64,
}

impl Statistics {
    /// Empty statistics for the classes.
    pub fn new(classes: &[ClassMix]) -> Self {
        Self {
            classes: classes.iter().map(ClassStatistics::new).collect(),
            prompt_tokens: 0,
            cached_tokens: 0,
            returning_prompt_tokens: 0,
            returning_cached_tokens: 0,
            violation_count: 0,
            violations: Vec::new(),
        }
    }

    /// Notes a broken promise.
    pub fn note_violation(&mut self, violation: Violation) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Requests that arrived.
    pub fn sent(&self) -> u64 {
        self.classes.iter().map(|class| class.counts.sent).sum()
    }

    /// Requests that got their whole answer.
    pub fn whole(&self) -> u64 {
        self.classes.iter().map(|class| class.counts.whole).sum()
    }

    /// The share of prompt tokens found in a cache.
    pub fn cached_share(&self) -> f64 {
        share(self.cached_tokens, self.prompt_tokens)
    }

    /// The same of returning chats alone.
    pub fn returning_cached_share(&self) -> f64 {
        share(self.returning_cached_tokens, self.returning_prompt_tokens)
    }
}

impl ClassStatistics {
    fn new(class: &ClassMix) -> Self {
        Self {
            name: class.name.clone(),
            late_after_ms: class.late_after_ms,
            counts: ClassCounts::default(),
            first_token_us: new_histogram(),
            between_tokens_us: new_histogram(),
            whole_us: new_histogram(),
        }
    }

    /// Notes a whole answer.
    pub fn note_whole(&mut self, whole_us: u64) {
        self.counts.whole += 1;
        self.whole_us.saturating_record(whole_us);
        if whole_us > self.late_after_ms.saturating_mul(1_000) {
            self.counts.late += 1;
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS).expect("the bounds are in order")
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
