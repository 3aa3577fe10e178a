//! Limits over many limiters: never above the contract, whatever happens between them.

use sapphiretrack_bench::limits::{LimiterFault, LimitsResult, LimitsRun};
use sapphiretrack_core::{EMERGENCY_MS, EMERGENCY_SHARE, HELD_SHARE, UNSURE_SHARE};

/// Rounding of a running sum of a million steps.
const ROUNDING: f64 = 0.001;

fn surge(faults: Vec<LimiterFault>) -> LimitsResult {
    let run = LimitsRun {
        faults,
        duration_ms: 20_000,
        ..LimitsRun::new(9, 5.0, 11)
    };
    run.run()
}

fn assert_within_contract(result: &LimitsResult) {
    assert!(result.worst_excess <= ROUNDING, "{result:?}");
    assert_eq!(result.worst_in_flight_excess, 0, "{result:?}");
}

#[test]
fn a_surge_over_any_number_of_limiters_stays_within_the_contract_and_uses_it() {
    for limiters in [1, 9, 360] {
        let run = LimitsRun {
            duration_ms: 20_000,
            ..LimitsRun::new(limiters, 5.0, 3)
        };
        let result = run.run();
        assert_within_contract(&result);
        assert!(result.over_percent() < 2.0, "{limiters}: {result:?}");
        assert!(result.over_percent() > -10.0, "{limiters}: {result:?}");
    }
}

#[test]
fn a_surge_that_finds_chunks_held_and_the_bucket_full_stays_within_the_contract() {
    let run = LimitsRun {
        duration_ms: 20_000,
        faults: vec![LimiterFault::NewOffered {
            at_ms: 10_000,
            offered: 20.0,
        }],
        ..LimitsRun::new(9, 0.9, 3)
    };
    assert_within_contract(&run.run());
}

#[test]
fn a_new_steward_gives_out_few_places_before_it_has_heard_of_the_others() {
    use sapphiretrack_core::{BUDGET_LEASE_MS, CustomerBudget, HeldBudget, Needed, RouterId};
    let mut limits = LimitsRun::new(1, 1.0, 1).limits;
    limits.in_flight = 60;
    let admitted_at = |now_ms| {
        let mut steward = CustomerBudget::new(&limits, false, 0);
        let mut held = HeldBudget::new(0);
        let mut admitted = 0;
        for _ in 0..limits.in_flight * 2 {
            let ask = held.ask(RouterId(1), "customer", Some(1.0));
            let grant = steward.answer(&ask, &limits, 1.0, now_ms);
            admitted += u32::from(grant.need == Needed::Admitted);
            let taken = held.take_grant(&grant, 1.0, now_ms, now_ms);
            assert_eq!(taken.is_ok(), grant.need == Needed::Admitted);
        }
        admitted
    };
    let unsure_places = (UNSURE_SHARE * f64::from(limits.in_flight)) as u32;
    assert_eq!(admitted_at(0), unsure_places);
    assert_eq!(admitted_at(BUDGET_LEASE_MS), limits.in_flight);
}

#[test]
fn a_lease_that_is_not_renewed_ends_at_the_holder_before_the_steward_forgets_it() {
    use sapphiretrack_core::{
        Admission, Amounts, BUDGET_LEASE_MS, BudgetGrant, HeldBudget, Needed,
    };
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let mut held = HeldBudget::new(0);
    assert_eq!(held.try_admit(1.0, &limits, 0), Admission::Ask);
    let grant = BudgetGrant {
        need: Needed::Nothing,
        added: Amounts {
            requests: 5.0,
            tokens: 500.0,
        },
        slots: 5,
    };
    // The answer was a long time on its way: the lease counts from the question.
    held.take_grant(&grant, 0.0, 0, 1_000)
        .expect("nothing waits");
    assert_eq!(held.try_admit(1.0, &limits, 1_001), Admission::Admitted);
    let before_forgotten_ms = BUDGET_LEASE_MS - 100;
    let admission = held.try_admit(1.0, &limits, before_forgotten_ms);
    assert_eq!(admission, Admission::Ask);
}

