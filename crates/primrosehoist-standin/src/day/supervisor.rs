//! Daemons that are started again whenever they have ended.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::day::process::Process;
use crate::day::verdict::{Condition, End, Record, Sample};
use crate::published::deployment::{self, GRACE_S, Place};

/// The time between an end and the next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The time from a signal to end until a process is killed.
const GRACE: Duration = Duration::from_secs(GRACE_S);

/// The failed readiness checks after which a host gets no new connections.
const MISSES_MAX: u8 = 2;

/// A host as it is prepared.
#[derive(Debug)]
pub(crate) struct Prepared {
    /// The name.
    pub(crate) name: String,
    /// The address for clients.
    pub(crate) ingress: SocketAddr,
    /// The address of the readiness check.
    pub(crate) readiness: SocketAddr,
    settings: PathBuf,
    text: String,
}

impl Prepared {
    /// Writes the settings file of a host.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub(crate) fn new(place: Place<'_>, directory: &Path) -> io::Result<Self> {
        let prepared = Self {
            name: place.name.to_owned(),
            ingress: place.ingress(),
            readiness: place.readiness(),
            settings: directory.join(format!("{}.toml", place.name)),
            text: place.settings(),
        };
        fs::write(&prepared.settings, &prepared.text)?;
        Ok(prepared)
    }
}

#[derive(Debug)]
struct Life {
    process: Process,
    number: u32,
    told: Option<Instant>,
    killed: bool,
    frozen: Option<Instant>,
    frozen_time: Duration,
    processor_ms: u64,
    peak_kib: u64,
}

impl Life {
    /// Updates the figures, which the system forgets at the end.
    fn measure(&mut self) {
        let processor_ms = self.process.processor_ms();
        self.processor_ms = processor_ms.unwrap_or(0).max(self.processor_ms);
        self.peak_kib = self.process.peak_kib().unwrap_or(0).max(self.peak_kib);
    }

    /// Returns whether the process has had more than its grace; time in which it is stopped does not count.
    fn is_overdue(&self) -> bool {
        let frozen = self.frozen.map_or(Duration::ZERO, |since| since.elapsed());
        let grace = GRACE + self.frozen_time + frozen;
        !self.killed && self.told.is_some_and(|told| told.elapsed() > grace)
    }
}

#[derive(Debug, Default)]
struct Host {
    life: Option<Life>,
    lives: u32,
    restart: Option<Instant>,
    upgraded: bool,
    hindrances: u32,
    hindered: Option<Instant>,
    misses: u8,
}

impl Host {
    /// Returns whether the day keeps the present process from its start.
    fn is_hindered(&self) -> bool {
        let started = self.life.as_ref().map(|life| life.process.started);
        started.is_some_and(|started| self.hindered.is_some_and(|since| started >= since))
    }
}

#[derive(Debug, Default)]
struct State {
    hosts: Vec<Host>,
    record: Record,
    closed: bool,
}

/// The daemons of a day.
#[derive(Debug)]
pub(crate) struct Supervisor {
    /// The hosts.
    pub(crate) hosts: Vec<Prepared>,
    /// The start of the day.
    pub(crate) started: Instant,
    directory: PathBuf,
    daemons: [PathBuf; 2],
    state: Mutex<State>,
}

