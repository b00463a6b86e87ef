//! A fleet's requests to upstreams that share their boxes with others, with the ways of heeding how slow they say they
//! are.
//!
//! The pattern: how long work takes at an upstream jumps between half and four times the usual, several times a second
//! and at each by itself. A router hears of it in answers alone: its own, and those that others tell it of some
//! tenths of a second later. All that hear of a fast one may send to it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::whole;

/// Sizes of fleets: routers, and the upstreams before which they are.
pub const SIZES: [(usize, usize); 3] = [(9, 12), (65, 140), (88, 60)];
/// Ages of news: from some tenths of a second to the third exchange.
pub const AGES_MS: [f64; 3] = [100.0, 400.0, 1_000.0];
/// How many times as long as usual work takes, of which one is drawn.
const SLOWNESS: [f64; 4] = [0.5, 1.0, 1.5, 4.0];
/// How long an upstream stays as slow as it is, on average.
const LASTS_MS: f64 = 250.0;
/// Work of a request at the usual speed.
const WORK_MS: f64 = 120.0;
/// Requests at once of which each is as fast as one alone.
const AT_ONCE: f64 = 8.0;
/// Requests in progress at each upstream on average, were all as fast as usual.
const USUAL_LOAD: f64 = 2.0;
const MILLIS: f64 = 10_000.0;
const MICROS: f64 = 1_000.0;
/// What upstreams told lately is enough for news of any age.
const MOST_TOLD: usize = 512;
/// What is heard before then is not counted.
const WARM_UP_MS: f64 = 2_000.0;

/// What is made of what an upstream said of its slowness.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Nothing.
    Unheeded,
    /// Requests ahead count that many times, and it fades within so many milliseconds.
    Factor(f64),
    /// An upstream gets its share of requests by how fast it said it is, fading likewise.
    Share(f64),
}

/// A fleet before a pool.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Routers.
    pub routers: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// How old news is when others tell it, in milliseconds.
    pub news_ms: f64,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// How long they took on average, in milliseconds.
    pub mean_ms: f64,
    /// The same for one in a hundred.
    pub slowest_ms: f64,
    /// Of a thousand, those sent to an upstream that had over twice the mean and three requests.
    pub over_bound: f64,
}

/// What an upstream said.
#[derive(Clone, Copy, Debug)]
struct Said {
    at: f64,
    load: f64,
    slowness: f64,
}

impl Said {
    const NOTHING: Self = Self { at: f64::NEG_INFINITY, load: 0.0, slowness: 1.0 };

    /// Its slowness as it is believed at `now`: what it said fades into the usual within `fades_ms`.
    fn slowness(self, now: f64, fades_ms: f64) -> f64 {
        1.0 + (self.slowness - 1.0) * (-(now - self.at) / fades_ms).exp()
    }
}

struct Upstream {
    load: f64,
    slowness: f64,
    until: f64,
}

/// A request that ends: at which microsecond, and where.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ends {
    at: Reverse<u64>,
    upstream: usize,
}

struct Fleet {
    scene: Scene,
    way: Way,
    upstreams: Vec<Upstream>,
    /// What each router itself was told by each upstream.
    own: Vec<Vec<Said>>,
    /// What upstreams told anybody, which all hear later.
    told: Vec<Vec<Said>>,
    ends: BinaryHeap<Ends>,
    random: ChaCha8Rng,
}

/// Runs a fleet.
#[must_use]
pub fn run(way: Way, scene: Scene, seed: u64) -> Seen {
    let upstream = || Upstream { load: 0.0, slowness: 1.0, until: 0.0 };
    let mut fleet = Fleet {
        scene,
        way,
        upstreams: (0..scene.upstreams).map(|_| upstream()).collect(),
        own: vec![vec![Said::NOTHING; scene.upstreams]; scene.routers],
        told: vec![Vec::new(); scene.upstreams],
        ends: BinaryHeap::new(),
        random: ChaCha8Rng::seed_from_u64(seed),
    };
    fleet.run()
}

