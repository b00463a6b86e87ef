//! Simulates the simultaneous start of a whole fleet with an upstream list that takes long to read.
//!
//! After a total loss, hundreds of routers start with three seeds and without known ranks. The number of
//! routers that read the full list from the store must not grow with the fleet, since they share its
//! bandwidth.

use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{
    Contact, MemberReport, Origin, Reach, Roster, RosterTimeouts, StoreReadSchedule, StoreReadTimings,
};
use bendhinge_ids::Instant;

const READ_TIMINGS: StoreReadTimings = StoreReadTimings {
    first_rank_age: Duration::from_millis(700),
    rank_step: Duration::from_millis(600),
    max_age: Duration::from_millis(2_200),
    retry_delay: Duration::from_millis(2_000),
    urgent_retry_delay: Duration::from_millis(300),
};
const ROSTER_TIMEOUTS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_mins(1) };
/// Period of exchanges, and of checks whether a router's read is due.
const EXCHANGE_PERIOD_MS: u64 = 400;
const CHECK_PERIOD_MS: u64 = 100;
/// Duration of a read from the store, and of a fetch from a peer.
const READ_DURATION_MS: u64 = 400;
const FETCH_DURATION_MS: u64 = 300;
/// Interval within which all routers start.
const START_SPREAD_MS: u64 = 300;
/// Time within which the last router must hold the list.
const MAX_COMPLETION_MS: u64 = 9_000;
/// Maximum number of readers for any fleet size.
const MAX_READERS: usize = 8;

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(number).unwrap().to_be_bytes();
    ([10, 0, high, low], 8_000).into()
}

/// Gives every twentieth router a fast link.
fn link_mbps(number: usize) -> u32 {
    if number.is_multiple_of(20) { 200 } else { 20 }
}

/// Returns a deterministic pseudorandom number.
fn pseudorandom(seed: u64) -> u64 {
    let mut value = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^= value >> 29;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^ value >> 32
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Exchange(usize),
    CheckRead(usize),
    ListReceived(usize, bool),
}

struct Router {
    roster: Roster,
    read_schedule: StoreReadSchedule,
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
            let started_ms = 1_000 + pseudorandom(number as u64) % START_SPREAD_MS;
            let seeds: Vec<_> = (0..3).map(|seed| address(seed * count / 3)).collect();
            let roster = Roster::new(address(number), link_mbps(number), &seeds, ROSTER_TIMEOUTS);
            let read_schedule = StoreReadSchedule::new(READ_TIMINGS);
            let router = Router {
                roster,
                read_schedule,
                started_ms,
                is_reading: false,
                holds_list: false,
                is_fetching: false,
            };
            fleet.routers.push(router);
            fleet.schedule(started_ms, Event::Exchange(number));
            fleet.schedule(started_ms + CHECK_PERIOD_MS, Event::CheckRead(number));
        }
        fleet
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.events.push(std::cmp::Reverse((ms, event)));
    }

    fn self_report(number: usize) -> MemberReport {
        MemberReport {
            address: address(number),
            age: Duration::ZERO,
            is_leaving: false,
            is_store_failing: false,
            link_mbps: link_mbps(number),
            forwarding_from: None,
            holds_stream_records: true,
            permits_from: None,
        }
    }

    fn router_number(address: SocketAddr) -> usize {
        match address {
            SocketAddr::V4(address) => (address.ip().to_bits() & 0xffff) as usize,
            SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
        }
    }

    /// Runs until all routers hold the list and returns the time in milliseconds.
    fn run(&mut self) -> u64 {
        while let Some(std::cmp::Reverse((ms, event))) = self.events.pop() {
            let now = Instant::from_millis(ms);
            match event {
                Event::Exchange(number) => self.exchange(number, ms, now),
                Event::CheckRead(number) => self.check_read(number, ms, now),
                Event::ListReceived(number, from_store) => self.receive_list(number, from_store, now),
            }
            if self.routers.iter().all(|router| router.holds_list) {
                return ms;
            }
        }
        unreachable!("exchanges are rescheduled indefinitely")
    }

    fn exchange(&mut self, number: usize, ms: u64, now: Instant) {
        let mut draws = self.draws;
        let mut draw = |below: usize| {
            draws += 1;
            usize::try_from(pseudorandom(draws)).unwrap() % below
        };
        let roster = &self.routers[number].roster;
        let mut contacted: Vec<_> = roster
            .contacts(Reach::RelayAndRandom, false, now, &mut draw)
            .into_iter()
            .map(Contact::address)
            .collect();
        contacted.extend(roster.reconnect_contact(now, &mut draw).map(Contact::address));
        self.draws = draws;
        for address in contacted {
            let other = Self::router_number(address);
            if self.routers[other].started_ms <= ms {
                self.send_state(number, other, now);
                self.send_state(other, number, now);
            }
        }
        self.schedule(
            ms + EXCHANGE_PERIOD_MS * 4 / 5 + pseudorandom(ms + number as u64) % (EXCHANGE_PERIOD_MS * 2 / 5),
            Event::Exchange(number),
        );
    }

    /// Sends the members known to `sender_number`, and an announcement of the list if it holds it.
    fn send_state(&mut self, sender_number: usize, receiver: usize, now: Instant) {
        let sender = Self::self_report(sender_number);
        let members: Vec<MemberReport> =
            if self.routers[sender_number].roster.digest() == self.routers[receiver].roster.digest() {
                Vec::new()
            } else {
                self.routers[sender_number].roster.members(now).collect()
            };
        let roster = &mut self.routers[receiver].roster;
        roster.merge_direct(&sender, now);
        for member in &members {
            roster.merge_reported(member, sender.address, now);
        }
        if self.routers[sender_number].holds_list {
            self.fetch(receiver, now);
        }
    }

    fn fetch(&mut self, number: usize, now: Instant) {
        let router = &mut self.routers[number];
        if !router.holds_list && !router.is_fetching {
            router.is_fetching = true;
            let ms = u64::try_from(now.since(Instant::default()).as_millis()).unwrap();
            self.schedule(ms + FETCH_DURATION_MS, Event::ListReceived(number, false));
        }
    }

    fn check_read(&mut self, number: usize, ms: u64, now: Instant) {
        let router = &mut self.routers[number];
        if router.holds_list || router.is_reading {
            return;
        }
        let delay = router.read_schedule.full_list_delay(router.roster.own_rank(false, now), false);
        if Duration::from_millis(ms - router.started_ms) < delay {
            self.schedule(ms + CHECK_PERIOD_MS, Event::CheckRead(number));
            return;
        }
        router.is_reading = true;
        self.readers += 1;
        self.schedule(ms + READ_DURATION_MS, Event::ListReceived(number, true));
    }

    fn receive_list(&mut self, number: usize, from_store: bool, now: Instant) {
        if std::mem::replace(&mut self.routers[number].holds_list, true) {
            return;
        }
        let origin = if from_store { Origin::Store } else { Origin::Peer };
        for receiver in self.routers[number].roster.push_targets(origin, false, now) {
            self.fetch(Self::router_number(receiver), now);
        }
    }
}

#[test]
fn readers_of_a_long_list_do_not_grow_with_the_fleet() {
    for count in [60, 240] {
        let mut fleet = Fleet::starting(count);
        let last_ms = fleet.run() - 1_000;
        println!("{count} routers: {} read the list, the last holds it after {last_ms} ms", fleet.readers);
        assert!(fleet.readers <= MAX_READERS, "{} of {count} read the list", fleet.readers);
        assert!(last_ms <= MAX_COMPLETION_MS, "the last of {count} holds it after {last_ms} ms");
    }
}
