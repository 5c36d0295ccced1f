//! Connects the cluster tasks with the request path, and serves requests of other daemons.

use std::sync::Arc;

use parking_lot::Mutex;
use primrosehoist::protocol::wire::Request;
use primrosehoist::state::sampler::Sampler;
use primrosehoist::state::view::Member;
use primrosehoist::transport::peer::{Body, Identity, Responder, Server};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::claims;
use crate::cluster::{Cluster, Hooks};
use crate::holder;
use crate::node::Node;
use crate::poison;
use crate::settings::Settings;
use crate::startup::{self, Port};
use crate::tasks::Supervisor;

/// The running connections to other daemons and the platform.
pub(crate) struct Links {
    pub(crate) cluster: Arc<Cluster>,
    /// Ends if the server of other daemons does.
    pub(crate) serving: JoinHandle<()>,
}

/// Starts the cluster tasks, and serves other daemons as soon as their port can be opened.
pub(crate) fn start(node: &Arc<Node>, settings: &Settings) -> Links {
    let cluster = cluster(node, settings);
    let identity = Identity {
        partition: node.peers.partition().clone(),
        ..Identity::new(node.host.clone(), &node.secret)
    };
    let handler = {
        let node = Arc::clone(node);
        let cluster = Arc::clone(&cluster);
        let impostors = Arc::new(Mutex::new(Sampler::new(Instant::now())));
        move |request, body, responder| {
            let node = Arc::clone(&node);
            let cluster = Arc::clone(&cluster);
            let impostors = Arc::clone(&impostors);
            answer(node, cluster, impostors, request, body, responder)
        }
    };
    let address = settings.listen.peer;
    let serving = tokio::spawn(async move {
        let open = || Port::reserve(address).and_then(Port::listen);
        let listener = startup::wait_for(open).await;
        let mut server = Server::start(listener, address, identity, handler);
        server.ended().await;
    });
    cluster.start();
    let tasks = Supervisor::new(node, node.metrics.task_restarts());
    tasks.spawn("reconcile_engines", holder::reconcile::run);
    tasks.spawn("sweep_claims", claims::sweep);
    poison::start(&tasks, node);
    Links { cluster, serving }
}

fn cluster(node: &Arc<Node>, settings: &Settings) -> Arc<Cluster> {
    let own = Member {
        host: node.host.clone(),
        zone: node.zone.clone(),
        address: settings.listen.peer.to_string(),
    };
    let platform = node.platform.clone();
    let seeds = settings.seeds.iter().map(ToString::to_string).collect();
    let peers = node.peers.clone();
    Cluster::new(Arc::clone(node), own, seeds, peers, platform, hooks(node))
}

fn hooks(node: &Arc<Node>) -> Hooks {
    let adverts = {
        let node = Arc::clone(node);
        Box::new(move || node.adverts(Instant::now()))
    };
    let in_flight = {
        let node = Arc::clone(node);
        Box::new(move |upstream: &_| node.holder.in_flight(upstream))
    };
    let fleet_changed = {
        let node = Arc::clone(node);
        Box::new(move || {
            let fleet = node.fleet.load();
            node.holder.apply_fleet(&fleet);
            node.poison.confirm(&fleet);
        })
    };
    Hooks {
        adverts,
        in_flight,
        fleet_changed,
    }
}

async fn answer(
    node: Arc<Node>,
    cluster: Arc<Cluster>,
    impostors: Arc<Mutex<Sampler>>,
    request: Request,
    body: Body,
    mut responder: Responder,
) {
    let peer = responder.peer().clone();
    let reply = match request {
        Request::Dispatch(dispatch) => {
            return holder::serve_peer(node, dispatch, body, responder).await;
        }
        Request::Reserve(dispatch) => {
            return holder::group::serve(node, dispatch, holder::Responder::Peer(responder)).await;
        }
        Request::Poison(message) => Some(poison::handle_reports(&node, &message)),
        request => cluster.answer(&peer, &request),
    };
    let Some(reply) = reply else {
        let sampled = impostors.lock().record(Instant::now());
        if let Some(unlogged) = sampled {
            log::warn!(peer = peer.as_str(), unlogged; "rejected a request sent in the name of another daemon");
        }
        return;
    };
    if let Err(error) = responder.send(&reply).await {
        log::debug!("cannot reply to a daemon: {error}");
    }
}
