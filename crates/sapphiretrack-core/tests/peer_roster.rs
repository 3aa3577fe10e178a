//! The merged view of routers: restarts, replayed heartbeats, one-way partitions, flapping and the
//! platform's list.

use sapphiretrack_core::{
    Contacts, Damping, EntryCandidate, HeartbeatResult, PauseDetector, PeerHeartbeat, PeerRoster,
    PeerRosterSettings, RosterChange, RouterId, RouterProfile, VmRecord, VmRole, VmState,
    entry_addresses,
};

fn profile(name: &str) -> RouterProfile {
    let address = "127.0.0.1:9000".parse().expect("an address");
    RouterProfile {
        name: name.to_owned(),
        zone: String::from("zone-1"),
        caller_address: address,
        peer_address: address,
        operator_address: address,
    }
}

fn id(name: &str) -> RouterId {
    RouterId::from_name(name)
}

fn heartbeat(name: &str, incarnation: u64, sequence: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        router: id(name),
        incarnation,
        sequence,
        state: VmState::Live,
        has_resigned: false,
        config_version: 1,
        profile: Some(profile(name)),
    }
}

fn roster() -> PeerRoster {
    let settings = PeerRosterSettings {
        dead_after_ms: 2_500,
        damping: Damping::default(),
    };
    PeerRoster::new(id("me"), settings)
}

fn record(name: &str, state: VmState) -> VmRecord {
    let address = "127.0.0.1:9000".parse().expect("an address");
    VmRecord {
        name: name.to_owned(),
        zone: String::from("zone-1"),
        address,
        role: VmRole::Router {
            peer_address: address,
            operator_address: address,
        },
        state,
    }
}

/// Receives a heartbeat from `name` and an answer to one at `now_ms`.
fn exchange_heartbeats(roster: &mut PeerRoster, name: &str, sequence: u64, now_ms: u64) {
    roster.apply_heartbeat(&heartbeat(name, 1, sequence), now_ms);
    roster.note_answer(id(name), 1, now_ms);
}

#[test]
fn a_replayed_heartbeat_does_not_revive_a_lost_or_leaving_router() {
    let mut roster = roster();
    let first = heartbeat("a", 5, 1);
    assert!(matches!(
        roster.apply_heartbeat(&first, 0),
        HeartbeatResult::Accepted { .. }
    ));
    let leaving = PeerHeartbeat {
        state: VmState::Leaving,
        ..heartbeat("a", 5, 2)
    };
    roster.apply_heartbeat(&leaving, 100);
    let gone = roster.tick(2_600);
    assert_eq!(gone, [RosterChange::Lost(String::from("a"))]);
    for replayed in [&first, &leaving] {
        assert_eq!(
            roster.apply_heartbeat(replayed, 3_000),
            HeartbeatResult::Stale
        );
    }
    assert!(roster.get(id("a")).is_none());
    // The same incarnation may reappear to finish its requests, but never as live.
    roster.apply_heartbeat(&heartbeat("a", 5, 3), 3_100);
    assert_eq!(
        roster.get(id("a")).map(|peer| peer.state()),
        Some(VmState::Leaving)
    );
    roster.apply_heartbeat(&heartbeat("a", 6, 4), 3_200);
    assert_eq!(
        roster.get(id("a")).map(|peer| peer.state()),
        Some(VmState::Live)
    );
}

#[test]
fn leaving_in_the_list_is_final_even_if_heartbeats_and_a_later_list_report_live() {
    let mut roster = roster();
    exchange_heartbeats(&mut roster, "a", 1, 0);
    roster.apply_list(&[record("a", VmState::Live)], 0);
    let changes = roster.apply_list(&[record("a", VmState::Leaving)], 100);
    assert_eq!(changes, [RosterChange::Leaving(String::from("a"))]);
    roster.apply_list(&[record("a", VmState::Live)], 200);
    exchange_heartbeats(&mut roster, "a", 2, 300);
    assert_eq!(
        roster.get(id("a")).map(|peer| peer.state()),
        Some(VmState::Leaving)
    );
    assert_eq!(
        roster.steward_candidates(VmState::Live, false, 300),
        [id("me")]
    );
}

#[test]
fn a_peer_that_sends_heartbeats_but_does_not_answer_is_no_steward_candidate() {
    let mut roster = roster();
    for half_second in 0..10 {
        roster.apply_heartbeat(&heartbeat("a", 1, half_second + 1), half_second * 500);
    }
    assert!(roster.get(id("a")).is_some());
    assert_eq!(
        roster.steward_candidates(VmState::Live, false, 4_500),
        [id("me")]
    );
    roster.note_answer(id("a"), 1, 4_600);
    assert_eq!(
        roster.steward_candidates(VmState::Live, false, 4_600).len(),
        2
    );
}

#[test]
fn a_router_that_restarts_repeatedly_is_held_back_from_stewardship() {
    let mut roster = roster();
    let is_candidate = |roster: &PeerRoster, now_ms| {
        roster
            .steward_candidates(VmState::Live, false, now_ms)
            .contains(&id("a"))
    };
    for incarnation in 1..=4 {
        let now_ms = incarnation * 1_000;
        roster.apply_heartbeat(&heartbeat("a", incarnation, incarnation), now_ms);
        roster.note_answer(id("a"), 1, now_ms);
        // A single restart does not exclude the router.
        assert_eq!(
            is_candidate(&roster, now_ms),
            incarnation <= 2,
            "{incarnation}"
        );
        if incarnation < 4 {
            roster.note_refused(id("a"), now_ms + 500);
        }
    }
    for sequence in 5..20 {
        roster.apply_heartbeat(&heartbeat("a", 4, sequence), 4_000 + sequence * 500);
        roster.note_answer(id("a"), 1, 4_000 + sequence * 500);
    }
    assert!(is_candidate(&roster, 13_500));
}

