//! Serves the readiness check for load balancers, the metrics, and the list of quarantined requests.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{Body, empty_body, full_body};
use bendhinge_peer::TrafficCounters;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::delivery::DeliveryContext;
use crate::lifecycle::Lifecycle;
use crate::metrics::GaugeValues;

/// How long after the end of their lease the rules may be unconfirmed before the gateway reports that it is
/// not ready.
const LEASE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// The path of the metrics in Prometheus text format.
const METRICS_PATH: &str = "/metrics";
/// The path of the list of quarantined requests.
const QUARANTINE_PATH: &str = "/quarantine";

/// The state that readiness and metrics are read from.
pub(crate) struct Readiness {
    pub(crate) context: Arc<DeliveryContext>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) traffic: Arc<TrafficCounters>,
    pub(crate) lease: Option<Duration>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        let age = self.context.rules.age(bendhinge_clock::now());
        let lease = self.lease.map_or(Duration::MAX, |lease| lease + LEASE_GRACE_PERIOD);
        !self.lifecycle.is_stopping()
            && age.is_some_and(|age| age <= lease)
            && self.context.upstreams.has_list_or_partial()
    }

    fn current_gauges(&self) -> GaugeValues {
        GaugeValues {
            in_progress: self.lifecycle.in_progress(),
            rules_age: self.context.rules.age(bendhinge_clock::now()),
            dropped_lines: self.context.log.dropped_lines(),
            peer_connections: self.traffic.open_connections(),
            peer_sent_bytes: self.traffic.sent_bytes(),
            quarantined: self.context.quarantine.quarantined_counts(),
            buffers: self.context.buffers.usage(),
            upstreams_in_backoff: self.context.upstreams.backoff_count(),
        }
    }

    pub(crate) fn handle(&self, request: &Request<Incoming>) -> Response<Body> {
        if request.uri().path() == METRICS_PATH {
            return Response::new(full_body(self.context.metrics.encode_text(&self.current_gauges())));
        }
        if request.uri().path() == QUARANTINE_PATH {
            return Response::new(full_body(self.context.quarantine.to_json()));
        }
        let is_ready_path = request.uri().path() == self.context.dialect.ready_path();
        let status = match (is_ready_path, self.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(empty_body());
        *response.status_mut() = status;
        response
    }
}
