//! Quarantine of prompt parts that crash the upstreams that respond to requests with them.
//!
//! Requests that share such a part may be different in everything else, so that no request crashes twice. A part is to blame if
//! it is in a request of several crashes in a row and in no complete response since the first of them. A part that was in a
//! response before is blamed only while the pool responds to requests without it, since otherwise something else may crash
//! the upstreams. Parts that requests without the fault share are cleared by the responses to these.
//!
//! `docs/design/PART-QUARANTINE.md` describes the design and the alternatives.

mod answered;
mod history;

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, PartDigest};
use rustc_hash::{FxHashMap, FxHashSet};

use self::answered::AnsweredParts;
pub use self::history::{Evidence, PartCrash, PartHistory};
use self::history::{MIN_OTHER_RESPONSES, SYNC_THRESHOLD};
use crate::UpdateSource;
use crate::crash_table::{CrashTable, History};
use crate::in_flight::{change_sends, count_in_flight};
use crate::quarantine::{MAX_CRASHES, SendPermission, quarantine_remaining};

/// The number of different requests that have to be among the crashes. The crashes of a single one are its own.
const MIN_REQUESTS: usize = 2;
/// The crash count from which on sends are reported to other routers and limited.
const TRACKING_THRESHOLD: usize = 2;
/// The number of crashes beyond [`MAX_CRASHES`] that are risked to distinguish parts with the same crashes.
const MAX_TEST_CRASHES: usize = 2;
/// The number of complete responses of a pool from which on a part that is in none of them is blamed without further ones.
const MIN_KNOWN_RESPONSES: u32 = 20;
/// The maximum number of parts in the quarantine. An entry takes some 250 bytes.
const MAX_PARTS: usize = 1_024;

/// The effect of a complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseEffect {
    /// The parts whose crashes do not count any more.
    pub cleared: Vec<PartDigest>,
    /// Whether there are enough responses to other requests now to blame a suspect part.
    pub is_enough: bool,
}

/// One router's view of the prompt parts under which upstreams crashed.
#[derive(Debug)]
pub struct PartQuarantine {
    /// The address hash of this router.
    local_router: NameHash,
    parts: CrashTable<PartHistory>,
    /// The parts of complete responses.
    answered: AnsweredParts,
    /// The number of complete responses of each pool.
    responses: FxHashMap<NameHash, u32>,
    /// The software that upstreams run, if known. Crashes of other software do not count.
    running_software: Option<FxHashSet<NameHash>>,
}

impl PartQuarantine {
    /// Creates an empty quarantine for the router with the given address hash.
    #[must_use]
    pub fn new(local_router: NameHash) -> Self {
        Self {
            local_router,
            parts: CrashTable::new(MAX_PARTS),
            answered: AnsweredParts::default(),
            responses: FxHashMap::default(),
            running_software: None,
        }
    }

    /// Whether no part is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether a part is tracked.
    #[must_use]
    pub fn contains(&self, part: PartDigest) -> bool {
        self.parts.get(part).is_some()
    }

    /// Returns whether a request with these parts may be sent now, and the part that decides it.
    #[must_use]
    pub fn permission(&self, parts: &[PartDigest], now: Instant) -> (SendPermission, Option<PartDigest>) {
        let mut strictest = (SendPermission::Allowed, None);
        for part in parts {
            let permission = self.permission_of_part(*part, parts, now);
            if rank(permission) > rank(strictest.0) {
                strictest = (permission, Some(*part));
            }
        }
        strictest
    }

