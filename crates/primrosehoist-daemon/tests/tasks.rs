//! The supervision of long-lived tasks, tested by including the module of the binary crate.

#[path = "../src/tasks.rs"]
mod tasks;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use tasks::Supervisor;
use tokio::time::sleep;

fn supervisor(runs: &Arc<AtomicU32>) -> Supervisor<AtomicU32> {
    let meter = SdkMeterProvider::builder().build().meter("test");
    Supervisor::new(runs, meter.u64_counter("restarts").build())
}

/// Spawns a task that panics in its first `panics` runs and then stays; returns the number of its runs.
fn spawn(panics: u32) -> Arc<AtomicU32> {
    let runs = Arc::new(AtomicU32::new(0));
    supervisor(&runs).spawn("test", move |runs| async move {
        let run = runs.fetch_add(1, Ordering::Relaxed);
        assert!(run >= panics, "run {run} panics");
        std::future::pending::<()>().await;
    });
    runs
}

#[tokio::test(start_paused = true)]
async fn task_that_panics_is_started_again() {
    let runs = spawn(3);
    sleep(Duration::from_secs(20)).await;
    assert_eq!(runs.load(Ordering::Relaxed), 4);
}

#[tokio::test(start_paused = true)]
async fn task_that_always_panics_does_not_take_the_processor() {
    let runs = spawn(u32::MAX);
    sleep(Duration::from_secs(60)).await;
    let before = runs.load(Ordering::Relaxed);
    sleep(Duration::from_secs(600)).await;
    // The delays are 2.5 s on average then.
    let more = runs.load(Ordering::Relaxed) - before;
    assert!((100..1000).contains(&more), "{more}");
}

#[tokio::test(start_paused = true)]
async fn task_that_ends_is_not_started_again() {
    let runs = Arc::new(AtomicU32::new(0));
    supervisor(&runs).spawn("test", |runs| async move {
        runs.fetch_add(1, Ordering::Relaxed);
    });
    sleep(Duration::from_secs(20)).await;
    assert_eq!(runs.load(Ordering::Relaxed), 1);
}
