//! The settings of one router, read once and checked whole.

mod schema;

use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::path::Path;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_configuration::SealKey;
use bendhinge_ids::{BoxName, DataCentreName};
use bendhinge_ini::{Document, Faults, Section, read_file};
use bendhinge_peer::PeerKey;

pub use schema::SCHEMA;

/// All settings.
#[derive(Clone)]
pub struct Settings {
    /// This box.
    pub name: BoxName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other routers connect.
    pub peers: SocketAddr,
    /// Threads that serve callers.
    pub workers: NonZeroUsize,
    /// Events kept for the time line.
    pub events: usize,
    /// The platform.
    pub platform: PlatformSettings,
    /// Keys.
    pub keys: Keys,
    /// Limits on callers and upstreams.
    pub limits: Limits,
    /// At-most-once requests.
    pub once: OnceSettings,
    /// Traffic between routers.
    pub control: ControlSettings,
}

/// How the platform is read.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// How long a watch waits.
    pub wait: Duration,
    /// How long after a failure it is asked again.
    pub retry: Duration,
    /// How many routers read it; the others hear from these.
    pub readers: NonZeroUsize,
}

/// The fleet's keys.
#[derive(Clone)]
pub struct Keys {
    /// Shows peers that this router belongs.
    pub peers: PeerKey,
    /// Lets operators in.
    pub operators: String,
    /// Shows that a configuration was confirmed.
    pub seal: SealKey,
}

/// Limits on callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest request head.
    pub head_bytes: usize,
    /// The largest chat request body.
    pub body_bytes: usize,
    /// The largest whole chat answer.
    pub answer_bytes: usize,
    /// The memory for incomplete requests and answers, and for answers that are not read yet.
    pub buffer_bytes: usize,
    /// Callers' connections.
    pub connections: usize,
    /// Requests in progress.
    pub in_progress: usize,
    /// Time for a request head to arrive, and for a connection to stand idle.
    pub head: Duration,
    /// Time for a chat request body to arrive.
    pub body: Duration,
    /// Longest pause within a body or an answer.
    pub idle: Duration,
    /// Time to connect to an upstream.
    pub connect: Duration,
    /// Time for the head of an upstream's answer.
    pub first_byte: Duration,
    /// Time for requests in progress when the router stops.
    pub stop: Duration,
    /// Time for which a stopping router still takes connections, so that the balancer can
    /// notice first.
    pub stop_grace: Duration,
    /// Attempts per request.
    pub attempts: NonZeroU32,
}

/// At-most-once requests.
#[derive(Clone, Copy, Debug)]
pub struct OnceSettings {
    /// How long keys are kept, and how long a router must have owned one to vouch for it.
    pub window: Duration,
    /// How many are kept.
    pub keys: usize,
}

/// Traffic between routers.
#[derive(Clone, Copy, Debug)]
pub struct ControlSettings {
    /// The period of exchanges and of admission rounds.
    pub exchange: Duration,
    /// Time for a peer to answer.
    pub call: Duration,
    /// A router that is silent for this long has lost its permits.
    pub lease: Duration,
    /// The period of load queries.
    pub load: Duration,
    /// A gap on the own clock longer than this means that the router was frozen.
    pub gap: Duration,
    /// How long a woken router waits for a renewed view.
    pub patience: Duration,
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

/// Takes every value before any may be missing, so that all faults show in one run.
struct Reader<'a>(&'a Document);

