//! Reports of overloaded upstreams, which are sent to other routers at once.
//!
//! The periodic exchanges take about a second to reach all routers. Meanwhile, routers that know an older report keep
//! sending to an upstream that has more than its share.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::loads::UpstreamLoad;
use crate::update_log::{UpdateBatch, UpdateLog, UpdateLogLimits, UpdateSource};

/// Time for which a report of an upstream suffices before another one is sent. The load changes as fast as requests
/// end.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Age from which a report is not sent on. A report reaches all routers well before.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Limits on the reports that are sent. Older ones arrive with the periodic exchanges as well.
const LIMITS: UpdateLogLimits = UpdateLogLimits {
    max_entries: 512,
    max_batch_entries: 64,
    max_age: RENEWAL_INTERVAL,
    max_age_for_new_peer: RENEWAL_INTERVAL,
};

/// Recent reports of overloaded upstreams.
#[derive(Debug)]
pub struct OverloadLog {
    /// Time of the last recorded report of each upstream.
    reported_at: FxHashMap<NameHash, Instant>,
    log: UpdateLog<UpstreamLoad>,
}

impl Default for OverloadLog {
    fn default() -> Self {
        Self { reported_at: FxHashMap::default(), log: UpdateLog::new(LIMITS) }
    }
}

impl OverloadLog {
    /// Records the report of an overloaded upstream. Returns `true` if it is to be sent, and `false` if it is outdated
    /// or a recent one of the upstream was recorded before.
    pub fn record(&mut self, report: UpstreamLoad, source: UpdateSource, now: Instant) -> bool {
        let is_recent = |recorded: &Instant| report.reported_at < *recorded + RENEWAL_INTERVAL;
        let is_outdated = now.since(report.reported_at) >= MAX_REPORT_AGE;
        if is_outdated || self.reported_at.get(&report.upstream).is_some_and(is_recent) {
            return false;
        }
        self.reported_at.insert(report.upstream, report.reported_at);
        self.log.push(report, source, now);
        true
    }

    /// Returns the reports after the sequence number `sent`, without those that came from `receiver`.
    #[must_use]
    pub fn since(&self, sent: u64, receiver: UpdateSource, now: Instant) -> UpdateBatch<UpstreamLoad> {
        self.log.since(Some(sent), receiver, now)
    }

    /// Drops the reports that are too old to be sent.
    pub fn prune(&mut self, now: Instant) {
        self.log.evict_expired(now);
        self.reported_at.retain(|_, reported_at| now.since(*reported_at) < MAX_REPORT_AGE);
    }
}
