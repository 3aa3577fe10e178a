//! Keeps track of the availability zones that operators evacuate.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use sapphiretrack_routing::{EvacuatedZones, EvacuationOrder};

use crate::events::{Event, note};
use crate::ports::Record;
use crate::shared::Shared;

/// The evacuated availability zones; only the watch on the configuration changes them.
#[derive(Debug, Default)]
pub(crate) struct Evacuations(ArcSwap<EvacuatedZones>);

impl Evacuations {
    /// The zones evacuated now.
    pub(crate) fn zones(&self) -> Guard<Arc<EvacuatedZones>> {
        self.0.load()
    }
}

/// Applies the evacuation orders among the records of a listing, or of changes to it. Returns
/// whether an evacuation ended. The servers of its zone then count as cold.
pub(crate) fn apply_evacuations(
    shared: &Shared,
    records: &[Record],
    is_whole_listing: bool,
    source: &str,
) -> bool {
    let orders = records.iter().filter_map(|record| match record {
        Record::Evacuation(order) => Some(order),
        _ => None,
    });
    let orders: Vec<&EvacuationOrder> = orders.collect();
    if orders.is_empty() && !is_whole_listing {
        return false;
    }
    let current = shared.evacuations.zones();
    let newest = match is_whole_listing {
        true => EvacuatedZones::from_listing(orders),
        false => {
            let mut zones = EvacuatedZones::clone(&current);
            orders.into_iter().for_each(|order| zones.apply(order));
            zones
        }
    };
    let changes = current.changes_to(&newest);
    shared.evacuations.0.store(Arc::new(newest));
    let age_ms = shared.configuration_age_ms().unwrap_or(0);
    for (zone, version) in &changes.begun {
        note!(
            Event::EVACUATION_BEGUN,
            zone = zone,
            version = version,
            source = source,
            proof_age_ms = age_ms,
        );
    }
    for zone in &changes.ended {
        let servers = shared.cold_servers.record_zone_return(shared, zone);
        note!(
            Event::EVACUATION_ENDED,
            zone = zone,
            servers = servers,
            source = source,
            proof_age_ms = age_ms,
        );
    }
    !changes.ended.is_empty()
}
