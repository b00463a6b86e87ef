//! Gossip-based membership of the routers.
//!
//! There is no central list. A router starts with a few seeds, some of which may be stale or
//! unreachable, and discovers the others by gossip. A member is known by the time at which any router
//! last heard from it directly. Dead members are kept for a while as contacts, so that the parts of a
//! partitioned fleet find each other again.

mod ranks;
mod states;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};

use self::ranks::{pick_random, primary_relay, rank_score, record_score, relays};
pub use self::states::{MemberStates, RosterDigest};

/// Timeouts of membership.
#[derive(Clone, Copy, Debug)]
pub struct RosterTimeouts {
    /// Time without contact after which a member counts as dead.
    pub dead_after: Duration,
    /// Time without contact after which a member is removed.
    pub expire_after: Duration,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Time of the last direct contact of any router with the member, by the local clock.
    pub last_heard: Instant,
    /// Whether the member is shutting down.
    pub is_leaving: bool,
    /// Whether the member's reads of the store fail.
    pub is_store_failing: bool,
    /// Bandwidth of the member's link in Mbit/s, or 0 if unknown.
    pub link_mbps: u32,
    /// Hash of the member's data centre, if it takes requests that other routers forward.
    pub forwarding_from: Option<NonZeroU32>,
    /// Whether the member takes records of streams.
    pub holds_stream_records: bool,
    /// Hash of the member's data centre, if it issues permits.
    pub permits_from: Option<NonZeroU32>,
    /// Address of the router that reported it last, or its own if it was heard directly.
    reported_by: SocketAddr,
    /// Hash of the address that orders members of equal priority.
    rank_score: u64,
}

/// State of a member as reported by a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// Address of the member.
    pub address: SocketAddr,
    /// Time since the last direct contact with the member.
    pub age: Duration,
    /// Whether the member is shutting down.
    pub is_leaving: bool,
    /// Whether the member's reads of the store fail.
    pub is_store_failing: bool,
    /// Bandwidth of the member's link in Mbit/s, or 0 if unknown.
    pub link_mbps: u32,
    /// Hash of the member's data centre, if it takes requests that other routers forward.
    pub forwarding_from: Option<NonZeroU32>,
    /// Whether the member takes records of streams.
    pub holds_stream_records: bool,
    /// Hash of the member's data centre, if it issues permits.
    pub permits_from: Option<NonZeroU32>,
}

/// Router to exchange state with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The preferred relay, the usual source of updates of the store.
    Relay(SocketAddr),
    /// Another relay, in case the preferred one is partitioned without noticing.
    AlternateRelay(SocketAddr),
    /// A random live member.
    Random(SocketAddr),
    /// A seed or a dead member, to rejoin after a partition.
    Reconnect(SocketAddr),
}

impl Contact {
    /// Returns the address of the contact.
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

/// Origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Read from the store.
    Store,
    /// Received from another router.
    Peer,
}

impl Origin {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Set of routers contacted in a round of exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// One relay only.
    RelayOnly,
    /// One relay and one random member.
    RelayAndRandom,
}

/// Average number of rounds between exchanges with a relay that is not the preferred one.
const ALTERNATE_RELAY_PERIOD: usize = 4;

/// Members as known to one router.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    own_link_mbps: u32,
    timeouts: RosterTimeouts,
    seeds: Vec<SocketAddr>,
    /// Ordered by address, so that routers with the same members agree on the order.
    members: BTreeMap<SocketAddr, Member>,
    digest: RosterDigest,
}

