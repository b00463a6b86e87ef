//! Requests whose prompts share a part under which engines crash.

mod gateway_common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::{Pool, Tasks, fetch_bytes};
use bendhinge_lab::gateways::{
    Answer, Call, CrashingEngines, FleetShape, GatewayFleet, GatewaySettings, KEY, Told, until,
};
use bendhinge_standin::gateway::Framing;
use futures_lite::future::zip;
use gateway_common::{PATIENCE, run};
use rustix::process::Signal;
use smol::Timer;

const SECTIONS: &str = "[quarantine]\nprompt_parts = yes\n";
/// The part under which engines crash.
const CRASHING_PART: u64 = 666;
/// The time within which gateways that reach each other know of the same crashes.
const CONTACT: Duration = Duration::from_secs(3);
/// The number of crashes after which the part has to be known.
const CRASHES_UNTIL_KNOWN: usize = 5;
/// How many requests with the part may reach engines after that.
const MAX_LATE: usize = 3;

/// The traffic of a test.
#[derive(Clone, Copy)]
struct Traffic {
    lasts: Duration,
    /// When requests with the part begin.
    crashing_from: Duration,
    crashing_per_second: f64,
    sound_per_second: f64,
    /// Prompts with the part, in which `{}` stands for numbers that are in no other request.
    crashing_prompt: &'static str,
    sound_prompt: &'static str,
}

const USUAL: Traffic = Traffic {
    lasts: Duration::from_secs(17),
    crashing_from: Duration::from_secs(2),
    crashing_per_second: 4.0,
    sound_per_second: 14.0,
    crashing_prompt: "1:2000,666:1000,{}:500",
    sound_prompt: "1:2000,2:6000,{}:500",
};

/// A sound request, when it was sent and its answer.
struct Sound {
    at: Instant,
    answer: Answer,
}

/// What happened in a test.
struct Outcome {
    crashes: Vec<Instant>,
    /// When requests with the part reached engines.
    arrivals: Vec<Instant>,
    /// The answers to requests with the part.
    crashing: Vec<Answer>,
    sound: Vec<Sound>,
}

impl Outcome {
    fn known_by(&self) -> Option<Instant> {
        self.crashes.get(CRASHES_UNTIL_KNOWN - 1).or(self.crashes.last()).copied()
    }

    /// The number of requests with the part that reached engines when it had to be known.
    fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(CRASHES_UNTIL_KNOWN - 1) else { return 0 };
        self.arrivals.iter().filter(|at| **at > *fifth + CONTACT).count()
    }

    /// The share of the sound requests that were answered: of all, or of those sent later than twice [`CONTACT`] after the
    /// part had to be known.
    fn sound_share(&self, is_late_only: bool) -> f64 {
        let from = self.known_by().map(|known| known + 2 * CONTACT).filter(|_| is_late_only);
        let counted: Vec<_> =
            self.sound.iter().filter(|sound| from.is_none_or(|from| sound.at > from)).collect();
        let whole = counted.iter().filter(|sound| sound.answer.told == Told::Whole).count();
        assert!(counted.len() >= 20, "too few sound requests to judge: {}", counted.len());
        whole as f64 / counted.len() as f64
    }

    fn summary(&self) -> String {
        let mut sound = BTreeMap::new();
        for Sound { answer, .. } in &self.sound {
            *sound.entry(format!("{:?} {}", answer.told, answer.code().unwrap_or_default())).or_insert(0) +=
                1;
        }
        let mut crashing = BTreeMap::new();
        for answer in &self.crashing {
            *crashing
                .entry(format!("{:?} {}", answer.told, answer.code().unwrap_or_default()))
                .or_insert(0) += 1;
        }
        format!(
            "{} crashes, {} requests with the part at engines, {} of them late; with the part: {crashing:?}; sound: {sound:?}",
            self.crashes.len(),
            self.arrivals.len(),
            self.late()
        )
    }

    /// Returns the number of sound requests that were refused because of a part.
    fn refused_sound(&self) -> usize {
        let codes = self.sound.iter().filter_map(|sound| sound.answer.code());
        codes.filter(|code| ["BH0310", "BH0311"].contains(code)).count()
    }

    /// The part is known in time, and requests without it are served.
    fn check(&self) {
        println!("{}", self.summary());
        let sound = self.sound.iter().map(|sound| &sound.answer);
        let wrong = sound.chain(&self.crashing).filter(|answer| matches!(answer.told, Told::Wrong(_)));
        assert_eq!(wrong.count(), 0, "{}", self.summary());
        assert!(self.crashes.len() >= 2, "engines crash under the part: {}", self.summary());
        assert!(self.late() <= MAX_LATE, "{}", self.summary());
        assert_eq!(self.refused_sound(), 0, "{}", self.summary());
        assert!(self.sound_share(true) > 0.5, "{}", self.summary());
    }
}

