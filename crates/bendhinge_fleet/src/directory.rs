//! Which upstreams there are.
//!
//! A list is taken from the platform as it is, but for one thing: while the platform's store is
//! in trouble, entries can lapse although their upstreams are well. Entries that vanish right
//! after a time without evidence are therefore kept for a while, to be judged by their answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::{DataCentreName, Instant, NameHash, PoolName, UpstreamName};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::Revision;

/// Whether an upstream takes new work, as it reports itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// That an upstream warms up: until then it bears a few requests a second only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WarmUp {
    /// How long it still took when the upstream said so.
    pub left: Duration,
    /// The store's revision at which it said so, which tells one warm-up from the next.
    pub said: Revision,
}

impl WarmUp {
    /// A warm-up of which `left` was left at the revision `said`; `None` if nothing was left.
    #[must_use]
    pub fn of(left: Duration, said: Revision) -> Option<Self> {
        (!left.is_zero()).then_some(Self { left, said })
    }
}

/// An upstream as listed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamEntry {
    /// Its name, which it may keep when its process starts again.
    pub name: UpstreamName,
    /// Which life of it this is, see [`UpstreamEntry::life`].
    pub hash: NameHash,
    /// When its process started, in milliseconds since 1970 by its own clock; 0 if it does not say.
    pub born: u64,
    /// A hash of its pool and the software that it runs there.
    pub software: NameHash,
    /// Its pool.
    pub pool: PoolName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// The store's revision at which it first appeared.
    pub made: u64,
    /// That it warms up, if it does.
    pub warm_up: Option<WarmUp>,
}

impl UpstreamEntry {
    /// The hash that tells a life of an upstream from its others and from all other upstreams. A process that
    /// starts again under its name holds and knows nothing of before: with a hash of its own, nothing that is
    /// believed of the one before is believed of it.
    #[must_use]
    pub fn life(name: &UpstreamName, born: u64) -> NameHash {
        match born {
            0 => NameHash::of(name.as_str()),
            // No name has this sign.
            born => NameHash::of(&format!("{name}@{born}")),
        }
    }
}

/// A whole list, in the order of names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UpstreamList {
    /// The entries.
    pub entries: Vec<Arc<UpstreamEntry>>,
    /// Data centres whose upstreams are to get no new work until the operators take that back, in the order of
    /// names. They are part of the list so that they travel as surely and as fast as an upstream's leaving, and
    /// are never seen apart from it.
    pub drained: Vec<DataCentreName>,
}

/// An upstream as this router sees it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its entry.
    pub entry: Arc<UpstreamEntry>,
    /// When this router first heard of it.
    pub since: Instant,
    /// When it vanished from the list, if it did.
    pub vanished: Option<Instant>,
    /// When it stops taking new work, or did: a vanished one that is doubted, when the doubt ends.
    pub left: Option<Instant>,
    /// Whether its data centre is drained.
    pub is_drained: bool,
    /// When it is warm at the latest, if it was said to warm up: what was left then, counted from
    /// when this router heard of it.
    pub warm: Option<Instant>,
}

impl Listed {
    /// Whether it takes new work.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        self.left.is_none_or(|left| now < left) && !self.is_drained
    }

    /// It takes no new work from then on, if not from earlier on.
    fn leaves_at(&mut self, at: Instant) {
        self.left = Some(self.left.map_or(at, |left| left.min(at)));
    }

    /// Whether it may still be warming up.
    #[must_use]
    pub fn is_warming(&self, now: Instant) -> bool {
        self.warm.is_some_and(|warm| now < warm)
    }
}

/// How long an upstream counts as warming up after its data centre was drained: it may have been restarted
/// meanwhile, and what it says of its warm-up is up to two seconds old when it is read.
const DOUBTED_AFTER_DRAIN: Duration = Duration::from_millis(2_500);

/// How long after an upstream said that it leaves that is remembered though it is not listed: a page that is read late, or that
/// another router read, may still have it. Those that leave end within seconds, and pages are read each second.
const LEAVING_REMEMBERED: Duration = Duration::from_mins(10);

/// The times that the directory depends on.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryLimits {
    /// Evidence older than this means that the store was in trouble.
    pub gap: Duration,
    /// How long after the end of such trouble vanished entries are kept: what lives is listed again by then.
    pub doubt: Duration,
    /// How long upstreams that take no new work are remembered, for what they keep.
    pub remember: Duration,
}

/// All upstreams as this router sees them.
#[derive(Debug)]
pub struct Directory {
    limits: DirectoryLimits,
    listed: Vec<Listed>,
    /// The positions of those listed: each send looks one up, and a list that is taken in all of them, with everybody who
    /// chooses waiting.
    positions: FxHashMap<NameHash, usize>,
    /// When upstreams said to this router that they leave.
    leaving: FxHashMap<NameHash, Instant>,
    evidence_seen: Option<Instant>,
    doubt_until: Option<Instant>,
}

impl Directory {
    /// An empty directory.
    #[must_use]
    pub fn new(limits: DirectoryLimits) -> Self {
        Self {
            limits,
            listed: Vec::new(),
            positions: FxHashMap::default(),
            leaving: FxHashMap::default(),
            evidence_seen: None,
            doubt_until: None,
        }
    }

