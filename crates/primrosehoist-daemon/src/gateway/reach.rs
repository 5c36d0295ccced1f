//! Notices when this host is cut off from all upstreams, and when it reaches them again.
//!
//! The signs are decided on by [`primrosehoist::state::reach`]; this makes the connections that
//! confirm or refute them.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use primrosehoist::state::reach::{self, Change, PROBED_MIN};
use primrosehoist::state::roster::Upstream;
use tokio::time::{Instant, sleep, sleep_until};

use super::context::Context;

/// The timeout for the connections of a probe. It is many times the round trip between zones, and
/// ends before the kernel retransmits a lost SYN after a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long after an upstream is found down others are connected to. The links of a host do not all
/// break at the same moment.
const SPREAD_DELAY: Duration = Duration::from_millis(50);

/// An attempt that waits for what an upstream sends. Dropping it ends the wait.
pub(crate) struct Waiting {
    context: Arc<Context>,
    upstream: Arc<str>,
}

impl Waiting {
    /// Records that an attempt waits for `upstream` from now on.
    pub(crate) fn begin(context: &Arc<Context>, upstream: &Arc<str>) -> Self {
        if context.reach.lock().begin(upstream, Instant::now()) {
            context.reach_doubted.notify_one();
        }
        Self {
            context: Arc::clone(context),
            upstream: Arc::clone(upstream),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.context.reach.lock().end(&self.upstream);
    }
}

impl Context {
    /// Records that bytes arrived from an upstream.
    pub(crate) fn record_heard(&self) {
        self.reach.lock().record_heard(Instant::now());
    }

    /// Returns whether any upstream was heard from recently.
    pub(crate) fn hears_upstreams(&self) -> bool {
        self.reach.lock().hears_upstreams(Instant::now())
    }

    /// Records that another host has become cut off.
    pub(crate) fn record_cut_off_peer(&self) {
        self.reach.lock().doubt();
        self.reach_doubted.notify_one();
    }

    /// Records that `upstream` could not be reached.
    pub(crate) fn record_unreached(&self, upstream: &Arc<str>) {
        self.reach.lock().record_failure(upstream, Instant::now());
        self.reach_doubted.notify_one();
    }
}

/// Probes upstreams whenever this host may be cut off from them, for as long as the process runs.
pub(crate) async fn watch(context: Arc<Context>) {
    context.metrics.cut_off(context.is_cut_off());
    loop {
        let due = context.reach.lock().probe_due(Instant::now());
        let is_due = async {
            match due {
                Some(due) => sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = is_due => {}
            () = context.reach_doubted.notified() => {}
        }
        if context.reach.lock().needs_probe(Instant::now()) {
            probe(&context).await;
        }
    }
}

/// Returns how many of `targets` could be connected to.
async fn connect(context: &Context, targets: &[Arc<Upstream>]) -> usize {
    let attempts = targets.iter().map(|target| async {
        let pool = context.pool(target.address);
        let opened = pool.open_idle(PROBE_TIMEOUT).await;
        if let Err(error) = &opened {
            log::debug!(upstream = target.id.as_ref(), error:%; "probe failed");
        }
        opened.is_ok()
    });
    let reached = join_all(attempts).await;
    reached.into_iter().filter(|reached| *reached).count()
}

/// Returns whether a failure to connect to `upstream` may be its own: others can be connected to, or are
/// too few to tell.
pub(crate) async fn may_be_down(context: &Context, upstream: &str) -> bool {
    sleep(SPREAD_DELAY).await;
    if context.is_cut_off() {
        return false;
    }
    let (first, others) = targets(context, Instant::now());
    let is_other = |target: &Arc<Upstream>| target.id.as_ref() != upstream;
    let first: Vec<_> = first.into_iter().filter(is_other).collect();
    let others: Vec<_> = others.into_iter().filter(is_other).collect();
    first.len() + others.len() < PROBED_MIN
        || connect(context, &first).await > 0
        || connect(context, &others).await > 0
}

async fn probe(context: &Context) {
    let (mut targets, others) = targets(context, Instant::now());
    let mut reached = connect(context, &targets).await;
    if reached == 0 && !context.is_cut_off() {
        reached = connect(context, &others).await;
        targets.extend(others);
    }
    let now = Instant::now();
    let mut reach = context.reach.lock();
    let (failures, silence) = (reach.failure_count(now), reach.silence(now));
    let was_cut_off = reach.is_cut_off();
    let change = reach.record_probe(targets.len(), reached, rand::random(), now);
    drop(reach);
    let silent_ms = silence.unwrap_or_default().as_millis() as u64;
    match change {
        Some(Change::CutOff) => {
            let ids: Vec<&str> = targets.iter().map(|target| target.id.as_ref()).collect();
            let probed = ids.join(" ");
            log::warn!(probed = probed.as_str(), failures, silent_ms; "host is cut off from all upstreams");
        }
        Some(Change::Restored) => {
            log::info!(probed = targets.len(), reached; "upstreams are reachable again");
            context.health.lock().forget_unreachable();
            let mut partitions = context.partitions.lock();
            partitions.forget_from(&context.settings.zone);
        }
        None if was_cut_off => {}
        None => {
            log::info!(probed = targets.len(), reached, failures, silent_ms; "upstreams probed");
        }
    }
    if let Some(change) = change {
        set_cut_off(context, change == Change::CutOff);
    }
}

fn set_cut_off(context: &Context, cut_off: bool) {
    context.cut_off.send_replace(cut_off);
    context.metrics.cut_off(cut_off);
    context.urgent.notify_one();
    context.queue.wake_all();
}

/// Returns the upstreams to probe, and those to probe as well if none of them can be reached.
fn targets(context: &Context, now: Instant) -> (Vec<Arc<Upstream>>, Vec<Arc<Upstream>>) {
    let roster = context.roster.lock();
    let candidates = roster.upstreams();
    let candidates = candidates.filter(|upstream| roster.is_routable(upstream, now));
    let candidates: Vec<Arc<Upstream>> = candidates.cloned().collect();
    drop(roster);
    let (reach, health) = (context.reach.lock(), context.health.lock());
    let failed = |id: &str| reach.failed_recently(id, now) || health.is_avoided(id, now);
    let zone = &context.settings.zone;
    reach::probe_targets(&candidates, failed, zone, rand::random)
}
