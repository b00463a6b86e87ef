//! Tests of shares, limits, deadlines and retry budgets.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_admission::{
    AdmissionController, AdmissionRequest, AdmissionRules, ClassIndex, ClassRule, CustomerIndex,
    CustomerRule, FleetUsage, PoolIndex, PoolRule, RefusalReason, RetryBudget, Usage, WeightedDemand,
    max_min_fair_shares, retry_after,
};

const POOL: PoolIndex = PoolIndex(0);
const SLOTS: u32 = 100;

/// Three classes with shares 60, 30 and 10 and one customer each.
fn rules() -> AdmissionRules {
    AdmissionRules {
        classes: [60.0, 30.0, 10.0].map(|share| ClassRule { share }).to_vec(),
        customers: (0..3)
            .map(|class| CustomerRule { class: ClassIndex(class), limit: 1_000, share: 1.0 })
            .collect(),
        pools: vec![PoolRule { slots: SLOTS, initial_service_time: Duration::from_secs(8) }],
    }
}

fn request(customer: usize) -> AdmissionRequest {
    AdmissionRequest { pool: POOL, customer: CustomerIndex(customer), deadline: None, pool_in_progress: 0 }
}

fn in_progress(controller: &AdmissionController, class: usize) -> u32 {
    controller.own_usage().pools[0].classes[class].in_progress
}

/// Holds for any sequence of requests, completions and rounds.
#[test]
fn class_below_its_share_is_never_refused() {
    arbtest(|u| {
        let mut controller = AdmissionController::new(rules(), 1);
        let shares = [60, 30, 10];
        for _ in 0..u.int_in_range(0..=400)? {
            let class = u.int_in_range(0..=2)?;
            match u.int_in_range(0..=9)? {
                0..=6 => {
                    let before = in_progress(&controller, class);
                    let decision = controller.decide(request(class), 0.5);
                    assert!(
                        decision.is_ok() || before >= shares[class],
                        "class {class} refused with {before} requests in progress"
                    );
                }
                7 | 8 if in_progress(&controller, class) > 0 => {
                    controller.finish(POOL, CustomerIndex(class), None);
                }
                _ => controller.begin_round(&FleetUsage::empty(controller.rules()).clone(), 1),
            }
        }
        Ok(())
    });
}

fn empty_usage() -> FleetUsage {
    FleetUsage::empty(&rules())
}

/// A class may use the whole of an idle pool, and gives back the shares of other classes as its requests finish.
#[test]
fn lent_share_is_returned() {
    let mut controller = AdmissionController::new(rules(), 1);
    for _ in 0..20 {
        while controller.decide(request(2), 0.5).is_ok() {}
        controller.begin_round(&empty_usage(), 1);
    }
    assert!(in_progress(&controller, 2) >= SLOTS, "the third class uses the whole pool");
    for _ in 0..60 {
        controller.decide(request(0), 0.5).expect("the first class gets its share with its first requests");
    }
    controller.begin_round(&empty_usage(), 1);
    let borrower_in_progress = in_progress(&controller, 2);
    for _ in 0..borrower_in_progress - 45 {
        controller.finish(POOL, CustomerIndex(2), None);
        let decision = controller.decide(request(2), 0.5);
        assert_eq!(decision.map_err(|refusal| refusal.reason), Err(RefusalReason::ShareExceeded));
    }
}

/// With the same surge at all routers, no class exceeds its share by more than the slack plus the number of routers
/// once they have exchanged their usage.
#[test]
fn routers_together_keep_to_class_shares() {
    const ROUTERS: usize = 9;
    let mut routers: Vec<AdmissionController> =
        (0..ROUTERS).map(|_| AdmissionController::new(rules(), ROUTERS)).collect();
    for _ in 0..30 {
        let usages: Vec<FleetUsage> = routers.iter().map(|router| router.own_usage().clone()).collect();
        for (index, router) in routers.iter_mut().enumerate() {
            let mut others = empty_usage();
            for usage in
                usages.iter().enumerate().filter(|(other, _)| *other != index).map(|(_, usage)| usage)
            {
                for class in 0..3 {
                    others.add_class_usage(POOL, ClassIndex(class), usage.pools[0].classes[class]);
                    others.add_customer_usage(POOL, CustomerIndex(class), usage.pools[0].classes[class]);
                }
            }
            router.begin_round(&others, ROUTERS);
        }
        for router in &mut routers {
            for class in 0..3 {
                // Finish some requests so that earlier excess admissions can be corrected.
                for _ in 0..in_progress(router, class).min(1) {
                    router.finish(POOL, CustomerIndex(class), None);
                }
                while router
                    .decide(AdmissionRequest { pool_in_progress: SLOTS, ..request(class) }, 0.5)
                    .is_ok()
                {}
            }
        }
    }
    for (class, share) in [60, 30, 10].into_iter().enumerate() {
        let total: u32 = routers.iter().map(|router| in_progress(router, class)).sum();
        assert!(total >= share, "class {class} has {total} requests in progress, share is {share}");
        assert!(
            total <= share + share / 10 + 9,
            "class {class} has {total} requests in progress, share is {share}"
        );
    }
}

