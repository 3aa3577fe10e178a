//! Load shedding, drain rate, retry budget and outlier detection.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sapphiretrack_core::{
    DrainRate, OutlierDetector, OutlierSettings, RetryBudget, ServerId, ShedControl, backoff_ms,
};

fn filter(outliers: &OutlierDetector, servers: u64, draw: f64, now_ms: u64) -> Vec<ServerId> {
    let ranked = (0..servers).map(ServerId).collect();
    outliers.filter(ranked, |server| *server, draw, now_ms)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn a_class_never_gets_a_larger_share_than_a_more_urgent_one(
        requests in prop::collection::vec((0..4_u8, 0..4_000_u64, 0..200_u64), 0..200),
    ) {
        let mut shed = ShedControl::default();
        let mut now_ms = 1;
        for (priority, took_ms, delay_ms) in requests {
            now_ms += delay_ms;
            shed.note_request(priority, now_ms);
            shed.note_answer(priority, took_ms, 2_000, now_ms);
            let shares: Vec<f64> = (0..4).map(|class| shed.share(class, now_ms)).collect();
            prop_assert!(shares.windows(2).all(|pair| pair[1] <= pair[0]), "{shares:?}");
            prop_assert!(shares.iter().all(|share| *share > 0.0 && *share <= 1.0));
        }
    }

    #[test]
    fn retries_stay_within_the_budget_during_a_brown_out(
        requests in 1..2_000_u32, attempts_each in 1..4_u32,
    ) {
        let mut budget = RetryBudget::new(0.08);
        let mut retries = 0;
        for _ in 0..requests {
            budget.note_request();
            retries += (0..attempts_each).filter(|_| budget.try_retry()).count();
        }
        prop_assert!(retries as f64 <= 5.0 + 0.08 * f64::from(requests) + 1e-6);
    }

    #[test]
    fn backoff_is_bounded_and_jittered(attempts in 0..u32::MAX, draw in 0.0..1.0_f64) {
        prop_assert!(backoff_ms(attempts, draw) <= 200);
        prop_assert!(backoff_ms(attempts, 0.0) < backoff_ms(attempts, 0.999));
    }
}

#[test]
fn late_answers_shed_the_least_urgent_class_first_and_it_recovers() {
    let mut shed = ShedControl::default();
    let mut now_ms = 1_000;
    for _ in 0..20 {
        now_ms += 1_000;
        shed.note_request(0, now_ms);
        shed.note_answer(0, 300, 2_000, now_ms);
        shed.note_answer(2, 2_000, 2_000, now_ms);
    }
    assert_eq!(shed.share(0, now_ms), 1.0, "the urgent class is on time");
    assert!(shed.share(2, now_ms) < 0.1);
    for _ in 0..100 {
        now_ms += 200;
        shed.note_answer(2, 300, 2_000, now_ms);
    }
    assert_eq!(
        shed.share(2, now_ms),
        1.0,
        "no urgent request was seen for a long time"
    );
}

#[test]
fn refused_callers_retry_no_faster_than_requests_end() {
    let mut drain = DrainRate::new(0);
    for now_ms in (0..20_000).step_by(20) {
        drain.note_end(now_ms);
    }
    let rate = drain.ended_per_s();
    assert!((rate - 50.0).abs() < 2.0, "{rate}");
    let waits: Vec<u64> = (0..500)
        .map(|_| drain.retry_after_ms(0.5, 20_000))
        .collect();
    assert_eq!(waits[0], DrainRate::MIN_RETRY_MS);
    let last = *waits.last().expect("some");
    assert!(
        (9_000..11_000).contains(&last),
        "500 callers at 50 requests per second: {last}"
    );
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]));
}

#[test]
fn the_retry_delay_is_long_if_no_requests_end() {
    let mut drain = DrainRate::new(0);
    for second in 1..60 {
        drain.retry_after_ms(0.5, second * 1_000);
    }
    assert!(drain.retry_after_ms(0.5, 60_000) >= 27_000);
}

#[test]
fn a_failing_server_is_ejected_and_reintroduced_slowly() {
    let mut outliers = OutlierDetector::new(OutlierSettings::default());
    let bad = ServerId(1);
    for _ in 0..4 {
        assert!(!outliers.note_failure(bad, 0));
    }
    assert!(outliers.note_failure(bad, 0));
    assert!(!filter(&outliers, 3, 0.5, 1_000).contains(&bad));
    let first_ms = 2_000;
    assert!(outliers.share(bad, first_ms) <= 0.1 + 1e-9);
    assert!((outliers.share(bad, first_ms + 5_000) - 0.55).abs() < 1e-9);
    let order = filter(&outliers, 3, 0.9, first_ms + 5_000);
    assert_eq!(order.last(), Some(&bad), "it is the last choice");
    // One failure during reintroduction is enough, and the next ejection lasts twice as long.
    assert!(outliers.note_failure(bad, first_ms + 5_000));
    assert_eq!(outliers.share(bad, first_ms + 5_000 + 3_999), 0.0);
    outliers.note_success(bad, 30_000);
    assert_eq!(outliers.share(bad, 30_000), 1.0);
}

#[test]
fn if_most_servers_fail_none_is_ejected() {
    let mut outliers = OutlierDetector::new(OutlierSettings::default());
    for server in 0..2 {
        for _ in 0..5 {
            outliers.note_failure(ServerId(server), 0);
        }
    }
    assert_eq!(filter(&outliers, 3, 0.5, 1).len(), 3);
    assert_eq!(filter(&outliers, 4, 0.5, 1).len(), 2);
}
