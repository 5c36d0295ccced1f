//! A deployment on the users' platform: settings of daemons, the configuration, and the requests of clients.

use std::io;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use primrosehoist::transport::platform::Target;
use serde_json::{Value, json};

use crate::caller::connection::{Exchange, Payload};

/// The path of the readiness check.
pub(crate) const READY: &str = "/primrosehoist/ready";

/// The environment variable with the path of the settings file of a daemon.
pub(crate) const SETTINGS_VARIABLE: &str = "PRIMROSEHOIST_NODE_FILE";

/// The time after a signal to end until a process is killed, in seconds.
pub(crate) const GRACE_S: u64 = 8;

/// The time without a runner until its entry is removed, in milliseconds: three heartbeats.
pub(crate) const ENTRY_MAX_MS: &str = "3600";

const HEARTBEAT_MS: u64 = 1_200;
const HOST: &str = "sorting.example";
const KEY: &str = "key-of-sorting";

/// The path prefix of the object API.
const OBJECTS: &str = "/primrosehoist/objects";

/// The settings line that a change of the settings replaces.
const DRAIN: &str = "DrainMs = 2000";

/// The place of a daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place<'a> {
    /// The name of the host.
    pub(crate) name: &'a str,
    /// The availability zone.
    pub(crate) zone: &'a str,
    /// The address of the host.
    pub(crate) ip: IpAddr,
    /// The address at which it reaches the store.
    pub(crate) store: SocketAddr,
    /// Addresses of hosts that it may ask.
    pub(crate) seeds: &'a [IpAddr],
}

impl Place<'_> {
    /// Returns the address for clients.
    pub(crate) fn ingress(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8227)
    }

    /// Returns the address of the readiness check.
    pub(crate) fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8220)
    }

    /// Returns the settings file.
    pub(crate) fn settings(&self) -> String {
        let (name, zone, ip) = (self.name, self.zone, self.ip);
        let control = |ip: IpAddr| SocketAddr::new(ip, 8229);
        let seeds = self.seeds.iter().map(|ip| control(*ip).to_string());
        let (seeds, control) = (json!(seeds.collect::<Vec<_>>()), control(ip));
        let (ingress, readiness, store) = (self.ingress(), self.readiness(), self.store);
        format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\nServes = [\"frontend\", \"control_plane\"]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nInternalPorts = [7340, 7355]\nSeedNodes = {seeds}\nBootstrap = true\n\
             HeartbeatMs = {HEARTBEAT_MS}\n\
             [Listen]\nFrontend = \"{ingress}\"\nReadiness = \"{readiness}\"\nControl = \"{control}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
             [Bounds]\nStableWindowMs = 3000\n{DRAIN}\nGraceS = {GRACE_S}\nConfigApplyMs = 2000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 104\nColdOver = 1.5\nColdSlack = 5\n\
             EvacMs = 5000\nstall_ms = 1500\nHoldMaxMs = 20000\nIdleMaxMs = 9000\nRecoverS = 12\n\
             [PlatformConfig]\nAddress = \"{store}\"\n"
        )
    }
}

/// Returns a settings file with another value that a running daemon may take over.
pub(crate) fn changed(settings: &str) -> String {
    settings.replace(DRAIN, "DrainMs = 1900")
}

/// Returns a configuration; two versions differ in a time limit.
pub(crate) fn configuration(version: u64) -> Value {
    let routes = KINDS.iter().map(|kind| {
        let is_stream = kind.answer_tokens > 0;
        json!({"Name": kind.name, "Host": HOST, "PathPrefix": kind.prefix, "Kind": kind.repeats,
               "TimeoutMs": kind.deadline_ms + version % 2 * 100, "SloMs": kind.aim_ms, "Priority": 1,
               "Service": kind.service(), "MaxAttempts": 2, "Public": false, "Resumable": is_stream,
               "Sticky": is_stream, "GapAimMs": 200})
    });
    let engine = json!({
        "Slots": 16, "KvCapacity": 450_000, "Stride": 46, "step_ms": 0.925, "per_seq_ms": 0.005,
        "context_per_k": 0.0025, "read_per_s": 25_600_000.0, "pairs_per_m": 0.0001, "chunk": 2048
    });
    json!({
        "Version": version,
        "Routes": routes.collect::<Vec<_>>(),
        "Services": [{"Name": MODEL, "MaxConns": 344, "ColdPerS": 0.0, "Engine": engine},
                     {"Name": APPLICATION, "MaxConns": 51, "ColdPerS": 0.0}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
                   "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 3000},
        "Tenants": [{"Name": "sorting", "ApiKeys": [KEY], "Priority": 1}],
    })
}

/// The service with an engine.
pub(crate) const MODEL: &str = "lens-llm";
/// The service without one.
pub(crate) const APPLICATION: &str = "tri-app";

/// Returns how many requests a runner of a service serves at once.
pub(crate) fn slots(service: &str) -> &'static str {
    if service == MODEL { "16" } else { "6" }
}

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    /// The name of its route.
    pub(crate) name: &'static str,
    /// Requests of this kind in a second, for eight hosts.
    pub(crate) rate_per_s: f64,
    prefix: &'static str,
    repeats: &'static str,
    prompt_tokens: u64,
    answer_tokens: u64,
    aim_ms: u64,
    /// How long a client waits.
    pub(crate) deadline_ms: u64,
}

