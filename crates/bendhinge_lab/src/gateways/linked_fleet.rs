//! Gateways with links of their own to the upstreams, so that some can be partitioned from upstreams that others reach.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{Pool, Tasks, fetch_bytes};
use bendhinge_standin::gateway::{Store, Upstream};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::caller::{Answer, Call, GatewayCaller};
use super::fleet::{FleetShape, RULES, until};
use super::process::{GatewayProcess, GatewaySettings, USUAL_DATA_CENTRE};
use super::proxy::{Harm, Proxy};

/// How the links of a gateway are partitioned from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Open connections are reset, and new ones refused.
    Reset,
    /// Open connections become silent, and new ones get no answer.
    Silent,
    /// Open connections stay, and new ones are refused.
    OpenConnectionsStay,
}

impl Partition {
    /// One of them at random.
    pub(super) fn any(random: &mut ChaCha8Rng) -> Self {
        match random.random_range(0..3) {
            0 => Self::Reset,
            1 => Self::Silent,
            _ => Self::OpenConnectionsStay,
        }
    }
}

/// How a gateway is started.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStart<'a> {
    /// Its data centre.
    pub data_centre: &'static str,
    /// Further sections of its settings.
    pub sections: &'a str,
}

impl<'a> GatewayStart<'a> {
    /// A gateway in the usual data centre.
    #[must_use]
    pub const fn new(sections: &'a str) -> Self {
        Self { data_centre: USUAL_DATA_CENTRE, sections }
    }
}

/// A fleet in which each gateway has a proxy of its own before each upstream.
///
/// Each gateway reads a store of its own, which differs from the others only in the addresses of the upstreams. Stores
/// that are changed alike have equal revisions, so that the gateways do not fetch each other's lists.
pub struct LinkedFleet {
    /// The upstreams, engines first.
    pub upstreams: Vec<Upstream>,
    /// The gateways' settings, with the addresses that they took.
    pub settings: Vec<GatewaySettings>,
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    /// The store of each gateway.
    pub stores: Vec<Store>,
    /// Connections of this process.
    pub pool: Arc<Pool>,
    /// The links of each gateway, in the order of the upstreams.
    links: Vec<Vec<Proxy>>,
}

impl LinkedFleet {
    /// Starts a fleet with the usual rules and waits until all gateways are ready and know each other.
    ///
    /// # Panics
    ///
    /// If something cannot be started: tests cannot go on then.
    pub async fn start(tasks: &Tasks, shape: FleetShape, sections: &str) -> Self {
        Self::start_each(tasks, shape, |_| GatewayStart::new(sections)).await
    }