impl Reader<'_> {
    fn settings(&self) -> Option<Settings> {
        let platform = self.section("platform", Self::platform);
        let keys = self.section("keys", Self::keys);
        let limits = self.section("limits", Self::limits);
        let once = self.section("once", Self::once);
        let control = self.section("control", Self::control);
        let router = self.0.section("router")?;
        let name = self.0.value(router, "name");
        let data_centre = self.0.value(router, "data_centre");
        let callers = self.0.value(router, "callers");
        let operators = self.0.value(router, "operators");
        let peers = self.0.value(router, "peers");
        let workers = self.0.value(router, "workers");
        let events = self.0.value::<NonZeroUsize>(router, "events");
        Some(Settings {
            name: name?,
            data_centre: data_centre?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            workers: workers?,
            events: events?.get(),
            platform: platform?,
            keys: keys?,
            limits: limits?,
            once: once?,
            control: control?,
        })
    }

    fn section<T>(&self, kind: &str, read: impl Fn(&Self, &Section) -> Option<T>) -> Option<T> {
        self.0.section(kind).and_then(|section| read(self, section))
    }

    fn platform(&self, section: &Section) -> Option<PlatformSettings> {
        let address = self.0.value(section, "address");
        let wait = self.0.millis(section, "wait_ms");
        let retry = self.0.millis(section, "retry_ms");
        let readers = self.0.value(section, "readers");
        Some(PlatformSettings { address: address?, wait: wait?, retry: retry?, readers: readers? })
    }

    fn keys(&self, section: &Section) -> Option<Keys> {
        let peers = self.0.secret(section, "peers");
        let operators = self.0.secret(section, "operators");
        let seal = self.0.secret(section, "seal");
        Some(Keys {
            peers: PeerKey::new(peers?),
            operators: operators?.to_owned(),
            seal: SealKey::new(seal?),
        })
    }

    fn limits(&self, section: &Section) -> Option<Limits> {
        const SMALLEST_HEAD: usize = 8 << 10;
        let head_bytes = self.0.byte_count(section, "head_bytes");
        if head_bytes.is_some_and(|bytes| bytes < SMALLEST_HEAD) {
            let message =
                format!("'head_bytes' is below {SMALLEST_HEAD}, the least that the HTTP library takes");
            self.0.add_fault_at(section, "head_bytes", ResultCode::InvalidValue, message);
        }
        let body_bytes = self.0.byte_count(section, "body_bytes");
        let answer_bytes = self.0.byte_count(section, "answer_bytes");
        let buffer_bytes = self.0.byte_count(section, "buffer_bytes");
        let connections = self.0.value(section, "connections");
        let in_progress = self.0.value(section, "in_progress");
        let head = self.0.millis(section, "head_ms");
        let body = self.0.millis(section, "body_ms");
        let idle = self.0.millis(section, "idle_ms");
        let connect = self.0.millis(section, "connect_ms");
        let first_byte = self.0.millis(section, "first_byte_ms");
        let stop = self.0.millis(section, "stop_ms");
        let stop_grace = self.0.millis(section, "stop_grace_ms");
        let attempts = self.0.value(section, "attempts");
        Some(Limits {
            head_bytes: head_bytes?,
            body_bytes: body_bytes?,
            answer_bytes: answer_bytes?,
            buffer_bytes: buffer_bytes?,
            connections: connections?,
            in_progress: in_progress?,
            head: head?,
            body: body?,
            idle: idle?,
            connect: connect?,
            first_byte: first_byte?,
            stop: stop?,
            stop_grace: stop_grace?,
            attempts: attempts?,
        })
    }

    fn once(&self, section: &Section) -> Option<OnceSettings> {
        let window = self.0.millis(section, "window_ms");
        let keys = self.0.value(section, "keys");
        Some(OnceSettings { window: window?, keys: keys? })
    }

    fn control(&self, section: &Section) -> Option<ControlSettings> {
        let exchange = self.0.millis(section, "exchange_ms");
        let call = self.0.millis(section, "call_ms");
        let lease = self.0.millis(section, "lease_ms");
        let load = self.0.millis(section, "load_ms");
        let gap = self.0.millis(section, "gap_ms");
        let patience = self.0.millis(section, "patience_ms");
        Some(ControlSettings {
            exchange: exchange?,
            call: call?,
            lease: lease?,
            load: load?,
            gap: gap?,
            patience: patience?,
        })
    }
}
