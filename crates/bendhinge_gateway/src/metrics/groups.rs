//! Metrics that are recorded together.

use bendhinge_buffers::BufferUsage;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::quarantine::QuarantinedCounts;

/// Bucket bounds of the time to the first event of a stream.
const FIRST_EVENT_BUCKETS_SECONDS: [f64; 13] =
    [0.02, 0.05, 0.1, 0.15, 0.2, 0.225, 0.25, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0];

/// Bucket bounds of the longest pause of a stream. They are dense from 0.2 to 0.25 s: a lost packet is sent again
/// after 0.2 s, and routes allow pauses of 0.25 s.
const LONGEST_PAUSE_BUCKETS_SECONDS: [f64; 13] =
    [0.02, 0.05, 0.1, 0.15, 0.2, 0.21, 0.22, 0.23, 0.24, 0.25, 0.5, 1.0, 2.0];

/// Bucket bounds of the age of the list of upstreams. They are dense around two to three seconds,
/// within which draining upstreams must get no more requests.
const LIST_AGE_BUCKETS_SECONDS: [f64; 8] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 5.0, 10.0];

/// Bucket bounds of the age of load reports. They are dense up to two seconds: a report passes through up to four
/// exchanges of 0.4 s each, and requests end within seconds.
const LOAD_REPORT_AGE_BUCKETS_SECONDS: [f64; 9] = [0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.0, 4.0, 10.0];
/// Bounds of the wait for a permit. The last one is the time after which requests go without.
const PERMIT_WAIT_BUCKETS_SECONDS: [f64; 6] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05];

/// Who resumed an interrupted stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Resumer {
    /// The gateway, within a response.
    Gateway,
    /// The caller, with a request of its own.
    Caller,
}

impl Resumer {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Caller => "caller",
        }
    }
}

/// The software of the upstream that resumes a stream, compared with the one that sent its first event.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ResumedSoftware {
    Same,
    Other,
    /// It is not known which software sent the first event.
    Unknown,
}

