//! Counts each send, until its first event, among those that may delay other streams of the same upstream.

use std::sync::{Arc, Mutex};

use bendhinge_delivery::{OutstandingSends, SendTotals};
use bendhinge_ids::NameHash;

use super::InboundRequest;

/// The sends of this gateway that are in progress, by upstream.
#[derive(Default)]
pub(crate) struct SendRegistry(Mutex<OutstandingSends>);

/// A registered send; dropping it records its end.
pub(super) struct MeasuredSend {
    registry: Arc<SendRegistry>,
    upstream: NameHash,
    prompt_tokens: u32,
    is_prefilled: bool,
}

impl MeasuredSend {
    /// Registers a send of `inbound` to `upstream`.
    pub(super) fn start(registry: &Arc<SendRegistry>, upstream: NameHash, inbound: &InboundRequest) -> Self {
        let prompt_tokens = inbound.fields.prompt.as_ref().map_or(0, bendhinge_placement::Prompt::tokens);
        registry.0.lock().unwrap().start(upstream, prompt_tokens);
        Self { registry: Arc::clone(registry), upstream, prompt_tokens, is_prefilled: false }
    }

    /// Records an event of the send and returns the totals of its upstream.
    pub(super) fn record_event(&mut self) -> SendTotals {
        let mut sends = self.registry.0.lock().unwrap();
        if !self.is_prefilled {
            self.is_prefilled = true;
            sends.record_prefilled(self.upstream, self.prompt_tokens);
        }
        sends.totals(self.upstream)
    }

    /// Returns the totals of the send's upstream.
    pub(super) fn totals(&self) -> SendTotals {
        self.registry.0.lock().unwrap().totals(self.upstream)
    }
}

impl Drop for MeasuredSend {
    fn drop(&mut self) {
        let mut sends = self.registry.0.lock().unwrap();
        if !self.is_prefilled {
            sends.record_prefilled(self.upstream, self.prompt_tokens);
        }
        sends.end(self.upstream);
    }
}
