//! A request that is to be sent to an upstream.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_admission::Requester;
use bendhinge_buffers::Reservation;
use bendhinge_delivery::{IdentityKey, RequestIdentity};
use bendhinge_ids::{Instant, NameHash, PartDigest, PoolName, RequestDigest};
use bendhinge_placement::Prompt;
use bendhinge_routes::{Customer, RegionFilter, Route};
use bytes::Bytes;
use hyper::http::request;

use crate::dialect::RequestFields;
use crate::forwarding::headers::ForwardedFields;
use crate::state::RulesReplica;

/// A request that was authorized and is to be sent to an upstream.
pub(crate) struct InboundRequest {
    pub(crate) fields: RequestFields,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolName,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) priority: u8,
    /// The head that is sent upstream, without the headers that each attempt adds.
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Accounts for the memory of the head and the body.
    pub(crate) _buffers: Reservation,
    pub(crate) received_at: Instant,
    /// The time by which the final response is due.
    pub(crate) deadline: Instant,
    pub(crate) tie_breaker: u64,
    /// The fields set by the gateway that forwarded the request; `None` if it came from a caller.
    pub(crate) forwarded: Option<ForwardedFields>,
    /// The digest that identifies equal requests, computed on first use.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// The digests of the shared prompt parts, computed on first use.
    pub(crate) part_digests: OnceLock<Vec<PartDigest>>,
}

/// The maximum number of prompt parts of a request that are tracked. Further parts are ignored.
const MAX_TRACKED_PARTS: usize = 64;

impl InboundRequest {
    pub(super) fn requester(&self) -> Requester {
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        Requester { priority: self.priority, customer: NameHash::of(customer) }
    }

    /// Whether the customer still holds the key of the request, according to rules that have not expired.
    pub(crate) fn is_authorized(&self, rules: &RulesReplica) -> bool {
        let (Some(key), Some(customer)) = (&self.fields.key, &self.customer) else { return true };
        if !rules.is_within_lease() {
            return false;
        }
        let Some(current) = rules.current() else { return false };
        current.rules.customers.find_by_key(key).is_some_and(|holder| holder.name == customer.name)
    }

    /// Returns the regions that the route and the customer allow; both apply.
    pub(super) fn allowed_regions(&self) -> [&RegionFilter; 2] {
        let route = &self.route.regions;
        [route, self.customer.as_ref().map_or(route, |customer| &customer.regions)]
    }

    /// Returns the digest that identifies equal requests.
    pub(super) fn digest(&self, key: &IdentityKey) -> RequestDigest {
        *self.digest.get_or_init(|| self.identity().digest(key))
    }

    /// Returns the distinct digests of the prompt parts that are shared with other requests.
    pub(super) fn part_digests(&self, key: &IdentityKey) -> &[PartDigest] {
        self.part_digests.get_or_init(|| {
            let parts = self.fields.prompt.iter().flat_map(Prompt::shared);
            let mut ids: Vec<_> = parts.take(MAX_TRACKED_PARTS).map(|part| part.id).collect();
            ids.sort_unstable();
            ids.dedup();
            ids.into_iter().map(|id| key.part_digest(&self.pool, id.0)).collect()
        })
    }

    pub(super) fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            customer: self.customer.as_ref().map_or("", |customer| customer.name.as_str()),
            method: self.head.method.as_str(),
            target: self.head.uri.path_and_query().map_or("", |target| target.as_str()),
            body: &self.body,
        }
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(bendhinge_clock::now())
    }
}
