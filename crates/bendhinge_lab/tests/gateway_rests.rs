//! Upstreams that ask for rest, and that say in their answers that they leave.
//!
//! What was seen: an upstream turned a request of a gateway away and asked for three seconds of rest, and got three more from
//! it in that time. How it came about: four upstreams of twelve turned everything away for some seconds, though they had room,
//! and the gateways came back to each of them after a few hundredths of a second to two seconds. The cause: what an upstream
//! says of itself in its answers was not read. A rejection was taken for a failure like others, and the gateway judged by
//! itself how many it bears and how long a rest is. The proof: the lines that tell what was asked, and one upstream that asks
//! for a minute, as below, beside one that serves.

mod gateway_common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::{Upstream, UpstreamFault};
use futures_lite::future::zip;
use futures_lite::io::copy;
use gateway_common::{PATIENCE, call, run, send, start};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Requests enough that each upstream of a few would get several.
const MANY: usize = 30;

const fn services(services: usize) -> FleetShape {
    FleetShape { gateways: 1, engines: 0, services }
}

/// After how many seconds the caller may come back.
fn retry_after(answer: &Answer) -> Option<f64> {
    answer.headers.get("retry-after")?.to_str().ok()?.parse().ok()
}

#[test]
fn an_upstream_that_asks_for_rest_gets_none_beyond_the_request_that_it_turned_away() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        let stream = async || send(&fleet, &Call::stream("/stream/x", KEY)).await.told;
        assert_eq!(stream().await, Told::Whole);
        let is_home = |upstream: &&Upstream| !upstream.runs().is_empty();
        let home = fleet.upstreams.iter().find(is_home).expect("one of them ran it");
        home.set_fault(UpstreamFault::AsksForRest("60"));
        for _ in 0..MANY {
            assert_eq!(stream().await, Told::Whole);
            // Longer than the gateway spares one that it judges to be full.
            Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(home.turned_away(), 1);
    });
}

#[test]
fn where_all_ask_for_rest_callers_are_refused_at_once_and_told_when_the_first_rest_ends() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(2)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::AsksForRest("60"));
        fleet.upstreams[1].set_fault(UpstreamFault::AsksForRest("40"));
        let turned_away = || fleet.upstreams.iter().map(Upstream::turned_away).sum::<usize>();
        // The share of second sends may not be enough to ask the other one within the first try.
        until(async || {
            let answer = send(&fleet, &call("/unsafe/x")).await;
            assert_eq!(answer.told, Told::Status(503), "{:?}", answer.code());
            turned_away() == 2
        })
        .await;
        for _ in 0..MANY {
            let answer = send(&fleet, &call("/unsafe/x")).await;
            assert_eq!(answer.told, Told::Status(503), "{:?}", answer.code());
            assert_eq!(answer.ran(), Some("no"));
            let seconds = retry_after(&answer);
            assert!(
                seconds.is_some_and(|seconds| (30.0..=60.0).contains(&seconds)),
                "{seconds:?} {:?}",
                answer.code()
            );
        }
        assert_eq!(turned_away(), 2);
    });
}

/// What it asks of one it may not mean for the others.
#[test]
fn each_gateway_keeps_the_rest_that_it_was_asked_for() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 3, engines: 2, services: 0 }).await;
        let stream_by = async |gateway: usize| {
            let call = Call::stream("/stream/x", KEY);
            fleet.caller().send(fleet.callers(gateway), &call, PATIENCE).await.told
        };
        assert_eq!(stream_by(0).await, Told::Whole);
        let is_home = |upstream: &&Upstream| !upstream.runs().is_empty();
        let home = fleet.upstreams.iter().find(is_home).expect("one of them ran it");
        home.set_fault(UpstreamFault::AsksForRest("60"));
        for turn in 0..MANY {
            assert_eq!(stream_by(turn % 3).await, Told::Whole);
        }
        assert_eq!(home.turned_away(), 3);
    });
}

/// The other one is spared by the gateway's own judgement, and sent to all the same when there is no better.
#[test]
fn where_the_other_is_full_one_that_asked_for_rest_is_not_sent_to_instead() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        let stream = async || send(&fleet, &Call::stream("/stream/x", KEY)).await.told;
        assert_eq!(stream().await, Told::Whole);
        let (home, other): (Vec<_>, Vec<_>) =
            fleet.upstreams.iter().partition(|upstream| !upstream.runs().is_empty());
        home[0].set_fault(UpstreamFault::AsksForRest("60"));
        other[0].set_fault(UpstreamFault::Full);
        for _ in 0..MANY {
            assert_eq!(stream().await, Told::Status(503));
        }
        assert!(other[0].turned_away() >= MANY - 1);
        assert_eq!(home[0].turned_away(), 1);
        // It is not even chosen, which would cost the request one of its sends.
        let is_chosen_in_vain = |line: &String| line.contains("\"end\":\"not_sent\"");
        assert!(!fleet.gateway(0).lines().iter().any(is_chosen_in_vain));
    });
}

