//! State that is shared by the threads of a router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use sapphiretrack_routing::{
    ChangeLog, ChangesFragment, Configuration, ConfigurationLog, CrashEvidence, CrashRecord,
    Incarnation, LoadDigest, LoadsByServer, LogSampling, PeerLoads, PeerTable, PrefixRecovery,
    RankKey, RouterState, ServerChanges, ServerEntry, WatchState,
};
use tokio::sync::{Notify, mpsc};

use crate::activity::Activity;
use crate::clock::Clock;
use crate::cold_servers::ColdServerTable;
use crate::connection_pool::ConnectionPool;
use crate::crash_probes::ProbedServers;
use crate::crashes::StoredBlocks;
use crate::draining_servers::DrainingServers;
use crate::ended_servers::EndedServerTable;
use crate::evacuation::Evacuations;
use crate::events::{Event, note};
use crate::load_exchange::LoadExchange;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::peer_hops::PeerHopTable;
use crate::ports::{ConnectServer, Listing, StoreError};
use crate::server_paths::ServerPathTable;
use crate::settings::RouterSettings;
use crate::slot_scheduling::SlotScheduling;
use crate::snapshots::{FetchError, Fetched};
use crate::stated_availability::StatedAvailabilityTable;
use crate::stream_origins::StreamOriginTable;
use crate::traffic::Traffic;
use crate::watch::CallReason;

/// Backend servers that accept new work, by service name.
pub(crate) type ServersByService = HashMap<String, Vec<Arc<ServerEntry>>>;

/// The state of a router. The control thread writes data from the store and from other routers, the
/// traffic thread writes what it observes on its own requests.
pub(crate) struct Shared {
    /// The settings in force.
    settings: ArcSwap<RouterSettings>,
    /// The configuration in force.
    pub(crate) configuration: ArcSwapOption<Configuration>,
    /// The backend servers that accept new work.
    pub(crate) servers: ArcSwap<ServersByService>,
    /// The availability zones that are evacuated.
    pub(crate) evacuations: Evacuations,
    /// The backend servers that are cold.
    pub(crate) cold_servers: ColdServerTable,
    /// The backend servers that drain.
    pub(crate) draining_servers: DrainingServers,
    /// The backend servers that are gone although they are listed.
    pub(crate) ended_servers: EndedServerTable,
    /// What the backend servers stated about their availability to this router.
    pub(crate) stated_availability: StatedAvailabilityTable,
    /// Which versions of the software began streams.
    pub(crate) stream_origins: StreamOriginTable,
    /// The requests for slots of services whose slots a scheduler assigns.
    pub(crate) slot_scheduling: SlotScheduling,
    /// The load that other routers cause on the servers.
    pub(crate) peer_loads: ArcSwap<PeerLoads>,
    /// The servers that have an entry in the store, for routers that read the listing from this
    /// one.
    pub(crate) present_servers: ArcSwap<Vec<Arc<ServerEntry>>>,
    /// Whether discovery has finished: the routers that the store lists were read.
    pub(crate) is_discovered: AtomicBool,
    /// Whether the list of servers was read at least once.
    pub(crate) has_server_list: AtomicBool,
    /// Counters and histograms.
    pub(crate) metrics: Metrics,
    /// Connections to backend servers.
    pub(crate) pool: ConnectionPool<Incarnation>,
    /// Which backend servers this router reaches.
    pub(crate) server_paths: ServerPathTable,
    /// The routers that requests are passed to.
    pub(crate) peer_hops: PeerHopTable,
    /// The requests in flight, and the phases of the process.
    pub(crate) activity: Arc<Activity>,
    /// Notified when this router's advertised state may have changed.
    pub(crate) state_changed: Notify,
    /// Notified when there are new results from the store to advertise to other routers.
    pub(crate) listings_read: Notify,
    /// Notified when there are crash records to announce to other routers.
    pub(crate) crashes_announced: Notify,
    /// Notified when the store's records of blocked requests are to be updated.
    pub(crate) stored_blocks_changed: Notify,
    configuration_watch: ListingWatch,
    servers_watch: ListingWatch,
    peers: Mutex<PeerTable>,
    load_exchange: Mutex<LoadExchange>,
    traffic: Mutex<Traffic>,
    prefix_recovery: Mutex<PrefixRecovery>,
    log_sampling: Mutex<LogSampling>,
    /// Server changes to be relayed to other routers.
    pending_changes: Mutex<Vec<ServerChanges>>,
    /// Server changes that other routers relayed.
    relayed: mpsc::Sender<ChangesFragment>,
    relayed_queue: Mutex<Option<mpsc::Receiver<ChangesFragment>>>,
    /// Recent server changes, for routers that missed some.
    change_log: Mutex<ChangeLog>,
    /// Recent configuration changes, for routers that missed some.
    configuration_log: Mutex<ConfigurationLog>,
    /// Evidence against requests that crash servers.
    crash_evidence: Mutex<CrashEvidence>,
    probed_servers: Mutex<ProbedServers>,
    crash_announcements: Mutex<Vec<CrashRecord>>,
    stored_blocks: Mutex<StoredBlocks>,
}

