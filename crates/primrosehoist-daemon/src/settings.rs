//! The daemon's settings, loaded from a TOML file that is validated as a whole.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

use log::LevelFilter;
use primrosehoist::state::files::table::{Source, Table};
use primrosehoist::state::files::{Diagnostic, File, value};
use primrosehoist::state::name;
use quick_error::quick_error;
use strum::{Display, EnumString};

/// The smallest length of the shared secret, in bytes.
pub(crate) const SECRET_BYTES_MIN: usize = 16;

const HOUR: Duration = Duration::from_secs(60 * 60);

quick_error! {
    /// An error that makes the settings unusable.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read.
        Read(path: PathBuf, error: io::Error) {
            display("cannot read {}: {}", path.display(), error)
            source(error)
        }
        /// The settings contain errors, displayed one per line.
        Invalid(diagnostics: Vec<Diagnostic>) {
            display("{}", join_lines(diagnostics))
        }
        /// The shared secret is too short.
        Secret(path: PathBuf) {
            display("the secret in {} has fewer than {} bytes", path.display(), SECRET_BYTES_MIN)
        }
    }
}

fn join_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// All settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Settings {
    /// The name of this host, unique in the fleet.
    pub(crate) host: name::Host,
    /// The availability zone of this host.
    pub(crate) zone: name::Zone,
    /// The file with the secret that daemons and operators share.
    pub(crate) secret_file: PathBuf,
    /// The addresses on which the daemon listens.
    pub(crate) listen: Listen,
    /// The platform's API.
    pub(crate) platform: Platform,
    /// Peer ports of other daemons, used while the platform cannot be reached.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The log level.
    pub(crate) log: Log,
    /// The limits on requests of callers.
    pub(crate) limits: Limits,
    /// The policy for choosing upstreams.
    pub(crate) policy: Policy,
    /// The mechanisms that can be disabled for comparison runs.
    pub(crate) mechanisms: Mechanisms,
}

/// The addresses on which the daemon listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Listen {
    /// The address for callers.
    pub(crate) caller: SocketAddr,
    /// The address for other daemons.
    pub(crate) peer: SocketAddr,
    /// The address for health, metrics and operators.
    pub(crate) admin: SocketAddr,
}

/// The platform's API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Platform {
    /// The address of the API.
    pub(crate) address: SocketAddr,
}

/// The settings of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Log {
    /// The least severe level that is written.
    pub(crate) level: LevelFilter,
}

/// The limits on requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Limits {
    /// The largest head of a request, in bytes.
    pub(crate) header_bytes: u64,
    /// The largest body of a request, in bytes.
    pub(crate) body_bytes: u64,
    /// The largest total size of all bodies kept in memory, in bytes.
    pub(crate) body_budget: u64,
    /// The timeout for a caller to send the head of a request.
    pub(crate) header_timeout: Duration,
    /// The timeout for a caller to accept a part of a response.
    pub(crate) caller_write_timeout: Duration,
    /// The largest number of concurrent connections of callers.
    pub(crate) connections: u32,
}

/// The policy for choosing upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Policy {
    /// How the upstream of a request is chosen.
    pub(crate) placement: Placement,
}

/// How the upstream of a request is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Placement {
    /// Confines long prompts to few upstreams and keeps capacity for short ones on the rest.
    LongConfined,
    /// Chooses the upstream with the fewest requests.
    LeastLoad,
    /// Chooses the upstreams in turn.
    RoundRobin,
}

/// The mechanisms that can be disabled for comparison runs; each is `true` in production, except
/// `allow_cuts`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each mechanism is enabled independently"
)]
pub(crate) struct Mechanisms {
    /// Claims idempotency keys in the platform before dispatch.
    pub(crate) claim: bool,
    /// Raises the concurrency limit of a cold upstream gradually.
    pub(crate) slow_start: bool,
    /// Checks the lease immediately before each send.
    pub(crate) lease_check: bool,
    /// Limits retries to a fraction of first attempts.
    pub(crate) retry_budget: bool,
    /// Suspects and quarantines requests that crash upstreams.
    pub(crate) poison: bool,
    /// Sends no new work to zones that are out of service.
    pub(crate) zone_out: bool,
    /// Accounts for and frees the resources that earlier holders left at engines.
    pub(crate) reconcile: bool,
    /// Lets operators cut the daemon's connections to others, for tests of partitions.
    pub(crate) allow_cuts: bool,
}

impl Settings {
    /// Loads and validates the settings in a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid; the error lists all problems.
    pub(crate) fn load(path: &Path) -> Result<Self, Error> {
        let content = read(path)?;
        let path = path.display().to_string();
        Self::try_from(&File { path, content }).map_err(Error::Invalid)
    }

