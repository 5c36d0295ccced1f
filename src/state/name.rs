//! Validated names, with a distinct type for each kind.
//!
//! A name is an immutable shared string, so cloning one copies a pointer. Names appear in URLs,
//! object names and log lines, so the alphabet is small.
//!
//! ```
//! use primrosehoist::state::name::{Error, Zone};
//!
//! let zone = Zone::try_from("zone-a")?;
//! assert_eq!(zone.as_str(), "zone-a");
//! assert_eq!(Zone::try_from("Zone A"), Err(Error::InvalidCharacter('Z')));
//! # Ok::<(), Error>(())
//! ```

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const LENGTH_BYTES_MAX: usize = 63;

quick_error! {
    /// An error from validating a name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The string is empty.
        Empty { display("a name must not be empty") }
        /// The string is longer than [`LENGTH_BYTES_MAX`] bytes.
        TooLong(length: usize) {
            display("a name has at most {} bytes, this one has {}", LENGTH_BYTES_MAX, length)
        }
        /// The string holds a character outside the alphabet.
        InvalidCharacter(found: char) {
            display("a name contains only a-z, 0-9, '-', '.' and '_', found {:?}", found)
        }
    }
}

fn validate(raw: &str) -> Result<(), Error> {
    if raw.is_empty() {
        return Err(Error::Empty);
    }
    if raw.len() > LENGTH_BYTES_MAX {
        return Err(Error::TooLong(raw.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    match raw.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(Error::InvalidCharacter(found)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $kind:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $kind(Arc<str>);

        impl $kind {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $kind {
            type Error = Error;

            fn try_from(raw: &str) -> Result<Self, Error> {
                validate(raw)?;
                Ok(Self(Arc::from(raw)))
            }
        }

        impl TryFrom<String> for $kind {
            type Error = Error;

            fn try_from(raw: String) -> Result<Self, Error> {
                Self::try_from(raw.as_str())
            }
        }

        impl From<$kind> for String {
            fn from(name: $kind) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    )+};
}

names! {
    /// The name of one half of the organisation.
    Half,
    /// The name of a host that runs a daemon. Unique in the fleet.
    Host,
    /// The name of a model, as requested by callers.
    Model,
    /// The name of a service: a set of interchangeable upstreams.
    Service,
    /// The name of an upstream: one back end of a service. Unique in the fleet.
    Upstream,
    /// The name of a workspace: a customer with keys and a weight.
    Workspace,
    /// The name of an availability zone.
    Zone,
}
