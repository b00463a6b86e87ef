//! Tests that the retry budgets of all routers add up to no more than the budget of the fleet within any window.

use std::time::Duration;

use arbtest::{arbitrary, arbtest};
use bendhinge_admission::{FleetRetryBudget, RouterRetryBudget};
use bendhinge_ids::Instant;

const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
const STEPS_PER_WINDOW: usize = 100;

const fn fleet_budget(base_retries: f64) -> FleetRetryBudget {
    FleetRetryBudget { ratio: 0.2, base_retries, window: WINDOW }
}

fn at(step: usize) -> Instant {
    Instant::default() + Duration::from_secs(60) + STEP * u32::try_from(step).unwrap()
}

/// Requests and retries per step of simulated time.
struct TrafficRecord {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

impl TrafficRecord {
    /// Returns the requests within the window that starts `offset` steps before the step `start`.
    fn requests_in_window(&self, start: usize, offset: usize) -> u32 {
        let end = (start + STEPS_PER_WINDOW).saturating_sub(offset).min(self.requests.len());
        self.requests[start.saturating_sub(offset)..end].iter().sum()
    }

    /// Asserts that the retries within each window are covered by the base retries plus the ratio of the requests in
    /// the same window, the previous one, or the one half a window earlier.
    fn check(&self, budget: FleetRetryBudget) {
        for start in 0..self.retries.len() {
            let end = (start + STEPS_PER_WINDOW).min(self.retries.len());
            let retries: u32 = self.retries[start..end].iter().sum();
            let requests_by_window = [0, STEPS_PER_WINDOW / 2, STEPS_PER_WINDOW]
                .map(|offset| self.requests_in_window(start, offset));
            let requests = requests_by_window.into_iter().max().unwrap();
            let allowed = budget.ratio * f64::from(requests) + budget.base_retries;
            assert!(
                f64::from(retries) <= allowed,
                "{retries} retries of {requests} requests in the window from step {start}"
            );
        }
    }
}

/// Simulates traffic in which each request is retried twice if the budget allows.
fn simulate(
    budgets: &mut [RouterRetryBudget],
    rates: &[u32],
    mut router: impl FnMut() -> usize,
) -> TrafficRecord {
    let mut record = TrafficRecord { requests: Vec::new(), retries: Vec::new() };
    for (step, rate) in rates.iter().enumerate() {
        let mut retries = 0;
        for _ in 0..*rate {
            let budget = &mut budgets[router()];
            budget.record_request(at(step));
            retries += u32::from(budget.try_retry(at(step)));
            retries += u32::from(budget.try_retry(at(step)));
        }
        record.requests.push(*rate);
        record.retries.push(retries);
    }
    record
}

/// Holds for any distribution of requests over the routers and any bursts, even if all requests fail.
#[test]
fn router_budgets_add_up_to_no_more_than_the_fleet_budget() {
    arbtest(|u| {
        let routers = u.int_in_range(1..=40)?;
        let budget = fleet_budget(f64::from(u.int_in_range(40..=200)?));
        let mut budgets: Vec<RouterRetryBudget> = (0..routers)
            .map(|router| budget.router_budget(budget.base_share(routers), router as u64))
            .collect();
        let base_rate: u32 = u.int_in_range(2..=20)?;
        let mut rates = vec![base_rate; 4 * STEPS_PER_WINDOW];
        for _ in 0..u.int_in_range(0..=3)? {
            let start = u.choose_index(rates.len())?;
            let end = (start + u.int_in_range(5..=60)?).min(rates.len());
            let factor = u.int_in_range(0..=4)?;
            rates[start..end].iter_mut().for_each(|rate| *rate = base_rate * factor);
        }
        let stride = u.int_in_range(1..=routers)?;
        let mut next = 0;
        let record = simulate(&mut budgets, &rates, || {
            next = (next + stride) % routers;
            next
        });
        record.check(budget);
        Ok(())
    });
}

#[test]
fn all_requests_to_one_failed_upstream_are_retried() {
    let mut budget = fleet_budget(60.0).router_budget(fleet_budget(60.0).base_share(6), 1);
    // One of twelve upstreams fails every request.
    let not_retried = (0..600).filter(|number| {
        let now = at(*number);
        budget.record_request(now);
        number % 12 == 0 && !budget.try_retry(now)
    });
    assert_eq!(not_retried.count(), 0);
}

/// Several upstreams fail at the same moment with all their requests in progress. The base retries alone would cover
/// only a few of these requests.
#[test]
fn all_requests_lost_at_once_are_retried() {
    let mut budget = fleet_budget(54.0).router_budget(fleet_budget(54.0).base_share(7), 1);
    for step in 0..100 {
        for _ in 0..5 {
            budget.record_request(at(step) + STEP / 2);
        }
    }
    let retried = (0..20).filter(|_| budget.try_retry(at(100))).count();
    assert_eq!(retried, 20);
}

/// After a burst, its requests must not earn retries beyond the current rate.
/// Guards against retries that are charged although nothing was sent.
#[test]
fn returned_retry_can_be_taken_again() {
    let mut budget = fleet_budget(60.0).router_budget(fleet_budget(60.0).base_share(2), 1);
    let now = at(1);
    let taken = (0..100).take_while(|_| budget.try_retry(now)).count();
    assert!(taken > 0 && !budget.try_retry(now));
    budget.return_retry();
    assert!(budget.try_retry(now));
    assert!(!budget.try_retry(now));
}

/// Guards against returns that add to the budget.
#[test]
fn returns_without_a_retry_change_nothing() {
    let mut budget = fleet_budget(60.0).router_budget(fleet_budget(60.0).base_share(2), 1);
    let unchanged = budget.clone();
    budget.return_retry();
    let taken = |mut budget: RouterRetryBudget| (0..100).take_while(|_| budget.try_retry(at(1))).count();
    assert_eq!(taken(budget), taken(unchanged));
}

#[test]
fn retries_follow_the_current_rate() {
    let mut budget = fleet_budget(0.0).router_budget(fleet_budget(0.0).base_share(1), 1);
    for step in 0..50 {
        for _ in 0..100 {
            budget.record_request(at(step));
        }
    }
    for step in 50..80 {
        budget.record_request(at(step));
    }
    let retried = (0..1_000).filter(|_| budget.try_retry(at(80))).count();
    assert!(retried <= 20, "{retried}");
}

#[test]
fn smaller_base_share_takes_effect_immediately() {
    let mut budget = fleet_budget(60.0).router_budget(fleet_budget(60.0).base_share(2), 1);
    budget.set_base_share(1.0);
    assert!(budget.try_retry(at(0)));
    assert!(!budget.try_retry(at(0)));
}

/// In a large fleet where each router sends few requests, rounding every router's budget up would exceed the budget of
/// the fleet, and rounding it down would allow no retries.
#[test]
fn router_budgets_below_one_retry_add_up_to_the_fleet_budget() {
    for routers in [600, 1_200, 3_700] {
        let budget = fleet_budget(640.0);
        let mut budgets: Vec<RouterRetryBudget> = (0..routers)
            .map(|router| budget.router_budget(budget.base_share(routers), router as u64))
            .collect();
        let mut next = 0;
        let rate = u32::try_from(routers / 100).unwrap();
        let record = simulate(&mut budgets, &vec![rate; 3 * STEPS_PER_WINDOW], || {
            next = (next + 7) % routers;
            next
        });
        record.check(budget);
        let retries: u32 = record.retries[..STEPS_PER_WINDOW].iter().sum();
        let allowed = budget.ratio * f64::from(rate) * STEPS_PER_WINDOW as f64 + budget.base_retries;
        assert!(
            f64::from(retries) > allowed / 2.0,
            "{routers} routers made {retries} of {allowed} allowed retries"
        );
    }
}

/// Checks the budget of a fleet in which all requests fail in some periods, the rate changes in some, and routers
/// restart after some.
fn check_periods(u: &mut arbitrary::Unstructured<'_>, may_restart: bool) -> arbitrary::Result<()> {
    const STEPS_PER_PERIOD: usize = 15;
    const PERIODS: usize = 4 * STEPS_PER_WINDOW / STEPS_PER_PERIOD;
    const FIRST_FAILURE: usize = STEPS_PER_WINDOW / STEPS_PER_PERIOD;
    let routers = u.int_in_range(1..=40)?;
    let budget = fleet_budget(f64::from(u.int_in_range(40..=200)?));
    let base_share = budget.base_share(routers);
    let mut budgets: Vec<RouterRetryBudget> =
        (0..routers).map(|router| budget.router_budget(base_share, router as u64)).collect();
    let base_rate: u32 = u.int_in_range(2..=60)?;
    let mut record = TrafficRecord { requests: Vec::new(), retries: Vec::new() };
    let mut next = 0;
    for period in 0..PERIODS {
        let all_fail = period > FIRST_FAILURE && u.ratio(1, 3)?;
        let rate = if u.ratio(1, 6)? { base_rate * u.int_in_range(0..=4)? } else { base_rate };
        let end = (period + 1) * STEPS_PER_PERIOD;
        for step in end - STEPS_PER_PERIOD..end {
            let mut retries = 0;
            for _ in 0..rate {
                next = (next + 1) % routers;
                let budget = &mut budgets[next];
                budget.record_request(at(step));
                if all_fail {
                    retries += u32::from(budget.try_retry(at(step)));
                    retries += u32::from(budget.try_retry(at(step)));
                }
            }
            record.requests.push(rate);
            record.retries.push(retries);
        }
        if may_restart && u.ratio(1, 4)? {
            let first_survivor = u.int_in_range(1..=routers)?;
            for (router, restarted) in budgets[..first_survivor].iter_mut().enumerate() {
                let seed = (end * routers + router) as u64;
                *restarted = budget.restarted_router_budget(base_share, seed, at(end));
            }
        }
    }
    record.check(budget);
    Ok(())
}

/// Guards against retries beyond the budget of the fleet when requests fail after bursts, whose requests count for
/// other windows than the retries.
#[test]
fn retries_after_bursts_stay_within_the_fleet_budget() {
    arbtest(|u| check_periods(u, false));
}

/// Guards against retries beyond the budget of the fleet after routers have restarted and forgotten what they spent.
#[test]
fn restarted_routers_stay_within_the_fleet_budget() {
    arbtest(|u| check_periods(u, true));
}
