//! Unframed responses of upstreams whose processes end: while they leave, and all at once.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::{Framing, Silence, Upstream};
use gateway_common::{PATIENCE, run};
use smol::{Task, Timer};

const SECTIONS: &str =
    "[upstreams]\nverify_close = yes\n[forwarding]\nenabled = yes\n[retries]\nratio = 1\nslack = 200\n";
/// The time between the events of a stream.
const PACE: Duration = Duration::from_millis(60);
const STREAMS: usize = 12;

async fn unframed_engines(tasks: &Tasks, engines: usize) -> GatewayFleet {
    let fleet = GatewayFleet::start(tasks, FleetShape { gateways: 1, engines, services: 1 }, SECTIONS).await;
    for upstream in &fleet.upstreams {
        upstream.set_framing(Framing::UntilClose);
        upstream.set_pace(PACE);
    }
    fleet
}

/// Begins streams, and waits until each of them has some events.
async fn begin(
    tasks: &Tasks,
    fleet: &GatewayFleet,
    path: &'static str,
    count: usize,
) -> Vec<(Call, Task<Answer>)> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let call = Call::stream(path, KEY);
        let (caller, address, sent) = (fleet.caller(), fleet.callers(0), call.clone());
        streams.push((call, tasks.spawn(async move { caller.send(address, &sent, PATIENCE).await })));
    }
    until(async || fleet.upstreams.iter().map(Upstream::working).sum::<usize>() >= count).await;
    Timer::after(PACE * 3).await;
    streams
}

/// Drains an engine and waits until the gateway knows it.
async fn drain(fleet: &GatewayFleet, engine: usize) {
    fleet.store.drain(&fleet.upstreams[engine].name());
    let revision = fleet.store.revision();
    let known = format!(r#""event":"belief","what":"upstreams","revision":{revision},"#);
    until(async || fleet.gateway(0).lines().iter().any(|line| line.contains(&known))).await;
}

fn ran_at(upstream: &Upstream, call: &Call) -> bool {
    upstream.runs().iter().any(|run| run.request == call.id)
}

/// Guards against streams that look complete although the process of their upstream ended in the middle of them, because it
/// had said that it leaves.
#[test]
fn streams_that_end_together_with_a_leaving_upstream_are_cut_or_resumed() {
    run(|tasks| async move {
        for (path, expected) in [("/stream/x", Told::Broken), ("/resumable/x", Told::Whole)] {
            let fleet = unframed_engines(&tasks, 2).await;
            let streams = begin(&tasks, &fleet, path, STREAMS).await;
            drain(&fleet, 0).await;
            fleet.proxies[0].end().await;
            let mut ended = 0;
            for (call, stream) in streams {
                let told = stream.await.told;
                if ran_at(&fleet.upstreams[0], &call) {
                    ended += 1;
                    assert_eq!(told, expected, "{path}");
                } else {
                    assert_eq!(told, Told::Whole, "{path}");
                }
            }
            assert!(ended > 1, "{path}: {ended} streams were at the upstream that left");
        }
    });
}

/// Guards against a stream that looks complete because it was the only one that its leaving upstream had not finished.
#[test]
fn a_silent_stream_that_ends_with_a_leaving_upstream_is_cut() {
    run(|tasks| async move {
        let fleet = unframed_engines(&tasks, 1).await;
        let mut streams = begin(&tasks, &fleet, "/stream/x", 1).await;
        fleet.upstreams[0].set_silence(Silence::Events);
        drain(&fleet, 0).await;
        Timer::after(PACE * 3).await;
        fleet.proxies[0].end().await;
        let (_, stream) = streams.remove(0);
        assert_eq!(stream.await.told, Told::Broken);
    });
}

/// Guards against complete streams that are cut because their upstream leaves and exits after the last of them.
#[test]
fn streams_are_complete_while_upstreams_leave_as_planned() {
    const RELEASES: usize = 10;
    const STREAMS: usize = 4;
    run(|tasks| async move {
        let mut fleet = unframed_engines(&tasks, 1).await;
        let mut leaving = 0;
        for release in 0..RELEASES {
            let mut streams = Vec::new();
            for _ in 0..STREAMS {
                streams.extend(begin(&tasks, &fleet, "/stream/x", 1).await);
            }
            fleet.add_engine(&format!("release-{release}"), "").await;
            let newest = fleet.upstreams.len() - 1;
            fleet.upstreams[newest].set_framing(Framing::UntilClose);
            fleet.upstreams[newest].set_pace(PACE);
            drain(&fleet, leaving).await;
            while fleet.upstreams[leaving].working() > 0 {
                Timer::after(Duration::from_micros(200)).await;
            }
            fleet.proxies[leaving].end().await;
            leaving = newest;
            for (_, stream) in streams {
                assert_eq!(stream.await.told, Told::Whole, "release {release}");
            }
        }
    });
}

/// Guards against streams that look complete because all engines end at once, which a gateway takes for the loss of its own
/// link although it reaches other pools.
#[test]
fn streams_are_cut_when_all_engines_end_at_once() {
    run(|tasks| async move {
        let fleet = unframed_engines(&tasks, 3).await;
        let streams = begin(&tasks, &fleet, "/stream/x", STREAMS).await;
        for proxy in &fleet.proxies[..3] {
            proxy.end().await;
        }
        for (_, stream) in streams {
            assert_eq!(stream.await.told, Told::Broken);
        }
    });
}
