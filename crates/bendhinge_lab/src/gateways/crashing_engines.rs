//! Engines that crash, under requests with one part in their prompts or by themselves, and are replaced some seconds later.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bendhinge_http::Tasks;
use bendhinge_standin::gateway::{Framing, Run, Store, Upstream};
use smol::Timer;

use super::fleet::{GatewayFleet, StartedUpstream};
use super::proxy::Proxy;

/// The pool of the engines.
const POOL: &str = "engines";
/// The time between events, so that a stream lasts longer than an engine takes to crash under it.
const PACE: Duration = Duration::from_millis(20);
/// The time from a crash until the list shows it.
const LISTED_FOR: Duration = Duration::from_millis(2_500);
/// The time from then on until a new engine takes its place.
const REPLACED_AFTER: Duration = Duration::from_millis(1_500);

/// An engine that runs.
struct Engine {
    upstream: Upstream,
    proxy: Proxy,
}

struct State {
    running: Vec<Engine>,
    ended: Vec<Upstream>,
    crashes: Vec<Instant>,
    crashes_under_part: Vec<Instant>,
    framing: Framing,
    started: usize,
}

/// The engines of a fleet; cheap to clone.
#[derive(Clone)]
pub struct CrashingEngines {
    tasks: Tasks,
    store: Store,
    /// The part under which engines crash, if there is one.
    part: Option<u64>,
    state: Arc<Mutex<State>>,
}

impl CrashingEngines {
    /// Takes over the engines of a fleet that has no other upstreams.
    #[must_use]
    pub fn new(fleet: &GatewayFleet, part: Option<u64>) -> Self {
        let state = State {
            running: Vec::new(),
            ended: Vec::new(),
            crashes: Vec::new(),
            crashes_under_part: Vec::new(),
            framing: Framing::Framed,
            started: fleet.upstreams.len(),
        };
        let engines = Self {
            tasks: Arc::clone(&fleet.tasks),
            store: fleet.store.clone(),
            part,
            state: Arc::new(Mutex::new(state)),
        };
        for (upstream, proxy) in fleet.upstreams.iter().zip(&fleet.proxies) {
            engines.begin(Engine { upstream: upstream.clone(), proxy: proxy.clone() });
        }
        engines
    }

    /// Sets how the end of responses is marked, also by engines that start later.
    pub fn set_framing(&self, framing: Framing) {
        let mut state = self.state.lock().unwrap();
        state.framing = framing;
        state.running.iter().for_each(|engine| engine.upstream.set_framing(framing));
    }

    /// Crashes an engine by itself.
    pub async fn crash_one(&self, index: usize) {
        let name = {
            let state = self.state.lock().unwrap();
            if state.running.is_empty() {
                return;
            }
            state.running[index % state.running.len()].upstream.name()
        };
        self.crash(&name, false).await;
    }

    /// When engines crashed.
    #[must_use]
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes.clone()
    }

    /// When engines crashed under requests with the part.
    #[must_use]
    pub fn crashes_under_part(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes_under_part.clone()
    }

    /// All requests that reached an engine.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        let state = self.state.lock().unwrap();
        let running = state.running.iter().map(|engine| &engine.upstream);
        running.chain(&state.ended).flat_map(Upstream::runs).collect()
    }

    fn begin(&self, engine: Engine) {
        let upstream = engine.upstream.clone();
        upstream.set_pace(PACE);
        if let Some(part) = self.part {
            let (engines, name) = (self.clone(), upstream.name());
            upstream.ends_under_part(part, move || {
                let (engines, name) = (engines.clone(), name.clone());
                async move { engines.crash(&name, true).await }
            });
        }
        let mut state = self.state.lock().unwrap();
        upstream.set_framing(state.framing);
        state.running.push(engine);
    }

    /// Ends an engine and starts another one in its place later.
    async fn crash(&self, name: &str, is_under_part: bool) {
        let engine = {
            let mut state = self.state.lock().unwrap();
            let index = state.running.iter().position(|engine| engine.upstream.name() == name);
            // Two requests with the part may run on an engine.
            let Some(index) = index else { return };
            let engine = state.running.swap_remove(index);
            state.ended.push(engine.upstream.clone());
            state.crashes.push(Instant::now());
            if is_under_part {
                state.crashes_under_part.push(Instant::now());
            }
            engine
        };
        engine.proxy.end().await;
        let (engines, name) = (self.clone(), name.to_owned());
        let replacing = async move {
            Timer::after(LISTED_FOR).await;
            engines.store.remove(&name);
            Timer::after(REPLACED_AFTER).await;
            engines.replace().await;
        };
        self.tasks.spawn(replacing).detach();
    }

    async fn replace(&self) {
        let number = {
            let mut state = self.state.lock().unwrap();
            state.started += 1;
            state.started
        };
        let started = StartedUpstream::start(&self.tasks, &format!("{POOL}-{number}")).await;
        let (upstream, proxy) = started.into_parts();
        self.store.add_with_software(&upstream.name(), POOL, proxy.address, &upstream.software());
        self.begin(Engine { upstream, proxy });
    }
}
