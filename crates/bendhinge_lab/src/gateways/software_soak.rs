//! A seeded soak of software versions: callers resume streams while releases overlap and roll back, gateways are killed,
//! stopped and suspended, and upstreams break streams off; afterwards no stream may hold events of two versions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_standin::gateway::{StoreFault, Upstream, UpstreamFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

use super::fleet::{GatewayFleet, KEY, StartedUpstream};
use super::soak::Findings;
use super::stream_caller::{StreamCaller, StreamEnd};

const GATEWAYS: usize = 5;
const FIRST_VERSIONS: [&str; 4] = ["v1", "v1", "v1", "v2"];
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const STRIKES: u32 = 24;
const CALLERS: usize = 12;
/// Requests of a caller for one stream, the first one included.
const MAX_REQUESTS: u32 = 4;
/// Upstreams that are listed at least. The others may leave.
const MIN_UPSTREAMS: usize = 3;
/// Resumed streams from which on their share is compared with that of new ones.
const MIN_COMPARED: usize = 12;
const SECTIONS: &str = "\
[streams]
keep_software = yes
first_start = yes
[stop]
grace_s = 3
accept_ms = 300
[load]
popular_prompts = yes
[retries]
assume_spent = yes
";

/// An upstream that the store lists.
struct Listed {
    upstream: Upstream,
    name: String,
}

/// How many of the requests of one kind were answered with events.
#[derive(Clone, Copy, Default)]
struct Share {
    answered: usize,
    all: usize,
}

impl Share {
    fn add(&mut self, is_answered: bool) {
        self.answered += usize::from(is_answered);
        self.all += 1;
    }

    fn ratio(self) -> f64 {
        self.answered as f64 / self.all.max(1) as f64
    }
}

struct Soak {
    fleet: RefCell<GatewayFleet>,
    listed: RefCell<Vec<Listed>>,
    next_upstream: Cell<usize>,
    streams: RefCell<Vec<StreamCaller>>,
    wrong: RefCell<Vec<String>>,
    told: RefCell<BTreeMap<String, usize>>,
    /// Requests that begin streams, and those that resume one of whose software two upstreams are listed.
    begun: Cell<Share>,
    resumed: Cell<Share>,
    is_over: Cell<bool>,
}

/// Runs the soak of `seed`: the same events in the same order, each at a time that depends on the box.
pub async fn software_soak(tasks: &Tasks, seed: u64) -> Findings {
    let fleet = GatewayFleet::start_versions(tasks, GATEWAYS, &FIRST_VERSIONS, SECTIONS).await;
    let listed =
        fleet.upstreams.iter().map(|upstream| Listed { upstream: upstream.clone(), name: upstream.name() });
    let soak = Rc::new(Soak {
        listed: RefCell::new(listed.collect()),
        next_upstream: Cell::new(fleet.upstreams.len()),
        fleet: RefCell::new(fleet),
        streams: RefCell::default(),
        wrong: RefCell::default(),
        told: RefCell::default(),
        begun: Cell::default(),
        resumed: Cell::default(),
        is_over: Cell::new(false),
    });
    let local = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|number| local.spawn(call_repeatedly(Rc::clone(&soak), seed.wrapping_add(number << 32))))
        .collect();
    let striking = async {
        soak.strike(&mut ChaCha8Rng::seed_from_u64(seed)).await;
        soak.heal().await;
        soak.is_over.set(true);
        for caller in callers {
            caller.await;
        }
    };
    local.run(striking).await;
    soak.findings()
}

