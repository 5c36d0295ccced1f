//! Handles client requests: admits them as jobs and turns their outcomes into responses.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use primrosehoist::protocol::handover::Outcome;
use primrosehoist::state::health::Observation;
use primrosehoist::state::route::{Access, Kind, Table};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::body;
use primrosehoist_platform::header;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use super::admission::{self, Admission};
use super::answer::{Answer, BufferedResponse, Unanswered};
use super::attempt::Attempts;
use super::context::Context;
use super::job::Job;
use super::rejections::Reason;
use super::returns;
use super::stopping;
use super::stream::Relay;
use super::suspension;

/// How much longer than the propagation time of a configuration this daemon may go without contact
/// before it answers 503 instead of 404 or 401 to unknown routes and keys. An idle watch of the
/// store responds only about twice a minute, but other daemons send several times a second.
const ISOLATION_MARGIN: Duration = Duration::from_secs(1);

/// The `Retry-After` of a daemon that has no current configuration, in seconds.
const UNCONFIGURED_RETRY_S: f64 = 0.5;

/// The `Retry-After` of a request that another daemon may take, in seconds.
const BUSY_RETRY_S: f64 = 0.02;

/// How long before the route's timeout a request ends, so that the response arrives in time.
pub(crate) const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);

/// Tracks a request in progress. Dropping it logs and counts the outcome.
pub(crate) struct Progress {
    context: Arc<Context>,
    id: String,
    /// The host of the daemon that handed the request over.
    entry: Option<Arc<str>>,
    workspace: Option<Arc<str>>,
    route: Arc<str>,
    service: Arc<str>,
    version: u64,
    prompt_tokens: u64,
    received: Instant,
    first_event_ms: u64,
    last_event_at: Option<Instant>,
    longest_pause: Duration,
    outcome: &'static str,
    reason: &'static str,
    /// The permit for a request that was handed over.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Progress {
    fn new(
        context: &Arc<Context>,
        job: &Job,
        version: u64,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self {
            context: Arc::clone(context),
            id: job.request.id.clone(),
            entry: job.entry.clone(),
            workspace: job.workspace.clone(),
            route: Arc::clone(&job.route.name),
            service: Arc::clone(&job.service.name),
            version,
            prompt_tokens: job.request.prompt_tokens,
            received: job.received,
            first_event_ms: 0,
            last_event_at: None,
            longest_pause: Duration::ZERO,
            outcome: "client_left",
            reason: "",
            _permit: permit,
        }
    }

