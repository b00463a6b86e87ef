//! Metrics of the platform's store and of what is replicated from it.

use std::time::Duration;

use bendhinge_fleet::Revision;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::{FETCH_BUCKETS_SECONDS, Metrics};

/// Result of a read of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoreReadResult {
    Answered,
    /// The answer neither updated nor confirmed a replica.
    NotApplied,
    Failed,
}

impl StoreReadResult {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotApplied => "not_applied",
            Self::Failed => "failed",
        }
    }
}

/// What is measured of the store.
pub(super) struct StoreMetrics {
    reads: Histogram<f64>,
    foreign_entries: Gauge<u64>,
    list_conflicts: Counter<u64>,
    left_out_entries: Gauge<u64>,
    refused_rules: Gauge<u64>,
}

impl StoreMetrics {
    /// Builds them with `seconds`, which takes a name, a description and bucket bounds, `counter` and `gauge`.
    pub(super) fn new(
        seconds: impl Fn(&'static str, &'static str, &[f64]) -> Histogram<f64>,
        counter: impl Fn(&'static str, &'static str) -> Counter<u64>,
        gauge: impl Fn(&'static str, &'static str) -> Gauge<u64>,
    ) -> Self {
        Self {
            reads: seconds(
                "bendhinge.gateway.store_read",
                "How long reads of the store took, by result",
                &FETCH_BUCKETS_SECONDS,
            ),
            foreign_entries: gauge(
                "bendhinge.gateway.foreign_entries",
                "Entries of the store that name no upstream, as of the last read",
            ),
            list_conflicts: counter(
                "bendhinge.gateway.list_conflicts",
                "Lists of other gateways that differed from the held one of the same revision",
            ),
            left_out_entries: gauge(
                "bendhinge.gateway.rules_entries_left_out",
                "Entries of the rules in force that cannot be used",
            ),
            refused_rules: gauge(
                "bendhinge.gateway.rules_refused_revision",
                "Revision of the last rules if they cannot be parsed, otherwise 0",
            ),
        }
    }
}

impl Metrics {
    /// Records the duration of a read of the store.
    pub(crate) fn record_store_read(&self, time: Duration, result: StoreReadResult) {
        self.store.reads.record(time.as_secs_f64(), &[KeyValue::new("result", result.as_str())]);
    }

    /// Records the number of entries of the rules that cannot be used.
    pub(crate) fn record_left_out_entries(&self, count: usize) {
        self.store.left_out_entries.record(count as u64, &[]);
    }

    /// Records the revision of rules that cannot be parsed, or 0 once others are in force.
    pub(crate) fn record_refused_rules(&self, revision: Revision) {
        self.store.refused_rules.record(revision.0, &[]);
    }

    /// Counts a list of another gateway that differs from the held one of the same revision.
    pub(crate) fn count_list_conflict(&self) {
        self.store.list_conflicts.add(1, &[]);
    }

    /// Records the number of entries of the store that describe no upstream.
    pub(crate) fn record_foreign_entries(&self, count: usize) {
        self.store.foreign_entries.record(count as u64, &[]);
    }
}
