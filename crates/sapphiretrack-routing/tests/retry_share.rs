//! The retry shares of all routers together stay within the fleet's budget.

use proptest::prelude::*;
use sapphiretrack_routing::{RetrySettings, RetryShare};

const SETTINGS: RetrySettings = RetrySettings {
    ratio: 0.2,
    fixed: 58.0,
    window_ms: 10_000,
    full_ms: 1_000,
};

proptest! {
    #[test]
    fn all_routers_together_stay_within_the_budget(
        routers in 1_usize..12,
        steps in prop::collection::vec((0_usize..12, 0_u64..60, 0_u8..4), 200..1_500),
    ) {
        let mut shares = vec![RetryShare::new(SETTINGS); routers];
        let mut now_ms = 100_000;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (router, pause_ms, kind) in steps {
            now_ms += pause_ms;
            let share = &mut shares[router % routers];
            if kind == 0 {
                share.record_request("s", now_ms);
                requests.push(now_ms);
            } else if share.try_retry("s", routers, now_ms) {
                retries.push(now_ms);
            }
        }
        // Compares the retries in any window with the requests in that window, in the one before,
        // or in the one that starts half a window earlier, whichever are the most.
        for &start in &retries {
            let count_within = |times: &[u64], from: u64, to: u64| {
                times.iter().filter(|time| (from..to).contains(*time)).count() as f64
            };
            let end = start + SETTINGS.window_ms;
            let spent_retries = count_within(&retries, start, end);
            let counted_requests = count_within(&requests, start, end)
                .max(count_within(&requests, start - SETTINGS.window_ms, start))
                .max(count_within(&requests, start - SETTINGS.window_ms / 2, end - SETTINGS.window_ms / 2));
            let budget = counted_requests * SETTINGS.ratio + SETTINGS.fixed;
            prop_assert!(spent_retries <= budget, "{spent_retries} retries on {counted_requests} requests");
        }
    }
}

#[test]
fn a_service_that_fails_as_a_whole_gets_no_retries() {
    let mut share = RetryShare::new(SETTINGS);
    for _ in 0..30 {
        share.record_request("s", 1_000);
        share.record_end("s", false, 1_000);
    }
    assert!(!share.try_retry("s", 1, 1_000));
    assert!(share.try_retry("other", 1, 1_000));
    for _ in 0..40 {
        share.record_end("s", true, 1_000);
    }
    assert!(share.try_retry("s", 1, 1_000));
}

#[test]
fn spent_retries_do_not_count_after_the_window() {
    let mut share = RetryShare::new(RetrySettings {
        ratio: 0.0,
        fixed: 4.0,
        ..SETTINGS
    });
    assert!(share.try_retry("s", 1, 0));
    assert!(share.try_retry("s", 1, 0));
    assert!(!share.try_retry("s", 1, 9_000));
    assert!(share.try_retry("s", 1, 10_500));
}

/// Guards against retries that displace first attempts at a service without free capacity.
#[test]
fn a_full_service_gets_no_retries_until_it_had_capacity_for_a_while() {
    let mut share = RetryShare::new(SETTINGS);
    assert!(!share.is_full("s", 100_000));
    assert!(share.record_full("s", 100_000), "it was not full before");
    assert!(share.is_full("s", 100_999));
    assert!(
        !share.is_full("other", 100_500),
        "another service has capacity"
    );
    assert!(
        !share.record_full("s", 100_900),
        "reported once while it lasts"
    );
    assert!(
        share.is_full("s", 101_899),
        "the time counts from the last refusal"
    );
    assert!(!share.is_full("s", 101_900));
    let mut without_full_time = RetryShare::new(RetrySettings {
        full_ms: 0,
        ..SETTINGS
    });
    assert!(!without_full_time.record_full("s", 100_000));
    assert!(!without_full_time.is_full("s", 100_000));
}
