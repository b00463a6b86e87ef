//! Admission of requests to engine pools, before an engine is chosen.

use std::time::Duration;

use bendhinge_admission::engine::{AdmissionRefusal, EngineDecision, EngineRequest, RequestKind};
use bendhinge_codes::ResultCode;

use super::{DeliveryContext, InboundRequest};
use crate::intake::Refusal;

/// Callers abandon a stream that is silent for the longest of these: a fixed time, a multiple of the target latency and a
/// multiple of the target gap. This also applies before the first event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const TARGET_LATENCIES_OF_PATIENCE: u32 = 4;
const TARGET_GAPS_OF_PATIENCE: u32 = 8;

impl DeliveryContext {
    /// Refuses a request to an engine pool that is nearly full, if others go first.
    pub(super) fn admit_to_engines(&self, inbound: &InboundRequest) -> Result<(), Refusal> {
        if self.is_paced(&inbound.pool) || !self.upstreams.is_active(self.load_settings.admission) {
            return Ok(());
        }
        let rules = self.rules.current();
        let rule = rules.as_ref().and_then(|current| current.rules.pools.get(&inbound.pool));
        let in_progress = self.totals.engine_requests(&inbound.pool, bendhinge_clock::now());
        let load =
            self.upstreams.engine_pool_load(&inbound.pool, rule, inbound.allowed_regions(), in_progress);
        let Some(load) = load else { return Ok(()) };
        match self.admission.decide(&inbound.pool, &inbound.engine_request(), &load) {
            EngineDecision::Admitted => Ok(()),
            EngineDecision::Refused { retry_after, reason } => {
                Err(Refusal::with_retry_after(refusal_code(reason), retry_after))
            }
        }
    }
}

const fn refusal_code(reason: AdmissionRefusal) -> ResultCode {
    match reason {
        AdmissionRefusal::NoRoom => ResultCode::AllUpstreamsAtBound,
        AdmissionRefusal::CustomerOverShare => ResultCode::CustomerOverShare,
        AdmissionRefusal::DeadlineUnreachable => ResultCode::DeadlineCannotBeMet,
    }
}

impl InboundRequest {
    fn engine_request(&self) -> EngineRequest {
        let time_left = self.time_left();
        EngineRequest {
            requester: self.requester(),
            patience: self.patience().min(time_left),
            target_latency: self.route.target_latency,
            time_left,
            full_time: self.route.timeout,
            tokens: self.request_kind().tokens,
        }
    }

    /// Returns the properties that determine how long the request holds a slot of an engine.
    pub(super) fn request_kind(&self) -> RequestKind {
        let tokens = self.fields.prompt.as_ref().map_or(0, bendhinge_placement::Prompt::tokens);
        RequestKind { priority: self.priority, tokens }
    }

    /// Returns how long the caller waits for the first event.
    fn patience(&self) -> Duration {
        if !self.route.kind.is_stream() {
            return self.time_left();
        }
        let of_target = self.route.target_latency * TARGET_LATENCIES_OF_PATIENCE;
        let of_gap = self.route.target_gap.unwrap_or_default() * TARGET_GAPS_OF_PATIENCE;
        MIN_PATIENCE.max(of_target).max(of_gap)
    }
}
