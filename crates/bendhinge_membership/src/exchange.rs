//! Push-pull gossip state: the summaries that a router has received from its peers and the
//! selection it sends, which has a fixed byte limit regardless of the size of the fleet.

use std::collections::HashMap;
use std::time::Duration;

use bendhinge_ids::{BoxName, Instant};

use crate::{Summary, SummaryVersion};

/// Maximum estimated size of the summaries sent in one direction of an exchange.
pub const MAX_EXCHANGE_BYTES: usize = 1_000;

#[derive(Debug)]
struct KnownSummary {
    summary: Summary,
    /// When the summary was created, on this router's clock.
    created_at: Instant,
    /// When this version was received.
    received_at: Instant,
    /// When the summary was last forwarded.
    sent_at: Instant,
}

/// The latest summary of every other router known to this one.
#[derive(Debug, Default)]
pub struct Exchange {
    known: HashMap<BoxName, KnownSummary>,
}

impl Exchange {
    /// Stores summaries from a peer, ignoring older versions and the router's own summary.
    pub fn receive(&mut self, own_name: &BoxName, summaries: Vec<Summary>, now: Instant) {
        for summary in summaries {
            if summary.name != *own_name && self.supersedes_known(&summary) {
                self.insert(summary, now);
            }
        }
    }

    fn supersedes_known(&self, summary: &Summary) -> bool {
        let Some(known) = self.known.get(&summary.name) else { return true };
        // Leaving is final for one incarnation.
        let same_incarnation = known.summary.version.incarnation == summary.version.incarnation;
        let reverts_leaving = same_incarnation && known.summary.leaving && !summary.leaving;
        known.summary.version < summary.version && !reverts_leaving
    }

    fn insert(&mut self, summary: Summary, now: Instant) {
        let created_at = now - summary.age;
        let sent_at = Instant::default();
        self.known
            .insert(summary.name.clone(), KnownSummary { summary, created_at, received_at: now, sent_at });
    }

    /// Selects the summaries to send in one exchange: the router's own, then the least recently
    /// forwarded ones that fit into [`MAX_EXCHANGE_BYTES`].
    pub fn select(&mut self, own: Summary, now: Instant) -> Vec<Summary> {
        let mut bytes = own.estimated_bytes();
        let mut selected = vec![own];
        let mut others: Vec<&mut KnownSummary> = self.known.values_mut().collect();
        others.sort_by_key(|known| (known.sent_at, std::cmp::Reverse(known.created_at)));
        for known in others {
            bytes += known.summary.estimated_bytes();
            if bytes > MAX_EXCHANGE_BYTES {
                break;
            }
            known.sent_at = now;
            let age = now.since(known.created_at);
            selected.push(Summary { age, ..known.summary.clone() });
        }
        selected
    }

    /// All stored summaries with their ages.
    pub fn summaries(&self, now: Instant) -> impl Iterator<Item = (&Summary, Duration)> {
        self.known.values().map(move |known| (&known.summary, now.since(known.created_at)))
    }

    /// The summary of the router on box `name`.
    #[must_use]
    pub fn summary(&self, name: &BoxName) -> Option<&Summary> {
        self.known.get(name).map(|known| &known.summary)
    }

    /// Time since a newer summary of `name` was received.
    #[must_use]
    pub fn time_since_update(&self, name: &BoxName, now: Instant) -> Option<Duration> {
        self.known.get(name).map(|known| now.since(known.received_at))
    }

    /// The latest known summary version of `name`.
    #[must_use]
    pub fn version(&self, name: &BoxName) -> Option<SummaryVersion> {
        self.known.get(name).map(|known| known.summary.version)
    }

    /// Removes boxes that are no longer listed and had no update for `retention`.
    pub fn remove_unlisted(&mut self, listed: impl Fn(&BoxName) -> bool, retention: Duration, now: Instant) {
        self.known.retain(|name, known| listed(name) || now.since(known.received_at) < retention);
    }
}
