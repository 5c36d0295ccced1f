//! Tests of the schedule of a day and of what its record shows.

use std::collections::BTreeSet;

use primrosehoist_standin::day::odd::{Kind, Object};
use primrosehoist_standin::day::schedule::{Action, QUIET_FIRST_MS, QUIET_LAST_MS, Schedule, Size};
use primrosehoist_standin::day::verdict::{
    Condition, End, Exit, Finding, MEMORY_MAX_KIB, Record, Sample, Second, findings,
};

const SIZE: Size = Size {
    hosts: 8,
    zones: 3,
    runners: 21,
    seconds: 60,
};

/// The time between two samples.
const PERIOD_MS: u64 = 500;

fn end(host: usize, exit: Exit) -> End {
    End {
        host,
        life: 0,
        at_ms: 0,
        exit,
        told_age_ms: None,
        killed: false,
        panicked: false,
        age_ms: 9_000,
        peak_kib: 9_000,
        processor_ms: 100,
        log: Vec::new(),
    }
}

/// Returns a sample of a process that serves with a little processor time.
fn sample(host: usize, at_ms: u64) -> Sample {
    Sample {
        at_ms,
        host,
        life: 0,
        ready: Some(200),
        condition: Condition::Free,
        store: true,
        processor_ms: at_ms / 10,
        peak_kib: 9_000,
    }
}

/// Returns the names of what samples of host 0 show, beside host 1, until `for_ms`.
fn seen<Change>(for_ms: u64, is_other_ready: bool, change: Change) -> Vec<String>
where
    Change: Fn(&mut Sample),
{
    let mut record = Record::default();
    for at_ms in (0..=for_ms).step_by(PERIOD_MS as usize) {
        let mut first = sample(0, at_ms);
        change(&mut first);
        let ready = is_other_ready.then_some(200).or(Some(503));
        let condition = Condition::Told;
        let second = Sample {
            ready,
            condition,
            ..sample(1, at_ms)
        };
        record.samples.extend([first, second]);
    }
    names(&record)
}

fn names(record: &Record) -> Vec<String> {
    let found = findings(record, SIZE.hosts);
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn schedules_follow_from_their_seed_and_leave_time_to_recover() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..200 {
        let schedule = Schedule::new(seed, SIZE);
        assert_eq!(Schedule::new(seed, SIZE), schedule, "seed {seed}");
        let troubles = &schedule.troubles;
        assert!(troubles.is_sorted_by_key(|trouble| trouble.at_ms));
        for trouble in troubles {
            assert!(trouble.at_ms >= QUIET_FIRST_MS, "seed {seed}: {trouble:?}");
            let last = SIZE.seconds * 1000 - QUIET_LAST_MS;
            assert!(trouble.end_ms() <= last, "seed {seed}: {trouble:?}");
            let name = format!("{:?}", trouble.action);
            kinds.insert(name.split(' ').next().map(str::to_owned));
            if let Action::Kill { hosts } | Action::Roll { hosts, .. } = &trouble.action {
                assert!(!hosts.is_empty() && hosts.iter().all(|host| *host < SIZE.hosts));
            }
        }
        let mut pairs = troubles.windows(2);
        overlaps += usize::from(pairs.any(|pair| pair[0].end_ms() > pair[1].at_ms));
    }
    assert_eq!(13, kinds.len(), "{kinds:?}");
    assert!(overlaps > 150, "{overlaps} of 200 days have overlaps");
    assert_ne!(Schedule::new(1, SIZE), Schedule::new(2, SIZE));
}

/// Returns the objects that others keep when all hosts are killed.
fn beside_kills_of_all(schedule: &Schedule) -> Vec<Object> {
    let mut kept: Vec<&Object> = Vec::new();
    let mut beside = Vec::new();
    for trouble in &schedule.troubles {
        match &trouble.action {
            Action::Keep { objects } => kept.extend(objects),
            Action::Remove { objects } => kept.retain(|object| !objects.contains(object)),
            Action::Kill { hosts } if hosts.len() == SIZE.hosts => {
                beside.extend(kept.iter().copied().cloned());
            }
            _ => {}
        }
    }
    beside
}

