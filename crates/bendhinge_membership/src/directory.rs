//! The members of the fleet as one router knows them.

use std::time::Duration;

use bendhinge_ids::{BoxName, Instant, PoolName, UpstreamName};

use crate::{Exchange, Member, MemberList, MemberRole, MemberState};

/// The silence after which a router counts for no upstream any more, in a fleet of `routers`.
///
/// An exchange tells of a fixed number of routers, so news of each comes the more rarely the
/// more there are: with 36 routers a fixed three seconds took live ones for gone. A silent router
/// stays the owner of idempotency keys: for those only the platform's list counts.
#[must_use]
pub fn suspect_after(routers: usize) -> Duration {
    const BASE: Duration = Duration::from_secs(3);
    const PER_ROUTER: Duration = Duration::from_millis(100);
    BASE + PER_ROUTER * u32::try_from(routers).unwrap_or(u32::MAX)
}

/// The platform's latest list known here.
#[derive(Debug, Default)]
pub struct Directory {
    list: MemberList,
    known_since: Option<Instant>,
}

impl Directory {
    /// Takes in a list; `false` if it is not newer. A stale replica of the platform, or a peer
    /// that is behind, can therefore take nothing back.
    pub fn offer(&mut self, list: MemberList, now: Instant) -> bool {
        let newer = self.known_since.is_none() || list.revision > self.list.revision;
        if newer {
            self.list = list;
            self.known_since = Some(now);
        }
        newer
    }

    /// The list.
    #[must_use]
    pub const fn list(&self) -> &MemberList {
        &self.list
    }

    /// Whether any list was heard yet.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known_since.is_some()
    }

    /// All listed routers, also those that are leaving or out of reach: the owners of
    /// idempotency keys are found among these.
    pub fn listed_routers(&self) -> impl Iterator<Item = (&BoxName, &Member)> {
        self.list.members.iter().filter_map(|member| match &member.role {
            MemberRole::Router { name } => Some((name, member)),
            MemberRole::Upstream { .. } => None,
        })
    }

    /// Listed routers that count for upstreams: not leaving by anybody's word, and heard of.
    /// `own` is always heard of. A router that was never heard has the same time to speak as
    /// one that fell silent, from when the list named it.
    #[must_use]
    pub fn counting_routers(
        &self,
        own: &BoxName,
        own_leaving: bool,
        exchange: &Exchange,
        now: Instant,
    ) -> Vec<BoxName> {
        let listed_for = self.known_since.map_or(Duration::ZERO, |since| now.since(since));
        let suspect_after = suspect_after(self.listed_routers().count());
        let counts = |name: &BoxName, member: &Member| {
            if name == own {
                return !own_leaving;
            }
            let said_leaving = exchange.summary(name).is_some_and(|summary| summary.leaving);
            let silence = exchange.silence(name, now).unwrap_or(listed_for);
            member.state == MemberState::Live && !said_leaving && silence < suspect_after
        };
        let counting = self.listed_routers().filter(|(name, member)| counts(name, member));
        counting.map(|(name, _)| name.clone()).collect()
    }

    /// Listed upstreams with their pools, names and weights.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamName, &PoolName, f64, &Member)> {
        self.list.members.iter().filter_map(|member| match &member.role {
            MemberRole::Upstream { name, pool, weight } => Some((name, pool, *weight, member)),
            MemberRole::Router { .. } => None,
        })
    }
}
