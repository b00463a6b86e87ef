//! Sound upstreams that fall silent for a second or so and go on.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, RULES, Told, until};
use bendhinge_standin::gateway::{Silence, UpstreamFault};
use gateway_common::{PATIENCE, line_of, metric, run, send, start};
use smol::{Task, Timer};

/// Several times as long as a gateway waits for the next event of a stream that may be resumed.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The time between events, so that streams are in progress when their upstreams fall silent.
const PACE: Duration = Duration::from_millis(30);

/// The number of upstreams at which a stream of the route that may be resumed may run.
const MAX_ATTEMPTS: usize = 2;

/// Starts one gateway and its engines.
async fn engines(tasks: &Tasks, engines: usize) -> GatewayFleet {
    let fleet = start(tasks, FleetShape { gateways: 1, engines, services: 0 }).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.set_pace(PACE));
    fleet
}

/// Sends `calls`; once all of them are at an upstream, these hold back `silence` for a while.
async fn send_beside_pause(fleet: &GatewayFleet, calls: &[Call], silence: Silence) -> Vec<Answer> {
    let sending: Vec<_> = calls.iter().map(|call| spawn(fleet, call)).collect();
    until(async || calls.iter().all(|call| fleet.runs_of(&call.id) > 0)).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(silence));
    Timer::after(PAUSE).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::None));
    let mut answers = Vec::new();
    for sent in sending {
        answers.push(sent.await);
    }
    answers
}

/// A stream that runs at both of two silent upstreams.
struct RacedStream {
    call: Call,
    answer: Task<Answer>,
    /// The index of the upstream that began it.
    first: usize,
}

impl RacedStream {
    async fn start(fleet: &GatewayFleet) -> Self {
        let call = Call::stream("/resumable/x", KEY);
        let answer = spawn(fleet, &call);
        let first = || fleet.upstreams.iter().position(|upstream| upstream.working() > 0);
        until(async || first().is_some()).await;
        let first = first().unwrap();
        fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::Events));
        until(async || fleet.runs_of(&call.id) == MAX_ATTEMPTS).await;
        Self { call, answer, first }
    }
}

fn assert_all_whole(answers: &[Answer]) {
    let told: Vec<_> = answers.iter().map(|answer| &answer.told).collect();
    assert!(told.iter().all(|told| **told == Told::Whole), "{told:?}");
}

fn streams(count: usize) -> Vec<Call> {
    (0..count).map(|_| Call::stream("/resumable/x", KEY)).collect()
}

/// Guards against a stream that is cut and a line that does not show who ended it, after which silence, and why nothing
/// went on with it.
#[test]
fn line_of_a_cut_stream_shows_what_ended_it() {
    const CASES: [(UpstreamFault, &str, &str, &str); 2] = [
        (UpstreamFault::BreaksOff(3), "/stream/x", "upstream", "attempts"),
        (UpstreamFault::BreaksOff(3), "/resumable/x", "upstream", "send_failed"),
    ];
    run(|tasks| async move {
        for (fault, path, by, not_resumed) in CASES {
            let fleet = engines(&tasks, 1).await;
            fleet.upstreams[0].set_fault(fault);
            let call = Call::stream(path, KEY);
            assert_eq!(send(&fleet, &call).await.told, Told::Broken);
            let line = line_of(&fleet, &call).await;
            let cut = &line["cut"];
            assert_eq!((&cut["by"], &cut["not_resumed"]), (&by.into(), &not_resumed.into()), "{line}");
            assert!(cut["silent_ms"].is_u64() && cut["rules"].is_u64(), "{line}");
            let name =
                format!("bendhinge_gateway_streams_cut_total{{by=\"{by}\",not_resumed=\"{not_resumed}\"");
            assert_eq!(metric(&fleet, &name).await, Some(1), "{name}");
        }
    });
}

/// Guards against a caller's connection that closes before the head of a response and leaves no line of its request.
#[test]
fn a_caller_that_leaves_before_its_response_leaves_a_line() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].set_silence(Silence::Answers);
        let call = Call::stream("/resumable/x", KEY);
        let answer = fleet.caller().send(fleet.callers(0), &call, PAUSE).await;
        assert_eq!(answer.told, Told::GaveUp);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["outcome"], "caller_left", "{line}");
        assert_eq!(line["sends"].as_array().map(Vec::len), Some(1), "{line}");
    });
}

