//! Relays the response of the upstream to the entry daemon.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use primrosehoist::coordination::admission::Finish;
use primrosehoist::protocol::openai::Rejection;
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::protocol::sse::{self, Parser, Sequence, Step};
use primrosehoist::protocol::wire::Reply;
use primrosehoist::state::limit;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{self, Exchange, Options};
use tokio::time::{sleep, timeout, timeout_at};

use super::registration::Registration;
use super::responder::{Closed, Responder};
use super::{Task, call};
use crate::node::Node;
use crate::poison;

/// The maximum size of a refusal that is parsed for whether the upstream ran anything, in bytes.
const REFUSAL_BYTES_MAX: usize = 64 * 1024;

/// The timeout for reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Resume attempts at the same engine before the failure is reported to the entry daemon.
const RESUME_ATTEMPTS_MAX: u32 = 3;

/// The delay before a stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Why a relay ended without a complete response.
#[derive(Debug)]
enum Stop {
    /// The upstream refused the request and ran nothing.
    Rejected(Failure),
    /// The request was not sent.
    Unsent(Failure),
    /// The connection to the upstream failed after bytes of the request were sent.
    Broken(Failure),
    /// The response of the upstream is invalid or does not belong to the request.
    Invalid(Failure),
    /// The time limit passed.
    Expired,
    /// The response can no longer be delivered.
    Closed(Closed),
}

/// Sends the request and relays the response; returns the last reply.
pub(crate) async fn run(
    node: &Node,
    task: Task,
    body: Payload,
    registration: Registration,
    responder: &mut Responder,
) -> Reply {
    let task = Arc::new(task);
    let relayed = if task.dispatch.resume_from > 0 {
        relay_stream(&task, None, &registration, responder).await
    } else {
        send_request(&task, body, &registration, responder).await
    };
    match relayed {
        Ok(()) => {
            node.poison.completed(&task.dispatch.fingerprint);
            registration.finish(Finish::Completed);
            Reply::End
        }
        Err(stop) => {
            report_crash(node, &task, &registration, &stop, responder).await;
            end_failed(&task, registration, stop)
        }
    }
}

/// Reports to the entry daemon if the upstream crashed while it ran the request.
async fn report_crash(
    node: &Node,
    task: &Task,
    registration: &Registration,
    stop: &Stop,
    responder: &mut Responder,
) {
    if !matches!(stop, Stop::Broken(_) | Stop::Invalid(_)) {
        return;
    }
    let fingerprint = &task.dispatch.fingerprint;
    let holding = registration.holding();
    let address = holding.pool.address();
    let verdict = poison::check_upstream(
        node,
        &holding.running,
        address,
        registration.ticket(),
        fingerprint,
    );
    if let Some(standing) = verdict.await {
        // A disconnected entry daemon is informed like all other daemons.
        let _sent = responder.send(Reply::Crashed(standing)).await;
    }
}

/// Ends a failed attempt, and cancels it at the upstream if it may still run there.
fn end_failed(task: &Arc<Task>, registration: Registration, stop: Stop) -> Reply {
    let (failure, finish, may_run) = match stop {
        Stop::Rejected(failure) => (failure, Finish::Failed(limit::Failure::Refused), false),
        Stop::Unsent(failure) => (failure, Finish::Failed(limit::Failure::Connect), false),
        Stop::Broken(failure) | Stop::Invalid(failure) => {
            (failure, Finish::Failed(limit::Failure::Broken), true)
        }
        Stop::Expired => (expired(), Finish::Failed(limit::Failure::Timeout), true),
        Stop::Closed(Closed::Disconnected) if task.engine => {
            call::abandon(Arc::clone(task), registration);
            return Reply::Failed(cancelled());
        }
        Stop::Closed(_) => (cancelled(), Finish::Cancelled, true),
    };
    // An engine may keep running after its connection closed; a plain service has no cancel call.
    if may_run && task.engine {
        call::cancel(Arc::clone(task), registration, finish);
    } else {
        registration.finish(finish);
    }
    Reply::Failed(failure)
}