impl Fleet {
    fn run(&mut self) -> Seen {
        let per_ms = self.scene.upstreams as f64 * USUAL_LOAD / WORK_MS;
        let (mut now, mut took, mut over) = (0.0, Vec::new(), 0_usize);
        while now < MILLIS {
            now -= self.random.random::<f64>().ln() / per_ms;
            self.end_until(now);
            let router = self.random.random_range(0..self.scene.routers);
            let chosen = self.choose(router, now);
            let mean = self.upstreams.iter().map(|upstream| upstream.load).sum::<f64>()
                / self.scene.upstreams as f64;
            let lasts = self.send(router, chosen, now);
            if now > WARM_UP_MS {
                took.push(lasts);
                over += usize::from(self.upstreams[chosen].load - 1.0 > 2.0 * mean + 3.0);
            }
        }
        took.sort_by(f64::total_cmp);
        let mean_ms = took.iter().sum::<f64>() / took.len() as f64;
        let over_bound = over as f64 * 1_000.0 / took.len() as f64;
        Seen { mean_ms, slowest_ms: took[took.len() * 99 / 100], over_bound }
    }

    fn choose(&mut self, router: usize, now: f64) -> usize {
        let costs: Vec<f64> =
            (0..self.scene.upstreams).map(|upstream| self.cost(router, upstream, now)).collect();
        (0..costs.len()).min_by(|left, right| costs[*left].total_cmp(&costs[*right])).unwrap_or(0)
    }

    fn cost(&mut self, router: usize, upstream: usize, now: f64) -> f64 {
        let said = self.heard(router, upstream, now);
        let left = (-(now - said.at) / WORK_MS).exp();
        let load = said.load * left + USUAL_LOAD * (1.0 - left);
        let draw: f64 = self.random.random();
        match self.way {
            Way::Unheeded => load + draw * USUAL_LOAD,
            Way::Factor(fades) => (load + 1.0) * said.slowness(now, fades) + draw * USUAL_LOAD,
            // The least of such draws falls on each by its speed.
            Way::Share(fades) => -draw.ln() * said.slowness(now, fades) + load / AT_ONCE,
        }
    }

    /// The latest that a router knows of an upstream.
    fn heard(&self, router: usize, upstream: usize, now: f64) -> Said {
        let own = self.own[router][upstream];
        let is_heard = |said: &&Said| said.at + self.scene.news_ms <= now;
        let told = self.told[upstream].iter().rev().find(is_heard).copied().unwrap_or(Said::NOTHING);
        if own.at > told.at { own } else { told }
    }

    /// Sends a request; gives how long it lasts.
    fn send(&mut self, router: usize, chosen: usize, now: f64) -> f64 {
        let upstream = &mut self.upstreams[chosen];
        if now >= upstream.until {
            upstream.slowness = SLOWNESS[self.random.random_range(0..SLOWNESS.len())];
            upstream.until = now - self.random.random::<f64>().ln() * LASTS_MS;
        }
        upstream.load += 1.0;
        let lasts = WORK_MS * upstream.slowness * (upstream.load / AT_ONCE).max(1.0);
        // Its head says so at once.
        let said = Said { at: now, load: upstream.load, slowness: upstream.slowness };
        self.own[router][chosen] = said;
        self.told[chosen].push(said);
        if self.told[chosen].len() > MOST_TOLD {
            self.told[chosen].drain(..MOST_TOLD / 2);
        }
        self.ends.push(Ends { at: Reverse(whole((now + lasts) * MICROS)), upstream: chosen });
        lasts
    }

    fn end_until(&mut self, now: f64) {
        let until = whole(now * MICROS);
        while self.ends.peek().is_some_and(|ends| ends.at.0 <= until) {
            if let Some(ended) = self.ends.pop() {
                self.upstreams[ended.upstream].load -= 1.0;
            }
        }
    }
}
