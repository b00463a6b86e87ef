//! Requests under which upstreams crash: what this gateway saw and heard of them, and whether one is sent.

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

use crate::knowledge::{learned_from, router_hash};
use crate::log::Log;

/// Changes that wait to be told, in the time between two messages: more than as many upstreams' crashes make. A
/// further one goes with the message that the others cause.
const MOST_CHANGES: usize = 4_096;

/// Crashes from which on what is known of a request is worth a line, and a message at once. A first one is in the
/// lines of whoever saw it, and of hundreds of requests when a pool is lost.
const OF_NOTE: usize = 2;

/// A change that others are to be told of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionChange {
    /// By whom it was noticed: this gateway, as the store's news are, or another.
    pub(crate) origin: Origin,
    /// Whether the next send of the request may depend on it: single crashes may wait for a moment.
    pub(crate) is_urgent: bool,
}

impl SuspicionChange {
    /// This one and `other`, told together.
    pub(crate) fn with(self, other: Self) -> Self {
        let origin = if other.origin == Origin::Store { other.origin } else { self.origin };
        Self { origin, is_urgent: self.is_urgent || other.is_urgent }
    }
}

/// What this gateway knows of suspected requests.
pub(crate) struct QuarantineKeeper {
    state: Mutex<Quarantine>,
    changes: Sender<SuspicionChange>,
    log: Log,
}

/// A request that is not to be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Kept {
    pub(crate) code: ResultCode,
    /// When it may be sent again, as far as is known.
    pub(crate) retry_after: Duration,
}

impl Kept {
    fn by(permission: SendPermission) -> Option<Self> {
        /// Sends of a suspected request end within a request's time; one that crashes its upstream within
        /// a second or two.
        const UNTIL_SENDS_END_MILLIS: std::ops::Range<u64> = 500..1_500;
        let (code, retry_after) = match permission {
            SendPermission::Allowed | SendPermission::Tracked => return None,
            SendPermission::Deferred => {
                let millis = rand::rng().random_range(UNTIL_SENDS_END_MILLIS);
                (ResultCode::SuspectUnderWay, Duration::from_millis(millis))
            }
            SendPermission::Quarantined(left) => (ResultCode::Quarantined, left),
        };
        Some(Self { code, retry_after })
    }
}

/// A send of a suspected request under way, until dropped.
pub(crate) struct WatchedSend {
    keeper: Arc<QuarantineKeeper>,
    request: RequestDigest,
}

impl Drop for WatchedSend {
    fn drop(&mut self) {
        self.keeper.state.lock().unwrap().record_send_end(self.request, bendhinge_clock::now());
        self.keeper.changed(Origin::Store, OF_NOTE);
    }
}

impl QuarantineKeeper {
    /// Nothing is known yet; `own` is where peers reach this gateway. What changes goes to the receiver.
    pub(crate) fn new(own: SocketAddr, log: Log) -> (Self, Receiver<SuspicionChange>) {
        let (changes, told) = bounded(MOST_CHANGES);
        (Self { state: Mutex::new(Quarantine::new(router_hash(own))), changes, log }, told)
    }

    /// Whether something may be known of a request.
    pub(crate) fn may_know(&self, hint: RequestHint) -> bool {
        self.state.lock().unwrap().may_contain(hint)
    }

