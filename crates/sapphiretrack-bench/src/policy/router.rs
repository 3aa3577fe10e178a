//! One router of the policy run: the daemon's decisions over a view of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sapphiretrack_core::{
    AskMemory, AskSettings, Candidate, CellView, ChatKey, ConsentSettings, DrainSettings,
    FullServer, Grant, HeardLoad, HeldSlots, Ledger, LedgerSettings, LoadReport, PlacementMemory,
    PlacementRequest, PlacementSettings, PoolKind, PoolLoad, PoolView, ReservationId,
    ReserveRequest, RouterId, SentTokens, ServerId, ServerView, StewardNames, ToldLoad, VmState,
    WarmHint, WorkspaceKey, WorkspaceShares, ask_again, backlog_tokens, pool_load, rank_servers,
    steward_of,
};
use sapphiretrack_peer::{Heartbeat, InFlight, ServerState};

use super::trace::Turn;

/// After this silence a router is no longer taken to be live.
const DEAD_AFTER_MS: u64 = 3_000;
/// Chats that a router remembers.
const MEMORY_CHATS: usize = 100_000;

/// One router.
pub(crate) struct Router {
    pub(crate) id: RouterId,
    all: Vec<RouterId>,
    servers: Vec<ServerId>,
    placement: PlacementSettings,
    drain: DrainSettings,
    names: StewardNames,
    asks: AskMemory,
    ledger: Ledger,
    memory: PlacementMemory,
    shares: WorkspaceShares,
    view: PoolView,
    /// The version of the last news of each server.
    versions: Vec<u64>,
    /// This router's requests in flight by server.
    own: Vec<u32>,
    held: BTreeMap<ReservationId, Held>,
    next_reservation: u32,
    reported_ms: u64,
    sequence: u64,
    peers: Vec<Peer>,
}

/// A server to try for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    pub(crate) server: usize,
    /// Where the chat's cached tokens are imported from.
    pub(crate) import_from: Option<usize>,
    /// Prompt tokens that the server is expected to compute.
    pub(crate) uncached_tokens: u32,
    /// What is told to a steward that is asked again.
    pub(crate) told: Option<ToldLoad>,
}

/// The candidates by their places in the list of servers.
pub(crate) fn tries(servers: &[ServerId], ranked: &[Candidate]) -> Vec<Try> {
    let position = |wanted: ServerId| servers.iter().position(|id| *id == wanted);
    let found = ranked.iter().filter_map(|candidate| {
        Some(Try {
            server: position(candidate.server)?,
            import_from: candidate.import_from.and_then(position),
            uncached_tokens: candidate.uncached_tokens,
            told: None,
        })
    });
    found.collect()
}

/// A slot that this router holds or has asked for.
#[derive(Clone, Copy, Debug)]
struct Held {
    server: usize,
    uncached_tokens: u32,
    asked_ms: u64,
}

/// A peer as last heard.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard_ms: u64,
    in_flight: Vec<u32>,
    /// What this router told it last, and whether it answered.
    told: Vec<u32>,
    answered: bool,
    pool_in_flight: u32,
    pool_heard_ms: u64,
}

impl Router {
    pub(crate) fn new(
        index: usize,
        all: &[RouterId],
        servers: &[ServerId],
        listed: usize,
        placement: PlacementSettings,
    ) -> Self {
        let consent = ConsentSettings::default();
        let views = servers.iter().map(|id| server_view(*id)).collect();
        let mut router = Self {
            id: all[index],
            all: all.to_vec(),
            servers: servers.to_vec(),
            placement,
            drain: DrainSettings::default(),
            names: StewardNames::new(consent),
            asks: AskMemory::new(AskSettings::default()),
            ledger: Ledger::new(all[index], LedgerSettings::default()),
            memory: PlacementMemory::new(MEMORY_CHATS),
            shares: WorkspaceShares::default(),
            view: PoolView {
                name: String::from("model"),
                kind: PoolKind::Engine,
                servers: views,
            },
            versions: vec![news_version(1, VmState::Live); servers.len()],
            own: vec![0; servers.len()],
            held: BTreeMap::new(),
            next_reservation: u32::MAX - 1_000,
            sequence: 0,
            reported_ms: 0,
            peers: vec![Peer::default(); all.len()],
        };
        for peer in &mut router.peers {
            peer.in_flight = vec![0; servers.len()];
            peer.told = vec![0; servers.len()];
        }
        for server in &mut router.view.servers[listed..] {
            server.state = VmState::Leaving;
        }
        router.versions[listed..].fill(0);
        router
    }

    /// Learns whether a server takes new work; older news than known is passed over.
    ///
    /// Returns whether the server has just joined: then [`Router::settle`] follows later.
    pub(crate) fn learn(&mut self, server: usize, state: VmState, version: u64) -> bool {
        if version <= self.versions[server] {
            return false;
        }
        self.versions[server] = version;
        let view = &mut self.view.servers[server];
        let joins = state == VmState::Live && view.state != VmState::Live;
        view.state = state;
        view.is_joining |= joins;
        joins
    }

