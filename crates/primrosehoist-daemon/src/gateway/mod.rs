//! The gateway role of the daemon.
//!
//! Each daemon forwards requests directly to upstreams. It learns the state of the platform from
//! the platform's store, from gossip messages of other daemons, and from upstream responses.

mod admission;
mod answer;
mod attempt;
mod context;
mod explain;
mod forward;
mod gossip;
mod handover;
mod ingress;
mod job;
mod lookup;
mod memory;
mod observation;
mod obstacles;
mod pause;
mod peer_sync;
mod permit;
mod placement;
mod queue;
mod reach;
mod registration;
mod rejections;
mod reload;
mod reservation;
mod returns;
mod seeds;
mod selection;
mod share;
mod starting;
mod stopping;
mod store_ping;
mod store_sync;
mod stream;
mod suspension;
mod takeover;
mod upstream_changes;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use log::LevelFilter;
use opentelemetry_sdk::error::OTelSdkError;
use primrosehoist::protocol::explanation;
use primrosehoist::protocol::gossip::Error as EncodeError;
use primrosehoist::state::memory::{Connections, Memory};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::server::{self, Limits};
use primrosehoist_platform::settings::{self, Settings};
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use self::context::Context;
use self::reload::Reload;
use self::store_sync::Feed;
use crate::clock::unix_ms;
use crate::log_queue::{Log, Stream};
use crate::metrics::Metrics;
use crate::signals::{self, Cause, Signals};
use crate::startup::{self, Port};
use crate::tasks::Supervisor;
use crate::{descriptors, log_queue, panics, runtime, watchdog};

/// The maximum number of headers in a request.
const HEADERS_MAX: usize = 100;

/// The default limit on the size of a request head, in bytes.
const HEAD_BYTES_DEFAULT: usize = 16 * 1024;

/// The maximum numbers of concurrent connections, however many descriptors there are.
const CONNECTIONS_MAX: Connections = Connections {
    clients: 2500,
    handovers: takeover::CONNECTIONS_MAX,
    internal: 64,
};

/// The memory for the connections to each port for the platform, other daemons or operators, in
/// bytes.
const INTERNAL_CONNECTION_BYTES: u64 = 1 << 20;

/// The maximum number of other daemons that get platform state at once. Those that are rejected ask
/// another daemon a little later, and by then more have it. If one daemon sent its state to all of a
/// zone at once, its link would be shared among so many that all of them would time out.
const PEER_STATE_CONNECTIONS_MAX: usize = 12;

/// The maximum number of starting daemons that get platform state at once.
const CONTROL_CONNECTIONS_MAX: usize = 8;

/// The smallest limit on the request head that the HTTP library accepts, in bytes.
const HEAD_BYTES_MIN: u64 = 8192;

/// The largest limit on the request head, whatever the configuration allows, in bytes.
const HEAD_BYTES_MAX: u64 = 1 << 20;

/// The default timeout for receiving a request head.
const HEAD_TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);

/// The default timeout for an idle client connection.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// The longest time without write progress on a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Responds to a request.
type Respond = fn(&Context, &Request<Incoming>) -> Response<Payload>;

quick_error! {
    /// An error that ends the daemon.
    #[derive(Debug)]
    enum Error {
        /// The metrics cannot be initialized.
        Metrics(source: OTelSdkError) { from() display("metrics: {}", source) }
        /// A server ended before the shutdown.
        Server(clients: &'static str) { display("the server of {} ended", clients) }
    }
}

quick_error! {
    /// Why a daemon waits before it starts.
    #[derive(Debug)]
    enum Obstacle {
        /// The settings cannot be used.
        Settings(source: settings::Error) { from() display("{}", source) }
        /// A port cannot be opened.
        Port(source: startup::Error) { from() display("{}", source) }
    }
}

/// The command-line options that complement the platform's settings.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// The port on which the metrics are served.
    pub(crate) metrics_port: u16,
    /// The most verbose level that is logged.
    pub(crate) log_level: LevelFilter,
}

/// The ports without which a daemon does not start. It serves clients without the others.
#[derive(Debug)]
struct Ports {
    clients: TcpListener,
    readiness: TcpListener,
}

impl Ports {
    fn open(settings: &Settings) -> Result<Self, startup::Error> {
        let clients = Port::reserve(settings.ingress)?;
        let readiness = Port::reserve(settings.readiness)?;
        Ok(Self {
            clients: clients.listen()?,
            readiness: readiness.listen()?,
        })
    }
}

