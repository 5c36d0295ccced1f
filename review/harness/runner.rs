//! A stand-in of a runner: streams and plain answers, with slots and a short queue.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// The number of tokens in an event of a stream.
const EVENT_TOKENS: u64 = 46;

/// How a runner behaves.
pub struct Options {
    pub id: String,
    pub slots: usize,
    /// The time to the first event of a stream, and between two events.
    pub event_interval: Duration,
    /// The time that a plain answer takes.
    pub work: Duration,
    /// The part of a prompt that crashes the runner when it begins to write an answer on it.
    pub deadly_part: Option<String>,
}

/// How long a runner that crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// A request that reached a runner, and whether it began to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub ran: bool,
}

struct Shared {
    options: Options,
    record: Record,
    running: AtomicUsize,
    leaving: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    is_down: AtomicBool,
    born: AtomicU64,
    crashes: Mutex<Vec<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
    /// The store in which the runner registers, with its service and its zone.
    registry: (Store, String, String),
}

/// A runner. Clones share its state.
#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Runner {
    /// Starts a runner and registers it in the store, as one of `service` in `zone`.
    pub fn start(
        options: Options,
        store: &Store,
        service: &str,
        zone: &str,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Shared {
            options,
            record: record.clone(),
            running: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            arrivals: Mutex::default(),
            is_down: AtomicBool::new(false),
            born: AtomicU64::new(1_765_000_000_000),
            crashes: Mutex::default(),
            connections: Mutex::default(),
            registry: (store.clone(), service.to_owned(), zone.to_owned()),
        };
        let runner = Self {
            shared: Arc::new(shared),
            address: listener.local_addr()?,
        };
        let serving = runner.clone();
        thread::spawn(move || serving.serve(listener));
        runner.register("ready");
        Ok(runner)
    }

    /// Writes the runner's entry.
    pub fn register(&self, state: &str) {
        let (store, service, zone) = &self.shared.registry;
        let entry = self.entry(service, zone, state);
        store.write("servers", &self.shared.options.id, &entry);
    }

    /// Accepts connections, except while the runner is down after a crash.
    fn serve(&self, listener: TcpListener) {
        let mut listener = listener;
        if self.shared.options.deadly_part.is_none() {
            for stream in listener.incoming().flatten() {
                let runner = self.clone();
                thread::spawn(move || runner.handle(Connection::new(stream)));
            }
            return;
        }
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.shared.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(500));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(clone) = stream.try_clone() {
                    self.connections().push(clone);
                }
                let runner = self.clone();
                thread::spawn(move || runner.handle(Connection::new(stream)));
            }
            drop(listener);
            for connection in self.connections().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            };
            self.shared.born.fetch_add(10_000, Ordering::SeqCst);
            self.shared.running.store(0, Ordering::SeqCst);
            self.shared.is_down.store(false, Ordering::SeqCst);
            self.shared
                .record
                .line(format!("runner {}: back", self.shared.options.id));
            self.register("ready");
        }
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.shared
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn crash(&self) {
        if !self.shared.is_down.swap(true, Ordering::SeqCst) {
            self.shared
                .crashes
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(Instant::now());
            self.shared
                .record
                .line(format!("runner {}: crashes", self.shared.options.id));
        }
    }

    /// Returns when the runner crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.shared
            .crashes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// From now on, says in all answers that it leaves.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared
            .arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the entry of the runner in the store.
    fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Sequence\":1,\
             \"born\":{}}}",
            self.address,
            self.shared.options.slots,
            self.shared.born.load(Ordering::SeqCst)
        )
    }

    fn handle(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            if self.respond(&mut connection, &request).is_none() {
                return;
            }
        }
    }

    /// Answers a request; returns `None` if the connection has ended.
    fn respond(&self, connection: &mut Connection, request: &Message) -> Option<()> {
        let shared = &self.shared;
        if request.path() == "/primrosehoist/order" {
            return connection.answer("200 OK", "", "{\"Free\":450000}").ok();
        }
        let Some(id) = request.header("x-attempt-id").map(str::to_owned) else {
            return connection
                .answer("400 Bad Request", "X-Not-Executed: 1\r\n", "")
                .ok();
        };
        let leaving = if shared.leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let echo = format!("X-Attempt-Id: {id}\r\n{leaving}");
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != shared.options.id)
        {
            return connection.answer("421 Misdirected Request", &echo, "").ok();
        }
        let arrival = Arrival {
            id: id.clone(),
            at: Instant::now(),
            ran: false,
        };
        shared
            .arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(arrival);
        shared.record.line(format!(
            "runner {}: {id} arrives, {}",
            shared.options.id, request.start
        ));
        while !self.take_slot() {
            if connection.is_closed_within(Duration::from_millis(5)) {
                return None;
            }
        }
        let tenant = request.header("x-tenant").unwrap_or("");
        shared.record.line(format!(
            "runner {}: {id} runs, X-Tenant '{tenant}'",
            shared.options.id
        ));
        let mut arrivals = shared
            .arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        arrivals
            .iter_mut()
            .filter(|arrival| arrival.id == id)
            .for_each(|arrival| arrival.ran = true);
        drop(arrivals);
        let answered = self.run(connection, request, &id, &echo);
        let released = |running: usize| Some(running.saturating_sub(1));
        let _ = shared
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, released);
        let end = if answered.is_some() {
            "ends"
        } else {
            "is cut off"
        };
        shared
            .record
            .line(format!("runner {}: {id} {end}", shared.options.id));
        answered
    }

    fn take_slot(&self) -> bool {
        let slots = self.shared.options.slots;
        let taken = |running| (running < slots).then_some(running + 1);
        self.shared
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, taken)
            .is_ok()
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        echo: &str,
    ) -> Option<()> {
        let options = &self.shared.options;
        let running = self.shared.running.load(Ordering::SeqCst);
        let head = format!(
            "{echo}X-Response-Seal: {}.{id}\r\nX-Server-Load: {running},0,{}\r\n",
            options.id, options.slots
        );
        let Some(usage) = request.header("x-token-usage") else {
            thread::sleep(options.work);
            let body = format!("{{\"path\":\"{}\"}}", request.path());
            return connection.answer("200 OK", &head, &body).ok();
        };
        let tokens = usage
            .split(',')
            .nth(1)
            .and_then(|tokens| tokens.trim().parse::<u64>().ok());
        let events = (tokens.unwrap_or(EVENT_TOKENS) / EVENT_TOKENS).max(1);
        if connection.is_closed_within(options.event_interval) {
            return None;
        }
        if options
            .deadly_part
            .as_ref()
            .is_some_and(|part| has_part(request, part))
        {
            self.crash();
            return None;
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.stream.write_all(start.as_bytes()).ok()?;
        let last = request
            .header("last-event-id")
            .and_then(|last| last.parse::<u64>().ok());
        for event in last.unwrap_or(0) + 1..=events {
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            connection.send_chunk(text.as_bytes()).ok()?;
            if event < events && connection.is_closed_within(options.event_interval) {
                return None;
            }
        }
        connection.send_chunk(b"").ok()
    }
}

/// Returns whether the prompt of a request has a part.
fn has_part(request: &Message, part: &str) -> bool {
    let parts = request.header("x-prompt-prefix").unwrap_or("");
    parts
        .split(',')
        .any(|entry| entry.split(':').next() == Some(part))
}
