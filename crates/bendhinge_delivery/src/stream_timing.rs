//! Time to the first event and longest pause of one relayed stream.

use std::time::Duration;

use bendhinge_ids::Instant;

use crate::{PromptWork, SendTotals};

/// A pause between two events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time from the request's arrival to the event before the pause.
    pub offset: Duration,
    /// Time between the events.
    pub length: Duration,
    /// Other sends of this gateway to the upstream that had no first event yet at some time during the pause.
    pub concurrent: PromptWork,
}

/// The last event of a stream.
#[derive(Clone, Copy, Debug)]
struct LastEvent {
    at: Instant,
    /// Totals of the sends to the upstream at that time.
    totals: SendTotals,
    /// Concurrent sends, if the stream has left the upstream since.
    concurrent_until_interruption: Option<PromptWork>,
}

/// Time to the first event and longest pause of one stream. Events that arrive together count as one.
#[derive(Debug)]
pub struct StreamTiming {
    arrived_at: Instant,
    first_event: Option<Duration>,
    last_event: Option<LastEvent>,
    longest_pause: Option<Pause>,
}

impl StreamTiming {
    /// Starts the measurement of a stream whose request arrived at `arrived_at`.
    #[must_use]
    pub const fn new(arrived_at: Instant) -> Self {
        Self { arrived_at, first_event: None, last_event: None, longest_pause: None }
    }

    /// Records an event; returns whether it is the first one. `totals` are those of the upstream that sent it
    /// and count the stream's own send as prefilled.
    pub fn record_event(&mut self, now: Instant, totals: SendTotals) -> bool {
        self.record_pause(now, totals);
        self.last_event = Some(LastEvent { at: now, totals, concurrent_until_interruption: None });
        let is_first = self.first_event.is_none();
        self.first_event.get_or_insert(now.since(self.arrived_at));
        is_first
    }

    /// Records that the stream leaves its upstream before its end. The pause goes on until the stream is resumed,
    /// but other sends count only up to now: later ones at this upstream do not delay the stream any more.
    pub fn record_interruption(&mut self, totals: SendTotals) {
        if let Some(last) = &mut self.last_event {
            last.concurrent_until_interruption.get_or_insert(totals.outstanding_since(last.totals));
        }
    }

    /// Records that an interrupted stream is given up. The time since its last event counts as a pause, because
    /// an event was due; the time between the last event and a regular end does not.
    pub fn record_abandonment(&mut self, now: Instant) {
        if let Some(last) = self.last_event {
            self.record_pause(now, last.totals);
        }
    }

    /// Returns the time from the request's arrival to the first event, if there was one.
    #[must_use]
    pub const fn first_event(&self) -> Option<Duration> {
        self.first_event
    }

    /// Returns the longest pause so far, the first of equal ones.
    #[must_use]
    pub const fn longest_pause(&self) -> Option<Pause> {
        self.longest_pause
    }

    fn record_pause(&mut self, now: Instant, totals: SendTotals) {
        let Some(last) = self.last_event else { return };
        let length = now.since(last.at);
        if self.longest_pause.is_some_and(|longest| length <= longest.length) {
            return;
        }
        let offset = last.at.since(self.arrived_at);
        let concurrent = last.concurrent_until_interruption;
        let concurrent = concurrent.unwrap_or_else(|| totals.outstanding_since(last.totals));
        self.longest_pause = Some(Pause { offset, length, concurrent });
    }
}
