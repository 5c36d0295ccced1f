//! Requests to an upstream, and their cancellation.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use primrosehoist::coordination::admission::{self, Finish};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{Error, Exchange, Gate};
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use super::Task;
use super::holding::Holding;
use super::registration::Registration;

/// For how long a broken stream keeps running at an engine that cannot be reached.
const RESUME_GRACE: Duration = Duration::from_secs(10);

/// The longest time for one try to cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time between two tries to cancel.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);

/// Returns the gate of a request: open while the lease holds, for a start within the time limit.
pub(crate) fn gate(task: &Task, holding: &Holding) -> Arc<Gate> {
    let lease = Arc::clone(&task.lease);
    let write_lock = Arc::clone(&holding.write_lock);
    let deadline = task.deadline;
    if !task.checks_lease {
        return Arc::new(Gate::new(write_lock, |_begun| true));
    }
    Arc::new(Gate::new(write_lock, move |begun| {
        let now = Instant::now();
        // A holding that is given back lets what was begun go on.
        if begun {
            lease.is_unexpired(now)
        } else {
            lease.permits_sending(now) && now < deadline
        }
    }))
}

/// Returns the request as the upstream gets it.
pub(crate) fn request(task: &Task, body: Payload) -> Result<Request<Payload>, http::Error> {
    let dispatch = &task.dispatch;
    let request = Request::builder()
        .method(dispatch.method.as_str())
        .uri(dispatch.path.as_str())
        .header("host", task.upstream.address.to_string())
        .header("content-type", dispatch.content_type.as_str())
        .header("x-request-id", dispatch.attempt.as_str())
        .header(
            "x-priority",
            u16::from(admission::priority(dispatch.prompt_tokens)),
        )
        .header("x-fencing-epoch", task.lease.epoch())
        .header("x-holder", task.host.as_str());
    let request = match dispatch.shard {
        Some(shard) => request.header("x-shard", format!("{}/{}", shard.index, shard.count)),
        None => request,
    };
    request.body(body)
}

/// Asks the engine for the rest of the stream from event `from` on.
pub(crate) async fn resume(task: &Task, holding: &Holding, from: u64) -> Result<Exchange, Error> {
    let content = json!({"id": task.dispatch.attempt, "from": from});
    let request = post(holding, &task.host, "/admin/resume", &content);
    holding.pool.send(request, &gate(task, holding)).await
}

/// Cancels the attempt at the engine, and counts it as in flight until that is done or the
/// engine has dropped it by itself.
pub(crate) fn cancel(task: Arc<Task>, registration: Registration, finish: Finish) {
    end_attempt(task, registration, finish, "/admin/cancel");
}

/// Releases the reservation of the attempt, and counts it until that is done.
pub(crate) fn release(task: Arc<Task>, registration: Registration) {
    end_attempt(task, registration, Finish::Cancelled, "/admin/kv/release");
}

fn end_attempt(task: Arc<Task>, registration: Registration, finish: Finish, path: &'static str) {
    tokio::spawn(async move {
        let end = Instant::now() + RESUME_GRACE;
        while Instant::now() < end {
            // A later holder may have resumed the attempt once the lease has lapsed.
            let lapsed = task.checks_lease && !task.lease.is_unexpired(Instant::now());
            if !lapsed && try_end_attempt(&task, registration.holding(), path).await {
                break;
            }
            sleep(CANCEL_PAUSE).await;
        }
        registration.finish(finish);
    });
}

/// Counts an attempt as in flight for as long as its entry daemon may come back for it, then
/// cancels it unless that has happened.
pub(crate) fn abandon(task: Arc<Task>, registration: Registration) {
    tokio::spawn(async move {
        sleep(RESUME_GRACE).await;
        if registration.is_resumed() {
            registration.finish(Finish::Cancelled);
        } else {
            cancel(task, registration, Finish::Cancelled);
        }
    });
}

async fn try_end_attempt(task: &Task, holding: &Holding, path: &str) -> bool {
    let content = json!({"id": task.dispatch.attempt});
    let request = post(holding, &task.host, path, &content);
    // Cancelling is safe without a lease: it names an attempt of this daemon.
    let gate = Arc::new(Gate::new(Arc::clone(&holding.write_lock), |_begun| true));
    let sent = timeout(CANCEL_TIMEOUT, holding.pool.send(request, &gate)).await;
    let Ok(Ok(mut exchange)) = sent else {
        return false;
    };
    let cancelled = exchange.response.status().is_success();
    if exchange.response.body_mut().collect().await.is_ok() {
        holding.pool.give_back(exchange);
    }
    cancelled
}

/// Returns an order to an engine.
pub(crate) fn post(
    holding: &Holding,
    host: &str,
    path: &str,
    content: &serde_json::Value,
) -> Request<Payload> {
    let mut request = get(holding, host, path);
    *request.method_mut() = http::Method::POST;
    let body = Full::new(Bytes::from(content.to_string()));
    *request.body_mut() = body.map_err(|never| match never {}).boxed_unsync();
    let json = http::HeaderValue::from_static("application/json");
    request.headers_mut().insert("content-type", json);
    request
}

/// Returns a question to an engine.
pub(crate) fn get(holding: &Holding, host: &str, path: &str) -> Request<Payload> {
    let body = Full::new(Bytes::new());
    let mut request = Request::new(body.map_err(|never| match never {}).boxed_unsync());
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    let mut set = |key: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(key, value);
        }
    };
    set("host", holding.pool.address().to_string());
    set("x-fencing-epoch", holding.epoch.to_string());
    set("x-holder", host.to_owned());
    request
}
