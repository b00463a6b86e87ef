//! The shared state that delivery uses.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_buffers::BufferBudget;
use bendhinge_delivery::IdentityKey;
use bendhinge_fleet::Origin;
use bendhinge_http::{Pool, Tasks};
use bendhinge_ids::{PartDigest, PoolName, RequestDigest};
use rand::Rng;
use smol::channel::Sender;

use super::{CrashProbes, InboundRequest, LinkProbes, SendRegistry};
use crate::admission::Admission;
use crate::dialect::Dialect;
use crate::forwarding::Forwarding;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::pacing::Pacing;
use crate::permits::Permits;
use crate::quarantine::{SharedQuarantine, Suspects};
use crate::retries::RetryBudgets;
use crate::settings::LoadSettings;
use crate::state::{RulesReplica, UpstreamView};
use crate::streams::Streams;
use crate::totals::SharedTotals;

/// The shared state that delivery uses.
pub(crate) struct DeliveryContext {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) rules: Arc<RulesReplica>,
    pub(crate) upstreams: Arc<UpstreamView>,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) pacing: Pacing,
    pub(crate) admission: Admission,
    pub(crate) totals: Arc<SharedTotals>,
    pub(crate) load_settings: LoadSettings,
    pub(crate) identity_key: IdentityKey,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    /// Whether the shared parts of prompts are tracked.
    pub(crate) tracks_prompt_parts: bool,
    /// Whether a response that ends with its connection is complete only once its upstream is known to run.
    pub(crate) verifies_close: bool,
    pub(crate) crash_probes: CrashProbes,
    /// The probes of upstreams that closed a connection at the end of a response.
    pub(crate) close_probes: CrashProbes,
    pub(crate) link_probes: LinkProbes,
    pub(crate) forwarding: Arc<Forwarding>,
    /// Notifies the control plane of changes of the pools from which gateways are partitioned.
    pub(crate) partition_notifier: Sender<Origin>,
    pub(crate) streams: Streams,
    pub(crate) permits: Permits,
    pub(crate) sends: Arc<SendRegistry>,
    pub(crate) connection_pool: Pool,
    pub(crate) tasks: Tasks,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) max_response_bytes: usize,
    pub(crate) max_event_bytes: usize,
    /// Memory for incomplete requests and responses.
    pub(crate) buffers: BufferBudget,
}

impl DeliveryContext {
    /// Returns the digest of a request that may be tracked by the quarantine. Other requests are not hashed.
    pub(crate) fn tracked_digest(&self, inbound: &InboundRequest) -> Option<RequestDigest> {
        let quarantine = &self.quarantine;
        let may_be_tracked = !quarantine.has_no_request()
            && quarantine.may_contain(inbound.identity().hint(&self.identity_key));
        may_be_tracked.then(|| inbound.digest(&self.identity_key))
    }

    /// Returns what the quarantine may track of a request.
    pub(super) fn suspects<'a>(&self, inbound: &'a InboundRequest) -> Suspects<'a> {
        let parts = if self.quarantine.has_no_part() { &[] } else { self.part_digests(inbound) };
        Suspects { request: self.tracked_digest(inbound), parts }
    }

    /// Returns the digests of the shared prompt parts of a request, none if they are not tracked.
    pub(super) fn part_digests<'a>(&self, inbound: &'a InboundRequest) -> &'a [PartDigest] {
        if self.tracks_prompt_parts { inbound.part_digests(&self.identity_key) } else { &[] }
    }

    /// Returns after which time the caller should retry if all upstreams that could serve the request have
    /// requested a backoff.
    pub(super) fn remaining_backoff(&self, inbound: &InboundRequest) -> Option<Duration> {
        /// Jitter as a fraction of the remaining backoff, but no less than the minimum, so that callers
        /// refused together do not all return to the first upstream that is available again.
        const JITTER_FRACTION: f64 = 0.25;
        const MIN_JITTER: Duration = Duration::from_millis(200);
        let end = self.upstreams.earliest_backoff_end(&inbound.pool, inbound.allowed_regions())?;
        let remaining = end.since(bendhinge_clock::now());
        Some(remaining + remaining.mul_f64(JITTER_FRACTION).max(MIN_JITTER).mul_f64(rand::rng().random()))
    }

    /// Whether requests to a pool are paced by the responses of its upstreams. Upstreams that cache prompts
    /// report their load instead, and their responses may be late for other reasons.
    pub(super) fn is_paced(&self, pool: &PoolName) -> bool {
        let rules = self.rules.current();
        rules.is_some_and(|current| current.rules.pools.get(pool).is_none_or(|rule| !rule.caches_prompts))
    }
}
