//! A model of the object store: paged lists, watches, conditional writes, a bounded history, rates,
//! registrations that expire, and fault injection.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::command::{self, Error};
use crate::listener;
use crate::published::fault::{Faults, Mode, OUTAGES_MAX, Outage};
use crate::published::request::{self, Body, Name, Options as CallOptions, Target};
use crate::rate::Bucket;
use crate::reply::{self, Answer, Closed};

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Serves the object store of the users' platform.

Usage: primrosehoist-standin store --listen ADDRESS --also ADDRESS [OPTIONS]

Options:
  --listen ADDRESS  address and port to listen on
  --also ADDRESS    second address of the same store, to which faults can be limited
  --page N          objects per page of a list [default: 3]
  --writes-per-s N  writing calls per second, beyond which calls get 429; 0 is no limit [default: 0]
  --reads-per-s N   reading calls per second, beyond which calls get 429; 0 is no limit [default: 0]
  --expire-ms N     time without a write after which an entry of servers is removed; 0 is never
                    [default: 0]
  --stale-ms N      age up to which reads with AllowStale show former data [default: 0]
  --log LEVEL       off, error, warn, info, debug or trace [default: warn]
  --help            prints this text
  --version         prints the version

POST /standin/faults sets {\"mode\":\"none|busy|unavailable|reset|silent\",\"also_only\":bool,
\"lose_writes\":bool,\"lose_watches\":bool,\"list_delay_ms\":N,\"slow_ms\":N}: busy responds 429, unavailable
responds 503, reset closes the connection, silent never responds, also_only limits the mode to the second
address, lose_writes performs writes but closes the connection without a response, lose_watches never
responds to the watches that arrive, list_delay_ms holds back each page of a list after it was read, and
slow_ms is the time that each call takes.
POST /standin/outages plays [{\"after_ms\":N,\"for_ms\":N,\"faults\":{...}}, ...] one after the other; with the
mode closed, both addresses refuse connections. It replaces a schedule that is still played.
POST /standin/forget drops the history. POST /standin/copy keeps a copy of the store, and
POST /standin/restore goes back to it: what was written since is gone, and Store-Era rises by one.
POST /standin/keep creates the objects [{\"Kind\":K,\"Metadata\":{\"Name\":N},\"Spec\":S}, ...], which do not
expire, and POST /standin/remove removes those of such a list.
GET /standin/counts returns the number of calls.
";

/// The path prefix of the object API.
const PREFIX: &str = "/primrosehoist/objects/";

/// The largest accepted body, in bytes.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The size of the objects of a page beyond which the list goes on with another page, in bytes.
const PAGE_BYTES_MAX: usize = 1 << 20;

/// The number of changes kept for watches.
const HISTORY_MAX: usize = 1000;

/// The kind of the entries that expire.
const EXPIRING_KIND: &str = "servers";

/// The number of checks for entries that expire within the time after which they do.
const EXPIRY_CHECKS: u32 = 8;

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    listen: SocketAddr,
    also: SocketAddr,
    page: usize,
    limits: Limits,
}

/// The limits of the store.
#[derive(Debug, Clone, Copy)]
struct Limits {
    writes_per_s: u32,
    reads_per_s: u32,
    expiry: Option<Duration>,
    /// The longest age of the data in reads that may be stale.
    staleness: Option<Duration>,
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Returns an error if an option is missing or invalid.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let expire_ms = command::value(arguments, "--expire-ms", 0)?;
    let stale_ms = command::value(arguments, "--stale-ms", 0)?;
    Ok(Options {
        limits: Limits {
            writes_per_s: command::value(arguments, "--writes-per-s", 0)?,
            reads_per_s: command::value(arguments, "--reads-per-s", 0)?,
            expiry: (expire_ms > 0).then_some(Duration::from_millis(expire_ms)),
            staleness: (stale_ms > 0).then_some(Duration::from_millis(stale_ms)),
        },
        listen: command::listen(arguments)?,
        also: command::required(arguments, "--also")?,
        page: command::value(arguments, "--page", 3)?,
    })
}

/// An object. Its name and its specification are sent as they were received.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Object {
    metadata: Metadata,
    spec: Box<RawValue>,
    status: Option<Value>,
}

/// What a call did to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Unchanged,
    Changed,
    Removed,
}

impl Object {
    /// Replaces what `body` holds. An object that is being deleted is removed with its last finalizer.
    fn replace(&mut self, body: &Body<'_>) -> Outcome {
        let mut outcome = Outcome::Unchanged;
        if let Some(spec) = body.spec.filter(|spec| spec.get() != self.spec.get()) {
            self.spec = spec.to_owned();
            outcome = Outcome::Changed;
        }
        let finalizers = body.metadata.finalizers.as_ref();
        if let Some(finalizers) = finalizers.filter(|other| **other != self.metadata.finalizers) {
            self.metadata.finalizers.clone_from(finalizers);
            outcome = Outcome::Changed;
        }
        if self.metadata.deleting && self.metadata.finalizers.is_empty() {
            outcome = Outcome::Removed;
        }
        outcome
    }

    /// Removes the object of `kind`, or marks it as being deleted if it has finalizers. Those of entries that
    /// expire do not count.
    fn delete(&mut self, kind: &str) -> Outcome {
        if kind == EXPIRING_KIND || self.metadata.finalizers.is_empty() {
            Outcome::Removed
        } else if std::mem::replace(&mut self.metadata.deleting, true) {
            Outcome::Unchanged
        } else {
            Outcome::Changed
        }
    }
}

#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Metadata {
    name: Box<RawValue>,
    rev: u64,
    create_rev: u64,
    finalizers: Vec<String>,
    deleting: bool,
}

/// A page of a list.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Page<'a> {
    items: Vec<&'a Object>,
    has_more: bool,
    store_revision: u64,
}

