//! Serves requests that other daemons hand over, since they do not reach the upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use primrosehoist::protocol::handover::{self, Outcome};
use primrosehoist::state::route::{Access, Table};
use primrosehoist::state::versions::Versions;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::body;
use primrosehoist::transport::http::server::{self, Limits, Peer};
use primrosehoist_platform::header;
use primrosehoist_platform::settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::admission::{self, Admission};
use super::answer::Answer;
use super::context::Context;
use super::ingress::{self, TIMEOUT_MARGIN, plain, refuse};
use super::rejections::Reason;
use super::stopping;
use super::suspension;

/// The largest number of requests of other daemons that are served at once. Each takes two
/// descriptors, of which a small host has four thousand; one host may have to help many.
pub(crate) const HANDOVERS_MAX: usize = 256;

/// The share of the budget for bodies that is left to this daemon's own callers.
const OWN_BODY_SHARE: f64 = 1.0 / 3.0;

/// The largest number of connections of other daemons. They are more than requests, since a request
/// above the limit gets an answer, and since other daemons keep idle connections.
pub(crate) const CONNECTIONS_MAX: usize = 2 * HANDOVERS_MAX;

/// The headers that a daemon adds to those of a client.
const ADDED_HEADERS_MAX: usize = 16;

/// The size of the headers that a daemon adds to those of a client, in bytes. Names of hosts and
/// workspaces have at most some hundred.
const ADDED_HEAD_BYTES: usize = 4096;

/// The maximum idle time of a connection, longer than other daemons keep one, so that none is closed
/// while a request is on its way.
const IDLE_TIMEOUT: Duration = Duration::from_secs(45);

/// How long a request waits for platform state that the other daemon already has. Gossip and watches
/// of the store usually bring it within a tenth of a second.
const VERSIONS_WAIT: Duration = Duration::from_millis(150);

/// The interval between checks for platform state that the other daemon already has.
const VERSIONS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The largest part of the body of a request that is not taken that is read, in bytes. A connection
/// that is closed before may be reset, and the answer be lost.
const DISCARD_BYTES_MAX: usize = 4 << 20;

/// How long the body of a request that is not taken is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The `Retry-After` of a request that no daemon may serve, in seconds.
const REFUSED_RETRY_S: f64 = 0.5;

/// Returns the port for requests of other daemons.
pub(crate) fn port(settings: &Settings) -> u16 {
    settings.link_ports.0 + 1
}

/// Serves the port for requests of other daemons until `stopped` becomes true and all of them ended.
pub(crate) fn serve(
    context: Arc<Context>,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
) -> impl Future<Output = ()> {
    let limits_context = Arc::clone(&context);
    let limits = move || {
        let client = super::client_limits(&limits_context);
        Limits {
            connections: super::connections(&limits_context.settings).handovers,
            headers: client.headers + ADDED_HEADERS_MAX,
            head_bytes: client.head_bytes + ADDED_HEAD_BYTES,
            idle_timeout: IDLE_TIMEOUT,
            ..client
        }
    };
    server::serve(listener, limits, stopped, move |request| {
        handle(Arc::clone(&context), request)
    })
}

