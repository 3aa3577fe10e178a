//! Limits shared by many limiters: admissions stay within the contract, also under faults.

use sapphiretrack_bench::limits::{LimiterFault, LimitsResult, LimitsRun};
use sapphiretrack_core::{EMERGENCY_MS, EMERGENCY_SHARE, HELD_SHARE, NEW_STEWARD_SHARE};

/// The rounding error of a running sum of a million steps.
const ROUNDING: f64 = 0.001;

/// Runs nine limiters for 20 s at five times the contract's rate.
fn run_surge(faults: Vec<LimiterFault>) -> LimitsResult {
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
fn a_surge_over_any_number_of_limiters_uses_the_contract_without_exceeding_it() {
    for limiters in [1, 9, 360] {
        let run = LimitsRun {
            duration_ms: 20_000,
            ..LimitsRun::new(limiters, 5.0, 3)
        };
        let result = run.run();
        assert_within_contract(&result);
        assert!(
            result.over_admission_percent() < 2.0,
            "{limiters}: {result:?}"
        );
        assert!(
            result.over_admission_percent() > -10.0,
            "{limiters}: {result:?}"
        );
    }
}

#[test]
fn a_surge_with_leased_chunks_and_a_full_bucket_stays_within_the_contract() {
    let run = LimitsRun {
        duration_ms: 20_000,
        faults: vec![LimiterFault::NewOfferedLoad {
            at_ms: 10_000,
            offered_multiple: 20.0,
        }],
        ..LimitsRun::new(9, 0.9, 3)
    };
    assert_within_contract(&run.run());
}

#[test]
fn a_new_steward_grants_a_share_of_the_slots_until_earlier_leases_have_expired() {
    use sapphiretrack_core::{BUDGET_LEASE_MS, CustomerBudget, HeldBudget, NeedDecision, RouterId};
    let mut limits = LimitsRun::new(1, 1.0, 1).limits;
    limits.in_flight = 60;
    let admitted_at = |now_ms| {
        let mut steward = CustomerBudget::new(&limits, false, 0);
        let mut held = HeldBudget::new(0);
        let mut admitted = 0;
        for _ in 0..limits.in_flight * 2 {
            let ask = held.budget_request(RouterId(1), "customer", Some(1.0));
            let grant = steward.answer(&ask, &limits, 1.0, now_ms);
            admitted += u32::from(grant.need == NeedDecision::Admitted);
            let taken = held.apply_grant(&grant, 1.0, now_ms, now_ms);
            assert_eq!(taken.is_ok(), grant.need == NeedDecision::Admitted);
        }
        admitted
    };
    let new_steward_slots = (NEW_STEWARD_SHARE * f64::from(limits.in_flight)) as u32;
    assert_eq!(admitted_at(0), new_steward_slots);
    assert_eq!(admitted_at(BUDGET_LEASE_MS), limits.in_flight);
}

#[test]
fn a_lease_that_is_not_renewed_expires_at_the_holder_before_it_does_at_the_steward() {
    use sapphiretrack_core::{
        Admission, Amounts, BUDGET_LEASE_MS, BudgetGrant, HeldBudget, NeedDecision,
    };
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let mut held = HeldBudget::new(0);
    assert_eq!(held.try_admit(1.0, &limits, 0), Admission::Ask);
    let grant = BudgetGrant {
        need: NeedDecision::Nothing,
        added: Amounts {
            requests: 5.0,
            tokens: 500.0,
        },
        slots: 5,
    };
    // The answer arrived 1 s after the request: the lease counts from the request.
    held.apply_grant(&grant, 0.0, 0, 1_000)
        .expect("no request waits");
    assert_eq!(held.try_admit(1.0, &limits, 1_001), Admission::Admitted);
    let before_forgotten_ms = BUDGET_LEASE_MS - 100;
    let admission = held.try_admit(1.0, &limits, before_forgotten_ms);
    assert_eq!(admission, Admission::Ask);
}

#[test]
fn a_changed_contract_revokes_leased_budget_before_the_next_request() {
    use sapphiretrack_core::{Admission, Amounts, BudgetGrant, HeldBudget, NeedDecision};
    let mut limits = LimitsRun::new(1, 1.0, 1).limits;
    let mut held = HeldBudget::new(0);
    assert_eq!(held.try_admit(1.0, &limits, 0), Admission::Ask);
    let grant = BudgetGrant {
        need: NeedDecision::Nothing,
        added: Amounts {
            requests: 5.0,
            tokens: 500.0,
        },
        slots: 5,
    };
    held.apply_grant(&grant, 0.0, 0, 0)
        .expect("no request waits");
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
fn the_lease_of_a_crashed_limiter_is_not_granted_twice_and_is_reclaimed() {
    let result = run_surge(vec![
        LimiterFault::Crash {
            limiter: 2,
            at_ms: 6_000,
        },
        LimiterFault::Crash {
            limiter: 5,
            at_ms: 6_100,
        },
    ]);
    assert_within_contract(&result);
    assert!(result.admitted_in_last_s > 170, "{result:?}");
}

#[test]
fn disconnected_limiters_admit_no_more_than_their_emergency_share() {
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let partition = |limiter| LimiterFault::Partition {
        limiter,
        from_ms: 4_000,
        until_ms: 12_000,
    };
    // The steward still grants the whole contract to the other limiters, so what the disconnected
    // ones admit comes on top. Their emergency budget has a burst and a time limit.
    let span_s = EMERGENCY_MS as f64 / 1_000.0;
    let bound = EMERGENCY_SHARE * limits.requests_per_s * (limits.burst_s + span_s);
    for count in [1, 8] {
        let result = run_surge((0..count).map(partition).collect());
        let part = f64::from(count as u32) / 9.0;
        assert!(result.worst_excess <= bound * part + ROUNDING, "{result:?}");
        let slots = f64::from(limits.in_flight) * EMERGENCY_SHARE * part;
        assert!(
            f64::from(result.worst_in_flight_excess) <= slots.ceil(),
            "{result:?}"
        );
        // What they admitted is charged to the contract afterwards, so the total is not exceeded.
        assert!(result.over_admission_percent() < 0.5, "{result:?}");
    }
}

#[test]
fn while_the_steward_is_paused_limiters_admit_the_emergency_share() {
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let burst = limits.requests_per_s * limits.burst_s;
    for (until_ms, emergency_s) in [(7_000, 3.0), (16_000, 5.0)] {
        let from_ms = 4_000;
        let result = run_surge(vec![LimiterFault::PausedSteward { from_ms, until_ms }]);
        assert!(result.worst_excess <= EMERGENCY_SHARE * burst, "{result:?}");
        let slots = EMERGENCY_SHARE * f64::from(limits.in_flight);
        assert!(
            f64::from(result.worst_in_flight_excess) <= slots,
            "{result:?}"
        );
        let emergency = EMERGENCY_SHARE * (limits.requests_per_s * emergency_s + burst);
        let held = HELD_SHARE * burst;
        let admitted = result.admitted_in_pause as f64;
        assert!(admitted > 0.9 * emergency, "{result:?}");
        assert!(admitted <= emergency + held, "{result:?}");
        assert!(result.over_admission_percent() < 0.5, "{result:?}");
    }
}

#[test]
fn emergency_shares_of_few_slots_add_up_to_the_total_share() {
    use sapphiretrack_core::{Admission, EmergencyPart, HeldBudget, RouterId};
    let mut limits = LimitsRun::new(1, 1.0, 1).limits;
    limits.in_flight = 24;
    for routers in [1, 3, 9, 360] {
        let ids = (1..=routers).map(RouterId).collect();
        let admitted = (1..=routers).map(|router| {
            let part = EmergencyPart::new(RouterId(router), &ids, "customer");
            let mut held = HeldBudget::new(0);
            held.mark_steward_unreachable(part, &limits, 0);
            let admissions = (0..24).map(|_| held.try_admit(1.0, &limits, 0));
            admissions
                .filter(|admission| *admission == Admission::Admitted)
                .count()
        });
        assert_eq!(admitted.sum::<usize>(), 6, "{routers}");
    }
}

#[test]
fn clock_steps_do_not_raise_the_limit() {
    let step = |limiter, at_ms, step_ms| LimiterFault::ClockStep {
        limiter,
        at_ms,
        step_ms,
    };
    assert_within_contract(&run_surge(vec![
        step(0, 5_000, 3_600_000),
        step(1, 5_000, -4_000),
        step(2, 9_000, 30),
        step(2, 10_000, -3_000),
    ]));
}

#[test]
fn a_new_steward_without_state_exceeds_the_limits_by_no_more_than_its_initial_share() {
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let bound = NEW_STEWARD_SHARE * limits.requests_per_s * limits.burst_s;
    let result = run_surge(vec![LimiterFault::NewSteward { at_ms: 7_000 }]);
    assert!(result.worst_excess <= bound, "{result:?}");
    assert_eq!(result.worst_in_flight_excess, 0, "{result:?}");
    let mut tight = LimitsRun::new(9, 1.0, 5);
    tight.limits.in_flight = 60;
    tight.duration_ms = 20_000;
    tight.faults = vec![LimiterFault::NewSteward { at_ms: 7_000 }];
    let new_steward_slots = (NEW_STEWARD_SHARE * f64::from(tight.limits.in_flight)) as u32;
    let result = tight.run();
    assert!(
        result.worst_in_flight_excess <= new_steward_slots,
        "{result:?}"
    );
}

#[test]
fn a_lowered_contract_applies_to_leased_chunks() {
    let result = run_surge(vec![LimiterFault::NewLimits {
        at_ms: 10_000,
        factor: 0.1,
    }]);
    // A tenth of 200 requests/s, without what was leased at the old rate.
    assert!(result.admitted_in_last_s <= 24, "{result:?}");
    assert!(result.worst_excess <= ROUNDING, "{result:?}");
}

#[test]
fn an_idle_limiter_returns_its_chunk() {
    use sapphiretrack_core::{Admission, CustomerBudget, HeldBudget, RouterId};
    let limits = LimitsRun::new(1, 1.0, 1).limits;
    let mut steward = CustomerBudget::new(&limits, true, 0);
    let mut held = HeldBudget::new(0);
    let renew = |held: &mut HeldBudget, steward: &mut CustomerBudget, now_ms| {
        if let Some(ask) = held.end_period(RouterId(1), "customer", &limits, now_ms) {
            let grant = steward.answer(&ask, &limits, 1.0, now_ms);
            held.apply_grant(&grant, 0.0, now_ms, now_ms)
                .expect("no request waits");
        }
    };
    for _ in 0..8 {
        if held.try_admit(10.0, &limits, 0) != Admission::Admitted {
            let ask = held.budget_request(RouterId(1), "customer", Some(10.0));
            let grant = steward.answer(&ask, &limits, 1.0, 0);
            held.apply_grant(&grant, 10.0, 0, 0)
                .expect("the request is admitted");
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