#[test]
fn a_changed_contract_takes_back_what_is_held_before_the_next_request() {
    use sapphiretrack_core::{Admission, Amounts, BudgetGrant, HeldBudget, Needed};
    let mut limits = LimitsRun::new(1, 1.0, 1).limits;
    let mut held = HeldBudget::new(0);
    assert_eq!(held.try_admit(1.0, &limits, 0), Admission::Ask);
    let grant = BudgetGrant {
        need: Needed::Nothing,
        added: Amounts {
            requests: 5.0,
            tokens: 500.0,
        },
        slots: 5,
    };
    held.take_grant(&grant, 0.0, 0, 0).expect("nothing waits");
    assert_eq!(held.try_admit(1.0, &limits, 1), Admission::Admitted);
    limits.requests_per_s /= 2.0;
    assert_eq!(held.try_admit(1.0, &limits, 2), Admission::Ask);
}

#[test]
fn in_flight_requests_of_all_limiters_stay_under_the_limit() {
    let mut run = LimitsRun::new(9, 1.0, 5);
    run.limits.in_flight = 60;
    run.duration_ms = 20_000;
    let result = run.run();
    assert_eq!(result.worst_in_flight_excess, 0, "{result:?}");
    assert!(result.admitted > 600, "{result:?}");
}

#[test]
fn a_dead_limiter_lets_nobody_admit_more_and_its_share_comes_back() {
    let result = surge(vec![
        LimiterFault::Death {
            limiter: 2,
            at_ms: 6_000,
        },
        LimiterFault::Death {
            limiter: 5,
            at_ms: 6_100,
        },
    ]);
    assert_within_contract(&result);
    assert!(result.admitted_in_last_s > 170, "{result:?}");
}

#[test]
fn limiters_that_are_cut_off_spend_no_more_than_their_stated_part() {
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let cut = |limiter| LimiterFault::Cut {
        limiter,
        from_ms: 4_000,
        until_ms: 12_000,
    };
    // The steward goes on giving out all; the time is bounded and so is the burst.
    let span_s = EMERGENCY_MS as f64 / 1_000.0;
    let stated = EMERGENCY_SHARE * limits.requests_per_s * (limits.burst_s + span_s);
    for count in [1, 8] {
        let result = surge((0..count).map(cut).collect());
        let part = f64::from(count as u32) / 9.0;
        assert!(
            result.worst_excess <= stated * part + ROUNDING,
            "{result:?}"
        );
        let places = f64::from(limits.in_flight) * EMERGENCY_SHARE * part;
        assert!(
            f64::from(result.worst_in_flight_excess) <= places.ceil(),
            "{result:?}"
        );
        // Afterwards it is a debt: no more was admitted in all.
        assert!(result.over_percent() < 0.5, "{result:?}");
    }
}

#[test]
fn while_the_steward_stands_still_the_stated_part_goes_on() {
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let burst = limits.requests_per_s * limits.burst_s;
    for (until_ms, in_use_s) in [(7_000, 3.0), (16_000, 5.0)] {
        let from_ms = 4_000;
        let result = surge(vec![LimiterFault::PausedSteward { from_ms, until_ms }]);
        assert!(result.worst_excess <= EMERGENCY_SHARE * burst, "{result:?}");
        let places = EMERGENCY_SHARE * f64::from(limits.in_flight);
        assert!(
            f64::from(result.worst_in_flight_excess) <= places,
            "{result:?}"
        );
        let part = EMERGENCY_SHARE * (limits.requests_per_s * in_use_s + burst);
        let held = HELD_SHARE * burst;
        let admitted = result.admitted_in_pause as f64;
        assert!(admitted > 0.9 * part, "{result:?}");
        assert!(admitted <= part + held, "{result:?}");
        assert!(result.over_percent() < 0.5, "{result:?}");
    }
}