/// Requests one stream after the other, and resumes those that break off or that it leaves.
async fn call_repeatedly(soak: Rc<Soak>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let pool = soak.fleet.borrow().pool.clone();
    while !soak.is_over.get() {
        let mut stream = StreamCaller::new("/resumable/x", KEY);
        for _ in 0..MAX_REQUESTS {
            let gateway = soak.fleet.borrow().callers(random.random_range(0..GATEWAYS));
            let events = stream.software.len() + random.random_range(1..12);
            let has_two_upstreams = soak.has_two_upstreams_of(&stream);
            let before = stream.software.len();
            let end = stream.receive(&pool, gateway, events).await;
            let is_answered = stream.software.len() > before;
            soak.count(before > 0, has_two_upstreams, is_answered, &end);
            if matches!(end, StreamEnd::Complete | StreamEnd::Wrong(_)) {
                break;
            }
            Timer::after(Duration::from_millis(random.random_range(0..300))).await;
        }
        soak.streams.borrow_mut().push(stream);
    }
}

impl Soak {
    /// Whether two upstreams with the software of a stream are listed and free of faults.
    fn has_two_upstreams_of(&self, stream: &StreamCaller) -> bool {
        let listed = self.listed.borrow();
        let has_software = |listed: &&Listed| Some(&listed.upstream.software()) == stream.software.first();
        listed.iter().filter(has_software).count() >= 2
    }

    fn count(&self, is_resumed: bool, has_two_upstreams: bool, is_answered: bool, end: &StreamEnd) {
        let kind = if is_resumed { "resumed" } else { "begun" };
        let end_name = match end {
            StreamEnd::Refused(_, code) => format!("{kind}: {code}"),
            StreamEnd::Wrong(what) => {
                self.wrong.borrow_mut().push(what.clone());
                format!("{kind}: wrong")
            }
            StreamEnd::Complete | StreamEnd::Left if is_answered => format!("{kind}: served"),
            other => format!("{kind}: {other:?}"),
        };
        *self.told.borrow_mut().entry(end_name).or_default() += 1;
        let share = if is_resumed { &self.resumed } else { &self.begun };
        if !is_resumed || has_two_upstreams {
            let mut counted = share.get();
            counted.add(is_answered);
            share.set(counted);
        }
    }

    async fn strike(&self, random: &mut ChaCha8Rng) {
        for _ in 0..STRIKES {
            self.one_strike(random).await;
            Timer::after(Duration::from_millis(random.random_range(20..500))).await;
        }
    }

    async fn one_strike(&self, random: &mut ChaCha8Rng) {
        let gateway = random.random_range(0..GATEWAYS);
        match random.random_range(0..14) {
            0..=2 => self.kill(gateway, random).await,
            3 => self.kill_all(),
            4 => self.signal(gateway, Signal::TERM),
            5 => {
                self.signal(gateway, Signal::STOP);
                Timer::after(Duration::from_millis(random.random_range(50..2_000))).await;
                self.signal(gateway, Signal::CONT);
            }
            6..=8 => self.release(random).await,
            9 | 10 => self.withdraw(random),
            11 => self.harm_store(random),
            _ => self.fault_upstream(random),
        }
        self.restart_ended();
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        if let Some(process) = &self.fleet.borrow().gateways[gateway] {
            process.signal(signal);
        }
    }

    /// Kills a gateway, often a second one, and starts them again after a while.
    async fn kill(&self, gateway: usize, random: &mut ChaCha8Rng) {
        let killed = [gateway, (gateway + 1) % GATEWAYS];
        let killed = &killed[..random.random_range(1..=2)];
        for gateway in killed {
            if let Some(mut process) = self.fleet.borrow_mut().gateways[*gateway].take() {
                process.kill();
            }
        }
        Timer::after(Duration::from_millis(random.random_range(0..800))).await;
        for gateway in killed {
            self.fleet.borrow_mut().restart(*gateway);
        }
    }

    fn kill_all(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for gateway in 0..GATEWAYS {
            if let Some(mut process) = fleet.gateways[gateway].take() {
                process.kill();
            }
        }
        // After a loss of all, the fleet does not start for the first time.
        for gateway in 0..GATEWAYS {
            let sections = &mut fleet.settings[gateway].sections;
            *sections = sections.replace("first_start = yes\n", "");
            fleet.restart(gateway);
        }
    }

