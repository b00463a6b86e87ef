//! Estimates the work at each upstream of an engine pool: prompt tokens to process, requests that wait
//! for a slot and the present pace.
//!
//! Loads handled: long prompts that meet at one engine while others are idle, as after a start; engines
//! whose slots are all in use; engines that are slow for some tenths of a second.

mod learned;
mod upstream;

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use self::learned::{LoadTrend, ReadSpeed, RecentMean};
use self::upstream::UpstreamState;

/// Time without any call after which this router is taken to have been suspended. The durations of sends
/// that began before are not learned: they include the suspension.
const SUSPENSION: Duration = Duration::from_secs(5);
/// Time after a report of waiting requests during which times to first event are not learned as prefill
/// times, since they include the wait for a slot.
const QUEUE_MEMORY: Duration = Duration::from_secs(1);
/// Weight of past hold times for each new one; averages over roughly the last ten, so that it follows the
/// longer hold times of an overloaded pool within a second or two.
const HOLD_DECAY: f32 = 0.9;
/// Weight of past capacities for each new one.
const CAPACITY_DECAY: f32 = 0.9;
/// Upper bound of a learned hold time, so that a hung request does not distort the mean.
const MAX_HOLD: Duration = Duration::from_secs(30);
/// Upper bound of predicted waits and read times. Callers give up long before.
const MAX_PREDICTION_SECS: f32 = 600.0;
/// Age beyond which a send whose end was not recorded is removed.
const MAX_SEND_AGE: Duration = Duration::from_mins(15);

/// Identifies a send within a [`PoolWork`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SendId(u64);

/// The work of a request sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendWork {
    /// Prompt tokens that the upstream has to process: those that it neither has cached nor fetches.
    pub unread_tokens: u32,
}

/// Load reported by an upstream of an engine pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: Option<u32>,
    /// How long work takes at present as a percentage of the usual.
    pub pace_percent: Option<u32>,
}

/// Estimated work at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamWork {
    /// Prompt tokens that wait to be processed or are being processed.
    pub pending_tokens: f32,
    /// Requests that wait for a slot.
    pub waiting: f32,
    /// Requests that run.
    pub running: f32,
    /// How long work takes at present relative to the usual; 1 is usual.
    pub pace: f32,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    upstream: NameHash,
    work: SendWork,
    started_at: Instant,
    first_event_at: Option<Instant>,
    /// Pending tokens at the upstream when it was sent, its own included, at the pace of that time.
    tokens_ahead: f32,
}

/// The work at the upstreams of one engine pool, as known to this router.
#[derive(Debug)]
pub struct PoolWork {
    upstreams: FxHashMap<NameHash, UpstreamState>,
    sends: FxHashMap<SendId, Send>,
    next_send: u64,
    read_speed: ReadSpeed,
    hold: RecentMean,
    slots: RecentMean,
    /// Requests that ran at upstreams where others waited.
    full_running: RecentMean,
    load_trend: LoadTrend,
    last_queue_at: Option<Instant>,
    last_call_at: Option<Instant>,
    /// Sends that began before are not learned from.
    learn_from: Instant,
}

impl Default for PoolWork {
    fn default() -> Self {
        Self {
            upstreams: FxHashMap::default(),
            sends: FxHashMap::default(),
            next_send: 0,
            read_speed: ReadSpeed::default(),
            hold: RecentMean::new(HOLD_DECAY),
            slots: RecentMean::new(CAPACITY_DECAY),
            full_running: RecentMean::new(CAPACITY_DECAY),
            load_trend: LoadTrend::default(),
            last_queue_at: None,
            last_call_at: None,
            learn_from: Instant::default(),
        }
    }
}

impl PoolWork {
    /// Records a send of this router to an upstream.
    pub fn start(&mut self, upstream: NameHash, work: SendWork, now: Instant) -> SendId {
        self.record_call(now);
        let id = SendId(self.next_send);
        self.next_send += 1;
        let state = self.upstreams.entry(upstream).or_default();
        state.add_own(id, work.unread_tokens, now);
        let tokens_ahead = state.pending_tokens(now) * state.pace(now);
        self.sends.insert(id, Send { upstream, work, started_at: now, first_event_at: None, tokens_ahead });
        id
    }

    /// Records the first event of a send: its prompt is processed.
    pub fn first_event(&mut self, id: SendId, now: Instant) {
        self.record_call(now);
        let is_queueing = self.last_queue_at.is_some_and(|at| now.since(at) < QUEUE_MEMORY);
        let Some(send) = self.sends.get_mut(&id).filter(|send| send.first_event_at.is_none()) else { return };
        send.first_event_at = Some(now);
        if let Some(state) = self.upstreams.get_mut(&send.upstream) {
            state.remove_own(id);
        }
        if send.started_at >= self.learn_from && !is_queueing {
            self.read_speed.add(send.tokens_ahead, now.since(send.started_at));
        }
    }

    /// Records the end of a send, whether it succeeded or not.
    pub fn end(&mut self, id: SendId, now: Instant) {
        self.record_call(now);
        let Some(send) = self.sends.remove(&id) else { return };
        if let Some(state) = self.upstreams.get_mut(&send.upstream) {
            state.remove_own(id);
        }
        let Some(first_event_at) = send.first_event_at.filter(|_| send.started_at >= self.learn_from) else {
            return;
        };
        let read_time = self.read_time(send.work.unread_tokens).unwrap_or_default();
        let hold = now.since(first_event_at) + read_time.min(first_event_at.since(send.started_at));
        self.hold.add(hold.min(MAX_HOLD).as_secs_f32());
    }

