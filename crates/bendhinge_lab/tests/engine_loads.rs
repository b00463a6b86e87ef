//! The load of engines while one prompt is popular, or a data centre is drained. The module that plays it describes the
//! patterns.

use std::ops::Range;

use bendhinge_lab::bench::engine_loads::{Drain, Scenario, Way, run};

/// Fraction of the requests of five seconds that may reach engines with over twice the mean load plus three.
const MAX_OVER_LIMIT: f64 = 0.03;
const SEEDS: Range<u64> = 1..4;
const DRAIN_SEEDS: Range<u64> = 1..7;

/// A fraction of the long prompts concerns one subject for some seconds.
fn popular(fraction: f64) -> Scenario {
    Scenario { popular_fraction: fraction, ..Scenario::default() }
}

/// When the data centre is drained. The drain outlasts the reports of its engines.
const DRAIN_MILLIS: Range<u64> = 3_000..8_000;

/// One of three data centres is drained, and the demand's wave peaks shortly before the drain ends.
fn drain() -> Scenario {
    Scenario {
        drains: vec![Drain { millis: DRAIN_MILLIS, data_centre: 1 }],
        wave_peak_millis: Some(7_500),
        ..Scenario::default()
    }
}

/// One of three data centres is drained while the demand is twice the usual.
fn busy_drain() -> Scenario {
    Scenario {
        drains: vec![Drain { millis: DRAIN_MILLIS, data_centre: 1 }],
        burst_millis: DRAIN_MILLIS.start..DRAIN_MILLIS.end + 500,
        burst_factor: 2.0,
        ..Scenario::default()
    }
}

/// Asserts that the load limit holds with each of the seeds.
fn assert_within_limit(way: Way, scenario: &Scenario, seeds: Range<u64>) {
    for seed in seeds {
        let over = run(way, scenario, seed).worst_fraction_over_limit();
        assert!(over <= MAX_OVER_LIMIT, "seed {seed}: {over:.3} of the requests");
    }
}

/// Guards against a model whose engines are over the limit whatever is popular.
#[test]
fn engines_without_a_popular_prompt_stay_within_the_load_limit() {
    assert_within_limit(Way::OverloadReports, &popular(0.0), SEEDS);
}

/// Guards against a popular prompt whose requests pile up at its home and copies, since reports of their load arrive
/// after the requests of the other routers.
#[test]
fn engines_with_a_popular_prompt_stay_within_the_load_limit() {
    assert_within_limit(Way::Estimate, &popular(0.5), SEEDS);
}

/// Guards against overloads that other routers learn of only with the periodic exchanges, while their requests already
/// pile up.
#[test]
fn overload_reports_halve_the_requests_over_the_load_limit() {
    let over = |way| SEEDS.map(|seed| run(way, &popular(0.9), seed).worst_fraction_over_limit()).sum::<f64>();
    let (before, after) = (over(Way::Estimate), over(Way::OverloadReports));
    assert!(after <= before / 2.0, "{after:.3}, without reports {before:.3}");
}

/// Guards against a model that does not show the fault: with one home, the load limit is exceeded.
#[test]
fn a_single_home_of_a_popular_prompt_exceeds_the_load_limit() {
    for seed in SEEDS {
        let over = run(Way::SingleHome, &popular(0.5), seed).worst_fraction_over_limit();
        assert!(over > MAX_OVER_LIMIT, "seed {seed}: {over:.3} of the requests");
    }
}

/// Guards against engines over the limit while a third of the pool is drained and when it returns.
#[test]
fn engines_stay_within_the_load_limit_around_a_drain() {
    assert_within_limit(Way::OverloadReports, &drain(), DRAIN_SEEDS);
}

/// Guards against returned engines without a report that count as loaded as the others, which raises the load limit.
#[test]
fn estimated_mean_load_follows_the_load_when_a_drain_ends() {
    const MAX_RATIO: f64 = 1.25;
    let returned = DRAIN_MILLIS.end + 1_000..DRAIN_MILLIS.end + 3_000;
    for seed in SEEDS {
        let ratio = run(Way::OverloadReports, &drain(), seed).mean_estimate_ratio(returned.clone());
        assert!(ratio <= MAX_RATIO, "seed {seed}: {ratio:.2} times the mean load");
    }
}

/// Guards against exchanges that are too rare while the engines that are left bear twice the usual demand: routers learn
/// of an engine above the limit after the next requests were sent there.
#[test]
fn engines_of_a_busy_pool_stay_within_the_load_limit_around_a_drain() {
    assert_within_limit(Way::FrequentExchanges, &busy_drain(), DRAIN_SEEDS);
}

/// Guards against a model that does not show the fault: at the usual interval, the load limit is exceeded.
#[test]
fn exchanges_at_the_usual_interval_exceed_the_load_limit_around_a_drain() {
    let over = |seed| run(Way::OverloadReports, &busy_drain(), seed).worst_fraction_over_limit();
    let worst = DRAIN_SEEDS.map(over).fold(0.0, f64::max);
    assert!(worst > MAX_OVER_LIMIT, "{worst:.3} of the requests");
}
