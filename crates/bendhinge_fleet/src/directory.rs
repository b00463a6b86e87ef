//! The directory of upstreams, built from the lists that the platform's store provides.
//!
//! Lists are applied as they are, with one exception: while the store is impaired, entries can expire
//! although their upstreams are healthy. Entries that disappear shortly after a period without confirmed
//! lists are therefore kept for a grace period, in which request results tell whether they are usable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::{DataCentreName, Instant, NameHash, PoolName, UpstreamName};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::Revision;

/// Whether an upstream accepts new work, according to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// The upstream accepts new work.
    Ready,
    /// The upstream is about to leave and accepts no new work.
    Draining,
}

/// The warm-up of an upstream, during which it gets only a few requests per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WarmUp {
    /// The remaining time when the upstream reported the warm-up.
    pub remaining: Duration,
    /// The store revision of that report, which distinguishes one warm-up from the next.
    pub revision: Revision,
}

impl WarmUp {
    /// Creates a warm-up; returns `None` if no time remains.
    #[must_use]
    pub fn new(remaining: Duration, revision: Revision) -> Option<Self> {
        (!remaining.is_zero()).then_some(Self { remaining, revision })
    }
}

/// An upstream as described by the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamEntry {
    /// The name, which a restarted process may keep.
    pub name: UpstreamName,
    /// The hash of the upstream instance, see [`UpstreamEntry::instance_hash`].
    pub hash: NameHash,
    /// The start time of the process in milliseconds since the Unix epoch by its own clock; 0 if unknown.
    pub started_ms: u64,
    /// The hash of the pool and the software that the upstream runs in it.
    pub software: NameHash,
    /// The pool.
    pub pool: PoolName,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// The store revision at which the entry first appeared.
    pub created_revision: u64,
    /// The warm-up, if one is in progress.
    pub warm_up: Option<WarmUp>,
}

impl UpstreamEntry {
    /// Returns the hash that identifies one instance of an upstream. A process that restarts under the same
    /// name has lost its state, so it gets a different hash and inherits nothing recorded about its
    /// predecessor.
    #[must_use]
    pub fn instance_hash(name: &UpstreamName, started_ms: u64) -> NameHash {
        match started_ms {
            0 => NameHash::of(name.as_str()),
            // Names cannot contain `@`, so the hash input is unambiguous.
            started_ms => NameHash::of(&format!("{name}@{started_ms}")),
        }
    }
}

/// A complete list of upstreams in name order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UpstreamList {
    /// The entries.
    pub entries: Vec<Arc<UpstreamEntry>>,
    /// The drained data centres in name order, whose upstreams get no new work until an operator ends the
    /// drain. They are part of the list so that both are distributed together and stay consistent.
    pub drained: Vec<DataCentreName>,
}

/// An upstream as this router sees it.
#[derive(Clone, Debug)]
pub struct ListedUpstream {
    /// The latest entry from the store.
    pub entry: Arc<UpstreamEntry>,
    /// When this router first saw the instance.
    pub first_seen: Instant,
    /// When the upstream disappeared from the list, if it did.
    pub removed_at: Option<Instant>,
    /// When the upstream stops accepting new work, or stopped. For one that disappeared from the list this
    /// may be the end of the grace period.
    pub stops_at: Option<Instant>,
    /// Whether the data centre is drained.
    pub is_drained: bool,
    /// When a reported warm-up ends at the latest, counted from when this router received the report.
    pub warm_at: Option<Instant>,
}

