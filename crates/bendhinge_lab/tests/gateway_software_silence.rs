//! Streams of a pool with versions of its software whose upstreams fall silent for a second or so and go on.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{GatewayFleet, KEY, StreamCaller, StreamEnd, until};
use bendhinge_standin::gateway::Silence;
use gateway_common::run;
use smol::{Task, Timer};

const SECTIONS: &str = "[streams]\nkeep_software = yes\n";
/// Several times as long as a gateway waits for the next event of a stream that may be resumed.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The time between events, so that streams are in progress when their upstreams fall silent.
const PACE: Duration = Duration::from_millis(60);
/// The number of events in a complete stream.
const ALL: usize = 12;
const STREAMS: usize = 12;

/// Starts one gateway and engines with these versions.
async fn start(tasks: &Tasks, versions: &[&str]) -> GatewayFleet {
    let fleet = GatewayFleet::start_versions(tasks, 1, versions, SECTIONS).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.set_pace(PACE));
    fleet
}

/// Receives streams to their ends at the same time.
fn receive(fleet: &GatewayFleet, streams: Vec<StreamCaller>) -> Vec<Task<(StreamCaller, StreamEnd)>> {
    let receiving = streams.into_iter().map(|mut stream| {
        let (pool, gateway) = (fleet.pool.clone(), fleet.callers(0));
        fleet.tasks.spawn(async move {
            let end = stream.receive(&pool, gateway, ALL).await;
            (stream, end)
        })
    });
    receiving.collect()
}

fn new_streams() -> Vec<StreamCaller> {
    (0..STREAMS).map(|_| StreamCaller::new("/resumable/x", KEY)).collect()
}

/// Upstreams of a version hold back their events for a while.
async fn pause(fleet: &GatewayFleet, version: &str) {
    let pausing = || fleet.upstreams.iter().filter(|upstream| upstream.software() == version);
    pausing().for_each(|upstream| upstream.set_silence(Silence::Events));
    Timer::after(PAUSE).await;
    pausing().for_each(|upstream| upstream.set_silence(Silence::None));
}

async fn assert_whole(receiving: Vec<Task<(StreamCaller, StreamEnd)>>) {
    let mut ends = Vec::new();
    for task in receiving {
        let (stream, end) = task.await;
        assert!(!stream.is_mixed(), "{:?}", stream.software);
        ends.push(end);
    }
    let cut = ends.iter().filter(|end| **end != StreamEnd::Complete).count();
    assert_eq!(cut, 0, "{ends:?}");
}

/// Guards against streams that are cut when the upstreams with their software are silent for a second and only others
/// could go on.
#[test]
fn streams_of_a_version_that_pauses_are_not_cut_while_others_run() {
    run(|tasks| async move {
        let fleet = start(&tasks, &["v1", "v1.2"]).await;
        let receiving = receive(&fleet, new_streams());
        Timer::after(PACE * 4).await;
        pause(&fleet, "v1").await;
        let old = fleet.upstreams[0].runs().len();
        assert!((1..STREAMS).contains(&old), "{old} streams began at the old upstream");
        assert_whole(receiving).await;
    });
}

/// Guards against streams that are cut when the only upstream of a pool with a single version is silent for a second.
#[test]
fn streams_of_the_only_version_that_pauses_are_not_cut() {
    run(|tasks| async move {
        let fleet = start(&tasks, &["v1"]).await;
        let receiving = receive(&fleet, new_streams().split_off(STREAMS - 6));
        Timer::after(PACE * 4).await;
        pause(&fleet, "v1").await;
        assert_whole(receiving).await;
    });
}

/// Guards against streams that are cut when the last upstream with their software has left the list, serves them on, and is
/// silent for a second.
#[test]
fn streams_of_software_that_left_are_not_cut_when_it_pauses() {
    run(|tasks| async move {
        let fleet = start(&tasks, &["v1", "v1.2"]).await;
        fleet.upstreams[0].set_pace(PACE * 3);
        let receiving = receive(&fleet, new_streams());
        Timer::after(PACE * 4).await;
        fleet.store.remove("engines-0");
        // In this time the gateway reads the list.
        Timer::after(PACE * 16).await;
        pause(&fleet, "v1").await;
        let old = fleet.upstreams[0].runs().len();
        assert!((1..STREAMS).contains(&old), "{old} streams began at the old upstream");
        assert_whole(receiving).await;
    });
}

/// Guards against streams that their callers resume, and that are cut when the only upstream with their software is silent
/// for a second.
#[test]
fn resumed_streams_of_a_version_that_pauses_are_not_cut() {
    run(|tasks| async move {
        let fleet = start(&tasks, &["v1", "v1.2"]).await;
        let mut streams = Vec::new();
        // Fewer than the upstream has slots.
        until(async || {
            let mut stream = StreamCaller::new("/resumable/x", KEY);
            let end = stream.receive(&fleet.pool, fleet.callers(0), 2).await;
            assert_eq!(end, StreamEnd::Left);
            streams.extend(Some(stream).filter(|stream| stream.software[0] == "v1"));
            streams.len() == 4
        })
        .await;
        let receiving = receive(&fleet, streams);
        Timer::after(PACE * 4).await;
        pause(&fleet, "v1").await;
        assert_whole(receiving).await;
    });
}
