//! The freshness of a listing that routers derive from each other's adverts never exceeds what the
//! store's answers show.

use proptest::prelude::*;
use sapphiretrack_routing::{ListingAdvert, WatchAnswer, WatchState};

/// A simulated store that records the time of each version.
#[derive(Default)]
struct Store {
    /// Version, time, and whether a record was removed.
    changes: Vec<(u64, u64, bool)>,
}

impl Store {
    fn version(&self) -> u64 {
        self.changes.last().map_or(1, |(version, ..)| *version)
    }

    fn answer(&self, state: &WatchState, local_ms: u64, store_ms: u64) -> WatchAnswer {
        let after = state.version().unwrap_or(0);
        let is_whole = state.version().is_none();
        let mut changes = self.changes.iter().rev();
        let changed =
            changes.find(|(version, _, removed)| *version > after && !(is_whole && *removed));
        WatchAnswer {
            may_hide_removals: is_whole,
            sent_ms: local_ms - 2,
            received_ms: local_ms + 2,
            version: self.version(),
            changed_version: changed.map(|(version, ..)| *version),
            store_now_ms: store_ms,
        }
    }
}

proptest! {
    /// Routers ask the store or receive adverts of others. Their clocks differ, and adverts arrive
    /// late and in any order. A router that reports an age must have all changes up to that moment.
    #[test]
    fn the_age_of_a_listing_covers_all_missing_changes(
        steps in prop::collection::vec((0_u8..6, 0_usize..3, 1_u64..400, 0_usize..8), 1..200),
    ) {
        let offsets = [5_000_u64, 900_000, 70_000];
        let mut store = Store::default();
        let mut routers = [WatchState::default(), WatchState::default(), WatchState::default()];
        let mut adverts = Vec::new();
        let mut store_ms = 10_000;
        for (step, router, pause_ms, selector) in steps {
            store_ms += pause_ms;
            let local_ms = store_ms + offsets[router];
            match step {
                0 => store.changes.push((store.version() + 3, store_ms, selector % 2 == 0)),
                1 => {
                    let answer = store.answer(&routers[router], local_ms, store_ms);
                    routers[router].record_answer(&answer);
                }
                2 | 3 => adverts.push(routers[router].advert()),
                _ if adverts.is_empty() => {}
                _ => {
                    let advert = adverts[selector % adverts.len()];
                    routers[router].record_advert(&advert, local_ms);
                }
            }
            for (state, offset) in routers.iter().zip(offsets) {
                let Some(age_ms) = state.age_ms(store_ms + offset) else {
                    continue;
                };
                // The clock offset errs by at most the network time of a call, and only towards a
                // larger age.
                let proven_ms = store_ms - age_ms;
                let known = state.version().unwrap_or(0);
                let missed = store.changes.iter().find(|(version, ..)| *version > known);
                if let Some((version, changed_ms, _)) = missed {
                    prop_assert!(
                        *changed_ms >= proven_ms,
                        "proven up to {proven_ms} ms, misses version {version} of {changed_ms} ms"
                    );
                }
            }
        }
    }
}

#[test]
fn only_a_router_that_lacks_a_change_has_to_read_it() {
    let mut watcher = WatchState::default();
    let mut other = WatchState::default();
    let answer = WatchAnswer {
        may_hide_removals: false,
        sent_ms: 100,
        received_ms: 104,
        version: 10,
        changed_version: Some(7),
        store_now_ms: 1_000,
    };
    watcher.record_answer(&answer);
    other.record_answer(&answer);
    watcher.record_answer(&WatchAnswer {
        may_hide_removals: false,
        sent_ms: 110,
        received_ms: 1_114,
        version: 12,
        changed_version: None,
        store_now_ms: 2_010,
    });
    assert!(!other.record_advert(&watcher.advert(), 1_120));
    assert!(other.age_ms(1_120).expect("known") < 20);
    watcher.record_answer(&WatchAnswer {
        may_hide_removals: false,
        sent_ms: 1_120,
        received_ms: 1_500,
        version: 13,
        changed_version: Some(13),
        store_now_ms: 2_400,
    });
    assert!(other.record_advert(&watcher.advert(), 1_510));
    assert!(other.is_behind());
    assert!(
        other.age_ms(1_510).expect("known") > 380,
        "the old proof stays and no newer one counts"
    );
}

