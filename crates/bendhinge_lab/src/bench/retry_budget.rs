//! The retry budget of a fleet whose routers restart while upstreams fail, with the ways of counting across a restart
//! that were compared.
//!
//! Requests arrive at random routers at a constant rate. Each is sent to a random upstream and retried up to twice at
//! others, as far as the router's budget allows. A send takes no time.

use std::ops::Range;
use std::time::Duration;

use bendhinge_admission::{FleetRetryBudget, RouterRetryBudget};
use bendhinge_ids::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Duration of a simulated step.
const STEP_MILLIS: u64 = 100;
const STEPS_PER_WINDOW: usize = 100;
const STEPS: usize = 400;
/// Number of upstreams.
pub const UPSTREAMS: usize = 12;
const MAX_RETRIES: usize = 2;
/// Retries per request in the budget of the fleet.
const RATIO: f64 = 0.2;

/// How a router's budget accounts for what the router spent before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Not at all.
    Forget,
    /// Every router uses half of its budget at all times, so that two budgets fit in one window.
    Halve,
    /// Requests earn retries for a token bucket that holds no more than the base share, and starts empty.
    TokenBucket,
    /// A restarted router assumes that its budget was spent.
    AssumeSpent,
    /// The routers that go on remember what a restarted router spent; if none does, it assumes that its budget was spent.
    Remember,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 5] =
        [Self::Forget, Self::Halve, Self::TokenBucket, Self::AssumeSpent, Self::Remember];
}

/// Sends that fail within a range of steps.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The steps in which they fail.
    pub steps: Range<usize>,
    /// Number of upstreams at which sends fail.
    pub upstreams: usize,
    /// Probability that a send to one of these fails.
    pub probability: f64,
}

/// Routers that restart at once.
#[derive(Clone, Debug)]
pub struct Restart {
    /// The step before which they restart.
    pub step: usize,
    /// The routers that restart, as fractions of the fleet.
    pub routers: Range<f64>,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Name in the table of figures.
    pub name: &'static str,
    /// What fails.
    pub failures: Vec<Failure>,
    /// What restarts.
    pub restarts: Vec<Restart>,
}

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of routers.
    pub routers: usize,
    /// Requests per step.
    pub rate: usize,
    /// Base retries of the fleet's budget.
    pub base_retries: f64,
}

/// Fleets that are compared: a small, a large and a very large one.
pub const FLEETS: [Fleet; 3] = [
    Fleet { routers: 7, rate: 25, base_retries: 54.0 },
    Fleet { routers: 65, rate: 60, base_retries: 214.0 },
    Fleet { routers: 585, rate: 400, base_retries: 640.0 },
];

/// Result of a run.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Highest ratio of the retries in a window to those allowed; the budget holds up to 1.
    pub highest_use: f64,
    /// Fraction of the requests whose first send failed that were served by a retry.
    pub rescued: f64,
    /// Retries for each request that a retry served.
    pub retries_per_rescue: f64,
}

/// Returns the scenarios that are compared.
#[must_use]
pub fn scenes() -> Vec<Scene> {
    const ALL: Range<f64> = 0.0..1.0;
    let all_reject = |steps, probability| Failure { steps, upstreams: UPSTREAMS, probability };
    let one_fails = |steps, probability| Failure { steps, upstreams: 1, probability };
    let restart = |step: usize, routers| Restart { step, routers };
    let scene = |name, failures, restarts| Scene { name, failures, restarts };
    let roll = || {
        let tenths = |tenth: usize| tenth as f64 / 10.0..(tenth + 1) as f64 / 10.0;
        (0..10).map(|tenth| restart(200 + 10 * tenth, tenths(tenth))).collect()
    };
    vec![
        scene("rejections, no restart", vec![all_reject(180..198, 0.95), all_reject(240..290, 0.95)], vec![]),
        scene(
            "rejections, all restart, rejections",
            vec![all_reject(180..198, 0.95), all_reject(240..290, 0.95)],
            vec![restart(200, ALL)],
        ),
        scene(
            "half rejected, all restart, half rejected",
            vec![all_reject(180..198, 0.6), all_reject(220..280, 0.6)],
            vec![restart(200, ALL)],
        ),
        scene(
            "rejections, 0.6 restart, rejections",
            vec![all_reject(180..198, 0.95), all_reject(240..290, 0.95)],
            vec![restart(200, 0.0..0.6)],
        ),
        scene(
            "all restart three times during rejections",
            vec![all_reject(180..290, 0.95)],
            vec![restart(200, ALL), restart(230, ALL), restart(260, ALL)],
        ),
        scene("roll during rejections", vec![all_reject(180..330, 0.95)], roll()),
        scene("all restart, one upstream fails 0.4", vec![one_fails(200..300, 0.4)], vec![restart(200, ALL)]),
        scene("roll, one upstream fails 0.4", vec![one_fails(200..300, 0.4)], roll()),
        scene("one upstream lost at once", vec![one_fails(200..205, 1.0)], vec![]),
        scene(
            "three upstreams lost at once",
            vec![Failure { upstreams: 3, ..one_fails(200..205, 1.0) }],
            vec![],
        ),
    ]
}

/// A token bucket, for comparison.
struct TokenBucket {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

/// The budget of one router.
enum Budget {
    Window(RouterRetryBudget),
    Bucket(TokenBucket),
}

impl Budget {
    fn record_request(&mut self, now: Instant) {
        match self {
            Self::Window(budget) => budget.record_request(now),
            Self::Bucket(bucket) => bucket.tokens = (bucket.tokens + bucket.ratio).min(bucket.capacity),
        }
    }

