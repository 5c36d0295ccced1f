//! Follows the platform's store: the configuration, the upstreams, the zones out of service and
//! the other daemons.

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
use super::links::Peers;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The time between two questions whether the store answers, before jitter. A change must be in
/// force within a few seconds of the store's return.
const PING_EVERY: Duration = Duration::from_secs(1);

/// The pause after a call that failed, before jitter.
const PAUSE_FIRST: Duration = Duration::from_millis(150);

/// The longest pause after calls that failed, before jitter.
const PAUSE_MAX: Duration = Duration::from_millis(1200);

/// Absences of the store of this length may let entries lapse.
const ABSENCE: Duration = Duration::from_secs(1);

/// How long this daemon may be behind another one before it asks the store anew: the change is
/// usually on its way.
const BEHIND_MAX: Duration = Duration::from_millis(400);

/// One kind of object that is followed.
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
                follower.regained();
                follower.on_list(objects, revision);
                revision
            }
            Err(error) => {
                follower.failed(&error).await;
                continue;
            }
        };
        if feed == Feed::Daemons {
            // Each daemon names itself to those that it knows, and they learn of it.
            return;
        }
        let context = Arc::clone(&follower.context);
        tokio::select! {
            () = follower.watch(revision) => {}
            () = context.follows_is(false) => context.follows_is(true).await,
        }
    }
}

