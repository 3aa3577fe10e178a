//! Differences between versions of the configuration, so that routers exchange only what changed.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ClientLimits, Configuration, RequestKind, Route, Service, Target, Tenant};

/// The difference between two versions of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationChange {
    /// Version that the change applies to; 0 is [`Configuration::default`].
    pub before: u64,
    /// Version that results from it.
    pub version: u64,
    limits: ClientLimits,
    requires_keys: bool,
    /// Prefixes by host.
    removed_routes: HashMap<String, Vec<String>>,
    routes: Vec<RouteGroup>,
    removed_services: Vec<String>,
    services: Vec<Service>,
    removed_keys: Vec<String>,
    keys: Vec<KeyGroup>,
}

/// Routes of a host that differ only in name and prefix. Thousands of routes share few distinct
/// terms.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RouteGroup {
    host: String,
    terms: RouteTerms,
    /// Prefix and name of each route.
    routes: Vec<(String, String)>,
}

/// The fields of a route besides its name, host and prefix.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct RouteTerms {
    kind: RequestKind,
    timeout_ms: u64,
    objective_ms: u64,
    priority: u8,
    targets: Vec<Target>,
    max_attempts: u32,
    anonymous: bool,
    allowed_regions: Vec<String>,
}

/// New or changed keys of a tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct KeyGroup {
    tenant: Arc<Tenant>,
    keys: Vec<String>,
}

impl RouteTerms {
    fn of(route: &Route) -> Self {
        Self {
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets.clone(),
            max_attempts: route.max_attempts,
            anonymous: route.anonymous,
            allowed_regions: route.allowed_regions.clone(),
        }
    }

    fn route(&self, host: &str, prefix: String, name: String) -> Route {
        let Self {
            kind,
            timeout_ms,
            objective_ms,
            priority,
            ref targets,
            max_attempts,
            anonymous,
            ref allowed_regions,
        } = *self;
        Route {
            name,
            host: host.to_owned(),
            prefix,
            kind,
            timeout_ms,
            objective_ms,
            priority,
            targets: targets.clone(),
            max_attempts,
            anonymous,
            allowed_regions: allowed_regions.clone(),
        }
    }
}

impl ConfigurationChange {
    /// Computes the change from `before` to `after`.
    pub fn between(before: &Configuration, after: &Configuration) -> Self {
        let removed_services = before.services.keys();
        let removed_services = removed_services.filter(|name| !after.services.contains_key(*name));
        let services = after.services.iter();
        let services = services.filter(|(name, service)| before.service(name) != Some(service));
        let removed_keys = before.keys.keys();
        let removed_keys = removed_keys.filter(|key| !after.keys.contains_key(*key));
        Self {
            before: before.version,
            version: after.version,
            limits: after.limits.clone(),
            requires_keys: after.requires_keys,
            removed_routes: removed_routes(before, after),
            routes: changed_routes(before, after),
            removed_services: removed_services.cloned().collect(),
            services: services.map(|(_, service)| service.clone()).collect(),
            removed_keys: removed_keys.cloned().collect(),
            keys: changed_keys(before, after),
        }
    }

    /// Returns the number of routes, services and keys in the change.
    pub fn entries(&self) -> usize {
        let removed_routes = self.removed_routes.values().map(Vec::len);
        let routes = self.routes.iter().map(|group| group.routes.len());
        let keys = self.keys.iter().map(|group| group.keys.len());
        removed_routes.chain(routes).chain(keys).sum::<usize>()
            + self.removed_services.len()
            + self.services.len()
            + self.removed_keys.len()
    }

    /// Applies the change and returns the new configuration; `None` if `before` is not the version
    /// that it applies to.
    pub fn apply(&self, before: &Configuration) -> Option<Configuration> {
        if before.version != self.before {
            return None;
        }
        let mut after = before.clone();
        after.version = self.version;
        after.limits = self.limits.clone();
        after.requires_keys = self.requires_keys;
        for (host, prefixes) in &self.removed_routes {
            let Some(host_routes) = after.routes.get_mut(host) else {
                continue;
            };
            host_routes.retain(|prefix, _| !prefixes.contains(prefix));
            if host_routes.is_empty() {
                after.routes.remove(host);
            }
        }
        for RouteGroup {
            host,
            terms,
            routes,
        } in &self.routes
        {
            let host_routes = after.routes.entry(host.clone()).or_default();
            let routes = routes.iter().map(|(prefix, name)| {
                let route = terms.route(host, prefix.clone(), name.clone());
                (prefix.clone(), Arc::new(route))
            });
            host_routes.extend(routes);
        }
        for name in &self.removed_services {
            after.services.remove(name);
        }
        let services = self.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone()));
        after.services.extend(services);
        for key in &self.removed_keys {
            after.keys.remove(key);
        }
        for KeyGroup { tenant, keys } in &self.keys {
            let keys = keys.iter().map(|key| (key.clone(), tenant.clone()));
            after.keys.extend(keys);
        }
        Some(after)
    }
}

