//! Quarantine of requests that crash the upstreams that process them.
//!
//! A client or router that retries such a request would crash one upstream after another, along with
//! everything else that runs there. Each router therefore reports to its peers the requests under which an
//! upstream crashed and, from the second crash on, its own sends of them. The number of crashes plus sends
//! in flight never exceeds [`MAX_CRASHES`], except for sends that start within the propagation delay of
//! these reports.
//!
//! Requests that ran on an upstream when it crashed are recorded too. A complete response clears a request,
//! and a crash that is attributed to a quarantined request does not count against requests with fewer
//! crashes. Requests with a single crash are reported only once, since the crash of a busy upstream
//! involves many of them.

use std::collections::hash_map::Entry;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, RequestDigest, RequestHint};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::UpdateSource;

/// The number of upstream crashes after which a request is quarantined. A single crash says little, since all requests
/// in progress on the upstream are lost with it.
pub const MAX_CRASHES: usize = 3;
/// The quarantine period after [`MAX_CRASHES`] crashes. Each further crash doubles it.
const BASE_QUARANTINE: Duration = Duration::from_mins(10);
/// The upper bound of the quarantine period.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);
/// How long a crash count below the quarantine limit is kept after the last crash.
const SUSPICION_TTL: Duration = Duration::from_mins(10);
/// How long a reported send counts as in flight if its end is not reported, since the router that sent it
/// may have crashed or be unreachable.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(10);
/// The crash count from which on sends are reported to other routers. Reporting after the first crash would
/// prevent few crashes (3.07 instead of 3.25 per request, with nine routers) and double the number of messages
/// during an overload.
const TRACKING_THRESHOLD: usize = 2;
/// The maximum number of crashes that are stored per request.
const MAX_RECORDED_CRASHES: usize = 12;
/// The maximum number of requests in the quarantine, enough for several busy upstreams that crash at once: seven with a
/// hundred requests each make some 800 suspected. An entry takes some 250 bytes.
const MAX_REQUESTS: usize = 1_024;
/// The crash count from which on a request is part of the digest and is sent to routers whose digest
/// differs.
const SYNC_THRESHOLD: usize = 2;

/// A crash of an upstream process while it processed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The instance of the upstream that crashed.
    pub upstream: NameHash,
    /// The software that the upstream ran.
    pub software: NameHash,
    /// When the crash was detected.
    pub at: Instant,
}

/// The number of sends of a request that a router has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightSends {
    /// The hash of the router's address.
    pub router: NameHash,
    /// The number of sends in flight; 0 once all have ended.
    pub count: u8,
    /// When the last of them started or ended.
    pub at: Instant,
}

/// The crashes, responses and sends in flight of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// The crashes, in the order in which they were received.
    pub crashes: Vec<Crash>,
    /// When an upstream last sent a complete response, which clears all earlier crashes.
    pub last_response: Option<Instant>,
    /// The sends in flight, by router.
    pub in_flight: Vec<InFlightSends>,
}

