//! Soak of starts and restarts: seeded schedules of overlapping signals, held ports and half-written settings
//! on real daemons, while clients send requests. No process may end without a signal that this test sent.
//!
//! `PRIMROSEHOIST_SEEDS` sets the number of seeds, `PRIMROSEHOIST_FIRST_SEED` the first one,
//! `PRIMROSEHOIST_SECONDS` how long each one runs, and `PRIMROSEHOIST_DAEMONS` how many daemons are
//! restarted at the same moment.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{Scope, sleep};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use common::calls::setting;
use common::platform::{Daemon, Deployment, Request, Response, configuration, event_ids, receive};
use common::process::Process;

const DAEMONS: usize = 6;
const CLIENTS: u64 = 8;

/// `GraceS` of the daemons, with a margin for pauses and a busy machine.
const SHUTDOWN_MAX: Duration = Duration::from_secs(8 + 10);

/// The longest time from the last action until every daemon serves.
const RECOVERY_MAX: Duration = Duration::from_secs(20);

/// `MemoryMb` of the daemons, in KiB.
const MEMORY_MAX_KIB: u64 = 260 * 1024;

/// The longest delay between the parts of an action, in milliseconds.
const STEP_MAX_MS: u64 = 1000;

/// The times after a start at which it is interrupted, in milliseconds.
const EARLY_MS: std::ops::RangeInclusive<u64> = 5..=300;

/// The processor time in which a new process may be without handlers.
const HANDLERS_TIME: Duration = Duration::from_millis(5);

/// The longest time in which a new process may be without handlers when other processes hold it up.
const HANDLERS_MAX: Duration = Duration::from_secs(2);

/// The signals that may end a process.
const ENDING: [&str; 3] = ["KILL", "TERM", "INT"];

/// A process of a daemon, with all signals that were sent to it.
struct Life {
    daemon: usize,
    log: PathBuf,
    process: Process,
    started: Instant,
    signals: Vec<(&'static str, Instant)>,
    ended: Option<ExitStatus>,
}

impl Life {
    /// Returns when the process was first told to end.
    fn told(&self) -> Option<Instant> {
        let ending = self.signals.iter().find(|(name, _)| ENDING.contains(name));
        ending.map(|(_, at)| *at)
    }

    fn was_sent(&self, wanted: &[&str]) -> bool {
        self.signals.iter().any(|(name, _)| wanted.contains(name))
    }

    fn signal(&mut self, name: &'static str) {
        if self.ended.is_none() {
            self.signals.push((name, Instant::now()));
            self.process.signal(name);
        }
    }

    /// Returns whether the process must survive signals or handle them. No handler can exist before it had
    /// a little time on a processor.
    fn is_due(&self) -> bool {
        let age = self.started.elapsed();
        age >= Duration::from_millis(*EARLY_MS.start())
            && (self.process.handles_signals()
                || self.process.processor_time() >= HANDLERS_TIME
                || age >= HANDLERS_MAX)
    }

    /// Returns why the process must not have ended so, or must have ended.
    fn fault(&mut self) -> Option<&'static str> {
        if self.ended.is_some() {
            return None;
        }
        self.ended = self.process.ended();
        let Some(status) = self.ended else {
            let late = self.told().is_some_and(|at| at.elapsed() > SHUTDOWN_MAX);
            return late.then_some("did not end in time");
        };
        match (status.code(), status.signal()) {
            (None, Some(9)) if self.was_sent(&["KILL"]) => None,
            (Some(0), None) if self.was_sent(&["TERM", "INT"]) => {
                let log = self.logged();
                let told = ["\"shutdown finished\"", "\"terminated during startup\""];
                let is_told = told.iter().any(|line| log.contains(line));
                (!is_told).then_some("ended without its last line in the log")
            }
            _ => Some("ended by itself"),
        }
    }

