//! Fleets of 3 to 1,000 routers read a listing in bounded time and with few calls to the store.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::{Holder, ListingNeed, ListingSource, ListingStep, ListingView};

/// The length of one step of the simulation.
const STEP_MS: u64 = 10;
/// The time that a router takes to answer another one.
const PEER_ANSWER_MS: u64 = 20;
/// The time that the store takes to answer.
const STORE_ANSWER_MS: u64 = 10;
/// Readers that one router can serve in one step.
const READERS_PER_STEP: usize = 4;
/// The pause of a watcher after a failed call to the store.
const WATCHER_PAUSE_MS: u64 = 400;
/// Routers that keep a watch open at the store.
const WATCHERS: usize = 2;
/// Heartbeats that a router receives in one step: every 250 ms each router sends one to 24 others.
const HEARTBEATS_PER_STEP: usize = 1;

fn holder(index: usize) -> Holder {
    Holder {
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        is_same_zone: index.is_multiple_of(5),
    }
}

/// One router of the simulated fleet.
#[derive(Default)]
struct Router {
    source: ListingSource,
    has_content: bool,
    /// Other routers whose heartbeats showed this one that they have the content.
    known_holders: Vec<usize>,
    /// When the current call ends, and the router that was asked; none for the store.
    call: Option<(u64, Option<usize>)>,
    /// Until when this router pauses as a watcher.
    paused_until_ms: u64,
    /// When this router got the content.
    completed_ms: u64,
}

/// What a simulated fleet needed until every router had the content.
struct Cost {
    store_calls: usize,
    slowest_ms: u64,
}

/// Simulates a fleet whose watchers read a change from the store, until every router has it.
fn simulate(routers: usize, seed: u64, is_store_up: fn(u64) -> bool, peers_answer: bool) -> Cost {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<Router> = (0..routers).map(|_| Router::default()).collect();
    let mut store_calls = 0;
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        if fleet.iter().all(|router| router.has_content) {
            break;
        }
        let has_content: Vec<bool> = fleet.iter().map(|router| router.has_content).collect();
        let mut served = vec![0; routers];
        for (index, router) in fleet.iter_mut().enumerate() {
            for _ in 0..HEARTBEATS_PER_STEP {
                let sender = random.random_range(0..routers);
                if has_content[sender] && !router.known_holders.contains(&sender) {
                    router.known_holders.push(sender);
                }
            }
            if router.has_content || now_ms < router.paused_until_ms {
                continue;
            }
            if let Some((until_ms, peer)) = router.call {
                if now_ms < until_ms {
                    continue;
                }
                router.call = None;
                let is_answered = match peer {
                    None => is_store_up(now_ms),
                    Some(peer) => {
                        served[peer] += 1;
                        peers_answer && served[peer] <= READERS_PER_STEP
                    }
                };
                let draw = random.random();
                match (is_answered, peer) {
                    (true, _) => {
                        router.has_content = true;
                        router.completed_ms = now_ms;
                        continue;
                    }
                    (false, Some(_)) => router.source.record_peer_failure(draw, now_ms),
                    (false, None) => {
                        router
                            .source
                            .record_store_failure(routers - 1, draw, now_ms);
                        if index < WATCHERS {
                            router.paused_until_ms = now_ms + WATCHER_PAUSE_MS;
                            continue;
                        }
                    }
                }
            }
            let holders: Vec<Holder> = router
                .known_holders
                .iter()
                .map(|one| holder(*one))
                .collect();
            let step = router.source.step(&ListingView {
                need: ListingNeed::Content,
                is_watcher: index < WATCHERS,
                is_discovered: true,
                holders: &holders,
                live: routers - 1,
                is_connected: true,
                draw: random.random(),
                now_ms,
            });
            router.call = match step {
                ListingStep::Wait { until_ms } => {
                    assert!(until_ms >= now_ms, "a wait does not end in the past");
                    None
                }
                ListingStep::Peer(peer) => {
                    let asked = router
                        .known_holders
                        .iter()
                        .find(|one| holder(**one) == peer);
                    Some((now_ms + PEER_ANSWER_MS, asked.copied()))
                }
                ListingStep::Store => {
                    store_calls += 1;
                    Some((now_ms + STORE_ANSWER_MS, None))
                }
            };
        }
    }
    let slowest_ms = fleet
        .iter()
        .map(|router| router.completed_ms)
        .max()
        .unwrap_or(0);
    assert!(
        fleet.iter().all(|router| router.has_content),
        "some router never got the content"
    );
    Cost {
        store_calls,
        slowest_ms,
    }
}

#[test]
fn a_cold_start_or_a_change_takes_few_store_calls_in_a_fleet_of_any_size() {
    for routers in [3, 9, 89, 295, 1_000] {
        for seed in 0..5 {
            let cost = simulate(routers, seed, |_| true, true);
            let limit = WATCHERS + routers / 20;
            assert!(
                cost.store_calls <= limit,
                "{routers} routers, seed {seed}: {} store calls",
                cost.store_calls
            );
            assert!(
                cost.slowest_ms <= 2_000,
                "{routers} routers, seed {seed}: {} ms",
                cost.slowest_ms
            );
        }
    }
}

