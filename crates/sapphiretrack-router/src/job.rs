//! An accepted request: the data that its attempts need, and whether its outcome was logged.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, Version};
use sapphiretrack_clients::HeldMemory;
use sapphiretrack_routing::{
    Fingerprint, Origin, Outline, PromptPrefix, RequestFacts, RequestIdentity, Route,
    SoftwareVersion,
};

use crate::activity::InFlight;
use crate::clock::Clock;
use crate::events::{Event, note};
use crate::metrics::RequestLabels;
use crate::peer_hop::HopRequest;
use crate::ports::Interface;
use crate::shared::Shared;

/// An accepted request with everything that its attempts need.
pub(crate) struct Job {
    /// The state of the router.
    pub(crate) shared: Arc<Shared>,
    /// How headers of callers and backend servers are read and written.
    pub(crate) interface: Interface,
    /// The decoded facts of the request.
    pub(crate) facts: RequestFacts,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and the query.
    pub(crate) uri: Uri,
    /// The HTTP version of the caller.
    pub(crate) version: Version,
    /// The headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
    /// The name of the caller's tenant; none for an anonymous request.
    pub(crate) tenant: Option<String>,
    /// The regions that the tenant allows; all if empty.
    pub(crate) tenant_regions: Vec<String>,
    /// The priority; 0 is the highest.
    pub(crate) priority: u8,
    /// The route that it matched.
    pub(crate) route: Route,
    /// The name of the service that it goes to.
    pub(crate) service: String,
    /// The fingerprint, computed on first use.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    /// The fingerprints of its prompt's prefixes, computed on first use.
    pub(crate) prefixes: OnceLock<Vec<Fingerprint>>,
    /// Whether its workspace asks for more than its share of a plain service, as of its first placement.
    pub(crate) is_over_share: OnceLock<bool>,
    /// The version of the software that began its stream, once an event was passed on and the stream has to
    /// go on elsewhere, or the caller has one of an earlier attempt.
    pub(crate) required_origin: OnceLock<Origin>,
    /// The labels of its metrics.
    pub(crate) labels: RequestLabels,
    /// Whether its normal events are logged; failures always are.
    pub(crate) is_log_sampled: bool,
    /// When it arrived, by the local clock.
    pub(crate) arrived_ms: u64,
    /// When the caller's deadline or the route's timeout passes, by the local clock.
    pub(crate) expires_ms: u64,
    /// Whether its outcome was recorded.
    pub(crate) has_ended: AtomicBool,
    /// Whether a server may have run it, also while it is being sent.
    pub(crate) may_have_run: AtomicBool,
    /// What the router stated that passed it on; none for a request of a caller.
    pub(crate) hop: Option<HopRequest>,
    /// Counts the request as in flight until it is dropped.
    pub(crate) _in_flight: InFlight,
    /// Accounts for the memory of the request and of its body until it is dropped.
    pub(crate) _memory: (HeldMemory, Option<HeldMemory>),
}

/// The number of prompt prefixes of a request that may be found to crash servers, which bounds what one
/// request adds to the evidence.
const MAX_SUSPECTED_PREFIXES: usize = 64;

impl Job {
    /// Records that the request's outcome is known, so that it does not count as abandoned.
    pub(crate) fn mark_ended(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// The fingerprint, which is the same for copies of the request under other ids.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&self.identity()))
    }

    /// The fingerprints of the prefixes of its prompt that other requests may share.
    pub(crate) fn prefixes(&self) -> &[Fingerprint] {
        self.prefixes.get_or_init(|| {
            let shared = self.facts.shared_prefixes().iter();
            let shared = shared.take(MAX_SUSPECTED_PREFIXES);
            shared
                .map(|prefix| Fingerprint::of_prefix(&self.service, prefix.id))
                .collect()
        })
    }

    /// The part of the fingerprint that is cheap to compute.
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

    /// The version of the software that servers must run to get it; none if they may run any.
    pub(crate) fn required_software(&self) -> Option<SoftwareVersion> {
        self.required_origin.get().map(|origin| origin.software)
    }

    /// The time left until the deadline.
    pub(crate) fn left_ms(&self) -> u64 {
        self.expires_ms.saturating_sub(Clock.now_ms())
    }

    /// The time since the request arrived.
    pub(crate) fn age_ms(&self) -> u64 {
        Clock.now_ms().saturating_sub(self.arrived_ms)
    }
}

/// The ids of prompt prefixes as they appear in the log, separated by commas.
pub(crate) struct PrefixIds<'a>(pub(crate) &'a [PromptPrefix]);

impl PrefixIds<'_> {
    /// The number of ids that are logged; the rest is only counted.
    const MAX_LOGGED: usize = 8;
}

impl fmt::Display for PrefixIds<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("-");
        }
        for (index, prefix) in self.0.iter().take(Self::MAX_LOGGED).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{:x}", prefix.id)?;
        }
        match self.0.len().saturating_sub(Self::MAX_LOGGED) {
            0 => Ok(()),
            more => write!(formatter, "+{more}"),
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        // A request without an outcome is dropped only because its caller disconnected.
        if !self.has_ended.load(Ordering::Relaxed) {
            self.shared.metrics.count_failure("caller-left");
            note!(
                Event::CALLER_DISCONNECTED,
                id = self.facts.id,
                age_ms = self.age_ms()
            );
        }
    }
}
