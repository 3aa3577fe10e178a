//! Changes of the configuration lead to exactly what was changed, and cost no more than that.

use std::ops::RangeInclusive;

use proptest::prelude::*;
use sapphiretrack_routing::{
    ClientLimits, Configuration, ConfigurationChange, ConfigurationLog, RequestKind, Route,
    Service, Target, Tenant,
};

/// A configuration by few numbers, so that two of them share much.
#[derive(Clone, Debug)]
struct Plan {
    /// Host, prefix, terms.
    routes: Vec<(u8, u8, u8)>,
    services: Vec<(u8, u8)>,
    /// Tenant and key.
    keys: Vec<(u8, u8)>,
    body_bytes: usize,
}

fn route(host: u8, prefix: u8, terms: u8) -> Route {
    Route {
        name: format!("r-{host}-{prefix}"),
        host: format!("host-{host}.example"),
        prefix: format!("/{prefix}/"),
        kind: match terms % 3 {
            0 => RequestKind::Idempotent,
            1 => RequestKind::NonIdempotent,
            _ => RequestKind::Stream { resumable: true },
        },
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: terms,
        targets: vec![Target {
            service: format!("service-{}", terms % 2),
            weight: 1,
        }],
        max_attempts: 2,
        anonymous: terms.is_multiple_of(2),
    }
}

impl Plan {
    fn configuration(&self, version: u64) -> Configuration {
        let routes = self.routes.iter();
        let routes = routes.map(|(host, prefix, terms)| route(*host, *prefix, *terms));
        let services = self.services.iter().map(|(name, slots)| Service {
            name: format!("service-{name}"),
            slots: u32::from(*slots),
            ..Service::default()
        });
        let mut made = Configuration::new(version, routes.collect(), services.collect());
        made.limits = ClientLimits {
            body_bytes: self.body_bytes,
            ..ClientLimits::default()
        };
        for (tenant, key) in &self.keys {
            let tenant = Tenant {
                name: format!("tenant-{tenant}"),
                priority: tenant.is_multiple_of(2).then_some(*tenant),
            };
            made.add_tenant(tenant, [format!("key-{key}")]);
        }
        made
    }
}

prop_compose! {
    fn plan()(
        routes in prop::collection::vec((0_u8..3, 0_u8..8, 0_u8..4), 0..20),
        services in prop::collection::vec((0_u8..3, 0_u8..3), 0..4),
        keys in prop::collection::vec((0_u8..4, 0_u8..8), 0..8),
        body_bytes in 1_usize..3,
    ) -> Plan {
        Plan { routes, services, keys, body_bytes }
    }
}

fn sent(change: &ConfigurationChange) -> ConfigurationChange {
    let bytes = bincode::serialize(change).expect("encoded");
    bincode::deserialize(&bytes).expect("decoded")
}

proptest! {
    #[test]
    fn a_change_leads_from_any_configuration_to_any_other(before in plan(), after in plan()) {
        let (before, after) = (before.configuration(3), after.configuration(9));
        let change = sent(&ConfigurationChange::between(&before, &after));
        prop_assert_eq!(change.apply(&before), Some(after.clone()));
        prop_assert_eq!(change.apply(&after), None, "it leads from another version");
        let whole = ConfigurationChange::between(&Configuration::default(), &after);
        prop_assert_eq!(sent(&whole).apply(&Configuration::default()), Some(after));
    }

    #[test]
    fn the_log_leads_from_each_version_that_it_knows_to_the_last(
        plans in prop::collection::vec(plan(), 2..8),
        restarts_at in 0_usize..8,
    ) {
        let versions = plans.iter().zip(1..).map(|(plan, number)| plan.configuration(number * 5));
        let versions: Vec<Configuration> = versions.collect();
        let mut log = ConfigurationLog::default();
        for (index, pair) in versions.windows(2).enumerate() {
            // A gap leaves nothing that leads across it.
            if index != restarts_at {
                log.note(ConfigurationChange::between(&pair[0], &pair[1]));
            }
        }
        let pairs = versions.len() - 1;
        let known = match restarts_at {
            gap if gap >= pairs => 0..=pairs,
            gap if gap + 1 < pairs => gap + 1..=pairs,
            0 => RangeInclusive::new(1, 0),
            gap => 0..=gap,
        };
        for (index, version) in versions.iter().enumerate() {
            let changes = log.since(version.version);
            prop_assert_eq!(changes.is_some(), known.contains(&index));
            let mut made = version.clone();
            for change in changes.into_iter().flatten() {
                made = change.apply(&made).expect("in their order");
            }
            if known.contains(&index) {
                prop_assert_eq!(&made, &versions[*known.end()]);
            }
        }
    }
}

/// Guards against changes that cost the whole configuration.
#[test]
fn a_change_costs_what_it_changes_and_a_route_few_bytes() {
    let routes = |count: u16| (0..count).map(|number| route(number as u8 / 128, 0, 0));
    let many = |version: u64, count: u16| {
        let routes = routes(count).zip(0..).map(|(route, number)| Route {
            name: format!("r-{number:07}"),
            prefix: format!("/p{number:07}/"),
            ..route
        });
        Configuration::new(version, routes.collect(), Vec::new())
    };
    let (before, after) = (many(1, 4_000), many(2, 4_001));
    let size = |change: &ConfigurationChange| bincode::serialized_size(change).expect("encoded");
    let whole = ConfigurationChange::between(&Configuration::default(), &before);
    assert_eq!(whole.entries(), 4_000);
    assert!(size(&whole) <= 4_000 * 40, "{} bytes", size(&whole));
    let one_more = ConfigurationChange::between(&before, &after);
    assert_eq!(one_more.entries(), 1);
    assert!(size(&one_more) <= 400, "{} bytes", size(&one_more));
    let unchanged = ConfigurationChange::between(&before, &many(2, 4_000));
    assert_eq!(unchanged.entries(), 0);
    assert!(size(&unchanged) <= 200, "{} bytes", size(&unchanged));
}

#[test]
fn the_log_of_changes_is_bounded() {
    let many = |version: u64| {
        let routes = (0..2_000_u64).map(|number| Route {
            prefix: format!("/{number}/"),
            timeout_ms: version,
            ..route(0, 0, 0)
        });
        Configuration::new(version, routes.collect(), Vec::new())
    };
    let mut log = ConfigurationLog::default();
    for version in 1..20 {
        log.note(ConfigurationChange::between(
            &many(version),
            &many(version + 1),
        ));
    }
    let kept = log.since(16).expect("the latest are kept");
    let entries: usize = kept.iter().map(|change| change.entries()).sum();
    assert!(entries <= ConfigurationLog::MAX_ENTRIES);
    assert!(log.since(15).is_none());
    assert!(log.since(20).is_some_and(|changes| changes.is_empty()));
    for version in 20..2_000 {
        let empty = |version| Configuration::new(version, Vec::new(), Vec::new());
        log.note(ConfigurationChange::between(
            &empty(version),
            &empty(version + 1),
        ));
    }
    let all = (0..2_000).filter_map(|version| log.since(version));
    let longest = all.map(|changes| changes.len()).max();
    assert_eq!(longest, Some(ConfigurationLog::MAX_CHANGES));
}
