//! The shares of a fleet's budget for retries add up to no more than the budget, within any span.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_admission::{FleetRetryBudget, RetryShare};
use bendhinge_ids::Instant;

const SPAN: Duration = Duration::from_secs(10);
/// A step of the simulated time.
const STEP: Duration = Duration::from_millis(100);
const STEPS_OF_SPAN: usize = 100;

const fn budget(slack: f64) -> FleetRetryBudget {
    FleetRetryBudget { ratio: 0.2, slack, span: SPAN }
}

fn at(step: usize) -> Instant {
    Instant::default() + Duration::from_secs(60) + STEP * u32::try_from(step).unwrap()
}

/// Requests and retries of each step.
struct Played {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

impl Played {
    /// The requests of the span that begins `earlier` steps before the step `from`.
    fn requests_within(&self, from: usize, earlier: usize) -> u32 {
        let until = (from + STEPS_OF_SPAN).saturating_sub(earlier).min(self.requests.len());
        self.requests[from.saturating_sub(earlier)..until].iter().sum()
    }

    /// The rule: what was sent again within a span is within the ratio of the requests of that
    /// span, of the one before it or of the one half a span before it, and the slack.
    fn check(&self, budget: FleetRetryBudget) {
        for from in 0..self.retries.len() {
            let until = (from + STEPS_OF_SPAN).min(self.retries.len());
            let retries: u32 = self.retries[from..until].iter().sum();
            let most =
                [0, STEPS_OF_SPAN / 2, STEPS_OF_SPAN].map(|earlier| self.requests_within(from, earlier));
            let requests = most.into_iter().max().unwrap();
            let allowed = budget.ratio * f64::from(requests) + budget.slack;
            assert!(f64::from(retries) <= allowed, "{retries} of {requests} from step {from}");
        }
    }
}

/// Plays traffic in which each request would be sent again twice.
fn play(shares: &mut [RetryShare], rates: &[u32], mut router: impl FnMut() -> usize) -> Played {
    let mut played = Played { requests: Vec::new(), retries: Vec::new() };
    for (step, rate) in rates.iter().enumerate() {
        let mut retries = 0;
        for _ in 0..*rate {
            let share = &mut shares[router()];
            share.request(at(step));
            retries += u32::from(share.retry(at(step)));
            retries += u32::from(share.retry(at(step)));
        }
        played.requests.push(*rate);
        played.retries.push(retries);
    }
    played
}

/// However requests are divided among the routers, whatever bursts there are, and if all fail all
/// the time.
#[test]
fn shares_add_up_to_no_more_than_the_budget() {
    arbtest(|u| {
        let routers = u.int_in_range(1..=40)?;
        let budget = budget(f64::from(u.int_in_range(40..=200)?));
        let mut shares: Vec<RetryShare> =
            (0..routers).map(|router| budget.share(budget.reserve(routers), router as u64)).collect();
        let usual: u32 = u.int_in_range(2..=20)?;
        let mut rates = vec![usual; 4 * STEPS_OF_SPAN];
        for _ in 0..u.int_in_range(0..=3)? {
            let from = u.choose_index(rates.len())?;
            let until = (from + u.int_in_range(5..=60)?).min(rates.len());
            let factor = u.int_in_range(0..=4)?;
            rates[from..until].iter_mut().for_each(|rate| *rate = usual * factor);
        }
        let stride = u.int_in_range(1..=routers)?;
        let mut next = 0;
        let played = play(&mut shares, &rates, || {
            next = (next + stride) % routers;
            next
        });
        played.check(budget);
        Ok(())
    });
}

#[test]
fn a_lost_upstream_costs_few_requests() {
    let mut share = budget(60.0).share(budget(60.0).reserve(6), 1);
    // One of twelve upstreams fails all that it gets.
    let given_up = (0..600).filter(|number| {
        let now = at(*number);
        share.request(now);
        number % 12 == 0 && !share.retry(now)
    });
    assert_eq!(given_up.count(), 0);
}

/// What seven routers with 25 requests a second each have in progress at a quarter of the
/// upstreams, and lose with them at one moment. With what may be saved up alone, each router could
/// send four of them again.
#[test]
fn all_that_is_lost_at_once_with_some_upstreams_is_sent_again() {
    let mut share = budget(54.0).share(budget(54.0).reserve(7), 1);
    for step in 0..100 {
        for _ in 0..5 {
            share.request(at(step) + STEP / 2);
        }
    }
    let sent_again = (0..20).filter(|_| share.retry(at(100))).count();
    assert_eq!(sent_again, 20);
}

/// A burst that is over earns nothing more: within the spans to come there are fewer requests.
#[test]
fn retries_follow_the_present_rate() {
    let mut share = budget(0.0).share(budget(0.0).reserve(1), 1);
    for step in 0..50 {
        for _ in 0..100 {
            share.request(at(step));
        }
    }
    for step in 50..80 {
        share.request(at(step));
    }
    let sent_again = (0..1_000).filter(|_| share.retry(at(80))).count();
    assert!(sent_again <= 20, "{sent_again}");
}

#[test]
fn a_smaller_part_of_the_slack_holds_at_once() {
    let mut share = budget(60.0).share(budget(60.0).reserve(2), 1);
    share.set_reserve(1.0);
    assert!(share.retry(at(0)));
    assert!(!share.retry(at(0)));
}

/// Pattern: a large fleet before a pool with few requests, all of which fail: each router has one in ten seconds. Rounded up, the shares came to
/// one retry a router; rounded down, to nothing.
#[test]
fn shares_of_less_than_one_retry_add_up_to_the_budget() {
    for routers in [600, 1_200, 3_700] {
        let budget = budget(640.0);
        let mut shares: Vec<RetryShare> =
            (0..routers).map(|router| budget.share(budget.reserve(routers), router as u64)).collect();
        let mut next = 0;
        let rate = u32::try_from(routers / 100).unwrap();
        let played = play(&mut shares, &vec![rate; 3 * STEPS_OF_SPAN], || {
            next = (next + 7) % routers;
            next
        });
        played.check(budget);
        let retries: u32 = played.retries[..STEPS_OF_SPAN].iter().sum();
        let allowed = budget.ratio * f64::from(rate) * STEPS_OF_SPAN as f64 + budget.slack;
        assert!(f64::from(retries) > allowed / 2.0, "{routers} routers sent {retries} of {allowed} again");
    }
}
