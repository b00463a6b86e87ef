//! Shares, limits and deadlines.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_admission::{
    Admission, Ask, ClassIndex, ClassRule, CustomerIndex, CustomerRule, FleetUsage, PoolIndex, PoolRule,
    RefusalReason, RetryBudget, Rules, Usage, Want, fill, retry_after,
};

const POOL: PoolIndex = PoolIndex(0);
const SLOTS: u32 = 100;

/// Three classes with shares 60, 30 and 10 and a customer each.
fn rules() -> Rules {
    Rules {
        classes: [60.0, 30.0, 10.0].map(|share| ClassRule { share }).to_vec(),
        customers: (0..3)
            .map(|class| CustomerRule { class: ClassIndex(class), limit: 1_000, share: 1.0 })
            .collect(),
        pools: vec![PoolRule { slots: SLOTS, turn: Duration::from_secs(8) }],
    }
}

fn ask(customer: usize) -> Ask {
    Ask { pool: POOL, customer: CustomerIndex(customer), deadline: None, pool_in_progress: 0 }
}

fn in_progress(admission: &Admission, class: usize) -> u32 {
    admission.own().pools[0].classes[class].in_progress
}

/// Whatever comes and goes, and whenever rounds begin: a class below its share is let in.
#[test]
fn a_class_below_its_share_is_never_refused() {
    arbtest(|u| {
        let mut admission = Admission::new(rules(), 1);
        let shares = [60, 30, 10];
        for _ in 0..u.int_in_range(0..=400)? {
            let class = u.int_in_range(0..=2)?;
            match u.int_in_range(0..=9)? {
                0..=6 => {
                    let before = in_progress(&admission, class);
                    let decision = admission.decide(ask(class), 0.5);
                    assert!(
                        decision.is_ok() || before >= shares[class],
                        "class {class} refused with {before}"
                    );
                }
                7 | 8 if in_progress(&admission, class) > 0 => {
                    admission.finish(POOL, CustomerIndex(class), None);
                }
                _ => admission.begin_round(&FleetUsage::none(admission.rules()).clone(), 1),
            }
        }
        Ok(())
    });
}

fn none() -> FleetUsage {
    FleetUsage::none(&rules())
}

/// An idle pool is lent whole to whoever wants it, and taken back as turns end.
#[test]
fn a_lent_share_comes_back() {
    let mut admission = Admission::new(rules(), 1);
    for _ in 0..20 {
        while admission.decide(ask(2), 0.5).is_ok() {}
        admission.begin_round(&none(), 1);
    }
    assert!(in_progress(&admission, 2) >= SLOTS, "the last class has the whole pool");
    for _ in 0..60 {
        admission.decide(ask(0), 0.5).expect("the first class has its share with its first requests");
    }
    admission.begin_round(&none(), 1);
    let lent = in_progress(&admission, 2);
    for _ in 0..lent - 45 {
        admission.finish(POOL, CustomerIndex(2), None);
        let refilled = admission.decide(ask(2), 0.5);
        assert_eq!(refilled.map_err(|refusal| refusal.reason), Err(RefusalReason::OverShare));
    }
}

/// Nine routers at once, each with the same surge: no class passes its due by more than the
/// slack and the number of routers once they have heard of each other.
#[test]
fn routers_together_keep_to_the_dues() {
    const ROUTERS: usize = 9;
    let mut routers: Vec<Admission> = (0..ROUTERS).map(|_| Admission::new(rules(), ROUTERS)).collect();
    for _ in 0..30 {
        let usages: Vec<FleetUsage> = routers.iter().map(|router| router.own().clone()).collect();
        for (index, router) in routers.iter_mut().enumerate() {
            let mut others = none();
            for usage in
                usages.iter().enumerate().filter(|(other, _)| *other != index).map(|(_, usage)| usage)
            {
                for class in 0..3 {
                    others.add_class(POOL, ClassIndex(class), usage.pools[0].classes[class]);
                    others.add_customer(POOL, CustomerIndex(class), usage.pools[0].classes[class]);
                }
            }
            router.begin_round(&others, ROUTERS);
        }
        for router in &mut routers {
            for class in 0..3 {
                // Some turns end, so that what was let in before routers heard can be corrected.
                for _ in 0..in_progress(router, class).min(1) {
                    router.finish(POOL, CustomerIndex(class), None);
                }
                while router.decide(Ask { pool_in_progress: SLOTS, ..ask(class) }, 0.5).is_ok() {}
            }
        }
    }
    for (class, due) in [60, 30, 10].into_iter().enumerate() {
        let total: u32 = routers.iter().map(|router| in_progress(router, class)).sum();
        assert!(total >= due, "class {class} has {total} of {due}");
        assert!(total <= due + due / 10 + 9, "class {class} has {total} of {due}");
    }
}

