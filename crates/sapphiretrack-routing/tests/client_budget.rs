//! The budget of memory for clients: who gets room, who is refused and who gives way.

use proptest::prelude::*;
use sapphiretrack_routing::{ClientBudget, MachineLimits, UploadGrant};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// A budget in which stalled uploads hold `count` times `bytes`, which arrived at 0 ms.
fn stalled(limit: usize, count: usize, bytes: usize) -> (ClientBudget, Vec<u64>) {
    let mut budget = ClientBudget::new(limit);
    let ids: Vec<u64> = (0..count).map(|_| budget.begin_upload(0)).collect();
    for id in &ids {
        assert_eq!(budget.grow_upload(*id, bytes, 0, 0), UploadGrant::Granted);
        budget.record_upload(*id, bytes, 0);
    }
    (budget, ids)
}

#[test]
fn large_uploads_leave_room_for_small_ones() {
    let mut budget = ClientBudget::new(16 * MIB);
    let mut granted = 0;
    loop {
        let id = budget.begin_upload(0);
        match budget.grow_upload(id, 4 * MIB, 0, 0) {
            UploadGrant::Granted => granted += 1,
            refused => {
                assert_eq!(refused, UploadGrant::Refused);
                budget.drop_upload(id);
                break;
            }
        }
    }
    assert_eq!(granted, 3);
    for _ in 0..50 {
        let id = budget.begin_upload(0);
        assert_eq!(budget.grow_upload(id, 20 * KIB, 0, 0), UploadGrant::Granted);
    }
}

#[test]
fn uploads_give_way_only_while_others_need_room_and_only_if_they_hardly_move() {
    let (mut budget, ids) = stalled(16 * MIB, 3, 4 * MIB);
    let new = budget.begin_upload(5_000);
    // There is room for a small one: nobody gives way.
    assert_eq!(budget.grow_upload(new, MIB, 0, 5_000), UploadGrant::Granted);
    assert!(ids.iter().all(|id| !budget.is_reclaimed(*id)));
    // One of them moves on, the others do not.
    budget.record_upload(ids[1], 512 * KIB, 5_000);
    let UploadGrant::Awaited(chosen) = budget.grow_upload(new, 3 * MIB, 0, 5_500) else {
        panic!("stalled uploads give way");
    };
    assert!(!chosen.contains(&ids[1]) && !chosen.is_empty());
    // Asking again chooses no further ones while those have not ended.
    assert_eq!(
        budget.grow_upload(new, 3 * MIB, 0, 5_500),
        UploadGrant::Awaited(Vec::new())
    );
    for id in chosen {
        assert_eq!(budget.grow_upload(id, 1, 0, 5_500), UploadGrant::Refused);
        budget.drop_upload(id);
    }
    assert_eq!(
        budget.grow_upload(new, 3 * MIB, 0, 5_500),
        UploadGrant::Granted
    );
}

#[test]
fn new_uploads_and_those_that_move_are_not_reclaimed() {
    let (mut budget, ids) = stalled(16 * MIB, 3, 4 * MIB);
    let new = budget.begin_upload(500);
    assert_eq!(
        budget.grow_upload(new, 4 * MIB, 0, 500),
        UploadGrant::Refused
    );
    assert!(!budget.may_fit(4 * MIB, 0, 500));
    for now_ms in [1_000, 2_000, 3_000] {
        for id in &ids {
            budget.record_upload(*id, 256 * KIB, now_ms);
        }
        assert_eq!(
            budget.grow_upload(new, 4 * MIB, 0, now_ms),
            UploadGrant::Refused
        );
    }
    assert!(budget.may_fit(4 * MIB, 0, 6_000));
}

#[test]
fn the_one_that_holds_most_for_what_it_moves_gives_way_first() {
    let mut budget = ClientBudget::new(16 * MIB);
    let [small, large] = [MIB, 6 * MIB].map(|bytes| {
        let id = budget.begin_upload(0);
        assert_eq!(budget.grow_upload(id, bytes, 0, 0), UploadGrant::Granted);
        id
    });
    let new = budget.begin_upload(9_000);
    let grant = budget.grow_upload(new, 5 * MIB, 0, 9_000);
    assert_eq!(grant, UploadGrant::Awaited(vec![large]));
    assert!(!budget.is_reclaimed(small));
}