/// Guards against streams that are cut when their upstream is silent for a second and no other one can go on with them.
#[test]
fn streams_of_an_upstream_that_pauses_are_not_cut_if_nothing_can_replace_it() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        let answers = send_beside_pause(&fleet, &streams(8), Silence::Events).await;
        assert_all_whole(&answers);
    });
}

/// Guards against streams that are cut when their upstream is silent for a second after the head of its response.
#[test]
fn streams_of_an_upstream_that_pauses_before_its_first_event_are_not_cut() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].set_silence(Silence::Events);
        let answers = send_beside_pause(&fleet, &streams(8), Silence::Events).await;
        assert_all_whole(&answers);
    });
}

/// Guards against streams that are cut when all upstreams are silent for a second and the retry budget allows only some
/// of them to be resumed.
#[test]
fn streams_of_a_pool_that_pauses_are_not_cut_when_the_retry_budget_is_exhausted() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 4).await;
        let calls = streams(60);
        let answers = send_beside_pause(&fleet, &calls, Silence::Events).await;
        assert_all_whole(&answers);
        assert!(calls.iter().all(|call| fleet.runs_of(&call.id) <= MAX_ATTEMPTS));
    });
}

/// Guards against a stream that waits for an upstream that is silent for good while another one could go on with it.
#[test]
fn a_stream_of_an_upstream_that_stays_silent_goes_on_at_another_one() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::Stalls(6));
        }
        let call = Call::stream("/resumable/x", KEY);
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        assert_eq!(fleet.runs_of(&call.id), MAX_ATTEMPTS);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["sends"][0]["end"], "silent", "{line}");
        assert_eq!(line["sends"][0]["events"], 6, "{line}");
        until(async || fleet.upstreams.iter().all(|upstream| upstream.working() == 0)).await;
    });
}

/// Guards against a second run that goes on at another upstream after the silent one went on with the stream, and
/// against its events in the response.
#[test]
fn the_other_upstream_is_left_when_the_silent_one_goes_on_first() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        let RacedStream { call, answer, first } = RacedStream::start(&fleet).await;
        fleet.upstreams[first].set_silence(Silence::None);
        until(async || fleet.upstreams[1 - first].working() == 0).await;
        fleet.upstreams[1 - first].set_silence(Silence::None);
        assert_eq!(answer.await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["sends"][1]["end"], "overtaken", "{line}");
    });
}

/// Guards against a stream that is cut because its upstream fails while another one is about to go on with it.
#[test]
fn a_stream_whose_silent_upstream_fails_goes_on_at_the_other_one() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        let RacedStream { call, answer, first } = RacedStream::start(&fleet).await;
        fleet.proxies[first].reset_open();
        until(async || fleet.upstreams[first].working() == 0).await;
        fleet.upstreams[1 - first].set_silence(Silence::None);
        assert_eq!(answer.await.told, Told::Whole);
        assert_eq!(fleet.runs_of(&call.id), MAX_ATTEMPTS);
    });
}

/// Guards against a retry budget that sends which were never made use up, so that later failures cannot be retried.
#[test]
fn streams_that_nothing_can_replace_use_up_no_retries() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        let answers = send_beside_pause(&fleet, &streams(8), Silence::Events).await;
        assert_all_whole(&answers);
        let denied = "bendhinge_gateway_retry_decisions_total{decision=\"denied\"";
        assert_eq!(metric(&fleet, denied).await, None);
    });
}

/// Changes the rules of the route that may be resumed, and waits until the gateway has them.
async fn change_route(fleet: &GatewayFleet, from: &str, to: &str) {
    let rules = RULES.replace("version = 1", "version = 2").replace(from, to);
    assert!(rules.contains(to));
    let held = fleet.gateway(0).lines().iter().filter(|line| is_rules_update(line)).count();
    fleet.store.put_rules(&rules);
    until(async || fleet.gateway(0).lines().iter().filter(|line| is_rules_update(line)).count() > held).await;
}

fn is_rules_update(line: &str) -> bool {
    line.contains("\"event\":\"belief\"") && line.contains("\"what\":\"rules\"")
}

fn spawn(fleet: &GatewayFleet, call: &Call) -> Task<Answer> {
    let (caller, call, address) = (fleet.caller(), call.clone(), fleet.callers(0));
    fleet.tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
}

