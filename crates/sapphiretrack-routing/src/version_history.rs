//! Which versions of servers' software new streams of a route could begin at lately, as one router knows
//! it.

use std::collections::{BTreeSet, HashMap, HashSet};

use sapphiretrack_core::hash_parts;

use crate::{
    Configuration, OriginEvidence, RequestKind, ServerEntry, SoftwareVersion, SoleVersion,
    SoleVersions, StoredRoutes, Target,
};

/// The versions of the listed servers of each service, now and lately, and whether routes of streams that
/// may be taken up changed lately.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    services: HashMap<String, ServiceVersions>,
    /// Since when the list of servers has been known.
    known_since_ms: Option<u64>,
    /// How long after its first event a stream may still be taken up.
    retention_ms: u64,
    /// A shorter time that counts from a local time on: until then streams that began before may be taken up.
    next_retention: Option<(u64, u64)>,
    /// Digest of the routes of streams that may be taken up; `None` before the first configuration.
    routes_digest: Option<u64>,
    /// Since when it has been this.
    routes_since_ms: u64,
    routes_changed_ms: Option<u64>,
    /// The services of these routes.
    stream_services: BTreeSet<String>,
}

/// What a list of servers changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListedChange {
    /// Whether a version appeared or disappeared.
    pub has_changed: bool,
    /// The versions that appeared, with their services.
    pub appeared: Vec<(String, SoftwareVersion)>,
    /// Whether this was the first list, by which all versions appeared.
    pub is_first: bool,
}

#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    listed: HashSet<SoftwareVersion>,
    /// Since when these versions have been listed.
    listed_since_ms: u64,
    /// When versions were last listed that no longer are.
    unlisted_ms: HashMap<SoftwareVersion, u64>,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self {
            services: HashMap::new(),
            known_since_ms: None,
            retention_ms: Self::MIN_RETENTION_MS,
            next_retention: None,
            routes_digest: None,
            routes_since_ms: 0,
            routes_changed_ms: None,
            stream_services: BTreeSet::new(),
        }
    }
}

impl VersionHistory {
    /// Minimum time in milliseconds for which a stream may be taken up after its first event.
    pub const MIN_RETENTION_MS: u64 = 10_000;
    /// How long a stream may be taken up, as a multiple of the longest timeout of the routes: the caller's
    /// last attempt may begin when the first one has used up its time.
    const RETENTION_TIMEOUTS: u64 = 2;
    /// Allowance for the write of a version that has settled: the interval at which it is compared, and the call.
    const WRITE_ALLOWANCE_MS: u64 = 3_000;

    /// Records the servers that are listed now. Returns what changed.
    pub fn record_listed<'a, Listed>(&mut self, listed: Listed, now_ms: u64) -> ListedChange
    where
        Listed: IntoIterator<Item = &'a ServerEntry>,
    {
        let is_first = self.known_since_ms.is_none();
        self.known_since_ms.get_or_insert(now_ms);
        let mut current: HashMap<&str, HashSet<SoftwareVersion>> = HashMap::new();
        for entry in listed {
            let versions = current.entry(&entry.service).or_default();
            versions.insert(entry.software());
        }
        for service in current.keys() {
            if !self.services.contains_key(*service) {
                let empty = ServiceVersions::default();
                self.services.insert((*service).to_owned(), empty);
            }
        }
        let mut change = ListedChange {
            is_first,
            ..ListedChange::default()
        };
        for (service, versions) in &mut self.services {
            let listed = current.remove(service.as_str()).unwrap_or_default();
            if listed == versions.listed {
                continue;
            }
            change.has_changed = true;
            let appeared = listed.difference(&versions.listed);
            let appeared = appeared.map(|software| (service.clone(), *software));
            change.appeared.extend(appeared);
            let unlisted = versions.listed.difference(&listed);
            let unlisted = unlisted.map(|version| (*version, now_ms));
            versions.unlisted_ms.extend(unlisted);
            versions.listed = listed;
            versions.listed_since_ms = now_ms;
        }
        change
    }

    /// Returns whether streams that may be taken up begin at a service.
    pub fn has_streams(&self, service: &str) -> bool {
        self.stream_services.contains(service)
    }

    /// Returns the versions of the listed servers of a service.
    pub fn listed(&self, service: &str) -> HashSet<SoftwareVersion> {
        let versions = self.services.get(service);
        versions.map_or_else(HashSet::new, |versions| versions.listed.clone())
    }

