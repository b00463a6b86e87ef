//! The serving rules in force, and how old the knowledge is that they are.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::{Belief, Offer, Version};
use bendhinge_ids::Instant;
use bendhinge_peer::Known;
use bendhinge_routes::ServingRules;
use bytes::Bytes;

/// A version of the rules with the document it was read from.
#[derive(Debug)]
pub(crate) struct RulesInForce {
    pub(crate) rules: ServingRules,
    pub(crate) document: Bytes,
}

/// Keeps the rules in force.
pub(crate) struct RulesKeeper {
    belief: Mutex<Belief<RulesInForce>>,
    lease: Option<Duration>,
}

impl RulesKeeper {
    /// Rules may be acted on for `lease` after they were known to be current; `None` is no limit.
    pub(crate) fn new(lease: Option<Duration>) -> Self {
        Self { belief: Mutex::default(), lease }
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
            Some(lease) => belief.is_within(lease, bendhinge_clock::now()),
            None => belief.held().is_some(),
        }
    }

    /// How old the knowledge is that the rules are current.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.belief.lock().unwrap().age(now)
    }

    /// Which version is held, and how old the knowledge of it is.
    pub(crate) fn known(&self, now: Instant) -> Option<Known> {
        self.belief.lock().unwrap().held().map(|held| Known::of(held, now))
    }

    pub(crate) fn lacks(&self, version: Version) -> bool {
        self.belief.lock().unwrap().lacks(version)
    }

    pub(crate) fn confirm(&self, version: Version, as_of: Instant) -> Offer {
        self.belief.lock().unwrap().confirm(version, as_of)
    }

    pub(crate) fn offer(&self, version: Version, as_of: Instant, rules: RulesInForce) -> Offer {
        self.belief.lock().unwrap().offer(version, as_of, || Arc::new(rules))
    }
}
