//! What routers pass on to each other: push and pull with one random peer a period, within a
//! fixed number of bytes whatever the size of the fleet.

use std::collections::HashMap;
use std::time::Duration;

use bendhinge_ids::{BoxName, Instant};

use crate::{Summary, SummaryVersion};

/// The most that one exchange sends in one direction, in bytes of summaries.
pub const EXCHANGE_BYTES: usize = 1_000;

#[derive(Debug)]
struct Known {
    summary: Summary,
    /// When it was made, on this router's clock.
    made_at: Instant,
    /// When a newer version was last heard.
    heard_at: Instant,
    /// When it was last passed on.
    sent_at: Instant,
}

/// The summaries that one router knows of others.
#[derive(Debug, Default)]
pub struct Exchange {
    known: HashMap<BoxName, Known>,
}

impl Exchange {
    /// Takes in summaries from a peer; older versions and the router's own are passed over.
    pub fn hear(&mut self, own_name: &BoxName, summaries: Vec<Summary>, now: Instant) {
        for summary in summaries {
            if summary.name != *own_name && self.is_news(&summary) {
                self.insert(summary, now);
            }
        }
    }

    fn is_news(&self, summary: &Summary) -> bool {
        let Some(known) = self.known.get(&summary.name) else { return true };
        // Leaving wins: a life that said so cannot take it back.
        let same_life = known.summary.version.incarnation == summary.version.incarnation;
        let turns_back = same_life && known.summary.leaving && !summary.leaving;
        known.summary.version < summary.version && !turns_back
    }

    fn insert(&mut self, summary: Summary, now: Instant) {
        let made_at = now - summary.age;
        let sent_at = Instant::default();
        self.known.insert(summary.name.clone(), Known { summary, made_at, heard_at: now, sent_at });
    }

    /// What to send in one exchange: the router's own summary, then of the others those that
    /// were not passed on for longest, as many as the bytes allow.
    pub fn select(&mut self, own: Summary, now: Instant) -> Vec<Summary> {
        let mut bytes = own.size();
        let mut selected = vec![own];
        let mut others: Vec<&mut Known> = self.known.values_mut().collect();
        others.sort_by_key(|known| (known.sent_at, std::cmp::Reverse(known.made_at)));
        for known in others {
            bytes += known.summary.size();
            if bytes > EXCHANGE_BYTES {
                break;
            }
            known.sent_at = now;
            let age = now.since(known.made_at);
            selected.push(Summary { age, ..known.summary.clone() });
        }
        selected
    }

    /// All summaries with their ages.
    pub fn summaries(&self, now: Instant) -> impl Iterator<Item = (&Summary, Duration)> {
        self.known.values().map(move |known| (&known.summary, now.since(known.made_at)))
    }

    /// The summary of one box.
    #[must_use]
    pub fn summary(&self, name: &BoxName) -> Option<&Summary> {
        self.known.get(name).map(|known| &known.summary)
    }

    /// How long ago news of `name` was heard.
    #[must_use]
    pub fn silence(&self, name: &BoxName, now: Instant) -> Option<Duration> {
        self.known.get(name).map(|known| now.since(known.heard_at))
    }

    /// The version known of `name`.
    #[must_use]
    pub fn version(&self, name: &BoxName) -> Option<SummaryVersion> {
        self.known.get(name).map(|known| known.summary.version)
    }

    /// Forgets boxes that are no longer listed and were not heard of for `silence`.
    pub fn forget(&mut self, listed: impl Fn(&BoxName) -> bool, silence: Duration, now: Instant) {
        self.known.retain(|name, known| listed(name) || now.since(known.heard_at) < silence);
    }
}
