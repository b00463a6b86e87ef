//! Routers find each other from a few seeds, and again after cuts, kills and replacements.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{MemberReport, Origin, Reach, Roster, RosterTimeouts};
use bendhinge_ids::Instant;

const LIMITS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_secs(60) };
/// All links are alike, but where a test says otherwise.
const LINK_MBPS: u32 = 1_000;
const ROUND_MS: u64 = 400;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7_000))
}

/// Routers in virtual time; a router that is down keeps no state.
struct Fleet {
    rosters: Vec<Option<Roster>>,
    side: Vec<usize>,
    now: u64,
    draws: u64,
}

impl Fleet {
    fn new(size: usize, seeds: &[SocketAddr]) -> Self {
        let rosters =
            (0..size).map(|number| Some(Roster::new(address(number), LINK_MBPS, seeds, LIMITS))).collect();
        Self { rosters, side: vec![0; size], now: 1_000, draws: 1 }
    }

    fn restart(&mut self, number: usize, seeds: &[SocketAddr]) {
        self.rosters[number] = Some(Roster::new(address(number), LINK_MBPS, seeds, LIMITS));
    }

    fn message(&self, number: usize, now: Instant) -> Vec<MemberReport> {
        let roster = self.rosters[number].as_ref().unwrap();
        let own = MemberReport {
            address: address(number),
            age: Duration::ZERO,
            is_leaving: false,
            is_store_failing: false,
            link_mbps: LINK_MBPS,
        };
        std::iter::once(own).chain(roster.members(now)).collect()
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        let now = Instant::from_millis(self.now);
        for asking in 0..self.rosters.len() {
            let draws = &mut self.draws;
            let mut draw = |below: usize| {
                *draws =
                    draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                usize::try_from(*draws >> 33).unwrap() % below
            };
            let Some(roster) = &self.rosters[asking] else { continue };
            let reach = if (self.now / ROUND_MS).is_multiple_of(4) {
                Reach::RelayAndRandom
            } else {
                Reach::RelayOnly
            };
            let mut contacts = roster.contacts(reach, false, now, &mut draw);
            contacts.extend(roster.reconnect_contact(now, &mut draw));
            for contact in contacts {
                self.exchange(asking, contact.address(), now);
            }
        }
    }

