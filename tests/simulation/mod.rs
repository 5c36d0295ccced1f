//! A deterministic simulation of the holdings of several daemons, with a simulated clock and a
//! platform and a network whose delays, losses and cuts depend on a seed.

mod network;
mod platform;

use std::collections::BTreeMap;
use std::time::Duration;

use primrosehoist::coordination::holding::{Context, Holdings};
use primrosehoist::coordination::rendezvous;
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use network::{Envelope, Message, Network};
use platform::Platform;

pub const STEP: Duration = Duration::from_millis(100);
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
const READ_INTERVAL_STEPS: u64 = 10;
const HOST_REMOVAL_DELAY: Duration = Duration::from_secs(4);

/// One daemon. A restart replaces its state and increments `process`.
pub struct Daemon {
    pub host: name::Host,
    pub holdings: Holdings,
    pub process: u64,
    pub paused: bool,
    pub dead_since: Option<Instant>,
    pub last_seen: Map<name::Host, Instant>,
    pub in_flight: Map<name::Upstream, u32>,
    pub draining: bool,
}

/// The daemons, the platform and the network between them.
pub struct World {
    pub rng: StdRng,
    pub now: Instant,
    pub step: u64,
    pub daemons: Vec<Daemon>,
    pub upstreams: Vec<name::Upstream>,
    pub platform: Platform,
    pub network: Network,
    /// Replaced hosts with the time of replacement.
    retired: Vec<(name::Host, Instant)>,
}

pub fn host(index: usize) -> name::Host {
    name::Host::try_from(format!("h{index}")).unwrap()
}

