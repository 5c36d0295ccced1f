//! The admin API of the engine.

use std::sync::Arc;

use http::request::Parts;
use http::{Method, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::engine::chunk::Events;
use crate::engine::model::Model;
use crate::engine::owner::{Claim, Owner};
use crate::engine::tally::{Kind, Order, State};
use crate::engine::{Engine, api};
use crate::reply::{self, Payload, Refusal};

#[derive(Debug, Deserialize)]
struct Stream {
    id: String,
}

#[derive(Debug, Deserialize)]
struct Resume {
    id: String,
    from: u64,
}

#[derive(Debug, Deserialize)]
struct Priority {
    id: String,
    priority: u32,
}

#[derive(Debug, Deserialize)]
struct Reserve {
    id: Arc<str>,
    tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Import {
    id: Arc<str>,
    #[serde(rename = "handle")]
    _handle: String,
    tokens: u64,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Release {
    Reservation { id: String },
    Export { handle: String },
}

/// The body of `POST /admin/orders`.
#[derive(Debug, Deserialize)]
struct Given {
    kind: Kind,
    argument: String,
}

type Reply = Result<Response<Payload>, Refusal>;

/// Handles a request to an admin endpoint.
pub(crate) fn handle(
    engine: &Engine,
    parts: &Parts,
    endpoint: &str,
    content: &[u8],
) -> Response<Payload> {
    let result = match (&parts.method, endpoint) {
        (&Method::GET, "load") => Ok(reply::json(StatusCode::OK, &engine.reports().reported())),
        (&Method::GET, "running") => Ok(running(&engine.model())),
        (&Method::GET, "cache/events") => cache_events(engine, parts),
        (&Method::POST, "cancel") => cancel(engine, content),
        (&Method::POST, "resume") => resume(engine, content),
        (&Method::POST, "priority") => priority(engine, content),
        (&Method::POST, "kv/reserve") => reserve(engine, parts, content),
        (&Method::POST, "kv/export") => export(engine, parts, content),
        (&Method::POST, "kv/import") => import(engine, parts, content),
        (&Method::POST, "kv/release") => release(engine, content),
        (&Method::POST, "orders") => order(engine, parts, content),
        _ => Err(Refusal::new(
            StatusCode::NOT_FOUND,
            "no_path",
            "no such endpoint",
        )),
    };
    result.unwrap_or_else(|refusal| refusal.response())
}

fn parse<Content>(content: &[u8]) -> Result<Content, Refusal>
where
    Content: DeserializeOwned,
{
    serde_json::from_slice(content).map_err(|error| bad_request(&error.to_string()))
}

fn bad_request(message: &str) -> Refusal {
    Refusal::new(StatusCode::BAD_REQUEST, "bad_request", message)
}

fn unknown() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "unknown_id", "no stream has this id")
}

fn ok() -> Response<Payload> {
    reply::json(StatusCode::OK, &json!({"ok": true}))
}

fn running(model: &Model) -> Response<Payload> {
    let jobs = model.jobs.iter();
    let streams: Vec<Value> = jobs
        .map(|(id, job)| {
            json!({
                "id": &**id,
                "holder": &*job.owner.holder,
                "epoch": job.owner.epoch,
                "prompt_tokens": job.prompt_tokens,
                "tokens_out": job.record.progress().tokens,
                "connected": job.record.is_connected(),
            })
        })
        .collect();
    let reservations: Vec<&Claim> = model.reservations.values().collect();
    let exports: Vec<&Claim> = model.exports.values().collect();
    reply::json(
        StatusCode::OK,
        &json!({"streams": streams, "reservations": reservations, "exports": exports}),
    )
}

fn cache_events(engine: &Engine, parts: &Parts) -> Reply {
    let query = parts.uri.query().unwrap_or("");
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("since="));
    let since = value.map_or(Ok(0), str::parse::<u64>);
    let since = since.map_err(|error| bad_request(&format!("since: {error}")))?;
    let page = engine.model().cache.page(since, Instant::now());
    Ok(reply::json(StatusCode::OK, &page))
}

