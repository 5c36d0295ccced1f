//! The store and the runners of a day, as processes of this program.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{self, Instant};

use crate::day::process::Process;
use crate::day::schedule::Schedule;
use crate::published::deployment::{self, APPLICATION, MODEL};

/// The longest time until a stand-in listens.
const LISTENING_MAX: Duration = Duration::from_secs(10);

/// The interval between attempts to connect.
const CONNECT_PERIOD: Duration = Duration::from_millis(20);

/// The first port of runners.
const PORT_FIRST: u16 = 7_200;

/// The rates and the lifetime of entries of the store.
const STORE: [&str; 6] = [
    "--writes-per-s",
    "400",
    "--reads-per-s",
    "2000",
    "--expire-ms",
    deployment::ENTRY_MAX_MS,
];

#[derive(Debug)]
struct Runner {
    address: SocketAddr,
    service: &'static str,
    zone: String,
    /// The value of an unknown field of its entry, as JSON text.
    field: Option<String>,
    starts: u32,
}

impl Runner {
    fn id(&self) -> String {
        format!("i-{}-{}", self.address.port(), self.starts)
    }
}

/// The store and the runners.
#[derive(Debug)]
pub(crate) struct Upstreams {
    /// The address of the store without its troubles.
    pub(crate) store: SocketAddr,
    /// The address at which runners reach it.
    gate: SocketAddr,
    program: PathBuf,
    directory: PathBuf,
    runners: Vec<Mutex<Runner>>,
    processes: std::sync::Mutex<Processes>,
}

#[derive(Debug)]
struct Processes {
    store: Option<Process>,
    runners: Vec<Option<Process>>,
}

impl Upstreams {
    /// Starts a store at `ip` and prepares `models` and `applications` runners in `zones`, which reach it at
    /// `gate`. The page size of the store and the unknown fields of entries are those of the schedule.
    ///
    /// # Errors
    ///
    /// Fails if the store does not start.
    pub(crate) async fn start(
        (ip, gate): (IpAddr, SocketAddr),
        directory: &Path,
        zones: &[String],
        (models, applications): (usize, usize),
        schedule: &Schedule,
    ) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let (store, also) = (SocketAddr::new(ip, 7_100), SocketAddr::new(ip, 7_101));
        let (listen, second) = (store.to_string(), also.to_string());
        let mut arguments = vec!["store", "--listen", &listen, "--also", &second];
        let page = schedule.page.to_string();
        arguments.extend(["--page", &page]);
        arguments.extend(STORE);
        let process = Process::start(&program, &arguments, &[], &directory.join("store.log"))?;
        wait_listening(store).await?;
        let mut runners = Vec::new();
        for (port, index) in (PORT_FIRST..).zip(0..models + applications) {
            runners.push(Mutex::new(Runner {
                address: SocketAddr::new(ip, port),
                service: if index < models { MODEL } else { APPLICATION },
                zone: zones[index % zones.len()].clone(),
                field: schedule.entry_fields.get(&index).cloned(),
                starts: 0,
            }));
        }
        Ok(Self {
            store,
            gate,
            program,
            directory: directory.to_owned(),
            processes: std::sync::Mutex::new(Processes {
                store: Some(process),
                runners: runners.iter().map(|_| None).collect(),
            }),
            runners,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Processes> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills all processes; none is started from now on.
    pub(crate) fn kill(&self) {
        let mut processes = self.lock();
        processes.store = None;
        processes.runners.clear();
    }

    /// Starts all runners.
    ///
    /// # Errors
    ///
    /// Fails if one does not start.
    pub(crate) async fn start_runners(&self) -> io::Result<()> {
        for (index, runner) in self.runners.iter().enumerate() {
            self.start_runner(index, &mut *runner.lock().await).await?;
        }
        Ok(())
    }

    async fn start_runner(&self, index: usize, runner: &mut Runner) -> io::Result<()> {
        runner.starts += 1;
        let (id, address) = (runner.id(), runner.address.to_string());
        let (gate, slots) = (self.gate.to_string(), deployment::slots(runner.service));
        let mut arguments = vec![
            "runner",
            "--listen",
            &address,
            "--id",
            &id,
            "--store",
            &gate,
            "--service",
            runner.service,
            "--zone",
            &runner.zone,
            "--slots",
            slots,
        ];
        if let Some(field) = &runner.field {
            arguments.extend(["--field", field]);
        }
        let log = self.directory.join(format!("runner-{id}.log"));
        if let Some(process) = self.lock().runners.get_mut(index) {
            *process = Some(Process::start(&self.program, &arguments, &[], &log)?);
        }
        wait_listening(runner.address).await
    }

    /// Ends a runner for a while. It comes back under another id; the store removes its entry.
    ///
    /// # Errors
    ///
    /// Fails if the runner does not start.
    pub(crate) async fn end_runner(&self, index: usize, duration: Duration) -> io::Result<()> {
        let mut runner = self.runners[index].lock().await;
        if let Some(process) = self.lock().runners.get_mut(index) {
            *process = None;
        }
        time::sleep(duration).await;
        self.start_runner(index, &mut runner).await
    }
}

async fn wait_listening(address: SocketAddr) -> io::Result<()> {
    let deadline = Instant::now() + LISTENING_MAX;
    loop {
        match TcpStream::connect(address).await {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() >= deadline => {
                return Err(io::Error::new(error.kind(), format!("{address}: {error}")));
            }
            Err(_) => time::sleep(CONNECT_PERIOD).await,
        }
    }
}
