//! Bodies: collected within a byte budget, and streamed without an implicit end.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout, timeout_at};

/// The unit of the byte budget.
const BUDGET_UNIT_BYTES: u64 = 1024;

/// The longest piece of a stored body that is handed on at once, in bytes.
const CHUNK_BYTES_MAX: usize = 64 * 1024;

quick_error! {
    /// Says why a body was not collected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The body is longer than allowed.
        TooLarge(limit: u64) { display("the body has more than {} bytes", limit) }
        /// The budget has no room for the body.
        BudgetExhausted { display("no memory is left for the body") }
        /// The body came too slowly.
        Timeout { display("the body came too slowly") }
        /// The connection failed.
        Broken { display("the body was cut off") }
    }
}

/// Limits on the collection of a body.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The longest body in bytes.
    pub bytes_max: u64,
    /// The longest time without progress.
    pub idle_timeout: Duration,
    /// The longest time for the whole body.
    pub total_timeout: Duration,
}

/// Memory for bodies, shared by all requests of the process.
#[derive(Debug, Clone)]
pub struct Budget {
    units: Arc<Semaphore>,
}

impl Budget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: u64) -> Self {
        let units = (bytes / BUDGET_UNIT_BYTES) as usize;
        Self {
            units: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
        }
    }

    fn take(&self, bytes: u64) -> Result<OwnedSemaphorePermit, Error> {
        let units = bytes.div_ceil(BUDGET_UNIT_BYTES) as u32;
        Arc::clone(&self.units)
            .try_acquire_many_owned(units)
            .map_err(|_source| Error::BudgetExhausted)
    }
}

/// A collected body. Clones share the bytes and their place in the budget.
#[derive(Debug, Clone)]
pub struct Buffered {
    bytes: Bytes,
    _permit: Arc<OwnedSemaphorePermit>,
}

impl Buffered {
    /// Collects `body` within `limits` and `budget`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, too slow, cut off, or the budget is exhausted.
    pub async fn collect<B>(mut body: B, limits: &Limits, budget: &Budget) -> Result<Self, Error>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let large = Error::TooLarge(limits.bytes_max);
        let hint = body.size_hint();
        if hint.lower() > limits.bytes_max {
            return Err(large);
        }
        let mut permit = budget.take(hint.lower())?;
        let mut reserved = hint.lower();
        let mut bytes = BytesMut::with_capacity(hint.lower() as usize);
        let end = Instant::now() + limits.total_timeout;
        while let Some(data) = next_data(&mut body, limits.idle_timeout, end).await? {
            let length = (bytes.len() + data.len()) as u64;
            if length > limits.bytes_max {
                return Err(large);
            }
            if length > reserved {
                permit.merge(budget.take(length - reserved)?);
                reserved = length;
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Self {
            bytes: bytes.freeze(),
            _permit: Arc::new(permit),
        })
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns a body that hands the bytes on in pieces, without a copy.
    pub fn replay(&self) -> Replay {
        Replay {
            left: self.bytes.clone(),
            _source: self.clone(),
        }
    }
}

async fn next_data<B>(body: &mut B, idle: Duration, end: Instant) -> Result<Option<Bytes>, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = timeout_at(end, timeout(idle, body.frame())).await;
        let frame = frame
            .map_err(|_source| Error::Timeout)?
            .map_err(|_source| Error::Timeout)?;
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(Error::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// A stored body on its way out.
#[derive(Debug)]
pub struct Replay {
    left: Bytes,
    _source: Buffered,
}

impl Replay {
    /// Returns the next piece, or nothing at the end.
    pub fn next_chunk(&mut self) -> Option<Bytes> {
        if self.left.is_empty() {
            return None;
        }
        let length = self.left.len().min(CHUNK_BYTES_MAX);
        Some(self.left.split_to(length))
    }
}

impl Body for Replay {
    type Data = Bytes;
    type Error = super::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.next_chunk().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}

/// A body of known length whose pieces come from a stream.
pub struct FixedLength {
    pieces: Chunks,
    left: u64,
}

/// The pieces of a [`FixedLength`] body.
pub type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, super::BoxError>> + Send>>;

impl FixedLength {
    /// Creates a body of `bytes` bytes in `pieces`.
    pub fn new(pieces: Chunks, bytes: u64) -> Self {
        Self {
            pieces,
            left: bytes,
        }
    }
}

impl fmt::Debug for FixedLength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FixedLength")
            .field("left", &self.left)
            .finish_non_exhaustive()
    }
}

impl Body for FixedLength {
    type Data = Bytes;
    type Error = super::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match ready!(self.pieces.as_mut().poll_next(cx)) {
            Some(Ok(piece)) => {
                self.left = self.left.saturating_sub(piece.len() as u64);
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None if self.left > 0 => Poll::Ready(Some(Err(Error::Broken.into()))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

quick_error! {
    /// Says that a body ended before it was whole.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Aborted {
        /// The writer stopped.
        Incomplete { display("the answer ended early") }
    }
}

enum Item {
    Data(Bytes),
    End,
}

/// The writing end of a [`Channel`] body.
#[derive(Debug)]
pub struct Writer {
    items: mpsc::Sender<Item>,
}

/// A body that is written as its content arrives. It fails unless it is ended explicitly, so
/// that a reader can tell a cut answer from a whole one.
#[derive(Debug)]
pub struct Channel {
    items: mpsc::Receiver<Item>,
    ended: bool,
    stopped: bool,
}

impl Channel {
    /// Creates a body that buffers at most `capacity` pieces, with its writer.
    pub fn new(capacity: usize) -> (Writer, Self) {
        let (sender, items) = mpsc::channel(capacity);
        let writer = Writer { items: sender };
        let outlet = Self {
            items,
            ended: false,
            stopped: false,
        };
        (writer, outlet)
    }
}

impl Writer {
    /// Writes a piece, waiting for room.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader is gone.
    pub async fn write(&self, data: Bytes) -> Result<(), Aborted> {
        self.put(Item::Data(data)).await
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader is gone.
    pub async fn end(self) -> Result<(), Aborted> {
        self.put(Item::End).await
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.items.closed().await;
    }

    async fn put(&self, item: Item) -> Result<(), Aborted> {
        self.items
            .send(item)
            .await
            .map_err(|_source| Aborted::Incomplete)
    }
}

impl Body for Channel {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match ready!(self.items.poll_recv(cx)) {
            Some(Item::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Item::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None if self.stopped => Poll::Ready(Some(Err(Aborted::Incomplete))),
            None => {
                // The connection flushes what it has before it asks again.
                self.stopped = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}