async fn send_request(
    task: &Task,
    body: Payload,
    registration: &Registration,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let holding = registration.holding();
    let request = call::request(task, body).map_err(|_source| {
        Stop::Unsent(Failure::not_run(
            Reason::BadRequest,
            "the request has an invalid method, path or header",
        ))
    })?;
    let gate = call::gate(task, holding);
    registration.mark_running(&task.dispatch.fingerprint);
    // Refusals bear no id, nor does any answer of a plain service.
    let options = Options::single_use();
    let sent = holding.pool.send_with(&options, request, &gate);
    let sent = tokio::select! {
        sent = timeout_at(task.deadline, sent) => sent,
        closed = responder.closed() => return Err(Stop::Closed(closed)),
    };
    match sent {
        Ok(Ok(exchange)) => relay_response(task, exchange, registration, responder).await,
        Ok(Err(error)) if !gate.close() => Err(Stop::Unsent(unsent(&error))),
        Ok(Err(error)) => Err(Stop::Broken(Failure::upstream_failed(&error.to_string()))),
        Err(_) if !gate.close() => Err(Stop::Unsent(Failure::not_run(
            Reason::Timeout,
            "the request was not sent in time",
        ))),
        Err(_) => Err(Stop::Expired),
    }
}

async fn relay_response(
    task: &Task,
    exchange: Exchange,
    registration: &Registration,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let status = exchange.response.status().as_u16();
    if !(200..600).contains(&status) {
        let message = format!("the upstream responded with status {status}");
        return Err(Stop::Invalid(Failure::upstream_failed(&message)));
    }
    if matches!(status, 409 | 429 | 503) || (task.engine && status >= 500) {
        return relay_refusal(task, status, exchange, responder).await;
    }
    if task.dispatch.stream && status == 200 {
        return relay_stream(task, Some(exchange), registration, responder).await;
    }
    check_attempt(task, &exchange)?;
    relay_plain(task, exchange, registration, responder).await
}

/// Relays an event stream, and resumes it at the same engine when the connection breaks.
async fn relay_stream(
    task: &Task,
    exchange: Option<Exchange>,
    registration: &Registration,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let mut sequence = Sequence::new(&task.dispatch.attempt, task.dispatch.resume_from);
    let mut exchange = exchange;
    let mut resumes = 0;
    loop {
        let current = match exchange.take() {
            Some(current) => current,
            None => resume(task, registration, responder, sequence.next_index()).await?,
        };
        registration.mark_running(&task.dispatch.fingerprint);
        match relay_events(task, current, &mut sequence, registration, responder).await {
            Err(Stop::Broken(_)) if resumes < RESUME_ATTEMPTS_MAX => {
                resumes += 1;
                sleep(RESUME_DELAY).await;
            }
            ended => return ended,
        }
    }
}

async fn resume(
    task: &Task,
    registration: &Registration,
    responder: &mut Responder,
    from: u64,
) -> Result<Exchange, Stop> {
    let resumed = tokio::select! {
        resumed = timeout_at(task.deadline, call::resume(task, registration.holding(), from)) =>
            resumed,
        closed = responder.closed() => return Err(Stop::Closed(closed)),
    };
    let exchange = match resumed {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => return Err(Stop::Broken(Failure::upstream_failed(&error.to_string()))),
        Err(_) => return Err(Stop::Expired),
    };
    if exchange.response.status() != http::StatusCode::OK {
        return Err(Stop::Invalid(Failure::upstream_failed(
            "the engine cannot resume the stream",
        )));
    }
    Ok(exchange)
}

async fn relay_events(
    task: &Task,
    mut exchange: Exchange,
    sequence: &mut Sequence,
    registration: &Registration,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let mut parser = Parser::default();
    while let Some(data) = next_data(task, exchange.response.body_mut(), responder).await? {
        parser.push(&data);
        while let Some(event) = parser.next_event().map_err(|error| invalid(&error))? {
            let step = sequence.accept(event).map_err(|error| invalid(&error))?;
            relay_step(step, registration, responder).await?;
        }
    }
    if !sequence.is_done() {
        return Err(Stop::Broken(Failure::upstream_failed(
            "the stream ended before its last event",
        )));
    }
    if parser.is_partial() {
        return Err(Stop::Invalid(Failure::upstream_failed(
            "bytes follow the last event",
        )));
    }
    Ok(())
}

