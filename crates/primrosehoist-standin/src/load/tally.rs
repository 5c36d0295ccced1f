//! Histograms and counters of a running load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::caller::answer::{Answer, Outcome};
use crate::load::Ended;
use crate::load::arrival::{Arrival, Kind};
use crate::load::mix::Mix;
use crate::load::summary::{Class, Counts, Mark, Phase, Quantiles, Second, Summary, Workspace};

/// The maximum length of a short prompt, in tokens.
const SHORT_TOKENS: u64 = 4_096;
/// The maximum time that a histogram records, in microseconds.
const MICROSECONDS_MAX: u64 = 3_600_000_000;
/// The classes of prompt lengths: name and maximum length in tokens.
const CLASSES: [(&str, u64); 6] = [
    ("1k", 2_000),
    ("4k", 8_000),
    ("16k", 32_000),
    ("64k", 128_000),
    ("256k", 512_000),
    ("1M", u64::MAX),
];

#[derive(Debug)]
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Times {
        let bounds = Histogram::new_with_bounds(1, MICROSECONDS_MAX, 3);
        Times(bounds.expect("the bounds are valid"))
    }

    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    fn quantiles(&self) -> Quantiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        Quantiles {
            count: self.0.len(),
            mean: self.0.mean() / 1_000.0,
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: self.0.max() as f64 / 1_000.0,
        }
    }
}

#[derive(Debug)]
struct Group {
    counts: Counts,
    times: Times,
}

impl Group {
    fn new() -> Group {
        Group {
            counts: Counts::default(),
            times: Times::new(),
        }
    }
}

/// The counters of a load.
#[derive(Debug)]
pub(crate) struct Tally {
    mix: String,
    all: Group,
    late_max: Duration,
    outcomes: BTreeMap<String, u64>,
    classes: Vec<Group>,
    calls: Group,
    workspaces: Vec<Workspace>,
    seconds: Vec<Group>,
    marks: Vec<Mark>,
    phases: Vec<Group>,
    last_end: Duration,
}

impl Tally {
    /// Creates counters at zero.
    pub(crate) fn new(mix: &Mix, marks: &[Mark]) -> Tally {
        let workspaces = mix.workspaces.iter().map(|workspace| Workspace {
            name: workspace.name.to_string(),
            counts: Counts::default(),
            offered_tokens: 0,
            complete_tokens: 0,
        });
        Tally {
            mix: mix.name.clone(),
            all: Group::new(),
            late_max: Duration::ZERO,
            outcomes: BTreeMap::new(),
            classes: CLASSES.iter().map(|_| Group::new()).collect(),
            calls: Group::new(),
            workspaces: workspaces.collect(),
            seconds: Vec::new(),
            marks: marks.to_vec(),
            phases: (0..=marks.len()).map(|_| Group::new()).collect(),
            last_end: Duration::ZERO,
        }
    }

    /// Returns the counts of all requests.
    pub(crate) fn counts(&self) -> Counts {
        self.all.counts
    }

    /// Counts requests that are going to be sent.
    pub(crate) fn offer(&mut self, arrivals: &[Arrival]) {
        for arrival in arrivals {
            self.workspaces[arrival.workspace].offered_tokens += arrival.tokens();
            self.update_counts(arrival, |counts| counts.offered += 1);
        }
    }

    /// Counts a request that ended.
    pub(crate) fn add(&mut self, ended: &Ended) {
        let Ended {
            arrival,
            answer,
            late,
        } = ended;
        self.late_max = self.late_max.max(*late);
        self.last_end = self.last_end.max(arrival.at + *late + answer.total);
        *self.outcomes.entry(answer.label()).or_default() += 1;
        self.update_counts(arrival, |counts| match answer.outcome {
            Outcome::Complete => counts.complete += 1,
            Outcome::NotRun => counts.refused += 1,
            Outcome::Unknown | Outcome::Incomplete => counts.failed += 1,
            _ => counts.lost += 1,
        });
        if answer.outcome == Outcome::Complete {
            self.workspaces[arrival.workspace].complete_tokens += arrival.tokens();
            self.record_time(arrival, answer);
        }
    }

    fn record_time(&mut self, arrival: &Arrival, answer: &Answer) {
        let Kind::Prompt { tokens, .. } = arrival.kind else {
            return self.calls.times.record(answer.total);
        };
        let Some(first) = answer.first_token else {
            return;
        };
        self.classes[class(tokens)].times.record(first);
        if tokens <= SHORT_TOKENS {
            self.all.times.record(first);
            self.second(arrival).times.record(first);
            self.phase(arrival).times.record(first);
        }
    }

    fn second(&mut self, arrival: &Arrival) -> &mut Group {
        let index = arrival.at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, Group::new);
        }
        &mut self.seconds[index]
    }

    fn phase(&mut self, arrival: &Arrival) -> &mut Group {
        let at_s = arrival.at.as_secs_f64();
        let passed = self.marks.iter().filter(|mark| mark.at_s <= at_s);
        let index = passed.count();
        &mut self.phases[index]
    }

    fn update_counts<Change>(&mut self, arrival: &Arrival, change: Change)
    where
        Change: Fn(&mut Counts),
    {
        change(&mut self.all.counts);
        change(&mut self.second(arrival).counts);
        change(&mut self.phase(arrival).counts);
        change(&mut self.workspaces[arrival.workspace].counts);
        match arrival.kind {
            Kind::Prompt { tokens, .. } => change(&mut self.classes[class(tokens)].counts),
            Kind::Call { .. } => change(&mut self.calls.counts),
        }
    }

    /// Returns the report without the settings of the load, which the caller fills in.
    pub(crate) fn summary(&self) -> Summary {
        let complete: u64 = self.workspaces.iter().map(|w| w.complete_tokens).sum();
        let classes = CLASSES.iter().zip(&self.classes);
        let seconds = self.seconds.iter().enumerate();
        Summary {
            mix: self.mix.clone(),
            late_ms_max: self.late_max.as_secs_f64() * 1_000.0,
            counts: self.all.counts,
            outcomes: self.outcomes.clone(),
            short_first_token_ms: self.all.times.quantiles(),
            call_counts: self.calls.counts,
            call_total_ms: self.calls.times.quantiles(),
            goodput_tokens_per_s: complete as f64 / self.last_end.as_secs_f64().max(1.0),
            classes: classes
                .map(|((name, most_tokens), group)| Class {
                    name: (*name).to_owned(),
                    most_tokens: *most_tokens,
                    counts: group.counts,
                    first_token_ms: group.times.quantiles(),
                })
                .collect(),
            workspaces: self.workspaces.clone(),
            series: seconds
                .map(|(second, group)| Second {
                    at_s: second as u64,
                    counts: group.counts,
                    short_first_token_ms: group.times.quantiles(),
                })
                .collect(),
            marks: self.marks.clone(),
            phases: self.phases(),
            ..Summary::default()
        }
    }

    fn phases(&self) -> Vec<Phase> {
        let labels = self.marks.iter().map(|mark| mark.label.clone());
        let labels = std::iter::once("start".to_owned()).chain(labels);
        let phases = labels.zip(&self.phases).map(|(label, group)| Phase {
            label,
            counts: group.counts,
            short_first_token_ms: group.times.quantiles(),
        });
        phases.collect()
    }
}

/// Returns the index of the class of prompts with `tokens` tokens.
fn class(tokens: u64) -> usize {
    let contains = |(_, limit): &(&str, u64)| tokens <= *limit;
    CLASSES
        .iter()
        .position(contains)
        .unwrap_or(CLASSES.len() - 1)
}
