//! The versions of the platform state that a daemon has applied.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// An error from parsing [`Versions`].
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The text is not a list of five numbers.
        Malformed { display("versions are five numbers separated by commas") }
    }
}

/// A revision of the platform's store.
///
/// Revisions go back when the store is restored from a copy, and are given out again. Its era rises each
/// time, so that later revisions are still greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// The number of times that the store was restored.
    pub era: u64,
    /// The number of the revision within the era.
    pub number: u64,
}

/// Returns the version of what a daemon knows after it has applied a list of the platform's objects of one
/// kind, or `None` if the list must not be applied, since the daemon already knows later changes.
///
/// `listed` is the revision of the first page of the list, and `objects` has the numbers of the revisions of
/// its objects. Those on later pages may be newer than `listed`. They tell nothing of what else has changed in
/// between: such changes are still to be reported, by a watch from `listed`.
///
/// The version is that of a change to the kind if possible. The revision of the store also covers changes to
/// other kinds, of which daemons that do not list know nothing.
pub fn after_list<I>(listed: Revision, objects: I, known: Revision) -> Option<Revision>
where
    I: IntoIterator<Item = u64>,
{
    if known > listed {
        return None;
    }
    let complete = objects
        .into_iter()
        .filter(|number| *number <= listed.number);
    let number = complete.max().unwrap_or(0);
    Some(Revision { number, ..listed })
}

/// The versions of the platform state that a daemon has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: u64,
    /// The latest store revision among the changes to upstreams.
    pub upstreams: Revision,
    /// The latest store revision among the changes to zones out of service.
    pub evacuations: Revision,
}

impl Versions {
    /// Returns the field-wise maximum of both.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        Self {
            configuration: self.configuration.max(other.configuration),
            upstreams: self.upstreams.max(other.upstreams),
            evacuations: self.evacuations.max(other.evacuations),
        }
    }

    /// Returns whether any field of `self` is newer than that of `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.configuration > other.configuration
            || self.upstreams > other.upstreams
            || self.evacuations > other.evacuations
    }
}

impl fmt::Display for Versions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            configuration,
            upstreams,
            evacuations,
        } = self;
        write!(f, "{configuration},{},{}", upstreams.era, upstreams.number)?;
        write!(f, ",{},{}", evacuations.era, evacuations.number)
    }
}

impl FromStr for Versions {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parts = text.split(',').map(|part| part.parse().ok());
        let numbers: Option<Vec<u64>> = parts.collect();
        let [
            configuration,
            upstreams_era,
            upstreams,
            evacuations_era,
            evacuations,
        ] = numbers
            .and_then(|numbers| numbers.try_into().ok())
            .ok_or(Error::Malformed)?;
        Ok(Self {
            configuration,
            upstreams: Revision {
                era: upstreams_era,
                number: upstreams,
            },
            evacuations: Revision {
                era: evacuations_era,
                number: evacuations,
            },
        })
    }
}
