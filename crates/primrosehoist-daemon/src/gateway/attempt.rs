//! Attempts of a request until one is answered.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use primrosehoist::coordination::failover::{Decision, Failover, Failure};
use primrosehoist::coordination::stall::{self, Expectation};
use primrosehoist::state::health::Observation;
use primrosehoist::state::map::Set;
use primrosehoist::state::partition::Hop;
use primrosehoist::state::roster::Upstream;
use primrosehoist::state::route::Kind;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{Error, Exchange, Gate, Pool, Terms};
use primrosehoist_platform::header;
use tokio::time::{Instant, sleep, timeout};

use super::choose::{self, Refusal};
use super::context::Context;
use super::flight::Flight;
use super::job::Job;
use super::reservation::{self, Reservation};

/// The longest time to connect to an upstream. A host that lives answers within a few
/// milliseconds; one second later the opening packet would be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest time for which a connection may have been idle before it carries a request that
/// may not run twice: a connection that its upstream just closed would leave it uncertain.
const IDLE_MAX_ONCE: Duration = Duration::from_millis(500);

/// How much earlier than its stated time-out an idle connection is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// The time that must be left for an attempt to be made.
const REMAINING_MIN: Duration = Duration::from_millis(5);

/// How many times the objective a call may take before it is tried elsewhere.
const CALL_TARGETS: f64 = 3.0;

/// The shortest time in which an upstream may be silent before a request is tried elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(1500);

/// The pause after memory could not be reserved.
const RESERVE_PAUSE: Duration = Duration::from_millis(60);

/// The longest time for reading the body of a rejection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// The attempts of one request.
pub(crate) struct Attempts {
    pub(crate) context: Arc<Context>,
    pub(crate) job: Arc<Job>,
    course: Failover,
    excluded: Set<Arc<str>>,
    /// Attempts so far.
    pub(crate) count: u32,
    /// The newest failure that an upstream reported, with its whole answer.
    reported: Option<Whole>,
}

/// An answer whose head has come.
pub(crate) struct Open {
    pub(crate) flight: Flight,
    pub(crate) exchange: Exchange,
    pub(crate) pool: Arc<Pool>,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    closes: bool,
}

