//! A seeded soak of engines that crash under a part of prompts and by themselves, while gateways are killed, stopped,
//! paused and reloaded and rules change. Few requests with the part may reach engines once gateways can know it, and
//! requests without it may not be blamed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bendhinge_http::Tasks;
use bendhinge_standin::gateway::{Framing, Run};
use futures_lite::future;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

use super::caller::{Call, Told};
use super::crashing_engines::CrashingEngines;
use super::fleet::{FleetShape, GatewayFleet, KEY, RULES, until};
use super::soak::{Findings, Sent, check_one};

const SHAPE: FleetShape = FleetShape { gateways: 4, engines: 10, services: 0 };
const SECTIONS: &str = "\
[stop]
grace_s = 3
accept_ms = 300
[load]
admission = yes
popular_prompts = yes
[retries]
assume_spent = yes
[forwarding]
enabled = yes
[quarantine]
prompt_parts = yes
";
const LASTS: Duration = Duration::from_secs(18);
const CALLERS: usize = 12;
const PATIENCE: Duration = Duration::from_secs(20);
/// The part under which engines crash.
const CRASHING_PART: u64 = 666;
/// The time within which gateways that reach each other know of the same crashes.
const CONTACT: Duration = Duration::from_secs(3);
/// The number of crashes after which the part has to be known, and how many requests may reach engines after that.
const CRASHES_UNTIL_KNOWN: usize = 5;
const MAX_LATE: usize = 3;

struct Exchange {
    sent: Sent,
    gateway: usize,
    has_part: bool,
}

/// A time in which a gateway is paused, stops, is down or starts.
struct Outage {
    gateway: usize,
    began_at: Instant,
    ended_at: Option<Instant>,
}

impl Outage {
    /// Whether it was over for less than [`CONTACT`] at an instant.
    fn concerns(&self, gateway: usize, at: Instant) -> bool {
        self.gateway == gateway
            && self.began_at <= at
            && self.ended_at.is_none_or(|ended_at| at < ended_at + CONTACT)
    }
}

struct Soak {
    fleet: RefCell<GatewayFleet>,
    engines: CrashingEngines,
    exchanges: RefCell<Vec<Exchange>>,
    outages: RefCell<Vec<Outage>>,
    rules_version: Cell<u32>,
    is_over: Cell<bool>,
}

/// Runs the soak of `seed`: the same events in the same order, each at a time that depends on the box.
pub async fn part_soak(tasks: &Tasks, seed: u64) -> Findings {
    let fleet = GatewayFleet::start(tasks, SHAPE, SECTIONS).await;
    let soak = Rc::new(Soak {
        engines: CrashingEngines::new(&fleet, Some(CRASHING_PART)),
        fleet: RefCell::new(fleet),
        exchanges: RefCell::default(),
        outages: RefCell::default(),
        rules_version: Cell::new(1),
        is_over: Cell::new(false),
    });
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    if random.random() {
        soak.engines.set_framing(Framing::UntilClose);
    }
    let local = LocalExecutor::new();
    let sound = (0..CALLERS as u64)
        .map(|number| local.spawn(send_sound(Rc::clone(&soak), seed.wrapping_add(number << 32))));
    let callers: Vec<_> = sound.collect();
    let crashing = local.spawn(send_crashing(Rc::clone(&soak), !seed));
    let ending = async {
        Timer::after(LASTS).await;
        soak.is_over.set(true);
    };
    let playing = async {
        future::zip(soak.strike(&mut random), ending).await;
        for caller in callers {
            caller.await;
        }
        crashing.await;
    };
    local.run(playing).await;
    soak.findings()
}

/// Sends one sound request after the other.
async fn send_sound(soak: Rc<Soak>, seed: u64) {
    const PAUSE: Duration = Duration::from_millis(200);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    while !soak.is_over.get() {
        // One of them is rare.
        let second = 2 + u64::from(random.random_ratio(1, 20));
        let call = stream(&format!("1:2000,{second}:6000"), &mut random);
        soak.send(call, false, &mut random).await;
        Timer::after(PAUSE).await;
    }
}

/// Sends requests with the part that crashes engines, which share their other parts with sound ones.
async fn send_crashing(soak: Rc<Soak>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    Timer::after(Duration::from_secs(1)).await;
    while !soak.is_over.get() {
        let shared = ["1:2000,666:1000", "666:1000,2:6000", "1:2000,2:6000,666:500"];
        let call = stream(shared[random.random_range(0..shared.len())], &mut random);
        soak.send(call, true, &mut random).await;
        Timer::after(Duration::from_millis(random.random_range(50..500))).await;
    }
}

/// A call for a stream whose body, ID and last part are like no other's.
fn stream(shared: &str, random: &mut ChaCha8Rng) -> Call {
    let path = if random.random() { "/stream/x" } else { "/resumable/x" };
    Call {
        id: format!("{:016x}", random.random::<u64>()),
        prompt: Some(format!("{shared},{}:500", random.random_range(1_000..u32::MAX))),
        body: format!("{:x}", random.random::<u64>()),
        ..Call::new(path, KEY)
    }
}

