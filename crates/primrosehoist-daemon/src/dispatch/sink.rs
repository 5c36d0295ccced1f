//! The way of an answer to the caller.

use bytes::{Bytes, BytesMut};
use primrosehoist::coordination::request::{Action, Event, Request};
use primrosehoist::protocol::openai::ErrorBody;
use primrosehoist::protocol::outcome::Failure;
use primrosehoist::protocol::sse::DONE_EVENT;
use primrosehoist::transport::http::body::{Channel, Writer};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Pieces of an answer that wait for the connection of the caller.
const PIECES_MAX: usize = 8;

/// The longest answer that is kept until it is whole, in bytes. A longer one is passed on as it
/// comes, and cannot be retried once it has begun.
const WHOLE_BYTES_MAX: usize = 1 << 20;

/// The start of an answer.
#[derive(Debug)]
pub(crate) enum Opening {
    /// The request failed before any part of the answer was passed on.
    Failed(Failure),
    /// The whole answer.
    Whole(Head, Bytes),
    /// The head of an answer that is passed on as it comes.
    Stream(Head, Channel),
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: String,
}

/// Takes the answer to one request.
#[derive(Debug)]
pub(crate) struct Sink {
    events: bool,
    head: Option<Head>,
    /// The status of the answer, once it is known.
    status: u16,
    kept: BytesMut,
    way: Way,
}

#[derive(Debug)]
enum Way {
    /// Nothing was passed on.
    Closed(oneshot::Sender<Opening>),
    Open(Writer),
    /// The caller is gone.
    Gone,
}

impl Sink {
    /// Creates a sink; `events` tells whether the answer is a stream of events.
    pub(crate) fn new(events: bool) -> (Self, oneshot::Receiver<Opening>) {
        let (sender, receiver) = oneshot::channel();
        let sink = Self {
            events,
            head: None,
            status: 200,
            kept: BytesMut::new(),
            way: Way::Closed(sender),
        };
        (sink, receiver)
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&mut self) {
        match &mut self.way {
            Way::Closed(opening) => opening.closed().await,
            Way::Open(writer) => writer.closed().await,
            Way::Gone => {}
        }
    }

    /// Forgets what an earlier attempt answered, unless it was passed on.
    pub(crate) fn restart(&mut self) {
        self.kept.clear();
        if matches!(self.way, Way::Closed(_)) {
            self.head = None;
        }
    }

    /// Sets the head of the answer, unless it was passed on.
    pub(crate) fn set_head(&mut self, status: u16, content_type: String) {
        if matches!(self.way, Way::Closed(_)) {
            self.status = status;
            self.head = Some(Head {
                status,
                content_type,
            });
        }
    }

    /// Returns the status of the answer.
    pub(crate) fn status(&self) -> u16 {
        self.status
    }

    /// Takes a part of the answer: passes it on, or keeps it while the answer is short.
    pub(crate) async fn part(&mut self, index: u64, data: Bytes, machine: &mut Request) -> Action {
        let passed_on = matches!(self.way, Way::Open(_));
        let keep = !self.events && !passed_on;
        if keep && self.kept.len() + data.len() <= WHOLE_BYTES_MAX {
            self.kept.extend_from_slice(&data);
            return Action::Wait;
        }
        let index = if self.events {
            index
        } else {
            machine.next_part()
        };
        match machine.on_event(Event::Part(index), Instant::now()) {
            Action::Deliver => self.deliver(data, machine).await,
            Action::Discard => Action::Wait,
            action => action,
        }
    }

    async fn deliver(&mut self, data: Bytes, machine: &mut Request) -> Action {
        self.open();
        let kept = self.kept.split().freeze();
        for piece in [kept, data] {
            if !piece.is_empty() && !self.write(piece).await {
                return machine.on_event(Event::CallerLeft, Instant::now());
            }
        }
        Action::Wait
    }

    fn open(&mut self) {
        if !matches!(self.way, Way::Closed(_)) {
            return;
        }
        let head = self.take_head();
        let (writer, outlet) = Channel::new(PIECES_MAX);
        let way = std::mem::replace(&mut self.way, Way::Gone);
        if let Way::Closed(opening) = way
            && opening.send(Opening::Stream(head, outlet)).is_ok()
        {
            self.way = Way::Open(writer);
        }
    }

    async fn write(&self, data: Bytes) -> bool {
        match &self.way {
            Way::Open(writer) => writer.write(data).await.is_ok(),
            Way::Closed(_) | Way::Gone => false,
        }
    }

    /// Ends the answer as whole; returns whether the caller is still there.
    pub(crate) async fn finish(mut self) -> bool {
        if self.events {
            self.open();
            if !self.write(Bytes::from_static(DONE_EVENT)).await {
                return false;
            }
        }
        let head = self.take_head();
        match self.way {
            Way::Open(writer) => writer.end().await.is_ok(),
            Way::Closed(opening) => {
                let whole = Opening::Whole(head, self.kept.freeze());
                opening.send(whole).is_ok()
            }
            Way::Gone => false,
        }
    }

    /// Reports a failure; a started answer is cut off after it.
    pub(crate) async fn fail(self, failure: Failure, request: &str) {
        match self.way {
            Way::Closed(opening) => {
                // A caller that is gone needs no report.
                let _reported = opening.send(Opening::Failed(failure));
            }
            Way::Open(writer) if self.events => {
                let event = ErrorBody::new(&failure, request).to_event();
                // The same holds for a caller that left during the answer.
                let _reported = writer.write(Bytes::from(event)).await;
            }
            Way::Open(_) | Way::Gone => {}
        }
    }

    fn take_head(&mut self) -> Head {
        let content_type = || "application/octet-stream".to_owned();
        self.head.take().unwrap_or_else(|| Head {
            status: 200,
            content_type: content_type(),
        })
    }
}
