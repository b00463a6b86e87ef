//! A seeded soak of refusals: callers send requests that may run once, upstreams run, reject and lose them in all ways,
//! and gateways lose links, are suspended and killed. Afterwards no request that was refused as not run may have run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_standin::gateway::{UpstreamFault, VariedUpstream};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

use super::caller::{Call, GatewayCaller, Told};
use super::fleet::{FleetShape, KEY};
use super::linked_fleet::{LinkedFleet, Partition, cut};
use super::proxy::{Harm, Proxy};
use super::soak::{Findings, Sent};

/// One upstream of each pool rejects all requests; the varied ones are added.
const SHAPE: FleetShape = FleetShape { gateways: 3, engines: 1, services: 1 };
/// Varied upstreams of each pool.
const VARIED: usize = 4;
const STRIKES: u32 = 24;
const CALLERS: usize = 24;
/// How long a caller waits for a response; longer than any deadline.
const PATIENCE: Duration = Duration::from_secs(8);
const SECTIONS: &str = "\
[beliefs]
rules_lease_ms = 2500
[forwarding]
enabled = yes
[stop]
grace_s = 3
accept_ms = 300
[upstreams]
verify_close = yes
[quarantine]
prompt_parts = yes
[load]
shared_response_times = yes
permits = yes
admission = yes
popular_prompts = yes
[retries]
ratio = 1
slack = 200
";

struct Soak {
    fleet: RefCell<LinkedFleet>,
    varied: Vec<VariedUpstream>,
    /// The links of each gateway to the varied upstreams.
    links: Vec<Vec<Proxy>>,
    sent: RefCell<Vec<Sent>>,
    is_over: Cell<bool>,
}

/// Runs the soak of `seed`: the same faults in the same order, each at a time that depends on the box.
///
/// # Panics
///
/// If something cannot be started: tests cannot go on then.
pub async fn refusal_soak(tasks: &Tasks, seed: u64) -> Findings {
    let soak = Rc::new(Soak::start(tasks, seed).await);
    let local = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|number| local.spawn(call_repeatedly(Rc::clone(&soak), seed.wrapping_add(number << 32))))
        .collect();
    let striking = async {
        soak.strike(&mut ChaCha8Rng::seed_from_u64(seed)).await;
        soak.is_over.set(true);
        for caller in callers {
            caller.await;
        }
    };
    local.run(striking).await;
    soak.findings()
}

/// Sends one call after the other on connections that stay open.
async fn call_repeatedly(soak: Rc<Soak>, seed: u64) {
    const PAUSE: Duration = Duration::from_millis(4);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let caller = GatewayCaller::new(Arc::clone(&soak.fleet.borrow().pool));
    while !soak.is_over.get() {
        let call = once_only_call(&mut random);
        let address = soak.fleet.borrow().callers(random.random_range(0..SHAPE.gateways));
        let answer = caller.send(address, &call, PATIENCE).await;
        soak.sent.borrow_mut().push(Sent { call, answer });
        Timer::after(PAUSE).await;
    }
}

fn once_only_call(random: &mut ChaCha8Rng) -> Call {
    const MAX_BODY_BYTES: usize = 110_000;
    let mut call = if random.random() { Call::new("/unsafe/x", KEY) } else { Call::stream("/stream/x", KEY) };
    call.id = format!("{:016x}", random.random::<u64>());
    call.body = "x".repeat(random.random_range(0..MAX_BODY_BYTES));
    call.deadline = Duration::from_millis(random.random_range(30..2_000));
    call
}

