//! A router tells a fault of its own path from faults of servers.

use std::collections::HashSet;

use sapphiretrack_routing::{Incarnation, PathChange, ServerPathSettings, ServerPaths};

const SETTINGS: ServerPathSettings = ServerPathSettings {
    min_failed: 4,
    min_reached: 2,
    valid_ms: 2_000,
};
const LISTED: usize = 12;

fn fail(paths: &mut ServerPaths, server: u64, now_ms: u64) -> Option<PathChange> {
    paths.record_failed(&SETTINGS, Incarnation(server), LISTED, now_ms)
}

fn reach(paths: &mut ServerPaths, server: u64) -> Option<PathChange> {
    paths.record_reached(&SETTINGS, Incarnation(server))
}

fn lost() -> ServerPaths {
    let mut paths = ServerPaths::default();
    let changes: Vec<_> = (1..=4).map(|server| fail(&mut paths, server, 10)).collect();
    assert_eq!(changes, [None, None, None, Some(PathChange::Lost)]);
    paths
}

/// Guards against blaming each server for a fault of the router's own path.
#[test]
fn the_path_is_lost_once_several_servers_in_a_row_fail() {
    let paths = lost();
    assert_eq!(paths.lost_since_ms(), Some(10));
    let untried = Incarnation(9);
    assert!(!paths.is_reachable(&SETTINGS, untried, 10_000));
}

/// Guards against taking crashed servers for a lost path while others are reached.
#[test]
fn servers_that_fail_between_others_that_are_reached_are_faults_of_their_own() {
    let mut paths = ServerPaths::default();
    for round in 0..10 {
        for server in 1..=3 {
            assert_eq!(fail(&mut paths, server, round), None);
        }
        assert_eq!(reach(&mut paths, 4), None);
    }
    assert_eq!(paths.lost_since_ms(), None);
    assert!(!paths.is_reachable(&SETTINGS, Incarnation(1), 100));
    assert!(paths.is_reachable(&SETTINGS, Incarnation(5), 100));
    assert!(paths.is_reachable(&SETTINGS, Incarnation(1), 9 + SETTINGS.valid_ms));
}

/// Guards against one server that fails again and again.
#[test]
fn one_server_alone_is_no_lost_path() {
    let mut paths = ServerPaths::default();
    for now_ms in 0..100 {
        assert_eq!(fail(&mut paths, 1, now_ms), None);
    }
}

/// Guards against a path that never counts as lost because few servers are listed.
#[test]
fn a_path_to_few_servers_is_lost_once_all_of_them_fail() {
    let mut paths = ServerPaths::default();
    assert_eq!(paths.record_failed(&SETTINGS, Incarnation(1), 2, 0), None);
    let change = paths.record_failed(&SETTINGS, Incarnation(2), 2, 0);
    assert_eq!(change, Some(PathChange::Lost));
}

/// Guards against a path that flaps, or that stays lost for servers which were never tried.
#[test]
fn the_path_is_restored_once_two_servers_in_a_row_are_reached() {
    let mut paths = lost();
    assert_eq!(reach(&mut paths, 1), None);
    assert!(paths.is_reachable(&SETTINGS, Incarnation(1), 20));
    assert!(!paths.is_reachable(&SETTINGS, Incarnation(2), 20));
    assert_eq!(fail(&mut paths, 2, 20), None);
    assert_eq!(reach(&mut paths, 3), None);
    assert_eq!(reach(&mut paths, 3), None, "one server twice");
    assert_eq!(reach(&mut paths, 4), Some(PathChange::Restored));
    assert!(paths.is_reachable(&SETTINGS, Incarnation(2), 20));
    assert!(!paths.may_exclude_any());
}

/// Guards against failures of servers that are gone.
#[test]
fn servers_that_are_no_longer_listed_are_forgotten() {
    let mut paths = ServerPaths::default();
    for server in 1..=3 {
        fail(&mut paths, server, 0);
    }
    paths.retain_listed(&SETTINGS, &HashSet::from([Incarnation(9)]), 10);
    assert_eq!(fail(&mut paths, 9, 20), None);
    assert!(paths.is_reachable(&SETTINGS, Incarnation(1), 20));
}