/// Runs the daemon with the platform's settings file and returns the exit code.
pub(crate) fn run(options: &Options) -> ExitCode {
    let descriptors = descriptors::reserve();
    let log = match log_queue::install(options.log_level, Stream::Output) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("primrosehoistd: logging: {error}");
            return ExitCode::FAILURE;
        }
    };
    panics::install_hook();
    log.start_writer();
    match start(options, descriptors, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let message = match error {
                Error::Server(_) => "daemon failed",
                Error::Metrics(_) => "startup failed",
            };
            log::error!(error:%; "{message}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options, descriptors: usize, log: &Log) -> Result<(), Error> {
    // The process gets one core or less, so more threads would only add context switches.
    let runtime = runtime::single();
    let served = runtime.block_on(async {
        let mut signals = startup::wait_for(Signals::install).await;
        let prepared = tokio::select! {
            cause = signals.wait_for_stop() => {
                log::info!(cause = cause.name(); "terminated during startup");
                None
            }
            prepared = startup::wait_for(prepare) => Some(prepared),
        };
        match prepared {
            Some((settings, ports)) => {
                let reload = Reload::new(&settings);
                let settings = Settings {
                    fds_max: settings.fds_max.min(descriptors),
                    ..settings
                };
                serve(settings, ports, options, signals, reload, log).await
            }
            None => Ok(()),
        }
    });
    runtime.shutdown_background();
    served
}

/// Loads the settings and opens the ports that they name.
fn prepare() -> Result<(Settings, Ports), Obstacle> {
    let settings = Settings::load(&settings::path())?;
    let ports = Ports::open(&settings)?;
    Ok((settings, ports))
}

async fn serve(
    settings: Settings,
    ports: Ports,
    options: &Options,
    signals: Signals,
    reload: Reload,
    log: &Log,
) -> Result<(), Error> {
    let context = Arc::new(Context::new(settings, Metrics::new()?, unix_ms()));
    let settings = &context.settings;
    watchdog::start(watchdog::INTERVAL, context.metrics.runtime_stalls());
    let tasks = Supervisor::new(&context, context.metrics.task_restarts());
    spawn_tasks(&tasks);
    let (stop, stopped) = watch::channel(false);
    let internal = connections(settings).internal;
    let mut readiness = tokio::spawn(serve_internal(
        Arc::clone(&context),
        ports.readiness,
        internal,
        stopped.clone(),
        readiness_response,
    ));
    let mut peer_state = tokio::spawn(serve_when_free(
        SocketAddr::new(settings.address, settings.link_ports.0),
        stopped.clone(),
        {
            let (context, stopped) = (Arc::clone(&context), stopped.clone());
            let connections = internal.min(PEER_STATE_CONNECTIONS_MAX);
            move |port| serve_internal(context, port, connections, stopped, peer_sync::respond)
        },
    ));
    let clients = serve_clients(Arc::clone(&context), ports.clients, stopped.clone());
    let metrics = SocketAddr::new(settings.address, options.metrics_port);
    let metrics_stopped = stopped.clone();
    tasks.spawn("serve_metrics", move |context| {
        let stopped = metrics_stopped.clone();
        serve_when_free(metrics, stopped.clone(), move |port| {
            serve_internal(context, port, internal, stopped, metrics_response)
        })
    });
    for mistake in &settings.ignored {
        log::warn!(mistake = mistake.as_str(); "setting ignored");
    }
    if let Some(control) = settings.control {
        let connections = internal.min(CONTROL_CONNECTIONS_MAX);
        let stopped = stopped.clone();
        tasks.spawn("serve_seeds", move |context| {
            let stopped = stopped.clone();
            serve_when_free(control, stopped.clone(), move |port| {
                serve_internal(context, port, connections, stopped, seeds::respond)
            })
        });
    }
    let handovers = serve_when_free(
        SocketAddr::new(settings.address, takeover::port(settings)),
        stopped.clone(),
        {
            let context = Arc::clone(&context);
            move |port| takeover::serve(context, port, stopped)
        },
    );
    let mut serving = tokio::spawn(async {
        tokio::join!(clients, handovers);
    });
    log::info!(
        host = settings.host.as_ref(),
        zone = settings.zone.as_ref(),
        started_ms = context.started_ms;
        "daemon started"
    );
    let (cause, result) = tokio::select! {
        cause = run_until_stopped(&context, signals, reload) => (cause, Ok(())),
        _ended = &mut serving => (Cause::Server, Err(Error::Server("clients and daemons"))),
        _ended = &mut readiness => (Cause::Server, Err(Error::Server("readiness checks"))),
        _ended = &mut peer_state => (Cause::Server, Err(Error::Server("platform state"))),
    };
    let end = stopping::shut_down(&context, cause, &stop, serving).await;
    log.limit((end + stopping::FLUSH_TIME).into_std());
    result
}

/// Spawns the tasks that keep what this daemon knows up to date, for as long as the process runs.
fn spawn_tasks(tasks: &Supervisor<Context>) {
    tasks.spawn("follow_configuration", |context| {
        store_sync::follow(context, Feed::Configuration)
    });
    tasks.spawn("follow_upstreams", |context| {
        store_sync::follow(context, Feed::Upstreams)
    });
    tasks.spawn("follow_evacuations", |context| {
        store_sync::follow(context, Feed::Evacuations)
    });
    tasks.spawn("register", registration::join);
    tasks.spawn("report_start", starting::report);
    tasks.spawn("ask_seeds", seeds::learn);
    tasks.spawn("ping_store", store_ping::ping);
    tasks.spawn("refresh_gossip", gossip::refresh);
    tasks.spawn("catch_up", peer_sync::catch_up);
    tasks.spawn("detect_pauses", pause::watch);
    tasks.spawn("detect_cuts", reach::watch);
    tasks.spawn("watch_memory", memory::watch);
    tasks.spawn("send_gossip", gossip::send);
    tasks.spawn("query_peers", gossip::query);
    tasks.spawn("receive_gossip", gossip::receive);
}

/// Serves a port with `serve` as soon as it can be opened, unless `stopped` becomes true before.
async fn serve_when_free<S, R>(address: SocketAddr, mut stopped: watch::Receiver<bool>, serve: S)
where
    S: FnOnce(TcpListener) -> R,
    R: Future<Output = ()>,
{
    let open = || Port::reserve(address).and_then(Port::listen);
    let listener = tokio::select! {
        biased;
        listener = startup::wait_for(open) => listener,
        _stopped = stopped.wait_for(|stopped| *stopped) => return,
    };
    serve(listener).await;
}

fn serve_clients(
    context: Arc<Context>,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
) -> impl Future<Output = ()> {
    let limits_context = Arc::clone(&context);
    let limits = move || client_limits(&limits_context);
    server::serve(listener, limits, stopped, move |request| {
        ingress::handle(Arc::clone(&context), request)
    })
}

/// Returns the largest numbers of connections to the ports of this daemon.
fn connections(settings: &Settings) -> Connections {
    Connections::of(settings.fds_max, &CONNECTIONS_MAX)
}

/// Returns the limits on client connections, from the active configuration if there is one.
fn client_limits(context: &Context) -> Limits {
    let table = context.table.load();
    let configured = table.as_ref().map(|table| table.limits());
    Limits {
        connections: connections(&context.settings).clients,
        connection_bytes: Memory::of(context.settings.memory_mb).connections,
        closed: context.metrics.connections_closed(),
        headers: HEADERS_MAX,
        head_bytes: configured.map_or(HEAD_BYTES_DEFAULT, |limits| {
            limits
                .header_bytes_max
                .clamp(HEAD_BYTES_MIN, HEAD_BYTES_MAX) as usize
        }),
        head_timeout: configured.map_or(HEAD_TIMEOUT_DEFAULT, |limits| limits.header_timeout),
        idle_timeout: configured.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout),
        write_timeout: WRITE_TIMEOUT,
    }
}

