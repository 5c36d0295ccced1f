//! The registered upstreams and whether requests may be sent to them.
//!
//! The roster mirrors the platform's upstream entries and the zones that operators evacuated. While
//! the platform is unreachable, entries expire although their upstreams are alive. Right after it
//! reconnects, a missing entry therefore does not prove that its upstream is gone, and none returns
//! before it is reachable again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::{Map, Set};
use crate::state::occupancy::Key;
use crate::state::rate;

/// How long after the platform reconnects the entry of a live upstream may be missing because it
/// expired during the outage. The operators specify about two seconds; this is a little less, since
/// the bound on requests to an upstream that left may be as short.
pub const RECONNECT_GRACE: Duration = Duration::from_millis(1900);

/// The number of upstreams that have left and are still known.
const DEPARTED_MAX: usize = 1024;

/// How long an upstream must have been registered, and its zone in service, before it is assumed to
/// be warm. Upstreams stay cold for a few seconds.
pub const WARMUP_TIME: Duration = Duration::from_secs(6);

/// The lifecycle phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight, then shuts down.
    Draining,
}

/// An upstream as registered with the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id. A restarted upstream usually has a new one.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The listening address. Another upstream may reuse it after this one is gone.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u64,
    /// The lifecycle phase.
    pub phase: Phase,
    /// How long it stays cold after the entry was written, in milliseconds.
    pub cold_ms: u64,
    /// The start time of its process in Unix milliseconds, if the entry has it.
    pub started_ms: Option<u64>,
}

impl Upstream {
    /// Returns whether `other` describes the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.address == other.address
            && self.service == other.service
            && self.started_ms == other.started_ms
    }
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Arc<Upstream>,
    /// When the entry was last written.
    updated: Instant,
    /// If the entry is missing, until when its upstream is used nevertheless.
    missing_until: Option<Instant>,
    notices: Notices,
}

/// What an upstream has said of itself in its answers. It holds for the life of its process.
#[derive(Debug, Clone, Default)]
struct Notices {
    /// Whether it is about to leave.
    leaving: bool,
    /// Until when it wants no requests from this daemon.
    deferred_until: Option<Instant>,
    /// What is known of the limit that it names.
    limit: Option<rate::Record>,
    /// When the next permit under the limit is expected to be valid.
    next_permit: Option<Instant>,
}

/// An upstream that has left.
#[derive(Debug, Clone)]
struct Departed {
    upstream: Arc<Upstream>,
    notices: Notices,
}

impl Departed {
    /// Returns whether `other` describes the same process. Without a start time, it may be another one under
    /// the same id and address.
    fn is_certainly(&self, other: &Upstream) -> bool {
        other.started_ms.is_some() && self.upstream.is_same_process(other)
    }
}

impl Entry {
    /// Returns whether requests may be sent to the upstream at `now`; `clock` is
    /// [`Roster::grace_clock`].
    fn is_usable(&self, now: Instant, clock: Instant) -> bool {
        self.is_in_service(clock) && self.notices.deferred_until.is_none_or(|until| until <= now)
    }

    /// Returns the time until the next permit if the upstream names a limit.
    fn permit_wait(&self, now: Instant) -> Option<Duration> {
        let next = self.notices.next_permit.unwrap_or(now);
        self.limit().map(|_| next.saturating_duration_since(now))
    }

    /// Sets what is known of the limit; returns whether the limit has changed.
    fn set_limit(&mut self, record: Option<rate::Record>) -> bool {
        let before = self.limit();
        self.notices.limit = record;
        let changed = self.limit() != before;
        if changed {
            self.notices.next_permit = None;
        }
        changed
    }

    fn limit(&self) -> Option<rate::Limit> {
        self.notices.limit.and_then(|record| record.limit)
    }

    fn report(&self, record: &rate::Record, now: Instant) -> rate::Report {
        let key = Key::from(self.upstream.id.as_ref());
        record.report(key, self.upstream.started_ms.unwrap_or(0), now)
    }

    /// Returns whether the upstream accepts work, now or when its deferral is over; `clock` is
    /// [`Roster::grace_clock`].
    fn is_in_service(&self, clock: Instant) -> bool {
        self.upstream.phase == Phase::Ready
            && !self.notices.leaving
            && self.missing_until.is_none_or(|until| clock < until)
    }
}

/// The registered upstreams and the evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: Map<Arc<str>, Entry>,
    /// The ids of the entries.
    by_key: Map<Key, Arc<str>>,
    evacuated: Set<Arc<str>>,
    /// When zones returned to service.
    reinstated: Map<Arc<str>, Instant>,
    /// The upstreams that left last, the latest at the end.
    departed: VecDeque<Departed>,
    /// Until then, a missing entry does not prove that its upstream is gone.
    grace_until: Option<Instant>,
    /// Since when the platform is unreachable. Missing entries cannot return meanwhile, so that the times
    /// for which they are used stand still.
    away_since: Option<Instant>,
}

