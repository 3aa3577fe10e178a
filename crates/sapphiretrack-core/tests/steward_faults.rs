//! The bound holds although stewards crash, restart, resign and lose contact with each other.

mod common;

use common::{BOUND, SERVER, listing, reserve};
use proptest::prelude::*;
use sapphiretrack_core::{
    CellView, ConsentSettings, EndedIncarnations, Grant, Ledger, LedgerSettings, ReservationId,
    RouterId, StewardConsents,
};

const ROUTERS: usize = 5;
const STEP_MS: u64 = 100;
/// A peer that sends no heartbeat for this time counts as lost.
const SILENT_MS: u64 = 2_500;
/// How long a crashed router stays down: after this time, its earlier consent has expired and it
/// may consent again.
const DOWN_STEPS: usize = 36;

/// One router of the property test.
struct Node {
    incarnation: u64,
    down_steps: usize,
    consents: StewardConsents,
    ledger: Ledger,
    ended_incarnations: EndedIncarnations,
    has_resigned: bool,
    held: Vec<u32>,
    seen_ms: [Option<u64>; ROUTERS],
    known_incarnation: [u64; ROUTERS],
}

impl Node {
    fn new(index: usize, incarnation: u64) -> Self {
        Self {
            incarnation,
            down_steps: 0,
            consents: StewardConsents::new(ConsentSettings::default()),
            ledger: Ledger::new(RouterId(index as u64), LedgerSettings::default()),
            ended_incarnations: EndedIncarnations::default(),
            has_resigned: false,
            held: Vec::new(),
            seen_ms: [None; ROUTERS],
            known_incarnation: [0; ROUTERS],
        }
    }

    fn is_up(&self) -> bool {
        self.down_steps == 0
    }

    /// Handles a refused connection to a router; `dialled` is the latest incarnation known when the
    /// connection attempt started.
    fn handle_refusal(&mut self, peer: usize, dialled: u64) {
        let router = RouterId(peer as u64);
        let newest = self.known_incarnation[peer];
        if self
            .ended_incarnations
            .note_refused(router, dialled, newest)
        {
            self.consents.release(router);
            self.seen_ms[peer] = None;
        }
    }
}

/// An event that affects a router in a step.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    /// The affected router's view changes: the given router is now the steward.
    Prefers(usize),
    /// The link between the affected and the given router is cut, or restored.
    Cut(usize),
    /// The routers in the mask are partitioned from the others; mask 0 restores all links.
    Partition(usize),
    Dies,
    Resigns,
    /// A refusal arrives late, of a connection to the previous incarnation.
    LateRefusal(usize),
}

fn any_event() -> impl Strategy<Value = (usize, Event)> {
    let event = prop_oneof![
        24 => Just(Event::Nothing),
        8 => (0..ROUTERS).prop_map(Event::Prefers),
        2 => (0..ROUTERS).prop_map(Event::Cut),
        1 => (0..1_usize << ROUTERS).prop_map(Event::Partition),
        2 => Just(Event::Dies),
        1 => Just(Event::Resigns),
        1 => (0..ROUTERS).prop_map(Event::LateRefusal),
    ];
    (0..ROUTERS, event)
}

