//! Gateways that start, stop, are cut off, are frozen, and tell each other what they know.

mod gateway_common;

use std::time::Duration;

use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, Harm, KEY, RULES, Told, until};
use bendhinge_standin::gateway::{DATA_CENTRE, StoreFault, UpstreamFault};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{PATIENCE, call, metric, run, send, smallest, start};
use rustix::process::Signal;
use smol::net::TcpStream;

/// A lease short enough to wait for its end.
const SHORT_LEASE: &str = "[beliefs]\nrules_lease_ms = 1500\n";

fn has_line(fleet: &GatewayFleet, gateway: usize, parts: &[&str]) -> bool {
    let lines = fleet.gateway(gateway).lines();
    lines.iter().any(|line| parts.iter().all(|part| line.contains(part)))
}

#[test]
fn a_gateway_that_nobody_tells_anything_acts_on_no_key_but_serves_open_routes() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let fleet = GatewayFleet::start(&tasks, shape, SHORT_LEASE).await;
        fleet.store_proxy.set(Harm::Silence);
        let refused = async || send(&fleet, &call("/safe/x")).await.code() == Some("BH0309");
        until(refused).await;
        let answer = send(&fleet, &call("/unsafe/x")).await;
        assert_eq!((answer.told, answer.headers.contains_key("retry-after")), (Told::Status(503), true));
        let mut open = call("/open/x");
        open.key = None;
        assert_eq!(send(&fleet, &open).await.told, Told::Whole);
        until(async || !fleet.is_ready(0).await).await;
        fleet.store_proxy.set(Harm::None);
        until(async || send(&fleet, &call("/safe/x")).await.told == Told::Whole).await;
        until(async || fleet.is_ready(0).await).await;
    });
}

/// Frozen for longer than its lease, with the store down when it wakes: what it believed no
/// longer counts, whatever it was about to do.
#[test]
fn a_gateway_that_was_frozen_does_not_act_on_what_it_believed() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let fleet = GatewayFleet::start(&tasks, shape, SHORT_LEASE).await;
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        fleet.gateway(0).signal(Signal::STOP);
        fleet.store.set_fault(StoreFault::Busy);
        smol::Timer::after(Duration::from_millis(2_500)).await;
        fleet.gateway(0).signal(Signal::CONT);
        let answer = send(&fleet, &call("/unsafe/x")).await;
        assert_eq!(answer.code(), Some("BH0309"));
    });
}

#[test]
fn a_gateway_that_the_store_turns_away_hears_from_the_others() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 2, engines: 0, services: 1 };
        let mut fleet = GatewayFleet::start(&tasks, shape, SHORT_LEASE).await;
        // The second gateway starts anew and cannot reach the store at all.
        fleet.gateways[1] = None;
        fleet.settings[1].store = "127.0.0.1:1".parse().unwrap();
        fleet.restart(1);
        fleet.until_ready().await;
        // Lines are written apart from what they tell of: it is ready a moment before.
        until(async || has_line(&fleet, 1, &["\"belief\"", "\"rules\"", "\"peer\""])).await;
        for _ in 0..30 {
            let answer = fleet.caller().send(fleet.callers(1), &call("/safe/x"), PATIENCE).await;
            assert_eq!(answer.told, Told::Whole);
            smol::Timer::after(Duration::from_millis(100)).await;
        }
    });
}

/// Before, whoever came in the first milliseconds of a process was refused.
#[test]
fn who_comes_before_the_first_rules_waits_for_them() {
    run(|tasks| async move {
        let patient = "[beliefs]\nrules_lease_ms = 0\nfirst_rules_ms = 20000\n";
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let mut fleet = GatewayFleet::start(&tasks, shape, patient).await;
        fleet.gateways[0] = None;
        fleet.store_proxy.set(Harm::Silence);
        fleet.restart(0);
        let (caller, address) = (fleet.caller(), fleet.callers(0));
        let early = tasks.spawn(async move { caller.send(address, &call("/safe/x"), PATIENCE).await });
        smol::Timer::after(Duration::from_millis(300)).await;
        fleet.store_proxy.set(Harm::None);
        assert_eq!(early.await.told, Told::Whole);
    });
}

#[test]
fn the_store_is_read_by_few() {
    run(|tasks| async move {
        let alone = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
        let many = start(&tasks, FleetShape { gateways: 6, engines: 0, services: 1 }).await;
        smol::Timer::after(Duration::from_secs(3)).await;
        let before = (alone.store.reads(), many.store.reads());
        smol::Timer::after(Duration::from_secs(5)).await;
        let (alone, many) = (alone.store.reads() - before.0, many.store.reads() - before.1);
        assert!(many <= 3 * alone, "{many} reads by six gateways, {alone} by one");
    });
}

