//! Follows the platform's store: the configuration, the upstreams, the evacuated zones and the
//! other daemons.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use primrosehoist::state::map::Set;
use primrosehoist::transport::platform::Error;
use primrosehoist_platform::object::{Event, Object};
use primrosehoist_platform::{config, daemon, upstream};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::context::Context;
use super::peers::Peers;

/// How long the store holds a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The interval between pings of the store, before jitter. A change must take effect within a few
/// seconds of the store's recovery.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The backoff after the first failed call, before jitter.
const BACKOFF_MIN: Duration = Duration::from_millis(150);

/// The longest backoff after repeated failures, before jitter.
const BACKOFF_MAX: Duration = Duration::from_millis(1200);

/// The shortest outage of the store in which entries may have expired.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// How long this daemon may lag behind another one before it lists from the store again. The change
/// usually arrives within this time.
const LAG_MAX: Duration = Duration::from_millis(400);

/// A kind of object that is followed in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feed {
    Configuration,
    Upstreams,
    Evacuations,
    Daemons,
}

impl Feed {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => config::KIND,
            Self::Upstreams => upstream::KIND,
            Self::Evacuations => upstream::EVACUATION_KIND,
            Self::Daemons => daemon::KIND,
        }
    }
}

/// Follows one kind of object for as long as the process runs.
pub(crate) async fn follow(context: Arc<Context>, peers: Arc<Peers>, feed: Feed) {
    let mut follower = Follower {
        context,
        peers,
        feed,
        failures: 0,
        lost_at: None,
    };
    loop {
        let listed = follower.context.store.load().list(feed.kind()).await;
        let revision = match listed {
            Ok((objects, revision)) => {
                follower.on_success();
                follower.on_list(objects, revision);
                revision
            }
            Err(error) => {
                follower.on_error(&error).await;
                continue;
            }
        };
        if feed == Feed::Daemons {
            // Later daemons announce themselves by gossip to the daemons that they find.
            return;
        }
        let context = Arc::clone(&follower.context);
        tokio::select! {
            () = follower.watch(revision) => {}
            () = context.wait_follows_store(false) => context.wait_follows_store(true).await,
        }
    }
}

/// Pings the store periodically for as long as the process runs.
///
/// A watch that the store lost during an outage cannot be told from one without a change. So when
/// the store responds again, all watches are restarted.
pub(crate) async fn ping(context: Arc<Context>) {
    let mut lost_at: Option<Instant> = None;
    loop {
        context.wait_follows_store(true).await;
        let jitter = 0.5 + f64::from(rand::random::<u16>()) / f64::from(u16::MAX);
        sleep(PING_INTERVAL.mul_f64(jitter)).await;
        let answered = context.store.load().ping(upstream::EVACUATION_KIND).await;
        match (answered, lost_at) {
            (Ok(()), None) | (Err(_), Some(_)) => {}
            (Ok(()), Some(since)) => {
                let away_ms = since.elapsed().as_millis() as u64;
                log::info!(away_ms; "store recovered; restarting watches");
                lost_at = None;
                context.store_recoveries.send_modify(|count| *count += 1);
            }
            (Err(error), None) => {
                log::warn!(error:%; "store ping failed");
                lost_at = Some(Instant::now());
            }
        }
    }
}

struct Follower {
    context: Arc<Context>,
    peers: Arc<Peers>,
    feed: Feed,
    failures: u32,
    lost_at: Option<Instant>,
}

