//! Requests under which upstreams crash, and when one is sent no more.
//!
//! Such a request comes again, as a new try at any router, and would end one upstream after the other, with all that
//! they run. So each router tells the others under which requests an upstream crashed, and, from the second crash on,
//! that it sends one: crashes and sends under way together are never more than [`MOST_CRASHES`]. What the
//! others know is a moment old, so sends that begin within that moment come on top.
//!
//! Whatever ran beside such a request is lost with it and is suspected, too. A whole answer ends a suspicion, and a
//! crash that a request under quarantine was in counts against no other that was in fewer. When a busy upstream
//! crashes, a hundred requests are suspected at once: of a single crash no more is told than once that it was.

use std::collections::hash_map::Entry;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, RequestDigest, RequestHint};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::UpdateSource;

/// Upstreams that may crash under one request. One crash is chance: all that ran there was lost with it. After the
/// third in a row without an answer, another upstream is more than its answer is worth.
pub const MOST_CRASHES: usize = 3;
/// How long a request is kept from upstreams after the third crash; each further one doubles it. A request that
/// comes each second then ends one upstream in so long, not one a second.
const STANDS_FOR: Duration = Duration::from_mins(10);
/// The longest, doubled or not.
const STANDS_AT_MOST: Duration = Duration::from_hours(24);
/// How long one or two crashes are held against a request that does not come again.
const SUSPECTED_FOR: Duration = Duration::from_mins(10);
/// How long a send of a suspected request counts as under way without word of its end: its router may have
/// crashed or be cut off. Longer than nearly all requests take.
const UNDER_WAY_FOR: Duration = Duration::from_secs(10);
/// Crashes from which on others are told of each send. From the first on, one request would crash 3.07 upstreams
/// on average in place of 3.25 (nine routers, virtual time), at twice the messages, of which an overloaded fleet has
/// most when a part of its pool crashes.
const WATCHED_FROM: usize = 2;
/// Crashes of one request that are remembered: the quarantine grows no longer by more.
const MOST_REMEMBERED: usize = 12;
/// Suspected requests that are remembered. When seven upstreams crash that run a hundred requests each, 800 are
/// suspected; an entry takes some 250 bytes (reckoned).
const MOST_SUSPECTED: usize = 1_024;
/// Crashes from which on a request is told of to a router whose knowledge differs, however old they are: of one
/// alone, a router that missed it does not send more often than it may after the next.
const ALWAYS_TOLD_FROM: usize = 2;

/// The end of an upstream's process under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The upstream, in the life that ended.
    pub upstream: NameHash,
    /// The software that it ran.
    pub software: NameHash,
    /// When it was noticed.
    pub at: Instant,
}

/// A router's sends of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnderWay {
    /// Which router, by a hash of its address.
    pub router: NameHash,
    /// How many; 0 says that all have ended.
    pub sends: u8,
    /// When the last of them began or ended.
    pub at: Instant,
}

/// What is known of a suspected request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// The crashes under it, in the order in which they were heard of.
    pub crashes: Vec<Crash>,
    /// When an upstream last gave a whole answer to it, which ends what was held against it until then.
    pub answered: Option<Instant>,
    /// Who sends it.
    pub under_way: Vec<UnderWay>,
}

