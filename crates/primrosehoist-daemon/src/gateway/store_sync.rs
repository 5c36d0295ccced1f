//! Follows the platform's store: the configuration, the upstreams and the evacuated zones.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::coordination::gossip::{Change, Update};
use primrosehoist::protocol::header;
use primrosehoist::protocol::snapshot::Compressed;
use primrosehoist::state::map::Set;
use primrosehoist::state::roster::RECONNECT_GRACE;
use primrosehoist::state::versions::{self, Revision};
use primrosehoist::transport::platform::Error;
use primrosehoist_platform::object::{Event, Object};
use primrosehoist_platform::store::{Cut, Freshness};
use primrosehoist_platform::{config, store, upstream};
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::context::Context;
use super::lookup;
use super::rejections::Reason;
use super::store_ping::Outage;
use super::upstream_changes::{apply_change, confirm_removal};

/// How long the store holds a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The backoff after the first failed call, before jitter.
const BACKOFF_MIN: Duration = Duration::from_millis(150);

/// The longest backoff after repeated failures, before jitter.
const BACKOFF_MAX: Duration = Duration::from_millis(1200);

/// The largest share by which jitter shortens backoffs and pauses, so that the daemons do not call the
/// store, or lose their watches, all in the same moment.
const JITTER: f64 = 0.5;

/// The shortest outage of the store in which entries may have expired.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// How long this daemon may lag behind another one before it lists from the store again. The change
/// usually arrives within this time.
const LAG_MAX: Duration = Duration::from_millis(400);

/// The longest pause after changes before the next watch, before jitter. Changes often come in bursts, and
/// each answered watch is a call.
const WATCH_PAUSE_MAX: Duration = Duration::from_millis(250);

/// How long a watch may take to report what another response of the store has already included.
const WATCH_LAG_MAX: Duration = Duration::from_millis(250);

/// The longest time for which a starting daemon waits for the list of daemons, which tells whether it
/// is assigned to follow the store.
const JOIN_WAIT_MAX: Duration = Duration::from_millis(1500);

/// The interval between attempts to read the rest of a list that is cut.
pub(super) const CUT_LIST_PERIOD: Duration = Duration::from_secs(2);

/// How long a starting daemon that is not assigned to follow the store waits for the state of other
/// daemons before it reads the store itself.
const PEER_STATE_WAIT: Duration = Duration::from_secs(1);

/// A kind of object that is followed in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feed {
    Configuration,
    Upstreams,
    Evacuations,
}

impl Feed {
    pub(super) fn kind(self) -> &'static str {
        match self {
            Self::Configuration => config::KIND,
            Self::Upstreams => upstream::KIND,
            Self::Evacuations => upstream::EVACUATION_KIND,
        }
    }
}

/// Waits until this daemon should read the store at startup: it is assigned to follow it, or has got
/// no state from other daemons.
async fn wait_to_start(context: &Context) {
    if timeout(JOIN_WAIT_MAX, context.wait_joined()).await.is_err() {
        return;
    }
    let follows = context.wait_follows_store(true);
    // After the timeout, it lists once if nothing was received.
    if timeout(PEER_STATE_WAIT, follows).await.is_err() && context.is_informed() {
        context.wait_follows_store(true).await;
    }
}

/// Follows one kind of object for as long as the process runs.
pub(crate) async fn follow(context: Arc<Context>, feed: Feed) {
    let mut follower = Follower {
        context,
        feed,
        failures: 0,
        lost_at: None,
        recovered_at: None,
        may_have_lapsed: false,
        era: None,
        relist_at: None,
        lapse_horizon: Revision::default(),
        complete_to: Revision::default(),
    };
    wait_to_start(&follower.context).await;
    loop {
        let revision = match follower.list().await {
            Ok(revision) => revision,
            Err(error) => {
                follower
                    .context
                    .obstacles
                    .record_failure(feed.kind(), &error);
                follower.on_error(&error).await;
                continue;
            }
        };
        let context = Arc::clone(&follower.context);
        tokio::select! {
            () = follower.watch(revision) => {}
            () = context.wait_follows_store(false) => context.wait_follows_store(true).await,
        }
    }
}

