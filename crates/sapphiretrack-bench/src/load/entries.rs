//! Selects the router a caller connects to. Address lookups are cached for their time to live.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_caller::CallerClient;
use tokio::time::Instant;

/// Time limit of a lookup, after which another router is asked.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a router is avoided after a failure, unless all routers of the lookup have failed.
const FAILED_ROUTER_COOLDOWN: Duration = Duration::from_secs(5);

/// The routers that callers may ask for addresses. Clones share one list.
#[derive(Clone, Debug, Default)]
pub struct KnownRouters {
    urls: Arc<Mutex<Vec<String>>>,
}

impl KnownRouters {
    /// Creates the list from URLs of the form `http://IP:PORT`.
    pub fn new(urls: Vec<String>) -> Self {
        let known = Self::default();
        known.set(urls);
        known
    }

    /// Replaces the list.
    pub fn set(&self, urls: Vec<String>) {
        *lock(&self.urls) = urls;
    }

    /// Returns the current list.
    pub fn urls(&self) -> Vec<String> {
        lock(&self.urls).clone()
    }
}

/// The cached router addresses of one caller process.
pub struct AddressCache {
    known: KnownRouters,
    zone: Option<String>,
    client: CallerClient,
    state: Mutex<CacheState>,
}

#[derive(Default)]
struct CacheState {
    urls: Vec<String>,
    until: Option<Instant>,
    failed: BTreeMap<String, Instant>,
    next_known: usize,
}

impl AddressCache {
    /// Creates an empty cache. `first` selects the known router of the first lookup, so that caches
    /// with different values spread their lookups.
    pub fn new(known: KnownRouters, zone: Option<String>, first: usize) -> Self {
        Self {
            known,
            zone,
            client: CallerClient::new(),
            state: Mutex::new(CacheState {
                next_known: first,
                ..CacheState::default()
            }),
        }
    }

    /// Returns the URL of the router to connect to; `None` if no known router answers a lookup.
    pub async fn router_url(&self) -> Option<String> {
        if let Some(url) = lock(&self.state).current_url() {
            return Some(url);
        }
        let attempts = self.known.urls().len();
        for _ in 0..attempts {
            let url = self.next_known_url()?;
            let lookup = self.client.entry(&url, self.zone.as_deref());
            let Ok(Ok(reply)) = tokio::time::timeout(LOOKUP_TIMEOUT, lookup).await else {
                continue;
            };
            let mut state = lock(&self.state);
            state.urls = reply
                .addresses
                .iter()
                .map(|address| format!("http://{address}"))
                .collect();
            state.until = Some(Instant::now() + Duration::from_millis(reply.ttl_ms));
            if let Some(url) = state.current_url() {
                return Some(url);
            }
            // All routers of the lookup failed recently: forget this and try them again.
            state.failed.clear();
            if let Some(url) = state.current_url() {
                return Some(url);
            }
        }
        None
    }

    /// Avoids a router for a while after a failure, and makes the next request repeat the lookup.
    pub fn mark_failed(&self, url: &str) {
        let mut state = lock(&self.state);
        state.failed.insert(url.to_owned(), Instant::now());
        state.until = None;
    }

    fn next_known_url(&self) -> Option<String> {
        let urls = self.known.urls();
        let mut state = lock(&self.state);
        state.next_known = state.next_known.wrapping_add(1);
        urls.get(state.next_known % urls.len().max(1)).cloned()
    }
}

impl CacheState {
    fn current_url(&self) -> Option<String> {
        let now = Instant::now();
        self.until.filter(|until| now < *until)?;
        let is_in_cooldown = |url: &String| {
            self.failed
                .get(url)
                .is_some_and(|at| now < *at + FAILED_ROUTER_COOLDOWN)
        };
        self.urls.iter().find(|url| !is_in_cooldown(url)).cloned()
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
