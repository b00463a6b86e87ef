//! What routers tell each other, and what they believe of each other.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{BoxName, ConfigRevision, Digest, Incarnation, Instant};
use bendhinge_membership::{
    Directory, EXCHANGE_BYTES, Exchange, Freshness, FreshnessLimits, Member, MemberList, MemberRole,
    MemberState, Summary, SummaryVersion, suspect_after,
};

fn name(number: u8) -> BoxName {
    format!("box-{number}").parse().unwrap()
}

fn summary(number: u8, incarnation: u64, sequence: u64) -> Summary {
    Summary {
        name: name(number),
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
        role: MemberRole::Router { name: name(*number) },
        data_centre: "south".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: MemberState::Live,
    });
    MemberList { revision, members: members.collect() }
}

/// In whatever order and however often summaries come, the latest version is the one believed.
#[test]
fn the_latest_version_wins() {
    arbtest(|u| {
        let mut exchange = Exchange::default();
        let mut latest = [SummaryVersion::default(); 3];
        for step in 0..u.int_in_range(0..=60)? {
            let number = u.int_in_range(0..=2_u8)?;
            let heard = summary(number, u.int_in_range(1..=3)?, u.int_in_range(1..=9)?);
            latest[number as usize] = latest[number as usize].max(heard.version);
            exchange.hear(&name(9), vec![heard], Instant::from_millis(step));
            let believed = exchange.version(&name(number)).unwrap();
            assert_eq!(believed, latest[number as usize]);
        }
        Ok(())
    });
}

/// Whatever the size of the fleet, an exchange sends no more than its bytes; and all are told of
/// in turn.
#[test]
fn an_exchange_has_a_fixed_size() {
    let mut exchange = Exchange::default();
    let now = Instant::from_millis(1_000);
    let others: Vec<Summary> = (1..=200).map(|number| summary(number, 1, 1)).collect();
    exchange.hear(&name(0), others, now);
    let mut told = std::collections::BTreeSet::new();
    for round in 0..60 {
        let now = now + Duration::from_millis(500 * (round + 1));
        let selected = exchange.select(summary(0, 1, round), now);
        assert!(selected.iter().map(Summary::size).sum::<usize>() <= EXCHANGE_BYTES);
        assert_eq!(selected[0].name, name(0), "its own first");
        told.extend(selected.into_iter().map(|summary| summary.name));
    }
    assert_eq!(told.len(), 201, "everybody is told of");
}

/// Age grows while a summary is passed on, so that old word is known to be old.
#[test]
fn ages_add_up() {
    let mut first = Exchange::default();
    let at = Instant::from_millis;
    first.hear(&name(0), vec![summary(1, 1, 1)], at(10_000));
    let told = first.select(summary(0, 1, 1), at(13_000));
    assert_eq!(told[1].age, Duration::from_secs(3));
    let mut second = Exchange::default();
    second.hear(&name(2), told, at(50_000));
    let (_, age) = second.summaries(at(52_000)).find(|(summary, _)| summary.name == name(1)).unwrap();
    assert_eq!(age, Duration::from_secs(5));
}

/// Leaving wins: a life that said so cannot take it back, a new life can.
#[test]
fn leaving_wins_within_a_life() {
    let mut exchange = Exchange::default();
    let now = Instant::from_millis(1_000);
    exchange.hear(&name(0), vec![Summary { leaving: true, ..summary(1, 1, 5) }], now);
    exchange.hear(&name(0), vec![summary(1, 1, 6)], now);
    assert!(exchange.summary(&name(1)).unwrap().leaving);
    exchange.hear(&name(0), vec![summary(1, 2, 1)], now);
    assert!(!exchange.summary(&name(1)).unwrap().leaving);
}

/// Who counts for upstreams: a table over list, silence and leaving.
#[test]
fn who_counts() {
    let at = Instant::from_millis;
    let own = name(0);
    let mut directory = Directory::default();
    directory.offer(list(1, &[0, 1, 2]), at(0));
    let mut exchange = Exchange::default();
    let counting = |directory: &Directory, exchange: &Exchange, now| {
        let names = directory.counting_routers(&own, false, exchange, now);
        names.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(
        counting(&directory, &exchange, at(100)),
        ["box-0", "box-1", "box-2"],
        "all have time to speak"
    );
    exchange.hear(&own, vec![summary(1, 1, 1)], at(2_000));
    let silent = at(0) + suspect_after(3) + Duration::from_millis(1);
    assert_eq!(counting(&directory, &exchange, silent), ["box-0", "box-1"], "the silent one is passed over");
    exchange.hear(&own, vec![summary(2, 1, 1)], silent);
    assert_eq!(counting(&directory, &exchange, silent), ["box-0", "box-1", "box-2"], "until it speaks");
    exchange.hear(&own, vec![Summary { leaving: true, ..summary(1, 1, 2) }], silent);
    assert_eq!(counting(&directory, &exchange, silent), ["box-0", "box-2"], "a leaving one does not count");
    assert!(
        directory.counting_routers(&own, true, &exchange, silent).iter().all(|name| *name != own),
        "nor oneself, leaving"
    );
}

/// A list only ever moves on, whoever offers it.
#[test]
fn an_older_list_is_not_taken() {
    let mut directory = Directory::default();
    let now = Instant::from_millis(1);
    assert!(directory.offer(list(5, &[1]), now));
    for revision in [5, 4, 0] {
        assert!(!directory.offer(list(revision, &[1, 2]), now), "{revision}");
    }
    assert!(directory.offer(list(6, &[1, 2]), now));
}

/// A frozen router trusts nothing until an exchange that began after it woke; but one that can
/// reach nobody goes on after a while.
#[test]
fn freshness_after_a_freeze() {
    let limits = FreshnessLimits { gap: Duration::from_secs(2), patience: Duration::from_secs(3) };
    let at = Instant::from_millis;
    let mut freshness = Freshness::new(limits, at(0));
    assert!(freshness.observe(at(1_900)));
    assert!(freshness.observe(at(3_800)), "each look starts the gap anew");
    assert!(!freshness.observe(at(6_000)), "a gap");
    freshness.renewed(at(5_999));
    assert!(!freshness.observe(at(6_100)), "an exchange from before the gap says nothing");
    freshness.renewed(at(6_050));
    assert!(freshness.observe(at(6_200)));
    assert!(!freshness.observe(at(9_000)), "a second gap");
    assert!(!freshness.observe(at(10_500)));
    assert!(freshness.observe(at(12_100)), "patience is over");
    assert_eq!(freshness.gaps(), 2);
}
