//! Pauses that backend servers ask for: they end on time, and only get longer.

use sapphiretrack_routing::{Incarnation, ServerPauses};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

#[test]
fn a_pause_lasts_as_long_as_the_server_asked_for() {
    let mut pauses = ServerPauses::default();
    assert!(!pauses.may_be_any(0));
    assert!(pauses.record(A, 3_000, 1_000));
    assert_eq!(pauses.left_ms(A, 1_000), Some(3_000));
    assert_eq!(pauses.left_ms(A, 3_999), Some(1));
    assert_eq!(pauses.left_ms(A, 4_000), None);
    assert_eq!(pauses.left_ms(B, 1_000), None);
    assert_eq!((pauses.count(3_999), pauses.count(4_000)), (1, 0));
    assert!(pauses.may_be_any(3_999));
    assert!(!pauses.may_be_any(4_000));
}

/// Guards against a shorter pause that ends an earlier, longer one.
#[test]
fn a_later_statement_only_extends_a_pause() {
    let mut pauses = ServerPauses::default();
    assert!(pauses.record(A, 3_000, 0));
    assert!(!pauses.record(A, 500, 1_000));
    assert_eq!(pauses.left_ms(A, 1_000), Some(2_000));
    assert!(!pauses.record(A, 5_000, 2_000));
    assert_eq!(pauses.left_ms(A, 2_000), Some(5_000));
    assert!(pauses.record(A, 500, 7_000), "the pause had ended");
}

#[test]
fn only_pauses_that_ended_are_forgotten() {
    let mut pauses = ServerPauses::default();
    pauses.record(A, 1_000, 0);
    pauses.record(B, 2_000, 0);
    pauses.drop_ended(1_000);
    assert_eq!(pauses.left_ms(A, 999), None);
    assert_eq!(pauses.left_ms(B, 1_000), Some(1_000));
}

#[test]
fn the_longest_possible_pause_does_not_overflow() {
    let mut pauses = ServerPauses::default();
    assert!(pauses.record(A, u64::MAX, 5));
    assert_eq!(pauses.left_ms(A, 10), Some(u64::MAX - 10));
}
