//! The headers with which a daemon hands a request to another one that reaches the upstreams, and
//! with which that one answers.
//!
//! Method, path, query and body are those of the caller. The other headers of the caller and of the
//! upstream pass unchanged.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use quick_error::quick_error;
use strum::{Display, EnumString};

use crate::protocol::header::{self, Text};
use crate::state::versions::Versions;

/// The prefix of all names of headers between daemons.
const PREFIX: &str = "primrosehoist-";

/// The number of one sending of a request. An answer must repeat it.
const SENDING: HeaderName = HeaderName::from_static("primrosehoist-sending");
const HOST: HeaderName = HeaderName::from_static("primrosehoist-host");
const WORKSPACE: HeaderName = HeaderName::from_static("primrosehoist-workspace");
const ELAPSED: HeaderName = HeaderName::from_static("primrosehoist-elapsed-ms");
const REMAINING: HeaderName = HeaderName::from_static("primrosehoist-remaining-ms");
const ATTEMPTS: HeaderName = HeaderName::from_static("primrosehoist-attempts");
const LAST_EVENT: HeaderName = HeaderName::from_static("primrosehoist-last-event");
const RESUMES: HeaderName = HeaderName::from_static("primrosehoist-resumes");
const VERSIONS: HeaderName = HeaderName::from_static("primrosehoist-versions");
const OUTCOME: HeaderName = HeaderName::from_static("primrosehoist-outcome");
const UPSTREAM: HeaderName = HeaderName::from_static("primrosehoist-upstream");
const REASON: HeaderName = HeaderName::from_static("primrosehoist-reason");

/// The longest time that a header may state.
const TIME_MAX: Duration = Duration::from_secs(3600);

quick_error! {
    /// An error from decoding or encoding the headers of a handover.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A header is missing or malformed.
        Header(name: &'static str) { display("header {} is missing or malformed", name) }
        /// No header holds the value of a header.
        Value(name: &'static str, cause: header::Error) { display("header {}: {}", name, cause) }
    }
}

/// What a daemon says of a request that it hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The number of this sending of the request.
    pub sending: u64,
    /// The host of the daemon that received the request from the caller.
    pub host: Arc<str>,
    /// The workspace of the caller's key; `None` on an open route.
    pub workspace: Option<Arc<str>>,
    /// The time since the request was received from the caller.
    pub elapsed: Duration,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// The number of upstreams on which the request may still run.
    pub attempts: u64,
    /// The id of the last event that was received, if a stream is resumed.
    pub last_event: Option<u64>,
    /// Whether the caller has received a part of the answer.
    pub resumes: bool,
    /// The versions of the platform state that the sender has applied.
    pub versions: Versions,
}

/// What became of a request that was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// An upstream answered. The answer follows.
    Answered,
    /// An upstream answered with an error. The answer follows.
    Reported,
    /// The request did not run and will not run.
    NotRun,
    /// The daemon does not take the request. Another one may.
    Busy,
    /// The request may have run.
    Uncertain,
    /// The deadline passed, and the request may have run.
    Expired,
}

/// What a daemon says of a request that was handed to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The number of the sending that is answered.
    pub sending: u64,
    /// What became of the request.
    pub outcome: Outcome,
    /// The upstream that answered.
    pub upstream: Option<Arc<str>>,
    /// Why no upstream answered.
    pub reason: String,
}

impl Request {
    /// Adds the headers to those of the caller.
    ///
    /// # Errors
    ///
    /// Returns an error if no header holds the host or the workspace. The request must not be sent then: without the
    /// workspace, its route would count as open.
    pub fn insert(&self, headers: &mut HeaderMap) -> Result<(), Error> {
        strip(headers);
        insert_text(
            headers,
            SENDING,
            "primrosehoist-sending",
            &format!("{:x}", self.sending),
        )?;
        insert_text(headers, HOST, "primrosehoist-host", &self.host)?;
        if let Some(workspace) = &self.workspace {
            insert_text(headers, WORKSPACE, "primrosehoist-workspace", workspace)?;
        }
        headers.insert(ELAPSED, milliseconds(self.elapsed));
        headers.insert(REMAINING, milliseconds(self.remaining));
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        if let Some(last) = self.last_event {
            headers.insert(LAST_EVENT, HeaderValue::from(last));
        }
        headers.insert(RESUMES, HeaderValue::from(u64::from(self.resumes)));
        insert_text(
            headers,
            VERSIONS,
            "primrosehoist-versions",
            &self.versions.to_string(),
        )
    }
}

