//! The requests of a day, in an open loop by kind and availability zone, on connections that clients keep.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::caller::connection::Payload;
use crate::day::supervisor::Supervisor;
use crate::day::verdict::Second;
use crate::published::deployment::{KINDS, Kind};

/// The number of hosts for which the rates of the kinds are given.
const RATE_HOSTS: f64 = 8.0;

/// The most requests of a zone at a time.
const IN_PROGRESS_MAX: usize = 400;

/// The most idle connections of a zone.
const IDLE_MAX: usize = 64;

/// The share of requests on a new connection.
const NEW_CONNECTIONS: f64 = 0.1;

/// The longest time for a new connection.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// The time that a client waits beyond the limit that it names.
const PATIENCE: Duration = Duration::from_secs(1);

/// The interval between looks at the connections that are kept without requests.
const KEEP_PERIOD: Duration = Duration::from_millis(250);

/// How the requests of a kind ended.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Outcomes {
    /// Complete responses with status 200.
    pub(crate) served: u64,
    /// Responses with a promise that the request has not run.
    pub(crate) refused: u64,
    /// Other responses, and those that break off or are late.
    pub(crate) failed: u64,
    /// Requests whose host could not be connected to.
    pub(crate) unreachable: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Served,
    Refused,
    Failed,
    Unreachable,
}

/// What was counted of the requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    /// The requests by second of the day.
    pub(crate) seconds: Vec<Second>,
    /// The outcomes by zone and kind.
    pub(crate) outcomes: BTreeMap<(usize, &'static str), Outcomes>,
}

struct Idle {
    host: usize,
    sender: SendRequest<Payload>,
}

/// The clients.
pub(crate) struct Traffic {
    supervisor: Arc<Supervisor>,
    zones: usize,
    seed: u64,
    next: AtomicU64,
    tally: Mutex<Tally>,
    idle: Vec<Mutex<Vec<Idle>>>,
}

impl Traffic {
    /// Creates the clients of `zones` zones.
    pub(crate) fn new(supervisor: Arc<Supervisor>, zones: usize, seed: u64) -> Self {
        Self {
            supervisor,
            zones,
            seed,
            next: AtomicU64::new(0),
            tally: Mutex::default(),
            idle: (0..zones).map(|_| Mutex::default()).collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self, zone: usize) -> MutexGuard<'_, Vec<Idle>> {
        let idle = self.idle[zone].lock();
        idle.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what was counted so far.
    pub(crate) fn tally(&self) -> Tally {
        self.lock().clone()
    }

    fn with_second<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut Second),
    {
        let second = self.supervisor.now_ms() as usize / 1000;
        let mut tally = self.lock();
        if tally.seconds.len() <= second {
            tally.seconds.resize(second + 1, Second::default());
        }
        change(&mut tally.seconds[second]);
    }

