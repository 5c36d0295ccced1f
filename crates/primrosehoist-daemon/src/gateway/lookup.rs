//! Looks up single objects that a cut list of the store lacks.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use primrosehoist::state::map::Set;
use primrosehoist_platform::config;
use primrosehoist_platform::object::Object;
use tokio::time::{Instant, timeout_at};

use super::context::Context;
use super::store_sync::Feed;

/// The largest number of objects that are looked up for a list.
const LOOKUPS_MAX: usize = 64;

/// The number of concurrent lookups.
const CONCURRENT_MAX: usize = 8;

/// The longest time for all lookups. No change is noticed meanwhile.
const TIME_MAX: Duration = Duration::from_millis(500);

/// Adds to the objects of a cut list those that it lacks although their names are known. Returns the names of
/// those of which nothing was learnt.
pub(super) async fn complete(
    context: &Context,
    feed: Feed,
    objects: &mut Vec<Object>,
) -> Set<Arc<str>> {
    let mut unknown = known_names(context, feed);
    for object in objects.iter() {
        unknown.remove(object.name.as_str());
    }
    let names: Vec<Arc<str>> = unknown.iter().take(LOOKUPS_MAX).cloned().collect();
    let store = context.store.load_full();
    let calls = names.into_iter().map(|name| {
        let store = Arc::clone(&store);
        async move {
            let found = store.get(feed.kind(), &name).await;
            (name, found)
        }
    });
    let mut calls = stream::iter(calls).buffer_unordered(CONCURRENT_MAX);
    let deadline = Instant::now() + TIME_MAX;
    while let Ok(Some((name, found))) = timeout_at(deadline, calls.next()).await {
        match found {
            Ok(object) => {
                unknown.remove(&name);
                objects.extend(object);
            }
            Err(error) => {
                log::info!(kind = feed.kind(), name = name.as_ref(), error:%; "failed to look up an object");
            }
        }
    }
    unknown
}

/// Returns the names of objects that are known, or known to matter.
fn known_names(context: &Context, feed: Feed) -> Set<Arc<str>> {
    let roster = context.roster.lock();
    match feed {
        Feed::Configuration => [Arc::from(config::NAME)].into_iter().collect(),
        Feed::Upstreams => {
            let ids = roster.upstreams().map(|upstream| &upstream.id);
            ids.cloned().collect()
        }
        Feed::Evacuations => {
            let zones = roster.upstreams().map(|upstream| &upstream.zone);
            zones.chain(roster.evacuated_zones()).cloned().collect()
        }
    }
}
