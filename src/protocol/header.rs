//! Text that becomes the value of a header.
//!
//! Names that others wrote may hold what no header does, and a receiver trims the blanks around a value. Such a
//! name must not be sent as another one, nor left out.
//!
//! ```
//! use primrosehoist::protocol::header::{Error, Text};
//!
//! let name = Text::try_from("rope \u{e9}")?;
//! assert_eq!(name.as_value().as_bytes(), "rope \u{e9}".as_bytes());
//! assert_eq!(Text::try_from(" rope"), Err(Error::Blank));
//! assert_eq!(Text::try_from("rope\r\n"), Err(Error::Control('\r')));
//! # Ok::<(), Error>(())
//! ```

use http::HeaderValue;
use quick_error::quick_error;

/// The longest text, in bytes. Receivers bound the size of all headers together.
pub const LENGTH_BYTES_MAX: usize = 1024;

/// What receivers trim on both sides of a value.
const BLANKS: [char; 2] = [' ', '\t'];

quick_error! {
    /// An error from checking whether a header holds a text.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text is empty.
        Empty { display("no header holds an empty text") }
        /// The text is longer than [`LENGTH_BYTES_MAX`] bytes.
        TooLong(length: usize) {
            display("a header holds at most {} bytes, this text has {}", LENGTH_BYTES_MAX, length)
        }
        /// The text begins or ends with a blank.
        Blank { display("no header holds a blank at the start or the end") }
        /// The text holds a control character.
        Control(found: char) { display("no header holds {:?}", found) }
    }
}

/// Text that a header holds, and that its receiver reads as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Text(HeaderValue);

impl Text {
    /// Returns the value of the header.
    pub fn as_value(&self) -> &HeaderValue {
        &self.0
    }
}

impl TryFrom<&str> for Text {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        if raw.is_empty() {
            return Err(Error::Empty);
        }
        if raw.len() > LENGTH_BYTES_MAX {
            return Err(Error::TooLong(raw.len()));
        }
        if let Some(found) = raw.chars().find(|c| c.is_ascii_control() && *c != '\t') {
            return Err(Error::Control(found));
        }
        if raw.starts_with(BLANKS) || raw.ends_with(BLANKS) {
            return Err(Error::Blank);
        }
        let value = HeaderValue::from_bytes(raw.as_bytes());
        value.map(Self).map_err(|_invalid| Error::Control('\0'))
    }
}

impl From<Text> for HeaderValue {
    fn from(text: Text) -> Self {
        text.0
    }
}
