//! Transfers platform state between daemons.
//!
//! The store may reject one daemon while it serves the others, and in a large fleet most daemons do
//! not follow it at all. A daemon learns from gossip that its state is outdated and requests what
//! it lacks from a daemon that has newer state.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use primrosehoist::protocol::gossip::Versions;
use primrosehoist::protocol::snapshot::Snapshot;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::platform::Endpoint;
use primrosehoist_platform::config;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::context::Context;
use super::peers::Peers;
use super::store_sync;

/// The path of the state on the port for peers.
const PATH: &str = "/picture";

/// How long this daemon may lag before it requests state from another one. The store's own update
/// usually arrives within this time, and half of the shortest staleness bound remains after it.
const LAG_MAX: Duration = Duration::from_millis(700);

/// The longest random delay before daemons that do not follow the store request state, so that they
/// do not all do so at once.
const REQUEST_JITTER_MAX: Duration = Duration::from_millis(60);

/// The timeout for the response of a daemon, whose link may be slow.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay after a failed request.
const REQUEST_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Responds to a daemon that requests state; `query` holds the versions that it has.
pub(crate) fn respond(context: &Context, query: &str) -> Response<Payload> {
    let known = parse_versions(query);
    let versions = *context.versions.lock();
    let roster = context.roster.lock();
    let snapshot = Snapshot {
        versions,
        configuration: if versions.configuration > known.configuration {
            Arc::clone(&context.configuration_text.lock())
        } else {
            Arc::from("")
        },
        upstreams: (versions.upstreams > known.upstreams).then(|| {
            let upstreams = roster.upstreams().map(|upstream| upstream.as_ref().clone());
            upstreams.collect()
        }),
        evacuated: (versions.evacuations > known.evacuations)
            .then(|| roster.evacuated_zones().iter().cloned().collect()),
    };
    drop(roster);
    let (status, bytes) = match snapshot.encode() {
        Ok(bytes) => (StatusCode::OK, bytes),
        Err(error) => {
            log::error!(error:%; "failed to encode platform state");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    };
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns the request path of a daemon whose versions are `own`.
fn request_path(own: &Versions) -> String {
    let Versions {
        configuration,
        upstreams,
        evacuations,
    } = own;
    format!("{PATH}?{configuration},{upstreams},{evacuations}")
}

/// Parses the versions of the requesting daemon. Missing or invalid ones count as 0.
fn parse_versions(query: &str) -> Versions {
    let mut parts = query.split(',').map(|part| part.parse().unwrap_or(0));
    let mut next = || parts.next().unwrap_or(0);
    Versions {
        configuration: next(),
        upstreams: next(),
        evacuations: next(),
    }
}

/// Requests state from other daemons whenever this one has lagged for too long.
pub(crate) async fn catch_up(context: Arc<Context>, peers: Arc<Peers>) {
    let mut peer_versions = context.peer_versions.subscribe();
    loop {
        let own = *context.versions.lock();
        if peers.ahead_of(&own, &context.settings.zone).is_none() {
            if peer_versions.changed().await.is_err() {
                return;
            }
            continue;
        }
        let delay = if context.follows_store() {
            LAG_MAX
        } else {
            REQUEST_JITTER_MAX.mul_f64(rand::random::<f64>())
        };
        sleep(delay).await;
        if !context.follows_store() {
            fetch_configuration(&context).await;
        }
        let own = *context.versions.lock();
        let Some(address) = peers.ahead_of(&own, &context.settings.zone) else {
            continue;
        };
        let endpoint = Endpoint::new(&address.to_string(), HeaderMap::new());
        let path = request_path(&own);
        let step = format!("fetch platform state from {address}");
        let result = endpoint.call(&step, Method::GET, &path, Bytes::new(), REQUEST_TIMEOUT);
        let result = result.await;
        let failed = result.is_err();
        match result {
            Ok(bytes) => match Snapshot::try_from(bytes.as_ref()) {
                Ok(snapshot) => apply(&context, snapshot),
                Err(error) => log::warn!(daemon:% = address, error:%; "invalid state from peer"),
            },
            Err(error) => log::info!(daemon:% = address, error:%; "failed to fetch state"),
        }
        if failed {
            sleep(REQUEST_RETRY_DELAY).await;
        }
    }
}

/// Fetches a configuration that other daemons have and this one lacks from the store, which has
/// more bandwidth than the daemons: thousands of routes take half a megabyte. If the store does not
/// respond, the state of another daemon includes the configuration.
async fn fetch_configuration(context: &Context) {
    let newest = context.peer_versions.borrow().configuration;
    if context.versions.lock().configuration >= newest {
        return;
    }
    match context.store.load().list(config::KIND).await {
        Ok((objects, _revision)) => {
            context.record_contact();
            for object in &objects {
                store_sync::install_configuration(context, object);
            }
        }
        Err(error) => log::info!(newest, error:%; "failed to fetch configuration"),
    }
}

/// Applies the parts of `snapshot` that are newer than this daemon's state.
fn apply(context: &Context, snapshot: Snapshot) {
    let own = *context.versions.lock();
    context.urgent.notify_one();
    log::info!(
        configuration = snapshot.versions.configuration,
        upstreams = snapshot.versions.upstreams,
        evacuations = snapshot.versions.evacuations,
        own:? = own;
        "platform state received from peer"
    );
    if snapshot.versions.configuration > own.configuration {
        match serde_json::from_str::<Value>(&snapshot.configuration) {
            Ok(spec) => store_sync::install_spec(context, &spec),
            Err(error) => log::error!(error:%; "invalid configuration"),
        }
    }
    if let Some(upstreams) = snapshot.upstreams
        && snapshot.versions.upstreams > own.upstreams
    {
        context.roster.lock().replace(upstreams, Instant::now());
        context.versions.lock().upstreams = snapshot.versions.upstreams;
        context.upstreams_listed.store(true, Ordering::Release);
    }
    if let Some(evacuated) = snapshot.evacuated
        && snapshot.versions.evacuations > own.evacuations
    {
        let zones = evacuated.into_iter().collect();
        context
            .roster
            .lock()
            .set_evacuated_zones(zones, Instant::now());
        context.versions.lock().evacuations = snapshot.versions.evacuations;
    }
    context.queue.wake_all();
}
