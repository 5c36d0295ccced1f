//! Starts and ends the processes of a case, and writes its record.

use std::fs::{self, File};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub const KEY: &str = "review-key";
pub const HOST: &str = "review.example";

/// A fleet on loopback.
pub struct Fleet {
    directory: PathBuf,
    bins: PathBuf,
    daemon: PathBuf,
    own: PathBuf,
    pub store: String,
    ports: [u16; 4],
    /// `MemoryMb` and `MaxFds` of the machines.
    pub limits: (u64, u64),
    children: Mutex<Vec<Child>>,
    record: Mutex<File>,
    pub started: Instant,
}

/// Returns `count` free ports in a row.
fn free_ports(count: u16) -> u16 {
    let mut from = 20_000 + (std::process::id() % 9000) as u16;
    loop {
        let free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (from..from + count).all(free) {
            return from;
        }
        from += count;
    }
}

impl Fleet {
    /// Prepares a fleet; `None` if it cannot be started.
    pub fn prepare() -> Option<Self> {
        let directory = PathBuf::from(std::env::var("CASE_TMP").ok()?);
        let record = File::create(std::env::var("CASE_RECORD").ok()?).ok()?;
        let root = PathBuf::from(std::env::var("CASE_ROOT").ok()?);
        let target = std::env::var("CARGO_TARGET_DIR").map_or(root.join("target"), PathBuf::from);
        let from = free_ports(40);
        let fleet = Self {
            directory,
            daemon: target.join("release/primrosehoistd"),
            bins: target.join("debug/primrosehoist-standin"),
            own: std::env::current_exe().ok()?,
            store: format!("127.0.0.1:{from}"),
            limits: (260, 4100),
            ports: [from, from + 2, from + 4, from + 5],
            children: Mutex::default(),
            record: Mutex::new(record),
            started: Instant::now(),
        };
        let ready = fleet.daemon.exists() && fleet.bins.exists();
        ready.then_some(fleet)
    }

