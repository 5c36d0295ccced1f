//! A connection that fails when its client is quiet for too long.
//!
//! The time between two requests and the time for the head of a request have limits of their
//! own. While a request is being answered the client may be quiet.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

/// Whether a request is being answered on a connection. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Activity {
    active: Arc<AtomicBool>,
    /// Told when the first request begins.
    first: Arc<Notify>,
    begun: Arc<AtomicBool>,
}

/// Marks a request as being answered until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    activity: Activity,
}

impl Activity {
    /// Begins an answer.
    pub fn begin(&self) -> ActiveRequest {
        self.active.store(true, Ordering::Release);
        self.begun.store(true, Ordering::Release);
        self.first.notify_one();
        ActiveRequest {
            activity: self.clone(),
        }
    }

    /// Waits until the first request begins.
    pub async fn first_request(&self) {
        if !self.begun.load(Ordering::Acquire) {
            self.first.notified().await;
        }
    }

    fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.activity.active.store(false, Ordering::Release);
    }
}

/// The body of an answer, which is being given until the body is sent or dropped.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _request: ActiveRequest,
}

impl<B> TrackedBody<B> {
    /// Wraps `body`.
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
    /// No byte of a request has come.
    Idle,
    /// A part of the head has come.
    Head,
}

/// A connection whose reads fail after the client was quiet for too long.
#[derive(Debug)]
pub struct Timeout<S> {
    inner: S,
    activity: Activity,
    idle: Duration,
    head: Duration,
    phase: Phase,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> Timeout<S> {
    /// Wraps `inner`: a client may be quiet for `idle` between requests, and take `head` for the
    /// head of one.
    pub fn new(inner: S, activity: Activity, idle: Duration, head: Duration) -> Self {
        Self {
            inner,
            activity,
            idle,
            head,
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
        if self.activity.is_active() {
            self.reset();
            return read;
        }
        if read.is_ready() {
            if buf.filled().len() > before && self.phase == Phase::Idle {
                self.phase = Phase::Head;
                self.timer = Some(Box::pin(sleep(self.head)));
            }
            return read;
        }
        let idle = self.idle;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(idle)));
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
