//! Checks that a call with an idempotency key runs at most once, whatever the platform answers.

use std::time::Duration;

use primrosehoist::coordination::claim::shard::{SHARDS, index};
use primrosehoist::coordination::claim::{
    Answer, Claimant, End, Found, Record, Refusal, State, Step, object_name,
};
use primrosehoist::state::name;
use primrosehoist_property::arbitrary::{Result, Unstructured};
use primrosehoist_property::check;
use tokio::time::Instant;

fn record(nonce: &str, body: &str) -> Record {
    Record {
        nonce: nonce.to_owned(),
        host: name::Host::try_from("a1").unwrap(),
        incarnation: 7,
        state: State::Claimed,
        body: body.to_owned(),
        time_ms: 1_000,
    }
}

fn done() -> End {
    End::Completed { status: 200 }
}

/// A write that the platform has not applied yet.
#[derive(Clone)]
struct Write {
    record: Record,
    /// The version to replace; `None` creates the object.
    version: Option<u64>,
}

/// A platform with a single object.
#[derive(Default)]
struct Platform {
    object: Option<Record>,
    version: u64,
    delayed: Vec<Write>,
}

impl Platform {
    fn apply(&mut self, write: Write) -> Answer {
        let current = self.object.as_ref().map(|_| self.version);
        if current != write.version {
            return Answer::Conflict;
        }
        self.object = Some(write.record);
        self.version += 1;
        Answer::Written
    }

    /// Randomly rejects a write, loses it, delays it, loses its answer or applies it.
    fn write(&mut self, u: &mut Unstructured<'_>, write: Write) -> Result<Answer> {
        match u.int_in_range(0..=6)? {
            0 => return Ok(Answer::Rejected),
            1 => return Ok(Answer::Lost),
            2 => self.delayed.push(write),
            3 => drop(self.apply(write)),
            _ => return Ok(self.apply(write)),
        }
        Ok(Answer::Lost)
    }

    fn read(&self, u: &mut Unstructured<'_>) -> Result<Answer> {
        if u.ratio(1, 4)? {
            return Ok(Answer::Lost);
        }
        let Some(record) = &self.object else {
            return Ok(Answer::Missing);
        };
        Ok(Answer::Found(Found {
            record: record.clone(),
            resource_version: self.version.to_string(),
            owner_alive: u.arbitrary()?,
        }))
    }
}

/// A request and its daemon, which may pause between any two steps.
struct Caller {
    claimant: Claimant,
    ended: bool,
    runs: u32,
    release: Option<u64>,
}

impl Caller {
    fn new(number: usize, deadline: Instant) -> Self {
        let body = if number == 3 { "other" } else { "body" };
        Self {
            claimant: Claimant::new(record(&number.to_string(), body), deadline),
            ended: false,
            runs: 0,
            release: None,
        }
    }

    fn step(
        &mut self,
        u: &mut Unstructured<'_>,
        platform: &mut Platform,
        now: Instant,
    ) -> Result<()> {
        let record = self.claimant.record().clone();
        let answer = match self.claimant.step().clone() {
            Step::Create => platform.write(
                u,
                Write {
                    record,
                    version: None,
                },
            )?,
            Step::Replace(version) => {
                let version = Some(version.parse().unwrap());
                platform.write(u, Write { record, version })?
            }
            Step::Read => platform.read(u)?,
            Step::Dispatch if !self.ended => return self.run(u, platform),
            Step::Refuse(_) if self.claimant.needs_release() => return self.release(u, platform),
            Step::Dispatch | Step::Refuse(_) => return Ok(()),
        };
        self.claimant.handle_answer(answer, now);
        Ok(())
    }

    /// Runs the call or decides not to, and tries to record the outcome.
    fn run(&mut self, u: &mut Unstructured<'_>, platform: &mut Platform) -> Result<()> {
        self.ended = true;
        let end = match u.int_in_range(0..=3)? {
            0 => End::NotRun,
            1 => End::Unknown,
            _ => done(),
        };
        self.runs += u32::from(end != End::NotRun);
        let write = Write {
            record: self.claimant.record().ended(end),
            version: Some(platform.version),
        };
        platform.write(u, write)?;
        Ok(())
    }

    /// Releases the claim of a refused request by a read and a conditional write.
    fn release(&mut self, u: &mut Unstructured<'_>, platform: &mut Platform) -> Result<()> {
        let own = platform.object.as_ref() == Some(self.claimant.record());
        if let Some(version) = self.release.take() {
            let write = Write {
                record: self.claimant.record().ended(End::NotRun),
                version: Some(version),
            };
            platform.write(u, write)?;
        } else if own {
            self.release = Some(platform.version);
        }
        Ok(())
    }
}

#[test]
fn a_call_runs_at_most_once() {
    check(40_000, |u| {
        let mut now = Instant::now();
        let mut platform = Platform::default();
        let mut callers: Vec<Caller> = (0..4)
            .map(|number| {
                let wait = Duration::from_millis(u.int_in_range(0..=2_000)?);
                Ok(Caller::new(number, now + wait))
            })
            .collect::<Result<_>>()?;
        for _ in 0..80 {
            now += Duration::from_millis(u.int_in_range(0..=50)?);
            let number = u.choose_index(callers.len())?;
            callers[number].step(u, &mut platform, now)?;
            if !platform.delayed.is_empty() && u.ratio(1, 4)? {
                let write = platform.delayed.swap_remove(0);
                platform.apply(write);
            }
            check_at_most_once(&callers);
        }
        Ok(())
    });
}

