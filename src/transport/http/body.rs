//! Request and response bodies: buffered within a memory budget, or streamed with an explicit end.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout, timeout_at};

/// The granularity of the memory budget, in bytes.
const BUDGET_UNIT_BYTES: u64 = 1024;

/// The largest size of a small body, in bytes.
const SMALL_BYTES_MAX: u64 = 64 * 1024;

/// The largest chunk of a replayed body, in bytes.
const CHUNK_BYTES_MAX: usize = 64 * 1024;

quick_error! {
    /// An error from buffering a body.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The body exceeds the size limit, in bytes.
        TooLarge(limit: u64) { display("the body has more than {} bytes", limit) }
        /// The memory budget is exhausted.
        BudgetExhausted { display("no memory is left for the body") }
        /// The body exceeded the idle or total timeout.
        Timeout { display("the body came too slowly") }
        /// The connection failed before the end of the body.
        Broken { display("the body was cut off") }
    }
}

/// Limits on buffering a body.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The maximum size, in bytes.
    pub bytes_max: u64,
    /// The maximum time without progress.
    pub idle_timeout: Duration,
    /// The maximum time for the whole body.
    pub total_timeout: Duration,
}

/// A memory budget for bodies, shared by all requests of the process.
#[derive(Debug, Clone)]
pub struct Budget {
    units: Arc<Semaphore>,
    /// The number of units when no body is buffered.
    total: usize,
    /// The bytes of each body that are not counted.
    exempt_bytes: u64,
    /// The share that only small bodies may use, from 0 to 1.
    small_share: f64,
}

impl Budget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: u64) -> Self {
        Self::with_exemption(bytes, 0)
    }

    /// Creates a budget of `bytes` bytes, in which the first `exempt_bytes` of each body are not
    /// counted: small bodies are buffered even if large ones have exhausted the budget.
    pub fn with_exemption(bytes: u64, exempt_bytes: u64) -> Self {
        let total = ((bytes / BUDGET_UNIT_BYTES) as usize).min(Semaphore::MAX_PERMITS);
        Self {
            units: Arc::new(Semaphore::new(total)),
            total,
            exempt_bytes,
            small_share: 0.0,
        }
    }

    /// Leaves `share` of the budget, from 0 to 1, to bodies of at most 64 KiB.
    #[must_use]
    pub fn keeping_for_small(mut self, share: f64) -> Self {
        self.small_share = share;
        self
    }

    /// Returns whether `share` of the budget, from 0 to 1, stays free if a body of `length` bytes is
    /// buffered.
    pub fn keeps_free(&self, share: f64, length: u64) -> bool {
        self.has_free(share, length.saturating_sub(self.exempt_bytes))
    }

    /// Returns whether `share` of the budget stays free if `counted` bytes are taken.
    fn has_free(&self, share: f64, counted: u64) -> bool {
        let needed = counted.div_ceil(BUDGET_UNIT_BYTES) as usize;
        let left = self.units.available_permits().saturating_sub(needed);
        left as f64 >= self.total as f64 * share
    }

    /// Reserves the memory by which a body of `length` bytes exceeds one of `reserved` bytes.
    fn reserve(&self, length: u64, reserved: u64) -> Result<OwnedSemaphorePermit, Error> {
        let counted = |bytes: u64| bytes.saturating_sub(self.exempt_bytes);
        let bytes = counted(length) - counted(reserved);
        if length > SMALL_BYTES_MAX && !self.has_free(self.small_share, bytes) {
            return Err(Error::BudgetExhausted);
        }
        let units = bytes.div_ceil(BUDGET_UNIT_BYTES) as u32;
        Arc::clone(&self.units)
            .try_acquire_many_owned(units)
            .map_err(|_source| Error::BudgetExhausted)
    }
}