    /// Records a report that an upstream gave to this router. Figures that no upstream can mean are ignored.
    pub fn record_report(&mut self, upstream: NameHash, report: WorkReport, now: Instant) {
        self.record_call(now);
        let state = self.upstreams.entry(upstream).or_default();
        let Some(report) = state.record_report(report, now) else { return };
        if let Some(slots) = report.slots {
            self.slots.add(slots as f32);
        }
        if report.waiting > 0 {
            self.last_queue_at = Some(now);
            if report.running > 0 {
                self.full_running.add(report.running as f32);
            }
        }
    }

    /// Estimates the work at an upstream that has `load` requests in progress.
    #[must_use]
    pub fn estimate(&self, upstream: NameHash, load: f32, now: Instant) -> UpstreamWork {
        let state = self.upstreams.get(&upstream);
        let load = load.max(0.0);
        let capacity = self.capacity(upstream, now);
        let waiting = capacity.map_or(0.0, |capacity| (load - capacity).max(0.0));
        UpstreamWork {
            pending_tokens: state.map_or(0.0, |state| state.pending_tokens(now)),
            waiting,
            running: load - waiting,
            pace: state.map_or(1.0, |state| state.pace(now)),
        }
    }

    /// Returns the time that an upstream at its usual pace takes to process `tokens` of a prompt, or `None`
    /// before it is learned.
    #[must_use]
    pub fn read_time(&self, tokens: u32) -> Option<Duration> {
        self.read_speed.tokens_per_sec().map(|speed| secs(tokens as f32 / speed))
    }

    /// Returns the number of prompt tokens that an upstream at its usual pace processes within `time`, or
    /// `None` before it is learned.
    #[must_use]
    pub fn tokens_within(&self, time: Duration) -> Option<f32> {
        self.read_speed.tokens_per_sec().map(|speed| speed * time.as_secs_f32())
    }

    /// Returns the usual time to the first event of a request without tokens to process, or `None` before
    /// it is learned.
    #[must_use]
    pub fn usual_first_event(&self) -> Option<Duration> {
        self.read_speed.base_secs().map(secs)
    }

    /// Predicts how long a new request waits before an upstream begins to run it. Takes the upstreams that
    /// accept requests with their estimated numbers of requests in progress. Returns `None` if too little
    /// is known.
    ///
    /// It is the lower quartile over the upstreams, at the load that they have by now if it changes as
    /// before: where a quarter of them has free slots, most requests are sent there.
    #[must_use]
    pub fn predicted_wait(
        &mut self,
        upstreams: impl Iterator<Item = (NameHash, f32)>,
        now: Instant,
    ) -> Option<Duration> {
        self.record_call(now);
        let upstreams: Vec<(NameHash, f32)> = upstreams.collect();
        let loads = upstreams.iter().map(|(_, load)| *load);
        let change = self.load_trend.change(lower_quartile(loads.collect())?, now);
        let waits = upstreams.iter().map(|(upstream, load)| self.wait_secs(*upstream, load + change, now));
        let wait = lower_quartile(waits.collect::<Option<_>>()?)?;
        Some(secs(wait))
    }

    /// Returns the number of sends of this router that have not ended, to upstreams that `counts` selects.
    #[must_use]
    pub fn own_sends(&self, counts: impl Fn(NameHash) -> bool) -> usize {
        self.sends.values().filter(|send| counts(send.upstream)).count()
    }

    /// Removes upstreams that are not listed, and sends whose end was never recorded.
    pub fn prune(&mut self, listed: impl Fn(NameHash) -> bool, now: Instant) {
        self.sends.retain(|_, send| now.since(send.started_at) < MAX_SEND_AGE);
        self.upstreams.retain(|upstream, state| state.has_pending(now) || listed(*upstream));
    }

    /// Returns how long a new request waits at an upstream: until as many requests have ended as wait
    /// before it, and itself, of those beyond its capacity.
    fn wait_secs(&self, upstream: NameHash, load: f32, now: Instant) -> Option<f32> {
        let capacity = self.capacity(upstream, now)?;
        let queued = (load + 1.0 - capacity).max(0.0);
        if queued == 0.0 { Some(0.0) } else { Some(queued * self.hold.get()? / capacity) }
    }

    /// Returns the number of requests that an upstream can run at the same time: its slots, or what it ran
    /// while others waited, if memory allows fewer.
    fn capacity(&self, upstream: NameHash, now: Instant) -> Option<f32> {
        let state = self.upstreams.get(&upstream);
        let slots = state.and_then(UpstreamState::slots).or(self.slots.get());
        let is_queueing = self.last_queue_at.is_some_and(|at| now.since(at) < upstream::FULL_MEMORY);
        let pool_full = self.full_running.get().filter(|_| is_queueing);
        let full = state.and_then(|state| state.full_running(now)).or(pool_full);
        match (slots, full) {
            (Some(slots), Some(full)) => Some(slots.min(full)),
            (slots, full) => slots.or(full),
        }
    }

    fn record_call(&mut self, now: Instant) {
        if self.last_call_at.is_some_and(|last| now.since(last) > SUSPENSION) {
            self.learn_from = now;
        }
        self.last_call_at = Some(self.last_call_at.map_or(now, |last| last.max(now)));
    }
}

fn lower_quartile(mut values: Vec<f32>) -> Option<f32> {
    let quarter = values.len() / 4;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(quarter, f32::total_cmp).1)
}

fn secs(secs: f32) -> Duration {
    Duration::from_secs_f32(secs.clamp(0.0, MAX_PREDICTION_SECS))
}
