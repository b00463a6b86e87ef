//! Randomized simulation of small fleets with restarts, symmetric and one-way partitions, lost
//! responses, frozen routers and routers of an older version.
//!
//! After the faults end, all routers must know each other within a bounded number of rounds, and no
//! reported age may be lower than the true one.

use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use bendhinge_fleet::{Contact, MemberReport, Reach, Roster, RosterTimeouts};
use bendhinge_ids::Instant;

const TIMEOUTS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_secs(60) };
const ROUND_MS: u64 = 400;
const LINK_MBPS: u32 = 20;
/// Rounds without faults after which all routers know each other: the time until a lost member counts as
/// dead, and some rounds for rediscovery.
const RECOVERY_ROUNDS: usize = 26;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7_000))
}

/// Returns the report of a router on itself.
fn report(number: usize) -> MemberReport {
    MemberReport {
        address: address(number),
        age: Duration::ZERO,
        is_leaving: false,
        is_store_failing: false,
        link_mbps: LINK_MBPS,
        forwarding_from: None,
        holds_stream_records: true,
        permits_from: None,
    }
}

/// Fault of a router in a round.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// No fault.
    Healthy,
    /// Neither sends nor answers requests, and keeps its state.
    Frozen,
    /// Its requests arrive, but the responses are lost.
    ResponsesLost,
}

struct Router {
    /// `None` while the router is down.
    roster: Option<Roster>,
    /// Whether it runs an older version, which has no digest and sends every member in full.
    is_old_version: bool,
    fault: Fault,
    /// Only routers of the same partition reach each other.
    partition: usize,
    /// Time at which it last ran.
    last_ran_ms: u64,
}

struct Fleet {
    routers: Vec<Router>,
    seeds: Vec<SocketAddr>,
    now: u64,
    random_state: u64,
}