struct Follower {
    context: Arc<Context>,
    feed: Feed,
    failures: u32,
    lost_at: Option<Instant>,
    /// When the store was last known to be back after an outage.
    recovered_at: Option<Instant>,
    /// Whether entries may have expired since the last list or change.
    may_have_lapsed: bool,
    /// The era of the store when it was last listed.
    era: Option<u64>,
    /// When to list again what the store may have lost.
    relist_at: Option<Instant>,
    /// The store revision up to which removals may be of entries that expired during an outage.
    lapse_horizon: Revision,
    /// The store revision up to which all changes of the feed have been received.
    complete_to: Revision,
}

/// What a list may lack after a time without the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gap {
    /// Nothing.
    None,
    /// Entries that expired during an outage.
    Expired,
    /// Whatever was written after the copy from which the store was restored.
    Restored,
}

impl Follower {
    /// Lists the objects and applies the list. Returns the revision from which to watch.
    ///
    /// # Errors
    ///
    /// Returns an error if no list can be read. What was read of one that broke off is applied if nothing is
    /// known yet.
    async fn list(&mut self) -> Result<Revision, Error> {
        let kind = self.feed.kind();
        let mut list = self.context.store.load().list(kind).await?;
        let broke_off = list.cut.as_ref().is_some_and(|cut| !cut.is_lasting());
        if broke_off && !self.is_first() {
            return match list.cut {
                Some(cut) => Err(cut.cause),
                None => Ok(list.revision),
            };
        }
        record_list(&self.context, kind, list.cut.as_ref());
        let unknown = match &list.cut {
            Some(_) => lookup::complete(&self.context, self.feed, &mut list.objects).await,
            None => Set::default(),
        };
        let failures = self.failures;
        let may_have_lapsed = std::mem::take(&mut self.may_have_lapsed);
        let gap = match self.on_success(list.revision) {
            Gap::None if may_have_lapsed => Gap::Expired,
            gap => gap,
        };
        self.on_list(list.objects, &unknown, list.revision, gap);
        match list.cut {
            Some(cut) if broke_off => {
                self.failures = failures;
                Err(cut.cause)
            }
            Some(_) => {
                self.relist_at = Some(Instant::now() + CUT_LIST_PERIOD);
                Ok(list.revision)
            }
            None => Ok(list.revision),
        }
    }

    /// Returns whether nothing of the kind is known yet.
    fn is_first(&self) -> bool {
        match self.feed {
            Feed::Configuration => self.context.table.load().is_none(),
            Feed::Upstreams => !self.context.has_upstreams(),
            Feed::Evacuations => !self.context.has_evacuations(),
        }
    }

    /// Watches from revision `start` until the objects have to be listed again: the store has
    /// discarded the history, or other daemons have newer state.
    async fn watch(&mut self, start: Revision) {
        let mut revision = start;
        let mut recoveries = self.context.store_recoveries.subscribe();
        loop {
            let context = Arc::clone(&self.context);
            let store = context.store.load_full();
            let is_cut = context.obstacles.is_cut(self.feed.kind());
            let watched = tokio::select! {
                watched = store.watch(self.feed.kind(), revision, WATCH_TIMEOUT) => watched,
                loss = wait_until_lost(&context, &store, self.feed, revision) => {
                    // Its connection may be dead, and so may others.
                    store.close_idle();
                    match loss {
                        Loss::Watch => continue,
                        Loss::History => return,
                    }
                }
                // Others may know what a cut list lacks; it is requested from them.
                () = wait_until_behind(&context, self.feed), if !is_cut => {
                    log::info!(kind = self.feed.kind(), revision:?; "watch lags behind other daemons; listing again");
                    store.close_idle();
                    return;
                }
                Ok(()) = recoveries.changed() => {
                    let outage = *recoveries.borrow_and_update();
                    self.on_recovery(outage);
                    continue;
                }
                () = wait_until(self.relist_at) => {
                    self.relist_at = None;
                    return;
                }
            };
            match watched {
                Ok((events, latest)) => {
                    self.may_have_lapsed = false;
                    self.on_success(latest);
                    // Changes of which none is readable count, too.
                    let any = !events.is_empty() || latest > revision;
                    self.on_events(events, latest.era);
                    revision = revision.max(latest);
                    if any {
                        sleep(backoff::shorten(WATCH_PAUSE_MAX, JITTER)).await;
                    }
                }
                Err(Error::Gone { .. }) => {
                    log::info!(kind = self.feed.kind(), revision:?; "history discarded; listing again");
                    return;
                }
                Err(error) => self.on_error(&error).await,
            }
        }
    }