    fn try_retry(&mut self, now: Instant) -> bool {
        match self {
            Self::Window(budget) => budget.try_retry(now),
            Self::Bucket(bucket) if bucket.tokens >= 1.0 => {
                bucket.tokens -= 1.0;
                true
            }
            Self::Bucket(_) => false,
        }
    }
}

impl Way {
    /// Creates the budget of a router, which restarted at `restarted_at` or has been running for long.
    fn router_budget(self, fleet: Fleet, restarted_at: Option<Instant>, seed: u64) -> Budget {
        let budget = fleet.budget();
        let base_share = budget.base_share(fleet.routers);
        match (self, restarted_at) {
            (Self::Halve, _) => {
                let half = FleetRetryBudget { ratio: budget.ratio / 2.0, ..budget };
                Budget::Window(half.router_budget(base_share, seed))
            }
            (Self::TokenBucket, _) => Budget::Bucket(TokenBucket {
                ratio: budget.ratio,
                capacity: base_share.max(1.0),
                tokens: 0.0,
            }),
            (Self::AssumeSpent | Self::Remember, Some(at)) => {
                Budget::Window(budget.restarted_router_budget(base_share, seed, at))
            }
            _ => Budget::Window(budget.router_budget(base_share, seed)),
        }
    }
}

impl Fleet {
    fn budget(self) -> FleetRetryBudget {
        let window = Duration::from_millis(STEP_MILLIS * STEPS_PER_WINDOW as u64);
        FleetRetryBudget { ratio: RATIO, base_retries: self.base_retries, window }
    }

    /// Returns the retries that the budget allows within a window.
    fn allowed_retries(self) -> f64 {
        RATIO * (self.rate * STEPS_PER_WINDOW) as f64 + self.base_retries
    }

    fn router_index(self, fraction: f64) -> usize {
        usize::try_from(super::whole(fraction * self.routers as f64)).unwrap_or(usize::MAX)
    }
}

impl Scene {
    /// Whether a send to `upstream` at `step` fails.
    fn fails(&self, step: usize, upstream: usize, random: &mut ChaCha8Rng) -> bool {
        let mut failures = self
            .failures
            .iter()
            .filter(|failure| failure.steps.contains(&step) && upstream < failure.upstreams);
        failures.any(|failure| random.random_bool(failure.probability))
    }
}

fn at(step: usize) -> Instant {
    Instant::from_millis(60_000 + STEP_MILLIS * step as u64)
}

/// State of a run.
struct Run<'a> {
    way: Way,
    scene: &'a Scene,
    fleet: Fleet,
    random: ChaCha8Rng,
    budgets: Vec<Budget>,
    retries_by_step: Vec<usize>,
    /// Requests whose first send failed.
    failed: usize,
    /// Requests that were served by a retry.
    rescued: usize,
}

impl<'a> Run<'a> {
    fn new(way: Way, scene: &'a Scene, fleet: Fleet, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let budgets = (0..fleet.routers).map(|_| way.router_budget(fleet, None, random.random())).collect();
        Self { way, scene, fleet, random, budgets, retries_by_step: Vec::new(), failed: 0, rescued: 0 }
    }

    fn restart_routers(&mut self, step: usize) {
        let Self { way, scene, fleet, random, budgets, .. } = self;
        for restart in scene.restarts.iter().filter(|restart| restart.step == step) {
            let routers = fleet.router_index(restart.routers.start)..fleet.router_index(restart.routers.end);
            // What the other routers remember is the budget itself.
            if *way == Way::Remember && routers.len() < fleet.routers {
                continue;
            }
            for budget in &mut budgets[routers] {
                *budget = way.router_budget(*fleet, Some(at(step)), random.random());
            }
        }
    }

    /// Sends a request with its retries and returns the number of retries.
    fn send_request(&mut self, step: usize) -> usize {
        let budget = &mut self.budgets[self.random.random_range(0..self.fleet.routers)];
        budget.record_request(at(step));
        let first = self.random.random_range(0..UPSTREAMS);
        if !self.scene.fails(step, first, &mut self.random) {
            return 0;
        }
        self.failed += 1;
        for retry in 1..=MAX_RETRIES {
            if !budget.try_retry(at(step)) {
                return retry - 1;
            }
            if !self.scene.fails(step, (first + retry) % UPSTREAMS, &mut self.random) {
                self.rescued += 1;
                return retry;
            }
        }
        MAX_RETRIES
    }

    fn figures(&self) -> Figures {
        let windows = self.retries_by_step.windows(STEPS_PER_WINDOW);
        let highest = windows.map(|window| window.iter().sum::<usize>()).max().unwrap_or(0);
        let retries: usize = self.retries_by_step.iter().sum();
        Figures {
            highest_use: highest as f64 / self.fleet.allowed_retries(),
            rescued: self.rescued as f64 / self.failed.max(1) as f64,
            retries_per_rescue: retries as f64 / self.rescued.max(1) as f64,
        }
    }
}

/// Runs a scenario.
#[must_use]
pub fn run(way: Way, scene: &Scene, fleet: Fleet, seed: u64) -> Figures {
    let mut run = Run::new(way, scene, fleet, seed);
    for step in 0..STEPS {
        run.restart_routers(step);
        let retries = (0..fleet.rate).map(|_| run.send_request(step)).sum();
        run.retries_by_step.push(retries);
    }
    run.figures()
}
