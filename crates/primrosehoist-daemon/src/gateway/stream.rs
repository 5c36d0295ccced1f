//! The body of a streamed response. It forwards events as they arrive, and resumes the stream on
//! another upstream if it breaks.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use primrosehoist::coordination::failover::Failure;
use primrosehoist::protocol::event::{self, Splitter};
use primrosehoist::state::health::Observation;
use primrosehoist::transport::http::body::Aborted;
use primrosehoist::transport::http::{BoxError, Payload};
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

use super::answer::{Response, Unanswered};
use super::attempt::Attempts;
use super::ingress::Progress;
use super::placement::Placement;

/// The shortest silence after which a stream is resumed on another upstream.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(1600);

/// The longest silence of a stream, as a multiple of the route's target for pauses between events.
const SILENCE_TIMEOUT_FACTOR: f64 = 6.0;

/// The events after which an upstream has survived the start of an answer. One that crashes may still
/// have sent the first.
const SURVIVED_EVENTS: u64 = 2;

/// A stream that is relayed to the client.
pub(crate) struct Relay {
    attempts: Attempts,
    response: Option<Response>,
    splitter: Splitter,
    /// The id of the last event that was passed to the client.
    last_event: Option<u64>,
    /// Whether the stream has ended.
    ended: bool,
    /// The first event, which is read before the head is sent.
    first_event: Option<Bytes>,
    events: u64,
    /// The number of events of the current attempt.
    events_of_attempt: u64,
    progress: Progress,
    /// What a broken stream shows of its upstream, if anything.
    broken: Option<Observation>,
}

enum Step {
    Event(Bytes),
    End,
    Broken(Failure),
}

