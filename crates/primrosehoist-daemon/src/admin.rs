//! The admin port: health checks, metrics and operator endpoints.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use primrosehoist::protocol::operator;
use primrosehoist::protocol::status::{Holding, Member, Status};
use primrosehoist::state::view::Advert;
use primrosehoist::transport::http::server::{self, Limits};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::cluster::{Cluster, cuts};
use crate::node::Node;
use crate::scrape::Scrape;

type AdminResponse = Response<Full<Bytes>>;

/// The state that the admin port reports and controls.
pub(crate) struct Context {
    pub(crate) node: Arc<Node>,
    pub(crate) cluster: Arc<Cluster>,
    /// Set to `true` by an operator's request to drain.
    pub(crate) drain: watch::Sender<bool>,
    pub(crate) scrape: Scrape,
    /// Whether operators may cut the connections between this daemon and others.
    pub(crate) allow_cuts: bool,
}

/// Serves the admin port until `stopped` becomes `true`.
pub(crate) async fn serve(
    context: Arc<Context>,
    listener: TcpListener,
    limits: Limits,
    stopped: watch::Receiver<bool>,
) {
    let handler = move |request| {
        let response = respond(&context, &request);
        async move { response }
    };
    server::serve(listener, move || limits.clone(), stopped, handler).await;
}

fn respond(context: &Context, request: &Request<Incoming>) -> AdminResponse {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") if is_ready(&context.node) => text(StatusCode::OK, "ready\n"),
        (&Method::GET, "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::GET, "/metrics") => metrics(context),
        (method, path) if is_operator(&context.node, request) => {
            operate(context, method, path, request.uri().query())
        }
        _ => text(
            StatusCode::UNAUTHORIZED,
            "the token is missing or not valid\n",
        ),
    }
}

fn operate(context: &Context, method: &Method, path: &str, query: Option<&str>) -> AdminResponse {
    match (method, path) {
        (&Method::GET, "/admin/status") => json(&status(&context.node, &context.cluster)),
        (&Method::POST, "/admin/drain") => {
            context.drain.send_replace(true);
            text(StatusCode::ACCEPTED, "shutting down\n")
        }
        (&Method::POST, "/admin/cuts") if context.allow_cuts => {
            match cuts::set(context.node.peers.partition(), query.unwrap_or_default()) {
                Ok(()) => text(StatusCode::OK, "cut\n"),
                Err(error) => text(StatusCode::BAD_REQUEST, &format!("{error}\n")),
            }
        }
        _ => text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn is_operator(node: &Node, request: &Request<Incoming>) -> bool {
    let value = request.headers().get(AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    token.is_some_and(|token| operator::verify(&node.secret, token))
}

/// Returns whether the daemon accepts callers: its configuration is loaded and it is not draining.
fn is_ready(node: &Node) -> bool {
    !node.is_draining() && node.fleet.load().version > 0
}

fn metrics(context: &Context) -> AdminResponse {
    match context.scrape.render(&context.node, &context.cluster) {
        Ok(metrics) => text(StatusCode::OK, &metrics),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
    }
}

fn status(node: &Node, cluster: &Cluster) -> Status {
    let mut adverts = node.adverts(Instant::now());
    adverts.sort_by(|left, right| left.upstream.cmp(&right.upstream));
    Status {
        host: node.host.clone(),
        zone: node.zone.clone(),
        version: node.fleet.load().version,
        draining: node.is_draining(),
        platform_age_ms: cluster.platform_age_ms(),
        holdings: adverts.into_iter().map(holding).collect(),
        members: members(node, cluster),
        quarantine_pending: 0,
    }
}

/// Returns the other daemons that are considered alive, sorted by host.
fn members(node: &Node, cluster: &Cluster) -> Vec<Member> {
    let view = node.view.load();
    let others = view.daemons.values();
    let mut members: Vec<Member> = others
        .filter(|daemon| daemon.member.host != node.host)
        .filter_map(|daemon| {
            Some(Member {
                host: daemon.member.host.clone(),
                zone: daemon.member.zone.clone(),
                version: daemon.version,
                age_ms: cluster.heartbeat_age_ms(&daemon.member.host)?,
            })
        })
        .collect();
    members.sort_by(|left, right| left.host.cmp(&right.host));
    members
}

fn holding(advert: Advert) -> Holding {
    Holding {
        upstream: advert.upstream,
        epoch: advert.epoch,
        limit: advert.limit,
        in_flight: advert.in_flight,
        queued: advert.queued,
    }
}

fn json(status: &Status) -> AdminResponse {
    let content = serde_json::to_vec(status).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(content)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn text(status: StatusCode, content: &str) -> AdminResponse {
    let mut response = Response::new(Full::new(Bytes::from(content.to_owned())));
    *response.status_mut() = status;
    response
}
