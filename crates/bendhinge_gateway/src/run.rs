//! Starts and stops a gateway and wires its modules together.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use bendhinge_buffers::BufferBudget;
use bendhinge_codes::ExitStatus;
use bendhinge_delivery::IdentityKey;
use bendhinge_http::{Pool, ServeLimits, Server, StopHandle, Tasks};
use bendhinge_peer::TrafficCounters;
use futures_lite::StreamExt;
use smol::net::TcpListener;
use smol::{LocalExecutor, Task, Timer};

use crate::admission::Admission;
use crate::args::args;
use crate::control::{ControlPlane, Notifications};
use crate::delivery::{CrashProbes, DeliveryContext, LinkProbes, SendRegistry};
use crate::dialect::Dialect;
use crate::forwarding::Forwarding;
use crate::intake::{self, Intake};
use crate::lifecycle::Lifecycle;
use crate::log::Log;
use crate::metrics::{Metrics, MetricsError};
use crate::native::RULES_SCHEMA;
use crate::pacing::Pacing;
use crate::permits::Permits;
use crate::quarantine::SharedQuarantine;
use crate::ready::Readiness;
use crate::retries::RetryBudgets;
use crate::settings::{SCHEMA, Settings};
use crate::state::{RulesReplica, UpstreamView};
use crate::streams::Streams;
use crate::totals::SharedTotals;

/// How long an idle connection of a caller stays open. Longer than any idle timeout of callers, so that the
/// gateway does not close a connection on which a request is in transit.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Queued changes of partitions. More than one, so that those of other gateways do not displace one of this gateway.
const MAX_QUEUED_PARTITION_CHANGES: usize = 64;
/// Delay before the process exits, for the last responses and log lines to be written.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Error while starting a gateway.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("cannot register signal handlers: {0}")]
    Signals(std::io::Error),
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error("cannot set up logging: {0}")]
    Log(#[from] spdlog::Error),
}

/// Runs the gateway's command line with the given dialect and returns the exit status.
#[must_use]
pub fn main(dialect: impl Dialect) -> ExitStatus {
    let args = args().run();
    if args.reference {
        print!("{}", reference());
        return ExitStatus::Success;
    }
    let Some(path) = &args.settings else {
        eprintln!("bendhinge: missing settings file; see --help");
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

/// Renders the reference of the settings and of the serving rules in the native dialect as Markdown.
#[must_use]
pub fn reference() -> String {
    let settings = bendhinge_ini::markdown_reference(&SCHEMA);
    let rules = bendhinge_ini::markdown_reference(&RULES_SCHEMA);
    format!("{settings}\n{rules}")
}

fn run(settings: Settings, path: &Path, dialect: Arc<dyn Dialect>) -> ExitStatus {
    let tasks = Tasks::default();
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(settings, path, dialect, &tasks, &executor);
    match smol::block_on(executor.run(tasks.run(serving))) {
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
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<(), StartError> {
    let log = Log::new()?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)?;
    let (peer_listener, address) = listen_to_peers(settings.peer_address, &log).await?;
    settings.peer_address = address;
    let lifecycle = Arc::new(Lifecycle::new(settings.stop));
    let (quarantine, suspicions) = SharedQuarantine::new(settings.peer_address, log.clone());
    let totals = Arc::new(SharedTotals::default());
    // One queued notification stands for any number of reports.
    let (overload_notifier, overloads) = smol::channel::bounded(1);
    let (partition_notifier, partitions) = smol::channel::bounded(MAX_QUEUED_PARTITION_CHANGES);
    let (forwarding, connects) =
        Forwarding::new(settings.forwards_requests, settings.peer_address, &settings.data_centre);
    let identity_key = IdentityKey(settings.fleet.shared_key.derive("requests"));
    let upstreams = UpstreamView::new(
        settings.peer_address,
        settings.location(),
        &settings.upstreams,
        settings.load,
        Arc::clone(&totals),
        overload_notifier,
        settings.forwards_requests,
    );
    let (streams, stream_notifications) = Streams::new(settings.streams.keeps_software, identity_key.clone());
    let (permits, permit_queries) = Permits::new();
    let buffers = BufferBudget::new(settings.memory.max_buffer_bytes);
    let context = Arc::new(DeliveryContext {
        dialect,
        rules: Arc::new(RulesReplica::new(settings.rules)),
        upstreams: Arc::new(upstreams.with_first_start(settings.streams.is_first_start)),
        retry_budgets: RetryBudgets::new(settings.retry_budget, settings.assumes_spent_retries),
        pacing: Pacing::new(log.clone()),
        admission: Admission::new(Arc::clone(&totals), log.clone()),
        totals,
        load_settings: settings.load,
        identity_key,
        streams,
        permits,
        quarantine: Arc::new(quarantine),
        tracks_prompt_parts: settings.quarantine.tracks_prompt_parts,
        verifies_close: settings.upstreams.verifies_close || settings.quarantine.tracks_prompt_parts,
        crash_probes: CrashProbes::default(),
        close_probes: CrashProbes::default(),
        link_probes: LinkProbes::default(),
        forwarding: Arc::new(forwarding),
        partition_notifier,
        sends: Arc::new(SendRegistry::default()),
        connection_pool: Pool::new(
            Arc::clone(tasks),
            settings.upstreams.connect_timeout,
            settings.upstreams.idle_timeout,
        )
        .with_buffers(buffers.clone()),
        tasks: Arc::clone(tasks),
        log: log.clone(),
        metrics: Metrics::new()?,
        max_response_bytes: settings.upstreams.max_response_bytes,
        max_event_bytes: settings.upstreams.max_event_bytes,
        buffers,
    });
    let intake = Arc::new(Intake { context: Arc::clone(&context), lifecycle: Arc::clone(&lifecycle) });
    let (caller_server, caller_connections) = serve_callers(&settings, &intake).await?;
    let traffic = Arc::new(TrafficCounters::default());
    let _readiness_server = serve_readiness(&settings, &context, &lifecycle, &traffic).await?;
    let control =
        ControlPlane::new(settings.clone(), Arc::clone(&context), Arc::clone(&lifecycle), traffic, executor);
    let notifications = Notifications {
        suspicions,
        overloads,
        partitions,
        connects,
        streams: stream_notifications,
        permits: permit_queries,
    };
    control.start(peer_listener, intake, notifications);
    let detail = if settings.streams.is_first_start {
        concat!(env!("CARGO_PKG_VERSION"), ", first start")
    } else {
        env!("CARGO_PKG_VERSION")
    };
    log.process_event("started", settings.name.as_str(), detail);
    wait_for_stop_signal(signals, path, &control, &log).await;
    lifecycle.begin_shutdown();
    log.process_event("stopping", settings.name.as_str(), &lifecycle.in_progress().to_string());
    let announcing = Rc::clone(&control);
    executor.spawn(async move { announcing.announce_shutdown().await }).detach();
    // Not after the announcement, which waits for gateways that do not respond.
    let handing_over = executor.spawn(async move { control.hand_over_streams().await });
    lifecycle.wait_until_drained(&handing_over).await;
    caller_server.stop();
    lifecycle.wait_until_closed(caller_connections).await;
    log.process_event("stopped", settings.name.as_str(), &lifecycle.in_progress().to_string());
    Timer::after(FLUSH_DELAY).await;
    Ok(())
}

/// Waits for a stop signal; reloads the settings on SIGHUP.
async fn wait_for_stop_signal(mut signals: Signals, path: &Path, control: &ControlPlane, log: &Log) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match Settings::read(path) {
                Ok(settings) => {
                    control.apply_settings(&settings);
                    log.process_event("reloaded", settings.name.as_str(), "");
                }
                Err(faults) => log.process_event("reload_refused", "", &faults.to_string()),
            },
            Ok(_) => return,
            Err(_) => {}
        }
    }
}

