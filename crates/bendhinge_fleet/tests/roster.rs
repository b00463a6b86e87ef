//! Tests that routers discover each other from a few seeds, and again after partitions and restarts.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use bendhinge_fleet::{MemberReport, Origin, Reach, Roster, RosterTimeouts};
use bendhinge_ids::{Instant, NameHash};

const TIMEOUTS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_secs(60) };
/// Link speed of all routers unless a test sets another.
const LINK_MBPS: u32 = 1_000;
const ROUND_MS: u64 = 400;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7_000))
}

/// Simulated routers in virtual time. A router that is down loses its state.
struct Fleet {
    rosters: Vec<Option<Roster>>,
    partition: Vec<usize>,
    now: u64,
    random_state: u64,
}

impl Fleet {
    fn new(size: usize, seeds: &[SocketAddr]) -> Self {
        let rosters =
            (0..size).map(|number| Some(Roster::new(address(number), LINK_MBPS, seeds, TIMEOUTS))).collect();
        Self { rosters, partition: vec![0; size], now: 1_000, random_state: 1 }
    }

    fn restart(&mut self, number: usize, seeds: &[SocketAddr]) {
        self.rosters[number] = Some(Roster::new(address(number), LINK_MBPS, seeds, TIMEOUTS));
    }

    fn reports(&self, number: usize, now: Instant) -> Vec<MemberReport> {
        let roster = self.rosters[number].as_ref().unwrap();
        let own = MemberReport {
            address: address(number),
            age: Duration::ZERO,
            is_leaving: false,
            is_store_failing: false,
            link_mbps: LINK_MBPS,
            forwarding_from: None,
            holds_stream_records: true,
            permits_from: None,
        };
        std::iter::once(own).chain(roster.members(now)).collect()
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        let now = Instant::from_millis(self.now);
        for requester in 0..self.rosters.len() {
            let random_state = &mut self.random_state;
            let mut draw = |below: usize| {
                *random_state = random_state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                usize::try_from(*random_state >> 33).unwrap() % below
            };
            let Some(roster) = &self.rosters[requester] else { continue };
            let reach = if (self.now / ROUND_MS).is_multiple_of(4) {
                Reach::RelayAndRandom
            } else {
                Reach::RelayOnly
            };
            let mut contacts = roster.contacts(reach, false, now, &mut draw);
            contacts.extend(roster.reconnect_contact(now, &mut draw));
            for contact in contacts {
                self.exchange(requester, contact.address(), now);
            }
        }
    }

    fn exchange(&mut self, requester: usize, responder: SocketAddr, now: Instant) {
        let Some(responder) = (0..self.rosters.len()).find(|number| address(*number) == responder) else {
            return;
        };
        if self.rosters[responder].is_none() || self.partition[requester] != self.partition[responder] {
            return;
        }
        for (from, to) in [(requester, responder), (responder, requester)] {
            for report in self.reports(from, now) {
                self.rosters[to].as_mut().unwrap().merge_direct(&report, now);
            }
        }
    }

    fn rounds(&mut self, count: u64) {
        (0..count).for_each(|_| self.round());
    }

    fn live_counts(&self) -> Vec<usize> {
        let now = Instant::from_millis(self.now);
        self.rosters.iter().flatten().map(|roster| roster.live_count(now)).collect()
    }

    /// Returns the number of routers that consider themselves first in rank.
    fn first_rank_count(&self) -> usize {
        let now = Instant::from_millis(self.now);
        self.rosters.iter().flatten().filter(|roster| roster.own_rank(false, now) == 0).count()
    }
}

/// Returns a roster that has just heard from all members.
fn fully_connected_roster(own: usize, size: usize, now: Instant) -> Roster {
    let mut roster = Roster::new(address(own), LINK_MBPS, &[], TIMEOUTS);
    for other in (0..size).filter(|other| *other != own) {
        let report = MemberReport {
            address: address(other),
            age: Duration::ZERO,
            is_leaving: false,
            is_store_failing: false,
            link_mbps: LINK_MBPS,
            forwarding_from: None,
            holds_stream_records: true,
            permits_from: None,
        };
        roster.merge_direct(&report, now);
    }
    roster
}

