//! Paths, queries and bodies of calls to the object store, decoded as by any HTTP server.

use std::fmt;
use std::time::Duration;

use quick_error::quick_error;
use serde::de::Visitor;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::encoding;

/// The longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(30);

quick_error! {
    /// An error from decoding a call.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The path is none of the object API.
        NoPath { display("there is no such path") }
        /// The path or the query is not encoded properly.
        Encoding(cause: encoding::Error) {
            display("{}", cause)
            from()
        }
        /// An option has no valid value.
        Option(name: &'static str) { display("the option {} has no valid value", name) }
        /// The body is no object.
        Body { display("the body is no object") }
    }
}

/// The name of an object as in its JSON text: UTF-8, in which a lone surrogate is encoded like other code
/// points. The order of the bytes is that of the code points.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Name(Vec<u8>);

impl Name {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(NameVisitor)
    }
}

struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a name")
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Name, E> {
        Ok(Name(v.to_vec()))
    }
}

/// What a path stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Target {
    /// The objects of a kind.
    Kind(String),
    /// One of them.
    Object(String, Name),
}

impl Target {
    /// Decodes what follows the prefix of the object API in a path.
    ///
    /// # Errors
    ///
    /// Returns an error if it is none of the API, or is not encoded properly.
    pub(crate) fn new(rest: &str) -> Result<Self, Error> {
        let segments = rest.split('/').map(encoding::decode);
        let segments = segments.collect::<Result<Vec<_>, _>>()?;
        match segments.as_slice() {
            [kind] if !kind.is_empty() => Ok(Self::Kind(kind.to_string())),
            [kind, name] if !kind.is_empty() && !name.is_empty() => {
                Ok(Self::Object(kind.to_string(), Name::from(name.as_ref())))
            }
            _ => Err(Error::NoPath),
        }
    }
}

/// The options of a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Options {
    /// The name after which a list goes on.
    pub(crate) after: Name,
    /// The revision from which on changes are watched.
    pub(crate) watch: Option<u64>,
    /// The longest wait for one.
    pub(crate) wait: Duration,
    /// Whether the response may be seconds old.
    pub(crate) may_be_stale: bool,
    /// The revision that an object must have.
    pub(crate) revision: Option<u64>,
}

impl Options {
    /// Decodes a query. Unknown options are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not encoded properly or an option has no valid value.
    pub(crate) fn new(query: &str) -> Result<Self, Error> {
        let mut options = Self::default();
        for (name, value) in encoding::options(query)? {
            let number = |name| value.parse::<u64>().map_err(|_source| Error::Option(name));
            match name.as_ref() {
                "After" => options.after = Name::from(value.as_ref()),
                "Watch" => options.watch = Some(number("Watch")?),
                "WaitMs" => {
                    options.wait = Duration::from_millis(number("WaitMs")?);
                    if options.wait > WAIT_MAX {
                        return Err(Error::Option("WaitMs"));
                    }
                }
                "AllowStale" => options.may_be_stale = value == "1",
                "Rev" => options.revision = Some(number("Rev")?),
                _ => {}
            }
        }
        Ok(options)
    }
}

/// The object in the body of a call.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Body<'a> {
    /// Its metadata.
    #[serde(borrow, default, rename = "Metadata")]
    pub(crate) metadata: Metadata<'a>,
    /// Its specification.
    #[serde(borrow, rename = "Spec")]
    pub(crate) spec: Option<&'a RawValue>,
}

/// The metadata in the body of a call.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Metadata<'a> {
    /// The name, as it is written.
    #[serde(borrow, rename = "Name")]
    pub(crate) name: Option<&'a RawValue>,
    /// The revision that the object must have.
    #[serde(rename = "Rev")]
    pub(crate) revision: Option<u64>,
    /// What has to be removed before a deleted object is gone.
    #[serde(rename = "Finalizers")]
    pub(crate) finalizers: Option<Vec<String>>,
}

impl<'a> TryFrom<&'a [u8]> for Body<'a> {
    type Error = Error;

    fn try_from(content: &'a [u8]) -> Result<Self, Error> {
        serde_json::from_slice(content).map_err(|_source| Error::Body)
    }
}
