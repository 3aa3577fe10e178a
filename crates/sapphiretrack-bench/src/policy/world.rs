//! The run itself: events in the order of time, and the truth that routers see late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{
    ChatKey, FullServer, Grant, JOIN_SETTLE_MS, LoadReport, PlacementRequest, PoolKind, PoolLoad,
    PoolView, ReservationId, ReserveRequest, RouterId, ServerId, VmState, WaitSettings, WarmHint,
    WorkspaceKey, WorkspaceShares, rank_servers, server_limit, wait_for_room, with_most_servers,
};
use sapphiretrack_peer::{Heartbeat, PeerRequest};

use super::engine::{Engine, Started, Work};
use super::measures::{Gathered, Measures};
use super::messages::Meter;
use super::policies::{Policy, SimpleView, simple_order};
use super::router::{Router, Try, news_version, server_view, tries};
use super::scenario::Scenario;
use super::trace::{Change, Trace, Turn};

/// Requests begin after routers have found each other.
const START_US: u64 = 6_000_000;
/// Skew counts from here on, when the servers have filled.
const SETTLED_US: u64 = START_US + 10_000_000;
const TICK_US: u64 = 50_000;
const SAMPLE_US: u64 = 100_000;
/// How long a call to a silent peer takes.
const CALL_TIMEOUT_US: u64 = 400_000;
/// How long an attempt takes to meet a closed port.
const CONNECT_US: u64 = 1_000;
/// The whole of the bound.
const WHOLE_SHARE: f64 = 1.0;
/// The part of the bound that requests which are not urgent may fill.
const NORMAL_SHARE: f64 = 0.9;
const URGENT_DEADLINE_MS: f64 = 2_000.0;
const NORMAL_DEADLINE_MS: f64 = 15_000.0;
/// Servers that may join beyond the first ones.
const SPARE_SERVERS: usize = 4;

/// What happens.
enum Event {
    Arrive(u32),
    Retry(u32),
    Ask {
        request: u32,
        router: usize,
        ask: ReserveRequest,
        wanted: Try,
    },
    Finish {
        server: usize,
        incarnation: u64,
        request: u32,
    },
    Release {
        steward: usize,
        router: RouterId,
        server: usize,
        reservation: ReservationId,
        in_flight: u32,
    },
    Heartbeat {
        router: usize,
    },
    Hear {
        from: usize,
        to: usize,
        heartbeat: Box<Heartbeat>,
    },
    Tick,
    Sample,
    Report,
    Change(Change),
    Fail(usize),
    Restart(usize),
    Heal {
        first: usize,
        second: usize,
    },
    Learn {
        router: usize,
        server: usize,
        state: VmState,
        version: u64,
    },
    Settle {
        router: usize,
        server: usize,
    },
}

/// A request on its way.
#[derive(Clone, Debug, Default)]
struct Pending {
    order: Vec<Try>,
    next: usize,
    /// Servers whose stewards refused for want of room, until they are asked again.
    full: Vec<(Try, FullServer)>,
    asks_again: bool,
    reservation: Option<ReservationId>,
    steward: Option<usize>,
    placed_on: usize,
    import_from: Option<usize>,
    cached_tokens: u32,
    first_token_us: u64,
    retries: u32,
    /// When its server failed after the first token had gone out.
    resumed_us: Option<u64>,
    waited_ms: u64,
    had_room: bool,
}

impl Pending {
    fn new() -> Self {
        Self {
            first_token_us: u64::MAX,
            ..Self::default()
        }
    }
}

