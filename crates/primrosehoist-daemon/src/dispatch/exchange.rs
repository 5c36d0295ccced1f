//! The exchange with the holder of an upstream, which may be this process.

use std::sync::Arc;

use futures_util::stream;
use http_body_util::BodyExt;
use primrosehoist::protocol::wire::{self, Dispatch, Reply};
use primrosehoist::state::view::Member;
use primrosehoist::transport::http::body::Buffered;
use primrosehoist::transport::peer;
use tokio::sync::mpsc;

use crate::holder::{self, Responder};
use crate::node::Node;

/// The capacity of the reply queue of a local exchange.
const REPLIES_MAX: usize = 8;

/// A dispatch in progress. Dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) enum Exchange {
    /// The holder is this process.
    Local(mpsc::Receiver<Reply>),
    /// The holder is another process.
    Peer(peer::Exchange),
}

impl Exchange {
    /// Sends `dispatch` to the holder of its upstream. Returns `None` if no byte reached it.
    ///
    /// Without a body, the dispatch requests a memory reservation.
    pub(crate) async fn open(
        node: &Arc<Node>,
        dispatch: Dispatch,
        body: Option<&Buffered>,
    ) -> Option<Self> {
        let view = node.view.load_full();
        let holder = view.holders.get(&dispatch.upstream)?;
        if holder.member.host != node.host {
            return open_peer(node, &holder.member, dispatch, body).await;
        }
        let (sender, replies) = mpsc::channel(REPLIES_MAX);
        let responder = Responder::Local(sender);
        let node = Arc::clone(node);
        if let Some(body) = body {
            let payload = body.replay().boxed_unsync();
            tokio::spawn(holder::serve(node, dispatch, payload, responder));
        } else {
            tokio::spawn(holder::group::serve(node, dispatch, responder));
        }
        Some(Self::Local(replies))
    }

    /// Returns the next reply, or `None` if the exchange failed.
    pub(crate) async fn next(&mut self) -> Option<Reply> {
        match self {
            Self::Local(replies) => replies.recv().await,
            Self::Peer(exchange) => exchange.next().await.unwrap_or_else(|error| {
                log::info!("exchange with the holder failed: {error}");
                None
            }),
        }
    }
}

async fn open_peer(
    node: &Node,
    holder: &Member,
    dispatch: Dispatch,
    body: Option<&Buffered>,
) -> Option<Exchange> {
    let request = match body {
        Some(_) => wire::Request::Dispatch(dispatch),
        None => wire::Request::Reserve(dispatch),
    };
    let chunks = body.map(|body| -> peer::Upload {
        Box::pin(stream::unfold(body.replay(), |mut replay| async {
            let chunk = replay.next_chunk()?;
            Some((chunk, replay))
        }))
    });
    match node.peers.open(holder, &request, chunks).await {
        Ok(exchange) => Some(Exchange::Peer(exchange)),
        Err(error) => {
            log::info!("cannot reach the holder: {error}");
            None
        }
    }
}
