//! The cases, and what they share.

pub mod list;
pub mod restored;
pub mod shutdown;
pub mod silence;
pub mod tainted;

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Ended};
use crate::record::Record;

/// The zone of all processes.
pub const ZONE: &str = "zone-a";

/// The key of the only tenant.
pub const KEY: &str = "key-of-rope-floor";

/// The host of all routes.
pub const HOST: &str = "llm.example";

/// Returns a route to the service `service`.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"SloMs\":3000,\"Priority\":1,\"Service\":\"{service}\",\
         \"MaxAttempts\":2,\"Public\":false,\"Resumable\":{},\"GapAimMs\":800}}",
        kind == "streaming"
    )
}

/// Returns a desired state with the model service and a plain one.
pub fn configuration(version: u64, routes: &[String], slots: usize, tenants: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"model\",\"MaxConns\":400,\"ColdPerS\":0.0,\"Engine\":{{\"Slots\":{slots},\
         \"KvCapacity\":450000,\"Stride\":46,\"step_ms\":0.925,\"per_seq_ms\":0.005,\
         \"context_per_k\":0.0025,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048}}}},\
         {{\"Name\":\"desk\",\"MaxConns\":110,\"ColdPerS\":0.0}}],\"Tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// Returns the list of tenants with the only tenant and its key.
pub fn tenants() -> String {
    format!("[{{\"Name\":\"rope-floor\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]")
}

/// A client's request.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub usage: Option<String>,
    pub deadline: Duration,
    pub body_length: usize,
    /// The parts of the prompt.
    pub parts: String,
    /// How long the client takes to send the body.
    pub upload: Duration,
}

impl Request {
    pub fn new(id: &str, method: &'static str, path: &str) -> Self {
        Self {
            id: id.to_owned(),
            method,
            path: path.to_owned(),
            key: KEY.to_owned(),
            usage: None,
            deadline: Duration::from_secs(10),
            body_length: 200,
            parts: format!("5c1e07a2:40,{id}:4960"),
            upload: Duration::ZERO,
        }
    }
}

/// What a client saw.
pub struct Seen {
    pub id: String,
    /// When the last byte of the request was sent.
    pub sent_at: Instant,
    pub ended: Ended,
}

/// Sends a request on a new connection and waits for the answer until the client's deadline.
pub fn send(address: SocketAddr, request: &Request, record: &Record) -> Option<Seen> {
    let started = Instant::now();
    let mut connection = Connection::connect(address).ok()?;
    let usage = request.usage.as_ref().map_or(String::new(), |usage| {
        format!(
            "X-Model: m\r\nX-Token-Usage: {usage}\r\nX-Prompt-Prefix: {}\r\n",
            request.parts
        )
    });
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer {}\r\n{usage}Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.key,
        request.body_length
    );
    record.line(format!(
        "client {}: {} {} to {address}",
        request.id, request.method, request.path
    ));
    connection.stream.write_all(head.as_bytes()).ok()?;
    let body = vec![b'p'; request.body_length];
    let steps = if request.upload.is_zero() { 1 } else { 20 };
    for step in 0..steps {
        let range = body.len() * step / steps..body.len() * (step + 1) / steps;
        if connection.stream.write_all(&body[range]).is_err() {
            record.line(format!("client {}: the body could not be sent", request.id));
            break;
        }
        thread::sleep(request.upload / steps as u32);
    }
    let sent_at = Instant::now();
    if !request.upload.is_zero() {
        record.line(format!("client {}: last byte sent", request.id));
    }
    let ended = http::read_answer(&mut connection, started + request.deadline);
    record.line(format!(
        "client {}: status {}, complete: {}, {} bytes kept {}",
        request.id,
        ended.status,
        ended.complete,
        ended.body.len(),
        ended.cause
    ));
    Some(Seen {
        id: request.id.clone(),
        sent_at,
        ended,
    })
}