impl CrashHistory {
    fn crashes_since_response(&self) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(|crash| self.last_response.is_none_or(|last_response| crash.at > last_response))
    }

    fn crash_count(&self) -> usize {
        self.crashes_since_response().count()
    }

    fn last_crash_at(&self) -> Option<Instant> {
        self.crashes_since_response().map(|crash| crash.at).max()
    }

    /// Returns the contribution to the digest, or 0 below [`SYNC_THRESHOLD`].
    fn digest(&self, request: RequestDigest) -> u64 {
        if self.crash_count() < SYNC_THRESHOLD {
            return 0;
        }
        self.crashes_since_response().fold(0, |digest, crash| digest ^ crash_digest(request, crash.upstream))
    }

    fn contains_crash_of(&self, upstream: NameHash) -> bool {
        self.crashes_since_response().any(|crash| crash.upstream == upstream)
    }

    fn in_flight_count(&self, now: Instant) -> usize {
        let recent = self.in_flight.iter().filter(|entry| now.since(entry.at) < IN_FLIGHT_TTL);
        recent.map(|entry| usize::from(entry.count)).sum()
    }

    /// Adds a crash; returns `false` if the crash of this upstream instance is already recorded.
    fn add_crash(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|entry| entry.upstream == crash.upstream) {
            return false;
        }
        if self.crashes.len() == MAX_RECORDED_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Returns the upstream instance to which a request was sent at `sent`. An instance that crashed before
    /// `sent` has been replaced under the same name, although the upstream list may not show that yet.
    fn instance_at(&self, upstream: NameHash, sent: Instant) -> NameHash {
        let mut instance = upstream;
        while self.crashes.iter().any(|entry| entry.upstream == instance && entry.at < sent) {
            instance = NameHash(xxhash_rust::xxh3::xxh3_64(&instance.0.to_le_bytes()));
        }
        instance
    }

    /// Records the sends that a router reports; returns `true` if their number changed.
    fn record_sends(&mut self, reported: InFlightSends) -> bool {
        // Expired entries are dropped so that they are not forwarded indefinitely.
        self.in_flight.retain(|entry| reported.at.since(entry.at) < IN_FLIGHT_TTL);
        match self.in_flight.iter_mut().find(|entry| entry.router == reported.router) {
            Some(entry) if entry.at >= reported.at => false,
            Some(entry) => {
                let is_changed = entry.count != reported.count;
                *entry = reported;
                is_changed
            }
            None => {
                self.in_flight.push(reported);
                reported.count > 0
            }
        }
    }

    /// Returns the remaining quarantine period, if any.
    fn quarantine_remaining(&self, crash_count: usize, now: Instant) -> Option<Duration> {
        let repeats = crash_count.checked_sub(MAX_CRASHES)?;
        let doublings = u32::try_from(repeats).unwrap_or(u32::MAX).min(16);
        let period = BASE_QUARANTINE.saturating_mul(1 << doublings).min(MAX_QUARANTINE);
        let elapsed = now.since(self.last_crash_at()?);
        period.checked_sub(elapsed).filter(|remaining| !remaining.is_zero())
    }

    /// Whether the history can be removed. It outlives the quarantine so that a further crash doubles the
    /// period.
    fn is_expired(&self, now: Instant) -> bool {
        let Some(last) = self.last_crash_at() else {
            // Kept for a while so that delayed reports of cleared crashes are recognised.
            return self.last_response.is_none_or(|last_response| now.since(last_response) > SUSPICION_TTL);
        };
        let is_old = now.since(last) > SUSPICION_TTL;
        is_old && (self.crash_count() < MAX_CRASHES || now.since(last) > 2 * MAX_QUARANTINE)
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// The request may be sent; it has at most one crash.
    Allowed,
    /// The request may be sent, and the send has to be reported to other routers.
    Tracked,
    /// The maximum number of sends is in flight; a retry after a typical request duration may succeed.
    Deferred,
    /// The request is quarantined for the given duration.
    Quarantined(Duration),
}

/// A crash history and its last change.
#[derive(Debug)]
struct TrackedRequest {
    history: CrashHistory,
    last_change: Change,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    source: UpdateSource,
}

/// One router's view of the requests under which upstreams crashed.
#[derive(Debug)]
pub struct Quarantine {
    /// The address hash of this router.
    local_router: NameHash,
    requests: FxHashMap<RequestDigest, TrackedRequest>,
    /// The number of tracked requests per hint.
    hint_counts: FxHashMap<RequestHint, u32>,
    /// The combined digest of all histories that reached [`SYNC_THRESHOLD`].
    digest: u64,
    /// The software that upstreams run, if known. Crashes of other software do not count.
    running_software: Option<FxHashSet<NameHash>>,
}

impl Quarantine {
    /// Creates an empty quarantine for the router with the given address hash.
    #[must_use]
    pub fn new(local_router: NameHash) -> Self {
        Self {
            local_router,
            requests: FxHashMap::default(),
            hint_counts: FxHashMap::default(),
            digest: 0,
            running_software: None,
        }
    }

    /// Whether a request with this hint may be tracked. If not, the request body need not be hashed.
    #[must_use]
    pub fn may_contain(&self, hint: RequestHint) -> bool {
        self.hint_counts.contains_key(&hint)
    }

