//! Parses and validates the settings of a gateway.

mod load;
mod memory;
mod quarantine;
mod schema;
mod upstreams;
mod values;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bendhinge_admission::FleetRetryBudget;
use bendhinge_fleet::{RosterTimeouts, StoreReadTimings};
use bendhinge_ids::{BoxName, DataCentreName, RegionName};
use bendhinge_ini::{Document, Faults, Section, read_file};
use bendhinge_peer::PeerKey;
use bendhinge_placement::Distance;
use rustc_hash::FxHashMap;

pub use load::{Activation, LoadSettings};
pub use memory::MemorySettings;
pub use quarantine::QuarantineSettings;
pub use schema::SCHEMA;
pub use upstreams::UpstreamSettings;

use self::values::{CommaSeparated, YesNo};

/// All settings of a gateway.
#[derive(Clone)]
pub struct Settings {
    /// The box's name.
    pub name: BoxName,
    /// The box's data centre.
    pub data_centre: DataCentreName,
    /// The regions of data centres.
    pub regions: RegionMap,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address for readiness checks by a load balancer.
    pub readiness_address: SocketAddr,
    /// The address that other gateways connect to.
    pub peer_address: SocketAddr,
    /// The maximum number of connections from callers.
    pub max_connections: usize,
    /// The box's network link.
    pub link: Link,
    /// Memory for buffers.
    pub memory: MemorySettings,
    /// Access to the platform's store.
    pub store: StoreSettings,
    /// Communication with the other gateways.
    pub fleet: FleetSettings,
    /// Validity of the serving rules.
    pub rules: RulesSettings,
    /// Connections to upstreams and failure detection.
    pub upstreams: UpstreamSettings,
    /// Whether requests are forwarded to other gateways while this one is partitioned from their upstreams, and
    /// forwarded ones accepted.
    pub forwards_requests: bool,
    /// Resumption of streams.
    pub streams: StreamSettings,
    /// Decisions that depend on the load of upstreams.
    pub load: LoadSettings,
    /// The fleet's retry budget.
    pub retry_budget: FleetRetryBudget,
    /// Whether the gateway assumes at its start that its share of the retry budget was spent just before.
    pub assumes_spent_retries: bool,
    /// Graceful shutdown.
    pub stop: StopSettings,
    /// Quarantine of requests and prompt parts under which upstreams crash.
    pub quarantine: QuarantineSettings,
}

/// The region of each data centre for which the operators name one.
pub type RegionMap = FxHashMap<DataCentreName, RegionName>;

/// The place of the gateway among the data centres.
#[derive(Clone, Debug)]
pub struct Location {
    /// The box's data centre.
    pub data_centre: DataCentreName,
    /// The regions of data centres.
    pub regions: RegionMap,
}

impl Location {
    /// Returns whether a data centre is the gateway's own.
    pub(crate) fn distance_to(&self, data_centre: &DataCentreName) -> Distance {
        if *data_centre == self.data_centre { Distance::Local } else { Distance::Remote }
    }
}

/// The capacity of a network link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Capacity in megabits per second.
    mbps: f64,
}

impl Link {
    /// Returns the capacity in megabits per second, rounded down.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "float casts saturate")]
    pub const fn mbps(self) -> u32 {
        self.mbps as u32
    }

    /// Returns how long the link takes to transfer that many bytes.
    #[must_use]
    pub fn transfer_time(self, bytes: f64) -> Duration {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        Duration::try_from_secs_f64(bytes / (self.mbps * BYTES_PER_MEGABIT)).unwrap_or(Duration::MAX)
    }
}

/// Access to the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
    /// The time limit for a response.
    pub call_timeout: Duration,
    /// When this gateway reads the store.
    pub read_timings: StoreReadTimings,
}

/// Communication with the other gateways.
#[derive(Clone)]
pub struct FleetSettings {
    /// The key that all gateways share.
    pub shared_key: PeerKey,
    /// Addresses of gateways to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The interval between exchanges.
    pub exchange_interval: Duration,
    /// The time limit for a response of another gateway.
    pub call_timeout: Duration,
    /// When a gateway without contact counts as dead, and when it is removed.
    pub roster_timeouts: RosterTimeouts,
}

