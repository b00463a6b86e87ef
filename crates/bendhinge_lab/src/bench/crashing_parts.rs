//! A prompt part that crashes upstreams, with the ways of blaming parts that were compared.
//!
//! The pattern: sound requests arrive at random upstreams, with a first part that nearly all share, a second one of a few
//! popular ones or of many rare ones, and one of their own. Requests with the crashing part share either with them and
//! crash their upstream some 0.1 to 0.6 s after they arrive, along with all that runs there. A lost request is sent once
//! more. A crashed upstream is back after four seconds. All gateways know the same.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bendhinge_fleet::{PartCrash, PartQuarantine, SendPermission};
use bendhinge_ids::{Instant, NameHash, PartDigest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::whole;

const SECONDS: u64 = 50;
/// When the crashes begin, in seconds.
const CRASHES_FROM: f64 = 15.0;
const UPSTREAMS: usize = 12;
const POOL: NameHash = NameHash(1);
const SOFTWARE: NameHash = NameHash(2);
const FIRST: PartDigest = PartDigest(1);
const CRASHING: PartDigest = PartDigest(666);
/// A part that is rare elsewhere and in each request with the crashing part.
const COMPANION: PartDigest = PartDigest(667);
const POPULAR: std::ops::Range<u64> = 10..15;
const RARE: std::ops::Range<u64> = 1_000..1_400;
const SOUND_MICROS: std::ops::Range<u64> = 200_000..3_000_000;
const TO_CRASH_MICROS: std::ops::Range<u64> = 100_000..600_000;
const BACK_AFTER: Duration = Duration::from_secs(4);
const CRASHES_UNTIL_KNOWN: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);

/// How parts are blamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Not at all.
    None,
    /// After three crashes without a complete response with the part.
    Counts,
    /// After three crashes, if these are more than a tenth of the complete responses with the part.
    Ratio,
    /// Once the shares of the blame add up to two: each crash is divided by the parts of its requests that no complete
    /// response has had.
    Shares,
    /// By [`PartQuarantine`].
    Consecutive,
}

/// Crashes that have nothing to do with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherCrashes {
    /// None.
    None,
    /// Seven upstreams at once, twice, and all of them a third time.
    Waves,
    /// One upstream each 1.3 s.
    Single,
}

/// What happens beside the sound requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scene {
    /// Requests with the crashing part a second.
    pub crashing_per_second: f64,
    /// Whether these also have a part that is rare elsewhere.
    pub has_companion: bool,
    /// Other crashes.
    pub other_crashes: OtherCrashes,
    /// Sound requests a second.
    pub sound_per_second: f64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Upstreams that crashed under the part.
    pub crashes: usize,
    /// Requests with the part that were sent later than three seconds after the fifth of these crashes.
    pub late: usize,
    /// Sound requests.
    pub sound: usize,
    /// Sound requests that were refused because a part of them is blamed.
    pub refused: usize,
    /// Sound requests that were asked to wait.
    pub deferred: usize,
    /// Whether the part that nearly all sound requests share was blamed after a crash.
    pub is_first_blamed: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives { request: u64, parts: Vec<PartDigest>, is_retry: bool },
    Ends { upstream: usize, run: u64 },
    Crashes { count: usize },
}

#[derive(Clone)]
struct Run {
    number: u64,
    request: u64,
    parts: Vec<PartDigest>,
    sent_at: Instant,
    is_retry: bool,
    is_tracked: bool,
}

#[derive(Clone, Copy, Default)]
struct Ledger {
    /// Crashes since the last complete response with the part.
    crashes: usize,
    all_crashes: usize,
    responses: usize,
    share: f64,
}

struct Play {
    way: Way,
    random: ChaCha8Rng,
    now: Instant,
    next: u64,
    queue: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<Option<Event>>,
    runs: Vec<Vec<Run>>,
    lives: Vec<u64>,
    back_at: Vec<Instant>,
    quarantine: PartQuarantine,
    ledger: BTreeMap<PartDigest, Ledger>,
    fifth_crash: Option<Instant>,
    outcome: Outcome,
}

