//! Periodic reconciliation of the list of each held engine with the attempts of this process.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Limited};
use primrosehoist::coordination::admission::Foreign;
use primrosehoist::coordination::backoff;
use primrosehoist::coordination::reconcile::{self, Abandoned, Context, Listing, Resource};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{Error, Gate, Options};
use quick_error::quick_error;
use serde_json::json;
use tokio::time::{Instant, interval, timeout};

use super::call;
use super::holding::Holding;
use crate::node::Node;

/// The interval of checks for engines that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval of reconciliations while the engine lists foreign work.
const FOREIGN_INTERVAL: Duration = Duration::from_secs(2);

/// The interval of reconciliations otherwise.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);

/// The delay after a failed reconciliation.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of a list, in bytes.
const LIST_BYTES_MAX: usize = 8 << 20;

/// The state kept between the reconciliations of one engine.
#[derive(Debug, Default)]
pub(crate) struct Reconciliation {
    abandoned: Abandoned,
    due: Option<Instant>,
    /// Whether a reconciliation is in progress.
    running: bool,
}

quick_error! {
    /// Why a call to an engine failed.
    #[derive(Debug)]
    enum Failure {
        /// The connection failed, so no process listens there.
        Connect(source: Error) {
            display("{}", source)
            source(source)
        }
        /// The call failed after the connection was established.
        Call(source: Error) {
            display("{}", source)
            source(source)
        }
        /// The call timed out.
        Timeout {
            display("no response within {:?}", CALL_TIMEOUT)
        }
        /// The response is invalid or reports an error.
        Response(reason: String) {
            display("{}", reason)
        }
    }
}

/// Reconciles each held engine whenever it is due. Runs until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    if !node.mechanisms.reconcile {
        return;
    }
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let fleet = node.fleet.load();
        let leases = node.leases.load();
        let now = Instant::now();
        let held = leases
            .iter()
            .filter(|(_, lease)| lease.permits_sending(now));
        for (name, lease) in held {
            let Some(upstream) = fleet.upstreams.get(name).filter(|u| fleet.is_engine(u)) else {
                continue;
            };
            let holding = node.holder.holding(upstream, lease, true);
            if holding.begin_reconciliation(now) {
                tokio::spawn(compare(Arc::clone(&node), holding));
            }
        }
    }
}

impl Holding {
    /// Returns whether a reconciliation is due, and marks it as in progress.
    fn begin_reconciliation(&self, now: Instant) -> bool {
        let mut reconciliation = self.reconciliation();
        let due = !reconciliation.running && reconciliation.due.is_none_or(|due| due <= now);
        reconciliation.running |= due;
        due
    }

    fn finish_reconciliation(&self, pause: Duration) {
        let mut reconciliation = self.reconciliation();
        reconciliation.running = false;
        reconciliation.due = Some(Instant::now() + backoff::jitter(pause));
    }

    fn reconciliation(&self) -> std::sync::MutexGuard<'_, Reconciliation> {
        self.reconciliation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn compare(node: Arc<Node>, holding: Arc<Holding>) {
    // An attempt that is registered before or after the list was made is not foreign.
    let before = holding.all_attempts();
    let pause = match list(&node, &holding).await {
        Ok(listing) => {
            let is_own = |id: &str| before.contains(id) || holding.registrations_of(id) > 0;
            apply_listing(&node, &holding, &listing, &is_own).await
        }
        Err(failure) => {
            log::debug!(upstream = holding.pool.address().to_string().as_str(); "cannot list the work of an engine: {failure}");
            // An engine that refuses connections or provides no list has no foreign work to count.
            if matches!(failure, Failure::Connect(_) | Failure::Response(_)) {
                holding.update(|scheduler| scheduler.set_foreign(Foreign::default()));
            }
            RETRY_INTERVAL
        }
    };
    holding.finish_reconciliation(pause);
}

/// Counts foreign work and ends abandoned work; returns the delay until the next reconciliation.
async fn apply_listing(
    node: &Node,
    holding: &Arc<Holding>,
    listing: &Listing,
    is_own: &(dyn Fn(&str) -> bool + Sync),
) -> Duration {
    let settled = holding.is_settled();
    let plan = {
        let view = node.view.load();
        let is_alive = |host: &str| view.daemons.keys().any(|known| known.as_str() == host);
        let context = Context {
            epoch: holding.epoch,
            is_own,
            may_act: &|host| !settled && host != node.host.as_str() && is_alive(host),
            now: Instant::now(),
        };
        let abandoned = holding.reconciliation().abandoned.clone();
        reconcile::plan(listing, &context, &abandoned)
    };
    holding.update(|scheduler| scheduler.set_foreign(plan.foreign));
    let found = plan.has_foreign();
    holding.reconciliation().abandoned = plan.abandoned;
    let mut reclaimed = true;
    for resource in &plan.reclaim {
        reclaimed &= reclaim(node, holding, resource).await;
    }
    match (found, reclaimed) {
        (true, true) if !plan.reclaim.is_empty() => RETRY_INTERVAL,
        (true, _) => FOREIGN_INTERVAL,
        (false, _) => IDLE_INTERVAL,
    }
}

/// Ends one abandoned item. If that fails, the next list shows it again.
async fn reclaim(node: &Node, holding: &Arc<Holding>, resource: &Resource) -> bool {
    let (path, content) = match resource {
        Resource::Stream(id) => ("/admin/cancel", json!({"id": id})),
        Resource::Reservation(id) => ("/admin/kv/release", json!({"id": id})),
        Resource::Export(handle) => ("/admin/kv/release", json!({"handle": handle})),
    };
    let request = call::post(holding, node.host.as_str(), path, &content);
    match send(node, holding, request).await {
        Ok(_) => {
            let upstream = holding.pool.address().to_string();
            log::info!(upstream = upstream.as_str(), epoch = holding.epoch; "ended abandoned work: {resource:?}");
            true
        }
        Err(failure) => {
            log::debug!("{path}: {failure}");
            false
        }
    }
}

async fn list(node: &Node, holding: &Arc<Holding>) -> Result<Listing, Failure> {
    let request = call::get(holding, node.host.as_str(), "/admin/running");
    let body = send(node, holding, request).await?;
    serde_json::from_slice(&body).map_err(|error| Failure::Response(error.to_string()))
}

/// Calls the engine while the lease is valid.
async fn send(
    node: &Node,
    holding: &Arc<Holding>,
    request: Request<Payload>,
) -> Result<bytes::Bytes, Failure> {
    let lease = Arc::clone(&holding.lease);
    let checks_lease = node.mechanisms.lease_check;
    let write_lock = Arc::clone(&holding.write_lock);
    let gate = Arc::new(Gate::new(write_lock, move |_sent| {
        !checks_lease || lease.permits_sending(Instant::now())
    }));
    let called = timeout(CALL_TIMEOUT, async {
        let sent = holding
            .pool
            .send_with(&Options::single_use(), request, &gate)
            .await;
        let mut exchange = sent.map_err(|error| match error {
            Error::Connect(..) => Failure::Connect(error),
            Error::Send(..) => Failure::Call(error),
        })?;
        let body = exchange.response.body_mut();
        let content = Limited::new(body, LIST_BYTES_MAX).collect().await;
        let content = content.map_err(|error| Failure::Response(error.to_string()))?;
        let status = exchange.response.status();
        if status.is_success() {
            Ok(content.to_bytes())
        } else {
            Err(Failure::Response(format!("status {status}")))
        }
    });
    called.await.unwrap_or(Err(Failure::Timeout))
}
