//! Gossips suspects and pending quarantines to other daemons.
//!
//! A report is sent to all daemons in the same zone and to one daemon in each other zone, which
//! forwards reports that are new to it. It is repeated while it is recent or, for a quarantine,
//! while it is pending.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::rendezvous;
use primrosehoist::protocol::wire::{Poison, Request};
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use primrosehoist::state::view::Member;
use primrosehoist::transport::peer;
use tokio::time::{Instant, sleep, timeout};

use crate::node::Node;

/// The interval between two repetitions.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout for one daemon to acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends reports until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let reports = node.poison.lock().reports(Instant::now());
        if reports.is_empty() {
            node.poison.changed.notified().await;
            continue;
        }
        let message = Poison {
            version: node.fleet.load().version,
            reports,
        };
        for member in targets(&node) {
            let node = Arc::clone(&node);
            let request = Request::Poison(message.clone());
            tokio::spawn(async move {
                if let Err(error) = send(&node, &member, &request).await {
                    log::debug!("report of poison requests failed: {error}");
                }
            });
        }
        tokio::select! {
            () = sleep(REPEAT_INTERVAL) => {}
            () = node.poison.changed.notified() => {}
        }
    }
}

fn targets(node: &Node) -> Vec<Member> {
    let view = node.view.load();
    let members = view.daemons.values().map(|daemon| &daemon.member);
    let others = members.filter(|member| member.host != node.host);
    let (mut targets, remote): (Vec<Member>, Vec<Member>) =
        others.cloned().partition(|member| member.zone == node.zone);
    let mut zones: Map<name::Zone, Vec<Member>> = Map::default();
    for member in remote {
        zones.entry(member.zone.clone()).or_default().push(member);
    }
    for members in zones.into_values() {
        let forwarder =
            rendezvous::first(node.host.as_str(), members.iter().map(|m| &m.host)).cloned();
        targets.extend(
            members
                .into_iter()
                .find(|m| Some(&m.host) == forwarder.as_ref()),
        );
    }
    targets
}

async fn send(node: &Node, member: &Member, request: &Request) -> Result<(), peer::Error> {
    let exchange = async {
        let mut exchange = node.peers.open(member, request, None).await?;
        exchange.next().await
    };
    let acknowledged = timeout(REPORT_TIMEOUT, exchange).await;
    acknowledged.map_or(Ok(()), |reply| reply.map(drop))
}
