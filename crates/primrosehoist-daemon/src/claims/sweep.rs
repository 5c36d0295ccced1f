//! Removes expired claims.
//!
//! One daemon in each zone continually reads all claims, one page per [`PAGE_INTERVAL`]. Several
//! concurrent sweepers are harmless because removals are conditional.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::coordination::claim::Record;
use primrosehoist::coordination::rendezvous;
use primrosehoist::protocol::platform::{CLAIMS, Object};
use primrosehoist::transport::platform::Error;
use tokio::time::sleep;

use crate::clock::unix_ms;
use crate::node::Node;

/// The interval between two pages.
const PAGE_INTERVAL: Duration = Duration::from_secs(10);

/// The number of claims in a page.
const PAGE_CLAIMS: u32 = 500;

/// The pause after a removal.
const REMOVAL_PAUSE: Duration = Duration::from_millis(20);

/// Removes expired claims until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut position = String::new();
    loop {
        sleep(backoff::jitter(PAGE_INTERVAL)).await;
        if !is_sweeper(&node) {
            position.clear();
            continue;
        }
        match sweep_page(&node, &position).await {
            Ok(next) => position = next,
            Err(error) => {
                log::debug!("removal of expired claims failed: {error}");
                // The platform may have expired the continuation position.
                position.clear();
            }
        }
    }
}

fn is_sweeper(node: &Node) -> bool {
    let view = node.view.load();
    let members = view.daemons.values().map(|daemon| &daemon.member);
    let hosts = members.filter(|member| member.zone == node.zone);
    let first = rendezvous::first(CLAIMS, hosts.map(|member| &member.host));
    first == Some(&node.host)
}

/// Removes the expired claims of one page and returns the position of the next page.
async fn sweep_page(node: &Node, position: &str) -> Result<String, Error> {
    let list = node
        .platform
        .list_page(CLAIMS, PAGE_CLAIMS, position)
        .await?;
    let now_ms = unix_ms();
    for object in list.items.into_iter().filter(|o| is_expired(o, now_ms)) {
        match node.platform.delete(CLAIMS, &object.metadata).await {
            Ok(_) | Err(Error::NotFound { .. } | Error::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        sleep(REMOVAL_PAUSE).await;
    }
    Ok(list.metadata.continue_at)
}

fn is_expired(object: &Object, now_ms: u64) -> bool {
    let record: Result<Record, _> = serde_json::from_value(object.spec.clone());
    record.is_ok_and(|record| record.is_expired(now_ms))
}
