//! Suspected requests, as gateways tell each other of them: instants as ages, since clocks differ.

use std::time::Duration;

use bendhinge_fleet::{Crash, CrashHistory, InFlightSends};
use bendhinge_ids::{Instant, NameHash, RequestDigest, RequestHint};
use capnp::Error;

use super::convert::{count, millis, write_all};
use crate::fleet_capnp::{crash, suspicion, under_way};

/// What is known of a suspected request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedSuspicion {
    /// Which request.
    pub request: RequestDigest,
    /// The crashes under it.
    pub crashes: Vec<ObservedCrash>,
    /// How long ago an upstream last gave a whole answer to it.
    pub answered: Option<Duration>,
    /// Who sends it.
    pub under_way: Vec<ObservedSends>,
}

/// The end of an upstream's process under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedCrash {
    /// The upstream.
    pub upstream: NameHash,
    /// The software that it ran.
    pub software: NameHash,
    /// How long ago it was noticed.
    pub age: Duration,
}

/// A gateway's sends of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedSends {
    /// Which gateway, by a hash of its address.
    pub router: NameHash,
    /// How many.
    pub sends: u8,
    /// How long ago the last of them began or ended.
    pub age: Duration,
}

impl ObservedSuspicion {
    /// What is known at `now` of a request.
    #[must_use]
    pub fn of(request: RequestDigest, suspicion: &CrashHistory, now: Instant) -> Self {
        let crash = |crash: &Crash| ObservedCrash {
            upstream: crash.upstream,
            software: crash.software,
            age: now.since(crash.at),
        };
        let sending = |said: &InFlightSends| ObservedSends {
            router: said.router,
            sends: said.count,
            age: now.since(said.at),
        };
        Self {
            request,
            crashes: suspicion.crashes.iter().map(crash).collect(),
            answered: suspicion.last_response.map(|answered| now.since(answered)),
            under_way: suspicion.in_flight.iter().map(sending).collect(),
        }
    }

    /// The same, its ages counted from `as_of`.
    #[must_use]
    pub fn as_of(&self, as_of: Instant) -> CrashHistory {
        let crash = |crash: &ObservedCrash| Crash {
            upstream: crash.upstream,
            software: crash.software,
            at: as_of - crash.age,
        };
        let sending = |said: &ObservedSends| InFlightSends {
            router: said.router,
            count: said.sends,
            at: as_of - said.age,
        };
        CrashHistory {
            crashes: self.crashes.iter().map(crash).collect(),
            last_response: self.answered.map(|age| as_of - age),
            in_flight: self.under_way.iter().map(sending).collect(),
        }
    }
}

pub(super) fn write_suspicion(mut to: suspicion::Builder<'_>, suspicion: &ObservedSuspicion) {
    to.set_request_high(suspicion.request.hint().0);
    to.set_request_low(suspicion.request.lower_half());
    to.set_answered(suspicion.answered.is_some());
    to.set_answered_age_millis(millis(suspicion.answered.unwrap_or_default()));
    let crashes = to.reborrow().init_crashes(count(suspicion.crashes.len()));
    write_all(crashes, &suspicion.crashes, write_crash);
    write_all(to.init_under_way(count(suspicion.under_way.len())), &suspicion.under_way, write_sends);
}

fn write_crash(mut to: crash::Builder<'_>, crash: &ObservedCrash) {
    to.set_upstream(crash.upstream.0);
    to.set_software(crash.software.0);
    to.set_age_millis(millis(crash.age));
}

fn write_sends(mut to: under_way::Builder<'_>, said: &ObservedSends) {
    to.set_router(said.router.0);
    to.set_sends(said.sends);
    to.set_age_millis(millis(said.age));
}

pub(super) fn read_suspicion(from: suspicion::Reader<'_>) -> Result<ObservedSuspicion, Error> {
    let age = |age: u32| Duration::from_millis(age.into());
    let crashes = from.get_crashes()?.iter().map(|crash| ObservedCrash {
        upstream: NameHash(crash.get_upstream()),
        software: NameHash(crash.get_software()),
        age: age(crash.get_age_millis()),
    });
    let under_way = from.get_under_way()?.iter().map(|said| ObservedSends {
        router: NameHash(said.get_router()),
        sends: said.get_sends(),
        age: age(said.get_age_millis()),
    });
    let hint = RequestHint(from.get_request_high());
    Ok(ObservedSuspicion {
        request: RequestDigest::new(hint, from.get_request_low()),
        crashes: crashes.collect(),
        answered: from.get_answered().then(|| age(from.get_answered_age_millis())),
        under_way: under_way.collect(),
    })
}
