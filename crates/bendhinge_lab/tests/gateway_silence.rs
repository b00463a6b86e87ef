//! Sound upstreams that fall silent for a second or so and go on.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::{Silence, UpstreamFault};
use gateway_common::{PATIENCE, line_of, metric, run, send, start};
use smol::Timer;

/// Several times as long as a gateway waits for the next event of a stream that may be resumed.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The time between events, so that streams are in progress when their upstreams fall silent.
const PACE: Duration = Duration::from_millis(30);

/// Starts one gateway and its engines.
async fn engines(tasks: &Tasks, engines: usize) -> GatewayFleet {
    let fleet = start(tasks, FleetShape { gateways: 1, engines, services: 0 }).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.set_pace(PACE));
    fleet
}

/// Sends `calls`; once all of them are at an upstream, these hold back `silence` for a while.
async fn send_beside_pause(fleet: &GatewayFleet, calls: &[Call], silence: Silence) -> Vec<Answer> {
    let caller = fleet.caller();
    let sending = calls.iter().map(|call| {
        let (caller, call, address) = (caller.clone(), call.clone(), fleet.callers(0));
        fleet.tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
    });
    let sending: Vec<_> = sending.collect();
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
        let told: Vec<_> = answers.into_iter().map(|answer| answer.told).collect();
        assert!(told.iter().all(|told| *told == Told::Whole), "{told:?}");
    });
}

/// Guards against streams that are cut when all upstreams are silent for a second and the retry budget allows only some
/// of them to be resumed.
#[test]
fn streams_of_a_pool_that_pauses_are_not_cut_when_the_retry_budget_is_exhausted() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 4).await;
        let answers = send_beside_pause(&fleet, &streams(60), Silence::Events).await;
        let told: Vec<_> = answers.into_iter().map(|answer| answer.told).collect();
        assert!(told.iter().all(|told| *told == Told::Whole), "{told:?}");
    });
}