impl Roster {
    /// Replaces all entries by the complete list `upstreams` of the platform. `may_lapse` is whether
    /// entries may be missing because they expired during an outage. Returns whether an entry was
    /// removed or is missing now and was not before.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, may_lapse: bool, now: Instant) -> bool {
        let mut changed = false;
        for id in self.absent_from(&upstreams) {
            let is_missing = |entry: &Entry| entry.missing_until.is_some();
            if self.entries.get(&id).is_some_and(is_missing) {
                continue;
            }
            changed = true;
            if may_lapse {
                self.remove(&id, now);
            } else {
                self.discard(&id);
            }
        }
        for upstream in upstreams {
            self.upsert(upstream, now);
        }
        changed
    }

    /// Returns the list of a platform that was restored from a copy without what the copy revives:
    /// upstreams that have left are not listed, and those that drain still do.
    pub fn without_revived(&self, upstreams: Vec<Upstream>) -> Vec<Upstream> {
        let has_left = |upstream: &Upstream| {
            let mut departed = self.departed.iter();
            !self.entries.contains_key(&upstream.id)
                && departed.any(|departed| departed.upstream.is_same_process(upstream))
        };
        let upstreams = upstreams.into_iter().filter(|upstream| !has_left(upstream));
        let latest = upstreams.map(|upstream| {
            let known = self.entries.get(&upstream.id).map(|entry| &entry.upstream);
            let drains = known.is_some_and(|known| {
                known.phase == Phase::Draining && known.is_same_process(&upstream)
            });
            let phase = if drains {
                Phase::Draining
            } else {
                upstream.phase
            };
            Upstream { phase, ..upstream }
        });
        latest.collect()
    }

    /// Replaces all entries by those of another daemon. `missing` holds the ids of the ones that are
    /// missing, and for how long they are used nevertheless. One that is missing there and not known
    /// here has left, unless nothing is known here.
    pub fn restore(
        &mut self,
        upstreams: Vec<Upstream>,
        missing: &[(Arc<str>, Duration)],
        now: Instant,
    ) {
        let is_new = self.is_empty();
        for id in self.absent_from(&upstreams) {
            self.discard(&id);
        }
        let missing_ids: Set<&str> = missing.iter().map(|(id, _)| id.as_ref()).collect();
        for upstream in upstreams {
            let is_missing = missing_ids.contains(upstream.id.as_ref());
            if is_new || self.entries.contains_key(&upstream.id) || !is_missing {
                self.upsert(upstream, now);
            }
        }
        for (id, left) in missing {
            self.mark_missing(id, *left, now);
        }
    }

    /// Returns the ids of the entries that are not in `upstreams`.
    fn absent_from(&self, upstreams: &[Upstream]) -> Vec<Arc<str>> {
        let present: Set<&str> = upstreams
            .iter()
            .map(|upstream| upstream.id.as_ref())
            .collect();
        let ids = self.entries.keys();
        ids.filter(|id| !present.contains(id.as_ref()))
            .cloned()
            .collect()
    }

    /// Inserts or updates the entry of an upstream.
    pub fn upsert(&mut self, upstream: Upstream, now: Instant) {
        let id = Arc::clone(&upstream.id);
        if let Some(entry) = self.entries.get_mut(&id)
            && *entry.upstream == upstream
        {
            entry.missing_until = None;
            return;
        }
        let notices = self.notices(&upstream);
        self.by_key.insert(Key::from(id.as_ref()), Arc::clone(&id));
        let process = Arc::new(upstream);
        let entry = Entry {
            upstream: Arc::clone(&process),
            updated: now,
            missing_until: None,
            notices,
        };
        let former = self.entries.insert(id, entry);
        if let Some(former) = former.filter(|former| !former.upstream.is_same_process(&process)) {
            self.remember(former);
        }
    }

    /// Keeps what is known of an upstream that has left.
    fn remember(&mut self, entry: Entry) {
        let Entry {
            upstream, notices, ..
        } = entry;
        if self.departed.len() == DEPARTED_MAX {
            self.departed.pop_front();
        }
        self.departed.push_back(Departed { upstream, notices });
    }

    /// Returns what the process that `upstream` describes has said of itself. Its entry may have expired
    /// meanwhile.
    fn notices(&self, upstream: &Upstream) -> Notices {
        let known = self.entries.get(&upstream.id);
        if let Some(known) = known.filter(|known| known.upstream.is_same_process(upstream)) {
            return known.notices.clone();
        }
        let mut departed = self.departed.iter().rev();
        let departed = departed.find(|departed| departed.is_certainly(upstream));
        departed.map_or_else(Notices::default, |departed| departed.notices.clone())
    }

    /// Returns what the process that `upstream` describes has said of itself, to be changed, if the process
    /// is known.
    fn notices_mut(&mut self, upstream: &Upstream) -> Option<&mut Notices> {
        let known = self.entries.get_mut(&upstream.id);
        if let Some(known) = known.filter(|known| known.upstream.is_same_process(upstream)) {
            return Some(&mut known.notices);
        }
        let mut departed = self.departed.iter_mut().rev();
        let departed = departed.find(|departed| departed.is_certainly(upstream));
        departed.map(|departed| &mut departed.notices)
    }

    /// Removes an entry that may have expired during an outage of the platform. During the grace
    /// period after a reconnect, the entry of a ready upstream is only marked as missing.
    pub fn remove(&mut self, id: &str, now: Instant) {
        let left = self.grace_left(now);
        let is_ready = |entry: &Entry| entry.upstream.phase == Phase::Ready;
        if !left.is_zero() && self.entries.get(id).is_some_and(is_ready) {
            self.mark_missing(id, left, now);
        } else {
            self.discard(id);
        }
    }

    /// Marks an entry as missing. Its upstream is used for the time `left`, at most for
    /// [`RECONNECT_GRACE`], or until an earlier time at which it was marked before.
    pub fn mark_missing(&mut self, id: &str, left: Duration, now: Instant) {
        let until = self.grace_clock(now) + left.min(RECONNECT_GRACE);
        if let Some(entry) = self.entries.get_mut(id) {
            let missing_until = entry.missing_until.get_or_insert(until);
            *missing_until = until.min(*missing_until);
        }
    }

    /// Removes an entry whose upstream has left.
    pub fn discard(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.by_key.remove(&Key::from(id));
            self.remember(entry);
        }
    }

    /// Removes an entry if it is missing; returns whether it was.
    pub fn discard_missing(&mut self, id: &str) -> bool {
        let entry = self.entries.get(id);
        let is_missing = entry.is_some_and(|entry| entry.missing_until.is_some());
        if is_missing {
            self.discard(id);
        }
        is_missing
    }

    /// Starts the grace period after the platform was unreachable: for [`RECONNECT_GRACE`], a
    /// missing entry does not prove that its upstream is gone. It starts anew for the entries that were
    /// missing already.
    pub fn platform_reconnected(&mut self, now: Instant) {
        self.set_platform_reachable(true, now);
        let until = now + RECONNECT_GRACE;
        self.grace_until = Some(until);
        for missing_until in self.missing_times() {
            *missing_until = until;
        }
    }

    /// Records whether the platform is reachable. While it is not, the times for which missing entries
    /// are used stand still.
    pub fn set_platform_reachable(&mut self, is_reachable: bool, now: Instant) {
        if !is_reachable {
            self.away_since.get_or_insert(now);
        } else if let Some(since) = self.away_since.take() {
            let away = now.saturating_duration_since(since);
            for until in self.missing_times() {
                *until += away;
            }
            self.grace_until = self.grace_until.map(|until| until + away);
        }
    }

    fn missing_times(&mut self) -> impl Iterator<Item = &mut Instant> {
        let entries = self.entries.values_mut();
        entries.filter_map(|entry| entry.missing_until.as_mut())
    }

    /// Returns the time by which missing entries are given up: `now`, or since when the platform is
    /// unreachable.
    fn grace_clock(&self, now: Instant) -> Instant {
        self.away_since.map_or(now, |since| since.min(now))
    }

    /// Returns how long the grace period after a reconnect lasts.
    pub fn grace_left(&self, now: Instant) -> Duration {
        let now = self.grace_clock(now);
        let until = self.grace_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Removes the entries that are still missing after the grace period and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        let clock = self.grace_clock(now);
        let is_over = |entry: &Entry| entry.missing_until.is_some_and(|until| until <= clock);
        let entries = self.entries.iter();
        let missing: Vec<Arc<str>> = entries
            .filter(|(_, entry)| is_over(entry))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &missing {
            self.discard(id);
        }
        missing
    }

    /// Returns the ids of the missing entries, and for how long their upstreams are still used.
    pub fn missing(&self, now: Instant) -> Vec<(Arc<str>, Duration)> {
        let clock = self.grace_clock(now);
        let entries = self.entries.iter();
        let missing = entries.filter_map(|(id, entry)| {
            let left = entry.missing_until?.saturating_duration_since(clock);
            Some((Arc::clone(id), left))
        });
        missing.collect()
    }

    /// Records that the process that `upstream` describes is about to leave, so that it gets no more
    /// requests. Returns whether this is news.
    pub fn mark_leaving(&mut self, upstream: &Upstream) -> bool {
        let notices = self.notices_mut(upstream);
        notices.is_some_and(|notices| !std::mem::replace(&mut notices.leaving, true))
    }

    /// Records that another daemon reports processes that are about to leave. Returns the upstreams of
    /// which this is news.
    pub fn apply_leaving(&mut self, report: &[(Key, u64)]) -> Vec<Arc<Upstream>> {
        let reported = report.iter().filter_map(|(key, started_ms)| {
            let entry = self.entries.get(self.by_key.get(key)?)?;
            let is_same = entry.upstream.started_ms.unwrap_or(0) == *started_ms;
            (is_same && !entry.notices.leaving).then(|| Arc::clone(&entry.upstream))
        });
        let news: Vec<_> = reported.collect();
        for upstream in &news {
            self.mark_leaving(upstream);
        }
        news
    }

    /// Returns the processes that are about to leave, each with its start time, to be reported to
    /// other daemons.
    pub fn leaving(&self) -> Vec<(Key, u64)> {
        let leaving = self.entries.values().filter(|entry| entry.notices.leaving);
        leaving
            .map(|entry| &entry.upstream)
            .map(|upstream| {
                (
                    Key::from(upstream.id.as_ref()),
                    upstream.started_ms.unwrap_or(0),
                )
            })
            .collect()
    }

    /// Records that the process that `upstream` describes wants no requests from this daemon until the
    /// time `until`, or until a later one that is known.
    pub fn defer(&mut self, upstream: &Upstream, until: Instant) {
        if let Some(notices) = self.notices_mut(upstream) {
            notices.deferred_until = notices.deferred_until.max(Some(until));
        }
    }

    /// Records what an answer of the process that `upstream` describes says of its limit. The request
    /// was sent at `sent`. Returns whether the limit has changed.
    pub fn note_limit(
        &mut self,
        upstream: &Upstream,
        notice: rate::Notice,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let entry = self.entries.get_mut(&upstream.id);
        let Some(entry) = entry.filter(|entry| entry.upstream.is_same_process(upstream)) else {
            return false;
        };
        entry.set_limit(rate::Record::after_answer(
            entry.notices.limit,
            notice,
            sent,
            now,
        ))
    }

    /// Records that another daemon reports the limits of upstreams. Returns the upstreams whose limits
    /// have changed.
    pub fn apply_limits(&mut self, reports: &[rate::Report], now: Instant) -> Vec<Arc<Upstream>> {
        let mut changed = Vec::new();
        for report in reports {
            let id = self.by_key.get(&report.upstream);
            let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) else {
                continue;
            };
            if entry.upstream.started_ms.unwrap_or(0) != report.started_ms {
                continue;
            }
            if entry.set_limit(rate::Record::after_report(entry.notices.limit, report, now)) {
                changed.push(Arc::clone(&entry.upstream));
            }
        }
        changed
    }

    /// Returns the limits to be reported to other daemons.
    pub fn recent_limits(&self, now: Instant) -> Vec<rate::Report> {
        let entries = self.entries.values();
        let reports = entries.filter_map(|entry| {
            let record = entry
                .notices
                .limit
                .filter(|record| record.is_reported(now))?;
            Some(entry.report(&record, now))
        });
        reports.collect()
    }

    /// Returns the limit that the process that `upstream` describes names, as reported to other daemons,
    /// or `None` if it has none.
    pub fn limit(&self, upstream: &Upstream, now: Instant) -> Option<rate::Report> {
        let entry = self.entries.get(&upstream.id)?;
        let record = entry
            .notices
            .limit
            .filter(|record| record.limit.is_some())?;
        let is_same = entry.upstream.is_same_process(upstream);
        is_same.then(|| entry.report(&record, now))
    }

    /// Returns the newest known limit of the upstream that `report` concerns.
    pub fn newest_limit(&mut self, report: &rate::Report, now: Instant) -> Option<rate::Limit> {
        self.apply_limits(&[*report], now);
        let id = self.by_key.get(&report.upstream);
        let entry = id.and_then(|id| self.entries.get(id));
        let entry =
            entry.filter(|entry| entry.upstream.started_ms.unwrap_or(0) == report.started_ms);
        entry.map_or(report.limit, Entry::limit)
    }

    /// Records that the next permit for the process that `upstream` describes is valid at `at`.
    pub fn expect_permit(&mut self, upstream: &Upstream, at: Instant) {
        let entry = self.entries.get_mut(&upstream.id);
        if let Some(entry) = entry.filter(|entry| entry.upstream.is_same_process(upstream)) {
            entry.notices.next_permit = Some(at);
        }
    }

    /// Returns the expected time until the next permit for an upstream, or `None` if it names no limit.
    pub fn permit_wait(&self, id: &str, now: Instant) -> Option<Duration> {
        self.entries.get(id)?.permit_wait(now)
    }

    /// Returns whether the upstream is to be avoided because it recently named a limit.
    pub fn is_limit_confirmed(&self, id: &str, now: Instant) -> bool {
        let record = self.entries.get(id).and_then(|entry| entry.notices.limit);
        record.is_some_and(|record| record.limit.is_some() && record.is_confirmed(now))
    }

    /// Returns when a request to `service` that can wait for `patience` may get a permit, if all its
    /// upstreams name limits and it gets none now.
    pub fn permits_at(&self, service: &str, patience: Duration, now: Instant) -> Option<Instant> {
        let waits = self
            .in_service(service, now)
            .map(|entry| entry.permit_wait(now).unwrap_or_default());
        let wait = waits.min()?;
        (wait > patience).then(|| now + wait - patience)
    }

    /// Returns the entries of the upstreams of `service` that get requests now or when their deferral is
    /// over.
    fn in_service<'a>(&'a self, service: &'a str, now: Instant) -> impl Iterator<Item = &'a Entry> {
        let clock = self.grace_clock(now);
        self.entries.values().filter(move |entry| {
            entry.upstream.service.as_ref() == service
                && entry.is_in_service(clock)
                && !self.evacuated.contains(&entry.upstream.zone)
        })
    }

    /// Returns when the first upstream of `service` accepts work again, if all that are in service have
    /// deferred requests.
    pub fn reopens_at(&self, service: &str, now: Instant) -> Option<Instant> {
        let entries = self.in_service(service, now);
        let reopens_at = entries
            .map(|entry| entry.notices.deferred_until.unwrap_or(now))
            .min();
        reopens_at.filter(|at| now < *at)
    }

    /// Sets the evacuated zones.
    pub fn set_evacuated_zones(&mut self, zones: Set<Arc<str>>, now: Instant) {
        for zone in self.evacuated.difference(&zones) {
            self.reinstated.insert(Arc::clone(zone), now);
        }
        self.evacuated = zones;
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> &Set<Arc<str>> {
        &self.evacuated
    }

    /// Returns whether requests may be sent to the process that `upstream` describes.
    pub fn is_routable(&self, upstream: &Upstream, now: Instant) -> bool {
        let clock = self.grace_clock(now);
        let is_usable =
            |entry: &Entry| entry.is_usable(now, clock) && entry.upstream.is_same_process(upstream);
        self.entries.get(&upstream.id).is_some_and(is_usable)
            && !self.evacuated.contains(&upstream.zone)
    }

    /// Returns the upstreams of `service` to which requests may be sent.
    pub fn candidates<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        let clock = self.grace_clock(now);
        self.entries
            .values()
            .filter(move |entry| {
                entry.upstream.service.as_ref() == service
                    && entry.is_usable(now, clock)
                    && !self.evacuated.contains(&entry.upstream.zone)
            })
            .map(|entry| &entry.upstream)
    }

    /// Returns the zone of the upstream with this key.
    pub fn zone(&self, key: Key) -> Option<&Arc<str>> {
        let entry = self.entries.get(self.by_key.get(&key)?)?;
        Some(&entry.upstream.zone)
    }

    /// Returns whether the upstream is still cold according to its entry.
    pub fn is_cold(&self, id: &str, now: Instant) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            let cold_until = entry.updated + Duration::from_millis(entry.upstream.cold_ms);
            now < cold_until
        })
    }

    /// Returns whether the upstream may be cold: its entry says so, it was registered or updated
    /// less than [`WARMUP_TIME`] ago, its zone returned to service less than that ago, or it is
    /// unknown.
    pub fn may_be_cold(&self, id: &str, now: Instant) -> bool {
        self.is_cold(id, now)
            || self.entries.get(id).is_none_or(|entry| {
                let reinstated = self.reinstated.get(&entry.upstream.zone);
                let is_past_warmup = |since: Instant| since + WARMUP_TIME <= now;
                !is_past_warmup(entry.updated)
                    || reinstated.is_some_and(|since| !is_past_warmup(*since))
            })
    }

    /// Returns the registered upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Returns all registered upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the number of registered upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
