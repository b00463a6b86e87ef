//! Records of streams, and the software of pools, in messages between gateways.

use std::time::Duration;

use bendhinge_fleet::{ServedSoftware, StreamId, StreamRecord, StreamSoftware};
use bendhinge_ids::{Instant, NameHash};

use super::convert::millis;
use crate::fleet_capnp::{served_software, stream_record};

/// The software that stands for several in messages.
const AMBIGUOUS: u64 = 0;

/// A [`StreamRecord`], with the time until it expires instead of an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedStream {
    /// The stream.
    pub stream: StreamId,
    /// The software that began it.
    pub software: StreamSoftware,
    /// The time until the record expires.
    pub expires_in: Duration,
}

impl ObservedStream {
    /// Converts a record as of `now`.
    #[must_use]
    pub fn new(record: StreamRecord, now: Instant) -> Self {
        let StreamRecord { stream, software, expires_at } = record;
        Self { stream, software, expires_in: expires_at.since(now) }
    }

    /// Converts back to a record, with the time counted from `now` but limited to `max_lifetime`.
    #[must_use]
    pub fn to_record(self, max_lifetime: Duration, now: Instant) -> StreamRecord {
        let Self { stream, software, expires_in } = self;
        StreamRecord { stream, software, expires_at: now + expires_in.min(max_lifetime) }
    }
}

/// [`ServedSoftware`], with an age instead of an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedSoftware {
    /// The hash of the pool's name.
    pub pool: NameHash,
    /// The hash of the software.
    pub software: NameHash,
    /// The time since it was last listed.
    pub age: Duration,
}

impl ObservedSoftware {
    /// Converts with the age as of `now`.
    #[must_use]
    pub fn new(served: ServedSoftware, now: Instant) -> Self {
        let ServedSoftware { pool, software, last_listed } = served;
        Self { pool, software, age: now.since(last_listed) }
    }

    /// Converts back, with the age counted from `as_of`.
    #[must_use]
    pub fn to_served(self, as_of: Instant) -> ServedSoftware {
        let Self { pool, software, age } = self;
        ServedSoftware { pool, software, last_listed: as_of - age }
    }
}

/// What a gateway knows of a stream and of the software of its pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamAnswer {
    /// The record of the stream.
    pub record: Option<ObservedStream>,
    /// For how long the gateway cannot have missed a version of the software.
    pub watched_for: Duration,
    /// The software that the upstreams of the pool run or have run.
    pub served: Vec<ObservedSoftware>,
}

pub(super) fn write_stream(mut builder: stream_record::Builder<'_>, observed: &ObservedStream) {
    builder.set_stream(observed.stream.0);
    builder.set_software(match observed.software {
        StreamSoftware::Known(software) => software.0,
        StreamSoftware::Ambiguous => AMBIGUOUS,
    });
    builder.set_expires_in_millis(millis(observed.expires_in));
}

pub(super) fn read_stream(reader: stream_record::Reader<'_>) -> ObservedStream {
    let software = match reader.get_software() {
        AMBIGUOUS => StreamSoftware::Ambiguous,
        software => StreamSoftware::Known(NameHash(software)),
    };
    let expires_in = Duration::from_millis(reader.get_expires_in_millis().into());
    ObservedStream { stream: StreamId(reader.get_stream()), software, expires_in }
}

pub(super) fn write_served(mut builder: served_software::Builder<'_>, observed: &ObservedSoftware) {
    builder.set_pool(observed.pool.0);
    builder.set_software(observed.software.0);
    builder.set_age_millis(millis(observed.age));
}

pub(super) fn read_served(reader: served_software::Reader<'_>) -> ObservedSoftware {
    ObservedSoftware {
        pool: NameHash(reader.get_pool()),
        software: NameHash(reader.get_software()),
        age: Duration::from_millis(reader.get_age_millis().into()),
    }
}
