//! A request on its way: what its attempts need, and how it ended.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use sapphiretrack_routing::{Fingerprint, Outline, RequestFacts, RequestIdentity, Route};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::metrics::RequestLabels;
use crate::ports::Interface;
use crate::shared::{BodyMemory, InFlight, Shared};

/// A request on its way, with all that attempts need.
pub(crate) struct Job {
    /// The router.
    pub(crate) shared: Arc<Shared>,
    /// How callers and servers speak.
    pub(crate) interface: Interface,
    /// The request's facts.
    pub(crate) facts: RequestFacts,
    /// Its method.
    pub(crate) method: Method,
    /// Its path and query.
    pub(crate) uri: Uri,
    /// Its headers, without those of the connection.
    pub(crate) headers: HeaderMap,
    /// Its whole body.
    pub(crate) body: Bytes,
    /// The tenant's name.
    pub(crate) tenant: Option<String>,
    /// Its rank.
    pub(crate) priority: u8,
    /// The terms of its route.
    pub(crate) route: Route,
    /// The service that it goes to.
    pub(crate) service: String,
    /// Its fingerprint, once it was asked for.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    /// Labels of its metrics.
    pub(crate) labels: RequestLabels,
    /// Whether the log tells all of it; failures are always told.
    pub(crate) logs_all: bool,
    /// When it came.
    pub(crate) arrived_ms: u64,
    /// When its caller waits no longer.
    pub(crate) ends_ms: u64,
    /// Whether the log tells how it ended.
    pub(crate) has_ended: AtomicBool,
    /// Counts it.
    pub(crate) _in_flight: InFlight,
    /// Counts its body.
    pub(crate) _body_memory: BodyMemory,
}

impl Job {
    /// Notes that the log tells how the request ended.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// What it has in common with copies of it that come under other ids.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&self.identity()))
    }

    /// The cheap part of its fingerprint.
    pub(crate) fn outline(&self) -> Outline {
        Outline::of(&self.identity())
    }

    fn identity(&self) -> RequestIdentity<'_> {
        let path = self.uri.path_and_query();
        RequestIdentity {
            caller: self.tenant.as_deref().unwrap_or_default(),
            method: self.method.as_str(),
            host: &self.facts.host,
            path: path.map_or("", |path| path.as_str()),
            body: &self.body,
        }
    }

    /// How long the caller still waits.
    pub(crate) fn left_ms(&self) -> u64 {
        self.ends_ms.saturating_sub(Clock.now_ms())
    }

    /// How long ago the request came.
    pub(crate) fn age_ms(&self) -> u64 {
        Clock.now_ms().saturating_sub(self.arrived_ms)
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        // Whoever drops a request that has not ended does so because its caller left.
        if !self.has_ended.load(Ordering::Relaxed) {
            self.shared.metrics.failed("caller-left");
            note!(
                Event::CALLER_LEFT,
                id = self.facts.id,
                age_ms = self.age_ms()
            );
        }
    }
}
