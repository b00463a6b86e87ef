//! Which routers there are.
//!
//! Nothing lists them. A router knows a few seeds, which may be stale, down or cut off, and
//! hears of the others from whoever it reaches. What is known of a member is how long ago
//! anybody heard from it directly; members that nobody heard from are kept for a while as
//! contacts, so that two parts of a fleet that were cut apart find each other again.

mod ranks;
mod states;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;

use self::ranks::{pick_random, primary_relay, rank_score, relays};
pub use self::states::{MemberStates, RosterDigest};

/// The times that membership depends on.
#[derive(Clone, Copy, Debug)]
pub struct RosterTimeouts {
    /// A member unheard of for longer counts as dead.
    pub dead_after: Duration,
    /// One unheard of for longer is forgotten.
    pub expire_after: Duration,
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// When anybody last heard from it, by the own clock.
    pub last_heard: Instant,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether its reads of the store fail.
    pub is_store_failing: bool,
    /// What its link carries, in megabits a second; 0 if that is not known.
    pub link_mbps: u32,
    /// Who told of it last; the member itself, if it was heard directly.
    reported_by: SocketAddr,
    /// Its place among members that are alike.
    rank_score: u64,
}

/// A member as another router tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// Where it is reached.
    pub address: SocketAddr,
    /// How long ago it was heard from.
    pub age: Duration,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether its reads of the store fail.
    pub is_store_failing: bool,
    /// What its link carries, in megabits a second; 0 if that is not known.
    pub link_mbps: u32,
}

/// Whom to talk to next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The one of those nearer to the store that is asked most.
    Relay(SocketAddr),
    /// Another of them, in case that one is cut off without knowing it.
    AlternateRelay(SocketAddr),
    /// Any live member.
    Random(SocketAddr),
    /// A seed, or a member that counts as dead.
    Reconnect(SocketAddr),
}

impl Contact {
    /// Where it is reached.
    #[must_use]
    pub const fn address(self) -> SocketAddr {
        match self {
            Self::Relay(address)
            | Self::AlternateRelay(address)
            | Self::Random(address)
            | Self::Reconnect(address) => address,
        }
    }
}

/// From where a router has news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It read the store.
    Store,
    /// Another router told it.
    Peer,
}

impl Origin {
    /// The word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// How far a round of exchanges reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// To one of those nearer to the store alone.
    RelayOnly,
    /// To any member besides.
    RelayAndRandom,
}

/// In one round of this many another reader is asked than a router's own.
const ALTERNATE_RELAY_PERIOD: usize = 4;

/// The members as one router knows them.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    own_link_mbps: u32,
    timeouts: RosterTimeouts,
    seeds: Vec<SocketAddr>,
    /// In the order of addresses, which is the same at all routers that know the same members.
    members: BTreeMap<SocketAddr, Member>,
    digest: RosterDigest,
}

impl Roster {
    /// A roster of a router reached at `own` that knows only its seeds.
    #[must_use]
    pub fn new(own: SocketAddr, own_link_mbps: u32, seeds: &[SocketAddr], timeouts: RosterTimeouts) -> Self {
        let digest = RosterDigest::of(rank_score(own), own_link_mbps);
        let mut roster =
            Self { own, own_link_mbps, timeouts, seeds: Vec::new(), members: BTreeMap::new(), digest };
        roster.set_seeds(seeds);
        roster
    }

