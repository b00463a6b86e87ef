//! What the duties of one router share.
//!
//! Each duty's state has a lock of its own, held for a few microseconds and never over a wait.
//! Where two are held at once they are taken in the order of their fields in [`Node`].

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use bendhinge_buffers::BufferBudget;
use bendhinge_delivery::{OnceLedger, OnceLimits};
use bendhinge_http::{Pool, Tasks};
use bendhinge_ids::{EventSequence, RequestId, RouterInstance};
use bendhinge_membership::{Freshness, FreshnessLimits};
use bendhinge_peer::TrafficCounters;
use bendhinge_placement::{LedgerLimits, LoadView, PermitLedger, PermitRequestBudget};
use bendhinge_timeline::{EventKind, EventLink, EventLog, ProcessId};
use smol::channel::Sender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::AdmissionState;
use crate::configuration::ConfigurationState;
use crate::control::ControlCall;
use crate::membership::{Fleet, Membership};
use crate::metrics::Metrics;
use crate::placement::Health;
use crate::settings::Settings;

/// How many displaced chats a router remembers; about 100 bytes each.
const DISPLACED_CHATS: usize = 20_000;

/// One router.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) life: RouterInstance,
    pub(crate) tasks: Tasks,
    pub(crate) record: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) traffic: Arc<TrafficCounters>,
    /// Memory for incomplete requests and answers.
    pub(crate) buffers: BufferBudget,
    pub(crate) upstreams: Pool,
    pub(crate) calls: Sender<ControlCall>,
    pub(crate) stopping: AtomicBool,
    pub(crate) platform_fails: AtomicBool,
    pub(crate) in_progress: AtomicUsize,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) configuration: Mutex<ConfigurationState>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) asks: Mutex<PermitRequestBudget>,
    pub(crate) loads: Mutex<LoadView>,
    pub(crate) health: Mutex<Health>,
    pub(crate) ledger: Mutex<PermitLedger>,
    pub(crate) admission: Mutex<AdmissionState>,
    pub(crate) once: Mutex<OnceLedger>,
    fleet: RwLock<Arc<Fleet>>,
    next_request: AtomicU64,
}

/// The parts that are made before the node.
pub(crate) struct NodeParts {
    pub(crate) settings: Settings,
    pub(crate) life: RouterInstance,
    pub(crate) tasks: Tasks,
    pub(crate) metrics: Metrics,
    pub(crate) traffic: Arc<TrafficCounters>,
    pub(crate) calls: Sender<ControlCall>,
}

impl Node {
    pub(crate) fn new(parts: NodeParts) -> Self {
        let NodeParts { settings, life, tasks, metrics, traffic, calls } = parts;
        let now = bendhinge_clock::now();
        let process = ProcessId { name: life.name.to_string(), incarnation: life.incarnation };
        let limits =
            FreshnessLimits { max_gap: settings.control.gap, renewal_timeout: settings.control.patience };
        let ledger = LedgerLimits { lease: settings.control.lease, max_displaced_chats: DISPLACED_CHATS };
        let buffers = BufferBudget::new(settings.limits.buffer_bytes);
        let once = OnceLimits { window: settings.once.window, max_keys: settings.once.keys };
        Self {
            record: EventLog::new(process, settings.events),
            upstreams: Pool::new(Arc::clone(&tasks), settings.limits.connect, settings.limits.idle)
                .with_buffers(buffers.clone()),
            buffers,
            stopping: AtomicBool::new(false),
            platform_fails: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            freshness: Mutex::new(Freshness::new(limits, now)),
            configuration: Mutex::default(),
            membership: Mutex::new(Membership::new(settings.once.window)),
            asks: Mutex::default(),
            loads: Mutex::default(),
            health: Mutex::default(),
            ledger: Mutex::new(PermitLedger::new(ledger)),
            admission: Mutex::default(),
            once: Mutex::new(OnceLedger::new(once)),
            fleet: RwLock::default(),
            next_request: AtomicU64::new(0),
            settings,
            life,
            tasks,
            metrics,
            traffic,
            calls,
        }
    }

    /// The fleet as this router now knows it.
    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet.read().unwrap())
    }

    pub(crate) fn set_fleet(&self, fleet: Fleet) {
        *self.fleet.write().unwrap() = Arc::new(fleet);
    }

    /// A new request's number: unlike those of all other lives with all but certainty.
    pub(crate) fn new_request(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let life = xxh3_64_with_seed(self.life.name.as_str().as_bytes(), self.life.incarnation.0);
        RequestId(xxh3_64_with_seed(&number.to_le_bytes(), life))
    }

    /// Whether the router was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the view may be trusted for new work; see [`Freshness`].
    pub(crate) fn is_fresh(&self) -> bool {
        let mut freshness = self.freshness.lock().unwrap();
        let gaps = freshness.gap_count();
        let fresh = freshness.check(bendhinge_clock::now());
        let woke = freshness.gap_count() > gaps;
        drop(freshness);
        if woke {
            self.note(EventKind::Woke);
            spdlog::warn!("woke from a freeze; the view is renewed before new work");
        }
        fresh
    }

    /// Notes an event of the process.
    pub(crate) fn note(&self, kind: EventKind) {
        self.record.append(None, None, kind);
    }

    /// Notes an event of a request.
    pub(crate) fn note_request(&self, request: RequestId, kind: EventKind) -> EventSequence {
        self.record.append(Some(request), None, kind)
    }

    /// Notes an event of a request that follows from another process's.
    pub(crate) fn note_caused(&self, request: RequestId, cause: EventLink, kind: EventKind) -> EventSequence {
        self.record.append(Some(request), Some(cause), kind)
    }
}

/// The tie to an event of another router's life.
pub(crate) fn link(life: &RouterInstance, sequence: EventSequence) -> EventLink {
    let process = ProcessId { name: life.name.to_string(), incarnation: life.incarnation };
    EventLink { process, sequence }
}
