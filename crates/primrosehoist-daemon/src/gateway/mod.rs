//! The daemon on the users' platform.
//!
//! Each daemon forwards requests directly to upstreams. What it knows comes from the platform's
//! store, from notices of other daemons, and from the answers of upstreams.

mod attempt;
mod choose;
mod context;
mod flight;
mod ingress;
mod job;
mod links;
mod relay;
mod reload;
mod reservation;
mod stream;
mod suspension;
mod sync;
mod waiting;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use log::LevelFilter;
use opentelemetry_sdk::error::OTelSdkError;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::server::{self, Limits};
use primrosehoist_platform::daemon;
use primrosehoist_platform::settings::{self, Settings};
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use self::context::Context;
use self::links::Peers;
use self::reload::Reload;
use self::sync::Feed;
use crate::clock::unix_ms;
use crate::log_queue;
use crate::metrics::Metrics;

/// Headers in one request.
const HEADERS_MAX: usize = 100;

/// The size of the head of a request, in bytes, until the configuration says otherwise.
const HEAD_BYTES: usize = 16 * 1024;

/// Connections of clients at once: what the descriptors of a small host allow, beside those to
/// upstreams.
const CONNECTIONS_MAX: usize = 2500;

/// Connections to one of the ports for the platform, other daemons and operators at once.
const INNER_CONNECTIONS_MAX: usize = 64;

/// The smallest size of the head of a request that the HTTP library accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8192;

/// The longest time for the head of a request until the configuration says otherwise.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time between two requests until the configuration says otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest time in which a client takes no byte of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a daemon that shuts down takes new connections: the load balancer asks once a
/// second, and twice before it sends nobody any more.
const LAME_DUCK: Duration = Duration::from_millis(2600);

/// How much earlier than the platform ends the process it ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// The pause between two looks at what is in progress during the shutdown.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(50);

/// The time between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(1);

/// The pause after a registration that failed.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);

quick_error! {
    /// Says at which step the start failed.
    #[derive(Debug)]
    enum Error {
        /// The instruments cannot be set up.
        Metrics(source: OTelSdkError) { from() display("metrics: {}", source) }
        /// A socket cannot be opened.
        Listen(address: SocketAddr, source: io::Error) {
            display("listen on {}: {}", address, source)
        }
        /// A signal cannot be received.
        Signal(source: io::Error) { display("signals: {}", source) }
    }
}

/// What the command line says beside the platform's settings.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// The port on which the metrics are served.
    pub(crate) metrics_port: u16,
    /// The least urgent lines that are logged.
    pub(crate) log_level: LevelFilter,
}

/// Runs the daemon with the settings that the platform wrote; returns the exit code.
pub(crate) fn run(options: &Options) -> ExitCode {
    if let Err(error) = log_queue::start(options.log_level) {
        eprintln!("primrosehoistd: logging: {error}");
        return ExitCode::FAILURE;
    }
    let settings = match Settings::load(&settings::path()) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(error:%; "settings cannot be used");
            return ExitCode::from(crate::command::EXIT_USAGE);
        }
    };
    // One core or less carries the process, so further threads would only take turns.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!(error:%; "runtime cannot be started");
            return ExitCode::FAILURE;
        }
    };
    let served = runtime.block_on(serve(settings, options));
    runtime.shutdown_background();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:%; "cannot start");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings, options: &Options) -> Result<(), Error> {
    let context = Arc::new(Context::new(settings, Metrics::new()?, unix_ms()));
    let settings = &context.settings;
    let clients = listen(settings.ingress).await?;
    let readiness = listen(settings.readiness).await?;
    let port = settings.link_ports.0;
    let pictures = listen(SocketAddr::new(settings.address, port)).await?;
    let metrics = listen(SocketAddr::new(settings.address, options.metrics_port)).await?;
    let socket = links::open(settings.address, port)
        .await
        .map_err(|source| Error::Listen(SocketAddr::new(settings.address, port), source))?;
    let socket = Arc::new(socket);
    let peers = Arc::new(Peers::new(settings.address, port));
    for feed in [Feed::Configuration, Feed::Upstreams, Feed::Evacuations] {
        tokio::spawn(sync::follow(Arc::clone(&context), Arc::clone(&peers), feed));
    }
    tokio::spawn(sync::ping(Arc::clone(&context)));
    tokio::spawn(register(Arc::clone(&context), Arc::clone(&peers)));
    tokio::spawn(links::send(
        Arc::clone(&context),
        Arc::clone(&peers),
        Arc::clone(&socket),
    ));
    tokio::spawn(links::receive(
        Arc::clone(&context),
        Arc::clone(&peers),
        socket,
    ));
    tokio::spawn(relay::catch_up(Arc::clone(&context), peers));
    let (stop, stopped) = watch::channel(false);
    let inner = |listener, answer: fn(&Context, &str) -> Response<Payload>| {
        tokio::spawn(serve_inner(
            Arc::clone(&context),
            listener,
            stopped.clone(),
            answer,
        ));
    };
    inner(readiness, answer_readiness);
    inner(pictures, relay::answer);
    inner(metrics, answer_metrics);
    let serving = tokio::spawn(serve_clients(Arc::clone(&context), clients, stopped));
    log::info!(
        host = settings.host.as_ref(),
        zone = settings.zone.as_ref(),
        started_ms = context.started_ms;
        "daemon started"
    );
    await_termination(&context).await?;
    shut_down(&context, &stop, serving).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen(address, source))
}

