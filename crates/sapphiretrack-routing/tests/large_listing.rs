//! Load pattern: thousands of backend servers, so that a whole listing fills a link for a tenth of a
//! second, read by hundreds of routers that start together or miss a change.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::{
    ChangeLog, ChangesAssembly, ChangesFragment, Holder, ListingNeed, ListingReader,
    ListingReaders, ListingSource, ListingStep, ListingView, ServerChange, ServerChanges,
};

const ROUND_MS: u64 = 10;
/// How long one transfer of a whole listing takes; a router serves one at a time.
const LISTING_MS: u64 = 100;
/// The same of a change of 1,400 routes, some 30 kB, over a link of 10 Mbit/s.
const CHANGE_MS: u64 = 25;
/// How long a refusal takes, and a call to the store.
const CALL_MS: u64 = 10;
const WATCHERS: usize = 2;
/// Readers that a busy router names.
const NAMED: usize = 16;

fn holder(index: usize) -> Holder {
    Holder {
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        is_near: true,
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
    known: Vec<usize>,
    call: Option<(u64, Call)>,
    has_listing: bool,
    busy_until_ms: u64,
    /// Routers that read from it, the latest one last.
    readers: Vec<usize>,
}

/// Calls to the store, and when the last router had the listing, after the watchers had it.
fn play(routers: usize, transfer_ms: u64, seed: u64) -> (usize, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = vec![Router::default(); routers];
    for (index, router) in fleet.iter_mut().enumerate() {
        router.known = (0..WATCHERS).collect();
        router.has_listing = index < WATCHERS;
    }
    let (mut store_calls, mut last_ms) = (0, 0);
    for now_ms in (0..20_000).step_by(ROUND_MS as usize) {
        for index in 0..routers {
            if let Some((until_ms, call)) = fleet[index].call {
                if now_ms < until_ms {
                    continue;
                }
                fleet[index].call = None;
                if let Call::Refusal { by } = call {
                    let named: Vec<usize> = fleet[by]
                        .readers
                        .iter()
                        .rev()
                        .take(NAMED)
                        .copied()
                        .collect();
                    let named = named.into_iter().filter(|one| *one != index);
                    let router = &mut fleet[index];
                    router.known.extend(named);
                    router.known.sort_unstable();
                    router.known.dedup();
                    router.source.note_peer_busy(random.random(), now_ms);
                } else {
                    fleet[index].has_listing = true;
                    last_ms = now_ms;
                }
            }
            if fleet[index].has_listing {
                continue;
            }
            let holders: Vec<Holder> = fleet[index].known.iter().copied().map(holder).collect();
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
                    let known = fleet[index].known.iter();
                    let by = *known
                        .clone()
                        .find(|one| holder(**one) == peer)
                        .expect("it is known");
                    // A reader is named from the start of its transfer, and may not have it yet.
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
    (store_calls, last_ms)
}

#[test]
fn a_listing_that_one_router_serves_to_one_other_at_a_time_spreads_without_the_store() {
    for routers in [9, 89, 295, 1_000] {
        for seed in 0..5 {
            let (store_calls, last_ms) = play(routers, LISTING_MS, seed);
            assert!(
                store_calls <= routers / 20,
                "{routers} routers, seed {seed}: {store_calls} calls"
            );
            assert!(
                last_ms <= 3_000,
                "{routers} routers, seed {seed}: {last_ms} ms"
            );
        }
    }
}

/// Guards against a change of many routes that comes into force too late in a large fleet.
#[test]
fn a_change_of_many_routes_reaches_a_thousand_routers_within_two_seconds() {
    for routers in [9, 89, 295, 1_000] {
        for seed in 0..5 {
            let (store_calls, last_ms) = play(routers, CHANGE_MS, seed);
            assert_eq!(store_calls, 0, "{routers} routers, seed {seed}");
            assert!(
                last_ms <= 2_000,
                "{routers} routers, seed {seed}: {last_ms} ms"
            );
        }
    }
}

fn gone(number: u64) -> ServerChange {
    ServerChange::Gone {
        id: format!("server-{number}"),
    }
}

fn batch(after: u64, version: u64, count: u64) -> ServerChanges {
    ServerChanges {
        after,
        version,
        changes: (0..count).map(|one| gone(version * 1_000 + one)).collect(),
    }
}

#[test]
fn a_router_that_missed_a_change_reads_the_changes_since_and_no_more() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(0), None);
    log.note(batch(10, 12, 2));
    log.note(batch(12, 20, 1));
    // The second of two watchers tells of what the first one told in part.
    log.note(batch(18, 30, 3));
    assert_eq!(log.since(9), None, "older changes are not there");
    let all = log.since(10).expect("they are there");
    assert_eq!((all.after, all.version, all.changes.len()), (10, 30, 6));
    assert_eq!(log.since(15).map(|later| later.changes.len()), Some(4));
    assert_eq!(log.since(20), Some(batch(18, 30, 3)));
    assert_eq!(log.since(30), None);
    log.note(batch(40, 41, 1));
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
        log.note(batch(version - 1, version, count));
    }
    assert_eq!(log.since(15), None);
    let kept = log.since(16).expect("the latest are kept");
    assert_eq!(kept.changes.len(), ChangeLog::MAX_CHANGES);
    log.note(batch(20, 21, ChangeLog::MAX_CHANGES as u64 + 1));
    assert_eq!(log.since(20), None, "a batch above the bound is not kept");
}