impl Soak {
    async fn start(tasks: &Tasks, seed: u64) -> Self {
        const SOUND_PERCENT: u64 = 50;
        let fleet = LinkedFleet::start(tasks, SHAPE, SECTIONS).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Full));
        let mut varied = Vec::new();
        let mut links = vec![Vec::new(); SHAPE.gateways];
        for number in 0..2 * VARIED {
            let own_seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
            let upstream = VariedUpstream::start(tasks, SOUND_PERCENT, own_seed).await.expect("a free port");
            let pool = if number % 2 == 0 { "engines" } else { "services" };
            for (store, links) in fleet.stores.iter().zip(&mut links) {
                let link = Proxy::start(tasks, upstream.address).expect("a free port");
                store.add(&format!("varied-{number}"), pool, link.address);
                links.push(link);
            }
            varied.push(upstream);
        }
        Self {
            fleet: RefCell::new(fleet),
            varied,
            links,
            sent: RefCell::default(),
            is_over: Cell::new(false),
        }
    }

    async fn strike(&self, random: &mut ChaCha8Rng) {
        for _ in 0..STRIKES {
            self.one_strike(random).await;
            Timer::after(Duration::from_millis(random.random_range(20..400))).await;
        }
    }

    async fn one_strike(&self, random: &mut ChaCha8Rng) {
        let gateway = random.random_range(0..SHAPE.gateways);
        let links = &self.links[gateway];
        match random.random_range(0..14) {
            0 | 1 => {
                let how = Partition::any(random);
                for link in links {
                    cut(link, how).await;
                }
            }
            2 => cut(&links[random.random_range(0..links.len())], Partition::any(random)).await,
            3..=5 => {
                for link in links {
                    link.set(Harm::None);
                    link.accept_new().await;
                }
            }
            6 => links[random.random_range(0..links.len())].reset_open(),
            7 => links[random.random_range(0..links.len())].set(any_harm(random)),
            8 | 9 => self.restart(gateway, random).await,
            10 | 11 => self.suspend(gateway, random).await,
            12 => self.change_list(random),
            _ => self.fleet.borrow().gateways[gateway].signal(Signal::HUP),
        }
    }

    /// Kills a gateway, at once or some time after it is asked to stop, and starts it again.
    async fn restart(&self, gateway: usize, random: &mut ChaCha8Rng) {
        if random.random() {
            self.fleet.borrow().gateways[gateway].signal(Signal::TERM);
            Timer::after(Duration::from_millis(random.random_range(0..1_500))).await;
        }
        self.fleet.borrow_mut().restart(gateway);
    }

    async fn suspend(&self, gateway: usize, random: &mut ChaCha8Rng) {
        let pause = Duration::from_millis(random.random_range(50..1_500));
        self.fleet.borrow().gateways[gateway].signal(Signal::STOP);
        Timer::after(pause).await;
        self.fleet.borrow().gateways[gateway].signal(Signal::CONT);
    }

    /// Takes an upstream off all lists, or puts it on them again.
    fn change_list(&self, random: &mut ChaCha8Rng) {
        let number = random.random_range(0..self.varied.len());
        let name = format!("varied-{number}");
        let pool = if number % 2 == 0 { "engines" } else { "services" };
        let is_added = random.random();
        for (store, links) in self.fleet.borrow().stores.iter().zip(&self.links) {
            if is_added {
                store.add(&name, pool, links[number].address);
            } else {
                store.drain(&name);
            }
        }
    }

    fn findings(&self) -> Findings {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.varied.iter().flat_map(VariedUpstream::runs) {
            *runs.entry(run).or_default() += 1;
        }
        let mut findings = Findings::default();
        for Sent { call, answer } in self.sent.borrow().iter() {
            let own_runs = runs.get(&call.id).copied().unwrap_or_default();
            let code = answer.code().unwrap_or_default();
            let mut found = |what: String| findings.broken.push(format!("{} {}: {what}", call.path, call.id));
            if let Told::Wrong(what) = &answer.told {
                found(what.clone());
            }
            if own_runs > 1 {
                found(format!("it ran {own_runs} times"));
            }
            if own_runs > 0 && matches!(answer.told, Told::Status(408 | 421 | 429 | 503)) {
                found(format!("it was told {:?} {code} and ran", answer.told));
            }
            *findings.told.entry(format!("{:?} {code}", answer.told).trim_end().to_owned()).or_default() += 1;
        }
        findings
    }
}

fn any_harm(random: &mut ChaCha8Rng) -> Harm {
    match random.random_range(0..5) {
        0 => Harm::Delay(Duration::from_millis(random.random_range(5..120))),
        1 => Harm::Reset,
        2 => Harm::CutThere,
        3 => Harm::CutBack,
        _ => Harm::Silence,
    }
}
