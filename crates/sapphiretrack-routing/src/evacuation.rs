//! Availability zones that operators evacuate: their backend servers get no requests until the order
//! is withdrawn.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An order to evacuate an availability zone, or its withdrawal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationOrder {
    /// The availability zone. No server may be listed there.
    pub zone: String,
    /// Version of the store at the last change of the order.
    pub version: u64,
    /// Whether the order was withdrawn.
    pub is_withdrawn: bool,
}

/// The evacuated availability zones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuatedZones {
    /// Version of the order by zone.
    orders: BTreeMap<String, u64>,
}

/// The zones whose evacuation began, was ordered again, or ended between two states.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChanges {
    /// Zones with a new order, and its version.
    pub begun: Vec<(String, u64)>,
    /// Zones without an order.
    pub ended: Vec<String>,
}

impl EvacuatedZones {
    /// Creates the state that a whole listing of the orders describes.
    pub fn from_listing<'a, Orders>(orders: Orders) -> Self
    where
        Orders: IntoIterator<Item = &'a EvacuationOrder>,
    {
        let mut zones = Self::default();
        orders.into_iter().for_each(|order| zones.apply(order));
        zones
    }

    /// Applies an order or a withdrawal. The caller applies them in the order of their versions.
    pub fn apply(&mut self, order: &EvacuationOrder) {
        match order.is_withdrawn {
            true => self.orders.remove(&order.zone),
            false => self.orders.insert(order.zone.clone(), order.version),
        };
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.orders.contains_key(zone)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Returns the orders in force, for other routers.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
        let orders = self.orders.iter().map(|(zone, version)| EvacuationOrder {
            zone: zone.clone(),
            version: *version,
            is_withdrawn: false,
        });
        orders.collect()
    }

    /// Returns what changed between this state and a newer one.
    pub fn changes_to(&self, newer: &Self) -> EvacuationChanges {
        let begun = newer.orders.iter();
        let begun = begun.filter(|(zone, version)| self.orders.get(*zone) != Some(version));
        let ended = self.orders.keys().filter(|zone| !newer.contains(zone));
        EvacuationChanges {
            begun: begun
                .map(|(zone, version)| (zone.clone(), *version))
                .collect(),
            ended: ended.cloned().collect(),
        }
    }
}