/// Its entry in the list goes on saying that it is ready, as it does where it never says otherwise there.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_nothing_more_whatever_the_lists_say() {
    run(|tasks| async move {
        let mut fleet = start(&tasks, services(2)).await;
        fleet.upstreams[0].says_that_it_leaves();
        until(async || {
            send(&fleet, &call("/safe/x")).await;
            !fleet.upstreams[0].runs().is_empty()
        })
        .await;
        let runs = fleet.upstreams[0].runs().len();
        for _ in 0..MANY {
            assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        }
        fleet.add_upstream("services-2", "services").await;
        until(async || {
            assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
            !fleet.upstreams[2].runs().is_empty()
        })
        .await;
        for _ in 0..MANY {
            assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        }
        assert_eq!(fleet.upstreams[0].runs().len(), runs);
    });
}

/// What it turned away after the rest began would be counted against it, had the earlier answer ended the rest.
#[test]
fn an_answer_to_a_request_of_before_does_not_end_a_rest() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(1)).await;
        let upstream = &fleet.upstreams[0];
        upstream.set_work(Duration::from_millis(600));
        let slow = call("/unsafe/x");
        let asked = async {
            until(async || upstream.working() == 1).await;
            upstream.set_fault(UpstreamFault::AsksForRest("60"));
            assert_eq!(send(&fleet, &call("/unsafe/x")).await.told, Told::Status(503));
        };
        let (answer, ()) = zip(send(&fleet, &slow), asked).await;
        assert_eq!(answer.told, Told::Whole);
        upstream.set_fault(UpstreamFault::None);
        for _ in 0..MANY {
            assert_eq!(send(&fleet, &call("/unsafe/x")).await.code(), Some("BH0312"));
        }
        assert_eq!((upstream.turned_away(), upstream.runs().len()), (1, 1));
    });
}

#[test]
fn an_upstream_serves_again_once_its_rest_is_over() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(1)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::AsksForRest("0.4"));
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Status(503));
        fleet.upstreams[0].set_fault(UpstreamFault::None);
        until(async || send(&fleet, &call("/safe/x")).await.told == Told::Whole).await;
        assert_eq!(fleet.upstreams[0].turned_away(), 1);
    });
}

/// A number that cannot be read asks for nothing, and the upstream is judged by its answers as before.
#[test]
fn a_rest_that_is_no_number_keeps_nobody_away() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(1)).await;
        for nonsense in ["", "-5", "1e18", "Wed, 02 Dec 2026 10:00:00 GMT"] {
            fleet.upstreams[0].set_fault(UpstreamFault::AsksForRest(nonsense));
            send(&fleet, &call("/safe/x")).await;
        }
        fleet.upstreams[0].set_fault(UpstreamFault::None);
        until(async || send(&fleet, &call("/safe/x")).await.told == Told::Whole).await;
    });
}

/// The gateway that asks upstreams what they keep, after a loss of all, learns from those answers, too.
#[test]
fn a_list_of_kept_parts_that_says_that_its_upstream_leaves_is_believed() {
    run(|tasks| async move {
        let mut fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        fleet.upstreams[0].says_that_it_leaves();
        fleet.gateways[0].as_mut().expect("it runs").kill();
        fleet.restart(0);
        fleet.until_ready().await;
        let says_so = |line: &String| line.contains("\"event\":\"leaving_said\"");
        until(async || fleet.gateway(0).lines().iter().any(says_so)).await;
        for _ in 0..MANY {
            assert_eq!(send(&fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
        }
        assert_eq!(fleet.upstreams[0].runs().len(), 0);
    });
}

/// An upstream that is full lets requests wait, and turns them away when their time is over: a moment after the gateway
/// saw that, and answered its caller.
#[test]
fn a_rest_that_is_asked_for_when_a_requests_time_is_over_is_heard() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(1)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::AsksForRestLate("60"));
        let waiting = Call { deadline: Duration::from_millis(300), ..call("/unsafe/x") };
        assert_eq!(send(&fleet, &waiting).await.told, Told::Status(504));
        let says_so = |line: &String| line.contains("\"event\":\"rest_asked\"");
        until(async || fleet.gateway(0).lines().iter().any(says_so)).await;
        assert_eq!(send(&fleet, &call("/unsafe/x")).await.code(), Some("BH0312"));
        assert_eq!(fleet.upstreams[0].turned_away(), 1);
    });
}