#[test]
fn one_live_seed_among_stale_ones_is_enough() {
    let mut fleet = Fleet::new(9, &[address(200), address(4), address(201)]);
    fleet.rounds(12);
    assert_eq!(fleet.live_counts(), vec![9; 9]);
    assert_eq!(fleet.first_rank_count(), 1);
}

#[test]
fn killed_members_expire_and_are_found_again_after_a_restart() {
    let mut fleet = Fleet::new(6, &[address(0)]);
    fleet.rounds(10);
    fleet.rosters[0] = None;
    fleet.rosters[3] = None;
    fleet.rounds(20);
    assert_eq!(fleet.live_counts(), vec![4; 4]);
    fleet.restart(3, &[address(0), address(5)]);
    fleet.rounds(10);
    assert_eq!(fleet.live_counts(), vec![5; 5]);
}

#[test]
fn partitions_merge_again_without_seeds() {
    let mut fleet = Fleet::new(8, &[address(0)]);
    fleet.rounds(12);
    for roster in fleet.rosters.iter_mut().flatten() {
        roster.set_seeds(&[]);
    }
    (0..4).for_each(|number| fleet.partition[number] = 1);
    fleet.rounds(40);
    assert_eq!(fleet.live_counts(), vec![4; 8]);
    assert_eq!(fleet.first_rank_count(), 2, "each partition has a first rank");
    fleet.partition = vec![0; 8];
    fleet.rounds(20);
    assert_eq!(fleet.live_counts(), vec![8; 8]);
    assert_eq!(fleet.first_rank_count(), 1);
}

#[test]
fn leaving_member_is_not_live() {
    let mut roster = Roster::new(address(0), LINK_MBPS, &[], TIMEOUTS);
    let now = Instant::from_millis(10_000);
    let mut report = MemberReport {
        address: address(1),
        age: Duration::from_millis(500),
        is_leaving: false,
        is_store_failing: false,
        link_mbps: LINK_MBPS,
        forwarding_from: None,
        holds_stream_records: true,
        permits_from: None,
    };
    roster.merge_direct(&report, now);
    assert_eq!(roster.live_count(now), 2);
    report.is_leaving = true;
    report.age = Duration::from_millis(100);
    roster.merge_direct(&report, now);
    assert_eq!(roster.live_count(now), 1);
    report.is_leaving = false;
    report.age = Duration::from_millis(400);
    roster.merge_direct(&report, now);
    assert_eq!(roster.live_count(now), 1, "an older report does not override a newer one");
}

#[test]
fn members_with_failing_reads_rank_last() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), LINK_MBPS, &[], TIMEOUTS);
    for number in 1..5 {
        roster.merge_direct(
            &MemberReport {
                address: address(number),
                age: Duration::ZERO,
                is_leaving: false,
                is_store_failing: true,
                link_mbps: LINK_MBPS,
                forwarding_from: None,
                holds_stream_records: true,
                permits_from: None,
            },
            now,
        );
    }
    assert_eq!(roster.own_rank(false, now), 0);
    assert!(roster.own_rank(true, now) <= 4);
}

/// No router may serve as relay for all others in a large fleet.
#[test]
fn relays_are_spread_in_a_large_fleet() {
    let size = 74;
    let now = Instant::from_millis(10_000);
    let mut use_counts = vec![0_usize; size];
    for own in 0..size {
        let roster = fully_connected_roster(own, size, now);
        let mut random_state = own as u64;
        let mut draw = |below: usize| {
            random_state =
                random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            usize::try_from(random_state >> 33).unwrap() % below
        };
        let relay = roster.contacts(Reach::RelayOnly, false, now, &mut draw)[0].address();
        let number = (0..size).find(|number| address(*number) == relay).unwrap();
        use_counts[number] += 1;
    }
    assert!(*use_counts.iter().max().unwrap() <= 12, "{use_counts:?}");
}

