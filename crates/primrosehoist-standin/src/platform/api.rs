//! The HTTP API of the platform.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use primrosehoist::protocol::platform::{HOSTS, Object, PREFIX};
use rand::RngExt;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use crate::platform::store::Error;
use crate::platform::watch::Watch;
use crate::platform::{Platform, fault};
use crate::reply::{self, Answer, Closed, Payload, Refusal};

/// The maximum size of a request body, in bytes.
const VALUE_LIMIT_BYTES: usize = 1024 * 1024;
/// The client name under which calls without `X-Client` are counted.
const CLIENT_UNKNOWN: &str = "unknown";

/// The resource that a path addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Target {
    Collection(String),
    Object(String, String),
}

/// The client that sent a call.
#[derive(Debug, Clone)]
struct Caller {
    client: String,
    zone: Option<Arc<str>>,
}

/// Handles one request.
pub(crate) async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    if let Some(rest) = parts.uri.path().strip_prefix("/standin/") {
        let content = read(body).await;
        return Ok(content.map_or_else(
            |status| status_error(status, "body refused"),
            |content| control(&platform, &parts.method, rest, &content),
        ));
    }
    match target(parts.uri.path()) {
        Some(target) => call(platform, parts, target, body).await,
        None => Ok(status_error(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn read(body: Incoming) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > VALUE_LIMIT_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    reply::read(body, VALUE_LIMIT_BYTES).await
}

fn target(path: &str) -> Option<Target> {
    let rest = path.strip_prefix(PREFIX)?.strip_prefix('/')?;
    match rest.split_once('/') {
        None if !rest.is_empty() => Some(Target::Collection(rest.to_owned())),
        Some((kind, name)) if !name.is_empty() && !name.contains('/') => {
            Some(Target::Object(kind.to_owned(), name.to_owned()))
        }
        _ => None,
    }
}

async fn call(platform: Arc<Platform>, parts: Parts, target: Target, body: Incoming) -> Answer {
    let caller = Caller {
        client: reply::header(&parts.headers, "x-client")
            .map_or_else(|| CLIENT_UNKNOWN.to_owned(), |name| name.to_string()),
        zone: reply::header(&parts.headers, "x-client-zone"),
    };
    let query = parts.uri.query().unwrap_or("");
    let is_watch = parameter(query, "watch") == Some("true");
    // Half of the delay precedes the effect of the call and half follows it, so that a client may
    // time out on either side.
    let late = platform.state().faults.slow() / 2;
    time::sleep(late).await;
    if let Some(refused) = admit(&platform, &parts.method, is_watch, &caller)? {
        return Ok(refused);
    }
    if is_watch {
        return Ok(watch(&platform, target, query, caller));
    }
    let content = match read(body).await {
        Ok(content) => content,
        Err(status) => return Ok(status_error(status, "the value is refused")),
    };
    let answer = execute(&platform, &parts, target, &content, &caller);
    time::sleep(late).await;
    answer
}

/// Counts the call and returns the response if it is refused.
fn admit(
    platform: &Platform,
    method: &Method,
    is_watch: bool,
    caller: &Caller,
) -> Result<Option<Response<Payload>>, Closed> {
    let mut guard = platform.state();
    let state = &mut *guard;
    let write = method != Method::GET;
    state
        .tally
        .add(&caller.client, |calls| match (write, is_watch) {
            (true, _) => calls.writes += 1,
            (false, true) => calls.watches += 1,
            (false, false) => calls.reads += 1,
        });
    if state.faults.is_down(&caller.client, caller.zone.as_deref()) {
        state
            .tally
            .add(&caller.client, |calls| calls.outage_refused += 1);
        if is_watch {
            return Err(Closed::Now);
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(Some(status_error(status, "the platform is down")));
    }
    if !state.rates.take(&state.faults, write, Instant::now()) {
        state
            .tally
            .add(&caller.client, |calls| calls.rate_refused += 1);
        let mut refused = status_error(StatusCode::TOO_MANY_REQUESTS, "too many calls");
        let headers = refused.headers_mut();
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
        return Ok(Some(refused));
    }
    Ok(None)
}

fn watch(
    platform: &Arc<Platform>,
    target: Target,
    query: &str,
    caller: Caller,
) -> Response<Payload> {
    let Target::Collection(kind) = target else {
        return status_error(StatusCode::BAD_REQUEST, "only collections are watched");
    };
    let given = parameter(query, "resourceVersion").map(str::parse::<u64>);
    let version = match given {
        None => platform.state().store.version(),
        Some(Ok(version)) => version,
        Some(Err(_)) => return status_error(StatusCode::BAD_REQUEST, "bad resourceVersion"),
    };
    if let Err(error) = platform.state().store.since(&kind, version) {
        return failure(&refusal(error));
    }
    let watch = Watch {
        platform: Arc::clone(platform),
        kind,
        version,
        client: caller.client,
        zone: caller.zone,
        changed: platform.changed.subscribe(),
        lines: VecDeque::new(),
    };
    reply::response(
        StatusCode::OK,
        "application/json",
        reply::pieces(watch.lines()),
    )
}

fn execute(
    platform: &Platform,
    parts: &Parts,
    target: Target,
    content: &[u8],
    caller: &Caller,
) -> Answer {
    let write = parts.method != Method::GET;
    let Applied { status, text } = match apply(platform, parts, target, content) {
        Ok(applied) => applied,
        Err(refused) => {
            if refused.status == StatusCode::CONFLICT {
                let mut state = platform.state();
                state
                    .tally
                    .add(&caller.client, |calls| calls.conflicts += 1);
            }
            return Ok(failure(&refused));
        }
    };
    let mut state = platform.state();
    let percent = state.faults.lose_answers_percent();
    let lost = write && percent > 0 && state.random.random_range(0..100) < percent;
    let (bytes_in, bytes_out) = (content.len() as u64, text.len() as u64);
    state.tally.add(&caller.client, |calls| {
        calls.bytes_in += bytes_in;
        calls.lost_answers += u64::from(lost);
        calls.bytes_out += if lost { 0 } else { bytes_out };
    });
    drop(state);
    if write {
        platform.notify_watches();
    }
    if lost {
        return Err(Closed::Now);
    }
    Ok(reply::response(
        status,
        "application/json",
        reply::whole(text),
    ))
}

/// The result of a successful call.
#[derive(Debug)]
struct Applied {
    status: StatusCode,
    text: Vec<u8>,
}

impl Applied {
    fn new<Content>(status: StatusCode, content: &Content) -> Applied
    where
        Content: Serialize,
    {
        let text = serde_json::to_vec(content).expect("objects are plain data");
        Applied { status, text }
    }
}

fn apply(
    platform: &Platform,
    parts: &Parts,
    target: Target,
    content: &[u8],
) -> Result<Applied, Refusal> {
    let mut state = platform.state();
    let store = &mut state.store;
    match (&parts.method, target) {
        (&Method::GET, Target::Collection(kind)) => {
            let query = parts.uri.query().unwrap_or("");
            let limit = parameter(query, "limit").and_then(|limit| limit.parse().ok());
            let position = parameter(query, "continue").unwrap_or("");
            let list = store.list(&kind, position, limit.unwrap_or(usize::MAX));
            Ok(Applied::new(StatusCode::OK, &list))
        }
        (&Method::GET, Target::Object(kind, name)) => {
            let object = store.get(&kind, &name).map_err(refusal)?;
            Ok(Applied::new(StatusCode::OK, object))
        }
        (&Method::POST, Target::Collection(kind)) => {
            let given = object(content)?;
            let made = store.create(&kind, &given.metadata.name, given.spec);
            Ok(Applied::new(StatusCode::CREATED, &made.map_err(refusal)?))
        }
        (&Method::PUT, Target::Object(kind, name)) => {
            let given = object(content)?;
            let version = &given.metadata.resource_version;
            let made = store.replace(&kind, &name, version, given.spec);
            Ok(Applied::new(StatusCode::OK, &made.map_err(refusal)?))
        }
        (&Method::DELETE, Target::Object(kind, name)) => {
            let query = parts.uri.query().unwrap_or("");
            let gone = store.delete(&kind, &name, parameter(query, "resourceVersion"));
            Ok(Applied::new(StatusCode::OK, &gone.map_err(refusal)?))
        }
        _ => Err(status_refusal(
            StatusCode::METHOD_NOT_ALLOWED,
            "method not allowed",
        )),
    }
}

fn object(content: &[u8]) -> Result<Object, Refusal> {
    let bad = |message: &str| status_refusal(StatusCode::BAD_REQUEST, message);
    let parsed = serde_json::from_slice::<Object>(content);
    let object = parsed.map_err(|error| bad(&format!("bad object: {error}")))?;
    if object.metadata.name.is_empty() {
        return Err(bad("the name is missing"));
    }
    Ok(object)
}

fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
}

fn control(
    platform: &Arc<Platform>,
    method: &Method,
    rest: &str,
    content: &[u8],
) -> Response<Payload> {
    match (method, rest) {
        (&Method::GET, "counts") => reply::json(StatusCode::OK, &platform.state().tally),
        (&Method::POST, "faults") => match serde_json::from_slice::<fault::Faults>(content) {
            Ok(given) => {
                platform.state().faults.merge(given);
                platform.notify_watches();
                reply::json(StatusCode::OK, &json!({"ok": true}))
            }
            Err(error) => status_error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::PUT | &Method::DELETE, _) => match rest.strip_prefix("hosts/") {
            Some(name) => change_host(platform, method, name, content),
            None => status_error(StatusCode::NOT_FOUND, "no such control"),
        },
        _ => status_error(StatusCode::NOT_FOUND, "no such control"),
    }
}

/// Changes a host; the change becomes visible after the currently configured lag.
fn change_host(
    platform: &Arc<Platform>,
    method: &Method,
    name: &str,
    content: &[u8],
) -> Response<Payload> {
    let spec = match (method, serde_json::from_slice::<Value>(content)) {
        (&Method::PUT, Ok(spec)) => Some(spec),
        (&Method::PUT, Err(error)) => {
            return status_error(StatusCode::BAD_REQUEST, &error.to_string());
        }
        _ => None,
    };
    let lag = platform.state().faults.hosts_lag();
    if lag.is_zero() {
        apply_host(platform, name, spec);
        return reply::json(StatusCode::OK, &json!({"ok": true}));
    }
    let platform = Arc::clone(platform);
    let name = name.to_owned();
    tokio::spawn(async move {
        time::sleep(lag).await;
        apply_host(&platform, &name, spec);
    });
    reply::json(StatusCode::OK, &json!({"ok": true}))
}

fn apply_host(platform: &Platform, name: &str, spec: Option<Value>) {
    let mut state = platform.state();
    match spec {
        Some(spec) => drop(state.store.put(HOSTS, name, spec)),
        None => drop(state.store.delete(HOSTS, name, None)),
    }
    drop(state);
    platform.notify_watches();
}

fn refusal(error: Error) -> Refusal {
    let (status, reason) = match error {
        Error::Exists => (StatusCode::CONFLICT, "AlreadyExists"),
        Error::Missing => (StatusCode::NOT_FOUND, "NotFound"),
        Error::Stale => (StatusCode::CONFLICT, "Conflict"),
        Error::Gone => (StatusCode::GONE, "Expired"),
    };
    Refusal::new(status, reason, &error.to_string())
}

fn status_refusal(status: StatusCode, message: &str) -> Refusal {
    let reason = match status {
        StatusCode::TOO_MANY_REQUESTS => "TooManyRequests",
        StatusCode::SERVICE_UNAVAILABLE => "ServiceUnavailable",
        StatusCode::PAYLOAD_TOO_LARGE => "RequestEntityTooLarge",
        StatusCode::NOT_FOUND => "NotFound",
        StatusCode::METHOD_NOT_ALLOWED => "MethodNotAllowed",
        _ => "BadRequest",
    };
    Refusal::new(status, reason, message)
}

fn status_error(status: StatusCode, message: &str) -> Response<Payload> {
    failure(&status_refusal(status, message))
}

fn failure(refusal: &Refusal) -> Response<Payload> {
    reply::json(
        refusal.status,
        &json!({
            "kind": "Status",
            "apiVersion": "v1",
            "status": "Failure",
            "reason": refusal.code,
            "message": &refusal.message,
            "code": refusal.status.as_u16(),
        }),
    )
}
