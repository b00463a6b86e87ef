//! What a router knows of the work at one upstream.

use std::time::Duration;

use bendhinge_ids::Instant;

use super::{SendId, WorkReport};

/// Time constant of the decay of a reported pace towards the usual. The pace changes several times a
/// second.
const PACE_FADE: Duration = Duration::from_millis(300);
/// Age of a reported pace beyond which it is ignored.
const PACE_MAX_AGE: Duration = Duration::from_secs(2);
/// Range to which a reported pace is clamped, in percent.
const PACE_RANGE: std::ops::RangeInclusive<u32> = 20..=1_000;
/// Maximum plausible number of requests and slots of one upstream.
const MAX_REQUESTS: u32 = 65_536;
/// Age beyond which a send without a first event is no longer counted as pending. Callers give up sooner,
/// and a router that was suspended has not yet seen the events of its sends.
const PENDING_MAX_AGE: Duration = Duration::from_secs(5);
/// Time for which a report of waiting requests shows how many requests an upstream can run.
pub(super) const FULL_MEMORY: Duration = Duration::from_secs(4);
#[derive(Clone, Copy, Debug)]
struct PendingSend {
    id: SendId,
    tokens: u32,
    sent_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct At<T> {
    value: T,
    at: Instant,
}

/// State of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamState {
    /// Sends of this router without a first event.
    pending: Vec<PendingSend>,
    pace: Option<At<f32>>,
    slots: Option<u32>,
    /// Requests that ran while others waited.
    full_running: Option<At<u32>>,
}

impl UpstreamState {
    pub(super) fn add_own(&mut self, id: SendId, tokens: u32, now: Instant) {
        self.pending.retain(|send| is_pending(send, now));
        self.pending.push(PendingSend { id, tokens, sent_at: now });
    }

    pub(super) fn remove_own(&mut self, id: SendId) {
        self.pending.retain(|send| send.id != id);
    }

    pub(super) fn has_pending(&self, now: Instant) -> bool {
        self.pending.iter().any(|send| is_pending(send, now))
    }

    /// Returns the prompt tokens of this router's sends that wait or are being processed.
    pub(super) fn pending_tokens(&self, now: Instant) -> f32 {
        let pending = self.pending.iter().filter(|send| is_pending(send, now));
        pending.map(|send| send.tokens as f32).sum()
    }

    /// Returns how long work takes at present relative to the usual.
    pub(super) fn pace(&self, now: Instant) -> f32 {
        let Some(known) = self.pace.filter(|pace| now.since(pace.at) < PACE_MAX_AGE) else { return 1.0 };
        let weight = (-now.since(known.at).as_secs_f32() / PACE_FADE.as_secs_f32()).exp();
        1.0 + (known.value - 1.0) * weight
    }

    pub(super) fn slots(&self) -> Option<f32> {
        self.slots.map(|slots| slots as f32)
    }

    pub(super) fn full_running(&self, now: Instant) -> Option<f32> {
        let full = self.full_running.filter(|full| now.since(full.at) < FULL_MEMORY)?;
        Some(full.value as f32)
    }

    /// Records a report and returns its plausible part, or `None` if its numbers of requests are not
    /// plausible.
    pub(super) fn record_report(&mut self, report: WorkReport, now: Instant) -> Option<WorkReport> {
        if report.running > MAX_REQUESTS || report.waiting > MAX_REQUESTS {
            return None;
        }
        let slots = report.slots.filter(|slots| (1..=MAX_REQUESTS).contains(slots));
        self.slots = slots.or(self.slots);
        let pace_percent = report.pace_percent.filter(|percent| *percent > 0);
        let pace_percent = pace_percent.map(|percent| percent.clamp(*PACE_RANGE.start(), *PACE_RANGE.end()));
        if let Some(percent) = pace_percent {
            self.pace = Some(At { value: percent as f32 / 100.0, at: now });
        }
        let is_full = report.waiting > 0 && report.running > 0;
        self.full_running = is_full.then_some(At { value: report.running, at: now });
        Some(WorkReport { slots, pace_percent, ..report })
    }
}

fn is_pending(send: &PendingSend, now: Instant) -> bool {
    now.since(send.sent_at) < PENDING_MAX_AGE
}
