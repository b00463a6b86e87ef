//! Every caller receives the whole answer to its own request, or is told honestly.

mod common;

use std::time::Duration;

use bendhinge_lab::fleet::Fleet;
use bendhinge_standin::engine::{EngineState, Faults};
use bendhinge_standin::service::Faults as ServiceFaults;
use common::{bulletin, caller, callers_of, eventually, run, runs, start, turn};
use hyper::Method;
use smol::Timer;

const ENGINES: [&str; 3] = ["b-runner-1", "b-runner-2", "b-runner-3"];

async fn all_engines(fleet: &Fleet, faults: Faults) {
    for engine in ENGINES {
        fleet.upstream_faults(engine, &faults).await.unwrap();
    }
}

/// One faulty engine of three: a repeatable turn is answered by another, whole and its own.
#[test]
fn a_repeatable_turn_survives_a_faulty_engine() {
    let table = [
        ("cut before the answer", Faults { cut_before_answer: true, ..Faults::default() }, false),
        ("cut in a whole answer", Faults { cut_after_tokens: Some(3), ..Faults::default() }, false),
        ("no JSON", Faults { garbage: true, ..Faults::default() }, false),
        ("cut before a stream", Faults { cut_before_answer: true, ..Faults::default() }, true),
    ];
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        for (name, faults, stream) in table {
            fleet.upstream_faults("b-runner-1", &faults).await.unwrap();
            // By turns through all routers, so that no router's retry budget is spent.
            for number in 0..12 {
                let router = fleet.callers()[number % 3];
                let outcome =
                    caller(&fleet).chat(router, &turn(&format!("{name} {number}"), stream, 8)).await;
                assert!(outcome.served(), "{name} {number}: {outcome:?}");
            }
            let state: EngineState = fleet.upstream_page("b-runner-1", "/control/state").await.unwrap();
            assert!(state.begun > 0, "{name}: the faulty engine was never tried");
            fleet.upstream_faults("b-runner-1", &Faults::default()).await.unwrap();
        }
    });
}

/// A stream that breaks off after its caller has part of it is never made whole by another.
#[test]
fn a_broken_stream_does_not_look_whole() {
    let table = [
        ("cut", Faults { cut_after_tokens: Some(3), ..Faults::default() }),
        ("clean end without the end mark", Faults { end_after_tokens: Some(3), ..Faults::default() }),
    ];
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        for (name, faults) in table {
            all_engines(&fleet, faults).await;
            let outcome = caller(&fleet).chat(fleet.callers()[0], &turn(name, true, 8)).await;
            assert!(!outcome.whole, "{name}: {outcome:?}");
            assert_eq!(outcome.code.as_deref(), Some("BH0406"), "{name}: {outcome:?}");
        }
    });
}

/// Guards against a head without a body that passes for an empty answer. Its upstream may have crashed.
#[test]
fn an_answer_without_length_and_body_does_not_look_whole() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let faults = ServiceFaults { head_only: true, ..ServiceFaults::default() };
        fleet.upstream_faults("b-portal-1", &faults).await.unwrap();
        let outcome = bulletin(&fleet, "box-1", "head only", 1).await;
        assert!(!outcome.whole, "{outcome:?}");
        assert_eq!(runs(&fleet, "head only").await, 1);
    });
}

/// A request that may not be repeated and was lost at its upstream: unknown, at once, once.
#[test]
fn a_lost_bulletin_is_unknown_and_invites_no_retry() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let faults = ServiceFaults { cut_before_answer: true, ..ServiceFaults::default() };
        fleet.upstream_faults("b-portal-1", &faults).await.unwrap();
        let outcome = bulletin(&fleet, "box-1", "lost", 1).await;
        assert_eq!(outcome.code.as_deref(), Some("BH0402"), "{outcome:?}");
        assert_eq!(outcome.ran.as_deref(), Some("unknown"));
        assert_eq!(outcome.retry_after_ms, None);
        assert_eq!(outcome.headers["x-should-retry"], "false");
        assert_eq!(runs(&fleet, "lost").await, 1);
    });
}

/// "Not run" is only said when nothing can have reached an upstream.
#[test]
fn not_run_means_that_it_did_not_run() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        fleet.upstreams.get_mut("b-portal-1").unwrap().kill();
        let outcome = bulletin(&fleet, "box-1", "refused", 1).await;
        assert_eq!(outcome.ran.as_deref(), Some("no"), "{outcome:?}");
        assert!(outcome.retry_after_ms.is_some(), "{outcome:?}");
    });
}

