//! Renders the metrics for a scrape, after updating those that are counted outside the
//! instruments.

use std::sync::{Mutex, PoisonError};

use primrosehoist::transport::platform::Call;
use strum::IntoEnumIterator;

use crate::cluster::Cluster;
use crate::node::Node;
use crate::resident::Resident;

/// The totals already added to the metrics, to add only the difference at the next scrape.
#[derive(Debug, Default)]
pub(crate) struct Scrape {
    totals: Mutex<Totals>,
}

#[derive(Debug, Default)]
struct Totals {
    calls: [u64; <Call as strum::EnumCount>::COUNT],
    sent: u64,
    received: u64,
}

impl Scrape {
    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub(crate) fn render(
        &self,
        node: &Node,
        cluster: &Cluster,
    ) -> Result<String, prometheus::Error> {
        self.update(node, cluster);
        node.metrics.render()
    }

    fn update(&self, node: &Node, cluster: &Cluster) {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        node.metrics.version(node.fleet.load().version);
        match Resident::read() {
            Ok(resident) => node.metrics.resident(resident),
            Err(error) => log::warn!("memory of the process is not known: {error}"),
        }
        for call in Call::iter() {
            let total = cluster.platform_calls().get(call);
            let added = advance(&mut totals.calls[call as usize], total);
            node.metrics.platform_called(call, added);
        }
        let sent = advance(&mut totals.sent, cluster.traffic().sent_bytes());
        node.metrics.peer_bytes("sent", sent);
        let received = advance(&mut totals.received, cluster.traffic().received_bytes());
        node.metrics.peer_bytes("received", received);
    }
}

/// Sets `last` to `total` and returns the difference.
fn advance(last: &mut u64, total: u64) -> u64 {
    let added = total.saturating_sub(*last);
    *last = total;
    added
}
