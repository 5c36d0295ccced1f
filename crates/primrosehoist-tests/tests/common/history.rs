//! Histories of calls that may not be repeated, and their check against a sequential model.

use std::collections::BTreeMap;
use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// What a caller was told about one submission of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The call ran, and its answer came.
    Ran,
    /// The key was in use.
    Duplicate,
    /// The call was not run.
    NotRun,
    /// Anything else: it may have run.
    Unknown,
}

/// One submission of a key by a caller.
#[derive(Debug, Clone)]
pub struct Submission {
    pub key: String,
    pub caller: usize,
    pub called: Instant,
    pub returned: Instant,
    pub told: Told,
}

/// A key that runs once at most. The state says whether it ran.
///
/// A refusal changes nothing. A submission of unknown end is turned into a run or a refusal,
/// by what the service counted, before the check.
#[derive(Debug, Clone)]
pub struct Key;

impl Specification for Key {
    type State = bool;
    type Operation = Told;

    fn init() -> bool {
        false
    }

    fn apply(op: &Told, state: &bool) -> (bool, bool) {
        match op {
            Told::Ran => (!state, true),
            Told::Duplicate | Told::NotRun | Told::Unknown => (true, *state),
        }
    }
}

/// Returns every violation in a history, given how often the services ran each key.
pub fn violations(history: &[Submission], runs: &BTreeMap<String, usize>) -> Vec<String> {
    let mut by_key: BTreeMap<&str, Vec<&Submission>> = BTreeMap::new();
    for submission in history {
        by_key.entry(&submission.key).or_default().push(submission);
    }
    let mut found = Vec::new();
    for (key, submissions) in by_key {
        let ran = runs.get(key).copied().unwrap_or(0);
        found.extend(judge(key, &submissions, ran));
    }
    found
}

fn judge(key: &str, submissions: &[&Submission], ran: usize) -> Vec<String> {
    let mut found = Vec::new();
    let told = |wanted| submissions.iter().filter(|s| s.told == wanted).count();
    if ran > 1 {
        found.push(format!("{key}: ran {ran} times"));
    }
    if told(Told::Ran) > 0 && ran == 0 {
        found.push(format!("{key}: told as run, never ran"));
    }
    if ran > 0 && told(Told::Ran) + told(Told::Unknown) == 0 {
        found.push(format!(
            "{key}: ran, and every caller was told otherwise: {submissions:?}"
        ));
    }
    for duplicate in submissions.iter().filter(|s| s.told == Told::Duplicate) {
        let earlier = |s: &&&Submission| {
            s.caller != duplicate.caller && s.called < duplicate.returned
                || s.returned <= duplicate.called
        };
        if submissions.iter().filter(earlier).count() == 0 {
            found.push(format!("{key}: duplicate of nothing"));
        }
    }
    if !WGLChecker::<Key>::is_linearizable(actions(submissions)) {
        found.push(format!("{key}: not linearizable: {submissions:?}"));
    }
    found
}

fn actions(submissions: &[&Submission]) -> History<Told> {
    let mut events = Vec::new();
    for submission in submissions {
        events.push((
            submission.called,
            submission.caller,
            Action::Call(submission.told),
        ));
        events.push((
            submission.returned,
            submission.caller,
            Action::Response(submission.told),
        ));
    }
    events.sort_by_key(|event| event.0);
    History::from_actions(
        events
            .into_iter()
            .map(|(_, caller, action)| (caller, action))
            .collect(),
    )
}
