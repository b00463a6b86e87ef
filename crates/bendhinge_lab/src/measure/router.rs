//! What one router adds and costs, against the same load sent straight to the stand-in, in turns
//! within one run.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::{Pool, Tasks, run_until};
use hdrhistogram::Histogram;
use smol::Timer;

use super::{MeasureError, figure};
use crate::client::{Caller, ChatTurn};
use crate::deployment::Deployment;
use crate::fleet::{EngineShape, Fleet, FleetError};

/// Engines without pauses, so that the router is what is measured.
const FAST: EngineShape = EngineShape { slots: 256, cache_tokens: 1_000, prefill_us: 0, decode_us: 0 };
const CONNECTIONS: usize = 32;
const ROUNDS: usize = 3;
const SLICE: Duration = Duration::from_secs(3);

async fn one_router(tasks: &Tasks, shape: EngineShape) -> Result<Fleet, FleetError> {
    let deployment = Deployment::example("boyaca").expect("the example is part of the project");
    let deployment = deployment
        .with_routers(1)
        .with_upstreams("language", 1)
        .with_upstreams("portal", 0)
        .with_configuration("pool.language", "slots", "4096")
        .with_configuration("customer.newsroom-tunja", "in_progress", "4096");
    Fleet::start(tasks, deployment, shape).await
}

fn turn(number: usize, stream: bool, max_tokens: u32) -> ChatTurn {
    ChatTurn::first("boletin-7b", &format!("question {number}"), stream, max_tokens)
}

struct Slice {
    served: u64,
    seconds: f64,
    latency_us: Histogram<u64>,
}

/// Sends turns one after the other on each of `connections` connections for a while.
async fn load(tasks: &Tasks, address: SocketAddr, connections: usize, stream: bool, tokens: u32) -> Slice {
    let pool = Arc::new(Pool::new(Arc::clone(tasks), Duration::from_secs(5), Duration::from_secs(30)));
    let began = Instant::now();
    let loops = (0..connections).map(|number| {
        let caller = Caller::new(&pool, "newsroom-tunja");
        tasks.spawn(async move {
            let mut latency = Histogram::<u64>::new(3).expect("three digits are supported");
            let mut round = 0;
            while began.elapsed() < SLICE {
                round += 1;
                let sent = Instant::now();
                let outcome = caller.chat(address, &turn(number * 1_000_000 + round, stream, tokens)).await;
                if outcome.served() {
                    let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
                    latency.record(micros).expect("the histogram grows by itself");
                }
            }
            latency
        })
    });
    let loops: Vec<_> = loops.collect();
    let mut latency_us = Histogram::<u64>::new(3).expect("three digits are supported");
    for task in loops {
        latency_us.add(task.await).expect("the histogram grows by itself");
    }
    Slice { served: latency_us.len(), seconds: began.elapsed().as_secs_f64(), latency_us }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// All figures of the group.
pub(super) fn run() -> Result<(), MeasureError> {
    let tasks = Tasks::default();
    let threads = NonZeroUsize::new(3).expect("three is not zero");
    run_until(&tasks, threads, async {
        let fleet = one_router(&tasks, FAST).await?;
        throughput(&tasks, &fleet).await;
        streams(&tasks, &fleet).await;
        drop(fleet);
        memory(&tasks).await?;
        Ok(())
    })
}

fn addresses(fleet: &Fleet) -> (SocketAddr, SocketAddr) {
    (fleet.callers()[0], fleet.upstreams["b-runner-1"].address("b-runner-1"))
}

async fn throughput(tasks: &Tasks, fleet: &Fleet) {
    let (router, engine) = addresses(fleet);
    let (mut ratios, mut p50s, mut p99s) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let straight = load(tasks, engine, CONNECTIONS, false, 4).await;
        let through = load(tasks, router, CONNECTIONS, false, 4).await;
        let rate = |slice: &Slice| slice.served as f64 / slice.seconds;
        ratios.push(rate(&through) / rate(&straight));
        // Added time is measured without queues: one connection.
        let straight = load(tasks, engine, 1, false, 4).await;
        let through = load(tasks, router, 1, false, 4).await;
        let added = |quantile| {
            through.latency_us.value_at_quantile(quantile) as f64
                - straight.latency_us.value_at_quantile(quantile) as f64
        };
        p50s.push(added(0.5));
        p99s.push(added(0.99));
    }
    figure("router.throughput_ratio", median(ratios), "ratio");
    figure("router.added_p50_us", median(p50s), "us");
    figure("router.added_p99_us", median(p99s), "us");
}

async fn streams(tasks: &Tasks, fleet: &Fleet) {
    const TOKENS: u32 = 400;
    let (router, engine) = addresses(fleet);
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let straight = load(tasks, engine, 8, true, TOKENS).await;
        let through = load(tasks, router, 8, true, TOKENS).await;
        ratios.push(through.served as f64 / through.seconds / (straight.served as f64 / straight.seconds));
    }
    figure("router.stream_ratio", median(ratios), "ratio");
}

/// Resident memory of the router with many streams open, over that with none.
async fn memory(tasks: &Tasks) -> Result<(), FleetError> {
    const STREAMS: usize = 600;
    let slow = EngineShape { slots: 4_096, decode_us: 50_000, ..FAST };
    let fleet = one_router(tasks, slow).await?;
    let (router, _) = addresses(&fleet);
    let process = &fleet.routers["box-1"];
    // The first requests build what the later ones use again.
    load(tasks, router, CONNECTIONS, false, 1).await;
    let before = process.usage().map_or(0, |usage| usage.memory_kib);
    let pool = Arc::clone(&fleet.pool);
    let open: Vec<_> = (0..STREAMS)
        .map(|number| {
            let caller = Caller::new(&pool, "newsroom-tunja");
            tasks.spawn(async move { caller.chat(router, &turn(number, true, 2_000)).await })
        })
        .collect();
    Timer::after(Duration::from_secs(4)).await;
    let after = process.usage().map_or(0, |usage| usage.memory_kib);
    drop(open);
    figure("router.memory_kb_per_stream", after.saturating_sub(before) as f64 / STREAMS as f64, "KiB");
    figure("router.memory_idle_mb", before as f64 / 1024.0, "MiB");
    Ok(())
}
