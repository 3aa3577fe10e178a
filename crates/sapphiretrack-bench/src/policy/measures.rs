//! Results of a policy run and their output formats.

use serde_json::json;

/// The results of one policy for one scenario and seed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measures {
    /// Name of the policy.
    pub policy: &'static str,
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of the trace and of the random choices.
    pub seed: u64,
    /// Number of requests in the trace.
    pub requests: u64,
    /// Fraction of the prompt tokens that were cached or imported.
    pub warm_token_fraction: f64,
    /// Fraction of the prompt tokens that were imported from other engines' caches; included in
    /// `warm_token_fraction`.
    pub imported_token_fraction: f64,
    /// Requests in flight on the busiest server divided by the mean over all servers that accept
    /// requests, averaged over time.
    pub skew: f64,
    /// 99th percentile over time of the same ratio.
    pub skew_p99: f64,
    /// Placements that exceeded the load bound computed from the exact state of the pool.
    pub bound_breaches: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of requests whose first token came after the deadline of their class.
    pub late: u64,
    /// Urgent requests that were late although a server had capacity on arrival, or refused while a
    /// server had capacity.
    pub urgent_failed_with_room: u64,
    /// 95th percentile of the time to first token.
    pub first_token_p95_ms: f64,
    /// Encoded bytes of control messages and load-report probes per router and second.
    pub control_bytes_per_router_s: f64,
    /// Number of chats of the replaced router that returned after the replacement.
    pub returns: u64,
    /// Fraction of the prompt tokens of these requests that were cached or imported.
    pub return_warm_fraction: f64,
    /// Results per interval of 5 seconds.
    pub intervals: Vec<Interval>,
}

/// The results of one interval of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Interval {
    /// Start of the interval, in seconds; skew is counted from the start of the load, cached tokens
    /// from the start of the simulation, which is 6 s earlier.
    pub at_s: f64,
    /// Fraction of the prompt tokens that were cached or imported.
    pub warm_token_fraction: f64,
    /// Mean ratio of the busiest server's requests in flight to the mean; 0 without samples.
    pub skew: f64,
}

impl Measures {
    pub(crate) const ROW_HEADER: &'static str = "policy               scenario   seed requests   \
        warm import    skew skew_p99 breaches refused  late urgent p95_ms bytes/s";

    pub(crate) fn to_json(&self) -> String {
        json!({
            "policy": self.policy,
            "scenario": self.scenario,
            "seed": self.seed,
            "requests": self.requests,
            "warm_token_fraction": rounded(self.warm_token_fraction, 4),
            "imported_token_fraction": rounded(self.imported_token_fraction, 4),
            "skew": rounded(self.skew, 4),
            "skew_p99": rounded(self.skew_p99, 3),
            "bound_breaches": self.bound_breaches,
            "refused": self.refused,
            "late": self.late,
            "urgent_failed_with_room": self.urgent_failed_with_room,
            "first_token_p95_ms": rounded(self.first_token_p95_ms, 1),
            "control_bytes_per_router_s": rounded(self.control_bytes_per_router_s, 0),
        })
        .to_string()
    }

    pub(crate) fn to_row(&self) -> String {
        format!(
            "{:<20} {:<10} {:>4} {:>8} {:>6.4} {:>6.4} {:>7.4} {:>8.3} {:>8} {:>7} {:>5} {:>6} {:>6.0} {:>7.0}",
            self.policy,
            self.scenario,
            self.seed,
            self.requests,
            self.warm_token_fraction,
            self.imported_token_fraction,
            self.skew,
            self.skew_p99,
            self.bound_breaches,
            self.refused,
            self.late,
            self.urgent_failed_with_room,
            self.first_token_p95_ms,
            self.control_bytes_per_router_s,
        )
    }
}

/// Sums and samples that are collected during a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples {
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) imported_tokens: u64,
    pub(crate) first_token_ms: Vec<f64>,
    pub(crate) skews: Vec<f64>,
    pub(crate) control_bytes: u64,
    pub(crate) intervals: Vec<IntervalSums>,
}

/// Sums over one interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IntervalSums {
    prompt_tokens: u64,
    cached_tokens: u64,
    skew_sum: f64,
    skew_samples: u32,
}

/// Length of an interval.
const INTERVAL_US: u64 = 5_000_000;

impl Samples {
    pub(crate) fn record_start(&mut self, at_us: u64, prompt_tokens: u32, cached_tokens: u32) {
        self.prompt_tokens += u64::from(prompt_tokens);
        self.cached_tokens += u64::from(cached_tokens);
        let interval = self.interval(at_us);
        interval.prompt_tokens += u64::from(prompt_tokens);
        interval.cached_tokens += u64::from(cached_tokens);
    }

    pub(crate) fn record_skew(&mut self, at_us: u64, skew: f64) {
        self.skews.push(skew);
        let interval = self.interval(at_us);
        interval.skew_sum += skew;
        interval.skew_samples += 1;
    }

    /// Computes the results that depend on the collected samples.
    pub(crate) fn fill_measures(mut self, measures: &mut Measures, routers: usize, seconds: f64) {
        measures.warm_token_fraction = ratio(self.cached_tokens as f64, self.prompt_tokens as f64);
        measures.imported_token_fraction =
            ratio(self.imported_tokens as f64, self.prompt_tokens as f64);
        measures.skew = ratio(self.skews.iter().sum(), self.skews.len() as f64);
        measures.skew_p99 = percentile(&mut self.skews, 0.99);
        measures.first_token_p95_ms = percentile(&mut self.first_token_ms, 0.95);
        measures.control_bytes_per_router_s =
            ratio(self.control_bytes as f64, routers as f64 * seconds);
        let intervals = self.intervals.iter().enumerate();
        measures.intervals = intervals
            .map(|(index, sums)| Interval {
                at_s: (index as u64 * INTERVAL_US) as f64 / 1e6,
                warm_token_fraction: ratio(sums.cached_tokens as f64, sums.prompt_tokens as f64),
                skew: ratio(sums.skew_sum, f64::from(sums.skew_samples)),
            })
            .collect();
    }

    fn interval(&mut self, at_us: u64) -> &mut IntervalSums {
        let index = (at_us / INTERVAL_US) as usize;
        if self.intervals.len() <= index {
            self.intervals.resize(index + 1, IntervalSums::default());
        }
        &mut self.intervals[index]
    }
}

pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn percentile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * quantile) as usize;
    let last = values.len().saturating_sub(1);
    values.get(index.min(last)).copied().unwrap_or(0.0)
}

fn rounded(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}
