//! Fleet-wide sums of additive values, computed over the tree of exchanges.
//!
//! Each router sends its relay the subtotal of its own figures and of those that it received from the routers
//! that use it as their relay; the response carries the totals of the fleet. A value thus takes at most two
//! exchanges up to the top-ranked router and two down.
//!
//! Routers may disagree on the ranks for some seconds, so that the relays form a cycle. Values therefore
//! travel at most as far as the tree is deep; otherwise a cycle would count its routers again and again, and
//! outdated totals would circulate without expiring.

mod codec;

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

pub use self::codec::PackedTotals;
use self::codec::TotalsMessage;
use crate::update_log::UpdateSource;

/// Maximum age of a value that counts: four exchanges, of which some may fail.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum age of a subtotal that is included in this router's subtotal. A router that has moved to another
/// relay is counted twice until the next exchange of its former relay after this age, so for some 2 s.
const MAX_FORWARDED_AGE: Duration = Duration::from_millis(1_500);
/// Maximum number of routers whose subtotals are held, which bounds the memory to some 300 KB. A router is
/// the relay of at most the square root of the fleet's size.
const MAX_MEMBERS: usize = 512;
/// Exchanges between the lowest and the second highest tier of the tree. What has passed through more is not
/// passed on.
const MAX_FORWARDED_HOPS: u8 = 1;

/// Identifies a value that is summed over the fleet. The part that owns the value derives it from a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TotalKey(pub u32);

impl TotalKey {
    /// Returns the key of a value that the `parts` identify.
    #[must_use]
    pub fn of(parts: &[NameHash]) -> Self {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.0.to_le_bytes()).collect();
        #[expect(clippy::cast_possible_truncation, reason = "a part of the hash")]
        Self(xxh3_64(&bytes) as u32)
    }
}

/// A router's own contribution to a total. Negative and non-finite values count as 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// What the value counts.
    pub key: TotalKey,
    /// The value.
    pub value: f32,
}

/// A sum over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetTotal {
    /// The sum; the own part of it is current.
    pub value: f32,
    /// Time since the other routers' parts were summed. The parts themselves may be two exchanges older.
    pub age: Duration,
}

/// A message together with the time as of which its values count.
#[derive(Clone, Debug)]
struct Received {
    message: TotalsMessage,
    as_of: Instant,
}

/// Totals received from a relay, and the subtotal that they contain of this router.
#[derive(Clone, Debug)]
struct RelayTotals {
    relay: NameHash,
    received: Received,
    sent: TotalsMessage,
}

/// How this router knows the totals.
#[derive(Clone, Copy)]
enum View<'a> {
    /// This router adds up the subtotals that it received.
    OwnSum,
    /// From its relay.
    Relayed(&'a RelayTotals),
}

/// Totals of the fleet as known to one router.
#[derive(Debug, Default)]
pub struct FleetTotals {
    fleet_size: Option<u32>,
    own: Option<Received>,
    /// Latest subtotal of each router that uses this one as its relay.
    members: FxHashMap<NameHash, Received>,
    /// Latest subtotal that was sent, and the relay that it was sent to.
    sent: Option<(NameHash, TotalsMessage)>,
    relay_totals: Option<RelayTotals>,
}

impl FleetTotals {
    /// Sets the number of routers in the fleet, including this one. Subtotals that count more are ignored.
    pub const fn set_fleet_size(&mut self, routers: u32) {
        self.fleet_size = Some(routers);
    }

    /// Replaces this router's own figures. Like received ones, they expire.
    pub fn set_own(&mut self, figures: Vec<Figure>, now: Instant) {
        let message = TotalsMessage::of_own(figures);
        self.own = Some(Received { message, as_of: now });
    }

