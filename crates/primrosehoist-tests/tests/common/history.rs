//! Histories of non-idempotent calls, checked for linearizability against a sequential model.

use std::collections::BTreeMap;
use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// The result that a caller received for one submission of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call ran and its response arrived.
    Ran,
    /// The key was already in use.
    Duplicate,
    /// The call was not run.
    NotRun,
    /// Any other result: the call may have run.
    Unknown,
}

/// One submission of a key by a caller.
#[derive(Debug, Clone)]
pub struct Submission {
    pub key: String,
    pub caller: usize,
    pub called: Instant,
    pub returned: Instant,
    pub outcome: Outcome,
}

/// The specification of a key whose call runs at most once. The state is whether it has run.
///
/// A refusal leaves the state unchanged, as does a submission with an unknown result.
#[derive(Debug, Clone)]
pub struct Key;

impl Specification for Key {
    type State = bool;
    type Operation = Outcome;

    fn init() -> bool {
        false
    }

    fn apply(op: &Outcome, state: &bool) -> (bool, bool) {
        match op {
            Outcome::Ran => (!state, true),
            Outcome::Duplicate | Outcome::NotRun | Outcome::Unknown => (true, *state),
        }
    }
}

/// Returns all violations in a history, given how often the services ran each key.
pub fn violations(history: &[Submission], runs: &BTreeMap<String, usize>) -> Vec<String> {
    let mut by_key: BTreeMap<&str, Vec<&Submission>> = BTreeMap::new();
    for submission in history {
        by_key.entry(&submission.key).or_default().push(submission);
    }
    let mut violations = Vec::new();
    for (key, submissions) in by_key {
        let ran = runs.get(key).copied().unwrap_or(0);
        violations.extend(check_key(key, &submissions, ran));
    }
    violations
}

fn check_key(key: &str, submissions: &[&Submission], ran: usize) -> Vec<String> {
    let mut violations = Vec::new();
    let count = |wanted| submissions.iter().filter(|s| s.outcome == wanted).count();
    if ran > 1 {
        violations.push(format!("{key}: ran {ran} times"));
    }
    if count(Outcome::Ran) > 0 && ran == 0 {
        violations.push(format!("{key}: reported as run, never ran"));
    }
    if ran > 0 && count(Outcome::Ran) + count(Outcome::Unknown) == 0 {
        violations.push(format!(
            "{key}: ran, but no caller received `Ran` or `Unknown`: {submissions:?}"
        ));
    }
    for duplicate in submissions
        .iter()
        .filter(|s| s.outcome == Outcome::Duplicate)
    {
        let earlier = |s: &&&Submission| {
            s.caller != duplicate.caller && s.called < duplicate.returned
                || s.returned <= duplicate.called
        };
        if submissions.iter().filter(earlier).count() == 0 {
            violations.push(format!("{key}: duplicate without another submission"));
        }
    }
    if !WGLChecker::<Key>::is_linearizable(actions(submissions)) {
        violations.push(format!("{key}: not linearizable: {submissions:?}"));
    }
    violations
}

fn actions(submissions: &[&Submission]) -> History<Outcome> {
    let mut events = Vec::new();
    for submission in submissions {
        events.push((
            submission.called,
            submission.caller,
            Action::Call(submission.outcome),
        ));
        events.push((
            submission.returned,
            submission.caller,
            Action::Response(submission.outcome),
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