impl Soak {
    async fn send(&self, call: Call, has_part: bool, random: &mut ChaCha8Rng) {
        let gateway = random.random_range(0..SHAPE.gateways);
        let (caller, address) = {
            let fleet = self.fleet.borrow();
            (fleet.caller(), fleet.callers(gateway))
        };
        let answer = caller.send(address, &call, PATIENCE).await;
        self.exchanges.borrow_mut().push(Exchange { sent: Sent { call, answer }, gateway, has_part });
    }

    async fn strike(&self, random: &mut ChaCha8Rng) {
        while !self.is_over.get() {
            Timer::after(Duration::from_millis(random.random_range(300..2_000))).await;
            let gateway = random.random_range(0..SHAPE.gateways);
            match random.random_range(0..6) {
                0 => self.kill(gateway, random).await,
                1 => self.stop(gateway).await,
                2 => self.pause(gateway, random).await,
                3 => self.put_rules(random),
                4 => self.reload_settings(gateway),
                _ => self.engines.crash_one(random.random_range(0..SHAPE.engines)).await,
            }
        }
    }

    /// Kills a gateway and starts it again after a while.
    async fn kill(&self, gateway: usize, random: &mut ChaCha8Rng) {
        self.begin_outage(gateway);
        if let Some(process) = &mut self.fleet.borrow_mut().gateways[gateway] {
            process.kill();
        }
        Timer::after(Duration::from_millis(random.random_range(0..500))).await;
        self.fleet.borrow_mut().restart(gateway);
        self.end_outage();
    }

    /// Asks a gateway to stop and starts it again when it has ended.
    async fn stop(&self, gateway: usize) {
        self.begin_outage(gateway);
        self.signal(gateway, Signal::TERM);
        let has_ended = || {
            let process = &mut self.fleet.borrow_mut().gateways[gateway];
            process.as_mut().is_none_or(|process| process.wait(Duration::from_millis(1)).is_some())
        };
        until(async || has_ended()).await;
        self.fleet.borrow_mut().restart(gateway);
        self.end_outage();
    }

    /// Suspends a gateway for a while.
    async fn pause(&self, gateway: usize, random: &mut ChaCha8Rng) {
        self.begin_outage(gateway);
        self.signal(gateway, Signal::STOP);
        Timer::after(Duration::from_millis(random.random_range(300..2_000))).await;
        self.signal(gateway, Signal::CONT);
        self.end_outage();
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        if let Some(process) = &self.fleet.borrow().gateways[gateway] {
            process.signal(signal);
        }
    }

    fn begin_outage(&self, gateway: usize) {
        self.outages.borrow_mut().push(Outage { gateway, began_at: Instant::now(), ended_at: None });
    }

    fn end_outage(&self) {
        if let Some(outage) = self.outages.borrow_mut().last_mut() {
            outage.ended_at = Some(Instant::now());
        }
    }

    fn put_rules(&self, random: &mut ChaCha8Rng) {
        let version = self.rules_version.get() + 1;
        self.rules_version.set(version);
        let mut rules = RULES.replace("version = 1", &format!("version = {version}"));
        for number in 0..random.random_range(0..20) {
            // Writing to a string does not fail.
            let _ = writeln!(rules, "[customer.other-{number}]\nkeys = other-key-{number}");
        }
        self.fleet.borrow().store.put_rules(&rules);
    }

    /// Lets a gateway read its settings again.
    fn reload_settings(&self, gateway: usize) {
        let fleet = self.fleet.borrow();
        if let Some(process) = &fleet.gateways[gateway] {
            process.write_settings(&fleet.settings[gateway]).expect("its settings can be written");
            process.signal(Signal::HUP);
        }
    }

    /// Checks every promise.
    fn findings(&self) -> Findings {
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in self.engines.runs() {
            runs.entry(run.request.clone()).or_default().push(run);
        }
        let mut findings = Findings::default();
        let known_at = self.engines.crashes_under_part().get(CRASHES_UNTIL_KNOWN - 1).copied();
        let mut late = 0;
        for Exchange { sent, gateway, has_part } in self.exchanges.borrow().iter() {
            let runs = runs.get(&sent.call.id).map_or(&[][..], Vec::as_slice);
            check_one(sent, runs, &mut findings.broken);
            let code = sent.answer.code().unwrap_or_default();
            let kind = if *has_part { "with the part: " } else { "" };
            let name = format!("{kind}{:?} {code}", told(&sent.answer.told));
            *findings.told.entry(name.trim_end().to_owned()).or_default() += 1;
            if !has_part && code == "BH0310" {
                findings.broken.push(format!("{} {} is blamed", sent.call.path, sent.call.id));
            }
            let outages = self.outages.borrow();
            let is_in_touch = |at: Instant| !outages.iter().any(|outage| outage.concerns(*gateway, at));
            let is_late = |run: &&Run| known_at.is_some_and(|known_at| run.at > known_at + CONTACT);
            late += runs.iter().filter(is_late).filter(|run| *has_part && is_in_touch(run.at)).count();
        }
        if late > MAX_LATE {
            findings.broken.push(format!("{late} requests with the part reached engines late"));
        }
        findings.told.insert("crashes".to_owned(), self.engines.crashes().len());
        findings
    }
}

/// Returns the outcome for a caller, without details.
fn told(told: &Told) -> Told {
    match told {
        Told::Wrong(_) => Told::Wrong(String::new()),
        told => told.clone(),
    }
}
