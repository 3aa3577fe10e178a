//! Policy simulation: results are reproducible, and sapphiretrack's placement keeps the load bound,
//! reuses caches and balances the load.

use sapphiretrack_bench::policy::{Policy, ReplacementMode, Scenario, ScenarioName, measure};

fn short(name: ScenarioName) -> Scenario {
    Scenario {
        minutes: 1.0,
        ..Scenario::named(name)
    }
}

#[test]
fn the_same_seed_gives_the_same_results() {
    for policy in Policy::ALL {
        let scenario = short(ScenarioName::Churn);
        let first = measure(&scenario, policy, 7);
        assert_eq!(first, measure(&scenario, policy, 7), "{}", policy.name());
        assert_ne!(
            first.warm_token_fraction,
            measure(&scenario, policy, 8).warm_token_fraction
        );
    }
}

#[test]
fn no_placement_exceeds_the_bound_without_faults() {
    for name in [ScenarioName::Steady, ScenarioName::Surge] {
        for seed in 1..=3 {
            let measures = measure(&short(name), Policy::Sapphiretrack, seed);
            assert_eq!(measures.bound_breaches, 0, "{} seed {seed}", name.name());
        }
    }
}

#[test]
fn policies_without_a_shared_count_exceed_the_bound() {
    for policy in [
        Policy::Random,
        Policy::Rendezvous,
        Policy::BoundedRendezvous,
        Policy::ExchangedVectors,
    ] {
        let measures = measure(&short(ScenarioName::Steady), policy, 1);
        assert!(measures.bound_breaches > 100, "{}", policy.name());
    }
}

#[test]
fn sapphiretrack_reuses_more_than_least_loaded_and_balances_better_than_rendezvous() {
    let scenario = short(ScenarioName::Churn);
    let ours = measure(&scenario, Policy::Sapphiretrack, 1);
    let least_loaded = measure(&scenario, Policy::LeastLoaded, 1);
    let rendezvous = measure(&scenario, Policy::Rendezvous, 1);
    assert!(ours.warm_token_fraction > least_loaded.warm_token_fraction + 0.1);
    assert!(ours.skew < rendezvous.skew - 0.1);
}

#[test]
fn urgent_requests_rarely_fail_while_a_server_has_capacity() {
    for (name, seed) in [
        (ScenarioName::Churn, 9),
        (ScenarioName::Monterrey, 2),
        (ScenarioName::Teranga, 8),
    ] {
        let measures = measure(&Scenario::named(name), Policy::Sapphiretrack, seed);
        let failed = measures.urgent_failed_with_room;
        assert!(failed <= 6, "{} seed {seed}: {failed}", name.name());
        assert_eq!(measures.bound_breaches, 0, "{} seed {seed}", name.name());
    }
}

#[test]
fn the_bound_holds_while_routers_that_hold_slots_are_partitioned() {
    for seed in [62, 80] {
        let scenario = Scenario::named(ScenarioName::Disagree);
        let measures = measure(&scenario, Policy::Sapphiretrack, seed);
        assert_eq!(measures.bound_breaches, 0, "seed {seed}");
    }
}

#[test]
fn a_handover_or_a_snapshot_keeps_more_reuse_than_a_lost_memory() {
    let returns_warm = |mode| {
        let seeds = 1..=5;
        let warm = seeds.map(|seed| {
            let scenario = Scenario {
                replacement_mode: Some(mode),
                caller_value_chance: 0.0,
                ..short(ScenarioName::Steady)
            };
            measure(&scenario, Policy::Sapphiretrack, seed).return_warm_fraction
        });
        warm.sum::<f64>() / 5.0
    };
    let lost = returns_warm(ReplacementMode::Lost);
    for kept in [
        ReplacementMode::HandedToAll,
        ReplacementMode::Snapshot { age_ms: 15_000 },
    ] {
        assert!(returns_warm(kept) > lost + 0.02, "{kept:?}");
    }
}
