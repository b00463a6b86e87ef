//! Structured logs: a line for each decision that touches a request or changes what is believed.

mod request;

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::SendOutcome;
use bendhinge_fleet::{Origin, Version};
use bendhinge_ids::{DataCentreName, PoolName, RequestDigest, UpstreamName};
use bendhinge_peer::CallError;
use serde::Serialize;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Record, StringBuf, ThreadPool};

pub(crate) use self::request::RequestLine;
use crate::metrics::Believed;

/// Lines that may wait to be written; further ones are dropped and counted.
const MOST_WAITING: usize = 1_024;

/// How many lines were handed over, written and dropped.
#[derive(Debug, Default)]
struct Counts {
    accepted: AtomicUsize,
    written: AtomicUsize,
    dropped: AtomicUsize,
}

/// Writes lines as they are, and counts them.
#[derive(Clone)]
struct LineFormatter(Arc<Counts>);

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        text: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        self.0.written.fetch_add(1, Ordering::Relaxed);
        text.push_str(record.payload());
        text.push('\n');
        Ok(())
    }
}

/// Writes lines on a thread of its own, so that nobody waits for whoever reads them; cheap to
/// clone.
#[derive(Clone)]
pub(crate) struct Log {
    logger: Arc<spdlog::Logger>,
    counts: Arc<Counts>,
}

/// A line, as JSON.
#[derive(Serialize)]
struct Line<'a, T> {
    t: u64,
    event: &'a str,
    #[serde(flatten)]
    fields: T,
}

impl Log {
    /// A log to standard output.
    pub(crate) fn new() -> Result<Self, spdlog::Error> {
        let counts = Arc::new(Counts::default());
        let formatter = LineFormatter(Arc::clone(&counts));
        let output = StdStreamSink::builder().stdout().formatter(formatter).build_arc()?;
        let capacity = NonZeroUsize::MIN.saturating_add(2 * MOST_WAITING);
        let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
        let sink = AsyncPoolSink::builder()
            .sink(output)
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()?;
        let logger = spdlog::Logger::builder().sink(sink).build_arc()?;
        Ok(Self { logger, counts })
    }

    fn line(&self, event: &str, fields: impl Serialize) {
        let accepted = self.counts.accepted.load(Ordering::Relaxed);
        let waiting = accepted.saturating_sub(self.counts.written.load(Ordering::Relaxed));
        if waiting >= MOST_WAITING {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.write("lines_dropped", Dropped { dropped });
        }
        self.write(event, fields);
    }

    fn write(&self, event: &str, fields: impl Serialize) {
        let line = Line { t: bendhinge_clock::now().0 / 1_000, event, fields };
        if let Ok(text) = serde_json::to_string(&line) {
            self.counts.accepted.fetch_add(1, Ordering::Relaxed);
            spdlog::info!(logger: self.logger, "{text}");
        }
    }

