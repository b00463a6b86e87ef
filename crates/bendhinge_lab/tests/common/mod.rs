//! What the tests over real processes share.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::future::Future;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use bendhinge_delivery::OnceKey;
use bendhinge_http::{Tasks, run_until};
use bendhinge_lab::client::{Caller, ChatTurn, Outcome};
use bendhinge_lab::deployment::Deployment;
use bendhinge_lab::fleet::{EngineShape, Fleet, FleetError};
use hyper::Method;
use smol::Timer;

/// The customer of most tests.
pub const CUSTOMER: &str = "newsroom-tunja";
/// The model of most tests.
pub const MODEL: &str = "boletin-7b";

/// Runs a test's body.
pub fn run<F: Future<Output = ()>>(body: impl FnOnce(Tasks) -> F) {
    let tasks = Tasks::default();
    let workers = NonZeroUsize::new(2).unwrap();
    run_until(&tasks, workers, body(tasks.clone()));
}

/// Three routers, three engines, one portal.
pub fn small() -> Deployment {
    Deployment::example("boyaca").unwrap().with_upstreams("language", 3).with_upstreams("portal", 1)
}

/// Starts a small fleet.
pub async fn start(tasks: &Tasks) -> Fleet {
    start_with(tasks, small()).await
}

/// Starts a fleet.
pub async fn start_with(tasks: &Tasks, deployment: Deployment) -> Fleet {
    Fleet::start(tasks, deployment, EngineShape::default()).await.unwrap()
}

/// A caller of the usual customer.
pub fn caller(fleet: &Fleet) -> Caller {
    Caller::new(&fleet.pool, CUSTOMER)
}

/// A turn with one message.
pub fn turn(text: &str, stream: bool, max_tokens: u32) -> ChatTurn {
    ChatTurn::first(MODEL, text, stream, max_tokens)
}

/// Where callers reach one router.
pub fn callers_of(fleet: &Fleet, router: &str) -> SocketAddr {
    fleet.routers[router].address("callers")
}

/// A bulletin that may run at most once.
pub async fn bulletin(fleet: &Fleet, router: &str, key: &str, attempt: u32) -> Outcome {
    let headers = [
        ("idempotency-key", key.to_owned()),
        ("x-bendhinge-repeat", "never".to_owned()),
        ("x-bendhinge-attempt", attempt.to_string()),
    ];
    let caller = Caller::new(&fleet.pool, "dispatch-water");
    caller
        .call(
            callers_of(fleet, router),
            Method::POST,
            "/portal/bulletins",
            &headers,
            format!("text of {key}"),
        )
        .await
}

/// How often the portal ran a bulletin.
pub async fn runs(fleet: &Fleet, key: &str) -> u32 {
    let runs: std::collections::HashMap<String, u32> =
        fleet.upstream_page("b-portal-1", "/control/runs").await.unwrap();
    runs.get(key).copied().unwrap_or(0)
}

/// Which router keeps a key.
pub fn keeper(fleet: &Fleet, key: &str) -> String {
    let key = OnceKey::of("dispatch-water", key.as_bytes()).as_text();
    let names: Vec<bendhinge_ids::BoxName> = fleet.routers.keys().map(|name| name.parse().unwrap()).collect();
    bendhinge_placement::owner_of(&key, &names).unwrap().to_string()
}

/// A key that the router called `name` keeps.
pub fn key_kept_by(fleet: &Fleet, name: &str) -> String {
    for number in 0..1_000 {
        let key = format!("bulletin-{number}");
        if keeper(fleet, &key) == name {
            return key;
        }
    }
    panic!("no key found that {name} keeps");
}

/// Waits until `condition` holds, for as long as a loaded box may need.
pub async fn eventually<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    const TRIES: u32 = 1_500;
    for _ in 0..TRIES {
        if condition().await {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    panic!("never came about: {what}");
}

/// The revision in force at a router.
pub async fn revision(fleet: &Fleet, router: &str) -> u64 {
    fleet.status(router).await.map_or(0, |status| status["configuration_revision"].as_u64().unwrap_or(0))
}

/// Waits until every router has `revision` in force.
pub async fn in_force_everywhere(fleet: &Fleet, revision: u64) -> Result<(), FleetError> {
    for router in fleet.routers.keys() {
        fleet
            .wait_until(router, "revision in force", |status| status["configuration_revision"] == revision)
            .await?;
    }
    Ok(())
}
