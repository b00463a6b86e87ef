//! Starting and stopping a router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bendhinge_codes::ExitStatus;
use bendhinge_http::{ServeLimits, Server, Tasks, run_until, wait_for_termination};
use bendhinge_ids::{Incarnation, RouterInstance};
use bendhinge_peer::TrafficCounters;
use bendhinge_timeline::EventKind;
use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::{bounded, unbounded};
use smol::net::TcpListener;

use crate::args::args;
use crate::control;
use crate::metrics::{Metrics, MetricsError};
use crate::node::{Node, NodeParts};
use crate::settings::{SCHEMA, Settings};
use crate::{intake, logs, operators};

/// Why a router could not be started.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error("cannot start the thread between routers: {0}")]
    Thread(std::io::Error),
}

/// The process's entry.
#[must_use]
pub fn main() -> ExitStatus {
    let args = args().run();
    if args.reference {
        print!("{}", bendhinge_ini::markdown_reference(&SCHEMA));
        return ExitStatus::Success;
    }
    let Some(path) = &args.settings else {
        eprintln!("bendhinge-router: name the settings file; see --help");
        return ExitStatus::Usage;
    };
    match Settings::read(path) {
        Err(faults) => {
            eprintln!("{faults}");
            ExitStatus::Failure
        }
        Ok(_) if args.check => ExitStatus::Success,
        Ok(settings) => run(settings),
    }
}

fn run(settings: Settings) -> ExitStatus {
    if let Err(error) = logs::start() {
        eprintln!("bendhinge-router: cannot set up logs: {error}");
        return ExitStatus::Usage;
    }
    match serve(settings) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("bendhinge-router: {error}");
            ExitStatus::Usage
        }
    }
}

/// A life's number: the time of its start, so that a later life has a higher one.
fn new_incarnation() -> Incarnation {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX))
}

fn serve(settings: Settings) -> Result<(), StartError> {
    let tasks = Tasks::default();
    let traffic = Arc::new(TrafficCounters::default());
    let (calls, received_calls) = unbounded();
    let (stop_control, control_stopped) = bounded::<()>(1);
    let life = RouterInstance { name: settings.name.clone(), incarnation: new_incarnation() };
    let workers = settings.workers;
    let node = Arc::new(Node::new(NodeParts {
        metrics: Metrics::new(&traffic)?,
        settings,
        life,
        tasks: Arc::clone(&tasks),
        traffic,
        calls,
    }));
    let peers = smol::block_on(listen(node.settings.peers))?;
    print_listening("peers", peers.local_addr().unwrap_or(node.settings.peers));
    let thread = {
        let node = Arc::clone(&node);
        let run = move || control::run(&node, peers, received_calls, &control_stopped);
        std::thread::Builder::new().name("control".to_owned()).spawn(run).map_err(StartError::Thread)?
    };
    let served = run_until(&tasks, workers, serve_until_stopped(&node));
    drop(stop_control);
    // The control thread ends with its executor; a panic there has ended the process already.
    let _ = thread.join();
    served
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen { address, error })
}

fn print_listening(what: &str, address: SocketAddr) {
    println!("listening {what} {address}");
}

async fn bind(
    address: SocketAddr,
    limits: ServeLimits,
    node: &Node,
    what: &str,
) -> Result<Server, StartError> {
    let bound = Server::bind(address, limits, Arc::clone(&node.tasks)).await;
    let server = bound.map_err(|error| StartError::Listen { address, error })?;
    print_listening(what, server.local_addr().unwrap_or(address));
    Ok(server.with_buffers(node.buffers.clone()))
}

async fn serve_until_stopped(node: &Arc<Node>) -> Result<(), StartError> {
    let limits = node.settings.limits;
    let for_callers = ServeLimits {
        max_head_bytes: limits.head_bytes,
        head_timeout: limits.head,
        max_connections: limits.connections,
        ..ServeLimits::default()
    };
    let operators = bind(node.settings.operators, ServeLimits::default(), node, "operators").await?;
    let callers = bind(node.settings.callers, for_callers, node, "callers").await?;
    let stopper = callers.stop_handle();
    let operating = {
        let node = Arc::clone(node);
        operators.run(move |request| {
            let node = Arc::clone(&node);
            async move { operators::handle(&node, &request) }
        })
    };
    node.tasks.spawn(operating).detach();
    let serving = {
        let node = Arc::clone(node);
        node.tasks.clone().spawn(callers.run(move |request| intake::handle(Arc::clone(&node), request)))
    };
    node.note(EventKind::Started { version: env!("CARGO_PKG_VERSION").to_owned() });
    wait_for_termination().await;
    node.note(EventKind::Stopping);
    spdlog::info!("stopping; requests in progress are finished first");
    node.stopping.store(true, Ordering::Release);
    Timer::after(limits.stop_grace).await;
    stopper.stop();
    let too_long = async {
        Timer::after(limits.stop).await;
    };
    serving.or(too_long).await;
    // Permits and claims on their way to other routers get a moment to leave.
    Timer::after(LAST_WORDS).await;
    Ok(())
}

const LAST_WORDS: Duration = Duration::from_millis(200);
