//! What daemons tell each other of their starts and ends, and which requests one that shuts down still
//! accepts.
//!
//! It refuses new requests for others to take them. If no other does, it goes on with those that end before
//! itself.

use std::time::Duration;

use quick_error::quick_error;

use crate::state::engine::Engine;
use crate::state::occupancy::Work;

/// The time without an accepted request after which a daemon that shuts down accepts no more, so that an
/// idle one ends early.
const IDLE_MAX: Duration = Duration::from_millis(500);

/// The share of the time left that the answer to a request may be expected to take. The rest is for its
/// wait in the queue and for load that is not known.
const ANSWER_SHARE: f64 = 0.5;

/// How long a sound upstream may fall silent and then go on.
pub const SILENCE_MAX: Duration = Duration::from_millis(1500);

/// The expected time of an answer that is not a stream, in latency targets.
const CALL_TARGETS: u32 = 4;

/// The passes of an engine until the first event of a stream, beyond the prefill.
const PASSES_TO_FIRST_EVENT: f64 = 2.0;

/// The `Retry-After` of a refused request if other hosts take requests.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

/// The longest `Retry-After` of a refused request if no other host takes requests.
const RETRY_LATER_MAX: Duration = Duration::from_secs(2);

quick_error! {
    /// An error from the code of a phase.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The phase is one of a later build.
        Unknown(code: u8) { display("no phase has the code {}", code) }
    }
}

/// Whether a daemon takes requests of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// It takes requests.
    #[default]
    Serving,
    /// It does not know enough to take requests yet.
    Starting,
    /// It shuts down.
    Stopping,
}

impl From<Phase> for u8 {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Serving => 0,
            Phase::Starting => 1,
            Phase::Stopping => 2,
        }
    }
}

impl TryFrom<u8> for Phase {
    type Error = Error;

    fn try_from(code: u8) -> Result<Self, Error> {
        match code {
            0 => Ok(Self::Serving),
            1 => Ok(Self::Starting),
            2 => Ok(Self::Stopping),
            _ => Err(Error::Unknown(code)),
        }
    }
}

/// Returns whether a daemon that shuts down goes on accepting requests, `idle` after the last one.
pub fn keeps_accepting(serving_hosts: usize, idle: Duration) -> bool {
    serving_hosts == 0 && idle < IDLE_MAX
}

/// Returns whether a request ends before a daemon that ends in `left`: by its deadline, or since its answer
/// takes much less, although its upstream is silent for the time `silence` meanwhile.
pub fn ends_in_time(
    deadline_in: Duration,
    answer_time: Duration,
    silence: Duration,
    left: Duration,
) -> bool {
    let active = left.checked_sub(silence);
    deadline_in <= left || active.is_some_and(|active| answer_time <= active.mul_f64(ANSWER_SHARE))
}

/// Returns the expected time of an answer that is not a stream.
pub fn call_time(latency_target: Duration) -> Duration {
    latency_target.saturating_mul(CALL_TARGETS)
}

/// Returns the expected time of a stream on the slowest upstream, given the work of each.
pub fn stream_time<W>(
    prompt_tokens: u64,
    answer_tokens: u64,
    engine: &Engine,
    upstreams: W,
) -> Duration
where
    W: IntoIterator<Item = Work>,
{
    let own_tokens = prompt_tokens as f64 + answer_tokens as f64;
    let passes = (answer_tokens as f64 / engine.stride).ceil() + PASSES_TO_FIRST_EVENT;
    let on = |work: Work| {
        let sequences = f64::from(work.running()) + 1.0;
        let context_tokens = f64::from(work.memory_tokens) + own_tokens;
        f64::from(work.prefill_ms) + passes * engine.pass_ms(sequences, context_tokens)
    };
    let slowest_ms = upstreams.into_iter().map(on).fold(0.0, f64::max);
    let total_s = (engine.prefill_ms(prompt_tokens) + slowest_ms) / 1000.0;
    // The numbers of tokens come from the client and are unbounded.
    Duration::try_from_secs_f64(total_s).unwrap_or(Duration::MAX)
}

/// Returns the `Retry-After` of a request that a daemon refuses that ends in `left` at the latest.
pub fn retry_after(serving_hosts: usize, left: Duration) -> Duration {
    if serving_hosts > 0 {
        RETRY_ELSEWHERE
    } else {
        left.clamp(RETRY_ELSEWHERE, RETRY_LATER_MAX)
    }
}
