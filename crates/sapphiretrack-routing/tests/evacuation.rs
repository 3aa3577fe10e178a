//! Evacuated availability zones: orders, withdrawals and whole listings of them.

use proptest::prelude::*;
use sapphiretrack_routing::{EvacuatedZones, EvacuationChanges, EvacuationOrder};

fn order(zone: &str, version: u64) -> EvacuationOrder {
    EvacuationOrder {
        zone: zone.to_owned(),
        version,
        is_withdrawn: false,
    }
}

fn withdrawal(zone: &str, version: u64) -> EvacuationOrder {
    EvacuationOrder {
        is_withdrawn: true,
        ..order(zone, version)
    }
}

#[test]
fn an_order_holds_until_it_is_withdrawn() {
    let mut zones = EvacuatedZones::default();
    zones.apply(&order("z1", 4));
    zones.apply(&order("z2", 5));
    assert!(zones.contains("z1") && zones.contains("z2") && !zones.contains("z3"));
    zones.apply(&withdrawal("z1", 6));
    zones.apply(&withdrawal("unknown", 7));
    assert!(!zones.contains("z1") && zones.contains("z2"));
    zones.apply(&withdrawal("z2", 8));
    assert!(zones.is_empty());
}

#[test]
fn an_order_that_is_withdrawn_and_given_again_holds() {
    let before = EvacuatedZones::from_listing(&[order("z1", 4)]);
    let mut after = before.clone();
    after.apply(&withdrawal("z1", 5));
    after.apply(&order("z1", 6));
    assert!(after.contains("z1"));
    let expected = EvacuationChanges {
        begun: vec![("z1".to_owned(), 6)],
        ended: Vec::new(),
    };
    assert_eq!(before.changes_to(&after), expected);
}

/// Guards against orders that stay in force because their withdrawal was in a part of the history that the
/// store no longer has.
#[test]
fn a_whole_listing_ends_the_orders_that_it_omits() {
    let before = EvacuatedZones::from_listing(&[order("z1", 4), order("z2", 5)]);
    let after = EvacuatedZones::from_listing(&[order("z2", 5), order("z3", 9)]);
    let expected = EvacuationChanges {
        begun: vec![("z3".to_owned(), 9)],
        ended: vec!["z1".to_owned()],
    };
    assert_eq!(before.changes_to(&after), expected);
}

proptest! {
    #[test]
    fn a_router_that_reads_the_orders_of_another_one_has_the_same(
        changes in proptest::collection::vec((0_u8..4, any::<bool>()), 0..20),
    ) {
        let mut zones = EvacuatedZones::default();
        for (version, (zone, is_withdrawn)) in (1..).zip(changes) {
            let zone = format!("z{zone}");
            zones.apply(&EvacuationOrder { zone, version, is_withdrawn });
        }
        let copy = EvacuatedZones::from_listing(&zones.orders());
        prop_assert_eq!(copy.changes_to(&zones), EvacuationChanges::default());
        prop_assert_eq!(copy, zones);
    }
}
