//! Parsed prompts and the responses generated from them.

use std::borrow::Cow;

use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::reply::hex;

/// A prompt that contains this text crashes the engine.
const CRASH_MARK: &str = "CRASH-MARK";
/// The number of body bytes that count as one token.
const TOKEN_BYTES: u64 = 4;
/// The number of generated tokens if the body has no `max_tokens`.
const MAX_TOKENS_DEFAULT: u64 = 16;

/// The API dialect of a request and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Dialect {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Debug, Deserialize)]
struct Message<'b> {
    #[serde(borrow)]
    content: Cow<'b, str>,
}

#[derive(Debug, Deserialize)]
struct Request<'b> {
    #[serde(borrow)]
    model: Option<Cow<'b, str>>,
    #[serde(borrow)]
    prompt: Option<Cow<'b, str>>,
    #[serde(borrow, default)]
    messages: Vec<Message<'b>>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// A prompt without its text.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    /// The dialect of the request.
    pub(crate) dialect: Dialect,
    /// The requested model; empty if the body names none.
    pub(crate) model: String,
    /// The length of the prompt, in tokens.
    pub(crate) tokens: u64,
    /// The length of the response, in tokens.
    pub(crate) max_tokens: u64,
    /// Whether the response is streamed.
    pub(crate) stream: bool,
    /// Whether the prompt crashes the engine.
    pub(crate) crashes: bool,
    /// The hash state after the text of the prompt.
    digest: Sha256,
}

impl Prompt {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns the reason if the body is not a valid request of the dialect.
    pub(crate) fn parse(dialect: Dialect, body: &[u8]) -> Result<Prompt, String> {
        let request: Request<'_> =
            serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let texts: Vec<&str> = match dialect {
            Dialect::Completion => request.prompt.iter().map(AsRef::as_ref).collect(),
            Dialect::Chat => request
                .messages
                .iter()
                .map(|message| message.content.as_ref())
                .collect(),
        };
        if texts.is_empty() {
            return Err("the prompt is missing".to_owned());
        }
        let mut digest = Sha256::new();
        for text in &texts {
            digest.update(text.as_bytes());
        }
        Ok(Prompt {
            dialect,
            model: request.model.map_or_else(String::new, Cow::into_owned),
            tokens: (body.len() as u64).div_ceil(TOKEN_BYTES),
            max_tokens: request.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT).max(1),
            stream: request.stream,
            crashes: texts.iter().any(|text| text.contains(CRASH_MARK)),
            digest,
        })
    }

    /// Returns token `index` of the response.
    pub(crate) fn token(&self, index: u64) -> String {
        let mut digest = self.digest.clone();
        digest.update(index.to_string().as_bytes());
        let mut text = hex(&digest.finalize()[..4]);
        text.push(' ');
        text
    }
}
