//! Detection of failed upstreams from the failures that all routers observe.
//!
//! In a large fleet each router sends few requests to one upstream, so routers share their failures instead
//! of each detecting them alone. A single router's report may be caused by its own network links. An
//! upstream is therefore suspected only if a quorum of routers had a failure and none is known to have
//! received a response since.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{UpdateSource, UpstreamFailure};

/// How long a failure counts; several gossip rounds, so that it reaches all routers.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// The number of routers that must report a failure before an upstream is suspected.
const SUSPECT_QUORUM: usize = 2;
/// How long a change is announced: two gossip rounds, so that a failed exchange loses nothing. Announcing
/// unchanged evidence too would make messages large when many upstreams fail some requests: with half of 250
/// upstreams suspected, the first of 295 routers sent 0.5 MB per second.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(900);
/// A failure that is later than the announced one by more than this is announced again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// A failure that a router had at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureReport {
    /// The hash of the router's address.
    pub router: NameHash,
    /// When the upstream certainly did not respond. For a timeout this is when the request was sent, so
    /// that any later response outweighs it, including one delayed by a queue.
    pub at: Instant,
}

/// The recent failures and the last response of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailureEvidence {
    /// When any router last received a response.
    pub last_response: Option<Instant>,
    /// The failures, one per router.
    pub reports: Vec<FailureReport>,
}

impl FailureEvidence {
    /// Whether a quorum of routers had a failure since the last response.
    fn is_suspect(&self, now: Instant) -> bool {
        self.quorum_progress(now) == SUSPECT_QUORUM
    }

    /// Returns the number of routers with a failure since the last response, capped at the quorum.
    fn quorum_progress(&self, now: Instant) -> usize {
        let is_counted = |report: &&FailureReport| {
            now.since(report.at) < FAILURE_TTL
                && self.last_response.is_none_or(|last_response| report.at > last_response)
        };
        self.reports.iter().filter(is_counted).count().min(SUSPECT_QUORUM)
    }

    /// Whether this evidence has to be announced, given the evidence announced `before`: the quorum
    /// progress differs, or the failures continue.
    fn differs_from(&self, before: &Self, now: Instant) -> bool {
        let latest = |evidence: &Self| evidence.reports.iter().map(|report| report.at).max();
        let is_renewed = latest(self)
            .zip(latest(before))
            .is_some_and(|(now, before)| now.since(before) > RENEWAL_INTERVAL);
        self.quorum_progress(now) != before.quorum_progress(now) || is_renewed
    }

    fn add_report(&mut self, received: FailureReport) {
        match self.reports.iter_mut().find(|existing| existing.router == received.router) {
            Some(existing) => existing.at = existing.at.max(received.at),
            None => self.reports.push(received),
        }
        // Reports beyond the quorum are redundant: a response that invalidates the latest ones also
        // invalidates the older ones.
        if self.reports.len() > SUSPECT_QUORUM {
            self.reports.sort_unstable_by_key(|report| std::cmp::Reverse(report.at));
            self.reports.truncate(SUSPECT_QUORUM);
        }
    }
}

/// Evidence together with the state that was last announced.
#[derive(Debug)]
struct TrackedUpstream {
    evidence: FailureEvidence,
    /// The evidence as of the last change.
    announced: FailureEvidence,
    last_change: Option<Change>,
}

/// The time and source of the last change.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    /// The router that reported the change, unless it lacks part of the evidence itself.
    source: UpdateSource,
}

impl TrackedUpstream {
    /// Records a change if the evidence differs from the announced one.
    fn note_change(&mut self, source: UpdateSource, now: Instant) {
        if self.evidence.differs_from(&self.announced, now) {
            self.announced.clone_from(&self.evidence);
            self.last_change = Some(Change { at: now, source });
        }
    }

    fn is_announced_to(&self, recipient: UpdateSource, now: Instant) -> bool {
        self.last_change
            .is_some_and(|change| change.source != recipient && now.since(change.at) < ANNOUNCE_PERIOD)
    }
}

/// How merged evidence changed the suspicion of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// The suspicion did not change.
    Unchanged,
    /// The upstream is now suspected.
    Suspected,
    /// Some router received a response: the upstream is no longer suspected.
    Cleared,
}

/// One router's view of the failures that the fleet observed.
#[derive(Debug)]
pub struct FailureDetector {
    /// The address hash of this router.
    local_router: NameHash,
    upstreams: FxHashMap<NameHash, TrackedUpstream>,
    /// The last responses to this router, including those of upstreams without failures. They outweigh
    /// older reports of other routers.
    own_responses: FxHashMap<NameHash, Instant>,
    /// Failures of this router that may be caused by its own network links.
    unconfirmed: Vec<UnconfirmedFailure>,
}

/// A failure that is not reported before a response from another upstream shows that the links of this router work.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedFailure {
    upstream: NameHash,
    at: Instant,
}

impl FailureDetector {
    /// Creates an empty detector for the router with the given address hash.
    #[must_use]
    pub fn new(local_router: NameHash) -> Self {
        Self {
            local_router,
            upstreams: FxHashMap::default(),
            own_responses: FxHashMap::default(),
            unconfirmed: Vec::new(),
        }
    }

    /// Records a response to this router.
    pub fn record_response(&mut self, upstream: NameHash, now: Instant) {
        self.own_responses.insert(upstream, now);
        if let Some(tracked) = self.upstreams.get_mut(&upstream) {
            tracked.evidence.last_response = tracked.evidence.last_response.max(Some(now));
            tracked.note_change(UpdateSource::Local, now);
        }
    }

