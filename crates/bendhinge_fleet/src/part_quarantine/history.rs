//! The crashes, responses and sends in flight of the requests that share a prompt part.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, PartDigest};

use crate::crash_table::History;
use crate::in_flight::{InFlightSends, record_sends};
use crate::quarantine::{instance_at, is_history_expired};

/// The maximum number of crashes that are stored per part.
const MAX_RECORDED_CRASHES: usize = 12;
/// The crash count from which on a history is part of the digest and is sent to routers whose digest differs.
pub(super) const SYNC_THRESHOLD: usize = 2;
/// The number of complete responses without the part since the first crash, below which the crashes may have a cause that
/// affects all requests.
pub(super) const MIN_OTHER_RESPONSES: u32 = 3;
/// The difference up to which two reports of an instant are taken for the same. The transit time of a report adds to it.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(100);

/// A crash of an upstream process while it processed a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// The instance of the upstream that crashed.
    pub upstream: NameHash,
    /// The software that the upstream ran.
    pub software: NameHash,
    /// A hash of the request; of several with the part, the one that was sent last.
    pub request: NameHash,
    /// When that request was sent.
    pub sent_at: Instant,
    /// When the crash was detected.
    pub at: Instant,
}

/// The crashes, responses and sends in flight of the requests that share a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartHistory {
    /// The pool to which the requests are sent.
    pub pool: NameHash,
    /// The crashes, in the order in which they were received.
    pub crashes: Vec<PartCrash>,
    /// When an upstream last sent a complete response to a request with the part, which clears all earlier crashes.
    pub last_response: Option<Instant>,
    /// The number of complete responses of the pool since the first crash, as counted by the router that saw most.
    pub other_responses: u32,
    /// The sends in flight, by router.
    pub in_flight: Vec<InFlightSends>,
    /// The pool's number of complete responses at the first crash, as counted by this router.
    pub(super) responses_before: Option<u32>,
}

/// The evidence that a part crashes upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The number of crashes in a row, each under a request that was sent after the crash before. Crashes at the same
    /// time may have one cause.
    pub consecutive_crashes: usize,
    /// The number of different requests under which they happened.
    pub requests: usize,
}

impl PartHistory {
    /// Creates a history without crashes.
    #[must_use]
    pub fn new(pool: NameHash, other_responses: u32) -> Self {
        Self { pool, other_responses, ..Self::default() }
    }

    pub(super) fn crashes_since_response(&self) -> impl Iterator<Item = &PartCrash> {
        self.crashes
            .iter()
            .filter(|crash| self.last_response.is_none_or(|last_response| crash.at > last_response))
    }

    pub(super) fn contains_crash_of(&self, upstream: NameHash) -> bool {
        self.crashes_since_response().any(|crash| crash.upstream == upstream)
    }

    /// Returns the evidence from the crashes that `is_counted`.
    pub(super) fn evidence(&self, is_counted: impl Fn(&PartCrash) -> bool) -> Evidence {
        let mut crashes: Vec<_> = self.crashes_since_response().filter(|crash| is_counted(crash)).collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut requests: Vec<_> = crashes.iter().map(|crash| crash.request).collect();
        requests.sort_unstable();
        requests.dedup();
        let mut consecutive_crashes = 0;
        let mut last_crash_at = None;
        for crash in crashes {
            if last_crash_at.is_none_or(|last_crash_at| crash.sent_at >= last_crash_at) {
                consecutive_crashes += 1;
                last_crash_at = Some(crash.at);
            }
        }
        Evidence { consecutive_crashes, requests: requests.len() }
    }

    /// Adds a crash that this router detected; returns `true` if it is new evidence.
    pub(super) fn add_detected_crash(&mut self, crash: PartCrash) -> bool {
        let known = self.crashes.iter().map(|crash| (crash.upstream, crash.at));
        let upstream = instance_at(crash.upstream, crash.sent_at, &known);
        self.add_crash(PartCrash { upstream, ..crash })
    }