    /// Notes that an upstream said itself that it leaves; `true` if that is news. It stands for as long as the upstream
    /// lives: its own word is newer than any list, whoever read that.
    pub fn leaves(&mut self, upstream: NameHash, now: Instant) -> bool {
        if self.leaving.contains_key(&upstream) {
            return false;
        }
        self.leaving.insert(upstream, now);
        if let Some(position) = self.positions.get(&upstream) {
            self.listed[*position].leaves_at(now);
        }
        true
    }

    /// All upstreams, those that take no new work among them, in the order of names.
    #[must_use]
    pub fn listed(&self) -> &[Listed] {
        &self.listed
    }

    /// Whether the upstream is listed, one that takes no new work among them.
    #[must_use]
    pub fn lists(&self, upstream: NameHash) -> bool {
        self.positions.contains_key(&upstream)
    }

    /// The upstream as it is listed, one that takes no new work too.
    #[must_use]
    pub fn get(&self, upstream: NameHash) -> Option<&Listed> {
        self.positions.get(&upstream).map(|position| &self.listed[*position])
    }

    /// Notes that the list was known to be current as of `as_of`; a gap since the last such evidence
    /// casts doubt on entries that vanish soon after.
    pub fn evidence(&mut self, as_of: Instant) {
        let gap = self.evidence_seen.is_some_and(|seen| as_of.since(seen) > self.limits.gap);
        if gap {
            // From then on, however late it was heard of: a router that stood still while the store was well
            // must not hold on to what left meanwhile for longer than that.
            self.doubt_until = Some(as_of + self.limits.doubt);
        }
        self.evidence_seen = Some(self.evidence_seen.map_or(as_of, |seen| seen.max(as_of)));
    }

    /// Takes in a list; call [`Directory::evidence`] first.
    pub fn take(&mut self, list: &UpstreamList, now: Instant) {
        let kept_until = self.doubt_until.unwrap_or(now).max(now);
        let before = std::mem::take(&mut self.listed).into_iter();
        let mut before: FxHashMap<NameHash, Listed> =
            before.map(|listed| (listed.entry.hash, listed)).collect();
        for entry in &list.entries {
            let known = before.remove(&entry.hash);
            let is_drained = list.drained.contains(&entry.data_centre);
            let mut listed = renewed(known.as_ref(), entry, is_drained, now);
            if let Some(said) = self.leaving.get(&entry.hash) {
                listed.leaves_at(*said);
            }
            self.listed.push(listed);
        }
        // What is kept of an upstream that vanished is over once it is listed in another life.
        let names: FxHashSet<&UpstreamName> = list.entries.iter().map(|entry| &entry.name).collect();
        for mut listed in before.into_values().filter(|listed| !names.contains(&listed.entry.name)) {
            listed.is_drained = list.drained.contains(&listed.entry.data_centre);
            listed.vanished.get_or_insert(now);
            listed.leaves_at(kept_until);
            self.listed.push(listed);
        }
        self.listed.sort_by(|left, right| left.entry.name.cmp(&right.entry.name));
        self.index();
        self.prune(now);
    }

    /// Forgets vanished upstreams that are not remembered any more; `true` if there was one.
    pub fn prune(&mut self, now: Instant) -> bool {
        let limits = self.limits;
        let before = self.listed.len();
        self.listed.retain(|listed| {
            listed.vanished.is_none() || listed.left.is_none_or(|left| now.since(left) < limits.remember)
        });
        let forgot = self.listed.len() != before;
        if forgot {
            self.index();
        }
        let Self { positions, leaving, .. } = self;
        leaving.retain(|upstream, said| {
            positions.contains_key(upstream) || now.since(*said) < LEAVING_REMEMBERED
        });
        forgot
    }

    fn index(&mut self) {
        let hashes = self.listed.iter().map(|listed| listed.entry.hash);
        self.positions = hashes.enumerate().map(|(position, hash)| (hash, position)).collect();
    }
}

fn renewed(known: Option<&Listed>, entry: &Arc<UpstreamEntry>, is_drained: bool, now: Instant) -> Listed {
    let left = known.and_then(|known| known.left);
    let is_said_before = |known: &&Listed| known.entry.warm_up == entry.warm_up;
    let warm = match known.filter(is_said_before) {
        Some(known) => known.warm,
        None => entry.warm_up.map(|warm_up| now + warm_up.left),
    };
    let is_given_back = known.is_some_and(|known| known.is_drained) && !is_drained;
    let warm = if is_given_back { warm.max(Some(now + DOUBTED_AFTER_DRAIN)) } else { warm };
    let was_draining = known.is_some_and(|known| known.entry.state == UpstreamState::Draining);
    Listed {
        entry: Arc::clone(entry),
        since: known.map_or(now, |known| known.since),
        vanished: None,
        left: match entry.state {
            UpstreamState::Draining => left.or(Some(now)),
            // Leaving wins over joining: an upstream that said it leaves does not come back.
            UpstreamState::Ready => left.filter(|_| was_draining),
        },
        is_drained,
        warm,
    }
}