#[test]
fn repeated_adverts_do_not_change_the_time_of_a_recovery() {
    let mut watcher = WatchState::default();
    let mut follower = WatchState::default();
    for state in [&mut watcher, &mut follower] {
        state.record_clock(1_000, 1_004, 51_002);
        assert_eq!(state.recovered_ms(), None);
    }
    watcher.record_recovery(52_002);
    // They keep advertising it to each other, also long afterwards.
    for local_ms in (2_000..9_000).step_by(250) {
        let (one, other) = (watcher.advert(), follower.advert());
        follower.record_advert(&one, local_ms);
        watcher.record_advert(&other, local_ms);
        assert_eq!(follower.recovered_ms(), Some(2_000));
        assert_eq!(watcher.recovered_ms(), Some(2_000));
    }
}

#[test]
fn changes_follow_the_last_one_though_other_listings_raised_the_store_version() {
    let answer = |version, changed_version| WatchAnswer {
        may_hide_removals: false,
        sent_ms: 100,
        received_ms: 104,
        version,
        changed_version,
        store_now_ms: 1_000,
    };
    let mut watcher = WatchState::default();
    let mut follower = WatchState::default();
    watcher.record_answer(&answer(10, Some(10)));
    follower.record_answer(&answer(10, Some(10)));
    // Rows of other tables raise the store's version; the watcher's empty answer shows it.
    watcher.record_answer(&answer(40, None));
    let after = watcher.changed_version();
    watcher.record_answer(&answer(41, Some(41)));
    assert!(follower.record_advert(&watcher.advert(), 200));
    assert!(
        follower.record_changes(after, 41, 1_000),
        "nothing is missing"
    );
    assert!(!follower.is_behind());
}

#[test]
fn a_listing_of_another_router_carries_the_proof_of_that_router() {
    let mut holder = WatchState::default();
    holder.record_answer(&WatchAnswer {
        may_hide_removals: true,
        sent_ms: 100,
        received_ms: 104,
        version: 10,
        changed_version: None,
        store_now_ms: 50_102,
    });
    let mut starting = WatchState::default();
    assert!(
        starting.record_advert(&holder.advert(), 900),
        "the starting router lacks the listing"
    );
    starting.record_clock(850, 854, 50_852);
    assert!(starting.record_snapshot(10, &holder.advert(), 1_000));
    let age_ms = starting.age_ms(1_000).expect("proven");
    assert!(
        (896..=902).contains(&age_ms),
        "the age of the holder's call: {age_ms} ms"
    );
    assert!(
        !starting.record_snapshot(9, &holder.advert(), 1_000),
        "the listing is older"
    );
    assert!(!starting.is_behind());
    // The listing may arrive before the store's clock is known.
    let mut early = WatchState::default();
    assert!(early.record_snapshot(10, &holder.advert(), 1_000));
    assert_eq!(early.age_ms(1_000), None);
    early.record_clock(1_010, 1_014, 51_012);
    let age_ms = early.age_ms(1_014).expect("proven");
    assert!(
        (908..=916).contains(&age_ms),
        "the age of the holder's call: {age_ms} ms"
    );
}

#[test]
fn forwarded_changes_are_accepted_once_and_without_gaps() {
    let mut state = WatchState::default();
    assert!(
        !state.record_changes(0, 5, 1_000),
        "the listing itself is not known yet"
    );
    state.record_answer(&WatchAnswer {
        may_hide_removals: true,
        sent_ms: 0,
        received_ms: 4,
        version: 10,
        changed_version: None,
        store_now_ms: 100,
    });
    let advert = |changed_version| ListingAdvert {
        changed_version,
        ..ListingAdvert::default()
    };
    assert!(state.record_advert(&advert(12), 10));
    assert!(state.is_behind());
    assert!(
        !state.record_changes(11, 12, 1_000),
        "what came between 10 and 11 is missing"
    );
    assert!(state.is_behind());
    assert!(state.record_changes(9, 12, 1_000));
    assert!(!state.is_behind(), "there is no need to ask the store");
    assert!(
        !state.record_changes(9, 12, 1_000),
        "the same changes are accepted only once"
    );
    assert!(
        !state.record_changes(10, 11, 1_000),
        "older ones would undo newer ones"
    );
}

