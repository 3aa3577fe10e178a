//! When a router closes its endpoints during a planned stop.

use sapphiretrack_core::StopTiming;

const TIMING: StopTiming = StopTiming {
    entry_ttl_ms: 5_000,
    peers_informed_ms: 3_000,
};

#[test]
fn endpoints_stay_open_until_the_last_lookup_has_expired() {
    assert!(!TIMING.may_close(5_000, 5_000, 0));
    assert!(!TIMING.may_close(7_999, 7_999, 0));
    assert!(TIMING.may_close(8_000, 8_000, 0));
}

#[test]
fn further_requests_delay_the_close_for_a_limited_time() {
    assert!(!TIMING.may_close(8_000, 4_999, 0));
    assert!(TIMING.may_close(9_000, 5_000, 0));
    assert!(!TIMING.may_close(17_999, 0, 0));
    assert!(TIMING.may_close(18_000, 0, 0));
}

#[test]
fn a_request_in_flight_delays_the_close_without_limit() {
    assert!(!TIMING.may_close(1_000_000, 1_000_000, 1));
}
