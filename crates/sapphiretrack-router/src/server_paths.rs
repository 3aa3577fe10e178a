//! Watches this router's own path to the backend servers: checks it when a connection fails or a server
//! falls silent, and probes servers until it is restored.

use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use sapphiretrack_routing::{
    Incarnation, PathChange, ServerEntry, ServerPathSettings, ServerPaths,
};
use tokio::sync::{Mutex as AsyncMutex, Notify};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::eligible_servers::exclusion_of_probe;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::peer_hops::reached_by_peer;
use crate::shared::Shared;

/// Servers that a check connects to besides the one that failed: together they suffice to find the path
/// lost.
const CHECKED_OTHERS: usize = 5;
/// How long the result of a check stands, so that many failures at once cost one check.
const CHECK_VALID_MS: u64 = 50;
/// The interval between probes of servers that are not reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Servers that are probed at a time.
const PROBED_SERVERS: usize = 4;
/// The pause after a check that follows a round of probes, since sound servers are connected to.
const CHECK_PAUSE_MS: u64 = 2_000;
/// Intervals of probes for which it may stay unknown whether a server is gone.
const UNKNOWN_INTERVALS: u32 = 20;
/// Intervals between two questions to other routers meanwhile: when all servers are lost, all routers ask.
const INTERVALS_PER_QUESTION: u32 = 4;
/// How long a server is probed after a request last needed it.
const PROBE_WANTED_MS: u64 = 5_000;

/// What this router knows about its path to the backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerPathTable {
    paths: Mutex<ServerPaths>,
    /// The servers to be probed, and until when.
    probed: Mutex<HashMap<Incarnation, (Arc<ServerEntry>, u64)>>,
    probes_wanted: Notify,
    /// When the last check ended. Locked while one runs.
    checked_ms: AsyncMutex<Option<u64>>,
}

impl ServerPathTable {
    fn paths(&self) -> MutexGuard<'_, ServerPaths> {
        lock(&self.paths)
    }

    /// Whether the path to all servers is lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.paths().lost_since_ms().is_some()
    }

    /// The number of servers to which a connection is expected to open.
    pub(crate) fn reachable_count(&self, servers: &[Arc<ServerEntry>]) -> usize {
        let paths = self.paths();
        if !paths.may_exclude_any() {
            return servers.len();
        }
        let (settings, now_ms) = (ServerPathSettings::default(), Clock.now_ms());
        let is_reachable =
            |server: &&Arc<ServerEntry>| paths.is_reachable(&settings, server.incarnation, now_ms);
        servers.iter().filter(is_reachable).count()
    }

    /// Whether the last connections to all these servers have just failed.
    pub(crate) fn have_all_failed(&self, servers: &[Arc<ServerEntry>]) -> bool {
        let paths = self.paths();
        let (settings, now_ms) = (ServerPathSettings::default(), Clock.now_ms());
        let has_failed =
            |server: &Arc<ServerEntry>| paths.has_failed(&settings, server.incarnation, now_ms);
        servers.iter().all(has_failed)
    }

    /// Records that a connection to a server opened.
    pub(crate) fn record_reached(&self, shared: &Shared, server: Incarnation) {
        let change = self
            .paths()
            .record_reached(&ServerPathSettings::default(), server);
        self.note_change(shared, change);
    }

    /// Records that no connection to a server opened. Returns whether other servers failed, too, since one
    /// was reached.
    pub(crate) fn record_failed(&self, shared: &Shared, server: Incarnation) -> bool {
        let listed = shared.servers.load().values().map(Vec::len).sum();
        let settings = ServerPathSettings::default();
        let now_ms = Clock.now_ms();
        let (change, failed_in_row) = {
            let mut paths = self.paths();
            let change = paths.record_failed(&settings, server, listed, now_ms);
            (change, paths.failed_in_row())
        };
        // Idle connections may be lost as well, which only a request would show.
        shared.pool.close_idle_to(server);
        self.note_change(shared, change);
        failed_in_row > 1
    }

    fn note_change(&self, shared: &Shared, change: Option<PathChange>) {
        let Some(change) = change else {
            return;
        };
        if change == PathChange::Lost {
            shared.pool.close_idle();
            let servers = shared.servers.load();
            self.want_probes(servers.values().flatten());
        }
        note!(match change {
            PathChange::Lost => Event::SERVER_PATH_LOST,
            PathChange::Restored => Event::SERVER_PATH_RESTORED,
        });
        shared.state_changed.notify_one();
    }

    /// Has servers probed until they are reached, or for some seconds.
    pub(crate) fn want_probes<'a, Servers>(&self, servers: Servers)
    where
        Servers: IntoIterator<Item = &'a Arc<ServerEntry>>,
    {
        let until_ms = Clock.now_ms() + PROBE_WANTED_MS;
        let mut probed = lock(&self.probed);
        let was_idle = probed.is_empty();
        probed.extend(
            servers
                .into_iter()
                .map(|server| (server.incarnation, (server.clone(), until_ms))),
        );
        if was_idle {
            self.probes_wanted.notify_one();
        }
    }

    /// Forgets servers that are not listed, and has new ones probed while the path is lost.
    pub(crate) fn apply_listed(&self, shared: &Shared, listed: &HashSet<Incarnation>) {
        let settings = ServerPathSettings::default();
        self.paths()
            .retain_listed(&settings, listed, Clock.now_ms());
        lock(&self.probed).retain(|server, _| listed.contains(server));
        if self.is_lost() {
            self.want_probes(shared.servers.load().values().flatten());
        }
    }
}

