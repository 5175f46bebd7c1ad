//! Tests of routes, keys and weighted targets.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{CallKind, Catalog, Denial, Target, Team};
use smallvec::smallvec;
use support::{limits, route, service};

fn team(name: &str) -> Team {
    Team {
        name: name.into(),
        priority: Some(2),
    }
}

fn catalog() -> Catalog {
    let mut open = route("open", "/open/", "engines");
    open.public = true;
    let routes = vec![
        route("short", "/a/", "engines"),
        route("long", "/a/b/", "engines"),
        open,
    ];
    let teams = vec![(team("bench"), vec!["key-1".to_owned(), "key-2".to_owned()])];
    Catalog::new(7, routes, vec![service()], Some(teams), limits())
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
    // Guards against a call that gets the limits and services of a more general route.
    let catalog = catalog();
    assert_eq!(
        &*catalog.route("shop.example", "/a/b/c").unwrap().name,
        "long"
    );
    assert_eq!(
        &*catalog.route("shop.example", "/a/x").unwrap().name,
        "short"
    );
    assert_eq!(
        catalog.route("shop.example", "/b/").unwrap_err(),
        Denial::NoRoute
    );
    assert_eq!(
        catalog.route("other.example", "/a/").unwrap_err(),
        Denial::NoRoute
    );
    assert_eq!(
        catalog.route("shop.example", "/a").unwrap_err(),
        Denial::NoRoute
    );
}

#[test]
fn key_identifies_the_team_unless_the_route_is_public() {
    // Guards against calls without a valid key on closed routes, and against a refusal on
    // public ones.
    let catalog = catalog();
    let closed = catalog.route("shop.example", "/a/x").unwrap();
    let open = catalog.route("shop.example", "/open/").unwrap();
    assert_eq!(
        &*catalog.team(closed, Some("key-2")).unwrap().unwrap().name,
        "bench"
    );
    assert_eq!(
        catalog.team(closed, Some("key-3")).unwrap_err(),
        Denial::UnknownKey
    );
    assert_eq!(catalog.team(closed, None).unwrap_err(), Denial::UnknownKey);
    assert_eq!(catalog.team(open, None).unwrap(), None);
}

#[test]
fn weights_divide_the_calls_among_targets() {
    // Guards against a service that gets more or less than its weight, and against calls to
    // one whose weight is 0.
    let mut split = route("split", "/s/", "old");
    split.targets = smallvec![
        Target {
            service: "old".into(),
            weight: 90,
        },
        Target {
            service: "new".into(),
            weight: 10,
        },
        Target {
            service: "never".into(),
            weight: 0,
        },
    ];
    let new = (0..1_000).filter(|i| {
        let draw = f64::from(*i) / 1_000.0;
        &**split.pick_service(draw).unwrap() == "new"
    });
    assert_eq!(new.count(), 100);
    assert_eq!(&**split.pick_service(1.0).unwrap(), "new");
}

#[test]
fn only_objectives_without_time_for_a_repeat_make_a_service_latency_critical() {
    // Guards against a deployment that is balanced and planned by rules which its
    // configuration doesn't call for, and against one that is left out.
    let stream = |name: &str, objective| {
        let mut route = route(name, "/s/", "engines");
        route.kind = CallKind::Stream;
        route.objective = Duration::from_millis(objective);
        route
    };
    let catalog = |routes| Catalog::new(1, routes, vec![service()], None, limits());
    // Two passes of five steps of 8 ms, and 200 ms.
    assert!(catalog(vec![stream("chat", 279)]).is_latency_critical("engines"));
    assert!(catalog(vec![stream("chat", 279)]).has_latency_critical());
    assert!(!catalog(vec![stream("chat", 280)]).is_latency_critical("engines"));
    assert!(!catalog(vec![stream("chat", 280)]).has_latency_critical());
    let mut plain = stream("lookup", 100);
    plain.kind = CallKind::Safe;
    assert!(!catalog(vec![plain]).is_latency_critical("engines"));
    assert!(!catalog(vec![stream("chat", 100)]).is_latency_critical("other"));
}
