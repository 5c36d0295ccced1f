//! Memory reservations at an upstream for a part of a prompt.
//!
//! A reservation lasts as long as the exchange that requested it. It is released when the entry
//! daemon ends the exchange or crashes, and by reconciliation if this process crashes.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::protocol::wire::{Dispatch, Reply};
use primrosehoist::state::queue::Item;
use primrosehoist::transport::http::upstream::Options;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use super::registration::Registration;
use super::responder::Responder;
use super::{Task, call, holding, prepare};
use crate::node::Node;

/// The timeout of a reservation request.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval of lease checks while a reservation is held.
const LEASE_POLL: Duration = Duration::from_millis(200);

/// Reserves the memory that `dispatch` requests until its entry daemon ends the exchange.
pub(crate) async fn serve(node: Arc<Node>, dispatch: Dispatch, mut responder: Responder) {
    let _running = node.progress.enter();
    let failure = match prepare(&node, dispatch) {
        Ok((task, item)) => run(&node, Arc::new(task), item, &mut responder).await,
        Err(failure) => failure,
    };
    // The entry daemon may have disconnected.
    let _sent = responder.send(Reply::Failed(failure)).await;
}

async fn run(node: &Node, task: Arc<Task>, item: Item, responder: &mut Responder) -> Failure {
    let since = Instant::now();
    // The memory of the answer is reserved at the upstream that generates it.
    let item = Item {
        answer_tokens: 0,
        ..item
    };
    let holding = node
        .holder
        .holding(&task.upstream, &task.lease, task.engine);
    let admitted = tokio::select! {
        admitted = holding::admit(&holding, item, &task.dispatch.attempt) => admitted,
        _ = responder.closed() => return cancelled(),
    };
    let registration = match admitted {
        Ok(registration) => registration,
        Err(failure) => return failure,
    };
    registration.mark_memory_only();
    let queued_ms = since.elapsed().as_millis() as u64;
    let failure = match reserve(&task, &registration).await {
        Ok(()) => hold_until_closed(&task, queued_ms, responder).await,
        Err(failure) => failure,
    };
    // A failed request may have reserved memory, too.
    call::release(task, registration);
    failure
}

async fn reserve(task: &Task, registration: &Registration) -> Result<(), Failure> {
    let holding = registration.holding();
    let content = json!({
        "id": task.dispatch.attempt,
        "tokens": task.dispatch.shard_tokens(),
    });
    let request = call::post(holding, &task.host, "/admin/kv/reserve", &content);
    let gate = call::gate(task, holding);
    let options = Options::single_use();
    let sent = timeout(
        CALL_TIMEOUT,
        holding.pool.send_with(&options, request, &gate),
    )
    .await;
    let unavailable = |message: &str| Failure::not_run(Reason::Unavailable, message);
    let exchange = match sent {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => return Err(unavailable(&error.to_string())),
        Err(_) => {
            return Err(unavailable(
                "the engine did not respond to a reservation in time",
            ));
        }
    };
    let status = exchange.response.status();
    match status.as_u16() {
        200 => Ok(()),
        507 => Err(Failure::not_run(
            Reason::Overloaded,
            "the engine has too little free memory for a part of the prompt",
        )),
        status => Err(unavailable(&format!(
            "the engine refused a reservation with status {status}"
        ))),
    }
}

/// Waits until the exchange or the lease ends; after the lease, the next holder may release the
/// reservation.
async fn hold_until_closed(task: &Task, queued_ms: u64, responder: &mut Responder) -> Failure {
    if responder.send(Reply::Admitted { queued_ms }).await.is_err() {
        return cancelled();
    }
    loop {
        tokio::select! {
            _ = responder.closed() => return cancelled(),
            () = sleep(LEASE_POLL) => {}
        }
        if task.checks_lease && !task.lease.is_unexpired(Instant::now()) {
            let message = "the holder of a part of the prompt lost its lease";
            return Failure::not_run(Reason::Unavailable, message);
        }
    }
}

fn cancelled() -> Failure {
    Failure::not_run(Reason::Cancelled, "the caller ended the request")
}
