//! The way back from a holder to the entry daemon, which may be the same process.

use primrosehoist::protocol::wire::Reply;
use primrosehoist::transport::peer;
use tokio::sync::mpsc;

/// Why an answer cannot be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gone {
    /// The entry daemon ended the attempt.
    Cancelled,
    /// The link to the entry daemon broke. It may come back for the rest of the answer.
    Cut,
}

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
            Self::Local(replies) => replies.send(reply).await.map_err(|_source| Gone::Cancelled),
            Self::Peer(replies) => {
                if replies.send(&reply).await.is_ok() {
                    return Ok(());
                }
                Err(peer_gone(replies).await)
            }
        }
    }

    /// Waits until the answer cannot be delivered, and says why.
    pub(crate) async fn closed(&mut self) -> Gone {
        match self {
            Self::Local(replies) => {
                replies.closed().await;
                Gone::Cancelled
            }
            Self::Peer(replies) => peer_gone(replies).await,
        }
    }
}

async fn peer_gone(replies: &mut peer::Responder) -> Gone {
    if replies.closed().await {
        Gone::Cancelled
    } else {
        Gone::Cut
    }
}