fn cancel(engine: &Engine, content: &[u8]) -> Reply {
    let stream: Stream = parse(content)?;
    engine.model().cancel(&stream.id, State::Cancelled);
    Ok(ok())
}

fn resume(engine: &Engine, content: &[u8]) -> Reply {
    let resume: Resume = parse(content)?;
    let model = engine.model();
    let record = Arc::clone(model.record(&resume.id).ok_or_else(unknown)?);
    let garbage = model.faults.garbage();
    drop(model);
    let events = Events::new(record, engine.settings.model_name(), resume.from, garbage);
    Ok(api::event_stream(events, &resume.id))
}

fn priority(engine: &Engine, content: &[u8]) -> Reply {
    let priority: Priority = parse(content)?;
    let mut model = engine.model();
    let job = model
        .jobs
        .get_mut(priority.id.as_str())
        .ok_or_else(unknown)?;
    job.priority = priority.priority;
    Ok(ok())
}

fn fence(model: &mut Model, owner: &Owner) -> Result<(), Refusal> {
    if model.fence(owner) {
        Ok(())
    } else {
        Err(api::stale())
    }
}

fn reserve(engine: &Engine, parts: &Parts, content: &[u8]) -> Reply {
    let reserve: Reserve = parse(content)?;
    claim(engine, parts, &reserve.id, reserve.tokens, 0)
}

fn import(engine: &Engine, parts: &Parts, content: &[u8]) -> Reply {
    let import: Import = parse(content)?;
    claim(engine, parts, &import.id, import.tokens, import.tokens)
}

/// Reserves memory under an id; a second claim with the same id replaces the first.
fn claim(engine: &Engine, parts: &Parts, id: &Arc<str>, tokens: u64, imported: u64) -> Reply {
    let owner = Owner::of(&parts.headers);
    let mut model = engine.model();
    fence(&mut model, &owner)?;
    let previous = model.reservations.get(id).map_or(0, |claim| claim.tokens);
    if !model.make_room(tokens.saturating_sub(previous), Instant::now()) {
        return Err(no_memory());
    }
    let claim = Claim {
        id: Arc::clone(id),
        owner,
        tokens,
        imported,
    };
    model.reservations.insert(Arc::clone(id), claim);
    Ok(ok())
}

fn no_memory() -> Refusal {
    Refusal::new(
        StatusCode::INSUFFICIENT_STORAGE,
        "no_memory",
        "the KV memory is short",
    )
}

fn export(engine: &Engine, parts: &Parts, content: &[u8]) -> Reply {
    let stream: Stream = parse(content)?;
    let owner = Owner::of(&parts.headers);
    let mut model = engine.model();
    fence(&mut model, &owner)?;
    let tokens = model.processed_tokens(&stream.id).ok_or_else(unknown)?;
    if !model.make_room(tokens, Instant::now()) {
        return Err(no_memory());
    }
    let handle: Arc<str> = Arc::from(format!("{}-{}", engine.settings.name, stream.id));
    let claim = Claim {
        id: Arc::clone(&handle),
        owner,
        tokens,
        imported: 0,
    };
    model.exports.insert(Arc::clone(&handle), claim);
    Ok(reply::json(
        StatusCode::OK,
        &json!({"handle": &*handle, "tokens": tokens}),
    ))
}

fn release(engine: &Engine, content: &[u8]) -> Reply {
    let mut model = engine.model();
    match parse(content)? {
        Release::Reservation { id } => drop(model.reservations.remove(id.as_str())),
        Release::Export { handle } => drop(model.exports.remove(handle.as_str())),
    }
    Ok(ok())
}

fn order(engine: &Engine, parts: &Parts, content: &[u8]) -> Reply {
    let command: Given = parse(content)?;
    let mut model = engine.model();
    let owner = Owner::of(&parts.headers);
    fence(&mut model, &owner)?;
    model.tally.orders.push(Order {
        kind: command.kind,
        argument: command.argument,
        owner,
    });
    Ok(ok())
}
