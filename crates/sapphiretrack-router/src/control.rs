//! Keeps what the store lists: the configuration, the backend servers and the routers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use sapphiretrack_routing::{
    Configuration, ConfigurationChange, Incarnation, ServerChange, ServerEntry, ServerList,
};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StorePort};
use crate::shared::Shared;
use crate::watch::{Update, Watch};

/// How long the store must have been away for entries to have lapsed meanwhile. Servers write every
/// second or so; a shorter outage lets no entry lapse.
const OUTAGE_MS: u64 = 300;
/// How long a watch waits while entries may still come back, so that late ones are dropped in time.
const SETTLING_WATCH_MS: u64 = 250;
/// A wait that only an update ends.
const FOREVER_MS: u64 = u64::MAX / 2;

/// Keeps the configuration in force the newest, until the process ends.
pub(crate) async fn watch_configuration(shared: Arc<Shared>, store: Arc<StorePort>) {
    let mut watch = Watch::new(shared.clone(), store, Listing::Configuration);
    let mut ready = None;
    loop {
        let Some(update) = watch.next(FOREVER_MS).await else {
            continue;
        };
        let changed = !update.records.is_empty();
        let useless = update.records.iter();
        let useless = useless.filter(|record| !matches!(record, Record::Configuration(_)));
        useless.for_each(note_useless);
        let now_ready = shared.state();
        if ready != Some(now_ready) {
            ready = Some(now_ready);
            shared.state_changed.notify_one();
        }
        if changed {
            watch.pause().await;
        }
    }
}

/// Puts a configuration into force unless a newer one is.
pub(crate) fn take_configuration(shared: &Shared, newest: &Arc<Configuration>) {
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
    let change = match current.as_ref() {
        Some(current) => ConfigurationChange::between(current, newest),
        None => ConfigurationChange::between(&Configuration::default(), newest),
    };
    shared.configuration_log().note(change);
    shared.configuration.store(Some(newest.clone()));
    note_memory(shared);
}

/// Keeps the list of backend servers the newest, until the process ends.
pub(crate) async fn watch_servers(shared: Arc<Shared>, store: Arc<StorePort>) {
    let mut watch = Watch::new(shared.clone(), store, Listing::Servers);
    watch.relayed = shared.take_relayed();
    let mut list = ServerList::default();
    loop {
        let settles = list.is_settling();
        let limit_ms = if settles {
            SETTLING_WATCH_MS
        } else {
            FOREVER_MS
        };
        let update = watch.next(limit_ms).await;
        let now_ms = Clock.now_ms();
        let outage_ms = update.as_ref().map_or(0, |update| update.outage_ms);
        if outage_ms >= OUTAGE_MS {
            list.note_store_back(now_ms);
            shared.servers_watch().state().note_own_recovery();
            shared.listings_read.notify_one();
        }
        // A router that asked nothing during an outage learns of it from those that did.
        let recovered_ms = shared.servers_watch().state().recovered_ms();
        if let Some(recovered_ms) = recovered_ms {
            list.note_peer_recovery(recovered_ms);
        }
        let changed = update.is_some_and(|update| take_servers(&mut list, update, now_ms));
        for id in list.settle(now_ms) {
            note!(
                Event::SERVER_LEAVING,
                server = id,
                reason = "did-not-come-back"
            );
        }
        publish(&shared, &list);
        if changed {
            watch.pause().await;
        }
    }
}

/// Takes update in; whether the store was asked and had some. What others pass on costs no call
/// and comes often: with a pause after each it would pile up for seconds.
fn take_servers(list: &mut ServerList, update: Update, now_ms: u64) -> bool {
    let changed = update.is_asked && !update.records.is_empty();
    if update.is_whole {
        take_whole(list, update.records, now_ms);
        return changed;
    }
    for record in update.records {
        take_change(list, record, now_ms);
    }
    changed
}

fn take_whole(list: &mut ServerList, records: Vec<Record>, now_ms: u64) {
    let mut entries = Vec::new();
    for record in records {
        match record {
            Record::Server(ServerChange::Entry(entry)) => entries.push(entry),
            Record::Server(ServerChange::Unreadable { id, reason }) => {
                note_unreadable(&id, &reason)
            }
            other => note_useless(&other),
        }
    }
    for id in list.replace(entries, now_ms) {
        note!(Event::SERVER_LEAVING, server = id, reason = "not-listed");
    }
}

fn take_change(list: &mut ServerList, record: Record, now_ms: u64) {
    match record {
        Record::Server(ServerChange::Entry(entry)) => {
            let id = entry.id.clone();
            let is_new = !list.contains(&entry);
            if list.upsert(entry) {
                note!(Event::SERVER_LEAVING, server = id, reason = "draining");
            } else if is_new {
                note!(Event::SERVER_LISTED, server = id);
            }
        }
        Record::Server(ServerChange::Gone { id }) => {
            if list.remove(&id, now_ms) {
                note!(Event::SERVER_LEAVING, server = id, reason = "entry-gone");
            }
        }
        Record::Server(ServerChange::Unreadable { id, reason }) => note_unreadable(&id, &reason),
        other => note_useless(&other),
    }
}

/// Tells the beliefs about prompt prefixes how much fits into each listed server's memory.
fn note_memory(shared: &Shared) {
    let configuration = shared.configuration.load();
    let memory_tokens = |service: &str| {
        let service = configuration.as_ref()?.service(service)?;
        Some(service.memory_tokens)
    };
    let services = shared.servers.load();
    let listed = services.values().flatten();
    let capacities = listed.map(|server| {
        let tokens = memory_tokens(&server.service).unwrap_or(0);
        (server.incarnation, tokens)
    });
    let capacities = capacities.collect();
    let now_ms = Clock.now_ms();
    shared.traffic().warm.set_capacities(capacities, now_ms);
}

/// Gives the list to the traffic thread, and forgets what is not listed any more.
fn publish(shared: &Shared, list: &ServerList) {
    shared.present_servers.store(Arc::new(list.present()));
    let services = list.by_service();
    let incarnations = services.values().flatten();
    let listed: std::collections::HashSet<Incarnation> = incarnations
        .map(|server: &Arc<ServerEntry>| server.incarnation)
        .collect();
    shared.servers.store(Arc::new(services));
    shared.servers_known.store(true, Ordering::Relaxed);
    note_memory(shared);
    let mut traffic = shared.traffic();
    traffic
        .health
        .retain(|server, health| listed.contains(server) || health.in_flight > 0);
    drop(traffic);
    shared.pool.sweep(|server| listed.contains(&server));
}

/// Logs a record that names nothing to use.
pub(crate) fn note_useless(record: &Record) {
    match record {
        Record::Useless { key, reason } => note_unreadable(key, reason),
        Record::Configuration(_) | Record::Server(_) | Record::Router(_) | Record::Crashes(_) => {
            note_unreadable("?", "of another listing");
        }
    }
}

fn note_unreadable(key: &str, reason: &str) {
    note!(Event::RECORD_UNREADABLE, key = key, reason = reason);
}
