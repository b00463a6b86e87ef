//! A request marked as not repeatable runs at most once.

mod common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::fleet::Fleet;
use bendhinge_standin::service::Faults;
use common::{bulletin, eventually, in_force_everywhere, key_kept_by, run, runs, small, start, start_with};
use smol::Timer;

const ROUTERS: [&str; 3] = ["box-1", "box-2", "box-3"];

/// Starts a fleet whose routers wait long for each other. A call that takes longer than the 150 ms of the standard
/// settings, as it may on a loaded box, fails, and so do all calls to that router for the next 500 ms.
async fn start_patient(tasks: &Tasks) -> Fleet {
    start_with(tasks, small().with_setting("control", "call_ms", "20000")).await
}

/// The same bulletin through every router, over and over: it runs once.
#[test]
fn a_retry_through_another_router_does_not_run_again() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let first = bulletin(&fleet, "box-1", "cut-at-noon", 1).await;
        assert!(first.served(), "{first:?}");
        for router in ROUTERS {
            eventually("the owner knows that it ran", || async {
                let again = bulletin(&fleet, router, "cut-at-noon", 2).await;
                again.code.as_deref() == Some("BH0502") && again.ran.as_deref() == Some("yes")
            })
            .await;
        }
        assert_eq!(runs(&fleet, "cut-at-noon").await, 1);
    });
}

/// Many callers race with one key through all routers.
#[test]
fn a_race_has_one_winner() {
    run(|tasks| async move {
        let fleet = start_patient(&tasks).await;
        fleet.upstream_faults("b-portal-1", &Faults { delay_ms: 300, ..Faults::default() }).await.unwrap();
        let fleet = std::sync::Arc::new(fleet);
        let racers = (0..12).map(|number| {
            let fleet = std::sync::Arc::clone(&fleet);
            tasks.spawn(async move { bulletin(&fleet, ROUTERS[number % 3], "raced", 1).await })
        });
        let racers: Vec<_> = racers.collect();
        let mut served = 0;
        for racer in racers {
            let outcome = racer.await;
            served += u32::from(outcome.served());
            if !outcome.served() {
                assert!(matches!(outcome.code.as_deref(), Some("BH0501" | "BH0502")), "{outcome:?}");
            }
        }
        assert_eq!(served, 1);
        assert_eq!(runs(&fleet, "raced").await, 1);
    });
}

/// The router that took a bulletin is killed while it runs: its retry is not run again.
#[test]
fn the_router_that_took_it_is_killed() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let key = key_kept_by(&fleet, "box-2");
        fleet.upstream_faults("b-portal-1", &Faults { delay_ms: 600, ..Faults::default() }).await.unwrap();
        let fleet = std::sync::Arc::new(smol::lock::RwLock::new(fleet));
        let first = {
            let (fleet, key) = (std::sync::Arc::clone(&fleet), key.clone());
            tasks.spawn(async move { bulletin(&*fleet.read().await, "box-1", &key, 1).await })
        };
        eventually("the portal has it", || async { runs(&*fleet.read().await, &key).await == 1 }).await;
        fleet.read().await.routers["box-1"].freeze();
        let pid_is_frozen = bulletin(&*fleet.read().await, "box-3", &key, 2).await;
        assert_eq!(pid_is_frozen.code.as_deref(), Some("BH0501"), "{pid_is_frozen:?}");
        assert_eq!(pid_is_frozen.ran.as_deref(), Some("unknown"));
        drop(first);
        fleet.write().await.routers.get_mut("box-1").unwrap().kill();
        let after_kill = bulletin(&*fleet.read().await, "box-3", &key, 3).await;
        assert_eq!(after_kill.code.as_deref(), Some("BH0501"), "{after_kill:?}");
        assert_eq!(runs(&*fleet.read().await, &key).await, 1);
    });
}

/// The router that keeps the key is killed: nobody else may grant it, a new life of the box
/// cannot vouch for it, and both say so at once.
#[test]
fn the_router_that_keeps_the_key_is_killed() {
    run(|tasks| async move {
        let mut fleet = start_patient(&tasks).await;
        let key = key_kept_by(&fleet, "box-2");
        let first = bulletin(&fleet, "box-1", &key, 1).await;
        assert!(first.served(), "{first:?}");
        fleet.routers.get_mut("box-2").unwrap().kill();
        let gone = bulletin(&fleet, "box-3", &key, 2).await;
        assert_eq!(gone.code.as_deref(), Some("BH0504"), "{gone:?}");
        assert_eq!(gone.ran.as_deref(), Some("unknown"));
        assert_eq!(gone.headers["x-should-retry"], "false");

        let address = fleet.start_router("box-2", "duitama").unwrap();
        fleet.set_address("box-2", address);
        fleet.publish_members().await.unwrap();
        in_force_everywhere(&fleet, 1).await.unwrap();
        eventually("the new life answers", || async {
            let again = bulletin(&fleet, "box-3", &key, 3).await;
            assert!(!again.served(), "{again:?}");
            again.code.as_deref() == Some("BH0503")
        })
        .await;
        assert_eq!(runs(&fleet, &key).await, 1);
    });
}

