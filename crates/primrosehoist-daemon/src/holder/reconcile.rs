//! The regular comparison of each held engine's list with the attempts of this process.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Limited};
use primrosehoist::coordination::admission::Foreign;
use primrosehoist::coordination::backoff;
use primrosehoist::coordination::reconcile::{self, Abandoned, Knowledge, Listing, Thing};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{Error, Gate};
use quick_error::quick_error;
use serde_json::json;
use tokio::time::{Instant, interval, timeout};

use super::call;
use super::holding::Holding;
use crate::node::Node;

/// The time between two looks for comparisons that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two comparisons while something foreign is at the engine.
const FOREIGN_INTERVAL: Duration = Duration::from_secs(2);

/// The time between two comparisons otherwise.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);

/// The time after a failed comparison.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest list that is read, in bytes.
const LIST_BYTES_MAX: usize = 8 << 20;

/// What is kept between the comparisons of one engine.
#[derive(Debug, Default)]
pub(crate) struct Reconciliation {
    abandoned: Abandoned,
    due: Option<Instant>,
    /// Whether a comparison is under way.
    running: bool,
}

quick_error! {
    /// Says why an engine was not asked or did not answer as it should.
    #[derive(Debug)]
    enum Failure {
        /// No connection was made, so no process runs there.
        Connect(source: Error) {
            display("{}", source)
            source(source)
        }
        /// The call failed after the connection was made.
        Call(source: Error) {
            display("{}", source)
            source(source)
        }
        /// The answer took too long.
        Timeout {
            display("no answer within {:?}", CALL_TIMEOUT)
        }
        /// The answer is not what was asked for.
        Response(reason: String) {
            display("{}", reason)
        }
    }
}

/// Compares whenever it is due, for as long as the daemon runs.
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
            if holding.begin_comparison(now) {
                tokio::spawn(compare(Arc::clone(&node), holding));
            }
        }
    }
}

impl Holding {
    /// Returns whether a comparison is due, and marks it as under way.
    fn begin_comparison(&self, now: Instant) -> bool {
        let mut reconciliation = self.reconciliation();
        let due = !reconciliation.running && reconciliation.due.is_none_or(|due| due <= now);
        reconciliation.running |= due;
        due
    }

    fn end_comparison(&self, pause: Duration) {
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
    // What is in charge before or after the list was made is not foreign.
    let before = holding.all_attempts();
    let pause = match list(&node, &holding).await {
        Ok(listing) => {
            let is_own = |id: &str| before.contains(id) || holding.registrations_of(id) > 0;
            settle(&node, &holding, &listing, &is_own).await
        }
        Err(failure) => {
            log::debug!(upstream = holding.pool.address().to_string().as_str(); "list of an engine: {failure}");
            // An engine that refuses connections or keeps no list has nothing to be counted.
            if matches!(failure, Failure::Connect(_) | Failure::Response(_)) {
                holding.update(|scheduler| scheduler.set_foreign(Foreign::default()));
            }
            RETRY_INTERVAL
        }
    };
    holding.end_comparison(pause);
}

/// Counts what is foreign and ends what is abandoned; returns the time until the next comparison.
async fn settle(
    node: &Node,
    holding: &Arc<Holding>,
    listing: &Listing,
    is_own: &(dyn Fn(&str) -> bool + Sync),
) -> Duration {
    let settled = holding.is_settled();
    let plan = {
        let view = node.view.load();
        let is_alive = |host: &str| view.daemons.keys().any(|known| known.as_str() == host);
        let knowledge = Knowledge {
            epoch: holding.epoch,
            is_own,
            may_act: &|host| !settled && host != node.host.as_str() && is_alive(host),
            now: Instant::now(),
        };
        let abandoned = holding.reconciliation().abandoned.clone();
        reconcile::plan(listing, &knowledge, &abandoned)
    };
    holding.update(|scheduler| scheduler.set_foreign(plan.foreign));
    let found = plan.finds_foreign();
    holding.reconciliation().abandoned = plan.abandoned;
    let mut ended = true;
    for thing in &plan.end {
        ended &= end(node, holding, thing).await;
    }
    match (found, ended) {
        (true, true) if !plan.end.is_empty() => RETRY_INTERVAL,
        (true, _) => FOREIGN_INTERVAL,
        (false, _) => IDLE_INTERVAL,
    }
}

/// Ends one thing; the next list shows it again if that fails.
async fn end(node: &Node, holding: &Arc<Holding>, thing: &Thing) -> bool {
    let (path, content) = match thing {
        Thing::Stream(id) => ("/admin/cancel", json!({"id": id})),
        Thing::Reservation(id) => ("/admin/kv/release", json!({"id": id})),
        Thing::Export(handle) => ("/admin/kv/release", json!({"handle": handle})),
    };
    let request = call::post(holding, node.host.as_str(), path, &content);
    match send(node, holding, request).await {
        Ok(_) => {
            let upstream = holding.pool.address().to_string();
            log::info!(upstream = upstream.as_str(), epoch = holding.epoch; "ended what nobody owns: {thing:?}");
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
    let answer = send(node, holding, request).await?;
    serde_json::from_slice(&answer).map_err(|error| Failure::Response(error.to_string()))
}

/// Calls the engine for as long as the lease holds.
async fn send(
    node: &Node,
    holding: &Arc<Holding>,
    request: Request<Payload>,
) -> Result<bytes::Bytes, Failure> {
    let lease = Arc::clone(&holding.lease);
    let checks = node.mechanisms.lease_check;
    let write_lock = Arc::clone(&holding.write_lock);
    let gate = Arc::new(Gate::new(write_lock, move |_begun| {
        !checks || lease.permits_sending(Instant::now())
    }));
    let called = timeout(CALL_TIMEOUT, async {
        let sent = holding.pool.send(request, &gate).await;
        let mut exchange = sent.map_err(|error| match error {
            Error::Connect(..) => Failure::Connect(error),
            Error::Send(..) => Failure::Call(error),
        })?;
        let body = exchange.response.body_mut();
        let content = Limited::new(body, LIST_BYTES_MAX).collect().await;
        let content = content.map_err(|error| Failure::Response(error.to_string()))?;
        let status = exchange.response.status();
        holding.pool.give_back(exchange);
        if status.is_success() {
            Ok(content.to_bytes())
        } else {
            Err(Failure::Response(format!("status {status}")))
        }
    });
    called.await.unwrap_or(Err(Failure::Timeout))
}
