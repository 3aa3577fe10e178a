//! What the threads of a router share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use sapphiretrack_core::DrainRate;
use sapphiretrack_routing::{
    ChangeLog, ChangesFragment, Configuration, ConfigurationLog, CrashEvidence, CrashRecord,
    Incarnation, LoadDigest, LoadsByServer, LogSampling, PeerLoads, PeerTable, PrefixIndex,
    PrefixRecovery, RankKey, RetryShare, RouterState, ServerChanges, ServerEntry, ServerHealth,
    ServerLoad, ServiceTime, WatchState,
};
use tokio::sync::{Notify, mpsc};

use crate::clock::Clock;
use crate::crashes::{KeptCrashes, Suspects};
use crate::events::{Event, note};
use crate::loads::LoadExchange;
use crate::metrics::Metrics;
use crate::ports::{Listing, StoreError};
use crate::server_pool::ServerPool;
use crate::settings::RouterSettings;
use crate::snapshots::{FetchError, Fetched};
use crate::watch::CallReason;

/// Backend servers by service, as the traffic thread reads them.
pub(crate) type ServersByService = HashMap<String, Vec<Arc<ServerEntry>>>;

/// The state of a router. The control thread writes what comes from the store and the peers, the
/// traffic thread what its own requests tell.
pub(crate) struct Shared {
    /// The settings of the router.
    settings: ArcSwap<RouterSettings>,
    /// The configuration in force.
    pub(crate) configuration: ArcSwapOption<Configuration>,
    /// The backend servers that take new work.
    pub(crate) servers: ArcSwap<ServersByService>,
    /// The load that other routers put on servers.
    pub(crate) peer_loads: ArcSwap<PeerLoads>,
    /// The servers whose entries the store has, for routers that lack them.
    pub(crate) present_servers: ArcSwap<Vec<Arc<ServerEntry>>>,
    /// Whether the routers that the store lists are known.
    pub(crate) is_discovered: AtomicBool,
    /// Whether the servers were read at least once.
    pub(crate) servers_known: AtomicBool,
    /// Counters and histograms.
    pub(crate) metrics: Metrics,
    /// Connections to backend servers.
    pub(crate) pool: ServerPool,
    /// Wakes whoever waits for a change of this router's own state.
    pub(crate) state_changed: Notify,
    /// Wakes whoever advertises what a watch of the store brings.
    pub(crate) listings_read: Notify,
    /// Wakes whoever announces requests that crash servers to the other routers.
    pub(crate) crash_news: Notify,
    /// Wakes whoever writes them to the store.
    pub(crate) kept_crashes_changed: Notify,
    configuration_watch: SharedWatch,
    servers_watch: SharedWatch,
    peers: Mutex<PeerTable>,
    load_exchange: Mutex<LoadExchange>,
    traffic: Mutex<Traffic>,
    prefix_recovery: Mutex<PrefixRecovery>,
    log_sampling: Mutex<LogSampling>,
    /// Changes of servers that wait to be passed on to the other routers.
    to_pass_on: Mutex<Vec<ServerChanges>>,
    /// Changes of servers that other routers passed on.
    relayed: mpsc::Sender<ChangesFragment>,
    relayed_queue: Mutex<Option<mpsc::Receiver<ChangesFragment>>>,
    /// The latest changes of servers, for routers that missed some.
    change_log: Mutex<ChangeLog>,
    /// The same of the configuration.
    configuration_log: Mutex<ConfigurationLog>,
    /// Requests that crash servers.
    crash_evidence: Mutex<CrashEvidence>,
    suspects: Mutex<Suspects>,
    crash_announcements: Mutex<Vec<CrashRecord>>,
    kept_crashes: Mutex<KeptCrashes>,
    started_ms: u64,
    leaving_since_ms: AtomicU64,
    in_flight: AtomicUsize,
    last_request_ms: AtomicU64,
    body_bytes: AtomicUsize,
}

