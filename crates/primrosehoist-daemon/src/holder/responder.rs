//! The way back from a holder to the entry daemon, which may be the same process.

use primrosehoist::protocol::wire::Reply;
use primrosehoist::transport::peer;
use tokio::sync::mpsc;

/// Says that nobody waits for the answer any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

/// Takes the replies of one dispatch.
#[derive(Debug)]
pub(crate) enum Responder {
    /// The entry daemon is this process.
    Local(mpsc::Sender<Reply>),
    /// The entry daemon is another process.
    Peer(peer::Responder),
}

impl Responder {
    /// Sends a reply, waiting for room.
    pub(crate) async fn send(&mut self, reply: Reply) -> Result<(), Gone> {
        match self {
            Self::Local(replies) => replies.send(reply).await.map_err(|_source| Gone),
            Self::Peer(replies) => replies.send(&reply).await.map_err(|_source| Gone),
        }
    }

    /// Waits until nobody wants the answer any more.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Local(replies) => replies.closed().await,
            Self::Peer(replies) => replies.closed().await,
        }
    }
}
