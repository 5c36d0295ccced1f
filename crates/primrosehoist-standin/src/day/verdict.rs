//! What a day shows about the daemons, from what was recorded.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

/// The longest time until a process serves that could, in milliseconds: `RecoverS`.
pub const SERVING_MAX_MS: u64 = 12_000;

/// The time of a process without an answer and without processor time that is a fault, in milliseconds.
pub const STILL_MAX_MS: u64 = 5_000;

/// The processor time below which a process stands still, in milliseconds.
const STILL_PROCESSOR_MS: u64 = 10;

/// The time of a process with a whole core that is a fault, in milliseconds. The traffic of a day needs a
/// small part of a core.
pub const SPIN_MAX_MS: u64 = 3_000;

/// The share of a core that counts as a whole one, in percent.
const SPIN_PERCENT: u64 = 90;

/// The limit of the memory of a process in KiB: `MemoryMb`.
pub const MEMORY_MAX_KIB: u64 = 260 * 1024;

/// The time from which on a process counts as living that is not stopped, in milliseconds, since the store
/// answered or another host was ready for the first time in its life.
pub const LIVING_MS: u64 = 5_000;

/// The number of seconds in a row without a served request that is a fault if a host lives.
pub const NOTHING_SERVED_S: usize = 3;

/// The number of requests in a second without which it says nothing about what is served.
const ASKED_MIN: u64 = 3;

/// The number of ends in a row of a process by itself that are counted as one more finding.
pub const ROW: usize = 3;

/// The age at which a process handles signals, in milliseconds.
const HANDLERS_MAX_MS: u64 = 2_000;

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// It exited with a code.
    Code(i32),
    /// A signal ended it.
    Signal(i32),
}

/// An end of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct End {
    /// The host.
    pub host: usize,
    /// The number of the process among those of the host.
    pub life: u32,
    /// The time since the start of the day, in milliseconds.
    pub at_ms: u64,
    /// How it ended.
    pub exit: Exit,
    /// The age of the process when it was told to end, in milliseconds.
    pub told_age_ms: Option<u64>,
    /// Whether it was killed.
    pub killed: bool,
    /// Whether its log has a panic.
    pub panicked: bool,
    /// The age of the process, in milliseconds.
    pub age_ms: u64,
    /// The largest resident memory, in KiB.
    pub peak_kib: u64,
    /// The processor time, in milliseconds.
    pub processor_ms: u64,
    /// The last lines of its log.
    pub log: Vec<String>,
}

impl End {
    /// Returns whether nobody asked for the end.
    pub fn is_by_itself(&self) -> bool {
        let asked = match self.exit {
            Exit::Signal(SIGKILL) => self.killed,
            Exit::Code(0) => self.told_age_ms.is_some(),
            // The kernel ends a process by it that has no handlers yet.
            Exit::Signal(SIGTERM) => self.told_age_ms.is_some_and(|age| age < HANDLERS_MAX_MS),
            Exit::Code(_) | Exit::Signal(_) => false,
        };
        self.panicked || !asked
    }
}

/// What the day does to a process at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Nothing that keeps it from serving.
    Free,
    /// It was told to end.
    Told,
    /// It is stopped.
    Frozen,
    /// It is kept from its start, by a port or its settings.
    Hindered,
}

/// What was seen of a process at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// The time since the start of the day, in milliseconds. The samples of a moment have the same time.
    pub at_ms: u64,
    /// The host.
    pub host: usize,
    /// The number of the process among those of the host.
    pub life: u32,
    /// The status of the readiness response, if there was one.
    pub ready: Option<u16>,
    /// What the day does to the process.
    pub condition: Condition,
    /// Whether the store is there and answers in time.
    pub store: bool,
    /// The processor time so far, in milliseconds.
    pub processor_ms: u64,
    /// The largest resident memory so far, in KiB.
    pub peak_kib: u64,
}

impl Sample {
    fn is_ready(&self) -> bool {
        self.ready == Some(200)
    }
}

/// The requests of a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Requests that ended, whatever their outcome.
    pub asked: u64,
    /// Requests with a complete response.
    pub served: u64,
}

/// What was recorded of a day.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// The samples, in the order of time.
    pub samples: Vec<Sample>,
    /// The ends, in the order of time.
    pub ends: Vec<End>,
    /// The requests by second of the day.
    pub seconds: Vec<Second>,
    /// The processes, by host and number, that had to be killed after their grace.
    pub overdue: Vec<(usize, u32)>,
    /// The live processes at the end of the day, by host and number, whose logs have a panic.
    pub panicked: Vec<(usize, u32)>,
}

