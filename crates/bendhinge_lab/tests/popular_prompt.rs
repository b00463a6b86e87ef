//! The load of engines while one prompt is popular. The module that plays it describes the pattern.

use bendhinge_lab::bench::popular_prompt::{Way, run};

/// Fraction of the requests of five seconds that may reach engines with over twice the mean load plus three.
const MAX_OVER_LIMIT: f64 = 0.03;
const SEEDS: std::ops::Range<u64> = 1..4;

/// Guards against a model whose engines are over the limit whatever is popular.
#[test]
fn engines_without_a_popular_prompt_stay_within_the_load_limit() {
    for seed in SEEDS {
        let over = run(Way::OverloadReports, 0.0, seed).worst_fraction_over_limit();
        assert!(over <= MAX_OVER_LIMIT, "seed {seed}: {over:.3} of the requests");
    }
}

/// Guards against a popular prompt whose requests pile up at its home and copies, since reports of their load arrive
/// after the requests of the other routers.
#[test]
fn engines_with_a_popular_prompt_stay_within_the_load_limit() {
    for seed in SEEDS {
        let over = run(Way::Estimate, 0.5, seed).worst_fraction_over_limit();
        assert!(over <= MAX_OVER_LIMIT, "seed {seed}: {over:.3} of the requests");
    }
}

/// Guards against overloads that other routers learn of only with the periodic exchanges, while their requests already
/// pile up.
#[test]
fn overload_reports_halve_the_requests_over_the_load_limit() {
    let over = |way| SEEDS.map(|seed| run(way, 0.9, seed).worst_fraction_over_limit()).sum::<f64>();
    let (before, after) = (over(Way::Estimate), over(Way::OverloadReports));
    assert!(after <= before / 2.0, "{after:.3}, without reports {before:.3}");
}

/// Guards against a model that does not show the fault: with one home, the load limit is exceeded.
#[test]
fn a_single_home_of_a_popular_prompt_exceeds_the_load_limit() {
    for seed in SEEDS {
        let over = run(Way::SingleHome, 0.5, seed).worst_fraction_over_limit();
        assert!(over > MAX_OVER_LIMIT, "seed {seed}: {over:.3} of the requests");
    }
}
