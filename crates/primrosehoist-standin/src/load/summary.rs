//! The report of a load.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How requests ended.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Counts {
    /// Requests that were due.
    pub(crate) offered: u64,
    /// Requests with a complete and correct response.
    pub(crate) complete: u64,
    /// Requests that were refused and did not run.
    pub(crate) refused: u64,
    /// Requests whose error response stated that they may have run or are incomplete.
    pub(crate) failed: u64,
    /// All other requests: no outcome was reported, or the response was not the expected one.
    pub(crate) lost: u64,
}

impl Counts {
    /// Returns the number of requests that ended.
    pub(crate) fn ended(&self) -> u64 {
        self.complete + self.refused + self.failed + self.lost
    }
}

/// A summary of a distribution of times in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Quantiles {
    /// The number of values.
    pub(crate) count: u64,
    /// The mean.
    pub(crate) mean: f64,
    /// The median.
    pub(crate) p50: f64,
    /// The 95th percentile.
    pub(crate) p95: f64,
    /// The 99th percentile.
    pub(crate) p99: f64,
    /// The largest value.
    pub(crate) max: f64,
}

/// The results of one class of prompt lengths.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Class {
    /// The name, such as `4k`.
    pub(crate) name: String,
    /// The maximum prompt length of the class, in tokens.
    pub(crate) most_tokens: u64,
    /// How the requests ended.
    pub(crate) counts: Counts,
    /// First-token times of complete responses.
    pub(crate) first_token_ms: Quantiles,
}

/// The results of a workspace.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Workspace {
    /// Its name.
    pub(crate) name: String,
    /// How its requests ended.
    pub(crate) counts: Counts,
    /// Tokens of all its prompts and responses.
    pub(crate) offered_tokens: u64,
    /// Tokens of the requests that completed.
    pub(crate) complete_tokens: u64,
}

/// The results of the requests that were due within one second.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Second {
    /// The start, in seconds since the start of the load.
    pub(crate) at_s: u64,
    /// How the requests due in it ended.
    pub(crate) counts: Counts,
    /// First-token times of short prompts.
    pub(crate) short_first_token_ms: Quantiles,
}

/// The results of the requests that were due between two marks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Phase {
    /// The label of the mark at its start.
    pub(crate) label: String,
    /// How the requests due in it ended.
    pub(crate) counts: Counts,
    /// First-token times of short prompts.
    pub(crate) short_first_token_ms: Quantiles,
}

/// A labelled point in time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Mark {
    /// The time, in seconds since the start of the load.
    pub(crate) at_s: f64,
    /// The label.
    pub(crate) label: String,
}

impl FromStr for Mark {
    type Err = String;

    fn from_str(text: &str) -> Result<Mark, String> {
        let parts = text.split_once('=');
        let (second, label) = parts.ok_or_else(|| format!("{text:?} is not S=LABEL"))?;
        let second = second.parse::<f64>();
        Ok(Mark {
            at_s: second.map_err(|error| format!("{text:?}: {error}"))?,
            label: label.to_owned(),
        })
    }
}

/// The report of a load.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Summary {
    /// The name of the mix.
    pub(crate) mix: String,
    /// The seed.
    pub(crate) seed: u64,
    /// The factor applied to the rate of the mix.
    pub(crate) scale: f64,
    /// The time during which requests were sent, in seconds.
    pub(crate) duration_s: f64,
    /// The maximum delay of a send, in milliseconds.
    pub(crate) late_ms_max: f64,
    /// How all requests ended.
    pub(crate) counts: Counts,
    /// The number of requests with each outcome and error code.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// First-token times of short prompts.
    pub(crate) short_first_token_ms: Quantiles,
    /// How calls to plain services ended.
    pub(crate) call_counts: Counts,
    /// Total times of calls to plain services.
    pub(crate) call_total_ms: Quantiles,
    /// Tokens per second of the prompts and responses that completed.
    pub(crate) goodput_tokens_per_s: f64,
    /// Results by prompt length.
    pub(crate) classes: Vec<Class>,
    /// Results by workspace.
    pub(crate) workspaces: Vec<Workspace>,
    /// Results by second.
    pub(crate) series: Vec<Second>,
    /// The marks.
    pub(crate) marks: Vec<Mark>,
    /// Results by phase.
    pub(crate) phases: Vec<Phase>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>7} {:>6} {:>10} {:>10} {:>10}",
            "prompts",
            "offered",
            "complete",
            "refused",
            "failed",
            "lost",
            "p50 ms",
            "p95 ms",
            "p99 ms"
        )?;
        for class in self.classes.iter().filter(|c| c.counts.offered > 0) {
            write_row(f, &class.name, class.counts, class.first_token_ms)?;
        }
        write_row(f, "calls", self.call_counts, self.call_total_ms)?;
        write_row(f, "all, short only", self.counts, self.short_first_token_ms)?;
        for phase in &self.phases {
            write_row(f, &phase.label, phase.counts, phase.short_first_token_ms)?;
        }
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome}: {count}")?;
        }
        Ok(())
    }
}

fn write_row(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    counts: Counts,
    times: Quantiles,
) -> fmt::Result {
    writeln!(
        f,
        "{name:<16} {:>8} {:>8} {:>8} {:>7} {:>6} {:>10.2} {:>10.2} {:>10.2}",
        counts.offered,
        counts.complete,
        counts.refused,
        counts.failed,
        counts.lost,
        times.p50,
        times.p95,
        times.p99
    )
}