/// Engines say what they have, and requests to them are not paced: nor is that told.
#[test]
fn no_pace_is_told_of_engines_that_turn_requests_away() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Full));
        let turned_away = |upstream: &Upstream| upstream.turned_away() > 0;
        until(async || {
            send(&fleet, &Call::stream("/stream/x", KEY)).await;
            fleet.upstreams.iter().all(turned_away)
        })
        .await;
        assert_eq!(send(&fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Status(503));
        let is_pace = |line: &String| line.contains("\"event\":\"pace\"");
        assert!(!fleet.gateway(0).lines().iter().any(is_pace));
    });
}

/// Its address went to another one, which leaves: that says nothing of the one that was meant.
#[test]
fn what_another_upstream_at_the_address_says_is_not_believed_of_the_one_that_was_meant() {
    run(|tasks| async move {
        let fleet = start(&tasks, services(2)).await;
        fleet.upstreams[0].rename("another");
        fleet.upstreams[0].says_that_it_leaves();
        let is_replaced = |line: &String| line.contains("\"end\":\"replaced\"");
        until(async || {
            send(&fleet, &call("/safe/x")).await;
            fleet.gateway(0).lines().iter().any(is_replaced)
        })
        .await;
        let says_so = |line: &String| line.contains("\"event\":\"leaving_said\"");
        assert!(!fleet.gateway(0).lines().iter().any(says_so));
    });
}

/// Where connections are made one at a time: while one is not let in, the next has to wait.
struct NarrowDoor {
    listener: TcpListener,
    address: SocketAddr,
    upstream: SocketAddr,
    tasks: Tasks,
}

impl NarrowDoor {
    fn before(upstream: &Upstream, tasks: &Tasks) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let listener = TcpListener::try_from(listener).unwrap();
        Self { listener, address, upstream: upstream.address, tasks: tasks.clone() }
    }

    async fn let_in_one(&self) {
        let (near, _) = self.listener.accept().await.unwrap();
        let far = TcpStream::connect(self.upstream).await.unwrap();
        for (from, to) in [(near.clone(), far.clone()), (far, near)] {
            let passing = async move {
                // Whoever closes ends it.
                let _ = copy(from, to).await;
            };
            self.tasks.spawn(passing).detach();
        }
    }
}

/// Sends a request that an upstream holds until it asks for rest, and another one that waits for a connection meanwhile.
/// Returns the answer to the latter and how many requests the upstream turned away, or `None` if the first request did not
/// reach the upstream: a gateway returns a connection to its pool in the background, and the door lets in no other.
async fn answer_after_waiting_for_a_connection(tasks: &Tasks) -> Option<(Answer, usize)> {
    let none = FleetShape { gateways: 1, engines: 0, services: 0 };
    let fleet = GatewayFleet::start(tasks, none, "[upstreams]\nconnect_ms = 10000\n").await;
    let upstream = Upstream::start(tasks, "narrow").await.unwrap();
    let door = NarrowDoor::before(&upstream, tasks);
    fleet.store.add("narrow", "services", door.address);
    let serves = async || send(&fleet, &call("/unsafe/x")).await.told == Told::Whole;
    zip(until(serves), door.let_in_one()).await;
    upstream.set_fault(UpstreamFault::AsksForRestLate("60"));
    let asks = Call { deadline: Duration::from_millis(600), ..call("/unsafe/x") };
    let waits = call("/unsafe/x");
    let has_ended = Cell::new(false);
    let asking = async {
        send(&fleet, &asks).await;
        has_ended.set(true);
    };
    let blocking = async {
        until(async || upstream.holds() == 1 || has_ended.get()).await;
        if has_ended.get() {
            return None;
        }
        let _blocks = TcpStream::connect(door.address).await.unwrap();
        let letting_in = async {
            let says_so = |line: &String| line.contains("\"event\":\"rest_asked\"");
            until(async || fleet.gateway(0).lines().iter().any(says_so)).await;
            door.let_in_one().await;
            door.let_in_one().await;
        };
        Some(zip(send(&fleet, &waits), letting_in).await.0)
    };
    let ((), answer) = zip(asking, blocking).await;
    Some((answer?, upstream.turned_away()))
}

/// It was chosen before the upstream asked for rest, and its connection is made after that.
#[test]
fn a_send_that_waits_for_its_connection_is_not_sent_into_a_rest() {
    /// Attempts at having the first request use the connection that is there.
    const ATTEMPTS: usize = 20;
    run(|tasks| async move {
        for _ in 0..ATTEMPTS {
            let Some((answer, turned_away)) = answer_after_waiting_for_a_connection(&tasks).await else {
                continue;
            };
            assert_eq!(answer.code(), Some("BH0312"));
            assert_eq!(turned_away, 1);
            return;
        }
        panic!("no request reached the upstream on the connection that was there");
    });
}
