//! A fleet of gateways, its store and its upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{Pool, Tasks, fetch_bytes};
use bendhinge_standin::gateway::{Store, Upstream};
use smol::Timer;

use super::caller::GatewayCaller;
use super::process::{GatewayProcess, GatewaySettings, USUAL_DATA_CENTRE};
use super::proxy::Proxy;

/// A key of the rules' customer.
pub const KEY: &str = "key-one";

/// Rules with a route of each kind.
pub const RULES: &str = "\
[rules]
version = 1
[pool.engines]
keeps_prompts = yes
moves_prompts = yes
[pool.services]
[route.safe]
host = fleet.example
path = /safe/
kind = safe
pools = services
timeout_ms = 3000
target_ms = 300
attempts = 2
[route.unsafe]
host = fleet.example
path = /unsafe/
kind = unsafe
pools = services
timeout_ms = 3000
target_ms = 300
[route.stream]
host = fleet.example
path = /stream/
kind = stream
pools = engines
timeout_ms = 5000
target_ms = 500
gap_ms = 300
[route.resumable]
host = fleet.example
path = /resumable/
kind = resumable
pools = engines
timeout_ms = 5000
target_ms = 500
gap_ms = 100
attempts = 2
[route.open]
host = fleet.example
path = /open/
kind = safe
pools = services
timeout_ms = 3000
target_ms = 300
open = yes
[customer.one]
keys = key-one, key-two
";

/// How many of everything there are.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Gateways.
    pub gateways: usize,
    /// Upstreams of streams.
    pub engines: usize,
    /// Upstreams of other requests.
    pub services: usize,
}

/// The fleet.
pub struct GatewayFleet {
    /// Where tasks of this process run.
    pub tasks: Tasks,
    /// The store.
    pub store: Store,
    /// What stands before it.
    pub store_proxy: Proxy,
    /// The upstreams, engines first.
    pub upstreams: Vec<Upstream>,
    /// What stands before each of them.
    pub proxies: Vec<Proxy>,
    /// The gateways' settings, with the addresses that they took.
    pub settings: Vec<GatewaySettings>,
    /// The gateways; `None` while one is down.
    pub gateways: Vec<Option<GatewayProcess>>,
    /// Connections of this process.
    pub pool: Arc<Pool>,
}

impl GatewayFleet {
    /// Starts a fleet with the usual rules and waits until every gateway is ready.
    ///
    /// # Panics
    ///
    /// If something cannot be started: tests cannot go on then.
    pub async fn start(tasks: &Tasks, shape: FleetShape, sections: &str) -> Self {
        let FleetShape { gateways, engines, services } = shape;
        let engines: Vec<(String, &str)> = (0..engines).map(|number| (engine_name(number), "")).collect();
        Self::start_engines(tasks, gateways, &engines, services, sections).await
    }

    /// Starts a fleet whose engines run these versions of their software.
    ///
    /// # Panics
    ///
    /// If something cannot be started: tests cannot go on then.
    pub async fn start_versions(tasks: &Tasks, gateways: usize, versions: &[&str], sections: &str) -> Self {
        let engines = versions.iter().enumerate().map(|(number, software)| (engine_name(number), *software));
        Self::start_engines(tasks, gateways, &engines.collect::<Vec<_>>(), 0, sections).await
    }

    async fn start_engines(
        tasks: &Tasks,
        gateways: usize,
        engines: &[(String, &str)],
        services: usize,
        sections: &str,
    ) -> Self {
        const CONNECT: Duration = Duration::from_secs(5);
        const IDLE: Duration = Duration::from_secs(10);
        let store = Store::start(tasks).await.expect("a free port");
        let store_proxy = Proxy::start(tasks, store.address).expect("a free port");
        store.put_rules(RULES);
        let mut fleet = Self {
            tasks: Arc::clone(tasks),
            store,
            store_proxy,
            upstreams: Vec::new(),
            proxies: Vec::new(),
            settings: Vec::new(),
            gateways: Vec::new(),
            pool: Arc::new(Pool::new(Arc::clone(tasks), CONNECT, IDLE)),
        };
        for (name, software) in engines {
            fleet.add_engine(name, software).await;
        }
        for number in 0..services {
            fleet.add_upstream(&format!("services-{number}"), "services").await;
        }
        for number in 0..gateways {
            fleet.add_gateway(number, sections);
        }
        fleet.until_ready().await;
        fleet
    }