    /// Starts a fleet whose gateways differ, by their numbers.
    ///
    /// # Panics
    ///
    /// If something cannot be started: tests cannot go on then.
    pub async fn start_each<'a>(
        tasks: &Tasks,
        shape: FleetShape,
        start: impl Fn(usize) -> GatewayStart<'a>,
    ) -> Self {
        Self::start_engines(tasks, shape, &vec![""; shape.engines], RULES, start).await
    }

    /// Starts a fleet with other rules.
    ///
    /// # Panics
    ///
    /// If something cannot be started: tests cannot go on then.
    pub async fn start_with_rules(tasks: &Tasks, shape: FleetShape, sections: &str, rules: &str) -> Self {
        let start = |_| GatewayStart::new(sections);
        Self::start_engines(tasks, shape, &vec![""; shape.engines], rules, start).await
    }

    /// Starts a fleet whose engines run these versions of their software.
    ///
    /// # Panics
    ///
    /// If something cannot be started: tests cannot go on then.
    pub async fn start_versions(tasks: &Tasks, gateways: usize, versions: &[&str], sections: &str) -> Self {
        let shape = FleetShape { gateways, engines: versions.len(), services: 0 };
        Self::start_engines(tasks, shape, versions, RULES, |_| GatewayStart::new(sections)).await
    }

    async fn start_engines<'a>(
        tasks: &Tasks,
        FleetShape { gateways, services, .. }: FleetShape,
        engines: &[&str],
        rules: &str,
        start: impl Fn(usize) -> GatewayStart<'a>,
    ) -> Self {
        const CONNECT: Duration = Duration::from_secs(5);
        const IDLE: Duration = Duration::from_secs(10);
        let mut fleet = Self {
            upstreams: Vec::new(),
            settings: Vec::new(),
            gateways: Vec::new(),
            stores: Vec::new(),
            pool: Arc::new(Pool::new(Arc::clone(tasks), CONNECT, IDLE)),
            links: Vec::new(),
        };
        let mut pools = Vec::new();
        for (pool, versions) in [("engines", engines), ("services", &vec![""; services])] {
            for (number, software) in versions.iter().enumerate() {
                let name = format!("{pool}-{number}");
                let upstream = Upstream::start(tasks, &name).await.expect("a free port");
                upstream.set_software(software);
                fleet.upstreams.push(upstream);
                pools.push(pool);
            }
        }
        for number in 0..gateways {
            fleet.add_gateway(tasks, number, &pools, rules, start(number)).await;
        }
        for number in 0..gateways {
            fleet.introduce(number);
        }
        fleet.until_connected().await;
        fleet
    }

    async fn add_gateway(
        &mut self,
        tasks: &Tasks,
        number: usize,
        pools: &[&str],
        rules: &str,
        start: GatewayStart<'_>,
    ) {
        let store = Store::start(tasks).await.expect("a free port");
        store.put_rules(rules);
        let mut links = Vec::new();
        for (upstream, pool) in self.upstreams.iter().zip(pools) {
            let link = Proxy::start(tasks, upstream.address).expect("a free port");
            store.add_with_software(&upstream.name(), pool, link.address, &upstream.software());
            links.push(link);
        }
        let mut settings = GatewaySettings {
            name: format!("gateway-{number}"),
            data_centre: start.data_centre,
            addresses: HashMap::new(),
            store: store.address,
            seeds: Vec::new(),
            sections: start.sections.to_owned(),
        };
        let process = GatewayProcess::start(&settings).expect("the workspace is built");
        for what in ["callers", "ready", "peers"] {
            settings.addresses.insert(what, process.address(what));
        }
        self.settings.push(settings);
        self.gateways.push(process);
        self.stores.push(store);
        self.links.push(links);
        until(async || self.is_ready(number).await).await;
    }

    /// Kills a gateway and starts it again at its addresses.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn restart(&mut self, number: usize) {
        self.gateways[number].kill();
        // It first reads its own store and learns of the others later, as at the start.
        let seeds = std::mem::take(&mut self.settings[number].seeds);
        let process = GatewayProcess::start(&self.settings[number]).expect("its addresses are free again");
        self.settings[number].seeds = seeds;
        self.gateways[number] = process;
        self.introduce(number);
    }

    /// Names all other gateways to one that holds a list of its own.
    fn introduce(&mut self, number: usize) {
        let all = self.settings.iter().map(|settings| settings.addresses["peers"]);
        let own = self.settings[number].addresses["peers"];
        self.settings[number].seeds = all.filter(|address| *address != own).collect();
        let gateway = &self.gateways[number];
        gateway.write_settings(&self.settings[number]).expect("the directory of temporary files is writable");
        gateway.signal(Signal::HUP);
    }

    /// Waits until every gateway has exchanged messages.
    async fn until_connected(&self) {
        for number in 0..self.gateways.len() {
            until(async || self.metric(number, "bendhinge_gateway_exchanges_total").await > Some(2)).await;
        }
    }

    /// Partitions a gateway from all upstreams.
    pub async fn partition(&self, gateway: usize, how: Partition) {
        for link in &self.links[gateway] {
            cut(link, how).await;
        }
    }

    /// Partitions a gateway from the upstreams whose names begin with `prefix`.
    pub async fn partition_from(&self, gateway: usize, prefix: &str, how: Partition) {
        for (link, upstream) in self.links[gateway].iter().zip(&self.upstreams) {
            if upstream.name().starts_with(prefix) {
                cut(link, how).await;
            }
        }
    }

    /// Ends the partition of a gateway.
    pub async fn restore(&self, gateway: usize) {
        for link in &self.links[gateway] {
            link.set(Harm::None);
            link.accept_new().await;
        }
    }

    /// Where callers reach a gateway.
    #[must_use]
    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.settings[gateway].addresses["callers"]
    }

    /// Sends a call to a gateway.
    pub async fn send(&self, gateway: usize, call: &Call) -> Answer {
        const PATIENCE: Duration = Duration::from_secs(20);
        GatewayCaller::new(Arc::clone(&self.pool)).send(self.callers(gateway), call, PATIENCE).await
    }

    /// Whether a gateway calls itself ready.
    pub async fn is_ready(&self, gateway: usize) -> bool {
        self.fetch(gateway, "/ready").await.is_some()
    }

    /// The sum of a metric of a gateway over its labels; `None` if it was not counted yet.
    pub async fn metric(&self, gateway: usize, name: &str) -> Option<u64> {
        let page = self.fetch(gateway, "/metrics").await?;
        let page = String::from_utf8_lossy(&page).into_owned();
        let mut lines = page.lines().filter(|line| line.starts_with(name)).peekable();
        lines.peek()?;
        lines.map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }

    async fn fetch(&self, gateway: usize, path: &str) -> Option<bytes::Bytes> {
        const TIME: Duration = Duration::from_secs(2);
        fetch_bytes(&self.pool, self.settings[gateway].addresses["ready"], path, TIME).await.ok()
    }

    /// How often a request ran, at all upstreams together.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(Upstream::runs);
        runs.filter(|run| run.request == request).count()
    }
}

pub(super) async fn cut(link: &Proxy, how: Partition) {
    match how {
        Partition::Reset => {
            link.refuse_new().await;
            link.reset_open();
        }
        Partition::Silent => {
            link.hang_new().await;
            link.set(Harm::Silence);
        }
        Partition::OpenConnectionsStay => link.refuse_new().await,
    }
}
