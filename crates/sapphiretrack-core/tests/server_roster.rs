//! The merged view of backend servers: delayed and flapping lists, load reports and refusals.

use sapphiretrack_core::{
    LoadReport, PoolKind, RosterChange, ServerId, ServerRoster, ServerSighting,
    UNKNOWN_INCARNATION, VmRecord, VmRole, VmState,
};

fn record(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        zone: String::from("zone-1"),
        address: "127.0.0.1:9000".parse().expect("an address"),
        role: VmRole::Server {
            pool: String::from("assistant"),
            kind: PoolKind::Engine,
        },
        state,
    }
}

fn list(names: &[&str]) -> Vec<VmRecord> {
    names
        .iter()
        .map(|name| record(name, VmState::Live))
        .collect()
}

fn report(incarnation: u64) -> LoadReport {
    LoadReport {
        incarnation,
        ..LoadReport::default()
    }
}

fn id(name: &str) -> ServerId {
    ServerId::from_name(name)
}

/// A roster with `a` and `b`, both of incarnation 1.
fn roster() -> ServerRoster {
    let mut roster = ServerRoster::default();
    roster.apply_list(&list(&["a", "b"]), 0);
    for name in ["a", "b"] {
        roster.apply_report(id(name), Some(report(1)), 0);
    }
    roster
}

#[test]
fn an_empty_list_after_a_platform_restart_empties_no_pool() {
    let mut roster = roster();
    for second in 1..600 {
        let now_ms = second * 1_000;
        roster.apply_list(&[], now_ms);
        roster.apply_report(id("a"), Some(report(1)), now_ms);
        assert_eq!(roster.tick(now_ms), []);
    }
    assert_eq!(roster.state(id("a"), 599_000), Some(VmState::Live));
}

#[test]
fn a_flapping_or_delayed_list_removes_no_server_that_reports() {
    let mut roster = roster();
    for second in 1..100 {
        let now_ms = second * 1_000;
        let names: &[&str] = if second % 4 == 0 { &["a", "b"] } else { &["b"] };
        roster.apply_list(&list(names), now_ms);
        roster.apply_report(id("a"), Some(report(1)), now_ms);
        assert_eq!(roster.tick(now_ms), []);
        assert_eq!(roster.state(id("a"), now_ms), Some(VmState::Live));
    }
}

#[test]
fn a_server_that_is_unlisted_and_does_not_report_is_removed_after_the_grace_period() {
    let mut roster = roster();
    for now_ms in (250..5_000).step_by(250) {
        roster.apply_list(&list(&["b"]), now_ms);
        roster.apply_report(id("a"), None, now_ms);
        assert_eq!(roster.tick(now_ms), []);
    }
    assert_eq!(roster.state(id("a"), 4_750), Some(VmState::Leaving));
    assert_eq!(roster.tick(5_000), [RosterChange::Lost(String::from("a"))]);
    assert_eq!(roster.state(id("a"), 5_000), None);
}

#[test]
fn a_server_that_is_unlisted_for_long_is_removed_even_if_something_reports() {
    let mut roster = roster();
    for second in 1..=61 {
        roster.apply_list(&list(&["b"]), second * 1_000);
        roster.apply_report(id("a"), Some(report(1)), second * 1_000);
    }
    assert_eq!(roster.tick(60_999), []);
    assert_eq!(roster.tick(61_000), [RosterChange::Lost(String::from("a"))]);
}

#[test]
fn leaving_is_final_for_an_incarnation_whichever_signal_reported_it() {
    type Signal = fn(&mut ServerRoster, u64);
    let signals: [(&str, Signal); 4] = [
        ("list", |roster, now_ms| {
            roster.apply_list(&[record("a", VmState::Leaving)], now_ms);
        }),
        ("report", |roster, now_ms| {
            let leaving = LoadReport {
                leaving: true,
                ..report(1)
            };
            roster.apply_report(id("a"), Some(leaving), now_ms);
        }),
        ("peer", |roster, now_ms| {
            let sighting = ServerSighting {
                server: id("a"),
                state: VmState::Leaving,
                reachable: true,
                report: report(1),
            };
            roster.merge_sighting(&sighting, now_ms);
        }),
        ("refusal", |roster, now_ms| {
            roster.note_leaving(id("a"), 1, now_ms);
        }),
    ];
    for (name, signal) in signals {
        let mut roster = roster();
        signal(&mut roster, 1_000);
        assert_eq!(
            roster.state(id("a"), 1_000),
            Some(VmState::Leaving),
            "{name}"
        );
        assert_eq!(roster.new_marks(1_000), [(id("a"), 1)], "{name}");
        // All other signals still report live: the delayed list, the reports and a peer without the
        // mark.
        for now_ms in (1_250..20_000).step_by(250) {
            roster.apply_list(&list(&["a", "b"]), now_ms);
            roster.apply_report(id("a"), Some(report(1)), now_ms);
            let sighting = ServerSighting {
                server: id("a"),
                state: VmState::Live,
                reachable: true,
                report: report(1),
            };
            roster.merge_sighting(&sighting, now_ms);
            assert_eq!(
                roster.state(id("a"), now_ms),
                Some(VmState::Leaving),
                "{name}"
            );
        }
        // A restart under the same name is another incarnation and accepts work again.
        roster.apply_report(id("a"), Some(report(2)), 20_000);
        assert_eq!(roster.state(id("a"), 20_000), Some(VmState::Live), "{name}");
        // A late message about the old incarnation does not mark the new one as leaving.
        let late = ServerSighting {
            server: id("a"),
            state: VmState::Leaving,
            reachable: true,
            report: report(1),
        };
        roster.merge_sighting(&late, 20_100);
        assert_eq!(roster.state(id("a"), 20_100), Some(VmState::Live), "{name}");
    }
}

