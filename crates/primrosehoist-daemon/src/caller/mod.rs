//! Requests of callers: authentication, routing, parsing and responses.

mod index;
mod models;
mod request;
mod response;
mod route;

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::transport::http::body;
use tokio::time::Instant;

pub(crate) use self::index::IndexCache;
pub(crate) use self::response::ResponseBody;

use self::route::Route;
use crate::dispatch::{self, Sink};
use crate::node::Node;

/// The longest time in which no part of a request body arrives.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest time for a whole request body.
const BODY_TOTAL_TIMEOUT: Duration = Duration::from_secs(120);

/// Handles one request of a caller.
pub(crate) async fn handle(
    node: Arc<Node>,
    limits: Arc<body::Limits>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let received = Instant::now();
    let id = format!("{:032x}", rand::random::<u128>());
    let result = serve(&node, &limits, request, &id, received).await;
    result.unwrap_or_else(|failure| {
        log::info!(
            request = id.as_str(),
            outcome = failure.outcome.to_string().as_str(),
            reason = failure.reason.to_string().as_str();
            "request refused"
        );
        response::from_failure(&failure, &id)
    })
}

/// Returns the limits on bodies of at most `bytes_max` bytes.
pub(crate) fn body_limits(bytes_max: u64) -> body::Limits {
    body::Limits {
        bytes_max,
        idle_timeout: BODY_IDLE_TIMEOUT,
        total_timeout: BODY_TOTAL_TIMEOUT,
    }
}

async fn serve(
    node: &Arc<Node>,
    limits: &body::Limits,
    request: Request<Incoming>,
    id: &str,
    received: Instant,
) -> Result<Response<ResponseBody>, primrosehoist::protocol::outcome::Failure> {
    if node.is_draining() {
        return Err(Failure::not_run(Reason::Draining, "this daemon shuts down"));
    }
    let fleet = node.fleet.load_full();
    if fleet.version == 0 {
        return Err(Failure::not_run(
            Reason::Unavailable,
            "the configuration is not known yet",
        ));
    }
    let index = node.keys.index(&fleet);
    let workspace = index.workspace(request.headers())?;
    let route = Route::try_from(&request)?;
    if matches!(route, Route::Models) {
        return Ok(response::json(models::list(&index, workspace), id));
    }
    let call = request::Call {
        id,
        received,
        workspace,
        fleet: &fleet,
        index: &index,
    };
    let job = request::read(node, limits, call, &route, request).await?;
    let (sink, delivery) = Sink::new(job.stream);
    // The request runs in its own task, which detects when this one is dropped.
    tokio::spawn(dispatch::run(Arc::clone(node), job, sink));
    Ok(response::from_delivery(delivery.await, id))
}
