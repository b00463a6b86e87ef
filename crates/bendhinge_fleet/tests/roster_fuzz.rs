//! Small fleets explored at random: kills, restarts, cuts in both ways and in one, lost answers, frozen
//! routers, and routers of an older version among them. Whatever happened, once it is over all know
//! each other within a bounded time, and no age on the way is younger than the truth.

use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use bendhinge_fleet::{Contact, MemberReport, Reach, Roster, RosterTimeouts};
use bendhinge_ids::Instant;

const LIMITS: RosterTimeouts =
    RosterTimeouts { dead_after: Duration::from_secs(3), expire_after: Duration::from_secs(60) };
const ROUND_MS: u64 = 400;
const LINK_MBPS: u32 = 20;
/// After so many rounds without trouble all know each other: the time after which a member that was lost is
/// dead, and some rounds in which those that were apart find each other.
const SETTLED: usize = 26;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7_000))
}

/// What a router tells of itself.
fn heard(number: usize) -> MemberReport {
    MemberReport {
        address: address(number),
        age: Duration::ZERO,
        is_leaving: false,
        is_store_failing: false,
        link_mbps: LINK_MBPS,
    }
}

/// What may happen to a router in a round.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// Nothing.
    Runs,
    /// It neither asks nor answers, and keeps what it knows.
    Frozen,
    /// Its questions arrive, and answers to them are lost.
    Deaf,
}

struct Router {
    /// `None` while it is down.
    roster: Option<Roster>,
    /// It says no digest and tells every member in full.
    is_old: bool,
    fate: Fate,
    /// Only those on one side reach each other.
    side: usize,
    /// When it last ran.
    last_ran: u64,
}

struct Fleet {
    routers: Vec<Router>,
    seeds: Vec<SocketAddr>,
    now: u64,
    draws: u64,
}

impl Fleet {
    fn explored(random: &mut Unstructured<'_>) -> Result<Self> {
        let size = random.int_in_range(2..=9)?;
        let seeds = vec![address(random.int_in_range(0..=size - 1)?), address(200)];
        let mut routers = Vec::new();
        for number in 0..size {
            let roster = Some(Roster::new(address(number), LINK_MBPS, &seeds, LIMITS));
            let is_old = random.ratio(1, 4)?;
            routers.push(Router { roster, is_old, fate: Fate::Runs, side: 0, last_ran: 1_000 });
        }
        Ok(Self { routers, seeds, now: 1_000, draws: 1 })
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.draws >> 33).unwrap() % below
    }

    /// Something happens to one of them.
    fn trouble(&mut self, random: &mut Unstructured<'_>) -> Result<()> {
        let number = random.int_in_range(0..=self.routers.len() - 1)?;
        let router = &mut self.routers[number];
        match random.int_in_range(0..=6)? {
            0 => router.roster = None,
            1 => router.roster = Some(Roster::new(address(number), LINK_MBPS, &self.seeds, LIMITS)),
            2 => router.side = 1 - router.side,
            3 => router.fate = Fate::Frozen,
            4 => router.fate = Fate::Deaf,
            5 => router.is_old = !router.is_old,
            _ => router.fate = Fate::Runs,
        }
        Ok(())
    }

    /// All trouble is over: who is down comes back with the seeds.
    fn mend(&mut self) {
        for number in 0..self.routers.len() {
            let seeds = &self.seeds;
            let router = &mut self.routers[number];
            router.roster.get_or_insert_with(|| Roster::new(address(number), LINK_MBPS, seeds, LIMITS));
            router.fate = Fate::Runs;
            router.side = 0;
        }
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        for asking in 0..self.routers.len() {
            let drawn: Vec<usize> = (0..8).map(|_| self.draw(usize::MAX)).collect();
            let router = &mut self.routers[asking];
            let Some(roster) = router.roster.as_mut().filter(|_| router.fate != Fate::Frozen) else {
                continue;
            };
            let now = Instant::from_millis(self.now);
            router.last_ran = self.now;
            roster.remove_expired(now);
            let mut drawn = drawn.into_iter();
            let mut draw = |below: usize| drawn.next().unwrap_or_default() % below;
            let reach = if (self.now / ROUND_MS).is_multiple_of(4) {
                Reach::RelayAndRandom
            } else {
                Reach::RelayOnly
            };
            let mut contacts = roster.contacts(reach, false, now, &mut draw);
            contacts.extend(roster.reconnect_contact(now, &mut draw));
            for contact in contacts {
                self.exchange(asking, contact);
            }
        }
        self.check_ages();
    }

    fn exchange(&mut self, asking: usize, contact: Contact) {
        let Some(asked) = (0..self.routers.len()).find(|number| address(*number) == contact.address()) else {
            return;
        };
        let runs = self.routers[asked].roster.is_some() && self.routers[asked].fate != Fate::Frozen;
        if !runs || self.routers[asked].side != self.routers[asking].side {
            return;
        }
        let tells_all = matches!(contact, Contact::Relay(_) | Contact::Reconnect(_));
        self.tell(asking, asked, tells_all || self.routers[asking].is_old);
        if self.routers[asking].fate != Fate::Deaf {
            self.tell(asked, asking, true);
        }
    }

    fn tell(&mut self, sender: usize, listener: usize, tells_members: bool) {
        let now = Instant::from_millis(self.now);
        let own = heard(sender);
        let (is_old, from) = (self.routers[sender].is_old || self.routers[listener].is_old, address(sender));
        let telling = self.routers[sender].roster.as_ref().unwrap();
        let digest = telling.digest();
        let states = telling.states_for(address(listener), now);
        let members: Vec<MemberReport> = telling.members(now).collect();
        let listening = self.routers[listener].roster.as_mut().unwrap();
        listening.merge_direct(&own, now);
        if !tells_members {
            return;
        }
        if !is_old && listening.digest() == digest {
            listening.merge_states(&states, from, now);
        } else {
            for heard in &members {
                listening.merge_reported(heard, from, now);
            }
        }
    }

    /// Nobody believes to have heard of another after it last ran.
    fn check_ages(&self) {
        let now = Instant::from_millis(self.now);
        for roster in self.routers.iter().filter_map(|router| router.roster.as_ref()) {
            for heard in roster.members(now) {
                let number =
                    (0..self.routers.len()).find(|number| address(*number) == heard.address).unwrap();
                let truth = Duration::from_millis(self.now - self.routers[number].last_ran);
                assert!(heard.age >= truth, "{} is {:?} old, not {truth:?}", heard.address, heard.age);
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
fn once_trouble_is_over_all_know_each_other() {
    arbtest::arbtest(|random| {
        let mut fleet = Fleet::explored(random)?;
        for _ in 0..random.int_in_range(0..=60)? {
            if random.ratio(1, 2)? {
                fleet.trouble(random)?;
            }
            fleet.round();
        }
        fleet.mend();
        for _ in 0..SETTLED {
            fleet.round();
        }
        assert!(fleet.all_know_each_other(), "after {SETTLED} rounds of {} routers", fleet.routers.len());
        Ok(())
    })
    .budget_ms(2_000);
}