/// What this router's own requests tell.
pub(crate) struct Traffic {
    /// Load and health of servers.
    pub(crate) health: HashMap<Incarnation, ServerHealth>,
    /// Where prompt prefixes are cached.
    pub(crate) warm: PrefixIndex,
    /// The share of the retry budget.
    pub(crate) retries: RetryShare,
    /// How long each service takes for a request.
    pub(crate) service_times: HashMap<String, ServiceTime>,
    /// How fast each service ends requests.
    pub(crate) drain: HashMap<String, DrainRate>,
}

/// Changes that wait to be taken in: those of a few seconds in the busiest release.
const MAX_RELAYED: usize = 256;
/// Requests a second that the log tells in full: far above the usual load of a router, and what bounds
/// the log under any other.
const FULL_LOGS_PER_S: u32 = 100;
/// The part of the bound for keys after which they are not believed any more. The rest covers
/// a store that drops its history, and may leave a watch without news for a second, and the
/// way from a check to the server.
const KEY_PART: f64 = 0.8;
/// How long a request may take to its server after a look at the list.
const SEND_MS: u64 = 100;
/// Routers that keep watches open: one more than may fail in the same second.
const WATCHERS: usize = 2;

/// The age of the loads in a digest on the average: half of the times between two reports and between
/// two sums.
const DIGEST_AGE_MS: u64 = 125;
/// How long calls to the store must fail until other routers take over its watches.
const FAILING_MS: u64 = 500;

/// How far a listing of the store is known.
#[derive(Default)]
pub(crate) struct SharedWatch {
    state: Mutex<WatchState>,
    /// Wakes the watch when another router advertises a change.
    pub(crate) changed: Notify,
}

impl SharedWatch {
    /// Its state.
    pub(crate) fn state(&self) -> MutexGuard<'_, WatchState> {
        lock(&self.state)
    }
}

/// The configuration in force, and what it may be used for.
pub(crate) struct InForce {
    pub(crate) configuration: Arc<Configuration>,
    /// Whether its keys may be believed now.
    pub(crate) has_fresh_keys: bool,
    /// Whether it may decide about a request that came at a given time.
    pub(crate) is_usable: bool,
}

/// A request that this router has, until it is dropped.
pub(crate) struct InFlight(Arc<Shared>);

