//! What failures cost: time in force, drains, a killed router, and a seeded run with faults.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::{Tasks, run_until};
use bendhinge_membership::MemberState;
use bendhinge_standin::engine::{EngineState, Faults};
use bendhinge_standin::service::Faults as ServiceFaults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::Timer;

use super::{MeasureError, figure};
use crate::client::{Caller, ChatTurn};
use crate::deployment::Deployment;
use crate::fleet::{EngineShape, Fleet, FleetError};
use crate::load::{CallKind, ChatKind, Load, LoadShape, Tally};

const SEED: u64 = 20_261_202;

fn boyaca(routers: usize) -> Deployment {
    Deployment::example("boyaca").expect("the example is part of the project").with_routers(routers)
}

/// All figures of the group.
pub(super) fn run() -> Result<(), MeasureError> {
    let tasks = Tasks::default();
    let threads = NonZeroUsize::new(2).expect("two is not zero");
    run_until(&tasks, threads, async {
        in_force(&tasks).await?;
        drain(&tasks).await?;
        failover(&tasks).await?;
        faults(&tasks).await?;
        Ok(())
    })
}

/// From publishing to the slowest router, worst of some changes.
async fn in_force(tasks: &Tasks) -> Result<(), FleetError> {
    const CHANGES: u64 = 3;
    for routers in [3, 9, 18, 36] {
        let fleet = Fleet::start(tasks, boyaca(routers), EngineShape::default()).await?;
        let mut slowest = Duration::ZERO;
        for change in 0..CHANGES {
            let revision = 2 + change;
            let document = boyaca(routers)
                .with_configuration("class.reader", "share", &(20 + change).to_string())
                .with_configuration("fleet", "revision", &revision.to_string());
            let began = Instant::now();
            fleet.publish_configuration(&document.sealed()).await?;
            for router in fleet.routers.keys() {
                fleet
                    .wait_until(router, "in force", |status| status["configuration_revision"] == revision)
                    .await?;
            }
            slowest = slowest.max(began.elapsed());
        }
        figure(&format!("config.in_force_s.{routers}_routers"), slowest.as_secs_f64(), "s");
    }
    Ok(())
}

fn steady(chats: u32, answer_tokens: u32) -> LoadShape {
    let pause = Duration::from_millis(100);
    let customers = &["newsroom-tunja", "newsroom-duitama"];
    LoadShape {
        chats: vec![ChatKind {
            name: "steady",
            customers,
            model: "boletin-7b",
            chats,
            turns: 20,
            opening_words: 40,
            turn_words: 10,
            answer_tokens,
            pause,
            burst: false,
        }],
        calls: Vec::new(),
    }
}

/// A fleet with a load that runs beside what is measured.
struct Loaded {
    fleet: Arc<Fleet>,
    running: smol::Task<Tally>,
}

fn begin_load(tasks: &Tasks, fleet: Fleet, shape: LoadShape) -> Loaded {
    const RETRIES: u32 = 20;
    let fleet = Arc::new(fleet);
    let load = Arc::new(Load::new(&fleet, RETRIES));
    let beside = Arc::clone(&fleet);
    let running = tasks.spawn(async move { load.run(&beside, &shape, SEED).await });
    Loaded { fleet, running }
}

/// Two engines leave by the platform's list, under load: the last new work there, and what was cut.
async fn drain(tasks: &Tasks) -> Result<(), FleetError> {
    let fleet = Fleet::start(tasks, boyaca(3), EngineShape::default()).await?;
    let Loaded { fleet, running } = begin_load(tasks, fleet, steady(60, 150));
    Timer::after(Duration::from_secs(2)).await;
    let leaving = ["b-runner-1", "b-runner-2"];
    let members = {
        let mut members = fleet.members.clone();
        members.revision += 1;
        for member in &mut members.members {
            let name = match &member.role {
                bendhinge_membership::MemberRole::Upstream { name, .. } => name.as_str(),
                bendhinge_membership::MemberRole::Router { .. } => continue,
            };
            if leaving.contains(&name) {
                member.state = MemberState::Leaving;
            }
        }
        members
    };
    fleet.publish_list(&members).await?;
    let began = Instant::now();
    let mut last_new_work = Duration::ZERO;
    let mut begun = begun_at(&fleet, &leaving).await?;
    while began.elapsed() < Duration::from_secs(6) {
        Timer::after(Duration::from_millis(50)).await;
        let now = begun_at(&fleet, &leaving).await?;
        if now > begun {
            last_new_work = began.elapsed();
            begun = now;
        }
    }
    let tally = running.await;
    figure("drain.last_new_work_s", last_new_work.as_secs_f64(), "s");
    figure("drain.cut_requests", (tally.unknown + tally.errors + tally.wrong) as f64, "requests");
    figure("drain.requests", tally.requests as f64, "requests");
    Ok(())
}

