//! Starts and ends the project's daemon with the command of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

const FRONTEND: u16 = 8227;
const READINESS: u16 = 8220;
const INTERNAL: u16 = 7340;
const METRICS: u16 = 9464;

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The daemons that run, which the watchdog ends.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons and the test after `limit`.
pub fn watch_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING
            .lock()
            .map(|running| running.clone())
            .unwrap_or_default()
        {
            // SAFETY: sends a signal to a process that this test started.
            unsafe { kill(pid as i32, 9) };
        }
        std::process::exit(2);
    });
}

/// Returns loopback addresses at which the ports of a daemon are free.
pub fn free_hosts(count: usize) -> Vec<Ipv4Addr> {
    let seed = std::process::id();
    let hosts = (0..20_000_u32).map(|index| {
        let number = seed.wrapping_mul(97).wrapping_add(index);
        Ipv4Addr::new(
            127,
            16 + (number % 200) as u8,
            (number / 200 % 250) as u8,
            7,
        )
    });
    let is_free = |host: &Ipv4Addr| {
        let ports = [FRONTEND, READINESS, INTERNAL, METRICS];
        ports
            .iter()
            .all(|port| TcpListener::bind((*host, *port)).is_ok())
            && UdpSocket::bind((*host, INTERNAL)).is_ok()
    };
    hosts.filter(is_free).take(count).collect()
}

/// A daemon as a separate process. Dropping it ends it.
pub struct Daemon {
    pub name: String,
    pub host: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Daemon {
    /// Prepares a daemon that uses the store at `store`.
    pub fn new(
        name: &str,
        host: Ipv4Addr,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\nIp = \"{host}\"\n\
             Zone = \"{zone}\"\nRegion = \"region-a\"\nInternalPorts = [{INTERNAL}, {}]\nHeartbeatMs = 1200\n\
             [Listen]\nFrontend = \"{host}:{FRONTEND}\"\nReadiness = \"{host}:{READINESS}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
             [Bounds]\nStableWindowMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\n\
             ConfigApplyMs = 2000\nRollbackSlackMs = 250\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n\
             RetrySlack = 106\nColdOver = 1.5\nColdSlack = 5\nEvacMs = 5000\nRecoverS = 12\n\
             stall_ms = 1500\nHoldMaxMs = 20000\nFreeMs = 4000\nIdleMaxMs = 9000\n\
             [PlatformConfig]\nAddress = \"{store}\"\nform = \"objects\"\n",
            INTERNAL + 15,
        );
        fs::write(&settings, text).expect("the temporary folder is writable");
        let log = folder.join(format!("{name}.log"));
        Self {
            name: name.to_owned(),
            host,
            settings,
            log,
            child: None,
            record: record.clone(),
        }
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.host, FRONTEND))
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/primrosehoistd");
        command
            .args(["platform", "--metrics-port", "9464"])
            .env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("PRIMROSEHOIST_NODE_FILE", &self.settings);
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().expect("no thread panics").push(child.id());
        self.record.line(format!(
            "daemon {}: started at {}",
            self.name,
            self.frontend()
        ));
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(format!("daemon {}: ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.host, READINESS));
        let Ok(mut connection) = Connection::connect(address) else {
            return false;
        };
        let request = format!("GET /primrosehoist/ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let sent = connection.stream.write_all(request.as_bytes());
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(1)));
        sent.is_ok()
            && connection
                .message()
                .is_ok_and(|response| response.status() == 200)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: sends a signal to a process that this test started.
            unsafe { kill(child.id() as i32, signal) };
            self.record
                .line(format!("daemon {}: signal {signal}", self.name));
        }
    }

    /// Waits until the process has ended, and returns when it was seen.
    pub fn wait_ended(&mut self, limit: Duration) -> Option<Instant> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(child) = &mut self.child
                && let Ok(Some(status)) = child.try_wait()
            {
                self.record
                    .line(format!("daemon {}: process ended, {status}", self.name));
                return Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            if let Ok(mut running) = RUNNING.lock() {
                running.retain(|pid| *pid != child.id());
            }
        }
    }
}
