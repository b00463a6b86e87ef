//! An upstream behind gateways.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bendhinge_gateway::native::headers::{
    CUSTOMER, DEADLINE, LEAVING, LOAD, PROMPT, RAN, REQUEST, RESUME_AFTER, SIGNATURE, UPSTREAM,
};
use bendhinge_http::{Body, CloseConnection, ServeLimits, Server, Tasks, channel_body, read_body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode, Version};
use smol::Timer;
use smol::channel::Sender;

use super::answers::{first_half, header_value, padded, signed, versioned_event, whole, with_status};
use super::fault::{Framing, Silence, UpstreamFault};
use super::run::{Fatal, Run};

/// What happens when an upstream's process ends.
type OnEnd = Arc<dyn Fn() -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

struct State {
    name: String,
    fault: UpstreamFault,
    framing: Framing,
    silence: Silence,
    /// The requests under which its process ends, and what ends with it.
    fatal: Option<(Fatal, OnEnd)>,
    has_ended: bool,
    is_leaving: bool,
    /// Requests to report besides its own; `None` if it does not report its load.
    other_requests: Option<u32>,
    holding: usize,
    turned_away: usize,
    runs: Vec<Run>,
    working: usize,
    events: u32,
    pace: Duration,
    work: Duration,
    /// Bytes that follow the body of answers that are no streams.
    padding: usize,
    /// The version of its software, which its events name; empty if they do not.
    software: String,
}

/// An upstream; cheap to clone.
#[derive(Clone)]
pub struct Upstream {
    state: Arc<Mutex<State>>,
    /// Where it is reached.
    pub address: SocketAddr,
}

impl Upstream {
    /// Starts an upstream called `name` on a free port.
    pub async fn start(tasks: &Tasks, name: &str) -> io::Result<Self> {
        /// Events in a stream, and the time between them.
        const EVENTS: u32 = 12;
        const PACE: Duration = Duration::from_millis(5);
        const WORK: Duration = Duration::from_millis(3);
        let state = Arc::new(Mutex::new(State {
            name: name.to_owned(),
            fault: UpstreamFault::None,
            framing: Framing::Framed,
            silence: Silence::None,
            fatal: None,
            has_ended: false,
            is_leaving: false,
            other_requests: None,
            holding: 0,
            turned_away: 0,
            runs: Vec::new(),
            working: 0,
            events: EVENTS,
            pace: PACE,
            work: WORK,
            padding: 0,
            software: String::new(),
        }));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, ServeLimits::default(), Arc::clone(tasks)).await?;
        let address = server.local_addr()?;
        let served = Arc::clone(&state);
        let spawning = Arc::clone(tasks);
        let serving = server.run(move |request| answer(Arc::clone(&served), Arc::clone(&spawning), request));
        tasks.spawn(serving).detach();
        Ok(Self { state, address })
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> String {
        self.state.lock().unwrap().name.clone()
    }

    /// Gives it another name: what was at its address is gone.
    pub fn rename(&self, name: &str) {
        name.clone_into(&mut self.state.lock().unwrap().name);
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: UpstreamFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Sets how the end of its answers is marked from now on.
    pub fn set_framing(&self, framing: Framing) {
        self.state.lock().unwrap().framing = framing;
    }

    /// Sets what it holds back from now on, also of the answers that it has begun.
    pub fn set_silence(&self, silence: Silence) {
        self.state.lock().unwrap().silence = silence;
    }

    /// Its process ends while it works on a request with this body: then `on_end` is called, and it works on
    /// nothing more.
    pub fn ends_under<F>(&self, body: &'static str, on_end: impl Fn() -> F + Send + Sync + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.set_fatal(Fatal::Body(Bytes::from_static(body.as_bytes())), on_end);
    }

    /// Its process ends soon after it has begun to respond to a request that shares this part of its prompt: then
    /// `on_end` is called.
    pub fn ends_under_part<F>(&self, part: u64, on_end: impl Fn() -> F + Send + Sync + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.set_fatal(Fatal::Part(part), on_end);
    }

    fn set_fatal<F>(&self, fatal: Fatal, on_end: impl Fn() -> F + Send + Sync + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let on_end: OnEnd = Arc::new(move || Box::pin(on_end()));
        self.state.lock().unwrap().fatal = Some((fatal, on_end));
    }

    /// Whether its process has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state.lock().unwrap().has_ended
    }

