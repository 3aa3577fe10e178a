//! Watches the store: the configuration, the backend servers and the routers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sapphiretrack_routing::{Configuration, Incarnation, ServerEntry, ServerList};
use tokio::time::sleep;

use crate::beats::BeatAddresses;
use crate::clock::Clock;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StoreAnswer, StoreError, StorePort};
use crate::shared::Shared;

/// How long calls must have failed before entries may have lapsed meanwhile. Servers write every
/// second or so; an outage that is shorter than this lets no entry lapse.
const OUTAGE_MS: u64 = 300;
/// How long a watch waits while entries may still come back, so that late ones are dropped in time.
const SETTLING_WATCH_MS: u64 = 250;
/// When the routers are listed again after the start: all start within a second of each other.
const LIST_ROUTERS_MS: [u64; 4] = [300, 700, 2_000, 7_000];
/// The time between two lists of the routers later on: beats tell of new ones sooner.
const LIST_ROUTERS_LATER_MS: u64 = 30_000;

/// Where a watch of one listing stands.
struct Watch {
    shared: Arc<Shared>,
    store: Arc<StorePort>,
    listing: Listing,
    /// The store's version up to which changes are known; none before a list.
    version: Option<u64>,
    /// Since when calls fail.
    failing_since_ms: Option<u64>,
    failures: u32,
}

/// What one successful call brought.
struct News {
    records: Vec<Record>,
    /// Whether the records are the whole listing.
    is_whole: bool,
    /// How long calls had failed before.
    outage_ms: u64,
}

impl Watch {
    fn new(shared: Arc<Shared>, store: Arc<StorePort>, listing: Listing) -> Self {
        Self {
            shared,
            store,
            listing,
            version: None,
            failing_since_ms: None,
            failures: 0,
        }
    }

    /// The next news; waits out failures.
    async fn next(&mut self, wait_ms: u64) -> News {
        loop {
            let sent_ms = Clock.now_ms();
            let is_whole = self.version.is_none();
            let answer = match self.version {
                None => (self.store.list)(self.listing).await,
                Some(version) => (self.store.watch)(self.listing, version, wait_ms).await,
            };
            self.shared.metrics.store_call(self.listing.as_str());
            match answer {
                Ok(answer) => return self.take(answer, is_whole, sent_ms),
                Err(StoreError::HistoryLost) => {
                    note!(Event::HISTORY_LOST, listing = self.listing.as_str());
                    self.version = None;
                }
                Err(error) => self.wait_out(&error, sent_ms).await,
            }
        }
    }

    fn take(&mut self, answer: StoreAnswer, is_whole: bool, sent_ms: u64) -> News {
        let now_ms = Clock.now_ms();
        let outage_ms = self
            .failing_since_ms
            .take()
            .map_or(0, |since| now_ms.saturating_sub(since));
        if outage_ms > 0 {
            note!(
                Event::STORE_BACK,
                listing = self.listing.as_str(),
                outage_ms = outage_ms
            );
        }
        self.failures = 0;
        self.version = Some(answer.version);
        if self.listing == Listing::Configuration {
            let mut freshness = self.shared.freshness();
            freshness.note_answer(sent_ms, now_ms, answer.store_now_ms);
        }
        News {
            records: answer.records,
            is_whole,
            outage_ms,
        }
    }

