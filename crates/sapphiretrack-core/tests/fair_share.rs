//! Fair shares: by weight, nothing left over, and only while a pool is full.

use proptest::prelude::*;
use sapphiretrack_core::{Demand, FULL_FOR_MS, PoolShares, fair_shares};

fn demand(weight: f64, wanted: f64) -> Demand {
    Demand { weight, wanted }
}

#[test]
fn what_one_leaves_goes_to_the_others_by_weight() {
    let demands = [demand(1.0, 100.0), demand(1.0, 2.0), demand(2.0, 100.0)];
    assert_eq!(fair_shares(32.0, &demands), [10.0, 2.0, 20.0]);
    assert_eq!(fair_shares(500.0, &demands), [100.0, 2.0, 100.0]);
}

proptest! {
    #[test]
    fn shares_are_within_demand_and_capacity_and_use_both(
        capacity in 0.0..1_000.0_f64,
        demands in prop::collection::vec((0.1..10.0_f64, 0.0..500.0_f64), 1..8),
    ) {
        let demands: Vec<Demand> = demands.iter().map(|(w, d)| demand(*w, *d)).collect();
        let shares = fair_shares(capacity, &demands);
        let wanted: f64 = demands.iter().map(|demand| demand.wanted).sum();
        let given: f64 = shares.iter().sum();
        prop_assert!((given - capacity.min(wanted)).abs() < 1e-6);
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share <= demand.wanted + 1e-9);
            // Whoever goes short has no less per weight than anybody else.
            for (other, other_demand) in shares.iter().zip(&demands) {
                let short = *share + 1e-6 < demand.wanted;
                let behind = share / demand.weight + 1e-6 < other / other_demand.weight;
                prop_assert!(!(short && behind));
            }
        }
    }
}

/// Two customers of one weight on a pool with ten places; one comes ten times as often.
fn in_flight_after_surge(fair: bool) -> (u32, u32) {
    const PLACES: usize = 10;
    let mut shares = PoolShares::default();
    let mut running: std::collections::VecDeque<(u64, &str)> = std::collections::VecDeque::new();
    let (mut loud, mut quiet) = (0, 0);
    for now_ms in 0..20_000_u64 {
        while running.front().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            let (_, customer) = running.pop_front().expect("checked");
            shares.leave(customer);
        }
        let customer = if now_ms % 11 == 10 { "quiet" } else { "loud" };
        if !shares.try_enter(customer, 100.0, now_ms) {
            continue;
        }
        if running.len() >= PLACES {
            shares.leave(customer);
            if fair {
                shares.note_full(now_ms);
            }
            continue;
        }
        running.push_back((now_ms + 500, customer));
        match customer {
            "quiet" => quiet += 1,
            _ => loud += 1,
        }
    }
    (loud, quiet)
}

#[test]
fn a_loud_customer_does_not_crowd_out_a_quiet_one() {
    let (loud, quiet) = in_flight_after_surge(false);
    assert!(quiet * 4 < loud, "first come, first served: {loud} {quiet}");
    let (loud, quiet) = in_flight_after_surge(true);
    assert!(quiet * 3 > loud * 2, "fair: {loud} {quiet}");
    assert!(loud + quiet > 350, "the places are used: {loud} {quiet}");
}

#[test]
fn a_customer_alone_has_the_whole_pool() {
    let mut shares = PoolShares::default();
    shares.note_full(0);
    for _ in 0..50 {
        assert!(shares.try_enter("only", 1.0, 10));
    }
}

#[test]
fn shares_end_when_the_pool_has_room_again() {
    let mut shares = PoolShares::default();
    for _ in 0..9 {
        assert!(shares.try_enter("loud", 1.0, 0));
    }
    assert!(shares.try_enter("quiet", 1.0, 0));
    shares.note_full(0);
    assert!(!shares.try_enter("loud", 1.0, 1));
    assert!(shares.try_enter("quiet", 1.0, 1));
    assert!(shares.try_enter("loud", 1.0, FULL_FOR_MS));
}

#[test]
fn shares_are_of_the_room_that_there_was_and_not_of_what_is_left_in_flight() {
    let mut shares = PoolShares::default();
    for _ in 0..9 {
        assert!(shares.try_enter("loud", 1.0, 0));
    }
    assert!(shares.try_enter("quiet", 1.0, 0));
    shares.note_full(0);
    for _ in 0..6 {
        shares.leave("loud");
    }
    let mut entered = |customer: &str| {
        let entered = (0..10).filter(|_| shares.try_enter(customer, 1.0, 1));
        entered.count()
    };
    assert_eq!(entered("quiet"), 4);
    assert_eq!(entered("loud"), 2);
}
