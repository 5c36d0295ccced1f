//! The OpenAI-compatible dialect, as far as the daemon reads it.
//!
//! Prompts are never parsed into a tree: the scan of a body skips everything but a few fields.

use std::borrow::Cow;

use quick_error::quick_error;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::protocol::outcome::{Failure, Outcome, Reason};
use crate::state::name;

/// Bytes of a body that count as one token of the prompt.
pub const TOKEN_BYTES: u64 = 4;

/// The length of an answer, in tokens, when the request states none.
pub const ANSWER_TOKENS_DEFAULT: u64 = 256;

quick_error! {
    /// Says why a body is not a request for a completion.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The body is not JSON of the expected form.
        Json(detail: String) { display("the body is not a valid request: {}", detail) }
        /// The model is not a name.
        Model(source: name::Error) { display("the model is not valid: {}", source) }
        /// The request holds neither a prompt nor messages.
        Prompt { display("the body holds neither prompt nor messages") }
    }
}

/// The fields of a request for a completion that routing needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: name::Model,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The longest answer in tokens.
    pub max_tokens: u64,
}

#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    prompt: Option<IgnoredAny>,
    #[serde(default)]
    messages: Option<IgnoredAny>,
}

impl TryFrom<&[u8]> for Prompt {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        let fields: Fields<'_> =
            serde_json::from_slice(body).map_err(|source| Error::Json(describe(&source)))?;
        if fields.prompt.is_none() && fields.messages.is_none() {
            return Err(Error::Prompt);
        }
        Ok(Self {
            model: name::Model::try_from(fields.model.as_ref()).map_err(Error::Model)?,
            stream: fields.stream.unwrap_or(false),
            max_tokens: fields
                .max_tokens
                .or(fields.max_completion_tokens)
                .unwrap_or(ANSWER_TOKENS_DEFAULT),
        })
    }
}

/// Says where a body is malformed, without any of its text.
fn describe(error: &serde_json::Error) -> String {
    let kind = match error.classify() {
        serde_json::error::Category::Io => "unreadable",
        serde_json::error::Category::Syntax => "not JSON",
        serde_json::error::Category::Data => "a field is missing or of the wrong type",
        serde_json::error::Category::Eof => "cut off",
    };
    format!("{kind} at line {} column {}", error.line(), error.column())
}

/// Returns the prompt length in tokens of a body of `bytes` bytes.
pub fn prompt_tokens(bytes: u64) -> u64 {
    bytes.div_ceil(TOKEN_BYTES)
}

/// The fields of one chunk of a streamed answer that are checked.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Chunk {
    /// The attempt that the chunk belongs to.
    pub id: String,
    /// The choices.
    #[serde(default)]
    pub choices: Vec<Choice>,
}

/// One choice of a [`Chunk`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Choice {
    /// Set on the last chunk with content.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

impl Chunk {
    /// Returns whether the chunk is the last one with content.
    pub fn is_last(&self) -> bool {
        self.choices
            .iter()
            .any(|choice| choice.finish_reason.is_some())
    }
}

impl TryFrom<&str> for Chunk {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        serde_json::from_str(raw).map_err(|source| Error::Json(describe(&source)))
    }
}

/// The body of a refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What went wrong.
    pub error: Detail,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// A sentence for the caller.
    pub message: String,
    /// The class of the error, as client libraries know it.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The reason.
    pub code: Reason,
    /// How far the request may have got.
    pub outcome: Outcome,
    /// The id under which the request is logged.
    pub request_id: String,
}

impl Refusal {
    /// Creates the body that reports `failure` of the request `request_id`.
    pub fn new(failure: &Failure, request_id: &str) -> Self {
        let kind = match status(failure.reason) {
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        Self {
            error: Detail {
                message: failure.message.clone(),
                kind: kind.to_owned(),
                code: failure.reason,
                outcome: failure.outcome,
                request_id: request_id.to_owned(),
            },
        }
    }

    /// Returns the body as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the body as one event of a stream.
    pub fn to_event(&self) -> Vec<u8> {
        let mut event = b"data: ".to_vec();
        event.extend(self.to_json());
        event.extend_from_slice(b"\n\n");
        event
    }
}

/// Returns the HTTP status that reports `reason`.
pub fn status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest => 400,
        Reason::Unauthorized => 401,
        Reason::NotFound => 404,
        Reason::TooLarge | Reason::TooLong => 413,
        Reason::Duplicate => 409,
        Reason::Quarantined | Reason::BodyMismatch => 422,
        Reason::Overloaded => 429,
        Reason::UpstreamFailed => 502,
        Reason::Unavailable | Reason::Draining | Reason::ClaimUnavailable => 503,
        Reason::Timeout => 504,
        Reason::Cancelled => 499,
    }
}

/// The code in a refusal by an upstream that ran nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The fencing number is old.
    Stale,
    /// The upstream is full.
    Full,
}

#[derive(Deserialize)]
struct Code<'a> {
    #[serde(borrow)]
    code: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Rejected<'a> {
    #[serde(borrow)]
    error: Code<'a>,
}

impl Rejection {
    /// Reads the answer of an upstream; yields nothing unless the upstream says that the request
    /// was not run.
    pub fn read(status: u16, body: &[u8]) -> Option<Self> {
        let rejected: Rejected<'_> = serde_json::from_slice(body).ok()?;
        match (status, rejected.error.code?.as_ref()) {
            (409, "stale_epoch") => Some(Self::Stale),
            (429 | 503, "not_run") => Some(Self::Full),
            _ => None,
        }
    }
}
