//! The control state and how messages change it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sapphiretrack_core::{
    BudgetAsk, BudgetReply, FleetConfig, Grant, HeldSlots, Incarnation, KeyIndex, Ledger,
    LedgerSettings, LoadBound, LoadReport, PoolKind, PoolView, Refreshed, ReservationId,
    ReserveRequest, RouterId, RouterView, ServerId, ServerView, VmRecord, VmRole, VmState,
    newer_config, steward_of,
};
use sapphiretrack_peer::{
    ConfigReply, Heartbeat, HeartbeatReply, PeerReply, PeerRequest, ServerState,
};
use sapphiretrack_platform::wire::VmList;

use crate::control::Snapshot;
use crate::control::budgets::{Budgets, budget_steward};
use crate::control::handle::{Begun, BudgetPlace, Place};
use crate::events::Event;

/// Who this router is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) id: RouterId,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
}

/// Times that rule the control state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    pub(crate) dead_after_ms: u64,
    pub(crate) isolated_after_ms: u64,
    pub(crate) report_stale_after_ms: u64,
}

/// All control state; only the control thread has it.
pub(crate) struct ControlState {
    identity: Identity,
    timing: Timing,
    bound: LoadBound,
    config: Arc<FleetConfig>,
    keys: Arc<KeyIndex>,
    /// Whether the platform or a peer has told a configuration, be it an empty one.
    config_known: bool,
    listed: Vec<VmRecord>,
    list_known: bool,
    peers: BTreeMap<RouterId, Peer>,
    servers: BTreeMap<ServerId, Server>,
    ledger: Ledger,
    budgets: Budgets,
    held: BTreeMap<ReservationId, Held>,
    next_reservation: u32,
    heartbeat_sequence: u64,
    platform_reached_ms: Option<u64>,
    peer_heard_ms: u64,
    stopping: bool,
    isolated: bool,
}

/// A peer as it was last heard.
struct Peer {
    heartbeat: Heartbeat,
    heard_ms: u64,
    left: bool,
}

/// A backend server as it was last heard of.
#[derive(Clone, Debug, Default)]
struct Server {
    report: LoadReport,
    reported_ms: u64,
    failed_reports: u32,
    /// The incarnation that is leaving; it outranks live for that incarnation.
    leaving: Option<Incarnation>,
}

/// A slot that this router holds or has asked for.
struct Held {
    server: ServerId,
    steward: Option<SocketAddr>,
}

/// How lately a router must have been heard to count for the share of budgets, in percent of the
/// time after which its budgets get another steward.
const BUDGET_HEARD_PERCENT: u64 = 60;
/// Reports that may fail in a row before a server gets no new work.
const MAX_FAILED_REPORTS: u32 = 3;

impl ControlState {
    /// The state of a router that has heard nothing yet.
    pub(crate) fn new(identity: Identity, timing: Timing, bound: LoadBound) -> Self {
        let ledger = Ledger::new(identity.id, LedgerSettings::default());
        Self {
            identity,
            timing,
            bound,
            config: Arc::default(),
            keys: Arc::default(),
            config_known: false,
            listed: Vec::new(),
            list_known: false,
            peers: BTreeMap::new(),
            servers: BTreeMap::new(),
            ledger,
            budgets: Budgets::default(),
            held: BTreeMap::new(),
            next_reservation: 0,
            heartbeat_sequence: 0,
            platform_reached_ms: None,
            peer_heard_ms: 0,
            stopping: false,
            isolated: false,
        }
    }

    /// This router.
    pub(crate) fn id(&self) -> RouterId {
        self.identity.id
    }

    /// This router's name.
    pub(crate) fn name(&self) -> &str {
        &self.identity.name
    }

