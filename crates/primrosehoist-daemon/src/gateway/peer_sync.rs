//! Transfers platform state between daemons.
//!
//! The store may reject one daemon while it serves the others, and in a large fleet most daemons do
//! not follow it at all. A daemon learns from gossip that its state is outdated and requests what
//! it lacks from a daemon that has newer state.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use primrosehoist::protocol::snapshot::{Compressed, Snapshot};
use primrosehoist::state::map::Set;
use primrosehoist::state::versions::Versions;
use primrosehoist::transport::hedge::first_success;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::platform::{Endpoint, Target};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::context::Context;
use super::{bytes_response, store_sync};

/// The path of the state on the port for peers.
const PATH: &str = "/picture";

/// How long this daemon may lag before it requests state from another one. The store's own update
/// usually arrives within this time, and half of the shortest staleness bound remains after it.
const LAG_MAX: Duration = Duration::from_millis(700);

/// The longest random delay before a request for state, so that the daemons do not all ask at once.
const REQUEST_JITTER_MAX: Duration = Duration::from_millis(60);

/// How long a daemon that knows no other waits for changes from the store after a pause.
const STORE_WAIT: Duration = Duration::from_millis(300);

/// How long a daemon may take to respond before another one is asked as well. Most respond within
/// milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// The timeout for the response of a daemon, whose link may be slow.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay after a request that brought nothing new.
const REQUEST_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Responds to a daemon that requests state; the query holds the versions that it has.
pub(crate) fn respond(context: &Context, request: &Request<Incoming>) -> Response<Payload> {
    let query = request.uri().query().unwrap_or_default();
    bytes_response(snapshot(context, query).encode())
}

/// Returns the state for a daemon that has the versions in `query`.
pub(super) fn snapshot(context: &Context, query: &str) -> Snapshot {
    let known = parse_versions(query);
    let versions = *context.versions.lock();
    let roster = context.roster.lock();
    Snapshot {
        versions,
        configuration: (versions.configuration > known.configuration)
            .then(|| context.configuration.lock().clone()),
        upstreams: (versions.upstreams > known.upstreams).then(|| {
            let upstreams = roster.upstreams().map(|upstream| upstream.as_ref().clone());
            upstreams.collect()
        }),
        missing: roster.missing(Instant::now()),
        evacuated: (versions.evacuations > known.evacuations)
            .then(|| roster.evacuated_zones().iter().cloned().collect()),
    }
}

/// Returns the versions of the requesting daemon. One that states none gets everything.
fn parse_versions(query: &str) -> Versions {
    query.parse().unwrap_or_else(|error| {
        log::debug!(query, error:%; "request for state without versions");
        Versions::default()
    })
}

/// Returns a daemon that is not in `tried` and has newer state than `own`.
fn daemon_ahead(context: &Context, own: &Versions, tried: &Set<IpAddr>) -> Option<IpAddr> {
    let exchange = context.exchange.lock();
    let random = rand::random::<f64>();
    exchange.peers.ahead_of(own, tried, random, Instant::now())
}

/// Returns a daemon that is not in `tried`, preferably in the own zone.
fn any_daemon(context: &Context, tried: &Set<IpAddr>) -> Option<IpAddr> {
    let exchange = context.exchange.lock();
    let (random, now) = (rand::random::<f64>(), Instant::now());
    let zone = &context.settings.zone;
    let near = exchange.peers.random_in(zone, tried, random, now);
    let all = || exchange.peers.targets(0, now).into_iter();
    near.or_else(|| all().find(|address| !tried.contains(address)))
}

/// Requests state from other daemons whenever this one has lagged for too long.
pub(crate) async fn catch_up(context: Arc<Context>) {
    let mut peer_versions = context.peer_versions.subscribe();
    let is_behind = || {
        let own = *context.versions.lock();
        daemon_ahead(&context, &own, &Set::default()).is_some()
    };
    loop {
        if !is_behind() {
            if peer_versions.changed().await.is_err() {
                return;
            }
            continue;
        }
        if context.follows_store() {
            tokio::select! {
                () = sleep(LAG_MAX) => {}
                () = context.wait_store_unreachable() => {}
            }
        }
        sleep(REQUEST_JITTER_MAX.mul_f64(rand::random::<f64>())).await;
        let select = |tried: &Set<IpAddr>| {
            let own = *context.versions.lock();
            daemon_ahead(&context, &own, tried)
        };
        let is_useful =
            |snapshot: &Snapshot| snapshot.versions.is_ahead_of(&context.versions.lock());
        if !fetch_from_first(&context, select, is_useful).await && is_behind() {
            sleep(REQUEST_RETRY_DELAY).await;
        }
    }
}

