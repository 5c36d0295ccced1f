//! Pings the platform's store: notices outages, and asks for the latest revision.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::state::versions::Revision;
use primrosehoist::transport::platform::Error;
use primrosehoist_platform::store::Freshness;
use primrosehoist_platform::upstream;
use tokio::time::{Instant, sleep};

use super::context::Context;

/// A time in which pings got no response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Silence {
    /// When the first of the pings was sent.
    pub(super) since: Instant,
    /// When the last one was sent.
    pub(super) last: Instant,
}

/// An outage of the store that is over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outage {
    pub(super) silence: Silence,
    /// When the store responded again.
    pub(super) ended_at: Instant,
    /// The revision of the store in that response.
    pub(super) revision: Revision,
}

/// The longest interval between pings of the store, before jitter. A change must take effect within a few
/// seconds although the store has stopped to answer all daemons that follow it.
const PING_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// The largest share by which jitter shortens the interval. Each ping may cost a call.
const JITTER: f64 = 0.25;

/// Pings the store periodically for as long as the process runs.
///
/// A watch that the store has lost cannot be told from one without a change. So pings ask for the
/// latest revision of the store, up to which each follower confirms that it has missed nothing. When the
/// store responds again after an outage, all watches are restarted, on new connections. While it does not
/// respond, another daemon is assigned to follow it.
pub(crate) async fn ping(context: Arc<Context>) {
    let mut known_era = None;
    let mut interval = PING_INTERVAL_MAX;
    loop {
        if !context.follows_store() {
            // It is of no use to one that is assigned to follow the store later.
            *context.store_silence.lock() = None;
            context.wait_follows_store(true).await;
        }
        sleep(backoff::shorten(interval, JITTER)).await;
        interval = PING_INTERVAL_MAX;
        let store = context.store.load_full();
        let silence = *context.store_silence.lock();
        let freshness = match silence {
            // Entries that expired up to the return of the store count as missing.
            Some(_) => Freshness::Latest,
            None => ping_freshness(&context),
        };
        let sent = Instant::now();
        let revision = store.ping(upstream::EVACUATION_KIND, freshness).await;
        if let Ok(revision) = revision {
            context.record_revision(revision, freshness);
        }
        match (revision, silence) {
            (Ok(Revision { era, .. }), None) => {
                let is_restored = known_era.is_some_and(|known| known < era);
                known_era = Some(era);
                if is_restored {
                    log::info!(era; "store was restored; restarting watches");
                    context.store_recoveries.send_modify(|_outage| {});
                }
            }
            (Ok(revision), Some(silence)) => {
                known_era = Some(revision.era);
                let away_ms = silence.since.elapsed().as_millis() as u64;
                log::info!(away_ms; "store recovered; restarting watches");
                *context.store_silence.lock() = None;
                context.set_store_reachable(true);
                let outage = Outage {
                    silence,
                    ended_at: Instant::now(),
                    revision,
                };
                context.store_recoveries.send_replace(Some(outage));
            }
            (Err(error), silence) => {
                let since = silence.map_or(sent, |silence| silence.since);
                // A store that rejects calls goes on with the watches.
                if silence.is_some() || !matches!(error, Error::RateLimited { .. }) {
                    *context.store_silence.lock() = Some(Silence { since, last: sent });
                }
                // A follower may have had a response meanwhile.
                context.set_store_reachable(false);
                if silence.is_none() {
                    log::warn!(error:%; "store ping failed");
                    store.close_idle();
                    // Only the connection may have failed.
                    interval = Duration::ZERO;
                }
            }
        }
    }
}

/// Returns how recent the response to the next ping must be, so that a change is noticed in time although
/// the watches of all daemons were lost: within half of the shortest staleness bound.
fn ping_freshness(context: &Context) -> Freshness {
    let bounds = context.bounds.load();
    let shortest = bounds.config_apply_max.min(bounds.drain_max);
    let age_max = shortest.min(bounds.evacuation_max) / 2;
    if context.store_revision_age() + PING_INTERVAL_MAX > age_max {
        Freshness::Latest
    } else {
        Freshness::Stale
    }
}
