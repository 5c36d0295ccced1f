//! Registers this daemon in the platform's store and lists the others.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::versions::Revision;
use primrosehoist_platform::daemon;
use primrosehoist_platform::object::Object;
use primrosehoist_platform::store::{Freshness, List};
use tokio::time::{Instant, sleep};

use super::context::Context;
use super::rejections::Reason;
use super::store_sync;

/// The longest random delay before a daemon registers again in a store that was restored from a copy, so
/// that the daemons do not all do so at once.
const REGISTER_JITTER_MAX: Duration = Duration::from_secs(1);

/// The delay after a failed registration.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Registers this daemon in the store and lists the registered daemons, for as long as the process runs:
/// again whenever the store was restored from a copy. An entry of an earlier start serves as well, and then
/// the others may be known a little late.
///
/// Because each daemon registers before it lists, of two daemons that start concurrently at least
/// one finds the other.
pub(crate) async fn join(context: Arc<Context>) {
    let mut era = register(&context).await;
    loop {
        context.set_joined();
        context.wait_later_era(era).await;
        sleep(REGISTER_JITTER_MAX.mul_f64(rand::random::<f64>())).await;
        log::info!(era; "registering again, since the store was restored");
        era = register(&context).await;
    }
}

/// Registers this daemon and lists the others. Returns the latest era for which this holds.
async fn register(context: &Context) -> u64 {
    let settings = &context.settings;
    let spec = daemon::encode(settings.address, &settings.zone);
    let is_own = |object: &Object| object.name == *settings.host && object.spec == spec;
    let known_era = context.store_era();
    let mut written_in = None;
    let mut freshness = if context.has_joined() {
        Freshness::Latest
    } else {
        Freshness::Stale
    };
    loop {
        let store = context.store.load_full();
        let listed = match freshness {
            Freshness::Latest => store.list(daemon::KIND).await,
            Freshness::Stale => store.list_stale(daemon::KIND).await,
        };
        freshness = Freshness::Latest;
        match listed {
            Ok(List {
                objects,
                revision: Revision { era, .. },
                cut,
            }) => {
                // The others are known although the store may refuse writes.
                add_daemons(context, &objects);
                store_sync::record_list(context, daemon::KIND, cut.as_ref());
                if cut.is_some() {
                    // The rest of them is listed apart, since it may be missing for long.
                    context.unknown_sender.notify_one();
                }
                let is_listed = era >= known_era && objects.iter().any(is_own);
                if is_listed || written_in == Some(era) {
                    return era.max(known_era);
                }
                match store.put(daemon::KIND, &settings.host, &spec).await {
                    Ok(()) => {
                        written_in = Some(era);
                        continue;
                    }
                    // The write may have taken effect, which the next list shows.
                    Err(error) => log::warn!(error:%; "registration failed"),
                }
            }
            Err(error) => {
                log::warn!(error:%; "failed to list the daemons");
                context.obstacles.record_failure(daemon::KIND, &error);
            }
        }
        sleep(REGISTER_RETRY_DELAY).await;
    }
}

/// Adds the daemons of a list.
pub(crate) fn add_daemons(context: &Context, objects: &[Object]) {
    let now = Instant::now();
    let mut exchange = context.exchange.lock();
    for object in objects {
        match daemon::decode(object) {
            Ok(entry) => {
                let host = Arc::from(object.name.as_str());
                if exchange.peers.add(&host, &entry.zone, entry.address, now) {
                    log::info!(host = host.as_ref(), zone = entry.zone.as_ref(), address:% = entry.address; "daemon discovered");
                }
            }
            Err(error) => {
                if let Some(unlogged) = context.reject(Reason::Daemon) {
                    log::warn!(host = object.name.as_str(), error:%, unlogged; "invalid daemon entry");
                }
            }
        }
    }
}
