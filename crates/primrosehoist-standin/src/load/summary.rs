//! The report of a load.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How requests ended.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Counts {
    /// Requests that are due.
    pub(crate) offered: u64,
    /// Requests with a whole answer.
    pub(crate) complete: u64,
    /// Requests refused as not run.
    pub(crate) refused: u64,
    /// Requests whose callers were told in time that they may have run or are incomplete.
    pub(crate) failed: u64,
    /// All others: the caller was told nothing, or got an answer that is not its own.
    pub(crate) lost: u64,
}

impl Counts {
    /// Returns the requests that ended.
    pub(crate) fn ended(&self) -> u64 {
        self.complete + self.refused + self.failed + self.lost
    }
}

/// Quantiles in milliseconds.
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

/// First-token times of one class of prompt lengths.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Class {
    /// The name, such as `4k`.
    pub(crate) name: String,
    /// The longest prompt of the class in tokens.
    pub(crate) most_tokens: u64,
    /// How the requests ended.
    pub(crate) counts: Counts,
    /// Times to the first token of complete answers.
    pub(crate) first_token_ms: Quantiles,
}

/// What a workspace got.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Workspace {
    /// Its name.
    pub(crate) name: String,
    /// How its requests ended.
    pub(crate) counts: Counts,
    /// Tokens of all its prompts and answers.
    pub(crate) offered_tokens: u64,
    /// Tokens of those with a whole answer.
    pub(crate) complete_tokens: u64,
}

/// One second of the load, by the time at which requests were due.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Second {
    /// The second.
    pub(crate) at_s: u64,
    /// How the requests due in it ended.
    pub(crate) counts: Counts,
    /// First-token times of short prompts.
    pub(crate) short_first_token_ms: Quantiles,
}

/// The time from one mark to the next, by the time at which requests were due.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Phase {
    /// The label of the mark that it starts with.
    pub(crate) label: String,
    /// How the requests due in it ended.
    pub(crate) counts: Counts,
    /// First-token times of short prompts.
    pub(crate) short_first_token_ms: Quantiles,
}

/// A marked second.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Mark {
    /// The second.
    pub(crate) at_s: f64,
    /// What happened.
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

/// The report.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Summary {
    /// The name of the mix.
    pub(crate) mix: String,
    /// The seed.
    pub(crate) seed: u64,
    /// The factor of the rate.
    pub(crate) scale: f64,
    /// Seconds in which requests were sent.
    pub(crate) duration_s: f64,
    /// By how many milliseconds a send was late at most.
    pub(crate) late_ms_max: f64,
    /// How all requests ended.
    pub(crate) counts: Counts,
    /// How many requests ended with each outcome and reason.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// First-token times of short prompts.
    pub(crate) short_first_token_ms: Quantiles,
    /// How calls to plain services ended.
    pub(crate) call_counts: Counts,
    /// Total times of calls to plain services.
    pub(crate) call_total_ms: Quantiles,
    /// Tokens a second of prompts and answers that completed.
    pub(crate) goodput_tokens_per_s: f64,
    /// By prompt length.
    pub(crate) classes: Vec<Class>,
    /// By workspace.
    pub(crate) workspaces: Vec<Workspace>,
    /// By second.
    pub(crate) series: Vec<Second>,
    /// Marked seconds.
    pub(crate) marks: Vec<Mark>,
    /// The times between marks.
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