    /// The configuration version in force.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Takes in the platform's list.
    pub(crate) fn take_vm_list(&mut self, list: VmList) {
        for record in &list.vms {
            if matches!(record.role, VmRole::Server { .. })
                && !self.listed.iter().any(|known| known.name == record.name)
            {
                Event::SERVER_JOINED.log(&[("server", &record.name)]);
            }
        }
        for record in &self.listed {
            if matches!(record.role, VmRole::Server { .. })
                && !list.vms.iter().any(|known| known.name == record.name)
            {
                Event::SERVER_LOST.log(&[("server", &record.name)]);
            }
        }
        self.listed = list.vms;
        self.list_known = true;
        let names: BTreeSet<ServerId> = self
            .listed
            .iter()
            .map(|record| ServerId::from_name(&record.name))
            .collect();
        self.servers.retain(|server, _| names.contains(server));
    }

    /// Notes whether the platform was reached.
    pub(crate) fn note_platform(&mut self, reached: bool, now_ms: u64) {
        if reached {
            self.platform_reached_ms = Some(now_ms);
        }
    }

    /// Takes in a configuration, if it is newer; tells whether it is now in force.
    pub(crate) fn offer_config(&mut self, offered: Arc<FleetConfig>) -> Refreshed {
        self.config_known = true;
        let version = offered.version.to_string();
        let older = offered.version < self.config.version;
        let refreshed = newer_config(&mut self.config, offered);
        match refreshed {
            Refreshed::InForce => {
                self.keys = Arc::new(KeyIndex::new(&self.config));
                Event::CONFIG_IN_FORCE.log(&[("version", &version)]);
            }
            Refreshed::Kept if older => Event::CONFIG_OLDER.log(&[("version", &version)]),
            Refreshed::Kept => {}
        }
        refreshed
    }

    /// Takes in a load report that this router asked for.
    pub(crate) fn take_report(
        &mut self,
        server: ServerId,
        report: Option<LoadReport>,
        now_ms: u64,
    ) {
        let entry = self.servers.entry(server).or_default();
        match report {
            Some(report) => {
                entry.failed_reports = 0;
                entry.reported_ms = now_ms;
                entry.report = report;
                if report.leaving {
                    entry.leaving = Some(report.incarnation);
                }
            }
            None => entry.failed_reports = entry.failed_reports.saturating_add(1),
        }
    }

