//! The table of other routers, as their heartbeats show them.

use sapphiretrack_routing::{
    Heartbeat, Incarnation, ListedRouter, ListingAdvert, PeerTable, RankKey, RouterState,
    SentPrompts, ServerLoad, router_tag,
};

fn heartbeat(name: &str, incarnation: u64, sequence: u64, state: RouterState) -> Heartbeat {
    Heartbeat {
        name: name.to_owned(),
        incarnation,
        sequence,
        zone: "z".to_owned(),
        cpu_millicores: 250,
        caller_address: "10.0.0.1:80".parse().expect("an address"),
        peer_address: "10.0.0.1:81".parse().expect("an address"),
        state,
        loads: vec![ServerLoad {
            server: 7,
            in_flight: 2,
            prefill_tokens: 100,
        }],
        has_prefixes: false,
        sent: SentPrompts::default(),
        is_store_failing: false,
        configuration: ListingAdvert::default(),
        servers: ListingAdvert::default(),
    }
}

fn rank_key(is_store_failing: bool) -> RankKey {
    RankKey {
        is_store_failing,
        cpu_millicores: 250,
    }
}

fn heartbeat_with_proof(name: &str, store_ms: u64) -> Heartbeat {
    Heartbeat {
        configuration: ListingAdvert {
            proven_store_ms: Some(store_ms),
            ..ListingAdvert::default()
        },
        ..heartbeat(name, 1, 1, RouterState::Ready)
    }
}

#[test]
fn a_silent_router_is_not_offered_to_callers_and_is_later_removed() {
    let mut peers = PeerTable::default();
    assert!(peers.record(heartbeat("a", 1, 1, RouterState::Ready), 0));
    assert_eq!(peers.ready(None, 900).len(), 1);
    assert!(peers.ready(None, 1_100).is_empty());
    assert_eq!(peers.known_count(), 1);
    assert!(peers.remove_expired(20_000).is_empty());
    assert_eq!(peers.remove_expired(31_000), ["a"]);
    assert_eq!(peers.known_count(), 0);
}

#[test]
fn leaving_is_final_for_an_incarnation_but_not_for_the_next_one() {
    let mut peers = PeerTable::default();
    peers.record(heartbeat("a", 1, 1, RouterState::Ready), 0);
    assert!(peers.record(heartbeat("a", 1, 2, RouterState::Leaving), 10));
    peers.record(heartbeat("a", 1, 3, RouterState::Ready), 20);
    assert!(peers.ready(None, 30).is_empty());
    assert!(peers.record(heartbeat("a", 2, 1, RouterState::Ready), 40));
    assert_eq!(peers.ready(None, 50).len(), 1);
}

#[test]
fn late_heartbeats_change_nothing() {
    let mut peers = PeerTable::default();
    peers.record(heartbeat("a", 5, 7, RouterState::NotReady), 0);
    assert!(!peers.record(heartbeat("a", 5, 6, RouterState::Ready), 10));
    assert!(!peers.record(heartbeat("a", 4, 99, RouterState::Ready), 10));
    assert!(peers.ready(None, 20).is_empty());
}

/// An incarnation is a start time, so it is lower if the clock stepped back between two runs.
#[test]
fn a_lower_incarnation_counts_once_the_last_one_is_silent() {
    let mut peers = PeerTable::default();
    peers.record(heartbeat("a", 9_000, 700, RouterState::Leaving), 0);
    assert!(!peers.record(heartbeat("a", 4_000, 1, RouterState::Ready), 900));
    assert!(peers.record(heartbeat("a", 4_000, 2, RouterState::Ready), 1_000));
    assert_eq!(peers.ready(None, 1_100).len(), 1);
    // From then on its own old heartbeats change nothing, as for any other incarnation.
    assert!(!peers.record(heartbeat("a", 4_000, 1, RouterState::NotReady), 1_200));
    assert_eq!(peers.ready(None, 1_300).len(), 1);
}

#[test]
fn after_a_silence_old_heartbeats_of_the_same_incarnation_change_nothing() {
    let mut peers = PeerTable::default();
    peers.record(heartbeat("a", 5, 7, RouterState::Ready), 0);
    assert!(!peers.record(heartbeat("a", 5, 6, RouterState::NotReady), 2_000));
    assert!(peers.record(heartbeat("a", 5, 8, RouterState::Ready), 2_000));
}

