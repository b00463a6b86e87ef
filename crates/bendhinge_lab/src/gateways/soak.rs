//! A seeded soak: callers load a fleet of real processes while faults of all kinds strike, one
//! after the other and at once; afterwards every promise is checked.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{Tasks, run_until};
use bendhinge_standin::gateway::{Framing, Run, StoreFault, Upstream, UpstreamFault};
use hyper::Version;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

use super::caller::{Answer, Call, Told};
use super::fleet::{FleetShape, GatewayFleet, KEY, StartedUpstream, until};
use super::proxy::Harm;

const SHAPE: FleetShape = FleetShape { gateways: 3, engines: 3, services: 2 };
/// Faults that strike.
const STRIKES: u32 = 16;
/// Callers that send at once.
const CALLERS: usize = 12;
/// A lease short enough that faults outlast it.
const SECTIONS: &str = "\
[beliefs]
rules_lease_ms = 2500
[stop]
grace_s = 3
accept_ms = 300
[load]
work = yes
local_first = yes
shared_response_times = yes
permits = yes
admission = yes
popular_prompts = yes
overload_reports = yes
frequent_exchanges = yes
[retries]
assume_spent = yes
[forwarding]
enabled = yes
";

/// What a soak found.
#[derive(Debug, Default)]
pub struct Findings {
    /// Broken promises, in words; empty if all held.
    pub broken: Vec<String>,
    /// How many calls were told what.
    pub told: BTreeMap<String, usize>,
}

pub(super) struct Sent {
    pub(super) call: Call,
    pub(super) answer: Answer,
}

/// What callers and strikes share.
struct Soak {
    fleet: RefCell<GatewayFleet>,
    sent: RefCell<Vec<Sent>>,
    is_over: RefCell<bool>,
}

