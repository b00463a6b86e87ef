//! Boxes of the model: what they know, and the ways of admitting requests.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bendhinge_admission::engine::{DemandKey, EngineAdmission, EngineDecision, EnginePoolLoad};
use bendhinge_admission::{Pacer, PacingDecision, retry_after};
use bendhinge_ids::{Instant, NameHash};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::callers::{CLASSES, Request};
use super::engines::{Engine, SLOTS};
use crate::bench::whole;

const BOXES: usize = 88;
/// Interval in which engines' loads and boxes' demands are noted.
const NOTE_MS: u64 = 100;
/// Most values in one message.
const MAX_FIGURES: usize = 48;
/// Requests in progress relative to the slots up to which each priority is admitted by [`Way::Threshold`].
const THRESHOLDS: [f64; 4] = [1.5, 1.2, 1.05, 0.95];

/// Ways of admitting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// All are admitted.
    All,
    /// By thresholds on the estimated load, one for each priority.
    Threshold,
    /// By an adaptive rate limit of each box ([`Pacer`]).
    Paced,
    /// By shares of a common capacity figure ([`EngineAdmission`]).
    Shares,
    /// The same without totals of the fleet.
    SharesAlone,
    /// The same with half of the boxes cut off from the totals of the others.
    SharesHalved,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 6] =
        [Self::All, Self::Threshold, Self::Paced, Self::Shares, Self::SharesAlone, Self::SharesHalved];
}

pub(super) enum Decision {
    Admitted,
    /// With the delay in milliseconds after which to retry.
    Refused(u64),
}

#[derive(Default)]
struct Router {
    part: f64,
    admission: EngineAdmission,
    pacer: Pacer,
    /// Times of its sends that the loads known to it do not include.
    sends: VecDeque<u64>,
}

/// Loads and demands at one time.
struct Note {
    loads: Vec<u32>,
    slots: u32,
    /// Totals of the even and the odd boxes.
    totals: [HashMap<DemandKey, f32>; 2],
}

pub(super) struct Boxes {
    way: Way,
    routers: Vec<Router>,
    /// Newest first.
    notes: VecDeque<Note>,
}

