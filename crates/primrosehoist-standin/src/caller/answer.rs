//! What a caller sees of a request.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use strum::Display;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// The whole answer to the caller's own request came.
    Complete,
    /// The request was refused and not run.
    NotRun,
    /// The caller was told that the request may have run.
    Unknown,
    /// The caller was told that the answer is not whole.
    Incomplete,
    /// The connection ended without a word about the outcome.
    Silent,
    /// The answer was not that to the caller's own request, although it looked whole.
    Wrong,
}

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// The machine-readable reason if it was not complete, or the error of the connection.
    pub(crate) code: String,
    /// The time from the send to the first token.
    pub(crate) first_token: Option<Duration>,
    /// The time from the send to the end.
    pub(crate) total: Duration,
    /// The tokens that came.
    pub(crate) tokens: u64,
}

impl Answer {
    /// Returns an answer of which nothing is known yet.
    pub(crate) fn none() -> Answer {
        Answer {
            outcome: Outcome::Silent,
            code: String::new(),
            first_token: None,
            total: Duration::ZERO,
            tokens: 0,
        }
    }

    /// Returns an answer that could not be waited for.
    pub(crate) fn failed<E>(error: E) -> Answer
    where
        E: std::fmt::Display,
    {
        let mut answer = Answer::none();
        answer.broken(error);
        answer
    }

    /// Takes over the outcome and the reason of an error object.
    pub(crate) fn fail(&mut self, error: &Value) {
        self.outcome = match error["outcome"].as_str() {
            Some("not_run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            Some("incomplete") => Outcome::Incomplete,
            _ => Outcome::Silent,
        };
        error["code"]
            .as_str()
            .unwrap_or("no_code")
            .clone_into(&mut self.code);
    }

    /// Records that the connection broke, unless the caller was told an outcome before.
    pub(crate) fn broken<E>(&mut self, error: E)
    where
        E: std::fmt::Display,
    {
        if self.code.is_empty() {
            self.outcome = Outcome::Silent;
            self.code = error.to_string();
        }
    }

    /// Returns the word under which the answer is reported: `complete` or the reason.
    pub(crate) fn word(&self) -> String {
        match self.outcome {
            Outcome::Complete => "complete".to_owned(),
            outcome => format!("{outcome}: {}", self.code),
        }
    }
}
