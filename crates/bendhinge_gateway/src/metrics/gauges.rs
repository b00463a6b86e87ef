//! Gauges whose values are read when metrics are scraped.

use std::time::Duration;

use bendhinge_buffers::BufferUsage;
use opentelemetry::metrics::{Gauge, Meter};

use super::groups::{BufferGauges, QuarantineGauges};
use crate::quarantine::QuarantinedCounts;

/// Values of the gauges that are read when metrics are scraped.
pub(crate) struct GaugeValues {
    pub(crate) in_progress: usize,
    pub(crate) rules_age: Option<Duration>,
    pub(crate) dropped_lines: usize,
    pub(crate) peer_connections: u64,
    pub(crate) peer_sent_bytes: u64,
    pub(crate) quarantined: QuarantinedCounts,
    pub(crate) upstreams_in_backoff: usize,
    pub(crate) buffers: BufferUsage,
}

/// The gauges of these values.
pub(super) struct Gauges {
    in_progress: Gauge<u64>,
    rules_age: Gauge<f64>,
    dropped_lines: Gauge<u64>,
    peer_connections: Gauge<u64>,
    peer_sent_bytes: Gauge<u64>,
    quarantined: QuarantineGauges,
    buffers: BufferGauges,
    upstreams_in_backoff: Gauge<u64>,
}

impl Gauges {
    pub(super) fn new(
        meter: &Meter,
        gauge: impl Fn(&'static str, &'static str) -> Gauge<u64> + Copy,
    ) -> Self {
        Self {
            in_progress: gauge("bendhinge.gateway.requests_in_progress", "Requests in progress"),
            rules_age: meter
                .f64_gauge("bendhinge.gateway.rules_age")
                .with_unit("s")
                .with_description("Age of the knowledge that the rules are current")
                .build(),
            dropped_lines: gauge("bendhinge.gateway.log_lines_dropped", "Log lines dropped since the start"),
            peer_connections: gauge(
                "bendhinge.gateway.peer_connections",
                "Open connections with other gateways, in both directions",
            ),
            peer_sent_bytes: gauge(
                "bendhinge.gateway.peer_sent_bytes",
                "Bytes sent to other gateways since the start, without TCP's own",
            ),
            quarantined: QuarantineGauges::new(gauge),
            buffers: BufferGauges::new(gauge),
            upstreams_in_backoff: gauge(
                "bendhinge.gateway.upstreams_resting",
                "Upstreams that are spared since they asked for a rest",
            ),
        }
    }

    pub(super) fn record(&self, values: &GaugeValues) {
        self.in_progress.record(values.in_progress as u64, &[]);
        self.dropped_lines.record(values.dropped_lines as u64, &[]);
        self.peer_connections.record(values.peer_connections, &[]);
        self.peer_sent_bytes.record(values.peer_sent_bytes, &[]);
        self.quarantined.record(values.quarantined);
        self.buffers.record(values.buffers);
        self.upstreams_in_backoff.record(values.upstreams_in_backoff as u64, &[]);
        if let Some(age) = values.rules_age {
            self.rules_age.record(age.as_secs_f64(), &[]);
        }
    }
}
