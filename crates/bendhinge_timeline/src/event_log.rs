//! Bounded in-memory event log of one process.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use bendhinge_ids::{EventSequence, RequestId};
use serde::{Deserialize, Serialize};

use crate::{Event, EventKind, EventLink, ProcessId};

#[derive(Debug)]
struct StoredEvent {
    sequence: EventSequence,
    at_micros: u64,
    request: Option<RequestId>,
    cause: Option<EventLink>,
    kind: EventKind,
}

#[derive(Debug, Default)]
struct RingBuffer {
    events: VecDeque<StoredEvent>,
    last_sequence: u64,
}

/// Event log of a process. When the log is full, each new event evicts the oldest one.
#[derive(Debug)]
pub struct EventLog {
    process: ProcessId,
    capacity: usize,
    ring: Mutex<RingBuffer>,
}

/// Response to a request for the event log of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventLogPage {
    /// Process that recorded the events.
    pub process: ProcessId,
    /// Number of events evicted from the log so far.
    pub lost: u64,
    /// Events that are still in the log and match the request, in order of their sequence numbers.
    pub events: Vec<Event>,
}

impl EventLog {
    /// Creates an empty log that holds up to `capacity` events.
    #[must_use]
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        Self { process, capacity, ring: Mutex::default() }
    }

    /// Returns the process that writes to this log.
    #[must_use]
    pub const fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Appends an event and returns its sequence number.
    pub fn append(
        &self,
        request: Option<RequestId>,
        cause: Option<EventLink>,
        kind: EventKind,
    ) -> EventSequence {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at_micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let mut ring = self.ring.lock().unwrap();
        ring.last_sequence += 1;
        let sequence = EventSequence(ring.last_sequence);
        if ring.events.len() >= self.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(StoredEvent { sequence, at_micros, request, cause, kind });
        sequence
    }

    /// Returns the stored events, limited to those of `request` if it is given.
    #[must_use]
    pub fn page(&self, request: Option<&str>) -> EventLogPage {
        let ring = self.ring.lock().unwrap();
        let lost = ring.last_sequence - ring.events.len() as u64;
        let matches_request = |stored: &&StoredEvent| {
            request.is_none_or(|requested| stored.request.is_some_and(|id| id.to_string() == requested))
        };
        let events = ring.events.iter().filter(matches_request).map(|stored| Event {
            sequence: stored.sequence,
            at_micros: stored.at_micros,
            request: stored.request.map(|id| id.to_string()),
            cause: stored.cause.clone(),
            kind: stored.kind.clone(),
        });
        EventLogPage { process: self.process.clone(), lost, events: events.collect() }
    }
}
