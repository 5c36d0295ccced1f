//! A small deployment of the gateway: the platform's store, runners and daemons as real processes.

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use primrosehoist::transport::platform::Target;
use serde_json::{Value, json};

use super::process::Process;

static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
static REQUESTS: AtomicU32 = AtomicU32::new(1);

/// The second numbers of the addresses of deployments, above those of [`super::Fleet`].
const FIRST_NETWORK: u32 = 130;
const NETWORKS: u32 = 100;

/// The port that is bound while a network is in use.
const CLAIM_PORT: u16 = 7099;

/// The value of the `Host` header.
pub const HOST: &str = "rope.example";
/// The key of the workspace `rope`.
pub const KEY: &str = "key-of-rope";

/// A client request.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    pub id: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &'static str, path: &str) -> Self {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        Self {
            method,
            path: path.to_owned(),
            key: KEY,
            id: format!("attempt-{number}"),
            headers: vec![("X-Deadline-Ms", "8000".to_owned())],
            body: b"body".to_vec(),
        }
    }

    /// Creates a request for a stream of `events` events with a prompt of `tokens` tokens.
    pub fn stream(tokens: u64, events: u64) -> Self {
        let mut request = Self::new("POST", "/ask/1?x=2");
        request
            .headers
            .push(("X-Token-Usage", format!("{tokens},{}", events * 10)));
        request
    }

    /// Returns the request as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        let headers = self.headers.iter();
        let headers: Vec<String> = headers
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nAuthorization: Bearer {}\r\n\
             {}Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.key,
            headers.concat(),
            self.body.len()
        );
        [head.into_bytes(), self.body.clone()].concat()
    }
}

/// A response as received on the connection.
#[derive(Debug, Clone)]
pub struct Response {
    /// Zero if the connection was closed before the status line.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value)
    }

    /// Returns the ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().expect("event ids are numbers"))
            .collect()
    }
}

/// Creates or replaces an object in the store.
pub fn put(store: &str, kind: &str, name: &str, spec: &Value) {
    let body = json!({"Metadata": {"Name": name}, "Spec": spec}).to_string();
    put_text(store, kind, name, &body);
}

/// Creates or replaces an object in the store by the JSON text `object`.
pub fn put_text(store: &str, kind: &str, name: &str, object: &str) {
    let path = format!("/primrosehoist/objects/{kind}");
    let created = call(store, "POST", &path, object);
    if created.status == 409 {
        let replaced = call(store, "PUT", &object_path(kind, name), object);
        assert_eq!(replaced.status, 200);
    } else {
        assert_eq!(created.status, 200, "{object:.200}");
    }
}

/// Returns the path of an object in the store.
fn object_path(kind: &str, name: &str) -> String {
    let target = Target::new("/primrosehoist/objects").segment(kind);
    let target = target.and_then(|target| target.segment(name));
    target.expect("the name can be in a path").to_string()
}

/// Deletes an object in the store.
pub fn delete(store: &str, kind: &str, name: &str) {
    let path = object_path(kind, name);
    assert_eq!(call(store, "DELETE", &path, "").status, 200);
}

/// Sends `request` on a new connection and reads the response.
pub fn send(address: &str, request: &Request) -> Response {
    let mut connection = connect(address);
    connection
        .write_all(&request.bytes())
        .expect("failed to send the request");
    receive(&mut connection)
}

pub fn connect(address: &str) -> TcpStream {
    let connection = TcpStream::connect(address).expect("failed to connect");
    let timeout = Some(Duration::from_secs(20));
    connection
        .set_read_timeout(timeout)
        .expect("failed to set the read timeout");
    connection
}

/// Sends `request` and returns the connection without reading the response.
pub fn start_request(address: &str, request: &Request) -> TcpStream {
    let mut connection = connect(address);
    connection
        .write_all(&request.bytes())
        .expect("failed to send the request");
    connection
}

/// Reads one response.
pub fn receive(connection: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(response) = parse(&bytes) {
            return response;
        }
        match connection.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return truncated(&bytes),
        }
    }
}

fn split_head(bytes: &[u8]) -> Option<(String, u16, &[u8])> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((head, status, &bytes[end + 4..]))
}

fn truncated(bytes: &[u8]) -> Response {
    let (head, status, rest) = split_head(bytes).unwrap_or((String::new(), 0, &[]));
    let (body, _) = join_chunks(rest);
    Response {
        status,
        head,
        body,
        complete: false,
    }
}

