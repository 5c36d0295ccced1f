//! The outcome of a request as observed by its caller.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use strum::Display;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// The complete and correct response was received.
    Complete,
    /// The request was refused and did not run.
    NotRun,
    /// The error response stated that the request may have run.
    Unknown,
    /// The error response stated that the response is incomplete.
    Incomplete,
    /// The request ended without a reported outcome.
    Silent,
    /// The response ended normally but is not the expected one.
    Wrong,
}

/// The observed result of one request.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// How the request ended.
    pub(crate) outcome: Outcome,
    /// The error code or the connection error; empty if the request completed.
    pub(crate) code: String,
    /// The time from sending the request to the first token.
    pub(crate) first_token: Option<Duration>,
    /// The time from sending the request to the end of the response.
    pub(crate) total: Duration,
    /// The number of tokens received.
    pub(crate) tokens: u64,
}

impl Answer {
    /// Creates the result of a request without a response.
    pub(crate) fn empty() -> Answer {
        Answer {
            outcome: Outcome::Silent,
            code: String::new(),
            first_token: None,
            total: Duration::ZERO,
            tokens: 0,
        }
    }

    /// Creates the result of a request that failed with `error`.
    pub(crate) fn failed<E>(error: E) -> Answer
    where
        E: std::fmt::Display,
    {
        let mut answer = Answer::empty();
        answer.record_failure(error);
        answer
    }

    /// Records the outcome and the code of an error object.
    pub(crate) fn record_error(&mut self, error: &Value) {
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

    /// Records a connection error or timeout, unless an error code was recorded before.
    pub(crate) fn record_failure<E>(&mut self, error: E)
    where
        E: std::fmt::Display,
    {
        if self.code.is_empty() {
            self.outcome = Outcome::Silent;
            self.code = error.to_string();
        }
    }

    /// Returns the label for reports: `complete`, or the outcome and the code.
    pub(crate) fn label(&self) -> String {
        match self.outcome {
            Outcome::Complete => "complete".to_owned(),
            outcome => format!("{outcome}: {}", self.code),
        }
    }
}
