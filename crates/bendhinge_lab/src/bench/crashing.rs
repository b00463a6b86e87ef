//! A request that crashes upstreams and comes again at any router, with the ways of counting its crashes that were
//! weighed.
//!
//! The pattern: for half a minute it comes about once a second, as was seen, and crashes whatever runs it 20 ms to 1.4 s
//! after it began. Beside it run sound requests, five at each upstream, which are lost with it and come once more; one
//! in twenty comes three times at once. Twice a seventh of the upstreams crashes by itself, with all that it runs. A
//! crashed upstream is back after four seconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bendhinge_fleet::{Crash, CrashHistory, MAX_CRASHES, Quarantine, SendPermission, UpdateSource};
use bendhinge_ids::{Instant, NameHash, RequestDigest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::whole;

const FATAL: RequestDigest = RequestDigest(0);
const SECONDS: u64 = 30;
/// Mean time between tries of the request that crashes upstreams.
const BETWEEN_TRIES: f64 = 1.0;
const TO_CRASH_MICROS: std::ops::Range<u64> = 20_000..1_400_000;
const SOUND_MICROS: std::ops::Range<u64> = 200_000..1_800_000;
/// Sound requests at an upstream, on average.
const BESIDE: f64 = 5.0;
const BACK_AFTER: Duration = Duration::from_secs(4);
/// When a seventh of the upstreams crashes by itself, and when all routers are killed, if they are.
const WAVES: [u64; 2] = [7, 19];
const KILLED_AT: u64 = 12;
/// How long a message takes to the next router, and it to take it in.
const HOP_MICROS: std::ops::Range<u64> = 2_000..8_000;
/// Messages from router to router until all have heard, and their period where they wait for it.
const HOPS: u64 = 2;
const EXCHANGE_MICROS: u64 = 400_000;
/// The time after the third crash within which all routers hear of it, as platforms allow.
const CONTACT: Duration = Duration::from_secs(3);

/// How crashes under a request are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Not at all.
    Uncounted,
    /// By each router for itself.
    Alone,
    /// By all, who hear of crashes with their exchanges.
    Exchanged,
    /// By all, who hear of second crashes at once and of first ones not at all.
    SecondTold,
    /// By all, who hear of each at once.
    Told,
    /// By two routers that the request's hash names, who hear of crashes and tell all; whoever sends a request that
    /// is known to be suspected asks one of them first.
    Named,
    /// By all, who hear of first crashes within a moment, of further ones at once, and from the second on of sends
    /// under way.
    WithSends,
}

/// What befalls the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A third of them hears of nobody, and is heard by nobody.
    CutOff,
    /// Each stands still for two seconds now and then, and hears and sends late.
    Frozen,
    /// All are killed once, and know nothing any more.
    Killed,
}

/// A fleet and its troubles.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Routers.
    pub routers: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// What befalls the routers.
    pub trouble: Trouble,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Upstreams that crashed under the one request.
    pub crashed: usize,
    /// Of these, those that it reached later than all could have heard of the third.
    pub late: usize,
    /// Tries of sound requests.
    pub sound: usize,
    /// Those that were lost.
    pub sound_lost: usize,
    /// Those that were refused since they are suspected: with a wait for others of the same to end.
    pub sound_later: usize,
    /// And for good.
    pub sound_quarantined: usize,
    /// Messages for each router.
    pub messages: f64,
}

#[derive(Clone, Debug)]
enum Event {
    /// A try of a request comes.
    Comes { request: RequestDigest, again: bool },
    /// A run ends by itself.
    Ends { upstream: usize, run: u64 },
    /// A router hears of a request.
    Hears { router: usize, from: usize, request: RequestDigest, suspicion: CrashHistory },
    /// A seventh of the upstreams crashes.
    Wave,
    /// All routers are killed.
    Kill,
}

#[derive(Clone, Copy)]
struct Run {
    number: u64,
    request: RequestDigest,
    router: usize,
    sent: Instant,
    again: bool,
    is_watched: bool,
}

struct Upstream {
    life: u64,
    back_at: Instant,
    runs: Vec<Run>,
}

struct Fleet {
    way: Way,
    scene: Scene,
    random: ChaCha8Rng,
    now: Instant,
    next: u64,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    what: Vec<Option<Event>>,
    routers: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    third_crash: Option<Instant>,
    messages: u64,
    seen: Seen,
}