#[test]
fn a_stop_cuts_nothing_and_refuses_what_comes_late() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 1, services: 1 };
        let stop = "[stop]\ngrace_s = 20\naccept_ms = 1500\n";
        let mut fleet = GatewayFleet::start(&tasks, shape, stop).await;
        fleet.upstreams[0].set_pace(Duration::from_millis(250));
        let stream = Call::stream("/stream/x", KEY);
        let (caller, address, sent) = (fleet.caller(), fleet.callers(0), stream.clone());
        let streaming = tasks.spawn(async move { caller.send(address, &sent, PATIENCE).await });
        until(async || fleet.runs_of(&stream.id) == 1).await;
        fleet.gateway(0).signal(Signal::TERM);
        until(async || !fleet.is_ready(0).await).await;
        let crossing = send(&fleet, &call("/safe/x")).await;
        assert_eq!(crossing.told, Told::Whole, "requests that cross the stop are served");
        assert_eq!(crossing.headers["connection"], "close");
        let late = async || send(&fleet, &call("/unsafe/x")).await.code() == Some("BH0306");
        until(late).await;
        assert_eq!(streaming.await.told, Told::Whole);
        let ended = fleet.gateways[0].as_mut().unwrap().wait(Duration::from_secs(30));
        assert!(ended.is_some_and(|status| status.success()));
        until(async || has_line(&fleet, 0, &["\"stopped\""])).await;
    });
}

#[test]
fn a_gateway_that_starts_learns_what_upstreams_keep_from_the_others() {
    run(|tasks| async move {
        let mut fleet = start(&tasks, FleetShape { gateways: 2, engines: 2, services: 0 }).await;
        // Both must know enough: otherwise the one that is started anew may ask upstreams itself.
        until(async || [0, 1].iter().all(|gateway| has_line(&fleet, *gateway, &["\"recovered\""]))).await;
        assert_eq!(send(&fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
        fleet.gateways[1] = None;
        fleet.restart(1);
        until(async || has_line(&fleet, 1, &["\"recovered\"", "\"peer\"", "\"parts\":2"])).await;
    });
}

#[test]
fn settings_are_read_again_and_faulty_ones_are_not_taken() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        fleet.gateway(0).signal(Signal::HUP);
        until(async || has_line(&fleet, 0, &["\"reloaded\""])).await;
        let mut faulty = fleet.settings[0].clone();
        faulty.sections.push_str("[nothing]\n");
        fleet.gateway(0).write_settings(&faulty).unwrap();
        fleet.gateway(0).signal(Signal::HUP);
        until(async || has_line(&fleet, 0, &["\"reload_refused\"", "unknown section [nothing]"])).await;
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
    });
}

/// The one line of a request names all that decided it.
#[test]
fn a_request_is_explained_by_its_line() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        let mut refused = call("/safe/x");
        refused.key = Some("key-none".to_owned());
        let served = call("/safe/x");
        send(&fleet, &refused).await;
        send(&fleet, &served).await;
        until(async || has_line(&fleet, 0, &[&refused.id, "BH0202", "rules_age_ms"])).await;
        until(async || has_line(&fleet, 0, &[&served.id, "services-0", "\"status\":200", "\"ran\":\"yes\""]))
            .await;
    });
}

/// A request that was sent and got no answer has one line, which does not say that it was not sent.
#[test]
fn a_request_without_an_answer_has_one_line() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        fleet.upstreams[1].set_fault(UpstreamFault::Silent);
        let mut unanswered = call("/unsafe/x");
        unanswered.deadline = Duration::from_millis(300);
        send(&fleet, &unanswered).await;
        fleet.upstreams[1].set_fault(UpstreamFault::None);
        let later = call("/safe/x");
        send(&fleet, &later).await;
        until(async || has_line(&fleet, 0, &[&later.id])).await;
        let lines = fleet.gateway(0).lines();
        let about: Vec<&String> = lines.iter().filter(|line| line.contains(&unanswered.id)).collect();
        assert_eq!(about.len(), 1, "{about:?}");
        assert!(about[0].contains("\"end\":\"silent\""), "{about:?}");
    });
}

/// Nobody reads what the gateway writes: it serves on, and says later how many lines it dropped.
#[test]
fn serving_never_waits_for_the_log() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        fleet.gateway(0).stop_reading();
        // More than the pipe and the queue hold; each line has some 250 bytes.
        for _ in 0..3_000 {
            assert_eq!(send(&fleet, &call("/open/x")).await.told, Told::Whole);
        }
        fleet.gateway(0).read_on();
        until(async || {
            has_line(&fleet, 0, &["\"lines_dropped\""]) || {
                send(&fleet, &call("/open/x")).await;
                false
            }
        })
        .await;
    });
}

/// One of two gateways hears of it from the other alone; requests go elsewhere, and come back.
#[test]
fn upstreams_of_a_drained_data_centre_get_nothing_from_any_gateway_until_it_is_given_back() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 2, engines: 0, services: 2 };
        let mut fleet = GatewayFleet::start(&tasks, shape, "").await;
        fleet.gateways[1] = None;
        fleet.settings[1].store = "127.0.0.1:1".parse().unwrap();
        fleet.restart(1);
        fleet.until_ready().await;
        fleet.store.place("services-0", "north");
        let reaches_first = async |gateway: usize| {
            let first = async || {
                let call = call("/safe/x");
                let answer = fleet.caller().send(fleet.callers(gateway), &call, PATIENCE).await;
                assert_eq!(answer.told, Told::Whole);
                fleet.upstreams[0].runs().iter().any(|run| run.request == call.id)
            };
            for _ in 0..20 {
                if first().await {
                    return true;
                }
            }
            false
        };
        for _ in 0..2 {
            fleet.store.drain_data_centre("north");
            for gateway in 0..2 {
                until(async || !reaches_first(gateway).await).await;
            }
            fleet.store.give_back_data_centre("north");
            for gateway in 0..2 {
                until(async || reaches_first(gateway).await).await;
            }
        }
    });
}

