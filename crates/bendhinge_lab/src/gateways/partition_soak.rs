//! A seeded soak of partitions: callers load a fleet while links of single gateways fail and recover, gateways restart,
//! and upstreams misbehave; afterwards every promise is checked.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_standin::gateway::{Run, Upstream, UpstreamFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

use super::caller::{Call, GatewayCaller, Told};
use super::fleet::{FleetShape, KEY, until};
use super::linked_fleet::{LinkedFleet, Partition};
use super::soak::{Findings, Sent, any_call, check_one};

const SHAPE: FleetShape = FleetShape { gateways: 4, engines: 4, services: 3 };
const STRIKES: u32 = 20;
const CALLERS: usize = 12;
/// How long a caller waits for a response.
const PATIENCE: Duration = Duration::from_secs(8);
const SECTIONS: &str = "\
[forwarding]
enabled = yes
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
";

struct Soak {
    fleet: RefCell<LinkedFleet>,
    sent: RefCell<Vec<Sent>>,
    is_over: Cell<bool>,
}

/// Runs the soak of `seed`: the same faults in the same order, each at a time that depends on the box.
pub async fn partition_soak(tasks: &Tasks, seed: u64) -> Findings {
    let fleet = LinkedFleet::start(tasks, SHAPE, SECTIONS).await;
    let soak =
        Rc::new(Soak { fleet: RefCell::new(fleet), sent: RefCell::default(), is_over: Cell::new(false) });
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
        soak.heal().await;
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
        let call = any_call(&mut random);
        let address = soak.fleet.borrow().callers(random.random_range(0..SHAPE.gateways));
        let answer = caller.send(address, &call, PATIENCE).await;
        soak.sent.borrow_mut().push(Sent { call, answer });
        Timer::after(PAUSE).await;
    }
}

#[expect(
    clippy::await_holding_refcell_ref,
    reason = "strikes follow each other, and callers borrow only briefly"
)]
impl Soak {
    async fn strike(&self, random: &mut ChaCha8Rng) {
        for _ in 0..STRIKES {
            self.one_strike(random).await;
            Timer::after(Duration::from_millis(random.random_range(20..600))).await;
        }
    }

    async fn one_strike(&self, random: &mut ChaCha8Rng) {
        let gateway = random.random_range(0..SHAPE.gateways);
        let how = Partition::any(random);
        match random.random_range(0..12) {
            0..=4 => self.fleet.borrow().partition(gateway, how).await,
            5 => self.fleet.borrow().partition_from(gateway, "engines", how).await,
            6..=8 => self.fleet.borrow().restore(gateway).await,
            9 => self.restart(gateway, random.random()),
            10 => self.signal_pause(gateway, random).await,
            _ => self.fault_upstream(random),
        }
    }

    /// Kills a gateway or asks it to stop, and starts it again.
    fn restart(&self, gateway: usize, is_graceful: bool) {
        let mut fleet = self.fleet.borrow_mut();
        if is_graceful {
            fleet.gateways[gateway].signal(Signal::TERM);
        }
        fleet.restart(gateway);
    }

    async fn signal_pause(&self, gateway: usize, random: &mut ChaCha8Rng) {
        let pause = Duration::from_millis(random.random_range(100..2_000));
        self.fleet.borrow().gateways[gateway].signal(Signal::STOP);
        Timer::after(pause).await;
        self.fleet.borrow().gateways[gateway].signal(Signal::CONT);
    }

    fn fault_upstream(&self, random: &mut ChaCha8Rng) {
        let fault = match random.random_range(0..5) {
            0 => UpstreamFault::Full,
            1 => UpstreamFault::Lost,
            2 => UpstreamFault::Failed,
            3 => UpstreamFault::BreaksOff(random.random_range(0..8)),
            _ => UpstreamFault::None,
        };
        let fleet = self.fleet.borrow();
        fleet.upstreams[random.random_range(0..fleet.upstreams.len())].set_fault(fault);
    }

    /// Undoes all faults and waits until every gateway serves each kind of request.
    async fn heal(&self) {
        let fleet = self.fleet.borrow();
        for gateway in 0..SHAPE.gateways {
            fleet.restore(gateway).await;
        }
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::None);
        }
        for gateway in 0..SHAPE.gateways {
            for path in ["/safe/x", "/unsafe/x", "/open/x"] {
                until(async || fleet.send(gateway, &Call::new(path, KEY)).await.told == Told::Whole).await;
            }
            for path in ["/stream/x", "/resumable/x"] {
                until(async || fleet.send(gateway, &Call::stream(path, KEY)).await.told == Told::Whole).await;
            }
        }
    }

    /// Checks every promise.
    fn findings(&self) -> Findings {
        let fleet = self.fleet.borrow();
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in fleet.upstreams.iter().flat_map(Upstream::runs) {
            runs.entry(run.request.clone()).or_default().push(run);
        }
        let mut findings = Findings::default();
        for sent in self.sent.borrow().iter() {
            let own_runs = runs.get(&sent.call.id).map_or(&[][..], Vec::as_slice);
            check_one(sent, own_runs, &mut findings.broken);
            *findings.told.entry(format!("{:?}", sent.answer.told)).or_default() += 1;
        }
        findings
    }
}