    /// Records a response of the store as of `revision`. Returns what it may lack.
    fn on_success(&mut self, revision: Revision) -> Gap {
        self.failures = 0;
        self.context.record_contact();
        if self.feed == Feed::Upstreams {
            self.context.set_store_reachable(true);
        }
        self.context.record_revision(revision, Freshness::Latest);
        // Before its first response, this daemon may have got state of an earlier era from others.
        let known = Some(self.known_revision()).filter(|known| *known != Revision::default());
        let era = self.era.or(known.map(|known| known.era));
        let is_restored = era.is_some_and(|era| era < revision.era);
        let is_first = self.era.replace(revision.era).is_none();
        let lost_at = self.lost_at.take().into_iter();
        let lost_at = lost_at.chain(self.lost_by_pings()).min();
        let outage = lost_at.map(|lost_at| lost_at.elapsed());
        if let Some(outage) = outage {
            self.recovered_at = Some(Instant::now());
            log::info!(kind = self.feed.kind(), away_ms = outage.as_millis() as u64; "store connection recovered");
        }
        let gap = if is_restored {
            log::warn!(kind = self.feed.kind(), era = revision.era; "store was restored from a copy");
            Gap::Restored
        } else if outage.is_some_and(|outage| outage >= OUTAGE_MIN)
            || is_first && self.context.has_started_by_seeds()
        {
            // The outage may have begun long before this daemon.
            Gap::Expired
        } else {
            Gap::None
        };
        if gap != Gap::None && self.feed == Feed::Upstreams {
            self.lapse_horizon = self.lapse_horizon.max(revision);
            let mut roster = self.context.roster.lock();
            roster.platform_reconnected(Instant::now());
        }
        gap
    }

    /// Records that an outage is over that pings noticed. A watch that waits does not notice it.
    fn on_recovery(&mut self, outage: Option<Outage>) {
        let Some(lost_at) = self.lost_by_pings() else {
            return;
        };
        // The list of a store that was restored tells what it lacks.
        if let Some(outage) = outage.filter(|outage| self.era == Some(outage.revision.era)) {
            self.lost_at.get_or_insert(lost_at);
            self.may_have_lapsed = self.on_success(outage.revision) != Gap::None;
        }
    }

