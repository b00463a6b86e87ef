//! Retries of a fleet whose routers restart while upstreams fail. The scenarios are described in the module that runs
//! them.

use bendhinge_lab::bench::retry_budget::{FLEETS, Figures, Scene, UPSTREAMS, Way, run, scenes};

const SEEDS: u64 = 3;

/// Returns the highest value over the seeds.
fn highest(runs: &[Figures], value: fn(&Figures) -> f64) -> f64 {
    runs.iter().map(value).fold(0.0, f64::max)
}

/// Guards against retries beyond the budget of the fleet when routers restart within a window, at once, in turn or
/// repeatedly.
#[test]
fn restarts_keep_retries_within_the_fleet_budget() {
    for fleet in FLEETS {
        for scene in scenes() {
            let runs: Vec<_> = (0..SEEDS).map(|seed| run(Way::AssumeSpent, &scene, fleet, seed)).collect();
            let highest_use = highest(&runs, |run| run.highest_use);
            assert!(highest_use <= 1.0, "{}, {} routers: {highest_use:.2}", scene.name, fleet.routers);
        }
    }
}

/// Guards against scenarios that no longer show the failure: with restarts while all upstreams reject requests, routers
/// that forget what they spent exceed the budget.
#[test]
fn forgotten_retries_exceed_the_fleet_budget() {
    let all_fail = |scene: &Scene| scene.failures.iter().all(|failure| failure.upstreams == UPSTREAMS);
    for scene in scenes().iter().filter(|scene| !scene.restarts.is_empty() && all_fail(scene)) {
        for seed in 0..SEEDS {
            let figures = run(Way::Forget, scene, FLEETS[0], seed);
            assert!(figures.highest_use > 1.0, "{}, seed {seed}: {:.2}", scene.name, figures.highest_use);
        }
    }
}