/// Serves a port for the platform, other daemons or operators, with `respond` for every request.
fn serve_internal(
    context: Arc<Context>,
    listener: TcpListener,
    connections: usize,
    stopped: watch::Receiver<bool>,
    respond: Respond,
) -> impl Future<Output = ()> {
    let limits_context = Arc::clone(&context);
    let limits = move || Limits {
        connections,
        connection_bytes: INTERNAL_CONNECTION_BYTES,
        closed: limits_context.metrics.connections_closed(),
        headers: HEADERS_MAX,
        head_bytes: HEAD_BYTES_DEFAULT,
        head_timeout: HEAD_TIMEOUT_DEFAULT,
        idle_timeout: IDLE_TIMEOUT_DEFAULT,
        write_timeout: WRITE_TIMEOUT,
    };
    server::serve(listener, limits, stopped, move |request| {
        std::future::ready(respond(&context, &request))
    })
}

fn readiness_response(context: &Context, _request: &Request<Incoming>) -> Response<Payload> {
    if context.is_ready() {
        text_response(StatusCode::OK, "ready\n".to_owned())
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

/// Responds to an operator.
fn metrics_response(context: &Context, request: &Request<Incoming>) -> Response<Payload> {
    if request.uri().path() == explanation::PATH {
        return explain::respond(context, request.uri().query().unwrap_or_default());
    }
    match context.metrics.render() {
        Ok(metrics) => text_response(StatusCode::OK, metrics),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Payload> {
    response(status, Bytes::from(body))
}

/// Responds with encoded platform state.
fn bytes_response(encoded: Result<Vec<u8>, EncodeError>) -> Response<Payload> {
    match encoded {
        Ok(bytes) => response(StatusCode::OK, Bytes::from(bytes)),
        Err(error) => {
            log::error!(error:%; "failed to encode platform state");
            response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<Payload> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Waits for a signal to stop and returns it. Meanwhile, reloads the settings on `SIGHUP` and when
/// their file changes.
async fn run_until_stopped(context: &Context, mut signals: Signals, mut reload: Reload) -> Cause {
    loop {
        tokio::select! {
            request = signals.next() => match request {
                signals::Request::Stop(cause) => return cause,
                signals::Request::Reload => reload.run(context, "signal"),
            },
            () = sleep(SETTINGS_POLL_INTERVAL) => reload.run(context, "look"),
        }
    }
}