    /// From now on it says in all its answers that it leaves.
    pub fn says_that_it_leaves(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// How many requests it lets wait until it turns them away.
    #[must_use]
    pub fn holds(&self) -> usize {
        self.state.lock().unwrap().holding
    }

    /// How many requests it turned away for want of room.
    #[must_use]
    pub fn turned_away(&self) -> usize {
        self.state.lock().unwrap().turned_away
    }

    /// Reports its load in the heads of streams from now on, with this many requests besides its own.
    pub fn report_load(&self, other_requests: u32) {
        self.state.lock().unwrap().other_requests = Some(other_requests);
    }

    /// The version of its software.
    #[must_use]
    pub fn software(&self) -> String {
        self.state.lock().unwrap().software.clone()
    }

    /// Sets the version of its software, which its events name from now on.
    pub fn set_software(&self, software: &str) {
        software.clone_into(&mut self.state.lock().unwrap().software);
    }

    /// Sets the time between the events of streams.
    pub fn set_pace(&self, pace: Duration) {
        self.state.lock().unwrap().pace = pace;
    }

    /// Sets how long other requests take.
    pub fn set_work(&self, work: Duration) {
        self.state.lock().unwrap().work = work;
    }

    /// Makes the bodies of other answers longer by so many bytes, so that they take a while.
    pub fn pad_answers(&self, bytes: usize) {
        self.state.lock().unwrap().padding = bytes;
    }

    /// The requests that it began to work on.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// How many requests it works on now.
    #[must_use]
    pub fn working(&self) -> usize {
        self.state.lock().unwrap().working
    }

    /// The whole body of an answer that is no stream.
    #[must_use]
    pub fn expected_body(request: &str) -> String {
        format!("answer to {request}")
    }

    /// The event of a stream with this id.
    #[must_use]
    pub fn expected_event(request: &str, id: u32) -> String {
        format!("id: {id}\ndata: {request} {id}\n\n")
    }
}

impl State {
    /// The load that it reports, if it does.
    fn load(&self) -> Option<usize> {
        let others = usize::try_from(self.other_requests?).ok()?;
        Some(self.working + others)
    }
}

struct Working(Arc<Mutex<State>>);

impl Working {
    fn new(state: &Arc<Mutex<State>>) -> Self {
        state.lock().unwrap().working += 1;
        Self(Arc::clone(state))
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.0.lock().unwrap().working -= 1;
    }
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Waits until the upstream holds back less than `silence`, or its caller has left.
async fn until_it_goes_on(state: &Mutex<State>, silence: Silence, has_left: impl Fn() -> bool) {
    const LOOK: Duration = Duration::from_millis(2);
    while state.lock().unwrap().silence >= silence && !has_left() {
        Timer::after(LOOK).await;
    }
}

/// How much later than its caller an upstream sees that a request's time is over.
const ON_ITS_WAY: Duration = Duration::from_millis(5);

/// How long the caller waits, as it says.
fn deadline(headers: &HeaderMap) -> Duration {
    let millis = text(headers, &DEADLINE).and_then(|millis| millis.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}

/// How long a process works on the request under which it ends.
const TO_ITS_END: Duration = Duration::from_millis(30);
/// How long a process responds to the request under which it ends.
const INTO_ITS_ANSWER: Duration = Duration::from_millis(70);

async fn end_process(state: &Mutex<State>, on_end: &OnEnd) {
    state.lock().unwrap().has_ended = true;
    on_end().await;
}

async fn answer(state: Arc<Mutex<State>>, tasks: Tasks, request: Request<Incoming>) -> Response<Body> {
    let mut answer = answer_by_state(Arc::clone(&state), tasks, request).await;
    until_it_goes_on(&state, Silence::Answers, || false).await;
    let state = state.lock().unwrap();
    if state.is_leaving {
        answer.headers_mut().insert(LEAVING, HeaderValue::from_static("yes"));
    }
    if state.framing == Framing::UntilClose {
        *answer.version_mut() = Version::HTTP_10;
    }
    answer
}

/// Turns the request `id` away for want of room, with the seconds of rest that are asked for.
fn turn_away(state: &Mutex<State>, id: &str, rest: Option<&'static str>) -> Response<Body> {
    state.lock().unwrap().turned_away += 1;
    let mut full = signed(with_status(StatusCode::SERVICE_UNAVAILABLE), id);
    full.headers_mut().insert(RAN, HeaderValue::from_static("no"));
    if let Some(seconds) = rest {
        full.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    full
}

async fn answer_by_state(
    state: Arc<Mutex<State>>,
    tasks: Tasks,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(id) = text(&head.headers, &REQUEST) else { return with_status(StatusCode::BAD_REQUEST) };
    let (name, fault) = {
        let state = state.lock().unwrap();
        (state.name.clone(), state.fault)
    };
    if text(&head.headers, &UPSTREAM).is_some_and(|meant| meant != name) {
        return signed(with_status(StatusCode::MISDIRECTED_REQUEST), &id);
    }
    match fault {
        UpstreamFault::Full => return turn_away(&state, &id, None),
        UpstreamFault::AsksForRest(seconds) => return turn_away(&state, &id, Some(seconds)),
        UpstreamFault::AsksForRestLate(seconds) => {
            state.lock().unwrap().holding += 1;
            Timer::after(deadline(&head.headers) + ON_ITS_WAY).await;
            state.lock().unwrap().holding -= 1;
            return turn_away(&state, &id, Some(seconds));
        }
        _ => {}
    }
    let Ok(body) = read_body(body, 16 << 20).await else { return with_status(StatusCode::BAD_REQUEST) };
    let resumed_after = text(&head.headers, &RESUME_AFTER);
    let is_stream = head.headers.contains_key(PROMPT);
    let run = Run {
        request: id.clone(),
        path: head.uri.path().to_owned(),
        customer: text(&head.headers, &CUSTOMER),
        carried_key: head.headers.contains_key(AUTHORIZATION),
        body,
        resumed_after: resumed_after.clone(),
        prompt: text(&head.headers, &PROMPT),
        at: Instant::now(),
    };
    let fatal = state.lock().unwrap().fatal.clone().filter(|(fatal, _)| fatal.applies_to(&run));
    state.lock().unwrap().runs.push(run);
    let working = Working::new(&state);
    match fatal {
        Some((Fatal::Body(_), on_end)) => {
            Timer::after(TO_ITS_END).await;
            end_process(&state, &on_end).await;
            return std::future::pending().await;
        }
        Some((Fatal::Part(_), on_end)) => {
            let state = Arc::clone(&state);
            let ending = async move {
                Timer::after(INTO_ITS_ANSWER).await;
                end_process(&state, &on_end).await;
            };
            tasks.spawn(ending).detach();
        }
        None => {}
    }
    match fault {
        UpstreamFault::Silent => std::future::pending().await,
        UpstreamFault::Lost => {
            let mut cut = with_status(StatusCode::OK);
            cut.extensions_mut().insert(CloseConnection);
            cut
        }
        UpstreamFault::Failed => signed(with_status(StatusCode::INTERNAL_SERVER_ERROR), &id),
        UpstreamFault::Unclear => signed(with_status(StatusCode::SERVICE_UNAVAILABLE), &id),
        UpstreamFault::Crossed => signed(whole(&id), "another"),
        UpstreamFault::Unsigned => {
            let mut unsigned = signed(whole(&id), &id);
            unsigned.headers_mut().remove(SIGNATURE);
            unsigned
        }
        _ if is_stream => {
            let from = resumed_after.and_then(|after| after.parse::<u32>().ok()).map_or(0, |after| after + 1);
            let (sender, body) = channel_body(1);
            let load = state.lock().unwrap().load();
            let sending = send_events(state, working, sender, id.clone(), from);
            tasks.spawn(sending).detach();
            let mut stream = signed(Response::new(body), &id);
            stream.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            if let Some(load) = load {
                stream.headers_mut().insert(LOAD, header_value(&format!("{load},0")));
            }
            stream
        }
        _ => {
            let (work, padding) = {
                let state = state.lock().unwrap();
                (state.work, state.padding)
            };
            Timer::after(work).await;
            signed(padded(&id, padding), &id)
        }
    }
}

async fn send_events(
    state: Arc<Mutex<State>>,
    _working: Working,
    sender: Sender<io::Result<Bytes>>,
    request: String,
    from: u32,
) {
    let (fault, events, software) = {
        let state = state.lock().unwrap();
        (state.fault, state.events, state.software.clone())
    };
    for id in from..events {
        let pace = state.lock().unwrap().pace;
        Timer::after(pace).await;
        until_it_goes_on(&state, Silence::Events, || sender.is_closed()).await;
        let event = versioned_event(&request, id, &software);
        let sent = match fault {
            UpstreamFault::BreaksOff(whole) if id - from >= whole => {
                let _ = sender.send(Ok(first_half(&event))).await;
                Timer::after(pace).await;
                let _ = sender.send(Err(io::Error::other("broken off"))).await;
                return;
            }
            UpstreamFault::EndsMidEvent(whole) if id - from >= whole => {
                let _ = sender.send(Ok(first_half(&event))).await;
                return;
            }
            UpstreamFault::EndsEarly(whole) if id - from >= whole => return,
            UpstreamFault::Stalls(whole) if id - from >= whole => {
                while !sender.is_closed() {
                    Timer::after(pace).await;
                }
                return;
            }
            _ => sender.send(Ok(Bytes::from(event))).await,
        };
        if sent.is_err() {
            return;
        }
    }
}