/// Validity of the serving rules.
#[derive(Clone, Copy, Debug)]
pub struct RulesSettings {
    /// The age of the rules up to which requests with a key are sent; `None` means no limit.
    pub lease: Option<Duration>,
    /// How long after the start of the process requests wait for the first rules.
    pub startup_wait: Duration,
}

/// Resumption of streams.
#[derive(Clone, Copy, Debug)]
pub struct StreamSettings {
    /// Whether streams are resumed only at upstreams with the software that began them.
    pub keeps_software: bool,
    /// Whether the whole fleet starts for the first time, so that there are no earlier streams.
    pub is_first_start: bool,
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct StopSettings {
    /// The time between the stop signal and the kill of the process.
    pub grace_period: Duration,
    /// How long after the stop signal new requests are still served.
    pub accept_period: Duration,
}

impl Settings {
    /// Reads and validates the file at `path`.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        read_file(path, Self::parse)
    }

    /// Parses and validates `text`; `file` is the file name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text, &SCHEMA);
        let settings = SettingsReader(&document).settings();
        document.finish(settings)
    }
}

impl Settings {
    /// Returns the place of the gateway among the data centres.
    pub(crate) fn location(&self) -> Location {
        Location { data_centre: self.data_centre.clone(), regions: self.regions.clone() }
    }

    /// Returns when the list of upstreams is read: often enough that an upstream that starts draining right
    /// after a read gets no more requests after the drain deadline.
    pub(crate) fn list_read_timings(&self) -> StoreReadTimings {
        /// Margin for the duration of the read and for requests in transit.
        const READ_MARGIN: Duration = Duration::from_millis(800);
        let timings = self.store.read_timings;
        let max_age = self.upstreams.drain_deadline.saturating_sub(READ_MARGIN).max(timings.first_rank_age);
        StoreReadTimings { max_age: timings.max_age.min(max_age), ..timings }
    }
}

/// Builds settings from a document. Each method reads all values before it returns on a missing one, so
/// that all errors are reported at once.
struct SettingsReader<'a>(&'a Document);

