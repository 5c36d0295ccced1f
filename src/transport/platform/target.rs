//! The path and query of a call.

use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use quick_error::quick_error;

/// The characters that are encoded: all but the unreserved ones of RFC 3986. A space becomes `%20` and a plus
/// sign `%2B`, so that it does not matter whether the other side reads `+` as a space.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The characters that are encoded in a list of numbers, which has commas.
const ENCODED_IN_LIST: &AsciiSet = &ENCODED.remove(b',');

quick_error! {
    /// An error from adding a name to a target.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The name is empty or a dot segment, which stands for another path.
        Segment(name: String) { display("the name {:?} cannot be part of a path", name) }
    }
}

/// The path and query of a call. Everything but the fixed prefix is percent-encoded.
///
/// ```
/// use primrosehoist::transport::platform::{Target, target};
///
/// let target = Target::new("/objects").segment("servers")?.option("After", "a b&c=");
/// assert_eq!(target.as_str(), "/objects/servers?After=a%20b%26c%3D");
/// # Ok::<(), target::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Creates a target from a fixed path, which is not encoded.
    pub fn new(path: &'static str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Appends a segment to the path.
    ///
    /// # Errors
    ///
    /// Returns an error if `name` is empty or a dot segment.
    pub fn segment(mut self, name: &str) -> Result<Self, Error> {
        if matches!(name, "" | "." | "..") {
            return Err(Error::Segment(name.to_owned()));
        }
        self.text.push('/');
        self.text.extend(utf8_percent_encode(name, ENCODED));
        Ok(self)
    }

    /// Appends an option to the query.
    #[must_use]
    pub fn option<V>(mut self, name: &'static str, value: V) -> Self
    where
        V: fmt::Display,
    {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.text.push_str(name);
        self.text.push('=');
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, ENCODED));
        self.has_query = true;
        self
    }

    /// Sets the query to a list without names.
    #[must_use]
    pub fn list<V>(mut self, value: V) -> Self
    where
        V: fmt::Display,
    {
        self.text.push('?');
        let value = value.to_string();
        let encoded = utf8_percent_encode(&value, ENCODED_IN_LIST);
        self.text.extend(encoded);
        self.has_query = true;
        self
    }

    /// Returns the target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
