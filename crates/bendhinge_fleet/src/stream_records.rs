//! Which software began each resumable stream.
//!
//! The router that relays a stream records it, and sends the record to a few others, so that any router can find it
//! after the first one has ended.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// Identifies a stream by a keyed hash of its customer and of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// The software that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSoftware {
    /// The hash of the software.
    Known(NameHash),
    /// Several streams have the same ID and were begun by different software.
    Ambiguous,
}

/// A record as it is sent to other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// The software that began it.
    pub software: StreamSoftware,
    /// When the record expires.
    pub expires_at: Instant,
}

/// A stream that this router relays.
#[derive(Clone, Copy, Debug)]
pub struct OwnStream {
    /// Its record.
    pub record: StreamRecord,
    /// The hash of the customer's name.
    pub customer: NameHash,
    /// The hash of the pool's name.
    pub pool: NameHash,
    /// The router that forwarded the request to this one.
    pub forwarded_by: Option<SocketAddr>,
}

/// A record to be sent, with the router that has to receive it besides the usual ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsentRecord {
    /// The record.
    pub record: StreamRecord,
    /// The router that forwarded the request.
    pub forwarded_by: Option<SocketAddr>,
}

/// Limits on the number of records.
#[derive(Clone, Copy, Debug)]
pub struct StreamRecordLimits {
    /// Records in all.
    pub total: usize,
    /// Streams of one customer that this router relays.
    pub per_customer: usize,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    customer: NameHash,
    pool: NameHash,
    forwarded_by: Option<SocketAddr>,
    is_sent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    software: StreamSoftware,
    expires_at: Instant,
    /// Present if this router relays or relayed the stream.
    own: Option<Own>,
}

/// The records of a router. A stream that exceeds a limit has no record, and is not resumed where its software is in
/// doubt.
#[derive(Debug)]
pub struct StreamRecords {
    limits: StreamRecordLimits,
    entries: FxHashMap<StreamId, Entry>,
    own_by_customer: FxHashMap<NameHash, usize>,
}

impl StreamRecords {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: StreamRecordLimits) -> Self {
        Self { limits, entries: FxHashMap::default(), own_by_customer: FxHashMap::default() }
    }

    /// Records a stream that this router relays; returns `false` if a limit is exceeded.
    pub fn record_own(&mut self, stream: OwnStream) -> bool {
        let OwnStream { record, customer, pool, forwarded_by } = stream;
        let own_count = self.own_by_customer.get(&customer).copied().unwrap_or(0);
        let known = self.entries.get(&record.stream);
        let is_counted = known.is_some_and(|entry| entry.own.is_some());
        if known.is_none() && self.entries.len() >= self.limits.total
            || !is_counted && own_count >= self.limits.per_customer
        {
            return false;
        }
        if !is_counted {
            *self.own_by_customer.entry(customer).or_default() += 1;
        }
        self.put(record);
        if let Some(entry) = self.entries.get_mut(&record.stream) {
            let customer = entry.own.map_or(customer, |own| own.customer);
            entry.own = Some(Own { customer, pool, forwarded_by, is_sent: false });
        }
        true
    }

    /// Merges a record of another router; returns `false` if a limit is exceeded.
    pub fn merge(&mut self, record: StreamRecord) -> bool {
        let has_room = self.entries.contains_key(&record.stream) || self.entries.len() < self.limits.total;
        if has_room {
            self.put(record);
        }
        has_room
    }

    fn put(&mut self, record: StreamRecord) {
        let StreamRecord { stream, software, expires_at } = record;
        let entry = self.entries.entry(stream).or_insert(Entry { software, expires_at, own: None });
        if entry.software != software {
            entry.software = StreamSoftware::Ambiguous;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
    }

    /// Returns the record of a stream.
    #[must_use]
    pub fn find(&self, stream: StreamId, now: Instant) -> Option<StreamRecord> {
        let Entry { software, expires_at, .. } = *self.entries.get(&stream)?;
        (now < expires_at).then_some(StreamRecord { stream, software, expires_at })
    }

    /// Returns the own records to send, of pools and remaining lifetimes for which `is_needed` returns `true`, and marks
    /// them as sent.
    pub fn take_unsent(
        &mut self,
        mut is_needed: impl FnMut(NameHash, Duration) -> bool,
        now: Instant,
    ) -> Vec<UnsentRecord> {
        let mut unsent = Vec::new();
        for (stream, entry) in &mut self.entries {
            let Entry { software, expires_at, own } = entry;
            let Some(own) = own.as_mut().filter(|own| !own.is_sent && now < *expires_at) else { continue };
            if is_needed(own.pool, expires_at.since(now)) {
                own.is_sent = true;
                let record = StreamRecord { stream: *stream, software: *software, expires_at: *expires_at };
                unsent.push(UnsentRecord { record, forwarded_by: own.forwarded_by });
            }
        }
        unsent
    }

    /// Returns all records, which other routers take over when this one ends.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<StreamRecord> {
        self.entries.keys().filter_map(|stream| self.find(*stream, now)).collect()
    }

    /// The number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes expired records.
    pub fn prune(&mut self, now: Instant) {
        let Self { entries, own_by_customer, .. } = self;
        entries.retain(|_, entry| {
            let is_kept = now < entry.expires_at;
            if let (false, Some(own)) = (is_kept, entry.own)
                && let Some(count) = own_by_customer.get_mut(&own.customer)
            {
                *count -= 1;
            }
            is_kept
        });
        own_by_customer.retain(|_, count| *count > 0);
    }
}