/// The capacity of the queue of relayed changes: those of a few seconds in the busiest release.
const MAX_QUEUED_CHANGES: usize = 256;
/// Requests per second that are logged in full. This is far above a router's usual load and bounds
/// the log volume under overload.
const FULL_LOGS_PER_S: u32 = 100;
/// The fraction of `key_bound_ms` after which keys are no longer accepted. The rest covers a store
/// that drops its history, which may leave a watch without an update for 1 s, and the time from the
/// check to the arrival at the server.
const KEY_BOUND_FRACTION: f64 = 0.8;
/// The time that a request may take to reach its server after the check of the server list.
const SEND_ALLOWANCE_MS: u64 = 100;
/// The number of routers that keep watches open: one more than may fail within the same second.
const WATCHERS: usize = 2;

/// The average age of the loads in a received digest: about half of the intervals between reports
/// and between sums.
const DIGEST_AGE_MS: u64 = 125;
/// The time for which a router's calls to the store must fail before others take over its watches.
const STORE_FAILING_MS: u64 = 500;

/// The state of a watch on a listing of the store.
#[derive(Default)]
pub(crate) struct ListingWatch {
    state: Mutex<WatchState>,
    /// Notified when another router advertises or relays a change.
    pub(crate) changed: Notify,
}

impl ListingWatch {
    /// Locks the state.
    pub(crate) fn state(&self) -> MutexGuard<'_, WatchState> {
        lock(&self.state)
    }
}

/// The configuration in force, and the decisions for which it is recent enough.
pub(crate) struct ConfigurationInForce {
    pub(crate) configuration: Arc<Configuration>,
    /// Whether the configuration is recent enough to accept or reject keys.
    pub(crate) has_fresh_keys: bool,
    /// Whether it may be applied to the request that it was looked up for.
    pub(crate) is_usable: bool,
}

