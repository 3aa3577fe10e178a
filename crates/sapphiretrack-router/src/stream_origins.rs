//! Records which version of servers' software began the streams that callers may take up again, and sends
//! these records to a few other routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use sapphiretrack_routing::{
    Configuration, Origin, OriginEvidence, OriginRecord, RequestFacts, Route, RouterMessage,
    ServerEntry, StreamKey, StreamOrigins, VersionHistory,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::incarnation_checks::IncarnationTable;
use crate::lock::lock;
use crate::peer_messages::encode;
use crate::shared::Shared;
use crate::stream_versions::{StreamVersions, list_version};

/// The routers that keep a stream's record beside the one that relays it.
const HOLDERS: usize = 3;
/// The age up to which the list of servers counts as current while the store answers.
pub(crate) const CURRENT_AGE_MS: u64 = 2_000;
/// How long records are collected before they are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// The most records in one datagram, so that it fits into a packet.
const MAX_SENT: usize = 40;

/// What this router knows about the origins of streams.
#[derive(Default)]
pub(crate) struct StreamOriginTable {
    origins: Mutex<StreamOrigins>,
    history: Mutex<VersionHistory>,
    announcements: Mutex<Vec<OriginRecord>>,
    announced: Notify,
    /// Which services have one version only, as the store keeps it.
    pub(crate) stored: StreamVersions,
    /// Which servers are still the listed incarnations.
    pub(crate) incarnations: IncarnationTable,
}

/// A stream that this router relays to its caller. Its end is recorded when this is dropped.
pub(crate) struct BegunStream {
    shared: Arc<Shared>,
    key: StreamKey,
}

impl BegunStream {
    /// Records that a stream began, or goes on, at a server of a version; `None` if that is not known.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        key: StreamKey,
        route: &Route,
        origin: Option<Origin>,
        server: Option<&str>,
    ) -> Self {
        let shared = shared.clone();
        let begun = Self { shared, key };
        begun.record(route, origin, server);
        begun
    }

    /// Records the version that began the stream, at first or now that it is confirmed.
    pub(crate) fn record(&self, route: &Route, origin: Option<Origin>, server: Option<&str>) {
        let table = &self.shared.stream_origins;
        let now_ms = Clock.now_ms();
        let retention_ms = lock(&table.history).retention_ms();
        let mut origins = table.origins();
        origins.expire(retention_ms, now_ms);
        let begun = OriginRecord {
            key: self.key,
            software: origin.map(|origin| origin.software),
            unconfirmed: origin.and_then(|origin| origin.unconfirmed),
        };
        let record = origins.record_begun(begun, server, now_ms);
        drop(origins);
        let is_confirmed = origin.is_some_and(|origin| origin.unconfirmed.is_none());
        if !is_confirmed || !is_long_sole(&self.shared, route) {
            table.announce(vec![record]);
        }
    }

    /// Whether the stream may have begun at another version than the server was listed at.
    pub(crate) fn is_uncertain(&self) -> bool {
        let record = self.shared.stream_origins.origins().get(self.key);
        record.is_some_and(|record| record.software.is_none())
    }

    /// Records that the stream goes on at another server.
    pub(crate) fn move_to(&self, server: Option<&str>) {
        let mut origins = self.shared.stream_origins.origins();
        if let Some(record) = origins.get(self.key) {
            origins.record_begun(record, server, Clock.now_ms());
        }
    }
}

impl Drop for BegunStream {
    fn drop(&mut self) {
        self.shared.stream_origins.origins().record_ended(self.key);
    }
}