    /// Writes a line to the record and to standard output.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut record) = self.record.lock() {
            let _ = writeln!(record, "{line}");
        }
    }

    /// Writes all that the runners noted to the record: time, runner, event, request.
    pub fn record_runs(&self) {
        let log = fs::read_to_string(self.runner_log()).unwrap_or_default();
        if let Ok(mut record) = self.record.lock() {
            let _ = writeln!(record, "noted by the runners (Unix ms, runner, event, request):");
            let _ = record.write_all(log.as_bytes());
        }
    }

    /// Writes the answers to the record: request and status, or 0 if there was none.
    pub fn record_answers(&self, answers: impl Iterator<Item = (String, u16)>) {
        if let Ok(mut record) = self.record.lock() {
            let _ = writeln!(record, "answers (request, status):");
            for (id, status) in answers {
                let _ = writeln!(record, "{id} {status}");
            }
        }
    }

    fn spawn(&self, name: &str, command: &mut Command) -> Option<u32> {
        let log = |suffix: &str| File::create(self.directory.join(format!("{name}.{suffix}"))).ok();
        let child = command
            .stdin(Stdio::null())
            .stdout(log("out")?)
            .stderr(log("err")?)
            .spawn()
            .ok()?;
        let id = child.id();
        self.children.lock().ok()?.push(child);
        Some(id)
    }

    /// Starts the project's model of the platform's store.
    pub fn start_store(&self) -> bool {
        let also = format!("127.0.0.1:{}", self.ports[0] + 1);
        let mut command = Command::new(&self.bins);
        command.args(["store", "--listen", &self.store, "--also", &also]);
        command.args(["--page", "500"]);
        self.spawn("store", &mut command).is_some() && self.wait_open(&self.store)
    }

    /// Creates or replaces an object in the store.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> bool {
        let object = format!("{{\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{spec}}}");
        let path = format!("/primrosehoist/objects/{kind}");
        let second = Duration::from_secs(1);
        let made = http::call(&self.store, "POST", &path, &[], object.as_bytes(), second);
        if made.status != 409 {
            return made.status / 100 == 2;
        }
        let path = format!("{path}/{name}");
        http::call(&self.store, "PUT", &path, &[], object.as_bytes(), second).status / 100 == 2
    }

    /// Removes an object from the store.
    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let path = format!("/primrosehoist/objects/{kind}/{name}");
        http::call(&self.store, "DELETE", &path, &[], b"", Duration::from_secs(1)).status / 100 == 2
    }

    /// Returns the address of runner `index`.
    pub fn runner_address(&self, index: u16) -> String {
        format!("127.0.0.1:{}", self.ports[3] + 5 + index)
    }

    pub fn runner_log(&self) -> PathBuf {
        self.directory.join("runners.log")
    }

    /// Starts a runner and returns its process id.
    pub fn start_runner(&self, index: u16, id: &str, options: &[&str]) -> Option<u32> {
        let mut command = Command::new(&self.own);
        command.args(["runner", "--listen", &self.runner_address(index), "--id", id]);
        command.args(["--store", &self.store]);
        command.arg("--log").arg(self.runner_log());
        command.args(options);
        self.spawn(&format!("runner-{id}-{}", http::now_ms()), &mut command)
    }

    /// Returns the address of daemon `index` for clients.
    pub fn entry(&self, index: u16) -> String {
        format!("127.0.1.{index}:{}", self.ports[1])
    }

    fn readiness(&self, index: u16) -> String {
        format!("127.0.1.{index}:{}", self.ports[2])
    }

    /// Starts daemon `index` with the command of the deploy file and returns its process id.
    pub fn start_daemon(&self, index: u16, zone: &str) -> Option<u32> {
        let ip = format!("127.0.1.{index}");
        let (links, metrics) = (self.ports[3] + 15, self.ports[3] + 31);
        let settings = format!(
            "NodeName = \"front-{index}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\n\
             Serves = [\"frontend\",\"control_plane\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPorts = [{links},{}]\nSeedNodes = [\"127.0.1.1:{}\"]\nBootstrap = true\n\
             HeartbeatMs = 1200\n[Zones]\n{zone} = \"r\"\n\
             [Listen]\nFrontend = \"{}\"\nReadiness = \"{}\"\nControl = \"{ip}:{}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = {}\nMaxFds = {}\nLinkMbps = 1000.0\n\
             DiskMb = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
             DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             RollbackSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 106\nColdOver = 1.5\n\
             ColdSlack = 5\nEvacMs = 5000\nRecoverS = 12\nPassMs = 120\nAgainS = 0\nstall_ms = 1500\n\
             HoldMaxMs = 20000\nFreeMs = 4000\nIdleMaxMs = 9000\n\
             [PlatformConfig]\nAddress = \"{}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            links + 15,
            self.ports[2] + 1,
            self.entry(index),
            self.readiness(index),
            self.ports[2] + 1,
            self.limits.0,
            self.limits.1,
            self.store,
        );
        let path = self.directory.join(format!("front-{index}.toml"));
        fs::write(&path, settings).ok()?;
        let mut command = Command::new(&self.daemon);
        command.args(["platform", "--metrics-port", &metrics.to_string()]);
        command.env("PRIMROSEHOIST_NODE_FILE", &path);
        self.spawn(&format!("front-{index}-{}", http::now_ms()), &mut command)
    }

    /// Returns whether daemon `index` follows the store, as its log says.
    pub fn follows_store(&self, index: u16) -> bool {
        let mut text = String::new();
        let entries = fs::read_dir(&self.directory).into_iter().flatten().flatten();
        let prefix = format!("front-{index}-");
        let is_log = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            name.starts_with(&prefix) && name.ends_with(".out")
        };
        let mut logs: Vec<PathBuf> = entries.map(|entry| entry.path()).filter(is_log).collect();
        logs.sort();
        if let Some(log) = logs.last() {
            text = fs::read_to_string(log).unwrap_or_default();
        }
        let told = text.lines().filter(|line| line.contains("assignment to follow the store changed"));
        told.last().is_none_or(|line| line.contains("\"follows\":true"))
    }

    /// Waits until daemon `index` says that it is ready.
    pub fn wait_ready(&self, index: u16) -> bool {
        let second = Duration::from_secs(1);
        for _ in 0..200 {
            let path = "/primrosehoist/ready";
            if http::call(&self.readiness(index), "GET", path, &[], b"", second).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn wait_open(&self, address: &str) -> bool {
        for _ in 0..200 {
            if TcpStream::connect(address).is_ok() {
                return true;
            }
            thread::sleep(Duration::from_millis(25));
        }
        false
    }

    /// Returns whether the process has ended, and reaps it.
    pub fn has_ended(&self, id: u32) -> bool {
        let Ok(mut children) = self.children.lock() else {
            return true;
        };
        let child = children.iter_mut().find(|child| child.id() == id);
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Sends a signal to a process that this fleet started.
    pub fn signal(&self, id: u32, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), id.to_string()]).status();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Ok(mut children) = self.children.lock() {
            for child in children.iter_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Returns a desired state. `routes` are complete.
pub fn desired_state(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"Version\":{version},\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":9000}},\"Routes\":[{}],\"Services\":[{}],\
         \"Tenants\":[{{\"Name\":\"rope\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a route for the paths below `/name/`.
pub fn route(name: &str, kind: &str, service: &str) -> String {
    let streams = kind == "streaming";
    let (timeout, objective) = if streams { (10_000, 300) } else { (2500, 300) };
    let attempts = if kind == "non_idempotent" { 1 } else { 2 };
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout},\"SloMs\":{objective},\"Priority\":1,\"Service\":\"{service}\",\
         \"MaxAttempts\":{attempts},\"Public\":false,\"Resumable\":{streams},\"Sticky\":{streams},\
         \"GapAimMs\":200}}"
    )
}

/// Returns a service of model runners with the engine of the sheets.
pub fn model_service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"MaxConns\":400,\"ColdPerS\":0.0,\"HealthPath\":\"/health\",\"Engine\":\
         {{\"Slots\":16,\"KvCapacity\":450000,\"Stride\":46,\"step_ms\":0.925,\"per_seq_ms\":0.00483,\
         \"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048}}}}"
    )
}

/// Returns a service without engines whose runners are never cold.
pub fn plain_service(name: &str) -> String {
    cold_service(name, 0)
}

/// Returns a service without engines whose cold runners tolerate `rate` requests a second.
pub fn cold_service(name: &str, rate: u64) -> String {
    format!("{{\"Name\":\"{name}\",\"MaxConns\":110,\"ColdPerS\":{rate}.0,\"HealthPath\":\"/health\"}}")
}