impl SettingsReader<'_> {
    fn settings(&self) -> Option<Settings> {
        let gateway = self.0.section("gateway")?;
        let memory = self.0.section("memory").map(|section| self.memory(section));
        let store = self.0.section("store").map(|section| self.store(section));
        let fleet = self.0.section("fleet").map(|section| self.fleet(section));
        let rules = self.0.section("beliefs").map(|section| self.rules(section));
        let upstreams = self.0.section("upstreams").map(|section| self.upstreams(section));
        let load = self.0.section("load").map(|section| self.load(section));
        let retry_budget = self.0.section("retries").map(|section| self.retry_budget(section));
        let assumes_spent_retries =
            self.0.section("retries").map(|section| self.0.value::<YesNo>(section, "assume_spent"));
        let stop = self.0.section("stop").map(|section| self.stop(section));
        let forwards_requests =
            self.0.section("forwarding").map(|section| self.0.value::<YesNo>(section, "enabled"));
        let streams = self.0.section("streams").map(|section| self.streams(section));
        let quarantine = self.0.section("quarantine").map(|section| self.quarantine(section));
        let name = self.0.value(gateway, "name");
        let data_centre = self.0.value(gateway, "data_centre");
        let regions: Vec<_> = self.0.sections("data_centre").map(|section| self.region(section)).collect();
        let caller_address = self.0.value(gateway, "callers");
        let readiness_address = self.0.value(gateway, "ready");
        let peer_address = self.0.value(gateway, "peers");
        let max_connections = self.0.value(gateway, "connections");
        let link = self.0.positive_number(gateway, "link_mbps");
        Some(Settings {
            name: name?,
            data_centre: data_centre?,
            regions: regions.into_iter().collect::<Option<_>>()?,
            caller_address: caller_address?,
            readiness_address: readiness_address?,
            peer_address: peer_address?,
            max_connections: max_connections?,
            link: Link { mbps: link? },
            memory: memory??,
            store: store??,
            fleet: fleet??,
            rules: rules??,
            upstreams: upstreams??,
            forwards_requests: forwards_requests??.0,
            streams: streams??,
            load: load??,
            retry_budget: retry_budget??,
            assumes_spent_retries: assumes_spent_retries??.0,
            stop: stop??,
            quarantine: quarantine??,
        })
    }

    fn region(&self, section: &Section) -> Option<(DataCentreName, RegionName)> {
        let data_centre = self.0.name(section);
        let region = self.0.value(section, "region");
        Some((data_centre?, region?))
    }

    fn store(&self, section: &Section) -> Option<StoreSettings> {
        let address = self.0.value(section, "address");
        let call_timeout = self.0.millis(section, "call_ms");
        let first_rank_age = self.0.millis(section, "first_ms");
        let rank_step = self.0.millis(section, "step_ms");
        let max_age = self.0.millis(section, "last_ms");
        let retry_delay = self.0.millis(section, "retry_ms");
        let urgent_retry_delay = self.0.millis(section, "urgent_retry_ms");
        Some(StoreSettings {
            address: address?,
            call_timeout: call_timeout?,
            read_timings: StoreReadTimings {
                first_rank_age: first_rank_age?,
                rank_step: rank_step?,
                max_age: max_age?,
                retry_delay: retry_delay?,
                urgent_retry_delay: urgent_retry_delay?,
            },
        })
    }

    fn fleet(&self, section: &Section) -> Option<FleetSettings> {
        let shared_key = self.0.secret(section, "key").map(PeerKey::new);
        let seeds = self.0.value::<CommaSeparated<SocketAddr>>(section, "seeds");
        let exchange_interval = self.0.millis(section, "exchange_ms");
        let call_timeout = self.0.millis(section, "call_ms");
        let dead_after = self.0.millis(section, "dead_ms");
        let expire_after = self.0.millis(section, "forget_ms");
        Some(FleetSettings {
            shared_key: shared_key?,
            seeds: seeds?.0,
            exchange_interval: exchange_interval?,
            call_timeout: call_timeout?,
            roster_timeouts: RosterTimeouts { dead_after: dead_after?, expire_after: expire_after? },
        })
    }

    fn rules(&self, section: &Section) -> Option<RulesSettings> {
        let total_lease = self.0.millis(section, "rules_lease_ms");
        let margin = self.0.millis(section, "margin_ms");
        let startup_wait = self.0.millis(section, "first_rules_ms");
        let (total_lease, margin) = (total_lease?, margin?);
        let lease = (!total_lease.is_zero()).then(|| total_lease.saturating_sub(margin));
        Some(RulesSettings { lease, startup_wait: startup_wait? })
    }

    fn load(&self, section: &Section) -> Option<LoadSettings> {
        let work = self.0.value(section, "work");
        let local_first = self.0.value(section, "local_first");
        let shared_response_times = self.0.value(section, "shared_response_times");
        let permits = self.0.value(section, "permits");
        let admission = self.0.value(section, "admission");
        let overload_reports = self.0.value(section, "overload_reports");
        let frequent_exchanges = self.0.value(section, "frequent_exchanges");
        let popular_prompts = self.0.value(section, "popular_prompts");
        Some(LoadSettings {
            work: work?,
            local_first: local_first?,
            shared_response_times: shared_response_times?,
            permits: permits?,
            admission: admission?,
            popular_prompts: popular_prompts?,
            overload_reports: overload_reports?,
            frequent_exchanges: frequent_exchanges?,
        })
    }

    fn retry_budget(&self, section: &Section) -> Option<FleetRetryBudget> {
        let ratio = self.0.non_negative_number(section, "ratio");
        let base_retries = self.0.non_negative_number(section, "slack");
        let window = self.0.seconds(section, "span_s");
        Some(FleetRetryBudget { ratio: ratio?, base_retries: base_retries?, window: window? })
    }

    fn streams(&self, section: &Section) -> Option<StreamSettings> {
        let keeps_software = self.0.value::<YesNo>(section, "keep_software");
        let is_first_start = self.0.value::<YesNo>(section, "first_start");
        Some(StreamSettings { keeps_software: keeps_software?.0, is_first_start: is_first_start?.0 })
    }

    fn stop(&self, section: &Section) -> Option<StopSettings> {
        let grace_period = self.0.seconds(section, "grace_s");
        let accept_period = self.0.millis(section, "accept_ms");
        Some(StopSettings { grace_period: grace_period?, accept_period: accept_period? })
    }
}