    /// Reads the secret that daemons and operators share, without leading and trailing white space.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or the secret is shorter than [`SECRET_BYTES_MIN`] bytes.
    pub(crate) fn secret(&self) -> Result<Vec<u8>, Error> {
        let content = read(&self.secret_file)?;
        let secret = content.trim().as_bytes().to_vec();
        if secret.len() < SECRET_BYTES_MIN {
            return Err(Error::Secret(self.secret_file.clone()));
        }
        Ok(secret)
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))
}

impl TryFrom<&File> for Settings {
    type Error = Vec<Diagnostic>;

    fn try_from(file: &File) -> Result<Self, Vec<Diagnostic>> {
        let source = Source::new(&file.path, &file.content);
        let settings = source.parse().and_then(|root| read_root(root));
        let mut diagnostics = source.into_diagnostics();
        diagnostics.sort();
        match settings {
            Some(settings) if diagnostics.is_empty() => Ok(settings),
            _ => Err(diagnostics),
        }
    }
}

fn read_root(mut root: Table<'_, '_>) -> Option<Settings> {
    let host = root.required("host", value::checked::<name::Host>);
    let zone = root.required("zone", value::checked::<name::Zone>);
    let secret_file = root.required("secret_file", value::string);
    let listen = read_listen(root.table("listen"));
    let platform = read_platform(root.table("platform"));
    let seeds = read_seeds(root.table("peers"));
    let log = read_log(root.table("log"));
    let limits = read_limits(root.table("limits"));
    let policy = read_policy(root.table("policy"));
    let mechanisms = read_mechanisms(root.table("mechanisms"));
    root.finish();
    Some(Settings {
        host: host?.value,
        zone: zone?.value,
        secret_file: PathBuf::from(secret_file?.value),
        listen: listen?,
        platform: platform?,
        seeds,
        log,
        limits,
        policy,
        mechanisms,
    })
}

fn read_listen(mut table: Table<'_, '_>) -> Option<Listen> {
    let caller = table.required("caller", value::listen_address);
    let peer = table.required("peer", value::listen_address);
    let admin = table.required("admin", value::listen_address);
    table.finish();
    Some(Listen {
        caller: caller?.value,
        peer: peer?.value,
        admin: admin?.value,
    })
}

fn read_platform(mut table: Table<'_, '_>) -> Option<Platform> {
    let address = table.required("address", value::remote_address);
    table.finish();
    Some(Platform {
        address: address?.value,
    })
}

fn read_seeds(mut table: Table<'_, '_>) -> Vec<SocketAddr> {
    let seeds = table.value_or("seeds", Vec::new(), value::list(value::remote_address));
    table.finish();
    seeds
}

fn read_log(mut table: Table<'_, '_>) -> Log {
    const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];
    let level = table.value_or("level", LevelFilter::Info, value::one_of(LEVELS));
    table.finish();
    Log { level }
}

fn read_limits(mut table: Table<'_, '_>) -> Limits {
    let timeout = || value::duration(Duration::from_millis(10)..=HOUR);
    let limits = Limits {
        header_bytes: table.value_or("header_bytes", 16 << 10, bytes(8 << 10, 1 << 20)),
        body_bytes: table.value_or("body_bytes", 16 << 20, bytes(1 << 10, 1 << 30)),
        body_budget: table.value_or("body_budget", 512 << 20, bytes(1 << 10, 1 << 40)),
        header_timeout: table.value_or("header_timeout", Duration::from_secs(5), timeout()),
        caller_write_timeout: table.value_or(
            "caller_write_timeout",
            Duration::from_secs(10),
            timeout(),
        ),
        connections: table.value_or("connections", 4096, value::integer(1..=1_000_000)),
    };
    if limits.body_budget < limits.body_bytes {
        table.report("`limits.body_budget` is below `limits.body_bytes`".to_owned());
    }
    table.finish();
    limits
}

fn bytes(low: u64, high: u64) -> impl Fn(&toml::de::DeValue<'_>) -> Result<u64, String> {
    move |value| {
        let bytes = value::bytes(value)?;
        if (low..=high).contains(&bytes) {
            return Ok(bytes);
        }
        Err(format!("expected {low} to {high} bytes, found {bytes}"))
    }
}

fn read_policy(mut table: Table<'_, '_>) -> Policy {
    const PLACEMENTS: &[&str] = &["long_confined", "least_load", "round_robin"];
    let placement = value::one_of(PLACEMENTS);
    let placement = table.value_or("placement", Placement::LongConfined, placement);
    table.finish();
    Policy { placement }
}

fn read_mechanisms(mut table: Table<'_, '_>) -> Mechanisms {
    let mut enabled = |key| table.value_or(key, true, value::boolean);
    let mechanisms = Mechanisms {
        claim: enabled("claim"),
        slow_start: enabled("slow_start"),
        lease_check: enabled("lease_check"),
        retry_budget: enabled("retry_budget"),
        poison: enabled("poison"),
        zone_out: enabled("zone_out"),
        reconcile: enabled("reconcile"),
        allow_cuts: table.value_or("allow_cuts", false, value::boolean),
    };
    table.finish();
    mechanisms
}
