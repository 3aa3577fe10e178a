//! Registers this router at the store, and discovers the other routers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use sapphiretrack_routing::{ListedRouter, StoredVersions};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::crashes::merge_crashes;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StoreAnswer, StoreError, StorePort};
use crate::shared::Shared;
use crate::watch::CallReason;

/// The mean time between two listings of the routers while no other one is live. Heartbeats
/// announce routers that start; a listing finds those that a network partition kept apart.
const LIST_INTERVAL_MS: u64 = 60_000;
/// The number of other live routers that lengthens the interval by `LIST_INTERVAL_MS`, so that a
/// large fleet as a whole lists no more often.
const ROUTERS_PER_INTERVAL: u64 = 8;
/// The mean pause after the first failed call; it doubles with each further failure.
const RETRY_PAUSE_MS: u64 = 100;
/// How many times the pause doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Keeps this router registered and the list of the other routers current until the process ends.
///
/// A router that restarts is still listed and skips its registration: when a whole fleet restarts,
/// no router waits for the store to write the registrations one after the other.
pub(crate) async fn find_routers(shared: Arc<Shared>, store: Arc<StorePort>) {
    let discovery = Discovery { shared, store };
    let is_first_start = discovery.shared.settings().is_first_start;
    // Registers also after a failed listing: where only the store's answers are lost, the row is
    // written nevertheless, and the other routers discover this one by it.
    if is_first_start || !discovery.try_list(0).await.unwrap_or(false) {
        // Lists the routers after registration: of two routers that start, the one that registers
        // later finds the other in the listing, and its heartbeat introduces them to each other.
        discovery.register().await;
        discovery.list().await;
    }
    discovery.mark_discovered();
    loop {
        let live = discovery.shared.peers().live(Clock.now_ms()) as u64;
        let mean_ms = LIST_INTERVAL_MS * (1 + live / ROUTERS_PER_INTERVAL);
        let pause_ms = mean_ms as f64 * (0.5 + rand::rng().random::<f64>());
        sleep(Duration::from_millis(pause_ms as u64)).await;
        if !discovery.list().await {
            discovery.register().await;
        }
    }
}

struct Discovery {
    shared: Arc<Shared>,
    store: Arc<StorePort>,
}

impl Discovery {
    /// Writes this router's row; retries until that succeeds.
    async fn register(&self) {
        let mut failures = 0;
        loop {
            let sent_ms = Clock.now_ms();
            let answer = (self.store.register)(true).await;
            let outcome = answer.as_ref().map(|()| 0);
            let reason = CallReason::Registration;
            self.shared
                .note_store_call(Listing::Routers, reason, sent_ms, outcome);
            let Err(error) = answer else {
                return;
            };
            back_off("registration", &error, failures).await;
            failures += 1;
        }
    }

    /// Lists the routers; retries until that succeeds. Returns whether this router is listed with
    /// its current address.
    async fn list(&self) -> bool {
        let mut failures = 0;
        loop {
            match self.try_list(failures).await {
                Some(is_listed) => return is_listed,
                None => failures += 1,
            }
        }
    }

    /// Lists the routers once. Returns whether this router is listed with its current address; none
    /// after a failure, once a pause has passed.
    async fn try_list(&self, failures: u32) -> Option<bool> {
        let sent_ms = Clock.now_ms();
        let answer = (self.store.list)(Listing::Routers).await;
        let outcome = answer.as_ref().map(|answer| answer.version);
        let reason = CallReason::Discovery;
        self.shared
            .note_store_call(Listing::Routers, reason, sent_ms, outcome);
        match answer {
            Ok(answer) => Some(self.apply_listing(answer, sent_ms)),
            Err(error) => {
                back_off("routers", &error, failures).await;
                None
            }
        }
    }

    /// Applies a listing. Returns whether this router is listed with its current address.
    fn apply_listing(&self, answer: StoreAnswer, sent_ms: u64) -> bool {
        let received_ms = Clock.now_ms();
        let watches = [
            self.shared.configuration_watch(),
            self.shared.servers_watch(),
        ];
        for watch in watches {
            // A router that reads the other listings from peers maps the store's clock only by this
            // answer.
            let mut state = watch.state();
            state.record_clock(sent_ms, received_ms, answer.store_now_ms);
        }
        let mut stored = StoredVersions::default();
        let routers = answer
            .records
            .into_iter()
            .filter_map(|record| match record {
                Record::Router(router) => Some(router),
                Record::SoleVersions(versions) => {
                    if versions.is_unreadable {
                        self.report_unusable("versions", "cannot be read");
                    }
                    stored = versions;
                    None
                }
                Record::Crashes(records) => {
                    merge_crashes(&self.shared, &records, "store");
                    None
                }
                other => {
                    let unusable_records = &self.shared.activity.unusable_records;
                    let metrics = &self.shared.metrics;
                    unusable_records.report_record(metrics, Listing::Routers, &other);
                    None
                }
            });
        let settings = self.shared.settings();
        let is_own = |one: &ListedRouter| one.name == settings.name;
        let (own, others): (Vec<_>, Vec<_>) = routers.partition(is_own);
        let mut own = own.iter();
        let is_listed = own.any(|own| own.address == settings.peer_address);
        self.shared.peers().record_listed(others, received_ms);
        let table = &self.shared.stream_origins.stored;
        table.record_row(&self.shared, stored, answer.version);
        is_listed
    }

    fn report_unusable(&self, key: &str, reason: &str) {
        let unusable_records = &self.shared.activity.unusable_records;
        unusable_records.report(&self.shared.metrics, Listing::Routers, key, reason);
    }

    /// Marks the discovery as complete: from now on this router may be a watcher, by its rank among
    /// the routers, and it sends a heartbeat at once.
    fn mark_discovered(&self) {
        self.shared.is_discovered.store(true, Ordering::Relaxed);
        self.shared.state_changed.notify_one();
        let watches = [
            self.shared.configuration_watch(),
            self.shared.servers_watch(),
        ];
        for watch in watches {
            watch.changed.notify_one();
        }
    }
}

/// Logs the first failure in a row, then pauses for a random time, so that routers that fail
/// together retry at different times.
async fn back_off(operation: &str, error: &StoreError, failures: u32) {
    if failures == 0 {
        note!(Event::STORE_FAILING, listing = operation, error = error);
    }
    let mean_ms = RETRY_PAUSE_MS << failures.min(MAX_DOUBLINGS);
    let pause_ms = mean_ms as f64 * (0.5 + rand::rng().random::<f64>());
    sleep(Duration::from_millis(pause_ms as u64)).await;
}
