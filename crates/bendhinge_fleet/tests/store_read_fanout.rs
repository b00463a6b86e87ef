//! A fleet that starts all at once, before a list of upstreams that takes long to read.
//!
//! Pattern: after a loss of all, hundreds of routers know three seeds each and nobody's rank. Each reads the first page;
//! how many of them read on must not grow with the fleet, since all of them share the store's link.

use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{
    Contact, MemberReport, Origin, Reach, Roster, RosterTimeouts, StoreReadSchedule, StoreReadTimings,
};
use bendhinge_ids::Instant;

const READING: StoreReadTimings = StoreReadTimings {
    first_rank_age: Duration::from_millis(700),
    rank_step: Duration::from_millis(600),
    max_age: Duration::from_millis(2_200),
    retry_delay: Duration::from_millis(2_000),
    urgent_retry_delay: Duration::from_millis(300),
};
const ROSTER: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_mins(1) };
/// The period of exchanges, and of looks at whose turn it is.
const ROUND_MS: u64 = 400;
const LOOK_MS: u64 = 100;
/// How long one that reads on has to read, and one that is told of the list to fetch it.
const READ_MS: u64 = 400;
const FETCH_MS: u64 = 300;
/// All have started within this time.
const STARTS_MS: u64 = 300;
/// The aim for the last router to hold the list.
const WHOLE_AT_THE_LAST_MS: u64 = 9_000;
/// The aim for readers, whatever the fleet's size.
const MOST_READERS: usize = 8;

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(number).unwrap().to_be_bytes();
    ([10, 0, high, low], 8_000).into()
}

/// One router in twenty has a wide link.
fn link_mbps(number: usize) -> u32 {
    if number.is_multiple_of(20) { 200 } else { 20 }
}

/// A number that looks drawn.
fn mixed(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Exchange(usize),
    Look(usize),
    HoldsList(usize, bool),
}

struct Router {
    roster: Roster,
    plan: StoreReadSchedule,
    started_ms: u64,
    is_reading: bool,
    holds_list: bool,
    is_fetching: bool,
}

struct Fleet {
    routers: Vec<Router>,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    draws: u64,
    readers: usize,
}

impl Fleet {
    fn starting(count: usize) -> Self {
        let mut fleet = Self { routers: Vec::new(), events: BinaryHeap::new(), draws: 0, readers: 0 };
        for number in 0..count {
            let started_ms = 1_000 + mixed(number as u64) % STARTS_MS;
            let seeds: Vec<_> = (0..3).map(|seed| address(seed * count / 3)).collect();
            let roster = Roster::new(address(number), link_mbps(number), &seeds, ROSTER);
            let plan = StoreReadSchedule::new(READING);
            let router =
                Router { roster, plan, started_ms, is_reading: false, holds_list: false, is_fetching: false };
            fleet.routers.push(router);
            fleet.at(started_ms, Event::Exchange(number));
            fleet.at(started_ms + LOOK_MS, Event::Look(number));
        }
        fleet
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.events.push(std::cmp::Reverse((ms, event)));
    }

    fn heard(number: usize) -> MemberReport {
        MemberReport {
            address: address(number),
            age: Duration::ZERO,
            is_leaving: false,
            is_store_failing: false,
            link_mbps: link_mbps(number),
        }
    }

    fn number_of(address: SocketAddr) -> usize {
        match address {
            SocketAddr::V4(address) => (address.ip().to_bits() & 0xffff) as usize,
            SocketAddr::V6(_) => unreachable!("all are reached by IPv4"),
        }
    }

    /// Until all hold the list; gives when that was.
    fn run(&mut self) -> u64 {
        while let Some(std::cmp::Reverse((ms, event))) = self.events.pop() {
            let now = Instant::from_millis(ms);
            match event {
                Event::Exchange(number) => self.exchange(number, ms, now),
                Event::Look(number) => self.look(number, ms, now),
                Event::HoldsList(number, from_store) => self.holds_list(number, from_store, now),
            }
            if self.routers.iter().all(|router| router.holds_list) {
                return ms;
            }
        }
        unreachable!("exchanges go on for ever")
    }

    fn exchange(&mut self, number: usize, ms: u64, now: Instant) {
        let mut draws = self.draws;
        let mut draw = |below: usize| {
            draws += 1;
            usize::try_from(mixed(draws)).unwrap() % below
        };
        let roster = &self.routers[number].roster;
        let mut asked: Vec<_> = roster
            .contacts(Reach::RelayAndRandom, false, now, &mut draw)
            .into_iter()
            .map(Contact::address)
            .collect();
        asked.extend(roster.reconnect_contact(now, &mut draw).map(Contact::address));
        self.draws = draws;
        for address in asked {
            let other = Self::number_of(address);
            if self.routers[other].started_ms <= ms {
                self.tell(number, other, now);
                self.tell(other, number, now);
            }
        }
        self.at(
            ms + ROUND_MS * 4 / 5 + mixed(ms + number as u64) % (ROUND_MS * 2 / 5),
            Event::Exchange(number),
        );
    }

    /// `teller` tells `listener` whom it knows, and that it holds the list if it does.
    fn tell(&mut self, teller: usize, listener: usize, now: Instant) {
        let sender = Self::heard(teller);
        let members: Vec<MemberReport> =
            if self.routers[teller].roster.digest() == self.routers[listener].roster.digest() {
                Vec::new()
            } else {
                self.routers[teller].roster.members(now).collect()
            };
        let roster = &mut self.routers[listener].roster;
        roster.merge_direct(&sender, now);
        for member in &members {
            roster.merge_reported(member, sender.address, now);
        }
        if self.routers[teller].holds_list {
            self.fetch(listener, now);
        }
    }

    fn fetch(&mut self, number: usize, now: Instant) {
        let router = &mut self.routers[number];
        if !router.holds_list && !router.is_fetching {
            router.is_fetching = true;
            let ms = u64::try_from(now.since(Instant::default()).as_millis()).unwrap();
            self.at(ms + FETCH_MS, Event::HoldsList(number, false));
        }
    }

    fn look(&mut self, number: usize, ms: u64, now: Instant) {
        let router = &mut self.routers[number];
        if router.holds_list || router.is_reading {
            return;
        }
        let turn = router.plan.full_list_delay(router.roster.own_rank(false, now), false);
        if Duration::from_millis(ms - router.started_ms) < turn {
            self.at(ms + LOOK_MS, Event::Look(number));
            return;
        }
        router.is_reading = true;
        self.readers += 1;
        self.at(ms + READ_MS, Event::HoldsList(number, true));
    }

    fn holds_list(&mut self, number: usize, from_store: bool, now: Instant) {
        if std::mem::replace(&mut self.routers[number].holds_list, true) {
            return;
        }
        let origin = if from_store { Origin::Store } else { Origin::Peer };
        for listener in self.routers[number].roster.push_targets(origin, false, now) {
            self.fetch(Self::number_of(listener), now);
        }
    }
}

#[test]
fn how_many_read_a_long_list_after_a_loss_of_all_does_not_grow_with_the_fleet() {
    for count in [60, 240] {
        let mut fleet = Fleet::starting(count);
        let last_ms = fleet.run() - 1_000;
        println!("{count} routers: {} read the list, the last holds it after {last_ms} ms", fleet.readers);
        assert!(fleet.readers <= MOST_READERS, "{} of {count} read the list", fleet.readers);
        assert!(last_ms <= WHOLE_AT_THE_LAST_MS, "the last of {count} holds it after {last_ms} ms");
    }
}
