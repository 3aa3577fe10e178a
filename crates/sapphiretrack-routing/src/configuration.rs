//! The active configuration: routes, services, limits of client connections and tenant keys.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::RequestKind;

/// Where requests for a host and path prefix go, and the terms that apply to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether and how requests may be retried.
    pub kind: RequestKind,
    /// Longest time that a request may wait for its complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a complete answer, or its first event, counts as on time, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that its requests are distributed over.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Regions whose servers may get its requests; all if empty.
    pub allowed_regions: Vec<String>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Maximum number of connections that one of its servers accepts from all routers together.
    pub max_connections: u32,
    /// Whether its servers run a model and cache prompts.
    pub is_engine: bool,
    /// Capacity of an engine's cache in tokens.
    pub memory_tokens: u64,
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Time for which a server is cold after it starts, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests per second that a cold server tolerates; 0 if any number.
    pub cold_requests_per_s: f64,
}

/// Limits on what a caller may send and how long its connection may stay idle.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A customer of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Tenant {
    /// Name, passed on to backend servers.
    pub name: String,
    /// Priority; overrides the route's if set.
    pub priority: Option<u8>,
    /// Regions whose servers may get its requests, in addition to the route's limit; all if empty.
    pub allowed_regions: Vec<String>,
}

/// Everything that operators configure, under one version that only increases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: u64,
    /// Limits of client connections.
    pub limits: ClientLimits,
    /// Routes by host and prefix. Versions share the routes that did not change.
    pub(crate) routes: HashMap<String, HashMap<String, Arc<Route>>>,
    pub(crate) services: HashMap<String, Service>,
    pub(crate) requires_keys: bool,
    pub(crate) keys: HashMap<String, Arc<Tenant>>,
}

/// Reason for which a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

impl Configuration {
    /// Creates a configuration of these routes and services, without tenants.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services.into_iter();
        Self {
            version,
            routes: by_host,
            services: services.map(|one| (one.name.clone(), one)).collect(),
            ..Self::default()
        }
    }

    /// Adds a tenant and its keys. From then on routes that are not anonymous require a key.
    pub fn add_tenant<Keys>(&mut self, tenant: Tenant, keys: Keys)
    where
        Keys: IntoIterator<Item = String>,
    {
        let tenant = Arc::new(tenant);
        self.requires_keys = true;
        let keys = keys.into_iter().map(|key| (key, tenant.clone()));
        self.keys.extend(keys);
    }

    /// Returns the route with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host_routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&normalize_host(host))?,
        };
        let mut end = path.len();
        // Every prefix ends with a slash, so only cuts after a slash can match.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = host_routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the tenant that a key belongs to; `None` if no tenants are configured or the route
    /// needs no key. Fails with [`RouteError::UnknownKey`] if a required key is missing or unknown.
    pub fn tenant(&self, route: &Route, key: Option<&str>) -> Result<Option<&Tenant>, RouteError> {
        if !self.needs_key(route) {
            return Ok(None);
        }
        let tenant = key.and_then(|key| self.keys.get(key));
        match tenant {
            Some(tenant) => Ok(Some(tenant)),
            None => Err(RouteError::UnknownKey),
        }
    }

    /// Returns whether requests on a route must present a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.anonymous
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        let hosts = self.routes.values();
        hosts.flat_map(|routes| routes.values().map(|route| &**route))
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

impl Route {
    /// Returns the service for a request, chosen by weight. `draw` is a random number below 1;
    /// `None` if no target has a weight.
    pub fn pick_target(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw.clamp(0.0, 1.0) * f64::from(total);
        let weighted = self.targets.iter().filter(|target| target.weight > 0);
        let mut last = None;
        for target in weighted {
            last = Some(target.service.as_str());
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}

/// Converts a host to lower case and strips its port.
fn normalize_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