#[test]
fn customer_at_its_limit_is_refused() {
    let mut rules = rules();
    rules.customers[0].limit = 5;
    let mut controller = AdmissionController::new(rules, 1);
    let admitted = (0..20).filter(|_| controller.decide(request(0), 0.5).is_ok()).count();
    assert_eq!(admitted, 5);
    let refused = controller.decide(request(0), 0.5).map_err(|refusal| refusal.reason);
    assert_eq!(refused, Err(RefusalReason::CustomerLimitReached));
    // Requests in progress at other routers count too.
    let mut others = FleetUsage::empty(controller.rules());
    others.add(POOL, ClassIndex(1), CustomerIndex(1), Usage { in_progress: 1_000, refused: 0 });
    controller.begin_round(&others, 2);
    let refused = controller.decide(request(1), 0.5).map_err(|refusal| refusal.reason);
    assert_eq!(refused, Err(RefusalReason::CustomerLimitReached));
}

#[test]
fn deadline_is_checked_against_queueing_delay() {
    let mut controller = AdmissionController::new(rules(), 1);
    let with_deadline =
        |seconds| AdmissionRequest { deadline: Some(Duration::from_secs(seconds)), ..request(0) };
    assert!(controller.decide(with_deadline(8), 0.5).is_ok(), "an idle pool needs one service time");
    assert_eq!(
        controller.decide(with_deadline(7), 0.5).map_err(|refusal| refusal.reason),
        Err(RefusalReason::DeadlineUnreachable)
    );
    let mut others = empty_usage();
    others.add_class_usage(POOL, ClassIndex(0), Usage { in_progress: 2 * SLOTS, refused: 0 });
    controller.begin_round(&others, 2);
    assert_eq!(
        controller.decide(with_deadline(15), 0.5).map_err(|refusal| refusal.reason),
        Err(RefusalReason::DeadlineUnreachable)
    );
}

/// Shares add up to the total, none is below its weighted share unless the demand is lower, and none exceeds its
/// demand unless all demands are met.
#[test]
fn max_min_division_is_fair() {
    arbtest(|u| {
        let demands: Vec<WeightedDemand> = (0..u.int_in_range(1..=8)?)
            .map(|_| {
                let (weight, amount) = (u.int_in_range(1..=20_u32)?, u.int_in_range(0..=200_u32)?);
                Ok(WeightedDemand {
                    weight: f64::from(weight),
                    amount: f64::from(amount),
                    is_growing: u.arbitrary()?,
                })
            })
            .collect::<Result<_, arbtest::arbitrary::Error>>()?;
        let total = f64::from(u.int_in_range(0..=300_u32)?);
        let shares = max_min_fair_shares(&demands, total);
        let total_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
        assert!((shares.iter().sum::<f64>() - total).abs() < 1e-6, "{demands:?} {total} {shares:?}");
        for (demand, share) in demands.iter().zip(&shares) {
            let fair = demand.amount.min(total * demand.weight / total_weight);
            assert!(*share >= fair - 1e-6, "{demands:?} {total} {shares:?}");
        }
        if demands.iter().map(|demand| demand.amount).sum::<f64>() >= total {
            assert!(demands.iter().zip(&shares).all(|(demand, share)| *share <= demand.amount + 1e-6));
        }
        Ok(())
    });
}

/// Jitter keeps callers that were refused together from returning together.
#[test]
fn retry_delays_have_jitter() {
    let service_time = Duration::from_secs(8);
    let (first, last) = (retry_after(service_time, 100, 100, 0.0), retry_after(service_time, 100, 100, 1.0));
    assert_eq!(last, first * 2);
    assert!(first >= service_time, "100 excess requests on 100 slots take one service time");
    assert!(retry_after(service_time, 0, 1_000, 0.0) >= Duration::from_millis(500));
    assert!(retry_after(service_time, u32::MAX - 1, 1, 1.0) <= Duration::from_secs(120));
}

/// Even if all requests fail, retries are limited to a tenth of the attempts plus the initial tokens.
#[test]
fn retry_budget_limits_retries_during_an_outage() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        while budget.try_retry() {
            retries += 1;
        }
    }
    assert!(retries <= 110, "{retries}");
    assert!(retries >= 100, "{retries}");
}
