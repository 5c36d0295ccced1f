//! Delivers the response to the caller.

use bytes::{Bytes, BytesMut};
use primrosehoist::coordination::request::{Action, Event, Request};
use primrosehoist::protocol::openai::ErrorBody;
use primrosehoist::protocol::outcome::Failure;
use primrosehoist::protocol::sse::DONE_EVENT;
use primrosehoist::transport::http::body::{Channel, Writer};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The maximum number of chunks queued for the connection of the caller.
const CHUNKS_MAX: usize = 8;

/// The maximum size of a response that is buffered until it is complete, in bytes. A longer one is
/// streamed, and cannot be retried once the stream has started.
const BUFFERED_BYTES_MAX: usize = 1 << 20;

/// How the response to a request is delivered.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// The request failed before any part of the response was delivered.
    Failed(Failure),
    /// A complete response.
    Buffered(Head, Bytes),
    /// The head and the body of a response that is streamed.
    Streamed(Head, Channel),
}

/// The head of a response.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: String,
}

/// Receives the response to one request and delivers it to the caller.
#[derive(Debug)]
pub(crate) struct Sink {
    is_event_stream: bool,
    head: Option<Head>,
    /// The status of the response, once it is known.
    status: u16,
    buffered: BytesMut,
    output: Output,
}

#[derive(Debug)]
enum Output {
    /// Nothing was delivered yet.
    Pending(oneshot::Sender<Delivery>),
    Streaming(Writer),
    /// The caller disconnected.
    Closed,
}

impl Sink {
    /// Creates a sink; `is_event_stream` tells whether the response is an event stream.
    pub(crate) fn new(is_event_stream: bool) -> (Self, oneshot::Receiver<Delivery>) {
        let (sender, receiver) = oneshot::channel();
        let sink = Self {
            is_event_stream,
            head: None,
            status: 200,
            buffered: BytesMut::new(),
            output: Output::Pending(sender),
        };
        (sink, receiver)
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn closed(&mut self) {
        match &mut self.output {
            Output::Pending(delivery) => delivery.closed().await,
            Output::Streaming(writer) => writer.closed().await,
            Output::Closed => {}
        }
    }

    /// Discards the buffered response of an earlier attempt, and its head unless it was delivered.
    pub(crate) fn restart(&mut self) {
        self.buffered.clear();
        if matches!(self.output, Output::Pending(_)) {
            self.head = None;
        }
    }

    /// Sets the head of the response, unless it was delivered.
    pub(crate) fn set_head(&mut self, status: u16, content_type: String) {
        if matches!(self.output, Output::Pending(_)) {
            self.status = status;
            self.head = Some(Head {
                status,
                content_type,
            });
        }
    }

    /// Returns the status of the response.
    pub(crate) fn status(&self) -> u16 {
        self.status
    }

    /// Receives a part of the response: delivers it, or buffers it while the response is short.
    pub(crate) async fn push_part(
        &mut self,
        index: u64,
        data: Bytes,
        machine: &mut Request,
    ) -> Action {
        let is_streaming = matches!(self.output, Output::Streaming(_));
        let buffers = !self.is_event_stream && !is_streaming;
        if buffers && self.buffered.len() + data.len() <= BUFFERED_BYTES_MAX {
            self.buffered.extend_from_slice(&data);
            return Action::Wait;
        }
        let index = if self.is_event_stream {
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
        self.start_stream();
        let buffered = self.buffered.split().freeze();
        for chunk in [buffered, data] {
            if !chunk.is_empty() && !self.write(chunk).await {
                return machine.on_event(Event::CallerLeft, Instant::now());
            }
        }
        Action::Wait
    }

    fn start_stream(&mut self) {
        if !matches!(self.output, Output::Pending(_)) {
            return;
        }
        let head = self.take_head();
        let (writer, channel) = Channel::new(CHUNKS_MAX);
        let output = std::mem::replace(&mut self.output, Output::Closed);
        if let Output::Pending(delivery) = output
            && delivery.send(Delivery::Streamed(head, channel)).is_ok()
        {
            self.output = Output::Streaming(writer);
        }
    }

    async fn write(&self, data: Bytes) -> bool {
        match &self.output {
            Output::Streaming(writer) => writer.write(data).await.is_ok(),
            Output::Pending(_) | Output::Closed => false,
        }
    }

    /// Completes the response; returns whether the caller is still connected.
    pub(crate) async fn finish(mut self) -> bool {
        if self.is_event_stream {
            self.start_stream();
            if !self.write(Bytes::from_static(DONE_EVENT)).await {
                return false;
            }
        }
        let head = self.take_head();
        match self.output {
            Output::Streaming(writer) => writer.end().await.is_ok(),
            Output::Pending(delivery) => {
                let answer = Delivery::Buffered(head, self.buffered.freeze());
                delivery.send(answer).is_ok()
            }
            Output::Closed => false,
        }
    }

    /// Reports a failure; a response that was started is truncated after it.
    pub(crate) async fn fail(self, failure: Failure, request: &str) {
        match self.output {
            Output::Pending(delivery) => {
                // The caller may have disconnected.
                let _sent = delivery.send(Delivery::Failed(failure));
            }
            Output::Streaming(writer) if self.is_event_stream => {
                let event = ErrorBody::new(&failure, request).to_event();
                // The caller may have disconnected during the response.
                let _sent = writer.write(Bytes::from(event)).await;
            }
            Output::Streaming(_) | Output::Closed => {}
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