/// An attempt that failed.
struct Failed {
    /// The upstream at fault, which may be one that read a part of the prompt.
    upstream: Arc<Upstream>,
    failure: Failure,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: bytes::Bytes,
}

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// The request did not run and will not.
    NotRun(&'static str),
    /// The request may have run.
    Uncertain(&'static str),
    /// The time is over; the request may have run if `true`.
    Expired(bool),
    /// An upstream reported a failure.
    Reported(Box<Whole>),
}

impl Attempts {
    /// Creates the attempts of `job`.
    pub(crate) fn new(context: Arc<Context>, job: Arc<Job>) -> Self {
        let course = Failover::new(job.route.is_retryable(), job.route.attempts_max);
        context
            .allowance
            .lock()
            .record_request(&job.service.name, Instant::now());
        Self {
            context,
            job,
            course,
            excluded: Set::default(),
            count: 0,
            reported: None,
        }
    }

    /// Makes attempts until the head of a successful answer comes. `last_event` resumes a stream.
    ///
    /// # Errors
    ///
    /// Returns what the client is to be told.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<Open, Unanswered> {
        let resumes = last_event != self.job.said.last_event;
        loop {
            if self.job.remaining() < REMAINING_MIN {
                return Err(Unanswered::Expired(self.course.may_have_run()));
            }
            let fingerprint = self.job.fingerprint;
            if self
                .context
                .crashes
                .lock()
                .is_quarantined(fingerprint, Instant::now())
            {
                return Err(self.unanswered("crashes_upstreams"));
            }
            let placed = choose::place(&self.context, &self.job, &self.excluded, resumes).await;
            let mut flight = match placed {
                Ok(flight) => flight,
                Err(Refusal::Full) => return Err(self.unanswered("full")),
                Err(Refusal::Nowhere) => return Err(self.unanswered("no_upstream")),
            };
            if !flight.tickets.is_empty() {
                let reserved = Reservation::acquire(&self.context, &self.job, &flight).await;
                if reserved.is_none() {
                    drop(flight);
                    sleep(RESERVE_PAUSE).await;
                    continue;
                }
                flight.reservation = reserved;
            }
            self.count += 1;
            match self.send(flight, last_event).await {
                Ok(open) => return Ok(open),
                Err(failed) => self.next(&failed.upstream, failed.failure)?,
            }
        }
    }

    fn unanswered(&mut self, reason: &'static str) -> Unanswered {
        if let Some(whole) = self.reported.take() {
            return Unanswered::Reported(Box::new(whole));
        }
        if self.course.may_have_run() {
            return Unanswered::Uncertain(reason);
        }
        Unanswered::NotRun(reason)
    }

    /// Takes in a failure; returns if another attempt may be made.
    ///
    /// # Errors
    ///
    /// Returns what the client is to be told if not.
    pub(crate) fn next(
        &mut self,
        upstream: &Arc<Upstream>,
        failure: Failure,
    ) -> Result<(), Unanswered> {
        let now = Instant::now();
        let service = &self.job.service.name;
        self.excluded.insert(Arc::clone(&upstream.id));
        let next = self.course.on_failure(failure, || {
            self.context.allowance.lock().try_retry(service, now)
        });
        log::info!(
            request = self.job.said.id.as_str(),
            upstream = upstream.id.as_ref(),
            attempt = self.count,
            failure:%, next:%;
            "attempt failed"
        );
        match next {
            Decision::Retry => {
                self.context.metrics.retried(service);
                Ok(())
            }
            Decision::PassOn | Decision::NotRun | Decision::Uncertain => {
                Err(self.unanswered("upstream"))
            }
        }
    }

    /// Makes one attempt.
    async fn send(&mut self, flight: Flight, last_event: Option<u64>) -> Result<Open, Failed> {
        let upstream = Arc::clone(&flight.upstream);
        let remaining = self.job.remaining();
        let gate = self.gate(&upstream);
        let request = self.request(&flight, remaining, last_event);
        let pool = self.context.pool(upstream.address);
        let terms = self.terms();
        let limit = self.silence_limit(&flight);
        let sent = timeout(limit, pool.send_on(&terms, request, &gate)).await;
        let exchange = match sent {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => {
                let failure = self.on_error(&upstream, &gate, &error);
                return Err(Failed { upstream, failure });
            }
            Err(_elapsed) => {
                self.record(&upstream, Observation::Unreachable);
                let failure = if gate.handed() {
                    Failure::Lost
                } else {
                    Failure::Unsent
                };
                return Err(Failed { upstream, failure });
            }
        };
        self.on_head(flight, exchange, pool).await
    }

    fn on_error(&self, upstream: &Arc<Upstream>, gate: &Gate, error: &Error) -> Failure {
        log::info!(
            request = self.job.said.id.as_str(),
            upstream = upstream.id.as_ref(),
            handed = gate.handed(),
            error:%;
            "upstream gave no answer"
        );
        self.record(upstream, Observation::Unreachable);
        if !gate.handed() {
            let mut crashes = self.context.crashes.lock();
            crashes.upstream_down(&upstream.id, Instant::now());
            return Failure::Unsent;
        }
        self.suspect(upstream);
        Failure::Lost
    }

    /// Records that the connection broke while the upstream had the request.
    pub(crate) fn suspect(&self, upstream: &Upstream) {
        let now = Instant::now();
        let id = super::job::fingerprint(&upstream.id, &self.job.said.id, &[]);
        let mut crashes = self.context.crashes.lock();
        crashes.add_suspect(self.job.fingerprint, &upstream.id, id, now);
    }

    async fn on_head(
        &mut self,
        flight: Flight,
        mut exchange: Exchange,
        pool: Arc<Pool>,
    ) -> Result<Open, Failed> {
        let upstream = Arc::clone(&flight.upstream);
        let status = exchange.response.status();
        let headers = exchange.response.headers();
        let answer = header::Response::new(status, headers, &self.job.said.id);
        let kept = answer
            .keep_alive
            .map(|time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        let headers = header::end_to_end(headers);
        if let Some(time) = kept {
            exchange.keep_for(time);
        }
        let open = Open {
            flight,
            exchange,
            pool,
            status,
            headers,
            closes: answer.closes_connection,
        };
        let hop = self.context.hop_to(&upstream.zone);
        self.context.paths.lock().record_success(&hop);
        if answer.not_executed {
            let upstream = self.on_rejection(&open, &answer);
            open.discard().await;
            let failure = Failure::Rejected;
            return Err(Failed { upstream, failure });
        }
        let sound = answer.id_matches && !answer.encoded;
        if !sound || (status.is_success() && !answer.has_receipt) {
            log::warn!(
                request = self.job.said.id.as_str(),
                upstream = upstream.id.as_ref(),
                status = status.as_u16(),
                echoed = answer.id_matches,
                receipt = answer.has_receipt;
                "answer does not belong to the request"
            );
            self.record(&upstream, Observation::Failure);
            let failure = Failure::Lost;
            return Err(Failed { upstream, failure });
        }
        if status.is_success() {
            let mut paths = self.context.paths.lock();
            for helper in &open.flight.helpers {
                paths.record_success(&hop_between(&upstream, helper));
            }
            return Ok(open);
        }
        self.record(&upstream, Observation::Failure);
        let failure = match self.collect(open).await {
            Ok(whole) => {
                self.reported = Some(whole);
                Failure::Reported
            }
            Err(failure) => failure,
        };
        Err(Failed { upstream, failure })
    }

    /// Takes in that the request did not run; returns the upstream that is at fault.
    fn on_rejection(&self, open: &Open, answer: &header::Response) -> Arc<Upstream> {
        let upstream = &open.flight.upstream;
        log::info!(
            request = self.job.said.id.as_str(),
            upstream = upstream.id.as_ref(),
            status = open.status.as_u16(),
            faulty = answer.failed_upstream.as_deref().unwrap_or("");
            "upstream did not run the request"
        );
        // A failure may be about a helper, named by its id or its address.
        let faulty = answer.failed_upstream.as_deref().and_then(|faulty| {
            let mut helpers = open.flight.helpers.iter();
            helpers
                .find(|helper| helper.id.as_ref() == faulty || helper.address.to_string() == faulty)
        });
        if let Some(helper) = faulty {
            self.blame(helper, Observation::Unreachable);
            let hop = hop_between(upstream, helper);
            let mut paths = self.context.paths.lock();
            paths.record_failure(&hop, &helper.id, Instant::now());
        } else if open.status == StatusCode::MISDIRECTED_REQUEST {
            // The address belongs to another process now.
            self.record(upstream, Observation::Unreachable);
        }
        Arc::clone(faulty.unwrap_or(upstream))
    }

    /// Reads the body of an answer to its end and gives the connection back.
    ///
    /// # Errors
    ///
    /// Returns how the answer failed if it is not whole.
    pub(crate) async fn collect(&self, mut open: Open) -> Result<Whole, Failure> {
        let upstream = Arc::clone(&open.flight.upstream);
        let limit = self.silence_limit(&open.flight);
        let collected = timeout(limit, open.exchange.response.body_mut().collect()).await;
        match collected {
            Ok(Ok(body)) => {
                let whole = Whole {
                    status: open.status,
                    headers: open.headers.clone(),
                    body: body.to_bytes(),
                };
                open.finish();
                Ok(whole)
            }
            Ok(Err(error)) => {
                log::info!(
                    request = self.job.said.id.as_str(),
                    upstream = upstream.id.as_ref(),
                    error:%;
                    "answer was cut off"
                );
                self.record(&upstream, Observation::Unreachable);
                self.suspect(&upstream);
                Err(Failure::Lost)
            }
            Err(_elapsed) => {
                self.record(&upstream, Observation::Unreachable);
                Err(Failure::Lost)
            }
        }
    }

    /// Takes in how an attempt ended for the upstream.
    pub(crate) fn record(&self, upstream: &Arc<Upstream>, ending: Observation) {
        if ending == Observation::Success {
            let mut crashes = self.context.crashes.lock();
            crashes.upstream_answered(&upstream.id);
            crashes.clear(self.job.fingerprint);
        }
        if ending == Observation::Unreachable {
            let hop = self.context.hop_to(&upstream.zone);
            let mut paths = self.context.paths.lock();
            paths.record_failure(&hop, &upstream.id, Instant::now());
        }
        self.blame(upstream, ending);
    }

    /// Takes in how an attempt ended for an upstream, wherever it was reached from.
    fn blame(&self, upstream: &Arc<Upstream>, ending: Observation) {
        let mut trust = self.context.trust.lock();
        trust.record(&upstream.id, ending, Instant::now());
    }

    /// Returns whether a further attempt could be made if this one is given up.
    pub(crate) fn may_repeat(&self) -> bool {
        self.job.route.is_retryable() && u64::from(self.count) < self.job.route.attempts_max
    }

    fn terms(&self) -> Terms {
        let idle_max = if self.job.route.is_retryable() {
            Terms::default().idle_max
        } else {
            IDLE_MAX_ONCE
        };
        Terms {
            connect: CONNECT_TIMEOUT,
            idle_max,
        }
    }

    /// Returns how long the upstream of `flight` may be silent before its first event.
    pub(crate) fn silence_limit(&self, flight: &Flight) -> Duration {
        let remaining = self.job.remaining();
        let may_repeat = self.may_repeat();
        let limit = match self.job.route.kind {
            Kind::Stream => {
                let expected = Expectation {
                    ready: flight.ready,
                    is_split: !flight.helpers.is_empty(),
                    lease: flight.reservation.as_ref().map(|_| reservation::LEASE),
                    may_repeat,
                };
                stall::first_event_timeout(&expected, &self.context.bounds.load())
            }
            Kind::Idempotent | Kind::Once => {
                let patience = self.job.route.latency_target.mul_f64(CALL_TARGETS);
                may_repeat.then_some(patience.max(SILENCE_MIN))
            }
        };
        limit.map_or(remaining, |limit| remaining.min(limit))
    }

    /// Returns the gate that checks, before each write, that the upstream may still get work.
    fn gate(&self, upstream: &Arc<Upstream>) -> Arc<Gate> {
        let context = Arc::clone(&self.context);
        let job = Arc::clone(&self.job);
        let upstream = Arc::clone(upstream);
        let allowed = move |begun: bool| {
            begun
                || (job.remaining() >= REMAINING_MIN
                    && context.roster.lock().is_routable(&upstream))
        };
        Arc::new(Gate::new(Arc::default(), allowed))
    }

    fn request(
        &self,
        flight: &Flight,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> Request<Payload> {
        let helpers: Vec<_> = flight
            .helpers
            .iter()
            .enumerate()
            .map(|(index, helper)| {
                let reservation = flight.reservation.as_ref();
                let ticket = reservation.and_then(|reservation| reservation.ticket(index));
                (helper.address, ticket.map(str::to_owned))
            })
            .collect();
        let said = header::Overrides {
            upstream: &flight.upstream.id,
            remaining,
            workspace: self.job.workspace.as_deref(),
            last_event,
            helpers: &helpers,
        };
        let body = self.job.body.replay().boxed_unsync();
        let mut request = Request::new(body);
        *request.method_mut() = self.job.method.clone();
        // The target was parsed from a request, so it is one again.
        *request.uri_mut() = self.job.target.parse().unwrap_or_default();
        *request.headers_mut() = header::forward(&self.job.headers, &said);
        request
    }
}

/// Returns the hop by which one upstream reaches another.
fn hop_between(one: &Upstream, other: &Upstream) -> Hop {
    (Arc::clone(&one.zone), Arc::clone(&other.zone))
}

impl Open {
    /// Reads the rest of an answer that is of no use, to keep the connection if that is quick.
    async fn discard(mut self) {
        let rest = self.exchange.response.body_mut().collect();
        if matches!(timeout(DISCARD_TIMEOUT, rest).await, Ok(Ok(_))) {
            self.finish();
        }
    }

    /// Gives the connection of a whole answer back.
    pub(crate) fn finish(self) {
        if !self.closes {
            self.pool.give_back(self.exchange);
        }
    }
}
