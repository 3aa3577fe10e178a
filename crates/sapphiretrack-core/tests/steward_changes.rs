//! Changes of a steward after a crash, a restart or a resignation: when the next one may grant.

mod common;

use common::{SERVER, listing, reserve};
use sapphiretrack_core::{
    CellView, ConsentSettings, EndedIncarnations, Grant, Ledger, LedgerSettings, Resignation,
    RouterId, StewardConsents,
};

fn view<'a>(live: &'a [RouterId], known: &'a [RouterId], ended: &'a [RouterId]) -> CellView<'a> {
    CellView {
        stewarded: &[SERVER],
        live,
        known,
        ended,
    }
}

#[test]
fn the_successor_of_a_steward_that_ended_gets_consent_at_once_and_for_the_usual_time() {
    let mut consents = StewardConsents::new(ConsentSettings::default());
    let (first, second) = (RouterId(1), RouterId(2));
    consents.set_preferred(SERVER, first, true, 0);
    consents.note_sent(first, 1_000);
    assert!(!consents.release(second), "it is not the steward");
    consents.set_preferred(SERVER, second, true, 1_001);
    assert_eq!(consents.consent(SERVER), None);
    assert!(consents.release(first));
    consents.set_preferred(SERVER, second, true, 1_002);
    assert_eq!(consents.consent(SERVER), Some(second));
    consents.note_sent(second, 1_003);
    consents.set_preferred(SERVER, first, true, 1_004);
    assert_eq!(
        consents.consent(SERVER),
        None,
        "the consent to the successor is still valid"
    );
}

#[test]
fn a_ledger_without_a_view_grants_nothing() {
    let mut ledger = Ledger::new(RouterId(1), LedgerSettings::default());
    ledger.reconcile(RouterId(2), &listing(&[], 0), 0);
    assert_eq!(reserve(&mut ledger, RouterId(2), 1, 0), Grant::NotSteward);
}

#[test]
fn a_new_steward_waits_for_a_report_and_not_for_a_holder_that_has_ended() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let live = [routers[0], routers[2]];
    let mut ledger = Ledger::new(routers[0], LedgerSettings::default());
    ledger.set_view(&view(&live, &routers, &routers[1..2]), 100);
    ledger.reconcile(routers[2], &listing(&[], 0), 100);
    assert!(ledger.sees_majority());
    assert_eq!(
        reserve(&mut ledger, routers[0], 1, 100),
        Grant::NotSteward,
        "the number of the ended router's requests is not known yet"
    );
    ledger.note_report(SERVER, 1, 101);
    assert_eq!(reserve(&mut ledger, routers[0], 1, 102), Grant::Granted);
    assert_eq!(reserve(&mut ledger, routers[0], 2, 103), Grant::Full);
}

#[test]
fn a_new_steward_waits_the_grace_period_for_a_silent_holder() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let live = [routers[0], routers[2]];
    let settings = LedgerSettings::default();
    let mut ledger = Ledger::new(routers[0], settings);
    for now_ms in [0, settings.dead_holder_grace_ms - 1] {
        ledger.set_view(&view(&live, &routers, &[]), now_ms);
        ledger.reconcile(routers[2], &listing(&[], 0), now_ms);
        ledger.note_report(SERVER, 0, now_ms);
        let grant = reserve(&mut ledger, routers[0], 1, now_ms);
        assert_eq!(grant, Grant::NotSteward);
    }
    ledger.set_view(&view(&live, &routers, &[]), settings.dead_holder_grace_ms);
    let grant = reserve(&mut ledger, routers[0], 1, settings.dead_holder_grace_ms);
    assert_eq!(grant, Grant::Granted);
}

