//! Which software may begin a stream or go on with it.

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::{OwnStream, PoolSoftware, StreamId, StreamRecord, StreamSoftware};
use bendhinge_ids::NameHash;

use super::{Delivery, DeliveryContext, DeliveryError, InboundRequest};
use crate::forwarding::pool_hash;
use crate::state::SoftwareRule;
use crate::streams::NO_STREAM;

/// Lifetime of a record as a multiple of the route's timeout: one for the response that is relayed, one for the caller
/// to return.
const LIFETIME_TIMEOUTS: u32 = 2;

/// What is known of the software that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequiredSoftware {
    /// The request resumes a stream, and its software is not looked up yet.
    Unresolved,
    Resolved(SoftwareRule),
}

impl InboundRequest {
    /// Returns how long a stream may last that the request begins.
    fn stream_lifetime(&self) -> Duration {
        self.route.timeout * LIFETIME_TIMEOUTS
    }

    /// Whether the caller resumes a stream.
    pub(super) fn resumes_stream(&self) -> bool {
        self.route.kind.is_stream() && self.fields.resume_after.is_some()
    }

    /// Returns the software that is required before anything is looked up.
    pub(super) fn initial_software(&self, context: &DeliveryContext) -> RequiredSoftware {
        if !context.streams.is_enabled() || !self.route.kind.is_stream() {
            return RequiredSoftware::Resolved(SoftwareRule::Any);
        }
        if let Some(software) = self.forwarded.as_ref().and_then(|forwarded| forwarded.software) {
            return RequiredSoftware::Resolved(SoftwareRule::Only(software));
        }
        if self.resumes_stream() {
            return RequiredSoftware::Unresolved;
        }
        let is_resumable = self.route.kind.is_retryable();
        RequiredSoftware::Resolved(if is_resumable { SoftwareRule::Settled } else { SoftwareRule::Any })
    }

    /// Returns the ID of the stream that the request begins, or resumes; `None` if it does not name that one.
    fn stream_id(&self, context: &DeliveryContext) -> Option<StreamId> {
        // A gateway that forwards a request may resume a stream which the same request began there.
        let own_id = self.fields.id.as_ref().filter(|_| !self.resumes_stream() || self.forwarded.is_some());
        let resumed = self.fields.resumes.as_ref().filter(|_| self.resumes_stream());
        let request = resumed.or(own_id)?;
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        let target = self.head.uri.path_and_query().map_or("", |target| target.as_str());
        Some(context.streams.stream_id(customer, target, request.as_bytes()))
    }
}

impl Delivery {
    /// Looks up which software began the stream that the caller resumes, first here and then at other gateways. Refuses
    /// the request if it cannot be known.
    pub(super) async fn resolve_software(&mut self) -> Result<(), DeliveryError> {
        if self.software != RequiredSoftware::Unresolved {
            return Ok(());
        }
        let software = match self.inbound.stream_id(&self.context) {
            Some(stream) => self.find_software(stream).await,
            None => self.find_only_software().await,
        };
        let Some(software) = software else {
            return Err(DeliveryError::Code(self.code_if_not_run(ResultCode::StreamSoftwareUnknown)));
        };
        self.software = RequiredSoftware::Resolved(SoftwareRule::Only(software));
        self.log_line.set_began_software(software);
        Ok(())
    }

    /// Sets the software that began the stream if this gateway knows it, before the request is forwarded.
    pub(super) fn resolve_software_locally(&mut self) {
        let known =
            self.inbound.stream_id(&self.context).and_then(|stream| self.context.streams.find(stream));
        if let (RequiredSoftware::Unresolved, Some(StreamSoftware::Known(software))) = (self.software, known)
        {
            self.software = RequiredSoftware::Resolved(SoftwareRule::Only(software));
        }
    }

    async fn find_software(&self, stream: StreamId) -> Option<NameHash> {
        let DeliveryContext { streams, .. } = &*self.context;
        if streams.find(stream).is_none() {
            if let PoolSoftware::Single(software) = self.pool_software() {
                return Some(software);
            }
            streams.look_up(stream, pool_hash(&self.inbound.pool)).await;
        }
        match (streams.find(stream), self.pool_software()) {
            (Some(StreamSoftware::Known(software)), _) | (None, PoolSoftware::Single(software)) => {
                Some(software)
            }
            _ => None,
        }
    }

    /// Returns the software of a stream whose first request the caller does not name. It is known only if all streams of the
    /// pool have the same.
    async fn find_only_software(&self) -> Option<NameHash> {
        if self.seen_software() == PoolSoftware::Unknown {
            // Other gateways may have watched the pool for longer.
            self.context.streams.look_up(NO_STREAM, pool_hash(&self.inbound.pool)).await;
        }
        match self.seen_software() {
            PoolSoftware::Single(software) => Some(software),
            PoolSoftware::Several | PoolSoftware::Unknown => None,
        }
    }

    /// Returns the software that began any stream of the route that callers may still resume.
    fn pool_software(&self) -> PoolSoftware {
        let InboundRequest { pool, .. } = &*self.inbound;
        self.context.upstreams.pool_software(pool, self.inbound.stream_lifetime())
    }

    fn seen_software(&self) -> PoolSoftware {
        self.context.upstreams.seen_software(&self.inbound.pool, self.inbound.stream_lifetime())
    }

    /// Returns the rule for the choice of an upstream.
    pub(super) const fn software_rule(&self) -> SoftwareRule {
        match self.software {
            RequiredSoftware::Resolved(rule) => rule,
            RequiredSoftware::Unresolved => SoftwareRule::Any,
        }
    }

    /// Records the software that sent the first event. From now on only it may go on with the stream.
    pub(super) fn record_began_software(&mut self, software: NameHash) {
        if !self.context.streams.is_enabled() {
            return;
        }
        self.software = RequiredSoftware::Resolved(SoftwareRule::Only(software));
        let Delivery { inbound, context, .. } = self;
        if !inbound.route.kind.is_retryable() {
            return;
        }
        let Some(stream) = inbound.stream_id(context) else { return };
        let expires_at = bendhinge_clock::now() + inbound.stream_lifetime();
        let pool = pool_hash(&inbound.pool);
        context.streams.record(OwnStream {
            record: StreamRecord { stream, software: StreamSoftware::Known(software), expires_at },
            customer: NameHash::of(inbound.customer.as_ref().map_or("", |customer| customer.name.as_str())),
            pool,
            forwarded_by: inbound.forwarded.as_ref().map(|forwarded| forwarded.from),
        });
        if context.upstreams.needs_stream_records(pool, inbound.stream_lifetime()) {
            context.streams.notify_unsent();
        }
    }
}
