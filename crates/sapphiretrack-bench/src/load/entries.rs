//! Which router a caller connects to: lookups, kept for their time to live.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_caller::CallerClient;
use tokio::time::Instant;

/// How long a lookup may take before another router is asked.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a router that failed is passed over, where there is another.
const PASSED_OVER_FOR: Duration = Duration::from_secs(5);

/// The routers that a caller may ask first; clones are the same list.
#[derive(Clone, Debug, Default)]
pub struct KnownRouters {
    urls: Arc<Mutex<Vec<String>>>,
}

impl KnownRouters {
    /// A list of `http://IP:PORT`.
    pub fn new(urls: Vec<String>) -> Self {
        let known = Self::default();
        known.set(urls);
        known
    }

    /// Replaces the list.
    pub fn set(&self, urls: Vec<String>) {
        *lock(&self.urls) = urls;
    }

    /// The list as it stands.
    pub fn urls(&self) -> Vec<String> {
        lock(&self.urls).clone()
    }
}

/// The addresses that one caller process keeps.
pub struct AddressBook {
    known: KnownRouters,
    zone: Option<String>,
    client: CallerClient,
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    urls: Vec<String>,
    until: Option<Instant>,
    failed: BTreeMap<String, Instant>,
    next_known: usize,
}

impl AddressBook {
    /// An empty book; `first` says which known router it asks first.
    pub fn new(known: KnownRouters, zone: Option<String>, first: usize) -> Self {
        Self {
            known,
            zone,
            client: CallerClient::new(),
            kept: Mutex::new(Kept {
                next_known: first,
                ..Kept::default()
            }),
        }
    }

    /// The router to connect to; none if no known router answers.
    pub async fn router(&self) -> Option<String> {
        if let Some(url) = lock(&self.kept).current() {
            return Some(url);
        }
        let tries = self.known.urls().len();
        for _ in 0..tries {
            let url = self.next_known()?;
            let lookup = self.client.entry(&url, self.zone.as_deref());
            let Ok(Ok(reply)) = tokio::time::timeout(LOOKUP_LIMIT, lookup).await else {
                continue;
            };
            let mut kept = lock(&self.kept);
            kept.urls = reply
                .addresses
                .iter()
                .map(|address| format!("http://{address}"))
                .collect();
            kept.until = Some(Instant::now() + Duration::from_millis(reply.ttl_ms));
            if let Some(url) = kept.current() {
                return Some(url);
            }
            // All that the lookup names failed before: they get another chance.
            kept.failed.clear();
            if let Some(url) = kept.current() {
                return Some(url);
            }
        }
        None
    }

    /// Takes a router out until the next lookup names others.
    pub fn failed(&self, url: &str) {
        let mut kept = lock(&self.kept);
        kept.failed.insert(url.to_owned(), Instant::now());
        kept.until = None;
    }

    fn next_known(&self) -> Option<String> {
        let urls = self.known.urls();
        let mut kept = lock(&self.kept);
        kept.next_known = kept.next_known.wrapping_add(1);
        urls.get(kept.next_known % urls.len().max(1)).cloned()
    }
}

impl Kept {
    fn current(&self) -> Option<String> {
        let now = Instant::now();
        self.until.filter(|until| now < *until)?;
        let passed_over = |url: &String| {
            self.failed
                .get(url)
                .is_some_and(|at| now < *at + PASSED_OVER_FOR)
        };
        self.urls.iter().find(|url| !passed_over(url)).cloned()
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
