//! Decides which services have too few slots for routers to use them each on its own.

use std::collections::BTreeSet;

/// The services whose slots a scheduler assigns.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ScheduledServices {
    names: BTreeSet<String>,
}

impl ScheduledServices {
    /// How far the slots must exceed the limit before a service is no longer scheduled, as a multiple
    /// of the limit. A service whose slots just equal the number of routers would change with every
    /// router that starts or ends.
    const KEEP_FACTOR: f64 = 1.25;

    /// Applies the number of slots of each service that may be scheduled. Services with fewer slots
    /// than `routers` times `factor` are scheduled; a factor of 0 disables scheduling. Returns
    /// whether anything changed.
    pub fn update<'a, Services>(&mut self, services: Services, routers: usize, factor: f64) -> bool
    where
        Services: IntoIterator<Item = (&'a str, u32)>,
    {
        let limit = routers as f64 * factor;
        let services = services.into_iter();
        let scheduled = services.filter(|(name, slots)| {
            let limit = match self.names.contains(*name) {
                true => limit * Self::KEEP_FACTOR,
                false => limit,
            };
            f64::from(*slots) < limit
        });
        let names = scheduled.map(|(name, _)| name.to_owned()).collect();
        let has_changed = names != self.names;
        self.names = names;
        has_changed
    }

    /// Returns whether a service is scheduled.
    pub fn contains(&self, service: &str) -> bool {
        !self.names.is_empty() && self.names.contains(service)
    }
}