    fn permission_of_part(&self, part: PartDigest, parts: &[PartDigest], now: Instant) -> SendPermission {
        let Some(history) = self.parts.get(part) else { return SendPermission::Allowed };
        let crashes = self.evidence(history).consecutive_crashes;
        if crashes < TRACKING_THRESHOLD || self.other_responses(history) < MIN_OTHER_RESPONSES {
            return SendPermission::Allowed;
        }
        let in_flight = count_in_flight(&history.in_flight, now);
        let max_in_flight = match self.quarantine_period(history, now) {
            Some(_) if self.is_test(part, history, parts) => 1,
            Some(remaining) => return SendPermission::Quarantined(remaining),
            // After a quarantine, one send at a time is allowed.
            None => MAX_CRASHES - crashes.min(MAX_CRASHES - 1),
        };
        if in_flight < max_in_flight { SendPermission::Tracked } else { SendPermission::Deferred }
    }

    /// Returns the remaining quarantine period of a part that is to blame, if any.
    fn quarantine_period(&self, history: &PartHistory, now: Instant) -> Option<Duration> {
        let evidence = self.evidence(history);
        if evidence.requests < MIN_REQUESTS || self.other_responses(history) < MIN_OTHER_RESPONSES {
            return None;
        }
        quarantine_remaining(evidence.consecutive_crashes, history.last_crash_at()?, now)
    }

    /// Whether a request with `parts` lacks one of the blamed parts that have the same crashes as `part`, so that its outcome
    /// distinguishes them.
    fn is_test(&self, part: PartDigest, history: &PartHistory, parts: &[PartDigest]) -> bool {
        if self.evidence(history).consecutive_crashes >= MAX_CRASHES + MAX_TEST_CRASHES {
            return false;
        }
        let has_same_crashes = |other: &PartHistory| {
            other.pool == history.pool
                && other.crash_count() == history.crash_count()
                && history.crashes_since_response().all(|crash| other.contains_crash_of(crash.upstream))
                && self.is_to_blame(other)
        };
        let mut others = self.parts.iter().filter(|(other, _)| *other != part && !parts.contains(other));
        others.any(|(_, other)| has_same_crashes(other))
    }

    /// Returns the evidence against a part, without crashes of software that no upstream runs any more and those that are
    /// attributed to another part.
    fn evidence(&self, history: &PartHistory) -> Evidence {
        let crash_count = history.crash_count();
        if crash_count < TRACKING_THRESHOLD {
            // Skips the scan of other parts: the result cannot matter, and most parts have one crash.
            return Evidence { consecutive_crashes: crash_count, requests: crash_count };
        }
        history.evidence(|crash| {
            let is_software_running = self
                .running_software
                .as_ref()
                .is_none_or(|running_software| running_software.contains(&crash.software));
            is_software_running && !self.is_explained(crash.upstream, history.pool, crash_count)
        })
    }

    /// Whether the crash of an upstream is attributed to a quarantined part with more than `crash_count` crashes. A part that
    /// was in a response before explains nothing: after a loss of many upstreams, popular parts have most crashes.
    fn is_explained(&self, upstream: NameHash, pool: NameHash, crash_count: usize) -> bool {
        self.parts.iter().any(|(_, other)| {
            other.pool == pool
                && other.last_response.is_none()
                && other.crash_count() > crash_count
                && self.is_to_blame(other)
                && other.contains_crash_of(upstream)
        })
    }

    /// Whether the crashes of a part are enough to blame it, by themselves.
    fn is_to_blame(&self, history: &PartHistory) -> bool {
        if history.crash_count() < MAX_CRASHES {
            return false;
        }
        let evidence = history.evidence(|_| true);
        evidence.consecutive_crashes >= MAX_CRASHES
            && evidence.requests >= MIN_REQUESTS
            && self.other_responses(history) >= MIN_OTHER_RESPONSES
    }

    /// Returns the number of complete responses of the pool since the first crash under the part, at least
    /// [`MIN_OTHER_RESPONSES`] if there were many before and none of them to a request with the part.
    fn other_responses(&self, history: &PartHistory) -> u32 {
        let total = self.responses.get(&history.pool).copied().unwrap_or_default();
        let own = history.responses_before.map_or(0, |before| total.saturating_sub(before));
        let is_distinguished = history.last_response.is_none() && total >= MIN_KNOWN_RESPONSES;
        let before = if is_distinguished { MIN_OTHER_RESPONSES } else { 0 };
        history.other_responses.max(own).max(before)
    }

