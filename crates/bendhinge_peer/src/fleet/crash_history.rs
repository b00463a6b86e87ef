//! Crash histories of requests as exchanged between gateways, with ages instead of instants since the
//! clocks of gateways differ.

use std::time::Duration;

use bendhinge_fleet::{Crash, CrashHistory, InFlightSends};
use bendhinge_ids::{Instant, NameHash, RequestDigest, RequestHint};
use capnp::Error;

use super::convert::{list_length, millis, write_list_items};
use crate::fleet_capnp::{crash, suspicion, under_way};

/// [`CrashHistory`] of a request, with ages instead of instants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedCrashHistory {
    /// The digest of the request.
    pub request: RequestDigest,
    /// The crashes attributed to it.
    pub crashes: Vec<ObservedCrash>,
    /// The time since an upstream last sent a complete response to it.
    pub last_response_age: Option<Duration>,
    /// The sends in flight, by gateway.
    pub in_flight: Vec<ObservedInFlightSends>,
}

/// A crash of an upstream process while it processed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedCrash {
    /// The instance of the upstream that crashed.
    pub upstream: NameHash,
    /// The software that the upstream ran.
    pub software: NameHash,
    /// The time since the crash was detected.
    pub age: Duration,
}

/// The number of sends of a request that a gateway has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedInFlightSends {
    /// The hash of the gateway's address.
    pub router: NameHash,
    /// The number of sends in flight; 0 once all have ended.
    pub count: u8,
    /// The time since the last of them started or ended.
    pub age: Duration,
}

impl ObservedInFlightSends {
    pub(super) fn new(sends: &InFlightSends, now: Instant) -> Self {
        Self { router: sends.router, count: sends.count, age: now.since(sends.at) }
    }

    pub(super) fn to_sends(self, as_of: Instant) -> InFlightSends {
        InFlightSends { router: self.router, count: self.count, at: as_of - self.age }
    }
}

impl ObservedCrashHistory {
    /// Converts a history, with ages as of `now`.
    #[must_use]
    pub fn new(request: RequestDigest, history: &CrashHistory, now: Instant) -> Self {
        let crash = |crash: &Crash| ObservedCrash {
            upstream: crash.upstream,
            software: crash.software,
            age: now.since(crash.at),
        };
        Self {
            request,
            crashes: history.crashes.iter().map(crash).collect(),
            last_response_age: history.last_response.map(|at| now.since(at)),
            in_flight: history.in_flight.iter().map(|sends| ObservedInFlightSends::new(sends, now)).collect(),
        }
    }

    /// Converts back to a history, with ages counted from `as_of`.
    #[must_use]
    pub fn to_history(&self, as_of: Instant) -> CrashHistory {
        let crash = |crash: &ObservedCrash| Crash {
            upstream: crash.upstream,
            software: crash.software,
            at: as_of - crash.age,
        };
        CrashHistory {
            crashes: self.crashes.iter().map(crash).collect(),
            last_response: self.last_response_age.map(|age| as_of - age),
            in_flight: self.in_flight.iter().map(|sends| sends.to_sends(as_of)).collect(),
        }
    }
}

pub(super) fn write_crash_history(mut builder: suspicion::Builder<'_>, history: &ObservedCrashHistory) {
    builder.set_request_high(history.request.hint().0);
    builder.set_request_low(history.request.lower_half());
    builder.set_answered(history.last_response_age.is_some());
    builder.set_answered_age_millis(millis(history.last_response_age.unwrap_or_default()));
    let crashes = builder.reborrow().init_crashes(list_length(history.crashes.len()));
    write_list_items(crashes, &history.crashes, write_crash);
    write_list_items(
        builder.init_under_way(list_length(history.in_flight.len())),
        &history.in_flight,
        write_in_flight_sends,
    );
}

fn write_crash(mut builder: crash::Builder<'_>, crash: &ObservedCrash) {
    builder.set_upstream(crash.upstream.0);
    builder.set_software(crash.software.0);
    builder.set_age_millis(millis(crash.age));
}

pub(super) fn write_in_flight_sends(mut builder: under_way::Builder<'_>, sends: &ObservedInFlightSends) {
    builder.set_router(sends.router.0);
    builder.set_sends(sends.count);
    builder.set_age_millis(millis(sends.age));
}

pub(super) fn read_crash_history(reader: suspicion::Reader<'_>) -> Result<ObservedCrashHistory, Error> {
    let crashes = reader.get_crashes()?.iter().map(|crash| ObservedCrash {
        upstream: NameHash(crash.get_upstream()),
        software: NameHash(crash.get_software()),
        age: age(crash.get_age_millis()),
    });
    let hint = RequestHint(reader.get_request_high());
    Ok(ObservedCrashHistory {
        request: RequestDigest::new(hint, reader.get_request_low()),
        crashes: crashes.collect(),
        last_response_age: reader.get_answered().then(|| age(reader.get_answered_age_millis())),
        in_flight: reader.get_under_way()?.iter().map(read_in_flight_sends).collect(),
    })
}

pub(super) fn read_in_flight_sends(reader: under_way::Reader<'_>) -> ObservedInFlightSends {
    ObservedInFlightSends {
        router: NameHash(reader.get_router()),
        count: reader.get_sends(),
        age: age(reader.get_age_millis()),
    }
}

pub(super) fn age(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}
