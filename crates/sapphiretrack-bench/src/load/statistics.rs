//! The statistics of a load, by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::check::Violation;
use crate::load::settings::ClassMix;

/// Longest time that a histogram resolves: ten minutes. Longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Significant decimal digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of violations that are kept with their evidence; all are counted.
const MAX_KEPT_VIOLATIONS: usize = 100;

/// The statistics of a load.
#[derive(Clone, Debug)]
pub struct Statistics {
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassStatistics>,
    /// Prompt tokens of complete chat answers.
    pub prompt_tokens: u64,
    /// Of these, the tokens found in an engine's cache.
    pub cached_tokens: u64,
    /// Prompt tokens of complete answers to turns after a chat's first.
    pub returning_prompt_tokens: u64,
    /// Of these, the tokens found in an engine's cache.
    pub returning_cached_tokens: u64,
    /// Number of violated guarantees.
    pub violation_count: u64,
    /// The first violations.
    pub violations: Vec<Violation>,
}

/// The statistics of a class.
#[derive(Clone, Debug)]
pub struct ClassStatistics {
    /// Name of the class.
    pub name: String,
    /// Time from the scheduled arrival after which a complete answer counts as late.
    pub late_after_ms: u64,
    /// Counts of its requests and attempts by outcome.
    pub counts: ClassCounts,
    /// Time to the first token, from the scheduled arrival.
    pub first_token_us: Histogram<u64>,
    /// Time between two pieces of an answer.
    pub between_tokens_us: Histogram<u64>,
    /// Time to the complete answer, from the scheduled arrival.
    pub whole_us: Histogram<u64>,
}

/// Counts of a class's requests and attempts by outcome.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassCounts {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests that got a complete answer.
    pub whole: u64,
    /// Of these, the requests that got it late.
    pub late: u64,
    /// Requests that waited because the maximum number of requests was in flight.
    pub delayed: u64,
    /// Attempts reported as not run, by error code.
    pub refused: BTreeMap<String, u64>,
    /// Attempts reported as possibly run, by error code.
    pub unknown: BTreeMap<String, u64>,
    /// Attempts whose connection broke.
    pub cut: u64,
    /// Attempts that could not connect.
    pub unreachable: u64,
    /// Attempts that did not end within their time limit.
    pub no_end: u64,
}

impl Statistics {
    /// Creates empty statistics for the classes.
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

    /// Records a violated guarantee.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violation_count += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Returns the number of requests that arrived.
    pub fn sent(&self) -> u64 {
        self.classes.iter().map(|class| class.counts.sent).sum()
    }

    /// Returns the number of requests that got a complete answer.
    pub fn whole(&self) -> u64 {
        self.classes.iter().map(|class| class.counts.whole).sum()
    }

    /// Returns the share of prompt tokens that were found in an engine's cache.
    pub fn cached_share(&self) -> f64 {
        share(self.cached_tokens, self.prompt_tokens)
    }

    /// Returns the same share for turns after a chat's first.
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

    /// Records a complete answer and its time from the scheduled arrival.
    pub fn record_whole(&mut self, whole_us: u64) {
        self.counts.whole += 1;
        self.whole_us.saturating_record(whole_us);
        if whole_us > self.late_after_ms.saturating_mul(1_000) {
            self.counts.late += 1;
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
        .expect("the histogram bounds are valid")
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