#[test]
fn a_pool_whose_data_centres_are_all_drained_refuses_at_once_and_says_when_to_come_back() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let fleet = GatewayFleet::start(&tasks, shape, "").await;
        fleet.store.drain_data_centre(DATA_CENTRE);
        until(async || send(&fleet, &call("/unsafe/x")).await.code() == Some("BH0304")).await;
        let refused = call("/unsafe/x");
        let answer = send(&fleet, &refused).await;
        assert_eq!((answer.told, answer.headers.contains_key("retry-after")), (Told::Status(503), true));
        assert_eq!(fleet.runs_of(&refused.id), 0);
        fleet.store.give_back_data_centre(DATA_CENTRE);
        until(async || send(&fleet, &call("/unsafe/x")).await.told == Told::Whole).await;
    });
}

#[test]
fn a_request_that_must_stay_in_a_region_runs_there_or_nowhere() {
    run(|tasks| async move {
        let sections =
            format!("[data_centre.{DATA_CENTRE}]\nregion = coast\n[data_centre.north]\nregion = inland\n");
        let shape = FleetShape { gateways: 1, engines: 0, services: 2 };
        let fleet = GatewayFleet::start(&tasks, shape, &sections).await;
        fleet.store.place("services-0", "north");
        let home = RULES.replace("path = /safe/\n", "path = /safe/\nregions = inland\n");
        fleet.store.put_rules(&home.replace("version = 1", "version = 2"));
        let stays = async || {
            for _ in 0..20 {
                let call = call("/safe/x");
                let told = send(&fleet, &call).await.told;
                let ran_elsewhere = fleet.upstreams[1].runs().iter().any(|run| run.request == call.id);
                if told != Told::Whole || ran_elsewhere {
                    return false;
                }
            }
            true
        };
        until(stays).await;
        fleet.store.remove("services-0");
        until(async || send(&fleet, &call("/safe/x")).await.code() == Some("BH0304")).await;
        let other = call("/unsafe/x");
        assert_eq!(send(&fleet, &other).await.told, Told::Whole, "others run where there is room");
    });
}

/// The other upstream serves meanwhile; when both warm up, what they do not bear is refused at once.
#[test]
fn an_upstream_that_warms_up_gets_little_until_it_is_warm() {
    const LONG: Duration = Duration::from_mins(10);
    run(|tasks| async move {
        let shape = FleetShape { gateways: 2, engines: 0, services: 2 };
        let fleet = GatewayFleet::start(&tasks, shape, "").await;
        let rules = RULES.replace("[pool.services]\n", "[pool.services]\nwarming_rate = 1\n");
        fleet.store.put_rules(&rules.replace("version = 1", "version = 2"));
        fleet.store.warm_up("services-0", LONG);
        // How many of 30 requests ran at the first upstream, if all ran.
        let ran_at_first = async || {
            let before = fleet.upstreams[0].runs().len();
            for _ in 0..30 {
                if send(&fleet, &call("/safe/x")).await.told != Told::Whole {
                    return None;
                }
            }
            Some(fleet.upstreams[0].runs().len() - before)
        };
        until(async || ran_at_first().await.is_some_and(|ran| ran <= 3)).await;
        fleet.store.warm_up("services-1", LONG);
        until(async || {
            let answer = send(&fleet, &call("/unsafe/x")).await;
            answer.code() == Some("BH0304") && answer.headers.contains_key("retry-after")
        })
        .await;
        fleet.store.warm_up("services-0", Duration::ZERO);
        until(async || ran_at_first().await.is_some_and(|ran| ran > 20)).await;
    });
}

/// Guards against a request whose body arrives late in the grace period of a stop: it was sent to an upstream and cut
/// without an answer at the end of that period.
#[test]
fn a_body_that_arrives_after_the_accept_period_of_a_stop_is_not_run() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let stop = "[stop]\ngrace_s = 3\naccept_ms = 500\n";
        let fleet = GatewayFleet::start(&tasks, shape, stop).await;
        fleet.upstreams[0].set_work(Duration::from_secs(10));
        let id = call("/unsafe/x").id;
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "POST /unsafe/x HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer {KEY}\r\n\
             x-bendhinge-request: {id}\r\ncontent-length: 4\r\n\r\nbo"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        until(async || metric(&fleet, "bendhinge_gateway_requests_in_progress").await == Some(1)).await;
        fleet.gateway(0).signal(Signal::TERM);
        let late = async || send(&fleet, &call("/stream/x")).await.code() == Some("BH0306");
        until(late).await;
        stream.write_all(b"dy").await.unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("BH0306"), "{answer:?}");
        assert_eq!(fleet.runs_of(&id), 0);
    });
}