#[test]
fn few_routers_probe_the_store_in_an_outage_and_all_recover_soon_after() {
    for routers in [9, 295, 1_000] {
        let cost = simulate(routers, 1, |now_ms| now_ms >= 8_000, true);
        let watcher_calls = WATCHERS * 12_000 / WATCHER_PAUSE_MS as usize;
        // All other routers together probe eight times per second; those whose delay ends late call
        // once more.
        assert!(
            cost.store_calls <= watcher_calls + 12 * 8 + routers / 20,
            "{routers} routers: {} store calls",
            cost.store_calls
        );
        assert!(
            (8_000..12_000).contains(&cost.slowest_ms),
            "{routers} routers: {} ms",
            cost.slowest_ms
        );
    }
}

#[test]
fn the_store_is_asked_in_time_if_no_router_answers() {
    let cost = simulate(9, 3, |_| true, false);
    assert!(cost.slowest_ms <= 2_000, "{} ms", cost.slowest_ms);
}

/// Guards against a router that gives up on a large configuration while the store refuses its calls
/// and all routers that have the configuration are busy.
#[test]
fn a_router_keeps_asking_while_the_store_fails_and_the_holders_are_busy() {
    for live in [8, 88, 294, 999] {
        let mut random = ChaCha8Rng::seed_from_u64(4);
        let mut source = ListingSource::default();
        let holders = [holder(1), holder(2)];
        let (mut peer_calls, mut store_calls, mut last_peer_ms, mut longest_gap_ms) = (0, 0, 0, 0);
        for now_ms in (0..3_000).step_by(STEP_MS as usize) {
            let step = source.step(&ListingView {
                holders: &holders,
                live,
                draw: random.random(),
                ..view(ListingNeed::Content, now_ms)
            });
            match step {
                ListingStep::Wait { .. } => continue,
                ListingStep::Peer(_) => {
                    peer_calls += 1;
                    longest_gap_ms = longest_gap_ms.max(now_ms - last_peer_ms);
                    last_peer_ms = now_ms;
                    source.record_peer_failure(random.random(), now_ms);
                }
                ListingStep::Store => {
                    store_calls += 1;
                    source.record_store_failure(live, random.random(), now_ms);
                }
            }
        }
        assert!(
            longest_gap_ms <= 300,
            "{live} live routers: no holder asked for {longest_gap_ms} ms"
        );
        assert!(
            last_peer_ms >= 2_700,
            "{live} live routers: given up at {last_peer_ms} ms"
        );
        assert!(
            (2..=7).contains(&store_calls),
            "{live} live routers: {store_calls} store calls in 3 s"
        );
        assert!(
            peer_calls <= 80,
            "{live} live routers: {peer_calls} calls to holders in 3 s"
        );
    }
}

fn view(need: ListingNeed, now_ms: u64) -> ListingView<'static> {
    ListingView {
        need,
        is_watcher: false,
        is_discovered: true,
        holders: &[],
        live: 294,
        is_connected: true,
        draw: 0.5,
        now_ms,
    }
}

#[test]
fn an_isolated_router_asks_the_store_at_once_and_rarely_afterwards() {
    let mut source = ListingSource::default();
    let isolated = |now_ms| ListingView {
        is_connected: false,
        live: 0,
        ..view(ListingNeed::Proof, now_ms)
    };
    assert_eq!(source.step(&isolated(0)), ListingStep::Store);
    source.record_store_failure(0, 0.5, 10);
    let step = source.step(&isolated(20));
    assert!(matches!(step, ListingStep::Wait { until_ms } if until_ms >= 500));
    assert_eq!(source.step(&isolated(2_000)), ListingStep::Store);
}

#[test]
fn without_proofs_a_large_fleet_probes_the_store_a_few_times_per_second() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut sources = vec![ListingSource::default(); 294];
    let mut probes = 0;
    for now_ms in (0..10_000).step_by(STEP_MS as usize) {
        for source in &mut sources {
            let step = source.step(&ListingView {
                draw: random.random(),
                ..view(ListingNeed::Proof, now_ms)
            });
            if step == ListingStep::Store {
                probes += 1;
                source.record_store_failure(294, random.random(), now_ms);
            }
        }
    }
    assert!((40..=120).contains(&probes), "{probes} probes in 10 s");
}

/// Guards against hundreds of routers that start at once and ask the store for proofs while it
/// still has to write their rows.
#[test]
fn a_router_waits_for_the_list_of_routers_before_it_asks_for_a_proof() {
    for is_watcher in [true, false] {
        let mut source = ListingSource::default();
        let starting = |now_ms| ListingView {
            is_watcher,
            is_discovered: false,
            is_connected: false,
            live: 0,
            ..view(ListingNeed::Proof, now_ms)
        };
        for now_ms in (0..1_500).step_by(STEP_MS as usize) {
            let step = source.step(&starting(now_ms));
            assert!(
                matches!(step, ListingStep::Wait { until_ms } if until_ms > now_ms),
                "{now_ms} ms: {step:?}"
            );
        }
        // The row is still missing: only a probe shows whether the store answers at all.
        assert_eq!(source.step(&starting(1_500)), ListingStep::Store);
    }
    let mut source = ListingSource::default();
    let discovered = ListingView {
        is_watcher: true,
        ..view(ListingNeed::Proof, 100)
    };
    assert_eq!(source.step(&discovered), ListingStep::Store);
}
