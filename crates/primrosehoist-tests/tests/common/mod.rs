//! A small fleet of real processes on its own loopback address.

#![allow(dead_code, reason = "each test program uses only some of the helpers")]

pub mod caller;
pub mod calls;
pub mod handover;
pub mod history;
pub mod links;
pub mod load;
pub mod other;
pub mod platform;
pub mod process;
pub mod scripted;
pub mod trouble;
pub mod versions;

use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use caller::Completion;
use process::Process;

/// The secret of the fleet under test.
pub const SECRET: &str = "a secret of the fleet under test";

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// The topology and settings of a fleet.
#[derive(Clone)]
pub struct Layout {
    pub zones: Vec<&'static str>,
    pub daemons_per_zone: usize,
    /// Engines per zone and half.
    pub engines_per_zone: usize,
    /// Additional arguments of every engine.
    pub engine_arguments: Vec<&'static str>,
    pub cold_requests: u32,
    pub warm_requests: u32,
    /// KV memory of each engine, in tokens.
    pub memory_tokens: u64,
    /// Whether engines check the fencing epoch.
    pub fencing: bool,
    /// Whether engines serve the models of both halves.
    pub any_model: bool,
    /// TOML appended to the settings of every daemon, followed by the environment variable
    /// `PRIMROSEHOIST_SETTINGS`, with which a run can disable a mechanism to show that its tests
    /// fail without it.
    pub settings: &'static str,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            zones: vec!["zone-a", "zone-b", "zone-c"],
            daemons_per_zone: 2,
            engines_per_zone: 1,
            engine_arguments: vec!["--prefill-rate", "200000", "--decode-ms", "2"],
            cold_requests: 2,
            warm_requests: 16,
            memory_tokens: 3_000_000,
            fencing: true,
            any_model: false,
            settings: disabled_mechanism(),
        }
    }
}

/// Returns settings that disable the mechanism named by `PRIMROSEHOIST_WITHOUT`, if it is set, to
/// show that its tests fail without it.
fn disabled_mechanism() -> &'static str {
    let mechanism = std::env::var("PRIMROSEHOIST_WITHOUT").ok();
    mechanism.map_or("", |name| format!("[mechanisms]\n{name} = false\n").leak())
}

/// A daemon with its addresses.
pub struct Daemon {
    pub host: String,
    pub zone: &'static str,
    pub caller: String,
    pub peer: String,
    pub admin: String,
    pub process: Option<Process>,
}

/// An engine or plain service.
pub struct Backend {
    pub name: String,
    /// The half in the published configuration.
    pub half: &'static str,
    pub zone: &'static str,
    pub address: String,
    pub process: Option<Process>,
}

/// The processes of a fleet.
pub struct Fleet {
    pub layout: Layout,
    pub directory: PathBuf,
    pub platform: String,
    pub platform_process: Option<Process>,
    pub daemons: Vec<Daemon>,
    pub engines: Vec<Backend>,
    pub services: Vec<Backend>,
}

impl Fleet {
    /// Starts all processes, publishes the configuration, and waits until it is in force and all
    /// upstreams are held.
    pub fn start(layout: Layout) -> Self {
        let mut fleet = Self::prepare(layout);
        fleet.start_platform();
        for index in 0..fleet.engines.len() {
            fleet.start_engine(index);
        }
        for index in 0..fleet.services.len() {
            fleet.start_service(index);
        }
        for index in 0..fleet.daemons.len() {
            fleet.start_daemon(index);
        }
        let published = fleet.publish("first configuration");
        assert!(published.status.success(), "publish: {}", text(&published));
        fleet.wait_version(1, Duration::from_secs(15));
        fleet.wait_held(Duration::from_secs(20));
        fleet
    }

