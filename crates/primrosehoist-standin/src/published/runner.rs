//! A model of a runner: streamed and plain responses with receipts, slots, a queue, reservations, its entry
//! in the store and fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::{Notify, OwnedSemaphorePermit, mpsc};
use tokio::time;

use crate::command::{self, Error};
use crate::listener;
use crate::published::queue::Queue;
use crate::published::registration::Entry;
use crate::reply::{self, Answer, Closed, Payload};

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Serves a runner of the users' platform. Requests with X-Token-Usage get a stream, others JSON.

Usage: primrosehoist-standin runner --listen ADDRESS --id ID [OPTIONS]

Options:
  --listen ADDRESS  address and port to listen on
  --id ID           the id of the runner
  --event-ms N      time between two events of a stream [default: 10]
  --memory N        size of the memory in tokens [default: 450000]
  --slots N         requests served at once; 0 is no limit [default: 0]
  --queue N         requests that wait for a slot; others get 503 [default: 4]
  --store ADDRESS   registers in the store at this address
  --service NAME    service of the entry in the store [default: model]
  --zone NAME       availability zone of the entry [default: zone-a]
  --field JSON      value of an unknown field of the entry
  --heartbeat-ms N  interval between two writes of the entry [default: 1200]
  --drain-ms N      time to serve after the store accepted that the runner leaves [default: 2000]
  --log LEVEL       off, error, warn, info, debug or trace [default: warn]
  --help            prints this text
  --version         prints the version

POST /standin/fault {\"fault\":F,\"times\":N} injects fault F into the next N requests: lose (runs,
but closes the connection without a response), cut (closes the connection after two and a half
events), silent (sends two events, then nothing), trickle (sends two events, then a byte of a comment
now and then), pause (pauses for 2.4 s after two events), hang (never responds), reject (does not run,
status 503), fail (status 500), crossed (returns the id of another request), encoded (claims gzip
encoding), refuse_order (refuses a reservation).
POST /standin/deadly with the id of a part of prompts makes the process exit when it begins to answer
a stream whose X-Prompt-Prefix has that part.
POST /standin/leave makes a runner with --store report that it drains, serve for the drain time, remove its
entry and exit with code 0. SIGTERM ends it at once, and its entry stays.
GET /standin/counts returns the requests that ran and the counts of streams and reservations.
";

/// The largest accepted body, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The number of tokens in an event of a stream.
const EVENT_TOKENS: u64 = 10;

/// The number of requests that wait for a slot by default.
const QUEUE_DEFAULT: usize = 4;

/// The number of slots in the entry of a runner without a limit.
const SLOTS_UNLIMITED: usize = 16;

/// The time that a request waits for a slot if its client names no deadline.
const QUEUE_TIME_MAX: Duration = Duration::from_secs(30);

/// The interval between the bytes of a trickling stream.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(150);

/// The pause in a stream that is slow.
const PAUSE: Duration = Duration::from_millis(2400);

