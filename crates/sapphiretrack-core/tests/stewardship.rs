//! Stewards, consent and the ledger: the bound holds although routers disagree.

use proptest::prelude::*;
use sapphiretrack_core::{
    CellView, ConsentSettings, Grant, HeldSlots, Ledger, LedgerSettings, LoadBound, PoolLoad,
    ReservationId, ReserveRequest, RouterId, ServerId, StewardConsents,
};

const SERVER: ServerId = ServerId(7);

fn slot_request(router: RouterId, reservation: u32) -> ReserveRequest {
    ReserveRequest {
        router,
        reservation: ReservationId(reservation),
        server: SERVER,
        bound_share: 1.0,
        in_flight: 0,
    }
}

fn listing(reservations: &[u32], next_reservation: u32) -> HeldSlots {
    let held = reservations.iter().copied().map(ReservationId).collect();
    HeldSlots {
        next_reservation,
        by_server: vec![(SERVER, held)],
    }
}

fn reserve(ledger: &mut Ledger, request: &ReserveRequest, now_ms: u64) -> Grant {
    let load = PoolLoad {
        live_servers: 1,
        open_servers: 1,
        ..PoolLoad::default()
    };
    let bound = LoadBound {
        floor_requests: 2,
        ..LoadBound::default()
    };
    ledger.reserve(request, &bound, &load, now_ms)
}

fn view<'a>(live: &'a [RouterId], known: &'a [RouterId]) -> CellView<'a> {
    CellView {
        stewarded: &[SERVER],
        live,
        known,
        ended: &[],
    }
}

#[test]
fn a_new_steward_grants_only_after_every_possible_holder_has_listed_its_slots() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let mut ledger = Ledger::new(routers[0], LedgerSettings::default());
    ledger.set_view(&view(&routers, &routers), 0);
    assert_eq!(
        reserve(&mut ledger, &slot_request(routers[0], 1), 0),
        Grant::NotSteward
    );
    ledger.reconcile(routers[1], &listing(&[4], 5), 10);
    assert_eq!(
        reserve(&mut ledger, &slot_request(routers[0], 1), 10),
        Grant::NotSteward
    );
    ledger.reconcile(routers[2], &listing(&[], 0), 20);
    assert_eq!(
        reserve(&mut ledger, &slot_request(routers[0], 1), 20),
        Grant::Granted
    );
    assert_eq!(ledger.held(SERVER), Some(2));
    assert_eq!(
        reserve(&mut ledger, &slot_request(routers[2], 1), 20),
        Grant::Full
    );
}

#[test]
fn a_steward_stops_granting_when_most_consents_have_expired() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let settings = LedgerSettings::default();
    let mut ledger = Ledger::new(routers[0], settings);
    ledger.set_view(&view(&routers, &routers), 0);
    ledger.reconcile(routers[1], &listing(&[], 0), 0);
    ledger.reconcile(routers[2], &listing(&[], 0), 0);
    assert_eq!(
        reserve(&mut ledger, &slot_request(routers[0], 1), 1),
        Grant::Granted
    );
    let expired_ms = settings.consent.consent_ms;
    ledger.set_view(&view(&[routers[0]], &routers), expired_ms);
    let late = reserve(&mut ledger, &slot_request(routers[0], 2), expired_ms);
    assert_eq!(late, Grant::NotSteward);
}

#[test]
fn a_router_that_sees_none_of_its_listed_peers_grants_nothing() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let mut ledger = Ledger::new(routers[0], LedgerSettings::default());
    ledger.set_view(&view(&routers[..1], &routers), 0);
    assert!(!ledger.sees_majority());
    assert_eq!(
        reserve(&mut ledger, &slot_request(routers[0], 1), 0),
        Grant::NotSteward
    );
}

#[test]
fn slots_of_lost_routers_count_for_a_while_and_server_reports_after_that() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let settings = LedgerSettings::default();
    let mut ledger = Ledger::new(routers[0], settings);
    ledger.set_view(&view(&routers, &routers), 0);
    ledger.reconcile(routers[1], &listing(&[1, 2], 3), 0);
    ledger.reconcile(routers[2], &listing(&[], 0), 0);
    let known = [routers[0], routers[1], routers[2]];
    ledger.set_view(&view(&[routers[0], routers[2]], &known), 1_000);
    ledger.reconcile(routers[2], &listing(&[], 0), 1_000);
    assert_eq!(ledger.held(SERVER), Some(2));
    let after_ms = 1_000 + settings.electorate_ms;
    ledger.reconcile(routers[2], &listing(&[], 0), after_ms);
    ledger.set_view(&view(&[routers[0], routers[2]], &known), after_ms);
    assert_eq!(ledger.held(SERVER), Some(0));
    // The server itself still reports two requests that no router lists.
    ledger.note_report(SERVER, 2, after_ms);
    let request = slot_request(routers[0], 9);
    assert_eq!(reserve(&mut ledger, &request, after_ms), Grant::Full);
    // A single lower report is not enough, because a slot that is listed but was refused hides a
    // request.
    ledger.note_report(SERVER, 1, after_ms);
    assert_eq!(reserve(&mut ledger, &request, after_ms), Grant::Full);
    ledger.note_report(SERVER, 1, after_ms);
    assert_eq!(reserve(&mut ledger, &request, after_ms), Grant::Granted);
}

