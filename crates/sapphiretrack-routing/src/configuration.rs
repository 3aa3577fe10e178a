//! The configuration in force: routes, services, limits of callers' connections, tenants' keys.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::RequestKind;

/// Where requests of a host and path prefix go, and under which terms.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a request may be kept waiting for its whole answer.
    pub timeout_ms: u64,
    /// The time within which an answer, or its first event, is on time.
    pub objective_ms: u64,
    /// Its rank: 0 comes first.
    pub priority: u8,
    /// The services that share its requests.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the other targets'.
    pub weight: u32,
}

/// A group of backend servers that do the same.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The most connections that one of its servers accepts from all routers together.
    pub max_connections: u32,
    /// Whether its servers run a model and cache prompts.
    pub is_engine: bool,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// Requests that an engine runs at once.
    pub slots: u32,
}

/// What a caller may send, and how long its connection may idle.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientLimits {
    /// The longest head of a request.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
    /// How long an idle connection is kept.
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
    /// Its name, which backend servers are told.
    pub name: String,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// All that operators decide, under one version that only rises.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Limits of callers' connections.
    pub limits: ClientLimits,
    /// By host and prefix; versions share the routes that did not change.
    pub(crate) routes: HashMap<String, HashMap<String, Arc<Route>>>,
    pub(crate) services: HashMap<String, Service>,
    pub(crate) requires_keys: bool,
    pub(crate) keys: HashMap<String, Arc<Tenant>>,
}

/// Why a request is not let through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No route matches its host and path.
    NoRoute,
    /// Its key is missing or unknown.
    UnknownKey,
}

impl Configuration {
    /// A configuration of these routes and services, still without tenants.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services.into_iter();
        Self {
            version,
            routes: by_host,
            services: services.map(|one| (one.name.clone(), one)).collect(),
            ..Self::default()
        }
    }

    /// Adds a tenant with its keys.
    pub fn add_tenant<Keys>(&mut self, tenant: Tenant, keys: Keys)
    where
        Keys: IntoIterator<Item = String>,
    {
        let tenant = Arc::new(tenant);
        self.requires_keys = true;
        let keys = keys.into_iter().map(|key| (key, tenant.clone()));
        self.keys.extend(keys);
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&normal_host(host))?,
        };
        let mut end = path.len();
        // Each prefix ends with a slash, so that only cuts after a slash can match.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = of_host.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// The tenant of a key; none if no tenants are configured or the route needs no key.
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

    /// Whether requests on a route must show a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.anonymous
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

impl Route {
    /// The service that a request goes to; `draw` is below 1 and spreads requests by weight.
    pub fn pick_target(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * f64::from(total);
        let weighted = self.targets.iter().filter(|target| target.weight > 0);
        let mut last = None;
        for target in weighted {
            last = Some(target.service.as_str());
            left -= f64::from(target.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// A host in lower case and without its port.
fn normal_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
