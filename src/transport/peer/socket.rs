//! Peer sockets that are subject to an injected partition.

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

/// How often a blocked socket checks whether the partition has ended.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A TCP connection to an authenticated peer, subject to a [`Partition`].
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    peer: name::Host,
    partition: Partition,
    closed: Arc<AtomicBool>,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Pin<Box<Sleep>>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, peer: name::Host, partition: Partition) -> Self {
        Self {
            stream,
            peer,
            partition,
            closed: Arc::default(),
            read_timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
            write_timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
        }
    }

    /// Returns a flag that is set at the end of the stream or after a read error.
    ///
    /// `h2` then fails its streams, but its connection ends only after a flush, which a partition
    /// delays.
    pub(crate) fn closed(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.closed)
    }

    fn poll_unblocked(&mut self, direction: Direction, cx: &mut Context<'_>) -> Poll<()> {
        while self.partition.blocks(direction, &self.peer) {
            let timer = match direction {
                Direction::To => &mut self.write_timer,
                Direction::From => &mut self.read_timer,
            };
            if timer.is_elapsed() {
                timer.as_mut().reset(Instant::now() + RECHECK_INTERVAL);
            }
            ready!(timer.as_mut().poll(cx));
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_unblocked(Direction::From, cx));
        let before = buf.filled().len();
        let outcome = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if outcome.is_err() || buf.filled().len() == before {
            self.closed.store(true, Ordering::Release);
        }
        Poll::Ready(outcome)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_unblocked(Direction::To, cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_unblocked(Direction::To, cx));
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