async fn relay_step(
    step: Step,
    registration: &Registration,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let Step::Part { index, data } = step else {
        return Ok(());
    };
    registration.record_part(index == 0);
    if index == 0 {
        let content_type = "text/event-stream".to_owned();
        let head = Reply::Head {
            status: 200,
            content_type,
        };
        responder.send(head).await.map_err(Stop::Closed)?;
    }
    let part = Reply::Part { index, data };
    responder.send(part).await.map_err(Stop::Closed)
}

/// Relays a response that is not an event stream.
async fn relay_plain(
    task: &Task,
    mut exchange: Exchange,
    registration: &Registration,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let head = Reply::Head {
        status: exchange.response.status().as_u16(),
        content_type: content_type(&exchange),
    };
    responder.send(head).await.map_err(Stop::Closed)?;
    registration.record_part(true);
    let mut index = 0;
    while let Some(data) = next_data(task, exchange.response.body_mut(), responder).await? {
        let part = Reply::Part { index, data };
        responder.send(part).await.map_err(Stop::Closed)?;
        index += 1;
    }
    Ok(())
}

/// Reads a refusal.
///
/// Without a recognized statement that nothing ran, it counts as a failure of an engine, and is
/// relayed as the response of a plain service.
async fn relay_refusal(
    task: &Task,
    status: u16,
    mut exchange: Exchange,
    responder: &mut Responder,
) -> Result<(), Stop> {
    let head = Reply::Head {
        status,
        content_type: content_type(&exchange),
    };
    let limited = Limited::new(exchange.response.body_mut(), REFUSAL_BYTES_MAX).collect();
    let Ok(Ok(body)) = timeout(REFUSAL_TIMEOUT, limited).await else {
        return Err(Stop::Broken(Failure::upstream_failed(
            "the refusal of the upstream was incomplete",
        )));
    };
    let body = body.to_bytes();
    if let Some(rejection) = Rejection::read(status, &body) {
        return Err(Stop::Rejected(rejected(rejection)));
    }
    if task.engine {
        let message = format!("the upstream responded with status {status}");
        return Err(Stop::Invalid(Failure::upstream_failed(&message)));
    }
    responder.send(head).await.map_err(Stop::Closed)?;
    let part = Reply::Part {
        index: 0,
        data: body,
    };
    responder.send(part).await.map_err(Stop::Closed)
}

async fn next_data(
    task: &Task,
    body: &mut Incoming,
    responder: &mut Responder,
) -> Result<Option<Bytes>, Stop> {
    loop {
        let frame = tokio::select! {
            frame = timeout_at(task.deadline, body.frame()) => frame,
            closed = responder.closed() => return Err(Stop::Closed(closed)),
        };
        match frame {
            Err(_) => return Err(Stop::Expired),
            Ok(None) => return Ok(None),
            Ok(Some(Err(_))) => {
                return Err(Stop::Broken(Failure::upstream_failed(
                    "the response was truncated",
                )));
            }
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Checks that the response of an engine carries the id of the attempt.
fn check_attempt(task: &Task, exchange: &Exchange) -> Result<(), Stop> {
    let id = exchange.response.headers().get("x-request-id");
    let matches = id.is_some_and(|id| id.as_bytes() == task.dispatch.attempt.as_bytes());
    if task.engine && !matches {
        return Err(Stop::Invalid(Failure::upstream_failed(
            "the response belongs to another attempt",
        )));
    }
    Ok(())
}

fn content_type(exchange: &Exchange) -> String {
    let value = exchange.response.headers().get(http::header::CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}

fn rejected(rejection: Rejection) -> Failure {
    match rejection {
        Rejection::Stale => {
            Failure::not_run(Reason::Unavailable, "the upstream has another holder")
        }
        Rejection::Full => Failure::not_run(Reason::Overloaded, "the upstream refused the request"),
    }
}

fn unsent(error: &upstream::Error) -> Failure {
    Failure::not_run(Reason::Unavailable, &error.to_string())
}

fn invalid(error: &sse::Error) -> Stop {
    Stop::Invalid(Failure::upstream_failed(&error.to_string()))
}

fn expired() -> Failure {
    Failure {
        reason: Reason::Timeout,
        ..Failure::upstream_failed("the time limit of the request passed")
    }
}

fn cancelled() -> Failure {
    Failure {
        reason: Reason::Cancelled,
        ..Failure::upstream_failed("the caller ended the request")
    }
}
