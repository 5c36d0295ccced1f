//! The part of the OpenAI-compatible API that the daemon interprets.
//!
//! Bodies are never parsed into a tree: deserialization skips everything but a few fields.

use std::borrow::Cow;

use quick_error::quick_error;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::protocol::outcome::{Failure, Outcome, Reason};
use crate::state::name;

/// The number of body bytes that are estimated as one prompt token.
pub const TOKEN_BYTES: u64 = 4;

/// The maximum length of an answer, in tokens, if the request specifies none.
pub const ANSWER_TOKENS_DEFAULT: u64 = 256;

quick_error! {
    /// An error from parsing a completion request or a chunk.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The body is not JSON of the expected form.
        Malformed(detail: String) { display("invalid request body: {}", detail) }
        /// The model is not a valid name.
        InvalidModel(source: name::Error) { display("invalid model: {}", source) }
        /// The body has neither a prompt nor messages.
        MissingPrompt { display("the body contains neither `prompt` nor `messages`") }
    }
}

/// The fields of a completion request that routing needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The model.
    pub model: name::Model,
    /// Whether the answer is streamed as events.
    pub stream: bool,
    /// The maximum length of the answer, in tokens.
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

impl TryFrom<&[u8]> for Request {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        let fields: Fields<'_> =
            serde_json::from_slice(body).map_err(|source| Error::Malformed(describe(&source)))?;
        if fields.prompt.is_none() && fields.messages.is_none() {
            return Err(Error::MissingPrompt);
        }
        Ok(Self {
            model: name::Model::try_from(fields.model.as_ref()).map_err(Error::InvalidModel)?,
            stream: fields.stream.unwrap_or(false),
            max_tokens: fields
                .max_tokens
                .or(fields.max_completion_tokens)
                .unwrap_or(ANSWER_TOKENS_DEFAULT),
        })
    }
}

/// Describes where a body is malformed without quoting it, since it may contain prompt text.
fn describe(error: &serde_json::Error) -> String {
    let kind = match error.classify() {
        serde_json::error::Category::Io => "unreadable",
        serde_json::error::Category::Syntax => "not JSON",
        serde_json::error::Category::Data => "a field is missing or of the wrong type",
        serde_json::error::Category::Eof => "cut off",
    };
    format!("{kind} at line {} column {}", error.line(), error.column())
}

/// Estimates the prompt length, in tokens, of a body of `bytes` bytes.
pub fn prompt_tokens(bytes: u64) -> u64 {
    bytes.div_ceil(TOKEN_BYTES)
}

/// The fields of a chunk of a streamed answer that are checked.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Chunk {
    /// The id of the attempt that the chunk belongs to.
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
        serde_json::from_str(raw).map_err(|source| Error::Malformed(describe(&source)))
    }
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The details of the error.
    pub error: Detail,
}

/// The details of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// A description for the caller.
    pub message: String,
    /// The class of the error, as defined by the OpenAI API.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The reason for the error.
    pub code: Reason,
    /// How far the request may have progressed.
    pub outcome: Outcome,
    /// The id under which the request is logged.
    pub request_id: String,
}

impl ErrorBody {
    /// Creates the body that reports `failure` of the request with id `request_id`.
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

    /// Returns the body as a server-sent event.
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

/// An upstream's rejection of a request that it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The fencing token is stale.
    Stale,
    /// The upstream has no capacity.
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
    /// Parses the error response of an upstream. Returns `None` unless the response states that
    /// the request was not run.
    pub fn read(status: u16, body: &[u8]) -> Option<Self> {
        let rejected: Rejected<'_> = serde_json::from_slice(body).ok()?;
        match (status, rejected.error.code?.as_ref()) {
            (409, "stale_epoch") => Some(Self::Stale),
            (429 | 503, "not_run") => Some(Self::Full),
            _ => None,
        }
    }
}
