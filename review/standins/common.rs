//! What the scripts of the review share: a store, runners as processes, gateways as processes, clients, and a record.
//!
//! Standard library only, so that `rustc` alone builds it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The host of all routes.
pub const HOST: &str = "boards.example";

/// Ends the case because it could not run. Unwinds, so that all processes that were started are ended.
pub fn not_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::panic::resume_unwind(Box::new(()));
}

/// The program of a case: plays it and writes its record to the file that is named, or is one of its runners.
pub fn play(case: fn(&Record) -> i32) -> ! {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((role, rest)) if role == "runner" => run_runner(rest),
        Some((path, _)) => {
            let record = Record::new();
            let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record)));
            record.write(path.as_ref());
            std::process::exit(verdict.unwrap_or(NOT_RUN))
        }
        None => {
            eprintln!("usage: case RECORD");
            std::process::exit(NOT_RUN)
        }
    }
}

/// Milliseconds since the epoch, equal in all processes of the script.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A free port of the loopback address, below those that the system gives to connections. Each call gives another one.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    const FIRST: u16 = 20_000;
    const COUNT: u16 = 10_000;
    // Scripts that run at the same time begin elsewhere.
    let offset = (std::process::id() * 37 % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let port = FIRST + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
    not_run("no port is free")
}

/// The lines of `record.txt`.
#[derive(Clone)]
pub struct Record {
    start_ms: u64,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start_ms: now_ms(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.add_at(now_ms(), line);
    }

    pub fn add_at(&self, at_ms: u64, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }

    /// Seconds since the start of the script.
    pub fn seconds(&self, at_ms: u64) -> f64 {
        at_ms.saturating_sub(self.start_ms) as f64 / 1_000.0
    }

    /// Writes the lines in order of time.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            writeln!(text, "{:9.3} {line}", self.seconds(at)).unwrap();
        }
        std::fs::write(path, text).unwrap();
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .enumerate()
            .fold(0, |group, (index, byte)| group | u32::from(*byte) << (16 - 8 * index));
        for index in 0..4 {
            let is_padding = index > chunk.len();
            let sign = ALPHABET[(group >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if is_padding { '=' } else { sign });
        }
    }
    text
}

/// Decodes `%XX` and `+` in the value of a query field, as any HTTP server does.
fn decode_query_value(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(if bytes[index] == b'+' { b' ' } else { bytes[index] });
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find_map(|(key, value)| key.trim().eq_ignore_ascii_case(name).then_some(value.trim()))
}

/// Reads a head up to its blank line; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    loop {
        let length = reader.read_line(&mut head).ok()?;
        if length == 0 {
            return None;
        }
        if head == "\r\n" {
            head.clear();
        } else if head.ends_with("\r\n\r\n") {
            return Some(head);
        }
    }
}

/// Reads the body of a request, which has a length.
fn read_request_body(reader: &mut impl Read, head: &str) -> Option<Vec<u8>> {
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn path_of(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("/")
}

/// Serves each connection on a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

struct Item {
    value: Vec<u8>,
    revision: u64,
    made: u64,
}

struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// When the configuration was last read over each listener.
    config_reads: BTreeMap<usize, u64>,
}

/// The platform's store: `GET /kv-range` in pages.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    /// One for each gateway that shall be told apart.
    pub addresses: Vec<SocketAddr>,
}

impl Store {
    /// Starts a store with at most `page` items, and about 1 MB, on a page.
    pub fn start(page: usize, listeners: usize) -> Self {
        let state = StoreState { items: BTreeMap::new(), revision: 100, config_reads: BTreeMap::new() };
        let state = Arc::new(Mutex::new(state));
        let addresses = (0..listeners).map(|number| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let served = Arc::clone(&state);
            serve(listener, move |stream| serve_store(&served, stream, page, number));
            address
        });
        Self { addresses: addresses.collect(), state }
    }

    /// Writes an item. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.made);
        state.items.insert(key.to_owned(), Item { value: value.to_vec(), revision, made });
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.items.remove(key);
    }

    /// The listener over which the configuration was last read, and when.
    pub fn last_config_read(&self) -> Option<(usize, u64)> {
        let state = self.state.lock().unwrap();
        state.config_reads.iter().map(|(listener, at)| (*listener, *at)).max_by_key(|(_, at)| *at)
    }
}