impl World {
    pub fn new(seed: u64, daemons: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(1000);
        let daemon = |index| Daemon::new(host(index), 0, now);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            step: 0,
            daemons: (0..daemons).map(daemon).collect(),
            upstreams: (0..4)
                .map(|n| name::Upstream::try_from(format!("u{n}")).unwrap())
                .collect(),
            platform: Platform::default(),
            network: Network::default(),
            retired: Vec::new(),
        }
    }

    /// Advances the clock by one step, delivers messages and runs each daemon.
    pub fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        self.exchange_heartbeats();
        self.deliver();
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_running() {
                self.run_daemon(index);
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        for a in 0..self.daemons.len() {
            for b in 0..self.daemons.len() {
                let both = self.network.is_connected(a, b) && self.network.is_connected(b, a);
                if a != b && both && self.daemons[a].is_running() && self.daemons[b].is_running() {
                    let from = self.daemons[b].host.clone();
                    self.daemons[a].last_seen.insert(from, self.now);
                }
            }
        }
    }

    fn run_daemon(&mut self, index: usize) {
        if (self.step + index as u64).is_multiple_of(READ_INTERVAL_STEPS) {
            self.send(index, None, Message::Read { begun: self.now });
        }
        let decision = self.decide(index);
        if let Some(write) = decision.write {
            let begun = self.now;
            self.send(index, None, Message::Write { write, begun });
        }
        let others: Vec<usize> = (0..self.daemons.len()).filter(|b| *b != index).collect();
        for other in others {
            if let Some(promise) = &decision.promise {
                let promise = promise.clone();
                let asked_at = self.now;
                self.send(index, Some(other), Message::Promise { promise, asked_at });
            }
            for takeover in decision.takeovers.clone() {
                self.send(index, Some(other), Message::Takeover { takeover });
            }
        }
    }

    fn decide(&mut self, index: usize) -> primrosehoist::coordination::holding::Decision {
        let gone: Vec<name::Host> = self.gone();
        let now = self.now;
        let own = self.daemons[index].host.clone();
        let draining: Vec<name::Host> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.draining)
            .map(|daemon| daemon.host.clone())
            .collect();
        let last_seen = self.daemons[index].last_seen.clone();
        let alive = |host: &name::Host| {
            let at = last_seen.get(host);
            *host == own || at.is_some_and(|at| now < *at + LIVENESS_TIMEOUT)
        };
        let hosts: Vec<_> = self
            .daemons
            .iter()
            .map(|daemon| daemon.host.clone())
            .collect();
        let daemons: Vec<_> = hosts.into_iter().filter(|host| alive(host)).collect();
        let candidates: Vec<_> = daemons
            .iter()
            .filter(|host| !draining.contains(host))
            .cloned()
            .collect();
        let in_flight = self.daemons[index].in_flight.clone();
        let held: Vec<_> = self
            .daemons
            .iter()
            .map(|d| (d.host.clone(), d.in_flight.clone()))
            .collect();
        let settled = |host: &name::Host, upstream: &name::Upstream, _epoch: u64| {
            let flight = held.iter().find(|(name, _)| name == host);
            let busy =
                flight.is_some_and(|(_, flight)| flight.get(upstream).is_some_and(|n| *n > 0));
            gone.contains(host) || *host == own || (alive(host) && !busy)
        };
        let context = Context {
            now,
            upstreams: &self.upstreams,
            daemons: &daemons,
            candidates: &candidates,
            draining: draining.contains(&own),
            is_alive: &alive,
            is_gone: &|host| gone.contains(host),
            is_settled: &settled,
            in_flight: &|upstream| in_flight.get(upstream).copied().unwrap_or(0),
        };
        self.daemons[index].holdings.decide(&context)
    }

    fn gone(&self) -> Vec<name::Host> {
        let dead = |daemon: &&Daemon| {
            let since = daemon.dead_since;
            since.is_some_and(|since| self.now >= since + HOST_REMOVAL_DELAY)
        };
        let gone = self.daemons.iter().filter(dead);
        let retired = self
            .retired
            .iter()
            .filter(|(_, at)| self.now >= *at + HOST_REMOVAL_DELAY);
        let retired = retired.map(|(host, _)| host.clone());
        gone.map(|daemon| daemon.host.clone())
            .chain(retired)
            .collect()
    }

    fn send(&mut self, from: usize, to: Option<usize>, message: Message) {
        let process = self.daemons[from].process;
        let delay = STEP * self.rng.random_range(0..8);
        let due = self.now + delay;
        self.network.send(Envelope {
            from,
            to,
            process,
            due,
            message,
        });
    }

    /// Returns the daemons, including paused ones, whose lease on `upstream` permits sending now.
    pub fn senders(&self, upstream: &name::Upstream) -> Vec<name::Host> {
        let sends = |daemon: &&Daemon| {
            let lease = daemon.holdings.leases().get(upstream).cloned();
            daemon.dead_since.is_none()
                && lease.is_some_and(|lease| lease.permits_sending(self.now))
        };
        let senders = self.daemons.iter().filter(sends);
        senders.map(|daemon| daemon.host.clone()).collect()
    }

    /// Returns the upstreams to which more than one daemon may send, if there are any.
    pub fn conflict(&self) -> Option<BTreeMap<name::Upstream, Vec<name::Host>>> {
        let senders: BTreeMap<_, _> = self
            .upstreams
            .iter()
            .map(|upstream| (upstream.clone(), self.senders(upstream)))
            .filter(|(_, senders)| senders.len() > 1)
            .collect();
        (!senders.is_empty()).then_some(senders)
    }

    /// Returns whether each upstream is held by exactly the daemon it is assigned to.
    pub fn is_placed(&self) -> bool {
        let hosts: Vec<_> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.is_running() && !daemon.draining)
            .map(|daemon| daemon.host.clone())
            .collect();
        self.upstreams.iter().all(|upstream| {
            let owner = rendezvous::first(upstream.as_str(), &hosts).cloned();
            self.senders(upstream) == Vec::from_iter(owner)
        })
    }

    pub fn restart(&mut self, index: usize) {
        let old = &self.daemons[index];
        let (host, process) = (old.host.clone(), old.process + 1);
        self.daemons[index] = Daemon::new(host, process, self.now);
    }

    /// Stops a daemon together with its host and starts another one on a new host.
    pub fn replace(&mut self, index: usize) {
        let old = &self.daemons[index];
        let process = old.process + 1;
        self.retired.push((old.host.clone(), self.now));
        let host = name::Host::try_from(format!("h{index}-{process}")).unwrap();
        self.daemons[index] = Daemon::new(host, process, self.now);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].dead_since = Some(self.now);
    }

    /// Clears all faults. A killed daemon stays dead.
    pub fn clear_faults(&mut self) {
        self.network.clear_faults();
        self.platform.clear_faults();
        for daemon in &mut self.daemons {
            daemon.paused = false;
        }
    }
}

impl Daemon {
    fn new(host: name::Host, process: u64, now: Instant) -> Self {
        Self {
            holdings: Holdings::new(host.clone(), now),
            host,
            process,
            paused: false,
            dead_since: None,
            last_seen: Map::default(),
            in_flight: Map::default(),
            draining: false,
        }
    }

    pub fn is_running(&self) -> bool {
        !self.paused && self.dead_since.is_none()
    }
}