/// A buffered body. Clones share the bytes and their reservation in the budget.
#[derive(Debug, Clone, Default)]
pub struct Buffered {
    bytes: Bytes,
    /// The reservation; an empty body needs none.
    _permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl Buffered {
    /// Buffers `body` within `limits` and `budget`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, times out or is truncated, or if the budget is
    /// exhausted.
    pub async fn collect<B>(mut body: B, limits: &Limits, budget: &Budget) -> Result<Self, Error>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let too_large = Error::TooLarge(limits.bytes_max);
        let hint = body.size_hint();
        if hint.lower() > limits.bytes_max {
            return Err(too_large);
        }
        let mut permit = budget.reserve(hint.lower(), 0)?;
        let mut reserved = hint.lower();
        let mut bytes = Vec::with_capacity(hint.lower() as usize);
        let deadline = Instant::now() + limits.total_timeout;
        while let Some(data) = next_data(&mut body, limits.idle_timeout, deadline).await? {
            let length = (bytes.len() + data.len()) as u64;
            if length > limits.bytes_max {
                return Err(too_large);
            }
            if length > reserved {
                // Doubles the capacity, so that few bytes are copied.
                let doubled = match 2 * reserved {
                    // A small body is not judged as a large one for its capacity.
                    doubled if length <= SMALL_BYTES_MAX => doubled.min(SMALL_BYTES_MAX),
                    doubled => doubled,
                };
                let capacity = length.max(doubled).min(limits.bytes_max);
                permit.merge(budget.reserve(capacity, reserved)?);
                reserved = capacity;
                bytes.reserve_exact(capacity as usize - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        if (bytes.len() as u64) < reserved {
            bytes.shrink_to_fit();
            let unused = reserved.saturating_sub(budget.exempt_bytes)
                - (bytes.len() as u64).saturating_sub(budget.exempt_bytes);
            drop(permit.split((unused / BUDGET_UNIT_BYTES) as usize));
        }
        Ok(Self {
            bytes: Bytes::from(bytes),
            _permit: Some(Arc::new(permit)),
        })
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns a body that yields the buffered bytes in chunks without copying them.
    pub fn replay(&self) -> Replay {
        Replay {
            remaining: self.bytes.clone(),
            source: self.clone(),
        }
    }
}

async fn next_data<B>(
    body: &mut B,
    idle_timeout: Duration,
    deadline: Instant,
) -> Result<Option<Bytes>, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = timeout_at(deadline, timeout(idle_timeout, body.frame())).await;
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

/// Reads the rest of `body` without keeping it, up to `bytes_max` bytes. Returns whether the body
/// ended within these.
pub async fn discard<B>(body: &mut B, bytes_max: usize) -> bool
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut remaining = bytes_max;
    loop {
        let frame = match body.frame().await {
            None => return true,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => frame,
        };
        let length = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(length) {
            Some(left) => remaining = left,
            None => return false,
        }
    }
}

/// A body that yields the bytes of a [`Buffered`] body.
#[derive(Debug)]
pub struct Replay {
    remaining: Bytes,
    source: Buffered,
}

/// A part of a [`Buffered`] body. It keeps the whole body allocated, and so reserved.
struct Chunk {
    bytes: Bytes,
    _source: Buffered,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Replay {
    /// Returns the next chunk, or `None` at the end.
    pub fn next_chunk(&mut self) -> Option<Bytes> {
        if self.remaining.is_empty() {
            return None;
        }
        let length = self.remaining.len().min(CHUNK_BYTES_MAX);
        Some(Bytes::from_owner(Chunk {
            bytes: self.remaining.split_to(length),
            _source: self.source.clone(),
        }))
    }
}

impl Body for Replay {
    type Data = Bytes;
    type Error = super::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.next_chunk().map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}

/// A body of known length whose chunks come from a stream. It fails if the stream ends early.
pub struct FixedLength {
    chunks: Chunks,
    remaining: u64,
}

/// The chunks of a [`FixedLength`] body.
pub type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, super::BoxError>> + Send>>;

impl FixedLength {
    /// Creates a body of `length` bytes that `chunks` yields.
    pub fn new(chunks: Chunks, length: u64) -> Self {
        Self {
            chunks,
            remaining: length,
        }
    }
}

impl fmt::Debug for FixedLength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FixedLength")
            .field("remaining", &self.remaining)
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
        match ready!(self.chunks.as_mut().poll_next(cx)) {
            Some(Ok(chunk)) => {
                self.remaining = self.remaining.saturating_sub(chunk.len() as u64);
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None if self.remaining > 0 => Poll::Ready(Some(Err(Error::Broken.into()))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}

quick_error! {
    /// An error from a body that was dropped before its end.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Aborted {
        /// The writer or the reader was dropped before the end of the body.
        Incomplete { display("the body was aborted before its end") }
    }
}

enum Message {
    Data(Bytes),
    End,
}

/// The sending half of a [`Channel`] body.
#[derive(Debug)]
pub struct Writer {
    messages: mpsc::Sender<Message>,
}

/// A body that is fed by a [`Writer`]. It fails unless the writer ends it explicitly, so that a
/// reader can distinguish a truncated response from a complete one.
#[derive(Debug)]
pub struct Channel {
    messages: mpsc::Receiver<Message>,
    ended: bool,
    aborted: bool,
}

impl Channel {
    /// Creates a body that buffers at most `capacity` chunks, and its writer.
    pub fn new(capacity: usize) -> (Writer, Self) {
        let (sender, messages) = mpsc::channel(capacity);
        let writer = Writer { messages: sender };
        let channel = Self {
            messages,
            ended: false,
            aborted: false,
        };
        (writer, channel)
    }
}

impl Writer {
    /// Writes a chunk, waiting while the buffer is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader was dropped.
    pub async fn write(&self, data: Bytes) -> Result<(), Aborted> {
        self.send(Message::Data(data)).await
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader was dropped.
    pub async fn end(self) -> Result<(), Aborted> {
        self.send(Message::End).await
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.messages.closed().await;
    }

    async fn send(&self, message: Message) -> Result<(), Aborted> {
        self.messages
            .send(message)
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
        match ready!(self.messages.poll_recv(cx)) {
            Some(Message::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Message::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None if self.aborted => Poll::Ready(Some(Err(Aborted::Incomplete))),
            None => {
                // Failing one poll later lets the connection flush what it has buffered.
                self.aborted = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}
