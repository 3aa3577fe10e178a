//! Other routers, by their beats.

use sapphiretrack_routing::{
    Beat, Incarnation, PeerTable, RouterState, SentPrompts, ServerLoad, WatchNews,
};

fn beat(name: &str, incarnation: u64, sequence: u64, state: RouterState) -> Beat {
    Beat {
        name: name.to_owned(),
        incarnation,
        sequence,
        zone: "z".to_owned(),
        caller_address: "10.0.0.1:80".parse().expect("an address"),
        beat_address: "10.0.0.1:81".parse().expect("an address"),
        state,
        loads: vec![ServerLoad {
            server: 7,
            in_flight: 2,
            prefill_tokens: 100,
        }],
        knows_parts: false,
        sent: SentPrompts::default(),
        configuration: WatchNews::default(),
        servers: WatchNews::default(),
    }
}

#[test]
fn a_silent_router_is_not_offered_and_later_forgotten() {
    let mut peers = PeerTable::default();
    assert!(peers.note(beat("a", 1, 1, RouterState::Ready), 0));
    assert_eq!(peers.ready(None, 900).len(), 1);
    assert!(peers.ready(None, 1_100).is_empty());
    assert_eq!(peers.may_exist(), 1);
    assert!(peers.forget_lost(20_000).is_empty());
    assert_eq!(peers.forget_lost(31_000), ["a"]);
    assert_eq!(peers.may_exist(), 0);
}

#[test]
fn leaving_is_final_for_a_run_and_a_later_run_counts_anew() {
    let mut peers = PeerTable::default();
    peers.note(beat("a", 1, 1, RouterState::Ready), 0);
    assert!(peers.note(beat("a", 1, 2, RouterState::Leaving), 10));
    peers.note(beat("a", 1, 3, RouterState::Ready), 20);
    assert!(peers.ready(None, 30).is_empty());
    assert!(peers.note(beat("a", 2, 1, RouterState::Ready), 40));
    assert_eq!(peers.ready(None, 50).len(), 1);
}

#[test]
fn late_and_repeated_beats_change_nothing() {
    let mut peers = PeerTable::default();
    peers.note(beat("a", 5, 7, RouterState::NotReady), 0);
    assert!(!peers.note(beat("a", 5, 6, RouterState::Ready), 10));
    assert!(!peers.note(beat("a", 4, 99, RouterState::Ready), 10));
    assert!(peers.ready(None, 20).is_empty());
}

#[test]
fn a_run_that_starts_at_an_earlier_time_of_day_counts_once_the_last_run_is_silent() {
    let mut peers = PeerTable::default();
    peers.note(beat("a", 9_000, 700, RouterState::Leaving), 0);
    assert!(!peers.note(beat("a", 4_000, 1, RouterState::Ready), 900));
    assert!(peers.note(beat("a", 4_000, 2, RouterState::Ready), 1_000));
    assert_eq!(peers.ready(None, 1_100).len(), 1);
    // Afterwards the run is like any other: its own old beats change nothing.
    assert!(!peers.note(beat("a", 4_000, 1, RouterState::NotReady), 1_200));
    assert_eq!(peers.ready(None, 1_300).len(), 1);
}

#[test]
fn a_run_that_comes_back_from_a_silence_is_not_older_than_itself() {
    let mut peers = PeerTable::default();
    peers.note(beat("a", 5, 7, RouterState::Ready), 0);
    assert!(!peers.note(beat("a", 5, 6, RouterState::NotReady), 2_000));
    assert!(peers.note(beat("a", 5, 8, RouterState::Ready), 2_000));
}

#[test]
fn loads_add_up_over_the_routers_that_were_heard_lately() {
    let mut peers = PeerTable::default();
    peers.note(beat("a", 1, 1, RouterState::Ready), 0);
    peers.note(beat("b", 1, 1, RouterState::Ready), 1_500);
    assert_eq!(peers.loads(1_600)[&Incarnation(7)], (4, 200));
    assert_eq!(peers.loads(2_100)[&Incarnation(7)], (2, 100));
}

#[test]
fn live_routers_agree_on_one_order() {
    let names = ["a", "b", "c", "d", "e"];
    let rank = |own: &str, dead: &str| {
        let mut peers = PeerTable::default();
        for name in names.iter().filter(|name| **name != own && **name != dead) {
            peers.note(beat(name, 1, 1, RouterState::Ready), 0);
        }
        peers.rank(own, 500)
    };
    for dead in ["", "a", "c"] {
        let live = names.iter().filter(|name| **name != dead);
        let mut ranks: Vec<usize> = live.map(|name| rank(name, dead)).collect();
        ranks.sort_unstable();
        let expected: Vec<usize> = (0..ranks.len()).collect();
        assert_eq!(ranks, expected);
    }
}

#[test]
fn a_router_that_falls_behind_is_not_offered_unless_all_have() {
    let proven = |name: &str, store_ms| Beat {
        configuration: WatchNews {
            proven_store_ms: Some(store_ms),
            ..WatchNews::default()
        },
        ..beat(name, 1, 1, RouterState::Ready)
    };
    let mut peers = PeerTable::default();
    peers.note(proven("a", 10_000), 0);
    peers.note(proven("b", 7_000), 0);
    assert_eq!(peers.ready(Some(10_000), 100).len(), 1);
    assert!(peers.is_own_behind(Some(7_400), 100));
    assert!(!peers.is_own_behind(Some(7_600), 100));
    // The store is away for all: the proofs stand still together.
    let mut peers = PeerTable::default();
    peers.note(proven("a", 7_000), 0);
    peers.note(proven("b", 6_500), 0);
    assert_eq!(peers.ready(Some(7_000), 100).len(), 2);
    assert!(!peers.is_own_behind(Some(6_000), 100));
}

#[test]
fn in_a_large_fleet_a_router_counts_as_live_until_a_second_beat_is_missing() {
    let mut peers = PeerTable::default();
    peers.set_beat_interval(1_000);
    peers.note(beat("a", 1, 1, RouterState::Ready), 0);
    assert_eq!(
        peers.ready(None, 1_100).len(),
        1,
        "its next beat is on its way"
    );
    assert_eq!(peers.ready(None, 2_400).len(), 1, "one beat may be lost");
    assert!(peers.ready(None, 2_600).is_empty());
}