impl StreamOriginTable {
    /// Locks the records.
    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins)
    }

    /// Locks the history of versions.
    pub(crate) fn history(&self) -> MutexGuard<'_, VersionHistory> {
        lock(&self.history)
    }

    fn announce(&self, records: Vec<OriginRecord>) {
        if records.is_empty() {
            return;
        }
        let mut announcements = lock(&self.announcements);
        announcements.extend(records);
        // The newest records are worth most: others may have reached their holders before.
        let excess = announcements
            .len()
            .saturating_sub(StreamOrigins::MAX_RECORDS);
        announcements.drain(..excess);
        drop(announcements);
        self.announced.notify_one();
    }

    /// Sends all records of this router to the routers that keep them: from now on others cannot know where
    /// these streams began, or this router leaves.
    pub(crate) fn announce_all(&self) {
        let records = self.origins().all();
        self.announce(records);
    }

    /// Records the servers that are listed now, before the list is in use.
    pub(crate) fn record_listed<'a, Listed>(&self, shared: &Shared, listed: Listed)
    where
        Listed: Clone + IntoIterator<Item = &'a ServerEntry>,
    {
        let now_ms = Clock.now_ms();
        let uncertain = self.origins().record_listed(listed.clone());
        if !uncertain.is_empty() {
            note!(Event::STREAM_ORIGINS_UNCERTAIN, streams = uncertain.len());
            self.announce(uncertain);
        }
        let list_version = list_version(shared);
        let mut history = lock(&self.history);
        let change = history.record_listed(listed, now_ms);
        history.expire(now_ms);
        let retention_ms = history.retention_ms();
        self.stored.record_listed(&history, &change, list_version);
        drop(history);
        self.origins().expire(retention_ms, now_ms);
        if change.has_changed {
            self.announce_all();
        }
    }

    /// Records that a server ran its listed version until a time: other routers learn which streams that confirms.
    pub(crate) fn confirm(&self, server: &ServerEntry, proven_store_ms: u64) {
        let confirmed = self.origins().confirm(server, proven_store_ms);
        self.announce(confirmed);
    }

    /// Records a configuration that comes into force.
    pub(crate) fn record_configuration(&self, configuration: &Configuration) {
        let mut history = lock(&self.history);
        let has_changed = history.record_configuration(configuration, Clock.now_ms());
        self.stored.record_routes(&history);
        drop(history);
        if has_changed {
            self.announce_all();
        }
    }

    /// The record of a stream; none if there is none.
    pub(crate) fn record_of(&self, key: StreamKey) -> Option<OriginRecord> {
        let retention_ms = lock(&self.history).retention_ms();
        let mut origins = self.origins();
        origins.expire(retention_ms, Clock.now_ms());
        origins.get(key)
    }

    /// Records what other routers sent.
    pub(crate) fn merge(&self, records: &[OriginRecord]) {
        let now_ms = Clock.now_ms();
        let retention_ms = lock(&self.history).retention_ms();
        let mut origins = self.origins();
        origins.expire(retention_ms, now_ms);
        for record in records {
            origins.merge(record, now_ms);
        }
    }
}

/// The key of the stream that a request begins or takes up.
pub(crate) fn stream_key(facts: &RequestFacts, workspace: Option<&str>) -> StreamKey {
    let attempt = facts.begun_by.as_deref().unwrap_or(&facts.id);
    StreamKey::new(workspace.unwrap_or_default(), &facts.host, attempt)
}

/// What the versions of the servers lately say about a stream without a record.
pub(crate) fn evidence_of_history(shared: &Shared, route: &Route) -> OriginEvidence {
    let is_current = is_list_current(shared);
    lock(&shared.stream_origins.history).evidence(&route.targets, is_current, Clock.now_ms())
}

/// Whether all servers of a route have run one version for so long that the store tells any router where a stream began.
fn is_long_sole(shared: &Shared, route: &Route) -> bool {
    if !is_list_current(shared) {
        return false;
    }
    let settle_ms = shared.settings().attempts.sole_version_ms;
    let history = lock(&shared.stream_origins.history);
    history.is_long_sole(&route.targets, settle_ms, Clock.now_ms())
}

/// Whether no newer list of servers is likely to exist.
pub(crate) fn is_list_current(shared: &Shared) -> bool {
    is_list_younger(shared, CURRENT_AGE_MS)
}

/// Whether the list of servers was the newest less than `max_age_ms` ago, or other routers know of no newer one.
pub(crate) fn is_list_younger(shared: &Shared, max_age_ms: u64) -> bool {
    let now_ms = Clock.now_ms();
    let is_connected = shared.peers().is_connected(now_ms);
    let state = shared.servers_watch().state();
    let is_recent = state
        .age_ms(now_ms)
        .is_some_and(|age_ms| age_ms < max_age_ms);
    // Other routers would have advertised a newer list.
    state.is_in_use() && (is_recent || is_connected && !state.is_behind())
}

/// The other routers that keep the record of a stream.
pub(crate) fn holders(shared: &Shared, key: StreamKey) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let own = (settings.name.as_str(), settings.peer_address);
    let peers = shared.peers();
    let owners = peers.key_holders(key.owner_key(), own, HOLDERS, Clock.now_ms());
    let others = owners.into_iter();
    others
        .filter(|address| *address != settings.peer_address)
        .collect()
}

/// Sends new records to the routers that keep them, until the process ends. A lost datagram costs one of
/// several copies.
pub(crate) async fn send_stream_origins(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let table = &shared.stream_origins;
    loop {
        table.announced.notified().await;
        sleep(SEND_INTERVAL).await;
        let records = std::mem::take(&mut *lock(&table.announcements));
        let mut by_holder: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::new();
        for record in records {
            for holder in holders(&shared, record.key) {
                by_holder.entry(holder).or_default().push(record);
            }
        }
        for (holder, records) in by_holder {
            for chunk in records.chunks(MAX_SENT) {
                let message = encode(&RouterMessage::StreamOrigins(chunk.to_vec()));
                drop(socket.send_to(&message, holder).await);
            }
        }
    }
}