    /// Encodes the subtotal of this router and of its members for its preferred relay, without what the relay
    /// itself sent.
    ///
    /// The subtotal is remembered, so that the totals in the response can be corrected by what changes here
    /// afterwards.
    pub fn subtotal_for(&mut self, relay: UpdateSource, now: Instant) -> PackedTotals {
        let UpdateSource::Router(relay) = relay else { return PackedTotals::default() };
        let packed = self.forwarded_sum(relay, now).pack();
        self.sent = packed.unpack().map(|message| (relay, message));
        packed
    }

    /// Encodes the totals for the response to a router that sent its subtotal; empty if none are known.
    #[must_use]
    pub fn totals_for(&self, member: UpdateSource, now: Instant) -> PackedTotals {
        match self.view(now) {
            None => PackedTotals::default(),
            Some(View::Relayed(totals)) if UpdateSource::Router(totals.relay) != member => {
                let is_forwarded = totals.received.message.hops < MAX_FORWARDED_HOPS;
                if is_forwarded { self.corrected(totals, now).pack() } else { PackedTotals::default() }
            }
            Some(_) => self.own_sum(now).pack(),
        }
    }

    /// Records the subtotal in a request of a router that uses this one as its relay.
    pub fn record_subtotal(&mut self, from: UpdateSource, packed: &PackedTotals, at: Instant) {
        let UpdateSource::Router(member) = from else { return };
        let Some(message) = packed.unpack() else { return };
        if message.hops > MAX_FORWARDED_HOPS || self.fleet_size.is_some_and(|size| message.routers > size) {
            return;
        }
        self.members.retain(|_, received| received.is_current(MAX_AGE, at));
        if self.members.len() < MAX_MEMBERS || self.members.contains_key(&member) {
            let as_of = at - message.age;
            self.members.insert(member, Received { message, as_of });
        }
    }

    /// Records the totals in the response of the relay. `at` is when the request was sent, so that a response
    /// that was delayed, for example while this box was suspended, does not look current.
    pub fn record_totals(&mut self, from: UpdateSource, packed: &PackedTotals, at: Instant) {
        let UpdateSource::Router(relay) = from else { return };
        let Some(message) = packed.unpack() else { return };
        let Some((_, sent)) = self.sent.as_ref().filter(|(receiver, _)| *receiver == relay) else { return };
        if message.hops > MAX_FORWARDED_HOPS {
            return;
        }
        let as_of = at - message.age;
        self.relay_totals =
            Some(RelayTotals { relay, received: Received { message, as_of }, sent: sent.clone() });
    }

    /// Returns the total of `key`, of which the own part is current. `None` if nothing is known of other
    /// routers; a key that none of them sent has the value of this router and its members.
    #[must_use]
    pub fn get(&self, key: TotalKey, now: Instant) -> Option<FleetTotal> {
        match self.view(now)? {
            View::OwnSum => {
                let own = self.current_own(now).map_or(0.0, |message| message.value(key));
                let members = self.current_members(MAX_AGE, now).map(|(_, message)| message.value(key));
                Some(FleetTotal { value: own + members.sum::<f32>(), age: Duration::ZERO })
            }
            View::Relayed(totals) => {
                let value = corrected_value(totals, key, self.forwarded_value(totals.relay, key, now));
                Some(FleetTotal { value, age: now.since(totals.received.as_of) })
            }
        }
    }

    /// Returns the total of `key` less this router's own part. For values that a part knows better itself.
    #[must_use]
    pub fn others(&self, key: TotalKey, now: Instant) -> Option<FleetTotal> {
        let own = self.current_own(now).map_or(0.0, |message| message.value(key));
        self.get(key, now).map(|total| FleetTotal { value: (total.value - own).max(0.0), ..total })
    }

    /// Returns the number of routers whose figures are in the totals, including this one.
    #[must_use]
    pub fn router_count(&self, now: Instant) -> u32 {
        match self.view(now) {
            None => 1,
            Some(View::OwnSum) => self.own_sum_routers(now),
            Some(View::Relayed(totals)) => self.corrected_routers(totals, now),
        }
    }

