//! Keeps the configuration and the list of backend servers up to date with the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use sapphiretrack_routing::{
    ColdReport, Configuration, ConfigurationChange, Incarnation, ServerChange, ServerEntry,
    ServerList, ServerState,
};

use crate::client_limits::apply_client_limits;
use crate::clock::Clock;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StorePort};
use crate::shared::Shared;
use crate::watch::{Update, Watch};

/// The shortest store outage during which entries may have lapsed. Servers renew their entries
/// about once a second; a shorter outage lets no entry lapse.
const MIN_OUTAGE_MS: u64 = 300;
/// The longest wait of a watch while entries may still come back after an outage, so that those
/// that do not are dropped in time.
const SETTLING_WATCH_LIMIT_MS: u64 = 250;
/// A wait limit that is never reached: only an update ends the wait.
const NO_LIMIT_MS: u64 = u64::MAX / 2;

/// Keeps the newest configuration in force until the process ends.
pub(crate) async fn watch_configuration(shared: Arc<Shared>, store: Arc<StorePort>) {
    let mut watch = Watch::new(shared.clone(), store, Listing::Configuration);
    let mut last_state = None;
    loop {
        let Some(update) = watch.next(NO_LIMIT_MS).await else {
            continue;
        };
        let changed = !update.records.is_empty();
        let unusable = update.records.iter();
        let is_used =
            |record: &Record| matches!(record, Record::Configuration(_) | Record::Evacuation(_));
        let unusable = unusable.filter(|record| !is_used(record));
        let unusable_records = &shared.activity.unusable_records;
        unusable.for_each(|record| {
            unusable_records.report_record(&shared.metrics, Listing::Configuration, record);
        });
        let state = shared.state();
        if last_state != Some(state) {
            last_state = Some(state);
            shared.state_changed.notify_one();
        }
        if changed {
            watch.pause().await;
        }
    }
}

/// Puts a configuration into force if it is newer than the current one.
pub(crate) fn apply_configuration(shared: &Shared, newest: &Arc<Configuration>) {
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
    shared.configuration_log().record(change);
    shared.stream_origins.record_configuration(newest);
    shared.configuration.store(Some(newest.clone()));
    apply_client_limits(shared);
    update_memory_capacities(shared);
}

