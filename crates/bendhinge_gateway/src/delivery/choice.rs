//! Choice of the upstream for a send, and the error if there is none.

use std::num::NonZeroU32;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::PermitRequest;

use super::{Delivery, DeliveryError};
use crate::forwarding::data_centre_hash;
use crate::permits::{Permit, PermitOutcome};
use crate::state::{ActiveRules, ChosenUpstream, PlacementRequest, RefusedPermit, SoftwareRule};

impl Delivery {
    /// Chooses an upstream and counts the request there. If one gateway counts the requests of the upstream, asks it for a
    /// permit, and chooses another upstream if it refuses.
    pub(super) async fn choose_upstream(&self, may_probe: bool) -> Result<ChosenUpstream, DeliveryError> {
        let mut refused = Vec::new();
        loop {
            let mut chosen = self.select_upstream(may_probe, &refused)?;
            let Some(limit) = chosen.permit_limit else {
                self.start_request(&mut chosen, None);
                return Ok(chosen);
            };
            let (request, data_centre) = self.permit_request(&chosen, limit);
            let asked_at = bendhinge_clock::now();
            let outcome = self.context.permits.request(request, data_centre).await;
            let waited = bendhinge_clock::now().since(asked_at);
            self.check_time_left()?;
            self.context.metrics.record_permit(outcome.as_str(), waited);
            chosen.permit_wait = waited;
            chosen.refused_permits = refused.len();
            chosen.counted = outcome.in_progress();
            if let Some(in_progress) = chosen.counted {
                let upstream = chosen.entry.hash;
                self.context.upstreams.record_exact_count(&self.inbound.pool, upstream, in_progress);
            }
            let permit = match outcome {
                PermitOutcome::Issued(permit, _) | PermitOutcome::NoAnswer(permit) => Some(permit),
                PermitOutcome::Refused(in_progress) if limit < u32::MAX => {
                    refused.push(RefusedPermit { upstream: chosen.entry.hash, in_progress });
                    continue;
                }
                // The issuer holds as many permits as it can.
                PermitOutcome::Refused(_) => None,
            };
            self.start_request(&mut chosen, permit);
            return Ok(chosen);
        }
    }

    /// Chooses an upstream for a hedge request and counts it there, without waiting for a permit.
    pub(super) fn choose_upstream_of_hedge(&self) -> Result<ChosenUpstream, DeliveryError> {
        let mut chosen = self.select_upstream(false, &[])?;
        let permit = chosen.permit_limit.map(|limit| {
            let (request, data_centre) = self.permit_request(&chosen, limit);
            self.context.permits.count(request, data_centre)
        });
        self.start_request(&mut chosen, permit);
        Ok(chosen)
    }

    fn permit_request(&self, chosen: &ChosenUpstream, limit: u32) -> (PermitRequest, NonZeroU32) {
        let lifetime = self.inbound.time_left();
        let request = PermitRequest { upstream: chosen.entry.hash, limit, lifetime };
        (request, data_centre_hash(&chosen.entry.data_centre))
    }

    fn select_upstream(
        &self,
        may_probe: bool,
        refused: &[RefusedPermit],
    ) -> Result<ChosenUpstream, DeliveryError> {
        if !self.inbound.is_authorized(&self.context.rules) {
            return Err(DeliveryError::Code(self.code_if_not_run(ResultCode::ViewNotFresh)));
        }
        let rules = self.context.rules.current();
        let query = self.placement_request(rules.as_deref(), may_probe, refused);
        self.context.upstreams.choose(&query).ok_or_else(|| self.no_upstream_error())
    }

    fn start_request(&self, chosen: &mut ChosenUpstream, permit: Option<Permit>) {
        let rules = self.context.rules.current();
        let query = self.placement_request(rules.as_deref(), false, &[]);
        self.context.upstreams.start(chosen, &query, permit);
    }

    fn placement_request<'a>(
        &'a self,
        rules: Option<&'a ActiveRules>,
        may_probe: bool,
        refused: &'a [RefusedPermit],
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            pool: &self.inbound.pool,
            rule: rules.and_then(|current| current.rules.pools.get(&self.inbound.pool)),
            prompt: self.inbound.fields.prompt.as_ref(),
            regions: self.inbound.allowed_regions(),
            tried: &self.tried_upstreams,
            software: self.software_rule(),
            refused_permits: refused,
            may_probe,
            tie_breaker: self.inbound.tie_breaker,
        }
    }

    /// Lets upstreams be chosen again that earlier sends did not reach.
    pub(super) fn forget_unreached(&mut self) {
        let Self { tried_upstreams, unreached_upstreams, .. } = self;
        tried_upstreams.retain(|tried| !unreached_upstreams.contains(tried));
        unreached_upstreams.clear();
    }

    /// Returns the error for a request that no upstream accepts or that must not be sent again.
    pub(super) fn no_upstream_error(&self) -> DeliveryError {
        // If an upstream was tried, there are some with the software.
        if self.inbound.resumes_stream()
            && self.tried_upstreams.is_empty()
            && matches!(self.software_rule(), SoftwareRule::Only(_))
        {
            return DeliveryError::Code(self.code_if_not_run(ResultCode::StreamSoftwareUnavailable));
        }
        match self.context.remaining_backoff(&self.inbound) {
            Some(backoff) => self.retry_later(ResultCode::AllUpstreamsRest, backoff),
            None => DeliveryError::Code(self.retry_state.final_code(false)),
        }
    }

    /// Returns the error that asks the caller to retry later, unless the request may have run.
    pub(super) fn retry_later(&self, code: ResultCode, retry_after: Duration) -> DeliveryError {
        match self.retry_state.ran() {
            bendhinge_codes::Ran::No => DeliveryError::RetryLater { code, retry_after },
            _ => DeliveryError::Code(self.retry_state.final_code(false)),
        }
    }

    /// Returns `code`, which reports that the request did not run, or the final code if it may have run.
    pub(super) fn code_if_not_run(&self, code: ResultCode) -> ResultCode {
        if self.retry_state.ran() == bendhinge_codes::Ran::No {
            code
        } else {
            self.retry_state.final_code(false)
        }
    }
}