/// The list changes so that another router keeps the key: it cannot vouch for what its
/// predecessor may have granted.
#[test]
fn a_new_keeper_cannot_vouch() {
    run(|tasks| async move {
        let mut fleet = start_patient(&tasks).await;
        let key = key_kept_by(&fleet, "box-2");
        let first = bulletin(&fleet, "box-1", &key, 1).await;
        assert!(first.served(), "{first:?}");
        fleet.remove_member("box-2");
        fleet.publish_members().await.unwrap();
        for router in ["box-1", "box-3"] {
            eventually("the new keeper answers", || async {
                let again = bulletin(&fleet, router, &key, 2).await;
                assert!(!again.served(), "{again:?}");
                again.code.as_deref() == Some("BH0503")
            })
            .await;
        }
        assert_eq!(runs(&fleet, &key).await, 1);
    });
}

/// Without a word from the caller, a young fleet cannot vouch; after a window it can.
#[test]
fn a_keeper_vouches_after_a_whole_window() {
    run(|tasks| async move {
        let fleet = start_with(&tasks, small().with_setting("once", "window_ms", "8000")).await;
        let young = bulletin(&fleet, "box-1", "undeclared", 2).await;
        assert_eq!(young.code.as_deref(), Some("BH0503"), "{young:?}");
        eventually("the keeper vouches", || async {
            bulletin(&fleet, "box-1", "undeclared", 2).await.served()
        })
        .await;
        assert_eq!(runs(&fleet, "undeclared").await, 1);
    });
}

/// The keeper freezes: claims fail at once; when it wakes it does not grant by what it believed.
#[test]
fn a_frozen_keeper() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let key = key_kept_by(&fleet, "box-2");
        fleet.routers["box-2"].freeze();
        let frozen = bulletin(&fleet, "box-1", &key, 1).await;
        assert_eq!(frozen.code.as_deref(), Some("BH0504"), "{frozen:?}");
        Timer::after(Duration::from_millis(2_500)).await;
        fleet.routers["box-2"].thaw();
        eventually("it is served once", || async {
            let outcome = bulletin(&fleet, "box-1", &key, 1).await;
            outcome.served() || outcome.code.as_deref() == Some("BH0502")
        })
        .await;
        assert_eq!(runs(&fleet, &key).await, 1);
    });
}

/// A router that took a bulletin and froze before sending it wakes late: it refuses it, and at
/// most one attempt runs in all.
#[test]
fn a_router_that_wakes_late_does_not_send() {
    run(|tasks| async move {
        let fleet = std::sync::Arc::new(start(&tasks).await);
        for round in 0..6 {
            let key = format!("late-{round}");
            let first = {
                let (fleet, key) = (std::sync::Arc::clone(&fleet), key.clone());
                tasks.spawn(async move { bulletin(&fleet, "box-1", &key, 1).await })
            };
            // Somewhere on its way; every round at another place.
            Timer::after(Duration::from_micros(300 * round)).await;
            fleet.routers["box-1"].freeze();
            let second = bulletin(&fleet, "box-3", &key, 2).await;
            Timer::after(Duration::from_millis(2_200)).await;
            fleet.routers["box-1"].thaw();
            let first = first.await;
            let ran = runs(&fleet, &key).await;
            assert!(ran <= 1, "round {round}: ran {ran} times; {first:?} {second:?}");
            for outcome in [&first, &second] {
                assert!(!(outcome.ran.as_deref() == Some("yes") && ran == 0), "round {round}: {outcome:?}");
            }
            let both_not = first.ran.as_deref() == Some("no") && second.ran.as_deref() == Some("no");
            assert!(!(both_not && ran > 0), "round {round}: told 'not run', ran; {first:?} {second:?}");
            eventually("box-1 renewed its view", || async {
                fleet.status("box-1").await.is_ok_and(|status| status["fresh"] == true)
            })
            .await;
        }
    });
}

/// A mark without a key cannot be honoured.
#[test]
fn a_mark_needs_a_key() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let headers = [("x-bendhinge-repeat", "never".to_owned())];
        let caller = common::caller(&fleet);
        let outcome =
            caller.call(fleet.callers()[0], hyper::Method::POST, "/portal/x", &headers, String::new()).await;
        assert_eq!((outcome.status, outcome.code.as_deref()), (400, Some("BH0505")), "{outcome:?}");
    });
}
