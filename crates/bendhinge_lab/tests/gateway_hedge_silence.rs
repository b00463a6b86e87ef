//! Second sends before the head of a response, of which one is silent.

mod gateway_common;

use std::time::Duration;

use bendhinge_lab::gateways::{Call, FleetShape, KEY, Told, until};
use bendhinge_standin::gateway::{Silence, UpstreamFault};
use gateway_common::{PATIENCE, line_of, run, start};
use smol::Timer;

/// The time in which the head of a response arrives.
const HEAD_TIME: Duration = Duration::from_millis(200);

/// Guards against a stream whose first upstream is given up for the head of a second one that sends no event, and that is
/// cut although the first one goes on.
#[test]
fn streams_are_not_cut_when_the_second_upstream_sends_only_a_head() {
    run(|tasks| async move {
        for fault in [UpstreamFault::Stalls(0), UpstreamFault::BreaksOff(0)] {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
            // The same prompt goes to the same upstream first.
            let prompt = Some("1:2000,2:6000".to_owned());
            let probe = Call { prompt: prompt.clone(), ..Call::stream("/resumable/x", KEY) };
            assert_eq!(fleet.caller().send(fleet.callers(0), &probe, PATIENCE).await.told, Told::Whole);
            let first = fleet.upstreams.iter().position(|upstream| !upstream.runs().is_empty()).unwrap();
            fleet.upstreams[first].set_silence(Silence::Answers);
            fleet.upstreams[1 - first].set_fault(fault);
            let call = Call { prompt, ..Call::stream("/resumable/x", KEY) };
            let (caller, address, sent) = (fleet.caller(), fleet.callers(0), call.clone());
            let sending = tasks.spawn(async move { caller.send(address, &sent, PATIENCE).await });
            until(async || fleet.runs_of(&call.id) == 2).await;
            fleet.upstreams[first].set_silence(Silence::None);
            assert_eq!(sending.await.told, Told::Whole, "{fault:?}");
        }
    });
}

/// Guards against an upstream that is suspected because another one sent an event before it, although it was asked later.
#[test]
fn an_upstream_that_was_asked_second_is_not_late_when_the_first_one_sends_an_event() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::Answers));
        let call = Call::stream("/resumable/x", KEY);
        let (caller, address, sent) = (fleet.caller(), fleet.callers(0), call.clone());
        let sending = tasks.spawn(async move { caller.send(address, &sent, PATIENCE).await });
        until(async || fleet.runs_of(&call.id) == 1).await;
        let first = fleet.upstreams.iter().position(|upstream| !upstream.runs().is_empty()).unwrap();
        until(async || fleet.runs_of(&call.id) == 2).await;
        fleet.upstreams[1 - first].set_silence(Silence::Events);
        Timer::after(HEAD_TIME).await;
        fleet.upstreams[first].set_silence(Silence::None);
        assert_eq!(sending.await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["sends"][1]["end"], "overtaken", "{line}");
    });
}