    /// Assigns addresses and writes the configuration files, but starts no process.
    pub fn prepare(layout: Layout) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{number}", 1 + (pid >> 8 & 0x7f), pid & 0xff);
        let directory = std::env::temp_dir().join(format!("primrosehoist-{pid}-{number}"));
        std::fs::create_dir_all(directory.join("files")).expect("the directory is made");
        std::fs::write(directory.join("secret"), SECRET).expect("the secret is written");
        let mut fleet = Self {
            platform: format!("{ip}:7000"),
            platform_process: None,
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            layout,
            directory,
        };
        for zone in fleet.layout.zones.clone() {
            fleet.add_zone(&ip, zone);
        }
        fleet.write_files();
        fleet
    }

    fn add_zone(&mut self, ip: &str, zone: &'static str) {
        for _ in 0..self.layout.daemons_per_zone {
            let index = self.daemons.len();
            self.daemons.push(Daemon {
                host: format!("host-{index}"),
                zone,
                caller: format!("{ip}:{}", 7100 + index),
                peer: format!("{ip}:{}", 7200 + index),
                admin: format!("{ip}:{}", 7300 + index),
                process: None,
            });
        }
        for half in ["north", "south"] {
            for _ in 0..self.layout.engines_per_zone {
                let index = self.engines.len();
                let name = format!("{half}-engine-{index}");
                let address = format!("{ip}:{}", 7400 + index);
                self.engines.push(Backend {
                    name,
                    half,
                    zone,
                    address,
                    process: None,
                });
            }
            let index = self.services.len();
            let name = format!("{half}-orders-{index}");
            let address = format!("{ip}:{}", 7600 + index);
            self.services.push(Backend {
                name,
                half,
                zone,
                address,
                process: None,
            });
        }
    }

    /// Writes the configuration files that declare the fleet.
    pub fn write_files(&self) {
        let mut files = String::new();
        for (half, model) in [("north", "braid-7b"), ("south", "lens-7b")] {
            let digest = hex::encode(Sha256::digest(format!("key-{half}").as_bytes()));
            write!(
                files,
                "[[service]]\nname = \"{half}-model\"\nhalf = \"{half}\"\nkind = \"engine\"\nmodel = \"{model}\"\ntimeout = \"30s\"\n\n\
                 [[service]]\nname = \"{half}-orders\"\nhalf = \"{half}\"\nkind = \"plain\"\ntimeout = \"10s\"\nrepeatable = false\n\n\
                 [[workspace]]\nname = \"{half}-desk\"\nhalf = \"{half}\"\nkey_digests = [\"{digest}\"]\nweight = 1\n\n"
            )
            .expect("writing to a string succeeds");
        }
        let memory = format!("memory_tokens = {}\n", self.layout.memory_tokens);
        for engine in &self.engines {
            files.push_str(&self.upstream(engine, "model", &memory));
        }
        for service in &self.services {
            files.push_str(&self.upstream(service, "orders", ""));
        }
        std::fs::write(self.directory.join("files/fleet.hoist.toml"), files)
            .expect("files are written");
    }

    fn upstream(&self, backend: &Backend, service: &str, extra: &str) -> String {
        let half = backend.half;
        format!(
            "[[upstream]]\nname = \"{}\"\nservice = \"{half}-{service}\"\nhalf = \"{half}\"\nzone = \"{}\"\naddress = \"{}\"\n\
             cold_requests = {}\nwarm_requests = {}\nfencing = {}\n{extra}\n",
            backend.name,
            backend.zone,
            backend.address,
            self.layout.cold_requests,
            self.layout.warm_requests,
            self.layout.fencing,
        )
    }

    fn log(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.log"))
    }

    /// Starts the platform stand-in.
    pub fn start_platform(&mut self) {
        let arguments = words(&["platform", "--listen", &self.platform]);
        self.platform_process = Some(Process::start(
            "primrosehoist-standin",
            &arguments,
            &self.log("platform"),
        ));
        wait_open(&self.platform);
    }

    /// Starts engine `index`.
    pub fn start_engine(&mut self, index: usize) {
        let engine = &self.engines[index];
        let model = model_of(engine.half);
        let cold = self.layout.cold_requests.to_string();
        let warm = self.layout.warm_requests.to_string();
        let memory = self.layout.memory_tokens.to_string();
        let fencing = if self.layout.fencing {
            "check"
        } else {
            "ignore"
        };
        let mut arguments = words(&[
            "engine",
            "--listen",
            &engine.address,
            "--name",
            &engine.name,
            "--memory-tokens",
            &memory,
            "--cold-requests",
            &cold,
            "--warm-requests",
            &warm,
            "--fencing",
            fencing,
        ]);
        if !self.layout.any_model {
            arguments.extend(words(&["--model", model]));
        }
        arguments.extend(words(&self.layout.engine_arguments));
        let process = Process::start("primrosehoist-standin", &arguments, &self.log(&engine.name));
        wait_open(&engine.address);
        self.engines[index].process = Some(process);
    }

    /// Starts plain service `index`.
    pub fn start_service(&mut self, index: usize) {
        let service = &self.services[index];
        let arguments = words(&["service", "--listen", &service.address]);
        let process = Process::start(
            "primrosehoist-standin",
            &arguments,
            &self.log(&service.name),
        );
        wait_open(&service.address);
        self.services[index].process = Some(process);
    }

    /// Registers and starts daemon `index`.
    pub fn start_daemon(&mut self, index: usize) {
        self.register(index);
        let daemon = &self.daemons[index];
        let seeds: Vec<&str> = self.daemons.iter().map(|d| d.peer.as_str()).collect();
        let extra = std::env::var("PRIMROSEHOIST_SETTINGS").unwrap_or_default();
        let settings = format!(
            "host = \"{}\"\nzone = \"{}\"\nsecret_file = \"{}\"\n\n[listen]\ncaller = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n\
             [platform]\naddress = \"{}\"\n\n[peers]\nseeds = {}\n\n[log]\nlevel = \"info\"\n\n{}{extra}",
            daemon.host,
            daemon.zone,
            self.directory.join("secret").display(),
            daemon.caller,
            daemon.peer,
            daemon.admin,
            self.platform,
            json!(seeds),
            self.layout.settings,
        );
        let file = self.directory.join(format!("{}.toml", daemon.host));
        std::fs::write(&file, settings).expect("the settings are written");
        let arguments = words(&["--settings", &file.display().to_string()]);
        let process = Process::start("primrosehoistd", &arguments, &self.log(&daemon.host));
        wait_open(&daemon.caller);
        self.daemons[index].process = Some(process);
    }

    /// Adds daemon `index` to the list of hosts of the platform.
    pub fn register(&self, index: usize) {
        let daemon = &self.daemons[index];
        let host = json!({
            "zone": daemon.zone, "role": "entry", "address": daemon.peer, "admin": daemon.admin,
            "state": "live",
        });
        let url = format!("http://{}/standin/hosts/{}", self.platform, daemon.host);
        let reply = caller::call("PUT", &url, &[], &host.to_string());
        assert!(reply.status < 300, "register {}: {reply:?}", daemon.host);
    }

    /// Runs the command-line tool against the platform; commands that change something wait for the
    /// daemons.
    pub fn tool(&self, arguments: &[&str]) -> Output {
        let secret = self.directory.join("secret").display().to_string();
        let mut command = Command::new(process::program("primrosehoist"));
        command.args(arguments).args(["--platform", &self.platform]);
        let is_read_only = matches!(arguments, ["audit", ..] | ["quarantine", "list", ..]);
        if !is_read_only {
            command.args(["--secret-file", &secret]);
        }
        command.output().expect("the tool runs")
    }

    /// Publishes the configuration files and waits until they are in force.
    pub fn publish(&self, reason: &str) -> Output {
        self.publish_within(reason, "10s")
    }

    /// Publishes the configuration files and waits up to `wait` until they are in force.
    fn publish_within(&self, reason: &str, wait: &str) -> Output {
        let files = self.directory.join("files").display().to_string();
        self.tool(&[
            "publish", &files, "--author", "tests", "--reason", reason, "--wait", wait,
        ])
    }

    /// Writes and publishes the configuration files without waiting. Returns the time before, in
    /// milliseconds since the Unix epoch.
    pub fn publish_changed(&self, reason: &str) -> u64 {
        self.write_files();
        let started_ms = now_ms();
        let published = self.publish_within(reason, "0s");
        assert!(published.status.success(), "publish: {}", text(&published));
        started_ms
    }

    /// Sends a `POST` request to the admin port of daemon `index`.
    fn post_admin(&self, index: usize, path: &str) {
        let authorization = format!("Bearer {}", operator_token());
        let url = format!("http://{}{path}", self.daemons[index].admin);
        let reply = caller::call("POST", &url, &[("authorization", &authorization)], "");
        assert!(reply.status < 300, "{path} at host-{index}: {reply:?}");
    }

    /// Replaces the cuts of daemon `index`: nothing that it sends reaches the daemons `to`, and it
    /// receives nothing from the daemons `from`.
    pub fn cut(&self, index: usize, to: &[usize], from: &[usize]) {
        let hosts = |list: &[usize]| {
            let hosts: Vec<_> = list
                .iter()
                .map(|i| self.daemons[*i].host.as_str())
                .collect();
            hosts.join(",")
        };
        self.post_admin(
            index,
            &format!("/admin/cuts?to={}&from={}", hosts(to), hosts(from)),
        );
    }

    /// Returns the daemons inside or outside of `zone`.
    pub fn in_zone(&self, zone: &str, inside: bool) -> Vec<usize> {
        let daemons = self.daemons.iter().enumerate();
        let chosen = daemons.filter(|(_, daemon)| (daemon.zone == zone) == inside);
        chosen.map(|(index, _)| index).collect()
    }

    /// Returns the status of daemon `index`, or null if it is unavailable.
    pub fn status(&self, index: usize) -> Value {
        let authorization = format!("Bearer {}", operator_token());
        let url = format!("http://{}/admin/status", self.daemons[index].admin);
        caller::call("GET", &url, &[("authorization", &authorization)], "").json()
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.daemons.len()).filter(|i| self.daemons[*i].process.is_some())
    }

    /// Waits until every running daemon has `version` in force.
    pub fn wait_version(&self, version: u64, limit: Duration) {
        wait(limit, "the version is in force", || {
            self.running()
                .all(|i| self.status(i)["version"].as_u64() >= Some(version))
        });
    }

    /// Waits until every upstream is held by some daemon.
    pub fn wait_held(&self, limit: Duration) {
        let all = self.engines.len() + self.services.len();
        wait(limit, "every upstream is held", || {
            let held = |i| self.status(i)["holdings"].as_array().map_or(0, Vec::len);
            self.running().map(held).sum::<usize>() >= all
        });
    }

    /// Returns the sum of a count over all engines.
    pub fn engine_sum(&self, count: &str) -> u64 {
        let counts = self.engines.iter().map(|e| counts(&e.address));
        counts
            .map(|c| {
                c[count]
                    .as_u64()
                    .unwrap_or_else(|| panic!("no count {count} in {c}"))
            })
            .sum()
    }

    /// Returns a streaming completion request of the north half to daemon `index`.
    pub fn completion(&self, index: usize, prompt: &str, max_tokens: usize) -> Completion {
        Completion {
            address: self.daemons[index].caller.clone(),
            key: "key-north".to_owned(),
            model: "braid-7b".to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            timeout_ms: None,
            stream: true,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() && std::env::var_os("PRIMROSEHOIST_KEEP_LOGS").is_none() {
            drop(std::fs::remove_dir_all(&self.directory));
        }
    }
}