/// Requests what has changed from daemons of the zone, and then from any, until one responds.
pub(crate) async fn refresh(context: &Context) {
    while !fetch_from_first(context, |tried| any_daemon(context, tried), |_| true).await {
        if any_daemon(context, &Set::default()).is_none() {
            // A daemon without others follows the store, whose watches are restarted.
            sleep(STORE_WAIT).await;
            return;
        }
        sleep(REQUEST_JITTER_MAX).await;
    }
}

/// Requests state from the daemons that `select` returns and applies the first response that
/// `is_useful`. Returns whether there was one.
async fn fetch_from_first<S, U>(context: &Context, select: S, is_useful: U) -> bool
where
    S: Fn(&Set<IpAddr>) -> Option<IpAddr>,
    U: Fn(&Snapshot) -> bool,
{
    let mut tried = Set::default();
    let next = || {
        let address = select(&tried)?;
        tried.insert(address);
        let call = fetch(
            context,
            SocketAddr::new(address, context.settings.link_ports.0),
        );
        Some(async { call.await.filter(&is_useful) })
    };
    let snapshot = first_success(next, HEDGE_DELAY).await;
    let is_found = snapshot.is_some();
    if let Some(snapshot) = snapshot {
        apply(context, snapshot);
    }
    is_found
}

/// Requests the state that is newer than this daemon's from the daemon at `address`.
async fn fetch(context: &Context, address: SocketAddr) -> Option<Snapshot> {
    let endpoint = Endpoint::new(&address.to_string(), HeaderMap::new());
    let path = Target::new(PATH).list(*context.versions.lock());
    let step = format!("fetch platform state from {address}");
    let result = endpoint.call(&step, Method::GET, &path, Bytes::new(), REQUEST_TIMEOUT);
    match result.await {
        Ok(bytes) => Snapshot::try_from(bytes.as_ref())
            .inspect_err(|error| log::warn!(daemon:% = address, error:%; "invalid state from peer"))
            .ok(),
        Err(error) => {
            log::info!(daemon:% = address, error:%; "failed to fetch state");
            None
        }
    }
}

/// Activates a configuration that another daemon sent.
fn install_configuration(context: &Context, configuration: Compressed) {
    let decoded = configuration
        .text()
        .map_err(|error| error.to_string())
        .and_then(|text| serde_json::from_str::<Value>(&text).map_err(|error| error.to_string()));
    match decoded {
        Ok(spec) => store_sync::install_spec(context, &spec, || configuration),
        Err(error) => log::error!(error:%; "invalid configuration"),
    }
}

/// Applies the parts of `snapshot` that are newer than this daemon's state.
pub(super) fn apply(context: &Context, snapshot: Snapshot) {
    let own = *context.versions.lock();
    let now = Instant::now();
    context.urgent.notify_one();
    log::info!(
        configuration = snapshot.versions.configuration,
        upstreams:? = snapshot.versions.upstreams,
        evacuations:? = snapshot.versions.evacuations,
        own:? = own;
        "platform state received from peer"
    );
    if let Some(configuration) = snapshot.configuration
        && snapshot.versions.configuration > own.configuration
    {
        install_configuration(context, configuration);
    }
    if let Some(upstreams) = snapshot.upstreams
        && snapshot.versions.upstreams > own.upstreams
    {
        let mut roster = context.roster.lock();
        let upstreams = if snapshot.versions.upstreams.era > own.upstreams.era {
            roster.without_revived(upstreams)
        } else {
            upstreams
        };
        roster.restore(upstreams, &snapshot.missing, now);
        drop(roster);
        context.versions.lock().upstreams = snapshot.versions.upstreams;
        context.upstreams_listed.store(true, Ordering::Release);
    }
    if let Some(evacuated) = snapshot.evacuated
        && snapshot.versions.evacuations > own.evacuations
    {
        let zones = evacuated.into_iter().collect();
        context.roster.lock().set_evacuated_zones(zones, now);
        context.versions.lock().evacuations = snapshot.versions.evacuations;
    }
    // A daemon that knows no more than this one says nothing of evacuations.
    context.evacuations_listed.store(true, Ordering::Release);
    context.queue.wake_all();
}