/// Each connection costs memory at both ends, so a router contacts few different members.
#[test]
fn router_contacts_few_different_members() {
    let size = 74;
    let now = Instant::from_millis(10_000);
    let mut contacted = vec![HashSet::new(); size];
    for (own, contacted) in contacted.iter_mut().enumerate() {
        let roster = fully_connected_roster(own, size, now);
        let mut random_state = own;
        let mut draw = |below: usize| {
            random_state = random_state.wrapping_mul(7_919).wrapping_add(17);
            (random_state >> 5) % below
        };
        // Rounds for which an idle connection is kept.
        for round in 0..12 {
            let reach = if round % 4 == 0 { Reach::RelayAndRandom } else { Reach::RelayOnly };
            contacted.extend(
                roster.contacts(reach, false, now, &mut draw).iter().map(|contact| contact.address()),
            );
        }
    }
    let connection_count: usize = contacted.iter().map(HashSet::len).sum();
    assert!(connection_count < 10 * size, "{connection_count} connections of {size} routers");
}

/// An update must reach all routers, with few duplicate messages.
#[test]
fn update_reaches_all_with_few_messages() {
    for size in [2, 6, 24, 25, 74, 200] {
        let now = Instant::from_millis(10_000);
        let rosters: Vec<Roster> = (0..size).map(|own| fully_connected_roster(own, size, now)).collect();
        for reader in [0, size / 2, size - 1] {
            let mut has_update = vec![false; size];
            has_update[reader] = true;
            let (mut pending_senders, mut messages) = (vec![(reader, Origin::Store)], 0);
            while let Some((sender, origin)) = pending_senders.pop() {
                for receiver in rosters[sender].push_targets(origin, false, now) {
                    messages += 1;
                    let receiver = (0..size).find(|number| address(*number) == receiver).unwrap();
                    if !std::mem::replace(&mut has_update[receiver], true) {
                        pending_senders.push((receiver, Origin::Peer));
                    }
                }
            }
            assert!(has_update.iter().all(|has| *has), "of {size}, from {reader}");
            // A reader other than the first rank also pushes to the members served by the first rank.
            let max_messages = if rosters[reader].own_rank(false, now) == 0 { 2 * size } else { 3 * size };
            assert!(messages <= max_messages, "{messages} messages of {size}, from {reader}");
        }
    }
}

/// An update must reach all routers while a dead first rank is not yet detected.
#[test]
fn update_reaches_all_despite_a_dead_first_rank() {
    for size in [3, 9, 24, 25, 74] {
        let now = Instant::from_millis(10_000);
        let rosters: Vec<Roster> = (0..size).map(|own| fully_connected_roster(own, size, now)).collect();
        let rank_of = |own: usize| rosters[own].own_rank(false, now);
        let dead = (0..size).find(|own| rank_of(*own) == 0).unwrap();
        let reader = (0..size).find(|own| rank_of(*own) == 1).unwrap();
        let mut has_update = vec![false; size];
        has_update[reader] = true;
        let mut pending_senders = vec![(reader, Origin::Store)];
        while let Some((sender, origin)) = pending_senders.pop() {
            for receiver in rosters[sender].push_targets(origin, false, now) {
                let receiver = (0..size).find(|number| address(*number) == receiver).unwrap();
                if receiver != dead && !std::mem::replace(&mut has_update[receiver], true) {
                    pending_senders.push((receiver, Origin::Peer));
                }
            }
        }
        let uninformed_count = (0..size).filter(|own| !has_update[*own] && *own != dead).count();
        assert_eq!(uninformed_count, 0, "of {size}");
    }
}

#[test]
fn faster_links_rank_first_and_failing_reads_last() {
    const FAST_LINK_MBPS: u32 = 200;
    let now = Instant::from_millis(10_000);
    let rank = |own: u32, own_reads_fail: bool, others: [u32; 3]| {
        let mut roster = Roster::new(address(0), own, &[], TIMEOUTS);
        for (number, link_mbps) in (1..).zip(others) {
            let report = MemberReport {
                address: address(number),
                age: Duration::ZERO,
                is_leaving: false,
                is_store_failing: false,
                link_mbps,
                forwarding_from: None,
                holds_stream_records: true,
                permits_from: None,
            };
            roster.merge_direct(&report, now);
        }
        roster.own_rank(own_reads_fail, now)
    };
    assert_eq!(rank(FAST_LINK_MBPS, false, [10, 10, 0]), 0);
    assert_eq!(rank(10, false, [FAST_LINK_MBPS, FAST_LINK_MBPS, FAST_LINK_MBPS]), 3);
    assert_eq!(rank(10, false, [0, 0, 0]), 0, "an unknown link speed counts as slow");
    assert_eq!(rank(FAST_LINK_MBPS, true, [10, 10, 10]), 3);
}

