//! When a planned stop closes.

use sapphiretrack_core::StopTiming;

const TIMING: StopTiming = StopTiming {
    entry_ttl_ms: 5_000,
    unheard_for_ms: 3_000,
};

#[test]
fn the_last_lookup_of_the_last_peer_to_hear_is_outlived() {
    assert!(!TIMING.may_close(5_000, 5_000, 0));
    assert!(!TIMING.may_close(7_999, 7_999, 0));
    assert!(TIMING.may_close(8_000, 8_000, 0));
}

#[test]
fn requests_that_go_on_coming_put_the_close_off_and_not_for_ever() {
    assert!(!TIMING.may_close(8_000, 4_999, 0));
    assert!(TIMING.may_close(9_000, 5_000, 0));
    assert!(!TIMING.may_close(17_999, 0, 0));
    assert!(TIMING.may_close(18_000, 0, 0));
}

#[test]
fn a_request_in_flight_is_waited_for_however_long() {
    assert!(!TIMING.may_close(1_000_000, 1_000_000, 1));
}
