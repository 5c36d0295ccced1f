//! The clients' side: from a request to an admitted job, and from its outcome to an answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use primrosehoist::state::route::{Access, Kind, Table};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::body::{self, Buffered};
use primrosehoist_platform::header;
use tokio::time::{Instant, timeout_at};

use super::attempt::{Attempts, Unanswered, Whole};
use super::context::Context;
use super::job::{self, Job};
use super::stream::Relay;
use super::suspension;

/// How much longer than a configuration takes to spread this daemon may hear nobody before it
/// no longer denies what it does not know. A calm watch of the store is heard twice a minute, but
/// other daemons several times a second.
const CONTACT_SLACK: Duration = Duration::from_secs(1);

/// The longest time without a byte of a body.
const BODY_IDLE: Duration = Duration::from_secs(5);

/// The longest time for a whole body.
const BODY_TOTAL: Duration = Duration::from_secs(20);

/// When a client comes back to a daemon that knows no configuration yet.
const UNCONFIGURED_RETRY_S: f64 = 0.5;

/// When a client comes back that a leaving daemon refused: at once, since it reaches another one.
const CLOSING_RETRY_S: f64 = 0.02;

/// The shortest time after which a refused client comes back, in seconds. Short requests end
/// within two to three seconds, so places become free at this rate.
const RETRY_MIN_S: f64 = 0.3;

/// The spread of the times at which refused clients come back, in seconds.
const RETRY_SPREAD_S: f64 = 1.2;

/// How much earlier than the route's time-out a request ends, so that the answer is in time.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);

/// A request in progress. Logs how it ended when it is dropped.
pub(crate) struct Progress {
    context: Arc<Context>,
    id: String,
    workspace: Option<Arc<str>>,
    route: Arc<str>,
    service: Arc<str>,
    version: u64,
    prompt_tokens: u64,
    received: Instant,
    first_event_ms: u64,
    last_event: Option<Instant>,
    longest_pause: Duration,
    outcome: &'static str,
    reason: &'static str,
}

