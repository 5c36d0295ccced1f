//! Answers other daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use primrosehoist::protocol::wire::Request;
use primrosehoist::transport::peer::{Body, Error, Identity, Responder, Server};

use crate::holder;
use crate::node::Node;

/// Listens for other daemons until the result is dropped.
///
/// # Errors
///
/// Fails if `address` cannot be listened on.
pub(crate) async fn start(node: &Arc<Node>, address: SocketAddr) -> Result<Server, Error> {
    let identity = Identity::new(node.host.clone(), &node.secret);
    let node = Arc::clone(node);
    let handler =
        move |request, body, responder| answer(Arc::clone(&node), request, body, responder);
    Server::bind(&address.to_string(), identity, handler).await
}

async fn answer(node: Arc<Node>, request: Request, body: Body, responder: Responder) {
    if let Request::Dispatch(dispatch) = request {
        holder::serve_peer(node, dispatch, body, responder).await;
    }
}