/// A run of one policy.
pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    trace: &'a Trace,
    ids: Vec<ServerId>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    turns_taken: Vec<usize>,
    cut: Vec<Vec<u32>>,
    pending: Vec<Pending>,
    values: HashMap<u64, WarmHint>,
    oracle_shares: WorkspaceShares,
    oracle_view: PoolView,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    free_bodies: Vec<usize>,
    next_event: u64,
    now_us: u64,
    faults: ChaCha8Rng,
    random: ChaCha8Rng,
    meter: Meter,
    gathered: Gathered,
    measures: Measures,
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, policy: Policy, seed: u64, trace: &'a Trace) -> Self {
        let servers = scenario.servers + SPARE_SERVERS;
        let ids: Vec<ServerId> = (0..servers)
            .map(|index| ServerId::from_name(&format!("server-{index}")))
            .collect();
        let router_ids: Vec<RouterId> = (0..scenario.routers)
            .map(|index| RouterId::from_name(&format!("router-{index}")))
            .collect();
        let routers = (0..scenario.routers)
            .map(|index| {
                Router::new(
                    index,
                    &router_ids,
                    &ids,
                    scenario.servers,
                    scenario.placement,
                )
            })
            .collect();
        let engines = (0..servers)
            .map(|index| Engine::new(scenario.cache_tokens, index < scenario.servers))
            .collect();
        Self {
            scenario,
            policy,
            trace,
            engines,
            routers,
            turns_taken: vec![0; scenario.routers],
            cut: vec![vec![0; scenario.routers]; scenario.routers],
            pending: vec![Pending::new(); trace.turns.len()],
            values: HashMap::new(),
            oracle_shares: WorkspaceShares::default(),
            oracle_view: PoolView {
                name: String::from("model"),
                kind: PoolKind::Engine,
                servers: ids.iter().map(|id| server_view(*id)).collect(),
            },
            ids,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            free_bodies: Vec::new(),
            next_event: 0,
            now_us: 0,
            faults: ChaCha8Rng::seed_from_u64(seed ^ 0xfa17),
            random: ChaCha8Rng::seed_from_u64(seed ^ 0xdec1),
            meter: Meter::new(),
            gathered: Gathered::default(),
            measures: Measures {
                policy: policy.name(),
                scenario: scenario.name.name(),
                seed,
                requests: trace.turns.len() as u64,
                ..Measures::default()
            },
        }
    }

    /// Runs to the end of the last request.
    pub(crate) fn run(mut self) -> Measures {
        self.schedule_all();
        let end_us = START_US + self.scenario.end_us();
        while let Some(Reverse((at_us, _, body))) = self.events.pop() {
            let Some(event) = self.bodies[body].take() else {
                continue;
            };
            self.free_bodies.push(body);
            self.now_us = at_us;
            let repeats = matches!(
                event,
                Event::Tick | Event::Sample | Event::Report | Event::Heartbeat { .. }
            );
            if repeats && at_us > end_us {
                continue;
            }
            self.handle(event);
        }
        self.gathered.control_bytes = self.meter.bytes();
        let seconds = end_us as f64 / 1e6;
        self.gathered
            .fill(&mut self.measures, self.scenario.routers, seconds);
        self.measures
    }

    fn schedule_all(&mut self) {
        for (index, turn) in self.trace.turns.iter().enumerate() {
            self.schedule(START_US + turn.at_us, Event::Arrive(index as u32));
        }
        for (at_us, change) in &self.trace.changes {
            self.schedule(START_US + at_us, Event::Change(*change));
        }
        if self.policy == Policy::Sapphiretrack {
            self.schedule(0, Event::Tick);
            for router in 0..self.scenario.routers {
                let period_us = self.scenario.heartbeat_ms * 1_000;
                let offset_us = period_us * router as u64 / self.scenario.routers as u64;
                self.schedule(offset_us, Event::Heartbeat { router });
            }
        }
        self.schedule(0, Event::Report);
        self.schedule(0, Event::Sample);
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        let body = match self.free_bodies.pop() {
            Some(free) => {
                self.bodies[free] = Some(event);
                free
            }
            None => {
                self.bodies.push(Some(event));
                self.bodies.len() - 1
            }
        };
        self.events.push(Reverse((at_us, self.next_event, body)));
        self.next_event += 1;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Retry(request) => self.try_next(request),
            Event::Ask {
                request,
                router,
                ask,
                wanted,
            } => self.ask(request, router, &ask, wanted),
            Event::Finish {
                server,
                incarnation,
                request,
            } => self.finish(server, incarnation, request),
            Event::Release {
                steward,
                router,
                server,
                reservation,
                in_flight,
            } => {
                let now_ms = self.now_ms();
                self.routers[steward].release(router, server, reservation, in_flight, now_ms);
            }
            Event::Heartbeat { router } => self.send_heartbeats(router),
            Event::Hear {
                from,
                to,
                heartbeat,
            } => {
                let now_ms = self.now_ms();
                for server in self.routers[to].take_heartbeat(from, &heartbeat, now_ms) {
                    let at_us = self.now_us + JOIN_SETTLE_US;
                    self.schedule(at_us, Event::Settle { router: to, server });
                }
            }
            Event::Tick => {
                let now_ms = self.now_ms();
                self.routers
                    .iter_mut()
                    .for_each(|router| router.tick(now_ms));
                self.schedule(self.now_us + TICK_US, Event::Tick);
            }
            Event::Sample => self.sample(),
            Event::Report => self.report(),
            Event::Change(change) => self.change(change),
            Event::Fail(server) => self.fail(server),
            Event::Restart(server) => {
                self.engines[server].restart(self.now_us);
                self.spread(server, VmState::Live);
            }
            Event::Heal { first, second } => {
                self.cut[first][second] -= 1;
                self.cut[second][first] -= 1;
            }
            Event::Learn {
                router,
                server,
                state,
                version,
            } => {
                if self.routers[router].learn(server, state, version) {
                    let at_us = self.now_us + JOIN_SETTLE_US;
                    self.schedule(at_us, Event::Settle { router, server });
                }
            }
            Event::Settle { router, server } => self.routers[router].settle(server),
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn turn(&self, request: u32) -> &'a Turn {
        &self.trace.turns[request as usize]
    }

    fn share(&self, request: u32) -> f64 {
        if self.turn(request).is_urgent {
            1.0
        } else {
            NORMAL_SHARE
        }
    }

    fn arrive(&mut self, request: u32) {
        let had_room = self.has_room(request);
        let order = self.order(request);
        let pending = &mut self.pending[request as usize];
        pending.order = order;
        pending.next = 0;
        pending.full.clear();
        pending.asks_again = false;
        pending.had_room = had_room;
        self.try_next(request);
    }

    fn order(&mut self, request: u32) -> Vec<Try> {
        let turn = self.turn(request);
        let share = self.share(request);
        let now_ms = self.now_ms();
        let is_told = turn.sends_value && self.scenario.sticky;
        match self.policy {
            Policy::Oracle => self.oracle_order(turn, share),
            Policy::Sapphiretrack => {
                let told = self.values.get(&turn.chat).copied().filter(|_| is_told);
                self.routers[turn.router].rank(turn, told, share, now_ms)
            }
            simple => {
                let router = &self.routers[turn.router];
                let live = (0..self.ids.len()).filter(|server| router.is_open(*server));
                let views: Vec<SimpleView> = live
                    .map(|index| SimpleView {
                        index,
                        id: self.ids[index],
                        reported: router.reported(index),
                        own: router.own(index),
                    })
                    .collect();
                let taken = &mut self.turns_taken[turn.router];
                let multiple = self.scenario.placement.bound.load_multiple;
                let order =
                    simple_order(simple, &views, turn.chat, taken, multiple, &mut self.random);
                let no_import = |server| Try {
                    server,
                    import_from: None,
                    uncached_tokens: 0,
                    told: None,
                };
                order.into_iter().map(no_import).collect()
            }
        }
    }

    fn oracle_order(&mut self, turn: &Turn, share: f64) -> Vec<Try> {
        for (view, engine) in self.oracle_view.servers.iter_mut().zip(&self.engines) {
            view.state = if engine.is_open() {
                VmState::Live
            } else {
                VmState::Leaving
            };
            view.in_flight = engine.in_flight();
            view.report.incarnation = engine.incarnation;
            view.backlog_tokens = engine.backlog_tokens(self.now_us);
        }
        self.oracle_view
            .servers
            .iter_mut()
            .filter(|view| view.state == VmState::Leaving)
            .for_each(|view| view.in_flight = 0);
        let workspace = WorkspaceKey(turn.workspace);
        let warm: Vec<WarmHint> = self.values.get(&turn.chat).copied().into_iter().collect();
        let request = PlacementRequest {
            workspace,
            workspace_share: self.oracle_shares.note(workspace, self.now_us / 1_000),
            chat: ChatKey(turn.chat),
            prompt_tokens: turn.prompt_tokens,
            warm: &warm,
            bound_share: share,
            zone: "",
        };
        let ranked = rank_servers(&self.scenario.placement, &self.oracle_view, &request);
        let limit = self.true_limit(share);
        let under = tries(&self.ids, &ranked).into_iter();
        under
            .filter(|one| self.engines[one.server].in_flight() < limit)
            .collect()
    }

    /// Tries the next server of the order, or refuses.
    fn try_next(&mut self, request: u32) {
        let turn = self.turn(request);
        let pending = &mut self.pending[request as usize];
        let Some(wanted) = pending.order.get(pending.next).copied() else {
            return self.end_round(request);
        };
        pending.next += 1;
        pending.import_from = wanted.import_from;
        let server = wanted.server;
        if self.policy != Policy::Sapphiretrack {
            return self.enter(request, server);
        }
        let share = self.share(request);
        let (steward, ask) = self.routers[turn.router].begin(&wanted, share, self.now_us / 1_000);
        let Some(steward) = steward else {
            self.routers[turn.router].end(ask.reservation);
            return self.try_next(request);
        };
        self.pending[request as usize].steward = Some(steward);
        if steward == turn.router {
            return self.ask(request, steward, &ask, wanted);
        }
        self.meter.count(&match wanted.told {
            None => PeerRequest::Reserve(ask),
            Some(told) => PeerRequest::ReserveAgain { request: ask, told },
        });
        let at_us = self.now_us + self.scenario.peer_delay_us;
        self.schedule(
            at_us,
            Event::Ask {
                request,
                router: steward,
                ask,
                wanted,
            },
        );
    }

    /// A round of questions has ended without a grant: stewards that refused are asked once more
    /// where the counts that came with the refusals are expected to help.
    fn end_round(&mut self, request: u32) {
        let router = &self.routers[self.turn(request).router];
        let (share, now_ms) = (self.share(request), self.now_ms());
        let pending = &mut self.pending[request as usize];
        let mut full = std::mem::take(&mut pending.full);
        with_most_servers(full.iter_mut().map(|(_, refusal)| refusal));
        if pending.asks_again {
            return self.wait_or_refuse(request);
        }
        let again = full.into_iter().filter_map(|(wanted, full)| {
            let told = router.ask_again(full, share, now_ms)?;
            Some(Try {
                told: Some(told),
                ..wanted
            })
        });
        pending.order = again.collect();
        pending.next = 0;
        pending.asks_again = true;
        self.try_next(request);
    }

    /// A steward decides.
    fn ask(&mut self, request: u32, steward: usize, ask: &ReserveRequest, wanted: Try) {
        let router = self.turn(request).router;
        let now_ms = self.now_ms();
        if self.cut[router][steward] > 0 {
            self.routers[router].end(ask.reservation);
            self.routers[router].note_silent(steward, now_ms + CALL_TIMEOUT_US / 1_000);
            return self.try_later(request, CALL_TIMEOUT_US);
        }
        let grant = self.routers[steward].reserve(ask, wanted.told, now_ms);
        let full = self.routers[steward].full_server(ask.server, now_ms);
        if steward != router {
            self.meter.count_reply_to_reserve(grant, full);
        }
        match grant {
            Grant::Granted => {
                self.pending[request as usize].reservation = Some(ask.reservation);
                return self.enter(request, wanted.server);
            }
            Grant::Full => {
                self.routers[router].note_full(steward, full, now_ms);
                self.pending[request as usize].full.push((wanted, full));
            }
            Grant::NotSteward => {
                self.routers[router].note_not_steward(steward, wanted.server, now_ms);
            }
        }
        self.routers[router].end(ask.reservation);
        let back_us = if router == steward {
            0
        } else {
            self.scenario.peer_delay_us
        };
        self.try_later(request, back_us);
    }

    fn try_later(&mut self, request: u32, after_us: u64) {
        // The order is kept: an arrival only draws it anew when a server failed.
        if after_us == 0 {
            return self.try_next(request);
        }
        let pending = &self.pending[request as usize];
        let rest: Vec<Try> = pending.order[pending.next..].to_vec();
        let pending = &mut self.pending[request as usize];
        pending.order = rest;
        pending.next = 0;
        self.schedule(self.now_us + after_us, Event::Retry(request));
    }

    /// The request reaches the server, if it is up.
    fn enter(&mut self, request: u32, server: usize) {
        let turn = self.turn(request);
        self.pending[request as usize].placed_on = server;
        self.routers[turn.router].note_sent(server);
        if !self.engines[server].is_up {
            self.give_back(request);
            self.routers[turn.router].note_closed(server);
            return self.try_later(request, CONNECT_US);
        }
        let limit = self.true_limit(WHOLE_SHARE);
        let source = self.pending[request as usize].import_from;
        let import_tokens = source.map_or(0, |source| self.engines[source].exports(turn.chat));
        let work = Work {
            request,
            chat: turn.chat,
            workspace: turn.workspace,
            prefix_tokens: turn.prefix_tokens,
            prompt_tokens: turn.prompt_tokens,
            answer_tokens: turn.answer_tokens,
            priority: u8::from(!turn.is_urgent),
            import_tokens,
        };
        let started = self.engines[server].enter(work, self.now_us);
        self.measures.bound_breaches += u64::from(self.engines[server].in_flight() > limit);
        self.note_started(server, started);
    }

    /// The bound as the pool truly stands; a server counts once a router sends requests to it.
    fn true_limit(&self, share: f64) -> u32 {
        let mut in_flight = 0;
        let mut live_servers = 0;
        for (server, engine) in self.engines.iter().enumerate() {
            if engine.is_open() && self.is_in_service(server) {
                in_flight += engine.in_flight();
                live_servers += 1;
            }
        }
        let load = PoolLoad {
            least_in_flight: in_flight,
            in_flight,
            live_servers,
            open_servers: live_servers,
        };
        server_limit(&self.scenario.placement.bound, &load, share)
    }

    /// Whether a request can reach a server: its steward grants, or a router knows it.
    fn is_in_service(&self, server: usize) -> bool {
        if self.policy == Policy::Oracle || self.engines[server].in_flight() > 0 {
            return true;
        }
        self.routers.iter().any(|router| {
            let grants = self.policy != Policy::Sapphiretrack || router.is_steward(server);
            grants && router.is_open(server)
        })
    }

    fn has_room(&self, request: u32) -> bool {
        let limit = self.true_limit(self.share(request));
        let mut engines = self.engines.iter().enumerate();
        engines.any(|(server, engine)| {
            engine.is_open() && engine.in_flight() < limit && self.is_in_service(server)
        })
    }

    fn note_started(&mut self, server: usize, started: Option<Started>) {
        let Some(started) = started else { return };
        let pending = &mut self.pending[started.request as usize];
        pending.cached_tokens = started.cached_tokens;
        pending.first_token_us = pending.first_token_us.min(started.first_token_us);
        self.gathered.imported_tokens += u64::from(started.imported_tokens);
        let incarnation = self.engines[server].incarnation;
        let prompt_tokens = self.turn(started.request).prompt_tokens;
        self.gathered
            .note_start(self.now_us, prompt_tokens, started.cached_tokens);
        let request = started.request;
        self.schedule(
            started.done_us,
            Event::Finish {
                server,
                incarnation,
                request,
            },
        );
    }

    fn finish(&mut self, server: usize, incarnation: u64, request: u32) {
        if self.engines[server].incarnation != incarnation || !self.engines[server].is_up {
            return;
        }
        let started = self.engines[server].finish(request, self.now_us);
        self.note_started(server, started);
        self.give_back(request);
        self.note_answer(request, server);
        if self.engines[server].is_leaving && self.engines[server].in_flight() == 0 {
            self.engines[server].is_up = false;
        }
    }

    fn note_answer(&mut self, request: u32, server: usize) {
        let turn = self.turn(request);
        let pending = &self.pending[request as usize];
        let waited_us = pending.first_token_us - (START_US + turn.at_us);
        let first_token_ms = waited_us as f64 / 1_000.0;
        self.gathered.first_token_ms.push(first_token_ms);
        let deadline_ms = deadline_ms(turn.is_urgent);
        if first_token_ms > deadline_ms {
            self.measures.late += 1;
            let failed = turn.is_urgent && pending.had_room;
            self.measures.urgent_failed_with_room += u64::from(failed);
        }
        let hint = WarmHint {
            server: self.ids[server],
            incarnation: self.engines[server].incarnation,
            tokens: turn.prompt_tokens + turn.answer_tokens,
            age_ms: 0,
        };
        let now_ms = self.now_ms();
        self.values.insert(turn.chat, hint);
        if self.scenario.sticky {
            self.routers[turn.router].remember(turn.chat, hint, now_ms);
        }
    }

    /// Gives the slot of a request back.
    fn give_back(&mut self, request: u32) {
        let turn = self.turn(request);
        let pending = &mut self.pending[request as usize];
        let server = pending.placed_on;
        let router = &mut self.routers[turn.router];
        router.note_ended(server);
        let Some(reservation) = pending.reservation.take() else {
            return;
        };
        router.end(reservation);
        let Some(steward) = pending.steward else {
            return;
        };
        let in_flight = router.pool_in_flight();
        let id = router.id;
        if steward == turn.router {
            let now_ms = self.now_us / 1_000;
            return router.release(id, server, reservation, in_flight, now_ms);
        }
        let release = PeerRequest::Release {
            router: id,
            server: self.ids[server],
            reservation,
            in_flight: in_flight as u16,
        };
        self.meter.count(&release);
        self.meter.count_reply_to_release();
        if self.cut[turn.router][steward] == 0 {
            let at_us = self.now_us + self.scenario.peer_delay_us;
            self.schedule(
                at_us,
                Event::Release {
                    steward,
                    router: id,
                    server,
                    reservation,
                    in_flight,
                },
            );
        }
    }

    fn wait_or_refuse(&mut self, request: u32) {
        let turn = self.turn(request);
        let in_flight = self.engines.iter().map(Engine::in_flight).sum();
        let deadline_ms = deadline_ms(turn.is_urgent);
        // The deadline is for the first token; an answer that goes on elsewhere has as long for
        // the next one.
        let pending = &self.pending[request as usize];
        let began_us = pending.resumed_us.unwrap_or(START_US + turn.at_us);
        let since_us = self.now_us - began_us;
        let left_ms = (deadline_ms as u64).saturating_sub(since_us / 1_000);
        let pending = &mut self.pending[request as usize];
        let waited_ms = pending.waited_ms;
        let wait = wait_for_room(&WaitSettings::default(), in_flight, waited_ms, left_ms);
        let knows_bound = matches!(self.policy, Policy::Sapphiretrack | Policy::Oracle);
        match wait.filter(|_| knows_bound) {
            Some(wait_ms) => {
                pending.waited_ms += wait_ms;
                self.schedule(self.now_us + wait_ms * 1_000, Event::Arrive(request));
            }
            None => self.refuse(request),
        }
    }

    fn refuse(&mut self, request: u32) {
        self.measures.refused += 1;
        let failed = self.turn(request).is_urgent && self.has_room(request);
        self.measures.urgent_failed_with_room += u64::from(failed);
    }

    fn send_heartbeats(&mut self, router: usize) {
        let now_ms = self.now_ms();
        self.routers[router].tick(now_ms);
        for to in (0..self.scenario.routers).filter(|to| *to != router) {
            let heartbeat = Box::new(self.routers[router].heartbeat(to, now_ms));
            let message = PeerRequest::Heartbeat(heartbeat);
            self.meter.count(&message);
            self.meter.count_reply_to_heartbeat();
            let PeerRequest::Heartbeat(heartbeat) = message else {
                continue;
            };
            if self.cut[router][to] == 0 {
                self.routers[router].note_answered(to);
                let at_us = self.now_us + self.scenario.peer_delay_us;
                self.schedule(
                    at_us,
                    Event::Hear {
                        from: router,
                        to,
                        heartbeat,
                    },
                );
            }
        }
        let period_us = self.scenario.heartbeat_ms * 1_000;
        self.schedule(self.now_us + period_us, Event::Heartbeat { router });
    }

    /// Routers get the servers' reports of now, and so see them late until the next.
    fn report(&mut self) {
        for server in 0..self.ids.len() {
            let engine = &self.engines[server];
            if !engine.is_up {
                continue;
            }
            let report = LoadReport {
                incarnation: engine.incarnation,
                running: engine.in_flight(),
                queued_prompt_tokens: engine.backlog_tokens(self.now_us),
                leaving: engine.is_leaving,
                ..LoadReport::default()
            };
            for router in &mut self.routers {
                router.take_report(server, report, self.now_us / 1_000);
            }
        }
        match self.policy {
            Policy::Sapphiretrack => {
                let watched: usize = self
                    .routers
                    .iter()
                    .map(|router| router.watched().count())
                    .sum();
                self.meter.count_probes(watched);
            }
            Policy::LeastLoaded => self
                .meter
                .count_probes(self.routers.len() * self.scenario.servers),
            _ => {}
        }
        self.schedule(
            self.now_us + self.scenario.report_lag_ms * 1_000,
            Event::Report,
        );
    }

    fn sample(&mut self) {
        let open = self.engines.iter().filter(|engine| engine.is_open());
        let loads: Vec<u32> = open.map(Engine::in_flight).collect();
        let sum: u32 = loads.iter().sum();
        if self.now_us >= SETTLED_US && sum as usize >= loads.len() {
            let mean = f64::from(sum) / loads.len() as f64;
            let busiest = loads.iter().copied().max().unwrap_or(0);
            self.gathered
                .note_skew(self.now_us - START_US, f64::from(busiest) / mean);
        }
        self.schedule(self.now_us + SAMPLE_US, Event::Sample);
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Join => {
                let spare = self.engines.iter().position(|engine| !engine.is_up);
                if let Some(server) = spare {
                    self.handle(Event::Restart(server));
                }
            }
            Change::Leave => {
                if let Some(server) = self.any_open() {
                    self.engines[server].is_leaving = true;
                    self.spread(server, VmState::Leaving);
                }
            }
            Change::Fail => {
                if let Some(server) = self.any_open() {
                    self.fail(server);
                }
            }
            Change::Flap => {
                if let Some(server) = self.any_open() {
                    self.fail(server);
                    let again_us = self.now_us + FLAP_US;
                    self.schedule(again_us, Event::Fail(server));
                }
            }
            Change::Split {
                first,
                second,
                for_us,
            } => self.split(first, second, for_us),
        }
    }

    fn fail(&mut self, server: usize) {
        if !self.engines[server].is_up {
            return;
        }
        let lost = self.engines[server].fail();
        for request in lost {
            self.give_back(request);
            // A first token that went out before the failure stays out.
            let pending = &mut self.pending[request as usize];
            match pending.first_token_us > self.now_us {
                true => pending.first_token_us = u64::MAX,
                false => pending.resumed_us = Some(self.now_us),
            }
            self.pending[request as usize].retries += 1;
            if self.pending[request as usize].retries > MAX_RETRIES {
                self.refuse(request);
            } else {
                self.schedule(self.now_us + CONNECT_US, Event::Arrive(request));
            }
        }
        self.spread(server, VmState::Leaving);
        let down_us = self.faults.random_range(3_000_000..8_000_000);
        self.schedule(self.now_us + down_us, Event::Restart(server));
    }

    /// An open server, if not too many are gone already.
    fn any_open(&mut self) -> Option<usize> {
        let open: Vec<usize> = (0..self.ids.len())
            .filter(|server| self.engines[*server].is_open())
            .collect();
        let drawn = self.faults.random_range(0..self.ids.len());
        (open.len() * 4 > self.scenario.servers * 3).then(|| open[drawn % open.len()])
    }

    /// Each router learns of a server's state in its own time.
    fn spread(&mut self, server: usize, state: VmState) {
        let version = news_version(self.engines[server].incarnation, state);
        let slowest_us = if self.scenario.splits_per_min > 0.0 {
            5_000_000
        } else {
            1_000_000
        };
        for router in 0..self.scenario.routers {
            let lag_us = self.faults.random_range(100_000..slowest_us);
            self.schedule(
                self.now_us + lag_us,
                Event::Learn {
                    router,
                    server,
                    state,
                    version,
                },
            );
        }
    }

    fn split(&mut self, first: usize, second: usize, for_us: u64) {
        let others: Vec<usize> = match first == second {
            true => (0..self.scenario.routers)
                .filter(|other| *other != first)
                .collect(),
            false => vec![second],
        };
        for other in others {
            self.cut[first][other] += 1;
            self.cut[other][first] += 1;
            self.schedule(
                self.now_us + for_us,
                Event::Heal {
                    first,
                    second: other,
                },
            );
        }
    }
}

/// How long a server that joined counts for the bound before it takes requests.
const JOIN_SETTLE_US: u64 = JOIN_SETTLE_MS * 1_000;
/// Time between the two failures of a flapping server.
const FLAP_US: u64 = 12_000_000;
fn deadline_ms(is_urgent: bool) -> f64 {
    match is_urgent {
        true => URGENT_DEADLINE_MS,
        false => NORMAL_DEADLINE_MS,
    }
}

/// How often a request is tried again after its server failed.
const MAX_RETRIES: u32 = 3;