    /// Whether no request is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn permission(&self, request: RequestDigest, now: Instant) -> SendPermission {
        let Some(TrackedRequest { history, .. }) = self.requests.get(&request) else {
            return SendPermission::Allowed;
        };
        let counted_crashes = self.counted_crashes(history);
        if counted_crashes < TRACKING_THRESHOLD {
            return SendPermission::Allowed;
        }
        if let Some(remaining) = history.quarantine_remaining(counted_crashes, now) {
            return SendPermission::Quarantined(remaining);
        }
        // After a quarantine, one send at a time is allowed.
        let crashes = counted_crashes.min(MAX_CRASHES - 1);
        if crashes + history.in_flight_count(now) < MAX_CRASHES {
            SendPermission::Tracked
        } else {
            SendPermission::Deferred
        }
    }

    /// Returns the number of crashes that count against a request.
    #[must_use]
    pub fn crash_count(&self, request: RequestDigest) -> usize {
        self.requests.get(&request).map_or(0, |tracked| self.counted_crashes(&tracked.history))
    }

    fn counted_crashes(&self, history: &CrashHistory) -> usize {
        let crash_count = history.crash_count();
        if crash_count < TRACKING_THRESHOLD {
            // Skips the scan of other requests: the result cannot matter, and most requests have one crash.
            return crash_count;
        }
        let is_counted = |crash: &&Crash| {
            let is_software_running = self
                .running_software
                .as_ref()
                .is_none_or(|running_software| running_software.contains(&crash.software));
            is_software_running && !self.is_explained_by_quarantine(crash.upstream, crash_count)
        };
        history.crashes_since_response().filter(is_counted).count()
    }

    /// Whether the crash of an upstream is attributed to a quarantined request with more than `crash_count`
    /// crashes.
    fn is_explained_by_quarantine(&self, upstream: NameHash, crash_count: usize) -> bool {
        self.requests.values().any(|TrackedRequest { history, .. }| {
            let other = history.crash_count();
            other >= MAX_CRASHES && other > crash_count && history.contains_crash_of(upstream)
        })
    }

    /// Records that this router starts to send a tracked request.
    pub fn record_send_start(&mut self, request: RequestDigest, now: Instant) {
        self.update_own_sends(request, now, |count| count.saturating_add(1));
    }

    /// Records that a send of a tracked request has ended, with any result.
    pub fn record_send_end(&mut self, request: RequestDigest, now: Instant) {
        self.update_own_sends(request, now, |count| count.saturating_sub(1));
    }

    fn update_own_sends(&mut self, request: RequestDigest, now: Instant, apply: impl Fn(u8) -> u8) {
        let router = self.local_router;
        self.update(request, UpdateSource::Local, now, |history| {
            let existing = history.in_flight.iter().find(|entry| entry.router == router);
            let count = apply(existing.map_or(0, |existing| existing.count));
            // Keeps two changes within one clock tick in order.
            let at = existing.map_or(now, |existing| now.max(existing.at + Duration::from_micros(1)));
            history.record_sends(InFlightSends { router, count, at })
        });
    }

    /// Records that an upstream crashed while it processed a request that this router sent at `sent`.
    /// Returns `false` if the crash is already recorded or the quarantine is full.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        crash: Crash,
        sent: Instant,
        now: Instant,
    ) -> bool {
        self.update_or_insert(request, UpdateSource::Local, now, |history| {
            let upstream = history.instance_at(crash.upstream, sent);
            history.add_crash(Crash { upstream, ..crash })
        })
    }

    /// Records a complete response to a request; returns `true` if that cleared any crash.
    pub fn record_response(&mut self, request: RequestDigest, now: Instant) -> bool {
        self.update(request, UpdateSource::Local, now, |history| {
            let had_crashes = history.crash_count() > 0;
            history.last_response = Some(now);
            had_crashes
        })
    }

    /// Merges the history that another router reports; returns `true` if anything changed.
    pub fn merge(
        &mut self,
        request: RequestDigest,
        received: &CrashHistory,
        sender: UpdateSource,
        now: Instant,
    ) -> bool {
        let local_router = self.local_router;
        if received.is_expired(now) && !self.requests.contains_key(&request) {
            return false;
        }
        self.update_or_insert(request, sender, now, |history| {
            let before = history.crash_count();
            history.last_response = history.last_response.max(received.last_response);
            let mut is_changed = false;
            for crash in received.crashes_since_response() {
                is_changed |= history.add_crash(*crash);
            }
            for reported in &received.in_flight {
                is_changed |= reported.router != local_router && history.record_sends(*reported);
            }
            is_changed || history.crash_count() != before
        })
    }

    /// Updates the history of a tracked request; returns `false` if it is not tracked or did not change.
    fn update(
        &mut self,
        request: RequestDigest,
        source: UpdateSource,
        now: Instant,
        apply: impl FnOnce(&mut CrashHistory) -> bool,
    ) -> bool {
        let Some(tracked) = self.requests.get_mut(&request) else { return false };
        let before = tracked.history.digest(request);
        let is_changed = apply(&mut tracked.history);
        self.digest ^= before ^ tracked.history.digest(request);
        if is_changed {
            tracked.last_change = Change { at: now, source };
        }
        is_changed
    }

    /// Like [`Self::update`], but starts to track the request if necessary.
    fn update_or_insert(
        &mut self,
        request: RequestDigest,
        source: UpdateSource,
        now: Instant,
        apply: impl FnOnce(&mut CrashHistory) -> bool,
    ) -> bool {
        if self.requests.contains_key(&request) {
            return self.update(request, source, now, apply);
        }
        let mut history = CrashHistory::default();
        let is_changed = apply(&mut history);
        if !is_changed || !self.make_room_for(&history) {
            return false;
        }
        self.digest ^= history.digest(request);
        self.requests.insert(request, TrackedRequest { history, last_change: Change { at: now, source } });
        *self.hint_counts.entry(request.hint()).or_default() += 1;
        true
    }

    /// Evicts the lowest-ranked request if the quarantine is full; returns `false` if there is no room.
    /// Requests with equal crash counts do not evict each other: routers would send each other the evicted
    /// ones again and again.
    fn make_room_for(&mut self, history: &CrashHistory) -> bool {
        if self.requests.len() < MAX_REQUESTS {
            return true;
        }
        let eviction_rank =
            |tracked: &TrackedRequest| (tracked.history.crash_count(), tracked.history.last_crash_at());
        let lowest_ranked = self.requests.iter().min_by_key(|(_, tracked)| eviction_rank(tracked));
        let Some((request, tracked)) = lowest_ranked else { return true };
        if tracked.history.crash_count() >= history.crash_count() {
            return false;
        }
        let request = *request;
        self.remove(request);
        true
    }

    fn remove(&mut self, request: RequestDigest) {
        let Some(tracked) = self.requests.remove(&request) else { return };
        self.digest ^= tracked.history.digest(request);
        if let Entry::Occupied(mut hint) = self.hint_counts.entry(request.hint()) {
            *hint.get_mut() -= 1;
            if *hint.get() == 0 {
                hint.remove();
            }
        }
    }

    /// Returns the histories that changed after `since` and that `recipient` has not reported itself:
    /// changes that this router observed and, if it `forwards`, those received from others.
    pub fn changes_for(
        &self,
        recipient: UpdateSource,
        since: Instant,
        forwards: bool,
    ) -> impl Iterator<Item = (RequestDigest, &CrashHistory)> {
        let is_sent = move |tracked: &TrackedRequest| {
            let Change { at, source } = tracked.last_change;
            at > since && source != recipient && (forwards || source == UpdateSource::Local)
        };
        self.histories().filter(move |(request, _)| self.requests.get(request).is_some_and(is_sent))
    }

    /// Returns the histories to send to a router whose digest differs, regardless of their age.
    pub fn synced_histories(&self) -> impl Iterator<Item = (RequestDigest, &CrashHistory)> {
        self.histories().filter(|(_, history)| history.crash_count() >= SYNC_THRESHOLD)
    }

    /// Returns the histories of all tracked requests.
    pub fn histories(&self) -> impl Iterator<Item = (RequestDigest, &CrashHistory)> {
        self.requests.iter().map(|(request, tracked)| (*request, &tracked.history))
    }

    /// Returns a digest that is equal for routers with the same [`Self::synced_histories`]; 0 if there are
    /// none.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the quarantined requests with the remaining period.
    pub fn quarantined(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (RequestDigest, &CrashHistory, Duration)> {
        self.histories().filter_map(move |(request, history)| match self.permission(request, now) {
            SendPermission::Quarantined(remaining) => Some((request, history, remaining)),
            _ => None,
        })
    }

    /// Sets the software that upstreams run now.
    pub fn set_running_software(&mut self, running_software: impl IntoIterator<Item = NameHash>) {
        self.running_software = Some(running_software.into_iter().collect());
    }

    /// Removes expired histories.
    pub fn prune(&mut self, now: Instant) {
        let expired = self.histories().filter(|(_, history)| history.is_expired(now));
        let expired: Vec<RequestDigest> = expired.map(|(request, _)| request).collect();
        for request in expired {
            self.remove(request);
        }
    }
}

/// Hashes one crash of a request. The result is the same on all routers of one build.
fn crash_digest(request: RequestDigest, upstream: NameHash) -> u64 {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&request.0.to_le_bytes());
    bytes[16..].copy_from_slice(&upstream.0.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