fn parse(bytes: &[u8]) -> Option<Response> {
    let (head, status, rest) = split_head(bytes)?;
    let mut response = Response {
        status,
        head,
        body: rest.to_vec(),
        complete: true,
    };
    if let Some(length) = response.header("content-length") {
        let length: usize = length.parse().expect("invalid content length");
        return (rest.len() >= length).then_some(response);
    }
    let (body, ended) = join_chunks(rest);
    response.body = body;
    ended.then_some(response)
}

/// Joins the chunks of a body; returns whether the last one was received.
fn join_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
        let length = usize::from_str_radix(&String::from_utf8_lossy(&rest[..end]), 16);
        let Ok(length) = length else { break };
        if length == 0 {
            return (body, true);
        }
        let Some(data) = rest.get(end + 2..end + 2 + length) else {
            break;
        };
        body.extend_from_slice(data);
        rest = rest.get(end + 4 + length..).unwrap_or_default();
    }
    (body, false)
}

/// A daemon.
pub struct Daemon {
    pub ingress: String,
    pub readiness: String,
    pub metrics: String,
    pub log: PathBuf,
    pub settings: PathBuf,
    pub process: Option<Process>,
}

impl Daemon {
    /// Starts the process, without waiting until it listens.
    pub fn spawn(&mut self) {
        let variables = [("PRIMROSEHOIST_NODE_FILE", self.settings.as_path())];
        let arguments = to_strings(&["platform"]);
        let process = Process::start_with("primrosehoistd", &arguments, &self.log, &variables);
        self.process = Some(process);
    }

    /// Returns what the daemon has logged.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A runner.
pub struct Runner {
    pub id: String,
    pub zone: &'static str,
    pub address: String,
    pub process: Option<Process>,
}

/// The processes of a deployment.
pub struct Deployment {
    /// The first three numbers of all addresses.
    pub network: String,
    pub store: String,
    pub daemons: Vec<Daemon>,
    pub runners: Vec<Runner>,
    pub directory: PathBuf,
    _store: Process,
    // Dropped after the process of the store.
    _claim: UdpSocket,
}

impl Deployment {
    /// Starts a store, three runners in two zones and `daemons` daemons; the last daemon uses the
    /// second address of the store. There is no configuration yet.
    pub fn start(daemons: u8) -> Self {
        Self::start_with(daemons, |index| index + 1 == daemons && daemons > 1)
    }

    /// Starts a deployment whose daemons use the second address of the store if `second` returns true
    /// for their index.
    fn start_with<S>(daemons: u8, second: S) -> Self
    where
        S: Fn(u8) -> bool,
    {
        let mut deployment = Self::without_daemons();
        let second_store = format!("{}.1:7101", deployment.network);
        for index in 0..daemons {
            let store = if second(index) {
                second_store.clone()
            } else {
                deployment.store.clone()
            };
            deployment.add_daemon("zone-a", &store);
        }
        deployment
    }

    /// Starts a store and three runners in two zones. There are no daemons yet.
    pub fn without_daemons() -> Self {
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let own = std::process::id();
        let directory = std::env::temp_dir().join(format!("primrosehoist-users-{own}-{number}"));
        fs::create_dir_all(&directory).expect("failed to create the directory");
        let (network, claim) = claim_network(own, number);
        let store = format!("{network}.1:7100");
        let second_store = format!("{network}.1:7101");
        let arguments = to_strings(&["store", "--listen", &store, "--also", &second_store]);
        let log = directory.join("store.log");
        let process = Process::start("primrosehoist-standin", &arguments, &log);
        wait_until_listening(&store);
        let mut deployment = Self {
            network,
            store,
            daemons: Vec::new(),
            runners: Vec::new(),
            directory,
            _store: process,
            _claim: claim,
        };
        for (index, zone) in ["zone-a", "zone-a", "zone-b"].into_iter().enumerate() {
            deployment.runners.push(Runner {
                id: format!("i-{index}"),
                zone,
                address: format!("{}.{}:7200", deployment.network, 20 + index),
                process: None,
            });
            deployment.start_runner(index);
        }
        deployment
    }

    /// Starts another daemon, which reaches the store at `store`.
    pub fn add_daemon(&mut self, zone: &str, store: &str) {
        let daemon = self.prepare_daemon(zone, store);
        self.daemons.push(daemon);
        self.start_daemon(self.daemons.len() - 1);
    }

    /// Starts a deployment, configures it and waits until its daemons are ready.
    pub fn ready(daemons: u8) -> Self {
        Self::start(daemons).into_ready()
    }

    /// Starts a deployment as [`Deployment::ready`] does, whose daemons use the second address of the
    /// store if `second` returns true for their index.
    pub fn ready_with<S>(daemons: u8, second: S) -> Self
    where
        S: Fn(u8) -> bool,
    {
        Self::start_with(daemons, second).into_ready()
    }