    /// Returns what the store should keep, by what this router has listed: a service keeps its version while
    /// only that is listed, loses it once another one is, and gets one that has been the only one for
    /// `settle_ms`. Nothing is kept if that is 0.
    pub fn revise(
        &self,
        stored: &SoleVersions,
        settle_ms: u64,
        now_ms: u64,
        store_now_ms: u64,
    ) -> SoleVersions {
        if settle_ms == 0 {
            return SoleVersions::default();
        }
        let has_settled = |since_ms: u64| now_ms >= since_ms.saturating_add(settle_ms);
        let mut revised = SoleVersions {
            routes: self.routes_digest.and_then(|digest| {
                let new = has_settled(self.routes_since_ms).then_some(StoredRoutes {
                    digest,
                    since_store_ms: store_now_ms,
                });
                stored
                    .routes
                    .filter(|stored| stored.digest == digest)
                    .or(new)
            }),
            ..SoleVersions::default()
        };
        for service in &self.stream_services {
            let kept = stored.services.get(service).copied();
            let versions = self.services.get(service);
            let sole = match versions.filter(|versions| !versions.listed.is_empty()) {
                Some(versions) => versions.sole().and_then(|software| {
                    let new = has_settled(versions.listed_since_ms).then_some(SoleVersion {
                        software,
                        since_store_ms: store_now_ms,
                    });
                    kept.filter(|kept| kept.software == software).or(new)
                }),
                // Streams cannot begin elsewhere meanwhile.
                None => kept,
            };
            if let Some(sole) = sole {
                revised.services.insert(service.clone(), sole);
            }
        }
        revised
    }

    /// Records a configuration. Returns whether routes of streams that may be taken up changed.
    pub fn record_configuration(&mut self, configuration: &Configuration, now_ms: u64) -> bool {
        let (mut digest, mut longest_ms) = (0, 0);
        self.stream_services.clear();
        for route in configuration.routes() {
            if route.kind != (RequestKind::Stream { resumable: true }) {
                continue;
            }
            longest_ms = longest_ms.max(route.timeout_ms);
            let mut parts = vec![route.host.as_bytes(), route.prefix.as_bytes()];
            let services = route.targets.iter().map(|target| &target.service);
            self.stream_services.extend(services.clone().cloned());
            parts.extend(services.map(|service| service.as_bytes()));
            // Addition does not depend on the order of the routes.
            digest = hash_parts(&parts).wrapping_add(digest);
        }
        let retention_ms = longest_ms.saturating_mul(Self::RETENTION_TIMEOUTS);
        let retention_ms = retention_ms.max(Self::MIN_RETENTION_MS);
        if retention_ms < self.retention_ms {
            let (_, from_ms) = self.next_retention.unwrap_or_default();
            let from_ms = from_ms.max(now_ms + self.retention_ms);
            self.next_retention = Some((retention_ms, from_ms));
        } else {
            self.retention_ms = retention_ms;
            self.next_retention = None;
        }
        let before = self.routes_digest.replace(digest);
        if before != Some(digest) {
            self.routes_since_ms = now_ms;
        }
        let has_changed = before.is_some_and(|before| before != digest);
        if has_changed {
            self.routes_changed_ms = Some(now_ms);
        }
        has_changed
    }

    /// Returns how long after its first event a stream may be taken up, in milliseconds.
    pub fn retention_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Returns the evidence about a stream without a record whose route has these targets, by what this router has
    /// listed. `is_current` states whether no newer list of servers is likely to exist.
    pub fn evidence(&self, targets: &[Target], is_current: bool, now_ms: u64) -> OriginEvidence {
        let versions = self.versions_lately(targets, now_ms);
        if versions.len() > 1 || self.routes_changed_after(now_ms, self.retention_ms) {
            return OriginEvidence::Several;
        }
        let is_short = |since_ms: u64| now_ms < since_ms.saturating_add(self.retention_ms);
        let is_known = !self.known_since_ms.is_none_or(is_short);
        match versions.into_iter().next() {
            Some(version) if is_current && is_known => OriginEvidence::Only(version),
            version => OriginEvidence::Lately(version),
        }
    }