/// A fault that a day has shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, strum::Display)]
#[serde(tag = "finding", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finding {
    /// A process ended by itself.
    EndedByItself {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
        /// The time in milliseconds.
        at_ms: u64,
        /// How it ended.
        exit: Exit,
    },
    /// The processes of a host ended by themselves one after the other.
    EndedInARow {
        /// The host.
        host: usize,
        /// How many.
        ends: usize,
    },
    /// On so many hosts that the whole deployment counts as failed, processes ended by themselves often.
    Fault {
        /// The hosts.
        hosts: Vec<usize>,
    },
    /// A process does not end in its grace.
    Overdue {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
    },
    /// A task of a live process panicked.
    Panicked {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
    },
    /// A process does not serve although it could.
    NotServing {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
        /// The first moment in milliseconds.
        from_ms: u64,
        /// How long it was seen so, in milliseconds.
        for_ms: u64,
    },
    /// A process neither answers nor uses the processor.
    StandsStill {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
        /// The first moment in milliseconds.
        from_ms: u64,
        /// How long it was seen so, in milliseconds.
        for_ms: u64,
    },
    /// A process uses a whole core.
    Spins {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
        /// The first moment in milliseconds.
        from_ms: u64,
        /// How long it was seen so, in milliseconds.
        for_ms: u64,
    },
    /// A process is over its memory.
    OverMemory {
        /// The host.
        host: usize,
        /// The number of the process.
        life: u32,
        /// The largest memory in KiB.
        peak_kib: u64,
    },
    /// No request is served although a host lives.
    NothingServed {
        /// The first second of the day.
        from_s: usize,
        /// How many seconds.
        seconds: usize,
        /// The requests in this time.
        asked: u64,
    },
}

/// Returns what a day of `hosts` hosts has shown.
pub fn findings(record: &Record, hosts: usize) -> Vec<Finding> {
    let mut found = ends(&record.ends, hosts);
    found.extend(record.overdue.iter().map(|(host, life)| Finding::Overdue {
        host: *host,
        life: *life,
    }));
    found.extend(
        record
            .panicked
            .iter()
            .map(|(host, life)| Finding::Panicked {
                host: *host,
                life: *life,
            }),
    );
    found.extend(processes(&record.samples));
    let living = living(&record.samples);
    found.extend(nothing_served(&record.seconds, &living));
    found
}

fn ends(ends: &[End], hosts: usize) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut own: BTreeMap<usize, usize> = BTreeMap::new();
    let mut rows: BTreeMap<usize, usize> = BTreeMap::new();
    let mut longest: BTreeMap<usize, usize> = BTreeMap::new();
    for end in ends {
        let row = rows.entry(end.host).or_default();
        if !end.is_by_itself() {
            *row = 0;
            continue;
        }
        *row += 1;
        *own.entry(end.host).or_default() += 1;
        let longest = longest.entry(end.host).or_default();
        *longest = (*longest).max(*row);
        found.push(Finding::EndedByItself {
            host: end.host,
            life: end.life,
            at_ms: end.at_ms,
            exit: end.exit,
        });
    }
    let in_a_row = longest.into_iter().filter(|(_, ends)| *ends >= ROW);
    found.extend(in_a_row.map(|(host, ends)| Finding::EndedInARow { host, ends }));
    let often = own.into_iter().filter(|(_, ends)| *ends >= ROW);
    let often: Vec<usize> = often.map(|(host, _)| host).collect();
    if often.len() >= hosts.div_ceil(10).max(2) {
        found.push(Finding::Fault { hosts: often });
    }
    found
}

/// A stretch of samples with the same fault.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    from: Sample,
    last: Sample,
}

impl Stretch {
    fn for_ms(&self) -> u64 {
        self.last.at_ms - self.from.at_ms
    }
}

/// Returns the longest stretch of samples that `continues` accepts, given its first one, the one before and the
/// present one.
fn longest<Continues>(samples: &[Sample], continues: Continues) -> Option<Stretch>
where
    Continues: Fn(&Stretch, &Sample) -> bool,
{
    let mut longest: Option<Stretch> = None;
    let mut current: Option<Stretch> = None;
    for sample in samples {
        let begun = current.unwrap_or(Stretch {
            from: *sample,
            last: *sample,
        });
        current = continues(&begun, sample).then_some(Stretch {
            last: *sample,
            ..begun
        });
        if let Some(stretch) = current
            && longest.is_none_or(|longest| longest.for_ms() < stretch.for_ms())
        {
            longest = Some(stretch);
        }
    }
    longest
}

