//! Counters and gauges, by the names that `docs/METRICS.md` lists.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use bendhinge_codes::ResultCode;
use bendhinge_peer::TrafficCounters;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bounds of the histogram of first bytes; 1.3 s is what the users ask of 95 in 100.
const FIRST_BYTE_SECONDS: [f64; 12] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 10.0, 60.0];

/// Why metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up metrics: {0}")]
pub(crate) struct MetricsError(String);

/// A value that is set from time to time and read when metrics are gathered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gauge(Arc<AtomicI64>);

impl Gauge {
    pub(crate) fn set(&self, value: u64) {
        self.0.store(i64::try_from(value).unwrap_or(i64::MAX), Ordering::Relaxed);
    }

    fn get(&self) -> i64 {
        self.0.load(Ordering::Relaxed)
    }

    fn register(&self, meter: &Meter, name: &'static str, help: &'static str) {
        let gauge = self.clone();
        let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<i64>| {
            observer.observe(gauge.get(), &[]);
        };
        meter.i64_observable_gauge(name).with_description(help).with_callback(observe).build();
    }
}

/// All instruments of a router.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    pub(crate) requests: Counter<u64>,
    pub(crate) results: Counter<u64>,
    pub(crate) placements: Counter<u64>,
    pub(crate) attempts_failed: Counter<u64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) permits: Counter<u64>,
    pub(crate) claims: Counter<u64>,
    pub(crate) callers_left: Counter<u64>,
    pub(crate) documents_refused: Counter<u64>,
    pub(crate) platform_reads: Counter<u64>,
    pub(crate) exchanges: Counter<u64>,
    pub(crate) first_byte: Histogram<f64>,
    pub(crate) in_progress: Gauge,
    pub(crate) configuration_revision: Gauge,
    pub(crate) list_revision: Gauge,
    pub(crate) counting_routers: Gauge,
    pub(crate) permits_outstanding: Gauge,
    pub(crate) freezes: Gauge,
    pub(crate) skew_percent: Gauge,
    pub(crate) once_keys: Gauge,
}

impl Metrics {
    pub(crate) fn new(traffic: &Arc<TrafficCounters>) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| MetricsError(error.to_string()))?;
        let resource = Resource::builder().with_service_name("bendhinge-router").build();
        let provider = SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("bendhinge");
        observe_traffic(&meter, traffic);
        let counter =
            |name: &'static str, help: &'static str| meter.u64_counter(name).with_description(help).build();
        let gauge = |name, help| {
            let gauge = Gauge::default();
            gauge.register(&meter, name, help);
            gauge
        };
        Ok(Self {
            requests: counter("bendhinge.requests", "Requests by pool and class"),
            results: counter("bendhinge.results", "Answers made by the router itself, by code"),
            placements: counter("bendhinge.placements", "Upstreams chosen, by reason"),
            attempts_failed: counter("bendhinge.attempts_failed", "Attempts without a whole answer, by end"),
            retries: counter("bendhinge.retries", "Second and further attempts"),
            permits: counter("bendhinge.permits", "Permits asked for, by answer"),
            claims: counter("bendhinge.once_claims", "Claims of idempotency keys decided here, by decision"),
            callers_left: counter("bendhinge.callers_left", "Requests whose caller went away"),
            documents_refused: counter("bendhinge.documents_refused", "Configurations refused, by reason"),
            platform_reads: counter("bendhinge.platform_reads", "Calls to the platform, by result"),
            exchanges: counter("bendhinge.exchanges", "Exchanges with other routers, by result"),
            first_byte: meter
                .f64_histogram("bendhinge.first_byte")
                .with_unit("s")
                .with_boundaries(FIRST_BYTE_SECONDS.to_vec())
                .with_description("Time to an upstream's answer")
                .build(),
            in_progress: gauge("bendhinge.requests_in_progress", "Requests in progress in this router"),
            configuration_revision: gauge("bendhinge.configuration_revision", "Revision in force"),
            list_revision: gauge("bendhinge.list_revision", "Revision of the platform's list"),
            counting_routers: gauge("bendhinge.counting_routers", "Routers that count for upstreams"),
            permits_outstanding: gauge("bendhinge.permits_outstanding", "Permits given out by this router"),
            freezes: gauge("bendhinge.freezes", "Times that this router found it had been frozen"),
            skew_percent: gauge(
                "bendhinge.skew_percent",
                "Highest load over mean load, worst pool, as known here",
            ),
            once_keys: gauge("bendhinge.once_keys", "Idempotency keys kept here"),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answer that the router made itself.
    pub(crate) fn result(&self, code: ResultCode) {
        self.results.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// All metrics in Prometheus' text form.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn observe_traffic(meter: &Meter, traffic: &Arc<TrafficCounters>) {
    let observe = |name: &'static str, help: &'static str, read: fn(&TrafficCounters) -> u64| {
        let traffic = Arc::clone(traffic);
        let callback = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            observer.observe(read(&traffic), &[]);
        };
        meter.u64_observable_counter(name).with_description(help).with_callback(callback).build();
    };
    observe("bendhinge.peer_sent_bytes", "Bytes sent to other routers", TrafficCounters::sent_bytes);
    observe(
        "bendhinge.peer_received_bytes",
        "Bytes received from other routers",
        TrafficCounters::received_bytes,
    );
    observe(
        "bendhinge.peer_foreign",
        "Connections dropped as foreign or replayed",
        TrafficCounters::rejected_connections,
    );
}
