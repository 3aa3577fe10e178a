//! Large listings: with thousands of backend servers a whole listing fills a link for 100 ms, and
//! hundreds of routers read it when they start together or miss a change.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::{
    ChangeLog, ChangesAssembly, ChangesFragment, Holder, ListingNeed, ListingReader,
    ListingReaders, ListingSource, ListingStep, ListingView, ServerChange, ServerChanges,
};

/// The length of one step of the simulation.
const STEP_MS: u64 = 10;
/// The transfer time of a whole listing; a router serves one reader at a time.
const LISTING_TRANSFER_MS: u64 = 100;
/// The transfer time of a change of 1,400 routes: about 30 kB over a link of 10 Mbit/s.
const CHANGE_TRANSFER_MS: u64 = 25;
/// The duration of a refusal by a busy router, and of a call to the store.
const CALL_MS: u64 = 10;
/// Routers that keep a watch open at the store and have the listing from the start.
const WATCHERS: usize = 2;
/// Readers that a busy router suggests instead of itself.
const SUGGESTED_READERS: usize = 16;

fn holder(index: usize) -> Holder {
    Holder {
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        is_same_zone: true,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Transfer,
    Refusal { by: usize },
    Store,
}

#[derive(Clone, Default)]
struct Router {
    source: ListingSource,
    /// Other routers that, by the adverts and suggestions that this one received, have the listing
    /// or are reading it.
    known_holders: Vec<usize>,
    /// When the current call ends, and its kind.
    call: Option<(u64, Call)>,
    has_listing: bool,
    busy_until_ms: u64,
    /// Routers that read from this one, the latest one last.
    readers: Vec<usize>,
}

/// The number of store calls, and the time in milliseconds until every router has the listing.
fn simulate(routers: usize, transfer_ms: u64, seed: u64) -> (usize, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = vec![Router::default(); routers];
    for (index, router) in fleet.iter_mut().enumerate() {
        router.known_holders = (0..WATCHERS).collect();
        router.has_listing = index < WATCHERS;
    }
    let (mut store_calls, mut completed_ms) = (0, 0);
    for now_ms in (0..20_000).step_by(STEP_MS as usize) {
        for index in 0..routers {
            if let Some((until_ms, call)) = fleet[index].call {
                if now_ms < until_ms {
                    continue;
                }
                fleet[index].call = None;
                if let Call::Refusal { by } = call {
                    let suggested: Vec<usize> = fleet[by]
                        .readers
                        .iter()
                        .rev()
                        .take(SUGGESTED_READERS)
                        .copied()
                        .collect();
                    let suggested = suggested.into_iter().filter(|one| *one != index);
                    let router = &mut fleet[index];
                    router.known_holders.extend(suggested);
                    router.known_holders.sort_unstable();
                    router.known_holders.dedup();
                    router.source.record_peer_busy(random.random(), now_ms);
                } else {
                    fleet[index].has_listing = true;
                    completed_ms = now_ms;
                }
            }
            if fleet[index].has_listing {
                continue;
            }
            let holders: Vec<Holder> = fleet[index]
                .known_holders
                .iter()
                .copied()
                .map(holder)
                .collect();
            let step = fleet[index].source.step(&ListingView {
                need: ListingNeed::Content,
                is_watcher: false,
                is_discovered: true,
                holders: &holders,
                live: routers - 1,
                is_connected: true,
                draw: random.random(),
                now_ms,
            });
            let call = match step {
                ListingStep::Wait { .. } => None,
                ListingStep::Store => {
                    store_calls += 1;
                    Some((now_ms + CALL_MS, Call::Store))
                }
                ListingStep::Peer(peer) => {
                    let known_holders = fleet[index].known_holders.iter();
                    let by = *known_holders
                        .clone()
                        .find(|one| holder(**one) == peer)
                        .expect("the router is known");
                    // A reader is suggested from the start of its transfer, so it may not have the
                    // listing yet.
                    if !fleet[by].has_listing || now_ms < fleet[by].busy_until_ms {
                        Some((now_ms + CALL_MS, Call::Refusal { by }))
                    } else {
                        fleet[by].busy_until_ms = now_ms + transfer_ms;
                        fleet[by].readers.push(index);
                        Some((now_ms + transfer_ms, Call::Transfer))
                    }
                }
            };
            fleet[index].call = call;
        }
    }
    assert!(fleet.iter().all(|router| router.has_listing));
    (store_calls, completed_ms)
}

#[test]
fn a_large_listing_spreads_between_routers_with_few_store_calls() {
    for routers in [9, 89, 295, 1_000] {
        for seed in 0..5 {
            let (store_calls, completed_ms) = simulate(routers, LISTING_TRANSFER_MS, seed);
            assert!(
                store_calls <= routers / 20,
                "{routers} routers, seed {seed}: {store_calls} calls"
            );
            assert!(
                completed_ms <= 3_000,
                "{routers} routers, seed {seed}: {completed_ms} ms"
            );
        }
    }
}

/// Guards against a change of many routes that takes effect too late in a large fleet.
#[test]
fn a_change_of_many_routes_reaches_a_thousand_routers_within_two_seconds() {
    for routers in [9, 89, 295, 1_000] {
        for seed in 0..5 {
            let (store_calls, completed_ms) = simulate(routers, CHANGE_TRANSFER_MS, seed);
            assert_eq!(store_calls, 0, "{routers} routers, seed {seed}");
            assert!(
                completed_ms <= 2_000,
                "{routers} routers, seed {seed}: {completed_ms} ms"
            );
        }
    }
}

fn removal(number: u64) -> ServerChange {
    ServerChange::Gone {
        id: format!("server-{number}"),
    }
}

fn batch(after: u64, version: u64, count: u64) -> ServerChanges {
    ServerChanges {
        after,
        version,
        changes: (0..count)
            .map(|index| removal(version * 1_000 + index))
            .collect(),
    }
}

#[test]
fn a_router_that_missed_changes_reads_only_those() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(0), None);
    log.record(batch(10, 12, 2));
    log.record(batch(12, 20, 1));
    // The changes of a second watcher overlap those of the first one.
    log.record(batch(18, 30, 3));
    assert_eq!(log.since(9), None, "older changes are not in the log");
    let all = log.since(10).expect("the changes are in the log");
    assert_eq!((all.after, all.version, all.changes.len()), (10, 30, 6));
    assert_eq!(log.since(15).map(|later| later.changes.len()), Some(4));
    assert_eq!(log.since(20), Some(batch(18, 30, 3)));
    assert_eq!(log.since(30), None);
    log.record(batch(40, 41, 1));
    assert_eq!(log.since(30), None, "changes between are missing");
    assert_eq!(log.since(40), Some(batch(40, 41, 1)));
    log.clear();
    assert_eq!(log.since(40), None);
}

