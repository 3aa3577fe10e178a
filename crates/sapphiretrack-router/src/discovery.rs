//! Makes this router known to the others, and finds them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use sapphiretrack_routing::ListedRouter;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::control::note_useless;
use crate::crashes::merge_crashes;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StoreAnswer, StoreError, StorePort};
use crate::shared::Shared;
use crate::watch::CallReason;

/// The time between two lists of the routers, in a fleet of one. Heartbeats make known who starts;
/// a list finds those that a partition kept from each other.
const LIST_MS: u64 = 60_000;
/// Routers by which that time grows as much again, so that a large fleet lists no more often.
const ROUTERS_PER_LIST: u64 = 8;
/// The range of the pause after a failed call, which doubles.
const RETRY_MS: u64 = 100;
/// How often it doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Keeps this router known, and the others known here, until the process ends.
///
/// A router that starts again is still listed: it needs no registration, and does not wait for the
/// store to write those of a whole fleet one after the other.
pub(crate) async fn find_routers(shared: Arc<Shared>, store: Arc<StorePort>) {
    let discovery = Discovery { shared, store };
    let is_first_start = discovery.shared.settings().is_first_start;
    // A row is written also where the store's answers are lost: the others find this router by it.
    if is_first_start || !discovery.try_list(0).await.unwrap_or(false) {
        // Of two routers the one that registers later lists the other, and its heartbeat makes both known.
        discovery.register().await;
        discovery.list().await;
    }
    discovery.finish_start();
    loop {
        let live = discovery.shared.peers().live(Clock.now_ms()) as u64;
        let range_ms = LIST_MS * (1 + live / ROUTERS_PER_LIST);
        let pause_ms = range_ms as f64 * (0.5 + rand::rng().random::<f64>());
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
    /// Writes this router's row; waits out failures.
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
            wait_out("registration", &error, failures).await;
            failures += 1;
        }
    }

    /// Lists the routers; waits out failures. Whether this one is listed where it is.
    async fn list(&self) -> bool {
        let mut failures = 0;
        loop {
            match self.try_list(failures).await {
                Some(is_listed) => return is_listed,
                None => failures += 1,
            }
        }
    }

    /// Lists the routers once; waits after a failure. Whether this one is listed where it is.
    async fn try_list(&self, failures: u32) -> Option<bool> {
        let sent_ms = Clock.now_ms();
        let answer = (self.store.list)(Listing::Routers).await;
        let outcome = answer.as_ref().map(|answer| answer.version);
        let reason = CallReason::Discovery;
        self.shared
            .note_store_call(Listing::Routers, reason, sent_ms, outcome);
        match answer {
            Ok(answer) => Some(self.take(answer, sent_ms)),
            Err(error) => {
                wait_out("routers", &error, failures).await;
                None
            }
        }
    }

    fn take(&self, answer: StoreAnswer, sent_ms: u64) -> bool {
        let received_ms = Clock.now_ms();
        let watches = [
            self.shared.configuration_watch(),
            self.shared.servers_watch(),
        ];
        for watch in watches {
            // A router that reads the other listings from peers knows the store's clock by this.
            let mut state = watch.state();
            state.note_clock(sent_ms, received_ms, answer.store_now_ms);
        }
        let routers = answer
            .records
            .into_iter()
            .filter_map(|record| match record {
                Record::Router(router) => Some(router),
                Record::Crashes(records) => {
                    merge_crashes(&self.shared, &records, "store");
                    None
                }
                other => {
                    note_useless(&other);
                    None
                }
            });
        let settings = self.shared.settings();
        let is_own = |one: &ListedRouter| one.name == settings.name;
        let (own, others): (Vec<_>, Vec<_>) = routers.partition(is_own);
        let mut own = own.iter();
        let is_listed = own.any(|own| own.address == settings.peer_address);
        self.shared.peers().note_listed(others, received_ms);
        is_listed
    }

    /// From now on this router's rank among the others counts, and they receive its heartbeats.
    fn finish_start(&self) {
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

/// Logs the first failure in a row, and pauses. Routers that fail together try again apart.
async fn wait_out(what: &str, error: &StoreError, failures: u32) {
    if failures == 0 {
        note!(Event::STORE_LOST, listing = what, error = error);
    }
    let range_ms = RETRY_MS << failures.min(MAX_DOUBLINGS);
    let pause_ms = range_ms as f64 * (0.5 + rand::rng().random::<f64>());
    sleep(Duration::from_millis(pause_ms as u64)).await;
}