proptest! {
    #[test]
    fn fragments_make_the_same_changes_in_any_order_with_repeats(
        count in 1..400_u64,
        max_bytes in 40..2_000_usize,
        seed in any::<u64>(),
    ) {
        let whole = batch(5, 9, count);
        let size = |change: &ServerChange| match change {
            ServerChange::Gone { id } => id.len(),
            _ => 100,
        };
        let fragments = ChangesFragment::split(whole.clone(), max_bytes, size);
        prop_assert!(fragments.len() <= ChangesFragment::MAX_COUNT);
        for fragment in &fragments {
            let bytes: usize = fragment.changes.changes.iter().map(size).sum();
            prop_assert!(bytes <= max_bytes);
        }
        if fragments.is_empty() {
            return Ok(());
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Another watcher's fragments come in between, and some come twice.
        let other = ChangesFragment::split(batch(4, 9, count), max_bytes, size);
        let mut all: Vec<ChangesFragment> = [&fragments[..], &fragments[..], &other[..]].concat();
        for index in (1..all.len()).rev() {
            all.swap(index, random.random_range(0..=index));
        }
        let mut assembly = ChangesAssembly::default();
        let made: Vec<ServerChanges> =
            all.into_iter().filter_map(|fragment| assembly.add(fragment)).collect();
        prop_assert!(made.contains(&whole));
        prop_assert!(made.iter().all(|one| *one == whole || one.after == 4));
    }

    #[test]
    fn a_lost_fragment_leaves_nothing_and_memory_is_bounded(count in 2..200_u64) {
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
        assembly.forget_until(count);
        let debug = format!("{assembly:?}");
        prop_assert!(!debug.contains("count: 3"));
    }
}

#[test]
fn fragments_that_do_not_fit_each_other_are_dropped() {
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
    assert_eq!(assembly.add(fragment(1, 3)), None, "another count");
    assert!(assembly.add(fragment(1, 2)).is_some());
}

#[test]
fn a_busy_router_names_the_latest_readers_of_the_same_zone_and_else_any() {
    let reader = |number: u8, zone: &str| ListingReader {
        zone: zone.to_owned(),
        address: ([10, 0, 0, number], 80).into(),
    };
    let mut readers = ListingReaders::default();
    assert!(readers.name_to(&reader(1, "a")).is_empty());
    readers.note(reader(1, "a"));
    readers.note(reader(2, "b"));
    readers.note(reader(3, "a"));
    readers.note(reader(1, "a"));
    assert_eq!(
        readers.name_to(&reader(9, "a")),
        [reader(1, "a").address, reader(3, "a").address]
    );
    assert_eq!(readers.name_to(&reader(2, "b")).len(), 2, "not itself");
    assert_eq!(readers.name_to(&reader(9, "c")).len(), 3);
    for number in 0..200 {
        readers.note(reader(number, "c"));
    }
    let named = readers.name_to(&reader(9, "c"));
    assert_eq!(named.len(), ListingReaders::MAX_NAMED);
    assert_eq!(named[0], reader(199, "c").address);
}
