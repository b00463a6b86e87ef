//! What the cases share: the store, the gateways as the platform starts them, callers, and the record.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun(String),
}

/// Milliseconds since the Unix epoch, which all processes of a case share.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

/// The repository, the case's folder and its temporary folder, and whether the disruption takes place.
pub struct Case {
    pub repository: PathBuf,
    pub temporary: PathBuf,
    pub has_trouble: bool,
    pub record: Record,
}

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_ms: f64,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), began_ms: now_ms() })
    }

    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at_ms: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} s  {text}", (at_ms - self.began_ms) / 1_000.0);
    }
}

/// A generator of numbers that differ between runs only by its seed.
pub struct Random(u64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let value =
            piece.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte)) << (8 * (3 - piece.len()));
        for index in 0..4 {
            let sign = SIGNS[(value >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= piece.len() { sign as char } else { '=' });
        }
    }
    text
}

/// Reads a head up to its blank line: the first line and the headers, with names in lower case.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

pub fn skip_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<()> {
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length]).ok()
}

/// The time of an answer of the store.
pub const STORE_DELAY_MS: u64 = 4;

struct Item {
    value: String,
    revision: u64,
    made: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// The revision of the last change of each key, also of removed ones.
    changed: BTreeMap<String, u64>,
    /// The revisions at which ranges were answered.
    ranges: Vec<u64>,
    calls: u64,
}

/// The platform's store: `/kv-range` and `/kv-watch`. It answers linearizably, and `delay` after it has read.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    delay_ms: Arc<AtomicU64>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let delay_ms = Arc::new(AtomicU64::new(STORE_DELAY_MS));
        let store = Self { state: Arc::default(), delay_ms, address: listener.local_addr()? };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; returns the revision of the change.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.changed.insert(key.to_owned(), revision);
        let made = state.items.get(key).map_or(revision, |item| item.made);
        state.items.insert(key.to_owned(), Item { value: base64(value.as_bytes()), revision, made });
        revision
    }

    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// The number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    /// Waits until a range is read at `revision` or later, for `timeout` at most. Its answer may be under way.
    pub fn wait_for_range(&self, revision: u64, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.state.lock().unwrap().ranges.iter().any(|at| *at >= revision) {
                return true;
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.changed.insert(key.to_owned(), revision);
        state.items.remove(key);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let (first, headers) = read_head(&mut reader)?;
            skip_body(&mut reader, &headers)?;
            let body = self.answer(first.split(' ').nth(1)?);
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn answer(&self, target: &str) -> String {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        if path == "/kv-watch" {
            return state.changes(field("afterRevision").parse().unwrap_or(0));
        }
        let revision = state.revision;
        state.ranges.push(revision);
        state.page(field("pathPrefix"), field("afterRevision"))
    }
}

impl StoreState {
    fn item(&self, key: &str) -> Option<String> {
        let Item { value, revision, made } = self.items.get(key)?;
        Some(format!(
            r#"{{"tlsKey":"{key}","value":"{value}","revision":{revision},"made":{made},"lease":0}}"#
        ))
    }

    /// The items whose keys begin with `prefix` and come after the key `after`.
    fn page(&self, prefix: &str, after: &str) -> String {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = keys.filter_map(|key| self.item(key)).collect();
        format!(r#"{{"items":[{}],"more":false,"at":{}}}"#, items.join(","), self.revision)
    }

    /// The last change of each key after a revision.
    fn changes(&self, after: u64) -> String {
        let mut changed: Vec<(u64, &String)> =
            self.changed.iter().map(|(key, revision)| (*revision, key)).collect();
        changed.retain(|(revision, _)| *revision > after);
        changed.sort_unstable();
        let event = |(revision, key): &(u64, &String)| {
            self.item(key)
                .unwrap_or_else(|| format!(r#"{{"tlsKey":"{key}","revision":{revision},"gone":true}}"#))
        };
        let events: Vec<String> = changed.iter().map(event).collect();
        format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), self.revision)
    }
}

/// What fills a gap of the template.
enum Field {
    Text(String),
    Table(Vec<(String, String)>),
}

/// Fills the gaps of the template of the deploy file that it uses: values, sections and inverted sections.
fn fill(template: &str, fields: &BTreeMap<&str, Field>, entry: Option<(&str, &str)>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let Some((gap, after)) = after.split_once("}}") else { break };
        rest = after;
        if let Some(name) = gap.strip_prefix(['#', '^']) {
            let end = format!("{{{{/{name}}}}}");
            let Some((inner, after)) = rest.split_once(&end) else { break };
            rest = after;
            match (gap.starts_with('#'), fields.get(name)) {
                (true, Some(Field::Table(entries))) => {
                    for (key, value) in entries {
                        text.push_str(&fill(inner, fields, Some((key, value))));
                    }
                }
                (true, Some(Field::Text(_))) | (false, None) => text.push_str(&fill(inner, fields, entry)),
                _ => {}
            }
            continue;
        }
        match (gap, entry, fields.get(gap)) {
            ("@", Some((key, _)), _) => text.push_str(key),
            (".", Some((_, value)), _) => text.push_str(value),
            (_, _, Some(Field::Text(value))) => text.push_str(value),
            _ => {}
        }
    }
    text + rest
}

/// The settings of the boxes of a case that differ between sites.
#[derive(Clone, Copy)]
pub struct Sheet {
    pub zones: &'static [&'static str],
    /// The region of each zone, in the same order; one for all if there is only one.
    pub regions: &'static [&'static str],
    pub memory_mb: u32,
    pub link_mbps: &'static str,
    pub drain_ms: u32,
    pub revoke_ms: u32,
    pub budget_slack: u32,
    pub evacuate_ms: Option<u32>,
    /// `strictRevoke`.
    pub is_strict: bool,
}

