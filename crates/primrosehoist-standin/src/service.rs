//! A plain service that records every call it runs.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;
use tokio::time;

use crate::command::{self, Error};
use crate::listener;
use crate::reply::{self, Answer, Closed};

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Serves a plain service: any method and path is answered with a JSON object.

Usage: primrosehoist-standin service --listen ADDRESS [OPTIONS]

Options:
  --listen ADDRESS  address and port to listen on
  --delay-ms N      time from the arrival of a call to its run [default: 0]
  --log LEVEL       off, error, warn, info, debug or trace [default: warn]
  --help            prints this text
  --version         prints the version

GET /standin/counts lists all calls that ran. POST /standin/faults sets
{\"crash_after_run\":bool,\"refuse\":bool,\"slow_ms\":n}: crash_after_run closes the connection
without a response after a run, refuse responds 503 with the code not_run without running the
call, and slow_ms delays runs.
";

/// The maximum size of a request body, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    listen: SocketAddr,
    delay: Duration,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    crash_after_run: Option<bool>,
    refuse: Option<bool>,
    slow_ms: Option<u64>,
}

impl Faults {
    fn merge(&mut self, given: &Faults) {
        self.crash_after_run = given.crash_after_run.or(self.crash_after_run);
        self.refuse = given.refuse.or(self.refuse);
        self.slow_ms = given.slow_ms.or(self.slow_ms);
    }
}

#[derive(Debug, Clone, Serialize)]
struct Call {
    #[serde(rename = "call")]
    number: usize,
    request_id: Option<Arc<str>>,
    idempotency_key: Option<Arc<str>>,
    method: String,
    path: String,
    body_sha256: String,
    at_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    refused: u64,
    calls: Vec<Call>,
}

#[derive(Debug)]
struct Service {
    delay: Duration,
    state: Mutex<State>,
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Fails if an option is missing or invalid.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    Ok(Options {
        listen: command::listen(arguments)?,
        delay: Duration::from_millis(command::value(arguments, "--delay-ms", 0)?),
    })
}

/// Serves requests.
///
/// # Errors
///
/// Fails as [`listener::serve`] does.
pub(crate) async fn serve(options: Options) -> io::Result<()> {
    let service = Arc::new(Service {
        delay: options.delay,
        state: Mutex::new(State::default()),
    });
    let (_outages, receiver) = mpsc::unbounded_channel();
    let handler = move |request| handle(Arc::clone(&service), request);
    listener::serve(options.listen, handler, receiver).await
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    let content = match reply::read(body, BODY_LIMIT_BYTES).await {
        Ok(content) => content,
        Err(status) => return Ok(reply::error(status, "body", "the body was refused")),
    };
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/standin/counts") => Ok(service.counts()),
        (&Method::POST, "/standin/faults") => Ok(service.set_faults(&content)),
        _ => service.call(&parts, &content).await,
    }
}

impl Service {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> http::Response<reply::Payload> {
        let state = self.state();
        let counts = json!({
            "run": state.calls.len(),
            "refused": state.refused,
            "calls": &state.calls,
        });
        reply::json(StatusCode::OK, &counts)
    }

    fn set_faults(&self, content: &[u8]) -> http::Response<reply::Payload> {
        match serde_json::from_slice::<Faults>(content) {
            Ok(given) => {
                self.state().faults.merge(&given);
                reply::json(StatusCode::OK, &json!({"ok": true}))
            }
            Err(error) => reply::error(StatusCode::BAD_REQUEST, "bad_faults", &error.to_string()),
        }
    }

    async fn call(&self, parts: &http::request::Parts, content: &[u8]) -> Answer {
        let faults = self.state().faults.clone();
        if faults.refuse == Some(true) {
            self.state().refused += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(reply::error(status, "not_run", "the service refuses calls"));
        }
        let slow = Duration::from_millis(faults.slow_ms.unwrap_or(0));
        time::sleep(self.delay + slow).await;
        let call = self.run(parts, content);
        if faults.crash_after_run == Some(true) {
            return Err(Closed::Now);
        }
        let answer = json!({
            "ok": true,
            "call": call.number,
            "request_id": call.request_id,
            "body_sha256": call.body_sha256,
        });
        Ok(reply::json(StatusCode::OK, &answer))
    }

    fn run(&self, parts: &http::request::Parts, content: &[u8]) -> Call {
        let mut state = self.state();
        let call = Call {
            number: state.calls.len() + 1,
            request_id: reply::header(&parts.headers, "x-request-id"),
            idempotency_key: reply::header(&parts.headers, "idempotency-key"),
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            body_sha256: reply::hex(&Sha256::digest(content)),
            at_ms: reply::unix_ms(),
        };
        state.calls.push(call.clone());
        call
    }
}
