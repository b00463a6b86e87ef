//! Crash histories of prompt parts as exchanged between gateways, with ages instead of instants.

use std::time::Duration;

use bendhinge_fleet::{PartCrash, PartHistory};
use bendhinge_ids::{Instant, NameHash, PartDigest};
use capnp::Error;

use super::convert::{list_length, millis, write_list_items};
use super::crash_history::{ObservedInFlightSends, age, read_in_flight_sends, write_in_flight_sends};
use crate::fleet_capnp::{part_crash, part_suspicion};

/// [`PartHistory`] of a prompt part, with ages instead of instants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedPartHistory {
    /// The digest of the part.
    pub part: PartDigest,
    /// A hash of the name of the pool that the requests are sent to.
    pub pool: NameHash,
    /// The crashes while an upstream processed a request with the part.
    pub crashes: Vec<ObservedPartCrash>,
    /// The time since an upstream last sent a complete response to a request with the part.
    pub last_response_age: Option<Duration>,
    /// The number of complete responses of the pool to other requests since the first crash.
    pub other_responses: u32,
    /// The sends in flight, by gateway.
    pub in_flight: Vec<ObservedInFlightSends>,
}

/// [`PartCrash`], with ages instead of instants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedPartCrash {
    /// The instance of the upstream that crashed.
    pub upstream: NameHash,
    /// The software that the upstream ran.
    pub software: NameHash,
    /// A hash of the request.
    pub request: NameHash,
    /// The time since the request was sent.
    pub sent_age: Duration,
    /// The time since the crash was detected.
    pub age: Duration,
}

impl ObservedPartHistory {
    /// Converts a history, with ages as of `now`.
    #[must_use]
    pub fn new(part: PartDigest, history: &PartHistory, now: Instant) -> Self {
        let observed = |crash: &PartCrash| ObservedPartCrash {
            upstream: crash.upstream,
            software: crash.software,
            request: crash.request,
            sent_age: now.since(crash.sent_at),
            age: now.since(crash.at),
        };
        Self {
            part,
            pool: history.pool,
            crashes: history.crashes.iter().map(observed).collect(),
            last_response_age: history.last_response.map(|at| now.since(at)),
            other_responses: history.other_responses,
            in_flight: history.in_flight.iter().map(|sends| ObservedInFlightSends::new(sends, now)).collect(),
        }
    }

    /// Converts back to a history, with ages counted from `as_of`.
    #[must_use]
    pub fn to_history(&self, as_of: Instant) -> PartHistory {
        let restored = |crash: &ObservedPartCrash| PartCrash {
            upstream: crash.upstream,
            software: crash.software,
            request: crash.request,
            sent_at: as_of - crash.sent_age,
            at: as_of - crash.age,
        };
        let mut history = PartHistory::new(self.pool, self.other_responses);
        history.crashes = self.crashes.iter().map(restored).collect();
        history.last_response = self.last_response_age.map(|age| as_of - age);
        history.in_flight = self.in_flight.iter().map(|sends| sends.to_sends(as_of)).collect();
        history
    }
}

pub(super) fn write_part_history(mut builder: part_suspicion::Builder<'_>, history: &ObservedPartHistory) {
    builder.set_part(history.part.0);
    builder.set_pool(history.pool.0);
    builder.set_answered(history.last_response_age.is_some());
    builder.set_answered_age_millis(millis(history.last_response_age.unwrap_or_default()));
    builder.set_other_responses(history.other_responses);
    let crashes = builder.reborrow().init_crashes(list_length(history.crashes.len()));
    write_list_items(crashes, &history.crashes, write_crash);
    let in_flight = builder.init_under_way(list_length(history.in_flight.len()));
    write_list_items(in_flight, &history.in_flight, write_in_flight_sends);
}

fn write_crash(mut builder: part_crash::Builder<'_>, crash: &ObservedPartCrash) {
    builder.set_upstream(crash.upstream.0);
    builder.set_software(crash.software.0);
    builder.set_request(crash.request.0);
    builder.set_sent_age_millis(millis(crash.sent_age));
    builder.set_age_millis(millis(crash.age));
}

pub(super) fn read_part_history(reader: part_suspicion::Reader<'_>) -> Result<ObservedPartHistory, Error> {
    let crashes = reader.get_crashes()?.iter().map(|crash| ObservedPartCrash {
        upstream: NameHash(crash.get_upstream()),
        software: NameHash(crash.get_software()),
        request: NameHash(crash.get_request()),
        sent_age: age(crash.get_sent_age_millis()),
        age: age(crash.get_age_millis()),
    });
    Ok(ObservedPartHistory {
        part: PartDigest(reader.get_part()),
        pool: NameHash(reader.get_pool()),
        crashes: crashes.collect(),
        last_response_age: reader.get_answered().then(|| age(reader.get_answered_age_millis())),
        other_responses: reader.get_other_responses(),
        in_flight: reader.get_under_way()?.iter().map(read_in_flight_sends).collect(),
    })
}