/// Finds out whether this router's own path is lost, after `suspect` failed or fell silent: connects to it
/// and to others. Returns whether it is lost.
pub(crate) async fn check_path(shared: &Shared, suspect: &Arc<ServerEntry>) -> bool {
    check_paths_to(shared, suspect, &[suspect]).await
}

/// The same after a connection to `failed` did not open, which was recorded: connects to others only.
pub(crate) async fn check_other_paths(shared: &Shared, failed: &Arc<ServerEntry>) -> bool {
    check_paths_to(shared, failed, &[]).await
}

/// Connects to these servers and to others than `suspect`. Returns whether this router's own path is lost.
async fn check_paths_to(
    shared: &Shared,
    suspect: &Arc<ServerEntry>,
    checked: &[&Arc<ServerEntry>],
) -> bool {
    let table = &shared.server_paths;
    let asked_ms = Clock.now_ms();
    let mut checked_ms = table.checked_ms.lock().await;
    let is_recent = |checked_ms: u64| asked_ms < checked_ms + CHECK_VALID_MS;
    if table.is_lost() || checked_ms.is_some_and(is_recent) {
        return table.is_lost();
    }
    let others: Vec<Arc<ServerEntry>> = {
        let servers = shared.servers.load();
        let others = servers.values().flatten();
        let others = others.filter(|server| server.incarnation != suspect.incarnation);
        others.cloned().collect()
    };
    let sampled = others.sample(&mut rand::rng(), CHECKED_OTHERS);
    let servers: Vec<_> = checked.iter().copied().chain(sampled).collect();
    probe_servers(shared, &servers).await;
    *checked_ms = Some(Clock.now_ms());
    table.is_lost()
}

/// Checks the path in the background after a server failed.
pub(crate) fn check_path_soon(shared: &Arc<Shared>, suspect: &Arc<ServerEntry>) {
    let (shared, suspect) = (shared.clone(), suspect.clone());
    tokio::spawn(async move { check_path(&shared, &suspect).await });
}

/// Opens a connection to a server, closes it, and records the outcome.
pub(crate) async fn probe_server_path(
    shared: &Shared,
    server: &ServerEntry,
    limit_ms: u64,
) -> std::io::Result<()> {
    let outcome = shared.pool.probe(server.address, limit_ms).await;
    match outcome {
        Ok(()) => shared
            .server_paths
            .record_reached(shared, server.incarnation),
        Err(_) => drop(
            shared
                .server_paths
                .record_failed(shared, server.incarnation),
        ),
    }
    outcome
}

/// Whether a server that this router does not reach is gone, and not just this router's path to it: a
/// second router does not reach it either. If none can be asked, whether this router reaches others.
pub(crate) async fn is_gone(shared: &Arc<Shared>, server: &Arc<ServerEntry>) -> bool {
    match reached_by_peer(shared, server).await {
        Some(is_reached) => !is_reached,
        None => !check_path(shared, server).await,
    }
}

