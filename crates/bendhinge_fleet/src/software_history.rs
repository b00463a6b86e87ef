//! Which versions of their software the upstreams of each pool have run.
//!
//! A stream may only go on at upstreams with the software that began it. While a pool has had a single version for as
//! long as streams last, that version began all of them. This holds only if nothing was missed in that time: the
//! list of upstreams was confirmed without gaps, by this router or by peers that report their history.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::UpstreamList;

/// The longest time between confirmations of the list within which a version cannot have been used unnoticed.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_millis(2_500);
/// How long new software gets no resumable streams if other upstreams accept them, so that all routers have seen it
/// by then. Longer than the confirmation gap, since lists are confirmed as of the start of a read.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How long upstreams may serve on after they left the list.
const MAX_SERVICE_AFTER_REMOVAL: Duration = Duration::from_secs(10);
/// How long versions are remembered.
const MAX_RETENTION: Duration = Duration::from_mins(10);
/// The maximum number of remembered versions of a pool. The version that left first is forgotten.
const MAX_VERSIONS: usize = 16;

/// A version of the software of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedSoftware {
    /// The hash of the pool's name.
    pub pool: NameHash,
    /// The hash of the software.
    pub software: NameHash,
    /// When it was last listed.
    pub last_listed: Instant,
}

/// The software that the upstreams of a pool have run for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolSoftware {
    /// Only this version.
    Single(NameHash),
    /// Several versions.
    Several,
    /// A version may have been missed.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Served {
    software: NameHash,
    /// When it appeared, if other software was listed before.
    appeared_at: Option<Instant>,
    last_listed: Instant,
    is_listed: bool,
}

/// The history of the software of all pools.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Whether the fleet starts for the first time, so that there were no streams before.
    is_first_start: bool,
    /// Since when this router has missed no version.
    watched_since: Option<Instant>,
    /// For how long before that other routers have missed none, or there were no streams.
    watched_before: Duration,
    confirmed_at: Option<Instant>,
    /// When this router first had a list.
    held_since: Option<Instant>,
    /// For how long before that the versions are known.
    held_before: Duration,
    pools: FxHashMap<NameHash, Vec<Served>>,
}

