//! What routers spend on each other and on the platform, and how it grows with their number.

use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use bendhinge_http::{Tasks, run_until};
use smol::Timer;

use super::{MeasureError, figure};
use crate::client::{Caller, ChatTurn};
use crate::deployment::Deployment;
use crate::fleet::{EngineShape, Fleet, FleetError};

const SIZES: [usize; 4] = [3, 9, 18, 36];
/// Turns a second that each router is given while it is measured: what a router has at the planned size.
const TURNS_PER_ROUTER: f64 = 26.0;
const LENGTH: Duration = Duration::from_secs(10);

/// All figures of the group.
pub(super) fn run() -> Result<(), MeasureError> {
    let tasks = Tasks::default();
    let threads = NonZeroUsize::new(2).expect("two is not zero");
    let mut idle_bytes = Vec::new();
    let mut idle_cpu = Vec::new();
    for routers in SIZES {
        let spent = run_until(&tasks, threads, one_size(&tasks, routers))?;
        idle_bytes.push((routers as f64, spent.idle.bytes_per_s));
        idle_cpu.push((routers as f64, spent.idle.cpu_percent));
        print(routers, &spent);
    }
    figure("control.bytes_per_s.idle_slope", slope(&idle_bytes), "B/s per router");
    figure("control.cpu_percent.idle_slope", slope(&idle_cpu), "percent per router");
    Ok(())
}

fn print(routers: usize, spent: &Spent) {
    figure(&format!("control.bytes_per_s.idle.{routers}_routers"), spent.idle.bytes_per_s, "B/s");
    figure(
        &format!("control.cpu_percent.idle.{routers}_routers"),
        spent.idle.cpu_percent,
        "percent of a core",
    );
    figure(&format!("control.memory_mb.{routers}_routers"), spent.memory_mb, "MiB");
    figure(
        &format!("config.platform_calls_per_min.watch_2s.{routers}_routers"),
        spent.platform_calls_per_min,
        "1/min",
    );
    if let Some(busy) = spent.busy {
        figure(&format!("control.bytes_per_s.busy.{routers}_routers"), busy.bytes_per_s, "B/s");
        figure(&format!("control.bytes_per_turn.{routers}_routers"), busy.bytes_per_turn, "B");
    }
}

/// The least-squares slope of a line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

#[derive(Clone, Copy)]
struct Rates {
    /// Sent and received, for each router.
    bytes_per_s: f64,
    cpu_percent: f64,
    bytes_per_turn: f64,
}

struct Spent {
    idle: Rates,
    /// Not measured where the box could not carry the load of all routers besides.
    busy: Option<Rates>,
    memory_mb: f64,
    platform_calls_per_min: f64,
}

async fn one_size(tasks: &Tasks, routers: usize) -> Result<Spent, FleetError> {
    const LARGEST_BUSY: usize = 9;
    let deployment = Deployment::example("boyaca").expect("the example is part of the project");
    // Short watches, so that enough calls fall into the time; with the 20 s of the settings
    // there are a tenth as many.
    let deployment = deployment.with_routers(routers).with_setting("platform", "wait_ms", "2000");
    let fleet = Fleet::start(tasks, deployment, EngineShape::default()).await?;
    // Connections between all routers are made in the first seconds.
    Timer::after(Duration::from_secs(5)).await;
    let calls = fleet.platform_calls().await?;
    let idle = rates(&fleet, 0.0).await?;
    let called = fleet.platform_calls().await?;
    let calls = called.config + called.members - calls.config - calls.members;
    let memory: f64 = fleet
        .routers
        .values()
        .filter_map(crate::process::Process::usage)
        .map(|usage| usage.memory_kib as f64)
        .sum();
    let busy = if routers <= LARGEST_BUSY { Some(rates(&fleet, TURNS_PER_ROUTER).await?) } else { None };
    Ok(Spent {
        idle,
        busy,
        memory_mb: memory / 1024.0 / routers as f64,
        platform_calls_per_min: calls as f64 * 60.0 / LENGTH.as_secs_f64(),
    })
}

async fn rates(fleet: &Fleet, turns: f64) -> Result<Rates, FleetError> {
    let before = totals(fleet).await?;
    let began = Instant::now();
    let served = if turns > 0.0 {
        load(fleet, turns).await
    } else {
        Timer::after(LENGTH).await;
        0
    };
    let after = totals(fleet).await?;
    let router_seconds = began.elapsed().as_secs_f64() * fleet.routers.len() as f64;
    let bytes = after.bytes - before.bytes;
    Ok(Rates {
        bytes_per_s: bytes / router_seconds,
        cpu_percent: (after.cpu - before.cpu) * 100.0 / router_seconds,
        bytes_per_turn: bytes / f64::from(served.max(1)),
    })
}

struct Totals {
    bytes: f64,
    cpu: f64,
}

async fn totals(fleet: &Fleet) -> Result<Totals, FleetError> {
    let mut totals = Totals { bytes: 0.0, cpu: 0.0 };
    for (name, process) in &fleet.routers {
        let status = fleet.status(name).await?;
        let field = |field: &str| status[field].as_f64().unwrap_or(0.0);
        totals.bytes += field("peer_sent_bytes") + field("peer_received_bytes");
        totals.cpu += process.usage().map_or(0.0, |usage| usage.cpu.as_secs_f64());
    }
    Ok(totals)
}

/// Sends short turns of many chats at a fixed rate through all routers; gives how many were served.
async fn load(fleet: &Fleet, per_router: f64) -> u32 {
    let routers = fleet.callers();
    let pause = Duration::from_secs_f64(1.0 / (per_router * routers.len() as f64));
    let began = Instant::now();
    let mut pending = Vec::new();
    let mut number = 0_u32;
    while began.elapsed() < LENGTH {
        let caller = Caller::new(&fleet.pool, "newsroom-tunja");
        let router = routers[number as usize % routers.len()];
        let turn = ChatTurn::first("boletin-7b", &format!("control {number}"), false, 50);
        pending.push(fleet.tasks.spawn(async move { caller.chat(router, &turn).await.served() }));
        number += 1;
        // Kept to the plan, also where one pause took longer.
        let next = began + pause * number;
        Timer::after(next.saturating_duration_since(Instant::now())).await;
    }
    let mut served = 0;
    for task in pending {
        served += u32::from(task.await);
    }
    served
}