const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
const RECEIPT: HeaderName = HeaderName::from_static("x-response-seal");
const LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    listen: SocketAddr,
    id: String,
    event_interval: Duration,
    memory_tokens: u64,
    queue: Option<Queue>,
    entry: Option<Entry>,
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Returns an error if an option is missing or invalid.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let listen = command::listen(arguments)?;
    let id: String = command::required(arguments, "--id")?;
    let slots = command::value(arguments, "--slots", 0)?;
    let waiting_max = command::value(arguments, "--queue", QUEUE_DEFAULT)?;
    let mut entry = Entry {
        store: listen,
        id: id.clone(),
        address: listen,
        service: command::value(arguments, "--service", "model".to_owned())?,
        zone: command::value(arguments, "--zone", "zone-a".to_owned())?,
        slots: if slots > 0 { slots } else { SLOTS_UNLIMITED },
        field: command::optional(arguments, "--field")?,
        heartbeat: Duration::from_millis(command::value(arguments, "--heartbeat-ms", 1200)?),
        drain: Duration::from_millis(command::value(arguments, "--drain-ms", 2000)?),
    };
    let store = command::optional(arguments, "--store")?;
    Ok(Options {
        listen,
        id,
        queue: (slots > 0).then(|| Queue::new(slots, waiting_max)),
        entry: store.map(|store| {
            entry.store = store;
            entry
        }),
        event_interval: Duration::from_millis(command::value(arguments, "--event-ms", 10)?),
        memory_tokens: command::value(arguments, "--memory", 450_000)?,
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    Lose,
    Cut,
    Silent,
    Trickle,
    Pause,
    Hang,
    Reject,
    Fail,
    Crossed,
    Encoded,
    RefuseOrder,
}

#[derive(Debug, Deserialize)]
struct Plan {
    fault: Fault,
    times: usize,
}

/// A request that ran, as reported by `/standin/counts`.
#[derive(Debug, Clone, Serialize)]
struct Run {
    id: String,
    method: String,
    path: String,
    body_sha256: String,
    tenant: Option<Arc<str>>,
    authorization: Option<Arc<str>>,
    deadline_ms: Option<Arc<str>>,
    last_event: Option<Arc<str>>,
    helpers: Option<Arc<str>>,
}

#[derive(Debug)]
struct Reservation {
    tokens: u64,
    expires: Instant,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<Fault>,
    deadly_part: Option<String>,
    runs: Vec<Run>,
    reservations: BTreeMap<String, Reservation>,
    released: u64,
    reserved: u64,
    running: u64,
    /// The number of streams whose client disconnected before their end.
    abandoned: u64,
    is_leaving: bool,
}

#[derive(Debug)]
struct Runner {
    id: String,
    event_interval: Duration,
    memory_tokens: u64,
    queue: Option<Queue>,
    leaving: Notify,
    state: Mutex<State>,
}

/// Serves requests.
///
/// # Errors
///
/// Fails as [`listener::serve`] does.
pub(crate) async fn serve(options: Options) -> io::Result<()> {
    let runner = Arc::new(Runner {
        id: options.id,
        event_interval: options.event_interval,
        memory_tokens: options.memory_tokens,
        queue: options.queue,
        leaving: Notify::new(),
        state: Mutex::new(State::default()),
    });
    let (_outages, receiver) = mpsc::unbounded_channel();
    let served = Arc::clone(&runner);
    let handler = move |request| handle(Arc::clone(&served), request);
    let serving = listener::serve(options.listen, handler, receiver);
    let Some(entry) = options.entry else {
        return serving.await;
    };
    tokio::select! {
        result = serving => result,
        () = entry.maintain(&runner.leaving) => Ok(()),
    }
}

async fn handle(runner: Arc<Runner>, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    let content = match reply::read(body, BODY_LIMIT_BYTES).await {
        Ok(content) => content,
        Err(status) => return Ok(reply::json(status, &json!({}))),
    };
    match parts.uri.path() {
        "/standin/fault" => return Ok(runner.inject_faults(&content)),
        "/standin/deadly" => {
            runner.lock().deadly_part = Some(String::from_utf8_lossy(&content).into_owned());
            return Ok(reply::json(StatusCode::OK, &json!({})));
        }
        "/standin/leave" => {
            runner.lock().is_leaving = true;
            runner.leaving.notify_one();
            return Ok(reply::json(StatusCode::OK, &json!({})));
        }
        "/standin/counts" => return Ok(runner.counts()),
        "/primrosehoist/order" => return Ok(runner.handle_reservation(&parts.headers, &content)),
        _ => {}
    }
    let Some(id) = reply::header(&parts.headers, "x-attempt-id") else {
        return Ok(not_executed(StatusCode::BAD_REQUEST));
    };
    let refuse = |status| {
        let mut refusal = not_executed(status);
        insert_header(&mut refusal, ATTEMPT_ID, &id);
        Ok(refusal)
    };
    if !runner.matches_expected_id(&parts.headers) {
        return refuse(StatusCode::MISDIRECTED_REQUEST);
    }
    let fault = runner.lock().faults.pop_front();
    if fault == Some(Fault::Reject) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    let slot = match &runner.queue {
        Some(queue) => match queue.enter(patience(&parts.headers)).await {
            Some(slot) => Some(slot),
            None => return refuse(StatusCode::SERVICE_UNAVAILABLE),
        },
        None => None,
    };
    runner.record(&id, &parts, &content);
    if fault == Some(Fault::Hang) {
        std::future::pending::<()>().await;
    }
    if fault == Some(Fault::Lose) {
        return Err(Closed::Now);
    }
    let mut response = match reply::header(&parts.headers, "x-token-usage") {
        Some(usage) => runner.stream(&id, &usage, &parts.headers, fault, slot),
        None => plain_response(&parts, &content),
    };
    if fault == Some(Fault::Fail) {
        response = reply::json(StatusCode::INTERNAL_SERVER_ERROR, &json!({"failed": true}));
    }
    let echoed_id = if fault == Some(Fault::Crossed) {
        "other"
    } else {
        &id
    };
    insert_receipt(&mut response, echoed_id, &runner.id);
    runner.insert_state(&mut response);
    if fault == Some(Fault::Encoded) {
        let gzip = HeaderValue::from_static("gzip");
        response
            .headers_mut()
            .insert(http::header::CONTENT_ENCODING, gzip);
    }
    Ok(response)
}

/// Returns how long a request waits for a slot.
fn patience(headers: &HeaderMap) -> Duration {
    let deadline = reply::header(headers, "x-deadline-ms");
    let deadline_ms = deadline.and_then(|text| text.parse().ok());
    deadline_ms.map_or(QUEUE_TIME_MAX, |ms| {
        Duration::from_millis(ms).min(QUEUE_TIME_MAX)
    })
}

/// Adds the id of the request and a receipt.
fn insert_receipt(response: &mut Response<Payload>, id: &str, runner: &str) {
    insert_header(response, ATTEMPT_ID, id);
    insert_header(response, RECEIPT, &format!("{runner}.{id}"));
}

/// Adds a header to a response.
///
/// # Panics
///
/// Panics if `value` holds a control character. Ids that were received in a header do not.
fn insert_header(response: &mut Response<Payload>, name: HeaderName, value: &str) {
    let value = HeaderValue::from_bytes(value.as_bytes()).expect("headers hold the value");
    response.headers_mut().insert(name, value);
}

fn not_executed(status: StatusCode) -> Response<Payload> {
    let mut response = reply::json(status, &json!({}));
    if status != StatusCode::MISDIRECTED_REQUEST {
        let headers = response.headers_mut();
        headers.insert("x-not-executed", HeaderValue::from_static("1"));
    }
    response
}

fn plain_response(parts: &Parts, content: &[u8]) -> Response<Payload> {
    let body = json!({"path": parts.uri.to_string(), "bytes": content.len()});
    reply::json(StatusCode::OK, &body)
}

impl Runner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the load of a runner with slots, and that a runner that leaves closes its connections.
    fn insert_state(&self, response: &mut Response<Payload>) {
        if let Some(queue) = &self.queue {
            insert_header(response, LOAD, &queue.load());
        }
        if self.lock().is_leaving {
            insert_header(response, http::header::CONNECTION, "close");
        }
    }

    /// Returns whether no other runner is expected, byte for byte.
    fn matches_expected_id(&self, headers: &HeaderMap) -> bool {
        let expected = headers.get_all("x-expect-instance");
        expected
            .iter()
            .all(|id| id.as_bytes() == self.id.as_bytes())
    }

    /// Returns the part that ends this process, if the request has it.
    fn deadly_part(&self, headers: &HeaderMap) -> Option<String> {
        let parts = reply::header(headers, "x-prompt-prefix");
        let deadly = self.lock().deadly_part.clone();
        let (parts, deadly) = (parts?, deadly?);
        let is_deadly = parts
            .split(',')
            .any(|part| part.split(':').next() == Some(&deadly));
        is_deadly.then_some(deadly)
    }

    fn inject_faults(&self, content: &[u8]) -> Response<Payload> {
        let Ok(plan) = serde_json::from_slice::<Plan>(content) else {
            return reply::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let faults = std::iter::repeat_n(plan.fault, plan.times);
        self.lock().faults.extend(faults);
        reply::json(StatusCode::OK, &json!({}))
    }

    fn counts(&self) -> Response<Payload> {
        let state = self.lock();
        let now = Instant::now();
        let active = state
            .reservations
            .values()
            .filter(|reservation| now < reservation.expires);
        let counts = json!({
            "runs": state.runs,
            "running": state.running,
            "abandoned": state.abandoned,
            "reserved": state.reserved,
            "released": state.released,
            "tickets": active.count(),
        });
        reply::json(StatusCode::OK, &counts)
    }

    fn handle_reservation(&self, headers: &HeaderMap, content: &[u8]) -> Response<Payload> {
        if !self.matches_expected_id(headers) {
            return not_executed(StatusCode::MISDIRECTED_REQUEST);
        }
        let request: Value = serde_json::from_slice(content).unwrap_or(Value::Null);
        let id = request["Id"].as_str().unwrap_or("").to_owned();
        let mut state = self.lock();
        if state.faults.front() == Some(&Fault::RefuseOrder) {
            state.faults.pop_front();
            return reply::json(StatusCode::CONFLICT, &json!({}));
        }
        let now = Instant::now();
        state
            .reservations
            .retain(|_, reservation| now < reservation.expires);
        match request["Op"].as_str() {
            Some("reserve") => {
                let tokens = request["Tokens"].as_u64().unwrap_or(0);
                let others = state.reservations.iter().filter(|(other, _)| **other != id);
                let reserved_tokens: u64 = others.map(|(_, reservation)| reservation.tokens).sum();
                if reserved_tokens + tokens > self.memory_tokens {
                    return reply::json(StatusCode::CONFLICT, &json!({}));
                }
                let lease = Duration::from_millis(request["HoldMs"].as_u64().unwrap_or(0));
                let expires = now + lease;
                state
                    .reservations
                    .insert(id, Reservation { tokens, expires });
                state.reserved += 1;
            }
            Some("release") => {
                state.reservations.remove(&id);
                state.released += 1;
            }
            _ => return reply::json(StatusCode::BAD_REQUEST, &json!({})),
        }
        reply::json(StatusCode::OK, &json!({"Free": 0}))
    }

    fn record(&self, id: &str, parts: &Parts, content: &[u8]) {
        // A header that occurs twice is not taken for one that occurs once.
        let header = |name| {
            let values = parts.headers.get_all(name).iter();
            let values: Vec<_> = values
                .map(|value| String::from_utf8_lossy(value.as_bytes()))
                .collect();
            (!values.is_empty()).then(|| Arc::from(values.join(", ")))
        };
        self.lock().runs.push(Run {
            id: id.to_owned(),
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            body_sha256: reply::hex(&Sha256::digest(content)),
            tenant: header("x-tenant"),
            authorization: header("authorization"),
            deadline_ms: header("x-deadline-ms"),
            last_event: header("last-event-id"),
            helpers: header("x-helpers"),
        });
    }

    /// Streams the events after the last one that the client received.
    fn stream(
        self: &Arc<Self>,
        id: &str,
        usage: &str,
        headers: &HeaderMap,
        fault: Option<Fault>,
        slot: Option<OwnedSemaphorePermit>,
    ) -> Response<Payload> {
        let tokens = usage
            .split(',')
            .nth(1)
            .and_then(|tokens| tokens.parse().ok());
        let events: u64 = tokens.unwrap_or(EVENT_TOKENS) / EVENT_TOKENS;
        let last = reply::header(headers, "last-event-id");
        let last = last.and_then(|last| last.parse().ok()).unwrap_or(0_u64);
        let guard = StreamGuard::new(Arc::clone(self), slot);
        if let Some(part) = self.deadly_part(headers) {
            let delay = self.event_interval;
            tokio::spawn(async move {
                time::sleep(delay).await;
                log::error!("ending with code 1: a prompt has the deadly part {part:?}");
                std::process::exit(1);
            });
            let silence = stream::pending();
            return reply::response(StatusCode::OK, "text/event-stream", reply::pieces(silence));
        }
        let id = id.to_owned();
        let sent = stream::unfold((guard, last, time::Instant::now()), move |state| {
            let (mut guard, last, mut due) = state;
            let next = last + 1;
            let id = id.clone();
            async move {
                if next > events && fault != Some(Fault::Trickle) {
                    guard.finish();
                    return None;
                }
                // With a sleep per event, the delays of all timers would add up.
                due += guard.runner.event_interval;
                time::sleep_until(due).await;
                let event = format!("id: {next}\ndata: {id} {next}\n\n");
                match fault {
                    Some(Fault::Cut) if next == 3 => Some((
                        Ok(Bytes::from(event[..event.len() / 2].to_owned())),
                        (guard, next, due),
                    )),
                    Some(Fault::Cut) if next > 3 => Some((Err(Closed::Now), (guard, next, due))),
                    Some(Fault::Silent) if next > 2 => std::future::pending().await,
                    Some(Fault::Trickle) if next > 2 => {
                        time::sleep(TRICKLE_INTERVAL).await;
                        let byte = if next == 3 { ":" } else { "x" };
                        Some((Ok(Bytes::from_static(byte.as_bytes())), (guard, next, due)))
                    }
                    Some(Fault::Pause) if next == 3 => {
                        time::sleep(PAUSE).await;
                        Some((Ok(Bytes::from(event)), (guard, next, due + PAUSE)))
                    }
                    _ => Some((Ok(Bytes::from(event)), (guard, next, due))),
                }
            }
        });
        reply::response(StatusCode::OK, "text/event-stream", reply::pieces(sent))
    }
}

/// Counts a stream as running until dropped, and as abandoned if it did not finish.
struct StreamGuard {
    runner: Arc<Runner>,
    finished: bool,
    _slot: Option<OwnedSemaphorePermit>,
}

impl StreamGuard {
    fn new(runner: Arc<Runner>, slot: Option<OwnedSemaphorePermit>) -> Self {
        runner.lock().running += 1;
        Self {
            runner,
            finished: false,
            _slot: slot,
        }
    }

    fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut state = self.runner.lock();
        state.running -= 1;
        state.abandoned += u64::from(!self.finished);
    }
}
