//! Leases and engine orders: two holders, pauses, lost replies and delayed orders, with engines
//! that check fencing numbers and engines that ignore them.

use sapphiretrack_core::{
    EngineGoal, EngineOrder, EngineState, FencingCheck, LeaseKeeper, LeaseRow, LeaseStep,
    LeaseTerms, MAX_ORDER_DELAY_MS, RouterId, WeightBudget, first_order_ms, hash_parts, next_order,
};

const TERMS: LeaseTerms = LeaseTerms {
    duration_ms: 10_000,
    margin_ms: 1_000,
    renew_every_ms: 3_000,
};

fn keeper(router: u64) -> LeaseKeeper {
    LeaseKeeper::new(RouterId(router), 1, TERMS)
}

/// Reads the row, decides and writes without a delay.
fn step(keeper: &mut LeaseKeeper, table: &mut Option<LeaseRow>, now_ms: u64) {
    let seen = *table;
    let LeaseStep::Write(row) = keeper.decide(seen.as_ref(), now_ms, now_ms) else {
        return;
    };
    *table = Some(row);
    keeper.note_written(&row, now_ms);
}

#[test]
fn a_lease_counts_from_before_the_write_minus_the_margin() {
    let mut holder = keeper(1);
    let LeaseStep::Write(row) = holder.decide(None, 1, 500) else {
        panic!("the lease is free");
    };
    // Even if the reply arrives at 4 s, the lease counts from the start of the write at 500 ms.
    holder.note_written(&row, 500);
    assert_eq!(holder.fencing(9_499), Some(1));
    assert_eq!(holder.fencing(9_500), None);
}

#[test]
fn a_contender_waits_a_full_lease_from_when_it_first_saw_the_row() {
    let mut table = None;
    let (mut holder, mut contender) = (keeper(1), keeper(2));
    step(&mut holder, &mut table, 0);
    for now_ms in (5_000..16_000).step_by(1_000) {
        step(&mut contender, &mut table, now_ms);
        assert_eq!(contender.fencing(now_ms), None, "at {now_ms}");
    }
    step(&mut contender, &mut table, 16_000);
    assert_eq!(contender.fencing(16_000), Some(2));
    // After a pause, the old holder detects that its lease has expired and then finds it taken.
    assert_eq!(holder.fencing(16_000), None);
    step(&mut holder, &mut table, 16_000);
    assert_eq!(holder.fencing(16_000), None);
}

#[test]
fn each_renewal_restarts_the_contenders_wait() {
    let mut table = None;
    let (mut holder, mut contender) = (keeper(1), keeper(2));
    for now_ms in (0..60_000).step_by(500) {
        step(&mut holder, &mut table, now_ms);
        step(&mut contender, &mut table, now_ms);
        assert_eq!(
            (holder.fencing(now_ms), contender.fencing(now_ms)),
            (Some(1), None)
        );
    }
}

#[test]
fn an_expired_lease_is_reacquired_under_a_new_fencing_number() {
    let mut table = None;
    let mut holder = keeper(1);
    step(&mut holder, &mut table, 0);
    step(&mut holder, &mut table, 30_000);
    assert_eq!(holder.fencing(30_000), Some(2));
}

#[test]
fn a_released_lease_is_free_at_once() {
    let mut table = None;
    let (mut holder, mut contender) = (keeper(1), keeper(2));
    step(&mut holder, &mut table, 0);
    table = holder.release(7);
    assert_eq!(holder.fencing(1), None);
    step(&mut contender, &mut table, 1);
    assert_eq!(contender.fencing(1), Some(2));
}

#[test]
fn another_incarnation_of_the_same_router_does_not_inherit_the_lease() {
    let mut table = None;
    let mut holder = keeper(1);
    step(&mut holder, &mut table, 0);
    let mut restarted = LeaseKeeper::new(RouterId(1), 2, TERMS);
    step(&mut restarted, &mut table, 100);
    assert_eq!(restarted.fencing(100), None);
    step(&mut restarted, &mut table, 11_100);
    assert_eq!(restarted.fencing(11_100), Some(2));
}

