//! Read timeouts for server connections.
//!
//! An idle timeout applies between two requests, and a separate timeout applies to reading the head
//! of a request. Neither applies while a request is in progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

use crate::transport::http::places::Place;

/// Tracks whether a request is in progress on a connection. Clones share the state.
#[derive(Debug, Clone)]
pub struct Activity {
    active: Arc<AtomicBool>,
    /// Notified when the first request begins.
    first_request: Arc<Notify>,
    started: Arc<AtomicBool>,
    /// Whether bytes were received since the last request began.
    received: Arc<AtomicBool>,
    /// The requests in a row that were received before the answer to the one before them.
    ahead: Arc<AtomicUsize>,
    place: Place,
}

/// Keeps a request marked as in progress until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    activity: Activity,
}

impl Activity {
    /// Creates the activity of the connection at `place`.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            active: Arc::default(),
            first_request: Arc::default(),
            started: Arc::default(),
            received: Arc::default(),
            ahead: Arc::default(),
        }
    }

    /// Marks that the whole request has been received.
    pub fn run(&self) {
        self.place.run();
    }

    /// Returns the number of requests in a row that the client sent ahead.
    pub fn ahead(&self) -> usize {
        self.ahead.load(Ordering::Acquire)
    }

    /// Marks a request as in progress.
    pub fn begin(&self) -> ActiveRequest {
        if self.received.swap(false, Ordering::AcqRel) {
            self.ahead.store(0, Ordering::Release);
        } else {
            self.ahead.fetch_add(1, Ordering::AcqRel);
        }
        self.active.store(true, Ordering::Release);
        self.started.store(true, Ordering::Release);
        self.first_request.notify_one();
        ActiveRequest {
            activity: self.clone(),
        }
    }

    /// Waits until the first request begins.
    pub async fn first_request(&self) {
        if !self.started.load(Ordering::Acquire) {
            self.first_request.notified().await;
        }
    }

    fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.activity.active.store(false, Ordering::Release);
        self.activity.place.rest();
    }
}

/// A response body whose request stays in progress until the body is sent or dropped.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _request: ActiveRequest,
}

impl<B> TrackedBody<B> {
    /// Wraps `body`, which holds `request` until it is dropped.
    pub fn new(body: B, request: ActiveRequest) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has been received.
    Idle,
    /// A part of the head has been received.
    Head,
}

/// A connection whose reads fail after a timeout.
#[derive(Debug)]
pub struct Timeout<S> {
    inner: S,
    activity: Activity,
    idle_limit: Duration,
    head_limit: Duration,
    phase: Phase,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> Timeout<S> {
    /// Wraps `inner` with an idle timeout between requests and a timeout for the head of a request.
    pub fn new(inner: S, activity: Activity, idle_limit: Duration, head_limit: Duration) -> Self {
        Self {
            inner,
            activity,
            idle_limit,
            head_limit,
            phase: Phase::Idle,
            timer: None,
        }
    }

    fn reset(&mut self) {
        self.phase = Phase::Idle;
        self.timer = None;
    }
}

impl<S> AsyncRead for Timeout<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let length = buf.filled().len() - before;
        if length > 0 {
            self.activity.received.store(true, Ordering::Release);
        }
        if self.activity.is_active() {
            if length > 0 {
                self.activity.place.receive(0);
            }
            self.reset();
            return read;
        }
        if length > 0 {
            self.activity.place.receive(length as u64);
        }
        if read.is_ready() {
            if length > 0 && self.phase == Phase::Idle {
                self.phase = Phase::Head;
                self.timer = Some(Box::pin(sleep(self.head_limit)));
            }
            return read;
        }
        let idle_limit = self.idle_limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(idle_limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S> AsyncWrite for Timeout<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