/// Returns the moments at which a host was ready.
fn ready_moments(samples: &[Sample]) -> BTreeSet<u64> {
    let ready = samples.iter().filter(|sample| sample.is_ready());
    ready.map(|sample| sample.at_ms).collect()
}

/// Returns the seconds in which a host lives that has had the time to learn what it needs.
fn living(samples: &[Sample]) -> BTreeSet<usize> {
    let ready = ready_moments(samples);
    let mut learnt: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut living = BTreeSet::new();
    for sample in samples {
        let is_up = matches!(sample.condition, Condition::Free | Condition::Told);
        if !is_up {
            continue;
        }
        let life = (sample.host, sample.life);
        if sample.store || ready.contains(&sample.at_ms) {
            learnt.entry(life).or_insert(sample.at_ms);
        }
        if learnt
            .get(&life)
            .is_some_and(|at_ms| at_ms + LIVING_MS <= sample.at_ms)
        {
            living.insert(sample.at_ms as usize / 1000);
        }
    }
    living
}

fn processes(samples: &[Sample]) -> Vec<Finding> {
    let ready = ready_moments(samples);
    let mut lives: BTreeMap<(usize, u32), Vec<Sample>> = BTreeMap::new();
    for sample in samples {
        let life = lives.entry((sample.host, sample.life)).or_default();
        life.push(*sample);
    }
    let mut found = Vec::new();
    for ((host, life), samples) in lives {
        let could = |sample: &Sample| {
            sample.condition == Condition::Free && (sample.store || ready.contains(&sample.at_ms))
        };
        let idle = longest(&samples, |_, now| could(now) && !now.is_ready());
        if let Some(stretch) = idle.filter(|stretch| stretch.for_ms() >= SERVING_MAX_MS) {
            found.push(Finding::NotServing {
                host,
                life,
                from_ms: stretch.from.at_ms,
                for_ms: stretch.for_ms(),
            });
        }
        let still = longest(&samples, |begun, now| {
            let used_ms = now.processor_ms.saturating_sub(begun.from.processor_ms);
            now.ready.is_none() && now.condition == Condition::Free && used_ms < STILL_PROCESSOR_MS
        });
        if let Some(stretch) = still.filter(|stretch| stretch.for_ms() >= STILL_MAX_MS) {
            found.push(Finding::StandsStill {
                host,
                life,
                from_ms: stretch.from.at_ms,
                for_ms: stretch.for_ms(),
            });
        }
        let spins = longest(&samples, |begun, now| {
            let used_ms = now.processor_ms.saturating_sub(begun.last.processor_ms);
            let passed_ms = now.at_ms - begun.last.at_ms;
            used_ms * 100 >= passed_ms * SPIN_PERCENT
        });
        if let Some(stretch) = spins.filter(|stretch| stretch.for_ms() >= SPIN_MAX_MS) {
            found.push(Finding::Spins {
                host,
                life,
                from_ms: stretch.from.at_ms,
                for_ms: stretch.for_ms(),
            });
        }
        let peak_kib = samples.iter().map(|sample| sample.peak_kib).max();
        if let Some(peak_kib) = peak_kib.filter(|peak_kib| *peak_kib > MEMORY_MAX_KIB) {
            found.push(Finding::OverMemory {
                host,
                life,
                peak_kib,
            });
        }
    }
    found
}

fn nothing_served(seconds: &[Second], living: &BTreeSet<usize>) -> Vec<Finding> {
    let is_idle = |(number, second): &(usize, Second)| {
        second.asked >= ASKED_MIN && second.served == 0 && living.contains(number)
    };
    let seconds: Vec<(usize, Second)> = seconds.iter().copied().enumerate().collect();
    let mut found = Vec::new();
    for stretch in seconds.chunk_by(|a, b| is_idle(a) == is_idle(b)) {
        if stretch.len() >= NOTHING_SERVED_S && is_idle(&stretch[0]) {
            found.push(Finding::NothingServed {
                from_s: stretch[0].0,
                seconds: stretch.len(),
                asked: stretch.iter().map(|(_, second)| second.asked).sum(),
            });
        }
    }
    found
}
