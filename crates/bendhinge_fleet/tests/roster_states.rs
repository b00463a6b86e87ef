//! Simulates member state exchange in fleets of up to three hundred routers: live members stay live
//! everywhere, and a message takes one byte a member.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{Contact, MemberReport, MemberStates, Reach, Roster, RosterDigest, RosterTimeouts};
use bendhinge_ids::Instant;

const TIMEOUTS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_secs(60) };
const ROUND_MS: u64 = 400;
/// Encoded size of a member sent in full, before compression.
const FULL_MEMBER_BYTES: usize = 24;
/// Number of routers with fast links.
const FAST_LINK_COUNT: usize = 15;

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn link_mbps(number: usize) -> u32 {
    if number < FAST_LINK_COUNT { 200 } else { 20 }
}

fn report(number: usize, age_ms: u64) -> MemberReport {
    MemberReport {
        address: address(number),
        age: Duration::from_millis(age_ms),
        is_leaving: false,
        is_store_failing: false,
        link_mbps: link_mbps(number),
        forwarding_from: None,
        holds_stream_records: true,
        permits_from: None,
    }
}

/// Members as sent in a message.
enum MemberUpdate {
    Full(Vec<MemberReport>),
    States(MemberStates),
}

impl MemberUpdate {
    fn bytes(&self) -> usize {
        match self {
            Self::Full(members) => members.len() * FULL_MEMBER_BYTES,
            Self::States(states) => states.0.len(),
        }
    }
}

/// Simulated routers in virtual time. A router that is down loses its state.
struct Fleet {
    rosters: Vec<Option<Roster>>,
    now: u64,
    random_state: u64,
    /// Largest encoded size of the members in a message of the last round.
    max_bytes: usize,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let seeds = [address(0), address(9_999), address(7)];
        let roster = |number| Roster::new(address(number), link_mbps(number), &seeds, TIMEOUTS);
        let rosters = (0..size).map(|number| Some(roster(number))).collect();
        Self { rosters, now: 1_000, random_state: 1, max_bytes: 0 }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.random_state >> 33).unwrap() % below
    }

    /// Runs one round, with the exchanges of the routers spread over its duration.
    fn round(&mut self) {
        self.max_bytes = 0;
        let started_at = self.now;
        for requester in 0..self.rosters.len() {
            self.now = started_at + (requester as u64 * 7_919) % ROUND_MS;
            let now = Instant::from_millis(self.now);
            let reach = if (started_at / ROUND_MS).is_multiple_of(4) {
                Reach::RelayAndRandom
            } else {
                Reach::RelayOnly
            };
            let mut random_numbers = (0..8).map(|_| self.draw(usize::MAX)).collect::<Vec<_>>().into_iter();
            let mut draw = |below: usize| random_numbers.next().unwrap_or_default() % below;
            let Some(roster) = &self.rosters[requester] else { continue };
            let mut contacts = roster.contacts(reach, false, now, &mut draw);
            contacts.extend(roster.reconnect_contact(now, &mut draw));
            for contact in contacts {
                self.exchange(requester, contact, now);
            }
        }
        self.now = started_at + ROUND_MS;
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    fn exchange(&mut self, requester: usize, contact: Contact, now: Instant) {
        let responder = contact.address();
        let responder = (0..self.rosters.len()).find(|number| address(*number) == responder);
        let Some(responder) = responder.filter(|responder| self.rosters[*responder].is_some()) else {
            return;
        };
        // Probes carry no members in the request.
        if !matches!(contact, Contact::AlternateRelay(_) | Contact::Random(_)) {
            self.send_members(requester, responder, now);
        }
        self.receive_report(responder, requester, now);
        self.send_members(responder, requester, now);
        self.receive_report(requester, responder, now);
    }

    fn receive_report(&mut self, receiver: usize, sender: usize, now: Instant) {
        self.rosters[receiver].as_mut().unwrap().merge_direct(&report(sender, 0), now);
    }

    fn send_members(&mut self, sender: usize, receiver: usize, now: Instant) {
        let known_digest = self.rosters[receiver].as_ref().unwrap().digest();
        let member_update = self.member_update(sender, receiver, known_digest, now);
        self.max_bytes = self.max_bytes.max(member_update.bytes());
        let roster = self.rosters[receiver].as_mut().unwrap();
        match member_update {
            MemberUpdate::Full(members) => {
                for report in &members {
                    roster.merge_reported(report, address(sender), now);
                }
            }
            MemberUpdate::States(states) => roster.merge_states(&states, address(sender), now),
        }
    }

    fn member_update(
        &self,
        sender: usize,
        receiver: usize,
        known_digest: RosterDigest,
        now: Instant,
    ) -> MemberUpdate {
        let roster = self.rosters[sender].as_ref().unwrap();
        if roster.digest() == known_digest {
            MemberUpdate::States(roster.states_for(address(receiver), now))
        } else {
            MemberUpdate::Full(roster.members(now).collect())
        }
    }

    /// Returns the lowest and the highest number of live members that a router counts.
    fn live_counts(&self) -> (usize, usize) {
        let now = Instant::from_millis(self.now);
        let counts = || self.rosters.iter().flatten().map(|roster| roster.live_count(now));
        (counts().min().unwrap(), counts().max().unwrap())
    }
}

