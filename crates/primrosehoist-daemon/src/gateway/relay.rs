//! The picture of the platform from daemon to daemon.
//!
//! The store may turn one daemon away while it serves the others. Notices tell that daemon that
//! it is behind; it then asks one that is ahead for its whole picture.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use primrosehoist::protocol::picture::Picture;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::platform::Endpoint;
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

/// The longest time for the answer of a daemon.
const ANSWER_MAX: Duration = Duration::from_millis(800);

/// The pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// Returns the answer to a daemon that asks for the picture.
pub(crate) fn answer(context: &Context) -> Response<Payload> {
    let (upstreams, evacuated) = {
        let roster = context.roster.lock();
        let upstreams = roster.upstreams().map(|upstream| upstream.as_ref().clone());
        let evacuated = roster.evacuated().iter().cloned();
        (upstreams.collect(), evacuated.collect())
    };
    let picture = Picture {
        horizon: *context.horizon.lock(),
        configuration: Arc::clone(&context.configuration.lock()),
        upstreams,
        evacuated,
    };
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

/// Asks other daemons whenever this one has been behind for too long.
pub(crate) async fn catch_up(context: Arc<Context>, peers: Arc<Peers>) {
    let mut heard = context.heard.subscribe();
    loop {
        let own = *context.horizon.lock();
        if peers.ahead_of(&own).is_none() {
            if heard.changed().await.is_err() {
                return;
            }
            continue;
        }
        sleep(BEHIND_MAX).await;
        let own = *context.horizon.lock();
        let Some(address) = peers.ahead_of(&own) else {
            continue;
        };
        let endpoint = Endpoint::new(&address.to_string(), HeaderMap::new());
        let step = format!("ask {address} for its picture");
        let asked = endpoint.call(&step, Method::GET, PATH, Bytes::new(), ANSWER_MAX);
        match asked.await {
            Ok(bytes) => match Picture::try_from(bytes.as_ref()) {
                Ok(picture) => accept(&context, picture),
                Err(error) => log::warn!(daemon:% = address, error:%; "picture cannot be read"),
            },
            Err(error) => log::info!(daemon:% = address, error:%; "no picture"),
        }
        sleep(ASK_PAUSE).await;
    }
}

/// Takes in the parts of a picture that are newer than the own one.
fn accept(context: &Context, picture: Picture) {
    let own = *context.horizon.lock();
    log::info!(
        configuration = picture.horizon.configuration,
        upstreams = picture.horizon.upstreams,
        evacuations = picture.horizon.evacuations,
        own:? = own;
        "picture of another daemon"
    );
    if picture.horizon.configuration > own.configuration {
        match serde_json::from_str::<Value>(&picture.configuration) {
            Ok(spec) => sync::accept_specification(context, &spec),
            Err(error) => log::error!(error:%; "configuration unreadable"),
        }
    }
    if picture.horizon.upstreams > own.upstreams {
        let now = Instant::now();
        context.roster.lock().replace(picture.upstreams, now);
        context.horizon.lock().upstreams = picture.horizon.upstreams;
    }
    if picture.horizon.evacuations > own.evacuations {
        let zones = picture.evacuated.into_iter().collect();
        context.roster.lock().set_evacuated(zones, Instant::now());
        context.horizon.lock().evacuations = picture.horizon.evacuations;
    }
    context.waiting.wake();
}
