//! Requests, pool loads and decisions.

use std::time::Duration;

use crate::Requester;

/// Request to a pool of engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest {
    /// Priority and customer.
    pub requester: Requester,
    /// Time for which the caller waits for the first event or the next one.
    pub patience: Duration,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Longest time until the deadline that requests of the route have. One with much less left was sent before.
    pub full_time: Duration,
    /// Prompt tokens.
    pub tokens: u32,
}

impl EngineRequest {
    /// Returns the priority and prompt size.
    #[must_use]
    pub const fn kind(&self) -> RequestKind {
        RequestKind { priority: self.requester.priority, tokens: self.tokens }
    }

    /// Returns whether the caller was probably told to retry this request earlier.
    pub(crate) fn is_retry(&self) -> bool {
        /// Fraction of the full time that a new request has left at least: callers state between 0.8 and 1 of it.
        const NEW_FRACTION: f64 = 0.8;
        self.time_left < self.full_time.mul_f64(NEW_FRACTION)
    }
}

/// Properties of a request that determine how long it holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Prompt tokens.
    pub tokens: u32,
}

/// Load of a pool of engines as known to a box.
#[derive(Clone, Copy, Debug)]
pub struct EnginePoolLoad {
    /// Number of engines that take work.
    pub upstreams: u32,
    /// Slots of these engines together.
    pub slots: u32,
    /// Estimated number of requests running and waiting at these engines.
    pub in_progress: u32,
    /// Predicted time that a new request waits, if known.
    pub predicted_wait: Option<Duration>,
    /// Number of boxes that send requests to the pool.
    pub router_count: u32,
}

impl EnginePoolLoad {
    /// Returns the requests in progress relative to the slots; above 1 if requests wait, 0 if slots are unknown.
    pub(crate) fn slots_in_use(&self) -> f64 {
        if self.slots == 0 { 0.0 } else { f64::from(self.in_progress) / f64::from(self.slots) }
    }
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionRefusal {
    /// The capacity is used by more urgent requests, or divided evenly among customers.
    NoRoom,
    /// The customer demands more than its fair share of the priority's capacity.
    CustomerOverShare,
    /// The request would wait longer than its caller does.
    DeadlineUnreachable,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineDecision {
    /// The request may be sent to an engine.
    Admitted,
    /// The request is refused and will not run.
    Refused {
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// Reason for the refusal.
        reason: AdmissionRefusal,
    },
}
