//! What leaves gets no new work, through every router; a planned stop cuts nothing.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bendhinge_lab::fleet::Fleet;
use bendhinge_membership::MemberState;
use bendhinge_standin::engine::EngineState;
use bendhinge_standin::platform::Faults as PlatformFaults;
use common::{caller, callers_of, eventually, run, start, turn};
use smol::Timer;

const ROUTERS: [&str; 3] = ["box-1", "box-2", "box-3"];

async fn begun(fleet: &Fleet, engine: &str) -> u64 {
    fleet.upstream_page::<EngineState>(engine, "/control/state").await.unwrap().begun
}

/// Sends some turns of different chats through every router; all must be served.
async fn spread(fleet: &Fleet, tag: &str) {
    for router in ROUTERS {
        for number in 0..12 {
            let outcome = caller(fleet)
                .chat(callers_of(fleet, router), &turn(&format!("{tag} {router} {number}"), false, 2))
                .await;
            assert!(outcome.served(), "{tag} {router} {number}: {outcome:?}");
        }
    }
}

async fn upstreams_known_everywhere(fleet: &Fleet, count: u64) {
    for router in ROUTERS {
        fleet.wait_until(router, "upstreams known", |status| status["upstreams"] == count).await.unwrap();
    }
}

#[test]
fn a_leaving_upstream_gets_no_new_work_through_any_router() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        spread(&fleet, "before").await;
        assert!(begun(&fleet, "b-runner-2").await > 0, "the test needs work there first");
        fleet.set_state("b-runner-2", MemberState::Leaving);
        fleet.publish_members().await.unwrap();
        upstreams_known_everywhere(&fleet, 3).await;
        let before = begun(&fleet, "b-runner-2").await;
        spread(&fleet, "after").await;
        assert_eq!(begun(&fleet, "b-runner-2").await, before);
    });
}

/// The platform goes down right after one router has read the list: the others hear from it.
#[test]
fn a_list_spreads_while_the_platform_is_down() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        fleet.set_state("b-runner-1", MemberState::Leaving);
        fleet.publish_members().await.unwrap();
        eventually("one router has read it", || async {
            for router in ROUTERS {
                if fleet.status(router).await.is_ok_and(|status| status["upstreams"] == 3) {
                    return true;
                }
            }
            false
        })
        .await;
        fleet.platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await.unwrap();
        upstreams_known_everywhere(&fleet, 3).await;
        spread(&fleet, "down").await;
    });
}

/// A router that was frozen while an upstream left does not send there when it wakes.
#[test]
fn a_woken_router_renews_its_view_before_new_work() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        spread(&fleet, "before").await;
        fleet.routers["box-1"].freeze();
        fleet.set_state("b-runner-3", MemberState::Leaving);
        fleet.publish_members().await.unwrap();
        for router in ["box-2", "box-3"] {
            fleet.wait_until(router, "upstreams known", |status| status["upstreams"] == 3).await.unwrap();
        }
        Timer::after(Duration::from_millis(2_500)).await;
        let before = begun(&fleet, "b-runner-3").await;
        // These wait in the frozen router's sockets and are there when it wakes.
        let early: Vec<_> = (0..12)
            .map(|number| {
                let (caller, address) = (caller(&fleet), callers_of(&fleet, "box-1"));
                tasks.spawn(
                    async move { caller.chat(address, &turn(&format!("early {number}"), false, 2)).await },
                )
            })
            .collect();
        Timer::after(Duration::from_millis(100)).await;
        fleet.routers["box-1"].thaw();
        for task in early {
            let outcome = task.await;
            let refused = outcome.code.as_deref() == Some("BH0309") && outcome.ran.as_deref() == Some("no");
            assert!(outcome.served() || refused, "{outcome:?}");
        }
        let renewed = |status: &serde_json::Value| status["upstreams"] == 3 && status["fresh"] == true;
        fleet.wait_until("box-1", "view renewed", renewed).await.unwrap();
        spread(&fleet, "after").await;
        assert_eq!(begun(&fleet, "b-runner-3").await, before);
    });
}