    /// Meets a closed port.
    pub(crate) fn note_closed(&mut self, server: usize) {
        self.view.servers[server].state = VmState::Leaving;
    }

    /// A server that joined may take requests from now on.
    pub(crate) fn settle(&mut self, server: usize) {
        self.view.servers[server].is_joining = false;
    }

    /// Whether this router counts a server's slots.
    pub(crate) fn is_steward(&self, server: usize) -> bool {
        self.ledger.held(self.servers[server]).is_some()
    }

    /// Whether this router would send requests to a server.
    pub(crate) fn is_open(&self, server: usize) -> bool {
        self.view.servers[server].is_open()
    }

    /// Takes in a server's load report.
    pub(crate) fn take_report(&mut self, server: usize, report: LoadReport, now_ms: u64) {
        self.reported_ms = now_ms;
        self.ledger
            .note_report(self.servers[server], report.running + report.queued);
        self.view.servers[server].report = report;
    }

    pub(crate) fn is_live(&self, server: usize) -> bool {
        self.view.servers[server].state == VmState::Live
    }

    pub(crate) fn reported(&self, server: usize) -> u32 {
        let report = &self.view.servers[server].report;
        report.running + report.queued
    }

    pub(crate) fn own(&self, server: usize) -> u32 {
        self.own[server]
    }

    pub(crate) fn note_sent(&mut self, server: usize) {
        self.own[server] += 1;
    }

    pub(crate) fn note_ended(&mut self, server: usize) {
        self.own[server] -= 1;
    }

