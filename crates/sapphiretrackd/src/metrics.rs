//! Metrics in the Prometheus text format.
//!
//! Labels are customers and classes, never workspaces or chats, so that the contracts bound their
//! number. Pairs beyond [`MAX_LABEL_SETS`] share the label `other`.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sapphiretrack_core::RefusalCode;

use crate::client_limits::ClientResources;

/// The maximum number of customer and class pairs with labels of their own.
const MAX_LABEL_SETS: usize = 512;
/// The label of all pairs beyond [`MAX_LABEL_SETS`].
const OTHER_LABEL: &str = "other";

/// Labels for the class of a customer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ClassLabels {
    customer: String,
    class: String,
}

/// Label for the code of a refusal.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CodeLabels {
    code: &'static str,
}

/// Label for a kind of control traffic.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabels {
    kind: &'static str,
}

/// All metrics of a router.
pub(crate) struct Metrics {
    registry: Registry,
    label_sets: Mutex<BTreeSet<ClassLabels>>,
    first_token_s: Family<ClassLabels, Histogram>,
    whole_time_s: Family<ClassLabels, Histogram>,
    answers: Family<ClassLabels, Counter>,
    refusals: Family<CodeLabels, Counter>,
    control_bytes: Family<KindLabels, Counter>,
    /// Attempts beyond a request's first.
    pub(crate) retries: Counter,
    /// Dropped replies to another attempt.
    pub(crate) crossed_replies: Counter,
    /// Peer messages with a wrong signature or malformed content.
    pub(crate) rejected_peer_messages: Counter,
    /// Rows of the platform that could not be used, each time they were read.
    pub(crate) unusable_rows: Counter,
    client_bytes: Gauge,
    closed_connections: Counter,
    reclaimed_bodies: Counter,
    refused_bodies: Counter,
    /// Prompt tokens of answered requests.
    pub(crate) prompt_tokens: Counter,
    /// Prompt tokens of answered requests that an engine found in its cache.
    pub(crate) cached_tokens: Counter,
    /// Requests of callers in flight.
    pub(crate) in_flight: Gauge,
    /// The configuration version in force.
    pub(crate) config_version: Gauge,
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Arc<Metrics>);

impl InFlightGuard {
    /// Counts a request as in flight.
    pub(crate) fn new(metrics: &Arc<Metrics>) -> Self {
        metrics.in_flight.inc();
        Self(metrics.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}

impl Metrics {
    /// Returns the number of requests in flight.
    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.in_flight.get().max(0) as u64
    }

    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("sapphiretrack");
        let histogram: fn() -> Histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 16));
        let first_token_s = Family::new_with_constructor(histogram);
        let whole_time_s = Family::new_with_constructor(histogram);
        let answers = Family::default();
        let refusals = Family::default();
        let control_bytes = Family::default();
        registry.register(
            "first_token_seconds",
            "Time to the first token by customer and class",
            first_token_s.clone(),
        );
        registry.register(
            "whole_time_seconds",
            "Time to the whole answer by customer and class",
            whole_time_s.clone(),
        );
        registry.register(
            "answers",
            "Whole answers by customer and class",
            answers.clone(),
        );
        registry.register(
            "refusals",
            "Answers without a result by code",
            refusals.clone(),
        );
        registry.register(
            "control_bytes",
            "Control bytes by kind",
            control_bytes.clone(),
        );
        let mut metrics = Self {
            registry,
            label_sets: Mutex::default(),
            first_token_s,
            whole_time_s,
            answers,
            refusals,
            control_bytes,
            retries: Counter::default(),
            crossed_replies: Counter::default(),
            rejected_peer_messages: Counter::default(),
            unusable_rows: Counter::default(),
            client_bytes: Gauge::default(),
            closed_connections: Counter::default(),
            reclaimed_bodies: Counter::default(),
            refused_bodies: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            in_flight: Gauge::default(),
            config_version: Gauge::default(),
        };
        metrics.register_unlabeled();
        metrics
    }

    /// Returns the labels for a class of a customer, or the shared ones beyond [`MAX_LABEL_SETS`].
    pub(crate) fn labels(&self, customer: &str, class: &str) -> ClassLabels {
        let labels = ClassLabels {
            customer: customer.to_owned(),
            class: class.to_owned(),
        };
        let mut known = self
            .label_sets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if known.contains(&labels) || known.len() < MAX_LABEL_SETS {
            known.insert(labels.clone());
            return labels;
        }
        ClassLabels {
            customer: OTHER_LABEL.to_owned(),
            class: OTHER_LABEL.to_owned(),
        }
    }

    /// Records the time to the first token of an answer.
    pub(crate) fn record_first_token(&self, labels: &ClassLabels, seconds: f64) {
        self.first_token_s.get_or_create(labels).observe(seconds);
    }

    /// Counts a complete answer and records its time.
    pub(crate) fn record_answer(&self, labels: &ClassLabels, seconds: f64) {
        self.whole_time_s.get_or_create(labels).observe(seconds);
        self.answers.get_or_create(labels).inc();
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, code: RefusalCode) {
        self.refusals
            .get_or_create(&CodeLabels {
                code: code.as_str(),
            })
            .inc();
    }

    /// Raises a control byte counter to a total that is counted elsewhere.
    pub(crate) fn set_control_bytes(&self, kind: &'static str, total: u64) {
        let counter = self.control_bytes.get_or_create(&KindLabels { kind });
        counter.inc_by(total.saturating_sub(counter.get()));
    }

    /// Encodes the metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n# EOF\n"),
        }
    }

    /// Sets what clients hold, and what was closed or refused for it.
    pub(crate) fn set_client_usage(&self, clients: &ClientResources) {
        self.client_bytes.set(clients.memory.used_bytes() as i64);
        let counts = &clients.counts;
        let counters = [
            (&self.closed_connections, counts.closed_connections()),
            (&self.reclaimed_bodies, counts.reclaimed_bodies()),
            (&self.refused_bodies, counts.refused_bodies()),
        ];
        for (counter, count) in counters {
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    fn register_unlabeled(&mut self) {
        let counters = [
            (
                "retries",
                "Attempts beyond a request's first",
                &self.retries,
            ),
            (
                "crossed_replies",
                "Late or crossed replies dropped",
                &self.crossed_replies,
            ),
            (
                "rejected_peer_messages",
                "Foreign or malformed peer messages",
                &self.rejected_peer_messages,
            ),
            (
                "unusable_rows",
                "Rows of the platform that could not be used",
                &self.unusable_rows,
            ),
            (
                "closed_client_connections",
                "Idle connections closed, as others needed their places",
                &self.closed_connections,
            ),
            (
                "reclaimed_bodies",
                "Stalled bodies given up, as others needed their memory",
                &self.reclaimed_bodies,
            ),
            (
                "refused_bodies",
                "Bodies for which there was no memory",
                &self.refused_bodies,
            ),
            (
                "prompt_tokens",
                "Prompt tokens of answered requests",
                &self.prompt_tokens,
            ),
            (
                "cached_tokens",
                "Prompt tokens found in a cache",
                &self.cached_tokens,
            ),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
        self.registry
            .register("in_flight", "Requests in flight", self.in_flight.clone());
        self.registry.register(
            "client_bytes",
            "Bytes that clients make the process hold, as accounted for",
            self.client_bytes.clone(),
        );
        self.registry.register(
            "config_version",
            "Configuration version in force",
            self.config_version.clone(),
        );
    }
}