async fn listen_to_peers(address: SocketAddr, log: &Log) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |error| StartError::Listen { address, error };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    log.listening("peers", bound);
    Ok((listener, bound))
}

async fn bind_server(
    name: &str,
    address: SocketAddr,
    limits: ServeLimits,
    context: &DeliveryContext,
) -> Result<Server, StartError> {
    let listen_error = |error| StartError::Listen { address, error };
    let server = Server::bind(address, limits, Arc::clone(&context.tasks)).await.map_err(listen_error)?;
    context.log.listening(name, server.local_addr().map_err(listen_error)?);
    Ok(server.with_buffers(context.buffers.clone()))
}

/// Serves callers. Returns how to stop that, and a task that ends once their connections are closed after it.
async fn serve_callers(
    settings: &Settings,
    intake: &Arc<Intake>,
) -> Result<(StopHandle, Task<()>), StartError> {
    /// The maximum size of a request's head; above any limit that callers are given.
    const MAX_HEAD_BYTES: usize = 64 << 10;
    let limits = ServeLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: CALLER_IDLE_TIMEOUT,
        max_connections: settings.max_connections,
        ..ServeLimits::default()
    };
    let context = &intake.context;
    let recorder = Arc::clone(context);
    let on_write_timeout = Arc::new(move |caller| {
        recorder.metrics.count_slow_caller_disconnect();
        recorder.log.slow_caller_disconnected(caller);
    });
    let recorder = Arc::clone(context);
    let on_memory_limit = Arc::new(move |caller| {
        recorder.metrics.count_revoked_connection();
        recorder.log.caller_connection_revoked(caller);
    });
    let recorder = Arc::clone(context);
    let on_connection_limit = Arc::new(move |_| recorder.metrics.count_refused_connection());
    let server = bind_server("callers", settings.caller_address, limits, context)
        .await?
        .on_write_timeout(on_write_timeout)
        .on_connection_limit(on_connection_limit)
        .on_memory_limit(on_memory_limit);
    let stop = server.stop_handle();
    let intake = Arc::clone(intake);
    let serving = server.run(move |request| intake::handle(Arc::clone(&intake), request));
    Ok((stop, context.tasks.spawn(serving)))
}

async fn serve_readiness(
    settings: &Settings,
    context: &Arc<DeliveryContext>,
    lifecycle: &Arc<Lifecycle>,
    traffic: &Arc<TrafficCounters>,
) -> Result<StopHandle, StartError> {
    /// Load balancers and monitoring need few connections.
    const MAX_CONNECTIONS: usize = 256;
    let limits = ServeLimits { max_connections: MAX_CONNECTIONS, ..ServeLimits::default() };
    let server = bind_server("ready", settings.readiness_address, limits, context).await?;
    let stop = server.stop_handle();
    let readiness = Arc::new(Readiness {
        context: Arc::clone(context),
        lifecycle: Arc::clone(lifecycle),
        traffic: Arc::clone(traffic),
        lease: settings.rules.lease,
    });
    let serving = server.run(move |request| {
        let readiness = Arc::clone(&readiness);
        async move { readiness.handle(&request) }
    });
    context.tasks.spawn(serving).detach();
    Ok(stop)
}
