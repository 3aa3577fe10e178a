//! A starting router gets the prompt prefixes that servers hold from other routers, or from the
//! servers if all routers started at once.

use std::net::SocketAddr;

mod prompts;

use prompts::request_with_prefixes;
use sapphiretrack_routing::{
    Incarnation, PrefixIndex, PrefixRecovery, PrefixReplyLimiter, PrefixStep, PromptPrefix,
    SentPrompts,
};

fn router(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

#[test]
fn a_router_that_starts_alone_asks_one_that_has_the_prefixes() {
    let recovery = PrefixRecovery::new(false, 1_000);
    let sources = [router(1), router(2)];
    let ask = |draw| recovery.next_step(&sources, 0, draw, 1_010);
    assert_eq!(ask(0.2), PrefixStep::AskRouter(router(1)));
    assert_eq!(ask(0.7), PrefixStep::AskRouter(router(2)));
    assert_eq!(ask(1.0), PrefixStep::AskRouter(router(2)));
}

#[test]
fn if_all_routers_started_the_first_asks_the_servers_and_the_others_wait() {
    let recovery = PrefixRecovery::new(false, 1_000);
    assert_eq!(
        recovery.next_step(&[], 0, 0.5, 1_100),
        PrefixStep::Wait,
        "heartbeats of others may still arrive"
    );
    assert_eq!(
        recovery.next_step(&[], 0, 0.5, 1_500),
        PrefixStep::AskServers
    );
    assert_eq!(recovery.next_step(&[], 1, 0.5, 1_500), PrefixStep::Wait);
}

#[test]
fn a_router_that_received_the_prefixes_stops_asking_and_may_be_asked() {
    let mut recovery = PrefixRecovery::new(false, 1_000);
    assert!(!recovery.has_prefixes(2_000));
    assert!(recovery.has_prefixes(40_000), "older prefixes have expired");
    recovery.record_received();
    assert!(recovery.has_prefixes(2_000));
    assert_eq!(
        recovery.next_step(&[router(1)], 0, 0.5, 2_000),
        PrefixStep::Wait
    );
    assert!(
        PrefixRecovery::new(true, 1_000).has_prefixes(1_000),
        "no server holds a prefix at the first start"
    );
}

#[test]
fn the_newest_prefixes_are_sent_and_show_their_holders() {
    let mut old = PrefixIndex::default();
    let prefix = |id| PromptPrefix { id, tokens: 100 };
    for id in 0..500 {
        old.record_sent(
            Incarnation(id % 3),
            &request_with_prefixes(&[prefix(id)]),
            1_000 + id,
        );
    }
    let newest_sent = old.newest(200, 2_000);
    assert_eq!(newest_sent.len(), 200);
    let mut new = PrefixIndex::default();
    let newest_sent = SentPrompts {
        prefixes: newest_sent,
        ..SentPrompts::default()
    };
    new.record_advertised(&newest_sent, 2_000);
    assert_eq!(
        new.cached_tokens(Incarnation(499 % 3), &[prefix(499)], 2_000),
        100
    );
    assert_eq!(new.cached_tokens(Incarnation(0), &[prefix(0)], 2_000), 0);
    assert!(old.newest(200, 60_000).is_empty());
}

#[test]
fn the_prefixes_spread_by_doubling_in_a_fleet_that_started_at_once() {
    use rand::{RngExt, SeedableRng};
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    let routers = 295;
    let mut limiters = vec![PrefixReplyLimiter::default(); routers];
    let mut has_prefixes = vec![false; routers];
    has_prefixes[0] = true;
    let mut max_served = 0;
    for round in 0..8_u64 {
        let sources: Vec<usize> = (0..routers).filter(|index| has_prefixes[*index]).collect();
        let mut served = vec![0; routers];
        let askers = (0..routers).filter(|index| !has_prefixes[*index]);
        let served_routers = askers.filter(|_| {
            let source = sources[random.random_range(0..sources.len())];
            let is_served = limiters[source].try_serve(round * 250);
            served[source] += u32::from(is_served);
            is_served
        });
        let served_routers: Vec<usize> = served_routers.collect();
        for index in served_routers {
            has_prefixes[index] = true;
        }
        max_served = served.into_iter().max().unwrap_or(0).max(max_served);
    }
    assert!(max_served <= 8, "one router serves {max_served} at a time");
    assert!(
        has_prefixes.iter().all(|has_prefixes| *has_prefixes),
        "all routers have the prefixes within two seconds"
    );
}
