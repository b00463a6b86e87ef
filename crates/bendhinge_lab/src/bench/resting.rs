//! Upstreams that turn requests away and ask for rest, with the ways of heeding it that were weighed.
//!
//! The pattern: a pool that holds a few requests at each upstream, before 9, 78 or 295 routers. Either a third of it turns
//! everything away for eight seconds although it has room, as was seen, or for as long twice as many requests come as the pool
//! can hold, and upstreams that are full turn away. Each rejection asks the router for three seconds of rest. Requests
//! belong to subjects, each with a home; routers choose, judge, count loads and send again with their own functions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bendhinge_admission::{FleetRetryBudget, RouterRetryBudget};
use bendhinge_fleet::{
    Loads, OutlierDetector, OutlierLimits, RequestedBackoffs, UpdateSource, UpstreamFailure, UpstreamHealth,
    UpstreamLoad,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedParts, Candidate, CostModel, CostQuery, Distance, PartId, Prompt, PromptPart, choose,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::whole;

const SECONDS: u64 = 24;
const TROUBLE_MICROS: std::ops::Range<u64> = 6_000_000..14_000_000;
const REST: Duration = Duration::from_secs(3);
/// What reaches an upstream so soon after it asked for rest was on its way.
const GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach it after that until its rest ends.
const ALLOWED: u32 = 2;
/// Requests that an upstream holds at most, running and waiting.
const PLACES: usize = 32;
/// Requests that an upstream holds on average in calm.
const USUAL: f64 = 12.0;
const WORK_MICROS: std::ops::Range<u64> = 200_000..1_800_000;
const HOP_MICROS: std::ops::Range<u64> = 800..2_500;
/// How long it takes until another router has heard: an exchange, or a second one.
const TOLD_MICROS: std::ops::Range<u64> = 5_000..800_000;
/// The period of exchanges: rests of one upstream within it are told of together.
const TOLD_EACH: Duration = Duration::from_millis(400);
const SUBJECTS_EACH: u64 = 8;
const SUBJECT_TOKENS: u32 = 2_000;
const MOST_SENDS: usize = 3;
const JUDGED: OutlierLimits = OutlierLimits {
    base_ejection: Duration::from_millis(500),
    max_ejection: Duration::from_secs(4),
    half_life: Duration::from_secs(3),
};
const BUDGET: FleetRetryBudget =
    FleetRetryBudget { ratio: 0.2, base_retries: 58.0, window: Duration::from_secs(10) };

/// How a rest that an upstream asks for is heeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It is not read: a rejection is a failure like others.
    Unread,
    /// By the router that was asked.
    Own,
    /// By all, who are told and take it as asked of them.
    ToldAll,
    /// By the router that was asked; the others, who are told, prefer upstreams that do not rest.
    ToldAsHint,
}

/// What befalls the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A third of the upstreams turns everything away.
    Odd,
    /// All of them do.
    AllOdd,
    /// More comes than the pool can hold.
    Full,
}

/// A fleet and its trouble.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Routers.
    pub routers: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// What befalls the upstreams.
    pub trouble: Trouble,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Requests.
    pub requests: usize,
    /// Those that were answered.
    pub answered: usize,
    /// Sends that were turned away.
    pub turned_away: usize,
    /// Rests in which an upstream got more requests of the router that it asked than are allowed.
    pub broken: usize,
    /// Requests refused while upstreams that would have taken them had half of their places free.
    pub refused_with_room: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Comes,
    Reaches { send: Send },
    TurnedAway { send: Send },
    Answered { send: Send, began: Instant, in_progress: u32 },
    Ends { send: Send, began: Instant },
    Told { router: usize, upstream: usize, end: Instant },
}

#[derive(Clone, Debug)]
struct Send {
    router: usize,
    upstream: usize,
    subject: u64,
    tried: Vec<NameHash>,
    sent: Instant,
}

struct Router {
    judge: OutlierDetector,
    /// Rests that this router was asked for.
    rests: RequestedBackoffs,
    /// Rests that others were asked for.
    told: RequestedBackoffs,
    loads: Loads,
    kept: CachedParts,
    share: RouterRetryBudget,
}

#[derive(Clone, Copy)]
struct Asked {
    at: Instant,
    end: Instant,
    reached: u32,
}

struct Fleet {
    way: Way,
    scene: Scene,
    random: ChaCha8Rng,
    now: Instant,
    next: u64,
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    events: FxHashMap<u64, Event>,
    routers: Vec<Router>,
    in_progress: Vec<usize>,
    asked: FxHashMap<(usize, usize), Vec<Asked>>,
    /// When all were last told of a rest of each upstream.
    last_told: Vec<Option<Instant>>,
    seen: Seen,
}

