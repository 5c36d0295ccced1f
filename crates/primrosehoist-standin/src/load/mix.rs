//! Mixes of requests, read from files.

use std::fs;
use std::sync::Arc;

use serde::Deserialize;

use crate::command::Error;

/// A mix of requests and their rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Mix {
    /// The name of the mix.
    pub(crate) name: String,
    /// Requests per second at scale 1.
    pub(crate) rate_per_s: f64,
    /// The time limit of each request, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// The workspaces that send requests.
    #[serde(rename = "workspace")]
    pub(crate) workspaces: Vec<Workspace>,
    /// The kinds of prompts.
    #[serde(rename = "prompt", default)]
    pub(crate) prompts: Vec<Prompt>,
    /// The kinds of calls.
    #[serde(rename = "call", default)]
    pub(crate) calls: Vec<Call>,
}

/// A workspace that sends requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Workspace {
    /// The name.
    pub(crate) name: Arc<str>,
    /// The API key.
    pub(crate) key: String,
}

/// A kind of prompts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Prompt {
    /// The workspace that sends it.
    pub(crate) workspace: Arc<str>,
    /// The requested model.
    pub(crate) model: String,
    /// Its weight among all kinds of requests.
    pub(crate) share: f64,
    /// The length of prompts in tokens, distributed log-uniformly.
    pub(crate) tokens: Range,
    /// The length of responses in tokens, distributed log-uniformly.
    pub(crate) answer: Range,
}

/// A kind of calls to a plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Call {
    /// The workspace that sends it.
    pub(crate) workspace: Arc<str>,
    /// The name of the service.
    pub(crate) service: String,
    /// The path within the service.
    pub(crate) path: String,
    /// Its weight among all kinds of requests.
    pub(crate) share: f64,
    /// Whether each call has an idempotency key.
    #[serde(default)]
    pub(crate) keyed: bool,
}

/// An inclusive range of token counts.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(from = "[u64; 2]")]
pub(crate) struct Range {
    /// The minimum.
    pub(crate) min: u64,
    /// The maximum.
    pub(crate) max: u64,
}

impl From<[u64; 2]> for Range {
    fn from([min, max]: [u64; 2]) -> Range {
        Range { min, max }
    }
}

impl Mix {
    /// Returns the index of the workspace with that name.
    ///
    /// # Panics
    ///
    /// Panics if there is none, which cannot happen for names in a mix that was read from a file.
    pub(crate) fn workspace(&self, name: &str) -> usize {
        self.position(name)
            .expect("the workspaces of a mix are declared")
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.workspaces.iter().position(|w| &*w.name == name)
    }

    fn check(&self) -> Result<(), String> {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        if !positive(self.rate_per_s) {
            return Err("rate_per_s must be above 0".to_owned());
        }
        let prompts = self.prompts.iter().map(|p| (&p.workspace, p.share));
        let calls = self.calls.iter().map(|c| (&c.workspace, c.share));
        let mut kinds = 0;
        for (workspace, share) in prompts.chain(calls) {
            kinds += 1;
            if !positive(share) {
                return Err("a share must be above 0".to_owned());
            }
            if self.position(workspace).is_none() {
                return Err(format!("the workspace {workspace:?} is not declared"));
            }
        }
        if kinds == 0 {
            return Err("the mix is empty".to_owned());
        }
        let ranges = self.prompts.iter().flat_map(|p| [p.tokens, p.answer]);
        match ranges.into_iter().find(|r| r.min == 0 || r.min > r.max) {
            Some(range) => Err(format!("[{}, {}] is no range", range.min, range.max)),
            None => Ok(()),
        }
    }
}

/// Reads a mix.
///
/// # Errors
///
/// Fails if the file cannot be read or the mix is invalid.
pub(crate) fn read(path: &str) -> Result<Mix, Error> {
    let failed = |reason: String| Error::File(path.to_owned(), reason);
    let text = fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    let mix: Mix = toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
    mix.check().map_err(failed)?;
    Ok(mix)
}