    /// Settles what time alone changes.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        let live = self.live_routers(now_ms);
        let consents = |server: &ServerId| self.names.consent(*server) == Some(self.id);
        let stewarded: Vec<ServerId> = self.servers.iter().copied().filter(consents).collect();
        self.names.note_sent(self.id, now_ms);
        let view = CellView {
            stewarded: &stewarded,
            live: &live,
            known: &self.all,
        };
        self.ledger.set_view(&view, now_ms);
        let may_begin = self.ledger.hears_cell();
        for server in &self.servers {
            if let Some(steward) = steward_of(*server, &live) {
                self.names.want(*server, steward, may_begin, now_ms);
            }
        }
    }

    /// The servers to try, best first.
    pub(crate) fn rank(
        &mut self,
        turn: &Turn,
        told: Option<WarmHint>,
        share: f64,
        now_ms: u64,
    ) -> Vec<Try> {
        self.correct_loads(now_ms);
        let chat = ChatKey(turn.chat);
        let workspace = WorkspaceKey(turn.workspace);
        let remembered = self.memory.recall(chat, now_ms);
        let warm: Vec<WarmHint> = told.into_iter().chain(remembered).collect();
        let request = PlacementRequest {
            workspace,
            workspace_share: self.shares.note(workspace, now_ms),
            chat,
            prompt_tokens: turn.prompt_tokens,
            warm: &warm,
            bound_share: share,
            zone: "",
        };
        let ranked = rank_servers(&self.placement, &self.view, &request);
        tries(&self.servers, &ranked)
    }

    pub(crate) fn remember(&mut self, chat: u64, place: WarmHint, now_ms: u64) {
        self.memory.remember(ChatKey(chat), place, now_ms);
    }

    /// Whether a steward that refused is worth asking again, and what it is told.
    pub(crate) fn ask_again(&self, full: FullServer, share: f64, now_ms: u64) -> Option<ToldLoad> {
        let load = self.pool_load(now_ms);
        ask_again(&self.placement.bound, &load, share, full)
    }

    /// Notes a steward that did not answer.
    pub(crate) fn note_silent(&mut self, steward: usize, now_ms: u64) {
        self.asks.note_silent(self.all[steward], now_ms);
    }

    /// Notes a refusal by another router that does not count the server's slots.
    pub(crate) fn note_not_steward(&mut self, steward: usize, server: usize, now_ms: u64) {
        let (steward, server) = (self.all[steward], self.servers[server]);
        if steward != self.id {
            self.asks.note_not_steward(steward, server, now_ms);
        }
    }

    /// Notes what a steward that refused for want of room says of its own load.
    pub(crate) fn note_full(&mut self, steward: usize, full: FullServer, now_ms: u64) {
        if self.all[steward] != self.id {
            self.note_pool_load(self.all[steward], u32::from(full.in_flight), now_ms);
        }
    }

    /// What a refusal for want of room tells the asker.
    pub(crate) fn full_server(&self, server: ServerId, now_ms: u64) -> FullServer {
        FullServer {
            held: self.ledger.held(server).unwrap_or(0) as u16,
            in_flight: self.pool_in_flight() as u16,
            live_servers: self.pool_load(now_ms).live_servers as u16,
        }
    }

    /// Begins a reservation: whom to ask, and what.
    pub(crate) fn begin(
        &mut self,
        wanted: &Try,
        share: f64,
        now_ms: u64,
    ) -> (Option<usize>, ReserveRequest) {
        let server = wanted.server;
        let reservation = ReservationId(self.next_reservation);
        self.next_reservation = self.next_reservation.wrapping_add(1);
        let held = Held {
            server,
            uncached_tokens: wanted.uncached_tokens,
            asked_ms: now_ms,
        };
        self.held.insert(reservation, held);
        let request = ReserveRequest {
            router: self.id,
            reservation,
            server: self.servers[server],
            bound_share: share as f32,
            in_flight: self.pool_in_flight() as u16,
        };
        let steward = self.names.steward(self.servers[server]);
        let asked = steward.filter(|id| self.asks.may_ask(*id, self.servers[server], now_ms));
        let index = self.all.iter().position(|id| Some(*id) == asked);
        (index, request)
    }

    /// Ends a reservation.
    pub(crate) fn end(&mut self, reservation: ReservationId) {
        self.held.remove(&reservation);
    }

    /// Decides about a slot, as steward.
    ///
    /// `told` is what the asker knows of the pool's load.
    pub(crate) fn reserve(
        &mut self,
        request: &ReserveRequest,
        told: Option<ToldLoad>,
        now_ms: u64,
    ) -> Grant {
        self.note_pool_load(request.router, u32::from(request.in_flight), now_ms);
        let Some(server) = self.servers.iter().position(|id| *id == request.server) else {
            return Grant::NotSteward;
        };
        if !self.is_open(server) {
            return Grant::Full;
        }
        let load = self.pool_load(now_ms).with_told(told.unwrap_or_default());
        let bound = self.placement.bound;
        self.ledger.reserve(request, &bound, &load, now_ms)
    }

    /// Takes a slot back, as steward.
    pub(crate) fn release(
        &mut self,
        router: RouterId,
        server: usize,
        reservation: ReservationId,
        in_flight: u32,
        now_ms: u64,
    ) {
        self.note_pool_load(router, in_flight, now_ms);
        self.ledger
            .release(router, self.servers[server], reservation);
    }

    /// The heartbeat for a peer.
    pub(crate) fn heartbeat(&mut self, to: usize, now_ms: u64) -> Heartbeat {
        let steward = self.all[to];
        self.names.note_sent(steward, now_ms);
        self.sequence += 1;
        let consents = |server: &ServerId| self.names.consent(*server) == Some(steward);
        let listed = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, id)| consents(id));
        let by_server = listed
            .map(|(server, id)| {
                let held = self.held.iter().filter(|(_, held)| held.server == server);
                (*id, held.map(|(reservation, _)| *reservation).collect())
            })
            .collect();
        Heartbeat {
            router: self.id,
            incarnation: 1,
            sequence: self.sequence,
            heard_sequence: self.sequence,
            state: VmState::Live,
            config_version: 1,
            profile: None,
            in_flight: self.told_counts(to),
            servers: self
                .watched()
                .map(|server| self.server_state(server))
                .collect(),
            held: HeldSlots {
                next_reservation: self.next_reservation,
                by_server,
            },
            left_servers: Vec::new(),
            list_digest: u64::MAX,
            suspects: Vec::new(),
            sections: Vec::new(),
        }
    }

    /// The counts for a peer: whole after a heartbeat that was lost, else what changed.
    fn told_counts(&mut self, to: usize) -> InFlight {
        let peer = &mut self.peers[to];
        let whole = !peer.answered;
        let told = self
            .own
            .iter()
            .enumerate()
            .filter(|(server, own)| match whole {
                true => **own > 0,
                false => **own != peer.told[*server],
            });
        let counts = told
            .map(|(server, own)| (self.servers[server], *own as u16))
            .collect();
        peer.told.clone_from(&self.own);
        peer.answered = false;
        InFlight { whole, counts }
    }

    /// Notes that a peer answered the last heartbeat.
    pub(crate) fn note_answered(&mut self, peer: usize) {
        self.peers[peer].answered = true;
    }

    /// The servers whose load reports this router fetches.
    pub(crate) fn watched(&self) -> impl Iterator<Item = usize> + '_ {
        let is_own = |id: &ServerId| self.names.steward(*id) == Some(self.id);
        let servers = self.servers.iter().enumerate();
        servers
            .filter(move |(_, id)| is_own(id))
            .map(|(server, _)| server)
    }

    /// Takes in a peer's heartbeat; returns the servers that have just joined.
    pub(crate) fn take_heartbeat(
        &mut self,
        from: usize,
        heartbeat: &Heartbeat,
        now_ms: u64,
    ) -> Vec<usize> {
        let peer = &mut self.peers[from];
        peer.heard_ms = now_ms;
        self.asks.note_heard(heartbeat.router);
        if heartbeat.in_flight.whole {
            peer.in_flight.fill(0);
        }
        for (id, count) in &heartbeat.in_flight.counts {
            if let Some(server) = self.servers.iter().position(|known| known == id) {
                peer.in_flight[server] = u32::from(*count);
            }
        }
        self.ledger
            .reconcile(heartbeat.router, &heartbeat.held, now_ms);
        let sum = self.peers[from].in_flight.iter().sum();
        self.note_pool_load(heartbeat.router, sum, now_ms);
        let mut joined = Vec::new();
        for state in &heartbeat.servers {
            let position = self.servers.iter().position(|id| *id == state.server);
            let Some(server) = position else { continue };
            let version = news_version(state.report.incarnation, state.state);
            if self.learn(server, state.state, version) {
                joined.push(server);
            }
        }
        joined
    }

    /// This router's requests in flight.
    pub(crate) fn pool_in_flight(&self) -> u32 {
        self.own.iter().sum()
    }

    fn seen_in_flight(&self, server: usize) -> u32 {
        let heard = self.peers.iter().map(|peer| peer.in_flight[server]);
        heard.sum::<u32>() + self.own[server]
    }

    fn note_pool_load(&mut self, router: RouterId, in_flight: u32, now_ms: u64) {
        let Some(index) = self.all.iter().position(|id| *id == router) else {
            return;
        };
        let peer = &mut self.peers[index];
        peer.pool_in_flight = in_flight;
        peer.pool_heard_ms = now_ms;
    }

    fn pool_load(&self, now_ms: u64) -> PoolLoad {
        let own = self.pool_in_flight();
        let others = self
            .all
            .iter()
            .zip(&self.peers)
            .filter(|(id, _)| **id != self.id);
        let heard = others.map(|(_, peer)| HeardLoad {
            in_flight: peer.pool_in_flight,
            age_ms: now_ms.saturating_sub(peer.pool_heard_ms),
        });
        let holding = (0..self.servers.len()).filter(|server| !self.is_live(*server));
        let holding = holding
            .filter(|server| self.seen_in_flight(*server) > 0)
            .count();
        PoolLoad {
            live_servers: self.view.live_count() + holding as u32,
            open_servers: self.view.open_count(),
            ..pool_load(&self.drain, own, heard)
        }
    }

    /// What others held when last heard, and what this router holds now.
    fn correct_loads(&mut self, now_ms: u64) {
        for (server, view) in self.view.servers.iter_mut().enumerate() {
            let heard: u32 = self.peers.iter().map(|peer| peer.in_flight[server]).sum();
            let counted = self.ledger.held(view.id);
            view.in_flight = counted.unwrap_or(heard + self.own[server]);
            let own = self.held.values().filter(|held| held.server == server);
            let sent = own.map(|held| SentTokens {
                tokens: held.uncached_tokens,
                age_ms: now_ms.saturating_sub(held.asked_ms),
            });
            let age_ms = now_ms.saturating_sub(self.reported_ms);
            let reported_tokens = view.report.queued_prompt_tokens;
            view.backlog_tokens = backlog_tokens(&self.placement, reported_tokens, age_ms, sent);
        }
    }

    fn live_routers(&self, now_ms: u64) -> Vec<RouterId> {
        let known = self.all.iter().zip(&self.peers);
        known
            .filter(|(id, peer)| {
                **id == self.id || now_ms.saturating_sub(peer.heard_ms) < DEAD_AFTER_MS
            })
            .map(|(id, _)| *id)
            .collect()
    }

    fn server_state(&self, server: usize) -> ServerState {
        let view = &self.view.servers[server];
        ServerState {
            server: view.id,
            state: match self.versions[server] % 2 {
                0 => VmState::Live,
                _ => VmState::Leaving,
            },
            reachable: true,
            report: LoadReport {
                incarnation: self.versions[server] / 2,
                ..view.report
            },
        }
    }
}

/// Orders the news of a server: a later run after an earlier one, leaving after live.
pub(crate) fn news_version(incarnation: u64, state: VmState) -> u64 {
    incarnation * 2 + u64::from(state == VmState::Leaving)
}

/// Stands for all addresses; they are all of the same encoded size.
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

pub(crate) fn server_view(id: ServerId) -> ServerView {
    ServerView {
        id,
        name: String::new(),
        zone: String::new(),
        address: ADDRESS,
        state: VmState::Live,
        in_flight: 0,
        report: LoadReport {
            incarnation: 1,
            ..LoadReport::default()
        },
        steward: RouterId(0),
        is_joining: false,
        backlog_tokens: 0,
    }
}