    /// Returns the view that counts more routers. A relay's totals lack some of them while ranks differ.
    fn view(&self, now: Instant) -> Option<View<'_>> {
        let relayed = self.relay_totals.as_ref().filter(|totals| totals.received.is_current(MAX_AGE, now));
        let own_routers = self.own_sum_routers(now);
        match relayed {
            Some(totals) if self.corrected_routers(totals, now) >= own_routers => Some(View::Relayed(totals)),
            _ if own_routers > 1 => Some(View::OwnSum),
            relayed => relayed.map(View::Relayed),
        }
    }

    fn current_own(&self, now: Instant) -> Option<&TotalsMessage> {
        self.own.as_ref().filter(|own| own.is_current(MAX_AGE, now)).map(|own| &own.message)
    }

    fn current_members(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (NameHash, &TotalsMessage)> {
        let current = self.members.iter().filter(move |(_, received)| received.is_current(max_age, now));
        current.map(|(member, received)| (*member, &received.message))
    }

    /// Returns the subtotals that are included in this router's own subtotal for `relay`.
    fn forwarded_members(&self, relay: NameHash, now: Instant) -> impl Iterator<Item = &TotalsMessage> {
        let members =
            self.current_members(MAX_FORWARDED_AGE, now).filter(move |(member, _)| *member != relay);
        members.map(|(_, message)| message).filter(|message| message.hops < MAX_FORWARDED_HOPS)
    }

    fn forwarded_sum(&self, relay: NameHash, now: Instant) -> TotalsMessage {
        TotalsMessage::sum(self.current_own(now), self.forwarded_members(relay, now))
    }

    fn forwarded_value(&self, relay: NameHash, key: TotalKey, now: Instant) -> f32 {
        let own = self.current_own(now).map_or(0.0, |message| message.value(key));
        own + self.forwarded_members(relay, now).map(|message| message.value(key)).sum::<f32>()
    }

    fn own_sum(&self, now: Instant) -> TotalsMessage {
        let members = self.current_members(MAX_AGE, now).map(|(_, message)| message);
        // The sum is a new value: it has not passed through any exchange as a total.
        TotalsMessage { hops: 0, ..TotalsMessage::sum(self.current_own(now), members) }
    }

    fn own_sum_routers(&self, now: Instant) -> u32 {
        1 + self.current_members(MAX_AGE, now).map(|(_, message)| message.routers).sum::<u32>()
    }

    fn corrected_routers(&self, totals: &RelayTotals, now: Instant) -> u32 {
        let forwarded: u32 = self.forwarded_members(totals.relay, now).map(|message| message.routers).sum();
        let others = totals.received.message.routers.saturating_sub(totals.sent.routers);
        others.saturating_add(1 + forwarded)
    }

    /// Returns the totals of the relay with this router's own part as it is now.
    fn corrected(&self, totals: &RelayTotals, now: Instant) -> TotalsMessage {
        let current = self.forwarded_sum(totals.relay, now);
        let RelayTotals { received, sent, .. } = totals;
        let keys = received.message.keys().chain(current.keys());
        let value = |key: TotalKey| (key, corrected_value(totals, key, current.value(key)));
        TotalsMessage {
            routers: received.message.routers.saturating_sub(sent.routers).saturating_add(current.routers),
            hops: received.message.hops + 1,
            age: now.since(received.as_of),
            values: keys.map(value).collect(),
        }
    }
}

impl Received {
    fn is_current(&self, max_age: Duration, now: Instant) -> bool {
        now.since(self.as_of) < max_age
    }
}

/// Returns the relay's total of `key` with this router's part replaced by its `current` value.
fn corrected_value(totals: &RelayTotals, key: TotalKey, current: f32) -> f32 {
    let others = totals.received.message.value(key) - totals.sent.value(key);
    others.max(0.0) + current
}
