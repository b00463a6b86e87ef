//! Tests of the summary exchange, the member list and the freshness check.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{BoxName, ConfigRevision, Digest, Incarnation, Instant};
use bendhinge_membership::{
    Directory, Exchange, Freshness, FreshnessLimits, MAX_EXCHANGE_BYTES, Member, MemberList, MemberRole,
    MemberState, Summary, SummaryVersion, suspicion_timeout,
};

fn box_name(number: u8) -> BoxName {
    format!("box-{number}").parse().unwrap()
}

fn summary(number: u8, incarnation: u64, sequence: u64) -> Summary {
    Summary {
        name: box_name(number),
        version: SummaryVersion { incarnation: Incarnation(incarnation), sequence },
        age: Duration::ZERO,
        leaving: false,
        platform_fails: false,
        list_revision: 1,
        config_revision: ConfigRevision::default(),
        config_digest: Digest::default(),
        upstreams: Vec::new(),
        classes: Vec::new(),
        customers: Vec::new(),
    }
}

fn list(revision: u64, routers: &[u8]) -> MemberList {
    let members = routers.iter().map(|number| Member {
        role: MemberRole::Router { name: box_name(*number) },
        data_centre: "south".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: MemberState::Live,
    });
    MemberList { revision, members: members.collect() }
}

/// The latest version is kept for any order and repetition of summaries.
#[test]
fn latest_version_is_kept() {
    arbtest(|u| {
        let mut exchange = Exchange::default();
        let mut latest = [SummaryVersion::default(); 3];
        for step in 0..u.int_in_range(0..=60)? {
            let number = u.int_in_range(0..=2_u8)?;
            let received = summary(number, u.int_in_range(1..=3)?, u.int_in_range(1..=9)?);
            latest[number as usize] = latest[number as usize].max(received.version);
            exchange.receive(&box_name(9), vec![received], Instant::from_millis(step));
            let kept = exchange.version(&box_name(number)).unwrap();
            assert_eq!(kept, latest[number as usize]);
        }
        Ok(())
    });
}

/// An exchange stays within its byte limit in a large fleet, and every summary is sent eventually.
#[test]
fn exchange_size_is_bounded() {
    let mut exchange = Exchange::default();
    let now = Instant::from_millis(1_000);
    let others: Vec<Summary> = (1..=200).map(|number| summary(number, 1, 1)).collect();
    exchange.receive(&box_name(0), others, now);
    let mut sent = std::collections::BTreeSet::new();
    for round in 0..60 {
        let now = now + Duration::from_millis(500 * (round + 1));
        let selected = exchange.select(summary(0, 1, round), now);
        assert!(selected.iter().map(Summary::estimated_bytes).sum::<usize>() <= MAX_EXCHANGE_BYTES);
        assert_eq!(selected[0].name, box_name(0), "the own summary comes first");
        sent.extend(selected.into_iter().map(|summary| summary.name));
    }
    assert_eq!(sent.len(), 201, "every summary is sent");
}

/// The age of a summary accumulates while it is forwarded.
#[test]
fn age_accumulates_across_hops() {
    let mut first = Exchange::default();
    let at = Instant::from_millis;
    first.receive(&box_name(0), vec![summary(1, 1, 1)], at(10_000));
    let sent = first.select(summary(0, 1, 1), at(13_000));
    assert_eq!(sent[1].age, Duration::from_secs(3));
    let mut second = Exchange::default();
    second.receive(&box_name(2), sent, at(50_000));
    let (_, age) = second.summaries(at(52_000)).find(|(summary, _)| summary.name == box_name(1)).unwrap();
    assert_eq!(age, Duration::from_secs(5));
}

/// Leaving is final within one incarnation; a new incarnation resets it.
#[test]
fn leaving_is_final_within_an_incarnation() {
    let mut exchange = Exchange::default();
    let now = Instant::from_millis(1_000);
    exchange.receive(&box_name(0), vec![Summary { leaving: true, ..summary(1, 1, 5) }], now);
    exchange.receive(&box_name(0), vec![summary(1, 1, 6)], now);
    assert!(exchange.summary(&box_name(1)).unwrap().leaving);
    exchange.receive(&box_name(0), vec![summary(1, 2, 1)], now);
    assert!(!exchange.summary(&box_name(1)).unwrap().leaving);
}

/// Routers that timed out or are leaving do not track upstream load.
#[test]
fn silent_and_leaving_routers_do_not_track_load() {
    let at = Instant::from_millis;
    let own = box_name(0);
    let mut directory = Directory::default();
    directory.update(list(1, &[0, 1, 2]), at(0));
    let mut exchange = Exchange::default();
    let tracking = |directory: &Directory, exchange: &Exchange, now| {
        let names = directory.load_tracking_routers(&own, false, exchange, now);
        names.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(
        tracking(&directory, &exchange, at(100)),
        ["box-0", "box-1", "box-2"],
        "no router has timed out yet"
    );
    exchange.receive(&own, vec![summary(1, 1, 1)], at(2_000));
    let after_timeout = at(0) + suspicion_timeout(3) + Duration::from_millis(1);
    assert_eq!(
        tracking(&directory, &exchange, after_timeout),
        ["box-0", "box-1"],
        "the silent router is excluded"
    );
    exchange.receive(&own, vec![summary(2, 1, 1)], after_timeout);
    assert_eq!(
        tracking(&directory, &exchange, after_timeout),
        ["box-0", "box-1", "box-2"],
        "included again after an update"
    );
    exchange.receive(&own, vec![Summary { leaving: true, ..summary(1, 1, 2) }], after_timeout);
    assert_eq!(
        tracking(&directory, &exchange, after_timeout),
        ["box-0", "box-2"],
        "a leaving router is excluded"
    );
    assert!(
        directory.load_tracking_routers(&own, true, &exchange, after_timeout).iter().all(|name| *name != own),
        "the own router is excluded while leaving"
    );
}

/// A list with the same or a lower revision never replaces the current one.
#[test]
fn older_list_is_ignored() {
    let mut directory = Directory::default();
    let now = Instant::from_millis(1);
    assert!(directory.update(list(5, &[1]), now));
    for revision in [5, 4, 0] {
        assert!(!directory.update(list(revision, &[1, 2]), now), "{revision}");
    }
    assert!(directory.update(list(6, &[1, 2]), now));
}

/// After a suspension the view is stale until an exchange that started later renews it or the
/// renewal timeout passes.
#[test]
fn view_is_stale_after_suspension() {
    let limits = FreshnessLimits { max_gap: Duration::from_secs(2), renewal_timeout: Duration::from_secs(3) };
    let at = Instant::from_millis;
    let mut freshness = Freshness::new(limits, at(0));
    assert!(freshness.check(at(1_900)));
    assert!(freshness.check(at(3_800)), "each check restarts the gap");
    assert!(!freshness.check(at(6_000)), "a gap");
    freshness.mark_renewed(at(5_999));
    assert!(!freshness.check(at(6_100)), "an exchange from before the gap is ignored");
    freshness.mark_renewed(at(6_050));
    assert!(freshness.check(at(6_200)));
    assert!(!freshness.check(at(9_000)), "a second gap");
    assert!(!freshness.check(at(10_500)));
    assert!(freshness.check(at(12_100)), "the renewal timeout has passed");
    assert_eq!(freshness.gap_count(), 2);
}
