//! Starting and stopping a gateway: the one place that knows all duties.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use bendhinge_codes::ExitStatus;
use bendhinge_delivery::IdentityKey;
use bendhinge_http::{Pool, ServeLimits, Server, StopHandle, Tasks};
use bendhinge_peer::Traffic;
use futures_lite::StreamExt;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};

use crate::args::args;
use crate::control::Control;
use crate::delivery::{CrashLooks, Delivering};
use crate::dialect::Dialect;
use crate::intake::{self, Intake};
use crate::knowledge::{RulesKeeper, UpstreamView};
use crate::lifecycle::Lifecycle;
use crate::log::Log;
use crate::metrics::{Metrics, MetricsError};
use crate::native::RULES_SCHEMA;
use crate::pacing::Pacing;
use crate::quarantine::QuarantineKeeper;
use crate::ready::Readiness;
use crate::retries::Retries;
use crate::settings::{SCHEMA, Settings};

/// How long an idle connection of a caller may stand: longer than any that its configuration
/// allows, since a caller's request must not cross the close.
const CALLER_IDLE: Duration = Duration::from_mins(2);
/// What the last answers get to leave the box.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Why a gateway could not be started.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("cannot take signals: {0}")]
    Signals(std::io::Error),
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error("cannot set up logs: {0}")]
    Log(#[from] spdlog::Error),
}

/// The process's entry, with the adapter that it is built for.
#[must_use]
pub fn main(dialect: impl Dialect) -> ExitStatus {
    let args = args().run();
    if args.reference {
        print!("{}", reference());
        return ExitStatus::Success;
    }
    let Some(path) = &args.settings else {
        eprintln!("bendhinge: name the settings file; see --help");
        return ExitStatus::Usage;
    };
    match Settings::read(path) {
        Err(faults) => {
            eprintln!("{faults}");
            ExitStatus::Failure
        }
        Ok(_) if args.check => ExitStatus::Success,
        Ok(settings) => run(settings, path, Arc::new(dialect)),
    }
}

/// The reference of the settings, and of the rules in the product's own form.
#[must_use]
pub fn reference() -> String {
    let settings = bendhinge_ini::markdown_reference(&SCHEMA);
    let rules = bendhinge_ini::markdown_reference(&RULES_SCHEMA);
    format!("{settings}\n{rules}")
}

fn run(settings: Settings, path: &Path, dialect: Arc<dyn Dialect>) -> ExitStatus {
    let tasks = Tasks::default();
    let local = Rc::new(LocalExecutor::new());
    let serving = serve(settings, path, dialect, &tasks, &local);
    match smol::block_on(local.run(tasks.run(serving))) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("bendhinge: {error}");
            ExitStatus::Usage
        }
    }
}

async fn serve(
    mut settings: Settings,
    path: &Path,
    dialect: Arc<dyn Dialect>,
    tasks: &Tasks,
    local: &Rc<LocalExecutor<'static>>,
) -> Result<(), StartError> {
    let log = Log::new()?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)?;
    let lifecycle = Arc::new(Lifecycle::new(settings.stop));
    let (quarantine, suspicions) = QuarantineKeeper::new(settings.peers, log.clone());
    let delivering = Arc::new(Delivering {
        dialect,
        rules: Arc::new(RulesKeeper::new(settings.beliefs)),
        upstreams: Arc::new(UpstreamView::new(settings.peers, settings.regions.clone(), &settings.upstreams)),
        retries: Retries::new(settings.retries),
        pacing: Pacing::new(log.clone()),
        identities: IdentityKey(settings.fleet.key.derived("requests")),
        quarantine: Arc::new(quarantine),
        crash_looks: CrashLooks::default(),
        pool: Pool::new(Arc::clone(tasks), settings.upstreams.connect, settings.upstreams.idle),
        tasks: Arc::clone(tasks),
        log: log.clone(),
        metrics: Metrics::new()?,
        answer_bytes: settings.upstreams.answer_bytes,
    });
    let callers = serve_callers(&settings, &delivering, &lifecycle).await?;
    let traffic = Arc::new(Traffic::default());
    let _ready = serve_readiness(&settings, &delivering, &lifecycle, &traffic).await?;
    let (peers, address) = listen_to_peers(settings.peers, &log).await?;
    settings.peers = address;
    let control =
        Control::new(settings.clone(), Arc::clone(&delivering), Arc::clone(&lifecycle), traffic, local);
    control.start(peers, suspicions);
    log.process("started", settings.name.as_str(), env!("CARGO_PKG_VERSION"));
    until_told_to_stop(signals, path, &control, &log).await;
    lifecycle.stop();
    log.process("stopping", settings.name.as_str(), &lifecycle.in_progress().to_string());
    local.spawn(async move { control.say_goodbye().await }).detach();
    lifecycle.drained().await;
    callers.stop();
    log.process("stopped", settings.name.as_str(), &lifecycle.in_progress().to_string());
    // The last answers and lines get a moment to leave.
    Timer::after(LAST_WORDS).await;
    Ok(())
}

