//! Finding routes, dividing traffic, and holders of keys.

use std::time::Duration;

use bendhinge_ids::PoolName;
use bendhinge_routes::{
    Customer, CustomerTable, Regions, Route, RouteKind, RouteTable, Split, SplitPart, host_without_port,
};

fn pool(name: &str) -> PoolName {
    name.parse().unwrap()
}

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(2),
        target: Duration::from_millis(300),
        target_gap: None,
        priority: 1,
        attempts: 2,
        is_open: false,
        regions: Regions::default(),
        split: Split::whole(pool("pool")),
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new([
        route("all", "a.example", "/"),
        route("short", "a.example", "/chat/"),
        route("long", "a.example", "/chat/turns/"),
        route("other", "b.example", "/chat/"),
    ]);
    let cases = [
        ("a.example", "/chat/turns/1", Some("long")),
        ("a.example", "/chat/turns", Some("short")),
        ("a.example", "/chat", Some("all")),
        ("A.Example:8080", "/chat/x", Some("short")),
        ("b.example", "/chat/turns/1", Some("other")),
        ("b.example", "/", None),
        ("c.example", "/chat/", None),
        ("", "/chat/", None),
    ];
    for (host, path, expected) in cases {
        assert_eq!(found(&table, host, path).as_deref(), expected, "{host} {path}");
    }
}

#[test]
fn a_port_is_no_part_of_the_host() {
    for (host, name) in [("a:80", "a"), ("a", "a"), ("a:", "a"), ("a:b", "a:b")] {
        assert_eq!(host_without_port(host), name);
    }
}

#[test]
fn traffic_is_divided_by_weight() {
    let parts = [("old", 3.0), ("none", 0.0), ("new", 1.0)];
    let parts = parts.map(|(name, weight)| SplitPart { pool: pool(name), weight });
    let split = Split::new(parts.to_vec());
    let points = 0..1_000;
    let to_new = points.filter(|point| split.pool_at(f64::from(*point) / 1_000.0) == Some(&pool("new")));
    assert_eq!(to_new.count(), 250);
    assert_eq!(split.pool_at(0.999_999_999), Some(&pool("new")));
    assert_eq!(Split::new(Vec::new()).pool_at(0.5), None);
}

#[test]
fn every_key_of_a_customer_finds_it_and_no_other_does() {
    let customer =
        |name: &str| Customer { name: name.parse().unwrap(), priority: None, regions: Regions::default() };
    let table = CustomerTable::new([
        (customer("one"), vec!["k1".to_owned(), "k2".to_owned()]),
        (customer("two"), vec!["k3".to_owned()]),
    ]);
    let holder = |key: &str| table.holder(key).map(|customer| customer.name.to_string());
    assert_eq!(holder("k2").as_deref(), Some("one"));
    assert_eq!(holder("k3").as_deref(), Some("two"));
    assert_eq!(holder("k4"), None);
    assert_eq!(holder(""), None);
}

#[test]
fn a_customer_without_keys_still_closes_routes() {
    let customer = Customer { name: "one".parse().unwrap(), priority: None, regions: Regions::default() };
    assert!(CustomerTable::new([(customer, Vec::new())]).is_in_use());
    assert!(!CustomerTable::default().is_in_use());
}

#[test]
fn regions_that_are_named_allow_only_upstreams_that_are_known_to_be_there() {
    let (north, south) = ("north".parse().unwrap(), "south".parse().unwrap());
    let home = Regions::new(vec![north]);
    assert!(home.allow(Some(&"north".parse().unwrap())));
    assert!(!home.allow(Some(&south)));
    assert!(!home.allow(None));
    assert!(Regions::default().allow(Some(&south)) && Regions::default().allow(None));
}