impl Supervisor {
    /// Creates a supervisor, which starts the hosts at its first [`Supervisor::step`]. Logs are written to
    /// `directory`. The second of `daemons` is the build to which hosts are upgraded.
    pub(crate) fn new(hosts: Vec<Prepared>, directory: &Path, daemons: [PathBuf; 2]) -> Self {
        let started = Instant::now();
        let state = hosts.iter().map(|_| Host {
            restart: Some(started),
            ..Host::default()
        });
        let state = State {
            hosts: state.collect(),
            ..State::default()
        };
        Self {
            hosts,
            started,
            directory: directory.to_owned(),
            daemons,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the day in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Records the processes that have ended, kills those that are overdue, and starts those that are due.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be looked after.
    pub(crate) fn step(&self) -> io::Result<()> {
        let mut guard = self.lock();
        let state = &mut *guard;
        for (index, host) in state.hosts.iter_mut().enumerate() {
            if let Some(life) = &mut host.life {
                life.measure();
                if let Some(exit) = life.process.ended()? {
                    let (log, panicked) = life.process.logged()?;
                    let age = life.process.started.elapsed();
                    let told_age = life.told.map(|told| told - life.process.started);
                    state.record.ends.push(End {
                        host: index,
                        life: life.number,
                        at_ms: self.now_ms(),
                        exit,
                        told_age_ms: told_age.map(|age| age.as_millis() as u64),
                        killed: life.killed,
                        panicked,
                        age_ms: age.as_millis() as u64,
                        peak_kib: life.peak_kib,
                        processor_ms: life.processor_ms,
                        log,
                    });
                    host.life = None;
                    host.restart = Some(Instant::now() + RESTART_DELAY);
                } else if life.is_overdue() {
                    state.record.overdue.push((index, life.number));
                    life.killed = true;
                    life.process.signal(Signal::KILL)?;
                }
            }
            let is_due = host.restart.is_some_and(|at| at <= Instant::now());
            if host.life.is_none() && is_due && !state.closed {
                host.restart = None;
                host.life = Some(self.start(index, host.lives, host.upgraded)?);
                host.lives += 1;
            }
        }
        Ok(())
    }

    fn start(&self, index: usize, number: u32, upgraded: bool) -> io::Result<Life> {
        let host = &self.hosts[index];
        let log = self.directory.join(format!("{}.{number}.log", host.name));
        let daemon = &self.daemons[usize::from(upgraded)];
        let variables = [(deployment::SETTINGS_VARIABLE, host.settings.as_path())];
        Ok(Life {
            process: Process::start(daemon, &["platform"], &variables, &log)?,
            number,
            told: None,
            killed: false,
            frozen: None,
            frozen_time: Duration::ZERO,
            processor_ms: 0,
            peak_kib: 0,
        })
    }

    /// Sends a signal to the present process of a host, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the signal.
    pub(crate) fn signal(&self, host: usize, signal: Signal) -> io::Result<()> {
        let mut state = self.lock();
        let Some(life) = &mut state.hosts[host].life else {
            return Ok(());
        };
        if signal == Signal::TERM {
            life.told.get_or_insert_with(Instant::now);
        }
        life.killed |= signal == Signal::KILL;
        life.process.signal(signal)
    }

    /// Returns whether a signal that is not to end the present process of a host would reach a handler.
    pub(crate) fn handles_hangup(&self, host: usize) -> bool {
        let state = self.lock();
        let life = state.hosts[host].life.as_ref();
        life.is_none_or(|life| life.process.handles_hangup())
    }

    /// Stops the present process of a host and returns its number, unless it is stopped already.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the signal.
    pub(crate) fn freeze(&self, host: usize) -> io::Result<Option<u32>> {
        let mut state = self.lock();
        let life = state.hosts[host].life.as_mut();
        let Some(life) = life.filter(|life| life.frozen.is_none()) else {
            return Ok(None);
        };
        life.frozen = Some(Instant::now());
        life.process.signal(Signal::STOP)?;
        Ok(Some(life.number))
    }

    /// Continues a process of a host that was stopped.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the signal.
    pub(crate) fn thaw(&self, host: usize, number: u32) -> io::Result<()> {
        let mut state = self.lock();
        let life = state.hosts[host].life.as_mut();
        let Some(life) = life.filter(|life| life.number == number) else {
            return Ok(());
        };
        if let Some(since) = life.frozen.take() {
            life.frozen_time += since.elapsed();
        }
        life.process.signal(Signal::CONT)
    }

    /// Stops or continues the present process of a host for a part of its time, unless it is frozen.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the signal.
    pub(crate) fn pulse(&self, host: usize, signal: Signal) -> io::Result<()> {
        let state = self.lock();
        let life = state.hosts[host].life.as_ref();
        match life.filter(|life| life.frozen.is_none()) {
            Some(life) => life.process.signal(signal),
            None => Ok(()),
        }
    }

    /// Lets a host start with the other build from now on, or with the first one again.
    pub(crate) fn upgrade(&self, host: usize) {
        let mut state = self.lock();
        state.hosts[host].upgraded = !state.hosts[host].upgraded;
    }

    /// Marks that processes of a host cannot start from now on. They have to be able to as often as
    /// [`Supervisor::unhinder`] is called.
    pub(crate) fn hinder(&self, host: usize) {
        let mut state = self.lock();
        let host = &mut state.hosts[host];
        host.hindrances += 1;
        host.hindered.get_or_insert_with(Instant::now);
    }

    /// Reverts one [`Supervisor::hinder`].
    pub(crate) fn unhinder(&self, host: usize) {
        let mut state = self.lock();
        let host = &mut state.hosts[host];
        host.hindrances -= 1;
        if host.hindrances == 0 {
            host.hindered = None;
        }
    }

    /// Writes the settings of a host: whole, changed, or the first half of them.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub(crate) fn write_settings(&self, host: usize, content: Content) -> io::Result<()> {
        let host = &self.hosts[host];
        match content {
            Content::Whole => fs::write(&host.settings, &host.text),
            Content::Changed => fs::write(&host.settings, deployment::changed(&host.text)),
            Content::Half => fs::write(&host.settings, &host.text[..host.text.len() / 2]),
            Content::None => match fs::remove_file(&host.settings) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
                _ => Ok(()),
            },
        }
    }

