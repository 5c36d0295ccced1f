//! The picture of the platform from daemon to daemon.
//!
//! The store may turn one daemon away while it serves the others, and in a large fleet most do not
//! follow it at all. Notices tell a daemon that it is behind; it then asks one that is ahead for
//! what it does not know.

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
use super::links::Peers;
use super::sync;

/// The path of the picture on the port for links.
const PATH: &str = "/picture";

/// How long this daemon may be behind before it asks another one. The store's own word usually
/// comes within this time, and half of the shortest bound is left after it.
const BEHIND_MAX: Duration = Duration::from_millis(700);

/// The time within which daemons that do not follow the store ask, spread so that they do not ask
/// all at once.
const SPREAD_MAX: Duration = Duration::from_millis(60);

/// The longest time for the answer of a daemon, whose link may be narrow.
const ANSWER_MAX: Duration = Duration::from_secs(2);

/// The pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// Returns the answer to a daemon that asks for the picture; `query` tells what it knows.
pub(crate) fn answer(context: &Context, query: &str) -> Response<Payload> {
    let known = parse(query);
    let horizon = *context.horizon.lock();
    let roster = context.roster.lock();
    let picture = Snapshot {
        versions: horizon,
        configuration: if horizon.configuration > known.configuration {
            Arc::clone(&context.configuration.lock())
        } else {
            Arc::from("")
        },
        upstreams: (horizon.upstreams > known.upstreams).then(|| {
            let upstreams = roster.upstreams().map(|upstream| upstream.as_ref().clone());
            upstreams.collect()
        }),
        evacuated: (horizon.evacuations > known.evacuations)
            .then(|| roster.evacuated_zones().iter().cloned().collect()),
    };
    drop(roster);
    let (status, bytes) = match picture.encode() {
        Ok(bytes) => (StatusCode::OK, bytes),
        Err(error) => {
            log::error!(error:%; "picture cannot be encoded");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    };
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns the path by which a daemon that knows `own` asks.
fn path(own: &Versions) -> String {
    let Versions {
        configuration,
        upstreams,
        evacuations,
    } = own;
    format!("{PATH}?{configuration},{upstreams},{evacuations}")
}

/// Reads what the asking daemon knows. One that does not say so knows nothing.
fn parse(query: &str) -> Versions {
    let mut parts = query.split(',').map(|part| part.parse().unwrap_or(0));
    let mut next = || parts.next().unwrap_or(0);
    Versions {
        configuration: next(),
        upstreams: next(),
        evacuations: next(),
    }
}

/// Asks other daemons whenever this one has been behind for too long.
pub(crate) async fn catch_up(context: Arc<Context>, peers: Arc<Peers>) {
    let mut heard = context.heard.subscribe();
    loop {
        let own = *context.horizon.lock();
        if peers.ahead_of(&own, &context.settings.zone).is_none() {
            if heard.changed().await.is_err() {
                return;
            }
            continue;
        }
        let delay = if context.follows() {
            BEHIND_MAX
        } else {
            SPREAD_MAX.mul_f64(rand::random::<f64>())
        };
        sleep(delay).await;
        if !context.follows() {
            read_configuration(&context).await;
        }
        let own = *context.horizon.lock();
        let Some(address) = peers.ahead_of(&own, &context.settings.zone) else {
            continue;
        };
        let endpoint = Endpoint::new(&address.to_string(), HeaderMap::new());
        let path = path(&own);
        let step = format!("ask {address} for its picture");
        let asked = endpoint.call(&step, Method::GET, &path, Bytes::new(), ANSWER_MAX);
        let asked = asked.await;
        let failed = asked.is_err();
        match asked {
            Ok(bytes) => match Snapshot::try_from(bytes.as_ref()) {
                Ok(picture) => accept(&context, picture),
                Err(error) => log::warn!(daemon:% = address, error:%; "picture cannot be read"),
            },
            Err(error) => log::info!(daemon:% = address, error:%; "no picture"),
        }
        if failed {
            sleep(ASK_PAUSE).await;
        }
    }
}

/// Reads a configuration that others have and this daemon lacks from the store, whose link is
/// wider than those of the daemons: thousands of routes make half a megabyte. If the store does
/// not answer, the picture of another daemon holds it.
async fn read_configuration(context: &Context) {
    let newest = context.heard.borrow().configuration;
    if context.horizon.lock().configuration >= newest {
        return;
    }
    match context.store.load().list(config::KIND).await {
        Ok((objects, _revision)) => {
            context.in_contact();
            for object in &objects {
                sync::accept_configuration(context, object);
            }
        }
        Err(error) => log::info!(newest, error:%; "configuration not read from the store"),
    }
}

/// Takes in the parts of a picture that are newer than the own one.
fn accept(context: &Context, picture: Snapshot) {
    let own = *context.horizon.lock();
    context.urgent.notify_one();
    log::info!(
        configuration = picture.versions.configuration,
        upstreams = picture.versions.upstreams,
        evacuations = picture.versions.evacuations,
        own:? = own;
        "picture of another daemon"
    );
    if picture.versions.configuration > own.configuration {
        match serde_json::from_str::<Value>(&picture.configuration) {
            Ok(spec) => sync::accept_specification(context, &spec),
            Err(error) => log::error!(error:%; "configuration unreadable"),
        }
    }
    if let Some(upstreams) = picture.upstreams
        && picture.versions.upstreams > own.upstreams
    {
        context.roster.lock().replace(upstreams, Instant::now());
        context.horizon.lock().upstreams = picture.versions.upstreams;
        context.listed.store(true, Ordering::Release);
    }
    if let Some(evacuated) = picture.evacuated
        && picture.versions.evacuations > own.evacuations
    {
        let zones = evacuated.into_iter().collect();
        context
            .roster
            .lock()
            .set_evacuated_zones(zones, Instant::now());
        context.horizon.lock().evacuations = picture.versions.evacuations;
    }
    context.waiting.wake();
}