impl Kind {
    fn service(&self) -> &'static str {
        if self.answer_tokens > 0 {
            MODEL
        } else {
            APPLICATION
        }
    }

    /// Returns request `id` of this kind.
    ///
    /// # Errors
    ///
    /// Fails if `id` cannot be the value of a header.
    pub(crate) fn request(&self, id: &str) -> http::Result<Request<Payload>> {
        let method = if self.repeats == "idempotent" {
            Method::GET
        } else {
            Method::POST
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{id}", self.prefix))
            .header(http::header::HOST, HOST)
            .header(http::header::AUTHORIZATION, format!("Bearer {KEY}"))
            .header("X-Attempt-Id", id)
            .header("X-Deadline-Ms", self.deadline_ms);
        let request = if self.answer_tokens > 0 {
            let (prompt, answer) = (self.prompt_tokens, self.answer_tokens);
            request
                .header("X-Model", "m")
                .header("X-Token-Usage", format!("{prompt},{answer}"))
                .header("X-Prompt-Prefix", format!("5a:40,{id}:{}", prompt - 40))
        } else {
            request
        };
        request.body(body(Bytes::from_static(b"body")))
    }
}

/// The kinds of requests: short and long prompts with a streamed answer, and calls that may and may not be
/// repeated.
pub(crate) const KINDS: [Kind; 5] = [
    Kind {
        name: "pair-note",
        rate_per_s: 39.5,
        prefix: "/note/",
        repeats: "streaming",
        prompt_tokens: 5_000,
        answer_tokens: 350,
        aim_ms: 300,
        deadline_ms: 10_000,
    },
    Kind {
        name: "lot-summary",
        rate_per_s: 2.87,
        prefix: "/lot/",
        repeats: "streaming",
        prompt_tokens: 45_040,
        answer_tokens: 210,
        aim_ms: 1_500,
        deadline_ms: 10_000,
    },
    Kind {
        name: "archive-audit",
        rate_per_s: 1.19,
        prefix: "/archive/",
        repeats: "streaming",
        prompt_tokens: 210_040,
        answer_tokens: 170,
        aim_ms: 3_000,
        deadline_ms: 15_000,
    },
    Kind {
        name: "reserve-ship",
        rate_per_s: 3.73,
        prefix: "/reserve/",
        repeats: "non_idempotent",
        prompt_tokens: 0,
        answer_tokens: 0,
        aim_ms: 150,
        deadline_ms: 2_500,
    },
    Kind {
        name: "stock-look",
        rate_per_s: 3.0,
        prefix: "/stock/",
        repeats: "idempotent",
        prompt_tokens: 0,
        answer_tokens: 0,
        aim_ms: 150,
        deadline_ms: 2_500,
    },
];

fn body(content: Bytes) -> Payload {
    Full::new(content).boxed_unsync()
}

/// Returns the text of an object, whose specification has one more field if its value is given as JSON text.
pub(crate) fn object(name: &str, spec: &Value, field: Option<&str>) -> String {
    let mut spec = spec.to_string();
    if let Some(field) = field {
        spec.insert_str(1, &format!("\"Odd\":{field},"));
    }
    format!(
        "{{\"Metadata\":{{\"Name\":{}}},\"Spec\":{spec}}}",
        json!(name)
    )
}

/// Creates or replaces an object in the store.
///
/// # Errors
///
/// Fails if the store cannot be reached or refuses the object.
pub(crate) async fn put(store: SocketAddr, kind: &str, name: &str, object: &str) -> io::Result<()> {
    let targets = Target::new(OBJECTS).segment(kind);
    let targets = targets.and_then(|kind| Ok((kind.clone().segment(name)?, kind)));
    let (object_target, kind_target) = targets.map_err(io::Error::other)?;
    match call(store, Method::POST, kind_target.as_str(), object).await? {
        409 => {
            let path = object_target.as_str();
            expect(call(store, Method::PUT, path, object).await?, path)
        }
        status => expect(status, kind_target.as_str()),
    }
}

/// Controls the stand-in of the store.
///
/// # Errors
///
/// Fails if the store cannot be reached or refuses the call.
pub(crate) async fn control(store: SocketAddr, command: &str, content: &str) -> io::Result<()> {
    let path = format!("/standin/{command}");
    expect(call(store, Method::POST, &path, content).await?, &path)
}

fn expect(status: u16, path: &str) -> io::Result<()> {
    if (200..300).contains(&status) {
        return Ok(());
    }
    Err(io::Error::other(format!("{path}: status {status}")))
}

async fn call(store: SocketAddr, method: Method, path: &str, content: &str) -> io::Result<u16> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, store.to_string())
        .body(body(Bytes::from(content.to_owned())))
        .map_err(io::Error::other)?;
    let mut exchange = Exchange::start(store, request).await?;
    let status = exchange.response.status().as_u16();
    exchange.json().await;
    Ok(status)
}
