//! Who holds what is lacking is asked, one after the other, and nobody else.

use std::net::SocketAddr;

use bendhinge_fleet::{FetchPlan, FetchSource, Revision, Version};

fn holder(number: u8, revision: u64) -> FetchSource {
    let version = Version { revision: Revision(revision), digest: revision };
    FetchSource { address: SocketAddr::from(([10, 0, 0, number], 7_000)), version }
}

/// What lacks to somebody who holds `revision`.
fn lacks(revision: u64) -> impl Fn(Version) -> bool {
    move |version| version.revision > Revision(revision)
}

#[test]
fn one_copy_is_on_its_way_at_a_time() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(holder(1, 5), lacks(4)));
    assert_eq!(plan.next_source(lacks(4)), Some(holder(1, 5)));
    assert!(!plan.announce(holder(2, 5), lacks(4)));
    assert_eq!(plan.next_source(lacks(5)), None, "it came");
    assert!(plan.announce(holder(3, 6), lacks(5)), "what is newer is fetched again");
}

#[test]
fn whoever_told_meanwhile_is_asked_if_nothing_came() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(holder(1, 5), lacks(4)));
    assert_eq!(plan.next_source(lacks(4)), Some(holder(1, 5)));
    assert!(!plan.announce(holder(2, 5), lacks(4)));
    assert_eq!(plan.next_source(lacks(4)), Some(holder(2, 5)));
    assert_eq!(plan.next_source(lacks(4)), None);
}

/// While a copy is on its way, most that tell hold nothing newer: they must not make one forgotten who does.
#[test]
fn who_has_nothing_new_is_not_remembered_in_the_place_of_one_that_has() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(holder(1, 5), lacks(4)));
    assert_eq!(plan.next_source(lacks(4)), Some(holder(1, 5)));
    assert!(!plan.announce(holder(2, 7), lacks(4)));
    assert!(!plan.announce(holder(3, 4), lacks(4)), "it has nothing");
    assert!(!plan.announce(holder(4, 6), lacks(4)), "it has something older");
    assert_eq!(plan.next_source(lacks(5)), Some(holder(2, 7)));
}

/// A later revision can have the same content as what is held: there is nothing to fetch.
#[test]
fn who_holds_the_same_at_a_later_revision_is_not_remembered_either() {
    let lacks = |version: Version| version.revision > Revision(4) && version.digest != 9;
    let mut plan = FetchPlan::default();
    assert!(!plan.announce(holder(1, 9), lacks), "nothing begins");
    assert!(plan.announce(holder(2, 5), lacks));
    assert_eq!(plan.next_source(lacks), Some(holder(2, 5)));
    assert!(!plan.announce(holder(3, 7), lacks));
    assert!(!plan.announce(holder(4, 9), lacks));
    assert_eq!(plan.next_source(lacks), Some(holder(3, 7)));
}

#[test]
fn a_fetch_that_is_given_up_keeps_nobody_from_the_next() {
    let mut plan = FetchPlan::default();
    assert!(plan.announce(holder(1, 5), lacks(4)));
    assert_eq!(plan.next_source(lacks(4)), Some(holder(1, 5)));
    assert!(!plan.announce(holder(2, 7), lacks(4)));
    plan.cancel();
    assert!(plan.announce(holder(3, 6), lacks(4)));
    assert_eq!(plan.next_source(lacks(4)), Some(holder(3, 6)));
}
