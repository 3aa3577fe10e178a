//! Knowledge of cold servers: events and statements that only extend the time.

use std::collections::HashSet;

use sapphiretrack_routing::{ColdServers, Incarnation};

const START_MS: u64 = 3_000;
const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

fn listed(servers: &[Incarnation], now_ms: u64) -> ColdServers {
    let mut cold = ColdServers::default();
    for server in servers {
        assert!(!cold.record_listed(*server, 0, now_ms));
    }
    cold.end_listing();
    cold
}

#[test]
fn servers_of_the_first_listing_are_as_cold_as_they_say() {
    let mut cold = ColdServers::default();
    cold.record_listed(A, 0, 1_000);
    cold.record_listed(B, 2_500, 1_000);
    cold.end_listing();
    assert!(!cold.is_cold(A, START_MS, 1_000));
    assert!(cold.is_cold(B, START_MS, 3_499));
    assert!(!cold.is_cold(B, START_MS, 3_500));
}

#[test]
fn a_server_that_was_not_listed_before_is_cold_whatever_its_entry_says() {
    let mut cold = listed(&[A], 0);
    assert!(cold.record_listed(B, 0, 10_000));
    assert!(cold.is_cold(B, START_MS, 12_999));
    assert!(!cold.is_cold(B, START_MS, 13_000));
    assert!(!cold.record_listed(B, 0, 13_000), "it is known by now");
    assert!(!cold.is_cold(B, START_MS, 13_000));
}

/// Guards against counting the whole fleet as cold after an outage of the store in which entries lapsed.
#[test]
fn a_server_whose_entry_is_restored_is_not_new() {
    let mut cold = listed(&[A, B], 0);
    cold.retain_listed(&HashSet::from([A]), 10_000);
    assert!(!cold.record_listed(B, 0, 20_000));
    cold.retain_listed(&HashSet::from([A]), 90_000);
    assert!(cold.record_listed(B, 0, 90_000), "it was gone for too long");
}

#[test]
fn later_statements_never_shorten_the_time() {
    let mut cold = listed(&[A], 0);
    cold.record_event(A, 1_000);
    cold.record_statement(A, 100, 1_500);
    assert!(cold.is_cold(A, START_MS, 3_999));
    cold.record_statement(A, 5_000, 2_000);
    cold.record_event(A, 2_000);
    assert!(cold.is_cold(A, START_MS, 6_999));
    assert!(!cold.is_cold(A, START_MS, 7_000));
    assert_eq!(cold.cold_until_ms(A, START_MS), 7_000);
}

#[test]
fn a_router_that_starts_learns_the_remaining_time() {
    let mut cold = listed(&[A, B], 0);
    cold.record_event(A, 1_000);
    cold.record_statement(B, 4_000, 1_000);
    let reports = cold.reports(START_MS, 2_000);
    assert_eq!(reports.len(), 2);
    let mut other = listed(&[A, B], 50_000);
    for report in &reports {
        other.record_report(report, 50_000);
    }
    for (server, until_ms) in [(A, 52_000), (B, 53_000)] {
        assert!(other.is_cold(server, START_MS, until_ms - 1));
        assert!(!other.is_cold(server, START_MS, until_ms));
    }
    assert!(cold.reports(START_MS, 5_000).is_empty());
    assert!(!cold.may_be_any(START_MS, 5_000));
}
