//! Updates the configuration from the platform and from peers.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::coordination::replica::{OTHER_POLL, WATCHER_POLL, is_watcher};
use primrosehoist::protocol::codec;
use primrosehoist::protocol::platform::{CHANGES, SNAPSHOT, SNAPSHOTS, change_name};
use primrosehoist::protocol::wire::{Reply, Request};
use primrosehoist::state::change::Change;
use primrosehoist::state::fleet::{Fleet, Lifecycle, Version};
use primrosehoist::transport::hedge::first_success;
use primrosehoist::transport::{peer, platform};
use tokio::time::Instant;

use crate::cluster::{Cluster, lock};

/// The interval of checks whether a peer has a newer version.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a peer may take to answer before another one is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// The timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Encoded bytes of changes after which a reply to a peer ends; the peer then requests the rest.
const ANSWER_BYTES: usize = 1 << 20;

const BACKOFF_FIRST: Duration = Duration::from_millis(500);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Polls the platform for changes, more often if this daemon is a watcher.
pub(crate) async fn poll(cluster: Arc<Cluster>) {
    let mut failures = 0;
    loop {
        match cluster.catch_up().await {
            Ok(()) => failures = 0,
            Err(error) => {
                log::debug!("cannot read configuration changes: {error}");
                failures += 1;
            }
        }
        let pause = cluster.poll_pause(failures);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cluster.changes.notified() => {}
        }
    }
}

/// Watches the platform for changes while this daemon is a watcher.
pub(crate) async fn watch(cluster: Arc<Cluster>) {
    let mut failures = 0;
    loop {
        if cluster.is_watcher() {
            match cluster.watch_changes().await {
                Ok(()) => failures = 0,
                Err(error) => {
                    log::debug!("cannot watch configuration changes: {error}");
                    failures += 1;
                }
            }
        }
        let pause = backoff::full_jitter(failures, BACKOFF_FIRST, BACKOFF_MAX);
        tokio::time::sleep(BACKOFF_FIRST + pause).await;
    }
}

/// Fetches changes from peers that have a newer version.
pub(crate) async fn follow_peers(cluster: Arc<Cluster>) {
    let mut failures = 0;
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        let version = lock(&cluster.replica).version();
        let ahead = lock(&cluster.membership).peers_ahead_of(version, Instant::now());
        if ahead.is_empty() {
            continue;
        }
        let mut ahead = ahead.iter();
        let next = || {
            let call = cluster.fetch(ahead.next()?, version);
            Some(async {
                let fetched = call.await.inspect_err(|error| {
                    log::debug!("cannot fetch configuration changes: {error}");
                });
                fetched.ok()
            })
        };
        if first_success(next, HEDGE_DELAY).await.is_some() {
            failures = 0;
            continue;
        }
        failures += 1;
        let pause = backoff::full_jitter(failures, PEER_CHECK_INTERVAL, PEER_TIMEOUT);
        tokio::time::sleep(pause).await;
    }
}

impl Cluster {
    fn is_watcher(&self) -> bool {
        let local = self.local();
        let hosts = lock(&self.membership).candidates(&local, Instant::now());
        is_watcher(&self.own.zone, &self.own.host, &hosts)
    }

    fn poll_pause(&self, failures: u32) -> Duration {
        if failures > 0 {
            return BACKOFF_FIRST + backoff::full_jitter(failures, BACKOFF_FIRST, BACKOFF_MAX);
        }
        let interval = if self.is_watcher() {
            WATCHER_POLL
        } else {
            OTHER_POLL
        };
        backoff::jitter(interval)
    }

