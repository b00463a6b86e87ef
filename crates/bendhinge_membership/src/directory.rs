//! Holds the member list of the fleet and selects the routers that track upstream load.

use std::time::Duration;

use bendhinge_ids::{BoxName, Instant, PoolName, UpstreamName};

use crate::{Exchange, Member, MemberList, MemberRole, MemberState};

/// Returns how long a router may go without an update before it stops tracking upstream load,
/// in a fleet of `routers`.
///
/// An exchange carries a bounded number of summaries, so updates about each router become less
/// frequent as the fleet grows. The timeout does not affect the ownership of idempotency keys,
/// which depends only on the platform's list.
#[must_use]
pub fn suspicion_timeout(routers: usize) -> Duration {
    const BASE_TIMEOUT: Duration = Duration::from_secs(3);
    const TIMEOUT_PER_ROUTER: Duration = Duration::from_millis(100);
    BASE_TIMEOUT + TIMEOUT_PER_ROUTER * u32::try_from(routers).unwrap_or(u32::MAX)
}

/// The latest member list received from the platform or a peer.
#[derive(Debug, Default)]
pub struct Directory {
    list: MemberList,
    list_received_at: Option<Instant>,
}

impl Directory {
    /// Replaces the list if `list` has a higher revision, and returns whether it did. Lists from
    /// a stale platform replica or a lagging peer are ignored.
    pub fn update(&mut self, list: MemberList, now: Instant) -> bool {
        let is_newer = self.list_received_at.is_none() || list.revision > self.list.revision;
        if is_newer {
            self.list = list;
            self.list_received_at = Some(now);
        }
        is_newer
    }

    /// The current list; empty until one has been received.
    #[must_use]
    pub const fn list(&self) -> &MemberList {
        &self.list
    }

    /// Whether any list has been received.
    #[must_use]
    pub const fn has_list(&self) -> bool {
        self.list_received_at.is_some()
    }

    /// All listed routers, including leaving and unreachable ones. Owners of idempotency keys
    /// are chosen from these.
    pub fn listed_routers(&self) -> impl Iterator<Item = (&BoxName, &Member)> {
        self.list.members.iter().filter_map(|member| match &member.role {
            MemberRole::Router { name } => Some((name, member)),
            MemberRole::Upstream { .. } => None,
        })
    }

    /// Listed routers that track upstream load: those that neither the list nor their own
    /// summary marks as leaving and whose last update is within the suspicion timeout.
    /// `own` never times out. For a router without any update the timeout starts when the
    /// current list was received.
    #[must_use]
    pub fn load_tracking_routers(
        &self,
        own: &BoxName,
        own_leaving: bool,
        exchange: &Exchange,
        now: Instant,
    ) -> Vec<BoxName> {
        let list_age = self.list_received_at.map_or(Duration::ZERO, |received_at| now.since(received_at));
        let suspicion_timeout = suspicion_timeout(self.listed_routers().count());
        let is_tracking = |name: &BoxName, member: &Member| {
            if name == own {
                return !own_leaving;
            }
            let announced_leaving = exchange.summary(name).is_some_and(|summary| summary.leaving);
            let elapsed = exchange.time_since_update(name, now).unwrap_or(list_age);
            member.state == MemberState::Live && !announced_leaving && elapsed < suspicion_timeout
        };
        let tracking = self.listed_routers().filter(|(name, member)| is_tracking(name, member));
        tracking.map(|(name, _)| name.clone()).collect()
    }

    /// Listed upstreams with their pools, names and weights.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamName, &PoolName, f64, &Member)> {
        self.list.members.iter().filter_map(|member| match &member.role {
            MemberRole::Upstream { name, pool, weight } => Some((name, pool, *weight, member)),
            MemberRole::Router { .. } => None,
        })
    }
}