    /// Replaces the seeds after the settings changed.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.own).collect();
    }

    /// Takes in what a member tells of itself, received at `now`.
    pub fn merge_direct(&mut self, report: &MemberReport, now: Instant) {
        self.merge_reported(report, report.address, now);
    }

    /// Takes in what the router at `told_by` tells of a member, received at `now`.
    pub fn merge_reported(&mut self, report: &MemberReport, reported_by: SocketAddr, now: Instant) {
        if report.address == self.own || report.age >= self.timeouts.expire_after {
            return;
        }
        let heard_at = now - report.age;
        let (rank_score, known_link_mbps) = match self.members.get(&report.address) {
            Some(known) if known.last_heard >= heard_at => return,
            Some(known) => (known.rank_score, Some(known.link_mbps)),
            None => (rank_score(report.address), None),
        };
        if known_link_mbps != Some(report.link_mbps) {
            if let Some(link_mbps) = known_link_mbps {
                self.digest.toggle(RosterDigest::of(rank_score, link_mbps));
            }
            self.digest.toggle(RosterDigest::of(rank_score, report.link_mbps));
        }
        let member = Member {
            last_heard: heard_at,
            is_leaving: report.is_leaving,
            is_store_failing: report.is_store_failing,
            link_mbps: report.link_mbps,
            reported_by,
            rank_score,
        };
        self.members.insert(report.address, member);
    }

    /// The known members, for telling others.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = MemberReport> {
        self.members.iter().map(move |(address, member)| MemberReport {
            address: *address,
            age: now.since(member.last_heard),
            is_leaving: member.is_leaving,
            is_store_failing: member.is_store_failing,
            link_mbps: member.link_mbps,
        })
    }

    /// Forgets members that nobody heard from for long.
    pub fn remove_expired(&mut self, now: Instant) {
        let after = self.timeouts.expire_after;
        let Self { members, digest, .. } = self;
        members.retain(|_, member| {
            let is_kept = now.since(member.last_heard) < after;
            if !is_kept {
                digest.toggle(RosterDigest::of(member.rank_score, member.link_mbps));
            }
            is_kept
        });
    }

    /// The members that were heard from lately and are not about to stop.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Member)> {
        let live = self.members.iter().filter(move |(_, member)| self.is_live(member, now));
        live.map(|(address, member)| (*address, member))
    }

    fn is_live(&self, member: &Member, now: Instant) -> bool {
        !member.is_leaving && now.since(member.last_heard) < self.timeouts.dead_after
    }

    /// How many members are live, this router among them.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.live(now).count()
    }

    /// How many members are known, this router and those that may be dead among them.
    #[must_use]
    pub fn known_count(&self) -> usize {
        1 + self.members.len()
    }

    /// The live members and this router in the order in which they read the store: those whose
    /// reads fail come last, and wide links before narrow ones. Whoever is first reads the rules
    /// again and again and hands them to several others: with a megabyte of rules that alone fills a
    /// link of 10 Mbit/s.
    fn ranked(&self, own_reads_fail: bool, now: Instant) -> Vec<SocketAddr> {
        let own = (own_reads_fail, Reverse(self.own_link_mbps), rank_score(self.own), self.own);
        let others = self.live(now).map(|(address, member)| {
            (member.is_store_failing, Reverse(member.link_mbps), member.rank_score, address)
        });
        let mut ranked: Vec<_> = others.chain([own]).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., address)| address).collect()
    }

    /// This router's place in the order in which members read the store; 0 is the first.
    #[must_use]
    pub fn own_rank(&self, own_reads_fail: bool, now: Instant) -> usize {
        self.position(&self.ranked(own_reads_fail, now))
    }

    /// Whom to ask in a round; `draw` gives a number below its argument.
    ///
    /// Each router asks the same few members again and again, since every connection costs memory
    /// at both ends: most of the time one and the same of those nearer to the store, now and then
    /// another of them, in case that one is cut off without knowing it.
    pub fn contacts(
        &self,
        reach: Reach,
        own_reads_fail: bool,
        now: Instant,
        draw: &mut impl FnMut(usize) -> usize,
    ) -> Vec<Contact> {
        let ranked = self.ranked(own_reads_fail, now);
        let position = self.position(&ranked);
        let primary_relay = primary_relay(position, &ranked);
        let uses_alternate = draw(ALTERNATE_RELAY_PERIOD) == 0;
        let relay = if uses_alternate { pick_random(relays(position, &ranked), draw) } else { primary_relay };
        let as_contact = |relay: SocketAddr| match primary_relay {
            Some(primary_relay) if primary_relay != relay => Contact::AlternateRelay(relay),
            _ => Contact::Relay(relay),
        };
        let mut contacts: Vec<Contact> = relay.map(as_contact).into_iter().collect();
        if reach == Reach::RelayAndRandom || contacts.is_empty() {
            let others: Vec<SocketAddr> = ranked
                .into_iter()
                .filter(|address| *address != self.own && relay != Some(*address))
                .collect();
            contacts.extend(pick_random(&others, draw).map(Contact::Random));
        }
        contacts
    }

    /// Whom to tell news at once, which this router has from `origin`.
    ///
    /// Those that would ask it for news, and the one that it asks itself: so news runs down from
    /// whoever read it, and nearly nobody is told twice. But whoever read it itself tells all that
    /// the first in rank would tell: it may have had to read since that one is lost.
    #[must_use]
    pub fn push_targets(&self, origin: Origin, own_reads_fail: bool, now: Instant) -> Vec<SocketAddr> {
        let ranked = self.ranked(own_reads_fail, now);
        let own_position = self.position(&ranked);
        let primary_relay = primary_relay(own_position, &ranked);
        let asks_this_router = |position: usize| {
            let asked = ranks::primary_relay(position, &ranked);
            asked == Some(self.own) || origin == Origin::Store && asked == Some(ranked[0])
        };
        let others = ranked.iter().enumerate().filter(|(position, _)| *position != own_position);
        let targets = others
            .filter(|(position, address)| asks_this_router(*position) || primary_relay == Some(**address));
        targets.map(|(_, address)| *address).collect()
    }

    /// Whether the fleet is so small that one of it can tell all others something itself.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.known_count() <= ranks::SMALL_FLEET_MAX
    }

    /// Whom to tell at once of suspected requests. As [`Roster::push_targets`], but in a small fleet whoever saw
    /// something tells all, and nobody else tells it on.
    #[must_use]
    pub fn suspicion_push_targets(
        &self,
        origin: Origin,
        own_reads_fail: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        match origin {
            _ if !self.is_small() => self.push_targets(origin, own_reads_fail, now),
            Origin::Store => self.live(now).map(|(address, _)| address).collect(),
            Origin::Peer => Vec::new(),
        }
    }

    /// This router's place in `ranked`.
    fn position(&self, ranked: &[SocketAddr]) -> usize {
        ranked.iter().position(|address| *address == self.own).unwrap_or(0)
    }

    /// Any live member.
    pub fn random_contact(&self, now: Instant, draw: &mut impl FnMut(usize) -> usize) -> Option<Contact> {
        let mut live: Vec<SocketAddr> = self.live(now).map(|(address, _)| address).collect();
        live.sort_unstable();
        pick_random(&live, draw).map(Contact::Random)
    }

    /// Somebody to look for: a seed that is no live member, or a member that counts as dead.
    pub fn reconnect_contact(&self, now: Instant, draw: &mut impl FnMut(usize) -> usize) -> Option<Contact> {
        let is_live = |address| self.members.get(&address).is_some_and(|member| self.is_live(member, now));
        let mut unreachable: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !is_live(*seed)).collect();
        let dead = self.members.keys().copied().filter(|address| !is_live(*address));
        unreachable.extend(dead.filter(|address| !self.seeds.contains(address)));
        unreachable.sort_unstable();
        pick_random(&unreachable, draw).map(Contact::Reconnect)
    }
}
