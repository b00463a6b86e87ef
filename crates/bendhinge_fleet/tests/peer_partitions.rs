//! Reports of routers about the pools from which they are partitioned.

use std::time::Duration;

use bendhinge_fleet::{PartitionReport, PeerPartitions, UpdateSource};
use bendhinge_ids::{Instant, NameHash};

const START: Instant = Instant(1_000_000_000);
const OWN: NameHash = NameHash(1);
const PEER: NameHash = NameHash(2);
const RELAY: UpdateSource = UpdateSource::Router(NameHash(3));
const POOL: NameHash = NameHash(10);

fn after(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn report(router: NameHash, pools: &[NameHash], at: Instant) -> PartitionReport {
    PartitionReport { router, pools: pools.to_vec(), at }
}

#[test]
fn a_report_holds_until_it_is_replaced_or_expires() {
    let mut partitions = PeerPartitions::new(OWN);
    assert!(partitions.merge(report(PEER, &[POOL], after(0)), RELAY, after(0)));
    assert!(partitions.is_partitioned(PEER, POOL, after(100)));
    assert!(!partitions.is_partitioned(PEER, NameHash(11), after(100)));
    assert!(partitions.merge(report(PEER, &[], after(200)), RELAY, after(200)));
    assert!(!partitions.is_partitioned(PEER, POOL, after(200)));
    assert!(partitions.merge(report(PEER, &[POOL], after(300)), RELAY, after(300)));
    assert!(!partitions.is_partitioned(PEER, POOL, after(3_300)));
}

#[test]
fn older_reports_do_not_replace_newer_ones() {
    let mut partitions = PeerPartitions::new(OWN);
    partitions.merge(report(PEER, &[], after(100)), RELAY, after(100));
    assert!(!partitions.merge(report(PEER, &[POOL], after(50)), RELAY, after(150)));
    assert!(!partitions.is_partitioned(PEER, POOL, after(150)));
}

#[test]
fn a_renewed_report_is_no_change() {
    let mut partitions = PeerPartitions::new(OWN);
    partitions.merge(report(PEER, &[POOL], after(0)), RELAY, after(0));
    assert!(!partitions.merge(report(PEER, &[POOL], after(1_000)), RELAY, after(1_000)));
    assert!(partitions.is_partitioned(PEER, POOL, after(3_500)));
}

/// Guards against a router that believes what an outdated message says of itself.
#[test]
fn reports_of_other_routers_about_this_one_are_ignored() {
    let mut partitions = PeerPartitions::new(OWN);
    assert!(!partitions.merge(report(OWN, &[POOL], after(0)), RELAY, after(0)));
    assert!(partitions.reports_for(RELAY, after(0)).is_empty());
}

#[test]
fn reports_are_not_sent_back_and_cost_nothing_without_partitions() {
    let mut partitions = PeerPartitions::new(OWN);
    partitions.set_own(Vec::new(), after(0));
    assert!(partitions.reports_for(RELAY, after(0)).is_empty());
    partitions.merge(report(PEER, &[POOL], after(0)), RELAY, after(0));
    assert!(partitions.reports_for(RELAY, after(0)).is_empty());
    assert_eq!(partitions.reports_for(UpdateSource::Router(PEER), after(0)).len(), 1);
}

#[test]
fn the_own_report_is_renewed_until_the_partition_is_over() {
    let mut partitions = PeerPartitions::new(OWN);
    partitions.set_own(vec![POOL], after(0));
    partitions.refresh(after(10_000));
    assert_eq!(partitions.reports_for(RELAY, after(10_000)), [report(OWN, &[POOL], after(10_000))]);
    partitions.set_own(Vec::new(), after(10_100));
    assert_eq!(partitions.reports_for(RELAY, after(10_200)), [report(OWN, &[], after(10_100))]);
    partitions.refresh(after(14_000));
    assert!(partitions.reports_for(RELAY, after(14_000)).is_empty());
}

#[test]
fn messages_contain_a_limited_number_of_reports() {
    const ROUTERS: u64 = 300;
    let mut partitions = PeerPartitions::new(OWN);
    for router in 0..ROUTERS {
        partitions.merge(report(NameHash(100 + router), &[POOL], after(router)), RELAY, after(router));
    }
    let sent = partitions.reports_for(UpdateSource::Router(PEER), after(ROUTERS));
    assert!(sent.len() < 100, "{}", sent.len());
    assert_eq!(sent[0].router, NameHash(100 + ROUTERS - 1));
}