    /// Reads and applies the changes that follow the version in force.
    async fn catch_up(&self) -> Result<(), platform::Error> {
        if lock(&self.replica).version() == 0 {
            self.restore().await?;
        }
        loop {
            let next = lock(&self.replica).version() + 1;
            match self.platform.get(CHANGES, &change_name(next)).await {
                Ok(object) => {
                    self.record_platform_answer();
                    if !self.apply_object(next, object.spec) {
                        return Ok(());
                    }
                }
                Err(platform::Error::NotFound { .. }) => {
                    self.record_platform_answer();
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Applies a change from the platform; returns whether to read the next one.
    fn apply_object(&self, next: Version, spec: serde_json::Value) -> bool {
        match serde_json::from_value::<Change>(spec) {
            Ok(change) => {
                self.apply(&[change]);
                lock(&self.replica).version() >= next
            }
            Err(error) => {
                log::error!("change {next} in the platform is malformed: {error}");
                false
            }
        }
    }

    /// Restores the platform's snapshot, if there is one.
    async fn restore(&self) -> Result<(), platform::Error> {
        match self.platform.get(SNAPSHOTS, SNAPSHOT).await {
            Ok(object) => match serde_json::from_value::<Fleet>(object.spec) {
                Ok(fleet) => self.install(fleet),
                Err(error) => log::warn!("the platform's snapshot is malformed: {error}"),
            },
            Err(platform::Error::NotFound { .. }) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    async fn watch_changes(&self) -> Result<(), platform::Error> {
        // The watch is only a hint to poll, so it may start from the latest known change.
        let newest = lock(&self.replica).version();
        let name = change_name(newest);
        let version = match self.platform.get(CHANGES, &name).await {
            Ok(object) => object.metadata.resource_version,
            Err(platform::Error::NotFound { .. }) => String::from("0"),
            Err(error) => return Err(error),
        };
        let mut watch = self.platform.watch(CHANGES, &version).await?;
        while let Some(event) = watch.next().await? {
            if !event.is_bookmark() {
                self.changes.notify_one();
            }
        }
        Ok(())
    }

    async fn fetch(
        &self,
        member: &primrosehoist::state::view::Member,
        version: Version,
    ) -> Result<(), peer::Error> {
        let request = Request::Changes(version);
        let answered = tokio::time::timeout(PEER_TIMEOUT, async {
            let mut exchange = self.peers.open(member, &request, None).await?;
            exchange.next().await
        });
        let reply = answered.await.map_err(|_elapsed| peer::Error::Timeout {
            operation: "asking for changes",
            peer: member.host.to_string(),
        })??;
        if let Some(Reply::Changes { snapshot, changes }) = reply {
            if let Some(snapshot) = snapshot {
                let fleet = codec::decode(&snapshot).map_err(|cause| peer::Error::Frame {
                    peer: member.host.to_string(),
                    cause,
                })?;
                self.install(fleet);
            }
            self.apply(&changes);
        }
        Ok(())
    }

    pub(super) fn answer_changes(&self, version: Version) -> Reply {
        let delta = lock(&self.replica).delta_since(version);
        let snapshot = delta.snapshot.and_then(|fleet| {
            let encoded = codec::encode(fleet.as_ref()).ok()?;
            Some(encoded.slice(codec::PREFIX_BYTES..))
        });
        let mut bytes = 0;
        let changes = delta
            .changes
            .into_iter()
            .take_while(|change| {
                let fits = bytes < ANSWER_BYTES;
                bytes += codec::encode(change).map_or(ANSWER_BYTES, |frame| frame.len());
                fits
            })
            .collect();
        Reply::Changes { snapshot, changes }
    }

    fn install(&self, fleet: Fleet) {
        let restored = lock(&self.replica).restore(fleet);
        if restored {
            self.publish_fleet();
        }
    }

    fn apply(&self, changes: &[Change]) {
        let advanced = lock(&self.replica).apply(changes);
        if advanced {
            self.publish_fleet();
        }
    }

    /// Puts the configuration into force, with the upstreams of leaving hosts marked as leaving.
    pub(super) fn publish_fleet(&self) {
        // Held during the store, so that an older configuration never replaces a newer one.
        let replica = lock(&self.replica);
        let mut fleet = replica.fleet();
        let leaving = lock(&self.leaving).clone();
        if !leaving.is_empty() {
            for upstream in Arc::make_mut(&mut fleet).upstreams.values_mut() {
                if leaving.contains(&upstream.address.to_string()) {
                    upstream.state = Lifecycle::Leaving;
                }
            }
        }
        if !self.node.mechanisms.zone_out {
            Arc::make_mut(&mut fleet).zones_out.clear();
        }
        let version = fleet.version;
        self.node.fleet.store(fleet);
        drop(replica);
        log::info!("configuration version {version} is in force");
        (self.hooks.fleet_changed)();
    }
}