/// Plays a scene.
#[must_use]
pub fn run(way: Way, scene: Scene, seed: u64) -> Seen {
    let mut fleet = Fleet::new(way, scene, seed);
    fleet.schedule_arrivals();
    while let Some(Reverse((at, number))) = fleet.events.pop() {
        fleet.now = at;
        let number = usize::try_from(number).expect("events are counted in memory");
        if let Some(event) = fleet.what[number].take() {
            fleet.happens(event);
        }
    }
    fleet.seen.messages = fleet.messages as f64 / scene.routers as f64;
    fleet.seen
}

fn own_name(router: usize) -> NameHash {
    NameHash(1_000_000 + router as u64)
}

impl Fleet {
    fn new(way: Way, scene: Scene, seed: u64) -> Self {
        let upstream = |number| Upstream { life: number, back_at: Instant::default(), runs: Vec::new() };
        Self {
            way,
            scene,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::default(),
            next: scene.upstreams as u64,
            events: BinaryHeap::new(),
            what: Vec::new(),
            routers: (0..scene.routers).map(|router| Quarantine::new(own_name(router))).collect(),
            upstreams: (0..scene.upstreams as u64).map(upstream).collect(),
            third_crash: None,
            messages: 0,
            seen: Seen::default(),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, self.what.len() as u64)));
        self.what.push(Some(event));
    }

    fn schedule_arrivals(&mut self) {
        let second = |seconds: f64| Instant(whole(seconds * 1e6));
        let mean_sound = (SOUND_MICROS.start + SOUND_MICROS.end) as f64 / 2e6;
        let per_second = self.scene.upstreams as f64 * BESIDE / mean_sound;
        let mut at = 0.0;
        while at < SECONDS as f64 {
            let request = RequestDigest(self.random.random());
            let times = if self.random.random_bool(0.05) { 3 } else { 1 };
            for _ in 0..times {
                self.schedule(second(at), Event::Comes { request, again: true });
            }
            at += self.exponential(1.0 / per_second);
        }
        let mut at = 2.0;
        while at < SECONDS as f64 {
            self.schedule(second(at), Event::Comes { request: FATAL, again: false });
            at += self.exponential(BETWEEN_TRIES);
        }
        for wave in WAVES {
            self.schedule(Instant::from_millis(wave * 1_000), Event::Wave);
        }
        if self.scene.trouble == Trouble::Killed {
            self.schedule(Instant::from_millis(KILLED_AT * 1_000), Event::Kill);
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Comes { request, again } => self.comes(request, again),
            Event::Ends { upstream, run } => self.ends(upstream, run),
            Event::Hears { router, from, request, suspicion } => {
                let from = UpdateSource::Router(own_name(from));
                self.routers[router].merge(request, &suspicion, from, self.now);
            }
            Event::Wave => {
                for upstream in 0..self.upstreams.len() {
                    if self.random.random_bool(1.0 / 7.0) {
                        self.crash(upstream);
                    }
                }
            }
            Event::Kill => {
                for (number, router) in self.routers.iter_mut().enumerate() {
                    *router = Quarantine::new(own_name(number));
                }
                self.third_crash = None;
                self.upstreams.iter_mut().for_each(|upstream| upstream.runs.clear());
            }
        }
    }

    /// Whether the router stands still.
    fn is_frozen(&self, router: usize) -> bool {
        let second = self.now.0 / 1_000_000;
        self.scene.trouble == Trouble::Frozen && (second + router as u64) % 10 < 2
    }

    fn is_cut_off(&self, router: usize) -> bool {
        self.scene.trouble == Trouble::CutOff && router.is_multiple_of(3)
    }

    fn comes(&mut self, request: RequestDigest, again: bool) {
        let router = self.random.random_range(0..self.routers.len());
        if self.is_frozen(router) {
            let later = self.now + Duration::from_secs(1);
            return self.schedule(later, Event::Comes { request, again });
        }
        let is_sound = request != FATAL;
        self.seen.sound += usize::from(is_sound);
        let permission = self.permission(router, request);
        match permission {
            SendPermission::Allowed | SendPermission::Tracked => {}
            SendPermission::Deferred => return self.seen.sound_later += usize::from(is_sound),
            SendPermission::Quarantined(_) => return self.seen.sound_quarantined += usize::from(is_sound),
        }
        let now = self.now;
        let up = (0..self.upstreams.len()).filter(|upstream| self.upstreams[*upstream].back_at <= now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.random.random_range(0..up.len())];
        if !is_sound
            && self.third_crash.is_some_and(|third| now.since(third) > CONTACT)
            && !self.is_cut_off(router)
        {
            self.seen.late += 1;
        }
        let is_watched =
            permission == SendPermission::Tracked && matches!(self.way, Way::WithSends | Way::Named);
        if is_watched {
            self.routers[router].record_send_start(request, now);
            self.tell(router, request);
        }
        let number = self.next;
        self.next += 1;
        self.upstreams[upstream].runs.push(Run { number, request, router, sent: now, again, is_watched });
        let micros = if is_sound { SOUND_MICROS } else { TO_CRASH_MICROS };
        let lasts = Duration::from_micros(self.random.random_range(micros));
        self.schedule(now + lasts, Event::Ends { upstream, run: number });
    }

    fn permission(&mut self, router: usize, request: RequestDigest) -> SendPermission {
        let own = self.routers[router].permission(request, self.now);
        if self.way == Way::Uncounted {
            return SendPermission::Allowed;
        }
        if self.way != Way::Named || own == SendPermission::Allowed || self.is_cut_off(router) {
            return own;
        }
        self.messages += 2;
        self.routers[self.named(request)].permission(request, self.now)
    }

    /// The router that counts for a request: the first of two that is not cut off.
    fn named(&self, request: RequestDigest) -> usize {
        let first = usize::try_from(request.0 % self.routers.len() as u128).unwrap_or(0);
        let second = (first + 1) % self.routers.len();
        if self.is_cut_off(first) { second } else { first }
    }

    fn ends(&mut self, upstream: usize, number: u64) {
        let Some(place) = self.upstreams[upstream].runs.iter().position(|run| run.number == number) else {
            return;
        };
        if self.upstreams[upstream].runs[place].request == FATAL {
            self.seen.crashed += 1;
            self.crash(upstream);
            if self.seen.crashed == MAX_CRASHES {
                self.third_crash = Some(self.now);
            }
            return;
        }
        let run = self.upstreams[upstream].runs.swap_remove(place);
        if self.routers[run.router].record_response(run.request, self.now) {
            self.tell(run.router, run.request);
        }
        self.end_watch(run);
    }

    fn end_watch(&mut self, run: Run) {
        if run.is_watched {
            self.routers[run.router].record_send_end(run.request, self.now);
            self.tell(run.router, run.request);
        }
    }

    fn crash(&mut self, upstream: usize) {
        let now = self.now;
        let life = self.next;
        self.next += 1;
        let crashed = &mut self.upstreams[upstream];
        let crash = Crash { upstream: NameHash(crashed.life), software: NameHash(1), at: now };
        crashed.life = life;
        crashed.back_at = now + BACK_AFTER;
        for run in std::mem::take(&mut crashed.runs) {
            self.routers[run.router].record_crash(run.request, crash, run.sent, now);
            self.end_watch(run);
            self.tell(run.router, run.request);
            if run.request != FATAL {
                self.seen.sound_lost += 1;
                if run.again {
                    let soon = now + Duration::from_millis(100);
                    self.schedule(soon, Event::Comes { request: run.request, again: false });
                }
            }
        }
    }

    /// Tells the others what a router knows of a request.
    fn tell(&mut self, router: usize, request: RequestDigest) {
        let is_first = self.routers[router].crash_count(request) < 2;
        let is_silent = matches!(self.way, Way::Uncounted | Way::Alone) || self.is_cut_off(router);
        if is_silent || self.way == Way::SecondTold && is_first {
            return;
        }
        let known = self.routers[router].histories().find(|(known, _)| *known == request);
        let Some(suspicion) = known.map(|(_, suspicion)| suspicion.clone()) else { return };
        for other in (0..self.routers.len()).filter(|other| *other != router) {
            if self.is_cut_off(other) {
                continue;
            }
            let micros = self.way_micros(other == self.named(request), is_first);
            let mut at = self.now + Duration::from_micros(micros);
            if self.is_frozen(other) {
                at = at + Duration::from_secs(2);
            }
            self.messages += 1;
            let heard = Event::Hears { router: other, from: router, request, suspicion: suspicion.clone() };
            self.schedule(at, heard);
        }
    }

    /// How long what a router tells is on its way to another.
    fn way_micros(&mut self, is_named: bool, is_first: bool) -> u64 {
        let hops = if self.way == Way::Named && is_named { 1 } else { HOPS };
        let hops: u64 = (0..hops).map(|_| self.random.random_range(HOP_MICROS)).sum();
        let waits = match self.way {
            Way::Exchanged => HOPS,
            Way::WithSends if is_first => 1,
            _ => 0,
        };
        hops + (0..waits).map(|_| self.random.random_range(0..EXCHANGE_MICROS)).sum::<u64>()
    }
}
