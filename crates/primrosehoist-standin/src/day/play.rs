//! What the troubles of a schedule do.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::day::odd;
use crate::day::schedule::{Action, Schedule, Settings, Store};
use crate::day::supervisor::{Content, Supervisor};
use crate::day::upstreams::Upstreams;
use crate::published::deployment;

/// The parts of a tenth of a second in which a process with a quarter of a core is stopped and runs.
const THROTTLE: (Duration, Duration) = (Duration::from_millis(75), Duration::from_millis(25));

/// The longest time in which a new process may be without handlers of signals.
const HANDLERS_MAX: Duration = Duration::from_secs(2);

/// The interval between attempts that wait for another process.
const RETRY_PERIOD: Duration = Duration::from_millis(5);

/// The longest time until a killed process has left its ports.
const LEAVE_MAX: Duration = Duration::from_millis(400);

/// The port of a host that is held for datagrams.
const DATAGRAM_PORT: u16 = 7_340;

/// What troubles act on.
#[derive(Debug)]
pub(crate) struct Stage {
    supervisor: Arc<Supervisor>,
    upstreams: Arc<Upstreams>,
    gate: watch::Sender<Store>,
    /// The number of troubles of the store so far.
    troubles: AtomicU64,
    version: AtomicU64,
    /// The value of an unknown field of the configuration, as JSON text.
    field: Option<String>,
}

impl Stage {
    /// Creates a stage whose store is still closed.
    pub(crate) fn new(
        supervisor: Arc<Supervisor>,
        upstreams: Arc<Upstreams>,
        gate: watch::Sender<Store>,
        field: Option<String>,
    ) -> Self {
        Self {
            supervisor,
            upstreams,
            gate,
            troubles: AtomicU64::new(0),
            version: AtomicU64::new(0),
            field,
        }
    }

    /// Plays a schedule until `duration` after the start of the day.
    ///
    /// # Errors
    ///
    /// Fails if a trouble cannot be brought about.
    pub(crate) async fn play(self, schedule: &Schedule, duration: Duration) -> io::Result<()> {
        let stage = Arc::new(self);
        stage.configure().await?;
        stage.upstreams.start_runners().await?;
        let started = Instant::from_std(stage.supervisor.started);
        time::sleep_until(started + Duration::from_millis(schedule.store_start_ms)).await;
        stage.gate.send_replace(Store::Open);
        let mut actions: JoinSet<io::Result<()>> = JoinSet::new();
        for trouble in &schedule.troubles {
            time::sleep_until(started + Duration::from_millis(trouble.at_ms)).await;
            log::info!("{:?}", trouble.action);
            let (stage, action) = (Arc::clone(&stage), trouble.action.clone());
            actions.spawn(async move { stage.perform(action).await });
            while let Some(ended) = actions.try_join_next() {
                ended.map_err(io::Error::other)??;
            }
        }
        while let Some(ended) = actions.join_next().await {
            ended.map_err(io::Error::other)??;
        }
        time::sleep_until(started + duration).await;
        Ok(())
    }