#[test]
fn limiters_that_share_few_places_have_no_more_than_the_share_together() {
    use sapphiretrack_core::{Admission, EmergencyPart, HeldBudget, RouterId};
    let mut limits = LimitsRun::new(1, 1.0, 1).limits;
    limits.in_flight = 24;
    for routers in [1, 3, 9, 360] {
        let ids = (1..=routers).map(RouterId).collect();
        let admitted = (1..=routers).map(|router| {
            let part = EmergencyPart::new(RouterId(router), &ids, "customer");
            let mut held = HeldBudget::new(0);
            held.no_steward(part, &limits, 0);
            let admissions = (0..24).map(|_| held.try_admit(1.0, &limits, 0));
            admissions
                .filter(|admission| *admission == Admission::Admitted)
                .count()
        });
        assert_eq!(admitted.sum::<usize>(), 6, "{routers}");
    }
}

#[test]
fn clocks_that_jump_do_not_lift_the_limit() {
    let step = |limiter, at_ms, step_ms| LimiterFault::ClockStep {
        limiter,
        at_ms,
        step_ms,
    };
    assert_within_contract(&surge(vec![
        step(0, 5_000, 3_600_000),
        step(1, 5_000, -4_000),
        step(2, 9_000, 30),
        step(2, 10_000, -3_000),
    ]));
}

#[test]
fn a_new_steward_that_knows_nothing_adds_no_more_than_is_stated() {
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let stated = UNSURE_SHARE * limits.requests_per_s * limits.burst_s;
    let result = surge(vec![LimiterFault::NewSteward { at_ms: 7_000 }]);
    assert!(result.worst_excess <= stated, "{result:?}");
    assert_eq!(result.worst_in_flight_excess, 0, "{result:?}");
    let mut tight = LimitsRun::new(9, 1.0, 5);
    tight.limits.in_flight = 60;
    tight.duration_ms = 20_000;
    tight.faults = vec![LimiterFault::NewSteward { at_ms: 7_000 }];
    let unsure_places = (UNSURE_SHARE * f64::from(tight.limits.in_flight)) as u32;
    let result = tight.run();
    assert!(result.worst_in_flight_excess <= unsure_places, "{result:?}");
}

#[test]
fn a_lowered_contract_holds_for_chunks_that_are_leased() {
    let result = surge(vec![LimiterFault::NewLimits {
        at_ms: 10_000,
        factor: 0.1,
    }]);
    // A tenth of 200 a second, and not what was leased at the old rate.
    assert!(result.admitted_in_last_s <= 24, "{result:?}");
    assert!(result.worst_excess <= ROUNDING, "{result:?}");
}

#[test]
fn an_idle_limiter_gives_its_chunk_back() {
    use sapphiretrack_core::{Admission, CustomerBudget, HeldBudget, RouterId};
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let mut steward = CustomerBudget::new(&limits, true, 0);
    let mut held = HeldBudget::new(0);
    let renew = |held: &mut HeldBudget, steward: &mut CustomerBudget, now_ms| {
        if let Some(ask) = held.end_period(RouterId(1), "customer", &limits, now_ms) {
            let grant = steward.answer(&ask, &limits, 1.0, now_ms);
            held.take_grant(&grant, 0.0, now_ms, now_ms)
                .expect("nothing waits");
        }
    };
    for _ in 0..8 {
        if held.try_admit(10.0, &limits, 0) != Admission::Admitted {
            let ask = held.ask(RouterId(1), "customer", Some(10.0));
            let grant = steward.answer(&ask, &limits, 1.0, 0);
            held.take_grant(&grant, 10.0, 0, 0).expect("there is room");
        }
        held.leave();
    }
    renew(&mut held, &mut steward, 0);
    assert_eq!(held.try_admit(10.0, &limits, 1), Admission::Admitted);
    held.leave();
    renew(&mut held, &mut steward, 250);
    renew(&mut held, &mut steward, 500);
    assert!(held.is_idle(), "{held:?}");
    assert!(steward.is_idle(2_001), "the bucket is full again");
}
