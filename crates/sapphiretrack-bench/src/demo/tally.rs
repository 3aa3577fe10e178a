//! What the demo's callers were told, and whether it kept the promises.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_caller::{ClientError, ReadAnswer};
use sapphiretrack_fakes::RunCount;

use crate::demo::sample::Skew;

/// Counts over all callers.
#[derive(Default)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
}

#[derive(Default)]
struct Counts {
    whole: u64,
    late: u64,
    foreign: u64,
    refused: u64,
    unknown: u64,
    broken: u64,
    orders: u64,
    seen_tokens: u64,
    reused_tokens: u64,
    first_problem: Option<String>,
}

impl Tally {
    /// Notes a whole chat answer.
    ///
    /// `seen_tokens` is the part of its prompt that an engine has computed before.
    pub(crate) fn whole(&self, answer: &ReadAnswer, own: bool, on_time: bool, seen_tokens: u32) {
        let mut counts = self.lock();
        counts.whole += 1;
        counts.late += u64::from(!on_time);
        counts.foreign += u64::from(!own);
        counts.seen_tokens += u64::from(seen_tokens);
        counts.reused_tokens += u64::from(answer.cached_tokens.min(seen_tokens));
    }

    /// Notes an answered label order.
    pub(crate) fn ordered(&self) {
        self.lock().orders += 1;
    }

    /// Notes an answer without a result.
    pub(crate) fn refused(&self, answer: &ReadAnswer) {
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

    /// Notes a request without an answer.
    pub(crate) fn failed(&self, error: &ClientError) {
        let mut counts = self.lock();
        counts.broken += 1;
        counts
            .first_problem
            .get_or_insert_with(|| error.to_string());
    }

    /// The promises that were not kept.
    pub(crate) fn broken_promises(&self, runs: &[RunCount]) -> Vec<String> {
        let counts = self.lock();
        let doubled = runs
            .iter()
            .filter(|run| run.order.contains("labels") && run.runs > 1);
        let problem = counts.first_problem.clone().unwrap_or_default();
        let checks = [
            (counts.late, String::from("answers came late")),
            (
                counts.foreign,
                String::from("answers had foreign, doubled or missing parts"),
            ),
            (
                counts.unknown,
                format!("answers were left unknown, the first: {problem}"),
            ),
            (
                counts.broken,
                format!("requests got no answer, the first: {problem}"),
            ),
            (
                doubled.count() as u64,
                String::from("label orders ran twice"),
            ),
            (
                u64::from(counts.whole == 0),
                String::from("run without any whole answer"),
            ),
            (
                u64::from(counts.orders == 0),
                String::from("run without any label order"),
            ),
        ];
        let broken = checks.into_iter().filter(|(count, _)| *count > 0);
        broken
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }

    /// The table at the end.
    pub(crate) fn table(&self, skew: &Skew, control: &[f64], in_force: Duration) -> String {
        let counts = self.lock();
        let share = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        let reuse = share(counts.reused_tokens, counts.seen_tokens);
        let on_time = share(counts.whole - counts.late, counts.whole);
        let control: Vec<String> = control.iter().map(|rate| format!("{rate:.0}")).collect();
        let rows = [
            ("chat answers, whole", counts.whole.to_string()),
            ("of them on time", format!("{on_time:.1} %")),
            ("label orders answered", counts.orders.to_string()),
            ("refused as not run", counts.refused.to_string()),
            (
                "prompt tokens seen before, from cache",
                format!("{reuse:.1} %"),
            ),
            (
                "busiest engine over the mean, average",
                format!("{:.2}", skew.average),
            ),
            (
                "busiest engine over the mean, 99 in 100",
                format!("{:.2}", skew.p99),
            ),
            (
                "contract in force everywhere after",
                format!("{} ms", in_force.as_millis()),
            ),
            ("control bytes a second by router", control.join(", ")),
        ];
        rows.iter()
            .map(|(name, value)| format!("{name:<46} {value}\n"))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