/// Memory for a request's body, until it is dropped.
pub(crate) struct BodyMemory {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Shared {
    /// The state of a router that knows nothing yet.
    pub(crate) fn new(settings: RouterSettings) -> Self {
        let retries = RetryShare::new(settings.retry.clone());
        let (relayed, relayed_queue) = mpsc::channel(MAX_RELAYED);
        let mut warm = PrefixIndex::default();
        warm.set_settings(settings.warm);
        let recovery = PrefixRecovery::new(settings.is_first_start, Clock.now_ms());
        Self {
            settings: ArcSwap::from_pointee(settings),
            configuration: ArcSwapOption::empty(),
            servers: ArcSwap::default(),
            peer_loads: ArcSwap::default(),
            present_servers: ArcSwap::default(),
            is_discovered: AtomicBool::new(false),
            servers_known: AtomicBool::new(false),
            metrics: Metrics::new(),
            pool: ServerPool::default(),
            state_changed: Notify::new(),
            listings_read: Notify::new(),
            crash_news: Notify::new(),
            crash_evidence: Mutex::default(),
            suspects: Mutex::default(),
            crash_announcements: Mutex::default(),
            kept_crashes: Mutex::default(),
            kept_crashes_changed: Notify::new(),
            configuration_watch: SharedWatch::default(),
            servers_watch: SharedWatch::default(),
            peers: Mutex::default(),
            load_exchange: Mutex::default(),
            traffic: Mutex::new(Traffic {
                health: HashMap::new(),
                warm,
                retries,
                service_times: HashMap::new(),
                drain: HashMap::new(),
            }),
            prefix_recovery: Mutex::new(recovery),
            to_pass_on: Mutex::default(),
            relayed,
            relayed_queue: Mutex::new(Some(relayed_queue)),
            change_log: Mutex::default(),
            configuration_log: Mutex::default(),
            log_sampling: Mutex::new(LogSampling::new(FULL_LOGS_PER_S)),
            started_ms: Clock.now_ms(),
            leaving_since_ms: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            last_request_ms: AtomicU64::new(0),
            body_bytes: AtomicUsize::new(0),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Guard<Arc<RouterSettings>> {
        self.settings.load()
    }

    /// Puts other settings into force. What names or binds this process stays as it was.
    pub(crate) fn use_settings(&self, newer: RouterSettings) {
        let bound = self.settings();
        let settings = RouterSettings {
            name: bound.name.clone(),
            zone: bound.zone.clone(),
            regions: bound.regions.clone(),
            caller_address: bound.caller_address,
            ready_address: bound.ready_address,
            lookup_address: bound.lookup_address,
            peer_address: bound.peer_address,
            metrics_address: bound.metrics_address,
            ..newer
        };
        {
            let mut traffic = self.traffic();
            traffic.retries.set_settings(settings.retry.clone());
            traffic.warm.set_settings(settings.warm);
        }
        self.settings.store(Arc::new(settings));
    }

    /// How far this router knows the configuration.
    pub(crate) fn configuration_watch(&self) -> &SharedWatch {
        &self.configuration_watch
    }

    /// How far this router knows the backend servers.
    pub(crate) fn servers_watch(&self) -> &SharedWatch {
        &self.servers_watch
    }

    /// Whether this router is one of the few that keep watches open at the store.
    pub(crate) fn is_watcher(&self) -> bool {
        let now_ms = Clock.now_ms();
        self.rank(now_ms) < WATCHERS
    }

    /// How many live routers come before this one in the order that all of them agree on.
    pub(crate) fn rank(&self, now_ms: u64) -> usize {
        let own = RankKey {
            is_store_failing: self.is_store_failing(now_ms),
            cpu_millicores: self.settings().cpu_millicores,
        };
        self.peers().rank(&self.settings().name, own, now_ms)
    }

    /// Whether this router's own calls to the store have failed for some time.
    pub(crate) fn is_store_failing(&self, now_ms: u64) -> bool {
        let watches = [&self.configuration_watch, &self.servers_watch];
        let mut since = watches
            .map(|watch| watch.state().failing_since_ms())
            .into_iter();
        since.any(|since| since.is_some_and(|since| now_ms >= since + FAILING_MS))
    }

    /// The other routers.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// The exchange of loads.
    pub(crate) fn load_exchange(&self) -> MutexGuard<'_, LoadExchange> {
        lock(&self.load_exchange)
    }

    /// Places requests by a collector's digest from now on, and offers no router that it misses.
    pub(crate) fn use_digest(&self, from: SocketAddr, digest: &LoadDigest) {
        let now_ms = Clock.now_ms();
        self.peers().note_silent(&digest.silent, now_ms);
        let mut exchange = self.load_exchange();
        exchange.note_digest(from, digest);
        if let Some(loads) = exchange.loads(now_ms) {
            self.use_loads(loads.clone(), DIGEST_AGE_MS, now_ms);
        }
    }

    /// Places requests by the other routers' heartbeats, unless a digest came lately.
    pub(crate) fn use_heartbeat_loads(&self, now_ms: u64) {
        if self.load_exchange().loads(now_ms).is_none() {
            let peers = self.peers();
            let age_ms = peers.heartbeat_interval_ms() / 2;
            let loads = peers.loads(now_ms);
            drop(peers);
            self.use_loads(loads, age_ms, now_ms);
        }
    }

    fn use_loads(&self, loads: LoadsByServer, age_ms: u64, now_ms: u64) {
        let updated = self.peer_loads.load().update(loads, age_ms, now_ms);
        self.peer_loads.store(Arc::new(updated));
    }

    /// What this router's own requests tell.
    pub(crate) fn traffic(&self) -> MutexGuard<'_, Traffic> {
        lock(&self.traffic)
    }

    /// Whether this router knows which servers hold which prompt prefixes.
    pub(crate) fn prefix_recovery(&self) -> MutexGuard<'_, PrefixRecovery> {
        lock(&self.prefix_recovery)
    }

