//! The duty of membership: who is live, who counts for what, and what routers tell each other.

mod fleet;
mod rebuild;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bendhinge_delivery::OwnershipHistory;
use bendhinge_ids::{BoxName, ConfigRevision, Instant};
use bendhinge_membership::{
    Directory, Exchange, MemberList, Summary, SummaryVersion, UpstreamLoad, distrust_own_links,
};
use bendhinge_timeline::EventKind;

pub(crate) use fleet::{Fleet, FleetPool, Owner, RouterEntry, Target};
pub(crate) use rebuild::rebuild_fleet;

use crate::node::Node;
use crate::{admission, placement};

/// Word of other routers that is older than this is not taken as word of now.
const RECENT_WORD: Duration = Duration::from_secs(10);

/// What the router knows of members.
pub(crate) struct Membership {
    pub(crate) directory: Directory,
    pub(crate) exchange: Exchange,
    pub(crate) history: OwnershipHistory,
    sequence: u64,
}

impl Membership {
    pub(crate) fn new(once_window: Duration) -> Self {
        Self {
            directory: Directory::default(),
            exchange: Exchange::default(),
            history: OwnershipHistory::new(once_window),
            sequence: 0,
        }
    }

    /// The routers that count for upstreams, in the order of their names.
    pub(crate) fn counting_routers(&self, node: &Node, now: Instant) -> Vec<BoxName> {
        let own = &node.life.name;
        let mut counting = self.directory.load_tracking_routers(own, node.is_stopping(), &self.exchange, now);
        counting.sort();
        counting
    }

    /// The highest revision that other routers told of lately; `None` if none told anything.
    pub(crate) fn highest_revision(&self, now: Instant) -> Option<ConfigRevision> {
        let recent = self.exchange.summaries(now).filter(|(_, age)| *age < RECENT_WORD);
        recent.map(|(summary, _)| summary.config_revision).max()
    }

    /// Whether the list is known and names no other router.
    pub(crate) fn is_alone(&self, own: &BoxName) -> bool {
        self.directory.has_list() && self.directory.listed_routers().all(|(name, _)| name == own)
    }
}

/// Takes in a list; `true` if it was newer than the known one.
pub(crate) fn take_list(node: &Node, from: &str, list: MemberList) -> bool {
    let now = bendhinge_clock::now();
    let (newer, revision, routers, upstreams) = {
        let mut membership = node.membership.lock().unwrap();
        let newer = membership.directory.update(list, now);
        if newer {
            let boxes = membership.directory.listed_routers().map(|(name, _)| name.clone()).collect();
            membership.history.note(boxes, now);
        }
        let directory = &membership.directory;
        (newer, directory.list().revision, directory.listed_routers().count(), directory.upstreams().count())
    };
    if newer {
        node.metrics.list_revision.set(revision);
        node.note(EventKind::ListChanged { revision, routers, upstreams, from: from.to_owned() });
    }
    newer
}

/// Takes in summaries of other routers.
pub(crate) fn hear(node: &Node, summaries: Vec<Summary>) {
    let now = bendhinge_clock::now();
    let mut membership = node.membership.lock().unwrap();
    membership.exchange.receive(&node.life.name, summaries, now);
}

/// What to tell a peer: the router's own summary first, then others' as the budget allows.
pub(crate) fn tell(node: &Node) -> Vec<Summary> {
    let upstreams = counted_upstreams(node);
    let usage = admission::usage_to_tell(node);
    let (config_revision, config_digest) = node.configuration.lock().unwrap().latest();
    let now = bendhinge_clock::now();
    let mut membership = node.membership.lock().unwrap();
    membership.sequence += 1;
    let version = SummaryVersion { incarnation: node.life.incarnation, sequence: membership.sequence };
    let own = Summary {
        name: node.life.name.clone(),
        version,
        age: Duration::ZERO,
        leaving: node.is_stopping(),
        platform_fails: node.platform_fails.load(Ordering::Relaxed),
        list_revision: membership.directory.list().revision,
        config_revision,
        config_digest,
        upstreams,
        classes: usage.classes,
        customers: usage.customers,
    };
    membership.exchange.select(own, now)
}

fn counted_upstreams(node: &Node) -> Vec<UpstreamLoad> {
    let counts = placement::own_counts(node, &node.fleet());
    let health = node.health.lock().unwrap();
    let tracked = counts.iter().map(|(target, count)| UpstreamLoad {
        upstream: target.hash,
        in_progress: u16::try_from(*count).unwrap_or(u16::MAX),
        reachable: health.is_reachable(target.hash),
    });
    let mut tracked: Vec<UpstreamLoad> = tracked.collect();
    distrust_own_links(&mut tracked);
    tracked
}
