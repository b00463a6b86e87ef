//! Seeded mixes of messages without an end and unread responses, beside sound requests, signals and kills.
//!
//! By hand more: `BENDHINGE_SOAK_SEEDS=100..150`.

mod gateway_common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, Told};
use gateway_common::flood::{Flood, FloodingUpstream, STREAM_HEAD};
use gateway_common::{PATIENCE, run};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use smol::Timer;

/// Seeds of the short run, and seeds that once found something.
const SEEDS: [u64; 2] = [1, 2];

const MAX_MEMORY_BYTES: u64 = 80_000_000;
const SECTIONS: &str =
    "[memory]\nlimit_mb = 64\n[upstreams]\nconnect_ms = 2000\n[quarantine]\nprompt_parts = yes\n";
const SHAPE: FleetShape = FleetShape { gateways: 2, engines: 2, services: 2 };
const ROUNDS: usize = 6;
const ROUND: Duration = Duration::from_secs(3);

/// Where floods go, and where sound requests go meanwhile.
#[derive(Clone, Copy)]
struct Pools {
    flooded: &'static str,
    flooded_path: &'static str,
    sound_path: &'static str,
}

const POOLS: [Pools; 2] = [
    Pools { flooded: "engines", flooded_path: "/stream/x", sound_path: "/safe/x" },
    Pools { flooded: "services", flooded_path: "/safe/x", sound_path: "/resumable/x" },
];

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n";

/// Returns what the faulty upstream of the pool sends.
fn upstream_flood(pools: Pools, random: &mut StdRng) -> Flood {
    let bytes = random.random_range(100 << 10..6 << 20);
    let first = match (pools.flooded, random.random_range(0..3)) {
        ("engines", 0) => STREAM_HEAD.to_owned() + "id: 0\ndata: ",
        ("engines", 1) => STREAM_HEAD.to_owned() + "id: 0\ndata: a\n\n: ",
        ("services", 0 | 1) => format!("{HEAD}content-length: {bytes}0\r\n\r\n"),
        _ => format!("{HEAD}x-more: "),
    };
    let pause = random.random_bool(0.2).then_some(Duration::from_millis(1));
    Flood { first: Arc::new(move |id| first.replace("{id}", id)), repeated: "and more ", bytes, pause }
}

/// Sends what a faulty caller sends, and keeps the connection open until the round is over.
fn flood_as_caller(address: SocketAddr, path: &str, kind: u32, bytes: usize, is_over: &AtomicBool) {
    let Ok(mut caller) = TcpStream::connect(address) else { return };
    let timeout = Some(Duration::from_millis(500));
    if caller.set_write_timeout(timeout).and_then(|()| caller.set_read_timeout(timeout)).is_err() {
        return;
    }
    let id = rand::random::<u64>();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer key-one\r\n\
         x-bendhinge-request: {id:016x}\r\nx-bendhinge-deadline-ms: 2500\r\nx-bendhinge-prompt: {id}:100\r\n"
    );
    let request = match kind {
        0 => format!("{head}x-more: {}", "x".repeat(bytes.min(60 << 10))),
        1 => format!("{head}content-length: {}\r\n\r\n{}", bytes + 1, "x".repeat(bytes)),
        2 => format!("{head}transfer-encoding: chunked\r\n\r\n{bytes:x}\r\n{}", "x".repeat(bytes)),
        // A request whose response is not read.
        _ => format!("{head}content-length: 0\r\n\r\n"),
    };
    // The gateway may refuse the request, or close the connection.
    let _ = caller.write_all(request.as_bytes());
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let _ = caller.read(&mut [0; 16]);
}

/// Sends sound requests until the round is over.
async fn send_sound(fleet: &GatewayFleet, path: &'static str, is_over: &AtomicBool) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let call = if path == "/safe/x" { Call::new(path, KEY) } else { Call::stream(path, KEY) };
        let answer = fleet.caller().send(fleet.callers(0), &call, PATIENCE).await;
        answers.push((call.id, answer));
        Timer::after(Duration::from_millis(10)).await;
    }
    answers
}

/// Floods the first gateway, while the settings are read again and the second one is killed and started.
async fn round(
    fleet: &mut GatewayFleet,
    tasks: &Tasks,
    pools: Pools,
    random: &mut StdRng,
) -> Vec<(String, Answer)> {
    let upstream = FloodingUpstream::start(tasks, upstream_flood(pools, random)).await;
    fleet.store.add("flooding", pools.flooded, upstream.address);
    let is_over = Arc::new(AtomicBool::new(false));
    let address = fleet.callers(0);
    let callers: Vec<_> = (0..random.random_range(0..120))
        .map(|_| {
            let (kind, bytes) = (random.random_range(0..4), random.random_range(1 << 10..3 << 20));
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || flood_as_caller(address, pools.flooded_path, kind, bytes, &is_over))
        })
        .collect();
    if random.random_bool(0.5) {
        fleet.gateways[1].as_mut().expect("it runs").kill();
        fleet.restart(1);
    }
    if random.random_bool(0.5) {
        fleet.gateway(0).signal(Signal::HUP);
    }
    let end = Instant::now() + ROUND;
    let over = Arc::clone(&is_over);
    let ending = tasks.spawn(async move {
        Timer::at(end).await;
        over.store(true, Ordering::Relaxed);
    });
    let answers = send_sound(fleet, pools.sound_path, &is_over).await;
    ending.await;
    smol::unblock(move || callers.into_iter().for_each(|caller| caller.join().unwrap())).await;
    fleet.store.remove("flooding");
    answers
}

/// Guards against any mix of faulty upstreams and callers that uses up the memory, or takes it from sound requests.
#[test]
fn sound_requests_are_served_beside_any_flood() {
    for seed in seeds() {
        run(|tasks| async move {
            let mut random = StdRng::seed_from_u64(seed);
            let mut fleet = GatewayFleet::start(&tasks, SHAPE, SECTIONS).await;
            let mut served = 0;
            // The same in all rounds, since the gateway learns with a delay that an upstream was removed.
            let pools = POOLS[random.random_range(0..POOLS.len())];
            for number in 0..ROUNDS {
                let answers = round(&mut fleet, &tasks, pools, &mut random).await;
                served += answers.len();
                for (id, answer) in &answers {
                    let code = answer.code();
                    assert_eq!(answer.told, Told::Whole, "seed {seed}, round {number}: {id}, {code:?}");
                }
            }
            let peak = fleet.gateway(0).peak_memory();
            println!("seed {seed}: {served} served, {peak} bytes of memory");
            assert!(served > 0, "seed {seed}");
            assert!(peak < MAX_MEMORY_BYTES, "seed {seed}: {peak} bytes");
        });
    }
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("BENDHINGE_SOAK_SEEDS") else { return SEEDS.to_vec() };
    let (first, last) = range.split_once("..").expect("a range");
    (first.parse().expect("a number")..last.parse().expect("a number")).collect()
}