impl SoftwareHistory {
    /// Creates an empty history. `is_first_start` is whether the fleet starts for the first time, so that no stream can
    /// have begun before.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self { is_first_start, ..Self::default() }
    }

    /// Records that the list was current at `as_of`.
    pub fn confirm(&mut self, as_of: Instant) {
        let has_gap = self.confirmed_at.is_none_or(|last| as_of.since(last) > MAX_CONFIRMATION_GAP);
        if has_gap {
            let is_first = self.confirmed_at.is_none() && self.is_first_start;
            self.watched_since = Some(as_of);
            self.watched_before = if is_first { MAX_RETENTION } else { Duration::ZERO };
        }
        if self.held_since.is_none() {
            self.held_since = Some(as_of);
            self.held_before = self.watched_before;
        }
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records the software of a list that was received at `now`.
    pub fn record_list(&mut self, list: &UpstreamList, now: Instant) {
        for served in self.pools.values_mut().flatten().filter(|served| served.is_listed) {
            served.last_listed = now;
            served.is_listed = false;
        }
        // All versions of the first list that names a pool are settled.
        let known_pools: FxHashSet<NameHash> = self.pools.keys().copied().collect();
        for entry in &list.entries {
            let pool_hash = NameHash::of(entry.pool.as_str());
            let pool = self.pools.entry(pool_hash).or_default();
            let appeared_at = known_pools.contains(&pool_hash).then_some(now);
            match pool.iter_mut().find(|served| served.software == entry.software) {
                Some(served) => {
                    // Streams of a version that left long ago are over, so it counts as new.
                    if !served.is_listed && now.since(served.last_listed) > SETTLING_TIME {
                        served.appeared_at = appeared_at;
                    }
                    served.last_listed = now;
                    served.is_listed = true;
                }
                None => add(
                    pool,
                    Served { software: entry.software, appeared_at, last_listed: now, is_listed: true },
                ),
            }
        }
    }

    /// Returns the software that began any stream of `pool` that has lasted for up to `max_age`.
    #[must_use]
    pub fn software_of(&self, pool: NameHash, max_age: Duration, now: Instant) -> PoolSoftware {
        let window = max_age + MAX_SERVICE_AFTER_REMOVAL;
        if self.watched_for(now) < window {
            PoolSoftware::Unknown
        } else {
            self.software_within(pool, window, now)
        }
    }

    /// Like [`SoftwareHistory::software_of`], but assumes that no version came and went while the list was not confirmed.
    #[must_use]
    pub fn seen_software(&self, pool: NameHash, max_age: Duration, now: Instant) -> PoolSoftware {
        let window = max_age + MAX_SERVICE_AFTER_REMOVAL;
        let held_for = self.held_since.map_or(Duration::ZERO, |since| now.since(since) + self.held_before);
        if held_for < window { PoolSoftware::Unknown } else { self.software_within(pool, window, now) }
    }

    fn software_within(&self, pool: NameHash, window: Duration, now: Instant) -> PoolSoftware {
        let pool = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);
        let mut recent =
            pool.iter().filter(|served| served.is_listed || now.since(served.last_listed) < window);
        match (recent.next(), recent.next()) {
            (Some(served), None) => PoolSoftware::Single(served.software),
            (Some(_), Some(_)) => PoolSoftware::Several,
            (None, _) => PoolSoftware::Unknown,
        }
    }

    /// Whether all routers are expected to know that the pool has this software.
    #[must_use]
    pub fn is_settled(&self, pool: NameHash, software: NameHash, now: Instant) -> bool {
        let pool = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);
        let served = pool.iter().find(|served| served.software == software);
        served.and_then(|served| served.appeared_at).is_none_or(|at| now.since(at) >= SETTLING_TIME)
    }

    /// Returns for how long no version can have been missed; zero if the list is out of date.
    #[must_use]
    pub fn watched_for(&self, now: Instant) -> Duration {
        let is_current = self.confirmed_at.is_some_and(|at| now.since(at) <= MAX_CONFIRMATION_GAP);
        let watched_since = self.watched_since.filter(|_| is_current);
        watched_since.map_or(Duration::ZERO, |since| now.since(since) + self.watched_before)
    }

    /// Returns the versions of a pool, or of all pools.
    #[must_use]
    pub fn served(&self, pool: Option<NameHash>, now: Instant) -> Vec<ServedSoftware> {
        let pools = self.pools.iter().filter(|(name, _)| pool.is_none_or(|pool| pool == **name));
        let versions = pools.flat_map(|(pool, versions)| versions.iter().map(|served| (*pool, *served)));
        let report = |(pool, served): (NameHash, Served)| ServedSoftware {
            pool,
            software: served.software,
            last_listed: if served.is_listed { now } else { served.last_listed },
        };
        versions.map(report).collect()
    }

    /// Merges the history of another router, which at `as_of` had missed no version for `watched_for`.
    pub fn merge(&mut self, served: &[ServedSoftware], watched_for: Duration, as_of: Instant) {
        for reported in served {
            let pool = self.pools.entry(reported.pool).or_default();
            match pool.iter_mut().find(|served| served.software == reported.software) {
                Some(served) => served.last_listed = served.last_listed.max(reported.last_listed),
                None => add(
                    pool,
                    Served {
                        software: reported.software,
                        appeared_at: None,
                        last_listed: reported.last_listed,
                        is_listed: false,
                    },
                ),
            }
        }
        if let Some(since) = self.watched_since {
            self.watched_before = self.watched_before.max(watched_for.saturating_sub(as_of.since(since)));
        }
        if let Some(since) = self.held_since {
            self.held_before = self.held_before.max(watched_for.saturating_sub(as_of.since(since)));
        }
    }

    /// Forgets versions that left long ago.
    pub fn prune(&mut self, now: Instant) {
        self.pools.retain(|_, versions| {
            versions.retain(|served| served.is_listed || now.since(served.last_listed) < MAX_RETENTION);
            !versions.is_empty()
        });
    }
}

fn add(pool: &mut Vec<Served>, served: Served) {
    if pool.len() == MAX_VERSIONS {
        let first_to_leave = (0..pool.len()).filter(|index| !pool[*index].is_listed);
        let first_to_leave = first_to_leave.min_by_key(|index| pool[*index].last_listed);
        pool.swap_remove(first_to_leave.unwrap_or(0));
    }
    pool.push(served);
}
