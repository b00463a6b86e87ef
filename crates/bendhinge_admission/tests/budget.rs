//! The shares of a fleet's budget for retries add up to no more than the budget.

use arbtest::arbtest;
use bendhinge_admission::{FleetRetryBudget, RetryBudget};

/// However requests are divided among the routers, and however many of them fail.
#[test]
fn shares_add_up_to_no_more_than_the_budget() {
    arbtest(|u| {
        let routers = u.int_in_range(1..=80)?;
        let budget = FleetRetryBudget { ratio: 0.2, slack: f64::from(u.int_in_range(40..=200)?) };
        let mut shares: Vec<RetryBudget> = (0..routers).map(|_| budget.share(routers)).collect();
        let (mut requests, mut retries) = (0, 0);
        for _ in 0..u.int_in_range(0..=400)? {
            let router = u.choose_index(routers)?;
            for _ in 0..u.int_in_range(1..=20)? {
                shares[router].attempt();
                requests += 1;
                retries += u32::from(shares[router].retry());
                retries += u32::from(shares[router].retry());
            }
        }
        let reserves = budget.reserve(routers) * routers as f64;
        assert!(reserves <= (budget.slack * 0.5).max(routers as f64) + 1e-9);
        let allowed = budget.ratio * f64::from(requests) + reserves;
        assert!(f64::from(retries) <= allowed, "{retries} of {requests}, {routers} routers");
        Ok(())
    });
}

#[test]
fn a_lost_upstream_costs_few_requests() {
    let mut share = FleetRetryBudget { ratio: 0.2, slack: 60.0 }.share(6);
    let mut given_up = 0;
    // One of twelve upstreams fails all that it gets.
    for number in 0..600 {
        share.attempt();
        if number % 12 == 0 && !share.retry() {
            given_up += 1;
        }
    }
    assert_eq!(given_up, 0);
}

#[test]
fn a_smaller_reserve_takes_what_was_saved_up() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    budget.set_reserve(1.0);
    assert!(budget.retry());
    assert!(!budget.retry());
}
