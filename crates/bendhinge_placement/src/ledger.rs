//! Exact permit counts of upstreams, kept by the router that owns them.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{ChatKey, Instant, PermitId, RouterInstance, UpstreamName};

use rustc_hash::FxHashMap;

use crate::DisplacedChats;

/// A load report from an upstream. It lags behind the actual load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running or queued on the upstream.
    pub in_progress: u32,
    /// Time of the measurement on the owner's clock.
    pub measured_at: Instant,
}

/// Limits of a [`PermitLedger`].
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Time after the last heartbeat of a holder at which its permits expire.
    pub lease: Duration,
    /// Maximum number of displaced chats whose location is stored.
    pub max_displaced_chats: usize,
}

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// The upstream to send to.
    pub upstream: UpstreamName,
    /// The router that requests the permit.
    pub holder: RouterInstance,
    /// The chat, if the upstream is its preferred one. The owner then redirects the chat if it
    /// was displaced.
    pub first_choice_of: Option<ChatKey>,
    /// Maximum load of the upstream including this request; see [`crate::LoadBound::limit`].
    pub limit: u32,
}

/// A permit to send one request to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// The permit's ID, for [`PermitLedger::release`].
    pub permit: PermitId,
    /// The upstream's load including this request.
    pub in_progress: u32,
}

/// The reason for denying a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitDenied {
    /// The upstream has reached its load limit.
    AtBound {
        /// The upstream's load.
        in_progress: u32,
    },
    /// The chat was displaced to this upstream, which holds its context.
    Redirect(UpstreamName),
}

#[derive(Debug)]
struct OutstandingPermit {
    upstream: UpstreamName,
    holder: RouterInstance,
}

/// Time for which the history of permit counts is kept, to be compared with delayed reports.
const HISTORY_RETENTION: Duration = Duration::from_secs(5);
/// Maximum difference between a report's time and this router's clock.
const CLOCK_SKEW_TOLERANCE: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct UpstreamCount {
    permits: u32,
    /// Past permit counts, each with the time at which it became valid.
    history: VecDeque<(Instant, u32)>,
    /// Requests in the last report in excess of the permits at that time: sent without a
    /// permit, or with a permit from a previous owner.
    unpermitted: u32,
    reported_at: Option<Instant>,
}

impl UpstreamCount {
    fn set_permits(&mut self, permits: u32, now: Instant) {
        self.permits = permits;
        self.history.push_back((now, permits));
        while self.history.len() > 1 && now.since(self.history[1].0) > HISTORY_RETENTION {
            self.history.pop_front();
        }
    }

    /// Returns the maximum number of outstanding permits around time `at`.
    fn max_permits_around(&self, at: Instant) -> u32 {
        let (from, until) = (at - CLOCK_SKEW_TOLERANCE, at + CLOCK_SKEW_TOLERANCE);
        let mut most = 0;
        for (index, (since, permits)) in self.history.iter().enumerate() {
            let ended = self.history.get(index + 1).map(|next| next.0);
            if *since <= until && ended.is_none_or(|ended| ended > from) {
                most = most.max(*permits);
            }
        }
        most
    }
}

/// Permits and loads of the upstreams that one router owns.
#[derive(Debug)]
pub struct PermitLedger {
    limits: LedgerLimits,
    counts: FxHashMap<UpstreamName, UpstreamCount>,
    outstanding: FxHashMap<PermitId, OutstandingPermit>,
    last_heartbeats: FxHashMap<RouterInstance, Instant>,
    displaced: DisplacedChats,
    next_permit: u64,
}