    fn into_ready(self) -> Self {
        let deployment = self;
        deployment.configure(&configuration(1));
        for index in 0..deployment.runners.len() {
            deployment.register(index, "ready");
        }
        for index in 0..deployment.daemons.len() {
            deployment.wait_until_ready(index);
        }
        // The daemons discover each other through notices.
        std::thread::sleep(Duration::from_millis(600));
        deployment
    }

    /// Writes the settings of another daemon, which reaches the store at `store`.
    pub fn prepare_daemon(&self, zone: &str, store: &str) -> Daemon {
        let index = self.daemons.len();
        let ip = format!("{}.{}", self.network, 40 + index);
        let settings = self.directory.join(format!("daemon-{index}.toml"));
        let text = format!(
            "NodeName = \"frontend-{index}\"\nRole = \"gateway\"\nIp = \"{ip}\"\nZone = \"{zone}\"\n\
             InternalPorts = [7340, 7355]\nHeartbeatMs = 1200\n\
             [Listen]\nFrontend = \"{ip}:8227\"\nReadiness = \"{ip}:8220\"\n\
             [Limits]\nMemoryMb = 260\n\
             [Bounds]\nStableWindowMs = 3000\nDrainMs = 2000\nGraceS = 8\nConfigApplyMs = 2000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 106\nColdOver = 1.5\n\
             ColdSlack = 5\nEvacMs = 5000\nstall_ms = 1500\nHoldMaxMs = 20000\nIdleMaxMs = 9000\n\
             [PlatformConfig]\nAddress = \"{store}\"\n"
        );
        fs::write(&settings, text).expect("failed to write the settings");
        Daemon {
            ingress: format!("{ip}:8227"),
            readiness: format!("{ip}:8220"),
            metrics: format!("{ip}:9464"),
            log: self.directory.join(format!("daemon-{index}.log")),
            settings,
            process: None,
        }
    }

    pub fn start_runner(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let arguments = to_strings(&["runner", "--listen", &runner.address, "--id", &runner.id]);
        let log = self.directory.join(format!("runner-{index}.log"));
        runner.process = Some(Process::start("primrosehoist-standin", &arguments, &log));
        wait_until_listening(&runner.address);
    }

    pub fn start_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.spawn();
        wait_until_listening(&daemon.ingress);
    }

    /// Replaces text in a daemon's settings file.
    pub fn change_settings(&self, index: usize, before: &str, after: &str) {
        let path = &self.daemons[index].settings;
        let text = fs::read_to_string(path).expect("failed to read the settings");
        fs::write(path, text.replace(before, after)).expect("failed to write the settings");
    }

    pub fn wait_until_ready(&self, index: usize) {
        let address = self.daemons[index].readiness.clone();
        wait_until("the daemon is ready", || readiness(&address) == 200);
    }

    /// Writes a configuration to the store.
    pub fn configure(&self, spec: &Value) {
        self.put("config", "main", spec);
    }

    /// Writes a runner's entry to the store.
    pub fn register(&self, index: usize, state: &str) {
        let entry = self.entry(index, state);
        self.put("servers", &self.runners[index].id, &entry);
    }

