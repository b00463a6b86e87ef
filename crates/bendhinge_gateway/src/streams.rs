//! Records which software began each resumable stream, so that this and other gateways resume it at no other.

use std::sync::Mutex;
use std::time::Duration;

use bendhinge_delivery::IdentityKey;
use bendhinge_fleet::{
    OwnStream, StreamId, StreamRecord, StreamRecordLimits, StreamRecords, StreamSoftware, UnsentRecord,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_peer::ObservedStream;
use smol::channel::{Receiver, Sender, bounded};

/// Limits on the records, which take less than 100 bytes each.
const RECORD_LIMITS: StreamRecordLimits = StreamRecordLimits { total: 65_536, per_customer: 16_384 };
/// Lookups at other gateways that wait or are under way. Further ones find nothing.
const MAX_QUEUED_LOOKUPS: usize = 256;
/// The longest time for which a record is kept, whatever another gateway says.
const MAX_RECORD_LIFETIME: Duration = Duration::from_mins(10);

/// The ID of no stream. Looking it up only brings the history of the software of a pool.
pub(crate) const NO_STREAM: StreamId = StreamId(0);

/// A stream to be looked up at other gateways.
pub(crate) struct StreamLookup {
    pub(crate) stream: StreamId,
    /// The hash of the name of its pool.
    pub(crate) pool: NameHash,
    /// Closed, or sent to, when the lookup has ended.
    pub(crate) done: Sender<()>,
}

/// Channels to the control plane.
pub(crate) struct StreamNotifications {
    /// Streams to be looked up.
    pub(crate) lookups: Receiver<StreamLookup>,
    /// Notifications of records to be sent.
    pub(crate) unsent: Receiver<()>,
}

/// The records of this gateway.
pub(crate) struct Streams {
    is_enabled: bool,
    key: IdentityKey,
    records: Mutex<StreamRecords>,
    lookups: Sender<StreamLookup>,
    unsent: Sender<()>,
}

impl Streams {
    pub(crate) fn new(is_enabled: bool, key: IdentityKey) -> (Self, StreamNotifications) {
        let (lookups, lookup_receiver) = bounded(MAX_QUEUED_LOOKUPS);
        // One queued notification stands for any number of records.
        let (unsent, unsent_receiver) = bounded(1);
        let records = Mutex::new(StreamRecords::new(RECORD_LIMITS));
        let notifications = StreamNotifications { lookups: lookup_receiver, unsent: unsent_receiver };
        (Self { is_enabled, key, records, lookups, unsent }, notifications)
    }

    /// Whether streams are resumed only at upstreams with the software that began them.
    pub(crate) const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns the ID of the stream that a request of a customer to `target` began.
    pub(crate) fn stream_id(&self, customer: &str, target: &str, request: &[u8]) -> StreamId {
        StreamId(self.key.hash(&[customer.as_bytes(), target.as_bytes(), request]))
    }

    /// Records a stream that this gateway relays.
    pub(crate) fn record(&self, stream: OwnStream) {
        self.records.lock().unwrap().record_own(stream);
    }

    /// Notifies the control plane that records may have to be sent.
    pub(crate) fn notify_unsent(&self) {
        // A notification that is still queued stands for this one too.
        let _ = self.unsent.try_send(());
    }

    /// Returns the software that began a stream, if this gateway knows it.
    pub(crate) fn find(&self, stream: StreamId) -> Option<StreamSoftware> {
        self.find_record(stream, bendhinge_clock::now()).map(|record| record.software)
    }

    fn find_record(&self, stream: StreamId, now: Instant) -> Option<StreamRecord> {
        self.records.lock().unwrap().find(stream, now)
    }

    /// Returns a record for a peer.
    pub(crate) fn observed(&self, stream: StreamId, now: Instant) -> Option<ObservedStream> {
        self.find_record(stream, now).map(|record| ObservedStream::new(record, now))
    }

    /// Looks a stream up at other gateways, which adds its record here if one of them has it.
    pub(crate) async fn look_up(&self, stream: StreamId, pool: NameHash) {
        let (done, ended) = bounded(1);
        if self.lookups.try_send(StreamLookup { stream, pool, done }).is_ok() {
            // An error means that the lookup ended without an answer.
            let _ = ended.recv().await;
        }
    }

    /// Merges the records of a peer.
    pub(crate) fn merge(&self, streams: &[ObservedStream]) {
        let now = bendhinge_clock::now();
        let mut records = self.records.lock().unwrap();
        for stream in streams {
            records.merge(stream.to_record(MAX_RECORD_LIFETIME, now));
        }
    }

    /// Takes the records to send, of pools and remaining lifetimes for which `is_needed` returns `true`.
    pub(crate) fn take_unsent(&self, is_needed: impl FnMut(NameHash, Duration) -> bool) -> Vec<UnsentRecord> {
        self.records.lock().unwrap().take_unsent(is_needed, bendhinge_clock::now())
    }

    /// Returns all records.
    pub(crate) fn all(&self) -> Vec<StreamRecord> {
        self.records.lock().unwrap().all(bendhinge_clock::now())
    }

    /// Removes expired records.
    pub(crate) fn prune(&self) {
        self.records.lock().unwrap().prune(bendhinge_clock::now());
    }
}
