//! Choice of the upstream for a send, and the error if there is none.

use std::time::Duration;

use bendhinge_codes::ResultCode;

use super::{Delivery, DeliveryError};
use crate::state::{ChosenUpstream, PlacementRequest, SoftwareRule};

impl Delivery {
    pub(super) fn choose_upstream(&self, may_probe: bool) -> Result<ChosenUpstream, DeliveryError> {
        if !self.inbound.is_authorized(&self.context.rules) {
            return Err(DeliveryError::Code(self.code_if_not_run(ResultCode::ViewNotFresh)));
        }
        let rules = self.context.rules.current();
        let query = PlacementRequest {
            pool: &self.inbound.pool,
            rule: rules.as_ref().and_then(|current| current.rules.pools.get(&self.inbound.pool)),
            prompt: self.inbound.fields.prompt.as_ref(),
            regions: self.inbound.allowed_regions(),
            tried: &self.tried_upstreams,
            software: self.software_rule(),
            may_probe,
            tie_breaker: self.inbound.tie_breaker,
        };
        self.context.upstreams.choose(&query).ok_or_else(|| self.no_upstream_error())
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
