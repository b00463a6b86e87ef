//! Compact encoding of member states, one byte each, for a peer that knows the same members.
//!
//! The full encoding of a member consists mostly of its address. Peers nearly always know the same
//! members, so that only the times of contact differ.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Member, Roster};

/// Digest of the members that a router knows, including itself, and of their links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RosterDigest(pub u64);

impl RosterDigest {
    /// Returns the digest of the member whose address hashes to `rank_score`.
    pub(super) fn of(rank_score: u64, link_mbps: u32) -> Self {
        Self(xxh3_64_with_seed(&link_mbps.to_be_bytes(), rank_score))
    }

    /// Adds a member, or removes it if present.
    pub(super) const fn toggle(&mut self, member: Self) {
        self.0 ^= member.0;
    }
}

/// States of all members that sender and receiver both know, in the order of their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberStates(pub Vec<u8>);

/// Resolution of an age. Six bits reach just past the time after which a member counts as dead, and
/// older members need not be reported.
const AGE_UNIT: Duration = Duration::from_millis(50);
/// Bits of the age. All of them set mean that nothing is reported.
const AGE_BITS: u8 = 0b0011_1111;
const LEAVING: u8 = 0b1000_0000;
const STORE_FAILING: u8 = 0b0100_0000;

impl Roster {
    /// Returns the digest of the known members.
    #[must_use]
    pub const fn digest(&self) -> RosterDigest {
        self.digest
    }

    /// Encodes the member states for `receiver`, which knows the same members. Members last reported by
    /// `receiver`, and this router itself, carry no state.
    #[must_use]
    pub fn states_for(&self, receiver: SocketAddr, now: Instant) -> MemberStates {
        let packed =
            |member: &Member| if member.reported_by == receiver { AGE_BITS } else { pack_state(member, now) };
        let before = self.members.range(..self.own).map(|(_, member)| packed(member));
        let after = self.members.range(self.own..).map(|(_, member)| packed(member));
        // The message carries the sender's own state separately.
        MemberStates(before.chain([AGE_BITS]).chain(after).collect())
    }

    /// Merges the states sent by the router at `reported_by`, received at `now`. Call it only if that
    /// router knows the same members.
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

/// Encodes a state, rounding the age up so that a member never looks more recently heard than it was.
fn pack_state(member: &Member, now: Instant) -> u8 {
    let age = now.since(member.last_heard).as_millis().div_ceil(AGE_UNIT.as_millis());
    let age = u8::try_from(age).map_or(AGE_BITS, |age| age.min(AGE_BITS));
    let leaving = if member.is_leaving { LEAVING } else { 0 };
    let failing = if member.is_store_failing { STORE_FAILING } else { 0 };
    age | leaving | failing
}
