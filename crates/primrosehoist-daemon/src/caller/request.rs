//! Converts the request of a caller into a job.

use std::time::Duration;

use http::{HeaderMap, Request};
use hyper::body::Incoming;
use primrosehoist::protocol::openai;
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::fleet::{Fleet, Kind, Service, Workspace};
use primrosehoist::state::name;
use primrosehoist::transport::http::body::{self, Buffered};
use primrosehoist::transport::http::server::Receipt;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use super::index::Index;
use super::route::Route;
use crate::dispatch::Job;
use crate::node::Node;

/// Bodies of at least this many bytes are parsed with `block_in_place`, so that other connections
/// are not delayed.
const BLOCKING_BYTES_MIN: usize = 256 * 1024;

/// The longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 255;

/// The delay after which a caller may retry when no memory is left for a body, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// The context of a request and its caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call<'a> {
    pub(crate) id: &'a str,
    pub(crate) received: Instant,
    pub(crate) workspace: &'a Workspace,
    pub(crate) fleet: &'a Fleet,
    pub(crate) index: &'a Index,
}

/// The properties of a request that are derived from its route and body.
#[derive(Debug)]
struct Content {
    service: name::Service,
    path: String,
    stream: bool,
    prompt_tokens: u64,
    answer_tokens: u64,
    fingerprint: String,
}

/// Reads the body of a request and returns the job.
///
/// # Errors
///
/// Fails if the request is malformed, too large or quarantined, or names a model or service that
/// the workspace does not have.
pub(crate) async fn read(
    node: &Node,
    limits: &body::Limits,
    call: Call<'_>,
    route: &Route,
    request: Request<Incoming>,
) -> Result<Job, Failure> {
    let (head, incoming) = request.into_parts();
    let body = Buffered::collect(incoming, limits, &node.entry.bodies)
        .await
        .map_err(|error| body_failure(&error))?;
    if let Some(receipt) = head.extensions.get::<Receipt>() {
        receipt.complete();
    }
    let content = if body.bytes().len() >= BLOCKING_BYTES_MIN {
        tokio::task::block_in_place(|| parse(call, route, &body))?
    } else {
        parse(call, route, &body)?
    };
    if node.poison.is_quarantined(call.fleet, &content.fingerprint) {
        return Err(Failure::not_run(
            Reason::Quarantined,
            "the request is quarantined",
        ));
    }
    let service = find_service(call, &content.service, route)?;
    let timeout = request_timeout(&head.headers, service)?;
    let key = idempotency_key(&head.headers)?;
    Ok(Job {
        received: call.received,
        id: call.id.to_owned(),
        workspace: call.workspace.name.clone(),
        half: call.workspace.half.clone(),
        service: service.name.clone(),
        retry_percent: service.retry_percent,
        method: head.method.to_string(),
        path: content.path,
        content_type: content_type(&head.headers),
        stream: content.stream,
        body,
        prompt_tokens: content.prompt_tokens,
        answer_tokens: content.answer_tokens,
        repeatable: service.repeatable && key.is_none(),
        key,
        fingerprint: content.fingerprint,
        deadline: call.received + timeout,
    })
}

fn parse(call: Call<'_>, route: &Route, body: &Buffered) -> Result<Content, Failure> {
    let bytes = body.bytes();
    match route {
        Route::Completion(path) => {
            let prompt = openai::Request::try_from(bytes.as_ref())
                .map_err(|error| Failure::not_run(Reason::BadRequest, &error.to_string()))?;
            let service = call
                .index
                .service(&call.workspace.half, &prompt.model)
                .ok_or_else(|| Failure::not_run(Reason::NotFound, "no such model"))?;
            Ok(Content {
                service: service.clone(),
                path: path.clone(),
                stream: prompt.stream,
                prompt_tokens: openai::prompt_tokens(bytes.len() as u64),
                answer_tokens: prompt.max_tokens,
                fingerprint: fingerprint(service, path, bytes),
            })
        }
        Route::Service(service, path) => Ok(Content {
            service: service.clone(),
            path: path.clone(),
            stream: false,
            prompt_tokens: 0,
            answer_tokens: 0,
            fingerprint: fingerprint(service, path, bytes),
        }),
        Route::Models => Err(Failure::not_run(Reason::NotFound, "no such path")),
    }
}

fn find_service<'a>(
    call: Call<'a>,
    name: &name::Service,
    route: &Route,
) -> Result<&'a Service, Failure> {
    let plain = matches!(route, Route::Service(..));
    call.fleet
        .services
        .get(name)
        .filter(|service| service.half == call.workspace.half)
        .filter(|service| (service.kind == Kind::Plain) == plain)
        .ok_or_else(|| Failure::not_run(Reason::NotFound, "no such service"))
}

fn request_timeout(headers: &HeaderMap, service: &Service) -> Result<Duration, Failure> {
    let service_timeout = Duration::from_millis(service.timeout_ms);
    let Some(value) = headers.get("x-timeout-ms") else {
        return Ok(service_timeout);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.ok_or_else(|| {
        Failure::not_run(Reason::BadRequest, "X-Timeout-Ms is not a number of ms")
    })?;
    Ok(Duration::from_millis(millis).min(service_timeout))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > KEY_BYTES_MAX {
        let message = "Idempotency-Key is not a text of 1 to 255 visible characters";
        return Err(Failure::not_run(Reason::BadRequest, message));
    }
    Ok(Some(text.to_owned()))
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(http::header::CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}

fn fingerprint(service: &name::Service, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    digest.update(service.as_str());
    digest.update([0]);
    digest.update(path);
    digest.update([0]);
    digest.update(body);
    hex::encode(digest.finalize())
}

fn body_failure(error: &body::Error) -> Failure {
    let reason = match error {
        body::Error::TooLarge(_) => Reason::TooLarge,
        body::Error::BudgetExhausted => Reason::Overloaded,
        body::Error::Timeout => Reason::Timeout,
        body::Error::Broken => Reason::BadRequest,
    };
    Failure {
        retry_after_ms: (reason == Reason::Overloaded).then_some(RETRY_AFTER_MS),
        ..Failure::not_run(reason, &error.to_string())
    }
}
