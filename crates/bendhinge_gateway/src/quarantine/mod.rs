//! Keeps the quarantines of requests and of prompt parts that crash upstreams, and notifies peers of their changes.

mod parts;
mod suspects;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::{Crash, Origin, PartQuarantine, Quarantine, SendPermission};
use bendhinge_ids::{Instant, NameHash, PartDigest, RequestDigest, RequestHint};
use bendhinge_peer::{ObservedCrashHistory, ObservedPartHistory};
use serde_json::json;
use smol::channel::{Receiver, Sender, bounded};

pub(crate) use self::suspects::{
    CrashedSend, QuarantinedCounts, SendRefusal, Suspect, SuspectChanges, Suspects,
};
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

struct State {
    requests: Quarantine,
    parts: PartQuarantine,
}

impl State {
    /// Returns the stricter one of the permissions of a request and of its parts, and what it is based on.
    fn permission(&self, suspects: Suspects<'_>, now: Instant) -> (SendPermission, Option<Suspect>) {
        if let Some(request) = suspects.request {
            let permission = self.requests.permission(request, now);
            if matches!(permission, SendPermission::Deferred | SendPermission::Quarantined(_)) {
                return (permission, Some(Suspect::Request(request)));
            }
            let (of_parts, part) = self.parts.permission(suspects.parts, now);
            if of_parts != SendPermission::Allowed {
                return (of_parts, part.map(Suspect::Part));
            }
            return (permission, Some(Suspect::Request(request)));
        }
        let (permission, part) = self.parts.permission(suspects.parts, now);
        (permission, part.map(Suspect::Part))
    }

    /// Crashes that a part is blamed for do not count against the requests that ran beside it.
    fn update_attributed_crashes(&mut self) {
        self.requests.set_attributed_crashes(self.parts.attributed_crashes());
    }
}

/// The quarantine of this gateway, shared between its tasks.
pub(crate) struct SharedQuarantine {
    state: Mutex<State>,
    changes: Sender<QuarantineChange>,
    log: Log,
}

/// A tracked send in flight; dropping it records its end.
pub(crate) struct TrackedSend {
    quarantine: Arc<SharedQuarantine>,
    request: Option<RequestDigest>,
    parts: Vec<PartDigest>,
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        let now = bendhinge_clock::now();
        let mut state = self.quarantine.state.lock().unwrap();
        if let Some(request) = self.request {
            state.requests.record_send_end(request, now);
        }
        state.parts.record_send_end(&self.parts, now);
        drop(state);
        self.quarantine.notify(Origin::Store, REPORTING_THRESHOLD);
    }
}

impl SharedQuarantine {
    /// Creates an empty quarantine and the receiver of its changes. `local_address` is the address at which
    /// peers reach this gateway.
    pub(crate) fn new(local_address: SocketAddr, log: Log) -> (Self, Receiver<QuarantineChange>) {
        let (changes, receiver) = bounded(MAX_QUEUED_CHANGES);
        let local_router = address_hash(local_address);
        let state =
            State { requests: Quarantine::new(local_router), parts: PartQuarantine::new(local_router) };
        (Self { state: Mutex::new(state), changes, log }, receiver)
    }

    /// Whether a request with this hint may be tracked.
    pub(crate) fn may_contain(&self, hint: RequestHint) -> bool {
        self.state.lock().unwrap().requests.may_contain(hint)
    }

    /// Whether no request is tracked.
    pub(crate) fn has_no_request(&self) -> bool {
        self.state.lock().unwrap().requests.is_empty()
    }

    /// Whether no prompt part is tracked.
    pub(crate) fn has_no_part(&self) -> bool {
        self.state.lock().unwrap().parts.is_empty()
    }

    /// Whether any of the prompt parts is tracked.
    pub(crate) fn tracks_any(&self, parts: &[PartDigest]) -> bool {
        let state = self.state.lock().unwrap();
        parts.iter().any(|part| state.parts.contains(*part))
    }

    /// Whether a request is quarantined, as opposed to deferred until sends in flight have ended.
    pub(crate) fn is_quarantined(&self, suspects: Suspects<'_>) -> bool {
        let (permission, _) = self.state.lock().unwrap().permission(suspects, bendhinge_clock::now());
        matches!(permission, SendPermission::Quarantined(_))
    }

    /// Returns `Err` if a request must not be sent now.
    pub(crate) fn check(&self, suspects: Suspects<'_>) -> Result<(), SendRefusal> {
        let permission = self.state.lock().unwrap().permission(suspects, bendhinge_clock::now());
        SendRefusal::new(permission).map_or(Ok(()), Err)
    }