/// A simulated engine and the orders that it accepted, with their times.
struct Engine {
    check: FencingCheck,
    state: EngineState,
    accepted: Vec<(u64, EngineOrder)>,
}

impl Engine {
    fn new(check: FencingCheck) -> Self {
        Self {
            check,
            state: EngineState::default(),
            accepted: Vec::new(),
        }
    }

    fn receive(&mut self, order: &EngineOrder, now_ms: u64) {
        let highest = self.accepted.iter().map(|(_, order)| order.fencing).max();
        if self.check == FencingCheck::Checks && Some(order.fencing) < highest {
            return;
        }
        if let Some(version) = &order.goal.version {
            self.state.version.clone_from(version);
        }
        self.accepted.push((now_ms, order.clone()));
    }
}

/// A simulated router, which may pause between checking its lease and sending the order.
struct Router {
    keeper: LeaseKeeper,
    acquired_ms: u64,
    fencing: u64,
    resumes_ms: u64,
    pending_order: Option<EngineOrder>,
}

/// Simulates three routers that compete for the lease of one engine, with pauses, lost replies and
/// delayed orders. Returns the written lease rows and the engine.
fn simulate(seed: u64, check: FencingCheck) -> (Vec<LeaseRow>, Engine) {
    const STEP_MS: u64 = 100;
    const END_MS: u64 = 600_000;
    let mut draws = 0_u64;
    let mut draw = |below: u64| {
        draws += 1;
        hash_parts(&[&seed.to_le_bytes(), &draws.to_le_bytes()]) % below
    };
    let mut table: Option<LeaseRow> = None;
    let mut rows = Vec::new();
    let mut engine = Engine::new(check);
    let mut in_transit: Vec<(u64, EngineOrder)> = Vec::new();
    let mut weights = WeightBudget::new(1, 1_000, 0);
    let mut routers: Vec<Router> = (1..=3)
        .map(|id| Router {
            keeper: keeper(id),
            acquired_ms: 0,
            fencing: 0,
            resumes_ms: 0,
            pending_order: None,
        })
        .collect();
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        // The goal changes every ten seconds, except in the last minute.
        let version = now_ms.min(END_MS - 60_000) / 10_000;
        let goal = EngineGoal {
            version: Some(version.to_string()),
            ..EngineGoal::default()
        };
        in_transit.retain(|(arrives_ms, order)| {
            let has_arrived = *arrives_ms <= now_ms;
            if has_arrived {
                engine.receive(order, now_ms);
            }
            !has_arrived
        });
        let is_fault_free = now_ms > END_MS - 60_000;
        for router in &mut routers {
            if now_ms < router.resumes_ms {
                continue;
            }
            if let Some(order) = router.pending_order.take() {
                let delay_ms = draw(MAX_ORDER_DELAY_MS / 2);
                in_transit.push((now_ms + delay_ms, order));
            }
            if router.keeper.is_due(now_ms) {
                let seen = table;
                if let LeaseStep::Write(row) =
                    router.keeper.decide(seen.as_ref(), draw(u64::MAX), now_ms)
                {
                    // No router wrote in between; the condition of the write ensures this.
                    table = Some(row);
                    rows.push(row);
                    let reply_lost = !is_fault_free && draw(4) == 0;
                    if !reply_lost {
                        router.keeper.note_written(&row, now_ms);
                        if router.fencing != row.fencing {
                            router.fencing = row.fencing;
                            router.acquired_ms = now_ms;
                        }
                    }
                }
            }
            let Some(fencing) = router.keeper.fencing(now_ms) else {
                continue;
            };
            if now_ms < first_order_ms(check, &TERMS, router.acquired_ms) {
                continue;
            }
            router.pending_order = next_order(&goal, &engine.state, fencing, &mut weights, now_ms);
            // A pause between the check and the order, which may be longer than the lease.
            if !is_fault_free && draw(200) == 0 {
                router.resumes_ms = now_ms + 2_000 + draw(28_000);
            }
        }
    }
    (rows, engine)
}

