//! The report of a load: a table, and a JSON line.

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
    /// The seed.
    pub seed: u64,
    /// Arrivals a second that were asked for.
    pub requests_per_s: f64,
    /// How long it ran.
    pub lasted_ms: u64,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// The share of prompt tokens found in a cache.
    pub cached_share: f64,
    /// The same of returning chats alone.
    pub returning_cached_share: f64,
    /// Broken promises, counted.
    pub violation_count: u64,
    /// The first of them.
    pub violations: Vec<Violation>,
}

/// The figures of a class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// What came of its requests.
    #[serde(flatten)]
    pub counts: ClassCounts,
    /// Time to the first token.
    pub first_token_ms: Quantiles,
    /// Time between two tokens.
    pub between_tokens_ms: Quantiles,
    /// Time to the whole answer.
    pub whole_ms: Quantiles,
}

/// Quantiles of a time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

impl LoadReport {
    /// The report of what came of a load.
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

    /// The report as a table.
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
            for (what, codes) in [
                ("refused", &class.counts.refused),
                ("unknown", &class.counts.unknown),
            ] {
                for (code, count) in codes {
                    text.push_str(&format!("{} {what} as {code}: {count}\n", class.class));
                }
            }
        }
        text.push_str(&format!(
            "cached prompt tokens: {:.3}, of returning chats: {:.3}\n",
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
