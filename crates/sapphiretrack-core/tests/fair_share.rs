//! Fair shares: weighted, without unused capacity, and enforced only while a pool is full.

use proptest::prelude::*;
use sapphiretrack_core::{Demand, FULL_FOR_MS, PoolShares, fair_shares};

fn demand(weight: f64, wanted: f64) -> Demand {
    Demand { weight, wanted }
}

#[test]
fn unused_capacity_goes_to_the_others_by_weight() {
    let demands = [demand(1.0, 100.0), demand(1.0, 2.0), demand(2.0, 100.0)];
    assert_eq!(fair_shares(32.0, &demands), [10.0, 2.0, 20.0]);
    assert_eq!(fair_shares(500.0, &demands), [100.0, 2.0, 100.0]);
}

proptest! {
    #[test]
    fn shares_stay_within_demand_and_use_the_capacity(
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
            // A customer with unmet demand gets no less per weight than any other.
            for (other, other_demand) in shares.iter().zip(&demands) {
                let is_unmet = *share + 1e-6 < demand.wanted;
                let is_behind = share / demand.weight + 1e-6 < other / other_demand.weight;
                prop_assert!(!(is_unmet && is_behind));
            }
        }
    }
}

/// Simulates two customers of equal weight on a pool with ten slots; one of them sends ten times as
/// many requests. Returns the numbers of admitted requests, with the more frequent customer first.
fn admitted_in_surge(enforces_shares: bool) -> (u32, u32) {
    const SLOTS: usize = 10;
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
        if running.len() >= SLOTS {
            shares.leave(customer);
            if enforces_shares {
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
    let (loud, quiet) = admitted_in_surge(false);
    assert!(quiet * 4 < loud, "first come, first served: {loud} {quiet}");
    let (loud, quiet) = admitted_in_surge(true);
    assert!(quiet * 3 > loud * 2, "with fair shares: {loud} {quiet}");
    assert!(loud + quiet > 350, "the slots are used: {loud} {quiet}");
}

#[test]
fn a_single_customer_may_use_the_whole_pool() {
    let mut shares = PoolShares::default();
    shares.note_full(0);
    for _ in 0..50 {
        assert!(shares.try_enter("only", 1.0, 10));
    }
}

#[test]
fn shares_end_when_the_pool_has_capacity_again() {
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
fn shares_depend_on_the_requests_in_flight_at_the_last_refusal() {
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

/// Simulates two customers of equal weight whose requests arrive through three routers at the same
/// two servers with 24 slots in total. One customer needs 12.5 slots, the other one 50. Returns how
/// many of the first one's 75 requests are admitted. `seed` determines the order of the servers and
/// the service times.
fn admitted_of_the_quiet_customer(seed: u64) -> usize {
    const SLOTS: usize = 12;
    const SERVICE_MS: u64 = 1_020;
    let mut random = seed;
    let mut routers: [PoolShares; 3] = Default::default();
    let mut servers: [Vec<(u64, usize, &str)>; 2] = Default::default();
    let mut admitted = 0;
    for number in 0..300_usize {
        let now_ms = number as u64 * 20;
        for (_, router, customer) in servers
            .iter_mut()
            .flat_map(|running| running.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms))
        {
            routers[router].leave(customer);
        }
        let router = number % 3;
        let shares = &mut routers[router];
        let quiet_customer = (number % 4 == 3).then_some("quiet");
        for customer in ["loud"].into_iter().chain(quiet_customer) {
            if !shares.try_enter(customer, 100.0, now_ms) {
                continue;
            }
            let limit = SLOTS as f64 * shares.bound_share(customer, now_ms);
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let first = (random >> 40) as usize % 2;
            let order = [first, 1 - first];
            let free = order
                .iter()
                .find(|server| servers[**server].len() < limit as usize);
            let Some(server) = free else {
                shares.leave(customer);
                shares.note_full(now_ms);
                continue;
            };
            let jitter_ms = (random >> 20) % 40;
            servers[*server].push((now_ms + SERVICE_MS + jitter_ms, router, customer));
            admitted += usize::from(customer == "quiet");
        }
    }
    admitted
}

#[test]
fn slots_filled_by_other_routers_do_not_crowd_out_a_quiet_customer() {
    let admitted: Vec<usize> = (0..200).map(admitted_of_the_quiet_customer).collect();
    let least = admitted.iter().min().expect("there are 200 runs");
    // Its share is half of the capacity, which is 12 of the 12.5 slots that it needs.
    assert!(
        least * 10 >= 75 * 7,
        "only {least} of 75 admitted in the worst run, in all runs: {admitted:?}"
    );
}

#[test]
fn only_a_customer_with_more_requests_leaves_slots_free_and_only_while_the_pool_is_full() {
    let mut shares = PoolShares::default();
    for now_ms in 0..40 {
        shares.try_enter("loud", 1.0, now_ms);
    }
    shares.try_enter("quiet", 1.0, 40);
    assert_eq!(shares.bound_share("loud", 40), 1.0);
    shares.note_full(40);
    assert!(shares.bound_share("loud", 41) < 1.0);
    assert_eq!(shares.bound_share("quiet", 41), 1.0);
    assert_eq!(shares.bound_share("loud", 40 + 10 * FULL_FOR_MS), 1.0);
    let mut alone = PoolShares::default();
    alone.try_enter("only", 1.0, 0);
    alone.note_full(0);
    assert_eq!(alone.bound_share("only", 1), 1.0);
}
