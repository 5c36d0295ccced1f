//! Frames and raw bytes over one `h2` stream.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::de::DeserializeOwned;

use crate::protocol::codec;
use crate::transport::peer::Error;

/// Reads frames, and raw bytes after them, from a stream.
#[derive(Debug)]
pub(crate) struct Reader {
    stream: RecvStream,
    /// Bytes that arrived behind the last frame read.
    rest: Bytes,
    peer: String,
}

impl Reader {
    pub(crate) fn new(stream: RecvStream, peer: String) -> Self {
        Self {
            stream,
            rest: Bytes::new(),
            peer,
        }
    }

    /// Returns the next raw bytes, or `None` at the end of the stream.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        if !self.rest.is_empty() {
            return Ok(Some(std::mem::take(&mut self.rest)));
        }
        let Some(data) = self.stream.data().await else {
            return Ok(None);
        };
        let data = data.map_err(|cause| self.lost(&cause))?;
        self.stream
            .flow_control()
            .release_capacity(data.len())
            .map_err(|cause| self.lost(&cause))?;
        Ok(Some(data))
    }

    /// Returns the next frame, or `None` at the end of the stream.
    pub(crate) async fn frame<M>(&mut self) -> Result<Option<M>, Error>
    where
        M: DeserializeOwned,
    {
        let Some(prefix) = self.take(codec::PREFIX_BYTES).await? else {
            return Ok(None);
        };
        let prefix = prefix.as_ref().try_into().expect("the prefix has its size");
        let length = codec::decode_length(prefix).map_err(|cause| self.malformed(cause))?;
        let frame = self.take(length).await?.ok_or_else(|| self.truncated())?;
        let message = codec::decode(&frame).map_err(|cause| self.malformed(cause))?;
        Ok(Some(message))
    }

    /// Takes exactly `length` bytes, or `None` if the stream ends before the first of them.
    async fn take(&mut self, length: usize) -> Result<Option<Bytes>, Error> {
        if self.rest.len() >= length && length > 0 {
            return Ok(Some(self.rest.split_to(length)));
        }
        let mut gathered = BytesMut::new();
        while gathered.len() < length {
            let Some(mut chunk) = self.chunk().await? else {
                if gathered.is_empty() {
                    return Ok(None);
                }
                return Err(self.truncated());
            };
            let wanted = chunk.len().min(length - gathered.len());
            gathered.extend_from_slice(&chunk.split_to(wanted));
            self.rest = chunk;
        }
        Ok(Some(gathered.freeze()))
    }

    fn lost(&self, cause: &h2::Error) -> Error {
        Error::Lost {
            step: "reading",
            peer: self.peer.clone(),
            cause: cause.to_string(),
        }
    }

    fn malformed(&self, cause: codec::Error) -> Error {
        Error::Frame {
            peer: self.peer.clone(),
            cause,
        }
    }

    pub(crate) fn truncated(&self) -> Error {
        Error::Truncated {
            peer: self.peer.clone(),
        }
    }
}

/// Sends `data` as the peer's window allows, without copying it.
///
/// # Errors
///
/// Returns the error of the stream if the peer reset it or the connection broke.
pub(crate) async fn send(
    stream: &mut SendStream<Bytes>,
    mut data: Bytes,
    last: bool,
) -> Result<(), h2::Error> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
            Some(capacity) => capacity?,
            None => return Err(h2::Error::from(h2::Reason::STREAM_CLOSED)),
        };
        let part = data.split_to(capacity.min(data.len()));
        let ends = last && data.is_empty();
        stream.send_data(part, ends)?;
    }
    Ok(())
}
