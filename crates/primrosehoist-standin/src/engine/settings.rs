//! The settings of the engine.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use strum::EnumString;

use crate::command::{self, Error};

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Simulates an inference engine with continuous batching.

Usage: primrosehoist-standin engine --listen ADDRESS [OPTIONS]

Options:
  --listen ADDRESS         address and port to listen on
  --name NAME              name of the engine [default: engine]
  --model NAME             name of the model [default: any name is accepted]
  --prefill-rate N         prompt tokens processed per second [default: 50000]
  --chunk-tokens N         maximum prompt tokens processed per step [default: 2048]
  --decode-ms N            time of a decode step [default: 5]
  --batch-decode-cost N    microseconds that each stream adds to a step [default: 50]
  --memory-tokens N        KV memory [default: 500000]
  --cold-requests C        concurrency limit when cold [default: 2]
  --warm-requests W        concurrency limit when warm [default: 64]
  --warm-after K           completions until the engine is warm [default: 32]
  --cold-factor F          prefill takes F times as long until warm [default: 2]
  --fencing check|ignore   whether stale fencing epochs are refused [default: check]
  --crash-downtime-ms N    time a crashed engine refuses connections [default: 500]
  --load-lag-ms N          age of the reported load [default: 200]
  --resume-grace-ms N      time for which a disconnected or ended stream is kept [default: 10000]
  --cache-event-lag-ms N   age from which cache events are listed [default: 100]
  --cache-gap-percent N    percentage of cache events never listed [default: 5]
  --seed N                 seed of the random choices [default: 1]
  --log LEVEL              off, error, warn, info, debug or trace [default: warn]
  --help                   prints this text
  --version                prints the version

After k completions since it was last cold, the engine handles up to
C + (W - C) * min(k, K) / K concurrent requests, rounded down. A request beyond that limit is
an overload: it is counted and the engine crashes. A crash drops all connections and memory,
including the highest fencing epoch seen, and the engine restarts cold.

A step shares --chunk-tokens among the prompts by priority, then by arrival, and decodes one
token for each stream that is past its prompt. Token i of a response is the first 8 hex digits
of SHA-256(prompt text, then i in decimal) and a space; the prompt text of a chat is the
contents of its messages, joined. With X-Shard: i/n the engine processes 1/n of the prompt tokens.

A cached prefix is identified by the first 16 hex digits of the chain h(i) = SHA-256(h(i-1), block i)
over the whole 1024-byte blocks of the body, where h(-1) is empty.

