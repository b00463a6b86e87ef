//! A runner: answers requests for its own id, one at a time on a connection, and reports its runs on standard output.
//!
//! Its arguments are its id and service, the number of events of a stream, the time between two of them in
//! milliseconds, and how a stream is framed: `chunked`, or `close` for an answer without a length.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{LLM, Random, now_ms, read_head, skip_body};

struct Settings {
    id: String,
    service: String,
    events: usize,
    gap: Duration,
    is_chunked: bool,
    /// The part of the streams that fall silent, in millionths.
    silent_share: AtomicU64,
    random: Mutex<Random>,
}

impl Settings {
    fn report(&self, what: &str, request: &str, detail: &str) {
        println!("{:.3} {what} {request} {} {detail}", now_ms(), self.id);
    }
}

/// Starts a runner; returns its settings and its address.
fn start(id: &str, [service, events, gap_ms, framing]: [&String; 4]) -> (Arc<Settings>, SocketAddr) {
    let seed = id.bytes().fold(7, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let settings = Arc::new(Settings {
        id: id.to_owned(),
        service: service.clone(),
        events: events.parse().unwrap_or(8),
        gap: Duration::from_secs_f64(gap_ms.parse().unwrap_or(16.4) / 1_000.0),
        is_chunked: framing == "chunked",
        silent_share: AtomicU64::new(0),
        random: Mutex::new(Random::new(seed)),
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let accepting = Arc::clone(&settings);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let settings = Arc::clone(&accepting);
            thread::spawn(move || serve(&settings, stream));
        }
    });
    (settings, address)
}

/// Runs one runner until standard input ends.
pub fn run(arguments: &[String]) {
    let [id, service, events, gap_ms, framing] = arguments else { return };
    let (settings, address) = start(id, [service, events, gap_ms, framing]);
    println!("{address}");
    for line in std::io::stdin().lines().map_while(Result::ok) {
        if let Some(share) = line.strip_prefix("silent ").and_then(|share| share.parse::<f64>().ok()) {
            settings.silent_share.store((share * 1e6) as u64, Ordering::SeqCst);
        }
    }
}

/// Runs many runners until standard input ends.
pub fn run_many(arguments: &[String]) {
    let [count, service, events, gap_ms, framing] = arguments else { return };
    for index in 0..count.parse().unwrap_or(0) {
        let id = format!("i-{:08x}", 0x5c1e_0000_u32 + index);
        let (_, address) = start(&id, [service, events, gap_ms, framing]);
        println!("{id} {address}");
    }
    let _ = std::io::stdin().lines().count();
}

fn serve(settings: &Settings, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let (first, headers) = read_head(&mut reader)?;
        skip_body(&mut reader, &headers)?;
        let path = first.split(' ').nth(1)?;
        if matches!(path, "/health" | "/report" | "/kv-list") {
            let body = r#"{"epoch":1,"nextToken":1,"held":[]}"#;
            let id = &settings.id;
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
            continue;
        }
        let request = headers.get("request-id")?;
        if headers.get("expect-instance").is_some_and(|expected| *expected != settings.id) {
            write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                settings.id
            )
            .ok()?;
            continue;
        }
        if settings.service == LLM {
            stream_events(settings, &headers, request, &mut reader, &mut writer)?;
        } else {
            answer(settings, request, &mut writer)?;
        }
    }
}

fn head(request: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: 3e1b.{request}\r\n")
}

fn answer(settings: &Settings, request: &str, writer: &mut TcpStream) -> Option<()> {
    settings.report("begin", request, "");
    thread::sleep(Duration::from_millis(20));
    let body = format!("the answer to {request}");
    write!(writer, "{}Content-Length: {}\r\n\r\n{body}", head(request), body.len()).ok()?;
    settings.report("whole", request, "");
    Some(())
}

/// Returns `None` if the connection is over.
fn stream_events(
    settings: &Settings,
    headers: &BTreeMap<String, String>,
    request: &str,
    reader: &mut impl BufRead,
    writer: &mut TcpStream,
) -> Option<()> {
    let after: Option<usize> = headers.get("last-event-id").and_then(|id| id.parse().ok());
    let start = after.map_or(0, |id| id + 1);
    settings.report(if after.is_some() { "resume" } else { "begin" }, request, &format!("at event {start}"));
    let silent_at = silent_at(settings, start);
    let framing =
        if settings.is_chunked { "Transfer-Encoding: chunked\r\n" } else { "Connection: close\r\n" };
    let head =
        format!("{}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n", head(request));
    let sent = writer.write_all(head.as_bytes());
    for event in start..settings.events {
        if silent_at == Some(event) {
            settings.report("silent", request, &format!("before event {event}, works on"));
            // Nothing more comes on the connection until it is closed.
            let _ = reader.read(&mut [0]);
            settings.report("closed", request, "");
            return None;
        }
        thread::sleep(settings.gap);
        let text = format!("id: {event}\ndata: {request} {event}\n\n");
        let text = if settings.is_chunked { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
        if sent.is_err() || writer.write_all(text.as_bytes()).is_err() {
            settings.report("closed", request, &format!("before event {event}"));
            return None;
        }
    }
    if settings.is_chunked {
        writer.write_all(b"0\r\n\r\n").ok()?;
    }
    settings.report("whole", request, "");
    settings.is_chunked.then_some(())
}

/// Draws whether and before which event a stream falls silent.
fn silent_at(settings: &Settings, start: usize) -> Option<usize> {
    let mut random = settings.random.lock().unwrap();
    let share = settings.silent_share.load(Ordering::SeqCst) as f64 / 1e6;
    let is_silent = random.unit() < share;
    let after = 1 + (random.unit() * 4.0) as usize;
    // A run that goes on elsewhere falls silent after its first token, which is no whole event yet.
    let at = if start == 0 { after } else { start };
    (is_silent && at < settings.events).then_some(at)
}
