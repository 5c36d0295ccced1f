//! Exchanges state with daemons that start while the platform's store does not answer.
//!
//! Such a daemon asks the seeds that its settings name, on their control ports. What the store says later
//! replaces what they told.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use primrosehoist::coordination::backoff;
use primrosehoist::coordination::seeds::{self, Round};
use primrosehoist::protocol::snapshot::{Fleet, Seed};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::server::Peer;
use primrosehoist::transport::platform::{Endpoint, Target};
use tokio::time::{Instant, timeout, timeout_at};

use super::context::Context;
use super::{bytes_response, gossip, peer_sync, text_response};

/// The path of the state on the control port.
const PATH: &str = "/seed";

/// Responds to a daemon that starts. Only hosts that this daemon knows are told anything.
pub(crate) fn respond(context: &Context, request: &Request<Incoming>) -> Response<Payload> {
    let peer = request.extensions().get::<Peer>();
    let address = peer.map(|Peer(address)| address.ip());
    let (status, outcome) = match address {
        Some(address) if context.exchange.lock().peers.contains(address) => {
            if request.uri().path() != PATH {
                (StatusCode::NOT_FOUND, "refused")
            } else if !context.is_informed() || context.pauses.is_outdated() {
                (StatusCode::SERVICE_UNAVAILABLE, "uninformed")
            } else {
                (StatusCode::OK, "answered")
            }
        }
        _ => (StatusCode::FORBIDDEN, "refused"),
    };
    context.metrics.seed_request(outcome);
    if status != StatusCode::OK {
        return text_response(status, format!("{outcome}\n"));
    }
    let query = request.uri().query().unwrap_or_default();
    let seed = Seed {
        snapshot: peer_sync::snapshot(context, query),
        fleet: fleet(context),
    };
    bytes_response(seed.encode())
}

fn fleet(context: &Context) -> Fleet {
    let now = Instant::now();
    let members = context.exchange.lock().peers.listed();
    let info = gossip::info(context, &context.roster.lock(), now);
    Fleet {
        members,
        info,
        silence: context.last_contact.lock().elapsed(),
    }
}

/// Asks the seeds until the store or one of them has told which other daemons there are. These tell the
/// rest.
pub(crate) async fn learn(context: Arc<Context>) {
    let targets = seeds::targets(&context.settings.seeds, context.settings.address);
    if targets.is_empty()
        || timeout(seeds::STORE_PATIENCE, context.wait_joined())
            .await
            .is_ok()
    {
        return;
    }
    let mut failures = 0;
    while !context.has_joined() {
        let responses = ask(&context, &targets).await;
        if !responses.is_empty() {
            adopt(&context, responses);
            return;
        }
        failures += 1;
        let delay = backoff::jitter(seeds::retry_delay(failures));
        if timeout(delay, context.wait_joined()).await.is_ok() {
            return;
        }
    }
}

/// Returns the responses of the seeds that respond in time.
async fn ask(context: &Context, targets: &[SocketAddr]) -> Vec<(IpAddr, Seed)> {
    let mut calls: FuturesUnordered<_> = targets
        .iter()
        .map(|target| fetch(context, *target))
        .collect();
    let mut round = Round::new(Instant::now());
    let mut responses = Vec::with_capacity(targets.len());
    while let Ok(Some(response)) = timeout_at(round.ends_at(), calls.next()).await {
        if let Some(response) = response {
            round.record_response(response.1.fleet.silence, Instant::now());
            responses.push(response);
        }
    }
    responses
}

/// Requests the state of the seed at `target`, which knows this host by its address.
async fn fetch(context: &Context, target: SocketAddr) -> Option<(IpAddr, Seed)> {
    let endpoint = Endpoint::new(&target.to_string(), HeaderMap::new());
    let endpoint = endpoint.bound_to(context.settings.address);
    let path = Target::new(PATH).list(*context.versions.lock());
    let step = format!("fetch platform state from the seed {target}");
    let call = endpoint.call(
        &step,
        Method::GET,
        &path,
        Bytes::new(),
        seeds::RESPONSE_TIMEOUT,
    );
    let seed = match call.await {
        Ok(bytes) => Seed::try_from(bytes.as_ref()).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match seed {
        Ok(seed) => Some((target.ip(), seed)),
        Err(error) => {
            log::info!(seed:% = target, error = error.as_str(); "no state from seed");
            None
        }
    }
}

/// Applies the newest parts of all responses.
fn adopt(context: &Context, responses: Vec<(IpAddr, Seed)>) {
    let now = Instant::now();
    context.set_started_by_seeds();
    let silences = responses.iter().map(|(_, seed)| seed.fleet.silence);
    if let Some(contact) = seeds::last_contact(silences, now) {
        context.record_contact_of_others(contact);
    }
    for (address, Seed { snapshot, fleet }) in responses {
        let Fleet {
            members,
            info,
            silence,
        } = fleet;
        log::info!(
            seed:% = address,
            hosts = members.len(),
            versions:% = snapshot.versions,
            silence_ms = silence.as_millis() as u64;
            "platform state received from seed"
        );
        let mut exchange = context.exchange.lock();
        for (address, host, zone) in &members {
            exchange.peers.add(host, zone, *address, now);
        }
        let host = exchange.peers.host_at(address).cloned();
        let hosts = exchange.peers.hosts();
        drop(exchange);
        // The shares of limits must be those among all hosts before the first request is served.
        context.allowance.lock().set_daemons(hosts);
        peer_sync::apply(context, snapshot);
        if let Some(host) = host {
            gossip::apply_info(context, &host, &info, now);
        }
    }
    context.assign_store(now);
    context.urgent.notify_one();
}
