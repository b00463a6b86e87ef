//! Structured logging: one JSON line for each decision about a request and for each change of
//! replicated state.

mod partition;
mod quarantine;
mod queue;
mod request;
mod sends;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_admission::engine::EnginePoolLoad;
use bendhinge_codes::ResultCode;
use bendhinge_delivery::SendOutcome;
use bendhinge_fleet::{Origin, Version};
use bendhinge_ids::{DataCentreName, PoolName, UpstreamName};
use bendhinge_peer::CallError;
use bendhinge_routes::LeftOutEntry;
use serde::Serialize;
use spdlog::ThreadPool;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};

use self::queue::{CountingSink, LineFormatter, LinePriority, LineQueue};
pub(crate) use self::request::RequestLogEntry;
use crate::admission::RefusalCounts;
use crate::metrics::ReplicaKind;
use crate::quarantine::Suspect;

/// Asynchronous log writer, so that a slow reader of standard output blocks no request; cheap to
/// clone.
#[derive(Clone)]
pub(crate) struct Log {
    logger: Arc<spdlog::Logger>,
    queue: Arc<LineQueue>,
}

/// The JSON form of a log line.
#[derive(Serialize)]
struct Line<'a, T> {
    t: u64,
    event: &'a str,
    #[serde(flatten)]
    fields: T,
}

impl Log {
    /// Creates a log that writes to standard output.
    pub(crate) fn new() -> Result<Self, spdlog::Error> {
        let queue = Arc::new(LineQueue::default());
        let output = StdStreamSink::builder().stdout().formatter(LineFormatter).build_arc()?;
        let pool = ThreadPool::builder().capacity(LineQueue::CAPACITY).build_arc()?;
        let sink = AsyncPoolSink::builder()
            .sink(Arc::new(CountingSink::new(output, Arc::clone(&queue))))
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()?;
        let logger = spdlog::Logger::builder().sink(sink).build_arc()?;
        Ok(Self { logger, queue })
    }

    fn log_event(&self, event: &str, fields: impl Serialize) {
        self.log_with_priority(event, fields, LinePriority::Usual);
    }

    fn log_with_priority(&self, event: &str, fields: impl Serialize, priority: LinePriority) {
        if !self.queue.has_room(priority) {
            self.queue.count_dropped();
            return;
        }
        let dropped = self.queue.take_unreported();
        if dropped > 0 {
            self.write_line("lines_dropped", DroppedLines { dropped });
        }
        self.write_line(event, fields);
    }

    fn write_line(&self, event: &str, fields: impl Serialize) {
        let line = Line { t: bendhinge_clock::now().0 / 1_000, event, fields };
        if let Ok(text) = serde_json::to_string(&line) {
            self.queue.count_queued(text.len());
            spdlog::info!(logger: self.logger, "{text}");
        }
    }

    /// Waits until the lines queued so far are written, for a short time at most.
    pub(crate) async fn flush(&self) {
        self.queue.flush().await;
    }

    /// Returns the number of lines dropped since the start.
    pub(crate) fn dropped_lines(&self) -> usize {
        self.queue.dropped()
    }