#[test]
fn the_log_of_changes_is_bounded() {
    let mut log = ChangeLog::default();
    let count = ChangeLog::MAX_CHANGES as u64 / 4;
    for version in 1..=20 {
        log.record(batch(version - 1, version, count));
    }
    assert_eq!(log.since(15), None);
    let kept = log.since(16).expect("the latest changes are kept");
    assert_eq!(kept.changes.len(), ChangeLog::MAX_CHANGES);
    log.record(batch(20, 21, ChangeLog::MAX_CHANGES as u64 + 1));
    assert_eq!(log.since(20), None, "a batch above the bound is not kept");
}

proptest! {
    #[test]
    fn fragments_reassemble_in_any_order_and_with_duplicates(
        count in 1..400_u64,
        max_bytes in 40..2_000_usize,
        seed in any::<u64>(),
    ) {
        let original = batch(5, 9, count);
        let size = |change: &ServerChange| match change {
            ServerChange::Gone { id } => id.len(),
            _ => 100,
        };
        let fragments = ChangesFragment::split(original.clone(), max_bytes, size);
        prop_assert!(fragments.len() <= ChangesFragment::MAX_COUNT);
        for fragment in &fragments {
            let bytes: usize = fragment.changes.changes.iter().map(size).sum();
            prop_assert!(bytes <= max_bytes);
        }
        if fragments.is_empty() {
            return Ok(());
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Each fragment arrives twice, mixed with those of another watcher.
        let other = ChangesFragment::split(batch(4, 9, count), max_bytes, size);
        let mut all: Vec<ChangesFragment> = [&fragments[..], &fragments[..], &other[..]].concat();
        for index in (1..all.len()).rev() {
            all.swap(index, random.random_range(0..=index));
        }
        let mut assembly = ChangesAssembly::default();
        let assembled: Vec<ServerChanges> =
            all.into_iter().filter_map(|fragment| assembly.add(fragment)).collect();
        prop_assert!(assembled.contains(&original));
        prop_assert!(assembled.iter().all(|one| *one == original || one.after == 4));
    }

    #[test]
    fn a_batch_with_a_lost_fragment_yields_nothing_and_memory_is_bounded(count in 2..200_u64) {
        let size = |_: &ServerChange| 10;
        let mut assembly = ChangesAssembly::default();
        for version in 1..=count {
            let fragments = ChangesFragment::split(batch(version - 1, version, 3), 10, size);
            for fragment in fragments.into_iter().skip(1) {
                prop_assert_eq!(assembly.add(fragment), None);
            }
        }
        let debug = format!("{assembly:?}");
        prop_assert!(debug.matches("count: 3").count() <= 4);
        assembly.drop_until(count);
        let debug = format!("{assembly:?}");
        prop_assert!(!debug.contains("count: 3"));
    }
}

#[test]
fn inconsistent_fragments_are_dropped() {
    let mut assembly = ChangesAssembly::default();
    let fragment = |index, count| ChangesFragment {
        index,
        count,
        changes: batch(1, 2, 1),
    };
    assert_eq!(assembly.add(fragment(0, 0)), None);
    assert_eq!(assembly.add(fragment(3, 3)), None);
    assert_eq!(assembly.add(fragment(0, u16::MAX)), None);
    assert_eq!(assembly.add(fragment(0, 2)), None);
    assert_eq!(assembly.add(fragment(1, 3)), None, "the counts differ");
    assert!(assembly.add(fragment(1, 2)).is_some());
}

#[test]
fn a_busy_router_suggests_its_latest_readers_and_prefers_those_of_the_same_zone() {
    let reader = |number: u8, zone: &str| ListingReader {
        zone: zone.to_owned(),
        address: ([10, 0, 0, number], 80).into(),
    };
    let mut readers = ListingReaders::default();
    assert!(readers.suggest_to(&reader(1, "a")).is_empty());
    readers.record(reader(1, "a"));
    readers.record(reader(2, "b"));
    readers.record(reader(3, "a"));
    readers.record(reader(1, "a"));
    assert_eq!(
        readers.suggest_to(&reader(9, "a")),
        [reader(1, "a").address, reader(3, "a").address]
    );
    assert_eq!(
        readers.suggest_to(&reader(2, "b")).len(),
        2,
        "without the asking router"
    );
    assert_eq!(readers.suggest_to(&reader(9, "c")).len(), 3);
    for number in 0..200 {
        readers.record(reader(number, "c"));
    }
    let suggested = readers.suggest_to(&reader(9, "c"));
    assert_eq!(suggested.len(), ListingReaders::MAX_SUGGESTED);
    assert_eq!(suggested[0], reader(199, "c").address);
}
