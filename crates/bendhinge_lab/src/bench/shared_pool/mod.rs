//! A small plain pool behind a fleet whose routers each send it about one request per second, with the ways of
//! choosing an upstream and of hedging that were compared.
//!
//! Each upstream has 6 slots and a queue of 24, needs 30 or 60 ms for a request, and in some of the loads is 2.5 times as
//! slow for 15 % of the time, 0.6 s at a time. Routers share fleet totals every 0.4 s over the tree of relays. They
//! estimate, choose and hedge with the functions of the product.

mod counting;
mod load;
mod model;
mod upstream;

use std::time::Duration;

use bendhinge_admission::FleetRetryBudget;
use bendhinge_ids::NameHash;

pub use self::load::{BUSY, Burst, DRAINED_IN_BURST, LOADS, Load, SHIFTS, SLOW_AT_TIMES, USUAL};
use self::model::Model;

const TARGET: Duration = Duration::from_millis(200);
const END_MICROS: u64 = 90_000_000;
const POOL: NameHash = NameHash(1_000);
const BUDGET: FleetRetryBudget =
    FleetRetryBudget { ratio: 0.2, base_retries: 20.0, window: Duration::from_secs(10) };

/// How a router chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Any, with equal probability.
    Random,
    /// In turn, each router from a random start.
    RoundRobin,
    /// Any of two upstreams that are assigned to the router.
    Subset,
    /// Of two random ones, that with the fewer requests of the fleet in progress.
    TwoChoices,
    /// The one with the shortest expected response time.
    Fastest,
    /// By [`bendhinge_placement::choose_plain`], with all upstreams in the same data centre.
    Expected,
    /// By [`bendhinge_placement::choose_plain`], with upstreams in three data centres.
    ExpectedLocal,
    /// By [`bendhinge_placement::choose_plain`] and the state of all upstreams at this moment, which no router knows.
    Exact,
    /// As [`Choice::ExpectedLocal`]; then the router that counts the requests of the chosen upstream is asked, and
    /// refuses requests above the load limit.
    Counted,
    /// One router counts the requests of all upstreams and names the one with the fewest.
    PoolCounter,
}

/// When a hedge is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// Never.
    Never,
    /// After 0.7 of the target latency.
    Fixed,
    /// After [`bendhinge_fleet::ResponseTimes::hedge_delay`].
    Tail,
}

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Of 1,000 requests, those with a response within the target latency.
    pub in_time: f64,
    /// 99th percentile of the response times, in milliseconds.
    pub p99_ms: f64,
    /// Of 1,000 requests, those that had no response.
    pub rejected: f64,
    /// Of 1,000 sends, those to an upstream with more than twice the mean and three in progress.
    pub over_bound: f64,
    /// Hedges for 1,000 requests.
    pub hedges: f64,
    /// Highest fraction of the sends of five seconds that exceed that bound.
    pub worst_over_bound: f64,
    /// Questions to routers that count requests, for 1,000 requests.
    pub questions: f64,
}

/// The ways that were compared by how close they keep the upstreams to the mean.
pub const COMPARED_SHIFTS: [Choice; 7] = [
    Choice::Random,
    Choice::RoundRobin,
    Choice::Expected,
    Choice::ExpectedLocal,
    Choice::Exact,
    Choice::Counted,
    Choice::PoolCounter,
];

/// The ways that were compared.
pub const COMPARED: [(Choice, Hedge); 14] = [
    (Choice::Random, Hedge::Never),
    (Choice::Random, Hedge::Fixed),
    (Choice::Random, Hedge::Tail),
    (Choice::RoundRobin, Hedge::Fixed),
    (Choice::Subset, Hedge::Fixed),
    (Choice::TwoChoices, Hedge::Never),
    (Choice::TwoChoices, Hedge::Fixed),
    (Choice::Fastest, Hedge::Never),
    (Choice::Fastest, Hedge::Fixed),
    (Choice::Expected, Hedge::Never),
    (Choice::Expected, Hedge::Fixed),
    (Choice::Expected, Hedge::Tail),
    (Choice::ExpectedLocal, Hedge::Tail),
    (Choice::Exact, Hedge::Tail),
];

/// Plays the load.
#[must_use]
pub fn run(choice: Choice, hedge: Hedge, load: Load, seed: u64) -> Figures {
    Model::new(choice, hedge, load, seed).play()
}

/// Returns the means over runs with these seeds.
#[must_use]
pub fn mean((choice, hedge): (Choice, Hedge), load: Load, seeds: &[u64]) -> Figures {
    let runs: Vec<Figures> = std::thread::scope(|scope| {
        let play = |seed: &u64| {
            let seed = *seed;
            scope.spawn(move || run(choice, hedge, load, seed))
        };
        let threads: Vec<_> = seeds.iter().map(play).collect();
        threads.into_iter().map(|thread| thread.join().expect("a bench does not panic")).collect()
    });
    let mean = |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64;
    Figures {
        in_time: mean(|run| run.in_time),
        p99_ms: mean(|run| run.p99_ms),
        rejected: mean(|run| run.rejected),
        over_bound: mean(|run| run.over_bound),
        hedges: mean(|run| run.hedges),
        worst_over_bound: runs.iter().map(|run| run.worst_over_bound).fold(0.0, f64::max),
        questions: mean(|run| run.questions),
    }
}
