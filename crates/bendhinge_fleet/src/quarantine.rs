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
use crate::crash_table::{CrashTable, History, Update};
use crate::in_flight::{InFlightSends, change_sends, count_in_flight, record_sends};

/// The number of upstream crashes after which a request is quarantined. A single crash says little, since all requests
/// in progress on the upstream are lost with it.
pub const MAX_CRASHES: usize = 3;
/// The quarantine period after [`MAX_CRASHES`] crashes. Each further crash doubles it.
const BASE_QUARANTINE: Duration = Duration::from_mins(10);
/// The upper bound of the quarantine period.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);
/// How long a crash count below the quarantine limit is kept after the last crash.
const SUSPICION_TTL: Duration = Duration::from_mins(10);
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

    fn contains_crash_of(&self, upstream: NameHash) -> bool {
        self.crashes_since_response().any(|crash| crash.upstream == upstream)
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

    /// Returns the upstream instance to which a request was sent at `sent`.
    fn instance_at(&self, upstream: NameHash, sent: Instant) -> NameHash {
        instance_at(upstream, sent, &self.crashes.iter().map(|crash| (crash.upstream, crash.at)))
    }

    /// Returns the remaining quarantine period, if any.
    fn quarantine_remaining(&self, crash_count: usize, now: Instant) -> Option<Duration> {
        quarantine_remaining(crash_count, self.last_crash_at()?, now)
    }
}

impl History for CrashHistory {
    type Key = RequestDigest;

    const REPORTS_UNSHARED: bool = true;

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

    fn is_expired(&self, now: Instant) -> bool {
        is_history_expired(self.crash_count(), self.last_crash_at(), self.last_response, now)
    }
}

/// Returns the instance of `upstream` to which a request was sent at `sent`. An instance that crashed before `sent` has
/// been replaced under the same name, although the upstream list may not show that yet.
pub(crate) fn instance_at(
    upstream: NameHash,
    sent: Instant,
    crashes: &(impl Iterator<Item = (NameHash, Instant)> + Clone),
) -> NameHash {
    let mut instance = upstream;
    while crashes.clone().any(|(crashed, at)| crashed == instance && at < sent) {
        instance = NameHash(xxhash_rust::xxh3::xxh3_64(&instance.0.to_le_bytes()));
    }
    instance
}

/// Returns what remains of the quarantine period after `crash_count` crashes, if any.
pub(crate) fn quarantine_remaining(
    crash_count: usize,
    last_crash_at: Instant,
    now: Instant,
) -> Option<Duration> {
    let repeats = crash_count.checked_sub(MAX_CRASHES)?;
    let doublings = u32::try_from(repeats).unwrap_or(u32::MAX).min(16);
    let period = BASE_QUARANTINE.saturating_mul(1 << doublings).min(MAX_QUARANTINE);
    let elapsed = now.since(last_crash_at);
    period.checked_sub(elapsed).filter(|remaining| !remaining.is_zero())
}