    /// Logs an event of the process, such as its start, stop or a reload of its settings.
    pub(crate) fn process_event(&self, event: &str, name: &str, detail: &str) {
        #[derive(Serialize)]
        struct Fields<'a> {
            name: &'a str,
            detail: &'a str,
        }
        self.log_event(event, Fields { name, detail });
    }

    /// Logs that the process listens on an address.
    pub(crate) fn listening(&self, what: &str, address: SocketAddr) {
        #[derive(Serialize)]
        struct Fields<'a> {
            what: &'a str,
            address: SocketAddr,
        }
        self.log_event("listening", Fields { what, address });
    }

    /// Logs the version, origin and age of a replica that was updated.
    pub(crate) fn replica_updated(&self, what: ReplicaKind, version: Version, from: Origin, age: Duration) {
        #[derive(Serialize)]
        struct Fields {
            what: &'static str,
            revision: u64,
            digest: String,
            from: &'static str,
            age_ms: u64,
        }
        let digest = format!("{:016x}", version.digest);
        let (what, from, age_ms) = (what.as_str(), from.as_str(), whole_millis(age));
        self.log_event("belief", Fields { what, revision: version.revision.0, digest, from, age_ms });
    }

    /// Logs that fetching a newer replica from another gateway failed.
    pub(crate) fn peer_fetch_failed(
        &self,
        what: ReplicaKind,
        from: SocketAddr,
        duration: Duration,
        error: &CallError,
    ) {
        #[derive(Serialize)]
        struct Fields {
            what: &'static str,
            from: SocketAddr,
            ms: u64,
            error: String,
        }
        let fields =
            Fields { what: what.as_str(), from, ms: whole_millis(duration), error: error.to_string() };
        self.log_event("fetch_failed", fields);
    }

    /// Logs an entry of the rules that cannot be used.
    pub(crate) fn rules_entry(&self, entry: &LeftOutEntry) {
        #[derive(Serialize)]
        struct Fields<'a> {
            code: String,
            kind: &'static str,
            name: &'a str,
            why: &'a str,
        }
        let (name, why) = (truncate(&entry.name), truncate(&entry.reason));
        let code = ResultCode::InvalidValue.to_string();
        self.log_event("rules_entry", Fields { code, kind: entry.kind.as_str(), name, why });
    }

    /// Logs that a peer's list of upstreams differs from the held one of the same revision.
    pub(crate) fn list_conflict(&self, peer: SocketAddr, version: Version, held_digest: u64) {
        #[derive(Serialize)]
        struct Fields {
            peer: SocketAddr,
            revision: u64,
            digest: String,
            held_digest: String,
        }
        let hex = |digest: u64| format!("{digest:016x}");
        let (digest, held_digest) = (hex(version.digest), hex(held_digest));
        self.log_event("list_conflict", Fields { peer, revision: version.revision.0, digest, held_digest });
    }

    /// Logs that a dependency became unavailable or available again.
    pub(crate) fn dependency_changed(&self, what: &str, is_available: bool, detail: &str) {
        #[derive(Serialize)]
        struct Fields<'a> {
            what: &'a str,
            there: bool,
            detail: &'a str,
        }
        self.log_event("dependency", Fields { what, there: is_available, detail });
    }

    /// Logs how many prompt parts were learned as cached at upstreams.
    pub(crate) fn cached_parts_recovered(&self, from: &str, address: SocketAddr, parts: usize) {
        #[derive(Serialize)]
        struct Fields<'a> {
            from: &'a str,
            address: SocketAddr,
            parts: usize,
        }
        self.log_event("recovered", Fields { from, address, parts });
    }

    /// Logs an entry of the store that describes no upstream. `why` is `None` when the entry was removed.
    pub(crate) fn foreign_entry_changed(&self, key: &str, why: Option<&str>) {
        #[derive(Serialize)]
        struct Fields<'a> {
            key: &'a str,
            why: Option<&'a str>,
        }
        self.log_event("foreign_entry", Fields { key, why });
    }

    /// Logs that an upstream was ejected because of a failed send.
    pub(crate) fn upstream_ejected(&self, upstream: &UpstreamName, end: SendOutcome) {
        #[derive(Serialize)]
        struct Fields<'a> {
            upstream: &'a str,
            end: &'a str,
        }
        self.log_event("upstream_rests", Fields { upstream: upstream.as_str(), end: end.as_str() });
    }

    /// Logs the backoff that an upstream requested and the one that the gateway applies.
    pub(crate) fn backoff_requested(
        &self,
        request: Option<&str>,
        upstream: &UpstreamName,
        requested: Duration,
        applied: Duration,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: Option<&'a str>,
            upstream: &'a str,
            rest_ms: u64,
            spared_ms: u64,
        }
        let (rest_ms, spared_ms) = (whole_millis(requested), whole_millis(applied));
        self.log_event("rest_asked", Fields { request, upstream: upstream.as_str(), rest_ms, spared_ms });
    }

    /// Logs the first response in which an upstream announced that it is draining.
    pub(crate) fn drain_announced(&self, request: Option<&str>, upstream: &UpstreamName) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: Option<&'a str>,
            upstream: &'a str,
        }
        self.log_event("leaving_said", Fields { request, upstream: upstream.as_str() });
    }

    /// Logs that an upstream was ejected because other gateways found it unresponsive.
    pub(crate) fn upstream_suspected(&self, upstream: &UpstreamName, peer: SocketAddr) {
        #[derive(Serialize)]
        struct Fields<'a> {
            upstream: &'a str,
            told_by: SocketAddr,
        }
        self.log_event("upstream_suspected", Fields { upstream: upstream.as_str(), told_by: peer });
    }

    /// Logs that a caller's connection was closed because the caller did not read its response.
    pub(crate) fn slow_caller_disconnected(&self, caller: SocketAddr) {
        #[derive(Serialize)]
        struct Fields {
            caller: SocketAddr,
        }
        self.log_event("answer_unread", Fields { caller });
    }

    /// Logs that a caller's connection was closed because the memory of its buffers was needed elsewhere.
    pub(crate) fn caller_connection_revoked(&self, caller: SocketAddr) {
        #[derive(Serialize)]
        struct Fields {
            caller: SocketAddr,
            code: String,
        }
        self.log_event("buffers_revoked", Fields { caller, code: ResultCode::BuffersFull.to_string() });
    }

    /// Logs a change of a pool's rate limit; `None` means that it was lifted.
    pub(crate) fn rate_limit_changed(&self, pool: &PoolName, per_second: Option<f64>) {
        #[derive(Serialize)]
        struct Fields<'a> {
            pool: &'a str,
            per_second: Option<f64>,
        }
        self.log_event("pace", Fields { pool: pool.as_str(), per_second });
    }

    /// Logs that admission to a pool of engines refuses requests because the pool is nearly full.
    pub(crate) fn admission_limited(&self, pool: &PoolName, load: &EnginePoolLoad) {
        #[derive(Serialize)]
        struct Fields<'a> {
            pool: &'a str,
            limited: bool,
            upstreams: u32,
            slots: u32,
            in_progress: u32,
            wait_ms: Option<u64>,
        }
        let EnginePoolLoad { upstreams, slots, in_progress, predicted_wait, .. } = *load;
        let fields = Fields {
            pool: pool.as_str(),
            limited: true,
            upstreams,
            slots,
            in_progress,
            wait_ms: predicted_wait.map(whole_millis),
        };
        self.log_event("admission", fields);
    }

    /// Logs that admission to a pool of engines has refused no request for some seconds, and the refusals before.
    pub(crate) fn admission_unlimited(&self, pool: &PoolName, refused: RefusalCounts) {
        #[derive(Serialize)]
        struct Fields<'a> {
            pool: &'a str,
            limited: bool,
            no_room: u32,
            over_share: u32,
            deadline: u32,
        }
        let RefusalCounts { no_room, over_share, deadline } = refused;
        let fields = Fields { pool: pool.as_str(), limited: false, no_room, over_share, deadline };
        self.log_event("admission", fields);
    }

    /// Logs the full set of drained data centres after a change.
    pub(crate) fn drained_data_centres_changed(&self, drained: &[DataCentreName], from: Origin) {
        #[derive(Serialize)]
        struct Fields<'a> {
            data_centres: &'a [DataCentreName],
            from: &'static str,
        }
        self.log_event("drained", Fields { data_centres: drained, from: from.as_str() });
    }

    /// Logs a request that the gateway refused without sending it to an upstream.
    pub(crate) fn request_refused(
        &self,
        request: &str,
        code: ResultCode,
        suspect: Option<Suspect>,
        rules_age: Option<Duration>,
        retry_after: Option<Duration>,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            code: String,
            #[serde(skip_serializing_if = "Option::is_none")]
            digest: Option<String>,
            #[serde(skip_serializing_if = "Option::is_none")]
            part: Option<String>,
            rules_age_ms: Option<u64>,
            #[serde(skip_serializing_if = "Option::is_none")]
            retry_after_ms: Option<u64>,
        }
        let (digest, part) = match suspect {
            Some(Suspect::Request(digest)) => (Some(digest.to_string()), None),
            Some(Suspect::Part(part)) => (None, Some(part.to_string())),
            None => (None, None),
        };
        let fields = Fields {
            request,
            code: code.to_string(),
            digest,
            part,
            rules_age_ms: rules_age.map(whole_millis),
            retry_after_ms: retry_after.map(whole_millis),
        };
        self.log_event("refused", fields);
    }
}

#[derive(Serialize)]
struct DroppedLines {
    dropped: usize,
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Truncates a text of the rules to a length suitable for a log line.
fn truncate(text: &str) -> &str {
    const MAX_TEXT_BYTES: usize = 160;
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