/// A call for a stream whose prompt, path and body are like no other's.
fn stream(prompt: &str, number: usize) -> Call {
    let path = if number.is_multiple_of(2) { "/stream/x" } else { "/resumable/x" };
    let prompt = prompt
        .split("{}")
        .map(str::to_owned)
        .reduce(|prompt, rest| format!("{prompt}{}{rest}", rand::random::<u32>()));
    Call { prompt, body: format!("{:x}", rand::random::<u64>()), ..Call::stream(path, KEY) }
}

/// Sends calls for `lasts`, each `per_second` of a second, to the gateways in turn.
async fn send_each(
    tasks: &Tasks,
    fleet: &RefCell<GatewayFleet>,
    (delay, lasts): (Duration, Duration),
    (prompt, per_second): (&str, f64),
) -> Vec<Sound> {
    let begun = Instant::now();
    let mut sending = Vec::new();
    Timer::after(delay.min(lasts)).await;
    let mut number = 0;
    while begun.elapsed() < lasts {
        let (caller, address) = {
            let fleet = fleet.borrow();
            (fleet.caller(), fleet.callers(number % fleet.gateways.len()))
        };
        let call = stream(prompt, number / 2);
        let sent = tasks.spawn(async move {
            let at = Instant::now();
            Sound { at, answer: caller.send(address, &call, PATIENCE).await }
        });
        sending.push(sent);
        number += 1;
        Timer::after(Duration::from_secs_f64(1.0 / per_second)).await;
    }
    let mut answers = Vec::new();
    for sent in sending {
        answers.push(sent.await);
    }
    answers
}

/// Plays `traffic` beside `trouble`.
async fn play(
    tasks: &Tasks,
    fleet: GatewayFleet,
    traffic: Traffic,
    trouble: impl AsyncFnOnce(&RefCell<GatewayFleet>, CrashingEngines),
) -> Outcome {
    let engines = CrashingEngines::new(&fleet, Some(CRASHING_PART));
    let fleet = RefCell::new(fleet);
    let Traffic { lasts, crashing_from, .. } = traffic;
    let crashing = (traffic.crashing_prompt, traffic.crashing_per_second);
    let sound = (traffic.sound_prompt, traffic.sound_per_second);
    let crashing = send_each(tasks, &fleet, (crashing_from, lasts), crashing);
    let sound = send_each(tasks, &fleet, (Duration::ZERO, lasts), sound);
    let ((crashing, sound), ()) = zip(zip(crashing, sound), trouble(&fleet, engines.clone())).await;
    let arrivals = engines.runs().into_iter().filter(|run| run.shares_part(CRASHING_PART)).map(|run| run.at);
    Outcome {
        crashes: engines.crashes(),
        arrivals: arrivals.collect(),
        crashing: crashing.into_iter().map(|sent| sent.answer).collect(),
        sound,
    }
}

async fn start_fleet(tasks: &Tasks, shape: FleetShape) -> GatewayFleet {
    GatewayFleet::start(tasks, shape, SECTIONS).await
}

async fn usual_fleet(tasks: &Tasks) -> GatewayFleet {
    start_fleet(tasks, FleetShape { gateways: 3, engines: 12, services: 0 }).await
}

/// Guards against requests that crash one engine after the other because no two of them are the same: they share a part of
/// their prompts with each other, and their other parts with sound requests.
#[test]
fn requests_that_share_a_crashing_part_stop_reaching_engines() {
    run(|tasks| async move {
        let fleet = usual_fleet(&tasks).await;
        let outcome = play(&tasks, fleet, USUAL, async |_, _| {}).await;
        outcome.check();
        let share = outcome.sound_share(true);
        assert!(share > 0.95, "{share} of the sound requests are answered: {}", outcome.summary());
    });
}

/// Guards against a fleet that forgets the part with the gateway that saw most of the crashes.
#[test]
fn a_crashing_part_is_known_after_the_loss_of_any_gateway() {
    run(|tasks| async move {
        let fleet = usual_fleet(&tasks).await;
        let outcome = play(&tasks, fleet, USUAL, async |fleet: &RefCell<GatewayFleet>, _| {
            for gateway in 0..3 {
                Timer::after(Duration::from_secs(4)).await;
                fleet.borrow_mut().gateways[gateway].as_mut().expect("it runs").kill();
                fleet.borrow_mut().restart(gateway);
            }
        })
        .await;
        outcome.check();
    });
}

/// Guards against blaming only the first part of a prompt, or a chain of parts from the first on.
#[test]
fn a_crashing_part_is_recognised_at_the_beginning_of_prompts() {
    run(|tasks| async move {
        let traffic = Traffic { crashing_prompt: "666:1000,2:6000,{}:500", ..USUAL };
        play(&tasks, usual_fleet(&tasks).await, traffic, async |_, _| {}).await.check();
    });
}

