//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::admin::Context;
use crate::cluster::Cluster;
use crate::node::Node;
use crate::signals::{Cause, Request, Signals};

/// The time beyond the longest request timeout, for the last bytes of responses.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);

/// The longest wait for the release of held upstreams, which needs the platform. Leases expire
/// without it too.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between two checks of the upstreams still held.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How the daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All requests finished.
    Finished,
    /// A second signal or the time limit ended the shutdown before it was complete, or a server ended.
    Forced,
}

/// Waits for a signal or an operator's request to drain, finishes the requests in progress, and
/// returns.
///
/// `stop` makes the servers stop accepting connections; `serving` ends when the last connection of
/// a caller is closed, and `failed` when a server ended before.
pub(crate) async fn run(
    context: &Context,
    mut signals: Signals,
    stop: &watch::Sender<bool>,
    mut serving: JoinHandle<()>,
    failed: impl Future<Output = ()>,
) -> End {
    let mut drain = context.drain.subscribe();
    let node = &context.node;
    let cause = tokio::select! {
        cause = stop_requested(&mut signals) => cause,
        _ = drain.wait_for(|drain| *drain) => Cause::Drain,
        _ended = &mut serving => Cause::Server,
        () = failed => Cause::Server,
    };
    node.draining.store(true, Ordering::Release);
    let in_progress = node.progress.count();
    log::info!(in_progress, cause = cause.name(); "shutdown began");
    let limit = max_request_timeout(node) + RESPONSE_GRACE;
    let (end, cut_by) = tokio::select! {
        () = finish(context, stop, serving) => (End::Finished, "nothing"),
        cause = signals.wait_for_stop() => (End::Forced, cause.name()),
        () = sleep(limit) => (End::Forced, "time limit"),
    };
    log::info!(in_progress = node.progress.count(), cut_by; "shutdown ended");
    match cause {
        Cause::Server => End::Forced,
        Cause::Terminate | Cause::Interrupt | Cause::Drain => end,
    }
}

/// Waits for a signal to stop.
async fn stop_requested(signals: &mut Signals) -> Cause {
    loop {
        match signals.next().await {
            Request::Stop(cause) => return cause,
            Request::Reload => {
                log::warn!("SIGHUP ignored: the settings are read at the start only");
            }
        }
    }
}

async fn finish(context: &Context, stop: &watch::Sender<bool>, serving: JoinHandle<()>) {
    context.node.progress.wait_idle().await;
    wait_for_release(&context.cluster).await;
    stop.send_replace(true);
    if !serving.is_finished()
        && let Err(error) = serving.await
    {
        log::error!("caller server failed: {error}");
    }
    // A request with a slow body may have been counted only after the first wait.
    context.node.progress.wait_idle().await;
}

/// Waits until the cluster has released the upstreams held by this daemon, for at most
/// [`RELEASE_TIMEOUT`].
async fn wait_for_release(cluster: &Cluster) {
    let end = Instant::now() + RELEASE_TIMEOUT;
    while cluster.holds_any() && Instant::now() < end {
        sleep(RELEASE_POLL_INTERVAL).await;
    }
}

/// Returns the longest request timeout of all services.
fn max_request_timeout(node: &Node) -> Duration {
    let fleet = node.fleet.load();
    let timeouts = fleet.services.values().map(|service| service.timeout_ms);
    Duration::from_millis(timeouts.max().unwrap_or_default())
}