    /// Returns the number of the present process of each host.
    pub(crate) fn lives(&self) -> Vec<Option<u32>> {
        let state = self.lock();
        let hosts = state.hosts.iter();
        hosts
            .map(|host| host.life.as_ref().map(|life| life.number))
            .collect()
    }

    /// Returns whether each host gets new connections.
    pub(crate) fn in_rotation(&self) -> Vec<bool> {
        let state = self.lock();
        let hosts = state.hosts.iter();
        hosts.map(|host| host.misses < MISSES_MAX).collect()
    }

    /// Records the responses to a round of readiness checks; `lives` are the processes before it.
    pub(crate) fn sample(
        &self,
        at_ms: u64,
        ready: &[Option<u16>],
        lives: &[Option<u32>],
        store: bool,
    ) {
        let mut guard = self.lock();
        let state = &mut *guard;
        for (index, host) in state.hosts.iter_mut().enumerate() {
            host.misses = match ready[index] {
                Some(200) => 0,
                _ => host.misses.saturating_add(1),
            };
            let hindered = host.is_hindered();
            let Some(life) = &mut host.life else { continue };
            if lives[index] != Some(life.number) {
                continue;
            }
            life.measure();
            let condition = if life.frozen.is_some() {
                Condition::Frozen
            } else if life.told.is_some() {
                Condition::Told
            } else if hindered {
                Condition::Hindered
            } else {
                Condition::Free
            };
            state.record.samples.push(Sample {
                at_ms,
                host: index,
                life: life.number,
                ready: ready[index],
                condition,
                store,
                processor_ms: life.processor_ms,
                peak_kib: life.peak_kib,
            });
        }
    }

    /// Tells all processes to end; none is started from now on.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the signal.
    pub(crate) fn close(&self) -> io::Result<()> {
        {
            let mut guard = self.lock();
            let state = &mut *guard;
            state.closed = true;
            for (index, host) in state.hosts.iter().enumerate() {
                if let Some(life) = &host.life
                    && life.process.logged()?.1
                {
                    state.record.panicked.push((index, life.number));
                }
            }
        }
        (0..self.hosts.len()).try_for_each(|host| self.signal(host, Signal::TERM))
    }

    /// Returns whether no process is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().hosts.iter().all(|host| host.life.is_none())
    }

    /// Kills all processes; none is started from now on.
    pub(crate) fn kill(&self) {
        let mut state = self.lock();
        state.closed = true;
        for host in &mut state.hosts {
            host.life = None;
        }
    }

    /// Returns what was recorded so far.
    pub(crate) fn record(&self) -> Record {
        self.lock().record.clone()
    }
}

/// The content of a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Content {
    /// The settings of the host.
    Whole,
    /// Other settings that a running process may take over.
    Changed,
    /// The first half of the settings.
    Half,
    /// There is no file.
    None,
}
