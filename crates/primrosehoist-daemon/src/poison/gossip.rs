//! Tells other daemons of suspects and pending quarantines.
//!
//! A report goes to all daemons of the own zone and to one of each other zone, which passes on
//! what is news to it. It is repeated while it is young or, for a quarantine, pending.

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

/// The pause between two repetitions.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);

/// The longest time for one daemon to take note.
const NOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Spreads reports until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let reports = node.poison.lock().reports(Instant::now());
        if reports.is_empty() {
            node.poison.news.notified().await;
            continue;
        }
        let told = Poison {
            version: node.fleet.load().version,
            reports,
        };
        for member in targets(&node) {
            let node = Arc::clone(&node);
            let request = Request::Poison(told.clone());
            tokio::spawn(async move {
                if let Err(error) = tell(&node, &member, &request).await {
                    log::debug!("report of poison requests: {error}");
                }
            });
        }
        tokio::select! {
            () = sleep(REPEAT_PAUSE) => {}
            () = node.poison.news.notified() => {}
        }
    }
}

fn targets(node: &Node) -> Vec<Member> {
    let view = node.view.load();
    let members = view.daemons.values().map(|daemon| &daemon.member);
    let others = members.filter(|member| member.host != node.host);
    let (mut targets, far): (Vec<Member>, Vec<Member>) =
        others.cloned().partition(|member| member.zone == node.zone);
    let mut zones: Map<name::Zone, Vec<Member>> = Map::default();
    for member in far {
        zones.entry(member.zone.clone()).or_default().push(member);
    }
    for members in zones.into_values() {
        let first = rendezvous::first(node.host.as_str(), members.iter().map(|m| &m.host)).cloned();
        targets.extend(
            members
                .into_iter()
                .find(|m| Some(&m.host) == first.as_ref()),
        );
    }
    targets
}

async fn tell(node: &Node, member: &Member, request: &Request) -> Result<(), peer::Error> {
    let exchange = async {
        let mut exchange = node.peers.open(member, request, None).await?;
        exchange.next().await
    };
    let noted = timeout(NOTE_TIMEOUT, exchange).await;
    noted.map_or(Ok(()), |noted| noted.map(drop))
}
