//! Detects whether an upstream crashed after a connection to it was lost.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::UpstreamEntry;
use bendhinge_http::ConnectError;
use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;
use smol::Timer;
use smol::lock::OnceCell;

use super::race::SendRecord;
use super::{DeliveryContext, InboundRequest};
use crate::quarantine::CrashedSend;

/// The time within which a terminating process closes all its sockets. Connections to an upstream that are
/// lost within this time share one probe.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(10);

/// The time from the first event of a response to a crash up to which a part of the prompt may be to blame. Such a part
/// crashes the upstream when the response begins.
const MAX_TIME_TO_CRASH: Duration = Duration::from_secs(2);

/// A probe of an upstream, shared by all connections that are lost up to `until`.
#[derive(Clone)]
struct CrashProbe {
    until: Instant,
    has_crashed: Arc<OnceCell<bool>>,
    /// The number of connections that share the probe.
    connections: Arc<AtomicUsize>,
}

/// The latest probe of each upstream.
#[derive(Default)]
pub(crate) struct CrashProbes(Mutex<FxHashMap<NameHash, CrashProbe>>);

impl CrashProbes {
    /// Returns the probe for a connection that was lost at `lost_at`: the latest one if it covers that time
    /// or has already found the upstream crashed, otherwise a new one.
    fn probe_for(&self, upstream: NameHash, lost_at: Instant) -> CrashProbe {
        let mut probes = self.0.lock().unwrap();
        let latest = probes.get(&upstream);
        let applicable =
            latest.filter(|probe| lost_at <= probe.until || probe.has_crashed.get() == Some(&true));
        if let Some(probe) = applicable {
            probe.connections.fetch_add(1, Ordering::Relaxed);
            return probe.clone();
        }
        let probe = CrashProbe {
            until: lost_at + SOCKET_CLOSE_TIME,
            has_crashed: Arc::default(),
            connections: Arc::new(AtomicUsize::new(1)),
        };
        probes.insert(upstream, probe.clone());
        probe
    }

    /// Removes the probes of upstreams that are no longer listed.
    pub(crate) fn retain(&self, is_listed: impl Fn(NameHash) -> bool) {
        self.0.lock().unwrap().retain(|upstream, _| is_listed(*upstream));
    }
}

/// Checks in the background whether the upstream crashed, and records the crash against the request. The send
/// counts as in flight until then, so that the request is not retried before the crash is counted.
pub(super) fn detect_crash(
    context: &Arc<DeliveryContext>,
    inbound: &Arc<InboundRequest>,
    record: SendRecord,
) {
    let lost_at = bendhinge_clock::now();
    let (context, inbound) = (Arc::clone(context), Arc::clone(inbound));
    let tasks = Arc::clone(&context.tasks);
    let detection = async move {
        record_if_crashed(&context, &inbound, &record, lost_at).await;
        // Dropping the record ends the tracked send, so it is kept until the crash is recorded.
        drop(record);
    };
    tasks.spawn(detection).detach();
}

/// Whether the process of an upstream that closed the connection at the end of a response ended in the middle of it, so
/// that the response is incomplete. `silence` is the time from the last event of a stream to the close.
///
/// An upstream that leaves may exit as soon as its last response is complete. It then closes the connection right after the
/// last event, and no two of its responses end at the same moment.
pub(super) async fn has_crashed_at_close(
    context: &Arc<DeliveryContext>,
    upstream: &UpstreamEntry,
    silence: Duration,
) -> bool {
    if !context.verifies_close {
        return false;
    }
    let is_leaving = !context.upstreams.accepts_work(upstream.hash);
    let probe = context.close_probes.probe_for(upstream.hash, bendhinge_clock::now());
    let has_ended = || async {
        Timer::after(SOCKET_CLOSE_TIME).await;
        // Requests in progress show nothing: theirs may be the connections that were closed.
        match connection_refusal(context, upstream).await {
            Refusal::None => false,
            Refusal::ByUpstream => true,
            // Without a link of its own, this gateway would not reach other pools either.
            Refusal::ByPool => context.reaches_another_pool(&upstream.pool).await,
        }
    };
    let has_ended = *probe.has_crashed.get_or_init(has_ended).await;
    let closed_alone = probe.connections.load(Ordering::Relaxed) == 1;
    has_ended && !(is_leaving && closed_alone && silence <= SOCKET_CLOSE_TIME)
}

/// Records a crash of the upstream against the request, if there was one.
async fn record_if_crashed(
    context: &Arc<DeliveryContext>,
    inbound: &InboundRequest,
    record: &SendRecord,
    lost_at: Instant,
) {
    if !has_crashed(context, &record.upstream, lost_at).await {
        return;
    }
    let had_begun = record.first_event_at.is_some_and(|first| lost_at.since(first) > MAX_TIME_TO_CRASH);
    context.quarantine.record_crash(&CrashedSend {
        request_id: inbound.fields.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
        request: inbound.digest(&context.identity_key),
        parts: if had_begun { &[] } else { context.part_digests(inbound) },
        pool: NameHash::of(inbound.pool.as_str()),
        upstream: &record.upstream,
        sent_at: record.started_at,
        lost_at,
    });
}

async fn has_crashed(context: &Arc<DeliveryContext>, upstream: &UpstreamEntry, lost_at: Instant) -> bool {
    if !context.upstreams.accepts_work(upstream.hash) {
        // An upstream that is leaving closes its connections when it exits.
        return false;
    }
    let probe = context.crash_probes.probe_for(upstream.hash, lost_at);
    let refuses = || async {
        Timer::after(SOCKET_CLOSE_TIME).await;
        !context.upstreams.has_own_requests(upstream.hash)
            && connection_refusal(context, upstream).await == Refusal::ByUpstream
    };
    *probe.has_crashed.get_or_init(refuses).await
}

/// Who refuses connections to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    None,
    /// Only the upstream, as far as others of its pool were tried: its process has ended.
    ByUpstream,
    /// All upstreams of the pool that were tried: their processes have ended, or this gateway has lost its link to them.
    ByPool,
}

/// Finds out whether the upstream's address refuses connections. Requests in progress or an idle connection show that it
/// is running; a new connection is made only without these, since a busy upstream may have none left. An unreachable box
/// does not respond, which is not a refusal.
async fn connection_refusal(context: &Arc<DeliveryContext>, upstream: &UpstreamEntry) -> Refusal {
    if context.connection_pool.has_idle_connection(upstream.address) {
        return Refusal::None;
    }
    match context.connection_pool.connect(upstream.address).await {
        Ok(connection) => {
            context.connection_pool.release(connection).await;
            Refusal::None
        }
        Err(ConnectError::Io(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            context.record_connect_failure(upstream);
            let is_other_reached = context.reaches_another_upstream(upstream).await;
            if is_other_reached { Refusal::ByUpstream } else { Refusal::ByPool }
        }
        Err(_) => Refusal::None,
    }
}
