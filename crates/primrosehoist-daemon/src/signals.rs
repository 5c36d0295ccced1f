//! The signals that daemons handle.

use std::io;

use strum::IntoStaticStr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// To shut down.
    Stop(Cause),
    /// To reload the settings, by SIGHUP.
    Reload,
}

/// Why a daemon shuts down, as it is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
pub(crate) enum Cause {
    /// The signal by which a process is told to end.
    #[strum(serialize = "SIGTERM")]
    Terminate,
    /// The signal of a terminal's Ctrl-C.
    #[strum(serialize = "SIGINT")]
    Interrupt,
    /// An operator's request to drain.
    #[strum(serialize = "drain")]
    Drain,
    /// A server ended, which none does before a shutdown unless it panics.
    #[strum(serialize = "server ended")]
    Server,
}

impl Cause {
    /// Returns the name that is logged.
    pub(crate) fn name(self) -> &'static str {
        self.into()
    }
}

/// The handlers of the signals. Signals that arrive before they are waited for are kept.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers. Until then, each of the signals ends the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects a handler.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> Request {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Request::Stop(Cause::Terminate),
            _ = self.interrupt.recv() => Request::Stop(Cause::Interrupt),
            _ = self.hang_up.recv() => Request::Reload,
        }
    }

    /// Waits for a signal to shut down. Those to reload are dropped, for times at which nothing is
    /// loaded that could be outdated.
    pub(crate) async fn wait_for_stop(&mut self) -> Cause {
        loop {
            if let Request::Stop(cause) = self.next().await {
                return cause;
            }
        }
    }
}
