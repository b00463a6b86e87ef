//! The settings of one gateway, checked whole.

mod schema;

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use bendhinge_admission::FleetRetryBudget;
use bendhinge_fleet::{DirectoryLimits, OutlierLimits, RosterTimeouts, StoreReadTimings};
use bendhinge_ids::{BoxName, DataCentreName, RegionName, RequestDigest};
use bendhinge_ini::{Document, Faults, Section, read_file};
use bendhinge_peer::PeerKey;
use rustc_hash::FxHashMap;

pub use schema::SCHEMA;

/// All settings.
#[derive(Clone)]
pub struct Settings {
    /// The box's name.
    pub name: BoxName,
    /// The box's data centre.
    pub data_centre: DataCentreName,
    /// The regions of data centres.
    pub regions: RegionMap,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where a balancer asks whether the gateway is ready.
    pub ready: SocketAddr,
    /// Where other gateways connect.
    pub peers: SocketAddr,
    /// How many connections callers may have.
    pub connections: usize,
    /// The box's network link.
    pub link: Link,
    /// The platform's store.
    pub store: StoreSettings,
    /// The other gateways.
    pub fleet: FleetSettings,
    /// How long what is believed may be acted on.
    pub beliefs: BeliefSettings,
    /// Upstreams.
    pub upstreams: UpstreamSettings,
    /// Sending requests again.
    pub retries: FleetRetryBudget,
    /// Stopping.
    pub stop: StopSettings,
    /// Requests that operators want served again, whatever crashed under them before the settings were read.
    pub released: Vec<RequestDigest>,
}

/// The region of each data centre, as far as the operators say it.
pub type RegionMap = FxHashMap<DataCentreName, RegionName>;

/// A network link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Megabits a second.
    mbps: f64,
}

impl Link {
    /// Whole megabits a second.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a cast stays within bounds")]
    pub const fn mbps(self) -> u32 {
        self.mbps as u32
    }

    /// How long it takes to carry so many bytes.
    #[must_use]
    pub fn time_for(self, bytes: f64) -> Duration {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        Duration::try_from_secs_f64(bytes / (self.mbps * BYTES_PER_MEGABIT)).unwrap_or(Duration::MAX)
    }
}

/// The platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Time for an answer.
    pub call: Duration,
    /// When it is read.
    pub reading: StoreReadTimings,
}

/// The other gateways.
#[derive(Clone)]
pub struct FleetSettings {
    /// The key that all share.
    pub key: PeerKey,
    /// Gateways to look for.
    pub seeds: Vec<SocketAddr>,
    /// The period of exchanges.
    pub exchange: Duration,
    /// Time for another gateway to answer.
    pub call: Duration,
    /// When a silent one is dead, and when it is forgotten.
    pub roster: RosterTimeouts,
}

/// How long what is believed may be acted on.
#[derive(Clone, Copy, Debug)]
pub struct BeliefSettings {
    /// The age of the rules up to which requests with a key are sent; `None` is no limit.
    pub rules_lease: Option<Duration>,
    /// How long after the start of the process requests wait for the first rules.
    pub first_rules: Duration,
}

/// Connections to upstreams, and judging them.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// Time to connect.
    pub connect: Duration,
    /// How long a connection is kept idle.
    pub idle: Duration,
    /// The largest answer that is not a stream.
    pub answer_bytes: usize,
    /// Judging by answers.
    pub judge: OutlierLimits,
    /// Entries that vanish.
    pub directory: DirectoryLimits,
    /// Load as a multiple of the mean.
    pub load_bound: f32,
    /// Within which one that leaves is to get no more requests.
    pub leaving: Duration,
}

/// Stopping after a request to stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSettings {
    /// Time after which the process is killed.
    pub grace: Duration,
    /// How long callers that have not noticed are still served.
    pub accept: Duration,
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        read_file(path, Self::parse)
    }

    /// Checks `text`; `file` is named in faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text, &SCHEMA);
        let settings = Reader(&document).settings();
        document.finish(settings)
    }
}

impl Settings {
    /// When the list of upstreams is read. All read it so early that each still spares an upstream in
    /// time that began to leave right after the last read.
    pub(crate) fn list_reading(&self) -> StoreReadTimings {
        /// For the read, which is given up after longer only if the store is silent, and for a request's way.
        const MARGIN: Duration = Duration::from_millis(800);
        let reading = self.store.reading;
        let last = self.upstreams.leaving.saturating_sub(MARGIN).max(reading.first_rank_age);
        StoreReadTimings { max_age: reading.max_age.min(last), ..reading }
    }
}

/// Values separated by commas.
struct List<T>(Vec<T>);

impl<T: FromStr> FromStr for List<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Takes every value before any may be missing, so that all faults show in one run.
struct Reader<'a>(&'a Document);

