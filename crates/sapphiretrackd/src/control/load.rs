//! The load of pools and servers, for the load bound and for backlog estimates.

use std::collections::{BTreeMap, BTreeSet};

use sapphiretrack_core::{
    DrainSettings, JOIN_SETTLE_MS, PlacementSettings, PoolLoad, RouterId, RouterLoad, SentTokens,
    ServerId, VmState, backlog_tokens, pool_load,
};

use crate::control::ControlState;

/// Loads reported by peers, and servers that joined recently.
#[derive(Default)]
pub(super) struct LoadTracker {
    /// Requests in flight of each peer by pool, with the time of the report.
    peer_loads: BTreeMap<(RouterId, String), (u32, u64)>,
    /// Servers that accepted new work at the last update.
    open_servers: BTreeSet<ServerId>,
    /// When each recently joined server was first seen to accept new work.
    joined_ms: BTreeMap<ServerId, u64>,
    /// When the last load report of each server arrived.
    reported_ms: BTreeMap<ServerId, u64>,
}

impl ControlState {
    /// Finds servers that have begun to accept new work. If there was none before, as after the
    /// start of this router, they do not count as joining, since they may have accepted work for a
    /// long time.
    pub(super) fn update_joining_servers(&mut self, now_ms: u64) {
        let all = self.servers.iter().map(|(server, _)| server);
        let is_live = |server: &ServerId| self.server_state(*server, now_ms) == VmState::Live;
        let open: BTreeSet<ServerId> = all.filter(is_live).collect();
        if !self.load_tracker.open_servers.is_empty() {
            let joined = open.difference(&self.load_tracker.open_servers);
            let joined: Vec<ServerId> = joined.copied().collect();
            self.load_tracker
                .joined_ms
                .extend(joined.into_iter().map(|server| (server, now_ms)));
        }
        let count_before = self.load_tracker.joined_ms.len();
        self.load_tracker.joined_ms.retain(|server, at_ms| {
            open.contains(server) && now_ms.saturating_sub(*at_ms) < JOIN_SETTLE_MS
        });
        // A server that stops joining by time alone gets requests only after a new snapshot.
        self.changed |= self.load_tracker.joined_ms.len() != count_before;
        self.load_tracker.open_servers = open;
    }

    /// Whether a server joined less than `JOIN_SETTLE_MS` ago: it counts towards the load bound but
    /// gets no requests yet.
    pub(super) fn is_joining(&self, server: ServerId, now_ms: u64) -> bool {
        let joined_ms = self.load_tracker.joined_ms.get(&server);
        joined_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < JOIN_SETTLE_MS)
    }

    /// Records a peer's requests in flight on the pool of a server, sent outside a heartbeat.
    pub(super) fn record_pool_load(
        &mut self,
        router: RouterId,
        server: ServerId,
        in_flight: u16,
        now_ms: u64,
    ) {
        let Some(pool) = self.pool_of(server) else {
            return;
        };
        let load = (u32::from(in_flight), now_ms);
        self.load_tracker.peer_loads.insert((router, pool), load);
    }

    /// Records a peer's requests in flight on all pools, from the counts of its heartbeats.
    pub(super) fn record_peer_loads(&mut self, router: RouterId, now_ms: u64) {
        let mut by_pool: BTreeMap<String, u32> = BTreeMap::new();
        let counts = self.heartbeat_tracker.in_flight.get(&router);
        for server in self.pooled_servers() {
            let count = counts.and_then(|counts| counts.get(&server.id));
            *by_pool.entry(server.pool.to_owned()).or_default() +=
                u32::from(count.copied().unwrap_or(0));
        }
        for (pool, in_flight) in by_pool {
            self.load_tracker
                .peer_loads
                .insert((router, pool), (in_flight, now_ms));
        }
    }

    /// Records that a server's load report arrived now.
    pub(super) fn record_report_time(&mut self, server: ServerId, now_ms: u64) {
        self.load_tracker.reported_ms.insert(server, now_ms);
    }

    /// This router's requests in flight on the pool of a server.
    pub(super) fn own_pool_in_flight(&self, server: ServerId) -> u16 {
        let Some(pool) = self.pool_of(server) else {
            return 0;
        };
        u16::try_from(self.own_in_flight(&pool)).unwrap_or(u16::MAX)
    }

    /// A pool's load. Leaving servers count while they have requests, since the sums that peers
    /// report include those requests.
    pub(super) fn pool_load(&self, pool: &str, now_ms: u64) -> PoolLoad {
        let in_flight = self.in_flight_by_server();
        let mut servers = PoolLoad::default();
        for server in self.pooled_servers().filter(|server| server.pool == pool) {
            let is_live = self.server_state(server.id, now_ms) == VmState::Live;
            let holds = in_flight.get(&server.id).is_some_and(|count| *count > 0);
            let is_open = is_live && !self.is_joining(server.id, now_ms);
            servers.live_servers += u32::from(is_live || holds);
            servers.open_servers += u32::from(is_open);
        }
        let seen = self.load_tracker.peer_loads.iter();
        let seen = seen.filter(|((router, of), _)| of == pool && self.peers.get(*router).is_some());
        let seen = seen.map(|(_, (in_flight, at_ms))| RouterLoad {
            in_flight: *in_flight,
            age_ms: now_ms.saturating_sub(*at_ms),
        });
        PoolLoad {
            live_servers: servers.live_servers,
            open_servers: servers.open_servers,
            ..pool_load(&DrainSettings::default(), self.own_in_flight(pool), seen)
        }
    }

    /// Estimates the prompt tokens that a server has yet to compute, from its last report, the time
    /// since then and what this router has sent since.
    pub(super) fn backlog_tokens(&self, server: ServerId, now_ms: u64) -> u64 {
        let Some(known) = self.servers.get(server) else {
            return 0;
        };
        let own = self
            .held_slots
            .values()
            .filter(|held| held.server == server);
        let sent = own.map(|held| SentTokens {
            tokens: held.uncached_tokens,
            age_ms: now_ms.saturating_sub(held.requested_ms),
        });
        let reported_ms = self
            .load_tracker
            .reported_ms
            .get(&server)
            .copied()
            .unwrap_or(0);
        let age_ms = now_ms.saturating_sub(reported_ms);
        let reported_tokens = known.report.queued_prompt_tokens;
        backlog_tokens(&PlacementSettings::default(), reported_tokens, age_ms, sent)
    }

    /// This router's requests in flight on a pool.
    fn own_in_flight(&self, pool: &str) -> u32 {
        let of_pool = |server: ServerId| self.pool_of(server).is_some_and(|of| of == pool);
        // Excludes slots that are not granted yet: they may be refused, and this count has to be a
        // lower bound of the load.
        let granted = self.held_slots.values().filter(|held| held.is_granted);
        granted.filter(|held| of_pool(held.server)).count() as u32
    }

    /// The pool that a server belongs to.
    pub(super) fn pool_of(&self, server: ServerId) -> Option<String> {
        let mut servers = self.pooled_servers();
        let found = servers.find(|known| known.id == server)?;
        Some(found.pool.to_owned())
    }
}
