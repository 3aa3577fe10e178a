//! Route lookup, caller keys and weighted targets.

use sapphiretrack_routing::{
    Configuration, RequestKind, Route, RouteError, Service, Target, Tenant,
};

fn route(name: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        targets: vec![
            Target {
                service: "one".to_owned(),
                weight: 90,
            },
            Target {
                service: "two".to_owned(),
                weight: 10,
            },
            Target {
                service: "off".to_owned(),
                weight: 0,
            },
        ],
        max_attempts: 2,
        anonymous,
        allowed_regions: Vec::new(),
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("root", "/", false),
        route("a", "/a/", false),
        route("ab", "/a/b/", false),
        route("open", "/open/", true),
    ];
    Configuration::new(3, routes, vec![Service::default()])
}

#[test]
fn the_longest_prefix_wins() {
    let configuration = configuration();
    let name = |host: &str, path: &str| {
        configuration
            .route(host, path)
            .map(|route| route.name.as_str())
    };
    assert_eq!(name("a.example", "/a/b/c"), Some("ab"));
    assert_eq!(name("a.example", "/a/b/"), Some("ab"));
    assert_eq!(name("a.example", "/a/b"), Some("a"));
    assert_eq!(name("a.example", "/a"), Some("root"));
    assert_eq!(name("a.example", "/x/y/z"), Some("root"));
    assert_eq!(name("A.Example:8080", "/a/x"), Some("a"));
    assert_eq!(name("b.example", "/a/x"), None);
    assert_eq!(name("a.example", ""), None);
    assert_eq!(name("a.example", "*"), None);
}

#[test]
fn only_known_keys_are_accepted_on_routes_that_need_one() {
    let mut configuration = configuration();
    let routes = configuration.clone();
    let protected = routes.route("a.example", "/a/").expect("the route exists");
    let open = routes
        .route("a.example", "/open/")
        .expect("the route exists");
    assert!(
        configuration
            .tenant(protected, None)
            .expect("no keys are configured")
            .is_none()
    );
    assert!(!configuration.needs_key(protected));
    let tenant = Tenant {
        name: "t".to_owned(),
        priority: Some(0),
        allowed_regions: Vec::new(),
    };
    configuration.add_tenant(tenant, ["k1".to_owned(), "k2".to_owned()]);
    assert!(configuration.needs_key(protected));
    assert!(!configuration.needs_key(open));
    for key in [None, Some(""), Some("k3"), Some("K1")] {
        let result = configuration
            .tenant(protected, key)
            .map(|found| found.is_some());
        assert_eq!(result, Err(RouteError::UnknownKey), "{key:?}");
        assert!(
            configuration
                .tenant(open, key)
                .expect("the route is open")
                .is_none()
        );
    }
    let known = configuration
        .tenant(protected, Some("k2"))
        .expect("the key is known");
    assert_eq!(known.expect("the key belongs to a tenant").name, "t");
}

#[test]
fn requests_split_by_weight() {
    let route = route("a", "/", false);
    let mut to_one = 0;
    for step in 0..1_000 {
        match route.pick_target(f64::from(step) / 1_000.0) {
            Some("one") => to_one += 1,
            Some("two") => {}
            other => panic!("unexpected target {other:?}"),
        }
    }
    assert!(
        (890..=910).contains(&to_one),
        "{to_one} of 1,000 requests at a weight of 90 in 100"
    );
    assert_eq!(route.pick_target(1.0), Some("two"));
}
