//! Callers of the model: request classes, loads, and what callers got.

use std::time::Duration;

use bendhinge_admission::engine::EngineRequest;
use bendhinge_admission::{Requester, WeightedDemand, max_min_fair_shares};
use bendhinge_ids::NameHash;

pub(super) const CUSTOMERS: usize = 12;
pub(super) const PRIORITIES: usize = 4;

/// Class of requests; its index is its priority.
pub(super) struct Class {
    /// Part of all requests.
    pub(super) fraction: f64,
    /// Time in a slot of an engine whose slots are full.
    pub(super) slot_secs: f64,
    /// Part of that time until the first event.
    first_event_fraction: f64,
    pub(super) tokens: u32,
    pub(super) target_ms: u64,
    pub(super) patience_ms: u64,
    pub(super) deadline_ms: u64,
}

const fn class(
    fraction: f64,
    slot_secs: f64,
    first_event_fraction: f64,
    tokens: u32,
    times: [u64; 3],
) -> Class {
    let [target_ms, patience_ms, deadline_ms] = times;
    Class { fraction, slot_secs, first_event_fraction, tokens, target_ms, patience_ms, deadline_ms }
}

/// Urgent chats, chats, long requests and tags.
pub(super) const CLASSES: [Class; PRIORITIES] = [
    class(0.05, 2.4, 0.05, 1_000, [500, 2_000, 15_000]),
    class(0.15, 2.4, 0.05, 1_000, [500, 2_000, 15_000]),
    class(0.06, 3.0, 0.2, 12_000, [1_000, 4_000, 15_000]),
    class(0.74, 0.2, 0.5, 300, [300, 2_000, 3_000]),
];

/// Load of a run, from [`LOAD_MS`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// One of 12 customers at 20 times its usual load, and its callers retry at once.
    Customer,
    /// Half of the engines lost for six seconds together with four times the demand.
    HalfLost,
    /// Ten times the least urgent class.
    LeastUrgent,
    /// The callers of one of three data centres at five times their usual load.
    DataCentre,
}

impl Load {
    /// All loads.
    pub const ALL: [Self; 4] = [Self::Customer, Self::HalfLost, Self::LeastUrgent, Self::DataCentre];

    pub(super) const fn end_ms(self) -> u64 {
        LOAD_MS + if matches!(self, Self::HalfLost) { 6_000 } else { 10_000 }
    }

    pub(super) fn factor(self, box_index: usize, class: usize, customer: usize) -> f64 {
        match self {
            Self::Customer if customer == 0 => 20.0,
            Self::HalfLost => 4.0,
            Self::LeastUrgent if class == PRIORITIES - 1 => 10.0,
            Self::DataCentre if box_index.is_multiple_of(3) => 5.0,
            _ => 1.0,
        }
    }

    pub(super) const fn retries_at_once(self, customer: usize) -> bool {
        matches!(self, Self::Customer) && customer == 0
    }
}

pub(super) const LOAD_MS: u64 = 6_000;
pub(super) const SETTLING_MS: u64 = 2_000;
pub(super) const END_MS: u64 = 22_000;

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) customer: usize,
    pub(super) router: usize,
    /// When its caller first sent it.
    pub(super) first_at: u64,
    pub(super) sent_at: u64,
    pub(super) tries: u32,
    /// Slot time received at the pace of full slots.
    progress_secs: f64,
    pub(super) first_event_at: Option<u64>,
    /// When its caller last had an event, or sent it.
    pub(super) last_event_at: u64,
}

impl Request {
    pub(super) const fn new(class: usize, customer: usize, router: usize, now: u64) -> Self {
        Self {
            class,
            customer,
            router,
            first_at: now,
            sent_at: now,
            tries: 1,
            progress_secs: 0.0,
            first_event_at: None,
            last_event_at: now,
        }
    }

    pub(super) fn advance(&mut self, secs: f64, now: u64) {
        let class = &CLASSES[self.class];
        self.progress_secs += secs;
        if self.progress_secs >= class.slot_secs * class.first_event_fraction {
            self.first_event_at.get_or_insert(now);
            self.last_event_at = now;
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.progress_secs >= CLASSES[self.class].slot_secs
    }

    pub(super) fn restart(&mut self) {
        self.progress_secs = 0.0;
    }

    pub(super) fn time_left_ms(&self, now: u64) -> u64 {
        (self.first_at + CLASSES[self.class].deadline_ms).saturating_sub(now)
    }

    pub(super) fn to_decide(&self, now: u64) -> EngineRequest {
        let class = &CLASSES[self.class];
        EngineRequest {
            requester: Requester {
                priority: u8::try_from(self.class).unwrap_or(u8::MAX),
                customer: NameHash(self.customer as u64),
            },
            patience: Duration::from_millis(class.patience_ms),
            target_latency: Duration::from_millis(class.target_ms),
            time_left: Duration::from_millis(self.time_left_ms(now)),
            full_time: Duration::from_millis(class.deadline_ms),
            tokens: class.tokens,
        }
    }
}

/// What the callers of a priority got whose requests were first sent while the load lasted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Requests.
    pub sent: f64,
    /// Complete, with the first event within the target latency.
    pub in_time: f64,
    /// Complete.
    pub complete: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By priority.
    pub priorities: [Served; PRIORITIES],
    /// Requests that ended at their caller's patience without any response.
    pub silent: f64,
    /// Streams that ended at their caller's patience after the first event.
    pub cut: f64,
    /// Requests refused while less than 0.8 of the slots were in use.
    pub refused_in_calm: f64,
    /// Requests that came back after a refusal and were refused again.
    pub refused_again: f64,
    /// Requests that engines rejected.
    pub rejected: f64,
    /// Mean fraction of the slots that were idle while the load lasted, without its first two seconds.
    pub idle: f64,
    /// Standard deviation of the requests in progress relative to the slots in that time.
    pub deviation: f64,
    pub(super) customers: CustomersServed,
    /// Without requests first sent within [`SETTLING_MS`] of the load's start.
    pub(super) settled: CustomersServed,
}

/// What customers got, by priority.
pub(super) type CustomersServed = [[Served; CUSTOMERS]; PRIORITIES];

impl Outcome {
    /// Returns the least that a customer got relative to its max-min fair part of what its priority got.
    #[must_use]
    pub fn worst_share(&self) -> f64 {
        worst_share(&self.customers, 0)
    }

    /// Returns the same without the first two seconds of the load.
    #[must_use]
    pub fn worst_settled_share(&self) -> f64 {
        worst_share(&self.settled, 0)
    }

    /// Returns the same, also without the first two seconds, for customers other than the first, which is the large one of [`Load::Customer`].
    #[must_use]
    pub fn worst_settled_share_of_others(&self) -> f64 {
        worst_share(&self.settled, 1)
    }
}

fn worst_share(customers: &CustomersServed, skipped: usize) -> f64 {
    /// Requests below which the ratio is mostly chance.
    const MIN_SENT: f64 = 100.0;
    let worst_of = |customers: &[Served; CUSTOMERS]| {
        let demands =
            customers.map(|served| WeightedDemand { weight: 1.0, amount: served.sent, is_growing: false });
        let complete: f64 = customers.iter().map(|served| served.complete).sum();
        let shares = max_min_fair_shares(&demands, complete);
        let ratios = customers.iter().zip(shares).skip(skipped).filter(|(served, _)| served.sent >= MIN_SENT);
        ratios.map(|(served, share)| served.complete / share.max(1.0)).fold(1.0, f64::min)
    };
    customers.iter().map(worst_of).fold(1.0, f64::min)
}
