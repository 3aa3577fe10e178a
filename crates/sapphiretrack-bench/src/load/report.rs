//! The report of a load, as a table or a JSON line.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::callers::LoadOutcome;
use crate::load::check::Violation;
use crate::load::settings::LoadSettings;
use crate::load::statistics::{ClassCounts, ClassStatistics, Statistics};

/// The report of a load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Always `load`.
    pub kind: String,
    /// Seed of the load.
    pub seed: u64,
    /// Configured arrivals per second.
    pub requests_per_s: f64,
    /// Time from the start to the last answer.
    pub lasted_ms: u64,
    /// The results by class.
    pub classes: Vec<ClassReport>,
    /// Share of prompt tokens that were found in an engine's cache.
    pub cached_share: f64,
    /// The same share for turns after a chat's first.
    pub returning_cached_share: f64,
    /// Number of violated guarantees.
    pub violation_count: u64,
    /// The first violations, at most 100.
    pub violations: Vec<Violation>,
}

/// The results of a class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Counts of its requests and attempts by outcome.
    #[serde(flatten)]
    pub counts: ClassCounts,
    /// Time from the scheduled arrival to the first token.
    pub first_token_ms: Quantiles,
    /// Time between two pieces of an answer.
    pub between_tokens_ms: Quantiles,
    /// Time from the scheduled arrival to the complete answer.
    pub whole_ms: Quantiles,
}

/// Quantiles of a time, in milliseconds; 0 without samples.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl LoadReport {
    /// Creates the report of a load's outcome.
    pub fn new(settings: &LoadSettings, outcome: &LoadOutcome) -> Self {
        let statistics: &Statistics = &outcome.statistics;
        Self {
            kind: String::from("load"),
            seed: settings.seed,
            requests_per_s: settings.requests_per_s,
            lasted_ms: outcome.lasted.as_millis() as u64,
            classes: statistics.classes.iter().map(ClassReport::new).collect(),
            cached_share: statistics.cached_share(),
            returning_cached_share: statistics.returning_cached_share(),
            violation_count: statistics.violation_count,
            violations: statistics.violations.clone(),
        }
    }

    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<10} {:>7} {:>7} {:>7} {:>8} {:>8} {:>6} {:>6} {:>6}  {:>22} {:>9} {:>22}\n",
            "class",
            "sent",
            "whole",
            "late",
            "refused",
            "unknown",
            "cut",
            "noconn",
            "noend",
            "first token p50/95/99",
            "gap p95",
            "whole p50/95/99 (ms)",
        );
        for class in &self.classes {
            class.write_line(&mut text);
        }
        for class in &self.classes {
            for (outcome, codes) in [
                ("refused", &class.counts.refused),
                ("unknown", &class.counts.unknown),
            ] {
                for (code, count) in codes {
                    text.push_str(&format!("{} {outcome} as {code}: {count}\n", class.class));
                }
            }
        }
        text.push_str(&format!(
            "cached share of prompt tokens: {:.3}, of returning chats: {:.3}\n",
            self.cached_share, self.returning_cached_share
        ));
        text.push_str(&format!("violations: {}\n", self.violation_count));
        for violation in &self.violations {
            text.push_str(&format!("  {:?}: {}\n", violation.kind, violation.detail));
        }
        text
    }
}

impl ClassReport {
    fn new(class: &ClassStatistics) -> Self {
        Self {
            class: class.name.clone(),
            counts: class.counts.clone(),
            first_token_ms: Quantiles::of(&class.first_token_us),
            between_tokens_ms: Quantiles::of(&class.between_tokens_us),
            whole_ms: Quantiles::of(&class.whole_us),
        }
    }

    fn write_line(&self, text: &mut String) {
        let counts = &self.counts;
        let sum = |codes: &BTreeMap<String, u64>| codes.values().sum::<u64>();
        text.push_str(&format!(
            "{:<10} {:>7} {:>7} {:>7} {:>8} {:>8} {:>6} {:>6} {:>6}  {:>22} {:>9.1} {:>22}\n",
            self.class,
            counts.sent,
            counts.whole,
            counts.late,
            sum(&counts.refused),
            sum(&counts.unknown),
            counts.cut,
            counts.unreachable,
            counts.no_end,
            self.first_token_ms.to_string(),
            self.between_tokens_ms.p95,
            self.whole_ms.to_string(),
        ));
    }
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

impl std::fmt::Display for Quantiles {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.1}/{:.1}/{:.1}", self.p50, self.p95, self.p99)
    }
}