impl Relay {
    /// Starts a stream and waits for its first event.
    ///
    /// # Errors
    ///
    /// Returns why no event was received, with the attempts and the progress for the response.
    pub(crate) async fn start(
        mut attempts: Attempts,
        mut progress: Progress,
    ) -> Result<(Self, http::StatusCode, http::HeaderMap), (Unanswered, Attempts, Progress)> {
        let mut last_event = attempts.job.request.last_event;
        loop {
            let response = match attempts.execute(last_event).await {
                Ok(response) => response,
                Err(unanswered) => return Err((unanswered, attempts, progress)),
            };
            let (status, headers) = (response.status, response.headers.clone());
            let mut relay = Self {
                attempts,
                response: Some(response),
                splitter: Splitter::default(),
                last_event,
                ended: false,
                first_event: None,
                events: 0,
                events_of_attempt: 0,
                progress,
                broken: Some(Observation::Unreachable),
            };
            match relay.step().await {
                Step::Event(event) => {
                    relay.first_event = Some(event);
                    return Ok((relay, status, headers));
                }
                Step::End => {
                    relay.ended = true;
                    return Ok((relay, status, headers));
                }
                Step::Broken(failure) => {
                    let failed = relay.fail(failure);
                    last_event = relay.last_event;
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
            match relay.next_event().await {
                Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(relay))),
                Ok(None) => {
                    relay.progress.set_outcome("complete");
                    None
                }
                Err(cut) => {
                    relay.progress.set_outcome("cut");
                    // Lets the connection flush its buffer before it is closed.
                    tokio::task::yield_now().await;
                    Some((Err(BoxError::from(cut)), None))
                }
            }
        });
        StreamBody::new(events).boxed_unsync()
    }

    /// Returns the next event, resuming the stream if it breaks.
    async fn next_event(&mut self) -> Result<Option<Bytes>, Aborted> {
        if let Some(event) = self.first_event.take() {
            return Ok(Some(event));
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

    async fn resume(&mut self, failure: Failure) -> Result<(), Aborted> {
        if self.fail(failure).is_err() {
            return Err(Aborted::Incomplete);
        }
        match self.attempts.execute(self.last_event).await {
            Ok(response) => {
                log::info!(
                    request = self.attempts.job.request.id.as_str(),
                    upstream = response.upstream_id(),
                    after = self.last_event.unwrap_or_default();
                    "stream resumed"
                );
                self.response = Some(response);
                Ok(())
            }
            Err(unanswered) => {
                log::info!(
                    request = self.attempts.job.request.id.as_str(),
                    reason:? = unanswered;
                    "failed to resume stream"
                );
                Err(Aborted::Incomplete)
            }
        }
    }

    /// Ends the attempt after a failure; returns `Ok` if another one may follow.
    fn fail(&mut self, failure: Failure) -> Result<(), Unanswered> {
        self.splitter = Splitter::default();
        self.events_of_attempt = 0;
        let Some(response) = self.response.take() else {
            return Err(Unanswered::Uncertain("upstream"));
        };
        // All attempts that were left went with the request to the daemon that placed it.
        let Some(upstream) = response.upstream().map(Arc::clone) else {
            return Err(Unanswered::Uncertain("peer"));
        };
        drop(response);
        if let Some(broken) = self.broken.replace(Observation::Unreachable) {
            self.attempts.record(&upstream, broken);
        }
        self.attempts.on_failure(&upstream, failure)
    }

    /// Reads until an event is complete or the stream ends or breaks. Bytes that complete no event
    /// do not extend the time for it.
    async fn step(&mut self) -> Step {
        let mut due = None;
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    if let Some(event) = self.accept(event) {
                        return Step::Event(event);
                    }
                    due = None;
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!(request = self.attempts.job.request.id.as_str(), error:%; "invalid event stream");
                    return Step::Broken(Failure::Lost);
                }
            }
            let limit = self
                .response
                .as_ref()
                .map(|response| self.silence_timeout(response.placement.as_ref()));
            let (Some(limit), Some(response)) = (limit, self.response.as_mut()) else {
                return Step::Broken(Failure::Lost);
            };
            let due_at = *due.get_or_insert_with(|| Instant::now() + limit);
            let frame = response.exchange.response.body_mut().frame();
            let frame = timeout_at(due_at, frame).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if response.placement.is_some() {
                        self.attempts.context.record_heard();
                    }
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Ok(Some(Err(error))) => {
                    log::info!(
                        request = self.attempts.job.request.id.as_str(),
                        upstream = response.upstream_id(),
                        after = self.last_event.unwrap_or_default(),
                        error:%;
                        "stream broke"
                    );
                    self.suspect_crash();
                    return Step::Broken(Failure::Lost);
                }
                Ok(None) => return self.end(),
                Err(_elapsed) if self.attempts.context.pauses.is_outdated() => {
                    // This process was paused, and has not read what the upstream sent meanwhile.
                    self.attempts.context.pauses.wait_current().await;
                    due = None;
                }
                Err(_elapsed) => {
                    // The stream may only be slow. It is not given up without a replacement.
                    if self.events > 0 && !self.may_replace() {
                        due = None;
                        continue;
                    }
                    log::info!(
                        request = self.attempts.job.request.id.as_str(),
                        upstream = self.upstream_id(),
                        after = self.last_event.unwrap_or_default(),
                        silent_ms = limit.as_millis() as u64;
                        "stream timed out"
                    );
                    if self.attempts.is_cut_short() {
                        self.broken = None;
                    }
                    return Step::Broken(Failure::Lost);
                }
            }
        }
    }

    /// Returns the id of the upstream that generates the stream.
    pub(crate) fn upstream_id(&self) -> &str {
        self.response.as_ref().map_or("", Response::upstream_id)
    }

    /// Records a complete event and returns it, unless the client already has it.
    fn accept(&mut self, event: Bytes) -> Option<Bytes> {
        let response = self.response.as_mut();
        if let Some(placement) = response.and_then(|response| response.placement.as_mut()) {
            placement.finish_prefill();
        }
        // The daemon that received the request from the client counts its first event.
        if self.events == 0 && self.attempts.job.entry.is_none() {
            let job = &self.attempts.job;
            let metrics = &self.attempts.context.metrics;
            metrics.first_token(&job.service.name, job.received.elapsed());
        }
        if let Some(id) = event::id(&event) {
            if self.last_event.is_some_and(|last| id <= last) {
                return None;
            }
            self.last_event = Some(id);
        }
        self.events += 1;
        self.progress.record_event();
        self.events_of_attempt += 1;
        if self.events_of_attempt == SURVIVED_EVENTS {
            self.attempts.absolve_parts();
        }
        Some(event)
    }

    /// Records that the connection broke, so that the request may have crashed the upstream.
    fn suspect_crash(&self) {
        if let Some(upstream) = self.response.as_ref().and_then(Response::upstream) {
            self.attempts.suspect_crash(upstream, self.has_survived());
        }
    }

    /// Returns whether the end of the body is known by its framing, so that one that ended was not cut
    /// off by the connection.
    fn is_framed(&self) -> bool {
        self.response.as_ref().is_some_and(|response| {
            let headers = response.exchange.response.headers();
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
        })
    }

    /// Returns whether the upstream has survived the start of the answer.
    fn has_survived(&self) -> bool {
        self.events_of_attempt >= SURVIVED_EVENTS
    }

    /// Handles the end of the body. Bytes after the last complete event mean that it was cut off.
    fn end(&mut self) -> Step {
        if !self.splitter.remainder().is_empty() {
            self.suspect_crash();
            if self.is_framed() {
                self.broken = Some(Observation::Failure);
            }
            return Step::Broken(Failure::Lost);
        }
        if let Some(response) = self.response.take() {
            if let Some(upstream) = response.upstream() {
                self.attempts.record(upstream, Observation::Success);
            }
            response.return_connection();
        }
        Step::End
    }

    /// Returns whether a stream that is silent may be given up now: it can be resumed on another
    /// upstream, or its time is over.
    fn may_replace(&self) -> bool {
        self.attempts.job.remaining().is_zero()
            || (self.attempts.may_retry() && self.attempts.has_retry())
    }

    fn silence_timeout(&self, placement: Option<&Placement>) -> Duration {
        if self.events == 0 || placement.is_none() {
            return self.attempts.silence_timeout(placement);
        }
        let job = &self.attempts.job;
        let remaining = job.remaining();
        if !self.attempts.may_retry() {
            return remaining;
        }
        let silence_max = job
            .route
            .pause_max
            .unwrap_or_default()
            .mul_f64(SILENCE_TIMEOUT_FACTOR);
        remaining.min(silence_max.max(SILENCE_TIMEOUT_MIN))
    }
}