/// A gateway, started with the command of the deploy file; killed when dropped.
pub struct Gateway {
    process: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
}

/// Returns free addresses with ports that the system does not give to outgoing connections, since they are bound later.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    const FIRST_PORT: u32 = 12_000;
    const PORTS: u32 = 18_000;
    let start = std::process::id().wrapping_mul(61);
    let ports = (0..PORTS).map(|index| FIRST_PORT + start.wrapping_add(index) % PORTS);
    let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16)));
    let free: Vec<_> = addresses.filter(|address| TcpListener::bind(address).is_ok()).take(count).collect();
    if free.len() == count { Ok(free) } else { Err("there are too few free ports".to_owned()) }
}

impl Gateway {
    /// Starts `count` gateways that know up to three of them as seeds, and waits until all are ready.
    pub fn start_all(case: &Case, sheet: &Sheet, store: &Store, count: usize) -> Result<Vec<Self>, String> {
        let addresses = free_addresses(3 * count)?;
        let seeds: Vec<String> = addresses.chunks(3).take(3).map(|box_| box_[2].to_string()).collect();
        let mut gateways = Vec::new();
        for (index, box_) in addresses.chunks(3).enumerate() {
            let zone = sheet.zones[index % sheet.zones.len()];
            gateways.push(Self::start(case, sheet, store, index, zone, box_, &seeds.join(","))?);
        }
        Self::wait_until_ready(case, &gateways)?;
        Ok(gateways)
    }

    /// Starts a gateway for each store; the stores name the same runners at other addresses. Each gateway reads its own store
    /// before it hears of the others.
    pub fn start_each(case: &Case, sheet: &Sheet, stores: &[Store]) -> Result<Vec<Self>, String> {
        let addresses = free_addresses(3 * stores.len())?;
        let mut gateways = Vec::new();
        for (index, (box_, store)) in addresses.chunks(3).zip(stores).enumerate() {
            let zone = sheet.zones[index % sheet.zones.len()];
            gateways.push(Self::start(case, sheet, store, index, zone, box_, &box_[2].to_string())?);
        }
        Self::wait_until_ready(case, &gateways)?;
        thread::sleep(Duration::from_secs(1));
        let seeds: Vec<String> = gateways.iter().map(|gateway| gateway.control.to_string()).collect();
        for gateway in &gateways {
            gateway.change_seeds(&seeds.join(","))?;
        }
        Ok(gateways)
    }

