//! An adaptive concurrency limit for one upstream.
//!
//! The limit starts at the cold value and grows with completions, never with time. Any sign of a
//! cold start resets it to the cold value at once: a failure, a refusal, or a first token that
//! takes far longer than the measured prefill rate explains. Load reports lower the limit and never
//! raise it.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};
use tokio::time::Instant;

/// Completions after which an upstream is assumed to be warm.
pub const COMPLETIONS_TO_WARM: u32 = 64;

/// The time without any event after which an upstream is assumed to be cold.
pub const IDLE_MAX: Duration = Duration::from_secs(60);

/// How long the learned limit applies after the most recent first token or completion. After that,
/// the cold limit applies until the next one arrives.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(5);

/// How long a load report stays valid.
pub const REPORT_TTL: Duration = Duration::from_secs(5);

/// The multiple of its expected time beyond which a first token is a sign of a cold start.
const SLOW_FACTOR: f64 = 4.0;

/// Time added to that bound, so that short delays are never a sign of a cold start.
const SLOW_SLACK: Duration = Duration::from_millis(50);

/// The shortest prompt from which a rate is learned. Shorter ones mostly measure the connection.
const RATE_TOKENS_MIN: u64 = 512;

/// How an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// It refused the request without running any of it.
    Refused,
    /// No connection could be made.
    Connect,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The answer did not arrive in time.
    Timeout,
}

/// The concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct Limit {
    cold: u32,
    warm: u32,
    completions_to_warm: u32,
    /// Completions since the last sign of a cold start.
    completions: u32,
    /// The measured prefill rate, in tokens per second.
    prefill_rate: Option<f64>,
    /// The last event of any kind.
    last_event: Option<Instant>,
    /// The most recent completion, or first token that was not slow.
    last_evidence: Option<Instant>,
    report: Option<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    requests: u32,
    received: Instant,
}

impl Limit {
    /// Creates a limit of `cold` requests during a cold start that grows to `warm` requests.
    pub fn new(cold: u32, warm: u32) -> Self {
        Self::with_growth(cold, warm, COMPLETIONS_TO_WARM)
    }

    /// Creates a limit that reaches `warm` requests after `completions_to_warm` completions.
    pub fn with_growth(cold: u32, warm: u32, completions_to_warm: u32) -> Self {
        Self {
            cold,
            warm: warm.max(cold),
            completions_to_warm: completions_to_warm.max(1),
            completions: 0,
            prefill_rate: None,
            last_event: None,
            last_evidence: None,
            report: None,
        }
    }

    /// Returns the number of requests that the upstream may have in flight.
    pub fn current(&self, now: Instant) -> u32 {
        let learned = if is_older(self.last_evidence, now, EVIDENCE_TTL) {
            self.cold
        } else {
            self.learned(now)
        };
        match self.report {
            Some(report) if !is_older(Some(report.received), now, REPORT_TTL) => {
                learned.min(report.requests)
            }
            _ => learned,
        }
    }

    /// Returns the limit learned from completions, whether or not it applies at `now`.
    ///
    /// Use it for planning, such as to bound a queue. Only [`Limit::current`] requests may be in
    /// flight.
    pub fn learned(&self, now: Instant) -> u32 {
        if is_older(self.last_event, now, IDLE_MAX) {
            return self.cold;
        }
        let completions = u64::from(self.completions.min(self.completions_to_warm));
        let growth = u64::from(self.warm - self.cold) * completions;
        self.cold + (growth / u64::from(self.completions_to_warm)) as u32
    }

    /// Returns the measured prefill rate in tokens per second, if there is one.
    pub fn prefill_rate(&self) -> Option<f64> {
        self.prefill_rate
    }

    /// Returns the limit of a cold upstream.
    pub fn cold(&self) -> u32 {
        self.cold
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.record_event(now);
    }

    /// Records a first token, `elapsed` after its request was sent.
    ///
    /// `prompt_tokens` is the length of the request's own prompt. `work_tokens` is the total length
    /// of all prompts that the upstream may have processed in that time, including this one.
    pub fn first_token(
        &mut self,
        now: Instant,
        prompt_tokens: u64,
        work_tokens: u64,
        elapsed: Duration,
    ) {
        self.record_event(now);
        let work_tokens = work_tokens.max(prompt_tokens);
        if self.is_slow(work_tokens, elapsed) {
            self.reset();
        } else {
            self.last_evidence = Some(now);
        }
        self.update_prefill_rate(prompt_tokens, work_tokens, elapsed);
    }

    /// Records that a request completed.
    pub fn completed(&mut self, now: Instant) {
        self.record_event(now);
        self.last_evidence = Some(now);
        self.completions = self.completions.saturating_add(1);
    }

    /// Records a failure.
    pub fn failed(&mut self, now: Instant, _kind: Failure) {
        self.record_event(now);
        self.reset();
    }

    /// Records a load report. If requests wait on the upstream, the limit is capped at the number
    /// of running ones.
    pub fn reported(&mut self, now: Instant, running: u32, waiting: u32) {
        self.report = (waiting > 0).then_some(Report {
            requests: running.max(1),
            received: now,
        });
    }

    /// Returns whether a first token that takes `elapsed` or longer is a sign of a cold start.
    pub fn is_slow(&self, work_tokens: u64, elapsed: Duration) -> bool {
        let Some(rate) = self.prefill_rate else {
            return false;
        };
        let expected = work_tokens as f64 / rate;
        elapsed.as_secs_f64() > expected * SLOW_FACTOR + SLOW_SLACK.as_secs_f64()
    }

    /// Resets the limit to the cold value and discards what was learned.
    pub fn reset(&mut self) {
        self.completions = 0;
        // Compared with the rate of a warm upstream, each first token of a cold one would be slow
        // and reset the limit again.
        self.prefill_rate = None;
        self.last_evidence = None;
    }

    fn record_event(&mut self, now: Instant) {
        if is_older(self.last_event, now, IDLE_MAX) {
            self.reset();
        }
        self.last_event = Some(now);
    }

    /// Returns the divisor that slows the adoption of a higher rate.
    fn rate_damping(&self) -> f64 {
        if self.completions < self.completions_to_warm {
            4.0
        } else {
            32.0
        }
    }

    /// Updates the prefill rate, which lies between that of the prompt alone and that of all work.
    ///
    /// The rate falls fast. Once the upstream is warm, it rises slowly, because a prompt with a
    /// cached prefix appears to be processed far faster than others.
    fn update_prefill_rate(&mut self, prompt_tokens: u64, work_tokens: u64, elapsed: Duration) {
        if prompt_tokens < RATE_TOKENS_MIN {
            return;
        }
        let seconds = elapsed.as_secs_f64().max(1e-6);
        let low = prompt_tokens as f64 / seconds;
        let high = work_tokens as f64 / seconds;
        self.prefill_rate = Some(match self.prefill_rate {
            None => low,
            Some(rate) if low > rate => rate + (low.min(rate * 2.0) - rate) / self.rate_damping(),
            Some(rate) if high < rate => rate.midpoint(high),
            Some(rate) => rate,
        });
    }
}

/// Returns whether `event` is older than `age`. A missing event counts as older.
fn is_older(event: Option<Instant>, now: Instant, age: Duration) -> bool {
    event.is_none_or(|then| now.saturating_duration_since(then) > age)
}
