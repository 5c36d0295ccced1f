//! Requests to an upstream, and their cancellation.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use primrosehoist::coordination::admission::{self, Finish};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{Error, Exchange, Gate, Options};
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use super::Task;
use super::holding::Holding;
use super::registration::Registration;

/// How long an unreachable engine keeps a broken stream running. The attempt stays counted as in
/// flight for that time.
const RESUME_GRACE: Duration = Duration::from_secs(10);

/// The timeout of one cancellation request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay between cancellation requests.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the gate of a request, which permits its first write only before the deadline and
/// every write only while the lease is valid.
pub(crate) fn gate(task: &Task, holding: &Holding) -> Arc<Gate> {
    let lease = Arc::clone(&task.lease);
    let write_lock = Arc::clone(&holding.write_lock);
    let deadline = task.deadline;
    if !task.checks_lease {
        return Arc::new(Gate::new(write_lock, |_sent| true));
    }
    Arc::new(Gate::new(write_lock, move |sent_before| {
        let now = Instant::now();
        // A request that was partly sent may continue after the upstream is released.
        if sent_before {
            lease.is_unexpired(now)
        } else {
            lease.permits_sending(now) && now < deadline
        }
    }))
}

/// Builds the request to the upstream.
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

/// Requests the rest of the stream from the engine, starting with event `from`.
pub(crate) async fn resume(task: &Task, holding: &Holding, from: u64) -> Result<Exchange, Error> {
    let content = json!({"id": task.dispatch.attempt, "from": from});
    let request = post(holding, &task.host, "/admin/resume", &content);
    let options = Options::single_use();
    holding
        .pool
        .send_with(&options, request, &gate(task, holding))
        .await
}

/// Cancels the attempt at the engine, and counts it as in flight until the engine confirms or
/// has dropped it by itself.
pub(crate) fn cancel(task: Arc<Task>, registration: Registration, finish: Finish) {
    end_attempt(task, registration, finish, "/admin/cancel");
}

/// Releases the reservation of the attempt, and counts it until the engine confirms.
pub(crate) fn release(task: Arc<Task>, registration: Registration) {
    end_attempt(task, registration, Finish::Cancelled, "/admin/kv/release");
}

fn end_attempt(task: Arc<Task>, registration: Registration, finish: Finish, path: &'static str) {
    tokio::spawn(async move {
        let end = Instant::now() + RESUME_GRACE;
        while Instant::now() < end {
            // Once the lease has expired, a later holder may have resumed the attempt.
            let expired = task.checks_lease && !task.lease.is_unexpired(Instant::now());
            if !expired && try_end_attempt(&task, registration.holding(), path).await {
                break;
            }
            sleep(CANCEL_RETRY_DELAY).await;
        }
        registration.finish(finish);
    });
}

/// Counts an attempt as in flight while its entry daemon may resume it, then cancels it unless
/// it was resumed.
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
    // Safe without a lease, since it ends only an attempt of this daemon.
    let gate = Arc::new(Gate::new(Arc::clone(&holding.write_lock), |_sent| true));
    let options = Options::single_use();
    let sent = timeout(
        CANCEL_TIMEOUT,
        holding.pool.send_with(&options, request, &gate),
    )
    .await;
    let Ok(Ok(exchange)) = sent else {
        return false;
    };
    exchange.response.status().is_success()
}

/// Builds a `POST` request to the admin interface of an engine.
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

/// Builds a `GET` request to the admin interface of an engine.
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