/// Sets the faults of the stand-in at `address`.
pub fn fault(address: &str, faults: &Value) {
    let url = format!("http://{address}/standin/faults");
    let reply = caller::call("POST", &url, &[], &faults.to_string());
    assert!(reply.status < 300, "faults of {address}: {reply:?}");
}

/// Returns the counts of the stand-in at `address`; retries, since it may be down after a crash.
pub fn counts(address: &str) -> Value {
    let url = format!("http://{address}/standin/counts");
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let reply = caller::call("GET", &url, &[], "");
        if reply.status == 200 {
            return reply.json();
        }
        assert!(Instant::now() < end, "no counts from {address}: {reply:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Returns the bearer token of operators.
pub fn operator_token() -> String {
    use hmac::{Hmac, KeyInit, Mac};
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET.as_bytes()).expect("any length is a key");
    mac.update(b"operator");
    hex::encode(mac.finalize().into_bytes())
}

/// Returns the model of a half.
pub fn model_of(half: &str) -> &'static str {
    if half == "north" {
        "braid-7b"
    } else {
        "lens-7b"
    }
}

/// Returns the standard output and standard error of a program.
pub fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Returns the milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is set")
        .as_millis() as u64
}

/// Returns the attempts that an engine received after `from_ms` and up to `to_ms`, in milliseconds
/// since the Unix epoch.
pub fn received(address: &str, from_ms: u64, to_ms: u64) -> Vec<String> {
    let counts = counts(address);
    let attempts = counts["attempts"]
        .as_array()
        .expect("the engine lists attempts");
    attempts
        .iter()
        .filter(|a| {
            let at_ms = a["at_ms"].as_u64().expect("an attempt has a time");
            at_ms > from_ms && at_ms <= to_ms
        })
        .map(|a| a["id"].as_str().expect("an attempt has an id").to_owned())
        .collect()
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

/// Waits until `done` returns true; panics after `limit`.
pub fn wait<Done>(limit: Duration, what: &str, done: Done)
where
    Done: Fn() -> bool,
{
    let end = Instant::now() + limit;
    while !done() {
        assert!(Instant::now() < end, "timed out after {limit:?}: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn wait_open(address: &str) {
    wait(Duration::from_secs(10), address, || {
        std::net::TcpStream::connect(address).is_ok()
    });
}
