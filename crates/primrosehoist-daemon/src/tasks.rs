//! Long-lived tasks, each started again if it panics.
//!
//! The runtime contains a panic in its task. Without a restart, a daemon would go on with what it knew
//! then, for example without hearing of changes any more.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use primrosehoist::coordination::backoff;
use tokio::time::{Instant, sleep};

/// The longest delay before the first restart of a task.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// The longest delay before a restart.
const RESTART_DELAY_MAX: Duration = Duration::from_secs(5);

/// How long a task must run for its earlier panics to be forgotten.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// Starts and restarts the tasks that share `S`.
#[derive(Debug)]
pub(crate) struct Supervisor<S> {
    shared: Arc<S>,
    restarts: Counter<u64>,
}

impl<S> Supervisor<S>
where
    S: Send + Sync + 'static,
{
    /// Creates a supervisor that counts restarts in `restarts`, by task.
    pub(crate) fn new(shared: &Arc<S>, restarts: Counter<u64>) -> Self {
        Self {
            shared: Arc::clone(shared),
            restarts,
        }
    }

    /// Spawns the task that `run` creates, and creates it again after each panic.
    pub(crate) fn spawn<F, R>(&self, task: &'static str, run: F)
    where
        F: Fn(Arc<S>) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let restarts = self.restarts.clone();
        tokio::spawn(async move {
            let mut panics = 0;
            loop {
                let started = Instant::now();
                let ended = tokio::spawn(run(Arc::clone(&shared))).await;
                match ended {
                    Err(error) if error.is_panic() => {}
                    Ok(()) => {
                        log::info!(task; "task ended");
                        return;
                    }
                    // The process ends.
                    Err(_cancelled) => return,
                }
                if started.elapsed() >= STABLE_TIME {
                    panics = 0;
                }
                let delay = backoff::full_jitter(panics, RESTART_DELAY, RESTART_DELAY_MAX);
                panics += 1;
                restarts.add(1, &[KeyValue::new("task", task)]);
                log::error!(task, panics, delay_ms = delay.as_millis() as u64; "restarting a task that panicked");
                sleep(delay).await;
            }
        });
    }
}