impl Suspicion {
    /// The crashes since the last answer.
    fn unanswered(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| self.answered.is_none_or(|answered| crash.at > answered))
    }

    /// How many they are.
    fn strength(&self) -> usize {
        self.unanswered().count()
    }

    fn last_crash(&self) -> Option<Instant> {
        self.unanswered().map(|crash| crash.at).max()
    }

    /// What it adds to the digest of what is always told; 0 of what is not.
    fn digest(&self, request: RequestDigest) -> u64 {
        if self.strength() < ALWAYS_TOLD_FROM {
            return 0;
        }
        self.unanswered().fold(0, |digest, crash| digest ^ mixed(request, crash.upstream))
    }

    fn is_crashed_by(&self, upstream: NameHash) -> bool {
        self.unanswered().any(|crash| crash.upstream == upstream)
    }

    fn sends_under_way(&self, now: Instant) -> usize {
        let fresh = self.under_way.iter().filter(|sending| now.since(sending.at) < UNDER_WAY_FOR);
        fresh.map(|sending| usize::from(sending.sends)).sum()
    }

    /// Adds a crash; `false` if that upstream's is known.
    fn add(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.upstream == crash.upstream) {
            return false;
        }
        if self.crashes.len() == MOST_REMEMBERED {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// The life in which an upstream was to which it was sent at `sent`. One that had crashed by then was in
    /// another, though it may keep its name and the list may not tell of that yet.
    fn life_at(&self, upstream: NameHash, sent: Instant) -> NameHash {
        let mut life = upstream;
        while self.crashes.iter().any(|known| known.upstream == life && known.at < sent) {
            life = NameHash(xxhash_rust::xxh3::xxh3_64(&life.0.to_le_bytes()));
        }
        life
    }

    /// Takes in what a router said of its sends; `true` if that changes their number.
    fn note_sends(&mut self, said: UnderWay) -> bool {
        // What counts no more is not told on for ever.
        self.under_way.retain(|known| said.at.since(known.at) < UNDER_WAY_FOR);
        match self.under_way.iter_mut().find(|known| known.router == said.router) {
            Some(known) if known.at >= said.at => false,
            Some(known) => {
                let changes = known.sends != said.sends;
                *known = said;
                changes
            }
            None => {
                self.under_way.push(said);
                said.sends > 0
            }
        }
    }

    /// What is left at `now` of the time for which it is kept from upstreams.
    fn stands_for(&self, strength: usize, now: Instant) -> Option<Duration> {
        let further = strength.checked_sub(MOST_CRASHES)?;
        let doublings = u32::try_from(further).unwrap_or(u32::MAX).min(16);
        let whole = STANDS_FOR.saturating_mul(1 << doublings).min(STANDS_AT_MOST);
        let passed = now.since(self.last_crash()?);
        whole.checked_sub(passed).filter(|left| !left.is_zero())
    }

    /// Whether it need not be remembered any more. A quarantine that has ended is, for days: the next crash is held
    /// against the request with all before.
    fn is_over(&self, now: Instant) -> bool {
        let Some(last) = self.last_crash() else {
            // What others may still tell of it is known to be over.
            return self.answered.is_none_or(|answered| now.since(answered) > SUSPECTED_FOR);
        };
        let is_old = now.since(last) > SUSPECTED_FOR;
        is_old && (self.strength() < MOST_CRASHES || now.since(last) > 2 * STANDS_AT_MOST)
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Nothing is held against it, or one crash.
    Free,
    /// It may be, and others are to be told.
    Watched,
    /// As many sends of it are under way as there may be. They end within a request's time.
    Later,
    /// It is kept from upstreams, for that long.
    Quarantined(Duration),
}

/// A suspicion with how it changed last.
#[derive(Debug)]
struct VersionedValue {
    suspicion: Suspicion,
    changed: Change,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    /// Who told of it.
    by: UpdateSource,
}

/// The suspected requests as one router knows them.
#[derive(Debug)]
pub struct Quarantine {
    /// This router, as others know it.
    own: NameHash,
    held: FxHashMap<RequestDigest, VersionedValue>,
    /// How many of them have each hint.
    hints: FxHashMap<RequestHint, u32>,
    /// Of all that is always told.
    digest: u64,
    /// The software that upstreams run, once that is known: what crashed another is not held against it.
    running: Option<FxHashSet<NameHash>>,
}

impl Quarantine {
    /// No suspicions yet, of the router that others know as `own`.
    #[must_use]
    pub fn new(own: NameHash) -> Self {
        Self { own, held: FxHashMap::default(), hints: FxHashMap::default(), digest: 0, running: None }
    }

    /// Whether something may be known of a request: of another it is not worth to look at its body.
    #[must_use]
    pub fn may_know(&self, hint: RequestHint) -> bool {
        self.hints.contains_key(&hint)
    }

    /// Whether nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn permission(&self, request: RequestDigest, now: Instant) -> Permission {
        let Some(VersionedValue { suspicion, .. }) = self.held.get(&request) else { return Permission::Free };
        let counted = self.counted(suspicion);
        if counted < WATCHED_FROM {
            return Permission::Free;
        }
        if let Some(left) = suspicion.stands_for(counted, now) {
            return Permission::Quarantined(left);
        }
        // After a quarantine it may be tried once at a time.
        let crashes = counted.min(MOST_CRASHES - 1);
        if crashes + suspicion.sends_under_way(now) < MOST_CRASHES {
            Permission::Watched
        } else {
            Permission::Later
        }
    }

    /// How many crashes are held against a request.
    #[must_use]
    pub fn crashes_of(&self, request: RequestDigest) -> usize {
        self.held.get(&request).map_or(0, |held| self.counted(&held.suspicion))
    }

    fn counted(&self, suspicion: &Suspicion) -> usize {
        let strength = suspicion.strength();
        if strength < WATCHED_FROM {
            // It makes no difference, and nearly all that are suspected are so once.
            return strength;
        }
        let counts = |crash: &&Crash| {
            let is_run = self.running.as_ref().is_none_or(|running| running.contains(&crash.software));
            is_run && !self.is_explained(crash.upstream, strength)
        };
        suspicion.unanswered().filter(counts).count()
    }

    /// Whether an upstream crashed under a request that is under quarantine and was in more crashes than
    /// `strength`, that of another request that it ran.
    fn is_explained(&self, upstream: NameHash, strength: usize) -> bool {
        self.held.values().any(|VersionedValue { suspicion, .. }| {
            let other = suspicion.strength();
            other >= MOST_CRASHES && other > strength && suspicion.is_crashed_by(upstream)
        })
    }

    /// Notes that this router begins a send of a suspected request.
    pub fn begins(&mut self, request: RequestDigest, now: Instant) {
        self.change_own_sends(request, now, |sends| sends.saturating_add(1));
    }

    /// Notes that such a send has ended, whatever came of it.
    pub fn ends(&mut self, request: RequestDigest, now: Instant) {
        self.change_own_sends(request, now, |sends| sends.saturating_sub(1));
    }

    fn change_own_sends(&mut self, request: RequestDigest, now: Instant, change: impl Fn(u8) -> u8) {
        let router = self.own;
        self.change(request, UpdateSource::Local, now, |suspicion| {
            let own = suspicion.under_way.iter().find(|known| known.router == router);
            let sends = change(own.map_or(0, |own| own.sends));
            // Two changes within one tick of the clock are in their order.
            let at = own.map_or(now, |own| now.max(own.at + Duration::from_micros(1)));
            suspicion.note_sends(UnderWay { router, sends, at })
        });
    }

    /// Notes that an upstream crashed under a request that this router had sent at `sent`; `false` if it was
    /// known, or is one of too many.
    pub fn crashed(&mut self, request: RequestDigest, crash: Crash, sent: Instant, now: Instant) -> bool {
        self.take(request, UpdateSource::Local, now, |suspicion| {
            let upstream = suspicion.life_at(crash.upstream, sent);
            suspicion.add(Crash { upstream, ..crash })
        })
    }

    /// Notes that an upstream gave a whole answer to a request; `true` if that ends a suspicion.
    pub fn answered(&mut self, request: RequestDigest, now: Instant) -> bool {
        self.change(request, UpdateSource::Local, now, |suspicion| {
            let was_suspected = suspicion.strength() > 0;
            suspicion.answered = Some(now);
            was_suspected
        })
    }

    /// Takes in what another router, `from`, knows of a request; `true` if that changes what is held against it.
    pub fn hear(
        &mut self,
        request: RequestDigest,
        heard: &Suspicion,
        from: UpdateSource,
        now: Instant,
    ) -> bool {
        let own = self.own;
        if heard.is_over(now) && !self.held.contains_key(&request) {
            return false;
        }
        self.take(request, from, now, |suspicion| {
            let before = suspicion.strength();
            suspicion.answered = suspicion.answered.max(heard.answered);
            let mut changes = false;
            for crash in heard.unanswered() {
                changes |= suspicion.add(*crash);
            }
            for said in &heard.under_way {
                changes |= said.router != own && suspicion.note_sends(*said);
            }
            changes || suspicion.strength() != before
        })
    }

    /// Makes a change to what is known of a request; `false` if nothing is, or if it is none.
    fn change(
        &mut self,
        request: RequestDigest,
        by: UpdateSource,
        now: Instant,
        change: impl FnOnce(&mut Suspicion) -> bool,
    ) -> bool {
        let Some(held) = self.held.get_mut(&request) else { return false };
        let before = held.suspicion.digest(request);
        let changes = change(&mut held.suspicion);
        self.digest ^= before ^ held.suspicion.digest(request);
        if changes {
            held.changed = Change { at: now, by };
        }
        changes
    }

    /// The same, of a request of which nothing may be known yet.
    fn take(
        &mut self,
        request: RequestDigest,
        by: UpdateSource,
        now: Instant,
        change: impl FnOnce(&mut Suspicion) -> bool,
    ) -> bool {
        if self.held.contains_key(&request) {
            return self.change(request, by, now, change);
        }
        let mut suspicion = Suspicion::default();
        let changes = change(&mut suspicion);
        if !changes || !self.has_room_for(&suspicion) {
            return false;
        }
        self.digest ^= suspicion.digest(request);
        self.held.insert(request, VersionedValue { suspicion, changed: Change { at: now, by } });
        *self.hints.entry(request.hint()).or_default() += 1;
        true
    }

    /// Whether there is room for one more, or is made by forgetting a weaker one. One of the same strength gives way to
    /// none: routers that forget what they are told of again would tell each other of it for ever.
    fn has_room_for(&mut self, suspicion: &Suspicion) -> bool {
        if self.held.len() < MOST_SUSPECTED {
            return true;
        }
        let weight = |held: &VersionedValue| (held.suspicion.strength(), held.suspicion.last_crash());
        let weakest = self.held.iter().min_by_key(|(_, held)| weight(held));
        let Some((request, held)) = weakest else { return true };
        if held.suspicion.strength() >= suspicion.strength() {
            return false;
        }
        let request = *request;
        self.forget(request);
        true
    }

    fn forget(&mut self, request: RequestDigest) {
        let Some(held) = self.held.remove(&request) else { return };
        self.digest ^= held.suspicion.digest(request);
        if let Entry::Occupied(mut hint) = self.hints.entry(request.hint()) {
            *hint.get_mut() -= 1;
            if *hint.get() == 0 {
                hint.remove();
            }
        }
    }

    /// What changed after `since`, to tell `listener` at once: what this router saw itself, and what it has from
    /// others if it `tells_on`.
    pub fn changes(
        &self,
        listener: UpdateSource,
        since: Instant,
        tells_on: bool,
    ) -> impl Iterator<Item = (RequestDigest, &Suspicion)> {
        let is_told = move |held: &VersionedValue| {
            let Change { at, by } = held.changed;
            at > since && by != listener && (tells_on || by == UpdateSource::Local)
        };
        self.held().filter(move |(request, _)| self.held.get(request).is_some_and(is_told))
    }

    /// What to tell a router whose digest differs: all that matters, however old.
    pub fn that_matters(&self) -> impl Iterator<Item = (RequestDigest, &Suspicion)> {
        self.held().filter(|(_, suspicion)| suspicion.strength() >= ALWAYS_TOLD_FROM)
    }

    /// All that is known.
    pub fn held(&self) -> impl Iterator<Item = (RequestDigest, &Suspicion)> {
        self.held.iter().map(|(request, held)| (*request, &held.suspicion))
    }

    /// What all routers that know the same of what is always told have alike; 0 of nothing.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// The requests that are kept from upstreams, with how long they still are.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (RequestDigest, &Suspicion, Duration)> {
        self.held().filter_map(move |(request, suspicion)| match self.permission(request, now) {
            Permission::Quarantined(left) => Some((request, suspicion, left)),
            _ => None,
        })
    }

    /// Notes which software upstreams run now.
    pub fn follow_software(&mut self, running: impl IntoIterator<Item = NameHash>) {
        self.running = Some(running.into_iter().collect());
    }

    /// Forgets what is over.
    pub fn prune(&mut self, now: Instant) {
        let over = self.held().filter(|(_, suspicion)| suspicion.is_over(now));
        let over: Vec<RequestDigest> = over.map(|(request, _)| request).collect();
        for request in over {
            self.forget(request);
        }
    }
}

/// A number for a crash, the same at all routers of one build.
fn mixed(request: RequestDigest, upstream: NameHash) -> u64 {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&request.0.to_le_bytes());
    bytes[16..].copy_from_slice(&upstream.0.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