/// Like [`is_gone`], but waits for some seconds while nobody knows, since no other router answers and this one
/// reaches no server.
pub(crate) async fn is_gone_once_known(shared: &Arc<Shared>, server: &Arc<ServerEntry>) -> bool {
    for interval in 0..UNKNOWN_INTERVALS {
        if interval.is_multiple_of(INTERVALS_PER_QUESTION)
            && let Some(is_reached) = reached_by_peer(shared, server).await
        {
            return !is_reached;
        }
        if !check_path(shared, server).await {
            // A server that accepts connections again may be one that was not gone.
            return interval == 0 || refuses_connections(shared, server).await;
        }
        sleep(PROBE_INTERVAL).await;
    }
    false
}

/// Whether a server refuses connections now. A timeout may be a network failure.
async fn refuses_connections(shared: &Shared, server: &ServerEntry) -> bool {
    let limit_ms = shared.settings().times.connect_ms;
    let probed = probe_server_path(shared, server, limit_ms).await;
    probed.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Opens a connection to each server that may be asked and records the outcomes, successes last: one
/// server that is reached shows that the path is not lost.
async fn probe_servers(shared: &Shared, servers: &[&Arc<ServerEntry>]) {
    let limit_ms = shared.settings().times.connect_ms;
    let allowed = servers
        .iter()
        .filter(|server| exclusion_of_probe(shared, server).is_none());
    let probes = allowed.map(|server| async move {
        let outcome = shared.pool.probe(server.address, limit_ms).await;
        (server.incarnation, outcome.is_ok())
    });
    let mut outcomes = join_all(probes).await;
    outcomes.sort_by_key(|(_, is_reached)| *is_reached);
    for (server, is_reached) in outcomes {
        match is_reached {
            true => shared.server_paths.record_reached(shared, server),
            false => drop(shared.server_paths.record_failed(shared, server)),
        }
    }
}

/// Probes the servers for which that is wanted, a few at a time, until the process ends.
pub(crate) async fn probe_lost_servers(shared: Arc<Shared>) {
    let table = &shared.server_paths;
    loop {
        table.probes_wanted.notified().await;
        let mut checks_from_ms = 0;
        loop {
            sleep(PROBE_INTERVAL).await;
            let chosen: Vec<Arc<ServerEntry>> = {
                let now_ms = Clock.now_ms();
                let is_lost = table.is_lost();
                let mut probed = lock(&table.probed);
                probed.retain(|_, (_, until_ms)| is_lost || now_ms < *until_ms);
                let servers: Vec<_> = probed.values().map(|(server, _)| server.clone()).collect();
                servers
                    .sample(&mut rand::rng(), PROBED_SERVERS)
                    .cloned()
                    .collect()
            };
            if chosen.is_empty() {
                break;
            }
            let servers: Vec<_> = chosen.iter().collect();
            probe_servers(&shared, &servers).await;
            // The probed servers may be too few to find the path lost.
            if table.paths().failed_in_row() > 0 && Clock.now_ms() >= checks_from_ms {
                check_other_paths(&shared, &chosen[0]).await;
                checks_from_ms = Clock.now_ms() + CHECK_PAUSE_MS;
            }
            let paths = table.paths();
            let (settings, now_ms) = (ServerPathSettings::default(), Clock.now_ms());
            lock(&table.probed).retain(|server, _| !paths.is_reachable(&settings, *server, now_ms));
        }
    }
}

/// Checks the path whenever another server with requests of this router falls silent, until the process
/// ends: where nothing is refused or reset, a lost path shows by that alone.
pub(crate) async fn watch_silent_servers(shared: Arc<Shared>) {
    let mut known = HashSet::new();
    loop {
        sleep(PROBE_INTERVAL).await;
        let silent: HashSet<Incarnation> = {
            let (settings, now_ms) = (shared.settings(), Clock.now_ms());
            let traffic = shared.traffic();
            let health = traffic.health.iter();
            let silent = health.filter(|(_, one)| one.is_unresponsive(&settings.health, now_ms));
            silent.map(|(server, _)| *server).collect()
        };
        let new: HashSet<&Incarnation> = silent.difference(&known).collect();
        let suspect = {
            let listed = shared.servers.load();
            let mut listed = listed.values().flatten();
            listed
                .find(|server| new.contains(&server.incarnation))
                .cloned()
        };
        if let Some(suspect) = suspect {
            check_path(&shared, &suspect).await;
        }
        known = silent;
    }
}
