//! A seeded soak of sound upstreams that fall silent for a second or so and go on, while rules and settings change,
//! gateways are killed and stopped and upstreams are replaced. A gateway that runs throughout may cut no response.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::Tasks;
use bendhinge_standin::gateway::{Run, Silence, Upstream};
use futures_lite::future;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

use super::caller::{Call, Told};
use super::fleet::{FleetShape, GatewayFleet, KEY, RULES, StartedUpstream, until};
use super::process::GatewayProcess;
use super::soak::{Findings, Sent, any_call, check_one};

const SHAPE: FleetShape = FleetShape { gateways: 3, engines: 4, services: 3 };
const SILENCES: u32 = 10;
const CALLERS: usize = 24;
/// The time between events, so that streams are in progress when their upstreams fall silent.
const PACE: Duration = Duration::from_millis(30);
/// How long callers wait. A response may wait for several silences.
const DEADLINE: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(40);
/// No response takes so long without a silence, unless the box is overloaded.
const SHORTEST_SILENCE: Duration = Duration::from_millis(500);
const KINDS: [&str; 5] = ["/safe/x", "/unsafe/x", "/open/x", "/stream/x", "/resumable/x"];
const SECTIONS: &str = "\
[stop]
grace_s = 3
accept_ms = 300
[load]
shared_response_times = yes
permits = yes
admission = yes
popular_prompts = yes
[retries]
assume_spent = yes
[forwarding]
enabled = yes
";

/// A call, its answer, and where and when it was sent.
struct Exchange {
    sent: Sent,
    gateway: usize,
    began_at: Instant,
    ended_at: Instant,
}

/// A time in which a gateway stops, is down or starts.
struct Outage {
    gateway: usize,
    began_at: Instant,
    ended_at: Option<Instant>,
}

impl Outage {
    fn concerns(&self, exchange: &Exchange) -> bool {
        self.gateway == exchange.gateway
            && self.began_at <= exchange.ended_at
            && self.ended_at.is_none_or(|end| exchange.began_at <= end)
    }
}

struct Soak {
    fleet: RefCell<GatewayFleet>,
    /// The upstreams that are listed and do not leave, and those that leave.
    listed: RefCell<Vec<Upstream>>,
    leaving: RefCell<Vec<Upstream>>,
    exchanges: RefCell<Vec<Exchange>>,
    outages: RefCell<Vec<Outage>>,
    /// The lines of gateways that have ended.
    lines: RefCell<Vec<String>>,
    rules_version: Cell<u32>,
    is_over: Cell<bool>,
}

/// Runs the soak of `seed`: the same events in the same order, each at a time that depends on the box.
pub async fn silence_soak(tasks: &Tasks, seed: u64) -> Findings {
    let fleet = GatewayFleet::start(tasks, SHAPE, SECTIONS).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.set_pace(PACE));
    let soak = Rc::new(Soak {
        listed: RefCell::new(fleet.upstreams.clone()),
        leaving: RefCell::default(),
        fleet: RefCell::new(fleet),
        exchanges: RefCell::default(),
        outages: RefCell::default(),
        lines: RefCell::default(),
        rules_version: Cell::new(1),
        is_over: Cell::new(false),
    });
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    soak.put_rules(&mut random);
    soak.until_rules_allow_silences().await;
    let local = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|number| local.spawn(call_repeatedly(Rc::clone(&soak), seed.wrapping_add(number << 32))))
        .collect();
    let mut random_silences = ChaCha8Rng::seed_from_u64(!seed);
    let striking = async {
        future::zip(soak.fall_silent(&mut random_silences), soak.strike(&mut random)).await;
        for caller in callers {
            caller.await;
        }
        soak.restart_ended();
        soak.unserved().await
    };
    let unserved = local.run(striking).await;
    let mut findings = soak.findings();
    findings.broken.extend(unserved);
    findings
}

/// Sends one call after the other on connections that stay open.
async fn call_repeatedly(soak: Rc<Soak>, seed: u64) {
    const PAUSE: Duration = Duration::from_millis(4);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let caller = soak.fleet.borrow().caller();
    while !soak.is_over.get() {
        let call = Call { deadline: DEADLINE, ..any_call(&mut random) };
        let gateway = random.random_range(0..SHAPE.gateways);
        let address = soak.fleet.borrow().callers(gateway);
        let began_at = Instant::now();
        let answer = caller.send(address, &call, PATIENCE).await;
        let sent = Sent { call, answer };
        soak.exchanges.borrow_mut().push(Exchange { sent, gateway, began_at, ended_at: Instant::now() });
        Timer::after(PAUSE).await;
    }
}