#[test]
fn listed_routers_count_as_slot_holders_until_they_are_refused_or_time_out() {
    let mut roster = roster();
    roster.apply_list(&[record("a", VmState::Live), record("b", VmState::Live)], 0);
    let awaited = |roster: &PeerRoster, now_ms| roster.holders(now_ms).len() - 1;
    assert_eq!(awaited(&roster, 100), 2);
    roster.note_refused(id("a"), 200);
    assert_eq!(awaited(&roster, 200), 1);
    assert_eq!(awaited(&roster, 2_500), 0);
}

#[test]
fn an_unknown_profile_is_requested() {
    let mut roster = roster();
    let without_profile = PeerHeartbeat {
        profile: None,
        ..heartbeat("a", 1, 1)
    };
    assert_eq!(
        roster.apply_heartbeat(&without_profile, 0),
        HeartbeatResult::NeedsProfile
    );
    roster.apply_heartbeat(&heartbeat("a", 1, 2), 0);
    let without_profile = PeerHeartbeat {
        sequence: 3,
        ..without_profile
    };
    assert_eq!(
        roster.apply_heartbeat(&without_profile, 0),
        HeartbeatResult::Accepted { change: None }
    );
    // Another incarnation may have other addresses.
    let restarted = PeerHeartbeat {
        incarnation: 2,
        sequence: 4,
        ..without_profile
    };
    assert_eq!(
        roster.apply_heartbeat(&restarted, 0),
        HeartbeatResult::NeedsProfile
    );
}

#[test]
fn introduced_routers_are_contacted_until_they_are_seen_or_refused() {
    let mut roster = roster();
    let address = "127.0.0.1:9001".parse().expect("an address");
    roster.introduce(&[(id("a"), address), (id("b"), address), (id("me"), address)]);
    assert_eq!(roster.targets().into_keys().count(), 2);
    roster.note_refused(id("b"), 0);
    assert_eq!(roster.targets(), [(id("a"), address)].into());
    exchange_heartbeats(&mut roster, "a", 1, 0);
    roster.introduce(&[(id("a"), address)]);
    assert_eq!(
        roster.targets()[&id("a")],
        profile("a").peer_address,
        "its own profile takes precedence"
    );
}

#[test]
fn an_empty_list_makes_no_router_the_only_one() {
    let mut roster = roster();
    roster.apply_list(&[record("a", VmState::Live)], 0);
    roster.apply_list(&[], 1_000);
    assert!(roster.expects_others());
    assert_eq!(roster.targets().len(), 1);
}

#[test]
fn after_a_pause_a_router_keeps_its_peers_for_the_full_timeout() {
    let mut detector = PauseDetector::default();
    assert_eq!(detector.record_iteration(0), None);
    assert_eq!(detector.record_iteration(100), None);
    assert_eq!(detector.record_iteration(30_100), Some(30_000));
    let mut roster = roster();
    exchange_heartbeats(&mut roster, "a", 1, 100);
    roster.reset_silence(30_100);
    assert_eq!(roster.tick(30_100), []);
    assert_eq!(roster.holders(30_100).len(), 2);
    assert_eq!(roster.tick(32_600).len(), 1);
}

#[test]
fn a_router_is_isolated_without_platform_and_peers_unless_it_is_the_only_one() {
    let connected = Contacts {
        expects_others: true,
        peer_seen_ms: 1_000,
        platform_reached_ms: Some(2_000),
    };
    assert!(!connected.is_isolated(10_000, 11_999));
    assert!(connected.is_isolated(10_000, 12_000));
    let single = Contacts {
        expects_others: false,
        ..connected
    };
    assert!(!single.is_isolated(10_000, 60_000));
}

#[test]
fn lookups_are_spread_over_live_routers_of_the_same_zone() {
    let names: Vec<String> = (0..9).map(|index| format!("router-{index}")).collect();
    let zones = ["zone-0", "zone-1", "zone-2"];
    let candidates: Vec<EntryCandidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| EntryCandidate {
            id: id(name),
            zone: zones[index % 3],
            address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            state: if index == 4 {
                VmState::Leaving
            } else {
                VmState::Live
            },
        })
        .collect();
    let mut firsts = [0_u32; 9];
    for spread in 0..3_000 {
        let addresses = entry_addresses(&candidates, Some("zone-1"), spread);
        assert_eq!(addresses.len(), 3);
        let ports: Vec<usize> = addresses
            .iter()
            .map(|a| usize::from(a.port()) - 9_000)
            .collect();
        assert!(!ports.contains(&4));
        assert!(
            [1, 7].contains(&ports[0]) && [1, 7].contains(&ports[1]),
            "{ports:?}"
        );
        firsts[ports[0]] += 1;
    }
    assert!(firsts[1].abs_diff(firsts[7]) < 300, "{firsts:?}");
    assert!(entry_addresses(&[], Some("zone-1"), 1).is_empty());
}

#[test]
fn if_all_routers_are_leaving_those_that_have_not_resigned_stay_candidates() {
    let mut roster = roster();
    for (name, has_resigned) in [("a", false), ("b", true)] {
        let leaving = PeerHeartbeat {
            state: VmState::Leaving,
            has_resigned,
            ..heartbeat(name, 1, 1)
        };
        roster.apply_heartbeat(&leaving, 0);
    }
    let candidates = |own, has_resigned| roster.steward_candidates(own, has_resigned, 1);
    assert_eq!(candidates(VmState::Live, false), [id("me")]);
    assert_eq!(candidates(VmState::Leaving, false), [id("a"), id("me")]);
    assert_eq!(candidates(VmState::Leaving, true), [id("a")]);
}
