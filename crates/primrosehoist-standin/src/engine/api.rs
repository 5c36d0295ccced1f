//! The HTTP API of the engine.

use std::future;
use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use crate::engine::chunk::{self, Events};
use crate::engine::control::Garbage;
use crate::engine::model::{Arrival, Refusal};
use crate::engine::owner::Owner;
use crate::engine::prompt::{Dialect, Prompt};
use crate::engine::record::Record;
use crate::engine::{Engine, admin, cache, control};
use crate::reply::{self, Answer, Payload};

/// The maximum size of a request body, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The priority of requests without `X-Priority`.
const PRIORITY_DEFAULT: u32 = 1;

/// Handles one request.
pub(crate) async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let is_control = path.starts_with("/standin/");
    if !is_control {
        engine.wait_while_frozen().await;
    }
    let content = match reply::read(body, BODY_LIMIT_BYTES).await {
        Ok(content) => content,
        Err(status) => return Ok(reply::error(status, "body", "the body was refused")),
    };
    if engine.model().is_down(Instant::now()) {
        // Never respond: the listener closes itself before this connection, so that a client that
        // sees the connection close finds the engine down.
        return future::pending().await;
    }
    if let Some(endpoint) = path.strip_prefix("/admin/") {
        return Ok(admin::handle(&engine, &parts, endpoint, &content));
    }
    match (&parts.method, path) {
        (&Method::POST, "/v1/completions") => {
            complete(&engine, &parts, Dialect::Completion, content).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            complete(&engine, &parts, Dialect::Chat, content).await
        }
        (&Method::GET, "/v1/models") => Ok(models(&engine)),
        (&Method::GET, "/health") => Ok(reply::json(StatusCode::OK, &json!({"ok": true}))),
        (&Method::GET, "/standin/counts") => Ok(control::counts(&engine)),
        (&Method::POST, "/standin/faults") => Ok(control::set(&engine, &content)),
        _ => Ok(reply::error(
            StatusCode::NOT_FOUND,
            "no_path",
            "no such path",
        )),
    }
}

fn models(engine: &Engine) -> Response<Payload> {
    let model = json!({
        "id": engine.settings.model_name(),
        "object": "model",
        "created": 0,
        "owned_by": "stand-in",
    });
    reply::json(StatusCode::OK, &json!({"object": "list", "data": [model]}))
}

async fn complete(engine: &Engine, parts: &Parts, dialect: Dialect, content: Bytes) -> Answer {
    let arrival = match arrival(engine, parts, dialect, &content) {
        Ok(arrival) => arrival,
        Err(reason) => {
            return Ok(reply::error(
                StatusCode::BAD_REQUEST,
                "bad_request",
                &reason,
            ));
        }
    };
    drop(content);
    let id = Arc::clone(&arrival.id);
    let stream = arrival.prompt.stream;
    let garbage = engine.model().faults.garbage();
    let received = engine.model().receive(arrival, Instant::now());
    let record = match received {
        Ok(record) => record,
        Err(Refusal::Overload) => {
            engine.close();
            return future::pending().await;
        }
        Err(Refusal::Down) => return future::pending().await,
        Err(refusal) => return Ok(refusal_reply(refusal).response()),
    };
    engine.work.notify_one();
    if stream {
        let events = Events::new(record, engine.settings.model_name(), 0, garbage);
        return Ok(event_stream(events, &id));
    }
    whole(engine, record, garbage).await
}

fn arrival(
    engine: &Engine,
    parts: &Parts,
    dialect: Dialect,
    content: &[u8],
) -> Result<Arrival, String> {
    let prompt = Prompt::parse(dialect, content)?;
    if !engine.settings.serves(&prompt.model) {
        return Err(format!("the model {:?} is not served", prompt.model));
    }
    let headers = &parts.headers;
    let priority = reply::header(headers, "x-priority");
    let shard = reply::header(headers, "x-shard");
    let shards = shard.as_deref().map_or(Ok(1), shards)?;
    let prefixes = if shards == 1 {
        cache::prefixes(content)
    } else {
        Vec::new()
    };
    let id = reply::header(headers, "x-request-id");
    Ok(Arrival {
        id: id.unwrap_or_else(|| generated_id(engine)),
        owner: Owner::of(headers),
        priority: priority
            .and_then(|text| text.parse().ok())
            .unwrap_or(PRIORITY_DEFAULT),
        prompt_tokens: prompt.tokens.div_ceil(shards),
        prompt,
        prefixes,
    })
}

/// Returns the shard count `n` of an `X-Shard: i/n` header.
fn shards(header: &str) -> Result<u64, String> {
    let parsed = header.split_once('/').and_then(|(index, count)| {
        let index: u64 = index.parse().ok()?;
        let count: u64 = count.parse().ok()?;
        (index < count).then_some(count)
    });
    parsed.ok_or_else(|| format!("X-Shard {header:?} is not i/n with i below n"))
}

fn generated_id(engine: &Engine) -> Arc<str> {
    let mut model = engine.model();
    model.arrivals += 1;
    Arc::from(format!("unnamed-{}-{}", model.generation, model.arrivals))
}

fn refusal_reply(refusal: Refusal) -> reply::Refusal {
    let (status, code, message) = match refusal {
        Refusal::Stale => return stale(),
        Refusal::Duplicate => (StatusCode::CONFLICT, "duplicate_id", "this id is in use"),
        Refusal::TooLong => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_long",
            "the prompt does not fit into the memory",
        ),
        Refusal::Refuse | Refusal::Down | Refusal::Overload => (
            StatusCode::SERVICE_UNAVAILABLE,
            "not_run",
            "the engine refuses requests",
        ),
    };
    reply::Refusal::new(status, code, message)
}

/// Returns the refusal of a stale fencing epoch.
pub(crate) fn stale() -> reply::Refusal {
    let message = "a newer epoch has been seen";
    reply::Refusal::new(StatusCode::CONFLICT, "stale_epoch", message)
}

/// Returns a streamed response.
pub(crate) fn event_stream(events: Events, id: &str) -> Response<Payload> {
    let content = reply::pieces(events.pieces());
    let mut response = reply::response(StatusCode::OK, "text/event-stream", content);
    set_request_id(&mut response, id);
    response
}

async fn whole(engine: &Engine, record: Arc<Record>, garbage: Option<Garbage>) -> Answer {
    let id = Arc::clone(&record.id);
    let answer = chunk::whole(record, engine.settings.model_name()).await?;
    let text = answer.to_string();
    let content = match garbage {
        None => text,
        Some(Garbage::Malformed) => text.replace(':', ";"),
        Some(Garbage::Half) => text[..text.len() / 2].to_owned(),
        Some(Garbage::Double) => text.repeat(2),
    };
    let content = reply::whole(content);
    let mut response = reply::response(StatusCode::OK, "application/json", content);
    set_request_id(&mut response, &id);
    Ok(response)
}

fn set_request_id(response: &mut Response<Payload>, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
}