/// Guards against an upstream whose end is not noticed because a stream that it served waits for another one.
#[test]
fn the_end_of_a_silent_upstream_is_recorded_before_another_one_goes_on() {
    const LOST: &str = "bendhinge_gateway_sends_ended_total{end=\"lost\"";
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        let RacedStream { answer, first, .. } = RacedStream::start(&fleet).await;
        fleet.proxies[first].reset_open();
        until(async || metric(&fleet, LOST).await == Some(1)).await;
        assert!(fleet.upstreams[1 - first].working() > 0, "the other one is still silent");
        fleet.upstreams[1 - first].set_silence(Silence::None);
        assert_eq!(answer.await.told, Told::Whole);
    });
}

/// Guards against a crash that is taken for a running upstream because a stream that was lost there is still counted.
#[test]
fn an_upstream_that_ends_while_a_stream_races_is_found_to_have_crashed() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        let RacedStream { first, .. } = RacedStream::start(&fleet).await;
        let calls: Vec<_> = (0..8).map(|_| Call::stream("/stream/x", KEY)).collect();
        let answers: Vec<_> = calls.iter().map(|call| spawn(&fleet, call)).collect();
        until(async || calls.iter().all(|call| fleet.runs_of(&call.id) == 1)).await;
        fleet.proxies[first].end().await;
        let is_crash = |line: &String| line.contains("\"event\":\"crash\"");
        until(async || fleet.gateway(0).lines().iter().any(is_crash)).await;
        drop(answers);
    });
}

/// Guards against a stream that waits for two silent upstreams while a third one could go on with it.
#[test]
fn a_second_silent_upstream_is_replaced_as_well() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 3).await;
        change_route(&fleet, "gap_ms = 100\nattempts = 2", "gap_ms = 100\nattempts = 3").await;
        let RacedStream { call, answer, .. } = RacedStream::start(&fleet).await;
        let idle = fleet.upstreams.iter().find(|upstream| upstream.working() == 0).unwrap();
        // Until the third send.
        idle.set_silence(Silence::None);
        assert_eq!(answer.await.told, Told::Whole);
        assert_eq!(fleet.runs_of(&call.id), 3);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["sends"][0]["end"], "silent", "{line}");
        assert_eq!(line["sends"][1]["end"], "overtaken", "{line}");
    });
}

/// Guards against a gateway that does nothing else while a stream of a route with a target gap of zero is silent.
#[test]
fn a_target_gap_of_zero_blocks_nothing() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 1 }).await;
        change_route(&fleet, "gap_ms = 100\nattempts = 2", "gap_ms = 0\nattempts = 2").await;
        fleet.upstreams[0].set_fault(UpstreamFault::Stalls(3));
        let stream = Call::stream("/resumable/x", KEY);
        let answer = spawn(&fleet, &stream);
        until(async || fleet.runs_of(&stream.id) == 1).await;
        Timer::after(PAUSE).await;
        assert_eq!(send(&fleet, &Call::new("/safe/x", KEY)).await.told, Told::Whole);
        assert!(!answer.is_finished());
    });
}

/// Guards against a stream that is cut because the only other upstream was not reached when it was tried first.
#[test]
fn an_upstream_that_was_not_reached_is_tried_again() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::Stalls(3));
        }
        let call = Call::stream("/resumable/x", KEY);
        let answer = spawn(&fleet, &call);
        let first = || fleet.upstreams.iter().position(|upstream| upstream.working() > 0);
        until(async || first().is_some()).await;
        let other = 1 - first().unwrap();
        fleet.upstreams[other].set_fault(UpstreamFault::None);
        fleet.proxies[other].end().await;
        until(async || metric(&fleet, "bendhinge_gateway_connect_failures_total").await > Some(0)).await;
        fleet.proxies[other].accept_new().await;
        assert_eq!(answer.await.told, Told::Whole);
    });
}

/// Guards against sound upstreams that are ejected because they were silent for a second.
#[test]
fn upstreams_that_go_on_after_a_pause_are_served_at_once() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 4).await;
        assert_all_whole(&send_beside_pause(&fleet, &streams(40), Silence::Events).await);
        for _ in 0..4 {
            assert_eq!(send(&fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
        }
    });
}

/// Guards against a complete stream whose line says that it was not resumed.
#[test]
fn line_of_a_stream_that_went_on_names_no_obstacle() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        let calls = streams(1);
        assert_all_whole(&send_beside_pause(&fleet, &calls, Silence::Events).await);
        let line = line_of(&fleet, &calls[0]).await;
        assert!(line.get("resume_code").is_none(), "{line}");
        assert!(line.get("cut").is_none(), "{line}");
    });
}