    fn wait_until_ready(case: &Case, gateways: &[Self]) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !gateways.iter().all(Self::is_ready) {
            if Instant::now() > deadline {
                return Err("the gateways were not ready within 15 s".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        case.record.line(&format!("{} gateways are ready", gateways.len()));
        Ok(())
    }

    /// Changes the seeds in the settings file, and tells the gateway with SIGHUP.
    fn change_seeds(&self, seeds: &str) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.settings).map_err(|error| error.to_string())?;
        let text = text.replace(&format!("seeds = {}", self.control), &format!("seeds = {seeds}"));
        std::fs::write(&self.settings, text).map_err(|error| error.to_string())?;
        let told = Command::new("sh").args(["-c", &format!("kill -HUP {}", self.process.id())]).status();
        if told.is_ok_and(|status| status.success()) { Ok(()) } else { Err("no SIGHUP was sent".to_owned()) }
    }

    fn start(
        case: &Case,
        sheet: &Sheet,
        store: &Store,
        index: usize,
        zone: &str,
        addresses: &[SocketAddr],
        seeds: &str,
    ) -> Result<Self, String> {
        let name = format!("front-{zone}-{}", index + 1);
        let text = |value: &dyn ToString| Field::Text(value.to_string());
        let region = |index: usize| sheet.regions[index % sheet.regions.len()].to_owned();
        let zones =
            sheet.zones.iter().enumerate().map(|(index, zone)| ((*zone).to_owned(), region(index))).collect();
        let mut fields = BTreeMap::from([
            ("node", text(&name)),
            ("zone", text(&zone)),
            ("listen.front", text(&addresses[0])),
            ("listen.ready", text(&addresses[1])),
            ("listen.control", text(&addresses[2])),
            ("limits.linkMbps", text(&sheet.link_mbps)),
            ("limits.memoryMb", text(&sheet.memory_mb)),
            ("zones", Field::Table(zones)),
            ("platform.address", text(&store.address)),
            ("seeds", text(&seeds)),
            ("bounds.revokeMs", text(&sheet.revoke_ms)),
            ("bounds.drainMs", text(&sheet.drain_ms)),
            ("bounds.budgetRatio", text(&"0.2")),
            ("bounds.budgetSlack", text(&sheet.budget_slack)),
            ("bounds.budgetWindowS", text(&"10")),
            ("bounds.graceS", text(&"8")),
            ("bootstrap", text(&"true")),
        ]);
        if sheet.is_strict {
            fields.insert("bounds.strictRevoke", text(&"true"));
        }
        if let Some(evacuate_ms) = sheet.evacuate_ms {
            fields.insert("bounds.evacuateMs", text(&evacuate_ms));
        }
        let template = case.repository.join("deploy/gateway.ini");
        let template = std::fs::read_to_string(template).map_err(|error| format!("the template: {error}"))?;
        let settings = case.temporary.join(format!("{name}.ini"));
        std::fs::write(&settings, fill(&template, &fields, None)).map_err(|error| error.to_string())?;
        let log =
            File::create(case.temporary.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let process = Command::new("target/release/bendhinge-platform")
            .arg(&settings)
            .current_dir(&case.repository)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", &case.temporary)
            .env("LANG", "C.UTF-8")
            .env("BENDHINGE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/bendhinge-platform: {error}"))?;
        Ok(Self { process, settings, front: addresses[0], ready: addresses[1], control: addresses[2] })
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> Option<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n").ok()?;
            let (first, _) = read_head(&mut BufReader::new(stream))?;
            Some(first.contains(" 200 "))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// What a runner reports: that a run begins or ends.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub runner: String,
    pub request: String,
    pub at_ms: f64,
    /// `begin`, `resume` (a run that goes on at `Last-Event-Id`), `silent`, `whole` or `closed`.
    pub what: String,
}

/// The reports of all runners of a case.
pub type Reports = Arc<Mutex<Vec<RunReport>>>;

/// A runner of a service, in a process of its own; killed when dropped.
pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    process: Child,
    /// The runner ends when this is closed.
    _input: ChildStdin,
}