/// Ages pass through several routers. No live member may be taken for dead, and no message may exceed
/// one byte a member.
#[test]
fn live_members_stay_live_at_one_byte_each() {
    for size in [9, 87, 295] {
        let mut fleet = Fleet::new(size);
        fleet.rounds(12);
        assert_eq!(fleet.live_counts(), (size, size), "not all routers found each other");
        for round in 0..40 {
            fleet.round();
            assert_eq!(fleet.live_counts(), (size, size), "round {round} of {size}");
            assert!(fleet.max_bytes <= size, "{} bytes, round {round} of {size}", fleet.max_bytes);
        }
    }
}

/// A third of the fleet is lost at once and restarts at the same addresses without state.
#[test]
fn lost_third_is_dead_everywhere_and_then_rediscovered() {
    const SIZE: usize = 295;
    const LOST: usize = SIZE / 3;
    let mut fleet = Fleet::new(SIZE);
    fleet.rounds(12);
    for lost in 0..LOST {
        fleet.rosters[lost] = None;
    }
    fleet.rounds(14);
    assert_eq!(fleet.live_counts(), (SIZE - LOST, SIZE - LOST), "5.6 s after the loss");
    for restarted in 0..LOST {
        let seeds = [address(0), address(200)];
        fleet.rosters[restarted] =
            Some(Roster::new(address(restarted), link_mbps(restarted), &seeds, TIMEOUTS));
    }
    fleet.rounds(8);
    assert_eq!(fleet.live_counts(), (SIZE, SIZE), "3.2 s after the restart");
}

#[test]
fn equal_members_have_equal_digests() {
    let now = Instant::from_millis(100_000);
    let roster_with = |own: usize, others: &[usize]| {
        let mut roster = Roster::new(address(own), link_mbps(own), &[], TIMEOUTS);
        for other in others {
            roster.merge_direct(&report(*other, 0), now);
        }
        roster
    };
    assert_eq!(roster_with(0, &[1, 2]).digest(), roster_with(2, &[1, 0]).digest());
    assert_ne!(roster_with(0, &[1, 2]).digest(), roster_with(0, &[1]).digest());
    assert_ne!(roster_with(0, &[1, 2]).digest(), roster_with(0, &[1, 3]).digest());
    let mut expiring = roster_with(0, &[1]);
    expiring.merge_direct(&report(2, 59_000), now);
    assert_eq!(expiring.digest(), roster_with(0, &[1, 2]).digest());
    expiring.remove_expired(now + Duration::from_secs(2));
    assert_eq!(expiring.digest(), roster_with(0, &[1]).digest());
}

#[test]
fn digest_covers_the_link_speed() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), 200, &[], TIMEOUTS);
    roster.merge_direct(&report(1, 1_000), now);
    let before = roster.digest();
    roster.merge_direct(&MemberReport { link_mbps: 1, ..report(1, 0) }, now);
    assert_ne!(roster.digest(), before);
    roster.merge_direct(&report(1, 0), now + Duration::from_millis(1));
    assert_eq!(roster.digest(), before);
}

