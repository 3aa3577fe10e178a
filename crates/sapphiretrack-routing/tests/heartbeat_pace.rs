//! Heartbeat intervals in fleets of any size.

use sapphiretrack_routing::HeartbeatPace;

const PACE: HeartbeatPace = HeartbeatPace {
    heartbeat_ms: 250,
    min_heartbeat_ms: 100,
    fan_out: 24,
};

/// In a small fleet each router can fill the slots of several servers within one heartbeat
/// interval, so that the others need its load sooner.
#[test]
fn heartbeats_are_more_frequent_in_a_small_fleet() {
    assert_eq!(PACE.send_interval_ms(1), 100);
    assert_eq!(PACE.send_interval_ms(7), 100);
    assert_eq!(PACE.send_interval_ms(12), 125);
    assert_eq!(PACE.send_interval_ms(24), 250);
    assert_eq!(PACE.send_interval_ms(359), 250);
}

#[test]
fn no_fleet_needs_more_datagrams_per_second_than_a_large_one() {
    let max_per_s = PACE.fan_out as f64 * 1_000.0 / PACE.heartbeat_ms as f64;
    for routers in 0..400 {
        let recipients = routers.min(PACE.fan_out) as f64;
        let per_s = recipients * 1_000.0 / PACE.send_interval_ms(routers) as f64;
        assert!(
            per_s <= max_per_s,
            "{per_s} datagrams per second to {routers} routers"
        );
    }
}

#[test]
fn enough_rounds_reach_every_router() {
    assert_eq!(PACE.rounds(0), 1);
    assert_eq!(PACE.rounds(24), 1);
    assert_eq!(PACE.rounds(25), 2);
    assert_eq!(PACE.rounds(88), 4);
}