/// Keeps the list of backend servers up to date until the process ends.
pub(crate) async fn watch_servers(shared: Arc<Shared>, store: Arc<StorePort>) {
    let mut watch = Watch::new(shared.clone(), store, Listing::Servers);
    watch.relayed = shared.take_relayed();
    let mut list = ServerList::default();
    loop {
        let has_missing_entries = list.has_missing_entries();
        let limit_ms = if has_missing_entries {
            SETTLING_WATCH_LIMIT_MS
        } else {
            NO_LIMIT_MS
        };
        let update = watch.next(limit_ms).await;
        let now_ms = Clock.now_ms();
        let outage_ms = update.as_ref().map_or(0, |update| update.outage_ms);
        if outage_ms >= MIN_OUTAGE_MS {
            list.record_store_recovery(now_ms);
            shared.servers_watch().state().record_own_recovery();
            shared.listings_read.notify_one();
        }
        // If this router made no call during an outage, only the adverts of other routers show the
        // recovery.
        let recovered_ms = shared.servers_watch().state().recovered_ms();
        if let Some(recovered_ms) = recovered_ms {
            list.record_peer_recovery(recovered_ms);
        }
        let changed = update.is_some_and(|update| apply_update(&shared, &mut list, update, now_ms));
        for id in list.drop_missing(now_ms) {
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

/// Applies an update. Returns whether it contains changes from a call to the store, after which the
/// caller pauses before its next call. Updates that other routers relay cost no call and are
/// frequent: with a pause after each they would wait in the queue for seconds.
fn apply_update(shared: &Shared, list: &mut ServerList, update: Update, now_ms: u64) -> bool {
    let changed = update.is_from_store && !update.records.is_empty();
    record_cold_servers(shared, &update);
    if update.is_whole_listing {
        apply_whole_listing(shared, list, update.records, now_ms);
        return changed;
    }
    for record in update.records {
        apply_change(shared, list, record, now_ms);
    }
    changed
}

/// Records which servers of an update are cold, before they can get requests.
fn record_cold_servers(shared: &Shared, update: &Update) {
    let entries = update.records.iter().filter_map(|record| match record {
        Record::Server(ServerChange::Entry(entry)) => Some(entry),
        _ => None,
    });
    let cold_servers = &shared.cold_servers;
    cold_servers.record_listed(entries, update.is_whole_listing);
    let reports = update.records.iter().filter_map(|record| match record {
        Record::Cold(report) => Some(*report),
        _ => None,
    });
    let reports: Vec<ColdReport> = reports.collect();
    cold_servers.record_reports(&reports);
}

fn apply_whole_listing(shared: &Shared, list: &mut ServerList, records: Vec<Record>, now_ms: u64) {
    let mut entries = Vec::new();
    for record in records {
        match record {
            Record::Server(ServerChange::Entry(entry)) => entries.push(entry),
            Record::Server(ServerChange::Unreadable { id, reason }) => {
                report_unreadable(shared, &id, &reason);
            }
            Record::Cold(_) => {}
            other => report_unusable(shared, &other),
        }
    }
    for id in list.replace(entries, now_ms) {
        note!(Event::SERVER_LEAVING, server = id, reason = "not-listed");
    }
}

fn apply_change(shared: &Shared, list: &mut ServerList, record: Record, now_ms: u64) {
    match record {
        Record::Server(ServerChange::Entry(entry)) => {
            let (id, version) = (entry.id.clone(), entry.software_version.clone());
            let is_new = !list.contains(&entry);
            let draining = (entry.state == ServerState::Draining).then(|| entry.clone());
            if list.upsert(entry) {
                note!(Event::SERVER_LEAVING, server = id, reason = "draining");
                let runs_ms = shared.settings().drain_bound_ms;
                draining
                    .into_iter()
                    .for_each(|entry| shared.draining_servers.record(Arc::new(entry), runs_ms));
            } else if is_new {
                note!(Event::SERVER_LISTED, server = id, version = version);
            }
        }
        Record::Server(ServerChange::Gone { id }) => {
            if list.remove(&id, now_ms) {
                note!(Event::SERVER_LEAVING, server = id, reason = "entry-gone");
            }
        }
        Record::Server(ServerChange::Unreadable { id, reason }) => {
            report_unreadable(shared, &id, &reason);
            // A whole listing does not name the server either.
            if list.remove(&id, now_ms) {
                note!(
                    Event::SERVER_LEAVING,
                    server = id,
                    reason = "entry-unreadable"
                );
            }
        }
        other => report_unusable(shared, &other),
    }
}

fn report_unreadable(shared: &Shared, key: &str, reason: &str) {
    let unusable_records = &shared.activity.unusable_records;
    unusable_records.report(&shared.metrics, Listing::Servers, key, reason);
}

fn report_unusable(shared: &Shared, record: &Record) {
    let unusable_records = &shared.activity.unusable_records;
    unusable_records.report_record(&shared.metrics, Listing::Servers, record);
}

/// Sets in the prefix index how many tokens fit into each listed server's memory.
fn update_memory_capacities(shared: &Shared) {
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
    shared
        .traffic()
        .prefix_index
        .set_capacities(capacities, now_ms);
}

/// Publishes the list to the traffic thread, and drops the pooled connections of servers that are
/// no longer listed, and their health unless they have requests in flight.
fn publish(shared: &Shared, list: &ServerList) {
    shared.present_servers.store(Arc::new(list.present()));
    let services = list.by_service();
    let entries = services.values().flatten().map(|entry| &**entry);
    shared.stream_origins.record_listed(shared, entries);
    let incarnations = services.values().flatten();
    let listed: std::collections::HashSet<Incarnation> = incarnations
        .map(|server: &Arc<ServerEntry>| server.incarnation)
        .collect();
    shared.servers.store(Arc::new(services));
    shared.servers_watch().state().record_in_use();
    shared.has_server_list.store(true, Ordering::Relaxed);
    update_memory_capacities(shared);
    let mut traffic = shared.traffic();
    traffic
        .health
        .retain(|server, health| listed.contains(server) || health.in_flight > 0);
    drop(traffic);
    shared.pool.sweep(|server| listed.contains(&server));
    shared.cold_servers.retain_listed(&listed);
    shared.ended_servers.retain_listed(&listed);
    shared.stream_origins.incarnations.retain_listed(&listed);
    shared.stated_availability.retain_listed(&listed);
    shared.server_paths.apply_listed(shared, &listed);
}
