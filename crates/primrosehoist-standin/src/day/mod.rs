//! A day of real processes: daemons between stand-ins of the users' platform, through a seeded schedule of
//! troubles.

mod gate;
pub mod odd;
mod play;
mod process;
mod report;
pub mod schedule;
mod supervisor;
mod traffic;
mod upstreams;
pub mod verdict;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::Request;
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::caller::connection::{Exchange, Payload};
use crate::command::{self, Error};
use crate::published::deployment::{self, GRACE_S, Place};
use play::Stage;
use schedule::{Schedule, Size, Store};
use supervisor::{Prepared, Supervisor};
use traffic::Traffic;
use upstreams::Upstreams;

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Runs a deployment of real daemons between stand-ins through a seeded day of troubles.

Usage: primrosehoist-standin day --seed N --daemon PATH [OPTIONS]

Options:
  --seed N             seed of the troubles and the requests
  --daemon PATH        the primrosehoistd program
  --other-daemon PATH  another build of it, to which hosts are upgraded and from which they go back
  --seconds S          length of the day, at least 40 [default: 60]
  --hosts H            number of hosts in three availability zones, 3 to 150 [default: 8]
  --logs DIR           directory of logs and settings [default: a new one for temporary files]
  --report FILE        report in JSON [default: report.json beside the logs]
  --log LEVEL          off, error, warn, info, debug or trace [default: warn]
  --help               prints this text
  --version            prints the version

The hosts are at addresses of their own in 127.0.0.0/8, at the same ports in each day. Processes that end
start again 0.5 s later. The last lines are a summary and the findings. Exit codes: 0 no finding, 1 findings,
or the day could not be played, 2 invalid arguments.
";

/// The numbers of runners with an engine and without one.
const RUNNERS: (usize, usize) = (18, 3);

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

const HOSTS_DEFAULT: usize = 8;
const HOSTS_MAX: usize = 150;
const SECONDS_DEFAULT: u64 = 60;
const SECONDS_MAX: u64 = 3_600;

/// The second numbers of the addresses of days, above those of the tests.
const NETWORKS: std::ops::RangeInclusive<u8> = 231..=250;

/// The port that is bound while a network is in use.
const CLAIM_PORT: u16 = 7_099;

/// The last number of the address of the first host.
const HOST_FIRST: u8 = 40;

/// The interval between looks at the processes.
const STEP: Duration = Duration::from_millis(20);

/// The interval between readiness checks.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The longest time for a readiness check.
const CHECK_MAX: Duration = Duration::from_secs(1);

/// The time after the start of the hosts when traffic starts.
const TRAFFIC_START: Duration = Duration::from_secs(4);

/// The longest time until all processes have ended after the day.
const CLOSE_MAX: Duration = Duration::from_secs(GRACE_S + 4);

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    seed: u64,
    size: Size,
    daemon: PathBuf,
    other: Option<PathBuf>,
    logs: Option<PathBuf>,
    report: Option<PathBuf>,
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Returns an error if an option is missing or invalid.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let hosts = command::value(arguments, "--hosts", HOSTS_DEFAULT)?;
    let seconds = command::value(arguments, "--seconds", SECONDS_DEFAULT)?;
    if !(ZONES.len()..=HOSTS_MAX).contains(&hosts) {
        return Err(Error::Range(format!(
            "--hosts {hosts}: at least 3, at most {HOSTS_MAX}"
        )));
    }
    if !(schedule::SECONDS_MIN..=SECONDS_MAX).contains(&seconds) {
        let (least, most) = (schedule::SECONDS_MIN, SECONDS_MAX);
        return Err(Error::Range(format!(
            "--seconds {seconds}: at least {least}, at most {most}"
        )));
    }
    Ok(Options {
        seed: command::required(arguments, "--seed")?,
        size: Size {
            hosts,
            zones: ZONES.len(),
            runners: RUNNERS.0 + RUNNERS.1,
            seconds,
        },
        daemon: command::required(arguments, "--daemon")?,
        other: command::optional(arguments, "--other-daemon")?,
        logs: command::optional(arguments, "--logs")?,
        report: command::optional(arguments, "--report")?,
    })
}

/// Kills all processes when the day is over or given up. Tasks that are still running share their owners.
struct Running {
    supervisor: Arc<Supervisor>,
    upstreams: Arc<Upstreams>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.supervisor.kill();
        self.upstreams.kill();
    }
}

/// Plays the day and writes its report.
///
/// # Errors
///
/// Fails if there are findings, or the day cannot be played to its end.
pub(crate) async fn run(options: Options) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        played = play(options) => played,
        _ = terminate.recv() => Err(io::Error::other("ended by SIGTERM")),
        _ = interrupt.recv() => Err(io::Error::other("ended by SIGINT")),
    }
}