    /// Whether nothing is known of any request.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.lock().unwrap().is_empty()
    }

    /// Whether a request is kept from upstreams now, and not just until others of it have ended.
    pub(crate) fn is_quarantined(&self, request: RequestDigest) -> bool {
        let permission = self.state.lock().unwrap().permission(request, bendhinge_clock::now());
        matches!(permission, SendPermission::Quarantined(_))
    }

    /// Whether a request may be sent; `Err` says why not.
    pub(crate) fn check(&self, request: RequestDigest) -> Result<(), Kept> {
        let permission = self.state.lock().unwrap().permission(request, bendhinge_clock::now());
        Kept::by(permission).map_or(Ok(()), Err)
    }

    /// Begins a send of a request. Of a suspected one the others are told, until what is given is dropped.
    pub(crate) fn begin(self: &Arc<Self>, request: RequestDigest) -> Result<Option<WatchedSend>, Kept> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        let permission = state.permission(request, now);
        if let Some(kept) = Kept::by(permission) {
            return Err(kept);
        }
        if permission == SendPermission::Allowed {
            return Ok(None);
        }
        state.record_send_start(request, now);
        drop(state);
        self.changed(Origin::Store, OF_NOTE);
        Ok(Some(WatchedSend { keeper: Arc::clone(self), request }))
    }

    /// Notes that an upstream crashed under a request, numbered `number` in this try, that was sent at `sent` and
    /// lost at `lost`.
    pub(crate) fn crashed(
        &self,
        request: RequestDigest,
        number: &str,
        upstream: &UpstreamEntry,
        sent: Instant,
        lost: Instant,
    ) {
        let crash = Crash { upstream: upstream.hash, software: upstream.software, at: lost };
        let mut state = self.state.lock().unwrap();
        let is_new = state.record_crash(request, crash, sent, bendhinge_clock::now());
        let crashes = state.crash_count(request);
        drop(state);
        if is_new {
            self.log.crash(number, request, &upstream.name, crashes);
            self.changed(Origin::Store, crashes);
        }
    }

    /// Notes that an upstream gave a whole answer to a request.
    pub(crate) fn answered(&self, request: RequestDigest) {
        self.end_suspicion(request, "answered");
    }

    /// Notes that operators hold nothing against these requests any more.
    pub(crate) fn release(&self, requests: &[RequestDigest]) {
        for request in requests {
            self.end_suspicion(*request, "released");
        }
    }

    fn end_suspicion(&self, request: RequestDigest, why: &str) {
        let mut state = self.state.lock().unwrap();
        let crashes = state.crash_count(request);
        let is_over = state.record_response(request, bendhinge_clock::now());
        drop(state);
        if is_over {
            self.log.suspicion_over(request, why, crashes);
            self.changed(Origin::Store, crashes);
        }
    }

    /// Takes in what the gateway at `from` knows, its ages counted from `as_of`.
    pub(crate) fn hear(&self, suspicions: &[ObservedCrashHistory], from: SocketAddr, as_of: Instant) {
        let now = bendhinge_clock::now();
        let mut changed = None;
        for heard in suspicions {
            let mut state = self.state.lock().unwrap();
            let before = state.crash_count(heard.request);
            let changes = state.merge(heard.request, &heard.to_history(as_of), learned_from(from), now);
            let crashes = state.crash_count(heard.request);
            drop(state);
            if changes {
                changed = changed.max(Some(crashes.max(before)));
            }
            if crashes != before && crashes.max(before) >= OF_NOTE {
                self.log.suspicion_heard(heard.request, crashes, from);
            }
        }
        if let Some(crashes) = changed {
            self.changed(Origin::Peer, crashes);
        }
    }

    /// Whether there is anything to tell the gateway at `listener` at once, see [`QuarantineKeeper::changes`].
    pub(crate) fn has_changes(&self, listener: SocketAddr, since: Instant, tells_on: bool) -> bool {
        self.state.lock().unwrap().changes_for(learned_from(listener), since, tells_on).next().is_some()
    }

    /// What changed after `since`, to tell the gateway at `listener` at once; what others told, if this one
    /// `tells_on`.
    pub(crate) fn changes(
        &self,
        listener: SocketAddr,
        since: Instant,
        tells_on: bool,
        now: Instant,
    ) -> Vec<ObservedCrashHistory> {
        let state = self.state.lock().unwrap();
        let told = state.changes_for(learned_from(listener), since, tells_on);
        told.map(|(request, suspicion)| ObservedCrashHistory::new(request, suspicion, now)).collect()
    }

    /// What to tell a gateway whose digest is `known`: all that matters, if that is another.
    pub(crate) fn that_differs(&self, known: u64, now: Instant) -> Vec<ObservedCrashHistory> {
        let state = self.state.lock().unwrap();
        let differs = known != state.digest();
        let told = state.synced_histories().filter(|_| differs);
        told.map(|(request, suspicion)| ObservedCrashHistory::new(request, suspicion, now)).collect()
    }

    /// What gateways that know the same have alike.
    pub(crate) fn digest(&self) -> u64 {
        self.state.lock().unwrap().digest()
    }

    /// Notes which software upstreams run.
    pub(crate) fn follow_software(&self, running: Vec<NameHash>) {
        self.state.lock().unwrap().set_running_software(running);
    }

    /// Forgets what is over.
    pub(crate) fn prune(&self) {
        self.state.lock().unwrap().prune(bendhinge_clock::now());
    }

    /// How many requests are kept from upstreams.
    pub(crate) fn quarantined(&self) -> usize {
        self.state.lock().unwrap().quarantined(bendhinge_clock::now()).count()
    }

    /// The requests that are kept from upstreams, as a document for operators.
    pub(crate) fn page(&self) -> String {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        let requests = state.quarantined(now).map(|(request, suspicion, left)| {
            let ages = suspicion.crashes.iter().map(|crash| now.since(crash.at).as_secs());
            json!({
                "digest": request.to_string(),
                "crashes_s_ago": ages.collect::<Vec<_>>(),
                "left_s": left.as_secs(),
            })
        });
        json!({ "quarantined": requests.collect::<Vec<_>>() }).to_string()
    }

    /// Has the others told of a change to what is known of a request with so many crashes.
    fn changed(&self, origin: Origin, crashes: usize) {
        let change = SuspicionChange { origin, is_urgent: crashes >= OF_NOTE };
        // A full channel is one that will be read, and what changed is told from the state.
        let _ = self.changes.try_send(change);
    }
}
