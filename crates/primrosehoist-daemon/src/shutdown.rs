//! The graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::admin::Context;
use crate::cluster::Cluster;
use crate::node::Node;

/// Time beyond the longest time limit of a request, for the last bytes of answers.
const REST: Duration = Duration::from_secs(5);

/// The longest wait for upstreams to be given back, which needs the platform. Leases lapse
/// without it too.
const HAND_OVER_MAX: Duration = Duration::from_secs(5);

/// The time between two looks at the upstreams still held.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(50);

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
    context: &Context,
    stop: &watch::Sender<bool>,
    serving: JoinHandle<()>,
) -> End {
    let mut terminate = listen(SignalKind::terminate());
    let mut interrupt = listen(SignalKind::interrupt());
    let mut ordered = context.drain.subscribe();
    let node = &context.node;
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
        () = finish(context, stop, serving) => End::Finished,
        () = next(&mut terminate) => End::Forced,
        () = next(&mut interrupt) => End::Forced,
        () = sleep(limit) => End::Forced,
    };
    log::info!(in_progress = node.progress.count(); "shutdown ended");
    end
}

async fn finish(context: &Context, stop: &watch::Sender<bool>, serving: JoinHandle<()>) {
    context.node.progress.wait_idle().await;
    hand_over(&context.cluster).await;
    stop.send_replace(true);
    if let Err(error) = serving.await {
        log::error!("the server for callers failed: {error}");
    }
    // A request whose body came slowly may have begun after the first wait.
    context.node.progress.wait_idle().await;
}

/// Waits until the cluster has given back the upstreams held here, if it can.
async fn hand_over(cluster: &Cluster) {
    let end = Instant::now() + HAND_OVER_MAX;
    while cluster.holds_any() && Instant::now() < end {
        sleep(HAND_OVER_PAUSE).await;
    }
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