/// The changes since a revision.
#[derive(Debug, Serialize)]
struct Changes<'a> {
    events: Vec<&'a Event>,
    #[serde(rename = "StoreRevision")]
    store_revision: u64,
}

#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Event {
    object: Object,
    deleted: bool,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    event: Event,
}

/// An object to keep or to remove.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Listed<'a> {
    kind: String,
    #[serde(borrow)]
    metadata: request::Metadata<'a>,
}

/// The kind and the name of an object.
type Key = (String, Name);

#[derive(Debug, Default, Clone)]
struct Content {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    history: VecDeque<Change>,
    /// The oldest revision that can be watched from. Watches from earlier ones get status 410.
    oldest: u64,
}

impl Content {
    /// Applies a change and adds it to the history.
    fn apply(&mut self, key: Key, object: &Object, deleted: bool) {
        let revision = object.metadata.rev;
        let kind = key.0.clone();
        if deleted {
            self.objects.remove(&key);
        } else {
            self.objects.insert(key, object.clone());
        }
        self.history.push_back(Change {
            revision,
            kind,
            event: Event {
                object: object.clone(),
                deleted,
            },
        });
        if self.history.len() > HISTORY_MAX
            && let Some(dropped) = self.history.pop_front()
        {
            self.oldest = dropped.revision + 1;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    copy: Content,
    /// What reads show that may be stale, if there is a limit on their age.
    stale: Option<Content>,
    /// The number of times that the store went back to a copy.
    era: u64,
    faults: Faults,
    calls: u64,
    /// The calls that got status 429 because of a rate.
    rate_refused: u64,
    writes: Bucket,
    reads: Bucket,
    /// When each entry that may expire was last written.
    written: BTreeMap<Name, Instant>,
    /// The objects that do not expire.
    kept: BTreeSet<Key>,
    /// The schedule that is played.
    schedule: Option<AbortHandle>,
}

impl State {
    /// Returns the content that a read with `options` shows.
    fn shown(&self, options: &CallOptions) -> &Content {
        let stale = self.stale.as_ref().filter(|_| options.may_be_stale);
        stale.unwrap_or(&self.content)
    }
}

#[derive(Debug)]
struct Store {
    page: usize,
    limits: Limits,
    /// Close the listeners for a time.
    listeners: [mpsc::UnboundedSender<listener::Outage>; 2],
    state: Mutex<State>,
    changed: Notify,
}

/// Serves requests.
///
/// # Errors
///
/// Fails as [`listener::serve`] does.
pub(crate) async fn serve(options: Options) -> io::Result<()> {
    let (first, first_receiver) = mpsc::unbounded_channel();
    let (second, second_receiver) = mpsc::unbounded_channel();
    let store = Arc::new(Store {
        page: options.page,
        limits: options.limits,
        listeners: [first, second],
        state: Mutex::new(State {
            content: Content {
                revision: 1,
                ..Content::default()
            },
            ..State::default()
        }),
        changed: Notify::new(),
    });
    if let Some(expiry) = options.limits.expiry {
        tokio::spawn(expire(Arc::clone(&store), expiry));
    }
    if let Some(staleness) = options.limits.staleness {
        tokio::spawn(catch_up(Arc::clone(&store), staleness));
    }
    let listen = |address, is_second_address: bool, receiver| {
        let store = Arc::clone(&store);
        let handler = move |request| handle(Arc::clone(&store), request, is_second_address);
        listener::serve(address, handler, receiver)
    };
    tokio::try_join!(
        listen(options.listen, false, first_receiver),
        listen(options.also, true, second_receiver)
    )?;
    Ok(())
}

/// Removes the entries that were not written for `expiry`, forever.
async fn expire(store: Arc<Store>, expiry: Duration) {
    let mut interval = time::interval(expiry / EXPIRY_CHECKS);
    loop {
        interval.tick().await;
        store.remove_expired(expiry);
    }
}

/// Brings what stale reads show up to date every `staleness`, forever.
async fn catch_up(store: Arc<Store>, staleness: Duration) {
    let mut interval = time::interval(staleness);
    loop {
        interval.tick().await;
        let mut state = store.lock();
        state.stale = Some(state.content.clone());
    }
}

/// Plays outages one after the other.
async fn play(store: Arc<Store>, outages: Vec<Outage>) {
    for outage in outages {
        if outage.after_ms > 0 {
            store.lock().faults = Faults::default();
            time::sleep(Duration::from_millis(outage.after_ms)).await;
        }
        let duration = Duration::from_millis(outage.for_ms);
        if outage.faults.mode == Mode::Closed {
            for listener in &store.listeners {
                // The listeners last as long as the process.
                let _ended = listener.send(listener::Outage { duration }).is_err();
            }
        }
        store.lock().faults = outage.faults;
        time::sleep(duration).await;
    }
    store.lock().faults = Faults::default();
}

async fn handle(store: Arc<Store>, request: Request<Incoming>, is_second_address: bool) -> Answer {
    let reply = answer(&store, request, is_second_address).await?;
    Ok(store.with_era(reply))
}

async fn answer(store: &Arc<Store>, request: Request<Incoming>, is_second_address: bool) -> Answer {
    let (parts, body) = request.into_parts();
    let content = match reply::read(body, BODY_LIMIT_BYTES).await {
        Ok(content) => content,
        Err(status) => return Ok(reply::json(status, &json!({}))),
    };
    let path = parts.uri.path();
    if let Some(command) = path.strip_prefix("/standin/") {
        return Ok(store.control(command, &content));
    }
    let faults = {
        let mut state = store.lock();
        state.calls += 1;
        state.faults
    };
    let applies = !faults.also_only || is_second_address;
    let refuse = |status| Ok(reply::json(status, &json!({})));
    match faults.mode {
        Mode::Busy if applies => return refuse(StatusCode::TOO_MANY_REQUESTS),
        Mode::Unavailable if applies => return refuse(StatusCode::SERVICE_UNAVAILABLE),
        Mode::Reset if applies => return Err(Closed::Now),
        Mode::Silent if applies => return std::future::pending().await,
        _ => {}
    }
    let target = path.strip_prefix(PREFIX).ok_or(request::Error::NoPath);
    let target = target.and_then(Target::new);
    let options = CallOptions::new(parts.uri.query().unwrap_or_default());
    let (target, options) = match (target, options) {
        (Ok(target), Ok(options)) => (target, options),
        (Err(error), _) | (_, Err(error)) => return Ok(refusal(error)),
    };
    if !store.takes(&parts.method, &options) {
        return refuse(StatusCode::TOO_MANY_REQUESTS);
    }
    time::sleep(faults.half_delay()).await;
    let reply = perform(store, &parts.method, target, &options, &content, faults).await;
    time::sleep(faults.half_delay()).await;
    reply
}

fn refusal(error: request::Error) -> Reply {
    let status = match error {
        request::Error::NoPath => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
    reply::json(status, &json!({"Message": error.to_string()}))
}

async fn perform(
    store: &Store,
    method: &Method,
    target: Target,
    options: &CallOptions,
    content: &[u8],
    faults: Faults,
) -> Answer {
    if method == Method::GET {
        if options.watch.is_some() && faults.lose_watches {
            return std::future::pending().await;
        }
        return Ok(match (target, options.watch) {
            (Target::Kind(kind), Some(revision)) => store.watch(&kind, revision, options).await,
            (Target::Kind(kind), None) => {
                let page = store.list(&kind, options);
                time::sleep(Duration::from_millis(faults.list_delay_ms)).await;
                page
            }
            (Target::Object(kind, name), _) => store.get(kind, name, options),
        });
    }
    let reply = store.write(method, target, content, options);
    if faults.lose_writes {
        return Err(Closed::Now);
    }
    Ok(reply.unwrap_or_else(refusal))
}

type Reply = http::Response<reply::Payload>;

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the era to a response.
    fn with_era(&self, mut reply: Reply) -> Reply {
        let era = HeaderValue::from(self.lock().era);
        reply.headers_mut().insert("store-era", era);
        reply
    }

    /// Returns whether a call is within the rates. Reads that may be stale do not count.
    fn takes(&self, method: &Method, options: &CallOptions) -> bool {
        let (is_read, now) = (method == Method::GET, Instant::now());
        if is_read && options.may_be_stale {
            return true;
        }
        let mut state = self.lock();
        let is_taken = if is_read {
            state.reads.take(self.limits.reads_per_s, now)
        } else {
            state.writes.take(self.limits.writes_per_s, now)
        };
        state.rate_refused += u64::from(!is_taken);
        is_taken
    }

    /// Removes the entries that were not written for `expiry`.
    fn remove_expired(&self, expiry: Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            content,
            written,
            kept,
            ..
        } = &mut *state;
        let keys = content.objects.keys();
        let names = keys.filter(|key| key.0 == EXPIRING_KIND && !kept.contains(key));
        let expired: Vec<_> = names
            .filter(|(_, name)| {
                // An entry of a restored copy counts as written when it is first seen.
                let at = *written.entry(name.clone()).or_insert(now);
                now.duration_since(at) >= expiry
            })
            .cloned()
            .collect();
        let is_changed = !expired.is_empty();
        for key in expired {
            written.remove(&key.1);
            content.revision += 1;
            if let Some(mut object) = content.objects.get(&key).cloned() {
                object.metadata.rev = content.revision;
                content.apply(key, &object, true);
            }
        }
        drop(state);
        if is_changed {
            self.changed.notify_waiters();
        }
    }

    fn control(self: &Arc<Self>, command: &str, content: &[u8]) -> Reply {
        if matches!(command, "keep" | "remove") {
            let changed = self.keep(command == "keep", content);
            return changed.map_or_else(refusal, |()| reply::json(StatusCode::OK, &json!({})));
        }
        let mut state = self.lock();
        match command {
            "faults" => match serde_json::from_slice(content) {
                Ok(faults) => state.faults = faults,
                Err(_) => return reply::json(StatusCode::BAD_REQUEST, &json!({})),
            },
            "outages" => match serde_json::from_slice::<Vec<Outage>>(content) {
                Ok(outages) if outages.len() <= OUTAGES_MAX => {
                    let played = tokio::spawn(play(Arc::clone(self), outages));
                    if let Some(former) = state.schedule.replace(played.abort_handle()) {
                        former.abort();
                    }
                }
                _ => return reply::json(StatusCode::BAD_REQUEST, &json!({})),
            },
            "forget" => {
                state.content.history.clear();
                state.content.oldest = state.content.revision + 1;
                state.content.revision += 1;
            }
            "copy" => state.copy = state.content.clone(),
            "restore" => {
                state.content = state.copy.clone();
                state.stale = state.stale.as_ref().map(|_| state.copy.clone());
                state.era += 1;
            }
            "counts" => {
                let counts = json!({"calls": state.calls, "rate_refused": state.rate_refused});
                return reply::json(StatusCode::OK, &counts);
            }
            _ => return reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
        drop(state);
        self.changed.notify_waiters();
        reply::json(StatusCode::OK, &json!({}))
    }

    /// Creates objects that do not expire, or removes them.
    fn keep(&self, is_kept: bool, content: &[u8]) -> Result<(), request::Error> {
        let objects: Vec<&RawValue> =
            serde_json::from_slice(content).map_err(|_source| request::Error::Body)?;
        for object in objects {
            let listed = serde_json::from_str(object.get());
            let Listed { kind, metadata } = listed.map_err(|_source| request::Error::Body)?;
            let name = metadata.name.ok_or(request::Error::Body)?;
            let name = serde_json::from_str::<Name>(name.get());
            let name = name.map_err(|_source| request::Error::Body)?;
            let key = (kind.clone(), name.clone());
            let (method, target) = if is_kept {
                self.lock().kept.insert(key);
                (Method::POST, Target::Kind(kind))
            } else {
                self.lock().kept.remove(&key);
                (Method::DELETE, Target::Object(kind, name))
            };
            let content = object.get().as_bytes();
            self.write(&method, target, content, &CallOptions::default())?;
        }
        Ok(())
    }

    fn list(&self, kind: &str, options: &CallOptions) -> Reply {
        let after = &options.after;
        let state = self.lock();
        let content = state.shown(options);
        let objects = content.objects.iter();
        let remaining: Vec<&Object> = objects
            .filter(|((other, name), _)| other == kind && name > after)
            .map(|(_, object)| object)
            .collect();
        let mut bytes = 0;
        let page = remaining.iter().take(self.page).take_while(|object| {
            let is_first = bytes == 0;
            bytes += object.spec.get().len();
            is_first || bytes <= PAGE_BYTES_MAX
        });
        let items: Vec<&Object> = page.copied().collect();
        let page = Page {
            has_more: remaining.len() > items.len(),
            items,
            store_revision: content.revision,
        };
        reply::json(StatusCode::OK, &page)
    }

    fn get(&self, kind: String, name: Name, options: &CallOptions) -> Reply {
        match self.lock().shown(options).objects.get(&(kind, name)) {
            Some(object) => reply::json(StatusCode::OK, object),
            None => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn watch(&self, kind: &str, since: u64, options: &CallOptions) -> Reply {
        let era = self.lock().era;
        let deadline = time::Instant::now() + options.wait;
        loop {
            let next_change = self.changed.notified();
            {
                let state = self.lock();
                let is_known = (state.content.oldest..=state.content.revision).contains(&since);
                if !is_known || state.era != era {
                    return reply::json(StatusCode::GONE, &json!({}));
                }
                let content = state.shown(options);
                let new_changes = content
                    .history
                    .iter()
                    .filter(|change| change.revision > since && change.kind == kind);
                let events: Vec<&Event> = new_changes.map(|change| &change.event).collect();
                if !events.is_empty() || time::Instant::now() >= deadline {
                    let changes = Changes {
                        events,
                        store_revision: content.revision,
                    };
                    return reply::json(StatusCode::OK, &changes);
                }
            }
            // At the deadline, the next iteration responds with the changes so far.
            let _timed_out = time::timeout_at(deadline, next_change).await.is_err();
        }
    }

    fn write(
        &self,
        method: &Method,
        target: Target,
        content: &[u8],
        options: &CallOptions,
    ) -> Result<Reply, request::Error> {
        let is_deleted = method == Method::DELETE;
        let body = if is_deleted && content.is_empty() {
            Body::default()
        } else {
            Body::try_from(content)?
        };
        let given = body.metadata.name;
        let given_key = given.and_then(|name| serde_json::from_str::<Name>(name.get()).ok());
        let (kind, name) = match (method, target) {
            (&Method::POST, Target::Kind(kind)) => (kind, given_key.clone().unwrap_or_default()),
            (&Method::PUT | &Method::DELETE, Target::Object(kind, name)) => (kind, name),
            _ => return Ok(reply::json(StatusCode::METHOD_NOT_ALLOWED, &json!({}))),
        };
        if name.is_empty() {
            return Err(request::Error::Body);
        }
        // A body for another object is a mistake of the client, whatever a store makes of it.
        if given_key.is_some_and(|given| given != name) {
            return Err(request::Error::Body);
        }
        let key = (kind, name);
        let mut state = self.lock();
        let existing = state.content.objects.get(&key).cloned();
        let expected = body.metadata.revision.or(options.revision);
        let conflict = existing.as_ref().is_some_and(|object| {
            let is_other = expected.is_some_and(|revision| revision != object.metadata.rev);
            method == Method::POST || is_other
        });
        if conflict {
            return Ok(reply::json(StatusCode::CONFLICT, &existing));
        }
        if key.0 == EXPIRING_KIND && !is_deleted {
            state.written.insert(key.1.clone(), Instant::now());
        }
        let revision = state.content.revision + 1;
        let mut object = match (existing, given) {
            (Some(object), _) => object,
            (None, Some(name)) if method == Method::POST => Object {
                metadata: Metadata {
                    name: name.to_owned(),
                    rev: revision,
                    create_rev: revision,
                    finalizers: Vec::new(),
                    deleting: false,
                },
                spec: RawValue::NULL.to_owned(),
                status: None,
            },
            (None, _) => return Ok(reply::json(StatusCode::NOT_FOUND, &json!({}))),
        };
        let outcome = if is_deleted {
            object.delete(&key.0)
        } else {
            object.replace(&body)
        };
        if outcome == Outcome::Unchanged && method != Method::POST {
            return Ok(reply::json(StatusCode::OK, &object));
        }
        object.metadata.rev = revision;
        state.content.revision = revision;
        state
            .content
            .apply(key, &object, outcome == Outcome::Removed);
        drop(state);
        self.changed.notify_waiters();
        Ok(reply::json(StatusCode::OK, &object))
    }
}
