//! The platform's store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::{Body, CutConnection, ServeLimits, Server, Tasks, empty_body, full_body};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use smol::Timer;

/// Where upstreams are unless they are placed elsewhere.
pub const DATA_CENTRE: &str = "data_centre";

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It turns everybody away.
    Busy,
    /// It cuts connections in place of answers.
    Reset,
    /// It gives no answer.
    Silent,
    /// Its answers take this long.
    Slow(Duration),
}

/// An upstream's entry.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// What was left of its warm-up when it said so; zero is none.
    pub warm_up: Duration,
    /// The revision at which it said so.
    pub warm_up_said: u64,
    /// The revision at which it first appeared.
    pub made: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    rules: Option<(u64, String)>,
    upstreams: Vec<UpstreamRecord>,
    drained: Vec<String>,
    fault: StoreFault,
    reads: u64,
}

impl State {
    /// What is answered at `path`: everything, or a part.
    fn page(&self, path: &str) -> Value {
        let has_rules = !path.ends_with("/upstreams");
        let has_upstreams = !path.ends_with("/rules");
        let rules = self.rules.as_ref().filter(|_| has_rules);
        let rules = rules.map(|(revision, document)| json!({ "revision": revision, "document": document }));
        let upstreams = self.upstreams.iter().filter(|_| has_upstreams).map(|record| {
            json!({
                "name": record.name,
                "pool": record.pool,
                "address": record.address,
                "data_centre": record.data_centre,
                "slots": 8,
                "draining": record.draining,
                "made": record.made,
                "warm_up_ms": u64::try_from(record.warm_up.as_millis()).unwrap_or(u64::MAX),
                "warm_up_said": record.warm_up_said,
            })
        });
        let drained: &[String] = if has_upstreams { &self.drained } else { &[] };
        json!({
            "at": self.revision,
            "rules": rules,
            "upstreams": upstreams.collect::<Vec<_>>(),
            "drained": drained,
        })
    }
}

/// A store; cheap to clone.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// Where it is reached.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store on a free port.
    pub async fn start(tasks: &Tasks) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, ServeLimits::default(), Arc::clone(tasks)).await?;
        let address = server.local_addr()?;
        let served = Arc::clone(&state);
        let serving = server.run(move |request| answer(Arc::clone(&served), request.uri().path().to_owned()));
        tasks.spawn(serving).detach();
        Ok(Self { state, address })
    }

    /// Makes a change, under a new revision.
    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        change(&mut state);
    }

    /// Changes an upstream's entry, under a new revision, which `change` is given.
    fn change_entry(&self, name: &str, change: impl Fn(&mut UpstreamRecord, u64)) {
        self.change(|state| {
            let named = state.upstreams.iter_mut().filter(|record| record.name == name);
            named.for_each(|record| change(record, state.revision));
        });
    }

    /// Puts a document of rules.
    pub fn put_rules(&self, document: &str) {
        self.change(|state| state.rules = Some((state.revision, document.to_owned())));
    }

    /// Adds an upstream.
    pub fn add(&self, name: &str, pool: &str, address: SocketAddr) {
        self.change(|state| {
            state.upstreams.push(UpstreamRecord {
                name: name.to_owned(),
                pool: pool.to_owned(),
                address,
                data_centre: DATA_CENTRE.to_owned(),
                draining: false,
                warm_up: Duration::ZERO,
                warm_up_said: state.revision,
                made: state.revision,
            });
        });
    }

    /// Says that an upstream is in another data centre than the usual one.
    pub fn place(&self, name: &str, data_centre: &str) {
        self.change_entry(name, |record, _| data_centre.clone_into(&mut record.data_centre));
    }

    /// Says that an upstream warms up for so long; zero, that it is warm.
    pub fn warm_up(&self, name: &str, left: Duration) {
        self.change_entry(name, |record, revision| {
            record.warm_up = left;
            record.warm_up_said = revision;
        });
    }

    /// Says that the upstreams of a data centre are to get nothing.
    pub fn drain_data_centre(&self, data_centre: &str) {
        self.change(|state| state.drained.push(data_centre.to_owned()));
    }

    /// Takes that back.
    pub fn give_back_data_centre(&self, data_centre: &str) {
        self.change(|state| state.drained.retain(|drained| drained != data_centre));
    }

    /// Marks an upstream as leaving.
    pub fn drain(&self, name: &str) {
        self.change_entry(name, |record, _| record.draining = true);
    }

    /// Removes an upstream's entry.
    pub fn remove(&self, name: &str) {
        self.change(|state| state.upstreams.retain(|record| record.name != name));
    }

    /// Its revision, which rises with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// How often it was read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().reads
    }
}

async fn answer(state: Arc<Mutex<State>>, path: String) -> Response<Body> {
    let fault = {
        let mut state = state.lock().unwrap();
        state.reads += 1;
        state.fault
    };
    match fault {
        StoreFault::None => {}
        StoreFault::Slow(time) => drop(Timer::after(time).await),
        StoreFault::Silent => std::future::pending().await,
        StoreFault::Busy => return with_status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Reset => {
            let mut cut = with_status(StatusCode::OK);
            cut.extensions_mut().insert(CutConnection);
            return cut;
        }
    }
    let page = state.lock().unwrap().page(&path);
    Response::new(full_body(page.to_string()))
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty_body());
    *answer.status_mut() = status;
    answer
}