POST /standin/faults sets {\"cold\":true}, {\"crash\":true}, {\"freeze_ms\":n},
{\"refuse\":bool} and {\"garbage\":false or true or \"malformed\" or \"half\" or \"double\"}.
GET /standin/counts returns the counters.
";

/// The model name in responses if `--model` is not given.
const MODEL_UNNAMED: &str = "model";
/// The minimum downtime after a crash.
const CRASH_DOWNTIME_MIN: Duration = Duration::from_millis(10);

/// How the engine treats fencing epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fencing {
    /// Refuses an epoch below the highest one seen.
    Check,
    /// Accepts all epochs.
    Ignore,
}

/// The settings of the engine.
#[derive(Debug)]
pub(crate) struct Settings {
    /// The address to listen on.
    pub(crate) listen: SocketAddr,
    /// The name of the engine.
    pub(crate) name: String,
    /// The name of the served model; any name is accepted if absent.
    pub(crate) model: Option<String>,
    /// Prompt tokens processed per second.
    pub(crate) prefill_rate: f64,
    /// The maximum number of prompt tokens processed per step.
    pub(crate) chunk_tokens: u64,
    /// The time of a decode step.
    pub(crate) decode: Duration,
    /// The time that each decoding stream adds to a step.
    pub(crate) batch_decode: Duration,
    /// The KV memory, in tokens.
    pub(crate) memory_tokens: u64,
    /// The concurrency limit when cold.
    pub(crate) cold_requests: u64,
    /// The concurrency limit when warm.
    pub(crate) warm_requests: u64,
    /// The number of completions until the engine is warm.
    pub(crate) warm_after: u64,
    /// The factor by which prefill takes longer until the engine is warm.
    pub(crate) cold_factor: f64,
    /// How fencing epochs are treated.
    pub(crate) fencing: Fencing,
    /// The time for which a crashed engine refuses connections.
    pub(crate) crash_downtime: Duration,
    /// The age of the reported load.
    pub(crate) load_lag: Duration,
    /// The time for which a disconnected or ended stream is kept.
    pub(crate) resume_grace: Duration,
    /// The age from which cache events are listed.
    pub(crate) cache_event_lag: Duration,
    /// The percentage of cache events that are never listed.
    pub(crate) cache_gap_percent: u32,
    /// The seed of the random choices.
    pub(crate) seed: u64,
}

impl Settings {
    /// Returns the model name used in responses.
    pub(crate) fn model_name(&self) -> &str {
        self.model.as_deref().unwrap_or(MODEL_UNNAMED)
    }

    /// Returns whether requests for `model`, which may be empty, are served.
    pub(crate) fn serves(&self, model: &str) -> bool {
        model.is_empty() || self.model.as_deref().is_none_or(|served| served == model)
    }

    /// Returns the concurrency limit after `completions` since the engine was cold.
    pub(crate) fn concurrency_limit(&self, completions: u64) -> u64 {
        if completions >= self.warm_after {
            return self.warm_requests;
        }
        let rise = self.warm_requests.saturating_sub(self.cold_requests);
        self.cold_requests + rise * completions / self.warm_after
    }
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Fails if an option is missing, invalid or out of range.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Settings, Error> {
    let settings = Settings {
        listen: command::listen(arguments)?,
        name: command::value(arguments, "--name", "engine".to_owned())?,
        model: command::optional(arguments, "--model")?,
        prefill_rate: command::value(arguments, "--prefill-rate", 50_000.0)?,
        chunk_tokens: command::value(arguments, "--chunk-tokens", 2_048)?,
        decode: milliseconds(arguments, "--decode-ms", 5.0)?,
        batch_decode: Duration::from_micros(command::value(arguments, "--batch-decode-cost", 50)?),
        memory_tokens: command::value(arguments, "--memory-tokens", 500_000)?,
        cold_requests: command::value(arguments, "--cold-requests", 2)?,
        warm_requests: command::value(arguments, "--warm-requests", 64)?,
        warm_after: command::value(arguments, "--warm-after", 32)?,
        cold_factor: command::value(arguments, "--cold-factor", 2.0)?,
        fencing: command::value(arguments, "--fencing", Fencing::Check)?,
        crash_downtime: milliseconds(arguments, "--crash-downtime-ms", 500.0)?,
        load_lag: milliseconds(arguments, "--load-lag-ms", 200.0)?,
        resume_grace: milliseconds(arguments, "--resume-grace-ms", 10_000.0)?,
        cache_event_lag: milliseconds(arguments, "--cache-event-lag-ms", 100.0)?,
        cache_gap_percent: command::value(arguments, "--cache-gap-percent", 5)?,
        seed: command::value(arguments, "--seed", 1)?,
    };
    check(settings)
}

fn milliseconds(
    arguments: &mut Arguments,
    key: &'static str,
    default: f64,
) -> Result<Duration, Error> {
    let given = command::value(arguments, key, default)?;
    let duration = Duration::try_from_secs_f64(given / 1_000.0);
    duration.map_err(|error| Error::Range(format!("{key}: {error}")))
}

fn check(settings: Settings) -> Result<Settings, Error> {
    let positive = |value: f64| value.is_finite() && value > 0.0;
    let rules = [
        (
            positive(settings.prefill_rate),
            "--prefill-rate must be above 0",
        ),
        (
            positive(settings.cold_factor),
            "--cold-factor must be above 0",
        ),
        (
            settings.crash_downtime >= CRASH_DOWNTIME_MIN,
            "--crash-downtime-ms must be at least 10",
        ),
        (settings.chunk_tokens > 0, "--chunk-tokens must be above 0"),
        (
            settings.cache_gap_percent <= 100,
            "--cache-gap-percent must be at most 100",
        ),
        (
            settings.cold_requests <= settings.warm_requests,
            "--cold-requests must be at most --warm-requests",
        ),
    ];
    match rules.iter().find(|(holds, _)| !holds) {
        Some((_, reason)) => Err(Error::Range((*reason).to_owned())),
        None => Ok(settings),
    }
}