fn removed_routes(before: &Configuration, after: &Configuration) -> HashMap<String, Vec<String>> {
    let removed = before.routes.iter().filter_map(|(host, routes)| {
        let left = after.routes.get(host);
        let is_gone = |prefix: &&String| left.is_none_or(|left| !left.contains_key(*prefix));
        let gone: Vec<String> = routes.keys().filter(is_gone).cloned().collect();
        (!gone.is_empty()).then(|| (host.clone(), gone))
    });
    removed.collect()
}

fn changed_routes(before: &Configuration, after: &Configuration) -> Vec<RouteGroup> {
    let mut groups = Vec::new();
    for (host, routes) in &after.routes {
        let known = before.routes.get(host);
        let changed = routes
            .iter()
            .filter(|(prefix, route)| known.and_then(|known| known.get(*prefix)) != Some(route));
        let mut by_terms: HashMap<RouteTerms, Vec<(String, String)>> = HashMap::new();
        for (prefix, route) in changed {
            let term_routes = by_terms.entry(RouteTerms::of(route)).or_default();
            term_routes.push((prefix.clone(), route.name.clone()));
        }
        let host_groups = by_terms.into_iter().map(|(terms, routes)| RouteGroup {
            host: host.clone(),
            terms,
            routes,
        });
        groups.extend(host_groups);
    }
    groups
}

fn changed_keys(before: &Configuration, after: &Configuration) -> Vec<KeyGroup> {
    let changed = after.keys.iter();
    let changed = changed.filter(|(key, tenant)| before.keys.get(*key) != Some(tenant));
    let mut by_tenant: HashMap<&Arc<Tenant>, Vec<String>> = HashMap::new();
    for (key, tenant) in changed {
        by_tenant.entry(tenant).or_default().push(key.clone());
    }
    let groups = by_tenant.into_iter().map(|(tenant, keys)| KeyGroup {
        tenant: tenant.clone(),
        keys,
    });
    groups.collect()
}

/// The latest changes of the configuration. A router that missed some reads only those instead of
/// the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationLog {
    changes: VecDeque<Arc<ConfigurationChange>>,
    entries: usize,
}

impl ConfigurationLog {
    /// Maximum number of routes, services and keys in all kept changes together.
    pub const MAX_ENTRIES: usize = 8_192;
    /// Maximum number of changes kept.
    pub const MAX_CHANGES: usize = 256;

    /// Appends a change that was activated locally. If it does not continue the log, the older ones
    /// are dropped.
    pub fn record(&mut self, change: ConfigurationChange) {
        if self
            .version()
            .is_some_and(|version| version != change.before)
        {
            self.changes.clear();
            self.entries = 0;
        }
        self.entries += change.entries();
        self.changes.push_back(Arc::new(change));
        // The last change is always kept, whatever its size: it holds the current version.
        while self.changes.len() > 1
            && (self.entries > Self::MAX_ENTRIES || self.changes.len() > Self::MAX_CHANGES)
        {
            let oldest = self.changes.pop_front();
            self.entries -= oldest.map_or(0, |oldest| oldest.entries());
        }
    }

    /// Returns all changes since a version, in order; `None` if the log no longer holds some of
    /// them.
    pub fn since(&self, version: u64) -> Option<Vec<Arc<ConfigurationChange>>> {
        if self.version() == Some(version) {
            return Some(Vec::new());
        }
        let mut changes = self.changes.iter();
        let first = changes.position(|change| change.before == version)?;
        Some(self.changes.range(first..).cloned().collect())
    }

    /// Returns the version that results from the last change.
    fn version(&self) -> Option<u64> {
        self.changes.back().map(|change| change.version)
    }
}