impl Runner {
    /// Starts a runner and records it in the store.
    pub fn start(
        case: &Case,
        store: &Store,
        reports: &Reports,
        (id, service, zone): (&str, &'static str, &'static str),
        options: &[&str],
    ) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut process = Command::new(program)
            .args(["runner", id, service])
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let address = lines.next().and_then(Result::ok).and_then(|line| line.parse().ok());
        let address: SocketAddr = address.ok_or("a runner did not start")?;
        let input = process.stdin.take().unwrap();
        read_reports(lines, reports, &case.record);
        let started = Self { id: id.to_owned(), service, zone, address, process, _input: input };
        started.write_entry(store, "ready");
        Ok(started)
    }

    /// Writes the runner's entry in the store.
    pub fn write_entry(&self, store: &Store, state: &str) {
        write_entry(store, (&self.id, self.service, self.zone), self.address, state);
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Writes the entry of a runner in the store; returns the revision of the change.
pub fn write_entry(
    store: &Store,
    (id, service, zone): (&str, &str, &str),
    address: SocketAddr,
    state: &str,
) -> u64 {
    let slots = if service == LLM { 64 } else { 6 };
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1}}"#
        ),
    )
}

/// Collects what a process of runners reports.
fn read_reports(lines: std::io::Lines<BufReader<ChildStdout>>, reports: &Reports, record: &Record) {
    let (reports, record) = (Arc::clone(reports), record.clone());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            let words: Vec<&str> = line.splitn(5, ' ').collect();
            let [at, what, request, runner, detail] = words[..] else { continue };
            let at_ms = at.parse().unwrap_or_default();
            record.line_at(at_ms, &format!("runner {runner}: {what} {request} {detail}"));
            let [runner, request, what] = [runner, request, what].map(str::to_owned);
            reports.lock().unwrap().push(RunReport { runner, request, at_ms, what });
        }
    });
}

/// Many runners of the language models in one process, with an id and an address each; killed when dropped.
pub struct RunnerPool {
    pub runners: Vec<(String, SocketAddr)>,
    process: Child,
    _input: ChildStdin,
}

impl RunnerPool {
    pub fn start(case: &Case, reports: &Reports, count: usize, options: &[&str]) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut process = Command::new(program)
            .args(["runners", &count.to_string(), LLM])
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let mut runners = Vec::new();
        for line in lines.by_ref().take(count).map_while(Result::ok) {
            let (id, address) = line.split_once(' ').ok_or("a runner did not start")?;
            runners.push((id.to_owned(), address.parse().map_err(|_| "a runner has no address")?));
        }
        let input = process.stdin.take().unwrap();
        read_reports(lines, reports, &case.record);
        Ok(Self { runners, process, _input: input })
    }
}

