//! The gateway's metrics; `docs/METRICS.md` lists them.

mod callers;
mod gauges;
mod groups;
mod store;

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{BodyEnd, SendOutcome};
use bendhinge_fleet::ListLoads;
use bendhinge_http::BodyFraming;
use bendhinge_peer::PeerMessage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

pub(crate) use self::gauges::GaugeValues;
use self::gauges::Gauges;
use self::groups::{
    AgeHistograms, CallerConnectionCounters, ExchangeCounters, ForwardingCounters, PermitMetrics,
    StreamMetrics,
};
pub(crate) use self::groups::{ResumedSoftware, Resumer};
use self::store::StoreMetrics;
pub(crate) use self::store::StoreReadResult;
use crate::delivery::{ConnectFailure, Cut};

/// Bucket bounds of the time to first byte. They include 1.3 s, the target of its 95th percentile.
const FIRST_BYTE_BUCKETS_SECONDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 10.0];

/// Bucket bounds of the durations of store reads and peer fetches.
const FETCH_BUCKETS_SECONDS: [f64; 8] = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];
/// State of the store that a gateway replicates, from the store or from other gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReplicaKind {
    /// The serving rules.
    Rules,
    /// The list of upstreams.
    Upstreams,
}

impl ReplicaKind {
    /// Returns the name used in log lines and metric labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Error while setting up metrics.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up metrics: {0}")]
pub(crate) struct MetricsError(String);

/// All metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    results: Counter<u64>,
    unrun: Counter<u64>,
    send_ends: Counter<u64>,
    connect_failures: Counter<u64>,
    body_ends: Counter<u64>,
    forwarding: ForwardingCounters,
    retry_decisions: Counter<u64>,
    store: StoreMetrics,
    peer_fetches: Histogram<f64>,
    ages: AgeHistograms,
    exchanges: ExchangeCounters,
    permits: PermitMetrics,
    suspected_upstreams: Counter<u64>,
    backoff_requests: Counter<u64>,
    drain_announcements: Counter<u64>,
    caller_connections: CallerConnectionCounters,
    first_byte: Histogram<f64>,
    streams: StreamMetrics,
    gauges: Gauges,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| MetricsError(error.to_string()))?;
        let resource = Resource::builder_empty().with_service_name("bendhinge-gateway").build();
        let provider = SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("bendhinge");
        let counter =
            |name: &'static str, help: &'static str| meter.u64_counter(name).with_description(help).build();
        let gauge =
            |name: &'static str, help: &'static str| meter.u64_gauge(name).with_description(help).build();
        let seconds = |name: &'static str, help: &'static str, bounds: &[f64]| {
            let histogram = meter.f64_histogram(name).with_unit("s").with_boundaries(bounds.to_vec());
            histogram.with_description(help).build()
        };
        Ok(Self {
            requests: counter("bendhinge.gateway.requests", "Requests that were sent to an upstream"),
            results: counter("bendhinge.gateway.results", "Answers made by the gateway itself, by code"),
            unrun: counter(
                "bendhinge.gateway.unrun",
                "Requests that were sent or forwarded and refused as not run, by code",
            ),
            send_ends: counter(
                "bendhinge.gateway.sends_ended",
                "Sends without an answer that was passed on, by end",
            ),
            connect_failures: counter(
                "bendhinge.gateway.connect_failures",
                "Sends for which no connection was established, by reason",
            ),
            body_ends: counter(
                "bendhinge.gateway.bodies_ended",
                "Bodies of upstreams' responses that were read, by framing and end",
            ),
            forwarding: ForwardingCounters::new(counter),
            retry_decisions: counter(
                "bendhinge.gateway.retry_decisions",
                "Retries that the retry budget allowed or denied, by decision",
            ),
            store: StoreMetrics::new(seconds, counter, gauge),
            peer_fetches: seconds(
                "bendhinge.gateway.peer_fetch",
                "How long it took to fetch rules or lists from other gateways, by result",
                &FETCH_BUCKETS_SECONDS,
            ),
            ages: AgeHistograms::new(seconds),
            exchanges: ExchangeCounters::new(counter),
            permits: PermitMetrics::new(counter, gauge, seconds),
            suspected_upstreams: counter(
                "bendhinge.gateway.upstreams_suspected",
                "Times that an upstream was spared since other gateways found that it answers nobody",
            ),
            backoff_requests: counter(
                "bendhinge.gateway.rests_asked",
                "Answers in which an upstream asked for a rest",
            ),
            caller_connections: CallerConnectionCounters::new(counter),
            drain_announcements: counter(
                "bendhinge.gateway.leavings_said",
                "Upstreams that said in an answer that they leave",
            ),
            first_byte: seconds(
                "bendhinge.gateway.first_byte",
                "Time from a request to the head of its answer",
                &FIRST_BYTE_BUCKETS_SECONDS,
            ),
            streams: StreamMetrics::new(seconds, counter),
            gauges: Gauges::new(&meter, gauge),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that is sent to an upstream.
    pub(crate) fn count_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a response that the gateway generated itself.
    pub(crate) fn count_result(&self, code: ResultCode) {
        self.results.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// Counts a request that was sent or forwarded and is refused as not run.
    pub(crate) fn count_unrun(&self, code: ResultCode) {
        self.unrun.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// Counts a send for which no connection was established.
    pub(crate) fn count_connect_failure(&self, connect_failure: ConnectFailure) {
        self.connect_failures.add(1, &[KeyValue::new("reason", connect_failure.as_str())]);
    }

    /// Counts an interrupted stream that goes on.
    pub(crate) fn count_resumption(&self, by: Resumer, software: ResumedSoftware) {
        let labels = [KeyValue::new("by", by.as_str()), KeyValue::new("software", software.as_str())];
        self.streams.resumptions.add(1, &labels);
    }

    /// Counts a stream that ended before it was complete.
    pub(crate) fn count_cut(&self, cut: &Cut) {
        let labels =
            [KeyValue::new("by", cut.cause.as_str()), KeyValue::new("not_resumed", cut.obstacle.as_str())];
        self.streams.cuts.add(1, &labels);
    }

    /// Counts records of streams that were sent to another gateway.
    pub(crate) fn count_sent_stream_records(&self, records: usize, is_received: bool) {
        let result = if is_received { "ok" } else { "failed" };
        self.streams.sent_records.add(records as u64, &[KeyValue::new("result", result)]);
    }

    /// Counts a request that was forwarded to another gateway, by how that ended.
    pub(crate) fn count_forward(&self, end: &'static str) {
        self.forwarding.forwards.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a request that another gateway forwarded to this one.
    pub(crate) fn count_forwarded_request(&self) {
        self.forwarding.received.add(1, &[]);
    }

    /// Counts the beginning or the end of a partition from a pool.
    pub(crate) fn count_partition_change(&self, is_partitioned: bool) {
        let state = if is_partitioned { "begun" } else { "over" };
        self.forwarding.partitions.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts a connection that was opened to find out whether this gateway is partitioned.
    pub(crate) fn count_link_probe(&self, is_connected: bool) {
        let result = if is_connected { "connected" } else { "failed" };
        self.forwarding.link_probes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a send whose response is not passed on.
    pub(crate) fn count_send_end(&self, end: SendOutcome) {
        self.send_ends.add(1, &[KeyValue::new("end", end.as_str())]);
    }

    /// Counts the end of a response body.
    pub(crate) fn count_body_end(&self, framing: BodyFraming, end: BodyEnd) {
        let labels = [KeyValue::new("framing", framing.as_str()), KeyValue::new("end", end.as_str())];
        self.body_ends.add(1, &labels);
    }

    /// Counts a decision on whether a retry is within the retry budget.
    pub(crate) fn count_retry_decision(&self, is_allowed: bool) {
        let decision = if is_allowed { "allowed" } else { "denied" };
        self.retry_decisions.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts a retry that was not sent and returns to the retry budget.
    pub(crate) fn count_returned_retry(&self) {
        self.retry_decisions.add(1, &[KeyValue::new("decision", "returned")]);
    }

    /// Records the duration of a fetch of a replica from another gateway.
    pub(crate) fn record_peer_fetch(&self, what: ReplicaKind, time: Duration, succeeded: bool) {
        let labels = [KeyValue::new("what", what.as_str()), result_label(succeeded)];
        self.peer_fetches.record(time.as_secs_f64(), &labels);
    }

    /// Records the age of the list of upstreams at a send.
    pub(crate) fn record_list_age(&self, age: Duration) {
        self.ages.list.record(age.as_secs_f64(), &[]);
    }

    /// Records the age of the load report of an upstream at a send to it.
    pub(crate) fn record_load_report_age(&self, age: Duration) {
        self.ages.load_report.record(age.as_secs_f64(), &[]);
    }

    /// Records the mean age of the load reports of a pool at a send to it.
    pub(crate) fn record_mean_load_age(&self, age: Duration) {
        self.ages.mean_load.record(age.as_secs_f64(), &[]);
    }

    /// Records the age of the fleet totals at a send to a plain pool.
    pub(crate) fn record_totals_age(&self, age: Duration) {
        self.ages.totals.record(age.as_secs_f64(), &[]);
    }

    /// Counts an exchange with another gateway.
    pub(crate) fn count_exchange(&self, succeeded: bool) {
        self.exchanges.by_result.add(1, &[result_label(succeeded)]);
    }

    /// Counts an additional exchange between two rounds.
    pub(crate) fn count_frequent_exchange(&self) {
        self.exchanges.frequent.add(1, &[]);
    }

    /// Records a request for a permit and how long the request waited for it.
    pub(crate) fn record_permit(&self, result: &'static str, wait: Duration) {
        self.permits.requests.add(1, &[KeyValue::new("result", result)]);
        self.permits.wait.record(wait.as_secs_f64(), &[]);
    }

    /// Sets the number of permits that this gateway has issued and that have not ended.
    pub(crate) fn set_issued_permits(&self, permits: usize) {
        self.permits.issued.record(permits as u64, &[]);
    }

    /// Counts the entries of a message to another gateway, by kind.
    pub(crate) fn count_sent_entries(&self, message: &PeerMessage) {
        let list_loads = match &message.list_loads {
            Some(ListLoads::Highest(loads)) => ("high_loads", loads.count()),
            Some(ListLoads::All(states)) => ("load_states", states.0.len() / 2),
            None => ("load_states", 0),
        };
        let entries = [
            ("members", message.members.len()),
            ("member_states", message.member_states.as_ref().map_or(0, |states| states.0.len())),
            ("loads", message.loads.len()),
            list_loads,
            ("reads", message.cached_parts.len()),
            ("doubts", message.failure_evidence.len()),
        ];
        for (kind, count) in entries.into_iter().filter(|(_, count)| *count > 0) {
            self.exchanges.sent_entries.add(count as u64, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts cached parts that were dropped before another gateway was informed of them.
    pub(crate) fn count_dropped_cached_parts(&self, count: u64) {
        if count > 0 {
            self.exchanges.dropped_cached_parts.add(count, &[]);
        }
    }

    /// Counts an ejection of an upstream that other gateways found unresponsive.
    pub(crate) fn count_suspected_upstream(&self) {
        self.suspected_upstreams.add(1, &[]);
    }

    /// Counts a response in which an upstream requested a backoff.
    pub(crate) fn count_backoff_request(&self) {
        self.backoff_requests.add(1, &[]);
    }

    /// Counts an upstream that announced in a response that it is draining.
    pub(crate) fn count_drain_announcement(&self) {
        self.drain_announcements.add(1, &[]);
    }

    /// Records the time to the head of a response.
    pub(crate) fn record_first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Records the time to the first event of a stream.
    pub(crate) fn record_first_event(&self, time: Duration) {
        self.streams.first_event.record(time.as_secs_f64(), &[]);
    }

    /// Records the longest pause of a stream.
    pub(crate) fn record_longest_pause(&self, time: Duration) {
        self.streams.longest_pause.record(time.as_secs_f64(), &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode_text(&self, gauges: &GaugeValues) -> String {
        self.gauges.record(gauges);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn result_label(succeeded: bool) -> KeyValue {
    KeyValue::new("result", if succeeded { "answered" } else { "failed" })
}