/// The simulated routers and the server.
struct Simulation {
    now_ms: u64,
    nodes: Vec<Node>,
    preferred: [usize; ROUTERS],
    is_cut: [[bool; ROUTERS]; ROUTERS],
    /// End times of the requests of crashed routers.
    orphaned: Vec<u64>,
    last_reservation: u32,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: 0,
            nodes: (0..ROUTERS).map(|index| Node::new(index, 1)).collect(),
            preferred: [0; ROUTERS],
            is_cut: [[false; ROUTERS]; ROUTERS],
            orphaned: Vec::new(),
            last_reservation: 0,
        }
    }

    fn running(&self) -> usize {
        let held: usize = self.nodes.iter().map(|node| node.held.len()).sum();
        held + self.orphaned.len()
    }

    fn is_linked(&self, from: usize, to: usize) -> bool {
        let is_cut = self.is_cut[from][to] || self.is_cut[to][from];
        from != to && self.nodes[from].is_up() && !is_cut
    }

    fn apply(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        let down = self.nodes.iter().filter(|node| !node.is_up()).count();
        let node = &mut self.nodes[index];
        match event {
            Event::Nothing => {}
            Event::Prefers(steward) => self.preferred[index] = steward,
            Event::Cut(peer) => self.is_cut[index][peer] ^= true,
            Event::Partition(mask) => {
                let side = |router: usize| mask >> router & 1;
                for (from, cuts) in self.is_cut.iter_mut().enumerate() {
                    for (to, is_cut) in cuts.iter_mut().enumerate() {
                        *is_cut = side(from) != side(to);
                    }
                }
            }
            Event::Dies if down < 2 && node.is_up() => {
                let orphaned = std::mem::take(&mut node.held).into_iter();
                self.orphaned.extend(orphaned.map(|_| now_ms + 2_000));
                *node = Node::new(index, node.incarnation + 1);
                node.down_steps = DOWN_STEPS;
            }
            Event::Resigns => node.has_resigned = node.is_up(),
            Event::LateRefusal(peer) => {
                node.handle_refusal(peer, node.known_incarnation[peer].saturating_sub(1));
            }
            Event::Dies => {}
        }
    }

    /// Attempts the connections given by the bits of `tried`; those to routers that are down are
    /// refused.
    fn dial(&mut self, tried: u32) {
        for from in 0..ROUTERS {
            for to in 0..ROUTERS {
                let is_tried = tried >> (from * ROUTERS + to) & 1 == 1;
                let answers = self.nodes[to].is_up();
                if answers || !is_tried || !self.is_linked(from, to) {
                    continue;
                }
                let node = &mut self.nodes[from];
                node.handle_refusal(to, node.known_incarnation[to]);
            }
        }
    }

    /// Updates the view of each router, as the daemon does in each tick.
    fn update_views(&mut self) {
        let now_ms = self.now_ms;
        let reported = self.running() as u32;
        let known: Vec<RouterId> = (0..ROUTERS as u64).map(RouterId).collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.is_up() {
                node.down_steps -= 1;
                continue;
            }
            let me = RouterId(index as u64);
            let is_seen = |peer: &RouterId| {
                let seen_ms = node.seen_ms[peer.0 as usize];
                *peer == me || seen_ms.is_some_and(|at_ms| now_ms - at_ms < SILENT_MS)
            };
            let live: Vec<RouterId> = known.iter().copied().filter(is_seen).collect();
            let ended: Vec<RouterId> = node.ended_incarnations.routers().collect();
            let is_own = node.consents.consent(SERVER) == Some(me);
            node.consents.note_sent(me, now_ms);
            let cell = CellView {
                stewarded: if is_own { &[SERVER] } else { &[] },
                live: &live,
                known: &known,
                ended: &ended,
            };
            if node.consents.steward(SERVER) == Some(me) {
                node.ledger.note_report(SERVER, reported, now_ms);
            }
            node.ledger.set_view(&cell, now_ms);
            if node.has_resigned {
                node.consents.release(me);
            }
            let may_begin = node.ledger.sees_majority();
            let preferred = RouterId(self.preferred[index] as u64);
            if live.contains(&preferred) && (preferred != me || !node.has_resigned) {
                node.consents
                    .set_preferred(SERVER, preferred, may_begin, now_ms);
            }
            if is_own {
                let own = listing(&node.held, self.last_reservation);
                node.ledger.reconcile(me, &own, now_ms);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        for from in 0..ROUTERS {
            let router = RouterId(from as u64);
            for to in 0..ROUTERS {
                let target = RouterId(to as u64);
                if from == to || !self.nodes[from].is_up() {
                    continue;
                }
                let sender = &mut self.nodes[from];
                let has_consent = sender.consents.consent(SERVER) == Some(target);
                sender.consents.note_sent(target, now_ms);
                let slots = listing(&sender.held, self.last_reservation);
                let (incarnation, has_resigned) = (sender.incarnation, sender.has_resigned);
                let addressed_incarnation = sender.known_incarnation[to];
                if !self.is_linked(from, to) || !self.nodes[to].is_up() {
                    continue;
                }
                let receiver = &mut self.nodes[to];
                receiver.seen_ms[from] = Some(now_ms);
                receiver.ended_incarnations.note_seen(router, incarnation);
                if has_resigned || receiver.known_incarnation[from] != incarnation {
                    receiver.consents.release(router);
                }
                receiver.known_incarnation[from] = incarnation;
                // Consent sent to an earlier incarnation does not apply to this one.
                if has_consent && addressed_incarnation == receiver.incarnation {
                    receiver.ledger.reconcile(router, &slots, now_ms);
                }
            }
        }
    }

    fn request_slots(&mut self) {
        for requester in 0..ROUTERS {
            let Some(steward) = self.nodes[requester].consents.steward(SERVER) else {
                continue;
            };
            let steward = steward.0 as usize;
            let is_reached = requester == steward || self.is_linked(requester, steward);
            let serves = self.nodes[steward].is_up() && !self.nodes[steward].has_resigned;
            if !self.nodes[requester].is_up() || !is_reached || !serves {
                continue;
            }
            self.last_reservation += 1;
            let router = RouterId(requester as u64);
            let ledger = &mut self.nodes[steward].ledger;
            if reserve(ledger, router, self.last_reservation, self.now_ms) == Grant::Granted {
                self.nodes[requester].held.push(self.last_reservation);
            }
        }
    }

    fn end_requests(&mut self, step: usize) {
        let now_ms = self.now_ms;
        self.orphaned.retain(|ends_ms| now_ms < *ends_ms);
        let index = step % ROUTERS;
        if step.is_multiple_of(4)
            && let Some(id) = self.nodes[index].held.pop()
        {
            let router = RouterId(index as u64);
            for node in &mut self.nodes {
                node.ledger.release(router, SERVER, ReservationId(id));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// The bound holds while routers crash, restart, resign, lose contact and disagree.
    #[test]
    fn no_steward_change_exceeds_the_bound_of_a_server(
        steps in prop::collection::vec((any_event(), any::<u32>()), 60..140),
    ) {
        let mut simulation = Simulation::new();
        for (step, ((index, event), tried)) in steps.into_iter().enumerate() {
            simulation.now_ms = step as u64 * STEP_MS;
            simulation.apply(index, event);
            simulation.dial(tried);
            simulation.update_views();
            simulation.send_heartbeats();
            simulation.request_slots();
            let running = simulation.running();
            prop_assert!(running <= BOUND, "{running} requests run, the bound is {BOUND}, after step {step}: {event:?} of router {index}");
            simulation.end_requests(step);
        }
    }
}