fn serve_store(state: &Mutex<StoreState>, stream: TcpStream, page: usize, listener: usize) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let (path, query) = path_of(&head).split_once('?').unwrap_or((path_of(&head), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find_map(|(key, value)| (key == name).then(|| decode_query_value(value)))
        };
        let (status, body) = match path {
            "/kv-range" => {
                let prefix = field("pathPrefix").unwrap_or_default();
                let after = field("afterRevision").unwrap_or_default();
                ("200 OK", range(&mut state.lock().unwrap(), &prefix, &after, page, listener))
            }
            "/kv-watch" => ("410 Gone", "{}".to_owned()),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let response = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn range(state: &mut StoreState, prefix: &str, after: &str, page: usize, listener: usize) -> String {
    const MAX_PAGE_BYTES: usize = 1_000_000;
    let mut items: Vec<String> = Vec::new();
    let mut length = 0;
    let mut more = false;
    let mut has_config = false;
    for (key, item) in state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after) {
        if items.len() == page || length > MAX_PAGE_BYTES {
            more = true;
            break;
        }
        has_config |= key == "op/config";
        let Item { value, revision, made } = item;
        let text = format!(
            r#"{{"tlsKey":"{key}","value":"{}","revision":{revision},"made":{made},"lease":0}}"#,
            base64(value)
        );
        length += text.len();
        items.push(text);
    }
    if has_config {
        state.config_reads.insert(listener, now_ms());
    }
    format!(r#"{{"items":[{}],"more":{more},"at":{}}}"#, items.join(","), state.revision)
}

/// How a runner answers streaming requests.
#[derive(Clone, Copy)]
pub struct StreamShape {
    pub events: usize,
    pub gap_ms: u64,
    /// The time from a request to the head of its answer.
    pub first_ms: u64,
    /// Whether answers have chunks; without, they end when their connection closes.
    pub chunked: bool,
    /// The number of the answer that is spoilt: an event without an end; 0 for none.
    pub spoilt: usize,
}

impl StreamShape {
    fn to_args(self) -> [String; 5] {
        let Self { events, gap_ms, first_ms, chunked, spoilt } = self;
        [
            events.to_string(),
            gap_ms.to_string(),
            first_ms.to_string(),
            u8::from(chunked).to_string(),
            spoilt.to_string(),
        ]
    }

    fn from_args(args: &[String]) -> Option<Self> {
        let number = |index: usize| args.get(index)?.parse::<u64>().ok();
        Some(Self {
            events: number(0)? as usize,
            gap_ms: number(1)?,
            first_ms: number(2)?,
            chunked: number(3)? == 1,
            spoilt: number(4)? as usize,
        })
    }
}

/// One run of a request, as its runner tells it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub runner: String,
    pub id: String,
    pub path: String,
}

/// A runner, as a process of its own. Its end closes its connections as the system does for any process.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    process: Child,
}

