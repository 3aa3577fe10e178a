//! The discrete-event simulation: the event queue, the exact state of the servers, and the routers,
//! whose views of it are delayed.

mod event;
mod faults;
mod ground_truth;
mod ordering;
mod pending;
mod reporting;
mod serving;
mod slot_requests;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{
    JOIN_SETTLE_MS, PoolKind, PoolView, RouterId, ServerId, VmState, WarmHint, WorkspaceShares,
};

use crate::policy::engine::Engine;
use crate::policy::measures::{Measures, Samples, ratio};
use crate::policy::messages::ControlTraffic;
use crate::policy::policies::Policy;
use crate::policy::replace::Replacement;
use crate::policy::router::{Router, server_view};
use crate::policy::scenario::Scenario;
use crate::policy::trace::{Trace, Turn};

pub(crate) use event::Event;
use pending::Pending;

/// Start of the load, after the routers have received heartbeats from each other.
const START_US: u64 = 6_000_000;
/// Interval between two updates of all routers' consents to stewards.
const STEWARDSHIP_INTERVAL_US: u64 = 50_000;
/// Time until an attempt learns that its server is down.
const CONNECTION_REFUSED_US: u64 = 1_000;
/// Share of the load bound that requests which are not urgent may use.
const NON_URGENT_SHARE: f64 = 0.9;
/// Deadline for the first token of urgent requests.
const URGENT_DEADLINE_MS: f64 = 2_000.0;
/// Deadline for the first token of all other requests.
const NON_URGENT_DEADLINE_MS: f64 = 15_000.0;
/// Servers that are down at first and may join later.
const SPARE_SERVERS: usize = 4;
/// Time for which a server that joined counts for the load bound before it receives requests.
const JOIN_DELAY_US: u64 = JOIN_SETTLE_MS * 1_000;