impl ResumedSoftware {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// What is measured of relayed streams.
pub(super) struct StreamMetrics {
    /// Recorded once for each stream.
    pub(super) first_event: Histogram<f64>,
    /// Recorded once for each stream.
    pub(super) longest_pause: Histogram<f64>,
    pub(super) resumptions: Counter<u64>,
    pub(super) cuts: Counter<u64>,
    pub(super) sent_records: Counter<u64>,
}

impl StreamMetrics {
    /// Builds them with `seconds`, which takes a name, a description and bucket bounds, and `counter`.
    pub(super) fn new(
        seconds: impl Fn(&'static str, &'static str, &[f64]) -> Histogram<f64>,
        counter: impl Fn(&'static str, &'static str) -> Counter<u64>,
    ) -> Self {
        Self {
            sent_records: counter(
                "bendhinge.gateway.stream_records_sent",
                "Records of streams that were sent to other gateways, by result",
            ),
            cuts: counter(
                "bendhinge.gateway.streams_cut",
                "Streams that ended before they were complete, by what ended them and why nothing went on with them",
            ),
            resumptions: counter(
                "bendhinge.gateway.streams_resumed",
                "Interrupted streams that went on, by who resumed them and by the software of the upstream",
            ),
            first_event: seconds(
                "bendhinge.gateway.first_event",
                "Time from a request to the first event of its stream",
                &FIRST_EVENT_BUCKETS_SECONDS,
            ),
            longest_pause: seconds(
                "bendhinge.gateway.longest_pause",
                "Longest pause between two events of each stream",
                &LONGEST_PAUSE_BUCKETS_SECONDS,
            ),
        }
    }
}

/// Ages of what a choice of an upstream is based on, once for each send.
pub(super) struct AgeHistograms {
    pub(super) list: Histogram<f64>,
    pub(super) load_report: Histogram<f64>,
    pub(super) mean_load: Histogram<f64>,
    pub(super) totals: Histogram<f64>,
}

impl AgeHistograms {
    /// Builds them with `seconds`, which takes a name, a description and bucket bounds.
    pub(super) fn new(seconds: impl Fn(&'static str, &'static str, &[f64]) -> Histogram<f64>) -> Self {
        Self {
            list: seconds(
                "bendhinge.gateway.list_age",
                "How old the knowledge of the list of upstreams was at each send",
                &LIST_AGE_BUCKETS_SECONDS,
            ),
            load_report: seconds(
                "bendhinge.gateway.load_report_age",
                "Age of the latest load report of the chosen upstream at each send",
                &LOAD_REPORT_AGE_BUCKETS_SECONDS,
            ),
            mean_load: seconds(
                "bendhinge.gateway.mean_load_age",
                "Mean age of the load reports of the pool at each send",
                &LOAD_REPORT_AGE_BUCKETS_SECONDS,
            ),
            totals: seconds(
                "bendhinge.gateway.totals_age",
                "Age of the fleet totals at each send to a plain pool",
                &LOAD_REPORT_AGE_BUCKETS_SECONDS,
            ),
        }
    }
}

/// What is counted of the exchanges with other gateways.
pub(super) struct ExchangeCounters {
    pub(super) by_result: Counter<u64>,
    pub(super) frequent: Counter<u64>,
    pub(super) sent_entries: Counter<u64>,
    pub(super) dropped_cached_parts: Counter<u64>,
}

impl ExchangeCounters {
    /// Builds them with `counter`, which takes a name and a description.
    pub(super) fn new(counter: impl Fn(&'static str, &'static str) -> Counter<u64>) -> Self {
        Self {
            by_result: counter("bendhinge.gateway.exchanges", "Exchanges with other gateways, by result"),
            frequent: counter(
                "bendhinge.gateway.frequent_exchanges",
                "Additional exchanges, because a pool was close to its load limit",
            ),
            sent_entries: counter(
                "bendhinge.gateway.peer_told",
                "Entries of messages to other gateways, by kind: what a message is made of",
            ),
            dropped_cached_parts: counter(
                "bendhinge.gateway.reads_not_told",
                "Reads of which another gateway was not told in time",
            ),
        }
    }
}

/// What is measured of permits.
pub(super) struct PermitMetrics {
    pub(super) requests: Counter<u64>,
    pub(super) wait: Histogram<f64>,
    pub(super) issued: Gauge<u64>,
}

impl PermitMetrics {
    pub(super) fn new(
        counter: impl Fn(&'static str, &'static str) -> Counter<u64>,
        gauge: impl Fn(&'static str, &'static str) -> Gauge<u64>,
        seconds: impl Fn(&'static str, &'static str, &[f64]) -> Histogram<f64>,
    ) -> Self {
        Self {
            requests: counter(
                "bendhinge.gateway.permit_requests",
                "Requests for permits to send to an upstream, by result",
            ),
            wait: seconds(
                "bendhinge.gateway.permit_wait",
                "How long requests waited for a permit",
                &PERMIT_WAIT_BUCKETS_SECONDS,
            ),
            issued: gauge("bendhinge.gateway.permits_issued", "Permits of this gateway that have not ended"),
        }
    }
}

/// Counters of partitions from upstreams and of forwarded requests.
pub(super) struct ForwardingCounters {
    pub(super) forwards: Counter<u64>,
    pub(super) received: Counter<u64>,
    pub(super) partitions: Counter<u64>,
    pub(super) link_probes: Counter<u64>,
}

impl ForwardingCounters {
    pub(super) fn new(counter: impl Fn(&'static str, &'static str) -> Counter<u64>) -> Self {
        Self {
            forwards: counter(
                "bendhinge.gateway.forwards",
                "Requests that were forwarded to another gateway, by end",
            ),
            received: counter(
                "bendhinge.gateway.forwarded_requests",
                "Requests that other gateways forwarded to this one",
            ),
            partitions: counter(
                "bendhinge.gateway.partitions",
                "Beginnings and ends of partitions from the upstreams of a pool",
            ),
            link_probes: counter(
                "bendhinge.gateway.link_probes",
                "Connections that were opened to find out whether this gateway is partitioned, by result",
            ),
        }
    }
}

/// Connections of callers that the gateway closed.
pub(super) struct CallerConnectionCounters {
    pub(super) unread: Counter<u64>,
    pub(super) refused: Counter<u64>,
    pub(super) revoked: Counter<u64>,
}

impl CallerConnectionCounters {
    /// Builds them with `counter`, which takes a name and a description.
    pub(super) fn new(counter: impl Fn(&'static str, &'static str) -> Counter<u64>) -> Self {
        Self {
            unread: counter(
                "bendhinge.gateway.answers_unread",
                "Connections of callers that were cut since these left their answers unread",
            ),
            refused: counter(
                "bendhinge.gateway.connections_refused",
                "Connections of callers that were closed since too many were open",
            ),
            revoked: counter(
                "bendhinge.gateway.connections_revoked",
                "Connections of callers that were closed since the memory of their buffers was needed elsewhere",
            ),
        }
    }
}

/// Gauges of the memory for buffers.
pub(super) struct BufferGauges {
    bytes: Gauge<u64>,
    revocations: Gauge<u64>,
}

impl BufferGauges {
    pub(super) fn new(gauge: impl Fn(&'static str, &'static str) -> Gauge<u64>) -> Self {
        Self {
            bytes: gauge(
                "bendhinge.gateway.buffered_bytes",
                "Bytes of incomplete requests and responses, and of responses that are not read yet",
            ),
            revocations: gauge(
                "bendhinge.gateway.buffers_revoked",
                "Buffers that were revoked since the start, because their memory was needed elsewhere",
            ),
        }
    }

    pub(super) fn record(&self, usage: BufferUsage) {
        self.bytes.record(usage.bytes as u64, &[]);
        self.revocations.record(usage.revocations, &[]);
    }
}

/// Gauges of what is quarantined.
pub(super) struct QuarantineGauges {
    requests: Gauge<u64>,
    parts: Gauge<u64>,
}

impl QuarantineGauges {
    pub(super) fn new(gauge: impl Fn(&'static str, &'static str) -> Gauge<u64>) -> Self {
        Self {
            requests: gauge(
                "bendhinge.gateway.quarantined",
                "Requests that are quarantined because upstreams crashed while processing them",
            ),
            parts: gauge(
                "bendhinge.gateway.quarantined_parts",
                "Parts of prompts that are quarantined because upstreams crashed under requests with them",
            ),
        }
    }

    pub(super) fn record(&self, counts: QuarantinedCounts) {
        self.requests.record(counts.requests as u64, &[]);
        self.parts.record(counts.parts as u64, &[]);
    }
}
