//! Processes that this tool starts, and ends by their ids.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Why a process could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program is not there or cannot be run.
    #[error("cannot start {0}: {1}; build the workspace first")]
    Spawn(PathBuf, std::io::Error),
    /// It ended before it told all its addresses.
    #[error("{0} ended before it told its addresses")]
    Ended(PathBuf),
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it listens on, by name.
    pub addresses: HashMap<String, SocketAddr>,
}

/// The folder of this program, where its siblings are built too.
pub(crate) fn programs() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new(".")).to_owned();
    // Tests are built one folder below the programs.
    if folder.ends_with("deps") { folder.parent().unwrap_or(&folder).to_owned() } else { folder }
}

/// The most memory that a running process has used, in bytes.
pub(crate) fn peak_memory(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.expect("the process runs") << 10
}

impl Process {
    /// Starts a program of this workspace and waits until it has told `addresses` addresses.
    pub fn start(program: &str, args: &[String], addresses: usize) -> Result<Self, StartError> {
        let path = programs().join(program);
        let mut command = Command::new(&path);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        if std::env::var_os("BENDHINGE_LAB_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().map_err(|error| StartError::Spawn(path.clone(), error))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut process = Self { child, addresses: HashMap::new() };
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if let Some((name, address)) = listening(&line) {
                process.addresses.insert(name, address);
            }
            if process.addresses.len() == addresses {
                return Ok(process);
            }
        }
        Err(StartError::Ended(path))
    }

    /// The address called `name`.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The most memory that it has used, in bytes.
    ///
    /// # Panics
    ///
    /// If it has ended.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        peak_memory(self.id())
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // It may have ended already.
            let _ = kill_process(id, signal);
        }
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes it, and waits until every one of its threads has stopped.
    pub fn freeze(&self) {
        const POLL: Duration = Duration::from_millis(1);
        self.signal(Signal::STOP);
        while self.has_running_thread() {
            std::thread::sleep(POLL);
        }
    }

    /// Whether a thread is in another state than stopped (proc(5)); false once it has ended.
    fn has_running_thread(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let threads = threads.into_iter().flatten().flatten();
        threads.into_iter().any(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().next());
            state.is_some_and(|state| !matches!(state, "T" | "t" | "Z" | "X"))
        })
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
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

    /// Processor time used so far, and memory held now; `None` once it has ended.
    #[must_use]
    pub fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::read(self.child.id())
    }
}

/// Waits for a process's end; `None` if it takes longer than `time`.
pub(crate) fn wait_for(child: &mut Child, time: Duration) -> Option<ExitStatus> {
    const POLL: Duration = Duration::from_millis(10);
    let until = Instant::now() + time;
    while Instant::now() < until {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        std::thread::sleep(POLL);
    }
    None
}

/// What a process uses.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub memory_kib: u64,
}

impl ProcessUsage {
    /// Reads the kernel's account of process `id` (proc(5)).
    #[must_use]
    pub fn read(id: u32) -> Option<Self> {
        const TICK: Duration = Duration::from_millis(10);
        const USER_TIME: usize = 11;
        const SYSTEM_TIME: usize = 12;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<u32>().ok());
        let cpu = TICK * (ticks(USER_TIME)? + ticks(SYSTEM_TIME)?);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kib = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self { cpu, memory_kib })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn listening(line: &str) -> Option<(String, SocketAddr)> {
    let mut words = line.strip_prefix("listening ")?.split(' ');
    let name = words.next()?.to_owned();
    let address = words.next()?.parse().ok()?;
    Some((name, address))
}
