//! Promises and takeover agreements given by this daemon.
//!
//! A holder that cannot learn from the platform whether it still holds an upstream extends its
//! lease by promises of a majority of its roster. A daemon whose takeover is recorded needs the
//! agreement of a blocking set, which shares a member with every majority. That member agrees only
//! after its promise has expired, and gives none for the old epoch afterwards.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::holding::{CLOCK_MARGIN, LEASE_DURATION, Snapshot};
use crate::coordination::promise::{Answer, Holding, Promise, Takeover};
use crate::state::map::Map;
use crate::state::name;

/// The promises given, and for each upstream the lowest epoch for which one may still be given.
#[derive(Debug)]
pub(crate) struct Votes {
    started_at: Instant,
    grants: Map<name::Upstream, Grant>,
    min_epochs: Map<name::Upstream, u64>,
}

/// A promise not to agree to a takeover.
#[derive(Debug)]
struct Grant {
    epoch: u64,
    until: Instant,
}

impl Votes {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            grants: Map::default(),
            min_epochs: Map::default(),
        }
    }

    /// Gives the requested promises that do not contradict `snapshot`, read by this process.
    ///
    /// An earlier process of this host may have agreed to a takeover that this process does not
    /// know of. That takeover was already recorded, so `snapshot` contains it. An epoch above the
    /// one in `snapshot` is accepted: the holder may have recorded it since.
    pub(crate) fn handle_promise(
        &mut self,
        promise: &Promise,
        snapshot: Option<&Snapshot>,
        now: Instant,
    ) -> Answer {
        let Some(snapshot) = snapshot else {
            return Answer::default();
        };
        let mut answer = answer(snapshot, &promise.holder, &promise.holdings, now);
        let duration = Duration::from_millis(promise.duration_ms).min(LEASE_DURATION);
        for holding in &promise.holdings {
            let min_epoch = self.min_epochs.get(&holding.upstream).copied().unwrap_or(0);
            if !snapshot.allows(holding, &promise.holder) || min_epoch > holding.epoch {
                continue;
            }
            self.add_grant(holding, now + duration);
            answer.agreed.push(holding.upstream.clone());
        }
        answer
    }

    fn add_grant(&mut self, holding: &Holding, until: Instant) {
        let epoch = holding.epoch;
        let grant = self
            .grants
            .entry(holding.upstream.clone())
            .or_insert(Grant { epoch, until });
        grant.epoch = grant.epoch.max(epoch);
        grant.until = grant.until.max(until);
    }

    /// Agrees to the takeovers that no unexpired promise of this daemon prevents.
    ///
    /// A newly started process agrees to none until all promises that an earlier process of this
    /// host may have given have expired.
    pub(crate) fn handle_takeover(
        &mut self,
        takeover: &Takeover,
        snapshot: Option<&Snapshot>,
        now: Instant,
    ) -> Answer {
        let mut answer = snapshot
            .map(|snapshot| answer(snapshot, &takeover.taker, &takeover.holdings, now))
            .unwrap_or_default();
        if now < self.started_at + LEASE_DURATION + CLOCK_MARGIN {
            return answer;
        }
        for holding in &takeover.holdings {
            if self.accept(holding, now) {
                answer.agreed.push(holding.upstream.clone());
            }
        }
        answer
    }

    fn accept(&mut self, holding: &Holding, now: Instant) -> bool {
        let promised = self.grants.get(&holding.upstream);
        if promised.is_some_and(|grant| grant.epoch < holding.epoch && now < grant.until) {
            return false;
        }
        let min_epoch = self.min_epochs.entry(holding.upstream.clone()).or_insert(0);
        *min_epoch = (*min_epoch).max(holding.epoch);
        true
    }
}

/// Returns the last known state of the upstreams that `host` asks about.
///
/// An entry without a holder keeps its last epoch, so the answer contains only entries held by
/// `host` and entries with a higher epoch than the one asked about.
fn answer(snapshot: &Snapshot, host: &name::Host, requested: &[Holding], now: Instant) -> Answer {
    let age = now.saturating_duration_since(snapshot.began_at);
    let entries = requested.iter().filter_map(|holding| {
        let entry = snapshot.spec.holdings.get(&holding.upstream)?;
        let held = entry.holder.as_ref() == Some(host);
        (held || entry.epoch > holding.epoch).then(|| Holding {
            upstream: holding.upstream.clone(),
            epoch: entry.epoch,
        })
    });
    Answer {
        agreed: Vec::new(),
        platform_age_ms: Some(age.as_millis() as u64 + 1),
        holdings: entries.collect(),
    }
}