/// Waits for the request to stop; reads the settings again when asked to.
async fn until_told_to_stop(mut signals: Signals, path: &Path, control: &Control, log: &Log) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match Settings::read(path) {
                Ok(settings) => {
                    control.follow(&settings);
                    log.process("reloaded", settings.name.as_str(), "");
                }
                Err(faults) => log.process("reload_refused", "", &faults.to_string()),
            },
            Ok(_) => return,
            Err(_) => {}
        }
    }
}

async fn listen_to_peers(address: SocketAddr, log: &Log) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    log.listening("peers", bound);
    Ok((listener, bound))
}

async fn bind(
    what: &str,
    address: SocketAddr,
    limits: ServeLimits,
    delivering: &Delivering,
) -> Result<Server, StartError> {
    let failed = |error| StartError::Listen { address, error };
    let server = Server::bind(address, limits, Arc::clone(&delivering.tasks)).await.map_err(failed)?;
    delivering.log.listening(what, server.local_addr().map_err(failed)?);
    Ok(server)
}

async fn serve_callers(
    settings: &Settings,
    delivering: &Arc<Delivering>,
    lifecycle: &Arc<Lifecycle>,
) -> Result<StopHandle, StartError> {
    /// The largest head: more than any configuration allows, since callers keep within that.
    const HEAD_BYTES: usize = 64 << 10;
    let limits = ServeLimits {
        max_head_bytes: HEAD_BYTES,
        head_timeout: CALLER_IDLE,
        max_connections: settings.connections,
        ..ServeLimits::default()
    };
    let noting = Arc::clone(delivering);
    let unread = Arc::new(move |caller| {
        noting.metrics.answer_unread();
        noting.log.answer_unread(caller);
    });
    let server = bind("callers", settings.callers, limits, delivering).await?.on_write_timeout(unread);
    let stop = server.stop_handle();
    let intake = Arc::new(Intake { delivering: Arc::clone(delivering), lifecycle: Arc::clone(lifecycle) });
    let serving = server.run(move |request| intake::handle(Arc::clone(&intake), request));
    delivering.tasks.spawn(serving).detach();
    Ok(stop)
}

async fn serve_readiness(
    settings: &Settings,
    delivering: &Arc<Delivering>,
    lifecycle: &Arc<Lifecycle>,
    traffic: &Arc<Traffic>,
) -> Result<StopHandle, StartError> {
    let server = bind("ready", settings.ready, ServeLimits::default(), delivering).await?;
    let stop = server.stop_handle();
    let readiness = Arc::new(Readiness {
        delivering: Arc::clone(delivering),
        lifecycle: Arc::clone(lifecycle),
        traffic: Arc::clone(traffic),
        lease: settings.beliefs.rules_lease,
    });
    let serving = server.run(move |request| {
        let readiness = Arc::clone(&readiness);
        async move { readiness.answer(&request) }
    });
    delivering.tasks.spawn(serving).detach();
    Ok(stop)
}