    /// The process began, ends, or read its settings anew.
    pub(crate) fn process(&self, event: &str, name: &str, detail: &str) {
        #[derive(Serialize)]
        struct Fields<'a> {
            name: &'a str,
            detail: &'a str,
        }
        self.line(event, Fields { name, detail });
    }

    /// The process listens.
    pub(crate) fn listening(&self, what: &str, address: SocketAddr) {
        #[derive(Serialize)]
        struct Fields<'a> {
            what: &'a str,
            address: SocketAddr,
        }
        self.line("listening", Fields { what, address });
    }

    /// A belief changed: which version is held now, from where, as of how long ago.
    pub(crate) fn belief(&self, what: Believed, version: Version, from: Origin, age: Duration) {
        #[derive(Serialize)]
        struct Fields {
            what: &'static str,
            revision: u64,
            digest: String,
            from: &'static str,
            age_ms: u64,
        }
        let digest = format!("{:016x}", version.digest);
        let (what, from, age_ms) = (what.as_str(), from.as_str(), millis(age));
        self.line("belief", Fields { what, revision: version.revision.0, digest, from, age_ms });
    }

    /// Another gateway holds something newer and did not hand it over.
    pub(crate) fn fetch_failed(&self, what: Believed, from: SocketAddr, took: Duration, error: &CallError) {
        #[derive(Serialize)]
        struct Fields {
            what: &'static str,
            from: SocketAddr,
            ms: u64,
            error: String,
        }
        let fields = Fields { what: what.as_str(), from, ms: millis(took), error: error.to_string() };
        self.line("fetch_failed", fields);
    }

    /// Something that the process depends on was lost or found again.
    pub(crate) fn dependency(&self, what: &str, is_there: bool, detail: &str) {
        #[derive(Serialize)]
        struct Fields<'a> {
            what: &'a str,
            there: bool,
            detail: &'a str,
        }
        self.line("dependency", Fields { what, there: is_there, detail });
    }

    /// It was learned what upstreams keep.
    pub(crate) fn recovered(&self, from: &str, address: SocketAddr, parts: usize) {
        #[derive(Serialize)]
        struct Fields<'a> {
            from: &'a str,
            address: SocketAddr,
            parts: usize,
        }
        self.line("recovered", Fields { from, address, parts });
    }

    /// An entry of the store names no upstream, since something is wrong with it, or it is there no more.
    pub(crate) fn foreign_entry(&self, key: &str, why: Option<&str>) {
        #[derive(Serialize)]
        struct Fields<'a> {
            key: &'a str,
            why: Option<&'a str>,
        }
        self.line("foreign_entry", Fields { key, why });
    }

    /// An upstream is spared for a while.
    pub(crate) fn upstream_rests(&self, upstream: &UpstreamName, end: SendOutcome) {
        #[derive(Serialize)]
        struct Fields<'a> {
            upstream: &'a str,
            end: &'a str,
        }
        self.line("upstream_rests", Fields { upstream: upstream.as_str(), end: end.as_str() });
    }

    /// An upstream asked for so long a `rest`, and is `spared` for so long.
    pub(crate) fn rest_asked(
        &self,
        request: Option<&str>,
        upstream: &UpstreamName,
        rest: Duration,
        spared: Duration,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: Option<&'a str>,
            upstream: &'a str,
            rest_ms: u64,
            spared_ms: u64,
        }
        let (rest_ms, spared_ms) = (millis(rest), millis(spared));
        self.line("rest_asked", Fields { request, upstream: upstream.as_str(), rest_ms, spared_ms });
    }

    /// An upstream said in an answer that it leaves, for the first time.
    pub(crate) fn leaving_said(&self, request: Option<&str>, upstream: &UpstreamName) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: Option<&'a str>,
            upstream: &'a str,
        }
        self.line("leaving_said", Fields { request, upstream: upstream.as_str() });
    }

    /// An upstream is spared for a while, since others found that it answers nobody.
    pub(crate) fn upstream_suspected(&self, upstream: &UpstreamName, told_by: SocketAddr) {
        #[derive(Serialize)]
        struct Fields<'a> {
            upstream: &'a str,
            told_by: SocketAddr,
        }
        self.line("upstream_suspected", Fields { upstream: upstream.as_str(), told_by });
    }

    /// An upstream crashed under a request, which `crashes` are held against now.
    pub(crate) fn crash(
        &self,
        request: &str,
        digest: RequestDigest,
        upstream: &UpstreamName,
        crashes: usize,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            digest: String,
            upstream: &'a str,
            crashes: usize,
        }
        let fields = Fields { request, digest: digest.to_string(), upstream: upstream.as_str(), crashes };
        self.line("crash", fields);
    }

    /// Another gateway told of crashes under a request, or that they count no more.
    pub(crate) fn suspicion_heard(&self, digest: RequestDigest, crashes: usize, from: SocketAddr) {
        #[derive(Serialize)]
        struct Fields {
            digest: String,
            crashes: usize,
            told_by: SocketAddr,
        }
        self.line("suspicion_heard", Fields { digest: digest.to_string(), crashes, told_by: from });
    }

    /// Nothing is held against a request any more; before, so many crashes were.
    pub(crate) fn suspicion_over(&self, digest: RequestDigest, why: &str, crashes: usize) {
        #[derive(Serialize)]
        struct Fields<'a> {
            digest: String,
            why: &'a str,
            crashes: usize,
        }
        self.line("suspicion_over", Fields { digest: digest.to_string(), why, crashes });
    }

    /// A caller's connection was cut since it left its answer unread.
    pub(crate) fn answer_unread(&self, caller: SocketAddr) {
        #[derive(Serialize)]
        struct Fields {
            caller: SocketAddr,
        }
        self.line("answer_unread", Fields { caller });
    }

    /// Requests to a pool are paced from now on, at so many a second, or no more.
    pub(crate) fn pace(&self, pool: &PoolName, per_second: Option<f64>) {
        #[derive(Serialize)]
        struct Fields<'a> {
            pool: &'a str,
            per_second: Option<f64>,
        }
        self.line("pace", Fields { pool: pool.as_str(), per_second });
    }

    /// These data centres are drained now, and no others.
    pub(crate) fn drained(&self, drained: &[DataCentreName], from: Origin) {
        #[derive(Serialize)]
        struct Fields<'a> {
            data_centres: &'a [DataCentreName],
            from: &'static str,
        }
        self.line("drained", Fields { data_centres: drained, from: from.as_str() });
    }

    /// A request that was answered before it was sent anywhere.
    pub(crate) fn refused(
        &self,
        request: &str,
        code: ResultCode,
        digest: Option<RequestDigest>,
        rules_age: Option<Duration>,
        retry_after: Option<Duration>,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            code: String,
            #[serde(skip_serializing_if = "Option::is_none")]
            digest: Option<String>,
            rules_age_ms: Option<u64>,
            #[serde(skip_serializing_if = "Option::is_none")]
            retry_after_ms: Option<u64>,
        }
        let fields = Fields {
            request,
            code: code.to_string(),
            digest: digest.map(|digest| digest.to_string()),
            rules_age_ms: rules_age.map(millis),
            retry_after_ms: retry_after.map(millis),
        };
        self.line("refused", fields);
    }
}

#[derive(Serialize)]
struct Dropped {
    dropped: usize,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