/// Whether a history can be removed. It outlives the quarantine so that a further crash doubles the period.
pub(crate) fn is_history_expired(
    crash_count: usize,
    last_crash_at: Option<Instant>,
    last_response: Option<Instant>,
    now: Instant,
) -> bool {
    let Some(last) = last_crash_at else {
        // Kept for a while so that delayed reports of cleared crashes are recognised.
        return last_response.is_none_or(|last_response| now.since(last_response) > SUSPICION_TTL);
    };
    let is_old = now.since(last) > SUSPICION_TTL;
    is_old && (crash_count < MAX_CRASHES || now.since(last) > 2 * MAX_QUARANTINE)
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

/// One router's view of the requests under which upstreams crashed.
#[derive(Debug)]
pub struct Quarantine {
    /// The address hash of this router.
    local_router: NameHash,
    requests: CrashTable<CrashHistory>,
    /// The number of tracked requests per hint.
    hint_counts: FxHashMap<RequestHint, u32>,
    /// The software that upstreams run, if known. Crashes of other software do not count.
    running_software: Option<FxHashSet<NameHash>>,
    /// The upstreams whose crashes are attributed to something else than requests.
    attributed_crashes: FxHashSet<NameHash>,
}

impl Quarantine {
    /// Creates an empty quarantine for the router with the given address hash.
    #[must_use]
    pub fn new(local_router: NameHash) -> Self {
        Self {
            local_router,
            requests: CrashTable::new(MAX_REQUESTS),
            hint_counts: FxHashMap::default(),
            running_software: None,
            attributed_crashes: FxHashSet::default(),
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
        let Some(history) = self.requests.get(request) else { return SendPermission::Allowed };
        let counted_crashes = self.counted_crashes(history);
        if counted_crashes < TRACKING_THRESHOLD {
            return SendPermission::Allowed;
        }
        if let Some(remaining) = history.quarantine_remaining(counted_crashes, now) {
            return SendPermission::Quarantined(remaining);
        }
        // After a quarantine, one send at a time is allowed.
        let crashes = counted_crashes.min(MAX_CRASHES - 1);
        if crashes + count_in_flight(&history.in_flight, now) < MAX_CRASHES {
            SendPermission::Tracked
        } else {
            SendPermission::Deferred
        }
    }

    /// Returns the number of crashes that count against a request.
    #[must_use]
    pub fn crash_count(&self, request: RequestDigest) -> usize {
        self.requests.get(request).map_or(0, |history| self.counted_crashes(history))
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
            is_software_running
                && !self.attributed_crashes.contains(&crash.upstream)
                && !self.is_explained_by_quarantine(crash.upstream, crash_count)
        };
        history.crashes_since_response().filter(is_counted).count()
    }

    /// Whether the crash of an upstream is attributed to a quarantined request with more than `crash_count`
    /// crashes.
    fn is_explained_by_quarantine(&self, upstream: NameHash, crash_count: usize) -> bool {
        self.requests.iter().any(|(_, history)| {
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
        self.requests.update(request, UpdateSource::Local, now, |history| {
            change_sends(&mut history.in_flight, router, now, apply)
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
        self.requests.update(request, UpdateSource::Local, now, |history| {
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
        if received.is_expired(now) && self.requests.get(request).is_none() {
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
                is_changed |=
                    reported.router != local_router && record_sends(&mut history.in_flight, *reported);
            }
            is_changed || history.crash_count() != before
        })
    }

    /// Updates the history of a request, which is tracked from then on.
    fn update_or_insert(
        &mut self,
        request: RequestDigest,
        source: UpdateSource,
        now: Instant,
        apply: impl FnOnce(&mut CrashHistory) -> bool,
    ) -> bool {
        let update = self.requests.update_or_insert(request, source, now, apply);
        if let Update::Inserted { evicted } = &update {
            *self.hint_counts.entry(request.hint()).or_default() += 1;
            if let Some(evicted) = evicted {
                self.remove_hint(*evicted);
            }
        }
        update.is_change()
    }

    fn remove_hint(&mut self, request: RequestDigest) {
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
        self.requests.changes_for(recipient, since, forwards)
    }

    /// Returns the histories to send to a router whose digest differs, regardless of their age.
    pub fn synced_histories(&self) -> impl Iterator<Item = (RequestDigest, &CrashHistory)> {
        self.histories().filter(|(_, history)| history.crash_count() >= SYNC_THRESHOLD)
    }

    /// Returns the histories of all tracked requests.
    pub fn histories(&self) -> impl Iterator<Item = (RequestDigest, &CrashHistory)> {
        self.requests.iter()
    }

    /// Returns a digest that is equal for routers with the same [`Self::synced_histories`]; 0 if there are
    /// none.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.requests.digest()
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

    /// Sets the upstreams whose crashes are attributed to something else than requests, such as a part of their prompts.
    pub fn set_attributed_crashes(&mut self, upstreams: impl IntoIterator<Item = NameHash>) {
        self.attributed_crashes = upstreams.into_iter().collect();
    }

    /// Removes expired histories.
    pub fn prune(&mut self, now: Instant) {
        for request in self.requests.prune(now) {
            self.remove_hint(request);
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
