//! A connection that stalls while its peer is cut off.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::state::name;
use crate::transport::peer::partition::{Direction, Partition};

/// How often a stalled connection looks whether the cut has ended.
const RECHECK: Duration = Duration::from_millis(20);

/// A TCP connection to an authenticated peer, subject to [`Partition`].
#[derive(Debug)]
pub(crate) struct Gate {
    stream: TcpStream,
    peer: name::Host,
    partition: Partition,
    closed: Arc<AtomicBool>,
    reading: Pin<Box<Sleep>>,
    writing: Pin<Box<Sleep>>,
}

impl Gate {
    pub(crate) fn new(stream: TcpStream, peer: name::Host, partition: Partition) -> Self {
        Self {
            stream,
            peer,
            partition,
            closed: Arc::default(),
            reading: Box::pin(tokio::time::sleep(Duration::ZERO)),
            writing: Box::pin(tokio::time::sleep(Duration::ZERO)),
        }
    }

    /// Returns a flag that is set when nothing more can be read.
    ///
    /// `h2` fails the streams then, but itself ends only after it has flushed, which a cut delays.
    pub(crate) fn closed(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.closed)
    }

    fn poll_open(&mut self, direction: Direction, cx: &mut Context<'_>) -> Poll<()> {
        while self.partition.blocks(direction, &self.peer) {
            let sleep = match direction {
                Direction::To => &mut self.writing,
                Direction::From => &mut self.reading,
            };
            if sleep.is_elapsed() {
                sleep.as_mut().reset(Instant::now() + RECHECK);
            }
            ready!(sleep.as_mut().poll(cx));
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_open(Direction::From, cx));
        let before = buf.filled().len();
        let outcome = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if outcome.is_err() || buf.filled().len() == before {
            self.closed.store(true, Ordering::Release);
        }
        Poll::Ready(outcome)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_open(Direction::To, cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_open(Direction::To, cx));
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
