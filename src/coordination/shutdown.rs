//! What daemons tell each other of their starts and ends.

use quick_error::quick_error;

quick_error! {
    /// An error from the code of a phase.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The phase is one of a later build.
        Unknown(code: u8) { display("no phase has the code {}", code) }
    }
}

/// Whether a daemon takes requests of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// It takes requests.
    #[default]
    Serving,
    /// It does not know enough to take requests yet.
    Starting,
    /// It shuts down.
    Stopping,
}

impl From<Phase> for u8 {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Serving => 0,
            Phase::Starting => 1,
            Phase::Stopping => 2,
        }
    }
}

impl TryFrom<u8> for Phase {
    type Error = Error;

    fn try_from(code: u8) -> Result<Self, Error> {
        match code {
            0 => Ok(Self::Serving),
            1 => Ok(Self::Starting),
            2 => Ok(Self::Stopping),
            _ => Err(Error::Unknown(code)),
        }
    }
}
