//! Open-loop load: requests are sent when they are due, regardless of the progress of earlier ones.

mod arrival;
mod mix;
mod progress;
pub(crate) mod summary;
mod tally;

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time::{self, Instant};

use crate::caller::answer::Answer;
use crate::command::{self, Addresses, Error};
use crate::{output, reply};
use arrival::{Arrival, Arrivals, Work};
use mix::Mix;
use progress::Progress;
use summary::Mark;
use tally::Tally;

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Sends a mix of requests to daemons in an open loop and reports the results.

Usage: primrosehoist-standin load --callers A,B --mix FILE [OPTIONS]

Options:
  --callers A,B        caller ports of daemons, or engines
  --mix FILE           mix of requests, in TOML; see examples/load
  --duration S         seconds in which requests are sent [default: 20]
  --scale F            factor applied to the rate of the mix [default: 1]
  --seed N             seed of the random choices [default: 1]
  --timeout-ms N       time limit of each request [default: from the mix]
  --most-tokens N      longer prompts are drawn but not sent
  --mark S=LABEL       starts a phase of the report; may be given more than once, in order
  --json FILE          writes the report
  --log LEVEL          off, error, warn, info, debug or trace [default: warn]
  --help               prints this text
  --version            prints the version

The same seed and mix produce the same arrivals and lengths, regardless of --most-tokens. Texts and
idempotency keys differ between runs, so that no cache holds them and no key was used before.
Prompts of up to 4096 tokens are called short. Times are measured from the send; late_ms_max is the
maximum delay of a send. Progress is shown on a terminal.
";

/// The interval between progress updates.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    callers: Vec<SocketAddr>,
    mix: Mix,
    duration: Duration,
    scale: f64,
    seed: u64,
    most_tokens: u64,
    marks: Vec<Mark>,
    json: Option<PathBuf>,
}

/// A request and its result.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) arrival: Arrival,
    pub(crate) answer: Answer,
    /// The delay of the send.
    pub(crate) late: Duration,
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Fails if an option is missing or invalid, or the mix cannot be read.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let path: String = command::required(arguments, "--mix")?;
    let seconds: f64 = command::value(arguments, "--duration", 20.0)?;
    let duration = Duration::try_from_secs_f64(seconds);
    let scale = command::value(arguments, "--scale", 1.0)?;
    if !(scale > 0.0 && f64::is_finite(scale)) {
        return Err(Error::Range("--scale must be above 0".to_owned()));
    }
    let marks = arguments.values_from_str("--mark");
    let mut mix = mix::read(&path)?;
    mix.timeout_ms = command::value(arguments, "--timeout-ms", mix.timeout_ms)?;
    Ok(Options {
        callers: command::required::<Addresses>(arguments, "--callers")?.0,
        mix,
        duration: duration.map_err(|error| Error::Range(format!("--duration: {error}")))?,
        scale,
        seed: command::value(arguments, "--seed", 1)?,
        most_tokens: command::value(arguments, "--most-tokens", u64::MAX)?,
        marks: marks.map_err(|error| Error::Option("--mark", error))?,
        json: command::optional(arguments, "--json")?,
    })
}

/// Sends the load, waits for all responses and writes the report.
///
/// # Errors
///
/// Fails if the report cannot be written.
pub(crate) async fn run(options: Options) -> io::Result<()> {
    let (ended, mut endings) = mpsc::unbounded_channel();
    let started = Instant::now();
    let mut tally = Tally::new(&options.mix, &options.marks);
    let arrivals = Arrivals::new(&options.mix, options.scale, options.seed);
    let due = arrivals.take_while(|arrival| arrival.at < options.duration);
    let offered: Vec<Arrival> = due
        .filter(|arrival| arrival.prompt_tokens() <= options.most_tokens)
        .collect();
    tally.offer(&offered);
    let callers = options.callers.clone();
    let mix = options.mix.clone();
    let salt = reply::unix_ms();
    let sender = task::spawn(async move {
        for arrival in offered {
            let address = callers[arrival.number as usize % callers.len()];
            let work = arrival.work(&mix, address, salt);
            time::sleep_until(started + arrival.at).await;
            task::spawn(send(arrival, work, started, ended.clone()));
        }
    });
    let mut progress = Progress::new();
    let mut ticks = time::interval(PROGRESS_PERIOD);
    loop {
        tokio::select! {
            ending = endings.recv() => match ending {
                Some(ending) => tally.add(&ending),
                None => break,
            },
            _ = ticks.tick() => progress.show(started.elapsed(), &tally),
        }
    }
    progress.end();
    sender.await.map_err(io::Error::other)?;
    report(&options, &tally)
}

async fn send(arrival: Arrival, work: Work, started: Instant, ended: mpsc::UnboundedSender<Ended>) {
    let late = started.elapsed().saturating_sub(arrival.at);
    let answer = match work {
        Work::Completion(completion) => completion.send().await,
        Work::Call(call) => call.send().await,
    };
    let ending = Ended {
        arrival,
        answer,
        late,
    };
    if ended.send(ending).is_err() {
        log::debug!("response received after the end of the load");
    }
}

fn report(options: &Options, tally: &Tally) -> io::Result<()> {
    let mut summary = tally.summary();
    summary.seed = options.seed;
    summary.scale = options.scale;
    summary.duration_s = options.duration.as_secs_f64();
    if let Some(path) = &options.json {
        fs::write(path, serde_json::to_vec_pretty(&summary)?)?;
    }
    output::print(summary)
}