#[test]
fn a_customer_at_its_limit_is_refused() {
    let mut rules = rules();
    rules.customers[0].limit = 5;
    let mut admission = Admission::new(rules, 1);
    let let_in = (0..20).filter(|_| admission.decide(ask(0), 0.5).is_ok()).count();
    assert_eq!(let_in, 5);
    let refused = admission.decide(ask(0), 0.5).map_err(|refusal| refusal.reason);
    assert_eq!(refused, Err(RefusalReason::CustomerAtLimit));
    // What others have in progress counts too.
    let mut others = FleetUsage::none(admission.rules());
    others.add(POOL, ClassIndex(1), CustomerIndex(1), Usage { in_progress: 1_000, refused: 0 });
    admission.begin_round(&others, 2);
    let refused = admission.decide(ask(1), 0.5).map_err(|refusal| refusal.reason);
    assert_eq!(refused, Err(RefusalReason::CustomerAtLimit));
}

#[test]
fn a_deadline_is_judged_by_the_queue_before_it() {
    let mut admission = Admission::new(rules(), 1);
    let within = |seconds| Ask { deadline: Some(Duration::from_secs(seconds)), ..ask(0) };
    assert!(admission.decide(within(8), 0.5).is_ok(), "an idle pool needs one turn's time");
    assert_eq!(
        admission.decide(within(7), 0.5).map_err(|refusal| refusal.reason),
        Err(RefusalReason::Deadline)
    );
    let mut others = none();
    others.add_class(POOL, ClassIndex(0), Usage { in_progress: 2 * SLOTS, refused: 0 });
    admission.begin_round(&others, 2);
    assert_eq!(
        admission.decide(within(15), 0.5).map_err(|refusal| refusal.reason),
        Err(RefusalReason::Deadline)
    );
}

/// Parts add up, none has less than its weighted part while it wants it, none that is content
/// has more than it wants unless all are.
#[test]
fn division_is_fair() {
    arbtest(|u| {
        let wants: Vec<Want> = (0..u.int_in_range(1..=8)?)
            .map(|_| {
                let (weight, amount) = (u.int_in_range(1..=20_u32)?, u.int_in_range(0..=200_u32)?);
                Ok(Want { weight: f64::from(weight), amount: f64::from(amount), growing: u.arbitrary()? })
            })
            .collect::<Result<_, arbtest::arbitrary::Error>>()?;
        let total = f64::from(u.int_in_range(0..=300_u32)?);
        let parts = fill(&wants, total);
        let weights: f64 = wants.iter().map(|want| want.weight).sum();
        assert!((parts.iter().sum::<f64>() - total).abs() < 1e-6, "{wants:?} {total} {parts:?}");
        for (want, part) in wants.iter().zip(&parts) {
            let fair = want.amount.min(total * want.weight / weights);
            assert!(*part >= fair - 1e-6, "{wants:?} {total} {parts:?}");
        }
        if wants.iter().map(|want| want.amount).sum::<f64>() >= total {
            assert!(wants.iter().zip(&parts).all(|(want, part)| *part <= want.amount + 1e-6));
        }
        Ok(())
    });
}

/// The refused are spread over as long again as the wait, so that they do not return together.
#[test]
fn times_to_come_back_are_spread() {
    let turn = Duration::from_secs(8);
    let (first, last) = (retry_after(turn, 100, 100, 0.0), retry_after(turn, 100, 100, 1.0));
    assert_eq!(last, first * 2);
    assert!(first >= turn, "a hundred over a hundred slots need a turn");
    assert!(retry_after(turn, 0, 1_000, 0.0) >= Duration::from_millis(500));
    assert!(retry_after(turn, u32::MAX - 1, 1, 1.0) <= Duration::from_secs(120));
}

/// However many fail, retries are at most a tenth of the attempts and the reserve.
#[test]
fn retries_do_not_multiply_a_failure() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.attempt();
        while budget.retry() {
            retries += 1;
        }
    }
    assert!(retries <= 110, "{retries}");
    assert!(retries >= 100, "{retries}");
}
