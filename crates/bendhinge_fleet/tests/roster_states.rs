//! What a fleet of three hundred tells each other of its members: who lives stays live everywhere, and
//! a message takes a byte a member.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{Contact, MemberReport, MemberStates, Reach, Roster, RosterDigest, RosterTimeouts};
use bendhinge_ids::Instant;

const LIMITS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_secs(60) };
const ROUND_MS: u64 = 400;
/// Bytes of a member that is told in full, before compression.
const LISTED_BYTES: usize = 24;
/// The boxes with wide links of a fleet, as the users' largest deployment has them.
const WIDE: usize = 15;

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn link_mbps(number: usize) -> u32 {
    if number < WIDE { 200 } else { 20 }
}

fn heard(number: usize, age_ms: u64) -> MemberReport {
    MemberReport {
        address: address(number),
        age: Duration::from_millis(age_ms),
        is_leaving: false,
        is_store_failing: false,
        link_mbps: link_mbps(number),
    }
}

/// What one tells another of members.
enum Told {
    Listed(Vec<MemberReport>),
    States(MemberStates),
}

impl Told {
    fn bytes(&self) -> usize {
        match self {
            Self::Listed(members) => members.len() * LISTED_BYTES,
            Self::States(states) => states.0.len(),
        }
    }
}

/// Routers in virtual time; one that is down keeps no state.
struct Fleet {
    rosters: Vec<Option<Roster>>,
    now: u64,
    draws: u64,
    /// The most bytes of members in a message of the last round.
    most_bytes: usize,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let seeds = [address(0), address(9_999), address(7)];
        let roster = |number| Roster::new(address(number), link_mbps(number), &seeds, LIMITS);
        let rosters = (0..size).map(|number| Some(roster(number))).collect();
        Self { rosters, now: 1_000, draws: 1, most_bytes: 0 }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.draws >> 33).unwrap() % below
    }

    /// Each asks whom it would ask, some earlier and some later in the round.
    fn round(&mut self) {
        self.most_bytes = 0;
        let began = self.now;
        for asking in 0..self.rosters.len() {
            self.now = began + (asking as u64 * 7_919) % ROUND_MS;
            let now = Instant::from_millis(self.now);
            let reach =
                if (began / ROUND_MS).is_multiple_of(4) { Reach::RelayAndRandom } else { Reach::RelayOnly };
            let mut drawn = (0..8).map(|_| self.draw(usize::MAX)).collect::<Vec<_>>().into_iter();
            let mut draw = |below: usize| drawn.next().unwrap_or_default() % below;
            let Some(roster) = &self.rosters[asking] else { continue };
            let mut contacts = roster.contacts(reach, false, now, &mut draw);
            contacts.extend(roster.reconnect_contact(now, &mut draw));
            for contact in contacts {
                self.exchange(asking, contact, now);
            }
        }
        self.now = began + ROUND_MS;
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    fn exchange(&mut self, asking: usize, contact: Contact, now: Instant) {
        let asked = contact.address();
        let asked = (0..self.rosters.len()).find(|number| address(*number) == asked);
        let Some(asked) = asked.filter(|asked| self.rosters[*asked].is_some()) else { return };
        // Others than the own reader are asked and told nothing of members.
        if !matches!(contact, Contact::AlternateRelay(_) | Contact::Random(_)) {
            self.tell(asking, asked, now);
        }
        self.hear(asked, asking, now);
        self.tell(asked, asking, now);
        self.hear(asking, asked, now);
    }

    fn hear(&mut self, listener: usize, sender: usize, now: Instant) {
        self.rosters[listener].as_mut().unwrap().merge_direct(&heard(sender, 0), now);
    }

    fn tell(&mut self, sender: usize, listener: usize, now: Instant) {
        let known = self.rosters[listener].as_ref().unwrap().digest();
        let told = self.told(sender, listener, known, now);
        self.most_bytes = self.most_bytes.max(told.bytes());
        let roster = self.rosters[listener].as_mut().unwrap();
        match told {
            Told::Listed(members) => {
                for heard in &members {
                    roster.merge_reported(heard, address(sender), now);
                }
            }
            Told::States(states) => roster.merge_states(&states, address(sender), now),
        }
    }

    fn told(&self, sender: usize, listener: usize, known: RosterDigest, now: Instant) -> Told {
        let roster = self.rosters[sender].as_ref().unwrap();
        if roster.digest() == known {
            Told::States(roster.states_for(address(listener), now))
        } else {
            Told::Listed(roster.members(now).collect())
        }
    }

    /// The fewest and the most that a router counts as live.
    fn live_counts(&self) -> (usize, usize) {
        let now = Instant::from_millis(self.now);
        let counts = || self.rosters.iter().flatten().map(|roster| roster.live_count(now));
        (counts().min().unwrap(), counts().max().unwrap())
    }
}

/// Ages pass through at most three others on their way. In none of forty rounds anybody who
/// lives is taken for dead, and no message holds more than a byte a member.
#[test]
fn who_lives_is_live_everywhere_at_a_byte_a_member() {
    for size in [9, 87, 295] {
        let mut fleet = Fleet::new(size);
        fleet.rounds(12);
        assert_eq!(fleet.live_counts(), (size, size), "all found each other");
        for round in 0..40 {
            fleet.round();
            assert_eq!(fleet.live_counts(), (size, size), "round {round} of {size}");
            assert!(fleet.most_bytes <= size, "{} bytes, round {round} of {size}", fleet.most_bytes);
        }
    }
}

