//! Compares one object per claim with claims grouped into shard objects.
//!
//! Eight daemons make claims in an open loop at increasing rates against a platform stand-in, with
//! each strategy. Prints the calls per claim and the latency that a claim adds.

#[path = "../tests/common/process.rs"]
#[allow(dead_code, reason = "the program uses a part of what the tests share")]
mod process;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::claim::shard::{Entry, Merged, Shard, index};
use primrosehoist::coordination::claim::{Record, State, object_name};
use primrosehoist::protocol::platform::{CLAIMS, Metadata};
use primrosehoist::state::name;
use primrosehoist::transport::platform::{Call, Client, Error};
use process::Process;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

const DAEMONS: u64 = 8;
const RATES_PER_S: [u64; 4] = [50, 200, 500, 1000];
const RUN: Duration = Duration::from_secs(4);
const BATCH_DELAY: Duration = Duration::from_millis(20);
const ATTEMPTS_MAX: u32 = 200;

/// A strategy for storing claims.
#[derive(Debug, Clone, Copy)]
enum Strategy {
    /// One object per key.
    Key,
    /// This number of objects, each shared by many keys.
    Shards(u32),
}

/// The measurements of one run.
#[derive(Debug, Default)]
struct Outcome {
    latencies: Vec<Duration>,
    failed: u64,
    calls: u64,
}

type Waiting = (Entry, oneshot::Sender<bool>);

fn record(number: u64) -> Record {
    Record {
        nonce: format!("{number:032x}"),
        host: name::Host::try_from("host-1").expect("a name"),
        incarnation: 1,
        state: State::Claimed,
        body: "b".repeat(64),
        time_ms: 1,
    }
}

fn client(address: &str, daemon: u64) -> Client {
    let host = name::Host::try_from(format!("host-{daemon}").as_str()).expect("a name");
    let zone = name::Zone::try_from("zone-a").expect("a name");
    Client::new(address, &host, &zone)
}

fn entry(run: &str, number: u64) -> Entry {
    let workspace = name::Workspace::try_from("desk").expect("a name");
    Entry {
        name: object_name(&workspace, &format!("{run}-{number}")),
        record: record(number),
    }
}

/// Writes all entries of one shard; after a conflict, reads the shard and merges them again.
async fn write_shard(client: &Client, kind: &str, shard: u32, batch: Vec<Waiting>) {
    let name = format!("shard-{shard}");
    let entries: Vec<Entry> = batch.iter().map(|(entry, _)| entry.clone()).collect();
    let mut claimed = false;
    for _ in 0..ATTEMPTS_MAX {
        let (mut content, metadata) = match client.get(kind, &name).await {
            Ok(object) => (
                serde_json::from_value::<Shard>(object.spec).expect("a shard"),
                Some(object.metadata),
            ),
            Err(Error::NotFound { .. }) => (Shard::default(), None),
            Err(_) => continue,
        };
        let merged = content.merge(&entries, 1);
        let all_claimed = merged.iter().all(|m| *m == Merged::Claimed);
        let written = match &metadata {
            Some(metadata) => client.replace(kind, metadata, &content).await,
            None => client.create(kind, &name, &content).await,
        };
        if written.is_ok() {
            claimed = all_claimed;
            break;
        }
    }
    for (_, answer) in batch {
        // The claimant may have given up.
        let _answered = answer.send(claimed);
    }
}

/// Collects the claims of one daemon into batches and writes each batch by shard.
async fn write_batches(
    client: Client,
    kind: Arc<str>,
    shards: u32,
    mut claims: mpsc::UnboundedReceiver<Waiting>,
) {
    while let Some(first) = claims.recv().await {
        sleep(BATCH_DELAY).await;
        let mut batches: BTreeMap<u32, Vec<Waiting>> = BTreeMap::new();
        let mut next = Some(first);
        while let Some(claim) = next {
            let shard = index(&claim.0.name) % shards;
            batches.entry(shard).or_default().push(claim);
            next = claims.try_recv().ok();
        }
        for (shard, batch) in batches {
            let (client, kind) = (client.clone(), Arc::clone(&kind));
            tokio::spawn(async move { write_shard(&client, &kind, shard, batch).await });
        }
    }
}

