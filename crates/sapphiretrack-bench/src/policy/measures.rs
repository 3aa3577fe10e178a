//! What a policy run measures, and its output.

use serde_json::json;

/// The figures of one policy on one scenario and seed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measures {
    /// The policy.
    pub policy: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Requests that came.
    pub requests: u64,
    /// Part of the prompt tokens that engines found in their caches.
    pub warm_token_fraction: f64,
    /// Part of the prompt tokens that were imported from other engines' caches; counted above.
    pub imported_token_fraction: f64,
    /// The busiest server over the mean, over time.
    pub skew: f64,
    /// The 99th percentile of that over time.
    pub skew_p99: f64,
    /// Placements that put a server over its bound as it truly stood.
    pub bound_breaches: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests whose first token came after the deadline of their class.
    pub late: u64,
    /// Urgent requests, refused or late, that came while some server had room.
    pub urgent_failed_with_room: u64,
    /// The 95th percentile of the time to first token.
    pub first_token_p95_ms: f64,
    /// Encoded bytes of control messages and probes that a router spends.
    pub control_bytes_per_router_s: f64,
    /// Chats of a replaced router that returned.
    pub returns: u64,
    /// Part of the prompt tokens of those returns that engines found in their caches.
    pub return_warm_fraction: f64,
    /// The run over time.
    pub moments: Vec<Moment>,
}

/// A few seconds of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moment {
    /// When it begins.
    pub at_s: f64,
    /// Part of the prompt tokens found in caches.
    pub warm_token_fraction: f64,
    /// The busiest server over the mean.
    pub skew: f64,
}

impl Measures {
    pub(crate) const TABLE_HEAD: &'static str = "policy               scenario   seed requests   \
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

/// Gathers figures while a run goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gathered {
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) imported_tokens: u64,
    pub(crate) first_token_ms: Vec<f64>,
    pub(crate) skews: Vec<f64>,
    pub(crate) control_bytes: u64,
    pub(crate) moments: Vec<MomentSums>,
}

/// Sums of one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MomentSums {
    prompt_tokens: u64,
    cached_tokens: u64,
    skew: f64,
    skews: u32,
}

/// The length of a moment.
const MOMENT_US: u64 = 5_000_000;

impl Gathered {
    pub(crate) fn note_start(&mut self, at_us: u64, prompt_tokens: u32, cached_tokens: u32) {
        self.prompt_tokens += u64::from(prompt_tokens);
        self.cached_tokens += u64::from(cached_tokens);
        let moment = self.moment(at_us);
        moment.prompt_tokens += u64::from(prompt_tokens);
        moment.cached_tokens += u64::from(cached_tokens);
    }

    pub(crate) fn note_skew(&mut self, at_us: u64, skew: f64) {
        self.skews.push(skew);
        let moment = self.moment(at_us);
        moment.skew += skew;
        moment.skews += 1;
    }

    /// Fills in the figures that are drawn from what was gathered.
    pub(crate) fn fill(mut self, measures: &mut Measures, routers: usize, seconds: f64) {
        measures.warm_token_fraction = ratio(self.cached_tokens as f64, self.prompt_tokens as f64);
        measures.imported_token_fraction =
            ratio(self.imported_tokens as f64, self.prompt_tokens as f64);
        measures.skew = ratio(self.skews.iter().sum(), self.skews.len() as f64);
        measures.skew_p99 = percentile(&mut self.skews, 0.99);
        measures.first_token_p95_ms = percentile(&mut self.first_token_ms, 0.95);
        measures.control_bytes_per_router_s =
            ratio(self.control_bytes as f64, routers as f64 * seconds);
        let moments = self.moments.iter().enumerate();
        measures.moments = moments
            .map(|(index, sums)| Moment {
                at_s: (index as u64 * MOMENT_US) as f64 / 1e6,
                warm_token_fraction: ratio(sums.cached_tokens as f64, sums.prompt_tokens as f64),
                skew: ratio(sums.skew, f64::from(sums.skews)),
            })
            .collect();
    }

    fn moment(&mut self, at_us: u64) -> &mut MomentSums {
        let index = (at_us / MOMENT_US) as usize;
        if self.moments.len() <= index {
            self.moments.resize(index + 1, MomentSums::default());
        }
        &mut self.moments[index]
    }
}

pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn percentile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * part) as usize;
    let last = values.len().saturating_sub(1);
    values.get(index.min(last)).copied().unwrap_or(0.0)
}

fn rounded(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}