impl Fleet {
    fn with_random_seeds(random: &mut Unstructured<'_>) -> Result<Self> {
        let size = random.int_in_range(2..=9)?;
        let seeds = vec![address(random.int_in_range(0..=size - 1)?), address(200)];
        let mut routers = Vec::new();
        for number in 0..size {
            let roster = Some(Roster::new(address(number), LINK_MBPS, &seeds, TIMEOUTS));
            let is_old_version = random.ratio(1, 4)?;
            routers.push(Router {
                roster,
                is_old_version,
                fault: Fault::Healthy,
                partition: 0,
                last_ran_ms: 1_000,
            });
        }
        Ok(Self { routers, seeds, now: 1_000, random_state: 1 })
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.random_state >> 33).unwrap() % below
    }

    /// Applies a random fault to one router.
    fn inject_fault(&mut self, random: &mut Unstructured<'_>) -> Result<()> {
        let number = random.int_in_range(0..=self.routers.len() - 1)?;
        let router = &mut self.routers[number];
        match random.int_in_range(0..=6)? {
            0 => router.roster = None,
            1 => router.roster = Some(Roster::new(address(number), LINK_MBPS, &self.seeds, TIMEOUTS)),
            2 => router.partition = 1 - router.partition,
            3 => router.fault = Fault::Frozen,
            4 => router.fault = Fault::ResponsesLost,
            5 => router.is_old_version = !router.is_old_version,
            _ => router.fault = Fault::Healthy,
        }
        Ok(())
    }

    /// Ends all faults and restarts the routers that are down.
    fn end_faults(&mut self) {
        for number in 0..self.routers.len() {
            let seeds = &self.seeds;
            let router = &mut self.routers[number];
            router.roster.get_or_insert_with(|| Roster::new(address(number), LINK_MBPS, seeds, TIMEOUTS));
            router.fault = Fault::Healthy;
            router.partition = 0;
        }
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        for requester in 0..self.routers.len() {
            let random_numbers: Vec<usize> = (0..8).map(|_| self.draw(usize::MAX)).collect();
            let router = &mut self.routers[requester];
            let Some(roster) = router.roster.as_mut().filter(|_| router.fault != Fault::Frozen) else {
                continue;
            };
            let now = Instant::from_millis(self.now);
            router.last_ran_ms = self.now;
            roster.remove_expired(now);
            let mut random_numbers = random_numbers.into_iter();
            let mut draw = |below: usize| random_numbers.next().unwrap_or_default() % below;
            let reach = if (self.now / ROUND_MS).is_multiple_of(4) {
                Reach::RelayAndRandom
            } else {
                Reach::RelayOnly
            };
            let mut contacts = roster.contacts(reach, false, now, &mut draw);
            contacts.extend(roster.reconnect_contact(now, &mut draw));
            for contact in contacts {
                self.exchange(requester, contact);
            }
        }
        self.check_ages();
    }

    fn exchange(&mut self, requester: usize, contact: Contact) {
        let Some(responder) = (0..self.routers.len()).find(|number| address(*number) == contact.address())
        else {
            return;
        };
        let runs = self.routers[responder].roster.is_some() && self.routers[responder].fault != Fault::Frozen;
        if !runs || self.routers[responder].partition != self.routers[requester].partition {
            return;
        }
        let sends_members = matches!(contact, Contact::Relay(_) | Contact::Reconnect(_));
        self.send_state(requester, responder, sends_members || self.routers[requester].is_old_version);
        if self.routers[requester].fault != Fault::ResponsesLost {
            self.send_state(responder, requester, true);
        }
    }

    fn send_state(&mut self, sender: usize, receiver: usize, with_members: bool) {
        let now = Instant::from_millis(self.now);
        let self_report = report(sender);
        let (is_old_version, from) =
            (self.routers[sender].is_old_version || self.routers[receiver].is_old_version, address(sender));
        let sender_roster = self.routers[sender].roster.as_ref().unwrap();
        let digest = sender_roster.digest();
        let states = sender_roster.states_for(address(receiver), now);
        let members: Vec<MemberReport> = sender_roster.members(now).collect();
        let receiver_roster = self.routers[receiver].roster.as_mut().unwrap();
        receiver_roster.merge_direct(&self_report, now);
        if !with_members {
            return;
        }
        if !is_old_version && receiver_roster.digest() == digest {
            receiver_roster.merge_states(&states, from, now);
        } else {
            for report in &members {
                receiver_roster.merge_reported(report, from, now);
            }
        }
    }

    /// Checks that no member is reported as heard after it last ran.
    fn check_ages(&self) {
        let now = Instant::from_millis(self.now);
        for roster in self.routers.iter().filter_map(|router| router.roster.as_ref()) {
            for report in roster.members(now) {
                let number =
                    (0..self.routers.len()).find(|number| address(*number) == report.address).unwrap();
                let true_age = Duration::from_millis(self.now - self.routers[number].last_ran_ms);
                assert!(
                    report.age >= true_age,
                    "{} is reported {:?} ago, but last ran {true_age:?} ago",
                    report.address,
                    report.age
                );
            }
        }
    }

    fn all_know_each_other(&self) -> bool {
        let now = Instant::from_millis(self.now);
        let size = self.routers.len();
        self.routers.iter().flat_map(|router| &router.roster).all(|roster| roster.live_count(now) == size)
    }
}

#[test]
fn all_routers_know_each_other_after_the_faults_end() {
    arbtest::arbtest(|random| {
        let mut fleet = Fleet::with_random_seeds(random)?;
        for _ in 0..random.int_in_range(0..=60)? {
            if random.ratio(1, 2)? {
                fleet.inject_fault(random)?;
            }
            fleet.round();
        }
        fleet.end_faults();
        for _ in 0..RECOVERY_ROUNDS {
            fleet.round();
        }
        assert!(
            fleet.all_know_each_other(),
            "after {RECOVERY_ROUNDS} rounds of {} routers",
            fleet.routers.len()
        );
        Ok(())
    })
    .budget_ms(2_000);
}
