//! Checked names, each kind a type of its own.
//!
//! A name is an immutable shared string: cloning one copies a pointer. Names appear in URLs,
//! object names and log lines, so only a small alphabet is accepted.
//!
//! ```
//! use primrosehoist::state::name::{Error, Zone};
//!
//! let zone = Zone::try_from("zone-a")?;
//! assert_eq!(zone.as_str(), "zone-a");
//! assert_eq!(Zone::try_from("Zone A"), Err(Error::Character('Z')));
//! # Ok::<(), Error>(())
//! ```

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The longest accepted name, in bytes.
pub const LENGTH_MAX: usize = 63;

quick_error! {
    /// Says why a string is not a name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The string is empty.
        Empty { display("a name must not be empty") }
        /// The string is longer than [`LENGTH_MAX`] bytes.
        Long(length: usize) {
            display("a name has at most {} bytes, this one has {}", LENGTH_MAX, length)
        }
        /// The string holds a character outside of the alphabet.
        Character(found: char) {
            display("a name holds only a-z, 0-9, '-', '.' and '_', found {:?}", found)
        }
    }
}

fn check(raw: &str) -> Result<(), Error> {
    if raw.is_empty() {
        return Err(Error::Empty);
    }
    if raw.len() > LENGTH_MAX {
        return Err(Error::Long(raw.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    match raw.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(Error::Character(found)),
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
                check(raw)?;
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
    /// Names one half of the organisation.
    Half,
    /// Names a host that runs a daemon. Unique in the fleet.
    Host,
    /// Names a model that callers ask for.
    Model,
    /// Names a service: a set of upstreams that answer alike.
    Service,
    /// Names an upstream: one back end of a service. Unique in the fleet.
    Upstream,
    /// Names a workspace: a customer with keys and a weight.
    Workspace,
    /// Names an availability zone.
    Zone,
}
