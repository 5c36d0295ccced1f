//! The requests that run at one upstream, and their loss when it dies.

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

/// The longest time to find out whether an upstream still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The requests that one upstream runs.
#[derive(Debug, Default)]
pub(crate) struct Running {
    runs: Mutex<Map<Ticket, Run>>,
}

#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    /// Whether the upstream died meanwhile.
    lost: bool,
}

impl Running {
    /// Records that the upstream runs a request.
    pub(crate) fn enter(&self, ticket: Ticket, fingerprint: &Fingerprint) {
        let run = Run {
            fingerprint: fingerprint.clone(),
            lost: false,
        };
        self.lock().insert(ticket, run);
    }

    /// Records that the upstream runs a request no more.
    pub(crate) fn leave(&self, ticket: Ticket) {
        self.lock().remove(&ticket);
    }

    /// Returns whether the upstream was found dead while it ran the request, if it ran it.
    fn is_lost(&self, ticket: Ticket) -> Option<bool> {
        self.lock().get(&ticket).map(|run| run.lost)
    }

    /// Marks all that runs as lost; returns what was not marked before.
    fn lose(&self) -> Vec<Fingerprint> {
        let mut runs = self.lock();
        let alive = runs.values_mut().filter(|run| !run.lost);
        alive
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

/// Finds out whether the upstream at `address` died while it ran the request `ticket`, whose
/// connection broke. Returns what is known of the request then.
///
/// Of all requests that were lost together, the first one to come here reports the death.
pub(crate) async fn check_upstream(
    node: &Node,
    running: &Running,
    address: SocketAddr,
    ticket: Ticket,
    fingerprint: &Fingerprint,
) -> Option<Standing> {
    let lost = running.is_lost(ticket)?;
    if !lost {
        if listens(address).await {
            return None;
        }
        let together = running.lose();
        if !together.is_empty() {
            log::warn!(address = address.to_string().as_str(), requests = together.len(); "upstream died");
            node.poison.upstream_died(&together);
        }
    }
    node.poison.lock().standing(fingerprint, Instant::now())
}

/// Returns whether something accepts connections at `address`. Silence is not taken for a death.
async fn listens(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
