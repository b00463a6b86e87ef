//! Counters and a histogram, by the names that `docs/METRICS.md` lists.

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::SendOutcome;
use bendhinge_fleet::ListLoads;
use bendhinge_peer::PeerMessage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bounds of the histogram of first bytes; 1.3 s is what the users ask of 95 in 100.
const FIRST_BYTE_SECONDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 10.0];

/// Bounds of the histograms of how long reads and fetches take.
const FETCH_SECONDS: [f64; 8] = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];
/// Bounds of the histogram of ages; platforms want upstreams that leave spared within two or three seconds.
const LIST_AGE_SECONDS: [f64; 8] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 5.0, 10.0];

/// What a gateway believes of the store, and fetches from others.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Believed {
    /// The serving rules.
    Rules,
    /// The list of upstreams.
    Upstreams,
}

impl Believed {
    /// The word for logs and labels.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Why metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up metrics: {0}")]
pub(crate) struct MetricsError(String);

/// What is measured when metrics are asked for.
pub(crate) struct MeasuredNow {
    pub(crate) in_progress: usize,
    pub(crate) rules_age: Option<Duration>,
    pub(crate) peer_connections: u64,
    pub(crate) peer_sent_bytes: u64,
    pub(crate) quarantined: usize,
    pub(crate) upstreams_resting: usize,
}

/// All instruments of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    results: Counter<u64>,
    sends_ended: Counter<u64>,
    store_reads: Histogram<f64>,
    peer_fetches: Histogram<f64>,
    list_age: Histogram<f64>,
    exchanges: Counter<u64>,
    told: Counter<u64>,
    reads_not_told: Counter<u64>,
    upstreams_suspected: Counter<u64>,
    rests_asked: Counter<u64>,
    leavings_said: Counter<u64>,
    answers_unread: Counter<u64>,
    first_byte: Histogram<f64>,
    in_progress: Gauge<u64>,
    rules_age: Gauge<f64>,
    peer_connections: Gauge<u64>,
    peer_sent_bytes: Gauge<u64>,
    quarantined: Gauge<u64>,
    upstreams_resting: Gauge<u64>,
    foreign_entries: Gauge<u64>,
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
        let seconds = |name: &'static str, help: &'static str, bounds: &[f64]| {
            let histogram = meter.f64_histogram(name).with_unit("s").with_boundaries(bounds.to_vec());
            histogram.with_description(help).build()
        };
        Ok(Self {
            requests: counter("bendhinge.gateway.requests", "Requests that were sent to an upstream"),
            results: counter("bendhinge.gateway.results", "Answers made by the gateway itself, by code"),
            sends_ended: counter(
                "bendhinge.gateway.sends_ended",
                "Sends without an answer that was passed on, by end",
            ),
            store_reads: seconds(
                "bendhinge.gateway.store_read",
                "How long reads of the store took, by result",
                &FETCH_SECONDS,
            ),
            peer_fetches: seconds(
                "bendhinge.gateway.peer_fetch",
                "How long it took to fetch rules or lists from other gateways, by result",
                &FETCH_SECONDS,
            ),
            list_age: seconds(
                "bendhinge.gateway.list_age",
                "How old the knowledge of the list of upstreams was at each send",
                &LIST_AGE_SECONDS,
            ),
            told: counter(
                "bendhinge.gateway.peer_told",
                "Entries of messages to other gateways, by kind: what a message is made of",
            ),
            reads_not_told: counter(
                "bendhinge.gateway.reads_not_told",
                "Reads of which another gateway was not told in time",
            ),
            exchanges: counter("bendhinge.gateway.exchanges", "Exchanges with other gateways, by result"),
            upstreams_suspected: counter(
                "bendhinge.gateway.upstreams_suspected",
                "Times that an upstream was spared since other gateways found that it answers nobody",
            ),
            rests_asked: counter(
                "bendhinge.gateway.rests_asked",
                "Answers in which an upstream asked for a rest",
            ),
            answers_unread: counter(
                "bendhinge.gateway.answers_unread",
                "Connections of callers that were cut since these left their answers unread",
            ),
            leavings_said: counter(
                "bendhinge.gateway.leavings_said",
                "Upstreams that said in an answer that they leave",
            ),
            first_byte: seconds(
                "bendhinge.gateway.first_byte",
                "Time from a request to the head of its answer",
                &FIRST_BYTE_SECONDS,
            ),
            in_progress: meter
                .u64_gauge("bendhinge.gateway.requests_in_progress")
                .with_description("Requests in progress")
                .build(),
            rules_age: meter
                .f64_gauge("bendhinge.gateway.rules_age")
                .with_unit("s")
                .with_description("Age of the knowledge that the rules are current")
                .build(),
            foreign_entries: meter
                .u64_gauge("bendhinge.gateway.foreign_entries")
                .with_description("Entries of the store that name no upstream, as of the last read")
                .build(),
            quarantined: meter
                .u64_gauge("bendhinge.gateway.quarantined")
                .with_description("Requests that are kept from upstreams since these crashed under them")
                .build(),
            upstreams_resting: meter
                .u64_gauge("bendhinge.gateway.upstreams_resting")
                .with_description("Upstreams that are spared since they asked for a rest")
                .build(),
            peer_connections: meter
                .u64_gauge("bendhinge.gateway.peer_connections")
                .with_description("Open connections with other gateways, in both directions")
                .build(),
            peer_sent_bytes: meter
                .u64_gauge("bendhinge.gateway.peer_sent_bytes")
                .with_description("Bytes sent to other gateways since the start, without TCP's own")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that is sent.
    pub(crate) fn request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts an answer that the gateway made itself.
    pub(crate) fn result(&self, code: ResultCode) {
        self.results.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// Counts a send without an answer that was passed on.
    pub(crate) fn send_ended(&self, end: SendOutcome) {
        self.sends_ended.add(1, &[KeyValue::new("end", end.as_str())]);
    }

    /// Notes how long a read of the store took.
    pub(crate) fn store_read(&self, time: Duration, answered: bool) {
        self.store_reads.record(time.as_secs_f64(), &[result_label(answered)]);
    }

    /// Notes how long another gateway was asked for what the store told it.
    pub(crate) fn peer_fetch(&self, what: Believed, time: Duration, answered: bool) {
        let labels = [KeyValue::new("what", what.as_str()), result_label(answered)];
        self.peer_fetches.record(time.as_secs_f64(), &labels);
    }

    /// Notes how old the list of upstreams was at a send.
    pub(crate) fn list_age(&self, age: Duration) {
        self.list_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts an exchange with another gateway.
    pub(crate) fn exchange(&self, answered: bool) {
        self.exchanges.add(1, &[result_label(answered)]);
    }

    /// Counts what a message to another gateway holds.
    pub(crate) fn told(&self, message: &PeerMessage) {
        let list_loads = match &message.list_loads {
            Some(ListLoads::Highest(loads)) => ("high_loads", loads.count()),
            Some(ListLoads::Each(states)) => ("load_states", states.0.len() / 2),
            None => ("load_states", 0),
        };
        let entries = [
            ("members", message.members.len()),
            ("member_states", message.member_states.as_ref().map_or(0, |states| states.0.len())),
            ("loads", message.loads.len()),
            list_loads,
            ("reads", message.reads.len()),
            ("doubts", message.doubts.len()),
        ];
        for (kind, count) in entries.into_iter().filter(|(_, count)| *count > 0) {
            self.told.add(count as u64, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts reads of which another gateway is not told any more.
    pub(crate) fn reads_not_told(&self, count: u64) {
        if count > 0 {
            self.reads_not_told.add(count, &[]);
        }
    }

    /// Counts an upstream that is spared since others found that it answers nobody.
    pub(crate) fn upstream_suspected(&self) {
        self.upstreams_suspected.add(1, &[]);
    }

    /// Counts an answer in which an upstream asked for a rest.
    pub(crate) fn rest_asked(&self) {
        self.rests_asked.add(1, &[]);
    }

    /// Counts an upstream that said in an answer that it leaves.
    pub(crate) fn answer_unread(&self) {
        self.answers_unread.add(1, &[]);
    }

    pub(crate) fn leaving_said(&self) {
        self.leavings_said.add(1, &[]);
    }

    /// Notes how many entries of the store were of other writers.
    pub(crate) fn foreign_entries(&self, count: usize) {
        self.foreign_entries.record(count as u64, &[]);
    }

    /// Notes how long the head of an answer took.
    pub(crate) fn first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// All metrics in Prometheus' text form.
    pub(crate) fn text(&self, now: &MeasuredNow) -> String {
        self.in_progress.record(now.in_progress as u64, &[]);
        self.peer_connections.record(now.peer_connections, &[]);
        self.peer_sent_bytes.record(now.peer_sent_bytes, &[]);
        self.quarantined.record(now.quarantined as u64, &[]);
        self.upstreams_resting.record(now.upstreams_resting as u64, &[]);
        if let Some(age) = now.rules_age {
            self.rules_age.record(age.as_secs_f64(), &[]);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn result_label(answered: bool) -> KeyValue {
    KeyValue::new("result", if answered { "answered" } else { "failed" })
}