async fn begun_at(fleet: &Fleet, engines: &[&str]) -> Result<u64, FleetError> {
    let mut begun = 0;
    for engine in engines {
        begun += fleet.upstream_page::<EngineState>(engine, "/control/state").await?.begun;
    }
    Ok(begun)
}

/// A router is killed: the time until the others serve what it counted for as before.
async fn failover(tasks: &Tasks) -> Result<(), FleetError> {
    let mut fleet = Fleet::start(tasks, boyaca(3), EngineShape::default()).await?;
    fleet.routers.get_mut("box-2").expect("there are three").kill();
    let addresses: Vec<_> =
        ["box-1", "box-3"].iter().map(|name| fleet.routers[*name].address("callers")).collect();
    let mut slowest = Duration::ZERO;
    for number in 0..60_usize {
        let turn = ChatTurn::first("boletin-7b", &format!("failover {number}"), true, 4);
        let outcome = Caller::new(&fleet.pool, "newsroom-tunja").chat(addresses[number % 2], &turn).await;
        slowest = slowest.max(if outcome.served() { outcome.first } else { Duration::from_secs(60) });
    }
    figure("failover.first_token_s", slowest.as_secs_f64(), "s");
    Ok(())
}

/// A load with bulletins while engines and the portal fail, a router freezes and one is killed.
async fn faults(tasks: &Tasks) -> Result<(), FleetError> {
    let fleet = Fleet::start(tasks, boyaca(6), EngineShape::default()).await?;
    let mut shape = steady(80, 40);
    shape.calls = (0..6)
        .map(|_| CallKind {
            name: "bulletins",
            customers: &["dispatch-water", "dispatch-power"],
            path: "/portal/bulletins",
            once: true,
            calls: 120,
            pause: Duration::from_millis(60),
        })
        .collect();
    let Loaded { fleet, running } = begin_load(tasks, fleet, shape);
    trouble(&fleet).await?;
    let tally = running.await;
    let mut tried = 0_u64;
    let mut duplicates = 0_u64;
    for portal in ["b-portal-1", "b-portal-2", "b-portal-3"] {
        let runs: HashMap<String, u32> = fleet.upstream_page(portal, "/control/runs").await?;
        tried += runs.len() as u64;
        duplicates += runs.values().map(|count| u64::from(count - 1)).sum::<u64>();
    }
    figure("once.duplicates", duplicates as f64, "requests");
    figure("once.tried", tried as f64, "requests");
    figure("answers.wrong", tally.wrong as f64, "answers");
    figure("answers.tried", tally.requests as f64, "answers");
    figure("answers.unknown_ratio", tally.unknown as f64 / tally.requests as f64, "ratio");
    figure("answers.given_up", tally.given_up as f64, "requests");
    Ok(())
}

/// Faults by turns, drawn from the seed.
async fn trouble(fleet: &Fleet) -> Result<(), FleetError> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    for _ in 0..12 {
        let engine = format!("b-runner-{}", random.random_range(1..=12));
        let portal = format!("b-portal-{}", random.random_range(1..=3));
        let kinds = [
            Faults { cut_before_answer: true, ..Faults::default() },
            Faults { cut_after_tokens: Some(5), ..Faults::default() },
            Faults { end_after_tokens: Some(5), ..Faults::default() },
            Faults { garbage: true, ..Faults::default() },
            Faults { delay_ms: 300, ..Faults::default() },
        ];
        fleet.upstream_faults(&engine, &kinds[random.random_range(0..kinds.len())]).await?;
        let cut = ServiceFaults {
            cut_before_answer: random.random_bool(0.5),
            delay_ms: 20,
            ..ServiceFaults::default()
        };
        fleet.upstream_faults(&portal, &cut).await?;
        let frozen = format!("box-{}", random.random_range(1..=6));
        fleet.routers[&frozen].freeze();
        Timer::after(Duration::from_millis(random.random_range(100..1_200))).await;
        fleet.routers[&frozen].thaw();
        fleet.upstream_faults(&engine, &Faults::default()).await?;
        fleet.upstream_faults(&portal, &ServiceFaults::default()).await?;
    }
    Ok(())
}
