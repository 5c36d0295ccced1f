//! Fault injection and counters of the engine.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use strum::EnumString;
use tokio::time::{self, Instant};

use crate::engine::Engine;
use crate::reply::{self, Payload};

/// The delay between the response to a crash request and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// How a response is corrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Garbage {
    /// All events but the first contain invalid JSON.
    Malformed,
    /// The connection closes in the middle of the second event.
    Half,
    /// The response is followed by a copy of itself under another id.
    Double,
}

/// The active faults.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    refuse: bool,
    garbage: Option<Garbage>,
}

impl Faults {
    /// Returns whether requests are refused.
    pub(crate) fn refuses(&self) -> bool {
        self.refuse
    }

    /// Returns how responses are corrupted.
    pub(crate) fn garbage(&self) -> Option<Garbage> {
        self.garbage
    }
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Mode {
    Switch(bool),
    Name(String),
}

impl Mode {
    fn garbage(&self) -> Result<Option<Garbage>, String> {
        match self {
            Mode::Switch(false) => Ok(None),
            Mode::Switch(true) => Ok(Some(Garbage::Malformed)),
            Mode::Name(name) => {
                let parsed = name.parse::<Garbage>();
                parsed
                    .map(Some)
                    .map_err(|error| format!("garbage {name:?}: {error}"))
            }
        }
    }
}

/// The body of `POST /standin/faults`; absent keys change nothing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Orders {
    cold: Option<bool>,
    crash: Option<bool>,
    freeze_ms: Option<u64>,
    garbage: Option<Mode>,
    refuse: Option<bool>,
}

/// Applies the faults in a request body.
pub(crate) fn set(engine: &Arc<Engine>, content: &[u8]) -> Response<Payload> {
    match serde_json::from_slice(content).map_err(|error| error.to_string()) {
        Ok(update) => match apply(engine, &update) {
            Ok(()) => reply::json(StatusCode::OK, &json!({"ok": true})),
            Err(reason) => reply::error(StatusCode::BAD_REQUEST, "bad_faults", &reason),
        },
        Err(reason) => reply::error(StatusCode::BAD_REQUEST, "bad_faults", &reason),
    }
}

fn apply(engine: &Arc<Engine>, update: &Orders) -> Result<(), String> {
    let garbage = update.garbage.as_ref().map(Mode::garbage).transpose()?;
    let mut model = engine.model();
    if let Some(garbage) = garbage {
        model.faults.garbage = garbage;
    }
    if let Some(refuse) = update.refuse {
        model.faults.refuse = refuse;
    }
    if let Some(freeze_ms) = update.freeze_ms {
        let until = Instant::now() + Duration::from_millis(freeze_ms);
        engine.frozen_until.send_replace(until);
    }
    if update.cold == Some(true) {
        model.completions = 0;
    }
    drop(model);
    if update.crash == Some(true) {
        tokio::spawn(crash_soon(Arc::clone(engine)));
    }
    Ok(())
}

async fn crash_soon(engine: Arc<Engine>) {
    time::sleep(CRASH_DELAY).await;
    engine.crash();
}

/// Returns the counters.
pub(crate) fn counts(engine: &Engine) -> Response<Payload> {
    let model = engine.model();
    let last_received = model
        .last_received
        .map(|at| at.elapsed().as_millis() as u64);
    let mut counts = json!(&model.tally);
    counts["name"] = json!(&engine.settings.name);
    counts["running"] = json!(model.in_flight());
    counts["borne"] = json!(engine.settings.concurrency_limit(model.completions));
    counts["kv_owned_tokens"] = json!(model.owned_tokens());
    counts["kv_orphan_tokens"] = json!(model.orphan_tokens());
    counts["last_received_ms_ago"] = json!(last_received);
    reply::json(StatusCode::OK, &counts)
}