impl Runner {
    /// Starts a runner; its runs go to `runs` and to the record.
    pub fn start(
        id: &str,
        service: &str,
        shape: StreamShape,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Self {
        let mut process = Command::new(std::env::current_exe().unwrap())
            .args(["runner", id])
            .args(shape.to_args())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let address = lines.next().unwrap().unwrap().parse().unwrap();
        let (record, runs, runner) = (record.clone(), Arc::clone(runs), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let mut words = line.split(' ').map(str::to_owned);
                let mut word = || words.next().unwrap_or_default();
                let (kind, at_ms, id, path) = (word(), word().parse().unwrap_or(0), word(), word());
                record.add_at(at_ms, format!("runner {runner}: {kind} {id} {path}"));
                if kind == "runs" {
                    runs.lock().unwrap().push(Run { at_ms, runner: runner.clone(), id, path });
                }
            }
        });
        Self { id: id.to_owned(), service: service.to_owned(), address, process }
    }

    /// Writes the runner's entry to the store.
    pub fn register(&self, store: &Store, state: &str) {
        let Self { id, service, address, .. } = self;
        let value = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"vake-hall","version":"v1","slots":48,"state":"{state}","coldRemainingMs":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{id}"), value.as_bytes());
    }

    /// Lets the process end by itself, as after a planned leave.
    pub fn leave(&mut self) {
        // The process reads its standard input to the end.
        drop(self.process.stdin.take());
        let _ = self.process.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The process of a runner: `runner ID` and its shape. It ends with its parent.
pub fn run_runner(args: &[String]) -> ! {
    let Some((id, shape)) =
        args.split_first().and_then(|(id, rest)| Some((id.clone(), StreamShape::from_args(rest)?)))
    else {
        not_run("the arguments of a runner are wrong")
    };
    let answers = Arc::new(Mutex::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("{}", listener.local_addr().unwrap());
    serve(listener, move |stream| serve_runner(&id, shape, &answers, stream));
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
    std::process::exit(0);
}

/// The text of an event of a stream.
pub fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn serve_runner(id: &str, shape: StreamShape, answers: &Mutex<usize>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        if read_request_body(&mut reader, &head).is_none() {
            return;
        }
        let path = path_of(&head).to_owned();
        let request = header(&head, "request-id").unwrap_or("-").to_owned();
        let expected = header(&head, "expect-instance").unwrap_or(id);
        let written = if path == "/health" {
            answer(&mut writer, "200 OK", &format!("Instance-Id: {id}\r\n"), "")
        } else if path == "/kv-list" {
            answer(&mut writer, "200 OK", "", r#"{"epoch":1,"nextToken":1,"held":[]}"#)
        } else if expected != id {
            answer(
                &mut writer,
                "421 Misdirected Request",
                &format!("Instance-Id: {id}\r\nRequest-Id: {request}\r\n"),
                "",
            )
        } else if header(&head, "prompt-prefix").is_some() {
            println!("runs {} {request} {path}", now_ms());
            sleep_ms(shape.first_ms);
            let number = {
                let mut answers = answers.lock().unwrap();
                *answers += 1;
                *answers
            };
            if number == shape.spoilt {
                println!("spoils {} {request} answer-{number}", now_ms());
                return send_without_end(&mut writer, &request);
            }
            let after = header(&head, "last-event-id").and_then(|id| id.parse::<usize>().ok());
            let first = after.map_or(0, |last| last + 1);
            stream_events(&mut writer, shape, &request, first)
        } else {
            println!("runs {} {request} {path}", now_ms());
            sleep_ms(10);
            answer(
                &mut writer,
                "200 OK",
                &format!("Request-Id: {request}\r\nResponse-Stamp: s.{id}\r\n"),
                "done",
            )
        };
        if !written {
            return;
        }
    }
}

/// Sends an event without an end, at 960 Mbit/s, until the connection is closed.
fn send_without_end(writer: &mut TcpStream, request: &str) {
    const PERIOD: Duration = Duration::from_millis(10);
    const BYTES_PER_PERIOD: usize = 1_200_000;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n\
         Connection: close\r\n\r\nid: 0\ndata: "
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return;
    }
    let piece = vec![b'x'; BYTES_PER_PERIOD];
    let mut next = Instant::now();
    while writer.write_all(&piece).is_ok() {
        next += PERIOD;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn answer(writer: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let response = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    writer.write_all(response.as_bytes()).is_ok()
}

/// Writes the events from `first` on; returns whether the connection stays open.
fn stream_events(writer: &mut TcpStream, shape: StreamShape, request: &str, first: usize) -> bool {
    let framing = if shape.chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in first..shape.events {
        let event = event(number);
        let piece = if shape.chunked { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
        if writer.write_all(piece.as_bytes()).is_err() {
            println!("stopped {} {request} after-event-{number}", now_ms());
            return false;
        }
        sleep_ms(shape.gap_ms);
    }
    println!("ended {} {request} whole", now_ms());
    shape.chunked && writer.write_all(b"0\r\n\r\n").is_ok()
}

/// A gateway, as the deploy file starts it.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

impl Gateway {
    /// Plans a gateway on free ports.
    pub fn plan(name: &str) -> Self {
        let settings =
            std::env::temp_dir().join(format!("bendhinge-review-{}-{name}.ini", std::process::id()));
        let [callers, ready, peers] = [(); 3].map(|()| free_address());
        Self { name: name.to_owned(), callers, ready, peers, settings, process: None }
    }

    /// Starts the process with the settings that the template gives for `kvevri-boards`.
    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr], is_first_start: bool) {
        let Self { name, callers, ready, peers, .. } = self;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "[gateway]\nname = {name}\ndata_centre = vake-hall\ncallers = {callers}\nready = {ready}\npeers = {peers}\n\
             link_mbps = 1000.0\n\
             [data_centre.vake-hall]\nregion = tbilisi\n[store]\naddress = {store}\n\
             [fleet]\nkey = bendhinge-fleet-on-the-platform\nseeds = {}\n[beliefs]\nrules_lease_ms = 0\n\
             [upstreams]\nleaving_ms = 2000\n[forwarding]\nenabled = yes\n\
             [streams]\nkeep_software = yes\n{}\
             [load]\nwork = no\npopular_prompts = yes\noverload_reports = yes\n\
             shared_response_times = reported\nadmission = reported\n\
             [retries]\nratio = 0.2\nslack = 54\nspan_s = 10\nassume_spent = yes\n\
             [quarantine]\nprompt_parts = yes\n[stop]\ngrace_s = 8\n",
            seeds.join(","),
            if is_first_start { "first_start = yes\n" } else { "" },
        );
        std::fs::write(&self.settings, text).unwrap();
        let log = std::env::var("REVIEW_LOGS").ok();
        let output = match log {
            Some(folder) => {
                Stdio::from(std::fs::File::create(Path::new(&folder).join(format!("{name}.log"))).unwrap())
            }
            None => Stdio::null(),
        };
        let program = repository().join("target/release/bendhinge-platform");
        let child = Command::new(program).arg(&self.settings).stdin(Stdio::null()).stdout(output).spawn();
        self.process =
            Some(child.unwrap_or_else(|error| not_run(&format!("the gateway does not start: {error}"))));
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// The memory of the process in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        let id = self.process.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse::<u64>().ok().map(|kilobytes| kilobytes * 1_024)
    }

    pub fn is_ready(&self) -> bool {
        send(
            self.ready,
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            Duration::from_secs(1),
        )
        .is_some_and(|seen| seen.status == 200)
    }

    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > Duration::from_secs(15) {
                not_run(&format!("gateway {} is not ready", self.name));
            }
            sleep_ms(20);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The repository: the folder above the one in which the script lies.
fn repository() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_owned()))
}