    /// Returns a runner's entry in the store.
    pub fn entry(&self, index: usize, state: &str) -> Value {
        let runner = &self.runners[index];
        json!({"Service": "model", "Address": runner.address, "Zone": runner.zone, "Version": "v1",
               "Slots": 16, "State": state, "ColdLeftMs": 0, "Sequence": 1})
    }

    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        put(&self.store, kind, name, spec);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        delete(&self.store, kind, name);
    }

    /// Drops the history of the store, which ends all watches.
    pub fn forget_history(&self) {
        let forgotten = call(&self.store, "POST", "/standin/forget", "");
        assert_eq!(forgotten.status, 200);
    }

    pub fn set_store_faults(&self, faults: &Value) {
        let response = call(&self.store, "POST", "/standin/faults", &faults.to_string());
        assert_eq!(response.status, 200);
    }

    /// Injects `fault` into the next `times` requests of a runner.
    pub fn set_fault(&self, index: usize, fault: &str, times: usize) {
        let body = json!({"fault": fault, "times": times}).to_string();
        let response = call(
            &self.runners[index].address,
            "POST",
            "/standin/fault",
            &body,
        );
        assert_eq!(response.status, 200);
    }

    /// Injects a fault into all runners, since any of them may be selected first.
    pub fn set_fault_on_all(&self, fault: &str, times: usize) {
        for index in 0..self.runners.len() {
            self.set_fault(index, fault, times);
        }
    }

    pub fn counts(&self, index: usize) -> Value {
        let response = call(&self.runners[index].address, "GET", "/standin/counts", "");
        serde_json::from_slice(&response.body).expect("counts")
    }

    /// Returns the recorded runs of request `id`, each with the index of its runner.
    pub fn runs(&self, id: &str) -> Vec<(usize, Value)> {
        let mut found = Vec::new();
        for index in 0..self.runners.len() {
            let counts = self.counts(index);
            let runs = counts["runs"].as_array().expect("runs").iter();
            let own = runs.filter(|run| run["id"] == id);
            found.extend(own.map(|run| (index, run.clone())));
        }
        found
    }

    /// Returns whether any daemon sends requests to one of the first `count` runners.
    pub fn uses_first_runners(&self, count: usize) -> bool {
        let mut requests = self.daemons.iter().flat_map(|daemon| {
            // Requests with different bodies are spread over the runners.
            (0..16).map(|number| {
                let request = Request {
                    body: format!("body {number}").into_bytes(),
                    ..Request::new("GET", "/look/1")
                };
                let response = send(&daemon.ingress, &request);
                assert_eq!(response.status, 200, "{}: {response:?}", daemon.ingress);
                self.runs(&request.id)[0].0 < count
            })
        });
        requests.any(|uses| uses)
    }

    /// Returns the log lines of a daemon for request `id`.
    pub fn logged(&self, daemon: usize, id: &str) -> Vec<Value> {
        let text = fs::read_to_string(&self.daemons[daemon].log).unwrap_or_default();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["request"] == id).collect()
    }
}

/// Returns the first three numbers of addresses that no other deployment on this machine uses, and a
/// socket that keeps them from others.
///
/// Other test programs run at the same time, and those that were killed leave processes behind.
fn claim_network(own: u32, number: u8) -> (String, UdpSocket) {
    let networks = (0..NETWORKS).map(|step| {
        let second = FIRST_NETWORK + (own + step) % NETWORKS;
        format!("127.{second}.{number}")
    });
    let mut claimed = networks.filter_map(|network| {
        let claim = UdpSocket::bind(format!("{network}.250:{CLAIM_PORT}")).ok()?;
        let is_free = TcpStream::connect(format!("{network}.1:7100")).is_err();
        is_free.then_some((network, claim))
    });
    claimed.next().expect("no network is free")
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.directory.display());
        } else {
            drop(fs::remove_dir_all(&self.directory));
        }
    }
}

/// Returns a configuration with a streaming, an idempotent and a non-idempotent route.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 6000,
               "SloMs": 400, "Priority": 1, "Service": "model", "MaxAttempts": 2,
               "Public": false, "Resumable": kind == "streaming", "GapAimMs": 200})
    };
    json!({
        "Version": version,
        "Routes": [route("ask", "/ask/", "streaming"), route("look", "/look/", "idempotent"),
                   route("order", "/order/", "non_idempotent")],
        "Services": [{"Name": "model", "MaxConns": 400, "ColdPerS": 0.0, "Engine": {
            "Slots": 16, "KvCapacity": 450_000, "Stride": 46, "step_ms": 0.925,
            "per_seq_ms": 0.005, "context_per_k": 0.0025, "read_per_s": 25_600_000.0,
            "pairs_per_m": 0.0001, "chunk": 2048}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
                   "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 3000},
        "Tenants": [{"Name": "rope", "ApiKeys": [KEY, "second-key"], "Priority": 1}],
    })
}

/// Returns the ids of the events of a stream of `count` events.
pub fn event_ids(count: u64) -> Vec<u64> {
    (1..=count).collect()
}

/// Makes a control request, without the headers of a client.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> Response {
    let mut connection = connect(address);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection
        .write_all(request.as_bytes())
        .expect("failed to send the request");
    receive(&mut connection)
}

pub fn readiness(address: &str) -> u16 {
    match TcpStream::connect(address) {
        Ok(_) => call(address, "GET", "/primrosehoist/ready", "").status,
        Err(_) => 0,
    }
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn wait_until_listening(address: &str) {
    wait_until("the process is listening", || {
        TcpStream::connect(address).is_ok()
    });
}

/// Waits until `condition` returns true.
///
/// # Panics
///
/// Panics after 20 seconds.
pub fn wait_until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    wait_for(what, || condition().then_some(()));
}

/// Waits until `attempt` returns a value, and returns it.
///
/// # Panics
///
/// Panics after 20 seconds.
pub fn wait_for<T, F>(what: &str, mut attempt: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
