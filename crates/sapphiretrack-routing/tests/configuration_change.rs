//! Configuration changes reproduce the target configuration and are no larger than what changed.

use std::ops::RangeInclusive;

use proptest::prelude::*;
use sapphiretrack_routing::{
    ClientLimits, Configuration, ConfigurationChange, ConfigurationLog, RequestKind, Route,
    Service, Target, Tenant,
};

/// A configuration described by a few small numbers, so that two random ones overlap.
#[derive(Clone, Debug)]
struct ConfigurationSpec {
    /// Host, prefix, and a number that selects the other settings.
    routes: Vec<(u8, u8, u8)>,
    /// Name and slots.
    services: Vec<(u8, u8)>,
    /// Tenant and key.
    keys: Vec<(u8, u8)>,
    body_bytes: usize,
}

fn route(host: u8, prefix: u8, variant: u8) -> Route {
    Route {
        name: format!("r-{host}-{prefix}"),
        host: format!("host-{host}.example"),
        prefix: format!("/{prefix}/"),
        kind: match variant % 3 {
            0 => RequestKind::Idempotent,
            1 => RequestKind::NonIdempotent,
            _ => RequestKind::Stream { resumable: true },
        },
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: variant,
        targets: vec![Target {
            service: format!("service-{}", variant % 2),
            weight: 1,
        }],
        max_attempts: 2,
        anonymous: variant.is_multiple_of(2),
        allowed_regions: match variant % 4 {
            0 => Vec::new(),
            region => vec![format!("region-{region}")],
        },
    }
}

impl ConfigurationSpec {
    fn configuration(&self, version: u64) -> Configuration {
        let routes = self.routes.iter();
        let routes = routes.map(|(host, prefix, variant)| route(*host, *prefix, *variant));
        let services = self.services.iter().map(|(name, slots)| Service {
            name: format!("service-{name}"),
            slots: u32::from(*slots),
            cold_start_ms: u64::from(*slots) * 100,
            cold_requests_per_s: f64::from(*slots) / 4.0,
            ..Service::default()
        });
        let mut built = Configuration::new(version, routes.collect(), services.collect());
        built.limits = ClientLimits {
            body_bytes: self.body_bytes,
            ..ClientLimits::default()
        };
        for (tenant, key) in &self.keys {
            let tenant = Tenant {
                name: format!("tenant-{tenant}"),
                priority: tenant.is_multiple_of(2).then_some(*tenant),
                allowed_regions: (0..tenant % 3)
                    .map(|region| format!("region-{region}"))
                    .collect(),
            };
            built.add_tenant(tenant, [format!("key-{key}")]);
        }
        built
    }
}

prop_compose! {
    fn spec()(
        routes in prop::collection::vec((0_u8..3, 0_u8..8, 0_u8..4), 0..20),
        services in prop::collection::vec((0_u8..3, 0_u8..3), 0..4),
        keys in prop::collection::vec((0_u8..4, 0_u8..8), 0..8),
        body_bytes in 1_usize..3,
    ) -> ConfigurationSpec {
        ConfigurationSpec { routes, services, keys, body_bytes }
    }
}

/// Encodes and decodes a change, as when it is sent between routers.
fn round_trip(change: &ConfigurationChange) -> ConfigurationChange {
    let bytes = bincode::serialize(change).expect("the change can be encoded");
    bincode::deserialize(&bytes).expect("the change can be decoded")
}