impl Follower {
    /// Watches from revision `start` until the objects have to be listed again: the store has
    /// discarded the history, or other daemons have newer state.
    async fn watch(&mut self, start: u64) {
        let mut revision = start;
        let mut recoveries = self.context.store_recoveries.subscribe();
        loop {
            let context = Arc::clone(&self.context);
            let store = context.store.load_full();
            let watched = tokio::select! {
                watched = store.watch(self.feed.kind(), revision, WATCH_TIMEOUT) => watched,
                () = wait_until_behind(&context, self.feed) => {
                    log::info!(kind = self.feed.kind(), revision; "watch lags behind other daemons; listing again");
                    store.close_idle();
                    return;
                }
                Ok(()) = recoveries.changed() => continue,
            };
            match watched {
                Ok(changes) => {
                    self.on_success();
                    for event in changes.events {
                        self.on_event(event);
                    }
                    revision = revision.max(changes.revision);
                }
                Err(Error::Gone { .. }) => {
                    log::info!(kind = self.feed.kind(), revision; "history discarded; listing again");
                    return;
                }
                Err(error) => self.on_error(&error).await,
            }
        }
    }

    fn on_success(&mut self) {
        self.failures = 0;
        self.context.record_contact();
        if self.feed == Feed::Upstreams {
            self.context.set_store_reachable(true);
        }
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let outage = lost_at.elapsed();
        log::info!(kind = self.feed.kind(), away_ms = outage.as_millis() as u64; "store connection recovered");
        if self.feed == Feed::Upstreams && outage >= OUTAGE_MIN {
            self.context
                .roster
                .lock()
                .platform_reconnected(Instant::now());
        }
    }

    async fn on_error(&mut self, error: &Error) {
        if self.lost_at.is_none() {
            if self.feed == Feed::Upstreams {
                self.context.set_store_reachable(false);
            }
            self.lost_at = Some(Instant::now());
            log::warn!(kind = self.feed.kind(), error:%; "store connection lost");
        }
        let backoff = (BACKOFF_MIN * (1 << self.failures.min(4))).min(BACKOFF_MAX);
        self.failures += 1;
        let jitter = 0.5 + f64::from(rand::random::<u16>()) / f64::from(u16::MAX) / 2.0;
        sleep(backoff.mul_f64(jitter)).await;
    }

    fn on_list(&mut self, objects: Vec<Object>, revision: u64) {
        let newest = objects.iter().map(|object| object.revision).max();
        match self.feed {
            Feed::Configuration => {
                for object in &objects {
                    install_configuration(&self.context, object);
                }
            }
            Feed::Upstreams => {
                let upstreams = objects.iter().filter_map(decode_upstream).collect();
                let context = &self.context;
                context.roster.lock().replace(upstreams, Instant::now());
                context.upstreams_listed.store(true, Ordering::Release);
                // The revision of the list also covers changes to other kinds. Other daemons would
                // treat it as a change that they missed.
                self.advance(newest.unwrap_or(0));
                context.queue.wake_all();
            }
            Feed::Evacuations => {
                let zones = objects.into_iter().filter(|object| !object.deleting);
                self.set_evacuated_zones(zones.map(|object| Arc::from(object.name)).collect());
                self.advance(newest.unwrap_or(0));
            }
            Feed::Daemons => {
                for object in &objects {
                    self.on_daemon(object);
                }
            }
        }
        log::info!(kind = self.feed.kind(), revision; "listed");
    }

    fn on_event(&mut self, event: Event) {
        let Event { object, deleted } = event;
        let revision = object.revision;
        if revision <= self.known_revision() {
            // The change was already received from another daemon.
            return;
        }
        match self.feed {
            Feed::Configuration => {
                if !deleted {
                    install_configuration(&self.context, &object);
                }
            }
            Feed::Upstreams => {
                self.on_upstream(&object, deleted);
                self.advance(revision);
            }
            Feed::Evacuations => {
                let zone: Arc<str> = Arc::from(object.name.as_str());
                let mut zones = self.context.roster.lock().evacuated_zones().clone();
                if deleted || object.deleting {
                    zones.remove(&zone);
                } else {
                    zones.insert(zone);
                }
                self.set_evacuated_zones(zones);
                self.advance(revision);
            }
            Feed::Daemons => {
                if !deleted {
                    self.on_daemon(&object);
                }
            }
        }
    }