    /// Returns since when pings have got no response, now or until a moment ago, if this follower has had none
    /// since then either.
    fn lost_by_pings(&self) -> Option<Instant> {
        let current = *self.context.store_silence.lock();
        let last = *self.context.store_recoveries.borrow();
        // Later, upstreams have had the time to return.
        let last = last.filter(|outage| outage.ended_at.elapsed() < RECONNECT_GRACE);
        let silence = current.or(last.map(|outage| outage.silence))?;
        match self.recovered_at {
            Some(at) if silence.last <= at => None,
            Some(at) => Some(at.max(silence.since)),
            None => Some(silence.since),
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
        let delay = (BACKOFF_MIN * (1 << self.failures.min(4))).min(BACKOFF_MAX);
        self.failures += 1;
        sleep(backoff::shorten(delay, JITTER)).await;
    }

    /// Applies a list as of `revision`, which may lack what `gap` says. Of the objects named in `unknown`, what
    /// was known before holds.
    fn on_list(
        &mut self,
        objects: Vec<Object>,
        unknown: &Set<Arc<str>>,
        revision: Revision,
        gap: Gap,
    ) {
        let context = &self.context;
        self.complete_to = revision;
        if gap == Gap::Restored && self.feed == Feed::Evacuations {
            // The operator writes lost evacuations again.
            self.relist_at = Some(Instant::now() + RECONNECT_GRACE);
        }
        let is_empty = objects.is_empty();
        let numbers = objects.iter().map(|object| object.revision);
        let Some(mut version) = versions::after_list(revision, numbers, self.known_revision())
        else {
            log::info!(kind = self.feed.kind(), revision = revision.number, era = revision.era; "list is older than what other daemons reported; ignored");
            return;
        };
        let mut known_to_peers = Revision::default();
        match self.feed {
            Feed::Configuration => {
                for object in &objects {
                    install_configuration(context, object);
                }
            }
            Feed::Upstreams => {
                let mut upstreams: Vec<_> = objects
                    .iter()
                    .filter_map(|object| decode_upstream(context, object))
                    .collect();
                let mut roster = context.roster.lock();
                let kept = roster
                    .upstreams()
                    .filter(|upstream| unknown.contains(&upstream.id));
                upstreams.extend(kept.map(|upstream| upstream.as_ref().clone()));
                let upstreams = match gap {
                    Gap::Restored => roster.without_revived(upstreams),
                    Gap::None | Gap::Expired => upstreams,
                };
                let removed = roster.replace(upstreams, gap != Gap::None, Instant::now());
                drop(roster);
                // Other daemons have to learn of an empty list, too.
                if removed || is_empty {
                    version = revision;
                }
                let has_any = !context.roster.lock().is_empty();
                // Without any upstream, a cut list tells nothing.
                if has_any || !context.obstacles.is_cut(upstream::KIND) {
                    context.upstreams_listed.store(true, Ordering::Release);
                }
                known_to_peers = context.peer_versions.borrow().upstreams;
                context.queue.wake_all();
            }
            Feed::Evacuations => {
                let zones = objects.into_iter().filter(|object| !object.deleting);
                let mut zones: Set<_> = zones.map(|object| Arc::from(object.name)).collect();
                let known = context.roster.lock().evacuated_zones().clone();
                zones.extend(
                    known
                        .into_iter()
                        .filter(|zone| gap == Gap::Restored || unknown.contains(zone)),
                );
                if !context.roster.lock().evacuated_zones().is_subset(&zones) {
                    version = revision;
                }
                self.set_evacuated_zones(zones);
                context.evacuations_listed.store(true, Ordering::Release);
                known_to_peers = context.peer_versions.borrow().evacuations;
            }
        }
        if known_to_peers <= revision {
            version = version.max(known_to_peers);
        }
        // Others may know what a cut list lacks, so that they must stay ahead.
        if !context.obstacles.is_cut(self.feed.kind()) {
            self.advance(version);
        }
        log::info!(kind = self.feed.kind(), revision = revision.number, era = revision.era; "listed");
    }

    /// Applies changes in an era of the store, oldest first.
    fn on_events(&mut self, events: Vec<Event>, era: u64) {
        let since = self.complete_to;
        let mut changes = Vec::new();
        let tells_others = self.feed == Feed::Upstreams && !events.is_empty();
        for Event { object, deleted } in events {
            let revision = Revision {
                era,
                number: object.revision,
            };
            self.complete_to = self.complete_to.max(revision);
            // Otherwise, the change was already received from another daemon.
            let is_new = revision > self.known_revision();
            match self.feed {
                Feed::Configuration => {
                    if !deleted {
                        install_configuration(&self.context, &object);
                    }
                }
                Feed::Upstreams => {
                    let change = self.upstream_change(&object, deleted, revision);
                    match &change {
                        Some(change) if is_new => {
                            apply_change(&self.context, change, revision, Instant::now());
                        }
                        Some(change) => confirm_removal(&self.context, change, Instant::now()),
                        None => {}
                    }
                    if is_new {
                        self.advance(revision);
                    }
                    changes.extend(change);
                }
                Feed::Evacuations if is_new => {
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
                Feed::Evacuations => {}
            }
        }
        if tells_others {
            let update = Update {
                since,
                revision: self.complete_to,
                changes,
            };
            self.context.updates.lock().push(update);
            self.context.urgent.notify_one();
        }
    }

    /// Returns what changes with the entry of an upstream, or `None` if no upstream has such an id.
    fn upstream_change(
        &self,
        object: &Object,
        deleted: bool,
        revision: Revision,
    ) -> Option<Change> {
        let entry = if deleted {
            None
        } else {
            decode_upstream(&self.context, object)
        };
        if let Some(upstream) = entry {
            return Some(Change::Upsert(upstream));
        }
        if header::Text::try_from(object.name.as_str()).is_err() {
            return None;
        }
        let may_lapse = revision <= self.lapse_horizon;
        let roster = self.context.roster.lock();
        Some(Change::Remove {
            id: Arc::from(object.name.as_str()),
            left: if may_lapse {
                roster.grace_left(Instant::now())
            } else {
                Duration::ZERO
            },
        })
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
    fn known_revision(&self) -> Revision {
        let versions = self.context.versions.lock();
        match self.feed {
            Feed::Upstreams => versions.upstreams,
            Feed::Evacuations => versions.evacuations,
            Feed::Configuration => Revision::default(),
        }
    }

    fn advance(&self, revision: Revision) {
        let mut versions = self.context.versions.lock();
        match self.feed {
            Feed::Upstreams => versions.upstreams = versions.upstreams.max(revision),
            Feed::Evacuations => versions.evacuations = versions.evacuations.max(revision),
            Feed::Configuration => {}
        }
        drop(versions);
        self.context.urgent.notify_one();
        self.context.changed.notify_one();
    }
}

/// Waits until `at`, or forever if there is no time.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// What a watch that does not report changes has lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// The watch itself: the store has changes that it did not report.
    Watch,
    /// The history from which it started, so that the objects have to be listed.
    History,
}

/// Waits until a watch from `revision` has missed a change of its kind; returns what it has lost.
///
/// The watch has missed nothing up to the latest revision of the store if there is no change of its
/// kind up to there, which a stale response may tell as well.
async fn wait_until_lost(
    context: &Context,
    store: &store::Client,
    feed: Feed,
    revision: Revision,
) -> Loss {
    let kind = feed.kind();
    let mut confirmed = revision;
    loop {
        context.wait_later_revision(confirmed).await;
        sleep(WATCH_LAG_MAX).await;
        let latest = *context.store_revision.borrow();
        let stale = store.changes(kind, confirmed, Freshness::Stale).await;
        let changes = match stale {
            Ok((events, seen)) if seen >= latest => Ok((events, seen)),
            _ => store.changes(kind, confirmed, Freshness::Latest).await,
        };
        match changes {
            Ok((events, seen)) if events.is_empty() => confirmed = latest.max(seen),
            Ok((events, _)) => {
                log::warn!(kind, revision:? = confirmed, changes = events.len(); "watch was lost; restarting it");
                return Loss::Watch;
            }
            Err(Error::Gone { .. }) => {
                log::info!(kind, revision:? = confirmed; "history discarded; listing again");
                return Loss::History;
            }
            Err(error) => {
                log::info!(kind, error:%; "failed to confirm a watch");
                sleep(backoff::shorten(BACKOFF_MAX, JITTER)).await;
            }
        }
    }
}

/// Waits until this daemon has lagged behind another one for [`LAG_MAX`].
async fn wait_until_behind(context: &Context, feed: Feed) {
    let mut peer_versions = context.peer_versions.subscribe();
    loop {
        let is_behind = || {
            let own = *context.versions.lock();
            let newest = *context.peer_versions.borrow();
            match feed {
                Feed::Configuration => newest.configuration > own.configuration,
                Feed::Upstreams => newest.upstreams > own.upstreams,
                Feed::Evacuations => newest.evacuations > own.evacuations,
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
        install_spec(context, &object.spec, || {
            Compressed::new(&object.spec.to_string())
        });
    }
}

/// Activates a configuration in the store's format if it is newer than the active one. `compress`
/// returns the same configuration for other daemons.
pub(crate) fn install_spec<C>(context: &Context, spec: &Value, compress: C)
where
    C: FnOnce() -> Compressed,
{
    let active = context.table.load().as_ref().map(|table| table.version());
    // The entries that are skipped are logged once for each version.
    if config::version(spec).is_ok_and(|version| Some(version) <= active) {
        return;
    }
    match config::decode(spec) {
        Ok(table) => {
            let version = table.version();
            if context.install_table(table, compress) {
                log::info!(version; "configuration activated");
            }
        }
        Err(error) => log::error!(error:%; "invalid configuration"),
    }
}

/// Records a list of the store. Logs where it is cut, unless the one before was cut there too.
pub(crate) fn record_list(context: &Context, kind: &'static str, cut: Option<&Cut>) {
    let is_news = context.obstacles.record_list(kind, cut, &context.metrics);
    match cut {
        Some(Cut { after, cause }) if is_news => {
            log::warn!(kind, after = after.as_str(), error:% = cause; "list of the store is cut; using what was read");
        }
        None if is_news => log::info!(kind; "list of the store is complete"),
        _ => {}
    }
}

fn decode_upstream(
    context: &Context,
    object: &Object,
) -> Option<primrosehoist::state::roster::Upstream> {
    let decoded = upstream::decode(object).inspect_err(|error| {
        if let Some(unlogged) = context.reject(Reason::Upstream) {
            log::warn!(upstream = object.name.as_str(), error:%, unlogged; "invalid upstream entry skipped");
        }
    });
    decoded.ok()
}
