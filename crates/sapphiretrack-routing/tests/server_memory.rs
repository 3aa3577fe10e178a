//! Estimates of the prefixes that engines hold whose memory is too small for all that is sent to
//! them.

mod prompts;

use std::collections::HashMap;

use prompts::{request_with_prefixes, request_with_private_tokens};
use sapphiretrack_routing::{Incarnation, PrefixIndex, PromptPrefix, WarmSettings};

const ENGINE: Incarnation = Incarnation(3);
const MEMORY_TOKENS: u64 = 100_000;

fn prefix(id: u64) -> PromptPrefix {
    PromptPrefix { id, tokens: 10_000 }
}

/// An index with one engine, which has a memory of [`MEMORY_TOKENS`].
fn index_with(settings: WarmSettings) -> PrefixIndex {
    let mut index = PrefixIndex::default();
    index.set_settings(settings);
    index.set_capacities(HashMap::from([(ENGINE, MEMORY_TOKENS)]), 0);
    index
}

/// The prefixes of a range that the engine is expected to hold.
fn held(index: &PrefixIndex, prefixes: std::ops::Range<u64>, now_ms: u64) -> Vec<u64> {
    let is_held = |id: &u64| index.cached_tokens(ENGINE, &[prefix(*id)], now_ms) > 0;
    prefixes.filter(is_held).collect()
}

/// Guards against counting prefixes as held that were evicted: three times as many are in rotation
/// as fit into the memory.
#[test]
fn only_the_most_recently_used_prefixes_count_as_held() {
    let mut index = index_with(WarmSettings::default());
    for id in 0..30 {
        index.record_sent(
            ENGINE,
            &request_with_prefixes(&[prefix(id)]),
            10_000 + id * 300,
        );
    }
    let now_ms = 10_000 + 30 * 300;
    let now_held = held(&index, 0..30, now_ms);
    assert!(
        now_held.len() <= 10,
        "{now_held:?} do not fit into the memory"
    );
    assert!(now_held.len() >= 8, "{now_held:?} leave memory unused");
    assert_eq!(now_held.last(), Some(&29));
    let mut unbounded = index_with(WarmSettings {
        memory_part: 1_000.0,
        ..WarmSettings::default()
    });
    for id in 0..30 {
        unbounded.record_sent(
            ENGINE,
            &request_with_prefixes(&[prefix(id)]),
            10_000 + id * 300,
        );
    }
    assert_eq!(
        held(&unbounded, 0..30, now_ms).len(),
        30,
        "all prefixes count without the bound"
    );
}

/// One prefix is in steady use beside prompts that no other request shares.
#[test]
fn private_prompts_evict_prefixes_that_are_not_used() {
    let mut index = index_with(WarmSettings::default());
    index.record_sent(ENGINE, &request_with_prefixes(&[prefix(1)]), 10_000);
    index.record_sent(ENGINE, &request_with_prefixes(&[prefix(2)]), 10_000);
    for step in 0..40 {
        let now_ms = 10_300 + step * 300;
        index.record_sent(
            ENGINE,
            &request_with_private_tokens(&[prefix(2)], 5_000),
            now_ms,
        );
    }
    assert_eq!(held(&index, 1..3, 22_300), [2]);
}

#[test]
fn other_routers_have_the_same_estimate() {
    let mut index_a = index_with(WarmSettings::default());
    let mut index_b = index_with(WarmSettings::default());
    for id in 0..30 {
        let now_ms = 10_000 + id * 300;
        index_a.record_sent(
            ENGINE,
            &request_with_private_tokens(&[prefix(id)], 2_000),
            now_ms,
        );
        index_b.record_advertised(&index_a.take_pending(), now_ms);
    }
    let now_ms = 10_000 + 30 * 300;
    assert_eq!(held(&index_a, 0..30, now_ms), held(&index_b, 0..30, now_ms));
    assert!(held(&index_a, 0..30, now_ms).len() <= 8);
}

#[test]
fn a_changed_memory_size_takes_effect_at_once() {
    let mut index = index_with(WarmSettings::default());
    for id in 0..9 {
        index.record_sent(
            ENGINE,
            &request_with_prefixes(&[prefix(id)]),
            10_000 + id * 300,
        );
    }
    assert_eq!(held(&index, 0..9, 13_000).len(), 9);
    index.set_capacities(HashMap::from([(ENGINE, MEMORY_TOKENS / 2)]), 13_000);
    assert!(held(&index, 0..9, 13_000).len() <= 5);
}

/// After a pause longer than all recorded time slices, the old slices do not count.
#[test]
fn after_a_long_pause_only_new_prefixes_count() {
    let mut index = index_with(WarmSettings::default());
    for id in 0..30 {
        index.record_sent(ENGINE, &request_with_prefixes(&[prefix(id)]), id * 300);
    }
    index.record_sent(ENGINE, &request_with_prefixes(&[prefix(100)]), 1_000_000);
    assert_eq!(held(&index, 0..101, 1_000_000), [100]);
}

/// Guards against a heartbeat that exceeds one datagram after a burst to many servers.
#[test]
fn the_prefixes_in_a_heartbeat_are_bounded() {
    let mut index = PrefixIndex::default();
    for id in 0..1_000 {
        let request = request_with_private_tokens(&[prefix(id)], 100);
        index.record_sent(Incarnation(id), &request, 10_000);
        index.record_sent(Incarnation(id), &request, 10_000);
    }
    let pending = index.take_pending();
    assert!(
        pending.prefixes.len() <= 64,
        "{} prefixes",
        pending.prefixes.len()
    );
    assert!(
        pending.private.len() <= 64,
        "{} servers",
        pending.private.len()
    );
    assert_eq!(
        (pending.private[0].tokens, pending.private[0].requests),
        (200, 2)
    );
}

/// Guards against state that grows while servers are replaced one after the other all day.
#[test]
fn removed_servers_are_dropped_after_a_delay() {
    let mut index = index_with(WarmSettings::default());
    index.record_sent(ENGINE, &request_with_prefixes(&[prefix(1)]), 10_000);
    index.set_capacities(HashMap::new(), 12_000);
    assert_eq!(held(&index, 1..2, 12_000), [1], "its entry may come back");
    index.set_capacities(HashMap::new(), 50_000);
    index.set_capacities(HashMap::from([(ENGINE, MEMORY_TOKENS)]), 50_000);
    assert_eq!(index.newest(10, 12_000), [], "no prefix of it is kept");
}