    /// Adds an upstream behind a proxy.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub async fn add_upstream(&mut self, name: &str, pool: &str) {
        let started = StartedUpstream::start(&self.tasks, name).await;
        self.adopt(pool, started);
    }

    /// Adds an engine with a version of its software.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub async fn add_engine(&mut self, name: &str, software: &str) {
        self.add_upstream_of(name, "engines", software).await;
    }

    /// Adds an upstream of a pool with a version of its software.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub async fn add_upstream_of(&mut self, name: &str, pool: &str, software: &str) {
        let started = StartedUpstream::start_version(&self.tasks, name, software).await;
        self.adopt(pool, started);
    }

    /// Lists an upstream that was started.
    pub fn adopt(&mut self, pool: &str, started: StartedUpstream) {
        let StartedUpstream { upstream, proxy } = started;
        self.store.add_with_software(&upstream.name(), pool, proxy.address, &upstream.software());
        self.upstreams.push(upstream);
        self.proxies.push(proxy);
    }

    fn add_gateway(&mut self, number: usize, sections: &str) {
        let seeds = self.settings.iter().map(|known| known.addresses["peers"]).collect();
        let mut settings = GatewaySettings {
            name: format!("gateway-{number}"),
            data_centre: USUAL_DATA_CENTRE,
            addresses: HashMap::new(),
            store: self.store_proxy.address,
            seeds,
            sections: sections.to_owned(),
        };
        let process = GatewayProcess::start(&settings).expect("the workspace is built");
        // After a restart it listens where it did before.
        for what in ["callers", "ready", "peers"] {
            settings.addresses.insert(what, process.address(what));
        }
        self.settings.push(settings);
        self.gateways.push(Some(process));
    }

    /// Starts a gateway that is down again, at its addresses.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn restart(&mut self, number: usize) {
        let process = GatewayProcess::start(&self.settings[number]).expect("its addresses are free again");
        self.gateways[number] = Some(process);
    }

    /// A running gateway.
    ///
    /// # Panics
    ///
    /// If it is down.
    #[must_use]
    pub fn gateway(&self, number: usize) -> &GatewayProcess {
        self.gateways[number].as_ref().expect("the gateway runs")
    }

    /// Where callers reach a gateway, also while it is down.
    #[must_use]
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.settings[number].addresses["callers"]
    }

    /// Whether a gateway calls itself ready.
    pub async fn is_ready(&self, number: usize) -> bool {
        const TIME: Duration = Duration::from_secs(2);
        let address = self.settings[number].addresses["ready"];
        fetch_bytes(&self.pool, address, "/ready", TIME).await.is_ok()
    }

    /// Waits until every gateway that runs is ready.
    pub async fn until_ready(&self) {
        for number in 0..self.gateways.len() {
            if self.gateways[number].is_some() {
                until(async || self.is_ready(number).await).await;
            }
        }
    }

    /// A caller.
    #[must_use]
    pub fn caller(&self) -> GatewayCaller {
        GatewayCaller::new(Arc::clone(&self.pool))
    }

    /// The processes of all upstreams end when they work on a request with this body.
    pub fn upstreams_end_under(&self, body: &'static str) {
        for (upstream, proxy) in self.upstreams.iter().zip(&self.proxies) {
            let proxy = proxy.clone();
            upstream.ends_under(body, move || {
                let proxy = proxy.clone();
                async move { proxy.end().await }
            });
        }
    }

    /// The entries of upstreams whose processes have ended lapse.
    pub fn unlist_ended_upstreams(&self) {
        for upstream in self.upstreams.iter().filter(|upstream| upstream.has_ended()) {
            self.store.remove(&upstream.name());
        }
    }

    /// How many upstreams' processes have ended.
    #[must_use]
    pub fn ended_upstreams(&self) -> usize {
        self.upstreams.iter().filter(|upstream| upstream.has_ended()).count()
    }

    /// How often a request ran, at all upstreams together.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(Upstream::runs);
        runs.filter(|run| run.request == request).count()
    }
}

/// An upstream and what stands before it, not listed yet.
pub struct StartedUpstream {
    upstream: Upstream,
    proxy: Proxy,
}

impl StartedUpstream {
    /// Starts both on free ports.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub async fn start(tasks: &Tasks, name: &str) -> Self {
        let upstream = Upstream::start(tasks, name).await.expect("a free port");
        let proxy = Proxy::start(tasks, upstream.address).expect("a free port");
        Self { upstream, proxy }
    }

    /// Returns both.
    #[must_use]
    pub fn into_parts(self) -> (Upstream, Proxy) {
        (self.upstream, self.proxy)
    }

    /// Starts both; the upstream runs a version of its software.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub async fn start_version(tasks: &Tasks, name: &str, software: &str) -> Self {
        let started = Self::start(tasks, name).await;
        started.upstream.set_software(software);
        started
    }
}

fn engine_name(number: usize) -> String {
    format!("engines-{number}")
}

/// Waits until `holds`, for as long as a loaded box may need.
///
/// # Panics
///
/// If it never does.
pub async fn until(mut holds: impl AsyncFnMut() -> bool) {
    const LOOK: Duration = Duration::from_millis(20);
    const LOOKS: u32 = 3_000;
    for _ in 0..LOOKS {
        if holds().await {
            return;
        }
        Timer::after(LOOK).await;
    }
    panic!("what was waited for did not come");
}