impl Soak {
    /// Some upstreams fall silent and go on, several times.
    async fn fall_silent(&self, random: &mut ChaCha8Rng) {
        for _ in 0..SILENCES {
            let silence = if random.random_ratio(2, 3) { Silence::Events } else { Silence::Answers };
            let mut silent = self.listed.borrow().clone();
            silent.extend(self.leaving.borrow().iter().cloned());
            silent.shuffle(random);
            match random.random_range(0..3) {
                0 => silent.truncate(1),
                1 => silent.truncate(random.random_range(2..SHAPE.engines + SHAPE.services)),
                _ => {}
            }
            for upstream in &silent {
                upstream.set_silence(silence);
            }
            let length = SHORTEST_SILENCE + Duration::from_millis(random.random_range(0..=1_500));
            Timer::after(length).await;
            for upstream in &silent {
                upstream.set_silence(Silence::None);
            }
            Timer::after(Duration::from_millis(random.random_range(50..600))).await;
        }
        self.is_over.set(true);
    }

    async fn strike(&self, random: &mut ChaCha8Rng) {
        while !self.is_over.get() {
            Timer::after(Duration::from_millis(random.random_range(50..600))).await;
            let gateway = random.random_range(0..SHAPE.gateways);
            match random.random_range(0..9) {
                0..=2 => self.put_rules(random),
                3 => self.reload_settings(gateway),
                4 => self.kill(gateway, random).await,
                5 => self.stop(gateway).await,
                _ => self.release(random).await,
            }
        }
    }

    /// Changes the rules, so that requests in progress may go on.
    fn put_rules(&self, random: &mut ChaCha8Rng) {
        let version = self.rules_version.get() + 1;
        self.rules_version.set(version);
        let timeout = format!("timeout_ms = {}", random.random_range(40_000..60_000));
        let mut rules = RULES
            .replace("version = 1", &format!("version = {version}"))
            .replace("timeout_ms = 3000", &timeout)
            .replace("timeout_ms = 5000", &timeout)
            .replace("gap_ms = 100", &format!("gap_ms = {}", random.random_range(80..200)))
            .replace("target_ms = 500", &format!("target_ms = {}", random.random_range(300..700)))
            .replace("key-one, key-two", if random.random() { "key-one" } else { "key-one, key-two" });
        rules.push_str(
            "[route.patient]\nhost = fleet.example\npath = /patient/\nkind = safe\npools = services\n",
        );
        rules.push_str("timeout_ms = 40000\ntarget_ms = 300\n");
        for number in 0..random.random_range(0..40) {
            // Writing to a string does not fail.
            let _ = writeln!(rules, "[customer.other-{number}]\nkeys = other-key-{number}");
        }
        self.fleet.borrow().store.put_rules(&rules);
    }

    /// Waits until all gateways hold rules under which a response may wait for silences.
    #[expect(clippy::await_holding_refcell_ref, reason = "nothing else runs yet")]
    async fn until_rules_allow_silences(&self) {
        let fleet = self.fleet.borrow();
        for gateway in 0..SHAPE.gateways {
            let is_known = async || {
                let call = Call::new("/patient/x", KEY);
                fleet.caller().send(fleet.callers(gateway), &call, PATIENCE).await.told == Told::Whole
            };
            until(is_known).await;
        }
    }

    /// Lets a gateway read its settings again.
    fn reload_settings(&self, gateway: usize) {
        let fleet = self.fleet.borrow();
        if let Some(process) = &fleet.gateways[gateway] {
            process.write_settings(&fleet.settings[gateway]).expect("its settings can be written");
            process.signal(Signal::HUP);
        }
    }

    /// Kills a gateway and starts it again after a while.
    async fn kill(&self, gateway: usize, random: &mut ChaCha8Rng) {
        self.begin_outage(gateway);
        if let Some(process) = &mut self.fleet.borrow_mut().gateways[gateway] {
            process.kill();
        }
        Timer::after(Duration::from_millis(random.random_range(0..500))).await;
        self.restart_ended();
    }

    /// Asks a gateway to stop and starts it again when it has ended.
    async fn stop(&self, gateway: usize) {
        self.begin_outage(gateway);
        if let Some(process) = &self.fleet.borrow().gateways[gateway] {
            process.signal(Signal::TERM);
        }
        until(async || self.has_ended(gateway)).await;
        self.restart_ended();
    }

    fn begin_outage(&self, gateway: usize) {
        let outage = Outage { gateway, began_at: Instant::now(), ended_at: None };
        self.outages.borrow_mut().push(outage);
    }

    fn has_ended(&self, gateway: usize) -> bool {
        let process = &mut self.fleet.borrow_mut().gateways[gateway];
        process.as_mut().is_none_or(|process| process.wait(Duration::from_millis(1)).is_some())
    }

