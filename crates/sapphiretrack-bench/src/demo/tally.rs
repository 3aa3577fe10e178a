//! Counts of the answers to the demo's callers, and the guarantees that they violate.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_caller::{ClientError, ReceivedAnswer};
use sapphiretrack_fakes::RunCount;

use crate::demo::sample::Skew;

/// Counts of all callers together.
#[derive(Default)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
}

#[derive(Default)]
struct Counts {
    complete: u64,
    late: u64,
    incorrect: u64,
    refused: u64,
    unknown: u64,
    unanswered: u64,
    orders: u64,
    seen_tokens: u64,
    reused_tokens: u64,
    first_problem: Option<String>,
}

impl Tally {
    /// Records a complete chat answer.
    ///
    /// `seen_tokens` is the number of its prompt tokens that an engine has computed before.
    pub(crate) fn record_complete(
        &self,
        answer: &ReceivedAnswer,
        correct: bool,
        on_time: bool,
        seen_tokens: u32,
    ) {
        let mut counts = self.lock();
        counts.complete += 1;
        counts.late += u64::from(!on_time);
        counts.incorrect += u64::from(!correct);
        counts.seen_tokens += u64::from(seen_tokens);
        counts.reused_tokens += u64::from(answer.cached_tokens.min(seen_tokens));
    }

    /// Records a label order that was answered with status 200.
    pub(crate) fn record_order(&self) {
        self.lock().orders += 1;
    }

    /// Records an answer without a result: a request that was not run, or one that may have run.
    pub(crate) fn record_refusal(&self, answer: &ReceivedAnswer) {
        let mut counts = self.lock();
        if answer.outcome == "not-run" {
            counts.refused += 1;
            return;
        }
        counts.unknown += 1;
        counts
            .first_problem
            .get_or_insert_with(|| format!("{answer:?}"));
    }

    /// Records a request without an answer.
    pub(crate) fn record_error(&self, error: &ClientError) {
        let mut counts = self.lock();
        counts.unanswered += 1;
        counts
            .first_problem
            .get_or_insert_with(|| error.to_string());
    }

    /// Returns a description of each violated guarantee. `runs` are the runs at the plain service.
    pub(crate) fn violations(&self, runs: &[RunCount]) -> Vec<String> {
        let counts = self.lock();
        let repeated_orders = runs
            .iter()
            .filter(|run| run.order.contains("labels") && run.runs > 1);
        let problem = counts.first_problem.clone().unwrap_or_default();
        let checks = [
            (counts.late, String::from("answers missed the deadline")),
            (
                counts.incorrect,
                String::from("answers had parts that were foreign, duplicated or missing"),
            ),
            (
                counts.unknown,
                format!("requests have an unknown outcome; first problem: {problem}"),
            ),
            (
                counts.unanswered,
                format!("requests got no answer; first problem: {problem}"),
            ),
            (
                repeated_orders.count() as u64,
                String::from("label orders ran more than once"),
            ),
            (
                u64::from(counts.complete == 0),
                String::from("run without a complete chat answer"),
            ),
            (
                u64::from(counts.orders == 0),
                String::from("run without an answered label order"),
            ),
        ];
        let violated = checks.into_iter().filter(|(count, _)| *count > 0);
        violated
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }

    /// Formats the results as a table. `control` is in bytes per second, by router.
    pub(crate) fn table(&self, skew: &Skew, control: &[f64], apply_time: Duration) -> String {
        let counts = self.lock();
        let share = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        let reuse = share(counts.reused_tokens, counts.seen_tokens);
        let on_time = share(counts.complete - counts.late, counts.complete);
        let control: Vec<String> = control.iter().map(|rate| format!("{rate:.0}")).collect();
        let rows = [
            ("complete chat answers", counts.complete.to_string()),
            ("  of these, within the deadline", format!("{on_time:.1} %")),
            ("label orders answered", counts.orders.to_string()),
            ("requests refused as not run", counts.refused.to_string()),
            (
                "repeated prompt tokens found in cache",
                format!("{reuse:.1} %"),
            ),
            (
                "busiest engine / mean load, average",
                format!("{:.2}", skew.average),
            ),
            (
                "busiest engine / mean load, p99",
                format!("{:.2}", skew.p99),
            ),
            (
                "contract in force on all routers after",
                format!("{} ms", apply_time.as_millis()),
            ),
            ("control traffic by router (bytes/s)", control.join(", ")),
        ];
        rows.iter()
            .map(|(name, value)| format!("{name:<46} {value}\n"))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
