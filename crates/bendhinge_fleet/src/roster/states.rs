//! The states of all members in a byte each, for a peer that knows the same ones.
//!
//! Told in full a member takes some 24 bytes, of which its address is hardly compressed; nearly always
//! both ends know the same members, and only how long ago each was heard from is news.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Member, Roster};

/// Which members a router knows, itself among them, with their links: the same at all that know the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RosterDigest(pub u64);

impl RosterDigest {
    /// Of the member whose address gives `rank_score`.
    pub(super) fn of(rank_score: u64, link_mbps: u32) -> Self {
        Self(xxh3_64_with_seed(&link_mbps.to_be_bytes(), rank_score))
    }

    /// Adds a member, or takes it out.
    pub(super) const fn toggle(&mut self, member: Self) {
        self.0 ^= member.0;
    }
}

/// The states of all members that both ends know, in the order of their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberStates(pub Vec<u8>);

/// The unit of an age: with six bits it reaches just above the three seconds after which a member that is
/// not heard from counts as dead, and older ones need not be told.
const AGE_UNIT: Duration = Duration::from_millis(50);
/// The bits of an age. All set, there is nothing to tell.
const AGE_BITS: u8 = 0b0011_1111;
const LEAVING: u8 = 0b1000_0000;
const STORE_FAILING: u8 = 0b0100_0000;

impl Roster {
    /// Which members are known.
    #[must_use]
    pub const fn digest(&self) -> RosterDigest {
        self.digest
    }

    /// The members' states for the router at `listener`, which knows the same ones: of each but those of
    /// which it told itself, and of itself.
    #[must_use]
    pub fn states_for(&self, receiver: SocketAddr, now: Instant) -> MemberStates {
        let packed =
            |member: &Member| if member.reported_by == receiver { AGE_BITS } else { pack_state(member, now) };
        let before = self.members.range(..self.own).map(|(_, member)| packed(member));
        let after = self.members.range(self.own..).map(|(_, member)| packed(member));
        // What is told of the sender itself stands in the message apart.
        MemberStates(before.chain([AGE_BITS]).chain(after).collect())
    }

    /// Takes in the states that the router at `told_by` tells, received at `now`. Call it only if that one
    /// knows the same members.
    pub fn merge_states(&mut self, states: &MemberStates, reported_by: SocketAddr, now: Instant) {
        let own = self.own;
        let position = self.members.range(..own).count();
        if states.0.len() != self.members.len() + 1 {
            return;
        }
        let received = states.0[..position].iter().chain(&states.0[position + 1..]);
        for (member, state) in self.members.values_mut().zip(received) {
            let age = state & AGE_BITS;
            let last_heard = now - AGE_UNIT * u32::from(age);
            if age != AGE_BITS && last_heard > member.last_heard {
                member.last_heard = last_heard;
                member.is_leaving = state & LEAVING != 0;
                member.is_store_failing = state & STORE_FAILING != 0;
                member.reported_by = reported_by;
            }
        }
    }
}

/// An age is never stated as less than it is.
fn pack_state(member: &Member, now: Instant) -> u8 {
    let age = now.since(member.last_heard).as_millis().div_ceil(AGE_UNIT.as_millis());
    let age = u8::try_from(age).map_or(AGE_BITS, |age| age.min(AGE_BITS));
    let leaving = if member.is_leaving { LEAVING } else { 0 };
    let failing = if member.is_store_failing { STORE_FAILING } else { 0 };
    age | leaving | failing
}
