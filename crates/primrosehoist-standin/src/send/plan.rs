//! Plans of requests, read from files.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::caller::prompt::Completion;
use crate::caller::service::Call;
use crate::caller::text::Text;
use crate::command::Error;

/// The requests to send, in order.
#[derive(Debug)]
pub(crate) struct Plan {
    /// The requests; at least one.
    pub(crate) steps: Vec<Step>,
}

/// One request and its expected result.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    /// The request.
    pub(crate) action: Action,
    /// `complete`, or the expected error code.
    pub(crate) expect: String,
}

/// The kind of a request.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// A prompt to a model.
    Prompt(Prompt),
    /// A call to a plain service.
    Call(Planned),
}

/// The source of the text of a prompt.
#[derive(Debug, Clone)]
pub(crate) enum Source {
    /// The contents of a file.
    File(Arc<str>),
    /// A generated text of this many tokens.
    Tokens(u64),
}

/// A prompt as planned.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    key: String,
    /// The model.
    pub(crate) model: String,
    source: Source,
    max_tokens: u64,
}

impl Prompt {
    /// Returns the request to `address`; generated texts with different seeds differ.
    pub(crate) fn completion(
        &self,
        address: SocketAddr,
        timeout: Duration,
        seed: u64,
    ) -> Completion {
        let mut completion = Completion {
            address,
            key: self.key.clone(),
            model: self.model.clone(),
            text: Text::Literal(Arc::from("")),
            max_tokens: self.max_tokens,
            timeout,
        };
        completion.text = match &self.source {
            Source::File(text) => Text::Literal(Arc::clone(text)),
            Source::Tokens(tokens) => completion.generated(seed, *tokens),
        };
        completion
    }
}

/// A call as planned.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Planned {
    key: String,
    /// The name of the service.
    pub(crate) service: String,
    path: String,
    #[serde(default)]
    body: String,
    /// The idempotency key, for a call that must not run twice.
    pub(crate) idempotency_key: Option<String>,
    #[serde(default = "once")]
    times: usize,
    #[serde(default = "complete")]
    expect: String,
}

impl Planned {
    /// Returns the call to `address`.
    pub(crate) fn call(&self, address: SocketAddr, timeout: Duration) -> Call {
        Call {
            address,
            key: self.key.clone(),
            service: self.service.clone(),
            path: self.path.clone(),
            idempotency_key: self.idempotency_key.clone(),
            body: self.body.clone(),
            timeout,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    key: String,
    model: String,
    file: Option<PathBuf>,
    tokens: Option<u64>,
    max_tokens: u64,
    #[serde(default = "once")]
    times: usize,
    #[serde(default = "complete")]
    expect: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    prompt: Vec<Entry>,
    #[serde(default)]
    call: Vec<Planned>,
}

fn once() -> usize {
    1
}

fn complete() -> String {
    "complete".to_owned()
}

/// Reads a plan and the files that it refers to.
///
/// # Errors
///
/// Fails if a file cannot be read or the plan is invalid.
pub(crate) fn read(path: &str) -> Result<Plan, Error> {
    let failed = |reason: String| Error::File(path.to_owned(), reason);
    let text = fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    let file: File = toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
    let directory = Path::new(path).parent().unwrap_or(Path::new("."));
    let mut steps = Vec::new();
    for entry in file.prompt {
        let times = entry.times;
        let step = prompt(entry, directory).map_err(failed)?;
        steps.extend(std::iter::repeat_n(step, times));
    }
    for call in file.call {
        let step = Step {
            expect: call.expect.clone(),
            action: Action::Call(call.clone()),
        };
        steps.extend(std::iter::repeat_n(step, call.times));
    }
    if steps.is_empty() {
        return Err(failed("the plan is empty".to_owned()));
    }
    Ok(Plan { steps })
}

fn prompt(entry: Entry, directory: &Path) -> Result<Step, String> {
    let source = match (entry.file, entry.tokens) {
        (Some(file), None) => Source::File(load(&directory.join(file))?),
        (None, Some(tokens)) => Source::Tokens(tokens),
        _ => return Err("a prompt has either file or tokens".to_owned()),
    };
    Ok(Step {
        action: Action::Prompt(Prompt {
            key: entry.key,
            model: entry.model,
            source,
            max_tokens: entry.max_tokens,
        }),
        expect: entry.expect,
    })
}

fn load(path: &Path) -> Result<Arc<str>, String> {
    let text = fs::read_to_string(path);
    text.map(Arc::from)
        .map_err(|error| format!("{}: {error}", path.display()))
}