impl Shared {
    /// The state of a router that has just started.
    pub(crate) fn new(settings: RouterSettings, connect_server: ConnectServer) -> Self {
        let (relayed, relayed_queue) = mpsc::channel(MAX_QUEUED_CHANGES);
        let traffic = Traffic::new(&settings);
        let peer_hops = PeerHopTable::new(settings.peer_address.ip());
        let recovery = PrefixRecovery::new(settings.is_first_start, Clock.now_ms());
        Self {
            activity: Arc::new(Activity::new(settings.machine)),
            settings: ArcSwap::from_pointee(settings),
            configuration: ArcSwapOption::empty(),
            servers: ArcSwap::default(),
            evacuations: Evacuations::default(),
            cold_servers: ColdServerTable::default(),
            draining_servers: DrainingServers::default(),
            ended_servers: EndedServerTable::default(),
            stated_availability: StatedAvailabilityTable::default(),
            stream_origins: StreamOriginTable::default(),
            slot_scheduling: SlotScheduling::default(),
            peer_loads: ArcSwap::default(),
            present_servers: ArcSwap::default(),
            is_discovered: AtomicBool::new(false),
            has_server_list: AtomicBool::new(false),
            metrics: Metrics::new(),
            pool: ConnectionPool::new(connect_server),
            server_paths: ServerPathTable::default(),
            peer_hops,
            state_changed: Notify::new(),
            listings_read: Notify::new(),
            crashes_announced: Notify::new(),
            crash_evidence: Mutex::default(),
            probed_servers: Mutex::default(),
            crash_announcements: Mutex::default(),
            stored_blocks: Mutex::default(),
            stored_blocks_changed: Notify::new(),
            configuration_watch: ListingWatch::default(),
            servers_watch: ListingWatch::default(),
            peers: Mutex::default(),
            load_exchange: Mutex::default(),
            traffic: Mutex::new(traffic),
            prefix_recovery: Mutex::new(recovery),
            pending_changes: Mutex::default(),
            relayed,
            relayed_queue: Mutex::new(Some(relayed_queue)),
            change_log: Mutex::default(),
            configuration_log: Mutex::default(),
            log_sampling: Mutex::new(LogSampling::new(FULL_LOGS_PER_S)),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Guard<Arc<RouterSettings>> {
        self.settings.load()
    }

    /// Puts new settings into force. The name, zone, regions and addresses of the process do not
    /// change.
    pub(crate) fn apply_settings(&self, new_settings: RouterSettings) {
        let current = self.settings();
        let settings = RouterSettings {
            name: current.name.clone(),
            zone: current.zone.clone(),
            regions: current.regions.clone(),
            caller_address: current.caller_address,
            ready_address: current.ready_address,
            lookup_address: current.lookup_address,
            peer_address: current.peer_address,
            metrics_address: current.metrics_address,
            ..new_settings
        };
        {
            let mut traffic = self.traffic();
            traffic.retries.set_settings(settings.retry.clone());
            traffic.prefix_index.set_settings(settings.warm);
        }
        self.settings.store(Arc::new(settings));
    }

    /// The watch on the configuration.
    pub(crate) fn configuration_watch(&self) -> &ListingWatch {
        &self.configuration_watch
    }

    /// The watch on the backend servers.
    pub(crate) fn servers_watch(&self) -> &ListingWatch {
        &self.servers_watch
    }

    /// Whether this router is one of the [`WATCHERS`] that keep watches open at the store.
    pub(crate) fn is_watcher(&self) -> bool {
        let now_ms = Clock.now_ms();
        self.rank(now_ms) < WATCHERS
    }

    /// The number of live routers ahead of this one in the order that all routers compute alike.
    pub(crate) fn rank(&self, now_ms: u64) -> usize {
        let own = RankKey {
            is_store_failing: self.is_store_failing(now_ms),
            cpu_millicores: self.settings().cpu_millicores,
        };
        self.peers().rank(&self.settings().name, own, now_ms)
    }

    /// Whether this router's own calls to the store have failed for at least [`STORE_FAILING_MS`].
    pub(crate) fn is_store_failing(&self, now_ms: u64) -> bool {
        let watches = [&self.configuration_watch, &self.servers_watch];
        let mut since = watches
            .map(|watch| watch.state().failing_since_ms())
            .into_iter();
        since.any(|since| since.is_some_and(|since| now_ms >= since + STORE_FAILING_MS))
    }

    /// Locks the table of the other routers.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Locks the load exchange.
    pub(crate) fn load_exchange(&self) -> MutexGuard<'_, LoadExchange> {
        lock(&self.load_exchange)
    }

    /// Uses a collector's digest for placement, and marks the routers that it reports as silent.
    pub(crate) fn apply_digest(&self, from: SocketAddr, digest: &LoadDigest) {
        let now_ms = Clock.now_ms();
        self.peers().record_silent(&digest.silent, now_ms);
        let mut exchange = self.load_exchange();
        exchange.record_digest(from, digest);
        if let Some(loads) = exchange.loads(now_ms) {
            self.apply_loads(loads.clone(), DIGEST_AGE_MS, now_ms);
        }
    }

    /// Uses the loads in other routers' heartbeats for placement, unless there is a recent digest.
    pub(crate) fn apply_heartbeat_loads(&self, now_ms: u64) {
        if self.load_exchange().loads(now_ms).is_none() {
            let peers = self.peers();
            let age_ms = peers.heartbeat_interval_ms() / 2;
            let loads = peers.loads(now_ms);
            drop(peers);
            self.apply_loads(loads, age_ms, now_ms);
        }
    }

    fn apply_loads(&self, loads: LoadsByServer, age_ms: u64, now_ms: u64) {
        let updated = self.peer_loads.load().update(loads, age_ms, now_ms);
        self.peer_loads.store(Arc::new(updated));
    }

    /// Locks the data observed on this router's own requests.
    pub(crate) fn traffic(&self) -> MutexGuard<'_, Traffic> {
        lock(&self.traffic)
    }