#[test]
fn a_listed_slot_that_was_refused_does_not_hide_a_lost_routers_request() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let mut ledger = Ledger::new(routers[0], LedgerSettings::default());
    ledger.set_view(&view(&routers, &routers), 0);
    ledger.set_view(&view(&routers[..2], &routers), 1_000);
    let after_ms = 1_000 + LedgerSettings::default().dead_holder_grace_ms;
    ledger.reconcile(routers[1], &listing(&[1], 2), after_ms);
    ledger.set_view(&view(&routers[..2], &routers), after_ms);
    // The server runs a request of the lost router in addition to the listed one.
    ledger.note_report(SERVER, 2, after_ms);
    ledger.reconcile(routers[1], &listing(&[1, 2], 3), after_ms);
    ledger.note_report(SERVER, 2, after_ms);
    ledger.reconcile(routers[1], &listing(&[1], 3), after_ms);
    let request = slot_request(routers[0], 9);
    assert_eq!(reserve(&mut ledger, &request, after_ms), Grant::Full);
}

#[test]
fn reconciling_handles_the_wrap_around_of_reservation_ids() {
    let me = RouterId(1);
    let other = RouterId(2);
    let mut ledger = Ledger::new(me, LedgerSettings::default());
    ledger.set_view(&view(&[me, other], &[me, other]), 0);
    ledger.reconcile(other, &listing(&[], u32::MAX - 1), 0);
    assert_eq!(
        reserve(&mut ledger, &slot_request(other, u32::MAX), 1),
        Grant::Granted
    );
    // This list was sent before the grant, so it does not cover the later id.
    ledger.reconcile(other, &listing(&[], u32::MAX), 2);
    assert_eq!(ledger.held(SERVER), Some(1));
    // This list was sent after the ids wrapped around, and does not contain the slot.
    ledger.reconcile(other, &listing(&[], 3), 3);
    assert_eq!(ledger.held(SERVER), Some(0));
}

#[test]
fn a_router_consents_to_a_new_steward_only_after_its_earlier_consent_has_expired() {
    let settings = ConsentSettings::default();
    let mut consents = StewardConsents::new(settings);
    let (first, second) = (RouterId(1), RouterId(2));
    consents.set_preferred(SERVER, first, false, 0);
    assert_eq!(
        consents.consent(SERVER),
        None,
        "it does not see its cell yet"
    );
    consents.set_preferred(SERVER, first, true, 0);
    consents.note_sent(first, 1_000);
    consents.set_preferred(SERVER, second, true, 1_001);
    assert_eq!(consents.consent(SERVER), None);
    assert_eq!(consents.steward(SERVER), Some(first));
    consents.set_preferred(SERVER, second, true, 1_000 + settings.handover_ms() - 1);
    assert_eq!(consents.consent(SERVER), None);
    consents.set_preferred(SERVER, second, true, 1_000 + settings.handover_ms());
    assert_eq!(consents.consent(SERVER), Some(second));
}

/// One router of the property test.
struct Node {
    consents: StewardConsents,
    ledger: Ledger,
    held: Vec<u32>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// The slots held never exceed the bound, whichever router each of them considers the steward.
    #[test]
    fn no_two_stewards_exceed_the_bound_of_a_server(changes in prop::collection::vec((0_usize..5, 0_usize..5, any::<u32>()), 40..160)) {
        let routers: Vec<RouterId> = (1..=5).map(RouterId).collect();
        let mut nodes: Vec<Node> = routers
            .iter()
            .map(|id| Node {
                consents: StewardConsents::new(ConsentSettings::default()),
                ledger: Ledger::new(*id, LedgerSettings::default()),
                held: Vec::new(),
            })
            .collect();
        let mut preferred = [0_usize; 5];
        let mut next = 0;
        for (step, (changed, steward, cuts)) in changes.into_iter().enumerate() {
            let now_ms = step as u64 * 700;
            preferred[changed] = steward;
            for index in 0..5 {
                let node = &mut nodes[index];
                node.consents.set_preferred(SERVER, routers[preferred[index]], true, now_ms);
                let is_own = node.consents.consent(SERVER) == Some(routers[index]);
                node.consents.note_sent(routers[index], now_ms);
                let stewarded = [SERVER];
                let view = CellView {
                    stewarded: if is_own { &stewarded } else { &[] },
                    live: &routers,
                    known: &routers,
                    ended: &[],
                };
                node.ledger.set_view(&view, now_ms);
            }
            for from in 0..5 {
                let Some(to) = nodes[from].consents.consent(SERVER) else { continue };
                let to = to.0 as usize - 1;
                let is_cut = cuts >> (from * 5 + to) & 1 == 1;
                nodes[from].consents.note_sent(routers[to], now_ms);
                if to != from && !is_cut {
                    let slots = listing(&nodes[from].held, next);
                    nodes[to].ledger.reconcile(routers[from], &slots, now_ms);
                }
            }
            for (requester, router) in routers.iter().enumerate() {
                let Some(steward) = nodes[requester].consents.steward(SERVER) else { continue };
                let steward = steward.0 as usize - 1;
                let request = slot_request(*router, next);
                if reserve(&mut nodes[steward].ledger, &request, now_ms) == Grant::Granted {
                    nodes[requester].held.push(next);
                }
                next += 1;
            }
            let held: usize = nodes.iter().map(|node| node.held.len()).sum();
            prop_assert!(held <= 2, "{held} slots are held, the bound is 2, after step {step}");
            if step % 3 == 0 {
                for (index, node) in nodes.iter_mut().enumerate() {
                    node.held.pop().into_iter().for_each(|id| {
                        node.ledger.release(routers[index], SERVER, ReservationId(id));
                    });
                }
            }
        }
    }
}