/// Plays a scene.
#[must_use]
pub fn run(way: Way, scene: Scene, seed: u64) -> Seen {
    let router = || Router {
        judge: OutlierDetector::new(JUDGED),
        rests: RequestedBackoffs::default(),
        told: RequestedBackoffs::default(),
        loads: Loads::default(),
        kept: CachedParts::new(Duration::from_mins(1)),
        share: BUDGET.router_budget(BUDGET.base_share(scene.routers), 0),
    };
    let mut fleet = Fleet {
        way,
        scene,
        random: ChaCha8Rng::seed_from_u64(seed),
        now: Instant::default(),
        next: 0,
        order: BinaryHeap::new(),
        events: FxHashMap::default(),
        routers: (0..scene.routers).map(|_| router()).collect(),
        in_progress: vec![0; scene.upstreams],
        asked: FxHashMap::default(),
        last_told: vec![None; scene.upstreams],
        seen: Seen::default(),
    };
    fleet.after(Duration::ZERO, Event::Comes);
    while let Some(Reverse((at, number))) = fleet.order.pop() {
        fleet.now = at;
        if let Some(event) = fleet.events.remove(&number) {
            fleet.take(event);
        }
    }
    fleet.seen
}

fn hash(upstream: usize) -> NameHash {
    NameHash::of(&format!("upstream-{upstream}"))
}