fn check_at_most_once(callers: &[Caller]) {
    let runs: u32 = callers.iter().map(|caller| caller.runs).sum();
    assert!(runs <= 1, "the call ran {runs} times");
    for caller in callers {
        if let Step::Refuse(refusal) = caller.claimant.step() {
            assert_eq!(caller.runs, 0, "refused as {refusal} after it ran");
        }
    }
}

/// Feeds `answers` to a claimant and returns its final step.
fn final_step(answers: Vec<Answer>) -> Step {
    let now = Instant::now();
    let mut claimant = Claimant::new(record("own", "body"), now + Duration::from_secs(1));
    for answer in answers {
        claimant.handle_answer(answer, now);
    }
    claimant.step().clone()
}

fn found(nonce: &str, body: &str, state: State, owner_alive: bool) -> Answer {
    let mut record = record(nonce, body);
    record.state = state;
    Answer::Found(Found {
        record,
        resource_version: "5".to_owned(),
        owner_alive,
    })
}

#[test]
fn each_answer_leads_to_the_expected_step() {
    let finished = || State::Done { status: 201 };
    let lost = || Answer::Lost;
    let conflict = || Answer::Conflict;
    let refuse = Step::Refuse;
    let cases = [
        (vec![Answer::Written], Step::Dispatch),
        (vec![lost()], Step::Read),
        (vec![Answer::Rejected], Step::Create),
        (vec![lost(), Answer::Missing], Step::Create),
        (
            vec![lost(), found("own", "body", State::Claimed, true)],
            Step::Dispatch,
        ),
        (vec![lost(), Answer::Missing, conflict()], Step::Read),
        (
            vec![conflict(), found("x", "body", State::Claimed, true)],
            refuse(Refusal::InProgress),
        ),
        (
            vec![conflict(), found("x", "body", State::Claimed, false)],
            refuse(Refusal::Unknown),
        ),
        (
            vec![conflict(), found("x", "body", State::Unknown, true)],
            refuse(Refusal::Unknown),
        ),
        (
            vec![conflict(), found("x", "body", finished(), false)],
            refuse(Refusal::Done(201)),
        ),
        (
            vec![conflict(), found("x", "else", finished(), false)],
            refuse(Refusal::Mismatch),
        ),
        (
            vec![conflict(), found("x", "else", State::Claimed, false)],
            refuse(Refusal::Mismatch),
        ),
        (
            vec![conflict(), found("x", "body", State::Released, true)],
            Step::Replace("5".into()),
        ),
        (
            vec![conflict(), found("x", "else", State::Released, true)],
            Step::Replace("5".into()),
        ),
        (
            vec![conflict(), found("own", "body", State::Unknown, true)],
            refuse(Refusal::Unknown),
        ),
    ];
    for (answers, expected) in cases {
        let text = format!("{answers:?}");
        assert_eq!(final_step(answers), expected, "{text}");
    }
}

#[test]
fn a_claim_is_not_used_after_the_deadline() {
    let now = Instant::now();
    let late = now + Duration::from_secs(1);
    let cases = [
        (Answer::Written, None, Refusal::Unavailable, true),
        (Answer::Rejected, None, Refusal::Unavailable, false),
        (Answer::Lost, None, Refusal::Unavailable, true),
        (
            Answer::Conflict,
            Some(Answer::Lost),
            Refusal::Unknown,
            false,
        ),
    ];
    for (first, second, expected, release) in cases {
        let mut claimant = Claimant::new(record("own", "body"), late);
        match second {
            Some(second) => {
                claimant.handle_answer(first, now);
                claimant.handle_answer(second, late);
            }
            None => drop(claimant.handle_answer(first, late).clone()),
        }
        assert_eq!(claimant.step(), &Step::Refuse(expected));
        assert_eq!(claimant.needs_release(), release);
    }
}

#[test]
fn refusals_report_whether_the_call_may_have_run() {
    let cases = [
        (Refusal::Unavailable, false, 503),
        (Refusal::Mismatch, false, 422),
        (Refusal::InProgress, true, 409),
        (Refusal::Done(200), true, 409),
        (Refusal::Unknown, true, 409),
    ];
    for (refusal, may_have_run, status) in cases {
        assert_eq!(
            (refusal.may_have_run(), refusal.status()),
            (may_have_run, status)
        );
    }
}

#[test]
fn names_differ_by_workspace_and_key() {
    let workspace = |raw: &str| name::Workspace::try_from(raw).unwrap();
    let first = object_name(&workspace("a"), "bc");
    assert_eq!(first.len(), 64);
    assert_eq!(first, object_name(&workspace("a"), "bc"));
    assert_ne!(first, object_name(&workspace("ab"), "c"));
    assert_ne!(first, object_name(&workspace("a"), "bd"));
    assert!(index(&first) < SHARDS && index("") == 0);
}
