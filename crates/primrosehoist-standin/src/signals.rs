//! The signals that servers handle.

use std::io;

use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

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
    pub(crate) fn install(runtime: &Runtime) -> io::Result<Signals> {
        let _entered = runtime.enter();
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to end and returns its name. SIGHUP is ignored, as by the daemon that has no
    /// settings to reload.
    pub(crate) async fn end(&mut self) -> &'static str {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return "SIGTERM",
                _ = self.interrupt.recv() => return "SIGINT",
                _ = self.hang_up.recv() => log::warn!("ignored SIGHUP"),
            }
        }
    }
}
