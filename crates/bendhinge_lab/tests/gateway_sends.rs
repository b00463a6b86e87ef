//! Sends of one request to more than one upstream: when a second is made, and which answer counts.

mod gateway_common;

use std::time::Duration;

use bendhinge_lab::gateways::{Call, FleetShape, KEY, Told, until};
use bendhinge_standin::gateway::UpstreamFault;
use gateway_common::{call, run, send, start};

/// Longer than the target of the route, much shorter than its time-out.
const SLOW: Duration = Duration::from_millis(900);

const fn services(services: usize) -> FleetShape {
    FleetShape { gateways: 1, engines: 0, services }
}

const fn engines(engines: usize) -> FleetShape {
    FleetShape { gateways: 1, engines, services: 0 }
}

/// Before, it was given up after a part of the target, and its caller told that it had failed.
#[test]
fn a_send_that_nothing_can_replace_is_waited_for() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(1)).await;
        fleet.upstreams[0].set_work(SLOW);
        let call = call("/safe/x");
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        assert_eq!(fleet.runs_of(&call.id), 1);
    });
}

#[test]
fn of_two_slow_upstreams_the_first_to_answer_counts_and_the_other_is_freed() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(2)).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_work(SLOW));
        let call = call("/safe/x");
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        assert_eq!(fleet.runs_of(&call.id), 2);
        until(async || fleet.upstreams.iter().all(|upstream| upstream.working() == 0)).await;
    });
}

#[test]
fn an_upstream_that_is_silent_costs_no_request_that_may_be_repeated() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(2)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::Silent);
        for _ in 0..6 {
            assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        }
        until(async || fleet.upstreams[0].working() == 0).await;
    });
}

#[test]
fn when_one_of_two_sends_fails_the_other_is_waited_for() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(2)).await;
        fleet.upstreams[0].set_work(SLOW);
        fleet.upstreams[1].set_fault(UpstreamFault::Lost);
        for _ in 0..4 {
            assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        }
    });
}

#[test]
fn a_request_that_must_not_be_repeated_is_sent_once_however_long_it_takes() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(2)).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_work(SLOW));
        let call = call("/unsafe/x");
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        assert_eq!(fleet.runs_of(&call.id), 1);
    });
}

#[test]
fn a_stream_that_may_go_on_elsewhere_is_whole_whichever_upstream_begins_it() {
    run(|tasks| async move {
        let fleet = start(&tasks, engines(2)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::Silent);
        for _ in 0..4 {
            assert_eq!(send(&fleet, &Call::stream("/resumable/x", KEY)).await.told, Told::Whole);
        }
        until(async || fleet.upstreams.iter().all(|upstream| upstream.working() == 0)).await;
    });
}