impl Fleet {
    fn after(&mut self, span: Duration, event: Event) {
        self.order.push(Reverse((self.now + span, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn draw(&mut self, micros: std::ops::Range<u64>) -> Duration {
        Duration::from_micros(self.random.random_range(micros))
    }

    fn is_troubled(&self) -> bool {
        TROUBLE_MICROS.contains(&self.now.0)
    }

    /// Whether an upstream turns everything away.
    fn is_odd(&self, upstream: usize) -> bool {
        let odd = match self.scene.trouble {
            Trouble::Odd => upstream.is_multiple_of(3),
            Trouble::AllOdd => true,
            Trouble::Full => false,
        };
        odd && self.is_troubled()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Comes => self.comes(),
            Event::Reaches { send } => self.reaches(send),
            Event::TurnedAway { send } => self.turned_away(send),
            Event::Ends { send, began } => self.ends(send, began),
            Event::Answered { send, began, in_progress } => self.answered(&send, began, in_progress),
            Event::Told { router, upstream, end } => {
                let (now, upstream) = (self.now, hash(upstream));
                self.routers[router].told.record(upstream, end.since(now), now);
            }
        }
    }

    fn comes(&mut self) {
        if self.now < Instant::from_millis(SECONDS * 1_000) {
            let mean_work = (WORK_MICROS.start + WORK_MICROS.end) as f64 / 2.0;
            let times = if self.scene.trouble == Trouble::Full && self.is_troubled() {
                2.0 * PLACES as f64 / USUAL
            } else {
                1.0
            };
            let between = mean_work / (self.scene.upstreams as f64 * USUAL * times);
            let pause = -between * (1.0 - self.random.random::<f64>()).ln();
            self.after(Duration::from_micros(whole(pause)), Event::Comes);
        }
        let router = self.random.random_range(0..self.scene.routers);
        let subject = self.random.random_range(0..SUBJECTS_EACH * self.scene.upstreams as u64);
        self.seen.requests += 1;
        let now = self.now;
        self.routers[router].share.record_request(now);
        self.send(router, subject, Vec::new());
    }

    fn candidate(&self, router: &Router, upstream: usize, mean: f32, tried: &[NameHash]) -> Candidate {
        let (now, hash) = (self.now, hash(upstream));
        let standing = router.judge.health(hash, now);
        let failing = match standing {
            UpstreamHealth::Healthy { failure_rate } => failure_rate,
            UpstreamHealth::ProbeAllowed | UpstreamHealth::Ejected => 0.0,
        };
        let is_spared = router.rests.ends_at(hash, now).is_some() || router.told.ends_at(hash, now).is_some();
        let takes_work = !tried.contains(&hash) && standing != UpstreamHealth::Ejected && !is_spared;
        Candidate {
            upstream: hash,
            load: router.loads.estimate(hash, mean, now),
            failure_rate: failing,
            takes_work,
            is_warming: false,
            counts_in_mean: takes_work,
            distance: Distance::Local,
            work: None,
        }
    }

    /// The candidates; those that rest for other reasons than that they asked this router for it take work if no
    /// other does.
    fn candidates(&self, router: &Router, tried: &[NameHash]) -> Vec<Candidate> {
        let upstreams = 0..self.scene.upstreams;
        let mean = router.loads.mean_other_requests(upstreams.clone().map(hash), self.now);
        let mut candidates: Vec<Candidate> =
            upstreams.map(|upstream| self.candidate(router, upstream, mean, tried)).collect();
        if !candidates.iter().any(|candidate| candidate.takes_work) {
            for candidate in &mut candidates {
                let is_told = router.told.ends_at(candidate.upstream, self.now).is_some();
                candidate.takes_work = !tried.contains(&candidate.upstream)
                    && router.rests.ends_at(candidate.upstream, self.now).is_none()
                    && !(self.way == Way::ToldAll && is_told);
            }
        }
        candidates
    }

    fn send(&mut self, router: usize, subject: u64, tried: Vec<NameHash>) {
        let prompt = Prompt::new(vec![
            PromptPart { id: PartId(subject), tokens: SUBJECT_TOKENS },
            PromptPart { id: PartId(self.next << 20), tokens: 100 },
        ]);
        let tie_breaker = self.random.random();
        let question = CostQuery {
            prompt: Some(&prompt),
            can_fetch: true,
            tie_breaker,
            locality: None,
            key_requests: 0.0,
        };
        let chooser = &self.routers[router];
        let candidates = self.candidates(chooser, &tried);
        let choice = choose(&CostModel::default(), &question, &candidates, &chooser.kept, self.now);
        let Some(choice) = choice.filter(|_| tried.len() < MOST_SENDS) else { return self.refuse() };
        let (now, upstream) = (self.now, choice.candidate);
        let chosen = hash(upstream);
        let sender = &mut self.routers[router];
        sender.loads.start_request(chosen);
        sender.judge.record_send(chosen, now);
        sender.kept.record_prompt(chosen, &prompt, now);
        let hop = self.draw(HOP_MICROS);
        let mut tried = tried;
        tried.push(chosen);
        self.after(hop, Event::Reaches { send: Send { router, upstream, subject, tried, sent: now } });
    }

    fn refuse(&mut self) {
        let has_room = |upstream: &usize| !self.is_odd(*upstream) && self.in_progress[*upstream] < PLACES / 2;
        if (0..self.scene.upstreams).any(|upstream| has_room(&upstream)) {
            self.seen.refused_with_room += 1;
        }
    }

    fn reaches(&mut self, send: Send) {
        let now = self.now;
        let Send { router, upstream, .. } = send;
        let asked = self.asked.entry((router, upstream)).or_default();
        asked.retain(|asked| now < asked.end);
        for asked in asked.iter_mut().filter(|asked| now.since(asked.at) > GRACE) {
            asked.reached += 1;
            self.seen.broken += usize::from(asked.reached == ALLOWED + 1);
        }
        let is_full = self.in_progress[upstream] >= PLACES;
        let hop = self.draw(HOP_MICROS);
        if self.is_odd(upstream) || is_full {
            self.seen.turned_away += 1;
            let asked = Asked { at: now, end: now + REST, reached: 0 };
            self.asked.entry((router, upstream)).or_default().push(asked);
            return self.after(hop, Event::TurnedAway { send });
        }
        self.in_progress[upstream] += 1;
        let work = self.draw(WORK_MICROS);
        self.after(work, Event::Ends { send, began: now });
    }

    fn turned_away(&mut self, send: Send) {
        let now = self.now;
        let Send { router, upstream, subject, tried, sent } = send;
        let chosen = hash(upstream);
        let asker = &mut self.routers[router];
        asker.loads.end_request(chosen, now.since(sent));
        if self.way != Way::Unread {
            asker.rests.record(chosen, REST, now);
        }
        asker.judge.record_failure(chosen, UpstreamFailure::Rejected, now);
        let may_go_on = asker.share.try_retry(now);
        let is_news = self.last_told[upstream].is_none_or(|last| now.since(last) > TOLD_EACH);
        if matches!(self.way, Way::ToldAll | Way::ToldAsHint) && is_news {
            self.last_told[upstream] = Some(now);
            for other in (0..self.scene.routers).filter(|other| *other != router) {
                let told = self.draw(TOLD_MICROS);
                self.after(told, Event::Told { router: other, upstream, end: now + REST });
            }
        }
        if may_go_on { self.send(router, subject, tried) } else { self.refuse() }
    }

    fn ends(&mut self, send: Send, began: Instant) {
        self.in_progress[send.upstream] -= 1;
        let in_progress = u32::try_from(self.in_progress[send.upstream]).unwrap_or(u32::MAX);
        let hop = self.draw(HOP_MICROS);
        self.after(hop, Event::Answered { send, began, in_progress });
    }

    fn answered(&mut self, send: &Send, began: Instant, in_progress: u32) {
        let (now, upstream) = (self.now, hash(send.upstream));
        let sender = &mut self.routers[send.router];
        sender.loads.end_request(upstream, now.since(began));
        sender.judge.record_success(upstream, now);
        let said = UpstreamLoad { upstream, in_progress, reported_at: now };
        // What upstreams say of their loads reaches all with the exchanges: here, those that hear of an answer.
        sender.loads.record(said, UpdateSource::Local);
        self.seen.answered += 1;
    }
}