#[test]
fn killed_routers_leave_the_electorate_once_they_are_not_listed() {
    let routers: Vec<RouterId> = (1..=5).map(RouterId).collect();
    let (live, ended) = routers.split_at(2);
    let settings = LedgerSettings::default();
    let expiry_ms = settings.consent.handover_ms();
    let mut ledger = Ledger::new(routers[0], settings);
    ledger.set_view(&view(&routers, &routers, &[]), 0);
    for (now_ms, sees_majority) in [(0, false), (expiry_ms - 1, false), (expiry_ms, true)] {
        ledger.set_view(&view(live, live, ended), now_ms);
        assert_eq!(
            ledger.sees_majority(),
            sees_majority,
            "not listed, at {now_ms}"
        );
    }
    // A listed router may restart behind a partition and consent to another steward there.
    let mut ledger = Ledger::new(routers[0], settings);
    for (now_ms, sees_majority) in [
        (0, false),
        (expiry_ms, false),
        (settings.electorate_ms, true),
    ] {
        ledger.set_view(&view(live, &routers, ended), now_ms);
        assert_eq!(ledger.sees_majority(), sees_majority, "listed, at {now_ms}");
    }
}

#[test]
fn the_slots_of_a_lost_router_that_is_no_longer_listed_are_released() {
    let routers = [RouterId(1), RouterId(2), RouterId(3)];
    let remaining = [routers[0], routers[2]];
    let settings = LedgerSettings::default();
    let mut ledger = Ledger::new(routers[0], settings);
    ledger.set_view(&view(&routers, &routers, &[]), 0);
    ledger.reconcile(routers[1], &listing(&[1, 2], 3), 0);
    ledger.reconcile(routers[2], &listing(&[], 0), 0);
    ledger.set_view(&view(&remaining, &remaining, &[]), 1_000);
    assert_eq!(ledger.held(SERVER), Some(2));
    let after_ms = 1_000 + settings.electorate_ms;
    ledger.reconcile(routers[2], &listing(&[], 0), after_ms);
    ledger.set_view(&view(&remaining, &remaining, &[]), after_ms);
    assert_eq!(ledger.held(SERVER), Some(0));
}

#[test]
fn a_refused_connection_proves_the_end_of_only_the_incarnation_that_was_dialled() {
    let mut ended = EndedIncarnations::default();
    let router = RouterId(1);
    assert!(
        !ended.note_refused(router, 10, 20),
        "it has restarted in the meantime"
    );
    assert!(!ended.has_ended(router, 20));
    assert!(ended.note_refused(router, 20, 20));
    assert!(!ended.note_refused(router, 20, 20), "it is already known");
    assert!(ended.has_ended(router, 20));
    assert!(!ended.has_ended(router, 30));
    ended.note_seen(router, 30);
    assert!(!ended.has_ended(router, 20));
}

#[test]
fn refusals_prove_nothing_for_an_incarnation_that_was_seen_after_one() {
    let mut ended = EndedIncarnations::default();
    let router = RouterId(1);
    assert!(ended.note_refused(router, 20, 20));
    ended.note_seen(router, 20);
    assert!(!ended.has_ended(router, 20));
    assert!(
        !ended.note_refused(router, 20, 20),
        "an earlier refusal was wrong"
    );
    ended.note_seen(router, 30);
    assert!(ended.note_refused(router, 30, 30), "a later incarnation");
}

#[test]
fn a_leaving_router_resigns_when_all_its_successors_have_seen_that_it_is_leaving() {
    let (first, second) = (RouterId(1), RouterId(2));
    let mut resignation = Resignation::default();
    resignation.note_seen(first, 9);
    assert!(!resignation.try_resign(&[first]), "it is not leaving");
    resignation.note_leaving(10);
    resignation.note_leaving(11);
    assert!(
        !resignation.try_resign(&[first]),
        "the peer saw only an earlier heartbeat"
    );
    resignation.note_seen(first, 10);
    assert!(!resignation.try_resign(&[]), "there is no successor");
    assert!(!resignation.try_resign(&[first, second]));
    resignation.note_seen(second, 11);
    assert!(resignation.try_resign(&[first, second]));
    assert!(
        !resignation.try_resign(&[first, second]),
        "it is already known"
    );
    assert!(resignation.has_resigned());
}