    /// Returns the evidence that counts against a part.
    #[must_use]
    pub fn evidence_against(&self, part: PartDigest) -> Evidence {
        self.parts.get(part).map_or(Evidence::default(), |history| self.evidence(history))
    }

    /// Whether a part is quarantined, regardless of the other parts of a request.
    #[must_use]
    pub fn is_blamed(&self, part: PartDigest, now: Instant) -> bool {
        self.parts.get(part).is_some_and(|history| self.quarantine_period(history, now).is_some())
    }

    /// Records that this router starts to send a request with tracked parts.
    pub fn record_send_start(&mut self, parts: &[PartDigest], now: Instant) {
        self.update_own_sends(parts, now, |count| count.saturating_add(1));
    }

    /// Records that a send of a request with tracked parts has ended, with any result.
    pub fn record_send_end(&mut self, parts: &[PartDigest], now: Instant) {
        self.update_own_sends(parts, now, |count| count.saturating_sub(1));
    }

    fn update_own_sends(&mut self, parts: &[PartDigest], now: Instant, apply: impl Fn(u8) -> u8) {
        let router = self.local_router;
        for part in parts {
            self.parts.update(*part, UpdateSource::Local, now, |history| {
                change_sends(&mut history.in_flight, router, now, &apply)
            });
        }
    }

    /// Records that an upstream of `pool` crashed while it processed a request of this router with `part`. Returns `false`
    /// if that is no new evidence or the quarantine is full.
    pub fn record_crash(&mut self, part: PartDigest, pool: NameHash, crash: PartCrash, now: Instant) -> bool {
        let responses = self.responses.get(&pool).copied().unwrap_or_default();
        let last_response = self.answered.last_response(part);
        let update = self.parts.update_or_insert(part, UpdateSource::Local, now, |history| {
            history.pool = pool;
            history.last_response = history.last_response.max(last_response);
            let is_new = history.add_detected_crash(crash);
            history.responses_before.get_or_insert(responses);
            is_new
        });
        if let Some(history) = self.parts.get(part) {
            let count = self.other_responses(history);
            self.parts
                .update(part, UpdateSource::Local, now, |history| history.record_other_responses(count));
        }
        update.is_change()
    }

    /// Records a complete response of `pool` to a request with `parts`.
    pub fn record_response(&mut self, parts: &[PartDigest], pool: NameHash, now: Instant) -> ResponseEffect {
        self.answered.record(parts, now);
        let responses = self.responses.entry(pool).or_default();
        *responses = responses.saturating_add(1);
        if self.is_empty() {
            return ResponseEffect::default();
        }
        let clears = |part: &&PartDigest| {
            self.parts.update(**part, UpdateSource::Local, now, |history| history.record_response(now))
        };
        let cleared = parts.iter().filter(clears).copied().collect();
        ResponseEffect { cleared, is_enough: self.record_other_responses(pool, now) }
    }

    /// Records for the suspect parts of `pool` how many responses to other requests this router has counted. Returns `true`
    /// if that is enough for a part now, which other routers with fewer responses have to know.
    fn record_other_responses(&mut self, pool: NameHash, now: Instant) -> bool {
        let is_suspect = |history: &PartHistory| {
            history.pool == pool
                && history.other_responses < MIN_OTHER_RESPONSES
                && history.crash_count() >= TRACKING_THRESHOLD
        };
        let suspects = self.parts.iter().filter(|(_, history)| is_suspect(history));
        let counts: Vec<_> = suspects.map(|(part, history)| (part, self.other_responses(history))).collect();
        let mut is_enough = false;
        for (part, count) in counts {
            is_enough |= self
                .parts
                .update(part, UpdateSource::Local, now, |history| history.record_other_responses(count));
        }
        is_enough
    }