    /// Starts a send of a request. If the request or a part of its prompt is tracked, the send is reported to peers until
    /// the returned value is dropped.
    pub(crate) fn begin_send(
        self: &Arc<Self>,
        suspects: Suspects<'_>,
    ) -> Result<Option<TrackedSend>, SendRefusal> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        let permission = state.permission(suspects, now);
        if let Some(refusal) = SendRefusal::new(permission) {
            return Err(refusal);
        }
        if permission.0 == SendPermission::Allowed {
            return Ok(None);
        }
        if let Some(request) = suspects.request {
            state.requests.record_send_start(request, now);
        }
        state.parts.record_send_start(suspects.parts, now);
        drop(state);
        self.notify(Origin::Store, REPORTING_THRESHOLD);
        let Suspects { request, parts } = suspects;
        Ok(Some(TrackedSend { quarantine: Arc::clone(self), request, parts: parts.to_vec() }))
    }

    /// Records that an upstream crashed while it processed a request.
    pub(crate) fn record_crash(&self, send: &CrashedSend<'_>) {
        let CrashedSend { upstream, sent_at, lost_at, .. } = *send;
        let crash = Crash { upstream: upstream.hash, software: upstream.software, at: lost_at };
        let mut state = self.state.lock().unwrap();
        let is_new = state.requests.record_crash(send.request, crash, sent_at, bendhinge_clock::now());
        let crashes = state.requests.crash_count(send.request);
        drop(state);
        if is_new {
            self.log.upstream_crashed(send.request_id, send.request, &upstream.name, crashes);
            self.notify(Origin::Store, crashes);
        }
        self.record_part_crashes(send);
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
        let crashes = state.requests.crash_count(request);
        let was_cleared = state.requests.record_response(request, bendhinge_clock::now());
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
            let previous_crashes = state.requests.crash_count(reported.request);
            let history = reported.to_history(as_of);
            let is_changed = state.requests.merge(reported.request, &history, update_source(from), now);
            let crashes = state.requests.crash_count(reported.request);
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
        let state = self.state.lock().unwrap();
        let source = update_source(recipient);
        state.requests.changes_for(source, since, forwards).next().is_some()
            || state.parts.changes_for(source, since, forwards).next().is_some()
    }

    /// Returns the changes after `since` to send to the gateway at `recipient`, including those received from
    /// peers if this gateway `forwards`.
    pub(crate) fn changes_for(
        &self,
        recipient: SocketAddr,
        since: Instant,
        forwards: bool,
        now: Instant,
    ) -> SuspectChanges {
        let state = self.state.lock().unwrap();
        let source = update_source(recipient);
        let requests = state.requests.changes_for(source, since, forwards);
        let parts = state.parts.changes_for(source, since, forwards);
        SuspectChanges {
            requests: requests
                .map(|(request, history)| ObservedCrashHistory::new(request, history, now))
                .collect(),
            parts: parts.map(|(part, history)| ObservedPartHistory::new(part, &history, now)).collect(),
        }
    }

    /// Returns the histories to send to a gateway with the digest `remote_digest`; empty if the digests are
    /// equal.
    pub(crate) fn histories_to_sync(&self, remote_digest: u64, now: Instant) -> Vec<ObservedCrashHistory> {
        let state = self.state.lock().unwrap();
        let is_different = remote_digest != state.requests.digest();
        let histories = state.requests.synced_histories().filter(|_| is_different);
        histories.map(|(request, history)| ObservedCrashHistory::new(request, history, now)).collect()
    }

    /// Returns a digest that is equal for gateways with equal crash histories.
    pub(crate) fn digest(&self) -> u64 {
        self.state.lock().unwrap().requests.digest()
    }

    /// Sets the software that upstreams run now.
    pub(crate) fn set_running_software(&self, running_software: Vec<NameHash>) {
        let mut state = self.state.lock().unwrap();
        state.parts.set_running_software(running_software.iter().copied());
        state.requests.set_running_software(running_software);
    }

    /// Removes expired histories.
    pub(crate) fn prune(&self) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.requests.prune(now);
        state.parts.prune(now);
        state.update_attributed_crashes();
    }

    /// Returns the numbers of quarantined requests and prompt parts.
    pub(crate) fn quarantined_counts(&self) -> QuarantinedCounts {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        QuarantinedCounts {
            requests: state.requests.quarantined(now).count(),
            parts: state.parts.quarantined(now).count(),
        }
    }

    /// Returns what is quarantined as a JSON document for operators.
    pub(crate) fn to_json(&self) -> String {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        let to_json = |digest: String, crashes: Vec<Instant>, period: Duration| {
            let ages: Vec<_> = crashes.into_iter().map(|at| now.since(at).as_secs()).collect();
            json!({ "digest": digest, "crashes_s_ago": ages, "left_s": period.as_secs() })
        };
        let requests = state.requests.quarantined(now).map(|(request, history, period)| {
            to_json(request.to_string(), history.crashes.iter().map(|crash| crash.at).collect(), period)
        });
        let parts = state.parts.quarantined(now).map(|(part, history, period)| {
            to_json(part.to_string(), history.crashes.iter().map(|crash| crash.at).collect(), period)
        });
        json!({ "quarantined": requests.collect::<Vec<_>>(), "parts": parts.collect::<Vec<_>>() }).to_string()
    }

    /// Queues a notification of peers about a request with the given number of crashes.
    fn notify(&self, origin: Origin, crashes: usize) {
        let change = QuarantineChange { origin, is_urgent: crashes >= REPORTING_THRESHOLD };
        // If the queue is full, a queued notification covers the change, since messages are built from the
        // current state.
        let _ = self.changes.try_send(change);
    }
}
