//! The verdict on all responses and the counters of the stand-ins.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use primrosehoist::state::map::{Map, Set};
use serde_json::Value;

use crate::caller::answer::Outcome;
use crate::caller::connection;
use crate::send::Sent;
use crate::send::plan::Action;

/// The results of a plan.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    complete: u64,
    refused: u64,
    lost: u64,
    doubled: u64,
    unexpected: u64,
}

impl Verdict {
    /// Counts the outcomes that the caller observed.
    pub(crate) fn of_answers(sent: &[Sent<'_>]) -> Verdict {
        let mut verdict = Verdict::default();
        for done in sent {
            match done.answer.outcome {
                Outcome::Complete => verdict.complete += 1,
                Outcome::NotRun => verdict.refused += 1,
                // The duplicate itself did not run, although the call that it repeats did.
                Outcome::Unknown if done.is_expected() => verdict.refused += 1,
                _ => verdict.lost += 1,
            }
            verdict.unexpected += u64::from(!done.is_expected());
        }
        verdict.count_repeats(sent);
        verdict
    }

    /// Counts the calls that completed more than once for one idempotency key.
    fn count_repeats(&mut self, sent: &[Sent<'_>]) {
        let mut keys: Set<&str> = Set::default();
        for done in sent {
            let Action::Call(call) = &done.step.action else {
                continue;
            };
            let is_complete = done.answer.outcome == Outcome::Complete;
            let key = call.idempotency_key.as_deref().filter(|_| is_complete);
            self.doubled += u64::from(key.is_some_and(|key| !keys.insert(key)));
        }
    }

    /// Compares the completed prompts with the completions that the engines counted.
    ///
    /// # Errors
    ///
    /// Fails if an engine cannot be reached.
    pub(crate) async fn count_engines(
        &mut self,
        engines: &[SocketAddr],
        sent: &[Sent<'_>],
    ) -> io::Result<()> {
        if engines.is_empty() {
            return Ok(());
        }
        let mut completed = 0;
        for engine in engines {
            let counts = connection::counts(*engine).await?;
            completed += counts["completed"].as_u64().unwrap_or(0);
        }
        self.compare(completed, sent, is_prompt);
        Ok(())
    }

    /// Compares the completed calls with the runs that the services recorded.
    ///
    /// # Errors
    ///
    /// Fails if a service cannot be reached.
    pub(crate) async fn count_services(
        &mut self,
        services: &[SocketAddr],
        sent: &[Sent<'_>],
    ) -> io::Result<()> {
        if services.is_empty() {
            return Ok(());
        }
        let mut unkeyed = 0;
        let mut keyed: Map<String, u64> = Map::default();
        for service in services {
            let counts = connection::counts(*service).await?;
            for call in counts["calls"].as_array().into_iter().flatten() {
                match &call["idempotency_key"] {
                    Value::String(key) => *keyed.entry(key.clone()).or_default() += 1,
                    _ => unkeyed += 1,
                }
            }
        }
        let runs = unkeyed + keyed.values().sum::<u64>();
        let repeats = runs - unkeyed - keyed.len() as u64;
        self.doubled = self.doubled.max(repeats);
        self.compare(runs, sent, |action| !is_prompt(action));
        Ok(())
    }

    /// Counts completed requests without a run as lost, and runs in excess of the requests that may
    /// have run as doubled.
    fn compare<Included>(&mut self, runs: u64, sent: &[Sent<'_>], included: Included)
    where
        Included: Fn(&Action) -> bool,
    {
        let count = |outcomes: &[Outcome]| {
            let relevant = sent.iter().filter(|done| included(&done.step.action));
            let matching = relevant.filter(|done| outcomes.contains(&done.answer.outcome));
            matching.count() as u64
        };
        let complete = count(&[Outcome::Complete]);
        let refused = count(&[Outcome::NotRun]);
        let total = sent
            .iter()
            .filter(|done| included(&done.step.action))
            .count() as u64;
        self.lost += complete.saturating_sub(runs);
        self.doubled += runs.saturating_sub(total - refused);
    }

    /// Returns whether nothing was lost or doubled and all results match the plan.
    pub(crate) fn matches_plan(&self) -> bool {
        self.unexpected == 0 && self.lost == 0 && self.doubled == 0
    }
}

fn is_prompt(action: &Action) -> bool {
    matches!(action, Action::Prompt(_))
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "demo: complete={} refused={} lost={} doubled={}",
            self.complete, self.refused, self.lost, self.doubled
        )
    }
}
