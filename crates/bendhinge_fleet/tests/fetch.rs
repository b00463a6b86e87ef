//! Tests the choice of the peer to fetch from and the limit of one fetch in flight.

use std::net::SocketAddr;

use bendhinge_fleet::{FetchPlan, FetchSource, Revision, Version};

fn source(number: u8, revision: u64) -> FetchSource {
    let version = Version { revision: Revision(revision), digest: revision };
    FetchSource { address: SocketAddr::from(([10, 0, 0, number], 7_000)), version }
}

/// Returns whether a router that holds `revision` needs a version.
fn needs(revision: u64) -> impl Fn(Version) -> bool {
    move |version| version.revision > Revision(revision)
}

#[test]
fn only_one_fetch_is_in_flight() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(source(1, 5), needs(4)));
    assert_eq!(plan.next_source(needs(4)), Some(source(1, 5)));
    assert!(!plan.announce(source(2, 5), needs(4)));
    assert_eq!(plan.next_source(needs(5)), None, "the value has arrived");
    assert!(plan.announce(source(3, 6), needs(5)), "a newer version starts a new fetch");
}

#[test]
fn pending_source_is_used_after_a_failed_fetch() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(source(1, 5), needs(4)));
    assert_eq!(plan.next_source(needs(4)), Some(source(1, 5)));
    assert!(!plan.announce(source(2, 5), needs(4)));
    assert_eq!(plan.next_source(needs(4)), Some(source(2, 5)));
    assert_eq!(plan.next_source(needs(4)), None);
}

/// Guards against a pending source being replaced by a peer that holds nothing newer.
#[test]
fn pending_source_is_not_replaced_by_an_older_one() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(source(1, 5), needs(4)));
    assert_eq!(plan.next_source(needs(4)), Some(source(1, 5)));
    assert!(!plan.announce(source(2, 7), needs(4)));
    assert!(!plan.announce(source(3, 4), needs(4)), "the peer holds nothing newer");
    assert!(!plan.announce(source(4, 6), needs(4)), "the peer holds an older version");
    assert_eq!(plan.next_source(needs(5)), Some(source(2, 7)));
}

/// A later revision with equal content needs no fetch.
#[test]
fn source_with_equal_content_is_ignored() {
    let needs = |version: Version| version.revision > Revision(4) && version.digest != 9;
    let mut plan = FetchPlan::default();
    assert!(!plan.announce(source(1, 9), needs), "no fetch starts");
    assert!(plan.announce(source(2, 5), needs));
    assert_eq!(plan.next_source(needs), Some(source(2, 5)));
    assert!(!plan.announce(source(3, 7), needs));
    assert!(!plan.announce(source(4, 9), needs));
    assert_eq!(plan.next_source(needs), Some(source(3, 7)));
}

#[test]
fn cancelled_fetch_does_not_block_the_next() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(source(1, 5), needs(4)));
    assert_eq!(plan.next_source(needs(4)), Some(source(1, 5)));
    assert!(!plan.announce(source(2, 7), needs(4)));
    plan.cancel();
    assert!(plan.announce(source(3, 6), needs(4)));
    assert_eq!(plan.next_source(needs(4)), Some(source(3, 6)));
}