    async fn perform(&self, action: Action) -> io::Result<()> {
        let supervisor = &self.supervisor;
        match action {
            Action::Roll {
                hosts,
                delay_ms,
                upgrade,
            } => {
                for host in hosts {
                    if upgrade {
                        supervisor.upgrade(host);
                    }
                    supervisor.signal(host, Signal::TERM)?;
                    time::sleep(Duration::from_millis(delay_ms)).await;
                }
                Ok(())
            }
            Action::Kill { hosts } => hosts
                .into_iter()
                .try_for_each(|host| supervisor.signal(host, Signal::KILL)),
            Action::Reload {
                host,
                settings,
                for_ms,
            } => {
                let duration = Duration::from_millis(for_ms);
                self.reload(host, settings, duration).await
            }
            Action::Throttle { host, for_ms } => {
                let end = Instant::now() + Duration::from_millis(for_ms);
                while Instant::now() < end {
                    supervisor.pulse(host, Signal::STOP)?;
                    time::sleep(THROTTLE.0).await;
                    supervisor.pulse(host, Signal::CONT)?;
                    time::sleep(THROTTLE.1).await;
                }
                Ok(())
            }
            Action::Freeze { host, for_ms } => {
                if let Some(life) = supervisor.freeze(host)? {
                    time::sleep(Duration::from_millis(for_ms)).await;
                    supervisor.thaw(host, life)?;
                }
                Ok(())
            }
            Action::Trouble { store, for_ms } => {
                let number = self.troubles.fetch_add(1, Ordering::Relaxed) + 1;
                self.gate.send_replace(store);
                time::sleep(Duration::from_millis(for_ms)).await;
                // A later trouble ends by itself.
                if self.troubles.load(Ordering::Relaxed) == number {
                    self.gate.send_replace(Store::Open);
                }
                Ok(())
            }
            Action::LoseWatches { for_ms } => {
                let store = self.upstreams.store;
                deployment::control(store, "faults", r#"{"lose_watches":true}"#).await?;
                time::sleep(Duration::from_millis(for_ms)).await;
                deployment::control(store, "faults", r#"{"lose_watches":false}"#).await
            }
            Action::Forget => deployment::control(self.upstreams.store, "forget", "{}").await,
            Action::EndRunners { runners, for_ms } => {
                let duration = Duration::from_millis(for_ms);
                let ends = runners
                    .into_iter()
                    .map(|runner| self.upstreams.end_runner(runner, duration));
                futures_util::future::try_join_all(ends).await?;
                Ok(())
            }
            Action::HoldPort { host, port, for_ms } => {
                self.hold_port(host, port, Duration::from_millis(for_ms))
                    .await
            }
            Action::Configure => self.configure().await,
            Action::Keep { objects } => self.control("keep", &objects).await,
            Action::Remove { objects } => self.control("remove", &objects).await,
        }
    }

    async fn configure(&self) -> io::Result<()> {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = deployment::configuration(version);
        let object = deployment::object("main", &spec, self.field.as_deref());
        deployment::put(self.upstreams.store, "config", "main", &object).await
    }

    async fn control(&self, command: &str, objects: &[odd::Object]) -> io::Result<()> {
        let texts: Vec<String> = objects.iter().map(ToString::to_string).collect();
        let content = format!("[{}]", texts.join(","));
        deployment::control(self.upstreams.store, command, &content).await
    }

    async fn reload(&self, host: usize, settings: Settings, duration: Duration) -> io::Result<()> {
        let supervisor = &self.supervisor;
        match settings {
            Settings::Changed => {
                supervisor.write_settings(host, Content::Changed)?;
                self.hang_up(host).await?;
                time::sleep(duration).await;
            }
            Settings::Half => {
                supervisor.hinder(host);
                supervisor.write_settings(host, Content::Half)?;
                self.hang_up(host).await?;
                time::sleep(duration).await;
            }
            Settings::Late => {
                supervisor.hinder(host);
                supervisor.write_settings(host, Content::None)?;
                supervisor.signal(host, Signal::TERM)?;
                time::sleep(duration).await;
            }
        }
        supervisor.write_settings(host, Content::Whole)?;
        if settings != Settings::Changed {
            supervisor.unhinder(host);
        }
        if settings == Settings::Late {
            return Ok(());
        }
        self.hang_up(host).await
    }

    /// Sends SIGHUP to a process, as soon as it must not end by it.
    async fn hang_up(&self, host: usize) -> io::Result<()> {
        let deadline = Instant::now() + HANDLERS_MAX;
        while !self.supervisor.handles_hangup(host) && Instant::now() < deadline {
            time::sleep(RETRY_PERIOD).await;
        }
        self.supervisor.signal(host, Signal::HUP)
    }

    async fn hold_port(&self, host: usize, port: u16, duration: Duration) -> io::Result<()> {
        let ip = self.supervisor.hosts[host].ingress.ip();
        self.supervisor.hinder(host);
        self.supervisor.signal(host, Signal::KILL)?;
        let held = hold(ip, port).await;
        time::sleep(duration).await;
        if held.is_none() {
            log::warn!("port {port} of host {host} was not left");
        }
        drop(held);
        self.supervisor.unhinder(host);
        Ok(())
    }
}

/// Holds a port that becomes free soon.
async fn hold(ip: IpAddr, port: u16) -> Option<Box<dyn Send>> {
    let address = SocketAddr::new(ip, port);
    let deadline = Instant::now() + LEAVE_MAX;
    while Instant::now() < deadline {
        let held: io::Result<Box<dyn Send>> = if port == DATAGRAM_PORT {
            UdpSocket::bind(address).map(|held| Box::new(held) as _)
        } else {
            TcpListener::bind(address).map(|held| Box::new(held) as _)
        };
        if let Ok(held) = held {
            return Some(held);
        }
        time::sleep(RETRY_PERIOD).await;
    }
    None
}