/// The seeds of a soak: those that `BENDHINGE_SOAK_SEEDS` names as `FROM..TO`, or the `usual` ones.
///
/// # Panics
///
/// If the variable has another form.
#[must_use]
pub fn soak_seeds(usual: &[u64]) -> Vec<u64> {
    let Ok(range) = std::env::var("BENDHINGE_SOAK_SEEDS") else { return usual.to_vec() };
    let (from, to) = range.split_once("..").expect("FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Runs a soak, and its tasks for a moment more: they hold the executor alive that holds them, so that a connection which
/// none of them sees the end of stays open for as long as the process lives.
pub fn run_soak<F: Future<Output = Findings>>(soak: impl FnOnce(Tasks) -> F) -> Findings {
    const CLOSING_TIME: Duration = Duration::from_millis(300);
    let tasks = Tasks::default();
    run_until(&tasks, NonZeroUsize::MIN, async {
        let findings = soak(Tasks::clone(&tasks)).await;
        Timer::after(CLOSING_TIME).await;
        findings
    })
}

/// Runs the soak of `seed`: the same faults in the same order, each at a time that depends on the
/// box.
pub async fn soak(tasks: &Tasks, seed: u64) -> Findings {
    let fleet = GatewayFleet::start(tasks, SHAPE, SECTIONS).await;
    let soak =
        Rc::new(Soak { fleet: RefCell::new(fleet), sent: RefCell::default(), is_over: RefCell::new(false) });
    let local = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|number| local.spawn(call_on(Rc::clone(&soak), seed.wrapping_add(number << 32))))
        .collect();
    let striking = async {
        soak.strike(&mut ChaCha8Rng::seed_from_u64(seed)).await;
        soak.heal().await;
        soak.is_over.replace(true);
        for caller in callers {
            caller.await;
        }
        let mut broken = Vec::new();
        soak.serves_again(&mut broken).await;
        broken
    };
    let mut broken = local.run(striking).await;
    soak.check(&mut broken);
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    for sent in soak.sent.borrow().iter() {
        *told.entry(format!("{:?}", sent.answer.told)).or_default() += 1;
    }
    Findings { broken, told }
}

/// Sends one call after the other on connections that stay open.
async fn call_on(soak: Rc<Soak>, seed: u64) {
    const PATIENCE: Duration = Duration::from_secs(8);
    const PAUSE: Duration = Duration::from_millis(4);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let caller = soak.fleet.borrow().caller();
    while !*soak.is_over.borrow() {
        let call = any_call(&mut random);
        let gateway = random.random_range(0..SHAPE.gateways);
        let address = soak.fleet.borrow().callers(gateway);
        let answer = caller.send(address, &call, PATIENCE).await;
        soak.sent.borrow_mut().push(Sent { call, answer });
        Timer::after(PAUSE).await;
    }
}

pub(super) fn any_call(random: &mut ChaCha8Rng) -> Call {
    let mut call = match random.random_range(0..5) {
        0 => Call::new("/safe/x", KEY),
        1 => Call::new("/unsafe/x", KEY),
        2 => Call::stream("/stream/x", KEY),
        3 => Call::stream("/resumable/x", KEY),
        _ => Call::new("/open/x", KEY),
    };
    call.id = format!("{:016x}", random.random::<u64>());
    call.body = "x".repeat(random.random_range(0..20_000));
    if random.random_ratio(1, 5) {
        call.version = Version::HTTP_10;
    }
    call
}

impl Soak {
    async fn strike(&self, random: &mut ChaCha8Rng) {
        for _ in 0..STRIKES {
            self.one_strike(random).await;
            Timer::after(Duration::from_millis(random.random_range(20..400))).await;
        }
    }

    async fn one_strike(&self, random: &mut ChaCha8Rng) {
        let gateway = random.random_range(0..SHAPE.gateways);
        match random.random_range(0..12) {
            0 => self.kill(gateway, random.random()),
            1 => self.stop(gateway),
            2 => {
                self.signal(gateway, Signal::STOP);
                Timer::after(Duration::from_millis(random.random_range(100..3_500))).await;
                self.signal(gateway, Signal::CONT);
            }
            3 => self.signal(gateway, Signal::HUP),
            4 | 5 => self.harm_upstream(random),
            6..=9 => self.fault_upstream(random),
            10 => self.harm_store(random),
            _ => self.change_upstreams(random).await,
        }
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        if let Some(process) = &self.fleet.borrow().gateways[gateway] {
            process.signal(signal);
        }
    }

    /// Kills a gateway, or starts one again that was killed.
    fn kill(&self, gateway: usize, again_at_once: bool) {
        let mut fleet = self.fleet.borrow_mut();
        match fleet.gateways[gateway].take() {
            Some(mut process) => process.kill(),
            None => return fleet.restart(gateway),
        }
        if again_at_once {
            fleet.restart(gateway);
        }
    }

    /// Asks a gateway to stop; it goes on for a while, and is started again by a later strike.
    fn stop(&self, gateway: usize) {
        let mut fleet = self.fleet.borrow_mut();
        let has_ended = fleet.gateways[gateway]
            .as_mut()
            .is_none_or(|process| process.wait(Duration::from_millis(1)).is_some());
        if has_ended {
            fleet.gateways[gateway] = None;
            fleet.restart(gateway);
        } else {
            drop(fleet);
            self.signal(gateway, Signal::TERM);
        }
    }

    fn harm_upstream(&self, random: &mut ChaCha8Rng) {
        let harm = match random.random_range(0..6) {
            0 => Harm::Delay(Duration::from_millis(random.random_range(5..120))),
            1 => Harm::Reset,
            2 => Harm::CutThere,
            3 => Harm::CutBack,
            4 => Harm::Silence,
            _ => Harm::None,
        };
        let fleet = self.fleet.borrow();
        fleet.proxies[random.random_range(0..fleet.proxies.len())].set(harm);
    }

    fn fault_upstream(&self, random: &mut ChaCha8Rng) {
        let fault = match random.random_range(0..14) {
            0 => UpstreamFault::Full,
            1 => UpstreamFault::Unclear,
            2 | 9 => UpstreamFault::Lost,
            3 => UpstreamFault::Crossed,
            4 => UpstreamFault::Unsigned,
            5 => UpstreamFault::Failed,
            6 | 12 => UpstreamFault::BreaksOff(random.random_range(0..8)),
            13 => UpstreamFault::EndsMidEvent(random.random_range(0..8)),
            7 => UpstreamFault::Stalls(random.random_range(0..8)),
            10 => UpstreamFault::AsksForRest("1.5"),
            11 => UpstreamFault::AsksForRestLate("60"),
            _ => UpstreamFault::None,
        };
        let framing = if random.random() { Framing::Framed } else { Framing::UntilClose };
        let fleet = self.fleet.borrow();
        let upstream = &fleet.upstreams[random.random_range(0..fleet.upstreams.len())];
        upstream.set_fault(fault);
        upstream.set_framing(framing);
    }

    fn harm_store(&self, random: &mut ChaCha8Rng) {
        let fleet = self.fleet.borrow();
        match random.random_range(0..6) {
            0 => fleet.store.set_fault(StoreFault::Busy),
            1 => fleet.store.set_fault(StoreFault::Reset),
            2 => fleet.store.set_fault(StoreFault::Slow(Duration::from_millis(random.random_range(50..600)))),
            3 => fleet.store_proxy.set(Harm::Silence),
            4 => fleet.store_proxy.set(Harm::Reset),
            _ => {
                fleet.store.set_fault(StoreFault::None);
                fleet.store_proxy.set(Harm::None);
            }
        }
    }

    /// An upstream comes, and another leaves.
    async fn change_upstreams(&self, random: &mut ChaCha8Rng) {
        let number = self.fleet.borrow().upstreams.len();
        let tasks = Arc::clone(&self.fleet.borrow().tasks);
        let pool = if random.random() { "engines" } else { "services" };
        let started = StartedUpstream::start(&tasks, &format!("{pool}-{number}")).await;
        self.fleet.borrow_mut().adopt(pool, started);
        let fleet = self.fleet.borrow();
        let name = fleet.upstreams[random.random_range(0..number)].name();
        // The first of each pool stay, so that the fleet can serve in the end.
        if !name.ends_with("-0") {
            fleet.store.drain(&name);
        }
    }

    /// Undoes all faults and starts what is down.
    async fn heal(&self) {
        {
            let mut fleet = self.fleet.borrow_mut();
            fleet.store.set_fault(StoreFault::None);
            fleet.store_proxy.set(Harm::None);
            fleet.proxies.iter().for_each(|proxy| proxy.set(Harm::None));
            fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::None));
            for gateway in 0..SHAPE.gateways {
                if let Some(process) = &fleet.gateways[gateway] {
                    process.signal(Signal::CONT);
                }
            }
            for gateway in 0..SHAPE.gateways {
                if let Some(mut process) = fleet.gateways[gateway].take() {
                    // It may have been asked to stop a moment ago: all are started anew.
                    process.kill();
                }
                fleet.restart(gateway);
            }
        }
        self.until_ready().await;
    }

    #[expect(clippy::await_holding_refcell_ref, reason = "only strikes borrow mutably, and they are over")]
    async fn until_ready(&self) {
        self.fleet.borrow().until_ready().await;
    }

    /// Every kind of request is served by every gateway after all faults.
    async fn serves_again(&self, broken: &mut Vec<String>) {
        const PATIENCE: Duration = Duration::from_secs(10);
        let caller = self.fleet.borrow().caller();
        for gateway in 0..SHAPE.gateways {
            let address = self.fleet.borrow().callers(gateway);
            for path in ["/safe/x", "/unsafe/x", "/open/x", "/stream/x", "/resumable/x"] {
                let is_stream = path.starts_with("/stream") || path.starts_with("/resumable");
                let served = async || {
                    let call = if is_stream { Call::stream(path, KEY) } else { Call::new(path, KEY) };
                    let answer = caller.send(address, &call, PATIENCE).await;
                    if let Told::Wrong(what) = &answer.told {
                        broken.push(format!("{path} after the faults: {what}"));
                    }
                    answer.told == Told::Whole
                };
                until(served).await;
            }
        }
    }

    /// Checks every promise.
    fn check(&self, broken: &mut Vec<String>) {
        let fleet = self.fleet.borrow();
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in fleet.upstreams.iter().flat_map(Upstream::runs) {
            runs.entry(run.request.clone()).or_default().push(run);
        }
        for sent in self.sent.borrow().iter() {
            let none = Vec::new();
            check_one(sent, runs.get(&sent.call.id).unwrap_or(&none), broken);
        }
    }
}

pub(super) fn check_one(sent: &Sent, runs: &[Run], broken: &mut Vec<String>) {
    let Sent { call, answer } = sent;
    let mut found = |what: String| broken.push(format!("{} {}: {what}", call.path, call.id));
    if let Told::Wrong(what) = &answer.told {
        found(what.clone());
    }
    let allowed = match call.path {
        "/safe/x" | "/resumable/x" => 2,
        _ => 1,
    };
    if runs.len() > allowed {
        found(format!("it ran {} times", runs.len()));
    }
    if let Told::Status(status @ (429 | 503)) = answer.told {
        if !runs.is_empty() {
            found(format!("it was told {status} and ran"));
        }
        if !answer.headers.contains_key("retry-after") {
            found(format!("it was told {status} and not when to come back"));
        }
    }
    for run in runs {
        if run.carried_key || run.customer.as_deref() != Some("one") {
            found(format!("it ran as {:?}, with its key: {}", run.customer, run.carried_key));
        }
        if run.body != call.body.as_bytes() || run.path != call.path {
            found(format!("it ran with another path or body: {}", run.path));
        }
    }
    if answer.told == Told::Whole && runs.is_empty() {
        found("it was answered and never ran".to_owned());
    }
}