    /// Starts the gateways again that have ended.
    fn restart_ended(&self) {
        for gateway in 0..SHAPE.gateways {
            if self.has_ended(gateway) {
                let mut fleet = self.fleet.borrow_mut();
                if let Some(process) = fleet.gateways[gateway].take() {
                    self.lines.borrow_mut().extend(process.lines());
                }
                fleet.restart(gateway);
                let mut outages = self.outages.borrow_mut();
                let open = outages.iter_mut().filter(|outage| outage.gateway == gateway);
                open.for_each(|outage| outage.ended_at = outage.ended_at.or_else(|| Some(Instant::now())));
            }
        }
    }

    /// Replaces an upstream: another one of its pool is added and it is drained. Those that were drained before and have
    /// no requests left are removed.
    async fn release(&self, random: &mut ChaCha8Rng) {
        let index = random.random_range(0..self.listed.borrow().len());
        let name = self.listed.borrow()[index].name();
        let pool = if name.starts_with("engines") { "engines" } else { "services" };
        let number = self.fleet.borrow().upstreams.len();
        let tasks = Arc::clone(&self.fleet.borrow().tasks);
        let started = StartedUpstream::start(&tasks, &format!("{pool}-{number}")).await;
        let mut fleet = self.fleet.borrow_mut();
        fleet.adopt(pool, started);
        let added = fleet.upstreams.last().expect("one was added").clone();
        added.set_pace(PACE);
        let drained = std::mem::replace(&mut self.listed.borrow_mut()[index], added);
        fleet.store.drain(&name);
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|upstream| {
            let is_idle = upstream.working() == 0;
            if is_idle {
                fleet.store.remove(&upstream.name());
            }
            !is_idle
        });
        leaving.push(drained);
    }

    /// Returns the kinds of requests that a gateway does not serve after all silences.
    #[expect(clippy::await_holding_refcell_ref, reason = "strikes and callers are over")]
    async fn unserved(&self) -> Vec<String> {
        const ATTEMPTS: u32 = 100;
        const PAUSE: Duration = Duration::from_millis(50);
        let fleet = self.fleet.borrow();
        let caller = fleet.caller();
        let mut unserved = Vec::new();
        for gateway in 0..SHAPE.gateways {
            for path in KINDS {
                let is_stream = path.starts_with("/stream") || path.starts_with("/resumable");
                let mut told = Told::Broken;
                for _ in 0..ATTEMPTS {
                    let call = if is_stream { Call::stream(path, KEY) } else { Call::new(path, KEY) };
                    told = caller.send(fleet.callers(gateway), &call, PATIENCE).await.told;
                    if matches!(told, Told::Whole | Told::Wrong(_)) {
                        break;
                    }
                    Timer::after(PAUSE).await;
                }
                if told != Told::Whole {
                    unserved.push(format!("{path} at gateway {gateway} after the silences: {told:?}"));
                }
            }
        }
        unserved
    }

    /// Checks every promise.
    fn findings(&self) -> Findings {
        let fleet = self.fleet.borrow();
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in fleet.upstreams.iter().flat_map(Upstream::runs) {
            runs.entry(run.request.clone()).or_default().push(run);
        }
        let outages = self.outages.borrow();
        let mut findings = Findings::default();
        for exchange in self.exchanges.borrow().iter() {
            let Exchange { sent, gateway, began_at, ended_at } = exchange;
            let Sent { call, answer } = sent;
            check_one(sent, runs.get(&call.id).map_or(&[][..], Vec::as_slice), &mut findings.broken);
            let duration = *ended_at - *began_at;
            let is_interrupted = outages.iter().any(|outage| outage.concerns(exchange));
            let code = answer.code().map(|code| format!(" {code}")).unwrap_or_default();
            let mut name = format!("{:?}{code}", answer.told);
            if answer.told == Told::Whole && duration >= SHORTEST_SILENCE {
                name.push_str(" after a silence");
            } else if is_interrupted {
                name.push_str(" at a gateway that ended");
            } else if is_cut(&answer.told) {
                findings.broken.push(format!(
                    "{} {}: {:?} after {duration:?} at gateway {gateway}: {}",
                    call.path,
                    call.id,
                    answer.told,
                    self.line_of(*gateway, &call.id)
                ));
            }
            *findings.told.entry(name).or_default() += 1;
        }
        findings
    }

    /// Returns the line that a gateway wrote of a request.
    fn line_of(&self, gateway: usize, request: &str) -> String {
        let fleet = self.fleet.borrow();
        let lines = fleet.gateways[gateway].as_ref().map(GatewayProcess::lines).unwrap_or_default();
        let ended = self.lines.borrow();
        let line = lines.iter().chain(&*ended).find(|line| line.contains(request));
        line.cloned().unwrap_or_else(|| "no line".to_owned())
    }
}

/// Whether a gateway cut the response of a sound upstream. It may refuse a request that it has not sent.
const fn is_cut(told: &Told) -> bool {
    !matches!(told, Told::Whole | Told::Status(429 | 503) | Told::Wrong(_))
}