    /// Starts gateways again that were stopped and have ended.
    fn restart_ended(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for gateway in 0..GATEWAYS {
            let has_ended = fleet.gateways[gateway]
                .as_mut()
                .is_none_or(|process| process.wait(Duration::from_millis(1)).is_some());
            if has_ended {
                let sections = &mut fleet.settings[gateway].sections;
                *sections = sections.replace("first_start = yes\n", "");
                fleet.gateways[gateway] = None;
                fleet.restart(gateway);
            }
        }
    }

    /// Adds one or two upstreams of some version.
    async fn release(&self, random: &mut ChaCha8Rng) {
        let software = VERSIONS[random.random_range(0..VERSIONS.len())];
        for _ in 0..random.random_range(1..=2) {
            let number = self.next_upstream.replace(self.next_upstream.get() + 1);
            let name = format!("engines-{number}");
            let tasks = self.fleet.borrow().tasks.clone();
            let started = StartedUpstream::start_version(&tasks, &name, software).await;
            let mut fleet = self.fleet.borrow_mut();
            fleet.adopt("engines", started);
            let upstream = fleet.upstreams.last().expect("one was added").clone();
            self.listed.borrow_mut().push(Listed { upstream, name });
        }
    }

    /// Some upstream leaves, with or without a word.
    fn withdraw(&self, random: &mut ChaCha8Rng) {
        let mut listed = self.listed.borrow_mut();
        if listed.len() <= MIN_UPSTREAMS {
            return;
        }
        let index = random.random_range(0..listed.len());
        let Listed { name, .. } = listed.swap_remove(index);
        let fleet = self.fleet.borrow();
        if random.random() { fleet.store.drain(&name) } else { fleet.store.remove(&name) }
    }

    fn harm_store(&self, random: &mut ChaCha8Rng) {
        let fault = match random.random_range(0..4) {
            0 => StoreFault::Busy,
            1 => StoreFault::Silent,
            2 => StoreFault::Slow(Duration::from_millis(random.random_range(50..600))),
            _ => StoreFault::None,
        };
        self.fleet.borrow().store.set_fault(fault);
    }

    fn fault_upstream(&self, random: &mut ChaCha8Rng) {
        let fault = match random.random_range(0..6) {
            0 => UpstreamFault::Full,
            1 => UpstreamFault::Lost,
            2 | 3 => UpstreamFault::BreaksOff(random.random_range(0..8)),
            4 => UpstreamFault::Stalls(random.random_range(0..8)),
            _ => UpstreamFault::None,
        };
        let listed = self.listed.borrow();
        listed[random.random_range(0..listed.len())].upstream.set_fault(fault);
    }

    /// Undoes all faults and waits until all gateways are ready.
    #[expect(clippy::await_holding_refcell_ref, reason = "only strikes borrow mutably, and they are over")]
    async fn heal(&self) {
        // Some may have been asked to stop a moment ago: all are started anew.
        self.kill_all();
        let fleet = self.fleet.borrow();
        fleet.store.set_fault(StoreFault::None);
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::None));
        fleet.until_ready().await;
    }

    fn findings(&self) -> Findings {
        let mut broken = self.wrong.take();
        for stream in self.streams.borrow().iter().filter(|stream| stream.is_mixed()) {
            broken
                .push(format!("a stream began with {:?} and holds {:?}", stream.began_with, stream.software));
        }
        let (begun, resumed) = (self.begun.get(), self.resumed.get());
        if resumed.all >= MIN_COMPARED && resumed.ratio() < begun.ratio() / 2.0 {
            broken.push(format!(
                "{} of {} resumed streams went on, {} of {} new ones began",
                resumed.answered, resumed.all, begun.answered, begun.all
            ));
        }
        let mut told = self.told.take();
        told.insert("share of resumed, %".to_owned(), percent(resumed));
        told.insert("share of begun, %".to_owned(), percent(begun));
        Findings { broken, told }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "ratios are between 0 and 1")]
fn percent(share: Share) -> usize {
    (share.ratio() * 100.0) as usize
}