/// Asks now and then whether the store answers, for as long as the process runs.
///
/// A watch that the store lost during an outage is silent like one without a change. So when the
/// store answers again, all watches begin anew.
pub(crate) async fn ping(context: Arc<Context>) {
    let mut lost_at: Option<Instant> = None;
    loop {
        context.follows_is(true).await;
        let share = 0.5 + f64::from(rand::random::<u16>()) / f64::from(u16::MAX);
        sleep(PING_EVERY.mul_f64(share)).await;
        let answered = context.store.load().ping(upstream::EVACUATION_KIND).await;
        match (answered, lost_at) {
            (Ok(()), None) | (Err(_), Some(_)) => {}
            (Ok(()), Some(since)) => {
                let away_ms = since.elapsed().as_millis() as u64;
                log::info!(away_ms; "store answers again; watches begin anew");
                lost_at = None;
                context.store_returns.send_modify(|returns| *returns += 1);
            }
            (Err(error), None) => {
                log::warn!(error:%; "store does not answer");
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
    /// Watches until the history is gone.
    async fn watch(&mut self, start: u64) {
        let mut revision = start;
        let mut returns = self.context.store_returns.subscribe();
        loop {
            let context = Arc::clone(&self.context);
            let store = context.store.load_full();
            let watched = tokio::select! {
                watched = store.watch(self.feed.kind(), revision, WATCH_WAIT) => watched,
                () = behind(&context, self.feed) => {
                    log::info!(kind = self.feed.kind(), revision; "watch is behind other daemons");
                    store.close_idle();
                    return;
                }
                Ok(()) = returns.changed() => continue,
            };
            match watched {
                Ok(changes) => {
                    self.regained();
                    for event in changes.events {
                        self.on_event(event);
                    }
                    revision = revision.max(changes.revision);
                }
                Err(Error::Gone { .. }) => {
                    log::info!(kind = self.feed.kind(), revision; "history is gone; listing again");
                    return;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn regained(&mut self) {
        self.failures = 0;
        self.context.in_contact();
        if self.feed == Feed::Upstreams {
            self.context.set_store_answers(true);
        }
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let away = lost_at.elapsed();
        log::info!(kind = self.feed.kind(), away_ms = away.as_millis() as u64; "store regained");
        if self.feed == Feed::Upstreams && away >= ABSENCE {
            self.context
                .roster
                .lock()
                .platform_reconnected(Instant::now());
        }
    }

    async fn failed(&mut self, error: &Error) {
        if self.lost_at.is_none() {
            if self.feed == Feed::Upstreams {
                self.context.set_store_answers(false);
            }
            self.lost_at = Some(Instant::now());
            log::warn!(kind = self.feed.kind(), error:%; "store lost");
        }
        let full = (PAUSE_FIRST * (1 << self.failures.min(4))).min(PAUSE_MAX);
        self.failures += 1;
        let share = 0.5 + f64::from(rand::random::<u16>()) / f64::from(u16::MAX) / 2.0;
        sleep(full.mul_f64(share)).await;
    }

    fn on_list(&mut self, objects: Vec<Object>, revision: u64) {
        let newest = objects.iter().map(|object| object.revision).max();
        match self.feed {
            Feed::Configuration => {
                for object in &objects {
                    accept_configuration(&self.context, object);
                }
            }
            Feed::Upstreams => {
                let upstreams = objects.iter().filter_map(readable).collect();
                let context = &self.context;
                context.roster.lock().replace(upstreams, Instant::now());
                context.listed.store(true, Ordering::Release);
                // The list's own revision also counts changes of other kinds. Other daemons would
                // take it for a change that they missed.
                self.advance(newest.unwrap_or(0));
                context.waiting.wake();
            }
            Feed::Evacuations => {
                let zones = objects.into_iter().filter(|object| !object.deleting);
                self.apply_zones(zones.map(|object| Arc::from(object.name)).collect());
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
        if revision <= self.known() {
            // Another daemon told of the change before the store did.
            return;
        }
        match self.feed {
            Feed::Configuration => {
                if !deleted {
                    accept_configuration(&self.context, &object);
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
                self.apply_zones(zones);
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
        let entry = if deleted { None } else { readable(object) };
        let Some(entry) = entry else {
            log::info!(upstream = object.name.as_str(), revision = object.revision; "upstream gone");
            context.roster.lock().remove(&object.name, now);
            context.allowance.lock().remove(&object.name);
            context.trust.lock().forget(&object.name);
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
        context.waiting.wake();
    }

    fn apply_zones(&self, zones: Set<Arc<str>>) {
        log::info!(zones:? = zones; "zones out of service");
        self.context
            .roster
            .lock()
            .set_evacuated_zones(zones, Instant::now());
        self.context.waiting.wake();
    }

    /// Returns the newest revision that is known of the feed.
    fn known(&self) -> u64 {
        let horizon = self.context.horizon.lock();
        match self.feed {
            Feed::Upstreams => horizon.upstreams,
            Feed::Evacuations => horizon.evacuations,
            Feed::Configuration | Feed::Daemons => 0,
        }
    }

    fn advance(&self, revision: u64) {
        let mut horizon = self.context.horizon.lock();
        match self.feed {
            Feed::Upstreams => horizon.upstreams = horizon.upstreams.max(revision),
            Feed::Evacuations => horizon.evacuations = horizon.evacuations.max(revision),
            Feed::Configuration | Feed::Daemons => {}
        }
        drop(horizon);
        self.context.urgent.notify_one();
        self.context.changed.notify_one();
    }

    fn on_daemon(&self, object: &Object) {
        match daemon::decode(object) {
            Ok(address) => self.peers.add(&object.name, address),
            Err(error) => {
                log::warn!(host = object.name.as_str(), error:%; "daemon's entry cannot be read");
            }
        }
    }
}

/// Waits until another daemon has known more for too long.
async fn behind(context: &Context, feed: Feed) {
    let mut heard = context.heard.subscribe();
    loop {
        let ahead = |heard: u64, own: u64| heard > own;
        let is_behind = || {
            let own = *context.horizon.lock();
            let other = *context.heard.borrow();
            match feed {
                Feed::Configuration => ahead(other.configuration, own.configuration),
                Feed::Upstreams => ahead(other.upstreams, own.upstreams),
                Feed::Evacuations => ahead(other.evacuations, own.evacuations),
                Feed::Daemons => false,
            }
        };
        if is_behind() {
            sleep(BEHIND_MAX).await;
            if is_behind() {
                return;
            }
        }
        if heard.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Puts the configuration that `object` holds into force if it is newer.
pub(crate) fn accept_configuration(context: &Context, object: &Object) {
    if object.name == config::NAME {
        accept_specification(context, &object.spec);
    }
}

/// Puts a configuration in the format of the store into force if it is newer.
pub(crate) fn accept_specification(context: &Context, spec: &Value) {
    match config::decode(spec) {
        Ok(table) => {
            let version = table.version();
            if context.accept_table(table, Arc::from(spec.to_string())) {
                log::info!(version; "configuration in force");
            }
        }
        Err(error) => log::error!(error:%; "configuration unreadable"),
    }
}

fn readable(object: &Object) -> Option<primrosehoist::state::roster::Upstream> {
    upstream::decode(object)
        .inspect_err(|error| {
            log::warn!(upstream = object.name.as_str(), error:%; "upstream's entry left out");
        })
        .ok()
}
