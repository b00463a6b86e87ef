//! Tests of route lookup, pool weights, API keys and region restrictions.

use std::time::Duration;

use bendhinge_ids::PoolName;
use bendhinge_routes::{
    Customer, CustomerTable, PoolWeights, RegionFilter, Route, RouteKind, RouteTable, WeightedPool,
    host_without_port,
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
        target_latency: Duration::from_millis(300),
        target_gap: None,
        priority: 1,
        max_attempts: 2,
        allow_anonymous: false,
        regions: RegionFilter::default(),
        split: PoolWeights::single(pool("pool")),
    }
}

fn find_name(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
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
        assert_eq!(find_name(&table, host, path).as_deref(), expected, "{host} {path}");
    }
}

#[test]
fn port_is_stripped_from_host() {
    for (host, name) in [("a:80", "a"), ("a", "a"), ("a:", "a"), ("a:b", "a:b")] {
        assert_eq!(host_without_port(host), name);
    }
}

#[test]
fn traffic_is_split_by_weight() {
    let pools = [("old", 3.0), ("none", 0.0), ("new", 1.0)];
    let pools = pools.map(|(name, weight)| WeightedPool { pool: pool(name), weight });
    let split = PoolWeights::new(pools.to_vec());
    let steps = 0..1_000;
    let to_new = steps.filter(|step| split.pool_at(f64::from(*step) / 1_000.0) == Some(&pool("new")));
    assert_eq!(to_new.count(), 250);
    assert_eq!(split.pool_at(0.999_999_999), Some(&pool("new")));
    assert_eq!(PoolWeights::new(Vec::new()).pool_at(0.5), None);
}

#[test]
fn each_key_finds_only_its_customer() {
    let customer = |name: &str| Customer {
        name: name.parse().unwrap(),
        priority: None,
        regions: RegionFilter::default(),
    };
    let table = CustomerTable::new([
        (customer("one"), vec!["k1".to_owned(), "k2".to_owned()]),
        (customer("two"), vec!["k3".to_owned()]),
    ]);
    let owner = |key: &str| table.find_by_key(key).map(|customer| customer.name.to_string());
    assert_eq!(owner("k2").as_deref(), Some("one"));
    assert_eq!(owner("k3").as_deref(), Some("two"));
    assert_eq!(owner("k4"), None);
    assert_eq!(owner(""), None);
}

#[test]
fn customer_without_keys_still_requires_key() {
    let customer =
        Customer { name: "one".parse().unwrap(), priority: None, regions: RegionFilter::default() };
    assert!(CustomerTable::new([(customer, Vec::new())]).requires_key());
    assert!(!CustomerTable::default().requires_key());
}

#[test]
fn region_list_allows_only_upstreams_in_listed_regions() {
    let (north, south) = ("north".parse().unwrap(), "south".parse().unwrap());
    let allowed = RegionFilter::new(vec![north]);
    assert!(allowed.allows(Some(&"north".parse().unwrap())));
    assert!(!allowed.allows(Some(&south)));
    assert!(!allowed.allows(None));
    assert!(RegionFilter::default().allows(Some(&south)) && RegionFilter::default().allows(None));
}