async fn run(address: &str, strategy: Strategy, rate: u64, run_name: &str) -> Outcome {
    let outcome = Arc::new(Mutex::new(Outcome::default()));
    let clients: Vec<Client> = (0..DAEMONS).map(|daemon| client(address, daemon)).collect();
    let kind: Arc<str> = Arc::from(format!("{CLAIMS}-{run_name}"));
    let batchers: Vec<_> = clients
        .iter()
        .map(|client| {
            let (sender, receiver) = mpsc::unbounded_channel();
            if let Strategy::Shards(shards) = strategy {
                tokio::spawn(write_batches(
                    client.clone(),
                    Arc::clone(&kind),
                    shards,
                    receiver,
                ));
            }
            sender
        })
        .collect();
    let mut ticks = interval(Duration::from_micros(1_000_000 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = Vec::new();
    for number in 0..rate * RUN.as_secs() {
        ticks.tick().await;
        let daemon = (number % DAEMONS) as usize;
        let (client, batcher) = (clients[daemon].clone(), batchers[daemon].clone());
        let (kind, outcome) = (Arc::clone(&kind), Arc::clone(&outcome));
        let entry = entry(run_name, number);
        tasks.push(tokio::spawn(async move {
            let start = Instant::now();
            let claimed = match strategy {
                Strategy::Key => client
                    .create(&kind, &entry.name, &entry.record)
                    .await
                    .is_ok(),
                Strategy::Shards(_) => {
                    let (answer, answered) = oneshot::channel();
                    batcher.send((entry, answer)).expect("the batcher runs");
                    answered.await.unwrap_or(false)
                }
            };
            let mut outcome = outcome.lock().await;
            outcome.latencies.push(start.elapsed());
            outcome.failed += u64::from(!claimed);
        }));
    }
    for task in tasks {
        task.await.expect("a claim ends");
    }
    let calls = |client: &Client| {
        let kinds = [Call::Get, Call::Create, Call::Replace];
        kinds
            .map(|call| client.counts().get(call))
            .iter()
            .sum::<u64>()
    };
    let mut outcome = std::mem::take(&mut *outcome.lock().await);
    outcome.calls = clients.iter().map(calls).sum();
    outcome.latencies.sort_unstable();
    outcome
}

fn percentile(latencies: &[Duration], percent: usize) -> f64 {
    let rank = (latencies.len() - 1) * percent / 100;
    latencies[rank].as_secs_f64() * 1000.0
}

async fn compare(address: &str) {
    println!("| way | claims/s | calls per claim | calls/s | p50 ms | p99 ms | failed |");
    println!("|---|---|---|---|---|---|---|");
    for strategy in [Strategy::Key, Strategy::Shards(256), Strategy::Shards(16)] {
        for rate in RATES_PER_S {
            let label = match strategy {
                Strategy::Key => "one object per key".to_owned(),
                Strategy::Shards(shards) => format!("shards: {shards}"),
            };
            let name = format!("{}-{rate}", label.replace([' ', ':'], ""));
            let start = Instant::now();
            let outcome = run(address, strategy, rate, &name).await;
            let elapsed = start.elapsed().as_secs_f64();
            println!(
                "| {label} | {rate} | {:.2} | {:.0} | {:.1} | {:.1} | {} |",
                outcome.calls as f64 / outcome.latencies.len() as f64,
                outcome.calls as f64 / elapsed,
                percentile(&outcome.latencies, 50),
                percentile(&outcome.latencies, 99),
                outcome.failed,
            );
        }
    }
}

fn main() {
    let address = "127.0.0.1:7990";
    let arguments = ["platform", "--listen", address].map(str::to_owned);
    let log = std::env::temp_dir().join("primrosehoist-claims-bench.log");
    let _platform = Process::start("primrosehoist-standin", &arguments, &log);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let probe = Metadata::default();
        while client(address, 0)
            .delete(CLAIMS, &probe)
            .await
            .is_err_and(|error| matches!(error, Error::Unreachable { .. }))
        {
            sleep(Duration::from_millis(20)).await;
        }
        compare(address).await;
    });
}
