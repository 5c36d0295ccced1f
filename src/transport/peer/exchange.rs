//! The client side of an exchange.

use std::fmt;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use h2::SendStream;
use h2::client::ResponseFuture;
use tokio::task::JoinHandle;

use crate::protocol::wire;
use crate::state::name;
use crate::transport::peer::Error;
use crate::transport::peer::frames::{self, Reader};

/// The raw body that follows a request frame.
pub type Upload = Pin<Box<dyn Stream<Item = Bytes> + Send>>;

/// An open exchange. Dropping it before the last reply resets the stream, which
/// `Responder::closed` reports to the server.
pub struct Exchange {
    peer: name::Host,
    state: State,
    uploader: Option<JoinHandle<()>>,
    ended: bool,
}

enum State {
    Waiting(ResponseFuture),
    Reading(Reader),
}

impl Exchange {
    pub(crate) fn new(peer: name::Host, response: ResponseFuture) -> Self {
        Self {
            peer,
            state: State::Waiting(response),
            uploader: None,
            ended: false,
        }
    }

    pub(crate) fn upload(&mut self, stream: SendStream<Bytes>, body: Upload) {
        self.uploader = Some(tokio::spawn(upload(stream, body)));
    }

    /// Returns the authenticated host of the peer.
    pub fn peer(&self) -> &name::Host {
        &self.peer
    }

    /// Returns the next reply, or `None` after the last one. Cancel-safe only between replies.
    ///
    /// # Errors
    ///
    /// Returns an error if the link failed, the peer reset the stream, or the stream ended before
    /// the last reply.
    pub async fn next(&mut self) -> Result<Option<wire::Reply>, Error> {
        if self.ended {
            return Ok(None);
        }
        let reader = self.reader().await?;
        let reply: wire::Reply = reader.frame().await?.ok_or_else(|| reader.truncated())?;
        self.ended = reply.is_last();
        Ok(Some(reply))
    }

    async fn reader(&mut self) -> Result<&mut Reader, Error> {
        if let State::Waiting(response) = &mut self.state {
            let response = response.await.map_err(|cause| Error::Lost {
                operation: "waiting for a reply",
                peer: self.peer.to_string(),
                cause: cause.to_string(),
            })?;
            let reader = Reader::new(response.into_body(), self.peer.to_string());
            self.state = State::Reading(reader);
        }
        match &mut self.state {
            State::Reading(reader) => Ok(reader),
            State::Waiting(_) => unreachable!("`Waiting` was replaced above"),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(uploader) = &self.uploader {
            uploader.abort();
        }
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("peer", &self.peer)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

/// Sends a body until its end or until the stream is reset.
async fn upload(mut stream: SendStream<Bytes>, mut body: Upload) {
    while let Some(chunk) = body.next().await {
        let sent = frames::send(&mut stream, chunk, false).await;
        if sent.is_err() {
            // `Exchange::next` returns the error.
            return;
        }
    }
    let _already_reset = stream.send_data(Bytes::new(), true);
}
