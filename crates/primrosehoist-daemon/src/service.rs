//! Runs the daemon from start to shutdown.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use opentelemetry_sdk::error::OTelSdkError;
use primrosehoist::transport::http::server::{self, Limits};
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::admin::Context;
use crate::log_queue::Stream;
use crate::node::Node;
use crate::scrape::Scrape;
use crate::settings::{self, Listen, Settings};
use crate::shutdown::{self, End};
use crate::signals::Signals;
use crate::startup::{self, Port};
use crate::{admin, caller, descriptors, links, log_queue, panics, runtime, watchdog};

/// The largest number of headers in one request.
const HEADERS_MAX: usize = 64;

/// The largest number of concurrent connections to the admin port.
const ADMIN_CONNECTIONS_MAX: usize = 64;

/// The largest head of a request to the admin port, in bytes.
const ADMIN_HEAD_BYTES: usize = 16 * 1024;

/// The timeout on the admin port for reading a request head, for writing to the client and for
/// idle connections.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The smallest limit on a request head that the HTTP library accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8192;

quick_error! {
    /// An error that prevents the daemon from starting.
    #[derive(Debug)]
    enum Error {
        /// The shared secret is unreadable or too short.
        Secret(source: settings::Error) { from() display("{}", source) }
        /// The instruments cannot be set up.
        Metrics(source: OTelSdkError) { from() display("metrics: {}", source) }
    }
}

/// The ports without which the daemon does not start. It serves callers without that of other daemons.
#[derive(Debug)]
struct Ports {
    callers: TcpListener,
    operators: TcpListener,
}

impl Ports {
    fn open(listen: &Listen) -> Result<Self, startup::Error> {
        let callers = Port::reserve(listen.caller)?;
        let operators = Port::reserve(listen.admin)?;
        Ok(Self {
            callers: callers.listen()?,
            operators: operators.listen()?,
        })
    }
}

/// Runs the daemon; returns the exit code of the process.
pub(crate) fn run(settings: Settings) -> ExitCode {
    descriptors::reserve();
    let log = match log_queue::install(settings.log.level, Stream::Errors) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("primrosehoistd: logging: {error}");
            return ExitCode::FAILURE;
        }
    };
    panics::install_hook();
    log.start_writer();
    let runtime = runtime::parallel();
    let result = runtime.block_on(serve(settings));
    // The remaining tasks have no work to finish.
    runtime.shutdown_background();
    match result {
        Ok(End::Finished) => ExitCode::SUCCESS,
        Ok(End::Forced) => ExitCode::FAILURE,
        Err(error) => {
            log::error!("cannot start: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings) -> Result<End, Error> {
    let mut signals = startup::wait_for(Signals::install).await;
    let secret = settings.secret()?;
    let node = Arc::new(Node::new(&settings, &secret)?);
    watchdog::start(watchdog::INTERVAL, node.metrics.runtime_stalls());
    let ports = tokio::select! {
        cause = signals.wait_for_stop() => {
            log::info!(cause = cause.name(); "terminated during startup");
            return Ok(End::Finished);
        }
        ports = startup::wait_for(|| Ports::open(&settings.listen)) => ports,
    };
    let mut links = links::start(&node, &settings);
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(serve_callers(
        &node,
        &settings,
        ports.callers,
        stopped.clone(),
    ));
    let context = Arc::new(Context {
        node: Arc::clone(&node),
        cluster: Arc::clone(&links.cluster),
        drain: watch::Sender::new(false),
        scrape: Scrape::default(),
        allow_cuts: settings.mechanisms.allow_cuts,
    });
    let admin = admin::serve(
        Arc::clone(&context),
        ports.operators,
        admin_limits(),
        stopped,
    );
    let mut admin = tokio::spawn(admin);
    log::info!(host = node.host.as_str(), zone = node.zone.as_str(); "daemon started");
    let failed = async {
        tokio::select! {
            _ended = &mut admin => {}
            _ended = &mut links.serving => {}
        }
    };
    Ok(shutdown::run(&context, signals, &stop, serving, failed).await)
}

fn serve_callers(
    node: &Arc<Node>,
    settings: &Settings,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
) -> impl Future<Output = ()> + Send + use<> {
    let limits = &settings.limits;
    let bodies = Arc::new(caller::body_limits(limits.body_bytes));
    let connections = Limits {
        connections: limits.connections as usize,
        connection_bytes: u64::MAX,
        closed: node.metrics.connections_closed(),
        headers: HEADERS_MAX,
        head_bytes: (limits.header_bytes as usize).max(HEAD_BYTES_MIN),
        head_timeout: limits.header_timeout,
        idle_timeout: limits.header_timeout,
        write_timeout: limits.caller_write_timeout,
    };
    let node = Arc::clone(node);
    server::serve(
        listener,
        move || connections.clone(),
        stopped,
        move |request| caller::handle(Arc::clone(&node), Arc::clone(&bodies), request),
    )
}

fn admin_limits() -> Limits {
    Limits {
        connections: ADMIN_CONNECTIONS_MAX,
        connection_bytes: u64::MAX,
        closed: Arc::default(),
        headers: HEADERS_MAX,
        head_bytes: ADMIN_HEAD_BYTES,
        head_timeout: ADMIN_TIMEOUT,
        idle_timeout: ADMIN_TIMEOUT,
        write_timeout: ADMIN_TIMEOUT,
    }
}