impl Reader<'_> {
    fn settings(&self) -> Option<Settings> {
        let gateway = self.0.section("gateway")?;
        let store = self.0.section("store").map(|section| self.store(section));
        let fleet = self.0.section("fleet").map(|section| self.fleet(section));
        let beliefs = self.0.section("beliefs").map(|section| self.beliefs(section));
        let upstreams = self.0.section("upstreams").map(|section| self.upstreams(section));
        let retries = self.0.section("retries").map(|section| self.retries(section));
        let stop = self.0.section("stop").map(|section| self.stop(section));
        let released = self
            .0
            .section("quarantine")
            .map(|section| self.0.value::<List<RequestDigest>>(section, "released"));
        let name = self.0.value(gateway, "name");
        let data_centre = self.0.value(gateway, "data_centre");
        let regions: Vec<_> = self.0.sections("data_centre").map(|section| self.region(section)).collect();
        let callers = self.0.value(gateway, "callers");
        let ready = self.0.value(gateway, "ready");
        let peers = self.0.value(gateway, "peers");
        let connections = self.0.value(gateway, "connections");
        let link = self.0.positive_number(gateway, "link_mbps");
        Some(Settings {
            name: name?,
            data_centre: data_centre?,
            regions: regions.into_iter().collect::<Option<_>>()?,
            callers: callers?,
            ready: ready?,
            peers: peers?,
            connections: connections?,
            link: Link { mbps: link? },
            store: store??,
            fleet: fleet??,
            beliefs: beliefs??,
            upstreams: upstreams??,
            retries: retries??,
            stop: stop??,
            released: released??.0,
        })
    }

    fn region(&self, section: &Section) -> Option<(DataCentreName, RegionName)> {
        let data_centre = self.0.name(section);
        let region = self.0.value(section, "region");
        Some((data_centre?, region?))
    }

    fn store(&self, section: &Section) -> Option<StoreSettings> {
        let address = self.0.value(section, "address");
        let call = self.0.millis(section, "call_ms");
        let first = self.0.millis(section, "first_ms");
        let step = self.0.millis(section, "step_ms");
        let last = self.0.millis(section, "last_ms");
        let retry = self.0.millis(section, "retry_ms");
        let urgent_retry = self.0.millis(section, "urgent_retry_ms");
        Some(StoreSettings {
            address: address?,
            call: call?,
            reading: StoreReadTimings {
                first_rank_age: first?,
                rank_step: step?,
                max_age: last?,
                retry_delay: retry?,
                urgent_retry_delay: urgent_retry?,
            },
        })
    }

    fn fleet(&self, section: &Section) -> Option<FleetSettings> {
        let key = self.0.secret(section, "key").map(PeerKey::new);
        let seeds = self.0.value::<List<SocketAddr>>(section, "seeds");
        let exchange = self.0.millis(section, "exchange_ms");
        let call = self.0.millis(section, "call_ms");
        let dead_after = self.0.millis(section, "dead_ms");
        let forgotten_after = self.0.millis(section, "forget_ms");
        Some(FleetSettings {
            key: key?,
            seeds: seeds?.0,
            exchange: exchange?,
            call: call?,
            roster: RosterTimeouts { dead_after: dead_after?, expire_after: forgotten_after? },
        })
    }

    fn beliefs(&self, section: &Section) -> Option<BeliefSettings> {
        let lease = self.0.millis(section, "rules_lease_ms");
        let margin = self.0.millis(section, "margin_ms");
        let first_rules = self.0.millis(section, "first_rules_ms");
        let (lease, margin) = (lease?, margin?);
        let rules_lease = (!lease.is_zero()).then(|| lease.saturating_sub(margin));
        Some(BeliefSettings { rules_lease, first_rules: first_rules? })
    }

    fn upstreams(&self, section: &Section) -> Option<UpstreamSettings> {
        /// The time in which a failure loses half its weight.
        const HALF_LIFE: Duration = Duration::from_secs(3);
        /// How long upstreams that left are remembered as sources of what they keep.
        const REMEMBER: Duration = Duration::from_secs(3);
        /// Evidence older than this means that the store was in trouble.
        const GAP: Duration = Duration::from_millis(2_500);
        let connect = self.0.millis(section, "connect_ms");
        let idle = self.0.millis(section, "idle_ms");
        let answer_bytes = self.0.byte_count(section, "answer_bytes");
        let rest = self.0.millis(section, "rest_ms");
        let longest_rest = self.0.millis(section, "longest_rest_ms");
        let doubt = self.0.millis(section, "doubt_ms");
        let load_bound = self.0.positive_number(section, "load_bound");
        let leaving = self.0.millis(section, "leaving_ms");
        #[expect(clippy::cast_possible_truncation, reason = "a small number")]
        Some(UpstreamSettings {
            connect: connect?,
            idle: idle?,
            answer_bytes: answer_bytes?,
            judge: OutlierLimits { base_ejection: rest?, max_ejection: longest_rest?, half_life: HALF_LIFE },
            directory: DirectoryLimits { max_staleness: GAP, removal_grace: doubt?, retention: REMEMBER },
            load_bound: load_bound? as f32,
            leaving: leaving?,
        })
    }

    fn retries(&self, section: &Section) -> Option<FleetRetryBudget> {
        let ratio = self.0.non_negative_number(section, "ratio");
        let slack = self.0.non_negative_number(section, "slack");
        let span = self.0.seconds(section, "span_s");
        Some(FleetRetryBudget { ratio: ratio?, base_retries: slack?, window: span? })
    }

    fn stop(&self, section: &Section) -> Option<StopSettings> {
        let grace = self.0.seconds(section, "grace_s");
        let accept = self.0.millis(section, "accept_ms");
        Some(StopSettings { grace: grace?, accept: accept? })
    }
}
