//! Connections that crowd at one gateway.

mod gateway_common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::{Pool, Tasks};
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayCaller, GatewayFleet, KEY, Told};
use futures_lite::future::zip;
use gateway_common::{PATIENCE, run};
use rustix::process::Signal;
use smol::Timer;

const SHAPE: FleetShape = FleetShape { gateways: 6, engines: 6, services: 3 };
const SECTIONS: &str = "\
[stop]
grace_s = 3
accept_ms = 300
[load]
shared_response_times = yes
admission = yes
popular_prompts = yes
[retries]
assume_spent = yes
[forwarding]
enabled = yes
[quarantine]
prompt_parts = yes
";
const PATHS: [&str; 4] = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"];
/// How long each phase lasts.
const PHASE: Duration = Duration::from_secs(6);
/// Requests per second while connections are spread evenly, and while they crowd.
const EVEN_RATE: f64 = 60.0;
const CROWDED_RATE: f64 = 90.0;
/// Of ten connections, the number that go to the crowded gateway.
const CROWDED_SHARE: usize = 9;

/// Where connections go.
#[derive(Clone, Copy)]
enum Spread {
    Even,
    /// Most go to this gateway, the others to the rest in turn.
    Crowded(usize),
}

impl Spread {
    fn gateway(self, number: usize) -> usize {
        match self {
            Self::Even => number % SHAPE.gateways,
            Self::Crowded(gateway) if number % 10 < CROWDED_SHARE => gateway,
            Self::Crowded(gateway) => (gateway + 1 + number / 10 % (SHAPE.gateways - 1)) % SHAPE.gateways,
        }
    }

    const fn rate(self) -> f64 {
        match self {
            Self::Even => EVEN_RATE,
            Self::Crowded(_) => CROWDED_RATE,
        }
    }
}

/// A caller that keeps its connections, or opens one for each request.
fn caller(tasks: &Tasks, fleet: &GatewayFleet, keeps_connections: bool) -> GatewayCaller {
    const CONNECT: Duration = Duration::from_secs(1);
    const IDLE: Duration = Duration::from_secs(2);
    if keeps_connections {
        return fleet.caller();
    }
    GatewayCaller::new(Arc::new(Pool::new(Arc::clone(tasks), CONNECT, IDLE)))
}

/// Sends requests of all kinds for [`PHASE`] and returns the answers.
async fn phase(tasks: &Tasks, fleet: &GatewayFleet, spread: Spread, keeps_connections: bool) -> Vec<Answer> {
    let begun = Instant::now();
    let mut sending = Vec::new();
    let mut number = 0;
    while begun.elapsed() < PHASE {
        let path = PATHS[number / 10 % PATHS.len()];
        let is_stream = path.starts_with("/stream") || path.starts_with("/resumable");
        let call = if is_stream { Call::stream(path, KEY) } else { Call::new(path, KEY) };
        let address = fleet.callers(spread.gateway(number));
        let caller = caller(tasks, fleet, keeps_connections);
        sending.push(tasks.spawn(async move { caller.send(address, &call, PATIENCE).await }));
        number += 1;
        Timer::after(Duration::from_secs_f64(1.0 / spread.rate())).await;
    }
    let mut answers = Vec::new();
    for sent in sending {
        answers.push(sent.await);
    }
    answers
}

/// Returns the share of requests that were answered completely, of those that a gateway has read.
fn served_share(answers: &[Answer]) -> f64 {
    let read: Vec<_> = answers.iter().filter(|answer| answer.told != Told::Broken).collect();
    let whole = read.iter().filter(|answer| answer.told == Told::Whole).count();
    assert!(read.len() > answers.len() / 2, "{}", summary(answers));
    whole as f64 / read.len() as f64
}

fn summary(answers: &[Answer]) -> String {
    let mut told = BTreeMap::new();
    for answer in answers {
        *told.entry(format!("{:?} {}", answer.told, answer.code().unwrap_or_default())).or_insert(0) += 1;
    }
    format!("{told:?}")
}

/// Requests are served at the first attempt at least three quarters as often as before.
fn check(before: &[Answer], crowded: &[Answer]) {
    println!("even: {}, crowded: {}", summary(before), summary(crowded));
    assert!(served_share(crowded) >= 0.75 * served_share(before), "{}", summary(crowded));
}

#[test]
fn requests_are_served_while_connections_crowd_at_one_gateway() {
    for keeps_connections in [true, false] {
        run(|tasks| async move {
            let fleet = GatewayFleet::start(&tasks, SHAPE, SECTIONS).await;
            let before = phase(&tasks, &fleet, Spread::Even, keeps_connections).await;
            let crowded = phase(&tasks, &fleet, Spread::Crowded(2), keeps_connections).await;
            check(&before, &crowded);
        });
    }
}

/// The balancer leads new connections to another gateway once the crowded one is not ready any more.
#[test]
fn requests_are_served_after_the_crowded_gateway_leaves_or_is_killed() {
    for is_killed in [true, false] {
        run(|tasks| async move {
            let mut fleet = GatewayFleet::start(&tasks, SHAPE, SECTIONS).await;
            let before = phase(&tasks, &fleet, Spread::Even, false).await;
            phase(&tasks, &fleet, Spread::Crowded(2), false).await;
            if is_killed {
                fleet.gateways[2].as_mut().expect("it runs").kill();
            } else {
                fleet.gateway(2).signal(Signal::TERM);
            }
            let crowded = phase(&tasks, &fleet, Spread::Crowded(4), false).await;
            check(&before, &crowded);
        });
    }
}

/// Each data centre's balancer may crowd the connections of its callers at another gateway.
#[test]
fn requests_are_served_while_connections_crowd_at_two_gateways() {
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, SECTIONS).await;
        let before = phase(&tasks, &fleet, Spread::Even, true).await;
        let first = phase(&tasks, &fleet, Spread::Crowded(1), false);
        let (first, second) = zip(first, phase(&tasks, &fleet, Spread::Crowded(5), true)).await;
        check(&before, &first);
        check(&before, &second);
    });
}
