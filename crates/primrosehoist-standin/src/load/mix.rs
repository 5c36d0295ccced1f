//! Mixes of requests, read from files.

use std::fs;
use std::sync::Arc;

use serde::Deserialize;

use crate::command::Error;

/// A mix of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Mix {
    /// The name of the mix.
    pub(crate) name: String,
    /// Requests a second at scale 1.
    pub(crate) rate_per_s: f64,
    /// The time limit of each request, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Who sends.
    #[serde(rename = "workspace")]
    pub(crate) workspaces: Vec<Workspace>,
    /// Kinds of prompts.
    #[serde(rename = "prompt", default)]
    pub(crate) prompts: Vec<Prompt>,
    /// Kinds of calls.
    #[serde(rename = "call", default)]
    pub(crate) calls: Vec<Call>,
}

/// A workspace that sends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Workspace {
    /// Its name.
    pub(crate) name: Arc<str>,
    /// Its key.
    pub(crate) key: String,
}

/// A kind of prompts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Prompt {
    /// The workspace that sends it.
    pub(crate) workspace: Arc<str>,
    /// The model that is asked.
    pub(crate) model: String,
    /// Its weight among all kinds of requests.
    pub(crate) share: f64,
    /// The length of prompts, distributed evenly on a logarithmic scale.
    pub(crate) tokens: Range,
    /// The length of answers, distributed likewise.
    pub(crate) answer: Range,
}

/// A kind of calls to a plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Call {
    /// The workspace that sends it.
    pub(crate) workspace: Arc<str>,
    /// The service.
    pub(crate) service: String,
    /// The path within the service.
    pub(crate) path: String,
    /// Its weight among all kinds of requests.
    pub(crate) share: f64,
    /// Whether each call has an idempotency key.
    #[serde(default)]
    pub(crate) keyed: bool,
}

/// The least and the most tokens.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(from = "[u64; 2]")]
pub(crate) struct Range {
    /// The least.
    pub(crate) least: u64,
    /// The most.
    pub(crate) most: u64,
}

impl From<[u64; 2]> for Range {
    fn from([least, most]: [u64; 2]) -> Range {
        Range { least, most }
    }
}

impl Mix {
    /// Returns the index of the workspace of that name.
    ///
    /// # Panics
    ///
    /// Panics if there is none; a mix that was read has it.
    pub(crate) fn workspace(&self, name: &str) -> usize {
        self.find(name).expect("the mix was checked")
    }

    fn find(&self, name: &str) -> Option<usize> {
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
            if self.find(workspace).is_none() {
                return Err(format!("the workspace {workspace:?} is not declared"));
            }
        }
        if kinds == 0 {
            return Err("the mix is empty".to_owned());
        }
        let ranges = self.prompts.iter().flat_map(|p| [p.tokens, p.answer]);
        match ranges
            .into_iter()
            .find(|r| r.least == 0 || r.least > r.most)
        {
            Some(range) => Err(format!("[{}, {}] is no range", range.least, range.most)),
            None => Ok(()),
        }
    }
}

/// Reads a mix.
///
/// # Errors
///
/// Fails if the file cannot be read or is not as it should be.
pub(crate) fn read(path: &str) -> Result<Mix, Error> {
    let failed = |reason: String| Error::File(path.to_owned(), reason);
    let text = fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    let mix: Mix = toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
    mix.check().map_err(failed)?;
    Ok(mix)
}
