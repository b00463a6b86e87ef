//! The platform's store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::{Body, CloseConnection, ServeLimits, Server, Tasks, empty_body, full_body};
use hyper::{Response, StatusCode, Uri};
use serde_json::{Value, json};
use smol::Timer;

/// Where upstreams are unless they are placed elsewhere.
pub const DATA_CENTRE: &str = "data_centre";

/// Prefix of the names of drained data centres in the history. Names of upstreams contain no slash.
const DRAINED_KEY_PREFIX: &str = "/drained/";

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
    /// It gives no answer but the first page of what it is asked for.
    FirstPageOnly,
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
    /// The version of its software; empty if it does not say.
    pub software: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    rules: Option<(u64, String)>,
    upstreams: Vec<UpstreamRecord>,
    drained: Vec<String>,
    fault: StoreFault,
    /// Which entries were written or removed, at which revision.
    history: Vec<(u64, String)>,
    /// Of earlier changes nothing is known.
    forgotten_up_to: u64,
    /// Entries on a page; 0 are all.
    page_entries: usize,
    /// What was asked for.
    paths: Vec<String>,
    /// The path after whose next answer a data centre is drained, and the data centre.
    drain_after_read: Option<(String, String)>,
}

impl State {
    /// Notes that an entry was written or removed.
    fn note(&mut self, name: &str) {
        self.history.push((self.revision, name.to_owned()));
    }

    /// Adds an upstream at the present revision.
    fn add(&mut self, name: &str, pool: &str, address: SocketAddr, software: &str) {
        self.upstreams.push(UpstreamRecord {
            name: name.to_owned(),
            pool: pool.to_owned(),
            address,
            data_centre: DATA_CENTRE.to_owned(),
            draining: false,
            warm_up: Duration::ZERO,
            warm_up_said: self.revision,
            made: self.revision,
            software: software.to_owned(),
        });
        self.note(name);
    }

    /// What is answered at `path`: everything, or a part, from the entry behind `after` on.
    fn page(&self, path: &str, after: Option<&str>) -> Value {
        let has_rules = matches!(path, "/v1/fleet" | "/v1/fleet/rules") && after.is_none();
        let has_upstreams = matches!(path, "/v1/fleet" | "/v1/fleet/upstreams");
        let is_behind = |record: &&UpstreamRecord| after.is_none_or(|after| record.name.as_str() > after);
        let mut listed: Vec<_> = self.upstreams.iter().filter(|_| has_upstreams).filter(is_behind).collect();
        listed.sort_by(|left, right| left.name.cmp(&right.name));
        let is_cut = self.page_entries > 0 && listed.len() > self.page_entries;
        if is_cut {
            listed.truncate(self.page_entries);
        }
        let next = listed.last().filter(|_| is_cut).map(|record| &record.name);
        json!({
            "at": self.revision,
            "rules": self.rules.as_ref().filter(|_| has_rules).map(rules_item),
            "upstreams": listed.iter().copied().map(entry_item).collect::<Vec<_>>(),
            "drained": if path == "/v1/fleet/rules" || after.is_some() { &[] } else { &*self.drained },
            "next": next,
        })
    }

    /// What changed after the revision `since`.
    fn changes(&self, since: u64) -> Value {
        let named = |name: &str| self.upstreams.iter().find(|record| record.name == name);
        let later = || self.history.iter().filter(|(revision, _)| *revision > since).map(|(_, name)| name);
        let came: Vec<_> = later().filter_map(|name| named(name)).map(entry_item).collect();
        let gone: Vec<_> = later().filter(|name| named(name).is_none()).collect();
        let rules = self.rules.as_ref().filter(|(revision, _)| *revision > since).map(rules_item);
        let drain_names = || later().filter_map(|name| name.strip_prefix(DRAINED_KEY_PREFIX));
        let is_drained = |name: &&str| self.drained.iter().any(|drained| drained == name);
        let drained: Vec<_> = drain_names().filter(is_drained).collect();
        let restored: Vec<_> = drain_names().filter(|name| !is_drained(name)).collect();
        let gone: Vec<_> = gone.into_iter().filter(|name| !name.starts_with(DRAINED_KEY_PREFIX)).collect();
        json!({
            "at": self.revision,
            "rules": rules,
            "upstreams": came,
            "gone": gone,
            "drained": drained,
            "restored": restored,
        })
    }

    fn drain_data_centre(&mut self, data_centre: &str) {
        self.drained.push(data_centre.to_owned());
        self.note(&format!("{DRAINED_KEY_PREFIX}{data_centre}"));
    }

