//! Broadcasts reach every router and send few messages between availability zones.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use sapphiretrack_routing::{BroadcastPlan, Recipient};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into()
}

fn fleet(routers: usize, zones: usize) -> Vec<Recipient<'static>> {
    let recipients = (0..routers).map(|index| Recipient {
        address: address(index),
        zone: Some(ZONES[index % zones]),
        is_live: true,
    });
    recipients.collect()
}

/// The routers that receive a broadcast, directly or from a relay in their availability zone.
fn receivers(fleet: &[Recipient<'_>], plan: &BroadcastPlan) -> BTreeSet<SocketAddr> {
    let mut reached: BTreeSet<SocketAddr> = plan.direct.iter().copied().collect();
    for relay in &plan.relays {
        let zone = fleet.iter().find(|recipient| recipient.address == *relay);
        let zone = zone.and_then(|recipient| recipient.zone);
        let members = fleet.iter().filter(|recipient| recipient.zone == zone);
        reached.extend(members.map(|recipient| recipient.address));
    }
    reached
}

proptest! {
    #[test]
    fn a_broadcast_reaches_every_router_in_a_fleet_of_any_size(
        routers in 1_usize..1_000,
        zones in 1_usize..6,
        turn in any::<usize>(),
        copies in 1_usize..4,
        dead in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
        unknown_zone in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut fleet = fleet(routers, zones);
        for index in dead {
            fleet[index.index(routers)].is_live = false;
        }
        for index in unknown_zone {
            let recipient = &mut fleet[index.index(routers)];
            (recipient.zone, recipient.is_live) = (None, false);
        }
        let plan = BroadcastPlan::new("a", fleet.iter().copied(), turn % 10_000, copies);
        prop_assert_eq!(receivers(&fleet, &plan).len(), routers);
        let is_live = |relay: &SocketAddr| {
            fleet.iter().any(|recipient| recipient.address == *relay && recipient.is_live)
        };
        prop_assert!(plan.relays.iter().all(is_live), "a dead relay drops it for its zone");
        let distinct: BTreeSet<_> = plan.relays.iter().collect();
        prop_assert_eq!(distinct.len(), plan.relays.len());
    }
}

#[test]
fn few_messages_cross_between_zones_of_a_large_fleet() {
    let fleet = fleet(295, 5);
    let plan = BroadcastPlan::new("a", fleet.iter().copied(), 0, 1);
    assert_eq!(plan.relays.len(), 4);
    assert_eq!(plan.direct.len(), 59, "only the sender's zone");
}

#[test]
fn relays_rotate_so_that_a_lost_one_drops_only_single_messages() {
    let fleet = fleet(295, 5);
    let plans = (0..59).map(|turn| BroadcastPlan::new("a", fleet.iter().copied(), turn, 1));
    let relays: BTreeSet<_> = plans.flat_map(|plan| plan.relays).collect();
    assert_eq!(relays.len(), 4 * 59);
}

#[test]
fn a_zone_without_a_live_router_receives_direct_messages() {
    let mut fleet = fleet(15, 5);
    for recipient in fleet
        .iter_mut()
        .filter(|recipient| recipient.zone == Some("b"))
    {
        recipient.is_live = false;
    }
    let plan = BroadcastPlan::new("a", fleet.iter().copied(), 0, 1);
    assert_eq!(plan.relays.len(), 3);
    assert_eq!(plan.direct.len(), 6);
}
