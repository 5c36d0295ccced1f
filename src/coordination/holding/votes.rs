//! What this daemon has promised to the holders of its zone.
//!
//! A holder that cannot learn from the platform whether it still holds an upstream lives on
//! promises of a majority of its roster. A taker, after its takeover is recorded, needs the
//! agreement of a blocking set, which shares a member with each majority. That member agrees only
//! when its promise has run out, and gives none for the old epoch afterwards.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::holding::{Known, LEASE, MARGIN};
use crate::coordination::promise::{Answer, Holding, Promise, Takeover};
use crate::state::map::Map;
use crate::state::name;

/// The promises given, and the epochs below which none is given any more.
#[derive(Debug)]
pub(crate) struct Votes {
    started_at: Instant,
    given: Map<name::Upstream, Given>,
    floors: Map<name::Upstream, u64>,
}

/// A promise not to agree to a takeover.
#[derive(Debug)]
struct Given {
    epoch: u64,
    until: Instant,
}

impl Votes {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            given: Map::default(),
            floors: Map::default(),
        }
    }

    /// Gives the promises that `known`, read by this process, does not speak against.
    ///
    /// An earlier process of this host may have agreed to a takeover that this one does not know
    /// of. That takeover was recorded before, so a read by this process has shown it. An epoch
    /// above the one read is believed: the holder may have recorded it since.
    pub(crate) fn promise(
        &mut self,
        promise: &Promise,
        known: Option<&Known>,
        now: Instant,
    ) -> Answer {
        let Some(known) = known else {
            return Answer::default();
        };
        let mut answer = answer(known, &promise.holder, &promise.holdings, now);
        let duration = Duration::from_millis(promise.duration_ms).min(LEASE);
        for holding in &promise.holdings {
            let floor = self.floors.get(&holding.upstream).copied().unwrap_or(0);
            if !known.allows(holding, &promise.holder) || floor > holding.epoch {
                continue;
            }
            self.give(holding, now + duration);
            answer.agreed.push(holding.upstream.clone());
        }
        answer
    }

    fn give(&mut self, holding: &Holding, until: Instant) {
        let epoch = holding.epoch;
        let given = self
            .given
            .entry(holding.upstream.clone())
            .or_insert(Given { epoch, until });
        given.epoch = given.epoch.max(epoch);
        given.until = given.until.max(until);
    }

    /// Agrees to those takeovers that no promise of this daemon stands against.
    ///
    /// A process that has just started agrees to none until the promises that an earlier process
    /// of this host may have given have run out.
    pub(crate) fn takeover(
        &mut self,
        takeover: &Takeover,
        known: Option<&Known>,
        now: Instant,
    ) -> Answer {
        let mut answer = known
            .map(|known| answer(known, &takeover.taker, &takeover.holdings, now))
            .unwrap_or_default();
        if now < self.started_at + LEASE + MARGIN {
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
        let promised = self.given.get(&holding.upstream);
        if promised.is_some_and(|given| given.epoch < holding.epoch && now < given.until) {
            return false;
        }
        let floor = self.floors.entry(holding.upstream.clone()).or_insert(0);
        *floor = (*floor).max(holding.epoch);
        true
    }
}

/// Returns what was last read about the upstreams that `host` asks for.
///
/// An entry that nobody holds keeps its last epoch, so only entries that name the host, or that
/// others have taken since, are part of the answer.
fn answer(known: &Known, host: &name::Host, asked: &[Holding], now: Instant) -> Answer {
    let age = now.saturating_duration_since(known.begun);
    let entries = asked.iter().filter_map(|holding| {
        let entry = known.spec.holdings.get(&holding.upstream)?;
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