#[test]
fn fencing_numbers_increase_and_a_checking_engine_accepts_no_stale_orders() {
    for seed in 0..40 {
        let (rows, engine) = simulate(seed, FencingCheck::Checks);
        let holders: Vec<(u64, RouterId)> =
            rows.iter().map(|row| (row.fencing, row.holder)).collect();
        assert!(
            holders.last().is_some_and(|last| last.0 > 3),
            "the holder changed too rarely, seed {seed}"
        );
        for pair in holders.windows(2) {
            let is_higher = pair[0].0 < pair[1].0;
            assert!(is_higher || pair[0] == pair[1], "seed {seed}: {pair:?}");
        }
        let numbers: Vec<u64> = engine
            .accepted
            .iter()
            .map(|(_, order)| order.fencing)
            .collect();
        assert!(numbers.is_sorted(), "seed {seed}: {numbers:?}");
        assert_eq!(engine.state.version, "54", "seed {seed}");
    }
}

#[test]
fn an_engine_that_ignores_fencing_is_corrected_after_a_stale_order() {
    let mut stale_orders = 0;
    for seed in 0..40 {
        let (_, engine) = simulate(seed, FencingCheck::Ignores);
        let numbers: Vec<u64> = engine
            .accepted
            .iter()
            .map(|(_, order)| order.fencing)
            .collect();
        for (index, (at_ms, order)) in engine.accepted.iter().enumerate() {
            let newest = numbers[..index].iter().copied().max().unwrap_or(0);
            if order.fencing >= newest {
                continue;
            }
            // A pause between check and order can still cause a stale order. It is detected and
            // corrected.
            stale_orders += 1;
            let next = engine.accepted[index + 1..]
                .iter()
                .find(|(_, next)| next.fencing >= newest);
            let Some((corrected_ms, _)) = next else {
                // Nothing to correct, because the stale order matched the goal.
                assert_eq!(order.goal.version.as_deref(), Some("54"), "seed {seed}");
                continue;
            };
            let limit_ms =
                2 * (TERMS.duration_ms + 2 * TERMS.margin_ms) + 2 * MAX_ORDER_DELAY_MS + 30_000;
            assert!(
                corrected_ms - at_ms <= limit_ms,
                "seed {seed}: {at_ms} to {corrected_ms}"
            );
        }
        assert_eq!(engine.state.version, "54", "seed {seed}");
    }
    assert!(stale_orders > 0, "no run had a stale order");
}

#[test]
fn an_order_is_sent_only_if_the_engine_differs_from_the_goal_and_is_idle() {
    let goal = EngineGoal {
        model: Some(String::from("assistant-2")),
        ..EngineGoal::default()
    };
    let mut weights = WeightBudget::new(1_000, 2, 50_000);
    let mut state = EngineState::default();
    assert!(
        next_order(&goal, &state, 7, &mut weights, 50_999).is_none(),
        "the budget starts empty"
    );
    let order = next_order(&goal, &state, 7, &mut weights, 51_000).expect("an order");
    assert_eq!((order.fencing, &order.goal), (7, &goal));
    assert!(
        next_order(&goal, &state, 7, &mut weights, 51_000).is_none(),
        "one load per second"
    );
    state.loading = true;
    assert!(next_order(&goal, &state, 7, &mut weights, 59_000).is_none());
    state.loading = false;
    state.model = String::from("assistant-2");
    assert!(next_order(&goal, &state, 7, &mut weights, 59_000).is_none());
    // A stop loads no weights and is not subject to their budget.
    let stop = EngineGoal {
        stopped: true,
        ..goal
    };
    let mut empty = WeightBudget::new(1_000, 1, 9_000);
    assert!(next_order(&stop, &state, 7, &mut empty, 9_000).is_some());
}

#[test]
fn the_weight_budget_allows_a_burst_and_then_its_rate() {
    let mut weights = WeightBudget::new(1_000, 2, 0);
    let allowed = (0..=100)
        .filter(|tick| weights.take(60_000 + tick * 100))
        .count();
    assert_eq!(
        allowed, 12,
        "two at once, then one per second for ten seconds"
    );
}
