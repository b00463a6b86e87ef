//! The bounded record of one process.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use bendhinge_ids::{EventSequence, RequestId};
use serde::{Deserialize, Serialize};

use crate::{Event, EventKind, EventLink, ProcessId};

#[derive(Debug)]
struct Kept {
    sequence: EventSequence,
    at_micros: u64,
    request: Option<RequestId>,
    cause: Option<EventLink>,
    kind: EventKind,
}

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Kept>,
    last: u64,
}

/// A process's record; the oldest events make room for new ones.
#[derive(Debug)]
pub struct Record {
    process: ProcessId,
    capacity: usize,
    ring: Mutex<Ring>,
}

/// What a process serves of its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The process.
    pub process: ProcessId,
    /// How many earlier events made room and are lost.
    pub lost: u64,
    /// The events that are kept, in order.
    pub events: Vec<Event>,
}

impl Record {
    /// An empty record of at most `capacity` events.
    #[must_use]
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        Self { process, capacity, ring: Mutex::default() }
    }

    /// The process whose record it is.
    #[must_use]
    pub const fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Notes an event and gives its number.
    pub fn note(
        &self,
        request: Option<RequestId>,
        cause: Option<EventLink>,
        kind: EventKind,
    ) -> EventSequence {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at_micros = u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX);
        let mut ring = self.ring.lock().unwrap();
        ring.last += 1;
        let sequence = EventSequence(ring.last);
        if ring.events.len() >= self.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(Kept { sequence, at_micros, request, cause, kind });
        sequence
    }

    /// The events kept, or those of one request.
    #[must_use]
    pub fn page(&self, request: Option<&str>) -> RecordPage {
        let ring = self.ring.lock().unwrap();
        let lost = ring.last - ring.events.len() as u64;
        let wanted = |kept: &&Kept| {
            request.is_none_or(|wanted| kept.request.is_some_and(|id| id.to_string() == wanted))
        };
        let events = ring.events.iter().filter(wanted).map(|kept| Event {
            sequence: kept.sequence,
            at_micros: kept.at_micros,
            request: kept.request.map(|id| id.to_string()),
            cause: kept.cause.clone(),
            kind: kept.kind.clone(),
        });
        RecordPage { process: self.process.clone(), lost, events: events.collect() }
    }
}
