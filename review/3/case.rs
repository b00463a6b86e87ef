//! One answer of a faulty runner is an event without an end. The platform ends the gateway when its memory is used up.

#[path = "../standins/common.rs"]
#[allow(dead_code, reason = "each case uses a part")]
mod common;

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    BROKEN, Gateway, HELD, HOST, NOT_RUN, Record, Route, Run, Runner, Store, StreamShape, configuration,
    has_trouble, header, read_chunks, read_head, read_length, sleep_ms,
};

const RUNNERS: usize = 8;
const CLIENTS: usize = 24;
/// `memoryMb` of a machine; "a process that goes over `memoryMb` is killed".
const MEMORY_BYTES: u64 = 260_000_000;
/// The answer of the faulty runner that is spoilt, one of its first fifty.
const SPOILT: usize = 50;
/// Clients give a stream up after a gap of eight times the longest pause of 300 ms.
const GIVE_UP: Duration = Duration::from_millis(2_400);
const LENGTH: Duration = Duration::from_secs(20);
/// How long the platform takes to start a process again.
const RESTART_MS: u64 = 500;
/// "More than three times".
const MAX_LOST: usize = 3;

/// How a request ended for its client.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Whole,
    /// The connection was closed in the middle of the answer.
    Cut,
    /// The connection was closed with no answer.
    NoAnswer,
    GaveUp,
    Failed(u16),
}

/// A request that ended with no answer on a connection that had served an earlier one.
type LostRequests = Arc<Mutex<Vec<String>>>;

fn main() {
    common::play(run);
}

fn run(record: &Record) -> i32 {
    let store = Store::start(50, 1);
    let routes = [Route {
        name: "digest",
        prefix: "/digest/",
        kind: "streaming",
        service: "pool-llm",
        timeout_ms: 12_000,
        aim_ms: 600,
        attempts: 1,
        can_resume: false,
    }];
    store.put("op/config", configuration(1, &routes, &[("residents", &["key-1"])]).as_bytes());
    let runs = Arc::new(Mutex::new(Vec::new()));
    let runners: Vec<Runner> = (1..=RUNNERS)
        .map(|number| {
            let spoilt = if number == 1 && has_trouble() { SPOILT } else { 0 };
            let shape = StreamShape { events: 4, gap_ms: 20, first_ms: 250, chunked: true, spoilt };
            Runner::start(&format!("i-{number}"), "pool-llm", shape, record, &runs)
        })
        .collect();
    runners.iter().for_each(|runner| runner.register(&store, "ready"));
    let mut gateway = Gateway::plan("front-1");
    let seeds = [gateway.peers];
    gateway.start(store.addresses[0], &seeds, true);
    gateway.wait_until_ready();
    sleep_ms(3_500);
    record.add("calm for contactMs; the clients begin");

    let lost = LostRequests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, lost, is_over) = (record.clone(), Arc::clone(&lost), Arc::clone(&is_over));
            let address = gateway.callers;
            thread::spawn(move || client(&record, &lost, &is_over, number, address))
        })
        .collect();
    let start = Instant::now();
    let mut ends = 0;
    let mut peak = 0;
    while start.elapsed() < LENGTH {
        let memory = gateway.memory_bytes().unwrap_or(0);
        peak = peak.max(memory);
        if memory > MEMORY_BYTES {
            record.add(format!("the gateway uses {memory} bytes; the platform kills it"));
            ends += 1;
            gateway.kill();
            sleep_ms(RESTART_MS);
            gateway.start(store.addresses[0], &seeds, false);
            record.add("the platform starts it again");
        }
        sleep_ms(10);
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let runs: Vec<Run> = runs.lock().unwrap().clone();
    if runs.is_empty() {
        return NOT_RUN;
    }
    let ran_at_sound: HashSet<&str> =
        runs.iter().filter(|run| run.runner != "i-1").map(|run| run.id.as_str()).collect();
    let lost = lost.lock().unwrap();
    let lost = lost.iter().filter(|id| ran_at_sound.contains(id.as_str())).count();
    let of_faulty = runs.iter().filter(|run| run.runner == "i-1").count();
    record.add(format!(
        "i-1 got {of_faulty} requests; the gateway used {peak} bytes at most and was killed {ends} times"
    ));
    record.add(format!(
        "LOST: {lost} requests from kept connections were passed on to sound runners, and their connections closed with no answer"
    ));
    if lost > MAX_LOST { BROKEN } else { HELD }
}

/// Sends one request after the other on a connection that it keeps.
fn client(record: &Record, lost: &LostRequests, is_over: &AtomicBool, number: usize, address: SocketAddr) {
    // The clients do not keep step.
    sleep_ms(number as u64 * 14);
    let mut kept: Option<BufReader<TcpStream>> = None;
    for request in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("r-{number:02}-{request:03}");
        let is_kept = kept.is_some();
        let connection = kept.take().or_else(|| connect(address));
        let Some(mut connection) = connection else {
            sleep_ms(100);
            continue;
        };
        let end = exchange(&mut connection, &id, number);
        if end != End::Whole {
            record.add(format!("client {id}: {end:?}, connection kept: {is_kept}"));
        }
        match end {
            End::Whole => kept = Some(connection),
            End::NoAnswer if is_kept => lost.lock().unwrap().push(id),
            _ => sleep_ms(100),
        }
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(GIVE_UP)).ok()?;
    Some(BufReader::new(stream))
}

fn exchange(connection: &mut BufReader<TcpStream>, id: &str, number: usize) -> End {
    let request = format!(
        "POST /digest/post HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 150,30\r\n\
         Prompt-Prefix: a{number:02}:100,b{number:02}:50\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n\
         Content-Length: 4\r\n\r\npost"
    );
    if connection.get_mut().write_all(request.as_bytes()).is_err() {
        return End::NoAnswer;
    }
    let sent_at = Instant::now();
    let Some(head) = read_head(connection) else {
        return if sent_at.elapsed() >= GIVE_UP { End::GaveUp } else { End::NoAnswer };
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if header(&head, "transfer-encoding").is_none() {
        read_length(connection, &head);
        return End::Failed(status);
    }
    let read_at = Instant::now();
    match read_chunks(connection) {
        (_, true) => End::Whole,
        (_, false) if read_at.elapsed() >= GIVE_UP => End::GaveUp,
        (_, false) => End::Cut,
    }
}
