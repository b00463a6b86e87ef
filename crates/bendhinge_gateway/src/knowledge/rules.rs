//! The serving rules in force, and how old the knowledge is that they are.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::{Replica, UpdateOutcome, Version};
use bendhinge_ids::Instant;
use bendhinge_peer::HeldVersion;
use bendhinge_routes::ServingRules;
use bytes::Bytes;
use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::settings::BeliefSettings;

/// A version of the rules with the document it was read from.
#[derive(Debug)]
pub(crate) struct RulesInForce {
    pub(crate) rules: ServingRules,
    pub(crate) document: Bytes,
}

/// Keeps the rules in force.
pub(crate) struct RulesKeeper {
    belief: Mutex<Replica<RulesInForce>>,
    lease: Option<Duration>,
    /// Until when requests wait for the first rules.
    first_until: Instant,
    /// Closed when the first rules are there; nothing is ever sent.
    first: Sender<Infallible>,
    first_arrived: Receiver<Infallible>,
}

impl RulesKeeper {
    /// No rules yet.
    pub(crate) fn new(limits: BeliefSettings) -> Self {
        let first_until = bendhinge_clock::now() + limits.first_rules;
        let (first, first_arrived) = bounded(1);
        Self { belief: Mutex::default(), lease: limits.rules_lease, first_until, first, first_arrived }
    }

    /// The rules in force. Those who ask while the process starts wait for them for a moment, which is a small part of
    /// the time for which their caller waits.
    pub(crate) async fn current_or_first(&self, caller_waits: Option<Duration>) -> Option<Arc<RulesInForce>> {
        /// What is left of its time must do for the answer.
        const PART_OF_TIME: u32 = 8;
        if let Some(current) = self.current() {
            return Some(current);
        }
        let left = self.first_until.since(bendhinge_clock::now());
        let left = caller_waits.map_or(left, |waits| left.min(waits / PART_OF_TIME));
        let arrived = async {
            // It ends when the channel is closed.
            let _ = self.first_arrived.recv().await;
        };
        let too_late = async {
            Timer::after(left).await;
        };
        arrived.or(too_late).await;
        self.current()
    }

    /// The rules in force.
    pub(crate) fn current(&self) -> Option<Arc<RulesInForce>> {
        self.belief.lock().unwrap().value().cloned()
    }

    /// Whether the rules were known to be current lately enough to send a request with a key.
    /// Asked right before each send: the process may have been frozen since it was last asked.
    pub(crate) fn may_be_acted_on(&self) -> bool {
        let belief = self.belief.lock().unwrap();
        match self.lease {
            Some(lease) => belief.is_fresh(lease, bendhinge_clock::now()),
            None => belief.current().is_some(),
        }
    }

    /// How old the knowledge is that the rules are current.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.belief.lock().unwrap().age(now)
    }

    /// Which version is held, and how old the knowledge of it is.
    pub(crate) fn known(&self, now: Instant) -> Option<HeldVersion> {
        self.belief.lock().unwrap().current().map(|held| HeldVersion::new(held, now))
    }

    pub(crate) fn lacks(&self, version: Version) -> bool {
        self.belief.lock().unwrap().needs(version)
    }

    pub(crate) fn confirm(&self, version: Version, as_of: Instant) -> UpdateOutcome {
        self.belief.lock().unwrap().confirm(version, as_of)
    }

    pub(crate) fn offer(&self, version: Version, as_of: Instant, rules: RulesInForce) -> UpdateOutcome {
        let offer = self.belief.lock().unwrap().update(version, as_of, || Arc::new(rules));
        self.first.close();
        offer
    }
}
