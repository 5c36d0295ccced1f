//! Follows the platform's list of hosts.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::protocol::platform::{HOSTS, Host, List, Object};
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::view::Member;
use primrosehoist::transport::platform::Error;
use tokio::time::Instant;

use crate::cluster::{Cluster, lock};

/// The pause between two reads of the whole list when no event tells of a change.
const RELIST: Duration = Duration::from_secs(60);

/// The least pause between two reads of the whole list.
const RELIST_MIN: Duration = Duration::from_millis(500);

const BACKOFF_FIRST: Duration = Duration::from_millis(500);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

const ROLE_ENTRY: &str = "entry";
const ROLE_UPSTREAM: &str = "upstream";
const STATE_LEAVING: &str = "leaving";

/// Reads the list, then waits for an event, and so on.
pub(crate) async fn run(cluster: Arc<Cluster>) {
    let mut failures = 0;
    loop {
        match cluster.follow_hosts().await {
            Ok(()) => failures = 0,
            Err(error) => {
                log::debug!("hosts: {error}");
                failures += 1;
            }
        }
        let longer = backoff::full_jitter(failures, BACKOFF_FIRST, BACKOFF_MAX);
        let pause = if failures == 0 { RELIST_MIN } else { longer };
        tokio::time::sleep(pause).await;
    }
}

impl Cluster {
    /// Reads the list and returns after the first event that follows it.
    async fn follow_hosts(&self) -> Result<(), Error> {
        let list = self.platform.list(HOSTS).await?;
        self.record_platform_answer();
        let version = list.metadata.resource_version.clone();
        self.learn_hosts(list);
        let mut watch = self.platform.watch(HOSTS, &version).await?;
        let event = tokio::time::timeout(backoff::jitter(RELIST), watch.next()).await;
        match event {
            Ok(Ok(_)) | Err(_) => Ok(()),
            Ok(Err(error)) => Err(error),
        }
    }

    fn learn_hosts(&self, list: List) {
        let hosts: Vec<(String, Host)> = list.items.into_iter().filter_map(decode).collect();
        let members = hosts
            .iter()
            .filter(|(_, host)| host.role == ROLE_ENTRY)
            .filter_map(|(name, host)| member(name, host))
            .collect();
        lock(&self.membership).learn_list(members, Instant::now());
        let leaving: Set<String> = hosts
            .into_iter()
            .filter(|(_, host)| host.role == ROLE_UPSTREAM && host.state == STATE_LEAVING)
            .map(|(_, host)| host.address)
            .collect();
        let mut known = lock(&self.leaving);
        if *known != leaving {
            *known = leaving;
            drop(known);
            self.publish_fleet();
        }
    }
}

fn decode(object: Object) -> Option<(String, Host)> {
    let name = object.metadata.name;
    match serde_json::from_value(object.spec) {
        Ok(host) => Some((name, host)),
        Err(error) => {
            log::warn!("host {name} in the platform's list: {error}");
            None
        }
    }
}

fn member(raw: &str, host: &Host) -> Option<Member> {
    Some(Member {
        host: name::Host::try_from(raw).ok()?,
        zone: name::Zone::try_from(host.zone.as_str()).ok()?,
        address: host.address.clone(),
    })
}
