//! Frames and raw bytes on an `h2` stream.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::de::DeserializeOwned;

use crate::protocol::codec;
use crate::transport::peer::Error;

/// Reads frames, and the raw bytes that follow them, from a stream.
#[derive(Debug)]
pub(crate) struct Reader {
    stream: RecvStream,
    /// Received bytes after the last frame.
    buffer: Bytes,
    peer: String,
}

impl Reader {
    pub(crate) fn new(stream: RecvStream, peer: String) -> Self {
        Self {
            stream,
            buffer: Bytes::new(),
            peer,
        }
    }

    /// Returns the next raw bytes, or `None` at the end of the stream.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        if !self.buffer.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffer)));
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
        let Some(prefix) = self.read_exact(codec::PREFIX_BYTES).await? else {
            return Ok(None);
        };
        let prefix = prefix
            .as_ref()
            .try_into()
            .expect("`read_exact` returns the requested length");
        let length = codec::decode_length(prefix).map_err(|cause| self.malformed(cause))?;
        let frame = self
            .read_exact(length)
            .await?
            .ok_or_else(|| self.truncated())?;
        let message = codec::decode(&frame).map_err(|cause| self.malformed(cause))?;
        Ok(Some(message))
    }

    /// Reads exactly `length` bytes. Returns `None` if the stream ends before the first byte.
    async fn read_exact(&mut self, length: usize) -> Result<Option<Bytes>, Error> {
        if self.buffer.len() >= length && length > 0 {
            return Ok(Some(self.buffer.split_to(length)));
        }
        let mut bytes = BytesMut::new();
        while bytes.len() < length {
            let Some(mut chunk) = self.chunk().await? else {
                if bytes.is_empty() {
                    return Ok(None);
                }
                return Err(self.truncated());
            };
            let count = chunk.len().min(length - bytes.len());
            bytes.extend_from_slice(&chunk.split_to(count));
            self.buffer = chunk;
        }
        Ok(Some(bytes.freeze()))
    }

    fn lost(&self, cause: &h2::Error) -> Error {
        Error::Lost {
            operation: "reading",
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

/// Sends `data` without copying it, within the flow-control window of the peer.
///
/// # Errors
///
/// Returns an error if the peer reset the stream or the connection failed.
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
        let chunk = data.split_to(capacity.min(data.len()));
        let end_of_stream = last && data.is_empty();
        stream.send_data(chunk, end_of_stream)?;
    }
    Ok(())
}