    async fn wait_out(&mut self, error: &StoreError, sent_ms: u64) {
        if self.failing_since_ms.is_none() {
            self.failing_since_ms = Some(sent_ms);
            note!(
                Event::STORE_LOST,
                listing = self.listing.as_str(),
                error = error
            );
        }
        let pause_ms = self.shared.settings().times.store_retry_ms << self.failures.min(2);
        self.failures += 1;
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Waits after a change, so that many in a row cost few calls.
    async fn pause(&self) {
        let pause_ms = self.shared.settings().times.change_pause_ms;
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Keeps the configuration in force the newest, until the process ends.
pub(crate) async fn watch_configuration(shared: Arc<Shared>, store: Arc<StorePort>) {
    let mut watch = Watch::new(shared.clone(), store, Listing::Configuration);
    let mut ready = None;
    loop {
        let news = watch
            .next(shared.settings().times.watch_configuration_ms)
            .await;
        let changed = !news.records.is_empty();
        for record in news.records {
            match record {
                Record::Configuration(newest) => take_configuration(&shared, newest),
                other => note_useless(&other),
            }
        }
        let now_ready = shared.state();
        if ready != Some(now_ready) {
            ready = Some(now_ready);
            shared.state_changed.notify_waiters();
        }
        if changed {
            watch.pause().await;
        }
    }
}

/// Puts a configuration into force unless a newer one is.
fn take_configuration(shared: &Shared, newest: Arc<Configuration>) {
    let current = shared.configuration.load();
    let in_force = current.as_ref().map_or(0, |one| one.version);
    if newest.version <= in_force {
        if newest.version < in_force {
            note!(
                Event::CONFIGURATION_OLDER,
                offered = newest.version,
                in_force = in_force
            );
        }
        return;
    }
    note!(
        Event::CONFIGURATION_IN_FORCE,
        version = newest.version,
        before = in_force
    );
    shared.configuration.store(Some(newest));
}

/// Keeps the list of backend servers the newest, until the process ends.
pub(crate) async fn watch_servers(shared: Arc<Shared>, store: Arc<StorePort>) {
    let mut watch = Watch::new(shared.clone(), store, Listing::Servers);
    let mut list = ServerList::default();
    let mut wait_ms = shared.settings().times.watch_servers_ms;
    loop {
        let news = watch.next(wait_ms).await;
        let now_ms = Clock.now_ms();
        if news.outage_ms >= OUTAGE_MS {
            list.note_store_back(now_ms);
        }
        let changed = !news.records.is_empty();
        if news.is_whole {
            take_whole(&mut list, news.records, now_ms);
        } else {
            news.records
                .into_iter()
                .for_each(|record| take_change(&mut list, record, now_ms));
        }
        for id in list.settle(now_ms) {
            note!(
                Event::SERVER_LEAVING,
                server = id,
                reason = "did-not-come-back"
            );
        }
        publish(&shared, &list);
        wait_ms = match list.is_settling() {
            true => SETTLING_WATCH_MS,
            false => shared.settings().times.watch_servers_ms,
        };
        if changed {
            watch.pause().await;
        }
    }
}

fn take_whole(list: &mut ServerList, records: Vec<Record>, now_ms: u64) {
    let mut entries = Vec::new();
    for record in records {
        match record {
            Record::Server(entry) => entries.push(entry),
            other => note_useless(&other),
        }
    }
    for id in list.replace(entries, now_ms) {
        note!(Event::SERVER_LEAVING, server = id, reason = "not-listed");
    }
}

fn take_change(list: &mut ServerList, record: Record, now_ms: u64) {
    match record {
        Record::Server(entry) => {
            let id = entry.id.clone();
            let is_new = !list.contains(&entry);
            if list.upsert(entry) {
                note!(Event::SERVER_LEAVING, server = id, reason = "draining");
            } else if is_new {
                note!(Event::SERVER_LISTED, server = id);
            }
        }
        Record::Gone { key } => {
            if list.remove(&key, now_ms) {
                note!(Event::SERVER_LEAVING, server = key, reason = "entry-gone");
            }
        }
        other => note_useless(&other),
    }
}

/// Gives the list to the traffic thread, and forgets what is not listed any more.
fn publish(shared: &Shared, list: &ServerList) {
    let services = list.by_service();
    let incarnations = services.values().flatten();
    let listed: std::collections::HashSet<Incarnation> = incarnations
        .map(|server: &Arc<ServerEntry>| server.incarnation)
        .collect();
    shared.servers.store(Arc::new(services));
    shared.servers_known.store(true, Ordering::Relaxed);
    let mut traffic = shared.traffic();
    traffic
        .health
        .retain(|server, health| listed.contains(server) || health.in_flight > 0);
    drop(traffic);
    shared.pool.sweep(|server| listed.contains(&server));
}

/// Makes this router known, and finds the others, until the process ends.
pub(crate) async fn find_routers(
    shared: Arc<Shared>,
    store: Arc<StorePort>,
    addresses: Arc<BeatAddresses>,
) {
    let mut failures = 0_u32;
    while let Err(error) = (store.register)(true).await {
        if failures == 0 {
            note!(Event::STORE_LOST, listing = "registration", error = error);
        }
        let pause_ms = shared.settings().times.store_retry_ms << failures.min(3);
        failures += 1;
        sleep(Duration::from_millis(pause_ms)).await;
    }
    shared.metrics.store_call("registration");
    let mut watch = Watch::new(shared.clone(), store, Listing::Routers);
    let mut pauses = LIST_ROUTERS_MS.into_iter();
    loop {
        watch.version = None;
        let news = watch.next(0).await;
        let routers = news.records.into_iter().filter_map(|record| match record {
            Record::Router { beat_address, .. } => Some(beat_address),
            other => {
                note_useless(&other);
                None
            }
        });
        addresses.set(routers.collect());
        shared.state_changed.notify_waiters();
        let pause_ms = pauses.next().unwrap_or(LIST_ROUTERS_LATER_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Logs a record that names nothing to use.
fn note_useless(record: &Record) {
    match record {
        Record::Unreadable { key, reason } => {
            note!(Event::RECORD_UNREADABLE, key = key, reason = reason);
        }
        Record::Gone { key } => {
            note!(Event::RECORD_UNREADABLE, key = key, reason = "removed");
        }
        Record::Configuration(_) | Record::Server(_) | Record::Router { .. } => {
            note!(
                Event::RECORD_UNREADABLE,
                key = "?",
                reason = "of another listing"
            );
        }
    }
}