async fn play(options: Options) -> io::Result<()> {
    let Options { seed, size, .. } = options;
    let schedule = Schedule::new(seed, size);
    let (network, _claim) = claim_network()?;
    let logs = options.logs.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("primrosehoist-day-{}", std::process::id()))
    });
    std::fs::create_dir_all(&logs)?;
    let address = |last: u8| IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, last));
    let zones = ZONES.map(str::to_owned);
    let (gate, opening) = watch::channel(Store::Refusing);
    let store = SocketAddr::new(address(2), 7_100);
    let upstreams =
        Upstreams::start((address(1), store), &logs, &zones, RUNNERS, &schedule).await?;
    let mut hosts = Vec::new();
    for (index, last) in (0..size.hosts).zip(HOST_FIRST..) {
        // The first one is the same for all, as on the platform.
        let seeds = [0, index + 1, index + size.hosts / 2];
        let seeds = seeds.map(|seed| address(HOST_FIRST + (seed % size.hosts) as u8));
        let place = Place {
            name: &format!("host-{index}"),
            zone: ZONES[index % ZONES.len()],
            ip: address(last),
            store,
            seeds: &seeds,
        };
        hosts.push(Prepared::new(place, &logs)?);
    }
    let other = options.other.unwrap_or_else(|| options.daemon.clone());
    let supervisor = Arc::new(Supervisor::new(hosts, &logs, [options.daemon, other]));
    let upstreams = Arc::new(upstreams);
    let _running = Running {
        supervisor: Arc::clone(&supervisor),
        upstreams: Arc::clone(&upstreams),
    };
    let traffic = Arc::new(Traffic::new(Arc::clone(&supervisor), size.zones, seed));
    let mut tasks: JoinSet<io::Result<()>> = JoinSet::new();
    tasks.spawn(gate::serve(store, upstreams.store, opening.clone()));
    tasks.spawn(supervise(Arc::clone(&supervisor)));
    tasks.spawn(check(Arc::clone(&supervisor), opening));
    let clients = Arc::clone(&traffic);
    tasks.spawn(async move {
        time::sleep(TRAFFIC_START).await;
        let mut sending = JoinSet::new();
        sending.spawn(Arc::clone(&clients).keep_connections());
        for zone in 0..ZONES.len() {
            sending.spawn(Arc::clone(&clients).run(zone));
        }
        match sending.join_next().await {
            Some(Err(error)) => Err(io::Error::other(error)),
            Some(Ok(())) | None => Ok(()),
        }
    });
    let stage = Stage::new(
        Arc::clone(&supervisor),
        upstreams,
        gate,
        schedule.configuration_field.clone(),
    );
    tokio::select! {
        Some(ended) = tasks.join_next() => {
            ended.map_err(io::Error::other)??;
            return Err(io::Error::other("a part of the day ended early"));
        }
        played = stage.play(&schedule, Duration::from_secs(size.seconds)) => played?,
    }
    tasks.shutdown().await;
    close(&supervisor).await?;
    let tally = traffic.tally();
    let mut record = supervisor.record();
    record.seconds.clone_from(&tally.seconds);
    let findings = verdict::findings(&record, size.hosts);
    let path = options.report.unwrap_or_else(|| logs.join("report.json"));
    report::write(&path, (seed, size), &schedule, (&record, &tally), &findings)?;
    match findings.len() {
        0 => Ok(()),
        count => Err(io::Error::other(format!("{count} findings"))),
    }
}

async fn supervise(supervisor: Arc<Supervisor>) -> io::Result<()> {
    loop {
        supervisor.step()?;
        time::sleep(STEP).await;
    }
}

/// Checks the readiness of all hosts again and again.
async fn check(supervisor: Arc<Supervisor>, state: watch::Receiver<Store>) -> io::Result<()> {
    let mut due = Instant::now();
    loop {
        time::sleep_until(due).await;
        let (lives, at_ms) = (supervisor.lives(), supervisor.now_ms());
        let checks = supervisor.hosts.iter().map(|host| ready(host.readiness));
        let responses = join_all(checks).await;
        let is_open = *state.borrow() == Store::Open;
        supervisor.sample(at_ms, &responses, &lives, is_open);
        due = (due + CHECK_PERIOD).max(Instant::now());
    }
}

/// Returns the status of a readiness response, if there is one in time.
async fn ready(address: SocketAddr) -> Option<u16> {
    let request = Request::get(deployment::READY)
        .header(http::header::HOST, address.to_string())
        .body(Payload::default())
        .ok()?;
    let exchange = time::timeout(CHECK_MAX, Exchange::start(address, request)).await;
    let exchange = exchange.ok()?.ok()?;
    Some(exchange.response.status().as_u16())
}

/// Ends all processes as a platform does.
async fn close(supervisor: &Supervisor) -> io::Result<()> {
    supervisor.close()?;
    let deadline = Instant::now() + CLOSE_MAX;
    while !supervisor.is_empty() {
        if Instant::now() >= deadline {
            return Err(io::Error::other("processes are left after the day"));
        }
        supervisor.step()?;
        time::sleep(STEP).await;
    }
    Ok(())
}

/// Returns the second and third number of addresses that no other day uses, and a socket that keeps them from
/// others.
fn claim_network() -> io::Result<((u8, u8), UdpSocket)> {
    let own = std::process::id() as u8;
    let networks = NETWORKS.map(|second| (second, own));
    let mut claimed = networks.filter_map(|network| {
        let address = Ipv4Addr::new(127, network.0, network.1, 250);
        Some((network, UdpSocket::bind((address, CLAIM_PORT)).ok()?))
    });
    claimed
        .next()
        .ok_or_else(|| io::Error::other("no network is free"))
}
