//! The exact count of what upstreams carry, at the router that counts for them.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{ChatKey, Instant, PermitId, RouterIncarnation, UpstreamName};

use rustc_hash::FxHashMap;

use crate::DisplacedChats;

/// An upstream's own word about its load; it lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running or queued there.
    pub in_progress: u32,
    /// When it was measured, on the clock of the router that counts.
    pub measured_at: Instant,
}

/// What a ledger may hold.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// A holder that is not heard of for this long has lost its permits.
    pub lease: Duration,
    /// How many displaced chats are remembered.
    pub displaced_chats: usize,
}

/// A question for a permit.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The router that asks.
    pub holder: RouterIncarnation,
    /// The chat, if the upstream is its first by ranking: a chat that was displaced from there
    /// is then told where it went.
    pub first_choice_of: Option<ChatKey>,
    /// The most that the upstream may carry with this request; see [`crate::LoadBound::limit`].
    pub limit: u32,
}

/// A permit to send one request to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Its number, for the return.
    pub permit: PermitId,
    /// The upstream's count with this request.
    pub in_progress: u32,
}

/// Why no permit was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The upstream carries as much as it may.
    AtBound {
        /// Its count.
        in_progress: u32,
    },
    /// The chat's context is at another upstream, to which it was displaced before.
    Elsewhere(UpstreamName),
}

#[derive(Debug)]
struct Outstanding {
    upstream: UpstreamName,
    holder: RouterIncarnation,
}

/// How long changes of a count are kept, to be compared with lagging reports.
const HISTORY: Duration = Duration::from_secs(5);
/// How far apart a report's time and this router's clock may be.
const REPORT_DOUBT: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Count {
    permits: u32,
    /// Earlier numbers of permits, each with the time from which it held.
    history: VecDeque<(Instant, u32)>,
    /// Work that the last report showed beyond the permits of its time: sent without a permit,
    /// or under one of a router that counted before this one.
    beyond_permits: u32,
    reported_at: Option<Instant>,
}

impl Count {
    fn change(&mut self, permits: u32, now: Instant) {
        self.permits = permits;
        self.history.push_back((now, permits));
        while self.history.len() > 1 && now.since(self.history[1].0) > HISTORY {
            self.history.pop_front();
        }
    }

    /// The most permits that were out about `then`.
    fn permits_about(&self, then: Instant) -> u32 {
        let (from, until) = (then - REPORT_DOUBT, then + REPORT_DOUBT);
        let mut most = 0;
        for (index, (since, permits)) in self.history.iter().enumerate() {
            let ended = self.history.get(index + 1).map(|next| next.0);
            if *since <= until && ended.is_none_or(|ended| ended > from) {
                most = most.max(*permits);
            }
        }
        most
    }
}

/// The count for those upstreams that one router counts for.
#[derive(Debug)]
pub struct PermitLedger {
    limits: LedgerLimits,
    counts: FxHashMap<UpstreamName, Count>,
    outstanding: FxHashMap<PermitId, Outstanding>,
    heard: FxHashMap<RouterIncarnation, Instant>,
    displaced: DisplacedChats,
    next_permit: u64,
}

impl PermitLedger {
    /// An empty ledger.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            counts: FxHashMap::default(),
            outstanding: FxHashMap::default(),
            heard: FxHashMap::default(),
            displaced: DisplacedChats::new(limits.displaced_chats),
            next_permit: 1,
        }
    }

    /// What `upstream` carries, as far as this ledger knows.
    #[must_use]
    pub fn in_progress(&self, upstream: &UpstreamName) -> u32 {
        self.counts.get(upstream).map_or(0, |count| count.permits + count.beyond_permits)
    }

    /// How many permits are out.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Asks for a permit.
    pub fn acquire(&mut self, request: &PermitRequest, now: Instant) -> Result<Granted, Denied> {
        let displaced = request.first_choice_of.and_then(|chat| self.displaced.place(chat));
        if let Some(place) = displaced.filter(|place| **place != request.upstream) {
            return Err(Denied::Elsewhere(place.clone()));
        }
        let in_progress = self.in_progress(&request.upstream);
        if in_progress >= request.limit {
            return Err(Denied::AtBound { in_progress });
        }
        match self.heard.get_mut(&request.holder) {
            Some(heard) => *heard = now,
            None => drop(self.heard.insert(request.holder.clone(), now)),
        }
        Ok(self.grant(&request.upstream, &request.holder, now))
    }

    fn grant(&mut self, upstream: &UpstreamName, holder: &RouterIncarnation, now: Instant) -> Granted {
        let permit = PermitId(self.next_permit);
        self.next_permit += 1;
        let count = self.counts.entry(upstream.clone()).or_default();
        count.change(count.permits + 1, now);
        let in_progress = count.permits + count.beyond_permits;
        let record = Outstanding { upstream: upstream.clone(), holder: holder.clone() };
        self.outstanding.insert(permit, record);
        Granted { permit, in_progress }
    }

    /// Takes a permit back; `false` if it was returned or has lapsed before.
    pub fn release(&mut self, permit: PermitId, now: Instant) -> bool {
        let Some(record) = self.outstanding.remove(&permit) else { return false };
        if let Some(count) = self.counts.get_mut(&record.upstream) {
            count.change(count.permits - 1, now);
        }
        true
    }

    /// Notes that `chat` went to `place` because its first upstream was at its bound.
    pub fn note_displaced(&mut self, chat: ChatKey, place: UpstreamName) {
        self.displaced.remember(chat, place);
    }

    /// Takes in an upstream's report. What it shows beyond the permits of its time was sent
    /// without one, or under those of a router that counted before this one.
    pub fn report(&mut self, upstream: &UpstreamName, report: LoadReport) {
        let count = self.counts.entry(upstream.clone()).or_default();
        if count.reported_at.is_some_and(|before| before > report.measured_at) {
            return;
        }
        count.reported_at = Some(report.measured_at);
        count.beyond_permits = report.in_progress.saturating_sub(count.permits_about(report.measured_at));
    }

    /// Notes a sign of life that a router gave at `then`, which renews all its permits.
    pub fn renew(&mut self, holder: &RouterIncarnation, then: Instant) {
        if let Some(heard) = self.heard.get_mut(holder) {
            *heard = then.max(*heard);
        }
    }

    /// The lives of routers that hold or held permits.
    pub fn holders(&self) -> impl Iterator<Item = &RouterIncarnation> {
        self.heard.keys()
    }

    /// Ends the permits of routers that were not heard of for a lease, and gives their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let lease = self.limits.lease;
        let lapsed: Vec<RouterIncarnation> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.since(**heard) > lease)
            .map(|(holder, _)| holder.clone())
            .collect();
        lapsed.iter().map(|holder| self.drop_holder(holder, now)).sum()
    }

    /// Ends all permits of a router that has stopped, and gives their number.
    pub fn drop_holder(&mut self, holder: &RouterIncarnation, now: Instant) -> usize {
        self.heard.remove(holder);
        let permits: Vec<PermitId> = self
            .outstanding
            .iter()
            .filter(|(_, record)| record.holder == *holder)
            .map(|(permit, _)| *permit)
            .collect();
        permits.into_iter().filter(|permit| self.release(*permit, now)).count()
    }

    /// Drops an upstream that this router no longer counts for. Its permits can still be
    /// returned, to no effect.
    pub fn hand_over(&mut self, upstream: &UpstreamName) {
        self.counts.remove(upstream);
        self.outstanding.retain(|_, record| record.upstream != *upstream);
    }
}
