//! A stand-in of the platform's store: lists with pages, watches, writes, a history that can be
//! dropped, answers that can be slow, and moments of silence.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::Json;
use crate::record::Record;

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(2);

const PREFIX: &str = "/primrosehoist/objects/";

struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

type Objects = BTreeMap<(String, String), (u64, u64, String)>;

struct State {
    revision: u64,
    objects: Objects,
    history: Vec<Change>,
    /// The oldest revision from which can be watched.
    oldest: u64,
    /// The number of times that the store came back from a copy.
    era: u64,
    copy: (u64, Objects),
    is_away: bool,
    silent_until: Option<Instant>,
    /// Lists that were answered, by kind.
    lists: BTreeMap<String, u64>,
    /// Calls that came during a silence.
    swallowed: u64,
    pings_swallowed: u64,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    page: usize,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(page: usize, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 1,
            objects: BTreeMap::new(),
            history: Vec::new(),
            oldest: 0,
            era: 0,
            copy: (1, Objects::new()),
            is_away: false,
            silent_until: None,
            lists: BTreeMap::new(),
            swallowed: 0,
            pings_swallowed: 0,
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            page,
            record: record.clone(),
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        http::serve(listener, move |connection| serving.handle(connection));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object as the operator or a server does; returns the revision.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.lock();
        let revision = put(&mut state, kind, name, spec);
        drop(state);
        self.shared.1.notify_all();
        self.record.line(format!(
            "store: {kind}/{name} written, acknowledged, revision {revision}"
        ));
        revision
    }

    /// Removes an object as a server or the operator does.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if !state.objects.contains_key(&key) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        if let Some(entry) = state.objects.get_mut(&key) {
            entry.0 = revision;
        }
        let object = render(&state, kind, name);
        state.objects.remove(&key);
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            object,
            deleted: true,
        });
        drop(state);
        self.shared.1.notify_all();
        self.record
            .line(format!("store: {kind}/{name} removed, revision {revision}"));
    }

    /// Keeps a copy of the store.
    pub fn keep_copy(&self) {
        let mut state = self.lock();
        state.copy = (state.revision, state.objects.clone());
        self.record.line(format!(
            "store: a copy is kept, revision {}",
            state.revision
        ));
    }

    /// The store is away: calls and waiting watches are reset.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.shared.1.notify_all();
        self.record.line("store: away");
    }

    /// The store comes back from its copy, in the next era.
    pub fn come_back_from_copy(&self) {
        let mut state = self.lock();
        let (revision, objects) = state.copy.clone();
        state.revision = revision;
        state.objects = objects;
        state.history.clear();
        state.oldest = revision;
        state.era += 1;
        state.is_away = false;
        self.record.line(format!(
            "store: back from the copy, revision {revision}, era {}",
            state.era
        ));
    }

    /// Calls that arrive within `time` from now on are never answered.
    pub fn fall_silent(&self, time: Duration) {
        self.lock().silent_until = Some(Instant::now() + time);
        self.record
            .line(format!("store: silent for {} ms", time.as_millis()));
    }

    /// Returns how many calls came during silences, and how many of them were pings.
    pub fn swallowed(&self) -> (u64, u64) {
        let state = self.lock();
        (state.swallowed, state.pings_swallowed)
    }

    /// Returns the number of pages that were sent of lists of `kind`.
    pub fn pages(&self, kind: &str) -> u64 {
        self.lock().lists.get(kind).copied().unwrap_or(0)
    }

    fn handle(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            {
                let mut state = self.lock();
                if state.is_away {
                    return;
                }
                if state
                    .silent_until
                    .is_some_and(|until| Instant::now() < until)
                {
                    state.swallowed += 1;
                    state.pings_swallowed += u64::from(request.parameter("AllowStale").is_some());
                    drop(state);
                    self.record
                        .line(format!("store: no answer to {}", request.start));
                    // The connection stays open, and nothing more is answered on it.
                    while !connection.is_closed_within(Duration::from_secs(1)) {}
                    return;
                }
            }
            let (status, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            let (era, is_away) = {
                let state = self.lock();
                (state.era, state.is_away)
            };
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if is_away || connection.answer(status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let Some(object) = request.path().strip_prefix(PREFIX) else {
            return ("404 Not Found", "{}".to_owned());
        };
        let (kind, name) = object.split_once('/').unwrap_or((object, ""));
        match request.method() {
            "GET" if request.parameter("Watch").is_some() => self.watch(kind, request),
            "GET" => self.list(kind, request),
            "POST" | "PUT" => {
                let body =
                    Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let named = body
                    .get("Metadata")
                    .and_then(|metadata| metadata.get("Name"));
                let name = if name.is_empty() {
                    named.and_then(Json::text).unwrap_or("").to_owned()
                } else {
                    name.to_owned()
                };
                let spec = body.get("Spec").cloned().unwrap_or(Json::Null).to_string();
                let mut state = self.lock();
                let exists = state.objects.contains_key(&(kind.to_owned(), name.clone()));
                if exists && request.method() == "POST" {
                    return ("409 Conflict", "{}".to_owned());
                }
                put(&mut state, kind, &name, &spec);
                let object = render(&state, kind, &name);
                drop(state);
                self.shared.1.notify_all();
                ("200 OK", object)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, request: &Message) -> (&'static str, String) {
        let after = request.parameter("After").unwrap_or("");
        let mut state = self.lock();
        let names = state
            .objects
            .keys()
            .filter(|(other, name)| other == kind && name.as_str() > after);
        let names: Vec<String> = names.map(|(_, name)| name.clone()).collect();
        let page: Vec<String> = names
            .iter()
            .take(self.page)
            .map(|name| render(&state, kind, name))
            .collect();
        let more = names.len() > page.len();
        let revision = state.revision;
        *state.lists.entry(kind.to_owned()).or_default() += 1;
        drop(state);
        if kind == "servers" {
            self.record.line(format!(
                "store: page of servers after '{after}' read at revision {revision}, more: {more}"
            ));
        }
        let items = page.join(",");
        let body =
            format!("{{\"Items\":[{items}],\"HasMore\":{more},\"StoreRevision\":{revision}}}");
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, request: &Message) -> (&'static str, String) {
        let number = |name| {
            request
                .parameter(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let since = number("Watch").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away
                || state.era != era
                || !(state.oldest..=state.revision).contains(&since)
            {
                return ("410 Gone", "{}".to_owned());
            }
            let changes = state.history.iter();
            let changes = changes.filter(|change| change.kind == kind && change.revision > since);
            let events: Vec<String> = changes
                .map(|change| {
                    format!(
                        "{{\"Object\":{},\"Deleted\":{}}}",
                        change.object, change.deleted
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn put(state: &mut State, kind: &str, name: &str, spec: &str) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let key = (kind.to_owned(), name.to_owned());
    let created = state
        .objects
        .get(&key)
        .map_or(revision, |(_, created, _)| *created);
    state
        .objects
        .insert(key, (revision, created, spec.to_owned()));
    let object = render(state, kind, name);
    state.history.push(Change {
        revision,
        kind: kind.to_owned(),
        object,
        deleted: false,
    });
    revision
}

fn render(state: &State, kind: &str, name: &str) -> String {
    let (revision, created, spec) = &state.objects[&(kind.to_owned(), name.to_owned())];
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Rev\":{revision},\"CreateRev\":{created},\
         \"Finalizers\":[],\"Deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}