/// Plays a scene.
#[must_use]
pub fn run(way: Way, scene: Scene, seed: u64) -> Outcome {
    let mut play = Play::new(way, seed);
    play.schedule_all(scene);
    while let Some(Reverse((at, index))) = play.queue.pop() {
        play.now = at;
        if let Some(event) = play.events[index].take() {
            play.handle(event);
        }
    }
    play.outcome
}

impl Play {
    fn new(way: Way, seed: u64) -> Self {
        Self {
            way,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::default(),
            next: 1_000,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            runs: vec![Vec::new(); UPSTREAMS],
            lives: (0..UPSTREAMS as u64).collect(),
            back_at: vec![Instant::default(); UPSTREAMS],
            quarantine: PartQuarantine::new(NameHash(9)),
            ledger: BTreeMap::new(),
            fifth_crash: None,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn schedule_all(&mut self, scene: Scene) {
        self.schedule_arrivals(0.0, scene.sound_per_second, |random| {
            let second = if random.random_bool(0.8) {
                random.random_range(POPULAR)
            } else {
                random.random_range(RARE)
            };
            let mut parts = vec![PartDigest(second)];
            if random.random_bool(0.9) {
                parts.push(FIRST);
            }
            if random.random_bool(0.002) {
                parts.push(COMPANION);
            }
            parts
        });
        if scene.crashing_per_second > 0.0 {
            self.schedule_arrivals(CRASHES_FROM, scene.crashing_per_second, |random| {
                let mut parts = vec![FIRST, PartDigest(random.random_range(POPULAR)), CRASHING];
                if scene.has_companion {
                    parts.push(COMPANION);
                }
                parts
            });
        }
        if scene.other_crashes == OtherCrashes::Waves {
            for (second, count) in [(18, 7), (19, 7), (30, UPSTREAMS)] {
                self.schedule(Instant::from_millis(second * 1_000), Event::Crashes { count });
            }
        }
        if scene.other_crashes == OtherCrashes::Single {
            for number in 12..SECONDS * 10 / 13 {
                self.schedule(Instant::from_millis(number * 1_300), Event::Crashes { count: 1 });
            }
        }
    }

    fn schedule_arrivals(
        &mut self,
        from: f64,
        per_second: f64,
        parts: impl Fn(&mut ChaCha8Rng) -> Vec<PartDigest>,
    ) {
        let mut at = from;
        loop {
            at -= (1.0 - self.random.random::<f64>()).ln() / per_second;
            if at >= SECONDS as f64 {
                return;
            }
            self.next += 1;
            let (request, parts) = (self.next, parts(&mut self.random));
            self.schedule(Instant(whole(at * 1e6)), Event::Arrives { request, parts, is_retry: false });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives { request, parts, is_retry } => self.arrive(request, parts, is_retry),
            Event::Ends { upstream, run } => self.end(upstream, run),
            Event::Crashes { count } => {
                for _ in 0..count {
                    let running: Vec<_> = self.running().collect();
                    if !running.is_empty() {
                        let upstream = running[self.random.random_range(0..running.len())];
                        self.crash(upstream);
                    }
                }
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..UPSTREAMS).filter(|upstream| self.back_at[*upstream] <= self.now)
    }

    fn permission(&self, parts: &[PartDigest]) -> SendPermission {
        let is_blamed = |part: &PartDigest| {
            let Ledger { crashes, all_crashes, responses, share } =
                self.ledger.get(part).copied().unwrap_or_default();
            match self.way {
                Way::None | Way::Consecutive => false,
                Way::Counts => crashes >= 3,
                Way::Ratio => all_crashes >= 3 && 10 * all_crashes > responses,
                Way::Shares => share >= 2.0,
            }
        };
        if self.way == Way::Consecutive {
            return self.quarantine.permission(parts, self.now).0;
        }
        if parts.iter().any(is_blamed) {
            SendPermission::Quarantined(Duration::from_mins(10))
        } else {
            SendPermission::Allowed
        }
    }

    fn arrive(&mut self, request: u64, parts: Vec<PartDigest>, is_retry: bool) {
        let is_sound = !parts.contains(&CRASHING);
        self.outcome.sound += usize::from(is_sound);
        let permission = self.permission(&parts);
        match permission {
            SendPermission::Allowed | SendPermission::Tracked => {}
            SendPermission::Deferred => return self.outcome.deferred += usize::from(is_sound),
            SendPermission::Quarantined(_) => return self.outcome.refused += usize::from(is_sound),
        }
        let running: Vec<_> = self.running().collect();
        if running.is_empty() {
            return;
        }
        let upstream = running[self.random.random_range(0..running.len())];
        if !is_sound && self.fifth_crash.is_some_and(|fifth| self.now.since(fifth) > CONTACT) {
            self.outcome.late += 1;
        }
        let is_tracked = permission == SendPermission::Tracked;
        if is_tracked {
            self.quarantine.record_send_start(&parts, self.now);
        }
        self.next += 1;
        let micros = if is_sound { SOUND_MICROS } else { TO_CRASH_MICROS };
        let ends_at = self.now + Duration::from_micros(self.random.random_range(micros));
        let run = Run { number: self.next, request, parts, sent_at: self.now, is_retry, is_tracked };
        self.schedule(ends_at, Event::Ends { upstream, run: run.number });
        self.runs[upstream].push(run);
    }

    fn end(&mut self, upstream: usize, number: u64) {
        let Some(index) = self.runs[upstream].iter().position(|run| run.number == number) else { return };
        if self.runs[upstream][index].parts.contains(&CRASHING) {
            self.outcome.crashes += 1;
            if self.outcome.crashes == CRASHES_UNTIL_KNOWN {
                self.fifth_crash = Some(self.now);
            }
            return self.crash(upstream);
        }
        let run = self.runs[upstream].swap_remove(index);
        if run.is_tracked {
            self.quarantine.record_send_end(&run.parts, self.now);
        }
        self.quarantine.record_response(&run.parts, POOL, self.now);
        for part in run.parts {
            let ledger = self.ledger.entry(part).or_default();
            ledger.responses += 1;
            ledger.crashes = 0;
            ledger.share = 0.0;
        }
    }

    fn crash(&mut self, upstream: usize) {
        self.next += 1;
        let life = std::mem::replace(&mut self.lives[upstream], self.next);
        self.back_at[upstream] = self.now + BACK_AFTER;
        let lost = std::mem::take(&mut self.runs[upstream]);
        let mut parts: Vec<_> = lost.iter().flat_map(|run| run.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        let suspects = parts.iter().filter(|part| self.ledger.get(part).is_none_or(|one| one.responses == 0));
        let share = 1.0 / (suspects.count().max(1)) as f64;
        for part in parts {
            let ledger = self.ledger.entry(part).or_default();
            ledger.crashes += 1;
            ledger.all_crashes += 1;
            if ledger.responses == 0 {
                ledger.share += share;
            }
        }
        for run in lost {
            for part in &run.parts {
                let crash = PartCrash {
                    upstream: NameHash(life),
                    software: SOFTWARE,
                    request: NameHash(run.request),
                    sent_at: run.sent_at,
                    at: self.now,
                };
                self.quarantine.record_crash(*part, POOL, crash, self.now);
            }
            if run.is_tracked {
                self.quarantine.record_send_end(&run.parts, self.now);
            }
            if !run.is_retry {
                let Run { request, parts, .. } = run;
                let soon = self.now + Duration::from_millis(20);
                self.schedule(soon, Event::Arrives { request, parts, is_retry: true });
            }
        }
        self.outcome.is_first_blamed |= matches!(self.permission(&[FIRST]), SendPermission::Quarantined(_));
    }
}
