//! Tracks the requests that run at one upstream, and marks them as lost when it crashes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use primrosehoist::coordination::poison::Standing;
use primrosehoist::state::fleet::Fingerprint;
use primrosehoist::state::map::Map;
use primrosehoist::state::queue::Ticket;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::node::Node;

/// The timeout for probing whether an upstream still accepts connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The requests that one upstream runs.
#[derive(Debug, Default)]
pub(crate) struct Running {
    runs: Mutex<Map<Ticket, Run>>,
}

#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    /// Whether the upstream crashed during the run.
    lost: bool,
}

impl Running {
    /// Records that the upstream started to run a request.
    pub(crate) fn enter(&self, ticket: Ticket, fingerprint: &Fingerprint) {
        let run = Run {
            fingerprint: fingerprint.clone(),
            lost: false,
        };
        self.lock().insert(ticket, run);
    }

    /// Records that the upstream no longer runs a request.
    pub(crate) fn leave(&self, ticket: Ticket) {
        self.lock().remove(&ticket);
    }

    /// Returns whether the upstream crashed while it ran the request, or `None` if the request is not
    /// running.
    fn is_lost(&self, ticket: Ticket) -> Option<bool> {
        self.lock().get(&ticket).map(|run| run.lost)
    }

    /// Marks all running requests as lost and returns those that were not marked before.
    fn mark_lost(&self) -> Vec<Fingerprint> {
        let mut runs = self.lock();
        let unmarked = runs.values_mut().filter(|run| !run.lost);
        unmarked
            .map(|run| {
                run.lost = true;
                run.fingerprint.clone()
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<Ticket, Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks whether the upstream at `address` crashed while it ran the request `ticket`, whose
/// connection broke. If so, returns the standing of the request.
///
/// Of all requests that were lost together, only the first one checked reports the crash.
pub(crate) async fn check_upstream(
    node: &Node,
    running: &Running,
    address: SocketAddr,
    ticket: Ticket,
    fingerprint: &Fingerprint,
) -> Option<Standing> {
    let lost = running.is_lost(ticket)?;
    if !lost {
        if accepts_connections(address).await {
            return None;
        }
        let lost_together = running.mark_lost();
        if !lost_together.is_empty() {
            log::warn!(address = address.to_string().as_str(), requests = lost_together.len(); "upstream crashed");
            node.poison.upstream_crashed(&lost_together);
        }
    }
    node.poison.lock().standing(fingerprint, Instant::now())
}

/// Returns whether `address` accepts connections. Only a refused connection counts as a crash; a
/// timeout does not.
async fn accepts_connections(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