    /// Locks the state of the recovery of cached prompt prefixes after a start.
    pub(crate) fn prefix_recovery(&self) -> MutexGuard<'_, PrefixRecovery> {
        lock(&self.prefix_recovery)
    }

    /// Queues changes to be relayed to other routers with the next adverts of this router's
    /// listings.
    pub(crate) fn queue_changes(&self, changes: ServerChanges) {
        lock(&self.pending_changes).push(changes);
    }

    /// Takes the changes that are queued for other routers.
    pub(crate) fn take_pending_changes(&self) -> Vec<ServerChanges> {
        std::mem::take(&mut *lock(&self.pending_changes))
    }

    /// Passes changes that another router relayed to the watch on the servers.
    pub(crate) fn deliver_changes(&self, fragment: ChangesFragment) {
        // If the queue is full, the change is dropped: the next heartbeat advertises it, and the
        // watch reads it.
        drop(self.relayed.try_send(fragment));
        self.servers_watch().changed.notify_one();
    }

    /// Takes the receiver of relayed changes; none if it was taken before.
    pub(crate) fn take_relayed(&self) -> Option<mpsc::Receiver<ChangesFragment>> {
        lock(&self.relayed_queue).take()
    }

    /// The version of a listing at this router. Routers read only the configuration and the servers
    /// from each other.
    pub(crate) fn version_of(&self, listing: Listing) -> Option<u64> {
        let watch = match listing {
            Listing::Configuration => self.configuration_watch(),
            Listing::Servers | Listing::Routers => self.servers_watch(),
        };
        watch.state().version()
    }

    /// Locks the log of server changes that were applied here.
    pub(crate) fn change_log(&self) -> MutexGuard<'_, ChangeLog> {
        lock(&self.change_log)
    }

    /// Locks the log of configuration changes that came into force here.
    pub(crate) fn configuration_log(&self) -> MutexGuard<'_, ConfigurationLog> {
        lock(&self.configuration_log)
    }

    /// Locks the evidence against requests that crash servers.
    pub(crate) fn crash_evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        lock(&self.crash_evidence)
    }

    /// Locks the servers that may have crashed.
    pub(crate) fn probed_servers(&self) -> MutexGuard<'_, ProbedServers> {
        lock(&self.probed_servers)
    }

    /// Queues crash records to be announced to other routers.
    pub(crate) fn announce_crashes(&self, records: &[CrashRecord]) {
        lock(&self.crash_announcements).extend_from_slice(records);
        self.crashes_announced.notify_one();
    }

    /// Locks the state of the store's records of blocked requests.
    pub(crate) fn stored_blocks(&self) -> MutexGuard<'_, StoredBlocks> {
        lock(&self.stored_blocks)
    }

    /// Takes the crash records that are queued for other routers.
    pub(crate) fn take_crash_announcements(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut *lock(&self.crash_announcements))
    }

    /// Whether a request is to be logged in full.
    pub(crate) fn is_log_sampled(&self, id: &str) -> bool {
        lock(&self.log_sampling).is_sampled(id, Clock.now_ms())
    }

    /// Logs and counts a call to the store. The outcome is the version that it returned or an
    /// error.
    pub(crate) fn note_store_call(
        &self,
        listing: Listing,
        reason: CallReason,
        sent_ms: u64,
        outcome: Result<u64, &StoreError>,
    ) {
        self.metrics
            .count_store_call(listing.as_str(), reason.as_str());
        let took_ms = Clock.now_ms().saturating_sub(sent_ms);
        let (listing, reason) = (listing.as_str(), reason.as_str());
        match outcome {
            Ok(version) => note!(
                Event::STORE_CALLED,
                listing = listing,
                reason = reason,
                took_ms = took_ms,
                version = version,
            ),
            Err(error) => note!(
                Event::STORE_CALLED,
                listing = listing,
                reason = reason,
                took_ms = took_ms,
                error = error,
            ),
        }
    }

    /// Logs an attempt to read a listing from another router, with its duration and outcome.
    pub(crate) fn note_fetch(
        &self,
        listing: Listing,
        peer: SocketAddr,
        sent_ms: u64,
        outcome: Result<&Fetched, &FetchError>,
    ) {
        let listing = listing.as_str();
        let took_ms = Clock.now_ms().saturating_sub(sent_ms);
        match outcome {
            Ok(fetched) => note!(
                Event::LISTING_FETCHED,
                listing = listing,
                peer = peer,
                took_ms = took_ms,
                version = fetched.snapshot.version,
                records = fetched.snapshot.record_count(),
                bytes = fetched.bytes,
            ),
            Err(error) => note!(
                Event::LISTING_FETCH_FAILED,
                listing = listing,
                peer = peer,
                took_ms = took_ms,
                error = error,
            ),
        }
    }

    /// The age of the proof that the configuration is the newest; none without a proof.
    pub(crate) fn configuration_age_ms(&self) -> Option<u64> {
        self.configuration_watch.state().age_ms(Clock.now_ms())
    }

    /// The time, by the store's clock, up to which the configuration is proven to be the newest.
    pub(crate) fn configuration_proof(&self) -> Option<u64> {
        let state = self.configuration_watch.state();
        state.advert().proven_store_ms
    }

    /// Whether the configuration is recent enough to accept or reject keys.
    pub(crate) fn keys_are_fresh(&self) -> bool {
        let limit_ms = (self.settings().key_bound_ms as f64 * KEY_BOUND_FRACTION) as u64;
        self.configuration_age_ms()
            .is_some_and(|age| age < limit_ms)
    }

    /// The configuration in force for a request that arrived at a time; none before the first one.
    pub(crate) fn in_force(&self, arrived_ms: u64) -> Option<ConfigurationInForce> {
        // A configuration is put into force before its proof is recorded. Reading the proof first
        // guarantees that it is never applied to an older configuration than its own.
        let has_fresh_keys = self.keys_are_fresh();
        let is_usable = self.configuration_is_usable(arrived_ms);
        Some(ConfigurationInForce {
            configuration: self.configuration.load_full()?,
            has_fresh_keys,
            is_usable,
        })
    }

    /// Whether the configuration in force may be applied to a request that arrived at a time.
    pub(crate) fn configuration_is_usable(&self, arrived_ms: u64) -> bool {
        let bound_ms = self.settings().configuration_bound_ms;
        let state = self.configuration_watch.state();
        state.is_usable(arrived_ms, bound_ms)
    }

    /// Whether requests may be sent to the backend servers on this router's list. False if a newer
    /// list is known to exist and a server on the current one may have left longer ago than
    /// `drain_bound_ms` allows.
    pub(crate) fn servers_are_usable(&self) -> bool {
        let bound_ms = self
            .settings()
            .drain_bound_ms
            .saturating_sub(SEND_ALLOWANCE_MS);
        let state = self.servers_watch.state();
        state.is_usable(Clock.now_ms(), bound_ms)
    }

    /// Whether this router knows all evacuation orders that are older than
    /// `evacuation_bound_ms`, as far as it can know: false if one may be missing here that other
    /// routers have.
    pub(crate) fn evacuations_are_usable(&self) -> bool {
        let bound_ms = self
            .settings()
            .evacuation_bound_ms
            .saturating_sub(SEND_ALLOWANCE_MS);
        let state = self.configuration_watch.state();
        state.is_usable(Clock.now_ms(), bound_ms)
    }

    /// The state that this router advertises to the others: without a path to the servers it is ready
    /// for the callers that it has, and gets no others.
    pub(crate) fn advertised_state(&self) -> RouterState {
        match self.state() {
            RouterState::Ready if self.server_paths.is_lost() => RouterState::NotReady,
            state => state,
        }
    }

    /// The state of this router.
    pub(crate) fn state(&self) -> RouterState {
        if self.activity.leaving_for_ms().is_some() {
            return RouterState::Leaving;
        }
        match self.serves_open_routes() && self.keys_are_fresh() {
            true => RouterState::Ready,
            false => RouterState::NotReady,
        }
    }

    /// Whether this router serves requests that need no key. They require no proof that the
    /// configuration is the newest, only that no newer one has been advertised for too long.
    pub(crate) fn serves_open_routes(&self) -> bool {
        let has_server_list = self.has_server_list.load(Ordering::Relaxed);
        has_server_list
            && self.configuration.load().is_some()
            && self.configuration_is_usable(Clock.now_ms())
            && self.activity.leaving_for_ms().is_none()
    }

    /// Begins the planned stop, and announces it to the other routers; further calls have no effect.
    pub(crate) fn begin_stop(&self) {
        if self.activity.begin_stop() {
            self.state_changed.notify_one();
        }
    }
}