impl ListedUpstream {
    /// Whether the upstream accepts new work.
    #[must_use]
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.stops_at.is_none_or(|stops_at| now < stops_at) && !self.is_drained
    }

    /// Whether routers send the upstream nothing, or only a few requests while it warms up.
    #[must_use]
    pub fn gets_few_requests(&self, now: Instant) -> bool {
        self.is_drained || self.is_warming_up(now)
    }

    /// Returns until when [`ListedUpstream::gets_few_requests`] holds, or held; at least `now` while it is drained.
    #[must_use]
    pub fn few_requests_until(&self, now: Instant) -> Option<Instant> {
        if self.is_drained { Some(now) } else { self.warm_at }
    }

    /// Makes the upstream stop accepting new work at the given time, unless it stops earlier.
    fn stop_at(&mut self, at: Instant) {
        self.stops_at = Some(self.stops_at.map_or(at, |stops_at| stops_at.min(at)));
    }

    /// Whether the upstream may still be warming up.
    #[must_use]
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.warm_at.is_some_and(|warm_at| now < warm_at)
    }
}

/// How long an upstream counts as warming up after the drain of its data centre ends. It may have restarted
/// in the meantime, and its reported warm-up may be outdated when it is read.
const WARM_UP_AFTER_DRAIN: Duration = Duration::from_millis(2_500);

/// How long the leave notice of an unlisted upstream is kept, since a delayed list, or one read by another
/// router, may still contain the upstream.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// The time parameters of the [`Directory`].
#[derive(Clone, Copy, Debug)]
pub struct DirectoryLimits {
    /// The longest time between confirmations of the list before the store counts as impaired.
    pub max_staleness: Duration,
    /// How long removed entries are kept after the store recovers; healthy upstreams are listed again by
    /// then.
    pub removal_grace: Duration,
    /// How long upstreams that accept no new work stay in the directory, for the state that they hold.
    pub retention: Duration,
}

/// All upstreams known to this router.
#[derive(Debug)]
pub struct Directory {
    limits: DirectoryLimits,
    upstreams: Vec<ListedUpstream>,
    /// The index of each instance in `upstreams`, to avoid linear searches per request and per applied
    /// list.
    positions: FxHashMap<NameHash, usize>,
    /// When upstreams notified this router that they are leaving.
    leave_notices: FxHashMap<NameHash, Instant>,
    confirmed_at: Option<Instant>,
    grace_until: Option<Instant>,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(limits: DirectoryLimits) -> Self {
        Self {
            limits,
            upstreams: Vec::new(),
            positions: FxHashMap::default(),
            leave_notices: FxHashMap::default(),
            confirmed_at: None,
            grace_until: None,
        }
    }

    /// Records that an upstream announced to this router that it is leaving; returns `true` if that is new.
    /// The notice is final for this instance and overrides all lists.
    pub fn record_leaving(&mut self, upstream: NameHash, now: Instant) -> bool {
        if self.leave_notices.contains_key(&upstream) {
            return false;
        }
        self.leave_notices.insert(upstream, now);
        if let Some(position) = self.positions.get(&upstream) {
            self.upstreams[*position].stop_at(now);
        }
        true
    }

    /// Returns all upstreams in name order, including those that accept no new work.
    #[must_use]
    pub fn upstreams(&self) -> &[ListedUpstream] {
        &self.upstreams
    }

    /// Whether the directory contains an instance, even if it accepts no new work.
    #[must_use]
    pub fn contains(&self, upstream: NameHash) -> bool {
        self.positions.contains_key(&upstream)
    }

    /// Returns the upstream with the given instance hash, even if it accepts no new work.
    #[must_use]
    pub fn get(&self, upstream: NameHash) -> Option<&ListedUpstream> {
        self.positions.get(&upstream).map(|position| &self.upstreams[*position])
    }

    /// Records that the list was confirmed as current at `as_of`. If the previous confirmation is too old,
    /// entries that disappear soon after are kept for the grace period.
    pub fn confirm_current(&mut self, as_of: Instant) {
        let is_stale = self.confirmed_at.is_some_and(|last| as_of.since(last) > self.limits.max_staleness);
        if is_stale {
            // The grace period starts at `as_of` rather than now, so that a router that was paused while
            // the store was healthy does not extend it.
            self.grace_until = Some(as_of + self.limits.removal_grace);
        }
        self.confirmed_at = Some(self.confirmed_at.map_or(as_of, |last| last.max(as_of)));
    }

