//! Servers that endure few refusals get no more requests than they have slots, from all routers together.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{RouterId, rendezvous_score};
use sapphiretrack_routing::{BrittleServers, SlotShare};

/// The routers among `routers` that own a server.
fn owners(server: u64, routers: &[u64], share: SlotShare) -> Vec<u64> {
    let mut ranked = routers.to_vec();
    let score = |router: &u64| rendezvous_score(server, RouterId(*router).0, 1.0);
    ranked.sort_by(|a, b| score(b).total_cmp(&score(a)));
    ranked.truncate(share.owners);
    ranked
}

proptest! {
    /// Guards against shares that add up to more than a server has.
    #[test]
    fn shares_never_exceed_the_slots(slots in 1u32..200, routers in 1usize..1_000) {
        let share = SlotShare::new(slots, routers);
        prop_assert!(share.owners <= routers);
        prop_assert!(share.slots >= 1);
        prop_assert!(share.owners as u32 * share.slots <= slots);
    }
}

/// Guards against LIMIT: refusals of all routers together, while each decides by itself and room halves at once.
#[test]
fn refusals_stay_low_in_fleets_of_any_size_under_overload() {
    for routers in [3, 9, 100, 300] {
        for servers in [3, 12] {
            let (slots, mut random) = (6, ChaCha8Rng::seed_from_u64(routers as u64));
            let fleet: Vec<u64> = (0..routers as u64).map(|_| random.random()).collect();
            let share = SlotShare::new(slots, routers);
            let mut in_flight = vec![vec![0; routers]; servers];
            let mut refused = 0;
            // Each step, every router has more requests than fit, and some requests end.
            for _ in 0..1_000 {
                for (server, held) in in_flight.iter_mut().enumerate() {
                    let owned = owners(server as u64, &fleet, share);
                    for (router, held_here) in held.iter_mut().enumerate() {
                        if owned.contains(&fleet[router]) && *held_here < share.slots {
                            *held_here += 1;
                        }
                    }
                    refused += held.iter().sum::<u32>().saturating_sub(slots);
                    for held_here in held.iter_mut() {
                        *held_here -= u32::from(*held_here > 0 && random.random_bool(0.3));
                    }
                }
            }
            assert_eq!(refused, 0, "{routers} routers, {servers} servers");
        }
    }
}

/// Guards against treating servers by an old statement, or a server that has just started by none.
#[test]
fn a_service_counts_as_brittle_while_its_servers_say_so() {
    let mut brittle = BrittleServers::default();
    assert!(!brittle.contains("plain", 0));
    assert!(brittle.record("plain", Some(5), 0));
    assert!(!brittle.record("plain", Some(5), 10));
    assert!(brittle.contains("plain", 10));
    assert!(!brittle.contains("engine", 10));
    assert_eq!(brittle.count(10), 1);
    assert!(brittle.record("plain", None, 20));
    assert!(!brittle.record("plain", None, 20));
    assert!(!brittle.contains("plain", 20));
    brittle.record("plain", Some(5), 30);
    assert!(!brittle.contains("plain", 10_030));
}

/// Guards against a router that fills a server after its start, before it knows that the server is brittle.
#[test]
fn a_service_is_unknown_until_one_of_its_servers_answers() {
    let mut brittle = BrittleServers::default();
    assert!(!brittle.is_known("plain"));
    brittle.record("plain", None, 0);
    assert!(brittle.is_known("plain"));
    assert!(!brittle.is_known("engine"));
    assert_eq!(SlotShare::before_first_answer(6, 3).slots, 2);
    assert_eq!(SlotShare::before_first_answer(6, 300).slots, 1);
}

/// Guards against refusals that add up because each router comes back too soon.
#[test]
fn the_pause_after_a_refusal_grows_with_the_fleet() {
    let mut brittle = BrittleServers::default();
    assert_eq!(brittle.pause_ms("plain", 6), None);
    brittle.record("plain", Some(4), 0);
    assert_eq!(brittle.pause_ms("plain", 6), Some(1_500));
    assert_eq!(brittle.pause_ms("plain", 300), Some(5_000));
    brittle.record("plain", Some(0), 0);
    assert_eq!(brittle.pause_ms("plain", 3), Some(3_000));
}
