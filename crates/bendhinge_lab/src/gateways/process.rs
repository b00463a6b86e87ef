//! One gateway's process.

use std::collections::HashMap;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

use crate::process::{StartError, peak_memory, programs, wait_for};

/// The key that gateways of tests share.
pub const PEER_KEY: &str = "a-key-for-tests-only";

/// The lease of a test that says nothing of it: longer than any of their outages.
const USUAL_BELIEFS: &str = "[beliefs]\nrules_lease_ms = 5000\n";

/// The data centre of gateways that are not placed elsewhere.
pub(super) const USUAL_DATA_CENTRE: &str = "south";

/// What a gateway is started with.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// Where it listens for callers, balancers and peers; port 0 takes a free one.
    pub addresses: HashMap<&'static str, SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// Gateways to look for.
    pub seeds: Vec<SocketAddr>,
    /// Further lines, whole sections.
    pub sections: String,
}

impl GatewaySettings {
    fn text(&self) -> String {
        let address = |what| {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            self.addresses.get(what).copied().unwrap_or(any)
        };
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = writeln!(text, "[gateway]\nname = {}\ndata_centre = {}", self.name, self.data_centre);
        for what in ["callers", "ready", "peers"] {
            let _ = writeln!(text, "{what} = {}", address(what));
        }
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let _ = writeln!(text, "[store]\naddress = {}", self.store);
        let _ = writeln!(text, "[fleet]\nkey = {PEER_KEY}\nseeds = {}", seeds.join(","));
        if !self.sections.contains("[beliefs]") {
            text.push_str(USUAL_BELIEFS);
        }
        text.push_str(&self.sections);
        text
    }
}

/// A running gateway; killed when dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    file: PathBuf,
    /// What it listens on, by name.
    pub addresses: HashMap<String, SocketAddr>,
    lines: Arc<Mutex<Vec<String>>>,
    /// Held while its lines are not to be read.
    reading: Arc<ReadingGate>,
}

/// Lets a reader through, or not.
#[derive(Debug, Default)]
struct ReadingGate {
    is_closed: Mutex<bool>,
    changed: Condvar,
}

impl ReadingGate {
    fn set(&self, is_closed: bool) {
        *self.is_closed.lock().unwrap() = is_closed;
        self.changed.notify_all();
    }

    fn pass(&self) {
        let mut is_closed = self.is_closed.lock().unwrap();
        while *is_closed {
            is_closed = self.changed.wait(is_closed).unwrap();
        }
    }
}

impl GatewayProcess {
    /// Starts a gateway and waits until it listens.
    pub fn start(settings: &GatewaySettings) -> Result<Self, StartError> {
        const ADDRESSES: usize = 3;
        let path = programs().join("bendhinge-gateway");
        let file =
            std::env::temp_dir().join(format!("bendhinge-{}-{:x}.ini", settings.name, rand::random::<u64>()));
        std::fs::write(&file, settings.text()).map_err(|error| StartError::Spawn(file.clone(), error))?;
        let mut command = Command::new(&path);
        command.arg(&file).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|error| StartError::Spawn(path.clone(), error))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (tell, told) = channel();
        let kept = Arc::clone(&lines);
        let reading = Arc::new(ReadingGate::default());
        let gate = Arc::clone(&reading);
        std::thread::spawn(move || keep_lines(stdout, &kept, &tell, &gate));
        let addresses = first_addresses(&told, ADDRESSES);
        let process = Self { child, file, addresses, lines, reading };
        if process.addresses.len() == ADDRESSES { Ok(process) } else { Err(StartError::Ended(path)) }
    }

    /// The address called `name`.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Its lines so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Stops reading its lines, so that what it writes has nowhere to go.
    pub fn stop_reading(&self) {
        self.reading.set(true);
    }

    /// Reads its lines again.
    pub fn read_on(&self) {
        self.reading.set(false);
    }

    /// Writes its settings anew, without telling it.
    pub fn write_settings(&self, settings: &GatewaySettings) -> std::io::Result<()> {
        std::fs::write(&self.file, settings.text())
    }

    /// The most memory that it has used, in bytes.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        peak_memory(self.child.id())
    }

    /// Limits the descriptors that it may have.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn limit_descriptors(&self, count: u64) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let limit = Rlimit { current: Some(count), maximum: Some(count) };
        prlimit(id, Resource::Nofile, limit).expect("the process runs");
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // It may have ended already.
            let _ = kill_process(id, signal);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end; `None` if it takes longer than `time`.
    pub fn wait(&mut self, time: Duration) -> Option<ExitStatus> {
        wait_for(&mut self.child, time)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.reading.set(false);
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn keep_lines(
    stdout: ChildStdout,
    lines: &Mutex<Vec<String>>,
    tell: &Sender<(String, SocketAddr)>,
    gate: &ReadingGate,
) {
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        gate.pass();
        if let Some(listening) = listening(&line) {
            // Nobody waits any more once all addresses are known.
            let _ = tell.send(listening);
        }
        lines.lock().unwrap().push(line);
    }
}

fn listening(line: &str) -> Option<(String, SocketAddr)> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line["event"] != "listening" {
        return None;
    }
    Some((line["what"].as_str()?.to_owned(), line["address"].as_str()?.parse().ok()?))
}

fn first_addresses(told: &Receiver<(String, SocketAddr)>, count: usize) -> HashMap<String, SocketAddr> {
    told.iter().take(count).collect()
}