    /// Adds a crash, or the request of a known crash if it was sent later; returns `true` if it is new evidence.
    pub(super) fn add_crash(&mut self, crash: PartCrash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.upstream == crash.upstream) {
            let is_later = crash.sent_at > known.sent_at + CLOCK_TOLERANCE;
            let is_earlier = known.sent_at > crash.sent_at + CLOCK_TOLERANCE;
            // Routers that know both have to choose the same one.
            let is_preferred = is_later || !is_earlier && crash.request > known.request;
            if is_preferred {
                (known.sent_at, known.request) = (crash.sent_at, crash.request);
            }
            return is_preferred;
        }
        if self.crashes.len() == MAX_RECORDED_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Records a complete response; returns `true` if it clears any crash.
    pub(super) fn record_response(&mut self, at: Instant) -> bool {
        let had_crashes = self.crash_count() > 0;
        self.last_response = self.last_response.max(Some(at));
        self.other_responses = 0;
        self.responses_before = None;
        had_crashes
    }

    /// Records the number of complete responses to other requests; returns `true` if it is enough now and was not before.
    pub(super) fn record_other_responses(&mut self, count: u32) -> bool {
        let had_enough = self.other_responses >= MIN_OTHER_RESPONSES;
        self.other_responses = self.other_responses.max(count);
        !had_enough && self.other_responses >= MIN_OTHER_RESPONSES
    }

    /// Whether this history contains a response that clears crashes of the `other` one, or the first response at all.
    pub(super) fn outdates(&self, other: &Self) -> bool {
        let Some(last_response) = self.last_response else { return false };
        let is_first = other.last_response.is_none();
        other.crashes_since_response().any(|crash| is_first || crash.at <= last_response)
    }

    /// Merges the history that another router reports; returns `true` if it is new evidence.
    pub(super) fn merge(&mut self, received: &Self, local_router: NameHash) -> bool {
        let crash_count = self.crash_count();
        if let Some(last_response) = received.last_response
            && self.last_response.is_none_or(|known| last_response > known + CLOCK_TOLERANCE)
        {
            self.record_response(last_response);
        }
        let mut is_changed = self.crash_count() != crash_count;
        for crash in received.crashes_since_response() {
            is_changed |= self.add_crash(*crash);
        }
        // Otherwise the other router counted from a crash that was cleared.
        let has_same_response = match (self.last_response, received.last_response) {
            (Some(known), Some(received)) => known <= received + CLOCK_TOLERANCE,
            (known, _) => known.is_none(),
        };
        if has_same_response {
            is_changed |= self.record_other_responses(received.other_responses);
        }
        for reported in &received.in_flight {
            is_changed |= reported.router != local_router && record_sends(&mut self.in_flight, *reported);
        }
        is_changed
    }
}

impl History for PartHistory {
    type Key = PartDigest;

    const REPORTS_UNSHARED: bool = false;

    fn crash_count(&self) -> usize {
        self.crashes_since_response().count()
    }

    fn last_crash_at(&self) -> Option<Instant> {
        self.crashes_since_response().map(|crash| crash.at).max()
    }

    fn digest(&self, part: PartDigest) -> u64 {
        if self.crash_count() < SYNC_THRESHOLD {
            return 0;
        }
        let crash_digest = |crash: &PartCrash| {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&part.0.to_le_bytes());
            bytes[8..].copy_from_slice(&crash.upstream.0.to_le_bytes());
            xxhash_rust::xxh3::xxh3_64(&bytes)
        };
        let has_others = u64::from(self.other_responses >= MIN_OTHER_RESPONSES);
        self.crashes_since_response().fold(has_others, |digest, crash| digest ^ crash_digest(crash))
    }

    fn is_expired(&self, now: Instant) -> bool {
        is_history_expired(self.crash_count(), self.last_crash_at(), self.last_response, now)
    }
}