#[test]
fn stalled_uploads_give_way_to_a_request() {
    let (mut budget, ids) = stalled(16 * MIB, 7, 2 * MIB);
    let granted = budget.hold_request(2 * MIB, 0, 0);
    assert_eq!(granted, UploadGrant::Granted);
    assert_eq!(budget.used_bytes(), 16 * MIB);
    // Nobody has stalled yet, and other bytes are never given back.
    assert_eq!(budget.hold_request(1, 0, 500), UploadGrant::Refused);
    assert_eq!(
        budget.hold_request(1, 14 * MIB, 5_000),
        UploadGrant::Refused
    );
    let UploadGrant::Awaited(chosen) = budget.hold_request(MIB, 0, 5_000) else {
        panic!("stalled uploads give way");
    };
    assert!(chosen.len() == 1 && ids.contains(&chosen[0]));
    budget.drop_upload(chosen[0]);
    assert_eq!(budget.hold_request(MIB, 0, 5_000), UploadGrant::Granted);
    assert_eq!(budget.used_bytes(), 15 * MIB);
}

#[test]
fn answers_that_are_not_taken_leave_less_room() {
    let mut budget = ClientBudget::new(16 * MIB);
    assert!(budget.try_hold(MIB, 15 * MIB));
    assert!(!budget.try_hold(1, 15 * MIB));
    let id = budget.begin_upload(0);
    assert_eq!(
        budget.grow_upload(id, MIB, 14 * MIB, 0),
        UploadGrant::Refused
    );
}

#[test]
fn the_machine_decides_on_memory_and_connections() {
    let connection_bytes = 56 * KIB;
    let usual = MachineLimits::default();
    assert_eq!(usual.client_bytes(), 130_000_000);
    assert_eq!(usual.max_connections(connection_bytes), 1_133);
    let few_descriptors = MachineLimits {
        max_descriptors: 400,
        ..usual
    };
    assert_eq!(few_descriptors.max_connections(connection_bytes), 100);
    let nothing = MachineLimits {
        memory_mb: 0,
        max_descriptors: 0,
    };
    assert_eq!(nothing.max_connections(connection_bytes), 1);
}

proptest! {
    /// Whatever uploads do, they hold no more than the limit, and nothing once they have ended.
    #[test]
    fn uploads_stay_within_the_limit(steps in prop::collection::vec((0..20_u64, 0..MIB, 0..4_u8), 0..400)) {
        let limit = 4 * MIB;
        let mut budget = ClientBudget::new(limit);
        let (mut open, mut running) = (Vec::new(), Vec::new());
        for (number, (choice, bytes, step)) in steps.into_iter().enumerate() {
            let now_ms = number as u64 * 50;
            let chosen = (!open.is_empty()).then(|| choice as usize % open.len());
            match (step, chosen) {
                (0, _) => open.push(budget.begin_upload(now_ms)),
                (1, Some(index)) => {
                    budget.grow_upload(open[index], bytes, 0, now_ms);
                    budget.record_upload(open[index], bytes / 2, now_ms);
                }
                (2, Some(index)) => running.push(budget.finish_upload(open.swap_remove(index))),
                (3, Some(index)) => {
                    budget.drop_upload(open.swap_remove(index));
                }
                _ => {}
            }
            prop_assert!(budget.used_bytes() <= limit);
        }
        for id in open {
            budget.drop_upload(id);
        }
        for bytes in running {
            budget.release(bytes);
        }
        prop_assert_eq!(budget.used_bytes(), 0);
    }

    /// Whatever stalled uploads hold, they give way to a request that fits without them.
    #[test]
    fn a_request_gets_room_from_stalled_uploads(
        sizes in prop::collection::vec(1..MIB, 0..40),
        connections in 0..2 * MIB,
        bytes in 1..2 * MIB,
    ) {
        let limit = 4 * MIB;
        let mut budget = ClientBudget::new(limit);
        budget.hold(connections);
        for size in sizes {
            let id = budget.begin_upload(0);
            if budget.grow_upload(id, size, 0, 0) != UploadGrant::Granted {
                budget.drop_upload(id);
            }
        }
        if let UploadGrant::Awaited(chosen) = budget.hold_request(bytes, 0, 5_000) {
            for id in chosen {
                budget.drop_upload(id);
            }
            prop_assert_eq!(budget.hold_request(bytes, 0, 5_000), UploadGrant::Granted);
        }
        prop_assert!((connections + bytes..=limit).contains(&budget.used_bytes()));
    }
}