/// An upstream that is killed without a word is routed around, and comes back when it is back.
#[test]
fn a_killed_upstream_is_routed_around() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        spread(&fleet, "before").await;
        fleet.upstreams.get_mut("b-runner-2").unwrap().kill();
        for router in ROUTERS {
            for number in 0..6 {
                let outcome = caller(&fleet)
                    .chat(callers_of(&fleet, router), &turn(&format!("killed {number}"), false, 2))
                    .await;
                assert!(outcome.served(), "{outcome:?}");
            }
        }
        upstreams_known_everywhere(&fleet, 3).await;
        spread(&fleet, "after").await;
    });
}

/// The router that counts for upstreams is killed: others count in its place.
#[test]
fn a_killed_router_is_counted_around() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        fleet.routers.get_mut("box-2").unwrap().kill();
        for router in ["box-1", "box-3"] {
            for number in 0..12 {
                let outcome = caller(&fleet)
                    .chat(callers_of(&fleet, router), &turn(&format!("counted {number}"), false, 2))
                    .await;
                assert!(outcome.served(), "{outcome:?}");
            }
        }
        for router in ["box-1", "box-3"] {
            fleet
                .wait_until(router, "two count", |status| {
                    status["counting_routers"].as_array().is_some_and(|list| list.len() == 2)
                })
                .await
                .unwrap();
        }
    });
}

/// A planned stop of a router cuts no stream in progress, takes no new work, and exits with 0.
#[test]
fn a_planned_stop_of_a_router_cuts_nothing() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        let streams: Vec<_> = (0..6)
            .map(|number| {
                let (caller, address) = (caller(&fleet), callers_of(&fleet, "box-1"));
                tasks.spawn(
                    async move { caller.chat(address, &turn(&format!("long {number}"), true, 600)).await },
                )
            })
            .collect();
        eventually("all are in progress", || async {
            let mut in_progress = 0;
            for engine in ["b-runner-1", "b-runner-2", "b-runner-3"] {
                in_progress +=
                    fleet.upstream_page::<EngineState>(engine, "/control/state").await.unwrap().in_progress;
            }
            in_progress == 6
        })
        .await;
        fleet.routers["box-1"].terminate();
        eventually("it takes no new work", || async {
            let outcome = caller(&fleet).chat(callers_of(&fleet, "box-1"), &turn("new", false, 2)).await;
            outcome.status == 0 || outcome.code.as_deref() == Some("BH0306")
        })
        .await;
        for stream in streams {
            let outcome = stream.await;
            assert!(outcome.served(), "{outcome:?}");
        }
        let status = fleet.routers.get_mut("box-1").unwrap().wait(Duration::from_secs(30));
        assert_eq!(status.and_then(|status| status.code()), Some(0));
    });
}

/// Draining a data centre by a confirmed configuration cuts nothing that is in progress there.
#[test]
fn a_drained_data_centre_finishes_what_it_has() {
    run(|tasks| async move {
        let fleet = Arc::new(start(&tasks).await);
        let streams: Vec<_> = (0..9)
            .map(|number| {
                let (caller, address) = (caller(&fleet), callers_of(&fleet, ROUTERS[number % 3]));
                tasks.spawn(async move {
                    caller.chat(address, &turn(&format!("long {number}"), true, 2_000)).await
                })
            })
            .collect();
        eventually("the data centre has work", || async {
            let state: EngineState = fleet.upstream_page("b-runner-1", "/control/state").await.unwrap();
            state.in_progress > 0
        })
        .await;
        let drained = common::small()
            .with_configuration("data_centre.tunja", "state", "drained")
            .with_configuration("fleet", "revision", "2");
        fleet.publish_configuration(&drained.sealed()).await.unwrap();
        common::in_force_everywhere(&fleet, 2).await.unwrap();
        let before = begun(&fleet, "b-runner-1").await;
        for stream in streams {
            let outcome = stream.await;
            assert!(outcome.served(), "{outcome:?}");
        }
        spread(&fleet, "drained").await;
        assert_eq!(begun(&fleet, "b-runner-1").await, before);
    });
}

/// A router cut off from platform and peers alike goes on with what it knows.
#[test]
fn a_router_that_is_left_alone_goes_on() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        fleet.platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await.unwrap();
        fleet.routers["box-2"].freeze();
        fleet.routers["box-3"].freeze();
        for number in 0..12 {
            let outcome = caller(&fleet)
                .chat(callers_of(&fleet, "box-1"), &turn(&format!("alone {number}"), false, 2))
                .await;
            assert!(outcome.served(), "{outcome:?}");
        }
        // Killed while frozen: thawing first would only let them end in order.
        drop(fleet);
    });
}
