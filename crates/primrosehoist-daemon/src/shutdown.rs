//! The graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::node::Node;

/// Time beyond the longest time limit of a request, for the last bytes of answers.
const REST: Duration = Duration::from_secs(5);

/// How the daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All requests were finished.
    Finished,
    /// Requests were cut off.
    Forced,
}

/// Waits for a signal or an order to drain, finishes what is in progress, and returns.
///
/// `stop` tells the servers to stop accepting; `serving` ends when the last connection of a
/// caller is closed.
pub(crate) async fn run(
    node: &Node,
    drain: &watch::Sender<bool>,
    stop: &watch::Sender<bool>,
    serving: JoinHandle<()>,
) -> End {
    let mut terminate = listen(SignalKind::terminate());
    let mut interrupt = listen(SignalKind::interrupt());
    let mut ordered = drain.subscribe();
    tokio::select! {
        () = next(&mut terminate) => {}
        () = next(&mut interrupt) => {}
        _ = ordered.wait_for(|ordered| *ordered) => {}
    }
    node.draining.store(true, Ordering::Release);
    let in_progress = node.progress.count();
    log::info!(in_progress; "shutdown began");
    let limit = longest(node) + REST;
    let end = tokio::select! {
        () = finish(node, stop, serving) => End::Finished,
        () = next(&mut terminate) => End::Forced,
        () = next(&mut interrupt) => End::Forced,
        () = sleep(limit) => End::Forced,
    };
    log::info!(in_progress = node.progress.count(); "shutdown ended");
    end
}

async fn finish(node: &Node, stop: &watch::Sender<bool>, serving: JoinHandle<()>) {
    node.progress.idle().await;
    stop.send_replace(true);
    if let Err(error) = serving.await {
        log::error!("the server for callers failed: {error}");
    }
    // A request whose body came slowly may have begun after the first wait.
    node.progress.idle().await;
}

/// Returns the longest time limit of a request.
fn longest(node: &Node) -> Duration {
    let fleet = node.fleet.load();
    let limits = fleet.services.values().map(|service| service.timeout_ms);
    Duration::from_millis(limits.max().unwrap_or_default())
}

fn listen(kind: SignalKind) -> Option<Signal> {
    signal(kind)
        .inspect_err(|error| log::error!("cannot listen for a signal: {error}"))
        .ok()
}

async fn next(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
