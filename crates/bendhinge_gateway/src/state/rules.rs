//! Replica of the serving rules, with the time since they were last known to be current.

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

use crate::settings::RulesSettings;

/// Serving rules with the document that they were parsed from.
#[derive(Debug)]
pub(crate) struct ActiveRules {
    pub(crate) rules: ServingRules,
    pub(crate) document: Bytes,
}

/// This gateway's replica of the serving rules.
pub(crate) struct RulesReplica {
    replica: Mutex<Replica<ActiveRules>>,
    lease: Option<Duration>,
    /// Until when requests may wait for the first rules after startup.
    initial_wait_end: Instant,
    /// Closed when the first rules are installed. Nothing is ever sent.
    first_sender: Sender<Infallible>,
    first_receiver: Receiver<Infallible>,
}

impl RulesReplica {
    /// Creates an empty replica.
    pub(crate) fn new(limits: RulesSettings) -> Self {
        let initial_wait_end = bendhinge_clock::now() + limits.startup_wait;
        let (first_sender, first_receiver) = bounded(1);
        Self {
            replica: Mutex::default(),
            lease: limits.lease,
            initial_wait_end,
            first_sender,
            first_receiver,
        }
    }

    /// Returns the active rules. Shortly after startup, waits for the first rules for at most a fraction of
    /// `caller_timeout`.
    pub(crate) async fn current_or_wait(&self, caller_timeout: Option<Duration>) -> Option<Arc<ActiveRules>> {
        /// The wait takes at most this fraction of the timeout; the rest remains for the response.
        const TIMEOUT_FRACTION: u32 = 8;
        if let Some(current) = self.current() {
            return Some(current);
        }
        let remaining = self.initial_wait_end.since(bendhinge_clock::now());
        let remaining = caller_timeout.map_or(remaining, |timeout| remaining.min(timeout / TIMEOUT_FRACTION));
        let arrived = async {
            // Returns when the channel is closed.
            let _ = self.first_receiver.recv().await;
        };
        let timed_out = async {
            Timer::after(remaining).await;
        };
        arrived.or(timed_out).await;
        self.current()
    }

    /// Returns the active rules.
    pub(crate) fn current(&self) -> Option<Arc<ActiveRules>> {
        self.replica.lock().unwrap().value().cloned()
    }

    /// Whether the rules were known to be current within the lease, which is required to send a request that was
    /// authorized by a key. Check this right before each send, since the process may have been suspended in between.
    pub(crate) fn is_within_lease(&self) -> bool {
        let replica = self.replica.lock().unwrap();
        match self.lease {
            Some(lease) => replica.is_fresh(lease, bendhinge_clock::now()),
            None => replica.current().is_some(),
        }
    }

    /// Returns the time since the rules were last known to be current.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().unwrap().age(now)
    }

    /// Returns the held version and the time since it was last known to be current.
    pub(crate) fn held_version(&self, now: Instant) -> Option<HeldVersion> {
        self.replica.lock().unwrap().current().map(|held| HeldVersion::new(held, now))
    }

    /// Whether `version` is newer than the held one and has to be fetched.
    pub(crate) fn needs(&self, version: Version) -> bool {
        self.replica.lock().unwrap().needs(version)
    }

    /// Records that the rules of `version` were current as of `as_of`.
    pub(crate) fn confirm(&self, version: Version, as_of: Instant) -> UpdateOutcome {
        self.replica.lock().unwrap().confirm(version, as_of)
    }

    /// Installs rules unless a newer or equal revision is held, and wakes requests that wait for the first rules.
    pub(crate) fn update(&self, version: Version, as_of: Instant, rules: ActiveRules) -> UpdateOutcome {
        let outcome = self.replica.lock().unwrap().update(version, as_of, || Arc::new(rules));
        self.first_sender.close();
        outcome
    }
}