    /// Returns the evidence about a stream without a record by what the store kept after the stream had begun. No
    /// stream begins at a version that the store contradicts, so that this does not depend on how old the list of
    /// servers is; what this router has listed can only speak against it.
    pub fn stored_evidence(
        &self,
        targets: &[Target],
        stored: &SoleVersions,
        store_now_ms: u64,
        now_ms: u64,
    ) -> OriginEvidence {
        let mut versions = self.versions_lately(targets, now_ms);
        let kept = targets
            .iter()
            .filter_map(|target| stored.services.get(&target.service));
        versions.extend(kept.map(|kept| kept.software));
        if versions.len() > 1 || self.routes_changed_after(now_ms, self.retention_ms) {
            return OriginEvidence::Several;
        }
        match versions.into_iter().next() {
            Some(version) if self.is_stored(stored, targets, store_now_ms) => {
                OriginEvidence::Only(version)
            }
            version => OriginEvidence::Lately(version),
        }
    }

    /// Returns whether these targets have had servers of one version for so long that the store keeps it, and will have
    /// kept it for as long as streams may be taken up, if it keeps what has been so for `settle_ms`.
    pub fn is_long_sole(&self, targets: &[Target], settle_ms: u64, now_ms: u64) -> bool {
        let age_ms = (self.retention_ms + settle_ms).saturating_add(Self::WRITE_ALLOWANCE_MS);
        let is_short = |since_ms: u64| now_ms < since_ms.saturating_add(age_ms);
        let services = targets.iter().map(|target| &target.service);
        let services: Vec<&ServiceVersions> = services
            .filter_map(|name| self.services.get(name))
            .collect();
        !self.known_since_ms.is_none_or(is_short)
            && !self.routes_changed_after(now_ms, age_ms)
            && !services.iter().any(|one| is_short(one.listed_since_ms))
            && self.versions_lately(targets, now_ms).len() == 1
    }

    /// The versions of these targets that are listed, or were while streams that may still be taken up began.
    fn versions_lately(&self, targets: &[Target], now_ms: u64) -> HashSet<SoftwareVersion> {
        let is_recent = |at_ms: u64| now_ms < at_ms.saturating_add(self.retention_ms);
        let mut versions: HashSet<SoftwareVersion> = HashSet::new();
        for target in targets {
            let Some(service) = self.services.get(&target.service) else {
                continue;
            };
            let unlisted = service.unlisted_ms.iter();
            let unlisted = unlisted.filter(|(_, at_ms)| is_recent(**at_ms));
            versions.extend(unlisted.map(|(version, _)| *version));
            versions.extend(&service.listed);
        }
        versions
    }

    /// Whether routes of streams that may be taken up changed less than `age_ms` ago.
    fn routes_changed_after(&self, now_ms: u64, age_ms: u64) -> bool {
        let changed_ms = self.routes_changed_ms;
        changed_ms.is_some_and(|changed_ms| now_ms < changed_ms.saturating_add(age_ms))
    }

    /// Whether the store has kept the routes and a version of each of these targets for as long as a stream may
    /// be taken up.
    fn is_stored(&self, stored: &SoleVersions, targets: &[Target], store_now_ms: u64) -> bool {
        let is_old = |since_ms: u64| store_now_ms >= since_ms.saturating_add(self.retention_ms);
        let has_routes = stored.routes.is_some_and(|routes| {
            Some(routes.digest) == self.routes_digest && is_old(routes.since_store_ms)
        });
        let is_kept = |target: &Target| {
            let kept = stored.services.get(&target.service);
            kept.is_some_and(|kept| is_old(kept.since_store_ms))
        };
        has_routes && targets.iter().all(is_kept)
    }

    /// Forgets versions that no stream which may be taken up began at.
    pub fn expire(&mut self, now_ms: u64) {
        if let Some((retention_ms, _)) = self
            .next_retention
            .take_if(|(_, from_ms)| now_ms >= *from_ms)
        {
            self.retention_ms = retention_ms;
        }
        for service in self.services.values_mut() {
            service
                .unlisted_ms
                .retain(|_, at_ms| now_ms < at_ms.saturating_add(self.retention_ms));
        }
        self.services
            .retain(|_, one| !one.listed.is_empty() || !one.unlisted_ms.is_empty());
    }
}

impl ServiceVersions {
    /// The only listed version; none if several are.
    fn sole(&self) -> Option<SoftwareVersion> {
        let mut listed = self.listed.iter();
        let first = listed.next()?;
        listed.next().is_none().then_some(*first)
    }
}