#[test]
fn loads_are_summed_over_routers_with_recent_heartbeats() {
    let mut peers = PeerTable::default();
    peers.record(heartbeat("a", 1, 1, RouterState::Ready), 0);
    peers.record(heartbeat("b", 1, 1, RouterState::Ready), 1_500);
    assert_eq!(peers.loads(1_600)[&Incarnation(7).tag()], (4, 200));
    assert_eq!(peers.loads(2_100)[&Incarnation(7).tag()], (2, 100));
}

#[test]
fn in_a_large_fleet_loads_count_until_the_next_heartbeat_is_due() {
    let mut peers = PeerTable::default();
    peers.set_heartbeat_interval(3_250);
    for index in 0..13 {
        let name = format!("router-{index}");
        peers.record(heartbeat(&name, 1, 1, RouterState::Ready), index * 250);
    }
    let (in_flight, _) = peers.loads(3_200)[&Incarnation(7).tag()];
    assert_eq!(in_flight, 13 * 2, "none is missing from the sum");
}

#[test]
fn live_routers_agree_on_their_ranks() {
    let names = ["a", "b", "c", "d", "e"];
    let rank = |own: &str, dead: &str| {
        let mut peers = PeerTable::default();
        for name in names.iter().filter(|name| **name != own && **name != dead) {
            peers.record(heartbeat(name, 1, 1, RouterState::Ready), 0);
        }
        peers.rank(own, rank_key(false), 500)
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
fn a_router_that_falls_behind_is_not_offered_to_callers_unless_all_have() {
    let mut peers = PeerTable::default();
    peers.record(heartbeat_with_proof("a", 10_000), 0);
    peers.record(heartbeat_with_proof("b", 7_000), 0);
    assert_eq!(peers.ready(Some(10_000), 100).len(), 1);
    assert!(peers.is_own_behind(Some(7_400), 100));
    assert!(!peers.is_own_behind(Some(7_600), 100));
    // No router reaches the store: all proofs stop advancing together.
    let mut peers = PeerTable::default();
    peers.record(heartbeat_with_proof("a", 7_000), 0);
    peers.record(heartbeat_with_proof("b", 6_500), 0);
    assert_eq!(peers.ready(Some(7_000), 100).len(), 2);
    assert!(!peers.is_own_behind(Some(6_000), 100));
}

#[test]
fn in_a_large_fleet_a_router_counts_as_live_until_a_second_heartbeat_is_missing() {
    let mut peers = PeerTable::default();
    peers.set_heartbeat_interval(1_000);
    peers.record(heartbeat("a", 1, 1, RouterState::Ready), 0);
    assert_eq!(
        peers.ready(None, 1_100).len(),
        1,
        "its next heartbeat may be in transit"
    );
    assert_eq!(
        peers.ready(None, 2_400).len(),
        1,
        "one heartbeat may be lost"
    );
    assert!(peers.ready(None, 2_600).is_empty());
}

#[test]
fn routers_that_do_not_reach_the_store_rank_after_those_that_do() {
    let names = ["a", "b", "c", "d"];
    let ranks = |failing: &[&str]| {
        let rank = |own: &&str| {
            let mut peers = PeerTable::default();
            for name in names.iter().filter(|name| *name != own) {
                peers.record(
                    Heartbeat {
                        is_store_failing: failing.contains(name),
                        ..heartbeat(name, 1, 1, RouterState::Ready)
                    },
                    0,
                );
            }
            peers.rank(own, rank_key(failing.contains(own)), 500)
        };
        names.iter().map(rank).collect::<Vec<usize>>()
    };
    let usual_ranks = ranks(&[]);
    let first = usual_ranks
        .iter()
        .position(|rank| *rank == 0)
        .expect("one router ranks first");
    let failing = ranks(&[names[first]]);
    assert_eq!(failing[first], 3, "it gives up its watches");
    assert_eq!(
        ranks(&names),
        usual_ranks,
        "the order does not change if all fail"
    );
}

fn listed(name: &str, cpu_millicores: Option<u32>) -> ListedRouter {
    ListedRouter {
        name: name.to_owned(),
        address: "10.0.0.9:81".parse().expect("an address"),
        zone: Some("z".to_owned()),
        cpu_millicores,
    }
}

#[test]
fn a_large_vm_ranks_first_among_listed_routers_without_heartbeats() {
    let mut peers = PeerTable::default();
    let small = (0..290).map(|index| listed(&format!("small-{index}"), Some(120)));
    peers.record_listed(small, 0);
    let large = RankKey {
        is_store_failing: false,
        cpu_millicores: 500,
    };
    assert_eq!(peers.rank("large", large, 10), 0);
    assert_eq!(peers.recipients(10).len(), 290, "they receive its messages");
}

#[test]
fn listed_routers_without_heartbeats_count_for_the_rank_for_a_limited_time() {
    let mut peers = PeerTable::default();
    let names: Vec<String> = (0..300).map(|index| format!("router-{index}")).collect();
    peers.record_listed(names.iter().map(|name| listed(name, Some(250))), 0);
    let expected = {
        let mut with_heartbeats = PeerTable::default();
        for name in &names {
            with_heartbeats.record(heartbeat(name, 1, 1, RouterState::Ready), 0);
        }
        with_heartbeats.rank("own", rank_key(false), 100)
    };
    assert_eq!(peers.rank("own", rank_key(false), 100), expected);
    assert_eq!(peers.live(100), 0, "none has sent a heartbeat");
    assert_eq!(
        peers.rank("own", rank_key(false), 1_100),
        0,
        "stale rows do not count"
    );
}

#[test]
fn holders_have_the_wanted_version_and_a_proof() {
    let advertising = |name: &str, changed_version, proven_store_ms| Heartbeat {
        servers: ListingAdvert {
            changed_version,
            proven_store_ms,
            ..ListingAdvert::default()
        },
        ..heartbeat(name, 1, 1, RouterState::Ready)
    };
    let mut peers = PeerTable::default();
    peers.record(advertising("new", 12, Some(900)), 0);
    peers.record(advertising("old", 11, Some(900)), 0);
    peers.record(advertising("starting", 0, None), 0);
    let holders = |version, now_ms| {
        let holders = peers.holders("z", version, |heartbeat| &heartbeat.servers, now_ms);
        assert!(holders.iter().all(|holder| holder.is_same_zone));
        holders.len()
    };
    assert_eq!(holders(12, 100), 1);
    assert_eq!(holders(0, 100), 2);
    assert_eq!(holders(0, 1_100), 0, "no holder is live");
}

#[test]
fn large_vms_rank_before_small_ones_and_similar_sizes_count_as_equal() {
    let sized = |name: &str, cpu_millicores| Heartbeat {
        cpu_millicores,
        ..heartbeat(name, 1, 1, RouterState::Ready)
    };
    let mut peers = PeerTable::default();
    for index in 0..290 {
        peers.record(sized(&format!("small-{index}"), 120), 0);
    }
    peers.record(sized("large", 500), 0);
    let rank = |name: &str, cpu_millicores| {
        let own = RankKey {
            cpu_millicores,
            ..RankKey::default()
        };
        peers.rank(name, own, 500)
    };
    assert!(rank("other-large", 500) <= 1);
    assert!(rank("small", 120) >= 1);
    assert_eq!(rank("small", 125), rank("small", 120));
}

#[test]
fn in_a_large_fleet_an_old_heartbeat_does_not_make_its_router_fall_behind() {
    let mut peers = PeerTable::default();
    peers.set_heartbeat_interval(3_250);
    peers.record(heartbeat_with_proof("a", 9_500), 0);
    peers.record(heartbeat_with_proof("watcher", 13_000), 3_000);
    let ready = peers.ready(Some(13_000), 3_000).len();
    assert_eq!(ready, 2, "a later proof of \"a\" may be in transit");
    // Its next heartbeat shows that it has no later proof.
    let late = Heartbeat {
        sequence: 2,
        ..heartbeat_with_proof("a", 9_500)
    };
    peers.record(late, 3_100);
    assert_eq!(peers.ready(Some(13_000), 3_100).len(), 1);
}

#[test]
fn a_router_that_collectors_report_as_silent_is_not_offered_to_callers() {
    let mut peers = PeerTable::default();
    peers.set_heartbeat_interval(3_250);
    peers.record(heartbeat("a", 1, 1, RouterState::Ready), 0);
    peers.record(heartbeat("b", 1, 1, RouterState::Ready), 0);
    peers.record_silent(&[router_tag("a")], 100);
    assert_eq!(peers.ready(None, 200).len(), 1);
    peers.record_silent(&[], 300);
    assert_eq!(peers.ready(None, 400).len(), 2, "the router reports again");
    peers.record_silent(&[router_tag("a")], 500);
    assert_eq!(
        peers.ready(None, 1_600).len(),
        2,
        "an old report of silence does not count"
    );
}