    /// Sets the outcome of the request.
    pub(crate) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Records an event sent to the client.
    pub(crate) fn record_event(&mut self) {
        let now = Instant::now();
        match self.last_event_at.replace(now) {
            Some(last) => self.longest_pause = self.longest_pause.max(now - last),
            None => self.first_event_ms = (now - self.received).as_millis() as u64,
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.context.in_progress.fetch_sub(1, Ordering::AcqRel);
        // The daemon that received the request from the client counts its end.
        if self.entry.is_none() {
            self.context.metrics.ended(&self.service, self.outcome);
        }
        log::info!(
            request = self.id.as_str(),
            entry = self.entry.as_deref().unwrap_or(""),
            workspace = self.workspace.as_deref().unwrap_or(""),
            route = self.route.as_ref(),
            service = self.service.as_ref(),
            version = self.version,
            prompt_tokens = self.prompt_tokens,
            first_event_ms = self.first_event_ms,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            elapsed_ms = self.received.elapsed().as_millis() as u64,
            outcome = self.outcome,
            reason = self.reason;
            "request ended"
        );
    }
}

/// Handles a client request.
pub(crate) async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Payload> {
    let mut response = respond(&context, request).await;
    if context.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn respond(context: &Arc<Context>, request: Request<Incoming>) -> Response<Payload> {
    let received = Instant::now();
    context.pauses.wait_current().await;
    let Some(table) = context.table.load_full() else {
        return refuse("no configuration is known yet", UNCONFIGURED_RETRY_S);
    };
    if context.is_closing() {
        // A request that starts now might not finish before the process exits.
        return stopping::refuse(context);
    }
    let admitted = admit(context, &table, request, received).await;
    match admitted.and_then(|job| stopping::admit(context, job)) {
        Ok(job) => serve(context, job, table.version(), None).await.response,
        Err(response) => *response,
    }
}

/// Makes the attempts of a request that was admitted with configuration `version`. A request that
/// was handed over holds its `permit` until it ends.
pub(crate) async fn serve(
    context: &Arc<Context>,
    job: Job,
    version: u64,
    permit: Option<OwnedSemaphorePermit>,
) -> Answer {
    let progress = Progress::new(context, &job, version, permit);
    let kind = job.route.kind;
    let deadline = job.deadline;
    let job = Arc::new(job);
    let attempts = Attempts::new(Arc::clone(context), Arc::clone(&job));
    let outcome = async {
        match kind {
            Kind::Stream => respond_streaming(attempts, progress).await,
            Kind::Idempotent | Kind::Once => respond_buffered(attempts, progress).await,
        }
    };
    // The attempts end at the deadline themselves; this is a backstop for waits without a timeout
    // of their own.
    tokio::select! {
        outcome = timeout_at(deadline + TIMEOUT_MARGIN, outcome) => match outcome {
            Ok(answer) => answer,
            Err(_elapsed) => expired("the time is over"),
        },
        () = context.wait_expiring() => {
            if job.handoff.cancel() {
                // Its caller is not affected if another daemon takes the request.
                if job.entry.is_some() {
                    busy("shutdown")
                } else {
                    let after = stopping::retry_after(context);
                    not_run("the daemon shuts down", after.as_secs_f64())
                }
            } else {
                uncertain("the daemon shuts down")
            }
        }
    }
}

type Refusal = Box<Response<Payload>>;

/// Validates and authenticates a request and reads its body.
async fn admit(
    context: &Arc<Context>,
    table: &Table,
    request: Request<Incoming>,
    received: Instant,
) -> Result<Job, Refusal> {
    let suspended = suspension::total();
    let (head, mut body) = request.into_parts();
    let host = header::host(&head.headers).or(head.uri.host());
    let host = host.unwrap_or_default();
    let isolated = context.is_isolated(context.bounds.load().config_apply_max + ISOLATION_MARGIN);
    let Some(route) = table.route(host, head.uri.path()) else {
        if isolated {
            return Err(Box::new(refuse("cut off", UNCONFIGURED_RETRY_S)));
        }
        if let Some(unlogged) = context.reject(Reason::NoRoute) {
            log::info!(host, path = head.uri.path(), version = table.version(), unlogged; "no route");
        }
        return Err(Box::new(plain(StatusCode::NOT_FOUND, "no route")));
    };
    // The end of a body without a length or chunks cannot be told from a stream that broke.
    if route.kind == Kind::Stream && head.version < Version::HTTP_11 {
        let (status, reason) = (
            StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            "streams need HTTP/1.1",
        );
        return Err(Box::new(plain(status, reason)));
    }
    let request = header::Request::try_from(&head.headers).map_err(|error| {
        if let Some(unlogged) = context.reject(Reason::BadHeader) {
            log::info!(route = route.name.as_ref(), error:%, unlogged; "bad request");
        }
        Box::new(plain(StatusCode::BAD_REQUEST, "a header is missing"))
    })?;
    // Whether a malformed route needs a key is unknown, so that it refuses no key.
    let Some(service) = admission::service(table, route, &request.id) else {
        if let Some(unlogged) = context.reject(Reason::NoService) {
            log::error!(route = route.name.as_ref(), version = table.version(), unlogged; "no service");
        }
        return Err(Box::new(refuse("no service", UNCONFIGURED_RETRY_S)));
    };
    let workspace = match table.access(route, request.key.as_deref()) {
        Access::Open => None,
        Access::Workspace(workspace) => Some(workspace),
        Access::Unusable => {
            if let Some(unlogged) = context.reject(Reason::UnusableWorkspace) {
                log::error!(
                    request = request.id.as_str(),
                    route = route.name.as_ref(),
                    version = table.version(),
                    unlogged;
                    "the workspace of the key cannot be served"
                );
            }
            let reason = "the workspace cannot be served";
            return Err(Box::new(refuse(reason, UNCONFIGURED_RETRY_S)));
        }
        Access::Unknown if isolated => {
            return Err(Box::new(refuse("cut off", UNCONFIGURED_RETRY_S)));
        }
        Access::Unknown => {
            if let Some(unlogged) = context.reject(Reason::UnknownKey) {
                log::info!(
                    request = request.id.as_str(),
                    route = route.name.as_ref(),
                    version = table.version(),
                    unlogged;
                    "unknown key"
                );
            }
            return Err(Box::new(plain(StatusCode::UNAUTHORIZED, "unknown key")));
        }
    };
    let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
    let id = request.id.clone();
    let admission = Admission {
        head,
        request,
        route: Arc::clone(route),
        service: Arc::clone(service),
        workspace,
        entry: None,
        attempts_max: route.attempts_max,
        resumes: false,
        received,
        deadline: received + timeout.saturating_sub(TIMEOUT_MARGIN),
        suspended,
    };
    let bytes_max = table.limits().body_bytes_max;
    let job = admission.read_body(&mut body, bytes_max, &context.body_budget);
    job.await
        .map_err(|error| Box::new(body_error_response(context, &id, &error)))
}

fn body_error_response(context: &Context, id: &str, error: &body::Error) -> Response<Payload> {
    if let Some(unlogged) = context.reject(Reason::Body) {
        log::info!(request = id, error:%, unlogged; "failed to read the request body");
    }
    match error {
        body::Error::TooLarge(_) => plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        body::Error::BudgetExhausted => {
            refuse("no memory for the body", returns::RETRY_MIN.as_secs_f64())
        }
        body::Error::Timeout => plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        body::Error::Broken => plain(StatusCode::BAD_REQUEST, "the body was cut off"),
    }
}

async fn respond_streaming(attempts: Attempts, progress: Progress) -> Answer {
    match Relay::start(attempts, progress).await {
        Ok((relay, status, mut headers)) => {
            headers.remove(CONTENT_LENGTH);
            let upstream = Some(relay.upstream_id()).filter(|id| !id.is_empty());
            let upstream = upstream.map(Arc::from);
            let mut response = Response::new(relay.into_body());
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            answered(upstream, response)
        }
        Err((unanswered, attempts, progress)) => unanswered_answer(unanswered, &attempts, progress),
    }
}

async fn respond_buffered(mut attempts: Attempts, mut progress: Progress) -> Answer {
    loop {
        let response = match attempts.execute(attempts.job.request.last_event).await {
            Ok(response) => response,
            Err(unanswered) => return unanswered_answer(unanswered, &attempts, progress),
        };
        let upstream = response.upstream().map(Arc::clone);
        match attempts.collect(response).await {
            Ok(buffered) => {
                if let Some(upstream) = &upstream {
                    attempts.record(upstream, Observation::Success);
                }
                progress.set_outcome("complete");
                let upstream = upstream.map(|upstream| Arc::clone(&upstream.id));
                return answered(upstream, forwarded_response(&buffered));
            }
            Err(failure) => {
                let ended = match &upstream {
                    Some(upstream) => attempts.on_failure(upstream, failure),
                    None => Err(Unanswered::Uncertain("peer")),
                };
                if let Err(unanswered) = ended {
                    return unanswered_answer(unanswered, &attempts, progress);
                }
            }
        }
    }
}

fn forwarded_response(buffered: &BufferedResponse) -> Response<Payload> {
    let length = HeaderValue::from(buffered.body.bytes().len());
    let mut response = Response::new(buffered.body.replay().boxed_unsync());
    *response.status_mut() = buffered.status;
    *response.headers_mut() = buffered.headers.clone();
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// Returns the answer to a request without a successful upstream response.
fn unanswered_answer(
    unanswered: Unanswered,
    attempts: &Attempts,
    mut progress: Progress,
) -> Answer {
    match unanswered {
        Unanswered::NotRun(reason) => {
            progress.set_outcome("not_run");
            progress.reason = reason;
            not_run(reason, returns::retry_after(attempts, reason).as_secs_f64())
        }
        Unanswered::CutOff => {
            progress.set_outcome("not_run");
            progress.reason = "cut_off";
            busy("cut_off")
        }
        Unanswered::Uncertain(reason) => {
            progress.set_outcome("uncertain");
            progress.reason = reason;
            uncertain(reason)
        }
        Unanswered::Expired(may_have_run) => {
            progress.set_outcome("expired");
            progress.reason = if may_have_run { "sent" } else { "unsent" };
            if may_have_run {
                expired("the time is over")
            } else {
                not_run("the time is over", returns::RETRY_MIN.as_secs_f64())
            }
        }
        Unanswered::Reported(buffered) => {
            progress.set_outcome("upstream_failed");
            let is_client = attempts.job.entry.is_none();
            let response = if is_client && implies_not_run(buffered.status) {
                response(StatusCode::BAD_GATEWAY, Bytes::new())
            } else {
                forwarded_response(&buffered)
            };
            Answer {
                response,
                outcome: Outcome::Reported,
                upstream: buffered.upstream,
                reason: "upstream",
            }
        }
    }
}

fn answered(upstream: Option<Arc<str>>, response: Response<Payload>) -> Answer {
    Answer {
        response,
        outcome: Outcome::Answered,
        upstream,
        reason: "",
    }
}

/// Returns the answer to a request of another daemon that a third one may take.
fn busy(reason: &'static str) -> Answer {
    Answer {
        outcome: Outcome::Busy,
        ..not_run(reason, BUSY_RETRY_S)
    }
}

fn not_run(reason: &'static str, after_s: f64) -> Answer {
    Answer {
        response: refuse(reason, after_s),
        outcome: Outcome::NotRun,
        upstream: None,
        reason,
    }
}

fn uncertain(reason: &'static str) -> Answer {
    Answer {
        response: plain(StatusCode::BAD_GATEWAY, reason),
        outcome: Outcome::Uncertain,
        upstream: None,
        reason,
    }
}

fn expired(reason: &'static str) -> Answer {
    Answer {
        response: plain(StatusCode::GATEWAY_TIMEOUT, reason),
        outcome: Outcome::Expired,
        upstream: None,
        reason,
    }
}

/// Returns whether the status of an upstream's error response would imply that the request did not
/// run, which the upstream did not state.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn response(status: StatusCode, body: Bytes) -> Response<Payload> {
    let length = HeaderValue::from(body.len());
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

pub(crate) fn plain(status: StatusCode, reason: &str) -> Response<Payload> {
    let mut response = response(status, Bytes::from(format!("{reason}\n")));
    let text = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}

/// Returns a 503 for a request that did not run, with `after_s` seconds as `Retry-After`.
pub(crate) fn refuse(reason: &str, after_s: f64) -> Response<Payload> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    if let Ok(after) = HeaderValue::from_str(&format!("{after_s:.2}")) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}