impl Roster {
    /// Creates the roster of the router at `own`, which knows only its seeds.
    #[must_use]
    pub fn new(own: SocketAddr, own_link_mbps: u32, seeds: &[SocketAddr], timeouts: RosterTimeouts) -> Self {
        let digest = RosterDigest::of(rank_score(own), own_link_mbps);
        let mut roster =
            Self { own, own_link_mbps, timeouts, seeds: Vec::new(), members: BTreeMap::new(), digest };
        roster.set_seeds(seeds);
        roster
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.own).collect();
    }

    /// Merges what a member reported of itself, received at `now`.
    pub fn merge_direct(&mut self, report: &MemberReport, now: Instant) {
        self.merge_reported(report, report.address, now);
    }

    /// Merges what the router at `reported_by` reported of a member, received at `now`.
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
            forwarding_from: report.forwarding_from,
            holds_stream_records: report.holds_stream_records,
            permits_from: report.permits_from,
            reported_by,
            rank_score,
        };
        self.members.insert(report.address, member);
    }

    /// Returns reports of all known members, to be sent to peers.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = MemberReport> {
        self.members.iter().map(move |(address, member)| MemberReport {
            address: *address,
            age: now.since(member.last_heard),
            is_leaving: member.is_leaving,
            is_store_failing: member.is_store_failing,
            link_mbps: member.link_mbps,
            forwarding_from: member.forwarding_from,
            holds_stream_records: member.holds_stream_records,
            permits_from: member.permits_from,
        })
    }

    /// Removes the members without contact for longer than the expiry time.
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

    /// Returns the members with recent contact that are not shutting down.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Member)> {
        let live = self.members.iter().filter(move |(_, member)| self.is_live(member, now));
        live.map(|(address, member)| (*address, member))
    }

    fn is_live(&self, member: &Member, now: Instant) -> bool {
        !member.is_leaving && now.since(member.last_heard) < self.timeouts.dead_after
    }

    /// Returns the number of live members, including this router.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.live(now).count()
    }

    /// Returns the number of known members, including this router and dead ones.
    #[must_use]
    pub fn known_count(&self) -> usize {
        1 + self.members.len()
    }

    /// Returns the number of known members or of configured seeds, whichever is larger, including this router. A router
    /// that is partitioned right after its start knows no members.
    #[must_use]
    pub fn expected_count(&self) -> usize {
        self.known_count().max(1 + self.seeds.len())
    }

    /// Returns the live members and this router in the order in which they read the store.
    ///
    /// Members with failing reads come last, and faster links come before slower ones: the first in rank
    /// reads often and sends what it read to several others, which can saturate a slow link.
    fn ranked(&self, own_reads_fail: bool, now: Instant) -> Vec<SocketAddr> {
        let own = (own_reads_fail, Reverse(self.own_link_mbps), rank_score(self.own), self.own);
        let others = self.live(now).map(|(address, member)| {
            (member.is_store_failing, Reverse(member.link_mbps), member.rank_score, address)
        });
        let mut ranked: Vec<_> = others.chain([own]).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., address)| address).collect()
    }

    /// Returns this router's rank in the order of store reads, starting at 0.
    #[must_use]
    pub fn own_rank(&self, own_reads_fail: bool, now: Instant) -> usize {
        self.position(&self.ranked(own_reads_fail, now))
    }

    /// Selects the routers to exchange state with in a round. `draw` returns a random number below its
    /// argument.
    ///
    /// The selection favours the same few members, since each connection costs memory at both ends. An
    /// alternate relay is selected now and then, in case the preferred one is partitioned without
    /// noticing.
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

    /// Returns the members to which an update from `origin` is pushed.
    ///
    /// These are the members for which this router is the preferred relay, and its own preferred relay.
    /// An update thus spreads down the relay tree with few duplicates. A router that read the store
    /// itself also pushes to the members served by the first rank, which may be down.
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

    /// Returns whether the fleet is small enough for one router to push to all others.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.known_count() <= ranks::SMALL_FLEET_MAX
    }

    /// Returns the members to which a suspicion of requests is pushed. Works like
    /// [`Roster::push_targets`], except that in a small fleet the router that made the observation
    /// pushes to all members and nobody forwards it.
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

    /// Returns the live members that hold the record of a stream, the first `count` in an order that depends on the
    /// record. Routers that know the same members agree on it, apart from themselves.
    #[must_use]
    pub fn record_holders(&self, record: u64, count: usize, now: Instant) -> Vec<SocketAddr> {
        let holders = self.live(now).filter(|(_, member)| member.holds_stream_records);
        let scored = holders.map(|(address, member)| (record_score(record, member.rank_score), address));
        let mut scored: Vec<_> = scored.collect();
        scored.sort_unstable_by(|left, right| right.cmp(left));
        scored.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the router that issues the permits of an upstream: a live one, in the upstream's data centre if there is
    /// one, and of these one with the fastest link, since requests wait for its answers. Routers that know the same
    /// members agree on it. `own_data_centre` is that of this router if it issues permits itself.
    #[must_use]
    pub fn permit_issuer(
        &self,
        upstream: NameHash,
        data_centre: NonZeroU32,
        own_data_centre: Option<NonZeroU32>,
        now: Instant,
    ) -> Option<SocketAddr> {
        let score = |address: SocketAddr, located: NonZeroU32, link_mbps: u32, rank_score: u64| {
            (located == data_centre, link_mbps, record_score(upstream.0, rank_score), address)
        };
        let own = own_data_centre.map(|own| score(self.own, own, self.own_link_mbps, rank_score(self.own)));
        let others = self.live(now).filter_map(|(address, member)| {
            Some(score(address, member.permits_from?, member.link_mbps, member.rank_score))
        });
        others.chain(own).max().map(|(.., address)| address)
    }

    /// Returns this router's index in `ranked`.
    fn position(&self, ranked: &[SocketAddr]) -> usize {
        ranked.iter().position(|address| *address == self.own).unwrap_or(0)
    }

    /// Selects a random live member.
    pub fn random_contact(&self, now: Instant, draw: &mut impl FnMut(usize) -> usize) -> Option<Contact> {
        let mut live: Vec<SocketAddr> = self.live(now).map(|(address, _)| address).collect();
        live.sort_unstable();
        pick_random(&live, draw).map(Contact::Random)
    }

    /// Selects a random member to rejoin: a seed that is not live, or a dead member.
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
