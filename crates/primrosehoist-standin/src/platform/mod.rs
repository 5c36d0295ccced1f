//! An in-memory implementation of the platform's object API with fault injection.

mod api;
mod fault;
mod store;
mod tally;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pico_args::Arguments;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::sync::watch::Sender;

use crate::command::{self, Error};
use crate::listener;

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Serves the platform's object API from memory.

Usage: primrosehoist-standin platform --listen ADDRESS [OPTIONS]

Options:
  --listen ADDRESS  address and port to listen on
  --faults FILE     JSON file with the initial faults
  --history N       events retained for watches [default: 10000]
  --seed N          seed of the random choices [default: 1]
  --log LEVEL       off, error, warn, info, debug or trace [default: warn]
  --help            prints this text
  --version         prints the version

POST /standin/faults merges the given keys; a rate of 0 means no limit:
{\"down\":bool,\"slow_ms\":n,\"lose_answers_percent\":n,\"writes_per_s\":n,\"reads_per_s\":n,
\"hosts_lag_ms\":n,\"down_for\":[\"ZONE or HOST\"]}. While down, calls are answered with 503 and watches are
closed. A lost answer is a write that takes effect but gets no response.
PUT and DELETE of /standin/hosts/NAME change the hosts; GET /standin/counts returns the counters.
";

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    listen: SocketAddr,
    history: usize,
    seed: u64,
    faults: fault::Faults,
}

#[derive(Debug)]
struct State {
    store: store::Store,
    faults: fault::Faults,
    rates: fault::Rates,
    tally: tally::Tally,
    random: StdRng,
}

/// The platform state shared by all connections.
#[derive(Debug)]
struct Platform {
    state: Mutex<State>,
    /// Changes whenever watches may have new events or must close.
    changed: Sender<u64>,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Fails if an option is missing or invalid, or the faults file cannot be read.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let path: Option<String> = command::optional(arguments, "--faults")?;
    Ok(Options {
        listen: command::listen(arguments)?,
        history: command::value(arguments, "--history", 10_000)?,
        seed: command::value(arguments, "--seed", 1)?,
        faults: path.map_or_else(|| Ok(fault::Faults::default()), |path| read_faults(&path))?,
    })
}

fn read_faults(path: &str) -> Result<fault::Faults, Error> {
    let failed = |reason: String| Error::File(path.to_owned(), reason);
    let text = std::fs::read(path).map_err(|error| failed(error.to_string()))?;
    serde_json::from_slice(&text).map_err(|error| failed(error.to_string()))
}

/// Serves requests.
///
/// # Errors
///
/// Fails as [`listener::serve`] does.
pub(crate) async fn serve(options: Options) -> io::Result<()> {
    let platform = Arc::new(Platform {
        state: Mutex::new(State {
            store: store::Store::new(options.history),
            faults: options.faults,
            rates: fault::Rates::default(),
            tally: tally::Tally::default(),
            random: StdRng::seed_from_u64(options.seed),
        }),
        changed: Sender::new(0),
    });
    let (_outages, receiver) = mpsc::unbounded_channel();
    let handler = move |request| api::handle(Arc::clone(&platform), request);
    listener::serve(options.listen, handler, receiver).await
}