proptest! {
    #[test]
    fn a_change_turns_any_configuration_into_any_other(before in spec(), after in spec()) {
        let (before, after) = (before.configuration(3), after.configuration(9));
        let change = round_trip(&ConfigurationChange::between(&before, &after));
        prop_assert_eq!(change.apply(&before), Some(after.clone()));
        prop_assert_eq!(change.apply(&after), None, "it starts from another version");
        let from_empty = ConfigurationChange::between(&Configuration::default(), &after);
        prop_assert_eq!(round_trip(&from_empty).apply(&Configuration::default()), Some(after));
    }

    #[test]
    fn the_log_updates_each_version_that_it_covers_to_the_latest(
        specs in prop::collection::vec(spec(), 2..8),
        gap_at in 0_usize..8,
    ) {
        let versions = specs.iter().zip(1..).map(|(spec, number)| spec.configuration(number * 5));
        let versions: Vec<Configuration> = versions.collect();
        let mut log = ConfigurationLog::default();
        for (index, pair) in versions.windows(2).enumerate() {
            // No changes lead from a version before the gap to one after it.
            if index != gap_at {
                log.record(ConfigurationChange::between(&pair[0], &pair[1]));
            }
        }
        let pairs = versions.len() - 1;
        let covered = match gap_at {
            gap if gap >= pairs => 0..=pairs,
            gap if gap + 1 < pairs => gap + 1..=pairs,
            0 => RangeInclusive::new(1, 0),
            gap => 0..=gap,
        };
        for (index, version) in versions.iter().enumerate() {
            let changes = log.since(version.version);
            prop_assert_eq!(changes.is_some(), covered.contains(&index));
            let mut built = version.clone();
            for change in changes.into_iter().flatten() {
                built = change.apply(&built).expect("the changes apply in order");
            }
            if covered.contains(&index) {
                prop_assert_eq!(&built, &versions[*covered.end()]);
            }
        }
    }
}

/// Guards against small changes that are encoded as the whole configuration.
#[test]
fn a_change_is_as_large_as_its_entries_and_a_route_takes_few_bytes() {
    let routes = |count: u16| (0..count).map(|number| route(number as u8 / 128, 0, 0));
    let with_routes = |version: u64, count: u16| {
        let routes = routes(count).zip(0..).map(|(route, number)| Route {
            name: format!("r-{number:07}"),
            prefix: format!("/p{number:07}/"),
            ..route
        });
        Configuration::new(version, routes.collect(), Vec::new())
    };
    let (before, after) = (with_routes(1, 4_000), with_routes(2, 4_001));
    let size = |change: &ConfigurationChange| bincode::serialized_size(change).expect("encoded");
    let from_empty = ConfigurationChange::between(&Configuration::default(), &before);
    assert_eq!(from_empty.entries(), 4_000);
    assert!(
        size(&from_empty) <= 4_000 * 40,
        "{} bytes",
        size(&from_empty)
    );
    let one_more = ConfigurationChange::between(&before, &after);
    assert_eq!(one_more.entries(), 1);
    assert!(size(&one_more) <= 400, "{} bytes", size(&one_more));
    let unchanged = ConfigurationChange::between(&before, &with_routes(2, 4_000));
    assert_eq!(unchanged.entries(), 0);
    assert!(size(&unchanged) <= 200, "{} bytes", size(&unchanged));
}

#[test]
fn the_log_of_changes_is_bounded() {
    let with_routes = |version: u64| {
        let routes = (0..2_000_u64).map(|number| Route {
            prefix: format!("/{number}/"),
            timeout_ms: version,
            ..route(0, 0, 0)
        });
        Configuration::new(version, routes.collect(), Vec::new())
    };
    let mut log = ConfigurationLog::default();
    for version in 1..20 {
        log.record(ConfigurationChange::between(
            &with_routes(version),
            &with_routes(version + 1),
        ));
    }
    let kept = log.since(16).expect("the latest changes are kept");
    let entries: usize = kept.iter().map(|change| change.entries()).sum();
    assert!(entries <= ConfigurationLog::MAX_ENTRIES);
    assert!(log.since(15).is_none());
    assert!(log.since(20).is_some_and(|changes| changes.is_empty()));
    for version in 20..2_000 {
        let empty = |version| Configuration::new(version, Vec::new(), Vec::new());
        log.record(ConfigurationChange::between(
            &empty(version),
            &empty(version + 1),
        ));
    }
    let all = (0..2_000).filter_map(|version| log.since(version));
    let longest = all.map(|changes| changes.len()).max();
    assert_eq!(longest, Some(ConfigurationLog::MAX_CHANGES));
}
