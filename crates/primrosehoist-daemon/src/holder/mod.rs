//! The holder's side of a request: admission to the upstream and the relay of its response.

mod attempts;
mod call;
pub(crate) mod group;
mod holding;
pub(crate) mod reconcile;
mod registration;
mod relay;
mod responder;

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use http_body_util::BodyExt;
use primrosehoist::coordination::lease::Lease;
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::protocol::wire::{Dispatch, Reply, Standing};
use primrosehoist::state::fleet::{Fleet, Lifecycle, Upstream};
use primrosehoist::state::queue::Item;
use primrosehoist::transport::http::body::FixedLength;
use primrosehoist::transport::http::{BoxError, Payload};
use primrosehoist::transport::peer;
use tokio::time::Instant;

pub(crate) use self::holding::Holder;
pub(crate) use self::responder::Responder;

use self::registration::Registration;
use crate::node::Node;

/// A dispatch and the state needed to run it.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) dispatch: Dispatch,
    pub(crate) upstream: Upstream,
    pub(crate) engine: bool,
    pub(crate) lease: Arc<Lease>,
    /// Whether each write requires a valid lease.
    pub(crate) checks_lease: bool,
    pub(crate) host: String,
    pub(crate) deadline: Instant,
}

/// Runs a request that another daemon dispatched.
pub(crate) async fn serve_peer(
    node: Arc<Node>,
    dispatch: Dispatch,
    body: peer::Body,
    responder: peer::Responder,
) {
    let bytes = dispatch.body_bytes;
    let chunks = stream::unfold(body, |mut body| async {
        let chunk = body.chunk().await.transpose()?;
        Some((chunk.map_err(BoxError::from), body))
    });
    let payload = FixedLength::new(Box::pin(chunks), bytes).boxed_unsync();
    serve(node, dispatch, payload, Responder::Peer(responder)).await;
}

/// Runs a request on an upstream that this daemon holds, and replies through `responder`.
pub(crate) async fn serve(
    node: Arc<Node>,
    dispatch: Dispatch,
    body: Payload,
    mut responder: Responder,
) {
    let _running = node.progress.enter();
    let reply = match prepare(&node, dispatch) {
        Ok((task, item)) => Some(run(&node, task, item, body, &mut responder).await),
        Err(failure) => Some(Reply::Failed(failure)),
    };
    if let Some(reply) = reply {
        // The peer may have disconnected.
        let _sent = responder.send(reply).await;
    }
}

async fn run(
    node: &Node,
    task: Task,
    item: Item,
    body: Payload,
    responder: &mut Responder,
) -> Reply {
    let since = Instant::now();
    let holding = node
        .holder
        .holding(&task.upstream, &task.lease, task.engine);
    let attempt = task.dispatch.attempt.as_str();
    if task.dispatch.resume_from > 0 {
        // The stream runs already and is counted as foreign, so it must not be counted twice.
        let registration = holding::adopt(&holding, item, attempt);
        return relay_admitted(node, task, since, body, registration, responder).await;
    }
    let admitted = tokio::select! {
        admitted = holding::admit(&holding, item, attempt) => admitted,
        _ = responder.closed() => return Reply::Failed(Failure::not_run(Reason::Cancelled, "the caller ended the request")),
    };
    let registration = match admitted {
        Ok(registration) => registration,
        Err(failure) => return Reply::Failed(failure),
    };
    relay_admitted(node, task, since, body, registration, responder).await
}

/// Reports the admission to the entry daemon, then relays the response.
async fn relay_admitted(
    node: &Node,
    task: Task,
    since: Instant,
    body: Payload,
    registration: Registration,
    responder: &mut Responder,
) -> Reply {
    let queued = since.elapsed();
    node.metrics.queued(&task.upstream.service, queued);
    let queued_ms = queued.as_millis() as u64;
    if responder.send(Reply::Admitted { queued_ms }).await.is_err() {
        return Reply::Failed(Failure::not_run(
            Reason::Cancelled,
            "the caller ended the request",
        ));
    }
    relay::run(node, task, body, registration, responder).await
}

/// Checks that the request may run here.
///
/// # Errors
///
/// Returns why it may not; it did not run then.
fn prepare(node: &Node, dispatch: Dispatch) -> Result<(Task, Item), Failure> {
    if node.is_draining() && dispatch.resume_from == 0 {
        return Err(Failure::not_run(
            Reason::Draining,
            "the holder is shutting down",
        ));
    }
    let fleet = node.fleet.load();
    if dispatch.suspect {
        let fingerprint = &dispatch.fingerprint;
        node.poison
            .record_standing(fingerprint, Standing::Suspect, &fleet);
    }
    let upstream = find_upstream(node, &fleet, &dispatch)?;
    let lease = node.leases.load().get(&dispatch.upstream).cloned();
    let now = Instant::now();
    let checks_lease = node.mechanisms.lease_check;
    let lease = lease
        .filter(|lease| !checks_lease || lease.permits_sending(now))
        .ok_or_else(|| {
            Failure::not_run(
                Reason::Unavailable,
                "this daemon does not hold the upstream",
            )
        })?;
    let deadline = now + Duration::from_millis(dispatch.remaining_ms);
    let weight = fleet
        .workspaces
        .get(&dispatch.workspace)
        .map_or(1, |workspace| workspace.weight);
    let item = Item {
        ticket: node.holder.next_ticket(),
        workspace: dispatch.workspace.clone(),
        weight,
        half: dispatch.half.clone(),
        prompt_tokens: dispatch.shard_tokens(),
        answer_tokens: dispatch.answer_tokens,
        deadline,
        suspect: node.poison.is_suspect(&dispatch.fingerprint),
    };
    let engine = fleet.is_engine(&upstream);
    let host = node.host.to_string();
    let task = Task {
        dispatch,
        upstream,
        engine,
        lease,
        checks_lease,
        host,
        deadline,
    };
    Ok((task, item))
}

fn find_upstream(node: &Node, fleet: &Fleet, dispatch: &Dispatch) -> Result<Upstream, Failure> {
    let upstream = fleet
        .upstreams
        .get(&dispatch.upstream)
        .filter(|upstream| upstream.half == dispatch.half)
        .ok_or_else(|| {
            Failure::not_run(
                Reason::Unavailable,
                "the upstream does not belong to this half",
            )
        })?;
    // A running stream may continue on an upstream that accepts no new work.
    let resumes = dispatch.resume_from > 0;
    let leaving = upstream.state != Lifecycle::Live;
    let zone_out = fleet.zones_out.contains(&upstream.zone);
    if !resumes && (leaving || zone_out) {
        return Err(Failure::not_run(
            Reason::Unavailable,
            "the upstream accepts no new work",
        ));
    }
    if node.poison.is_quarantined(fleet, &dispatch.fingerprint) {
        return Err(Failure::not_run(
            Reason::Quarantined,
            "the request is quarantined",
        ));
    }
    Ok(upstream.clone())
}
