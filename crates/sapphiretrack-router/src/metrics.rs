//! Prometheus metrics, with a bounded number of label sets.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::client_limits::ClientUsage;

/// The most pairs of tenant and route that have labels of their own.
const MAX_LABEL_SETS: usize = 256;
/// The label value of all further tenants and routes.
const OTHER_LABEL: &str = "other";

/// The labels of a tenant's requests on a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestLabels {
    tenant: String,
    route: String,
}

/// The label of a reason, from a fixed set.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabels {
    reason: &'static str,
}

/// The labels of a call to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StoreCallLabels {
    listing: &'static str,
    reason: &'static str,
}

/// The label of a listing of the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ListingLabels {
    listing: &'static str,
}

/// The label of a service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    service: String,
}

/// The labels of a decision on a request for a slot.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct SlotDecisionLabels {
    service: String,
    decision: &'static str,
}

/// All metrics of a router.
pub(crate) struct Metrics {
    registry: Registry,
    label_sets: Mutex<BTreeSet<RequestLabels>>,
    first_piece_s: Family<RequestLabels, Histogram>,
    whole_s: Family<RequestLabels, Histogram>,
    pause_s: Family<RequestLabels, Histogram>,
    refusals: Family<ReasonLabels, Counter>,
    failures: Family<ReasonLabels, Counter>,
    repeats: Family<ReasonLabels, Counter>,
    relays: Family<ReasonLabels, Counter>,
    store_calls: Family<StoreCallLabels, Counter>,
    unusable_records: Family<ListingLabels, Counter>,
    placements: Family<ReasonLabels, Counter>,
    stream_origins: Family<ReasonLabels, Counter>,
    slot_queue_length: Family<ServiceLabels, Gauge>,
    slot_wait_ms: Family<ServiceLabels, Histogram>,
    slot_decisions: Family<SlotDecisionLabels, Counter>,
    dropped_lines: Counter,
    unbuffered_answers: Counter,
    held_answer_bytes: Gauge,
    client_bytes: Gauge,
    client_connections: Gauge,
    closed_connections: Counter,
    reclaimed_bodies: Counter,
    refused_bodies: Counter,
    stream_records: Gauge,
    evicted_stream_records: Counter,
    configuration_version: Gauge,
    configuration_age_ms: Gauge,
    servers_age_ms: Gauge,
    servers: Gauge,
    cold_servers: Gauge,
    paused_servers: Gauge,
    brittle_services: Gauge,
    evacuated_zones: Gauge,
    server_path_lost: Gauge,
    server_requests: Gauge,
    busiest_server_requests: Gauge,
    ready_peers: Gauge,
    in_flight: Gauge,
}

