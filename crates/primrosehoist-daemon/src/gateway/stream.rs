//! The body of a streamed answer: events as they arrive, resumed elsewhere after a break.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use primrosehoist::coordination::failover::Failure;
use primrosehoist::protocol::event::{self, Splitter};
use primrosehoist::state::health::Observation;
use primrosehoist::transport::http::body::Cut;
use primrosehoist::transport::http::{BoxError, Payload};
use std::sync::Arc;
use tokio::time::timeout;

use super::attempt::{Attempts, Open, Unanswered};
use super::flight::Flight;
use super::ingress::Progress;

/// The shortest silence after which a stream is resumed elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(1600);

/// How many times the pause that is still on time a stream may be silent.
const SILENCE_PAUSES: f64 = 6.0;

/// A stream on its way to the client.
pub(crate) struct Relay {
    attempts: Attempts,
    open: Option<Open>,
    splitter: Splitter,
    /// The last event that the client has.
    last: Option<u64>,
    /// Whether the answer ended, whole or not.
    ended: bool,
    /// The first event, which was read before the head was sent.
    first: Option<Bytes>,
    events: u64,
    progress: Progress,
}

enum Step {
    Event(Bytes),
    End,
    Broken(Failure),
}

impl Relay {
    /// Begins to relay a stream: waits for its first event.
    ///
    /// # Errors
    ///
    /// Returns what the client is to be told if no event comes.
    pub(crate) async fn begin(
        mut attempts: Attempts,
        mut progress: Progress,
    ) -> Result<(Self, http::StatusCode, http::HeaderMap), (Unanswered, Attempts, Progress)> {
        let mut last = attempts.job.said.last_event;
        loop {
            let open = match attempts.open(last).await {
                Ok(open) => open,
                Err(unanswered) => return Err((unanswered, attempts, progress)),
            };
            let (status, headers) = (open.status, open.headers.clone());
            let mut relay = Self {
                attempts,
                open: Some(open),
                splitter: Splitter::default(),
                last,
                ended: false,
                first: None,
                events: 0,
                progress,
            };
            match relay.step().await {
                Step::Event(event) => {
                    relay.first = Some(event);
                    return Ok((relay, status, headers));
                }
                Step::End => {
                    relay.ended = true;
                    return Ok((relay, status, headers));
                }
                Step::Broken(failure) => {
                    let failed = relay.fail(failure);
                    last = relay.last;
                    attempts = relay.attempts;
                    progress = relay.progress;
                    if let Err(unanswered) = failed {
                        return Err((unanswered, attempts, progress));
                    }
                }
            }
        }
    }

    /// Returns the body for the client.
    pub(crate) fn into_body(self) -> Payload {
        let events = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(relay))),
                Ok(None) => {
                    relay.progress.set_outcome("complete");
                    None
                }
                Err(cut) => {
                    relay.progress.set_outcome("cut");
                    // Lets the connection send what it has before it is closed.
                    tokio::task::yield_now().await;
                    Some((Err(BoxError::from(cut)), None))
                }
            }
        });
        StreamBody::new(events).boxed_unsync()
    }

    /// Returns the next event, resuming the stream as often as needed.
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.ended {
            return Ok(None);
        }
        loop {
            match self.step().await {
                Step::Event(event) => return Ok(Some(event)),
                Step::End => {
                    self.ended = true;
                    return Ok(None);
                }
                Step::Broken(failure) => self.resume(failure).await?,
            }
        }
    }

    async fn resume(&mut self, failure: Failure) -> Result<(), Cut> {
        if self.fail(failure).is_err() {
            return Err(Cut::Stopped);
        }
        match self.attempts.open(self.last).await {
            Ok(open) => {
                log::info!(
                    request = self.attempts.job.said.id.as_str(),
                    upstream = open.flight.upstream.id.as_ref(),
                    after = self.last.unwrap_or_default();
                    "stream resumed"
                );
                self.open = Some(open);
                Ok(())
            }
            Err(unanswered) => {
                log::info!(
                    request = self.attempts.job.said.id.as_str(),
                    reason:? = unanswered;
                    "stream cannot be resumed"
                );
                Err(Cut::Stopped)
            }
        }
    }

    /// Ends the attempt after a failure; returns if another one may follow.
    fn fail(&mut self, failure: Failure) -> Result<(), Unanswered> {
        self.splitter = Splitter::default();
        let Some(open) = self.open.take() else {
            return Err(Unanswered::Uncertain("upstream"));
        };
        let upstream = Arc::clone(&open.flight.upstream);
        drop(open);
        self.attempts.record(&upstream, Observation::Unreachable);
        self.attempts.next(&upstream, failure)
    }

    /// Reads until an event is whole or the stream ends or breaks.
    async fn step(&mut self) -> Step {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    if let Some(event) = self.accept(event) {
                        return Step::Event(event);
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!(request = self.attempts.job.said.id.as_str(), error:%; "bad stream");
                    return Step::Broken(Failure::Lost);
                }
            }
            let limit = self
                .open
                .as_ref()
                .map(|open| self.silence_limit(&open.flight));
            let (Some(limit), Some(open)) = (limit, self.open.as_mut()) else {
                return Step::Broken(Failure::Lost);
            };
            let frame = timeout(limit, open.exchange.response.body_mut().frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Ok(Some(Err(error))) => {
                    let upstream = Arc::clone(&open.flight.upstream);
                    log::info!(
                        request = self.attempts.job.said.id.as_str(),
                        upstream = upstream.id.as_ref(),
                        after = self.last.unwrap_or_default(),
                        error:%;
                        "stream broke"
                    );
                    self.attempts.suspect(&upstream);
                    return Step::Broken(Failure::Lost);
                }
                Ok(None) => return self.end(),
                Err(_elapsed) => {
                    log::info!(
                        request = self.attempts.job.said.id.as_str(),
                        upstream = open.flight.upstream.id.as_ref(),
                        after = self.last.unwrap_or_default(),
                        silent_ms = limit.as_millis() as u64;
                        "stream fell silent"
                    );
                    return Step::Broken(Failure::Lost);
                }
            }
        }
    }

    /// Takes in a whole event; yields it unless the client has it.
    fn accept(&mut self, event: Bytes) -> Option<Bytes> {
        if let Some(open) = self.open.as_mut() {
            open.flight.read();
        }
        if self.events == 0 {
            let job = &self.attempts.job;
            let metrics = &self.attempts.context.metrics;
            metrics.first_token(&job.service.name, job.received.elapsed());
        }
        if let Some(id) = event::id(&event) {
            if self.last.is_some_and(|last| id <= last) {
                return None;
            }
            self.last = Some(id);
        }
        self.events += 1;
        self.progress.event();
        Some(event)
    }

    /// The answer ended by its own framing. Bytes after the last whole event mean a cut.
    fn end(&mut self) -> Step {
        if !self.splitter.remainder().is_empty() {
            return Step::Broken(Failure::Lost);
        }
        if let Some(open) = self.open.take() {
            self.attempts
                .record(&open.flight.upstream, Observation::Success);
            open.finish();
        }
        Step::End
    }

    fn silence_limit(&self, flight: &Flight) -> Duration {
        if self.events == 0 {
            return self.attempts.silence_limit(flight);
        }
        let job = &self.attempts.job;
        let remaining = job.remaining();
        if !self.attempts.may_repeat() {
            return remaining;
        }
        let patience = job
            .route
            .pause_max
            .unwrap_or_default()
            .mul_f64(SILENCE_PAUSES);
        remaining.min(patience.max(SILENCE_MIN))
    }
}