#[test]
fn a_failure_is_not_an_outage_while_other_routers_reach_the_store() {
    let answer = |sent_ms, store_now_ms| WatchAnswer {
        may_hide_removals: false,
        sent_ms,
        received_ms: sent_ms + 4,
        version: 10,
        changed_version: None,
        store_now_ms,
    };
    let mut with_peers = WatchState::default();
    with_peers.record_answer(&answer(1_000, 51_002));
    let mut without_peers = with_peers.clone();
    assert!(with_peers.record_failure(2_000));
    assert!(!with_peers.record_failure(3_000), "reported once");
    without_peers.record_failure(2_000);
    // Another router keeps reaching the store and advertises its proofs.
    for local_ms in (3_000..8_000).step_by(250) {
        let advert = ListingAdvert {
            changed_version: 10,
            proven_store_ms: Some(local_ms + 50_000 - 20),
            recovered_store_ms: None,
        };
        assert!(!with_peers.record_advert(&advert, local_ms));
    }
    let outage_ms = with_peers.record_answer(&answer(8_000, 58_002));
    assert_eq!(outage_ms, 0);
    assert!(without_peers.record_answer(&answer(8_000, 58_002)) > 5_900);
    assert_eq!(
        without_peers.record_answer(&answer(9_000, 59_002)),
        0,
        "the outage is over"
    );
}

/// A router that has version 10, proven by a call from 1,000 to 1,004 ms of local time, and an
/// advert of a newer version.
fn behind_router() -> (WatchState, ListingAdvert) {
    let mut state = WatchState::default();
    state.record_answer(&WatchAnswer {
        may_hide_removals: false,
        sent_ms: 1_000,
        received_ms: 1_004,
        version: 10,
        changed_version: Some(10),
        store_now_ms: 50_002,
    });
    let newer = ListingAdvert {
        changed_version: 13,
        proven_store_ms: Some(50_900),
        recovered_store_ms: None,
    };
    (state, newer)
}

/// Guards against decisions based on a version that is known to be outdated.
#[test]
fn an_outdated_version_is_used_only_within_the_bound() {
    let (mut state, newer) = behind_router();
    assert!(state.is_usable(9_000, 2_000), "nothing newer is known");
    state.record_advert(&newer, 1_600);
    let proven_ms = 1_600 - state.age_ms(1_600).expect("proven");
    assert!(state.is_usable(proven_ms + 1_999, 2_000));
    assert!(!state.is_usable(proven_ms + 2_000, 2_000));
    // Neither a further version nor its proof extends the time.
    let later = ListingAdvert {
        changed_version: 16,
        proven_store_ms: Some(51_700),
        ..newer
    };
    state.record_advert(&later, 2_700);
    assert!(!state.is_usable(proven_ms + 2_000, 2_000));
    // The first of the two versions is not the newest.
    state.record_snapshot(13, &newer, 3_000);
    assert!(state.is_behind());
    state.record_snapshot(16, &later, 3_100);
    assert!(state.is_usable(9_000, 2_000));
}

/// Guards against a whole fleet that refuses requests while it reads what changed in an outage of
/// the store.
#[test]
fn a_router_has_time_to_read_a_change_that_is_advertised_after_an_outage() {
    let (mut state, newer) = behind_router();
    state.record_advert(&newer, 9_000);
    assert!(state.age_ms(9_000).expect("proven") > 2_000);
    assert!(state.is_usable(9_400, 2_000));
    for now_ms in [9_100, 9_200, 9_400] {
        state.record_advert(&newer, now_ms);
    }
    assert!(
        !state.is_usable(9_500, 2_000),
        "repeated adverts do not extend the time"
    );
}

/// Guards against a router that no longer counts as behind after it cleared its version because the
/// store has lost the history of changes.
#[test]
fn a_router_that_cleared_its_version_still_counts_as_behind() {
    let (mut state, newer) = behind_router();
    state.clear_version();
    state.record_advert(&newer, 1_600);
    assert!(!state.is_usable(9_000, 2_000));
}
