//! The store and the runners of a day, as processes of this program.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{self, Instant};

use crate::day::process::Process;
use crate::published::deployment::{self, APPLICATION, ENTRY_MAX_MS, MODEL};

/// The longest time until a stand-in listens.
const LISTENING_MAX: Duration = Duration::from_secs(10);

/// The interval between attempts to connect.
const CONNECT_PERIOD: Duration = Duration::from_millis(20);

/// The first port of runners.
const PORT_FIRST: u16 = 7_200;

/// The objects of a page of the store.
const PAGE: &str = "500";

/// The kind of the entries of runners in the store.
const ENTRIES: &str = "servers";

#[derive(Debug)]
struct Runner {
    address: SocketAddr,
    service: &'static str,
    zone: String,
    starts: u32,
    process: Option<Process>,
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
    program: PathBuf,
    directory: PathBuf,
    runners: Vec<Mutex<Runner>>,
    _store: Process,
}

impl Upstreams {
    /// Starts a store at `ip` and prepares `models` and `applications` runners in `zones`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not start.
    pub(crate) async fn start(
        ip: IpAddr,
        directory: &Path,
        zones: &[String],
        (models, applications): (usize, usize),
    ) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let (store, also) = (SocketAddr::new(ip, 7_100), SocketAddr::new(ip, 7_101));
        let (listen, second) = (store.to_string(), also.to_string());
        let arguments = [
            "store", "--listen", &listen, "--also", &second, "--page", PAGE,
        ];
        let process = Process::start(&program, &arguments, &[], &directory.join("store.log"))?;
        wait_listening(store).await?;
        let mut runners = Vec::new();
        for (port, index) in (PORT_FIRST..).zip(0..models + applications) {
            runners.push(Mutex::new(Runner {
                address: SocketAddr::new(ip, port),
                service: if index < models { MODEL } else { APPLICATION },
                zone: zones[index % zones.len()].clone(),
                starts: 0,
                process: None,
            }));
        }
        Ok(Self {
            store,
            program,
            directory: directory.to_owned(),
            runners,
            _store: process,
        })
    }

    /// Starts all runners.
    ///
    /// # Errors
    ///
    /// Fails if one does not start or cannot be registered.
    pub(crate) async fn start_runners(&self) -> io::Result<()> {
        for runner in &self.runners {
            self.start_runner(&mut *runner.lock().await).await?;
        }
        Ok(())
    }

    async fn start_runner(&self, runner: &mut Runner) -> io::Result<()> {
        runner.starts += 1;
        let (id, address) = (runner.id(), runner.address.to_string());
        let arguments = ["runner", "--listen", &address, "--id", &id];
        let log = self.directory.join(format!("runner-{id}.log"));
        runner.process = Some(Process::start(&self.program, &arguments, &[], &log)?);
        wait_listening(runner.address).await?;
        let entry = deployment::entry(runner.service, runner.address, &runner.zone);
        deployment::put(self.store, ENTRIES, &id, &entry).await
    }

    /// Ends a runner for a while. Its entry is removed as for one that is not heard; it comes back under
    /// another id.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the change of its entry, or the runner does not start.
    pub(crate) async fn end_runner(&self, index: usize, duration: Duration) -> io::Result<()> {
        let mut runner = self.runners[index].lock().await;
        let id = runner.id();
        runner.process = None;
        let silence = duration.min(Duration::from_millis(ENTRY_MAX_MS));
        time::sleep(silence).await;
        deployment::delete(self.store, ENTRIES, &id).await?;
        time::sleep(duration.saturating_sub(silence)).await;
        self.start_runner(&mut runner).await
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