/// The simulation of one policy.
pub(crate) struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    trace: &'a Trace,
    server_ids: Vec<ServerId>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    /// Requests routed by each router, for the round-robin policy.
    routed_requests: Vec<usize>,
    /// For each pair of routers, the number of partitions that separate them now.
    partitions: Vec<Vec<u32>>,
    pending: Vec<Pending>,
    /// For each chat, the value that its caller may send back: where it was last answered.
    caller_values: HashMap<u64, WarmHint>,
    oracle_shares: WorkspaceShares,
    oracle_view: PoolView,
    /// Time, sequence number and index into `event_slots` of each scheduled event.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_slots: Vec<Option<Event>>,
    free_event_slots: Vec<usize>,
    next_event: u64,
    now_us: u64,
    fault_random: ChaCha8Rng,
    random: ChaCha8Rng,
    control_traffic: ControlTraffic,
    samples: Samples,
    measures: Measures,
    replacement: Replacement,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(scenario: &'a Scenario, policy: Policy, seed: u64, trace: &'a Trace) -> Self {
        let servers = scenario.servers + SPARE_SERVERS;
        let server_ids: Vec<ServerId> = (0..servers)
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
                    &server_ids,
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
            routed_requests: vec![0; scenario.routers],
            partitions: vec![vec![0; scenario.routers]; scenario.routers],
            pending: vec![Pending::new(); trace.turns.len()],
            caller_values: HashMap::new(),
            oracle_shares: WorkspaceShares::default(),
            oracle_view: PoolView {
                name: String::from("model"),
                kind: PoolKind::Engine,
                servers: server_ids.iter().map(|id| server_view(*id)).collect(),
            },
            server_ids,
            events: BinaryHeap::new(),
            event_slots: Vec::new(),
            free_event_slots: Vec::new(),
            next_event: 0,
            now_us: 0,
            fault_random: ChaCha8Rng::seed_from_u64(seed ^ 0xfa17),
            random: ChaCha8Rng::seed_from_u64(seed ^ 0xdec1),
            control_traffic: ControlTraffic::new(),
            samples: Samples::default(),
            measures: Measures {
                policy: policy.name(),
                scenario: scenario.name.name(),
                seed,
                requests: trace.turns.len() as u64,
                ..Measures::default()
            },
            replacement: Replacement::default(),
        }
    }

    /// Runs until no event is left; periodic events end with the load.
    pub(crate) fn run(mut self) -> Measures {
        self.schedule_all();
        let end_us = START_US + self.scenario.end_us();
        while let Some(Reverse((at_us, _, slot))) = self.events.pop() {
            let Some(event) = self.event_slots[slot].take() else {
                continue;
            };
            self.free_event_slots.push(slot);
            self.now_us = at_us;
            let repeats = matches!(
                event,
                Event::UpdateStewardship
                    | Event::SampleSkew
                    | Event::PublishReports
                    | Event::Heartbeat { .. }
            );
            if repeats && at_us > end_us {
                continue;
            }
            self.handle(event);
        }
        self.samples.control_bytes = self.control_traffic.bytes();
        let replacement = &self.replacement;
        self.measures.returns = replacement.returns;
        self.measures.return_warm_fraction = ratio(
            replacement.cached_tokens as f64,
            replacement.prompt_tokens as f64,
        );
        let seconds = end_us as f64 / 1e6;
        self.samples
            .fill_measures(&mut self.measures, self.scenario.routers, seconds);
        self.measures
    }

    fn schedule_all(&mut self) {
        for (index, turn) in self.trace.turns.iter().enumerate() {
            self.schedule(START_US + turn.at_us, Event::Arrive(index as u32));
        }
        for (at_us, change) in &self.trace.changes {
            self.schedule(START_US + at_us, Event::Change(*change));
        }
        for (at_us, event) in replacement_events(self.scenario) {
            self.schedule(START_US + at_us, event);
        }
        if self.policy == Policy::Sapphiretrack {
            self.schedule(0, Event::UpdateStewardship);
        }
        if self.policy.exchanges_heartbeats() {
            for router in 0..self.scenario.routers {
                let period_us = self.scenario.heartbeat_ms * 1_000;
                let offset_us = period_us * router as u64 / self.scenario.routers as u64;
                self.schedule(offset_us, Event::Heartbeat { router });
            }
        }
        self.schedule(0, Event::PublishReports);
        self.schedule(0, Event::SampleSkew);
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        let slot = match self.free_event_slots.pop() {
            Some(free) => {
                self.event_slots[free] = Some(event);
                free
            }
            None => {
                self.event_slots.push(Some(event));
                self.event_slots.len() - 1
            }
        };
        self.events.push(Reverse((at_us, self.next_event, slot)));
        self.next_event += 1;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Retry(request) => self.try_next(request),
            Event::RequestSlot {
                request,
                router,
                reserve_request,
                attempt,
            } => self.request_slot(request, router, &reserve_request, attempt),
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
            Event::Receive {
                from,
                to,
                heartbeat,
            } => {
                let now_ms = self.now_ms();
                for server in self.routers[to].apply_heartbeat(from, &heartbeat, now_ms) {
                    let at_us = self.now_us + JOIN_DELAY_US;
                    self.schedule(at_us, Event::FinishJoin { router: to, server });
                }
            }
            Event::UpdateStewardship => {
                let now_ms = self.now_ms();
                self.routers
                    .iter_mut()
                    .for_each(|router| router.update_stewardship(now_ms));
                self.schedule(
                    self.now_us + STEWARDSHIP_INTERVAL_US,
                    Event::UpdateStewardship,
                );
            }
            Event::SampleSkew => self.sample_skew(),
            Event::PublishReports => self.publish_reports(),
            Event::Change(change) => self.apply_change(change),
            Event::Fail(server) => self.fail_server(server),
            Event::Restart(server) => {
                self.engines[server].restart(self.now_us);
                self.announce_state(server, VmState::Live);
            }
            Event::HealPartition { first, second } => {
                self.partitions[first][second] -= 1;
                self.partitions[second][first] -= 1;
            }
            Event::ApplyState {
                router,
                server,
                state,
                version,
            } => {
                if self.routers[router].apply_state(server, state, version) {
                    let at_us = self.now_us + JOIN_DELAY_US;
                    self.schedule(at_us, Event::FinishJoin { router, server });
                }
            }
            Event::FinishJoin { router, server } => self.routers[router].finish_join(server),
            Event::TakeSnapshot => {
                let now_ms = self.now_ms();
                self.replacement.take_snapshot(&self.routers, now_ms);
            }
            Event::Replace(mode) => {
                let now_ms = self.now_ms();
                self.replacement.replace(mode, &mut self.routers, now_ms);
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn turn(&self, request: u32) -> &'a Turn {
        &self.trace.turns[request as usize]
    }

    fn bound_share(&self, request: u32) -> f64 {
        if self.turn(request).is_urgent {
            1.0
        } else {
            NON_URGENT_SHARE
        }
    }

    fn arrive(&mut self, request: u32) {
        let had_capacity = self.has_capacity(request);
        let attempts = self.attempts_for(request);
        let pending = &mut self.pending[request as usize];
        pending.attempts = attempts;
        pending.next_attempt = 0;
        pending.full_refusals.clear();
        pending.is_second_round = false;
        pending.had_capacity = had_capacity;
        self.try_next(request);
    }
}

/// Returns the deadline for the first token, in milliseconds after the arrival.
fn deadline_ms(is_urgent: bool) -> f64 {
    match is_urgent {
        true => URGENT_DEADLINE_MS,
        false => NON_URGENT_DEADLINE_MS,
    }
}

/// Returns the replacement of the router, halfway through the load, and the snapshot before it,
/// with their times since the start of the load.
fn replacement_events(scenario: &Scenario) -> Vec<(u64, Event)> {
    let Some(mode) = scenario.replacement_mode else {
        return Vec::new();
    };
    let at_us = scenario.end_us() / 2;
    let snapshot = mode.snapshot_age_ms().map(|age_ms| {
        let taken_us = at_us.saturating_sub(age_ms * 1_000);
        (taken_us, Event::TakeSnapshot)
    });
    let mut events = vec![(at_us, Event::Replace(mode))];
    events.extend(snapshot);
    events
}