    /// Drains a data centre after an answer at `path`, if that was asked for.
    fn drain_after_answer(&mut self, path: &str) {
        if self.drain_after_read.as_ref().is_none_or(|(awaited, _)| awaited != path) {
            return;
        }
        if let Some((_, data_centre)) = self.drain_after_read.take() {
            self.revision += 1;
            self.drain_data_centre(&data_centre);
        }
    }
}

fn rules_item((revision, document): &(u64, String)) -> Value {
    json!({ "revision": revision, "document": document })
}

fn entry_item(record: &UpstreamRecord) -> Value {
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
        "software": record.software,
    })
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
        let serving = server.run(move |request| answer(Arc::clone(&served), request.uri().clone()));
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
            state.note(name);
        });
    }

    /// Puts a document of rules.
    pub fn put_rules(&self, document: &str) {
        self.change(|state| state.rules = Some((state.revision, document.to_owned())));
    }

    /// Adds an upstream that does not name its software.
    pub fn add(&self, name: &str, pool: &str, address: SocketAddr) {
        self.add_with_software(name, pool, address, "");
    }

    /// Adds an upstream with a version of its software.
    pub fn add_with_software(&self, name: &str, pool: &str, address: SocketAddr, software: &str) {
        self.change(|state| state.add(name, pool, address, software));
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
        self.change(|state| state.drain_data_centre(data_centre));
    }

    /// Adds an upstream, and drains a data centre right after the next answer at `path`, so that the
    /// second change comes between two calls of a read that the first one causes.
    pub fn add_and_drain_after_read(&self, name: &str, path: &str, data_centre: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.add(name, "spares", ([127, 0, 0, 1], 9).into(), "");
        state.drain_after_read = Some((path.to_owned(), data_centre.to_owned()));
    }

    /// Takes that back.
    pub fn give_back_data_centre(&self, data_centre: &str) {
        self.change(|state| {
            state.drained.retain(|drained| drained != data_centre);
            state.note(&format!("{DRAINED_KEY_PREFIX}{data_centre}"));
        });
    }

    /// Marks an upstream as leaving.
    pub fn drain(&self, name: &str) {
        self.change_entry(name, |record, _| record.draining = true);
    }

    /// Removes an upstream's entry.
    pub fn remove(&self, name: &str) {
        self.change(|state| {
            state.upstreams.retain(|record| record.name != name);
            state.note(name);
        });
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

    /// Hands out so many entries on a page from now on.
    pub fn set_page_entries(&self, entries: usize) {
        self.state.lock().unwrap().page_entries = entries;
    }

    /// Forgets what changed before now: it tells no changes from before any more.
    pub fn forget_history(&self) {
        self.change(|state| {
            state.history.clear();
            state.forgotten_up_to = state.revision;
        });
    }

    /// Counts its revisions from an earlier one on, as a store that was restored from a backup.
    pub fn restore_revision(&self, revision: u64) {
        self.state.lock().unwrap().revision = revision;
    }

    /// How often it was asked at paths that begin so.
    #[must_use]
    pub fn reads_at(&self, path: &str) -> usize {
        self.state.lock().unwrap().paths.iter().filter(|asked| asked.starts_with(path)).count()
    }

    /// How often it was read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().paths.len() as u64
    }
}

async fn answer(state: Arc<Mutex<State>>, asked: Uri) -> Response<Body> {
    let fault = {
        let mut state = state.lock().unwrap();
        state.paths.push(asked.to_string());
        state.fault
    };
    match fault {
        StoreFault::None => {}
        StoreFault::Slow(time) => drop(Timer::after(time).await),
        StoreFault::FirstPageOnly if asked.query().is_none() => {}
        StoreFault::Silent | StoreFault::FirstPageOnly => std::future::pending().await,
        StoreFault::Busy => return with_status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Reset => {
            let mut cut = with_status(StatusCode::OK);
            cut.extensions_mut().insert(CloseConnection);
            return cut;
        }
    }
    let query = asked.query().unwrap_or_default();
    let mut state = state.lock().unwrap();
    let page = match query.strip_prefix("since=").and_then(|since| since.parse().ok()) {
        Some(since) if since < state.forgotten_up_to => return with_status(StatusCode::GONE),
        Some(since) => state.changes(since),
        None => state.page(asked.path(), query.strip_prefix("after=")),
    };
    state.drain_after_answer(asked.path());
    Response::new(full_body(page.to_string()))
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty_body());
    *answer.status_mut() = status;
    answer
}