    /// Keeps changes for the other routers until the next heartbeat.
    pub(crate) fn pass_on(&self, changes: ServerChanges) {
        lock(&self.to_pass_on).push(changes);
    }

    /// The changes to pass on now.
    pub(crate) fn take_to_pass_on(&self) -> Vec<ServerChanges> {
        std::mem::take(&mut *lock(&self.to_pass_on))
    }

    /// Hands changes that another router passed on to the watch of the servers.
    pub(crate) fn relay(&self, fragment: ChangesFragment) {
        // With a full queue the next heartbeat shows that there is a change, and it is read.
        drop(self.relayed.try_send(fragment));
        self.servers_watch().changed.notify_one();
    }

    /// The queue of changes that other routers pass on; its one reader takes it.
    pub(crate) fn take_relayed(&self) -> Option<mpsc::Receiver<ChangesFragment>> {
        lock(&self.relayed_queue).take()
    }

    /// How far a listing that routers read from each other is known here.
    pub(crate) fn version_of(&self, listing: Listing) -> Option<u64> {
        let watch = match listing {
            Listing::Configuration => self.configuration_watch(),
            Listing::Servers | Listing::Routers => self.servers_watch(),
        };
        watch.state().version()
    }

    /// The latest changes of servers that were applied here.
    pub(crate) fn change_log(&self) -> MutexGuard<'_, ChangeLog> {
        lock(&self.change_log)
    }

    /// The latest changes of the configuration that were put into force here.
    pub(crate) fn configuration_log(&self) -> MutexGuard<'_, ConfigurationLog> {
        lock(&self.configuration_log)
    }

    /// What is known of requests that crash servers.
    pub(crate) fn crash_evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        lock(&self.crash_evidence)
    }

    /// Servers that may have crashed.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Has records announced to the other routers.
    pub(crate) fn announce_crashes(&self, records: &[CrashRecord]) {
        lock(&self.crash_announcements).extend_from_slice(records);
        self.crash_news.notify_one();
    }

    /// What the store keeps of requests that crash servers.
    pub(crate) fn kept_crashes(&self) -> MutexGuard<'_, KeptCrashes> {
        lock(&self.kept_crashes)
    }

    /// The records to announce now.
    pub(crate) fn take_crash_announcements(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut *lock(&self.crash_announcements))
    }

    /// Whether the log tells a request in full.
    pub(crate) fn logs_in_full(&self, id: &str) -> bool {
        lock(&self.log_sampling).keeps(id, Clock.now_ms())
    }

    /// Logs and counts a call to the store: when it was sent, and the version that it brought.
    pub(crate) fn note_store_call(
        &self,
        listing: Listing,
        reason: CallReason,
        sent_ms: u64,
        outcome: Result<u64, &StoreError>,
    ) {
        self.metrics.store_call(listing.as_str(), reason.as_str());
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

    /// Logs a listing that was read from another router: when it was asked, and what came.
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
                records = fetched.snapshot.records(),
                bytes = fetched.bytes,
            ),
            Err(error) => note!(
                Event::LISTING_NOT_FETCHED,
                listing = listing,
                peer = peer,
                took_ms = took_ms,
                error = error,
            ),
        }
    }

    /// How old the proof is that the configuration is the newest.
    pub(crate) fn configuration_age_ms(&self) -> Option<u64> {
        self.configuration_watch.state().age_ms(Clock.now_ms())
    }

    /// The store's time up to which the configuration is known to be the newest.
    pub(crate) fn configuration_proof(&self) -> Option<u64> {
        let state = self.configuration_watch.state();
        state.advert().proven_store_ms
    }

    /// Whether keys may be believed now.
    pub(crate) fn keys_are_fresh(&self) -> bool {
        let limit_ms = (self.settings().key_bound_ms as f64 * KEY_PART) as u64;
        self.configuration_age_ms()
            .is_some_and(|age| age < limit_ms)
    }

    /// The configuration in force for a request that came at a time; none before the first.
    pub(crate) fn in_force(&self, arrived_ms: u64) -> Option<InForce> {
        // A configuration is in force before its proof is noted: looked at in this order, a proof is
        // never taken for an older configuration than its own.
        let has_fresh_keys = self.keys_are_fresh();
        let is_usable = self.configuration_is_usable(arrived_ms);
        Some(InForce {
            configuration: self.configuration.load_full()?,
            has_fresh_keys,
            is_usable,
        })
    }

    /// Whether the configuration in force may decide about a request that came at a time.
    pub(crate) fn configuration_is_usable(&self, arrived_ms: u64) -> bool {
        let bound_ms = self.settings().configuration_bound_ms;
        let state = self.configuration_watch.state();
        state.is_usable(arrived_ms, bound_ms)
    }

    /// Whether requests may be sent to the backend servers that this router knows: none of them is known
    /// to have left longer ago than the bound, as far as a newer list would tell.
    pub(crate) fn servers_are_usable(&self) -> bool {
        let bound_ms = self.settings().drain_bound_ms.saturating_sub(SEND_MS);
        let state = self.servers_watch.state();
        state.is_usable(Clock.now_ms(), bound_ms)
    }

    /// The state that this router advertises.
    pub(crate) fn state(&self) -> RouterState {
        if self.leaving_for_ms().is_some() {
            return RouterState::Leaving;
        }
        match self.serves_open_routes() && self.keys_are_fresh() {
            true => RouterState::Ready,
            false => RouterState::NotReady,
        }
    }

    /// Whether it serves requests that need no key: those wait for no proof that the
    /// configuration is the newest, as long as no newer one is known.
    pub(crate) fn serves_open_routes(&self) -> bool {
        let known = self.servers_known.load(Ordering::Relaxed);
        known
            && self.configuration.load().is_some()
            && self.configuration_is_usable(Clock.now_ms())
            && self.leaving_for_ms().is_none()
    }

    /// How long ago this process started.
    pub(crate) fn uptime_ms(&self) -> u64 {
        Clock.now_ms().saturating_sub(self.started_ms)
    }

    /// Starts the planned stop.
    pub(crate) fn leave(&self) {
        let now_ms = Clock.now_ms().max(1);
        let first =
            self.leaving_since_ms
                .compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        if first.is_ok() {
            self.state_changed.notify_one();
        }
    }

    /// How long ago the planned stop began.
    pub(crate) fn leaving_for_ms(&self) -> Option<u64> {
        match self.leaving_since_ms.load(Ordering::Relaxed) {
            0 => None,
            since_ms => Some(Clock.now_ms().saturating_sub(since_ms)),
        }
    }

    /// Counts a request.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.last_request_ms
            .store(Clock.now_ms(), Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Requests that run.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// How long ago the last request came or ended.
    pub(crate) fn quiet_ms(&self) -> u64 {
        let last_ms = self.last_request_ms.load(Ordering::Relaxed);
        Clock.now_ms().saturating_sub(last_ms)
    }

    /// Takes memory for a body; none if too much is in use.
    pub(crate) fn reserve_body(self: &Arc<Self>, bytes: usize) -> Option<BodyMemory> {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let memory = BodyMemory {
            shared: self.clone(),
            bytes,
        };
        (before + bytes <= self.settings().body_memory_bytes).then_some(memory)
    }

    /// The load that this router puts on servers.
    pub(crate) fn own_loads(&self) -> Vec<ServerLoad> {
        let traffic = self.traffic();
        let busy = traffic.health.iter();
        let busy = busy.filter(|(_, health)| health.in_flight > 0);
        let loads = busy.map(|(server, health)| ServerLoad {
            server: server.0,
            in_flight: health.in_flight.min(u32::from(u16::MAX)) as u16,
            prefill_tokens: health.prefill_tokens.min(u64::from(u32::MAX)) as u32,
        });
        loads.collect()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0
            .last_request_ms
            .store(Clock.now_ms(), Ordering::Relaxed);
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Locks state that is consistent between any two statements, so that a panic elsewhere does not
/// spoil it.
fn lock<State>(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