#[test]
fn states_carry_leaving_and_failing_flags() {
    let now = Instant::from_millis(10_000);
    let mut sender_roster = Roster::new(address(0), link_mbps(0), &[], TIMEOUTS);
    let mut receiver_roster = Roster::new(address(1), link_mbps(1), &[], TIMEOUTS);
    for roster in [&mut sender_roster, &mut receiver_roster] {
        for number in 0..4 {
            roster.merge_direct(&report(number, 1_000), now);
        }
    }
    sender_roster.merge_direct(&MemberReport { is_leaving: true, ..report(2, 100) }, now);
    sender_roster.merge_direct(&MemberReport { is_store_failing: true, ..report(3, 100) }, now);
    assert_eq!(sender_roster.digest(), receiver_roster.digest());
    receiver_roster.merge_states(&sender_roster.states_for(address(1), now), address(0), now);
    assert_eq!(receiver_roster.live_count(now), 3);
    let failing = |report: MemberReport| report.address == address(3) && report.is_store_failing;
    assert!(receiver_roster.members(now).any(failing));
    assert!(
        receiver_roster.members(now).all(|report| report.age >= Duration::from_millis(100)),
        "an age is too low"
    );
}

#[test]
fn states_of_other_members_are_ignored() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), link_mbps(0), &[], TIMEOUTS);
    roster.merge_direct(&report(1, 1_000), now);
    for states in [vec![], vec![0], vec![0, 0, 0]] {
        roster.merge_states(&MemberStates(states), address(1), now);
    }
    assert!(roster.members(now).all(|report| report.age == Duration::from_secs(1)));
}

#[test]
fn members_reported_by_the_receiver_are_left_out() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), link_mbps(0), &[], TIMEOUTS);
    roster.merge_reported(&report(1, 0), address(2), now);
    roster.merge_direct(&report(2, 0), now);
    roster.merge_direct(&report(3, 0), now);
    let MemberStates(states) = roster.states_for(address(2), now);
    let reported_states: Vec<u8> = states.iter().copied().filter(|state| *state == 0).collect();
    assert_eq!(reported_states, [0], "only the third member is reported: {states:?}");
}

/// Forwarding over any number of routers must not make a member look more recently heard.
#[test]
fn forwarding_never_makes_a_member_look_younger() {
    arbtest::arbtest(|random| {
        let started_at = 10_000;
        let mut elapsed: u64 = random.int_in_range(0..=300)?;
        let mut sender_roster = Roster::new(address(0), link_mbps(0), &[], TIMEOUTS);
        sender_roster.merge_direct(&report(9, 0), Instant::from_millis(started_at));
        for next in 1..=random.int_in_range(1..=6)? {
            let now = Instant::from_millis(started_at + elapsed);
            let mut receiver_roster = Roster::new(address(next), link_mbps(next), &[], TIMEOUTS);
            // It knows the same members, but heard from one of them long ago.
            receiver_roster.merge_direct(&report(next - 1, 0), now);
            receiver_roster.merge_direct(&report(9, 9_000), now);
            sender_roster.merge_direct(&report(next, 0), now);
            for forgotten in 0..next.saturating_sub(1) {
                receiver_roster.merge_direct(&report(forgotten, 5_000), now);
            }
            assert_eq!(sender_roster.digest(), receiver_roster.digest());
            receiver_roster.merge_states(
                &sender_roster.states_for(address(next), now),
                address(next - 1),
                now,
            );
            let age = receiver_roster.members(now).find(|report| report.address == address(9)).unwrap().age;
            assert!(age >= Duration::from_millis(elapsed), "{age:?} after {elapsed} ms");
            assert!(elapsed > 2_500 || age < Duration::from_secs(9), "the recent age is not forwarded");
            elapsed += random.int_in_range(0..=400)?;
            sender_roster = receiver_roster;
        }
        Ok(())
    });
}