    /// Returns when any router last received a response, as far as this one knows.
    #[must_use]
    pub fn last_response(&self, upstream: NameHash) -> Option<Instant> {
        let reported = self.upstreams.get(&upstream).and_then(|tracked| tracked.evidence.last_response);
        reported.max(self.own_responses.get(&upstream).copied())
    }

    /// Records a failure of a request that this router sent at `sent`.
    pub fn record_failure(
        &mut self,
        upstream: NameHash,
        failure: UpstreamFailure,
        sent: Instant,
        now: Instant,
    ) {
        if let Some(at) = self.silent_since(upstream, failure, sent, now) {
            self.add_own_report(upstream, at, now);
        }
    }

    /// Records a failure like [`FailureDetector::record_failure`], but reports it only after
    /// [`FailureDetector::confirm_failures`].
    pub fn record_unconfirmed_failure(
        &mut self,
        upstream: NameHash,
        failure: UpstreamFailure,
        sent: Instant,
        now: Instant,
    ) {
        if let Some(at) = self.silent_since(upstream, failure, sent, now) {
            self.unconfirmed.retain(|unconfirmed| unconfirmed.upstream != upstream);
            self.unconfirmed.push(UnconfirmedFailure { upstream, at });
        }
    }

    /// Reports the unconfirmed failures of the upstreams for which `are_links_shown_to_work` returns `true`.
    pub fn confirm_failures(&mut self, are_links_shown_to_work: impl Fn(NameHash) -> bool, now: Instant) {
        let confirmed: Vec<_> =
            self.unconfirmed.extract_if(.., |failure| are_links_shown_to_work(failure.upstream)).collect();
        for failure in confirmed {
            self.add_own_report(failure.upstream, failure.at, now);
        }
    }

    /// Drops the unconfirmed failures of the upstreams for which `is_unreached` returns `true`.
    pub fn drop_unconfirmed(&mut self, is_unreached: impl Fn(NameHash) -> bool) {
        self.unconfirmed.retain(|failure| !is_unreached(failure.upstream));
    }

    /// Whether there are failures that wait for [`FailureDetector::confirm_failures`].
    #[must_use]
    pub const fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Returns since when the upstream certainly did not respond, if the failure says so.
    fn silent_since(
        &mut self,
        upstream: NameHash,
        failure: UpstreamFailure,
        sent: Instant,
        now: Instant,
    ) -> Option<Instant> {
        match failure {
            UpstreamFailure::TimedOut | UpstreamFailure::ConnectTimedOut => Some(sent),
            UpstreamFailure::ConnectFailed | UpstreamFailure::ConnectionLost => Some(now),
            // An error or rejection is a response.
            UpstreamFailure::Rejected | UpstreamFailure::ErrorResponse => {
                self.record_response(upstream, now);
                None
            }
            // The response of another instance says nothing about this one.
            UpstreamFailure::WrongInstance => None,
        }
    }

    fn add_own_report(&mut self, upstream: NameHash, at: Instant, now: Instant) {
        let report = FailureReport { router: self.local_router, at };
        let tracked = self.tracked(upstream);
        tracked.evidence.add_report(report);
        tracked.note_change(UpdateSource::Local, now);
    }

    fn tracked(&mut self, upstream: NameHash) -> &mut TrackedUpstream {
        let last_response = self.own_responses.get(&upstream).copied();
        let initial = || FailureEvidence { last_response, reports: Vec::new() };
        self.upstreams.entry(upstream).or_insert_with(|| TrackedUpstream {
            evidence: initial(),
            announced: initial(),
            last_change: None,
        })
    }

    /// Merges the evidence that another router reports about an upstream.
    pub fn merge(
        &mut self,
        upstream: NameHash,
        received: &FailureEvidence,
        sender: UpdateSource,
        now: Instant,
    ) -> SuspectChange {
        let tracked = self.tracked(upstream);
        let evidence = &mut tracked.evidence;
        let was_suspect = evidence.is_suspect(now);
        evidence.last_response = evidence.last_response.max(received.last_response);
        received.reports.iter().for_each(|report| evidence.add_report(*report));
        let is_suspect = evidence.is_suspect(now);
        let is_sender_outdated = evidence.quorum_progress(now) != received.quorum_progress(now);
        tracked.note_change(sender, now);
        if is_sender_outdated {
            tracked.last_change = Some(Change { at: now, source: UpdateSource::Local });
        }
        match (was_suspect, is_suspect) {
            (false, true) => SuspectChange::Suspected,
            (true, false) => SuspectChange::Cleared,
            _ => SuspectChange::Unchanged,
        }
    }

    /// Returns the recently changed evidence that has to be sent to `recipient`.
    pub fn changes_for(
        &self,
        recipient: UpdateSource,
        now: Instant,
    ) -> impl Iterator<Item = (NameHash, &FailureEvidence)> {
        let announced =
            self.upstreams.iter().filter(move |(_, tracked)| tracked.is_announced_to(recipient, now));
        announced.map(|(upstream, tracked)| (*upstream, &tracked.evidence))
    }

    /// Removes expired failures and upstreams that are not listed.
    pub fn prune(&mut self, is_listed: impl Fn(NameHash) -> bool, now: Instant) {
        self.own_responses.retain(|upstream, _| is_listed(*upstream));
        self.unconfirmed.retain(|failure| now.since(failure.at) < FAILURE_TTL && is_listed(failure.upstream));
        self.upstreams.retain(|upstream, TrackedUpstream { evidence, .. }| {
            evidence.reports.retain(|report| now.since(report.at) < FAILURE_TTL);
            is_listed(*upstream) && !evidence.reports.is_empty()
        });
    }
}