impl Boxes {
    pub(super) fn new(way: Way, random: &mut ChaCha8Rng) -> Self {
        let mut routers: Vec<Router> = (0..BOXES)
            .map(|_| Router { part: random.random_range(5.0..70.0), ..Router::default() })
            .collect();
        let sum: f64 = routers.iter().map(|router| router.part).sum();
        for router in &mut routers {
            router.part /= sum;
        }
        Self { way, routers, notes: VecDeque::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.routers.len()
    }

    pub(super) fn part(&self, router: usize) -> f64 {
        self.routers[router].part
    }

    /// Notes loads and demands, which boxes learn later.
    pub(super) fn observe(&mut self, engines: &[Engine], now: u64) {
        if !now.is_multiple_of(NOTE_MS) {
            return;
        }
        let loads = engines.iter().map(|engine| u32::try_from(engine.in_progress()).unwrap_or(u32::MAX));
        let live = engines.iter().filter(|engine| !engine.is_lost).count();
        let slots = u32::try_from(live * SLOTS).unwrap_or(u32::MAX);
        let mut totals = [HashMap::new(), HashMap::new()];
        for (index, router) in self.routers.iter_mut().enumerate() {
            for (key, value) in router.admission.own_figures(instant(now)).into_iter().take(MAX_FIGURES) {
                *totals[index % 2].entry(key).or_insert(0.0) += value;
            }
            if now.is_multiple_of(10 * NOTE_MS) {
                router.admission.prune(instant(now));
            }
        }
        self.notes.push_front(Note { loads: loads.collect(), slots, totals });
        self.notes.truncate(13);
    }

    /// Returns what a box knows with a lag of `min_ms` to `max_ms`, which differs by box and changes.
    fn note(&self, router: usize, now: u64, min_ms: u64, max_ms: u64) -> &Note {
        let steps = (max_ms - min_ms) / NOTE_MS + 1;
        let lag = min_ms / NOTE_MS + (now / 300 + router as u64 * 7) % steps;
        &self.notes[usize::try_from(lag).unwrap_or(0).min(self.notes.len() - 1)]
    }

    pub(super) fn load_of(&self, router: usize, engine: usize, now: u64) -> u32 {
        self.note(router, now, 400, 800).loads[engine]
    }

    fn pool(&self, router: usize, now: u64) -> EnginePoolLoad {
        let note = self.note(router, now, 400, 800);
        let own = u32::try_from(self.routers[router].sends.len()).unwrap_or(u32::MAX);
        let halves = if self.way == Way::SharesHalved { 2 } else { 1 };
        EnginePoolLoad {
            upstreams: note.slots / 48,
            slots: note.slots,
            in_progress: note.loads.iter().sum::<u32>() + own,
            predicted_wait: None,
            router_count: u32::try_from(BOXES / halves).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn decide(&mut self, request: &Request, jitter: f64, now: u64) -> Decision {
        let router = request.router;
        self.routers[router].sends.retain(|sent| sent + 600 > now);
        let pool = self.pool(router, now);
        let to_decide = request.to_decide(now);
        match self.way {
            Way::All => Decision::Admitted,
            Way::Threshold => {
                let in_use = f64::from(pool.in_progress) / f64::from(pool.slots);
                let excess = pool.in_progress.saturating_sub(pool.slots);
                if in_use < THRESHOLDS[request.class] {
                    Decision::Admitted
                } else {
                    refused(retry_after(Duration::from_secs(1), excess, pool.slots, jitter))
                }
            }
            Way::Paced => {
                match self.routers[router].pacer.decide(to_decide.requester, jitter, instant(now)) {
                    PacingDecision::Admitted => Decision::Admitted,
                    PacingDecision::Refused(delay) => refused(delay),
                }
            }
            Way::Shares | Way::SharesAlone | Way::SharesHalved => {
                let mut admission = std::mem::take(&mut self.routers[router].admission);
                let totals = |key: DemandKey| self.total(router, key, now);
                let decision = admission.decide(&to_decide, &pool, &totals, jitter, instant(now));
                self.routers[router].admission = admission;
                match decision {
                    EngineDecision::Admitted => Decision::Admitted,
                    EngineDecision::Refused { retry_after, .. } => refused(retry_after),
                }
            }
        }
    }

    fn total(&self, router: usize, key: DemandKey, now: u64) -> Option<f32> {
        let [even, odd] = &self.note(router, now, 400, 1_200).totals;
        let (even, odd) = (even.get(&key), odd.get(&key));
        match self.way {
            Way::SharesAlone => None,
            Way::SharesHalved => if router.is_multiple_of(2) { even } else { odd }.copied(),
            _ => even.or(odd).map(|_| even.unwrap_or(&0.0) + odd.unwrap_or(&0.0)),
        }
    }

    pub(super) fn record_send(&mut self, router: usize, now: u64) {
        self.routers[router].sends.push_back(now);
    }

    pub(super) fn record_rejection(&mut self, router: usize, engine: usize, now: u64) {
        let router = &mut self.routers[router];
        router.pacer.record_rejection(NameHash(engine as u64), 60, instant(now));
        router.admission.record_rejection(instant(now));
    }

    pub(super) fn record_end(&mut self, request: &Request, first_event_ms: u64, now: u64) {
        let router = &mut self.routers[request.router];
        let first_event = Duration::from_millis(first_event_ms);
        let target = Duration::from_millis(CLASSES[request.class].target_ms);
        router.pacer.record_response(first_event, target, instant(now));
        let kind = request.to_decide(now).kind();
        router.admission.record_first_event(kind, first_event, instant(now));
        router.admission.record_end(kind, first_event, Duration::from_millis(now - request.sent_at));
    }
}

fn refused(delay: Duration) -> Decision {
    Decision::Refused(whole(delay.as_secs_f64() * 1_000.0))
}

fn instant(now_ms: u64) -> Instant {
    // Away from the epoch, as a real clock is.
    Instant::from_millis(1_000_000 + now_ms)
}