impl Progress {
    fn new(context: &Arc<Context>, job: &Job, version: u64) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self {
            context: Arc::clone(context),
            id: job.said.id.clone(),
            workspace: job.workspace.clone(),
            route: Arc::clone(&job.route.name),
            service: Arc::clone(&job.service.name),
            version,
            prompt_tokens: job.said.prompt_tokens,
            received: job.received,
            first_event_ms: 0,
            last_event: None,
            longest_pause: Duration::ZERO,
            outcome: "client_left",
            reason: "",
        }
    }

    /// Sets how the request ended.
    pub(crate) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Records that an event goes to the client.
    pub(crate) fn event(&mut self) {
        let now = Instant::now();
        match self.last_event.replace(now) {
            Some(last) => self.longest_pause = self.longest_pause.max(now - last),
            None => self.first_event_ms = (now - self.received).as_millis() as u64,
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.context.in_progress.fetch_sub(1, Ordering::AcqRel);
        self.context.metrics.ended(&self.service, self.outcome);
        log::info!(
            request = self.id.as_str(),
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

/// Answers a client's request.
pub(crate) async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Payload> {
    let mut response = answer(&context, request).await;
    if context.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn answer(context: &Arc<Context>, request: Request<Incoming>) -> Response<Payload> {
    let received = Instant::now();
    let Some(table) = context.table.load_full() else {
        return refuse("no configuration is known yet", UNCONFIGURED_RETRY_S);
    };
    if context.is_closing() {
        // What begins now might not end before the process does.
        return refuse("the daemon shuts down", CLOSING_RETRY_S);
    }
    let (job, version) = match admit(context, &table, request, received).await {
        Ok(job) => (job, table.version()),
        Err(response) => return *response,
    };
    let progress = Progress::new(context, &job, version);
    let kind = job.route.kind;
    let end = job.deadline;
    let attempts = Attempts::new(Arc::clone(context), Arc::new(job));
    let answered = async {
        match kind {
            Kind::Stream => streamed(attempts, progress).await,
            Kind::Idempotent | Kind::Once => whole(attempts, progress).await,
        }
    };
    // The attempts end by themselves at the deadline; this bounds what they cannot see.
    match timeout_at(end + TIMEOUT_MARGIN, answered).await {
        Ok(response) => response,
        Err(_elapsed) => plain(StatusCode::GATEWAY_TIMEOUT, "the time is over"),
    }
}

type Refusal = Box<Response<Payload>>;

/// Checks a request and reads its body.
async fn admit(
    context: &Arc<Context>,
    table: &Table,
    request: Request<Incoming>,
    received: Instant,
) -> Result<Job, Refusal> {
    let suspended = suspension::total();
    let (head, body) = request.into_parts();
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let isolated = context.is_isolated(context.bounds.load().config_apply_max + CONTACT_SLACK);
    let Some(route) = table.route(host, head.uri.path()) else {
        if isolated {
            return Err(Box::new(refuse("cut off", UNCONFIGURED_RETRY_S)));
        }
        log::info!(host, path = head.uri.path(), version = table.version(); "no route");
        return Err(Box::new(plain(StatusCode::NOT_FOUND, "no route")));
    };
    let said = header::Request::try_from(&head.headers).map_err(|error| {
        log::info!(route = route.name.as_ref(), error:%; "request refused");
        Box::new(plain(StatusCode::BAD_REQUEST, "a header is missing"))
    })?;
    let workspace = match table.access(route, said.key.as_deref()) {
        Access::Open => None,
        Access::Workspace(workspace) => Some(workspace),
        Access::Unknown if isolated => {
            return Err(Box::new(refuse("cut off", UNCONFIGURED_RETRY_S)));
        }
        Access::Unknown => {
            log::info!(
                request = said.id.as_str(),
                route = route.name.as_ref(),
                version = table.version();
                "key is not known"
            );
            return Err(Box::new(plain(StatusCode::UNAUTHORIZED, "unknown key")));
        }
    };
    let dice = job::fingerprint(&said.id, "", &[]) >> 8;
    let service = route
        .pick_service(dice)
        .and_then(|name| table.service(name));
    let Some(service) = service else {
        log::error!(route = route.name.as_ref(), version = table.version(); "no service");
        return Err(Box::new(refuse("no service", UNCONFIGURED_RETRY_S)));
    };
    let limits = body::Limits {
        bytes_max: table.limits().body_bytes_max,
        idle_timeout: BODY_IDLE,
        total_timeout: BODY_TOTAL,
    };
    let body = Buffered::collect(body, &limits, &context.bodies)
        .await
        .map_err(|error| Box::new(unread(&said.id, &error)))?;
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let patience = said.timeout.unwrap_or(route.timeout).min(route.timeout);
    let client = said.key.as_deref().unwrap_or("");
    let priority = workspace.as_ref().and_then(|workspace| workspace.priority);
    Ok(Job {
        fingerprint: job::fingerprint(client, target, body.bytes()),
        target: target.to_owned(),
        method: head.method,
        headers: head.headers,
        body,
        service: Arc::clone(service),
        workspace: workspace.map(|workspace| Arc::clone(&workspace.name)),
        priority: priority.unwrap_or(route.priority),
        route: Arc::clone(route),
        said,
        received,
        deadline: received + patience.saturating_sub(TIMEOUT_MARGIN),
        suspended,
    })
}

fn unread(id: &str, error: &body::Error) -> Response<Payload> {
    log::info!(request = id, error:%; "body not read");
    match error {
        body::Error::TooLarge(_) => plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        body::Error::BudgetExhausted => refuse("no memory for the body", RETRY_MIN_S),
        body::Error::Timeout => plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        body::Error::Broken => plain(StatusCode::BAD_REQUEST, "the body was cut off"),
    }
}

async fn streamed(attempts: Attempts, progress: Progress) -> Response<Payload> {
    match Relay::begin(attempts, progress).await {
        Ok((relay, status, mut headers)) => {
            headers.remove(CONTENT_LENGTH);
            let mut response = Response::new(relay.into_body());
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Err((unanswered, attempts, progress)) => {
            unanswered_response(unanswered, &attempts, progress)
        }
    }
}

async fn whole(mut attempts: Attempts, mut progress: Progress) -> Response<Payload> {
    loop {
        let open = match attempts.open(attempts.job.said.last_event).await {
            Ok(open) => open,
            Err(unanswered) => return unanswered_response(unanswered, &attempts, progress),
        };
        let upstream = Arc::clone(&open.flight.upstream);
        match attempts.collect(open).await {
            Ok(whole) => {
                let good = primrosehoist::state::health::Observation::Success;
                attempts.record(&upstream, good);
                progress.set_outcome("complete");
                return passed_on(whole);
            }
            Err(failure) => {
                if let Err(unanswered) = attempts.next(&upstream, failure) {
                    return unanswered_response(unanswered, &attempts, progress);
                }
            }
        }
    }
}

fn passed_on(whole: Whole) -> Response<Payload> {
    let mut response = response(whole.status, whole.body);
    let length = response.headers_mut().remove(CONTENT_LENGTH);
    *response.headers_mut() = whole.headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    if let Some(length) = length {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

/// Tells the client why there is no answer.
fn unanswered_response(
    unanswered: Unanswered,
    attempts: &Attempts,
    mut progress: Progress,
) -> Response<Payload> {
    match unanswered {
        Unanswered::NotRun(reason) => {
            progress.set_outcome("not_run");
            progress.reason = reason;
            let third = attempts.job.remaining().as_secs_f64() / 3.0;
            let spread = f64::from(rand::random::<u16>()) / f64::from(u16::MAX);
            let after = (RETRY_MIN_S + spread * RETRY_SPREAD_S).min(third);
            refuse(reason, after)
        }
        Unanswered::Uncertain(reason) => {
            progress.set_outcome("uncertain");
            progress.reason = reason;
            plain(StatusCode::BAD_GATEWAY, reason)
        }
        Unanswered::Expired(may_have_run) => {
            progress.set_outcome("expired");
            progress.reason = if may_have_run { "sent" } else { "unsent" };
            if may_have_run {
                plain(StatusCode::GATEWAY_TIMEOUT, "the time is over")
            } else {
                refuse("the time is over", RETRY_MIN_S)
            }
        }
        Unanswered::Reported(whole) => {
            progress.set_outcome("upstream_failed");
            passed_on(reported(*whole))
        }
    }
}

/// Returns a failure of an upstream in a form that promises no more than the upstream did.
fn reported(whole: Whole) -> Whole {
    let promises = matches!(
        whole.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if !promises {
        return whole;
    }
    Whole {
        status: StatusCode::BAD_GATEWAY,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
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

fn plain(status: StatusCode, reason: &str) -> Response<Payload> {
    let mut response = response(status, Bytes::from(format!("{reason}\n")));
    let text = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}

/// Refuses a request that did not run; the client comes back after `after_s` seconds.
fn refuse(reason: &str, after_s: f64) -> Response<Payload> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    if let Ok(after) = HeaderValue::from_str(&format!("{after_s:.2}")) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}