impl TryFrom<&HeaderMap> for Request {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Self, Error> {
        let time = |name: &HeaderName, error| {
            let milliseconds = number(headers, name, error)?;
            Ok(Duration::from_millis(milliseconds).min(TIME_MAX))
        };
        let attempts = number(headers, &ATTEMPTS, "primrosehoist-attempts")?;
        let versions = text(headers, &VERSIONS).and_then(|text| text.parse().ok());
        let host = text(headers, &HOST).filter(|host| !host.is_empty());
        let host = host.ok_or(Error::Header("primrosehoist-host"))?;
        let last_event = match headers.get(&LAST_EVENT) {
            Some(_) => Some(number(headers, &LAST_EVENT, "primrosehoist-last-event")?),
            None => None,
        };
        // A workspace that cannot be read must not be taken for an open route.
        let workspace = match headers.get(&WORKSPACE) {
            Some(_) => {
                let name = text(headers, &WORKSPACE).filter(|name| !name.is_empty());
                let name = name.ok_or(Error::Header("primrosehoist-workspace"))?;
                Some(Arc::from(name))
            }
            None => None,
        };
        Ok(Self {
            sending: sending(headers).ok_or(Error::Header("primrosehoist-sending"))?,
            host: Arc::from(host),
            workspace,
            elapsed: time(&ELAPSED, "primrosehoist-elapsed-ms")?,
            remaining: time(&REMAINING, "primrosehoist-remaining-ms")?,
            attempts: (attempts > 0)
                .then_some(attempts)
                .ok_or(Error::Header("primrosehoist-attempts"))?,
            last_event,
            resumes: number(headers, &RESUMES, "primrosehoist-resumes")? != 0,
            versions: versions.ok_or(Error::Header("primrosehoist-versions"))?,
        })
    }
}

impl Response {
    /// Adds the headers to those of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no header holds the upstream or the reason.
    pub fn insert(&self, headers: &mut HeaderMap) -> Result<(), Error> {
        strip(headers);
        insert_text(
            headers,
            SENDING,
            "primrosehoist-sending",
            &format!("{:x}", self.sending),
        )?;
        insert_text(
            headers,
            OUTCOME,
            "primrosehoist-outcome",
            &self.outcome.to_string(),
        )?;
        if let Some(upstream) = &self.upstream {
            insert_text(headers, UPSTREAM, "primrosehoist-upstream", upstream)?;
        }
        if !self.reason.is_empty() {
            insert_text(headers, REASON, "primrosehoist-reason", &self.reason)?;
        }
        Ok(())
    }
}

impl TryFrom<&HeaderMap> for Response {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Self, Error> {
        let outcome = text(headers, &OUTCOME).and_then(|text| Outcome::from_str(text).ok());
        Ok(Self {
            sending: sending(headers).ok_or(Error::Header("primrosehoist-sending"))?,
            outcome: outcome.ok_or(Error::Header("primrosehoist-outcome"))?,
            upstream: text(headers, &UPSTREAM).map(Arc::from),
            reason: text(headers, &REASON).unwrap_or_default().to_owned(),
        })
    }
}

/// Returns the number of the sending, which is in requests and responses, even if other headers are
/// missing or malformed.
pub fn sending(headers: &HeaderMap) -> Option<u64> {
    hex(headers, &SENDING)
}

/// Removes all headers between daemons, which callers and upstreams must not set.
pub fn strip(headers: &mut HeaderMap) {
    let names = headers.keys();
    let internal: Vec<HeaderName> = names
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Returns the value of a header that occurs once.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    str::from_utf8(value.as_bytes()).ok()
}

fn hex(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    u64::from_str_radix(text(headers, name)?, 16).ok()
}

fn number(headers: &HeaderMap, name: &HeaderName, error: &'static str) -> Result<u64, Error> {
    text(headers, name)
        .and_then(|value| value.parse().ok())
        .ok_or(Error::Header(error))
}

fn milliseconds(time: Duration) -> HeaderValue {
    HeaderValue::from(time.min(TIME_MAX).as_millis() as u64)
}

fn insert_text(
    headers: &mut HeaderMap,
    header: HeaderName,
    name: &'static str,
    value: &str,
) -> Result<(), Error> {
    match Text::try_from(value) {
        Ok(value) => {
            headers.insert(header, value.into());
            Ok(())
        }
        Err(cause) => Err(Error::Value(name, cause)),
    }
}
