//! The address at which a balancer asks whether the gateway is ready, and metrics are read.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{Body, empty_body, full_body};
use bendhinge_peer::TrafficCounters;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::delivery::Delivering;
use crate::lifecycle::Lifecycle;
use crate::metrics::MeasuredNow;

/// A gateway whose rules are too old to act on for longer than this is not ready.
const PATIENCE: Duration = Duration::from_secs(1);

/// The path of the metrics, in Prometheus' text form.
const METRICS_PATH: &str = "/metrics";
/// The path of the list of requests that are kept from upstreams.
const QUARANTINE_PATH: &str = "/quarantine";

/// What the answer depends on.
pub(crate) struct Readiness {
    pub(crate) delivering: Arc<Delivering>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) traffic: Arc<TrafficCounters>,
    pub(crate) lease: Option<Duration>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        let age = self.delivering.rules.age(bendhinge_clock::now());
        let lease = self.lease.map_or(Duration::MAX, |lease| lease + PATIENCE);
        !self.lifecycle.is_stopping()
            && age.is_some_and(|age| age <= lease)
            && self.delivering.upstreams.is_begun()
    }

    fn measured_now(&self) -> MeasuredNow {
        MeasuredNow {
            in_progress: self.lifecycle.in_progress(),
            rules_age: self.delivering.rules.age(bendhinge_clock::now()),
            peer_connections: self.traffic.open_connections(),
            peer_sent_bytes: self.traffic.sent_bytes(),
            quarantined: self.delivering.quarantine.quarantined(),
            upstreams_resting: self.delivering.upstreams.resting(),
        }
    }

    pub(crate) fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        if request.uri().path() == METRICS_PATH {
            return Response::new(full_body(self.delivering.metrics.text(&self.measured_now())));
        }
        if request.uri().path() == QUARANTINE_PATH {
            return Response::new(full_body(self.delivering.quarantine.page()));
        }
        let is_known = request.uri().path() == self.delivering.dialect.ready_path();
        let status = match (is_known, self.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut answer = Response::new(empty_body());
        *answer.status_mut() = status;
        answer
    }
}