    /// Applies a list. [`Directory::confirm_current`] has to be called first.
    pub fn apply(&mut self, list: &UpstreamList, now: Instant) {
        let stop_time = self.grace_until.unwrap_or(now).max(now);
        let previous = std::mem::take(&mut self.upstreams).into_iter();
        let mut previous: FxHashMap<NameHash, ListedUpstream> =
            previous.map(|listed| (listed.entry.hash, listed)).collect();
        for entry in &list.entries {
            let existing = previous.remove(&entry.hash);
            let is_drained = list.drained.contains(&entry.data_centre);
            let mut listed = merge_entry(existing.as_ref(), entry, is_drained, now);
            if let Some(noticed_at) = self.leave_notices.get(&entry.hash) {
                listed.stop_at(*noticed_at);
            }
            self.upstreams.push(listed);
        }
        // A removed instance is dropped once another instance is listed under its name.
        let names: FxHashSet<&UpstreamName> = list.entries.iter().map(|entry| &entry.name).collect();
        for mut listed in previous.into_values().filter(|listed| !names.contains(&listed.entry.name)) {
            listed.is_drained = list.drained.contains(&listed.entry.data_centre);
            listed.removed_at.get_or_insert(now);
            listed.stop_at(stop_time);
            self.upstreams.push(listed);
        }
        self.upstreams.sort_by(|lhs, rhs| lhs.entry.name.cmp(&rhs.entry.name));
        self.rebuild_positions();
        self.prune(now);
    }

    /// Drops removed upstreams after the retention period; returns `true` if there were any.
    pub fn prune(&mut self, now: Instant) -> bool {
        let limits = self.limits;
        let previous_len = self.upstreams.len();
        self.upstreams.retain(|listed| {
            listed.removed_at.is_none()
                || listed.stops_at.is_none_or(|stops_at| now.since(stops_at) < limits.retention)
        });
        let has_removed = self.upstreams.len() != previous_len;
        if has_removed {
            self.rebuild_positions();
        }
        let Self { positions, leave_notices, .. } = self;
        leave_notices.retain(|upstream, noticed_at| {
            positions.contains_key(upstream) || now.since(*noticed_at) < LEAVING_RETENTION
        });
        has_removed
    }

    fn rebuild_positions(&mut self) {
        let hashes = self.upstreams.iter().map(|listed| listed.entry.hash);
        self.positions = hashes.enumerate().map(|(position, hash)| (hash, position)).collect();
    }
}

fn merge_entry(
    existing: Option<&ListedUpstream>,
    entry: &Arc<UpstreamEntry>,
    is_drained: bool,
    now: Instant,
) -> ListedUpstream {
    let stops_at = existing.and_then(|existing| existing.stops_at);
    let is_same_warm_up = |existing: &&ListedUpstream| existing.entry.warm_up == entry.warm_up;
    let warm_at = match existing.filter(is_same_warm_up) {
        Some(existing) => existing.warm_at,
        None => entry.warm_up.map(|warm_up| now + warm_up.remaining),
    };
    let is_undrained = existing.is_some_and(|existing| existing.is_drained) && !is_drained;
    let warm_at = if is_undrained { warm_at.max(Some(now + WARM_UP_AFTER_DRAIN)) } else { warm_at };
    let was_draining = existing.is_some_and(|existing| existing.entry.state == UpstreamState::Draining);
    ListedUpstream {
        entry: Arc::clone(entry),
        first_seen: existing.map_or(now, |existing| existing.first_seen),
        removed_at: None,
        stops_at: match entry.state {
            UpstreamState::Draining => stops_at.or(Some(now)),
            // Draining is final for an instance: it does not become ready again.
            UpstreamState::Ready => stops_at.filter(|_| was_draining),
        },
        is_drained,
        warm_at,
    }
}