impl Drop for RunnerPool {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The service of language models, and the plain service.
pub const LLM: &str = "advisor-llm";
pub const PORTAL: &str = "applicant-portal";
pub const HOST: &str = "fjordvei.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Writes the configuration, with the routes of the site's sheet and one tenant. `homes` is the region in which receipts
/// are to stay.
pub fn write_configuration(store: &Store, homes: Option<&str>) {
    write_version(store, 7, homes, &[("hule930", &[KEY])]);
}

/// Writes a version of the configuration with tenants and their keys.
pub fn write_version(store: &Store, version: u32, homes: Option<&str>, tenants: &[(&str, &[&str])]) {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 service: &str,
                 timeout: u32,
                 target: u32,
                 rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{target},"service":"{service}","allowAnonymous":false,{rest}}}"#
        )
    };
    let once = r#""priority":2,"maxAttempts":1,"sticky":true,"canResume":false,"targetGapMs":300"#;
    let resumed = r#""priority":0,"maxAttempts":2,"sticky":true,"canResume":true,"targetGapMs":300"#;
    let plain = r#""priority":2,"maxAttempts":2,"sticky":false,"canResume":false"#;
    let tenants = tenants.iter().map(|(name, keys)| {
        let keys: Vec<String> = keys.iter().map(|key| format!(r#""{key}""#)).collect();
        format!(r#"{{"name":"{name}","apiKeys":[{}],"priority":1}}"#, keys.join(","))
    });
    let tenants: Vec<String> = tenants.collect();
    let unsafe_ = r#""priority":2,"maxAttempts":1,"sticky":false,"canResume":false"#;
    let homes = homes.map(|home| format!(r#","allowedRegions":["{home}"]"#)).unwrap_or_default();
    let routes = [
        route("r-receipt", "/doc-receipt/", "unsafe", PORTAL, 1_500, 300, &format!("{unsafe_}{homes}")),
        route("r-rewrite", "/post-rewrite/", "streaming", LLM, 10_000, 300, resumed),
        route("r-quota", "/quota-query/", "streaming", LLM, 4_000, 500, resumed),
        route("r-chat", "/guidance-chat/", "streaming", LLM, 15_000, 400, once),
        route("r-status", "/deadline-status/", "safe", PORTAL, 1_500, 300, plain),
    ];
    store.put(
        "op/config",
        &format!(
            r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{LLM}","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":232000,"tokenKvBytes":327680,"linkMbps":550000.0,"moves":true,"backups":true,"stride":3,"most":2,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"{PORTAL}","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
            routes.join(","),
            tenants.join(",")
        ),
    );
}

/// The head and body of a request; `stream` adds the headers of a request to the language models.
pub fn request_text(id: &str, path: &str, deadline_ms: u32, stream: bool) -> String {
    let mut text = String::new();
    let (method, body) = if stream { ("POST", "the body of the request") } else { ("GET", "") };
    let _ = write!(
        text,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    );
    if stream {
        let part = &id[id.len() - 8..];
        let _ = write!(text, "Model: m\r\nToken-Usage: 560,90\r\nPrompt-Prefix: 5c1e07a2:340,{part}:220\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text
}

/// Returns the ID of a further request.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// An answer as its client saw it.
pub struct Answer {
    pub status: u16,
    /// The number of events whose blank line arrived.
    pub events: usize,
    /// Whether its framing says that it is whole.
    pub is_complete: bool,
    /// Why reading ended, if not at the end of the answer.
    pub end: String,
}

/// Reads an answer in chunks or with a length. A client gives a stream up after a gap of `patience`.
pub fn read_answer(stream: &TcpStream, patience: Duration) -> Answer {
    let mut answer = Answer { status: 0, events: 0, is_complete: false, end: String::new() };
    let _ = stream.set_read_timeout(Some(patience));
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else {
        answer.end = "no answer".to_owned();
        return answer;
    };
    answer.status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    answer.is_complete = if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        reader.read_exact(&mut body).is_ok()
    } else {
        read_chunks(&mut reader, &mut body)
    };
    answer.events = String::from_utf8_lossy(&body).matches("\n\n").count();
    if !answer.is_complete {
        answer.end = "cut or given up".to_owned();
    }
    answer
}

/// Returns whether the last chunk arrived.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).is_err() || !size.ends_with('\n') {
            return false;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