    /// Sends the requests of a zone until it is dropped.
    pub(crate) async fn run(self: Arc<Self>, zone: usize) {
        let mut random = StdRng::seed_from_u64(self.seed << 8 | zone as u64);
        let size = self.supervisor.hosts.len() as f64 / RATE_HOSTS / self.zones as f64;
        let rate_per_s: f64 = KINDS.iter().map(|kind| kind.rate_per_s).sum::<f64>() * size;
        let mut requests = JoinSet::new();
        let mut due = time::Instant::now();
        loop {
            let uniform: f64 = random.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate_per_s);
            let kind = KINDS.choose_weighted(&mut random, |kind| kind.rate_per_s);
            let kind = *kind.unwrap_or(&KINDS[0]);
            let (is_new, choice) = (random.random_bool(NEW_CONNECTIONS), random.random());
            time::sleep_until(due).await;
            while requests.try_join_next().is_some() {}
            self.with_second(|second| second.asked += 1);
            if requests.len() >= IN_PROGRESS_MAX {
                self.count(zone, &kind, Outcome::Failed);
                continue;
            }
            let clients = Arc::clone(&self);
            requests.spawn(async move {
                let outcome = clients.request(zone, &kind, is_new, choice).await;
                clients.count(zone, &kind, outcome);
            });
        }
    }

    fn count(&self, zone: usize, kind: &Kind, outcome: Outcome) {
        if outcome == Outcome::Served {
            self.with_second(|second| second.served += 1);
        }
        let mut tally = self.lock();
        let outcomes = tally.outcomes.entry((zone, kind.name)).or_default();
        *match outcome {
            Outcome::Served => &mut outcomes.served,
            Outcome::Refused => &mut outcomes.refused,
            Outcome::Failed => &mut outcomes.failed,
            Outcome::Unreachable => &mut outcomes.unreachable,
        } += 1;
    }

    async fn request(&self, zone: usize, kind: &Kind, is_new: bool, choice: u64) -> Outcome {
        let kept = if is_new {
            None
        } else {
            self.take(zone, choice)
        };
        let connection = if kept.is_some() {
            kept
        } else {
            let hosts = rotation(zone, self.zones, &self.supervisor.in_rotation());
            let host = hosts[choice as usize % hosts.len()];
            let address = self.supervisor.hosts[host].ingress;
            let connected = time::timeout(CONNECT_MAX, connect(address)).await;
            let connected = connected.unwrap_or_else(|late| Err(io::Error::other(late)));
            connected.ok().map(|sender| Idle { host, sender })
        };
        let Some(mut connection) = connection else {
            return Outcome::Unreachable;
        };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let limit = Duration::from_millis(kind.deadline_ms) + PATIENCE;
        let sent = time::timeout(limit, send(&mut connection.sender, kind, number)).await;
        match sent.unwrap_or_else(|late| Err(io::Error::other(late))) {
            Ok(status) => {
                let mut idle = self.idle(zone);
                if idle.len() < IDLE_MAX {
                    idle.push(connection);
                }
                match status {
                    200 => Outcome::Served,
                    408 | 421 | 429 | 503 => Outcome::Refused,
                    _ => Outcome::Failed,
                }
            }
            Err(error) => {
                let name = &self.supervisor.hosts[connection.host].name;
                log::debug!("request to {name} failed: {error}");
                Outcome::Failed
            }
        }
    }

    /// Takes an idle connection.
    fn take(&self, zone: usize, choice: u64) -> Option<Idle> {
        let mut idle = self.idle(zone);
        idle.retain(|idle| !idle.sender.is_closed());
        let count = idle.len();
        (count > 0).then(|| idle.swap_remove(choice as usize % count))
    }

    /// Keeps a connection to each host until its process is gone, whatever the process does with it.
    pub(crate) async fn keep_connections(self: Arc<Self>) {
        let mut kept: Vec<Option<(u32, TcpStream)>> = Vec::new();
        kept.resize_with(self.supervisor.hosts.len(), || None);
        loop {
            for (host, life) in self.supervisor.lives().into_iter().enumerate() {
                if kept[host].as_ref().map(|(life, _)| *life) == life {
                    continue;
                }
                kept[host] = None;
                let address = self.supervisor.hosts[host].ingress;
                let connected = time::timeout(CONNECT_MAX, TcpStream::connect(address)).await;
                if let (Some(life), Ok(Ok(socket))) = (life, connected) {
                    kept[host] = Some((life, socket));
                }
            }
            time::sleep(KEEP_PERIOD).await;
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Payload>> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection ended: {error}");
        }
    });
    Ok(sender)
}

/// Sends a request and reads the response; returns its status.
async fn send(sender: &mut SendRequest<Payload>, kind: &Kind, number: u64) -> io::Result<u16> {
    let request = kind.request(&format!("{number:x}"));
    let request = request.map_err(io::Error::other)?;
    sender.ready().await.map_err(io::Error::other)?;
    let response = sender.send_request(request).await;
    let response = response.map_err(io::Error::other)?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.map_err(io::Error::other)?;
    }
    Ok(status)
}

/// Returns the hosts that get new connections of a zone: those of the zone in rotation, all of the zone if less
/// than half of them are, those of other zones if none is, and all if there is none at all.
fn rotation(zone: usize, zones: usize, in_rotation: &[bool]) -> Vec<usize> {
    let hosts = |own: bool, all: bool| -> Vec<usize> {
        let chosen = (0..in_rotation.len()).filter(|host| (host % zones == zone) == own);
        chosen.filter(|host| all || in_rotation[*host]).collect()
    };
    let (own, in_zone) = (hosts(true, false), hosts(true, true));
    if own.len() * 2 >= in_zone.len() && !own.is_empty() {
        return own;
    }
    if !own.is_empty() {
        return in_zone;
    }
    let others = hosts(false, false);
    if others.is_empty() {
        (0..in_rotation.len()).collect()
    } else {
        others
    }
}
