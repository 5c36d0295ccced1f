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

use crate::encoding;
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
    let target = match target(parts.uri.path()) {
        Ok(Some(target)) => target,
        Ok(None) => return Ok(status_error(StatusCode::NOT_FOUND, "no such path")),
        Err(error) => return Ok(status_error(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    match Options::try_from(parts.uri.query().unwrap_or_default()) {
        Ok(options) => call(platform, parts, target, options, body).await,
        Err(refused) => Ok(failure(&refused)),
    }
}

async fn read(body: Incoming) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > VALUE_LIMIT_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    reply::read(body, VALUE_LIMIT_BYTES).await
}

/// Decodes a path.
///
/// # Errors
///
/// Returns an error if it is not encoded properly.
fn target(path: &str) -> Result<Option<Target>, encoding::Error> {
    let rest = path.strip_prefix(PREFIX);
    let Some(rest) = rest.and_then(|rest| rest.strip_prefix('/')) else {
        return Ok(None);
    };
    let segments = rest.split('/').map(encoding::decode);
    let segments = segments.collect::<Result<Vec<_>, _>>()?;
    Ok(match segments.as_slice() {
        [kind] if !kind.is_empty() => Some(Target::Collection(kind.to_string())),
        [kind, name] if !kind.is_empty() && !name.is_empty() => {
            Some(Target::Object(kind.to_string(), name.to_string()))
        }
        _ => None,
    })
}

/// The options of a call, as they are decoded.
#[derive(Debug, Default)]
struct Options {
    is_watch: bool,
    version: Option<String>,
    limit: Option<usize>,
    position: String,
}

impl TryFrom<&str> for Options {
    type Error = Refusal;

    fn try_from(query: &str) -> Result<Self, Refusal> {
        let bad = |message: &str| status_refusal(StatusCode::BAD_REQUEST, message);
        let parsed = encoding::options(query).map_err(|error| bad(&error.to_string()))?;
        let mut options = Self::default();
        for (name, value) in parsed {
            match name.as_ref() {
                "watch" => options.is_watch = value == "true",
                "resourceVersion" => options.version = Some(value.into_owned()),
                "limit" => {
                    let limit = value.parse().map_err(|_source| bad("bad limit"))?;
                    options.limit = Some(limit);
                }
                "continue" => options.position = value.into_owned(),
                _ => {}
            }
        }
        Ok(options)
    }
}

async fn call(
    platform: Arc<Platform>,
    parts: Parts,
    target: Target,
    options: Options,
    body: Incoming,
) -> Answer {
    let caller = Caller {
        client: reply::header(&parts.headers, "x-client")
            .map_or_else(|| CLIENT_UNKNOWN.to_owned(), |name| name.to_string()),
        zone: reply::header(&parts.headers, "x-client-zone"),
    };
    // Half of the delay precedes the effect of the call and half follows it, so that a client may
    // time out on either side.
    let late = platform.state().faults.slow() / 2;
    time::sleep(late).await;
    if let Some(refused) = admit(&platform, &parts.method, options.is_watch, &caller)? {
        return Ok(refused);
    }
    if options.is_watch {
        return Ok(watch(&platform, target, &options, caller));
    }
    let content = match read(body).await {
        Ok(content) => content,
        Err(status) => return Ok(status_error(status, "the value is refused")),
    };
    let answer = execute(&platform, &parts, target, &options, &content, &caller);
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
    options: &Options,
    caller: Caller,
) -> Response<Payload> {
    let Target::Collection(kind) = target else {
        return status_error(StatusCode::BAD_REQUEST, "only collections are watched");
    };
    let given = options.version.as_deref().map(str::parse::<u64>);
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
    options: &Options,
    content: &[u8],
    caller: &Caller,
) -> Answer {
    let write = parts.method != Method::GET;
    let Applied { status, text } = match apply(platform, parts, target, options, content) {
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
    options: &Options,
    content: &[u8],
) -> Result<Applied, Refusal> {
    let mut state = platform.state();
    let store = &mut state.store;
    match (&parts.method, target) {
        (&Method::GET, Target::Collection(kind)) => {
            let limit = options.limit.unwrap_or(usize::MAX);
            let list = store.list(&kind, &options.position, limit);
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
            let gone = store.delete(&kind, &name, options.version.as_deref());
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
            Some(name) => match encoding::decode(name) {
                Ok(name) => change_host(platform, method, &name, content),
                Err(error) => status_error(StatusCode::BAD_REQUEST, &error.to_string()),
            },
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
