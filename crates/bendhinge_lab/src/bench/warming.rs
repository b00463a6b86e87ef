//! A fleet's requests to upstreams that warm up, with the ways of sparing them that were weighed.
//!
//! The pattern: a third of a pool comes back at once, empty, while requests arrive in clumps and, for a third of the
//! time, at three times their usual rate, and every one of them would rather go to an upstream that warms
//! up than to any other. The figures are those of a deployment of 78 boxes before 90 upstreams.

use std::hash::BuildHasher;

use bendhinge_admission::Demand;
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{Candidate, Distance, WarmupLimit};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxBuildHasher;

use super::whole;

/// Routers of the fleet.
pub const ROUTERS: usize = 78;
/// Upstreams of the pool.
pub const UPSTREAMS: usize = 90;
/// Requests a second that one bears while it warms up.
const RATE: f32 = 9.6;
/// Requests a second to the pool, but for the time of the burst.
const USUAL_PER_SECOND: f64 = 450.0;
/// How many times that come in the burst.
const BURST: f64 = 3.0;
/// Requests that come together, from one caller to one router.
const CLUMP: usize = 3;
const MILLIS: u64 = 60_000;
const BURST_MILLIS: std::ops::Range<u64> = 20_000..40_000;

/// How upstreams that warm up are spared.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Not at all.
    Unspared,
    /// Each is served by so many routers that its hash names, which share its rate.
    NamedRouters(usize),
    /// Each router has an equal share of each one's rate.
    EqualShares,
    /// A request draws one ([`WarmupLimit`]).
    Drawn,
}

/// What upstreams that warm up got.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// The most that one got within a second.
    pub most: usize,
    /// What one got in a second on average, outside the burst.
    pub usual_mean: f64,
}

/// Who sends a request, and when.
#[derive(Clone, Copy)]
struct Sender {
    /// The router.
    number: usize,
    /// How many routers it knows.
    known: Option<usize>,
    /// Milliseconds since the beginning.
    at: u64,
}

/// One router.
#[derive(Clone, Default)]
struct Router {
    demand: Demand,
    /// When it may next send to each upstream, by its share of the rate.
    next: Vec<u64>,
}

/// Runs a fleet before a pool of which `warming` upstreams warm up all the time. `known` says how many
/// routers each router knows, those with the lowest numbers and itself; `None` is nobody.
#[must_use]
pub fn run(way: Way, warming: usize, known: impl Fn(usize) -> Option<usize>, seed: u64) -> Seen {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut routers = vec![Router::default(); ROUTERS];
    for router in &mut routers {
        // Shares begin at different times, since routers do not start in step.
        router.next = (0..warming).map(|_| random.random_range(0..10_000)).collect();
    }
    let mut arrived: Vec<Vec<u64>> = vec![Vec::new(); warming];
    let mut millis = 0.0;
    while millis < MILLIS as f64 {
        let is_burst = BURST_MILLIS.contains(&whole(millis));
        let per_second = USUAL_PER_SECOND * if is_burst { BURST } else { 1.0 };
        millis -= random.random::<f64>().ln() * 1_000.0 * CLUMP as f64 / per_second;
        let number = random.random_range(0..ROUTERS);
        for _ in 0..CLUMP {
            let sender = Sender { number, known: known(number), at: whole(millis) };
            let taken = taken(way, &mut routers[number], sender, warming, &mut random);
            if let Some(upstream) = taken {
                arrived[upstream].push(sender.at);
            }
        }
    }
    seen(&arrived)
}

/// The upstream that warms up to which a request goes, if it goes to one.
fn taken(
    way: Way,
    router: &mut Router,
    sender: Sender,
    warming: usize,
    random: &mut ChaCha8Rng,
) -> Option<usize> {
    let Sender { number, known, at } = sender;
    let now = Instant::from_millis(1_000 + at);
    router.demand.record(now);
    // Subjects have their homes evenly.
    let home = random.random_range(0..UPSTREAMS);
    let interval = |sharing: usize| whole(sharing as f64 * 1_000.0 / f64::from(RATE));
    let mut paced = |upstream: usize, sharing: usize| {
        let may_go = at >= router.next[upstream];
        if may_go {
            router.next[upstream] = at + interval(sharing);
        }
        may_go.then_some(upstream)
    };
    match way {
        // Each is empty, so that it is chosen for any request; all routers choose alike.
        Way::Unspared => Some(home % warming),
        Way::NamedRouters(count) => {
            let upstream = random.random_range(0..warming);
            let own = score(upstream, number);
            let others = (0..known.unwrap_or(1)).filter(|other| *other != number);
            let before = others.filter(|other| score(upstream, *other) > own).count();
            if before < count { paced(upstream, count) } else { None }
        }
        Way::EqualShares => (0..warming).find_map(|upstream| paced(upstream, known.unwrap_or(1))),
        Way::Drawn => {
            let demand = router.demand.per_second(now);
            let share =
                WarmupLimit { requests_per_second: RATE, demand_per_second: demand, router_count: known };
            let mut candidates = candidates(warming);
            share.exclude_warming(&mut candidates, random.random());
            candidates.iter().position(|candidate| candidate.takes_work && candidate.is_warming)
        }
    }
}

/// A router's place among those that the hash of an upstream names: the highest are named.
fn score(upstream: usize, router: usize) -> u64 {
    FxBuildHasher.hash_one((upstream, router)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// The pool, of which the first `warming` upstreams warm up.
#[must_use]
pub fn candidates(warming: usize) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        upstream: NameHash(number as u64),
        load: 0.0,
        failure_rate: 0.0,
        takes_work: true,
        is_warming: number < warming,
        counts_in_mean: true,
        distance: Distance::Local,
        work: None,
    };
    (0..UPSTREAMS).map(candidate).collect()
}

fn seen(arrived: &[Vec<u64>]) -> Seen {
    let most = arrived.iter().map(|times| most_within_a_second(times)).max().unwrap_or(0);
    let usual = arrived.iter().flatten().filter(|millis| !BURST_MILLIS.contains(millis)).count();
    let usual_seconds = (MILLIS - (BURST_MILLIS.end - BURST_MILLIS.start)) as f64 / 1_000.0;
    Seen { most, usual_mean: usual as f64 / arrived.len() as f64 / usual_seconds }
}

fn most_within_a_second(times: &[u64]) -> usize {
    let within =
        |(at, time): (usize, &u64)| times[at..].iter().take_while(|next| **next < time + 1_000).count();
    times.iter().enumerate().map(within).max().unwrap_or(0)
}