    /// Begins the planned stop.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Runs a call of a peer.
    pub(crate) fn handle_peer(&mut self, request: PeerRequest, now_ms: u64) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                self.take_heartbeat(*heartbeat, now_ms);
                PeerReply::Heartbeat(HeartbeatReply {
                    config_version: self.config.version,
                })
            }
            PeerRequest::Reserve(request) => PeerReply::Reserve(self.reserve(&request)),
            PeerRequest::Release {
                router,
                server,
                reservation,
            } => {
                self.ledger.release(router, server, reservation);
                PeerReply::Released
            }
            PeerRequest::FetchConfig => self.whole_config(),
            PeerRequest::FetchConfigSince { version, change_id } => {
                self.config_since(version, &change_id)
            }
            PeerRequest::LeaseBudget(ask) => PeerReply::Budget(self.keep_budget(&ask, now_ms)),
        }
    }

    /// Answers a question about a budget, or tells where to ask it.
    pub(crate) fn lease_budget(&mut self, ask: BudgetAsk, now_ms: u64) -> BudgetPlace {
        let steward = budget_steward(&ask.customer, &self.steward_candidates());
        let peer = steward.and_then(|steward| self.peers.get(&steward));
        match peer {
            Some(peer) => BudgetPlace::Peer(peer.heartbeat.peer_address, ask),
            None => BudgetPlace::Here(self.keep_budget(&ask, now_ms)),
        }
    }

    fn keep_budget(&mut self, ask: &BudgetAsk, now_ms: u64) -> BudgetReply {
        let steward = budget_steward(&ask.customer, &self.steward_candidates());
        let contract = self.config.contracts.get(&ask.customer);
        match contract {
            Some(contract) if steward == Some(self.identity.id) => {
                let contract = contract.clone();
                let share = self.budget_share(now_ms);
                self.budgets.answer(ask, &contract, share, now_ms)
            }
            _ => BudgetReply::NotSteward,
        }
    }

    /// The part of each budget that this router may give out as steward: the part of the routers
    /// that it hears. The others may have another steward.
    fn budget_share(&self, now_ms: u64) -> f64 {
        let heard_within_ms = self.timing.dead_after_ms * BUDGET_HEARD_PERCENT / 100;
        let heard = self
            .peers
            .values()
            .filter(|peer| !peer.left && now_ms.saturating_sub(peer.heard_ms) < heard_within_ms);
        let heard = 1 + heard.count();
        heard as f64 / self.listed_routers().max(heard) as f64
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    fn whole_config(&self) -> PeerReply {
        match serde_json::to_string(self.config.as_ref()) {
            Ok(config_json) => PeerReply::Config(ConfigReply { config_json }),
            Err(_) => PeerReply::Rejected,
        }
    }

    fn config_since(&self, version: u64, change_id: &str) -> PeerReply {
        let changes = self.config.changes_since(version, change_id);
        match changes.and_then(|changes| serde_json::to_string(&changes).ok()) {
            Some(changes_json) => PeerReply::ConfigChanges(changes_json),
            None => self.whole_config(),
        }
    }

    /// Starts a reservation on a server.
    pub(crate) fn begin(&mut self, server: ServerId, bound_share: f64) -> Begun {
        let reservation = ReservationId(self.next_reservation);
        self.next_reservation = self.next_reservation.wrapping_add(1);
        let steward = self.steward(server);
        let place = match steward {
            Some(steward) if steward == self.identity.id => {
                let router = self.identity.id;
                let request = ReserveRequest {
                    router,
                    reservation,
                    server,
                    bound_share,
                };
                Place::Here(self.reserve(&request))
            }
            Some(steward) => match self.peers.get(&steward) {
                Some(peer) => Place::Peer(peer.heartbeat.peer_address),
                None => Place::Nowhere,
            },
            None => Place::Nowhere,
        };
        let granted_or_open = matches!(place, Place::Here(Grant::Granted) | Place::Peer(_));
        if granted_or_open {
            let steward = match place {
                Place::Peer(address) => Some(address),
                _ => None,
            };
            self.held.insert(reservation, Held { server, steward });
        }
        Begun { reservation, place }
    }

    /// Ends a reservation; returns the steward that has to be told, with the server.
    pub(crate) fn end(&mut self, reservation: ReservationId) -> Option<(SocketAddr, ServerId)> {
        let held = self.held.remove(&reservation)?;
        self.ledger
            .release(self.identity.id, held.server, reservation);
        held.steward.map(|steward| (steward, held.server))
    }

    /// Settles all that time alone changes. Call it often.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        self.note_lost_peers(now_ms);
        let stewards = self.steward_candidates();
        let stewarded: Vec<ServerId> = self
            .listed_servers()
            .map(|(server, _, _, _)| server)
            .filter(|server| steward_of(*server, &stewards) == Some(self.identity.id))
            .collect();
        let mut holders: Vec<RouterId> = self.peers.keys().copied().collect();
        holders.push(self.identity.id);
        self.ledger.set_view(&stewarded, &holders, now_ms);
        self.budgets.set_view(self.identity.id, &stewards, now_ms);
        self.note_isolation(now_ms);
    }

    /// The heartbeat for each peer, with where it goes.
    pub(crate) fn heartbeats(&mut self, now_ms: u64) -> Vec<(RouterId, SocketAddr, Heartbeat)> {
        self.heartbeat_sequence += 1;
        let stewards = self.steward_candidates();
        let mut targets: BTreeMap<RouterId, SocketAddr> = self
            .peers
            .iter()
            .map(|(router, peer)| (*router, peer.heartbeat.peer_address))
            .collect();
        for record in &self.listed {
            let VmRole::Router { peer_address, .. } = &record.role else {
                continue;
            };
            let router = RouterId::from_name(&record.name);
            if router != self.identity.id {
                targets.entry(router).or_insert(*peer_address);
            }
        }
        targets
            .into_iter()
            .map(|(router, address)| {
                let heartbeat = self.heartbeat_for(router, &stewards, now_ms);
                (router, address, heartbeat)
            })
            .collect()
    }

    /// The servers whose load reports this router fetches: those that it is steward of.
    pub(crate) fn watched_servers(&self) -> Vec<(ServerId, SocketAddr)> {
        let stewards = self.steward_candidates();
        self.listed_servers()
            .filter(|(server, ..)| steward_of(*server, &stewards) == Some(self.identity.id))
            .map(|(server, record, ..)| (server, record.address))
            .collect()
    }

    /// Notes the configuration version of a peer's answer to a heartbeat.
    pub(crate) fn note_peer_version(&mut self, router: RouterId, config_version: u64) {
        if let Some(peer) = self.peers.get_mut(&router) {
            let known = &mut peer.heartbeat.config_version;
            *known = (*known).max(config_version);
        }
    }

    /// A picture for the traffic threads.
    pub(crate) fn snapshot(&self, now_ms: u64) -> Snapshot {
        let mut pools: BTreeMap<String, PoolView> = BTreeMap::new();
        let in_flight = self.in_flight_by_server();
        let stewards = self.steward_candidates();
        for (server, record, pool, kind) in self.listed_servers() {
            let known = self.servers.get(&server).cloned().unwrap_or_default();
            let state = self.server_state(server, record, &known);
            let view = ServerView {
                id: server,
                name: record.name.clone(),
                zone: record.zone.clone(),
                address: record.address,
                state,
                in_flight: in_flight.get(&server).copied().unwrap_or(0),
                report: known.report,
                steward: steward_of(server, &stewards).unwrap_or(self.identity.id),
            };
            let pool = pools.entry(pool.to_owned()).or_insert_with(|| PoolView {
                name: pool.to_owned(),
                kind,
                servers: Vec::new(),
            });
            pool.servers.push(view);
        }
        Snapshot {
            me: self.identity.id,
            config: self.config.clone(),
            keys: self.keys.clone(),
            config_known: self.config_known,
            routers: self.router_views(),
            pools,
            isolated: self.isolated,
            stopping: self.stopping,
            peers_heard: self.peers_heard(now_ms),
            platform_reached: self.platform_reached(now_ms),
        }
    }

    fn take_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        let router = heartbeat.router;
        if router == self.identity.id {
            return;
        }
        let newer = self.peers.get(&router).is_none_or(|known| {
            let known = &known.heartbeat;
            (heartbeat.incarnation, heartbeat.sequence) > (known.incarnation, known.sequence)
        });
        if !newer {
            return;
        }
        self.peer_heard_ms = now_ms;
        self.ledger.reconcile(router, &heartbeat.held);
        for state in &heartbeat.servers {
            self.take_server_state(state, now_ms);
        }
        let left = heartbeat.state == VmState::Leaving;
        match self.peers.get(&router) {
            None => Event::PEER_JOINED.log(&[("router", &heartbeat.name)]),
            Some(known) if left && !known.left => {
                Event::PEER_LEAVING.log(&[("router", &heartbeat.name)]);
            }
            Some(_) => {}
        }
        self.peers.insert(
            router,
            Peer {
                heartbeat,
                heard_ms: now_ms,
                left,
            },
        );
    }

    fn take_server_state(&mut self, state: &ServerState, now_ms: u64) {
        let entry = self.servers.entry(state.server).or_default();
        if state.state == VmState::Leaving && entry.leaving != Some(state.report.incarnation) {
            entry.leaving = Some(state.report.incarnation);
        }
        entry.report = state.report;
        entry.reported_ms = now_ms;
        entry.failed_reports = if state.reachable {
            0
        } else {
            MAX_FAILED_REPORTS
        };
    }

    fn reserve(&mut self, request: &ReserveRequest) -> Grant {
        let Some((_, _, pool, _)) = self
            .listed_servers()
            .find(|(server, ..)| *server == request.server)
        else {
            return Grant::NotSteward;
        };
        let in_flight = self.in_flight_by_server();
        let mut pool_in_flight = 0;
        let mut live_servers = 0;
        for (server, record, other, _) in self.listed_servers() {
            if other != pool {
                continue;
            }
            pool_in_flight += in_flight.get(&server).copied().unwrap_or(0);
            let known = self.servers.get(&server).cloned().unwrap_or_default();
            let live = self.server_state(server, record, &known) == VmState::Live;
            if server == request.server && !live {
                return Grant::Full;
            }
            live_servers += u32::from(live);
        }
        let bound = self.bound;
        self.ledger
            .reserve(request, &bound, pool_in_flight, live_servers)
    }

    fn steward(&self, server: ServerId) -> Option<RouterId> {
        steward_of(server, &self.steward_candidates())
    }

    /// Routers that may be stewards: those heard of and not leaving, or this one alone.
    fn steward_candidates(&self) -> Vec<RouterId> {
        let mut candidates: Vec<RouterId> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.left)
            .map(|(router, _)| *router)
            .collect();
        if !self.stopping || candidates.is_empty() {
            candidates.push(self.identity.id);
        }
        candidates
    }

    fn listed_servers(&self) -> impl Iterator<Item = (ServerId, &VmRecord, &str, PoolKind)> {
        self.listed.iter().filter_map(|record| match &record.role {
            VmRole::Server { pool, kind } => Some((
                ServerId::from_name(&record.name),
                record,
                pool.as_str(),
                *kind,
            )),
            VmRole::Router { .. } => None,
        })
    }

    fn server_state(&self, server: ServerId, record: &VmRecord, known: &Server) -> VmState {
        let closed = is_leaving(record, known)
            || self.config.is_draining(server)
            || known.failed_reports >= MAX_FAILED_REPORTS;
        if closed {
            VmState::Leaving
        } else {
            VmState::Live
        }
    }

    fn in_flight_by_server(&self) -> BTreeMap<ServerId, u32> {
        let mut counts: BTreeMap<ServerId, u32> = BTreeMap::new();
        for held in self.held.values() {
            *counts.entry(held.server).or_default() += 1;
        }
        for peer in self.peers.values() {
            for (server, count) in &peer.heartbeat.in_flight {
                *counts.entry(*server).or_default() += u32::from(*count);
            }
        }
        for (server, count) in &mut counts {
            if let Some(exact) = self.ledger.held(*server) {
                *count = exact;
            }
        }
        counts
    }

    fn heartbeat_for(&self, peer: RouterId, stewards: &[RouterId], now_ms: u64) -> Heartbeat {
        let mut in_flight: BTreeMap<ServerId, u16> = BTreeMap::new();
        let mut by_server: BTreeMap<ServerId, Vec<ReservationId>> = BTreeMap::new();
        for (server, ..) in self.listed_servers() {
            if steward_of(server, stewards) == Some(peer) {
                by_server.insert(server, Vec::new());
            }
        }
        for (reservation, held) in &self.held {
            let count = in_flight.entry(held.server).or_default();
            *count = count.saturating_add(1);
            if let Some(reservations) = by_server.get_mut(&held.server) {
                reservations.push(*reservation);
            }
        }
        let servers = self
            .listed_servers()
            .filter(|(server, ..)| steward_of(*server, stewards) == Some(self.identity.id))
            .filter_map(|(server, record, ..)| {
                let known = self.servers.get(&server)?;
                let fresh =
                    now_ms.saturating_sub(known.reported_ms) <= self.timing.report_stale_after_ms;
                let leaving = is_leaving(record, known);
                let state = if leaving {
                    VmState::Leaving
                } else {
                    VmState::Live
                };
                let reachable = known.failed_reports < MAX_FAILED_REPORTS;
                let known_well = fresh || !reachable;
                known_well.then_some(ServerState {
                    server,
                    state,
                    reachable,
                    report: known.report,
                })
            })
            .collect();
        Heartbeat {
            router: self.identity.id,
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.heartbeat_sequence,
            state: self.own_state(),
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            operator_address: self.identity.operator_address,
            config_version: self.config.version,
            in_flight: in_flight.into_iter().collect(),
            servers,
            held: HeldSlots {
                next_reservation: self.next_reservation,
                by_server: by_server.into_iter().collect(),
            },
        }
    }

    fn own_state(&self) -> VmState {
        if self.stopping {
            VmState::Leaving
        } else {
            VmState::Live
        }
    }

    fn router_views(&self) -> Vec<RouterView> {
        let own = RouterView {
            id: self.identity.id,
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            operator_address: self.identity.operator_address,
            state: self.own_state(),
            config_version: self.config.version,
        };
        let peers = self.peers.iter().map(|(router, peer)| RouterView {
            id: *router,
            name: peer.heartbeat.name.clone(),
            zone: peer.heartbeat.zone.clone(),
            caller_address: peer.heartbeat.caller_address,
            peer_address: peer.heartbeat.peer_address,
            operator_address: peer.heartbeat.operator_address,
            state: peer.heartbeat.state,
            config_version: peer.heartbeat.config_version,
        });
        std::iter::once(own).chain(peers).collect()
    }

    fn note_lost_peers(&mut self, now_ms: u64) {
        let dead_after_ms = self.timing.dead_after_ms;
        self.peers.retain(|_, peer| {
            let alive = now_ms.saturating_sub(peer.heard_ms) < dead_after_ms;
            if !alive && !peer.left {
                Event::PEER_LOST.log(&[("router", &peer.heartbeat.name)]);
            }
            alive
        });
    }

    fn platform_reached(&self, now_ms: u64) -> bool {
        self.platform_reached_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < self.timing.isolated_after_ms)
    }

    /// Whether every live router was heard since the start, or had the time to be.
    fn peers_heard(&self, now_ms: u64) -> bool {
        let all_heard = self.list_known && self.peers.len() + 1 >= self.listed_routers();
        all_heard || now_ms >= self.timing.dead_after_ms
    }

    /// Where to fetch a newer configuration: at the peer that has the newest.
    ///
    /// A router that has none waits until it has heard its peers: one of them may have an old view.
    pub(crate) fn newer_config_at(&self, now_ms: u64) -> Option<SocketAddr> {
        if self.config.version == 0 && !self.peers_heard(now_ms) {
            return None;
        }
        let newest = self
            .peers
            .values()
            .max_by_key(|peer| peer.heartbeat.config_version)?;
        let newer = newest.heartbeat.config_version > self.config.version;
        newer.then_some(newest.heartbeat.peer_address)
    }

    /// Live routers by the platform's list and by what is heard, this one included.
    fn listed_routers(&self) -> usize {
        let listed = self.listed.iter().filter(|record| {
            matches!(record.role, VmRole::Router { .. }) && record.state == VmState::Live
        });
        let mut routers: BTreeSet<RouterId> = listed
            .map(|record| RouterId::from_name(&record.name))
            .collect();
        for (router, peer) in &self.peers {
            if peer.left {
                routers.remove(router);
            } else {
                routers.insert(*router);
            }
        }
        routers.insert(self.identity.id);
        routers.len()
    }

    fn note_isolation(&mut self, now_ms: u64) {
        let me = self.identity.id;
        let alone = !self.listed.iter().any(|record| {
            matches!(record.role, VmRole::Router { .. }) && RouterId::from_name(&record.name) != me
        });
        let peers_silent =
            now_ms.saturating_sub(self.peer_heard_ms) >= self.timing.isolated_after_ms;
        let isolated = !alone && peers_silent && !self.platform_reached(now_ms);
        if isolated != self.isolated {
            let event = if isolated {
                Event::ISOLATED
            } else {
                Event::REJOINED
            };
            event.log(&[("router", &self.identity.name)]);
            self.isolated = isolated;
        }
    }
}

/// Whether a server itself, or the platform, says that this incarnation is leaving.
fn is_leaving(record: &VmRecord, known: &Server) -> bool {
    record.state == VmState::Leaving
        || known
            .leaving
            .is_some_and(|incarnation| incarnation == known.report.incarnation)
}
