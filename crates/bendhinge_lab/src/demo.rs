//! The demonstration: one of the two deployments under `examples/`, with a load of its shape.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{Tasks, run_until};
use smol::Timer;

use crate::deployment::{Deployment, DeploymentError, OPERATORS_KEY};
use crate::fleet::{EngineShape, Fleet, FleetError};
use crate::load::{Load, LoadShape, Tally};

/// Why a demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The example could not be read.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// The fleet could not be started.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// Answers were lost or wrong.
    #[error("not every answer was whole and its own")]
    Answers,
}

/// What to show.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// `boyaca` or `fjordvei`.
    pub name: String,
    /// How many routers stand for the boxes.
    pub routers: usize,
    /// How long the fleet stays up after the load.
    pub keep: Duration,
    /// Where random choices begin.
    pub seed: u64,
}

/// Runs a demonstration; `Err` unless every answer was whole and its own.
pub fn run(options: &DemoOptions) -> Result<(), DemoError> {
    let tasks = Tasks::default();
    let callers_threads = NonZeroUsize::new(2).expect("two is not zero");
    run_until(&tasks, callers_threads, show(&tasks, options))
}

async fn show(tasks: &Tasks, options: &DemoOptions) -> Result<(), DemoError> {
    const RETRIES: u32 = 20;
    let deployment = Deployment::example(&options.name)?.with_routers(options.routers);
    println!(
        "{}: {} routers, {} members, seed {}",
        options.name,
        options.routers,
        deployment.members.members.len(),
        options.seed
    );
    let fleet = Fleet::start(tasks, deployment, EngineShape::default()).await?;
    print_addresses(&fleet);
    let shape = LoadShape::example(&options.name);
    print_by_hand(&fleet, &shape);
    let load = Arc::new(Load::new(&fleet, RETRIES));
    let tally = load.run(&fleet, &shape, options.seed).await;
    print_tally(&tally);
    if !options.keep.is_zero() {
        println!("the fleet stays up for {} s", options.keep.as_secs());
        Timer::after(options.keep).await;
    }
    let all_whole = tally.wrong == 0 && tally.unknown == 0 && tally.errors == 0 && tally.given_up == 0;
    if all_whole { Ok(()) } else { Err(DemoError::Answers) }
}

fn print_addresses(fleet: &Fleet) {
    println!("platform   {}", fleet.platform.address("platform"));
    for (name, router) in &fleet.routers {
        let address = |what| router.address(what);
        println!(
            "{name:<10} callers {}  operators {}  peers {}",
            address("callers"),
            address("operators"),
            address("peers")
        );
    }
    for (name, upstream) in &fleet.upstreams {
        println!("{name:<10} {}", upstream.address(name));
    }
    let operators: Vec<String> =
        fleet.routers.values().map(|router| router.address("operators").to_string()).collect();
    println!("operators' key: {OPERATORS_KEY}; operators' addresses: {}", operators.join(" "));
}

fn print_by_hand(fleet: &Fleet, shape: &LoadShape) {
    let router = fleet.callers()[0];
    let chat = &shape.chats[0];
    println!("one request by hand (use --keep SECONDS to have time for it):");
    println!(
        "  curl -s http://{router}/v1/chat/completions -H 'Authorization: Bearer demo-key-{}' \\\n    -d '{{\"model\":\"{}\",\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        chat.customers[0], chat.model
    );
}

fn print_tally(tally: &Tally) {
    println!("requests           {}", tally.requests);
    println!("served             {}", tally.served);
    println!("refused for now    {}", tally.refused);
    println!("unknown outcome    {}", tally.unknown);
    println!("errors             {}", tally.errors);
    println!("wrong answers      {}", tally.wrong);
    println!("given up           {}", tally.given_up);
    println!("returning turns    {}, of which {} found their context", tally.returning, tally.found_context);
    println!("codes              {:?}", tally.codes);
}
