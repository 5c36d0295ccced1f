//! Runs the holdings of three daemons in one process, on a clock of its own, with a platform and
//! a network that delay, lose and cut as a seed says.

mod network;
mod platform;

use std::collections::BTreeMap;
use std::time::Duration;

use primrosehoist::coordination::holding::{Holdings, Surroundings};
use primrosehoist::coordination::rendezvous;
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use network::{Message, Network, Post};
use platform::Platform;

pub const STEP: Duration = Duration::from_millis(100);
const SILENCE: Duration = Duration::from_secs(2);
const READ_EVERY: u64 = 10;
const GONE_AFTER: Duration = Duration::from_secs(4);

/// One daemon, of which each process has its own state.
pub struct Daemon {
    pub host: name::Host,
    pub holdings: Holdings,
    pub process: u64,
    pub paused: bool,
    pub dead_since: Option<Instant>,
    pub heard: Map<name::Host, Instant>,
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
    /// Hosts that were replaced, and when.
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

    /// Advances the clock by one step and lets everybody act.
    pub fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        self.beat();
        self.deliver();
        for index in 0..self.daemons.len() {
            if self.daemons[index].runs() {
                self.act(index);
            }
        }
    }

    fn beat(&mut self) {
        for a in 0..self.daemons.len() {
            for b in 0..self.daemons.len() {
                let both = self.network.passes(a, b) && self.network.passes(b, a);
                if a != b && both && self.daemons[a].runs() && self.daemons[b].runs() {
                    let from = self.daemons[b].host.clone();
                    self.daemons[a].heard.insert(from, self.now);
                }
            }
        }
    }

    fn act(&mut self, index: usize) {
        if (self.step + index as u64).is_multiple_of(READ_EVERY) {
            self.post(index, None, Message::Read { begun: self.now });
        }
        let decision = self.decide(index);
        if let Some(write) = decision.write {
            let begun = self.now;
            self.post(index, None, Message::Write { write, begun });
        }
        let others: Vec<usize> = (0..self.daemons.len()).filter(|b| *b != index).collect();
        for other in others {
            if let Some(promise) = &decision.ask {
                let promise = promise.clone();
                let asked_at = self.now;
                self.post(index, Some(other), Message::Promise { promise, asked_at });
            }
            for takeover in decision.takeovers.clone() {
                self.post(index, Some(other), Message::Takeover { takeover });
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
        let heard = self.daemons[index].heard.clone();
        let alive = |host: &name::Host| {
            let at = heard.get(host);
            *host == own || at.is_some_and(|at| now < *at + SILENCE)
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
        let around = Surroundings {
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
        self.daemons[index].holdings.decide(&around)
    }

    fn gone(&self) -> Vec<name::Host> {
        let dead = |daemon: &&Daemon| {
            let since = daemon.dead_since;
            since.is_some_and(|since| self.now >= since + GONE_AFTER)
        };
        let gone = self.daemons.iter().filter(dead);
        let retired = self
            .retired
            .iter()
            .filter(|(_, at)| self.now >= *at + GONE_AFTER);
        let retired = retired.map(|(host, _)| host.clone());
        gone.map(|daemon| daemon.host.clone())
            .chain(retired)
            .collect()
    }

    fn post(&mut self, from: usize, to: Option<usize>, message: Message) {
        let process = self.daemons[from].process;
        let delay = STEP * self.rng.random_range(0..8);
        let due = self.now + delay;
        self.network.post(Post {
            from,
            to,
            process,
            due,
            message,
        });
    }

    /// Returns the daemons, also paused ones, whose lease on `upstream` lets them send now.
    pub fn senders(&self, upstream: &name::Upstream) -> Vec<name::Host> {
        let sends = |daemon: &&Daemon| {
            let lease = daemon.holdings.leases().get(upstream).cloned();
            daemon.dead_since.is_none() && lease.is_some_and(|lease| lease.holds(self.now))
        };
        let senders = self.daemons.iter().filter(sends);
        senders.map(|daemon| daemon.host.clone()).collect()
    }

    /// Returns an upstream that more than one daemon may send to, if there is one.
    pub fn conflict(&self) -> Option<BTreeMap<name::Upstream, Vec<name::Host>>> {
        let senders: BTreeMap<_, _> = self
            .upstreams
            .iter()
            .map(|upstream| (upstream.clone(), self.senders(upstream)))
            .filter(|(_, senders)| senders.len() > 1)
            .collect();
        (!senders.is_empty()).then_some(senders)
    }

    /// Returns whether each upstream is held by the daemon that the assignment names.
    pub fn is_placed(&self) -> bool {
        let hosts: Vec<_> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.runs() && !daemon.draining)
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

    /// Ends a daemon together with its host and starts one on a new host.
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

    /// Ends all faults. A daemon that was killed stays dead.
    pub fn heal(&mut self) {
        self.network.heal();
        self.platform.heal();
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
            heard: Map::default(),
            in_flight: Map::default(),
            draining: false,
        }
    }

    pub fn runs(&self) -> bool {
        !self.paused && self.dead_since.is_none()
    }
}