/// Guards against records of streams that cannot be found, because routers look for them at other members than those
/// to which they were sent.
#[test]
fn routers_agree_on_the_members_that_hold_a_record() {
    const ROUTERS: usize = 30;
    let now = Instant::from_millis(1_000);
    let report = |number: usize| MemberReport {
        address: address(number),
        age: Duration::ZERO,
        is_leaving: false,
        is_store_failing: false,
        link_mbps: LINK_MBPS,
        forwarding_from: None,
        holds_stream_records: number != 0,
        permits_from: None,
    };
    let rosters: Vec<Roster> = (0..ROUTERS)
        .map(|own| {
            let mut roster = Roster::new(address(own), LINK_MBPS, &[], TIMEOUTS);
            (0..ROUTERS).for_each(|number| roster.merge_direct(&report(number), now));
            roster
        })
        .collect();
    let mut held = vec![0; ROUTERS];
    for record in 0..3_000_u64 {
        let sender = usize::try_from(record).unwrap() % ROUTERS;
        let holders = rosters[sender].record_holders(record, 2, now);
        assert!(!holders.contains(&address(0)), "router 0 takes no records");
        for holder in &holders {
            held[(0..ROUTERS).find(|number| address(*number) == *holder).unwrap()] += 1;
        }
        for (number, roster) in rosters.iter().enumerate() {
            let asked = roster.record_holders(record, 3, now);
            let is_found = holders.iter().any(|holder| asked.contains(holder) || *holder == address(number));
            assert!(is_found, "router {number} does not find record {record}");
        }
    }
    assert!(held[1..].iter().all(|count| (100..350).contains(count)), "{held:?}");
}

/// Guards against requests of one upstream that several routers count, each a part of them.
#[test]
fn routers_agree_on_the_issuer_of_permits() {
    const ROUTERS: usize = 30;
    let now = Instant::from_millis(1_000);
    let data_centre = |number: usize| NonZeroU32::new(u32::try_from(number % 3).unwrap() + 1).unwrap();
    let report = |number: usize| MemberReport {
        address: address(number),
        age: Duration::ZERO,
        is_leaving: number == 3,
        is_store_failing: false,
        link_mbps: if number.is_multiple_of(5) { LINK_MBPS } else { 10 },
        forwarding_from: None,
        holds_stream_records: true,
        permits_from: (number != 0).then(|| data_centre(number)),
    };
    let rosters = (0..ROUTERS).map(|own| {
        let mut roster = Roster::new(address(own), report(own).link_mbps, &[], TIMEOUTS);
        (0..ROUTERS).for_each(|number| roster.merge_direct(&report(number), now));
        (own, roster)
    });
    let rosters: Vec<(usize, Roster)> = rosters.filter(|(own, _)| *own != 3).collect();
    for upstream in 0..200_u64 {
        let located = data_centre(usize::try_from(upstream).unwrap());
        let issuer = |(own, roster): &(usize, Roster)| {
            roster.permit_issuer(NameHash(upstream), located, report(*own).permits_from, now).unwrap()
        };
        let agreed = issuer(&rosters[0]);
        assert!(rosters.iter().all(|roster| issuer(roster) == agreed), "upstream {upstream}");
        let number = (0..ROUTERS).find(|number| address(*number) == agreed).unwrap();
        assert_eq!(data_centre(number), located, "in the data centre of the upstream");
        assert!(number.is_multiple_of(5) && number != 0, "{number} has a slow link, or issues no permits");
    }
}

/// Guards against requests without an issuer while all routers of a data centre are lost.
#[test]
fn a_router_of_another_data_centre_issues_permits_if_there_is_no_other() {
    let now = Instant::from_millis(1_000);
    let (own, other) = (NonZeroU32::MIN, NonZeroU32::MAX);
    let roster = Roster::new(address(0), LINK_MBPS, &[], TIMEOUTS);
    assert_eq!(roster.permit_issuer(NameHash(1), other, Some(own), now), Some(address(0)));
    assert_eq!(roster.permit_issuer(NameHash(1), other, None, now), None);
}