/// Guards against gateways that act on what they knew before they were suspended.
#[test]
fn a_crashing_part_is_known_while_gateways_are_suspended() {
    run(|tasks| async move {
        let fleet = usual_fleet(&tasks).await;
        let outcome = play(&tasks, fleet, USUAL, async |fleet: &RefCell<GatewayFleet>, _| {
            for gateway in [0, 1, 2, 0, 1, 2] {
                fleet.borrow().gateway(gateway).signal(Signal::STOP);
                Timer::after(Duration::from_millis(1_500)).await;
                fleet.borrow().gateway(gateway).signal(Signal::CONT);
                Timer::after(Duration::from_millis(500)).await;
            }
        })
        .await;
        outcome.check();
    });
}

#[test]
fn a_crashing_part_among_many_is_recognised() {
    run(|tasks| async move {
        let prompt = "1:2000,2:3000,3:3000,666:1000,{}:500";
        let traffic =
            Traffic { crashing_prompt: prompt, sound_prompt: "1:2000,2:3000,3:3000,{}:500", ..USUAL };
        play(&tasks, usual_fleet(&tasks).await, traffic, async |_, _| {}).await.check();
    });
}

/// Guards against crashes that pass for complete responses: the end of a process closes connections like the end of an
/// unframed response.
#[test]
fn a_crashing_part_is_recognised_if_responses_end_with_their_connection() {
    run(|tasks| async move {
        let outcome = play(&tasks, usual_fleet(&tasks).await, USUAL, async |_, engines: CrashingEngines| {
            engines.set_framing(Framing::UntilClose);
        });
        outcome.await.check();
    });
}

/// Guards against a part that is blamed since popular parts are in every crash.
#[test]
fn no_part_is_blamed_for_engines_that_crash_by_themselves() {
    run(|tasks| async move {
        let traffic = Traffic { crashing_from: USUAL.lasts, sound_per_second: 40.0, ..USUAL };
        let mut blamed = Vec::new();
        let outcome = play(
            &tasks,
            usual_fleet(&tasks).await,
            traffic,
            async |fleet: &RefCell<GatewayFleet>, engines| {
                for index in 0..12 {
                    Timer::after(Duration::from_millis(1_200)).await;
                    engines.crash_one(index).await;
                }
                let pages: Vec<_> = {
                    let fleet = fleet.borrow();
                    let addresses = fleet.settings.iter().map(|settings| settings.addresses["ready"]);
                    addresses.map(|address| (Arc::clone(&fleet.pool), address)).collect()
                };
                for (pool, address) in pages {
                    blamed.extend(parts_on_page(pool, address).await);
                }
            },
        );
        let outcome = outcome.await;
        println!("{}", outcome.summary());
        assert!(blamed.is_empty(), "{blamed:?}");
        assert_eq!(outcome.refused_sound(), 0, "{}", outcome.summary());
    });
}

/// Returns the digests of the parts that a gateway keeps from engines.
async fn quarantined_parts(fleet: &GatewayFleet, gateway: usize) -> Vec<String> {
    parts_on_page(Arc::clone(&fleet.pool), fleet.settings[gateway].addresses["ready"]).await
}

async fn parts_on_page(pool: Arc<Pool>, address: SocketAddr) -> Vec<String> {
    let page = fetch_bytes(&pool, address, "/quarantine", PATIENCE).await.unwrap();
    let page: serde_json::Value = serde_json::from_slice(&page).unwrap();
    let parts = page["parts"].as_array().unwrap().iter();
    parts.map(|part| part["digest"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn operators_see_and_release_a_crashing_part() {
    run(|tasks| async move {
        let fleet = usual_fleet(&tasks).await;
        let engines = CrashingEngines::new(&fleet, Some(CRASHING_PART));
        let caller = fleet.caller();
        let mut parts = Vec::new();
        until(async || {
            let crashing = stream(USUAL.crashing_prompt, 0);
            caller.send(fleet.callers(0), &crashing, PATIENCE).await;
            for gateway in 0..3 {
                caller.send(fleet.callers(gateway), &stream(USUAL.sound_prompt, 0), PATIENCE).await;
            }
            parts = quarantined_parts(&fleet, 2).await;
            !parts.is_empty()
        })
        .await;
        assert_eq!(parts.len(), 1, "{parts:?}");
        until(async || quarantined_parts(&fleet, 1).await == parts).await;
        let crashes = engines.crashes().len();
        let answer = caller.send(fleet.callers(1), &stream(USUAL.crashing_prompt, 0), PATIENCE).await;
        assert_eq!((answer.code(), answer.ran()), (Some("BH0310"), Some("no")));
        assert_eq!(engines.crashes().len(), crashes);
        let sections = format!("{SECTIONS}released_parts = {}\n", parts[0]);
        let released = GatewaySettings { sections, ..fleet.settings[0].clone() };
        fleet.gateway(0).write_settings(&released).unwrap();
        fleet.gateway(0).signal(Signal::HUP);
        until(async || quarantined_parts(&fleet, 2).await.is_empty()).await;
    });
}