/// Guards against answers that are given up, or run twice, since their upstreams are silent for a second.
#[test]
fn answers_outlast_a_pause_of_all_upstreams() {
    const PAUSE: Duration = Duration::from_millis(1_200);
    const TOKENS: u32 = 200;
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let mut pending = Vec::new();
        for number in 0..12_u32 {
            let (caller, router) = (caller(&fleet), fleet.callers()[number as usize % 3]);
            let turn = turn(&format!("paused {number}"), number % 2 == 0, TOKENS);
            pending.push(tasks.spawn(async move { caller.chat(router, &turn).await }));
        }
        let begun = || async {
            let mut begun = 0;
            for engine in ENGINES {
                begun += fleet.upstream_page::<EngineState>(engine, "/control/state").await.unwrap().begun;
            }
            begun
        };
        eventually("all turns are at an engine", || async { begun().await == 12 }).await;
        for upstream in fleet.upstreams.values() {
            upstream.freeze();
        }
        Timer::after(PAUSE).await;
        for upstream in fleet.upstreams.values() {
            upstream.thaw();
        }
        for task in pending {
            let outcome = task.await;
            assert!(outcome.served(), "{outcome:?}");
        }
        assert_eq!(begun().await, 12);
    });
}

/// Many at once over reused connections, late and crossed: each has its own answer.
#[test]
fn answers_do_not_cross() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        fleet.upstream_faults("b-runner-2", &Faults { delay_ms: 200, ..Faults::default() }).await.unwrap();
        let mut pending = Vec::new();
        for number in 0..120_u32 {
            let (caller, routers) = (caller(&fleet), fleet.callers());
            pending.push(tasks.spawn(async move {
                let router = routers[number as usize % routers.len()];
                for attempt in 0..20 {
                    let outcome = caller
                        .chat(router, &turn(&format!("crossed {number}"), number % 2 == 0, 1 + number % 7))
                        .await;
                    assert!(!outcome.wrong(), "{number}: {outcome:?}");
                    if outcome.served() {
                        return attempt;
                    }
                    assert_eq!(outcome.ran.as_deref(), Some("no"), "{number}: {outcome:?}");
                    Timer::after(Duration::from_millis(outcome.retry_after_ms.unwrap_or(100))).await;
                }
                panic!("{number} was never served");
            }));
        }
        for task in pending {
            task.await;
        }
    });
}

/// A caller that goes away cancels its work upstream, and the permit comes back.
#[test]
fn a_caller_that_leaves_cancels_its_work() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let mut leaving = caller(&fleet);
        leaving.patience = Duration::from_millis(400);
        let outcome = leaving.chat(fleet.callers()[0], &turn("a long answer", true, 100_000)).await;
        assert_eq!(outcome.status, 0, "{outcome:?}");
        eventually("the engine saw its caller leave", || async {
            let mut cancelled = 0;
            for engine in ENGINES {
                cancelled +=
                    fleet.upstream_page::<EngineState>(engine, "/control/state").await.unwrap().cancelled;
            }
            cancelled == 1
        })
        .await;
        eventually("every permit is back", || async {
            let mut permits = 0;
            for router in fleet.routers.keys() {
                permits += fleet.status(router).await.unwrap()["permits_outstanding"].as_u64().unwrap();
            }
            permits == 0
        })
        .await;
    });
}

/// The key of a caller stays with the router; hop-by-hop headers stay on their connection.
#[test]
fn keys_and_hop_by_hop_headers_are_not_passed_on() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let headers = [
            ("te", "trailers".to_owned()),
            ("connection", "x-secret".to_owned()),
            ("x-secret", "1".to_owned()),
            ("x-kept", "1".to_owned()),
        ];
        let outcome = caller(&fleet)
            .call(callers_of(&fleet, "box-1"), Method::GET, "/portal/cuts", &headers, String::new())
            .await;
        assert_eq!(outcome.status, 200, "{outcome:?}");
        let seen = outcome.headers["x-headers-seen"].to_str().unwrap().to_owned();
        assert!(seen.contains("x-kept"), "{seen}");
        for name in ["authorization", "te", "connection", "x-secret"] {
            assert!(!seen.split(',').any(|header| header == name), "{name} was passed on: {seen}");
        }
    });
}