#[test]
fn leaving_in_the_list_before_the_first_report_marks_the_incarnation_that_then_reports() {
    let mut roster = ServerRoster::default();
    roster.apply_list(&[record("a", VmState::Leaving)], 0);
    roster.apply_report(id("a"), Some(report(7)), 100);
    roster.apply_list(&list(&["a"]), 1_000);
    assert_eq!(roster.state(id("a"), 1_000), Some(VmState::Leaving));
    roster.apply_report(id("a"), Some(report(8)), 1_100);
    assert_eq!(roster.state(id("a"), 1_100), Some(VmState::Live));
}

#[test]
fn a_leaving_mark_received_before_the_list_is_kept() {
    let mut roster = ServerRoster::default();
    roster.note_leaving(id("a"), 1, 0);
    roster.apply_list(&list(&["a"]), 100);
    roster.apply_report(id("a"), Some(report(1)), 200);
    assert_eq!(roster.state(id("a"), 200), Some(VmState::Leaving));
}

#[test]
fn a_flapping_engine_is_held_back_longer_each_time_but_not_after_a_single_failure() {
    let mut roster = roster();
    let mut now_ms = 0;
    let mut held_ms = Vec::new();
    for _ in 0..5 {
        for _ in 0..3 {
            now_ms += 250;
            roster.apply_report(id("a"), None, now_ms);
        }
        assert_eq!(roster.state(id("a"), now_ms), Some(VmState::Leaving));
        let back_ms = now_ms + 250;
        now_ms = back_ms;
        roster.apply_report(id("a"), Some(report(1)), now_ms);
        while roster.state(id("a"), now_ms) != Some(VmState::Live) {
            now_ms += 250;
            roster.apply_report(id("a"), Some(report(1)), now_ms);
        }
        held_ms.push(now_ms - back_ms);
    }
    assert_eq!(held_ms, [0, 2_000, 4_000, 8_000, 16_000]);
}

/// Requests may be sent to a server that was just listed before its incarnation is known.
#[test]
fn a_refusal_before_the_first_report_applies_to_the_incarnation_that_then_reports() {
    let before_any_report = |listed_first: bool| {
        let mut roster = ServerRoster::default();
        if listed_first {
            roster.apply_list(&list(&["a"]), 0);
        }
        roster.note_leaving(id("a"), UNKNOWN_INCARNATION, 1);
        roster.apply_list(&list(&["a"]), 2);
        roster
    };
    for listed_first in [true, false] {
        let mut roster = before_any_report(listed_first);
        assert_eq!(roster.state(id("a"), 2), Some(VmState::Leaving));
        roster.apply_report(id("a"), Some(report(7)), 3);
        assert_eq!(roster.state(id("a"), 3), Some(VmState::Leaving));
        assert_eq!(roster.new_marks(3), [(id("a"), 7)]);
        // The next incarnation accepts work again.
        roster.apply_report(id("a"), Some(report(8)), 4);
        assert_eq!(roster.state(id("a"), 4), Some(VmState::Live));
    }
}

#[test]
fn a_refusal_by_an_unknown_incarnation_applies_to_the_one_reported_meanwhile() {
    let mut roster = roster();
    let change = roster.note_leaving(id("a"), UNKNOWN_INCARNATION, 1);
    assert_eq!(change, Some(RosterChange::Leaving(String::from("a"))));
    assert_eq!(roster.state(id("a"), 1), Some(VmState::Leaving));
}
