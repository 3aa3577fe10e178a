//! Listed servers that are gone: what one router observes saves the others failed attempts.

use std::collections::HashSet;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::{EndEvidence, EndReport, EndedServers, Incarnation};

const VALID_MS: u64 = 3_000;

fn report(server: u64, evidence: EndEvidence) -> EndReport {
    EndReport { server, evidence }
}

fn router(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 9).into()
}

#[test]
fn a_replaced_server_is_gone_for_good() {
    let mut ended = EndedServers::default();
    let replaced = report(1, EndEvidence::Replaced);
    assert!(ended.record(replaced, router(1), VALID_MS, 0));
    assert!(
        !ended.record(replaced, router(2), VALID_MS, 50_000),
        "it is known"
    );
    assert!(ended.is_replaced(Incarnation(1)));
    assert!(!ended.is_replaced(Incarnation(2)));
    ended.retain_listed(&HashSet::from([Incarnation(1)]), 60_000);
    assert!(ended.is_replaced(Incarnation(1)));
    ended.retain_listed(&HashSet::new(), 60_000);
    assert!(ended.is_empty());
}

#[test]
fn a_refused_connection_makes_a_server_suspect_for_a_while() {
    let mut ended = EndedServers::default();
    assert!(ended.record(report(1, EndEvidence::Refused), router(1), VALID_MS, 1_000));
    assert!(!ended.record(report(1, EndEvidence::Refused), router(2), VALID_MS, 1_100));
    assert!(ended.is_suspect(Incarnation(1), VALID_MS, 4_099));
    assert!(!ended.is_suspect(Incarnation(1), VALID_MS, 4_100));
    assert!(!ended.is_replaced(Incarnation(1)));
}

/// Guards against avoiding all servers that one router with a faulty link reports as silent.
#[test]
fn a_silent_server_is_suspect_once_two_routers_report_it() {
    let mut ended = EndedServers::default();
    let silent = report(1, EndEvidence::Silent);
    for at_ms in [0, 500, 1_000] {
        assert!(ended.record(silent, router(1), VALID_MS, at_ms));
    }
    assert!(!ended.is_suspect(Incarnation(1), VALID_MS, 1_000));
    ended.record(silent, router(2), VALID_MS, 1_200);
    assert!(ended.is_suspect(Incarnation(1), VALID_MS, 1_200));
    assert!(!ended.is_suspect(Incarnation(1), VALID_MS, 4_000));
}

/// Pattern: most servers of a service crash at once beneath a burst; their entries lapse 3.6 s later. Returns
/// the number of failed attempts of all routers.
fn failed_attempts(reported_ms: u64) -> usize {
    const ROUTERS: usize = 68;
    const SERVERS: u64 = 60;
    const CRASHED: u64 = 54;
    const LAPSE_MS: u64 = 3_600;
    const REPORT_DELAY_MS: u64 = 50;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut routers = vec![EndedServers::default(); ROUTERS];
    let mut in_transit: Vec<(u64, usize, EndReport)> = Vec::new();
    let mut failed = 0;
    for now_ms in (0..LAPSE_MS).step_by(10) {
        let arrived = in_transit.extract_if(.., |(due_ms, _, _)| *due_ms <= now_ms);
        for (_, from, report) in arrived.collect::<Vec<_>>() {
            for (index, ended) in routers.iter_mut().enumerate() {
                if index != from {
                    ended.record(report, router(from as u8), reported_ms, now_ms);
                }
            }
        }
        for (index, ended) in routers.iter_mut().enumerate() {
            // Seven requests a second at each router, as many attempts as needed for each.
            while rng.random_bool(0.07) {
                let usable = (0..SERVERS)
                    .filter(|server| !ended.is_suspect(Incarnation(*server), 3_000, now_ms));
                let usable: Vec<u64> = usable.collect();
                let server = usable[rng.random_range(0..usable.len())];
                if server >= CRASHED {
                    break;
                }
                failed += 1;
                let refused = report(server, EndEvidence::Refused);
                let is_new = ended.record(refused, router(index as u8), 3_000, now_ms);
                if is_new && reported_ms > 0 {
                    in_transit.push((now_ms + REPORT_DELAY_MS, index, refused));
                }
            }
        }
    }
    failed
}

#[test]
fn routers_learn_from_each_other_which_servers_crashed_at_once() {
    let (alone, together) = (failed_attempts(0), failed_attempts(VALID_MS));
    assert!(
        alone > 500,
        "each router meets most servers by itself: {alone}"
    );
    assert!(together * 4 < alone, "{together} instead of {alone}");
}