    /// Clears the crashes under a part; returns `true` if there were any.
    pub fn release(&mut self, part: PartDigest, now: Instant) -> bool {
        self.parts.update(part, UpdateSource::Local, now, |history| history.record_response(now))
    }

    /// Merges the history that another router reports; returns `true` if it is new evidence, or if that router lacks a
    /// response that is known here.
    pub fn merge(
        &mut self,
        part: PartDigest,
        received: &PartHistory,
        sender: UpdateSource,
        now: Instant,
    ) -> bool {
        if received.is_expired(now) && self.parts.get(part).is_none() {
            return false;
        }
        let local_router = self.local_router;
        let responses = self.responses.get(&received.pool).copied().unwrap_or_default();
        let last_response = self.answered.last_response(part);
        let update = self.parts.update_or_insert(part, sender, now, |history| {
            history.pool = received.pool;
            history.last_response = history.last_response.max(last_response);
            let is_changed = history.merge(received, local_router);
            if history.crash_count() > 0 {
                history.responses_before.get_or_insert(responses);
            }
            is_changed
        });
        let is_outdated = self.parts.get(part).is_some_and(|history| history.outdates(received));
        if is_outdated {
            self.parts.update(part, UpdateSource::Local, now, |_| true);
        }
        update.is_change() || is_outdated
    }

    /// Returns the histories that changed after `since` and that `recipient` has not reported itself: changes that this
    /// router observed and, if it `forwards`, those received from others.
    pub fn changes_for(
        &self,
        recipient: UpdateSource,
        since: Instant,
        forwards: bool,
    ) -> impl Iterator<Item = (PartDigest, PartHistory)> {
        self.parts.changes_for(recipient, since, forwards).map(|(part, history)| (part, self.report(history)))
    }

    /// Returns the histories to send to a router whose digest differs, regardless of their age.
    pub fn synced_histories(&self) -> impl Iterator<Item = (PartDigest, PartHistory)> {
        let synced = self.parts.iter().filter(|(_, history)| history.crash_count() >= SYNC_THRESHOLD);
        synced.map(|(part, history)| (part, self.report(history)))
    }

    /// Returns a history with the responses that this router counted.
    fn report(&self, history: &PartHistory) -> PartHistory {
        PartHistory { other_responses: self.other_responses(history), ..history.clone() }
    }

    /// Returns a digest that is equal for routers with the same [`Self::synced_histories`]; 0 if there are none.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.parts.digest()
    }

    /// Returns the quarantined parts with the remaining period.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (PartDigest, &PartHistory, Duration)> {
        self.parts.iter().filter_map(move |(part, history)| {
            let remaining = self.quarantine_period(history, now)?;
            Some((part, history, remaining))
        })
    }

    /// Returns the upstreams whose crashes are attributed to a part.
    #[must_use]
    pub fn attributed_crashes(&self) -> FxHashSet<NameHash> {
        let to_blame = self.parts.iter().filter(|(_, history)| self.is_to_blame(history));
        let crashes = to_blame.flat_map(|(_, history)| history.crashes_since_response());
        crashes.map(|crash| crash.upstream).collect()
    }

    /// Sets the software that upstreams run now.
    pub fn set_running_software(&mut self, running_software: impl IntoIterator<Item = NameHash>) {
        self.running_software = Some(running_software.into_iter().collect());
    }

    /// Removes expired histories.
    pub fn prune(&mut self, now: Instant) {
        self.parts.prune(now);
    }
}

/// Orders permissions by strictness.
const fn rank(permission: SendPermission) -> (u8, Duration) {
    match permission {
        SendPermission::Allowed => (0, Duration::ZERO),
        SendPermission::Tracked => (1, Duration::ZERO),
        SendPermission::Deferred => (2, Duration::ZERO),
        SendPermission::Quarantined(remaining) => (3, remaining),
    }
}