    fn on_upstream(&mut self, object: &Object, deleted: bool) {
        let context = &self.context;
        let now = Instant::now();
        let entry = if deleted {
            None
        } else {
            decode_upstream(object)
        };
        let Some(entry) = entry else {
            log::info!(upstream = object.name.as_str(), revision = object.revision; "upstream removed");
            context.roster.lock().remove(&object.name, now);
            context.allowance.lock().remove(&object.name);
            context.health.lock().remove(&object.name);
            context.crashes.lock().upstream_down(&object.name, now);
            return;
        };
        log::info!(
            upstream = entry.id.as_ref(),
            service = entry.service.as_ref(),
            phase:? = entry.phase,
            cold_ms = entry.cold_ms,
            revision = object.revision;
            "upstream changed"
        );
        context.roster.lock().upsert(entry, now);
        context.queue.wake_all();
    }

    fn set_evacuated_zones(&self, zones: Set<Arc<str>>) {
        log::info!(zones:? = zones; "evacuated zones changed");
        self.context
            .roster
            .lock()
            .set_evacuated_zones(zones, Instant::now());
        self.context.queue.wake_all();
    }

    /// Returns the newest revision of the feed that this daemon has applied.
    fn known_revision(&self) -> u64 {
        let versions = self.context.versions.lock();
        match self.feed {
            Feed::Upstreams => versions.upstreams,
            Feed::Evacuations => versions.evacuations,
            Feed::Configuration | Feed::Daemons => 0,
        }
    }

    fn advance(&self, revision: u64) {
        let mut versions = self.context.versions.lock();
        match self.feed {
            Feed::Upstreams => versions.upstreams = versions.upstreams.max(revision),
            Feed::Evacuations => versions.evacuations = versions.evacuations.max(revision),
            Feed::Configuration | Feed::Daemons => {}
        }
        drop(versions);
        self.context.urgent.notify_one();
        self.context.changed.notify_one();
    }

    fn on_daemon(&self, object: &Object) {
        match daemon::decode(object) {
            Ok(address) => self.peers.add(&object.name, address),
            Err(error) => {
                log::warn!(host = object.name.as_str(), error:%; "invalid daemon entry");
            }
        }
    }
}

/// Waits until this daemon has lagged behind another one for [`LAG_MAX`].
async fn wait_until_behind(context: &Context, feed: Feed) {
    let mut peer_versions = context.peer_versions.subscribe();
    loop {
        let ahead = |peer: u64, own: u64| peer > own;
        let is_behind = || {
            let own = *context.versions.lock();
            let newest = *context.peer_versions.borrow();
            match feed {
                Feed::Configuration => ahead(newest.configuration, own.configuration),
                Feed::Upstreams => ahead(newest.upstreams, own.upstreams),
                Feed::Evacuations => ahead(newest.evacuations, own.evacuations),
                Feed::Daemons => false,
            }
        };
        if is_behind() {
            sleep(LAG_MAX).await;
            if is_behind() {
                return;
            }
        }
        if peer_versions.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Activates the configuration in `object` if it is newer than the active one.
pub(crate) fn install_configuration(context: &Context, object: &Object) {
    if object.name == config::NAME {
        install_spec(context, &object.spec);
    }
}

/// Activates a configuration in the store's format if it is newer than the active one.
pub(crate) fn install_spec(context: &Context, spec: &Value) {
    match config::decode(spec) {
        Ok(table) => {
            let version = table.version();
            if context.install_table(table, Arc::from(spec.to_string())) {
                log::info!(version; "configuration activated");
            }
        }
        Err(error) => log::error!(error:%; "invalid configuration"),
    }
}

fn decode_upstream(object: &Object) -> Option<primrosehoist::state::roster::Upstream> {
    upstream::decode(object)
        .inspect_err(|error| {
            log::warn!(upstream = object.name.as_str(), error:%; "invalid upstream entry skipped");
        })
        .ok()
}
