//! The serving rules in force, and how old the knowledge is that they are.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::{Belief, Offer, Version};
use bendhinge_ids::Instant;
use bendhinge_peer::Known;
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
    belief: Mutex<Belief<RulesInForce>>,
    limits: BeliefSettings,
    started: Instant,
    /// Closed when the first rules are there; nothing is ever sent.
    first: (Sender<Infallible>, Receiver<Infallible>),
}

impl RulesKeeper {
    /// No rules yet.
    pub(crate) fn new(limits: BeliefSettings) -> Self {
        Self { belief: Mutex::default(), limits, started: bendhinge_clock::now(), first: bounded(1) }
    }

    /// The rules in force. Those who ask while the process starts wait for them for a moment.
    pub(crate) async fn current_or_first(&self) -> Option<Arc<RulesInForce>> {
        let left = self.limits.first_rules.saturating_sub(bendhinge_clock::now().since(self.started));
        if self.current().is_none() && !left.is_zero() {
            let arrived = async {
                // It ends when the channel is closed.
                let _ = self.first.1.recv().await;
            };
            let too_late = async {
                Timer::after(left).await;
            };
            arrived.or(too_late).await;
        }
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
        match self.limits.rules_lease {
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
        let offer = self.belief.lock().unwrap().offer(version, as_of, || Arc::new(rules));
        self.first.0.close();
        offer
    }
}