/// A third is lost at once, and comes back at the same addresses without any memory.
#[test]
fn a_third_that_is_lost_is_dead_everywhere_and_live_again() {
    const SIZE: usize = 295;
    const LOST: usize = SIZE / 3;
    let mut fleet = Fleet::new(SIZE);
    fleet.rounds(12);
    for lost in 0..LOST {
        fleet.rosters[lost] = None;
    }
    fleet.rounds(14);
    assert_eq!(fleet.live_counts(), (SIZE - LOST, SIZE - LOST), "5.6 s after the loss");
    for back in 0..LOST {
        let seeds = [address(0), address(200)];
        fleet.rosters[back] = Some(Roster::new(address(back), link_mbps(back), &seeds, LIMITS));
    }
    fleet.rounds(8);
    assert_eq!(fleet.live_counts(), (SIZE, SIZE), "3.2 s after the return");
}

#[test]
fn routers_that_know_the_same_have_the_same_digest() {
    let now = Instant::from_millis(100_000);
    let knowing = |own: usize, others: &[usize]| {
        let mut roster = Roster::new(address(own), link_mbps(own), &[], LIMITS);
        for other in others {
            roster.merge_direct(&heard(*other, 0), now);
        }
        roster
    };
    assert_eq!(knowing(0, &[1, 2]).digest(), knowing(2, &[1, 0]).digest());
    assert_ne!(knowing(0, &[1, 2]).digest(), knowing(0, &[1]).digest());
    assert_ne!(knowing(0, &[1, 2]).digest(), knowing(0, &[1, 3]).digest());
    let mut forgetting = knowing(0, &[1]);
    forgetting.merge_direct(&heard(2, 59_000), now);
    assert_eq!(forgetting.digest(), knowing(0, &[1, 2]).digest());
    forgetting.remove_expired(now + Duration::from_secs(2));
    assert_eq!(forgetting.digest(), knowing(0, &[1]).digest());
}

#[test]
fn a_member_whose_link_changed_is_another_to_the_digest() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), 200, &[], LIMITS);
    roster.merge_direct(&heard(1, 1_000), now);
    let before = roster.digest();
    roster.merge_direct(&MemberReport { link_mbps: 1, ..heard(1, 0) }, now);
    assert_ne!(roster.digest(), before);
    roster.merge_direct(&heard(1, 0), now + Duration::from_millis(1));
    assert_eq!(roster.digest(), before);
}

#[test]
fn states_tell_who_leaves_and_whose_reads_fail() {
    let now = Instant::from_millis(10_000);
    let mut telling = Roster::new(address(0), link_mbps(0), &[], LIMITS);
    let mut listening = Roster::new(address(1), link_mbps(1), &[], LIMITS);
    for roster in [&mut telling, &mut listening] {
        for number in 0..4 {
            roster.merge_direct(&heard(number, 1_000), now);
        }
    }
    telling.merge_direct(&MemberReport { is_leaving: true, ..heard(2, 100) }, now);
    telling.merge_direct(&MemberReport { is_store_failing: true, ..heard(3, 100) }, now);
    assert_eq!(telling.digest(), listening.digest());
    listening.merge_states(&telling.states_for(address(1), now), address(0), now);
    assert_eq!(listening.live_count(now), 3);
    let failing = |heard: MemberReport| heard.address == address(3) && heard.is_store_failing;
    assert!(listening.members(now).any(failing));
    assert!(listening.members(now).all(|heard| heard.age >= Duration::from_millis(100)), "none is younger");
}

#[test]
fn states_of_other_members_are_not_taken() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), link_mbps(0), &[], LIMITS);
    roster.merge_direct(&heard(1, 1_000), now);
    for states in [vec![], vec![0], vec![0, 0, 0]] {
        roster.merge_states(&MemberStates(states), address(1), now);
    }
    assert!(roster.members(now).all(|heard| heard.age == Duration::from_secs(1)));
}

#[test]
fn nobody_is_told_what_it_told_itself() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(address(0), link_mbps(0), &[], LIMITS);
    roster.merge_reported(&heard(1, 0), address(2), now);
    roster.merge_direct(&heard(2, 0), now);
    roster.merge_direct(&heard(3, 0), now);
    let MemberStates(states) = roster.states_for(address(2), now);
    let told: Vec<u8> = states.iter().copied().filter(|state| *state == 0).collect();
    assert_eq!(told, [0], "only of the third: {states:?}");
}

/// Over any number of routers a member never looks as if it had been heard from later than it was.
#[test]
fn nobody_looks_younger_on_the_way() {
    arbtest::arbtest(|random| {
        let began = 10_000;
        let mut elapsed: u64 = random.int_in_range(0..=300)?;
        let mut telling = Roster::new(address(0), link_mbps(0), &[], LIMITS);
        telling.merge_direct(&heard(9, 0), Instant::from_millis(began));
        for next in 1..=random.int_in_range(1..=6)? {
            let now = Instant::from_millis(began + elapsed);
            let mut listening = Roster::new(address(next), link_mbps(next), &[], LIMITS);
            // It knows the same members, of one of them from long ago.
            listening.merge_direct(&heard(next - 1, 0), now);
            listening.merge_direct(&heard(9, 9_000), now);
            telling.merge_direct(&heard(next, 0), now);
            for forgotten in 0..next.saturating_sub(1) {
                listening.merge_direct(&heard(forgotten, 5_000), now);
            }
            assert_eq!(telling.digest(), listening.digest());
            listening.merge_states(&telling.states_for(address(next), now), address(next - 1), now);
            let age = listening.members(now).find(|heard| heard.address == address(9)).unwrap().age;
            assert!(age >= Duration::from_millis(elapsed), "{age:?} after {elapsed} ms");
            assert!(elapsed > 2_500 || age < Duration::from_secs(9), "it is told");
            elapsed += random.int_in_range(0..=400)?;
            telling = listening;
        }
        Ok(())
    });
}