/// Gauge values that are read when the metrics are scraped.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GaugeValues {
    /// The version of the configuration in force.
    pub(crate) configuration_version: u64,
    /// The age of the last proof that the configuration is the newest; -1 before the first.
    pub(crate) configuration_age_ms: i64,
    /// The age of the last proof that the list of backend servers is the newest; -1 before the
    /// first.
    pub(crate) servers_age_ms: i64,
    /// Backend servers that take work.
    pub(crate) servers: usize,
    /// Backend servers that count as cold.
    pub(crate) cold_servers: usize,
    /// Backend servers that asked this router for a pause that lasts.
    pub(crate) paused_servers: usize,
    /// Services whose servers state that they are brittle.
    pub(crate) brittle_services: usize,
    /// Availability zones that are evacuated.
    pub(crate) evacuated_zones: usize,
    /// Whether this router opens no connection to any backend server.
    pub(crate) is_server_path_lost: bool,
    /// Requests of all routers at backend servers, as estimated from the reported loads.
    pub(crate) server_requests: u32,
    /// The same at the busiest server.
    pub(crate) busiest_server_requests: u32,
    /// Other routers that are ready.
    pub(crate) ready_peers: usize,
    /// Requests in flight at this router.
    pub(crate) in_flight: usize,
    /// Bytes of answers that callers have not taken yet.
    pub(crate) held_answer_bytes: usize,
    /// What clients hold, and what was closed or refused for it.
    pub(crate) clients: ClientUsage,
    /// Records of streams that callers may take up.
    pub(crate) stream_records: usize,
    /// Such records that were dropped since the process started because there were too many.
    pub(crate) evicted_stream_records: u64,
    /// Log lines dropped since the process started.
    pub(crate) dropped_lines: u64,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 13));
        let slot_waits: fn() -> Histogram = || Histogram::new(exponential_buckets(1.0, 2.0, 13));
        let mut metrics = Self {
            registry: Registry::with_prefix("sapphiretrack"),
            label_sets: Mutex::default(),
            first_piece_s: Family::new_with_constructor(histogram),
            whole_s: Family::new_with_constructor(histogram),
            pause_s: Family::new_with_constructor(histogram),
            refusals: Family::default(),
            failures: Family::default(),
            repeats: Family::default(),
            relays: Family::default(),
            store_calls: Family::default(),
            unusable_records: Family::default(),
            placements: Family::default(),
            stream_origins: Family::default(),
            slot_queue_length: Family::default(),
            slot_wait_ms: Family::new_with_constructor(slot_waits),
            slot_decisions: Family::default(),
            dropped_lines: Counter::default(),
            unbuffered_answers: Counter::default(),
            held_answer_bytes: Gauge::default(),
            client_bytes: Gauge::default(),
            client_connections: Gauge::default(),
            closed_connections: Counter::default(),
            reclaimed_bodies: Counter::default(),
            refused_bodies: Counter::default(),
            stream_records: Gauge::default(),
            evicted_stream_records: Counter::default(),
            configuration_version: Gauge::default(),
            configuration_age_ms: Gauge::default(),
            servers_age_ms: Gauge::default(),
            servers: Gauge::default(),
            cold_servers: Gauge::default(),
            paused_servers: Gauge::default(),
            brittle_services: Gauge::default(),
            evacuated_zones: Gauge::default(),
            server_path_lost: Gauge::default(),
            server_requests: Gauge::default(),
            busiest_server_requests: Gauge::default(),
            ready_peers: Gauge::default(),
            in_flight: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the labels of a tenant's requests on a route, or the common ones once there are
    /// `MAX_LABEL_SETS`.
    pub(crate) fn labels(&self, tenant: &str, route: &str) -> RequestLabels {
        let labels = RequestLabels {
            tenant: tenant.to_owned(),
            route: route.to_owned(),
        };
        let known = self.label_sets.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        if known.contains(&labels) || known.len() < MAX_LABEL_SETS {
            known.insert(labels.clone());
            return labels;
        }
        RequestLabels {
            tenant: OTHER_LABEL.to_owned(),
            route: OTHER_LABEL.to_owned(),
        }
    }

    /// Records the time to the first piece of an answer.
    pub(crate) fn observe_first_piece(&self, labels: &RequestLabels, took_ms: u64) {
        let histogram = self.first_piece_s.get_or_create(labels);
        histogram.observe(took_ms as f64 / 1_000.0);
    }

    /// Records the time to the end of an answer.
    pub(crate) fn observe_whole(&self, labels: &RequestLabels, took_ms: u64) {
        let histogram = self.whole_s.get_or_create(labels);
        histogram.observe(took_ms as f64 / 1_000.0);
    }

    /// Records the time between two pieces of a stream.
    pub(crate) fn observe_pause(&self, labels: &RequestLabels, took_ms: u64) {
        let histogram = self.pause_s.get_or_create(labels);
        histogram.observe(took_ms as f64 / 1_000.0);
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a request that failed and may have run.
    pub(crate) fn count_failure(&self, reason: &'static str) {
        self.failures.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts an attempt beyond a request's first.
    pub(crate) fn count_repeat(&self, reason: &'static str) {
        self.repeats.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a request that was passed to another router, by its outcome.
    pub(crate) fn count_relay(&self, reason: &'static str) {
        self.relays.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts an answer that was not read completely before it was forwarded because it did not fit
    /// into the budget.
    pub(crate) fn count_unbuffered_answer(&self) {
        self.unbuffered_answers.inc();
    }

    /// Counts a record of the store that its listing cannot use.
    pub(crate) fn count_unusable_record(&self, listing: &'static str) {
        let labels = ListingLabels { listing };
        self.unusable_records.get_or_create(&labels).inc();
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, listing: &'static str, reason: &'static str) {
        let labels = StoreCallLabels { listing, reason };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Counts a placement, by whether the server is expected to have the prompt cached (`warm` or
    /// `cold`).
    pub(crate) fn count_placement(&self, reason: &'static str) {
        self.placements
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a stream that a caller takes up, by how its version was found.
    pub(crate) fn count_stream_origin(&self, reason: &'static str) {
        self.stream_origins
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Records the decision on a request for a slot, and how long it waited for that.
    pub(crate) fn observe_slot_decision(
        &self,
        service: &str,
        decision: &'static str,
        wait_ms: u64,
    ) {
        let service = service.to_owned();
        let labels = ServiceLabels {
            service: service.clone(),
        };
        let histogram = self.slot_wait_ms.get_or_create(&labels);
        histogram.observe(wait_ms as f64);
        let labels = SlotDecisionLabels { service, decision };
        self.slot_decisions.get_or_create(&labels).inc();
    }

    /// Sets the number of requests that wait for slots of a service that this router assigns.
    pub(crate) fn set_slot_queue_length(&self, service: &str, waiting: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let gauge = self.slot_queue_length.get_or_create(&labels);
        gauge.set(waiting as i64);
    }

    /// Encodes the metrics in the text format.
    pub(crate) fn encode(&self, gauges: &GaugeValues) -> String {
        self.configuration_version
            .set(gauges.configuration_version as i64);
        self.configuration_age_ms.set(gauges.configuration_age_ms);
        self.servers_age_ms.set(gauges.servers_age_ms);
        self.servers.set(gauges.servers as i64);
        self.cold_servers.set(gauges.cold_servers as i64);
        self.paused_servers.set(gauges.paused_servers as i64);
        self.brittle_services.set(gauges.brittle_services as i64);
        self.evacuated_zones.set(gauges.evacuated_zones as i64);
        self.server_path_lost
            .set(i64::from(gauges.is_server_path_lost));
        self.server_requests.set(i64::from(gauges.server_requests));
        let busiest = i64::from(gauges.busiest_server_requests);
        self.busiest_server_requests.set(busiest);
        self.ready_peers.set(gauges.ready_peers as i64);
        self.in_flight.set(gauges.in_flight as i64);
        self.held_answer_bytes.set(gauges.held_answer_bytes as i64);
        self.set_client_usage(&gauges.clients);
        self.stream_records.set(gauges.stream_records as i64);
        let evicted = gauges
            .evicted_stream_records
            .saturating_sub(self.evicted_stream_records.get());
        self.evicted_stream_records.inc_by(evicted);
        let dropped = gauges
            .dropped_lines
            .saturating_sub(self.dropped_lines.get());
        self.dropped_lines.inc_by(dropped);
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n# EOF\n"),
        }
    }

    fn set_client_usage(&self, usage: &ClientUsage) {
        self.client_bytes.set(usage.bytes as i64);
        self.client_connections.set(usage.connections as i64);
        let counters = [
            (&self.closed_connections, usage.closed_connections),
            (&self.reclaimed_bodies, usage.reclaimed_bodies),
            (&self.refused_bodies, usage.refused_bodies),
        ];
        for (counter, count) in counters {
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let times = [
            (
                "first_piece_seconds",
                "Time to the first piece of an answer",
                &self.first_piece_s,
            ),
            (
                "whole_seconds",
                "Time to the end of an answer",
                &self.whole_s,
            ),
            (
                "pause_seconds",
                "Time between two pieces of a stream",
                &self.pause_s,
            ),
        ];
        for (name, help, family) in times {
            registry.register(name, help, family.clone());
        }
        let reasons = [
            ("refusals", "Requests refused as not run", &self.refusals),
            (
                "failures",
                "Requests that failed and may have run",
                &self.failures,
            ),
            ("repeats", "Attempts beyond the first", &self.repeats),
            (
                "relays",
                "Requests passed to other routers, by outcome",
                &self.relays,
            ),
            (
                "placements",
                "Placements by the state of the cache",
                &self.placements,
            ),
            (
                "streams_taken_up",
                "Streams that callers took up, by how the version that began them was found",
                &self.stream_origins,
            ),
        ];
        for (name, help, family) in reasons {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "slot_queue_length",
            "Requests that wait for slots that this router assigns",
            self.slot_queue_length.clone(),
        );
        registry.register(
            "slot_wait_ms",
            "Time until the decision on a request for a slot",
            self.slot_wait_ms.clone(),
        );
        registry.register(
            "slot_decisions",
            "Decisions on requests for slots",
            self.slot_decisions.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Log lines dropped",
            self.dropped_lines.clone(),
        );
        registry.register(
            "unusable_records",
            "Records of the store that cannot be used, each time they are read",
            self.unusable_records.clone(),
        );
        registry.register(
            "unbuffered_answers",
            "Answers forwarded before they were complete, for lack of memory",
            self.unbuffered_answers.clone(),
        );
        registry.register(
            "evicted_stream_records",
            "Records of streams dropped because there were too many",
            self.evicted_stream_records.clone(),
        );
        let counters = [
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
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            (
                "client_bytes",
                "Bytes that clients make this process hold, as accounted for",
                &self.client_bytes,
            ),
            (
                "client_connections",
                "Open connections of clients",
                &self.client_connections,
            ),
            (
                "stream_records",
                "Records of streams that callers may take up",
                &self.stream_records,
            ),
            (
                "configuration_version",
                "Version in force",
                &self.configuration_version,
            ),
            (
                "configuration_age_ms",
                "Age of its last proof",
                &self.configuration_age_ms,
            ),
            (
                "servers_age_ms",
                "Age of the last proof of the list of backend servers",
                &self.servers_age_ms,
            ),
            ("servers", "Backend servers that take work", &self.servers),
            (
                "cold_servers",
                "Backend servers that are cold",
                &self.cold_servers,
            ),
            (
                "paused_servers",
                "Backend servers that asked this router for a pause",
                &self.paused_servers,
            ),
            (
                "brittle_services",
                "Services whose servers state that they are brittle",
                &self.brittle_services,
            ),
            (
                "evacuated_zones",
                "Availability zones that are evacuated",
                &self.evacuated_zones,
            ),
            (
                "server_path_lost",
                "Whether no connection to any backend server opens",
                &self.server_path_lost,
            ),
            (
                "server_requests",
                "Requests of all routers at backend servers",
                &self.server_requests,
            ),
            (
                "busiest_server_requests",
                "Requests of all routers at the busiest backend server",
                &self.busiest_server_requests,
            ),
            (
                "ready_peers",
                "Other routers that are ready",
                &self.ready_peers,
            ),
            ("in_flight", "Requests that run", &self.in_flight),
            (
                "held_answer_bytes",
                "Bytes of answers that callers have not taken yet",
                &self.held_answer_bytes,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