    fn logged(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Describes the process, for a failure.
    fn describe(&self) -> String {
        let log = self.logged();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines[lines.len().saturating_sub(15)..].join("\n");
        let signals = self.signals.iter();
        let signals: Vec<_> = signals.map(|(name, at)| (name, at.elapsed())).collect();
        format!(
            "daemon {} {} status={:?} signals and their age={signals:?}\n{tail}",
            self.daemon,
            self.log.display(),
            self.ended
        )
    }
}

struct State {
    daemons: Vec<Daemon>,
    lives: Vec<Life>,
}

/// Starts processes and records what ends them. It does not wait for a process to end before it starts
/// another one.
struct Supervisor {
    what: String,
    settings: Vec<String>,
    state: Mutex<State>,
}

impl Supervisor {
    fn new(what: String, deployment: &mut Deployment, daemons: usize) -> Self {
        deployment.configure(&configuration(1));
        for index in 0..deployment.runners.len() {
            deployment.register(index, "ready");
        }
        for _ in 0..daemons {
            let daemon = deployment.prepare_daemon("zone-a", &deployment.store);
            deployment.daemons.push(daemon);
        }
        let daemons = std::mem::take(&mut deployment.daemons);
        let read = |daemon: &Daemon| fs::read_to_string(&daemon.settings).expect("it was written");
        let settings = daemons.iter().map(read).collect();
        let lives = Vec::new();
        let state = Mutex::new(State { daemons, lives });
        let supervisor = Self {
            what,
            settings,
            state,
        };
        for daemon in 0..supervisor.settings.len() {
            supervisor.start(daemon);
        }
        supervisor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a process with a log of its own and returns its number.
    fn start(&self, daemon: usize) -> usize {
        let mut state = self.lock();
        let life = state.lives.len();
        let started = &mut state.daemons[daemon];
        started.log = started.settings.with_extension(format!("{life}.log"));
        started.spawn();
        let log = started.log.clone();
        let process = started.process.take().expect("it was started");
        state.lives.push(Life {
            daemon,
            log,
            process,
            started: Instant::now(),
            signals: Vec::new(),
            ended: None,
        });
        life
    }

    /// Sends a signal to a process, as soon as it must not end by it without a shutdown.
    fn signal(&self, life: usize, name: &'static str) {
        let is_handled = !["KILL", "STOP", "CONT"].contains(&name);
        loop {
            let mut state = self.lock();
            let life = &mut state.lives[life];
            if !is_handled || life.ended.is_some() || life.is_due() {
                return life.signal(name);
            }
            drop(state);
            sleep(Duration::from_millis(1));
        }
    }

    /// Returns the processes of a daemon that were not told to end.
    fn untold(&self, daemon: usize) -> Vec<usize> {
        let state = self.lock();
        let lives = state.lives.iter().enumerate();
        let lives = lives.filter(|(_, life)| life.daemon == daemon && life.told().is_none());
        lives.map(|(number, _)| number).collect()
    }

    fn signal_all(&self, daemon: usize, name: &'static str) {
        for life in self.untold(daemon) {
            self.signal(life, name);
        }
    }

    /// Makes the settings of a daemon incomplete, or removes them.
    fn cut_settings(&self, daemon: usize, kept: usize) {
        let path = self.lock().daemons[daemon].settings.clone();
        if kept == 0 {
            drop(fs::remove_file(path));
        } else {
            fs::write(path, &self.settings[daemon][..kept]).expect("the settings are written");
        }
    }

    fn complete_settings(&self, daemon: usize, drain_ms: u64) {
        let path = self.lock().daemons[daemon].settings.clone();
        let changed = format!("DrainMs = {drain_ms}");
        let text = self.settings[daemon].replace("DrainMs = 2000", &changed);
        fs::write(path, text).expect("the settings are written");
    }

    /// Checks the processes that ended, and those that should have.
    fn check(&self) {
        let mut state = self.lock();
        for life in &mut state.lives {
            if let Some(fault) = life.fault() {
                panic!("{}: {fault}: {}", self.what, life.describe());
            }
        }
    }

    /// Leaves one process of each daemon, and checks that all serve and that the others ended.
    fn settle(&self) {
        let last_action = Instant::now();
        for daemon in 0..self.settings.len() {
            let mut lives = self.untold(daemon);
            if lives.pop().is_none() {
                self.start(daemon);
            }
            for life in lives {
                self.signal(life, "TERM");
            }
        }
        let mut waiting: Vec<usize> = (0..self.settings.len()).collect();
        while !waiting.is_empty() {
            sleep(Duration::from_millis(50));
            self.check();
            waiting.retain(|daemon| !self.serves(*daemon));
            let late = last_action.elapsed() > RECOVERY_MAX;
            if let Some(daemon) = waiting.first().filter(|_| late) {
                let state = self.lock();
                let lives = state.lives.iter().filter(|life| life.daemon == *daemon);
                let lives: Vec<String> = lives.rev().take(3).map(Life::describe).collect();
                panic!("{}: {waiting:?} do not serve: {lives:#?}", self.what);
            }
        }
        let served_ms = last_action.elapsed().as_millis();
        let mut state = self.lock();
        let mut peak_kib = 0;
        for life in &mut state.lives {
            let is_clean = !life.logged().contains("\"panic\"");
            assert!(is_clean, "{}: panic: {}", self.what, life.describe());
            if life.ended.is_none() {
                let memory = life.process.peak_memory_kib();
                let memory = memory.expect("a live process has a memory size");
                peak_kib = peak_kib.max(memory);
            }
        }
        let processes = state.lives.len();
        println!(
            "{}: processes={processes} served_after_ms={served_ms} peak_kib={peak_kib}",
            self.what
        );
        assert!(peak_kib < MEMORY_MAX_KIB, "{}: {peak_kib} KiB", self.what);
    }

    /// Returns whether the last process of a daemon is its only one and serves.
    fn serves(&self, daemon: usize) -> bool {
        let state = self.lock();
        let lives = state.lives.iter();
        let live = lives.filter(|life| life.daemon == daemon && life.ended.is_none());
        let is_alone = live.count() == 1;
        let (readiness, ingress) = (
            state.daemons[daemon].readiness.clone(),
            state.daemons[daemon].ingress.clone(),
        );
        drop(state);
        let status = |address, path| {
            let mut connection = open(address)?;
            let request = Request::new("GET", path).bytes();
            connection.write_all(&request).ok()?;
            Some(receive(&mut connection).status)
        };
        is_alone
            && status(&readiness, "/primrosehoist/ready") == Some(200)
            && status(&ingress, "/look/1") == Some(200)
    }
}

fn open(address: &str) -> Option<TcpStream> {
    let connection = TcpStream::connect(address).ok()?;
    let timeout = Some(Duration::from_secs(10));
    connection.set_read_timeout(timeout).ok()?;
    Some(connection)
}

/// Holds a port that becomes free soon; the former process may still have it.
fn hold(address: &str, is_udp: bool) -> Option<Box<dyn Send>> {
    for _ in 0..50 {
        let held: Option<Box<dyn Send>> = if is_udp {
            UdpSocket::bind(address)
                .ok()
                .map(|held| Box::new(held) as _)
        } else {
            TcpListener::bind(address)
                .ok()
                .map(|held| Box::new(held) as _)
        };
        if held.is_some() {
            return held;
        }
        sleep(Duration::from_millis(10));
    }
    None
}

/// Begins the next action; its later steps overlap with the actions after it.
fn act<'scope>(
    rng: &mut StdRng,
    (supervisor, network): (&'scope Supervisor, &str),
    scope: &'scope Scope<'scope, '_>,
) {
    let daemons = supervisor.settings.len();
    let daemon = rng.random_range(0..daemons);
    let pause = Duration::from_millis(rng.random_range(0..=STEP_MAX_MS));
    match rng.random_range(0..13) {
        0..3 => {
            let signal = *["TERM", "INT"].choose(rng).expect("there are some");
            scope.spawn(move || {
                supervisor.signal_all(daemon, signal);
                sleep(pause);
                supervisor.start(daemon);
            });
        }
        3 => {
            let is_first = rng.random_bool(0.5);
            scope.spawn(move || {
                supervisor.signal_all(daemon, "TERM");
                let lives = [supervisor.start(daemon), supervisor.start(daemon)];
                sleep(pause);
                supervisor.signal(lives[usize::from(is_first)], "TERM");
            });
        }
        4 => {
            supervisor.signal_all(daemon, "KILL");
            supervisor.start(daemon);
        }
        5..7 => {
            let lives = supervisor.lock().lives.len();
            // Processes that shut down are paused too.
            let life = rng.random_range(lives.saturating_sub(2 * daemons)..lives);
            scope.spawn(move || {
                supervisor.signal(life, "STOP");
                sleep(pause);
                supervisor.signal(life, "CONT");
            });
        }
        7 => {
            let signal = *["TERM", "KILL"].choose(rng).expect("there are some");
            let rack: Vec<usize> = (0..daemons).filter(|_| rng.random_bool(0.6)).collect();
            for daemon in &rack {
                supervisor.signal_all(*daemon, signal);
            }
            for daemon in rack {
                supervisor.start(daemon);
            }
        }
        8..10 => {
            let signal = *["HUP", "TERM", "INT"].choose(rng).expect("there are some");
            let delay = Duration::from_millis(rng.random_range(EARLY_MS));
            scope.spawn(move || {
                supervisor.signal_all(daemon, "KILL");
                let life = supervisor.start(daemon);
                sleep(delay);
                supervisor.signal(life, signal);
                if ENDING.contains(&signal) {
                    supervisor.start(daemon);
                }
            });
        }
        10 => {
            let (kept, drain_ms) = (supervisor.settings[daemon].len() / 2, 1900);
            scope.spawn(move || {
                supervisor.cut_settings(daemon, kept);
                sleep(pause);
                supervisor.complete_settings(daemon, drain_ms);
                supervisor.signal_all(daemon, "HUP");
            });
        }
        11 => {
            let length = supervisor.settings[daemon].len();
            let kept = *[0, length / 2].choose(rng).expect("there are some");
            scope.spawn(move || {
                supervisor.cut_settings(daemon, kept);
                supervisor.signal_all(daemon, "TERM");
                supervisor.start(daemon);
                sleep(pause);
                supervisor.complete_settings(daemon, 2000);
            });
        }
        _ => {
            let ports = [8227, 8220, 7340, 7341, 9464];
            let port = *ports.choose(rng).expect("there are some");
            let is_udp = port == 7340 && rng.random_bool(0.5);
            let address = format!("{network}.{}:{port}", 40 + daemon);
            scope.spawn(move || {
                supervisor.signal_all(daemon, "KILL");
                let held = hold(&address, is_udp);
                supervisor.start(daemon);
                sleep(pause);
                drop(held);
            });
        }
    }
}

/// Sends requests until `ends`, each connection until it is closed; returns how many answers had each
/// status, zero if an answer is incomplete.
fn send_repeatedly(seed: u64, addresses: &[String], ends: Instant) -> BTreeMap<u16, usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut statuses = BTreeMap::new();
    let mut kept: Option<TcpStream> = None;
    while Instant::now() < ends {
        let address = &addresses[rng.random_range(0..addresses.len())];
        let Some(mut connection) = kept.take().or_else(|| open(address)) else {
            sleep(Duration::from_millis(5));
            continue;
        };
        let events = rng.random_range(1..40);
        let is_stream = rng.random_bool(0.5);
        let request = if is_stream {
            Request::stream(60, events)
        } else {
            Request::new("GET", "/look/1")
        };
        let sent = connection.write_all(&request.bytes());
        let response = sent.ok().map(|()| receive(&mut connection));
        let Some(response) = response.filter(|response| response.complete) else {
            *statuses.entry(0).or_default() += 1;
            continue;
        };
        *statuses.entry(response.status).or_default() += 1;
        let is_whole = |response: &Response| match serde_json::from_slice::<Value>(&response.body) {
            _ if is_stream => response.events() == event_ids(events),
            Ok(body) => body["bytes"] == request.body.len(),
            Err(_) => false,
        };
        assert!(
            response.status != 200 || is_whole(&response),
            "seed {seed:#x}: not whole: {} {response:?}",
            request.id
        );
        if response.header("connection") != Some("close") {
            kept = Some(connection);
        }
    }
    statuses
}

fn run(seed: u64, duration: Duration) {
    let mut deployment = Deployment::without_daemons();
    let what = format!("seed {seed}");
    let supervisor = Supervisor::new(what, &mut deployment, DAEMONS);
    supervisor.settle();
    let state = supervisor.lock();
    let ingresses = state.daemons.iter().map(|daemon| daemon.ingress.clone());
    let addresses: Vec<String> = ingresses.collect();
    drop(state);
    let mut rng = StdRng::seed_from_u64(seed);
    let ends = Instant::now() + duration;
    let statuses = std::thread::scope(|scope| {
        let (addresses, supervisor) = (&addresses, &supervisor);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || send_repeatedly(seed << 8 | client, addresses, ends)))
            .collect();
        let mut version = 1;
        while Instant::now() < ends {
            act(&mut rng, (supervisor, &deployment.network), scope);
            if rng.random_bool(0.1) {
                version += 1;
                deployment.configure(&configuration(version));
            }
            sleep(Duration::from_millis(rng.random_range(50..700)));
            supervisor.check();
        }
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for client in clients {
            for (status, count) in client.join().expect("the client does not panic") {
                *statuses.entry(status).or_default() += count;
            }
        }
        statuses
    });
    println!("seed {seed}: answers by status {statuses:?}");
    supervisor.settle();
    let answered = statuses.get(&200).copied().unwrap_or(0);
    assert!(
        answered > 50,
        "seed {seed}: hardly any request was answered"
    );
}

/// Guards against daemons that end by themselves, or do not start, beside faults of their environment.
#[test]
fn daemons_end_only_when_told() {
    let duration = Duration::from_secs(setting("PRIMROSEHOIST_SECONDS", 12));
    let first = setting("PRIMROSEHOIST_FIRST_SEED", 1);
    for seed in first..first + setting("PRIMROSEHOIST_SEEDS", 2) {
        run(seed, duration);
    }
}

/// Guards against daemons that do not come back after all were restarted at the same moment.
#[test]
fn many_daemons_restart_at_once() {
    let daemons = setting("PRIMROSEHOIST_DAEMONS", 40) as usize;
    let mut deployment = Deployment::without_daemons();
    let what = format!("{daemons} daemons");
    let supervisor = Supervisor::new(what, &mut deployment, daemons);
    supervisor.settle();
    for daemon in 0..daemons {
        supervisor.signal_all(daemon, "TERM");
    }
    for daemon in 0..daemons {
        supervisor.start(daemon);
    }
    supervisor.settle();
}