    fn exchange(&mut self, asking: usize, asked: SocketAddr, now: Instant) {
        let Some(asked) = (0..self.rosters.len()).find(|number| address(*number) == asked) else { return };
        if self.rosters[asked].is_none() || self.side[asking] != self.side[asked] {
            return;
        }
        for (from, to) in [(asking, asked), (asked, asking)] {
            for heard in self.message(from, now) {
                self.rosters[to].as_mut().unwrap().merge_direct(&heard, now);
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

    /// How many believe to be the first in rank.
    fn firsts(&self) -> usize {
        let now = Instant::from_millis(self.now);
        self.rosters.iter().flatten().filter(|roster| roster.own_rank(false, now) == 0).count()
    }
}

/// A roster that has heard from all members just now.
fn knowing_all(own: usize, size: usize, now: Instant) -> Roster {
    let mut roster = Roster::new(address(own), LINK_MBPS, &[], LIMITS);
    for other in (0..size).filter(|other| *other != own) {
        let heard = MemberReport {
            address: address(other),
            age: Duration::ZERO,
            is_leaving: false,
            is_store_failing: false,
            link_mbps: LINK_MBPS,
        };
        roster.merge_direct(&heard, now);
    }
    roster
}

#[test]
fn all_find_each_other_from_one_live_seed_among_stale_ones() {
    let mut fleet = Fleet::new(9, &[address(200), address(4), address(201)]);
    fleet.rounds(12);
    assert_eq!(fleet.live_counts(), vec![9; 9]);
    assert_eq!(fleet.firsts(), 1);
}

#[test]
fn the_killed_are_dead_after_a_while_and_found_again_after_a_restart() {
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
fn two_parts_that_were_cut_apart_merge_again_without_a_seed() {
    let mut fleet = Fleet::new(8, &[address(0)]);
    fleet.rounds(12);
    for roster in fleet.rosters.iter_mut().flatten() {
        roster.set_seeds(&[]);
    }
    (0..4).for_each(|number| fleet.side[number] = 1);
    fleet.rounds(40);
    assert_eq!(fleet.live_counts(), vec![4; 8]);
    assert_eq!(fleet.firsts(), 2, "each part has one that reads");
    fleet.side = vec![0; 8];
    fleet.rounds(20);
    assert_eq!(fleet.live_counts(), vec![8; 8]);
    assert_eq!(fleet.firsts(), 1);
}

#[test]
fn one_that_leaves_is_live_no_more_at_once() {
    let mut roster = Roster::new(address(0), LINK_MBPS, &[], LIMITS);
    let now = Instant::from_millis(10_000);
    let mut heard = MemberReport {
        address: address(1),
        age: Duration::from_millis(500),
        is_leaving: false,
        is_store_failing: false,
        link_mbps: LINK_MBPS,
    };
    roster.merge_direct(&heard, now);
    assert_eq!(roster.live_count(now), 2);
    heard.is_leaving = true;
    heard.age = Duration::from_millis(100);
    roster.merge_direct(&heard, now);
    assert_eq!(roster.live_count(now), 1);
    heard.is_leaving = false;
    heard.age = Duration::from_millis(400);
    roster.merge_direct(&heard, now);
    assert_eq!(roster.live_count(now), 1, "older message does not undo newer");
}

#[test]
fn those_whose_reads_fail_come_last_in_rank() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), LINK_MBPS, &[], LIMITS);
    for number in 1..5 {
        roster.merge_direct(
            &MemberReport {
                address: address(number),
                age: Duration::ZERO,
                is_leaving: false,
                is_store_failing: true,
                link_mbps: LINK_MBPS,
            },
            now,
        );
    }
    assert_eq!(roster.own_rank(false, now), 0);
    assert!(roster.own_rank(true, now) <= 4);
}

/// In a large fleet nobody is asked for what it hears of the store by all others.
#[test]
fn nobody_is_asked_by_all_in_a_large_fleet() {
    let size = 74;
    let now = Instant::from_millis(10_000);
    let mut asked = vec![0_usize; size];
    for own in 0..size {
        let roster = knowing_all(own, size, now);
        let mut drawn = own as u64;
        let mut draw = |below: usize| {
            drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            usize::try_from(drawn >> 33).unwrap() % below
        };
        let reader = roster.contacts(Reach::RelayOnly, false, now, &mut draw)[0].address();
        let number = (0..size).find(|number| address(*number) == reader).unwrap();
        asked[number] += 1;
    }
    assert!(*asked.iter().max().unwrap() <= 12, "{asked:?}");
}

/// Every connection costs memory at both ends, so a router asks few different members.
#[test]
fn a_router_asks_few_different_members() {
    let size = 74;
    let now = Instant::from_millis(10_000);
    let mut asked = vec![HashSet::new(); size];
    for (own, asked) in asked.iter_mut().enumerate() {
        let roster = knowing_all(own, size, now);
        let mut drawn = own;
        let mut draw = |below: usize| {
            drawn = drawn.wrapping_mul(7_919).wrapping_add(17);
            (drawn >> 5) % below
        };
        // Twelve rounds are what a connection is kept for.
        for round in 0..12 {
            let reach = if round % 4 == 0 { Reach::RelayAndRandom } else { Reach::RelayOnly };
            asked.extend(roster.contacts(reach, false, now, &mut draw).iter().map(|one| one.address()));
        }
    }
    let open: usize = asked.iter().map(HashSet::len).sum();
    assert!(open < 10 * size, "{open} connections of {size} routers");
}

/// News that one router has reaches all, and nearly nobody is told of it twice.
#[test]
fn news_reaches_all_in_few_words() {
    for size in [2, 6, 24, 25, 74, 200] {
        let now = Instant::from_millis(10_000);
        let rosters: Vec<Roster> = (0..size).map(|own| knowing_all(own, size, now)).collect();
        for reader in [0, size / 2, size - 1] {
            let mut has_news = vec![false; size];
            has_news[reader] = true;
            let (mut telling, mut messages) = (vec![(reader, Origin::Store)], 0);
            while let Some((sender, origin)) = telling.pop() {
                for listener in rosters[sender].push_targets(origin, false, now) {
                    messages += 1;
                    let listener = (0..size).find(|number| address(*number) == listener).unwrap();
                    if !std::mem::replace(&mut has_news[listener], true) {
                        telling.push((listener, Origin::Peer));
                    }
                }
            }
            assert!(has_news.iter().all(|has| *has), "of {size}, from {reader}");
            // Who reads without being the first makes sure that all hear.
            let most = if rosters[reader].own_rank(false, now) == 0 { 2 * size } else { 3 * size };
            assert!(messages <= most, "{messages} messages of {size}, from {reader}");
        }
    }
}

/// The first in rank is dead, and nobody knows it yet: another that reads reaches the others.
#[test]
fn news_reaches_all_though_the_first_in_rank_is_dead() {
    for size in [3, 9, 24, 25, 74] {
        let now = Instant::from_millis(10_000);
        let rosters: Vec<Roster> = (0..size).map(|own| knowing_all(own, size, now)).collect();
        let place = |own: usize| rosters[own].own_rank(false, now);
        let dead = (0..size).find(|own| place(*own) == 0).unwrap();
        let reader = (0..size).find(|own| place(*own) == 1).unwrap();
        let mut has_news = vec![false; size];
        has_news[reader] = true;
        let mut telling = vec![(reader, Origin::Store)];
        while let Some((sender, origin)) = telling.pop() {
            for listener in rosters[sender].push_targets(origin, false, now) {
                let listener = (0..size).find(|number| address(*number) == listener).unwrap();
                if listener != dead && !std::mem::replace(&mut has_news[listener], true) {
                    telling.push((listener, Origin::Peer));
                }
            }
        }
        let without = (0..size).filter(|own| !has_news[*own] && *own != dead).count();
        assert_eq!(without, 0, "of {size}");
    }
}

#[test]
fn wide_links_come_before_narrow_ones_and_reads_that_fail_after_both() {
    const WIDE: u32 = 200;
    let now = Instant::from_millis(10_000);
    let rank = |own: u32, own_reads_fail: bool, others: [u32; 3]| {
        let mut roster = Roster::new(address(0), own, &[], LIMITS);
        for (number, link_mbps) in (1..).zip(others) {
            let heard = MemberReport {
                address: address(number),
                age: Duration::ZERO,
                is_leaving: false,
                is_store_failing: false,
                link_mbps,
            };
            roster.merge_direct(&heard, now);
        }
        roster.own_rank(own_reads_fail, now)
    };
    assert_eq!(rank(WIDE, false, [10, 10, 0]), 0);
    assert_eq!(rank(10, false, [WIDE, WIDE, WIDE]), 3);
    assert_eq!(rank(10, false, [0, 0, 0]), 0, "what is not known counts as narrow");
    assert_eq!(rank(WIDE, true, [10, 10, 10]), 3);
}
