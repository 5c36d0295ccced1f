//! Callers that ask one request after the other until they are stopped.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use super::caller::{Answer, Ask, complete, prefix, whole};
use super::{Fleet, now_ms};

/// The pause of a caller after an answer that is not whole.
const PAUSE: Duration = Duration::from_millis(50);

/// Times that a request is sent again elsewhere after a refusal.
const RESENDS: usize = 20;

/// A request and what came of it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The daemon that answered.
    pub daemon: usize,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When the answer ended.
    pub ended_ms: u64,
    pub key: String,
    pub answer: Answer,
    pub whole: bool,
    /// Whether the outcome that was told can be true.
    pub honest: bool,
}

/// How callers ask.
#[derive(Clone)]
pub struct Plan {
    pub callers_per_daemon: usize,
    pub max_tokens: usize,
    /// Whether a request that is refused as not run, or finds no listener, is sent again to the
    /// next daemon, as a caller does that knows several.
    pub moves: bool,
    pub half: &'static str,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            callers_per_daemon: 1,
            max_tokens: 20,
            moves: false,
            half: "north",
        }
    }
}

/// Callers at several daemons.
pub struct Load {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts callers at `daemons`.
    pub fn start(fleet: &Fleet, daemons: &[usize], plan: &Plan) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let mut asks: Vec<Ask> = (0..fleet.daemons.len())
            .map(|index| fleet.ask(index, "", plan.max_tokens))
            .collect();
        for ask in &mut asks {
            ask.key = format!("key-{}", plan.half);
            ask.model = String::from(super::model_of(plan.half));
        }
        let mut threads = Vec::new();
        for (number, daemon) in daemons.iter().enumerate() {
            for caller in 0..plan.callers_per_daemon {
                let (stop, records) = (Arc::clone(&stop), Arc::clone(&records));
                let (asks, moves, daemon) = (asks.clone(), plan.moves, *daemon);
                let name = format!("{} caller {number} {caller}", plan.half);
                threads.push(std::thread::spawn(move || {
                    ask_on(&asks, daemon, moves, &name, &stop, &records);
                }));
            }
        }
        Self {
            stop,
            records,
            threads,
        }
    }

    /// Lets the callers finish what they ask, and returns all records.
    pub fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the caller ends");
        }
        let records = self.records.lock().expect("records are whole");
        records.clone()
    }
}

fn ask_on(
    asks: &[Ask],
    daemon: usize,
    moves: bool,
    name: &str,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let prompt = format!("{name} round {round} {}", "word ".repeat(300));
        let record = ask_once(asks, daemon, moves, &prompt);
        let whole = record.whole;
        records.lock().expect("records are whole").push(record);
        if !whole {
            std::thread::sleep(PAUSE);
        }
    }
}

fn ask_once(asks: &[Ask], first: usize, moves: bool, prompt: &str) -> Record {
    let sent_ms = now_ms();
    let mut daemon = first;
    for _ in 0..RESENDS {
        if !moves || listens(&asks[daemon].address) {
            let record = ask(asks, daemon, prompt, sent_ms);
            let refused = record.answer.outcome() == "not_run" && record.honest;
            if !moves || !refused {
                return record;
            }
        }
        daemon = (daemon + 1) % asks.len();
        std::thread::sleep(PAUSE);
    }
    ask(asks, daemon, prompt, sent_ms)
}

fn listens(address: &str) -> bool {
    match TcpStream::connect(address) {
        Ok(_) => true,
        Err(error) => error.kind() != ErrorKind::ConnectionRefused,
    }
}

fn ask(asks: &[Ask], daemon: usize, prompt: &str, sent_ms: u64) -> Record {
    let ask = Ask {
        prompt: prompt.to_owned(),
        ..asks[daemon].clone()
    };
    let answer = complete(&ask);
    let whole = whole(&ask, &answer);
    let honest = match answer.outcome().as_str() {
        "complete" => whole,
        "not_run" => answer.tokens.is_empty(),
        "incomplete" | "unknown" => prefix(&ask, &answer),
        _ => false,
    };
    Record {
        daemon,
        sent_ms,
        ended_ms: now_ms(),
        key: ask.key,
        answer,
        whole,
        honest,
    }
}

/// Fails unless all of `records` that `chosen` picks are whole, and there are at least `least`.
pub fn assert_whole<C>(records: &[Record], what: &str, least: usize, chosen: C)
where
    C: Fn(&Record) -> bool,
{
    let picked: Vec<_> = records.iter().filter(|record| chosen(record)).collect();
    let lost: Vec<_> = picked.iter().filter(|record| !record.whole).collect();
    println!(
        "{what}: {} requests, {} not whole",
        picked.len(),
        lost.len()
    );
    assert!(
        lost.is_empty(),
        "{what}: {} of {}, first {:?}",
        lost.len(),
        picked.len(),
        lost[0]
    );
    assert!(
        picked.len() >= least,
        "{what}: only {} requests",
        picked.len()
    );
}

/// Fails unless each of `records` is whole, or was reported as what it was.
pub fn assert_honest(records: &[Record]) {
    let wrong: Vec<_> = records.iter().filter(|record| !record.honest).collect();
    assert!(
        wrong.is_empty(),
        "{} not honest, first {:?}",
        wrong.len(),
        wrong[0]
    );
}
