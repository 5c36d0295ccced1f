//! How many requests an upstream bears at once, learned from what it shows.
//!
//! The limit starts at the cold value and grows with completions, never with time. Any sign of a
//! cold start cuts it to the cold value at once: a failure, a refusal, or a first token that
//! takes far longer than the shown prefill rate explains. Load reports lower it, and never raise
//! it.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};
use tokio::time::Instant;

/// Completions after which an upstream is taken to be warm.
pub const COMPLETIONS_TO_WARM: u32 = 64;

/// Without any event for this long, an upstream is taken to be cold.
pub const IDLE_MAX: Duration = Duration::from_secs(60);

/// Without a first token or completion for this long, only as much as a cold upstream bears is
/// admitted, until one arrives.
pub const EVIDENCE_MAX: Duration = Duration::from_secs(5);

/// How long a load report counts.
pub const REPORT_MAX: Duration = Duration::from_secs(5);

/// A first token that takes this many times its expected time is a sign of a cold start.
const SLOW_FACTOR: f64 = 4.0;

/// Time to first token that is never a sign of a cold start.
const SLOW_SLACK: Duration = Duration::from_millis(50);

/// Shorter prompts do not show a rate: their time is mostly that of the connection.
const RATE_TOKENS_MIN: u64 = 512;

/// How an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// It refused the request and ran nothing.
    Refused,
    /// No connection could be made.
    Connect,
    /// The connection ended, or the answer was not understood.
    Broken,
    /// No answer came in time.
    Timeout,
}

/// The limit of one upstream.
#[derive(Debug, Clone)]
pub struct Limit {
    cold: u32,
    warm: u32,
    completions_to_warm: u32,
    /// Completions since the last sign of a cold start.
    completions: u32,
    /// The shown prefill rate in tokens per second.
    rate: Option<f64>,
    /// The last event of any kind.
    touched: Option<Instant>,
    /// The last event that shows the upstream at work.
    evidence: Option<Instant>,
    report: Option<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    requests: u32,
    received: Instant,
}

impl Limit {
    /// Creates the limit of an upstream that bears `cold` requests in cold start and `warm`
    /// afterwards.
    pub fn new(cold: u32, warm: u32) -> Self {
        Self::with_growth(cold, warm, COMPLETIONS_TO_WARM)
    }

    /// Creates the limit of an upstream that is warm after `completions_to_warm` completions.
    pub fn with_growth(cold: u32, warm: u32, completions_to_warm: u32) -> Self {
        Self {
            cold,
            warm: warm.max(cold),
            completions_to_warm: completions_to_warm.max(1),
            completions: 0,
            rate: None,
            touched: None,
            evidence: None,
            report: None,
        }
    }

    /// Returns how many requests the upstream may have in flight.
    pub fn current(&self, now: Instant) -> u32 {
        let learned = if is_older(self.evidence, now, EVIDENCE_MAX) {
            self.cold
        } else {
            self.learned(now)
        };
        match self.report {
            Some(report) if !is_older(Some(report.received), now, REPORT_MAX) => {
                learned.min(report.requests)
            }
            _ => learned,
        }
    }

    /// Returns the limit that completions have shown, whether or not it is in use at `now`.
    ///
    /// It serves to plan ahead, as for the bound of a queue. Only [`Limit::current`] may be sent.
    pub fn learned(&self, now: Instant) -> u32 {
        if is_older(self.touched, now, IDLE_MAX) {
            return self.cold;
        }
        let completions = u64::from(self.completions.min(self.completions_to_warm));
        let growth = u64::from(self.warm - self.cold) * completions;
        self.cold + (growth / u64::from(self.completions_to_warm)) as u32
    }

    /// Returns the shown prefill rate in tokens per second, if any was shown.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns what a cold upstream bears.
    pub fn cold(&self) -> u32 {
        self.cold
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.touch(now);
    }

    /// Records a first token, `elapsed` after its request was sent.
    ///
    /// `prompt_tokens` is the request's own length and `work_tokens` the length of all prompts
    /// that the upstream may have processed in that time, this one included.
    pub fn first_token(
        &mut self,
        now: Instant,
        prompt_tokens: u64,
        work_tokens: u64,
        elapsed: Duration,
    ) {
        self.touch(now);
        let work_tokens = work_tokens.max(prompt_tokens);
        if self.is_slow(work_tokens, elapsed) {
            self.cool();
        } else {
            self.evidence = Some(now);
        }
        self.learn_rate(prompt_tokens, work_tokens, elapsed);
    }

    /// Records that a request was answered completely.
    pub fn completed(&mut self, now: Instant) {
        self.touch(now);
        self.evidence = Some(now);
        self.completions = self.completions.saturating_add(1);
    }

    /// Records a failure.
    pub fn failed(&mut self, now: Instant, _kind: Failure) {
        self.touch(now);
        self.cool();
    }

    /// Records a load report. One that shows waiting requests caps the limit at those running.
    pub fn reported(&mut self, now: Instant, running: u32, waiting: u32) {
        self.report = (waiting > 0).then_some(Report {
            requests: running.max(1),
            received: now,
        });
    }

    /// Returns whether a first token that has not come after `elapsed` is a sign of a cold start.
    pub fn is_slow(&self, work_tokens: u64, elapsed: Duration) -> bool {
        let Some(rate) = self.rate else {
            return false;
        };
        let expected = work_tokens as f64 / rate;
        elapsed.as_secs_f64() > expected * SLOW_FACTOR + SLOW_SLACK.as_secs_f64()
    }

    /// Cuts the limit to the cold value and forgets what was learned.
    pub fn cool(&mut self) {
        self.completions = 0;
        // The rate of a warm upstream would make each first token of a cold one a new sign.
        self.rate = None;
        self.evidence = None;
    }

    fn touch(&mut self, now: Instant) {
        if is_older(self.touched, now, IDLE_MAX) {
            self.cool();
        }
        self.touched = Some(now);
    }

    /// Returns the part by which a higher rate is taken over in one step, as its inverse.
    fn rate_inertia(&self) -> f64 {
        if self.completions < self.completions_to_warm {
            4.0
        } else {
            32.0
        }
    }

    /// Learns the rate, which lies between that of the prompt alone and that of all work.
    ///
    /// It falls fast, and rises slowly once the upstream is warm, because a prompt with a cached
    /// prefix shows a rate far above that of others.
    fn learn_rate(&mut self, prompt_tokens: u64, work_tokens: u64, elapsed: Duration) {
        if prompt_tokens < RATE_TOKENS_MIN {
            return;
        }
        let seconds = elapsed.as_secs_f64().max(1e-6);
        let low = prompt_tokens as f64 / seconds;
        let high = work_tokens as f64 / seconds;
        self.rate = Some(match self.rate {
            None => low,
            Some(rate) if low > rate => rate + (low.min(rate * 2.0) - rate) / self.rate_inertia(),
            Some(rate) if high < rate => rate.midpoint(high),
            Some(rate) => rate,
        });
    }
}

/// Returns whether `event` lies more than `age` back. No event is as old as can be.
fn is_older(event: Option<Instant>, now: Instant, age: Duration) -> bool {
    event.is_none_or(|then| now.saturating_duration_since(then) > age)
}
