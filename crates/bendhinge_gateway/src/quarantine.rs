//! Keeps the quarantine of requests that crash upstreams, and notifies peers of its changes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::{Crash, Origin, Quarantine, SendPermission, UpstreamEntry};
use bendhinge_ids::{Instant, NameHash, RequestDigest, RequestHint};
use bendhinge_peer::ObservedCrashHistory;
use rand::Rng;
use serde_json::json;
use smol::channel::{Receiver, Sender, bounded};

use crate::log::Log;
use crate::state::{address_hash, update_source};

/// Maximum number of queued change notifications. When the queue is full, further changes are sent together
/// with the queued ones.
const MAX_QUEUED_CHANGES: usize = 4_096;

/// Number of crashes from which on changes are logged and sent to peers immediately. A first crash is common,
/// since the loss of a pool affects every request in progress there.
const REPORTING_THRESHOLD: usize = 2;

/// A change that is to be sent to peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineChange {
    /// The origin of the change: `Store` if this gateway observed it, otherwise a peer.
    pub(crate) origin: Origin,
    /// Whether the change may affect the next send of the request and must be sent without delay.
    pub(crate) is_urgent: bool,
}

impl QuarantineChange {
    /// Combines two changes that are sent together.
    pub(crate) fn merge(self, other: Self) -> Self {
        let origin = if other.origin == Origin::Store { other.origin } else { self.origin };
        Self { origin, is_urgent: self.is_urgent || other.is_urgent }
    }
}

/// The quarantine of this gateway, shared between its tasks.
pub(crate) struct SharedQuarantine {
    state: Mutex<Quarantine>,
    changes: Sender<QuarantineChange>,
    log: Log,
}

/// Why a request must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendRefusal {
    pub(crate) code: ResultCode,
    /// The delay after which a retry may succeed.
    pub(crate) retry_after: Duration,
}

impl SendRefusal {
    fn from_permission(permission: SendPermission) -> Option<Self> {
        /// The range of the retry delay while sends are in flight. Requests that crash their upstream usually do
        /// so within a second or two.
        const DEFERRAL_RANGE_MS: std::ops::Range<u64> = 500..1_500;
        let (code, retry_after) = match permission {
            SendPermission::Allowed | SendPermission::Tracked => return None,
            SendPermission::Deferred => {
                let millis = rand::rng().random_range(DEFERRAL_RANGE_MS);
                (ResultCode::SuspectUnderWay, Duration::from_millis(millis))
            }
            SendPermission::Quarantined(period) => (ResultCode::Quarantined, period),
        };
        Some(Self { code, retry_after })
    }
}

/// A tracked send in flight; dropping it records its end.
pub(crate) struct TrackedSend {
    quarantine: Arc<SharedQuarantine>,
    request: RequestDigest,
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        self.quarantine.state.lock().unwrap().record_send_end(self.request, bendhinge_clock::now());
        self.quarantine.notify(Origin::Store, REPORTING_THRESHOLD);
    }
}

impl SharedQuarantine {
    /// Creates an empty quarantine and the receiver of its changes. `local_address` is the address at which
    /// peers reach this gateway.
    pub(crate) fn new(local_address: SocketAddr, log: Log) -> (Self, Receiver<QuarantineChange>) {
        let (changes, receiver) = bounded(MAX_QUEUED_CHANGES);
        (Self { state: Mutex::new(Quarantine::new(address_hash(local_address))), changes, log }, receiver)
    }

    /// Whether a request with this hint may be tracked.
    pub(crate) fn may_contain(&self, hint: RequestHint) -> bool {
        self.state.lock().unwrap().may_contain(hint)
    }