fn serve_clients(
    context: Arc<Context>,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
) -> impl Future<Output = ()> {
    let limited = Arc::clone(&context);
    let limits = move || client_limits(&limited);
    server::serve(listener, limits, stopped, move |request| {
        ingress::handle(Arc::clone(&context), request)
    })
}

/// Returns the limits on clients that the configuration in force sets.
fn client_limits(context: &Context) -> Limits {
    let table = context.table.load();
    let configured = table.as_ref().map(|table| table.limits());
    Limits {
        connections: CONNECTIONS_MAX,
        headers: HEADERS_MAX,
        head_bytes: configured.map_or(HEAD_BYTES, |limits| {
            (limits.header_bytes_max as usize).max(HEAD_BYTES_MIN)
        }),
        head_timeout: configured.map_or(HEAD_TIMEOUT, |limits| limits.header_timeout),
        idle_timeout: configured.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout),
        write_timeout: WRITE_TIMEOUT,
    }
}

/// Serves a port for the platform, other daemons or operators with the answer to any request.
fn serve_inner(
    context: Arc<Context>,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
    answer: fn(&Context, &str) -> Response<Payload>,
) -> impl Future<Output = ()> {
    let limits = || Limits {
        connections: INNER_CONNECTIONS_MAX,
        headers: HEADERS_MAX,
        head_bytes: HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        write_timeout: WRITE_TIMEOUT,
    };
    server::serve(listener, limits, stopped, move |request| {
        let query = request.uri().query().unwrap_or("");
        std::future::ready(answer(&context, query))
    })
}

fn answer_readiness(context: &Context, _query: &str) -> Response<Payload> {
    if context.is_ready() {
        text(StatusCode::OK, "ready\n".to_owned())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

fn answer_metrics(context: &Context, _query: &str) -> Response<Payload> {
    match context.metrics.render() {
        Ok(metrics) => text(StatusCode::OK, metrics),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text(status: StatusCode, body: String) -> Response<Payload> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Registers this daemon in the store, then finds those that registered before. Of two daemons
/// that start at the same time at least one finds the other.
async fn register(context: Arc<Context>, peers: Arc<Peers>) {
    let settings = &context.settings;
    let spec = daemon::encode(settings.address);
    while let Err(error) = context
        .store
        .load()
        .put(daemon::KIND, &settings.host, &spec)
        .await
    {
        log::warn!(error:%; "registration failed");
        sleep(REGISTER_PAUSE).await;
    }
    sync::follow(Arc::clone(&context), peers, Feed::Daemons).await;
}

/// Waits for the signal to shut down. Meanwhile, reads the settings again when asked to, and when
/// their file has changed.
async fn await_termination(context: &Context) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let mut reload = Reload::new(&context.settings);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = hang_up.recv() => reload.run(context, "signal"),
            () = sleep(SETTINGS_LOOK) => reload.run(context, "look"),
        }
    }
}

/// Ends the process in good order: takes itself out of rotation, finishes what is in progress.
async fn shut_down(
    context: &Context,
    stop: &watch::Sender<bool>,
    serving: tokio::task::JoinHandle<()>,
) {
    context.draining.store(true, Ordering::Release);
    let begun = Instant::now();
    let end = begun
        + context
            .bounds
            .load()
            .shutdown_grace
            .saturating_sub(GRACE_MARGIN);
    let in_progress = || context.in_progress.load(Ordering::Acquire);
    log::info!(in_progress = in_progress(); "shutdown began");
    sleep(LAME_DUCK).await;
    context.closing.store(true, Ordering::Release);
    log::info!(in_progress = in_progress(); "no new requests are taken");
    while Instant::now() < end && in_progress() > 0 {
        sleep(SHUTDOWN_LOOK).await;
    }
    stop.send_replace(true);
    let finished = tokio::time::timeout_at(end, serving).await.is_ok();
    log::info!(in_progress = in_progress(), finished; "shutdown ended");
}