impl PermitLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            counts: FxHashMap::default(),
            outstanding: FxHashMap::default(),
            last_heartbeats: FxHashMap::default(),
            displaced: DisplacedChats::new(limits.max_displaced_chats),
            next_permit: 1,
        }
    }

    /// Returns the load of `upstream`: outstanding permits and reported requests without a
    /// permit.
    #[must_use]
    pub fn in_progress(&self, upstream: &UpstreamName) -> u32 {
        self.counts.get(upstream).map_or(0, |count| count.permits + count.unpermitted)
    }

    /// Returns the number of outstanding permits.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Grants or denies a permit.
    pub fn acquire(&mut self, request: &PermitRequest, now: Instant) -> Result<PermitGrant, PermitDenied> {
        let displaced = request.first_choice_of.and_then(|chat| self.displaced.location(chat));
        if let Some(location) = displaced.filter(|location| **location != request.upstream) {
            return Err(PermitDenied::Redirect(location.clone()));
        }
        let in_progress = self.in_progress(&request.upstream);
        if in_progress >= request.limit {
            return Err(PermitDenied::AtBound { in_progress });
        }
        match self.last_heartbeats.get_mut(&request.holder) {
            Some(last_heartbeat) => *last_heartbeat = now,
            None => drop(self.last_heartbeats.insert(request.holder.clone(), now)),
        }
        Ok(self.grant(&request.upstream, &request.holder, now))
    }

    fn grant(&mut self, upstream: &UpstreamName, holder: &RouterInstance, now: Instant) -> PermitGrant {
        let permit = PermitId(self.next_permit);
        self.next_permit += 1;
        let count = self.counts.entry(upstream.clone()).or_default();
        count.set_permits(count.permits + 1, now);
        let in_progress = count.permits + count.unpermitted;
        let record = OutstandingPermit { upstream: upstream.clone(), holder: holder.clone() };
        self.outstanding.insert(permit, record);
        PermitGrant { permit, in_progress }
    }

    /// Releases a permit. Returns `false` if it was already released or has expired.
    pub fn release(&mut self, permit: PermitId, now: Instant) -> bool {
        let Some(record) = self.outstanding.remove(&permit) else { return false };
        if let Some(count) = self.counts.get_mut(&record.upstream) {
            count.set_permits(count.permits - 1, now);
        }
        true
    }

    /// Records that `chat` was sent to `location` because its preferred upstream was at its
    /// limit.
    pub fn record_displaced(&mut self, chat: ChatKey, location: UpstreamName) {
        self.displaced.record(chat, location);
    }

    /// Applies a load report. Requests in excess of the permits at the time of the measurement
    /// were sent without a permit, or with a permit from a previous owner.
    pub fn apply_report(&mut self, upstream: &UpstreamName, report: LoadReport) {
        let count = self.counts.entry(upstream.clone()).or_default();
        if count.reported_at.is_some_and(|before| before > report.measured_at) {
            return;
        }
        count.reported_at = Some(report.measured_at);
        count.unpermitted = report.in_progress.saturating_sub(count.max_permits_around(report.measured_at));
    }

    /// Records a heartbeat sent by `holder` at time `at`, which renews all its permits.
    pub fn renew(&mut self, holder: &RouterInstance, at: Instant) {
        if let Some(last_heartbeat) = self.last_heartbeats.get_mut(holder) {
            *last_heartbeat = at.max(*last_heartbeat);
        }
    }

    /// Returns the router processes that hold or have held permits.
    pub fn holders(&self) -> impl Iterator<Item = &RouterInstance> {
        self.last_heartbeats.keys()
    }

    /// Revokes the permits of routers without a heartbeat within the lease, and returns their
    /// number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let lease = self.limits.lease;
        let expired: Vec<RouterInstance> = self
            .last_heartbeats
            .iter()
            .filter(|(_, last_heartbeat)| now.since(**last_heartbeat) > lease)
            .map(|(holder, _)| holder.clone())
            .collect();
        expired.iter().map(|holder| self.revoke_permits(holder, now)).sum()
    }

    /// Revokes all permits of a router process that has ended, and returns their number.
    pub fn revoke_permits(&mut self, holder: &RouterInstance, now: Instant) -> usize {
        self.last_heartbeats.remove(holder);
        let permits: Vec<PermitId> = self
            .outstanding
            .iter()
            .filter(|(_, record)| record.holder == *holder)
            .map(|(permit, _)| *permit)
            .collect();
        permits.into_iter().filter(|permit| self.release(*permit, now)).count()
    }

    /// Removes an upstream that this router no longer owns. Releasing its permits later has no
    /// effect.
    pub fn drop_upstream(&mut self, upstream: &UpstreamName) {
        self.counts.remove(upstream);
        self.outstanding.retain(|_, record| record.upstream != *upstream);
    }
}