    /// Whether no request is tracked.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.lock().unwrap().is_empty()
    }

    /// Whether a request is quarantined, as opposed to deferred until its sends in flight have ended.
    pub(crate) fn is_quarantined(&self, request: RequestDigest) -> bool {
        let permission = self.state.lock().unwrap().permission(request, bendhinge_clock::now());
        matches!(permission, SendPermission::Quarantined(_))
    }

    /// Returns `Err` if a request must not be sent now.
    pub(crate) fn check(&self, request: RequestDigest) -> Result<(), SendRefusal> {
        let permission = self.state.lock().unwrap().permission(request, bendhinge_clock::now());
        SendRefusal::from_permission(permission).map_or(Ok(()), Err)
    }

    /// Starts a send of a request. If the request is tracked, the send is reported to peers until the
    /// returned value is dropped.
    pub(crate) fn begin_send(
        self: &Arc<Self>,
        request: RequestDigest,
    ) -> Result<Option<TrackedSend>, SendRefusal> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        let permission = state.permission(request, now);
        if let Some(refusal) = SendRefusal::from_permission(permission) {
            return Err(refusal);
        }
        if permission == SendPermission::Allowed {
            return Ok(None);
        }
        state.record_send_start(request, now);
        drop(state);
        self.notify(Origin::Store, REPORTING_THRESHOLD);
        Ok(Some(TrackedSend { quarantine: Arc::clone(self), request }))
    }

    /// Records that an upstream crashed while it processed a request. The request has the ID `request_id`,
    /// was sent at `sent_at`, and its connection was lost at `lost_at`.
    pub(crate) fn record_crash(
        &self,
        request: RequestDigest,
        request_id: &str,
        upstream: &UpstreamEntry,
        sent_at: Instant,
        lost_at: Instant,
    ) {
        let crash = Crash { upstream: upstream.hash, software: upstream.software, at: lost_at };
        let mut state = self.state.lock().unwrap();
        let is_new = state.record_crash(request, crash, sent_at, bendhinge_clock::now());
        let crashes = state.crash_count(request);
        drop(state);
        if is_new {
            self.log.upstream_crashed(request_id, request, &upstream.name, crashes);
            self.notify(Origin::Store, crashes);
        }
    }

    /// Records a complete response to a request.
    pub(crate) fn record_response(&self, request: RequestDigest) {
        self.clear_crashes(request, "answered");
    }

    /// Clears the crashes of requests that an operator released.
    pub(crate) fn release(&self, requests: &[RequestDigest]) {
        for request in requests {
            self.clear_crashes(*request, "released");
        }
    }

    fn clear_crashes(&self, request: RequestDigest, reason: &str) {
        let mut state = self.state.lock().unwrap();
        let crashes = state.crash_count(request);
        let was_cleared = state.record_response(request, bendhinge_clock::now());
        drop(state);
        if was_cleared {
            self.log.suspicion_cleared(request, reason, crashes);
            self.notify(Origin::Store, crashes);
        }
    }

    /// Merges the crash histories that the gateway at `from` reported; their ages are relative to `as_of`.
    pub(crate) fn merge_reported(
        &self,
        histories: &[ObservedCrashHistory],
        from: SocketAddr,
        as_of: Instant,
    ) {
        let now = bendhinge_clock::now();
        let mut max_crashes = None;
        for reported in histories {
            let mut state = self.state.lock().unwrap();
            let previous_crashes = state.crash_count(reported.request);
            let is_changed =
                state.merge(reported.request, &reported.to_history(as_of), update_source(from), now);
            let crashes = state.crash_count(reported.request);
            drop(state);
            if is_changed {
                max_crashes = max_crashes.max(Some(crashes.max(previous_crashes)));
            }
            if crashes != previous_crashes && crashes.max(previous_crashes) >= REPORTING_THRESHOLD {
                self.log.suspicion_received(reported.request, crashes, from);
            }
        }
        if let Some(crashes) = max_crashes {
            self.notify(Origin::Peer, crashes);
        }
    }

    /// Whether there are changes to send to the gateway at `recipient`, see [`SharedQuarantine::changes_for`].
    pub(crate) fn has_changes_for(&self, recipient: SocketAddr, since: Instant, forwards: bool) -> bool {
        self.state.lock().unwrap().changes_for(update_source(recipient), since, forwards).next().is_some()
    }

    /// Returns the changes after `since` to send to the gateway at `recipient`, including those received from
    /// peers if this gateway `forwards`.
    pub(crate) fn changes_for(
        &self,
        recipient: SocketAddr,
        since: Instant,
        forwards: bool,
        now: Instant,
    ) -> Vec<ObservedCrashHistory> {
        let state = self.state.lock().unwrap();
        let histories = state.changes_for(update_source(recipient), since, forwards);
        histories.map(|(request, history)| ObservedCrashHistory::new(request, history, now)).collect()
    }

    /// Returns the histories to send to a gateway with the digest `remote_digest`; empty if the digests are
    /// equal.
    pub(crate) fn histories_to_sync(&self, remote_digest: u64, now: Instant) -> Vec<ObservedCrashHistory> {
        let state = self.state.lock().unwrap();
        let is_different = remote_digest != state.digest();
        let histories = state.synced_histories().filter(|_| is_different);
        histories.map(|(request, history)| ObservedCrashHistory::new(request, history, now)).collect()
    }

    /// Returns a digest that is equal for gateways with equal crash histories.
    pub(crate) fn digest(&self) -> u64 {
        self.state.lock().unwrap().digest()
    }

    /// Sets the software that upstreams run now.
    pub(crate) fn set_running_software(&self, running_software: Vec<NameHash>) {
        self.state.lock().unwrap().set_running_software(running_software);
    }

    /// Removes expired histories.
    pub(crate) fn prune(&self) {
        self.state.lock().unwrap().prune(bendhinge_clock::now());
    }

    /// Returns the number of quarantined requests.
    pub(crate) fn quarantined_count(&self) -> usize {
        self.state.lock().unwrap().quarantined(bendhinge_clock::now()).count()
    }

    /// Returns the quarantined requests as a JSON document for operators.
    pub(crate) fn to_json(&self) -> String {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        let requests = state.quarantined(now).map(|(request, history, period)| {
            let ages = history.crashes.iter().map(|crash| now.since(crash.at).as_secs());
            json!({
                "digest": request.to_string(),
                "crashes_s_ago": ages.collect::<Vec<_>>(),
                "left_s": period.as_secs(),
            })
        });
        json!({ "quarantined": requests.collect::<Vec<_>>() }).to_string()
    }

    /// Queues a notification of peers about a request with the given number of crashes.
    fn notify(&self, origin: Origin, crashes: usize) {
        let change = QuarantineChange { origin, is_urgent: crashes >= REPORTING_THRESHOLD };
        // If the queue is full, a queued notification covers the change, since messages are built from the
        // current state.
        let _ = self.changes.try_send(change);
    }
}