#[test]
fn others_keep_objects_of_each_kind_when_all_hosts_are_killed() {
    let (mut days, mut kinds, mut names, mut pages) =
        (0, BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for seed in 0..200 {
        let schedule = Schedule::new(seed, SIZE);
        let objects = beside_kills_of_all(&schedule);
        days += usize::from(!objects.is_empty());
        kinds.extend(objects.iter().map(|object| object.kind));
        names.extend(objects.into_iter().map(|object| object.name));
        pages.insert(schedule.page);
    }
    assert!(days > 100, "{days} of 200 days");
    let all = [
        Kind::Servers,
        Kind::Config,
        Kind::Evacuations,
        Kind::Daemons,
    ];
    assert_eq!(BTreeSet::from(all), kinds);
    assert_eq!(BTreeSet::from([1, 2, 3, 7, 500]), pages);
    let is_between = |name: &String| name.starts_with("\"i-7205-");
    assert!(names.iter().any(is_between));
    for part in [
        "%#", "&b=", "+", "%C3%A9", " b", "\\u0000", "\\r\\n", "/..", "\\ud800",
    ] {
        assert!(names.iter().any(|name| name.contains(part)), "{part}");
    }
}

/// The days of `day_soak` are named for what their schedules have.
#[test]
fn days_of_the_soak_have_what_they_are_named_for() {
    let rolls_without_store = |schedule: &Schedule| {
        let troubles = schedule.troubles.iter();
        let stores = troubles.clone().filter_map(|trouble| match trouble.action {
            Action::Trouble { .. } => Some(trouble.at_ms..trouble.end_ms()),
            _ => None,
        });
        let stores: Vec<_> = stores.collect();
        let rolls = troubles.filter(|trouble| match &trouble.action {
            Action::Roll { hosts, .. } => hosts.len() == SIZE.hosts,
            _ => false,
        });
        let mut rolls = rolls.map(|trouble| (trouble.at_ms, trouble.end_ms()));
        rolls.any(|(from, to)| {
            let mut outages = stores.iter();
            from < to && outages.any(|store| store.start <= from && to <= store.end)
        })
    };
    assert!(rolls_without_store(&Schedule::new(115, SIZE)));
    let overlapping = Schedule::new(2, SIZE).troubles;
    let mut pairs = overlapping.windows(2);
    assert!(pairs.any(|pair| pair[0].end_ms() > pair[1].at_ms));
    assert!(!beside_kills_of_all(&Schedule::new(21, SIZE)).is_empty());
}

#[test]
fn ends_are_asked_for_only_by_the_signals_of_the_day() {
    let told = |exit, age| End {
        told_age_ms: Some(age),
        ..end(0, exit)
    };
    let killed = End {
        killed: true,
        ..end(0, Exit::Signal(9))
    };
    let panicked = End {
        panicked: true,
        ..killed.clone()
    };
    let cases = [
        (killed, false),
        (panicked, true),
        (end(0, Exit::Signal(9)), true),
        (end(0, Exit::Code(0)), true),
        (end(0, Exit::Code(1)), true),
        (end(0, Exit::Signal(1)), true),
        (end(0, Exit::Signal(15)), true),
        (told(Exit::Code(0), 5_000), false),
        (told(Exit::Code(1), 5_000), true),
        (told(Exit::Signal(15), 5_000), true),
        (told(Exit::Signal(15), 3), false),
        (told(Exit::Signal(11), 3), true),
    ];
    for (end, expected) in cases {
        assert_eq!(expected, end.is_by_itself(), "{end:?}");
    }
}

#[test]
fn ends_in_a_row_and_on_a_tenth_of_the_hosts_are_findings_of_their_own() {
    let own = |host| end(host, Exit::Code(1));
    let asked = End {
        killed: true,
        ..end(0, Exit::Signal(9))
    };
    let record = |ends: Vec<End>| Record {
        ends,
        ..Record::default()
    };
    let broken = vec![own(0), own(0), asked, own(0)];
    assert_eq!(["ended_by_itself"; 3].to_vec(), names(&record(broken)));
    let row = record(vec![own(0), own(1), own(0), own(0)]);
    let found = findings(&row, SIZE.hosts);
    let in_a_row = Finding::EndedInARow { host: 0, ends: 3 };
    assert_eq!(Some(&in_a_row), found.last());
    let both = record((0..6).map(|number| own(number % 2)).collect());
    let fault = Finding::Fault { hosts: vec![0, 1] };
    assert_eq!(Some(&fault), findings(&both, SIZE.hosts).last());
}

#[test]
fn a_process_that_could_serve_has_to() {
    let idle = |sample: &mut Sample| sample.ready = Some(503);
    let without_store = |sample: &mut Sample| {
        idle(sample);
        sample.store = false;
    };
    assert_eq!(["not_serving"].to_vec(), seen(12_000, false, idle));
    assert!(seen(11_500, false, idle).is_empty());
    assert_eq!(["not_serving"].to_vec(), seen(12_000, true, without_store));
    assert!(seen(12_000, false, without_store).is_empty());
    for condition in [Condition::Told, Condition::Frozen, Condition::Hindered] {
        let kept = move |sample: &mut Sample| {
            sample.ready = None;
            sample.processor_ms = 0;
            sample.condition = condition;
        };
        assert!(seen(30_000, true, kept).is_empty(), "{condition:?}");
    }
    let recovered = |sample: &mut Sample| {
        if sample.at_ms != 6_000 {
            sample.ready = Some(503);
        }
    };
    assert!(seen(17_000, true, recovered).is_empty());
}

#[test]
fn a_process_that_stands_still_spins_or_grows_is_seen() {
    let still = |sample: &mut Sample| {
        sample.ready = None;
        sample.processor_ms = 70;
    };
    assert_eq!(["stands_still"].to_vec(), seen(5_000, true, still));
    assert!(seen(4_500, true, still).is_empty());
    assert!(seen(5_000, true, |sample| sample.ready = None).is_empty());
    let spins = |sample: &mut Sample| sample.processor_ms = sample.at_ms * 95 / 100;
    assert_eq!(["spins"].to_vec(), seen(3_000, true, spins));
    assert!(seen(2_500, true, spins).is_empty());
    let grown = |sample: &mut Sample| sample.peak_kib = MEMORY_MAX_KIB + 1;
    assert_eq!(["over_memory"].to_vec(), seen(0, true, grown));
}

/// Returns the names of what a day shows on which nothing is served from second 8 on for `idle_s` seconds, beside
/// one host.
fn unserved<Change>(idle_s: usize, asked: u64, change: Change) -> Vec<String>
where
    Change: Fn(&mut Sample),
{
    let seconds = (0..20).map(|number| Second {
        asked,
        served: u64::from(!(8..8 + idle_s).contains(&number)),
    });
    let samples = (0..20_000).step_by(PERIOD_MS as usize).map(|at_ms| {
        let mut sample = sample(0, at_ms);
        change(&mut sample);
        sample
    });
    names(&Record {
        seconds: seconds.collect(),
        samples: samples.collect(),
        ..Record::default()
    })
}

#[test]
fn seconds_without_service_count_while_a_host_lives() {
    let nothing_served = ["nothing_served"].to_vec();
    assert_eq!(nothing_served, unserved(3, 40, |_| {}));
    assert!(unserved(2, 40, |_| {}).is_empty());
    assert!(unserved(3, 2, |_| {}).is_empty());
    let told = |sample: &mut Sample| sample.condition = Condition::Told;
    assert_eq!(nothing_served, unserved(3, 40, told));
    let frozen = |sample: &mut Sample| sample.condition = Condition::Frozen;
    assert!(unserved(3, 40, frozen).is_empty());
    // It starts at 4 s, so that it lives from 9 s on.
    let young = |sample: &mut Sample| sample.life = u32::from(sample.at_ms >= 4_000);
    assert!(unserved(3, 40, young).is_empty());
    assert_eq!(nothing_served, unserved(4, 40, young));
    let uninformed = |sample: &mut Sample| {
        sample.ready = Some(503);
        sample.store = sample.at_ms >= 12_000;
    };
    assert!(unserved(9, 40, uninformed).is_empty());
    let informed_once = |sample: &mut Sample| {
        sample.ready = Some(503);
        sample.store = sample.at_ms == 2_000;
    };
    assert_eq!(nothing_served, unserved(9, 40, informed_once));
}

#[test]
fn processes_that_outlive_their_grace_or_panic_and_go_on_are_seen() {
    let record = Record {
        overdue: vec![(3, 1)],
        panicked: vec![(4, 0)],
        ..Record::default()
    };
    assert_eq!(["overdue", "panicked"].to_vec(), names(&record));
}
