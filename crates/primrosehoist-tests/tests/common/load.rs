//! Callers that send one request after the other until they are stopped.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use super::caller::{Answer, Completion, complete, is_correct, is_prefix};
use super::{Fleet, now_ms};

/// The delay of a caller after an answer that is not correct, and between resends.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of resends to another daemon after a refusal.
const RESENDS_MAX: usize = 20;

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// The daemon that responded.
    pub daemon: usize,
    /// When the request was first sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When the answer ended.
    pub ended_ms: u64,
    pub key: String,
    pub answer: Answer,
    /// Whether the answer is complete and as expected.
    pub correct: bool,
    /// Whether the reported outcome is consistent with the received tokens.
    pub consistent: bool,
}

/// The behaviour of the callers.
#[derive(Clone)]
pub struct Plan {
    pub callers_per_daemon: usize,
    pub max_tokens: usize,
    /// Whether a request that is refused as not run, or whose daemon does not listen, is sent to
    /// the next daemon, as by a client with several addresses.
    pub fails_over: bool,
    pub half: &'static str,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            callers_per_daemon: 1,
            max_tokens: 20,
            fails_over: false,
            half: "north",
        }
    }
}

/// Running callers of several daemons.
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
        let mut completions: Vec<Completion> = (0..fleet.daemons.len())
            .map(|index| fleet.completion(index, "", plan.max_tokens))
            .collect();
        for completion in &mut completions {
            completion.key = format!("key-{}", plan.half);
            completion.model = String::from(super::model_of(plan.half));
        }
        let mut threads = Vec::new();
        for (number, daemon) in daemons.iter().enumerate() {
            for caller in 0..plan.callers_per_daemon {
                let (stop, records) = (Arc::clone(&stop), Arc::clone(&records));
                let (completions, fails_over, daemon) =
                    (completions.clone(), plan.fails_over, *daemon);
                let name = format!("{} caller {number} {caller}", plan.half);
                threads.push(std::thread::spawn(move || {
                    send_until_stopped(&completions, daemon, fails_over, &name, &stop, &records);
                }));
            }
        }
        Self {
            stop,
            records,
            threads,
        }
    }

    /// Stops the callers after their current requests, and returns all records.
    pub fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the caller ends");
        }
        let records = self.records.lock().expect("the lock is not poisoned");
        records.clone()
    }
}

fn send_until_stopped(
    completions: &[Completion],
    daemon: usize,
    fails_over: bool,
    name: &str,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let prompt = format!("{name} round {round} {}", "word ".repeat(300));
        let record = send_once(completions, daemon, fails_over, &prompt);
        let correct = record.correct;
        records
            .lock()
            .expect("the lock is not poisoned")
            .push(record);
        if !correct {
            std::thread::sleep(RETRY_DELAY);
        }
    }
}

fn send_once(completions: &[Completion], first: usize, fails_over: bool, prompt: &str) -> Record {
    let sent_ms = now_ms();
    let mut daemon = first;
    for _ in 0..RESENDS_MAX {
        if !fails_over || listens(&completions[daemon].address) {
            let record = send(completions, daemon, prompt, sent_ms);
            let refused = record.answer.outcome() == "not_run" && record.consistent;
            if !fails_over || !refused {
                return record;
            }
        }
        daemon = (daemon + 1) % completions.len();
        std::thread::sleep(RETRY_DELAY);
    }
    send(completions, daemon, prompt, sent_ms)
}

fn listens(address: &str) -> bool {
    match TcpStream::connect(address) {
        Ok(_) => true,
        Err(error) => error.kind() != ErrorKind::ConnectionRefused,
    }
}

fn send(completions: &[Completion], daemon: usize, prompt: &str, sent_ms: u64) -> Record {
    let completion = Completion {
        prompt: prompt.to_owned(),
        ..completions[daemon].clone()
    };
    let answer = complete(&completion);
    let correct = is_correct(&completion, &answer);
    let consistent = match answer.outcome().as_str() {
        "complete" => correct,
        "not_run" => answer.tokens.is_empty(),
        "incomplete" | "unknown" => is_prefix(&completion, &answer),
        _ => false,
    };
    Record {
        daemon,
        sent_ms,
        ended_ms: now_ms(),
        key: completion.key,
        answer,
        correct,
        consistent,
    }
}

/// Asserts that all of `records` selected by `selected` are correct, and that there are at least
/// `least`.
pub fn assert_correct<C>(records: &[Record], what: &str, least: usize, selected: C)
where
    C: Fn(&Record) -> bool,
{
    let records: Vec<_> = records.iter().filter(|record| selected(record)).collect();
    let incorrect: Vec<_> = records.iter().filter(|record| !record.correct).collect();
    println!(
        "{what}: {} requests, {} not correct",
        records.len(),
        incorrect.len()
    );
    assert!(
        incorrect.is_empty(),
        "{what}: {} of {} not correct, first {:?}",
        incorrect.len(),
        records.len(),
        incorrect[0]
    );
    assert!(
        records.len() >= least,
        "{what}: only {} requests",
        records.len()
    );
}

/// Asserts that the reported outcome of each of `records` is consistent with its answer.
pub fn assert_consistent(records: &[Record]) {
    let inconsistent: Vec<_> = records.iter().filter(|record| !record.consistent).collect();
    assert!(
        inconsistent.is_empty(),
        "{} inconsistent outcomes, first {:?}",
        inconsistent.len(),
        inconsistent[0]
    );
}
