//! The reply channel from a holder to the entry daemon, which may be the same process.

use primrosehoist::protocol::wire::Reply;
use primrosehoist::transport::peer;
use tokio::sync::mpsc;

/// Why a response can no longer be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Closed {
    /// The entry daemon ended the attempt.
    Cancelled,
    /// The connection to the entry daemon broke. It may resume the rest of the response.
    Disconnected,
}

/// Sends the replies to one dispatch.
#[derive(Debug)]
pub(crate) enum Responder {
    /// The entry daemon is this process.
    Local(mpsc::Sender<Reply>),
    /// The entry daemon is another process.
    Peer(peer::Responder),
}

impl Responder {
    /// Sends a reply, waiting for capacity.
    pub(crate) async fn send(&mut self, reply: Reply) -> Result<(), Closed> {
        match self {
            Self::Local(replies) => replies
                .send(reply)
                .await
                .map_err(|_source| Closed::Cancelled),
            Self::Peer(replies) => {
                if replies.send(&reply).await.is_ok() {
                    return Ok(());
                }
                Err(close_reason(replies).await)
            }
        }
    }

    /// Waits until the response can no longer be delivered; returns the cause.
    pub(crate) async fn closed(&mut self) -> Closed {
        match self {
            Self::Local(replies) => {
                replies.closed().await;
                Closed::Cancelled
            }
            Self::Peer(replies) => close_reason(replies).await,
        }
    }
}

async fn close_reason(replies: &mut peer::Responder) -> Closed {
    if replies.closed().await {
        Closed::Cancelled
    } else {
        Closed::Disconnected
    }
}