/// An answer as its client sees it.
#[derive(Debug, Default)]
pub struct Seen {
    pub status: u16,
    pub is_signed: bool,
    pub body: String,
    /// Whether the body has reached the end that its framing marks.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads its answer; `None` if there is none.
pub fn send(address: SocketAddr, request: &str, timeout: Duration) -> Option<Seen> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut seen = Seen { status, is_signed: header(&head, "response-stamp").is_some(), ..Seen::default() };
    let is_chunked = header(&head, "transfer-encoding").is_some();
    let (body, is_complete) =
        if is_chunked { read_chunks(&mut reader) } else { read_length(&mut reader, &head) };
    seen.body = String::from_utf8_lossy(&body).into_owned();
    seen.is_complete = is_complete;
    Some(seen)
}

pub fn read_length(reader: &mut impl Read, head: &str) -> (Vec<u8>, bool) {
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    let is_complete = reader.read_exact(&mut body).is_ok();
    (body, is_complete)
}

pub fn read_chunks(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        let length = match reader.read_line(&mut line) {
            Ok(length) if length > 0 => usize::from_str_radix(line.trim(), 16),
            _ => return (body, false),
        };
        let Ok(length) = length else { return (body, false) };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if length == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    pub attempts: u32,
    pub can_resume: bool,
}

impl Route {
    fn to_json(&self) -> String {
        let Self { name, prefix, kind, service, timeout_ms, aim_ms, attempts, can_resume } = self;
        let gap = if *kind == "streaming" { r#","targetGapMs":300"# } else { "" };
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{aim_ms},"priority":1,"service":"{service}","maxAttempts":{attempts},"allowAnonymous":false,"sticky":{},"canResume":{can_resume}{gap}}}"#,
            *kind == "streaming"
        )
    }
}

/// A configuration with two services and the given tenants, each with its keys.
pub fn configuration(version: u64, routes: &[Route], tenants: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes.iter().map(Route::to_json).collect();
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(r#"{{"name":"{name}","apiKeys":[{}]}}"#, keys.join(","))
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"pool-llm","healthPath":"/health","maxConnections":300,"protocol":"h1","tls":false,"engine":{{"slots":48,"kvCapacityTokens":713635,"tokenKvBytes":327680,"linkMbps":370000.0,"moves":true,"backups":true,"stride":7,"most":2,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"board-app","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(","),
    )
}