async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Payload> {
    let received = Instant::now();
    let peer = request.extensions().get::<Peer>().copied();
    let sending = handover::sending(request.headers());
    let (head, mut body) = request.into_parts();
    let answer = match respond(&context, peer, head, &mut body, received).await {
        Ok(answer) => answer,
        Err(answer) => {
            if !body.is_end_stream() {
                tokio::spawn(discard(body));
            }
            *answer
        }
    };
    context.metrics.handover_taken(answer.outcome);
    let mut response = answer.response;
    // A request without a number is not from a daemon.
    if let Some(sending) = sending {
        let said = handover::Response {
            sending,
            outcome: answer.outcome,
            upstream: answer.upstream,
            reason: answer.reason.to_owned(),
        };
        if let Err(error) = said.insert(response.headers_mut()) {
            // Without the outcome, the other daemon takes it for uncertain.
            log::error!(sending, error:%; "the outcome of a request of another daemon is not told");
        }
    }
    if context.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn discard(mut body: Incoming) {
    let read = timeout(DISCARD_TIMEOUT, body::discard(&mut body, DISCARD_BYTES_MAX)).await;
    if !read.is_ok_and(|complete| complete) {
        log::debug!("the body of a request that was not taken is incomplete");
    }
}

type Refusal = Box<Answer>;

async fn respond(
    context: &Arc<Context>,
    peer: Option<Peer>,
    head: Parts,
    body: &mut Incoming,
    received: Instant,
) -> Result<Answer, Refusal> {
    let peer = peer.map(|Peer(address)| address);
    if !peer.is_some_and(|peer| is_known(context, peer)) {
        if let Some(unlogged) = context.reject(Reason::UnknownDaemon) {
            log::warn!(peer:?, unlogged; "request from an address at which no daemon is known");
        }
        let response = plain(StatusCode::FORBIDDEN, "only for daemons");
        return Err(unserved(Outcome::Busy, "unknown_daemon", response));
    }
    let handover = handover::Request::try_from(&head.headers).map_err(|error| {
        if let Some(unlogged) = context.reject(Reason::Handover) {
            log::warn!(peer:?, error:%, unlogged; "malformed request of another daemon");
        }
        let response = plain(StatusCode::BAD_REQUEST, "malformed");
        unserved(Outcome::Busy, "malformed", response)
    })?;
    context.pauses.wait_current().await;
    if stopping::refuses_handovers(context) {
        return Err(busy(&handover, "shutdown"));
    }
    if !context.is_informed() {
        return Err(busy(&handover, "uninformed"));
    }
    if context.is_cut_off() {
        return Err(busy(&handover, "cut_off"));
    }
    let Ok(permit) = Arc::clone(&context.handovers).try_acquire_owned() else {
        return Err(busy(&handover, "too_many"));
    };
    if !has_versions(context, &handover.versions).await {
        return Err(busy(&handover, "outdated"));
    }
    let Some(table) = context.table.load_full() else {
        return Err(busy(&handover, "uninformed"));
    };
    let admission = admit(context, &table, &handover, head, received)?;
    let id = admission.request.id.clone();
    if !context
        .body_budget
        .keeps_free(OWN_BODY_SHARE, body.size_hint().lower())
    {
        return Err(busy(&handover, "no_memory"));
    }
    let bytes_max = table.limits().body_bytes_max;
    let job = admission.read_body(body, bytes_max, &context.body_budget);
    let job = job.await.map_err(|error| {
        if let Some(unlogged) = context.reject(Reason::Body) {
            log::info!(request = id.as_str(), error:%, unlogged; "failed to read the request body");
        }
        busy(&handover, "body")
    })?;
    log::info!(
        request = job.request.id.as_str(),
        entry = handover.host.as_ref(),
        attempts = handover.attempts,
        remaining_ms = handover.remaining.as_millis() as u64,
        resumes = handover.resumes;
        "request taken over"
    );
    Ok(ingress::serve(context, job, table.version(), Some(permit)).await)
}

/// Returns whether another daemon is known at `address`.
fn is_known(context: &Context, address: SocketAddr) -> bool {
    let address = address.ip().to_canonical();
    context.exchange.lock().peers.contains(address)
}

/// Waits until this daemon has applied all platform state that the other daemon has; returns whether
/// it soon has.
async fn has_versions(context: &Context, wanted: &Versions) -> bool {
    let current = async {
        while wanted.is_ahead_of(&context.versions.lock()) {
            sleep(VERSIONS_POLL_INTERVAL).await;
        }
    };
    timeout(VERSIONS_WAIT, current).await.is_ok()
}

/// Routes a request as one of a client, with the workspace that the other daemon found.
fn admit(
    context: &Context,
    table: &Table,
    handover: &handover::Request,
    head: Parts,
    received: Instant,
) -> Result<Admission, Refusal> {
    let suspended = suspension::total();
    let host = header::host(&head.headers).or(head.uri.host());
    let host = host.unwrap_or_default();
    let Some(route) = table.route(host, head.uri.path()) else {
        return Err(busy(handover, "no_route"));
    };
    let mut request = header::Request::try_from(&head.headers).map_err(|error| {
        if let Some(unlogged) = context.reject(Reason::Handover) {
            let entry = handover.host.as_ref();
            log::warn!(entry, error:%, unlogged; "malformed request of a client");
        }
        not_run("malformed")
    })?;
    let workspace = match &handover.workspace {
        Some(name) => match table.workspace(name) {
            Some(workspace) => Some(Arc::clone(workspace)),
            None => return Err(busy(handover, "no_workspace")),
        },
        None if table.access(route, None) == Access::Open => None,
        None => {
            if let Some(unlogged) = context.reject(Reason::Handover) {
                log::error!(
                    request = request.id.as_str(),
                    entry = handover.host.as_ref(),
                    route = route.name.as_ref(),
                    unlogged;
                    "request without a workspace refused"
                );
            }
            return Err(not_run("no_workspace"));
        }
    };
    let Some(service) = admission::service(table, route, &request.id) else {
        return Err(busy(handover, "no_service"));
    };
    request.last_event = handover.last_event;
    Ok(Admission {
        head,
        request,
        route: Arc::clone(route),
        service: Arc::clone(service),
        workspace,
        entry: Some(Arc::clone(&handover.host)),
        attempts_max: handover.attempts,
        resumes: handover.resumes,
        received: received.checked_sub(handover.elapsed).unwrap_or(received),
        deadline: received + handover.remaining.saturating_sub(TIMEOUT_MARGIN),
        suspended,
    })
}

/// Returns the answer to a request that another daemon may take.
fn busy(handover: &handover::Request, reason: &'static str) -> Refusal {
    log::info!(entry = handover.host.as_ref(), reason; "request not taken over");
    let response = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    unserved(Outcome::Busy, reason, response)
}

/// Returns the answer to a request that no daemon may serve.
fn not_run(reason: &'static str) -> Refusal {
    unserved(Outcome::NotRun, reason, refuse(reason, REFUSED_RETRY_S))
}

fn unserved(outcome: Outcome, reason: &'static str, response: Response<Payload>) -> Refusal {
    Box::new(Answer {
        response,
        outcome,
        upstream: None,
        reason,
    })
}
