//! Keeps the list of hosts in sync with the platform.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::protocol::platform::{Event, HOSTS, Host, Object};
use primrosehoist::state::map::{Map, Set};
use primrosehoist::state::name;
use primrosehoist::state::view::Member;
use primrosehoist::transport::platform::Error;
use tokio::time::Instant;

use crate::cluster::{Cluster, lock};

/// A watch without events or bookmarks for this long is restarted.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The minimum delay between two reads of the whole list.
const RELIST_DELAY_MIN: Duration = Duration::from_millis(500);

const BACKOFF_FIRST: Duration = Duration::from_millis(500);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

const ROLE_ENTRY: &str = "entry";
const ROLE_UPSTREAM: &str = "upstream";
const STATE_LEAVING: &str = "leaving";

/// The hosts listed by the platform, by name.
type Hosts = Map<String, Host>;

/// Reads and watches the list, and starts over when the watch ends.
pub(crate) async fn run(cluster: Arc<Cluster>) {
    let mut failures = 0;
    loop {
        match cluster.follow_hosts().await {
            Ok(()) => failures = 0,
            Err(error) => {
                log::debug!("cannot follow the list of hosts: {error}");
                failures += 1;
            }
        }
        let longer = backoff::full_jitter(failures, BACKOFF_FIRST, BACKOFF_MAX);
        let pause = if failures == 0 {
            RELIST_DELAY_MIN
        } else {
            longer
        };
        tokio::time::sleep(pause).await;
    }
}

impl Cluster {
    /// Reads the list and applies the events that follow, until the watch ends or stays idle.
    async fn follow_hosts(&self) -> Result<(), Error> {
        let list = self.platform.list(HOSTS).await?;
        self.record_platform_answer();
        let version = list.metadata.resource_version;
        let mut hosts: Hosts = list.items.into_iter().filter_map(decode).collect();
        self.apply_hosts(&hosts);
        let mut watch = self.platform.watch(HOSTS, &version).await?;
        loop {
            match tokio::time::timeout(WATCH_IDLE_TIMEOUT, watch.next()).await {
                Ok(Ok(Some(event))) if event.is_bookmark() => {}
                Ok(Ok(Some(event))) => {
                    apply(&mut hosts, event);
                    self.apply_hosts(&hosts);
                }
                Ok(Ok(None)) | Err(_) => return Ok(()),
                Ok(Err(error)) => return Err(error),
            }
        }
    }

    fn apply_hosts(&self, hosts: &Hosts) {
        let members = hosts
            .iter()
            .filter(|(_, host)| host.role == ROLE_ENTRY)
            .filter_map(|(name, host)| member(name, host))
            .collect();
        lock(&self.membership).set_listed_members(members, Instant::now());
        let leaving: Set<String> = hosts
            .values()
            .filter(|host| host.role == ROLE_UPSTREAM && host.state == STATE_LEAVING)
            .map(|host| host.address.clone())
            .collect();
        let mut known = lock(&self.leaving);
        if *known != leaving {
            *known = leaving;
            drop(known);
            self.publish_fleet();
        }
    }
}

/// Applies a watch event to `hosts`.
fn apply(hosts: &mut Hosts, event: Event) {
    let deleted = event.is_deleted();
    let name = event.object.metadata.name.clone();
    match decode(event.object) {
        Some((name, host)) if !deleted => {
            hosts.insert(name, host);
        }
        _ => {
            hosts.remove(&name);
        }
    }
}

fn decode(object: Object) -> Option<(String, Host)> {
    let name = object.metadata.name;
    match serde_json::from_value(object.spec) {
        Ok(host) => Some((name, host)),
        Err(error) => {
            log::warn!("host {name} in the platform is malformed: {error}");
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
