//! The attempts of a request, until one gets a response.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use primrosehoist::coordination::failover::{Decision, Failover, Failure};
use primrosehoist::coordination::stall::{self, Expectation};
use primrosehoist::coordination::waiting::Refusal;
use primrosehoist::state::health::Observation;
use primrosehoist::state::map::Set;
use primrosehoist::state::partition::Hop;
use primrosehoist::state::roster::Upstream;
use primrosehoist::state::route::Kind;
use primrosehoist::transport::http::body::{self, Buffered};
use primrosehoist::transport::http::upstream::{Error, Exchange, Gate, Options, Pool};
use primrosehoist_platform::header;
use tokio::time::{Instant, sleep, timeout};

use super::answer::{BufferedResponse, Response, Unanswered};
use super::context::Context;
use super::forward;
use super::job::Job;
use super::permit;
use super::placement::Placement;
use super::reach::Waiting;
use super::reservation::{self, Reservation};
use super::selection::{self, Patience};
use super::share;

/// The timeout for connecting to an upstream. A live host accepts within a few milliseconds, and
/// the kernel retransmits a lost SYN only after one second.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest idle time of a connection that is reused for a non-idempotent request. If the
/// upstream had just closed the connection, it would be unknown whether the request ran.
const IDLE_MAX_NON_IDEMPOTENT: Duration = Duration::from_millis(500);

/// How long before the upstream's keep-alive timeout an idle connection is dropped.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// The least remaining time in which an attempt is made.
pub(crate) const REMAINING_MIN: Duration = Duration::from_millis(5);

/// The timeout of a call that may be retried, as a multiple of the latency objective.
const CALL_TIMEOUT_FACTOR: f64 = 3.0;

/// The shortest timeout of a call that may be retried.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(1500);

/// The delay after a failed memory reservation.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(60);

/// The maximum size of a response that is not streamed, in bytes.
const RESPONSE_BYTES_MAX: u64 = 4 << 20;

/// The attempts of one request.
pub(crate) struct Attempts {
    pub(crate) context: Arc<Context>,
    pub(crate) job: Arc<Job>,
    failover: Failover,
    excluded: Set<Arc<str>>,
    /// The number of attempts made so far, and of daemons that the request was handed to.
    pub(crate) count: u32,
    /// The last error response of an upstream.
    reported: Option<BufferedResponse>,
    /// When an upstream accepts work again, if none does before the request must be placed.
    pub(crate) reopens_at: Option<Instant>,
    /// When the caller may come again, as another daemon says that could not place the request.
    pub(crate) retry_after: Option<Duration>,
}

/// A failed attempt.
struct Failed {
    /// The upstream at fault, which may be a helper.
    upstream: Arc<Upstream>,
    failure: Failure,
}

impl Attempts {
    /// Creates the attempts of `job`.
    pub(crate) fn new(context: Arc<Context>, job: Arc<Job>) -> Self {
        let failover = Failover::new(job.route.is_retryable(), job.attempts_max);
        // The retry budget counts a request once, at the daemon that received it.
        if job.entry.is_none() {
            context
                .allowance
                .lock()
                .record_request(&job.service.name, Instant::now());
        }
        Self {
            context,
            job,
            failover,
            excluded: Set::default(),
            count: 0,
            reported: None,
            reopens_at: None,
            retry_after: None,
        }
    }

    /// Makes attempts until the head of a successful response is received. The stream starts after
    /// `last_event`.
    ///
    /// # Errors
    ///
    /// Returns why no attempt succeeded and no further one may be made.
    pub(crate) async fn execute(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Response, Unanswered> {
        let resumes = self.job.resumes_with(last_event);
        let mut patience = Patience::new(&self.job, resumes);
        let places_itself = !self.must_hand_over();
        if self.count == 0 && places_itself {
            share::record_asked(&self.context, &self.job);
        }
        if self.count == 0
            && places_itself
            && selection::is_refused_on_arrival(&self.context, &self.job, patience)
        {
            return Err(self.unanswered("overloaded"));
        }
        let mut has_taker = true;
        loop {
            self.context.pauses.wait_current().await;
            if self.job.remaining() < REMAINING_MIN {
                return Err(self.expired());
            }
            if has_taker && self.must_hand_over() {
                if let Some(response) = self.hand_over(last_event).await? {
                    return Ok(response);
                }
                if !self.context.hears_upstreams() {
                    return Err(self.unanswered("no_peer"));
                }
                // Connections that were opened before still carry requests.
                has_taker = false;
            }
            if self.job.entry.is_some() && self.context.is_cut_off() {
                return Err(self.cut_off());
            }
            if self.is_without_links() {
                self.wait_for_links(patience.gives_up_at()).await?;
                continue;
            }
            if is_quarantined(&self.context, &self.job) {
                return Err(self.unanswered("crashes_upstreams"));
            }
            let (context, job) = (&self.context, &self.job);
            let placed = selection::place(context, job, &self.excluded, resumes, patience).await;
            let mut placement = match placed {
                Ok(placement) => placement,
                Err(Refusal::Full) => return Err(self.unanswered("full")),
                Err(Refusal::Crowded) => return Err(self.unanswered("crowded")),
                Err(Refusal::NoUpstream) => return Err(self.unanswered("no_upstream")),
                // It is handed over, or placed here if the other daemons are cut off, too.
                Err(Refusal::CutOff) => continue,
                Err(Refusal::Deferred(until)) => {
                    self.reopens_at = Some(until);
                    return Err(self.unanswered("deferred"));
                }
            };
            if !permit::acquire(context, job, &placement, patience.for_permit()).await {
                continue;
            }
            if !placement.tickets.is_empty() {
                match Reservation::acquire(&self.context, &self.job, &placement).await {
                    Ok(reserved) => placement.reservation = Some(reserved),
                    Err(silent) => {
                        drop(placement);
                        // Otherwise the next placement needs the same upstream.
                        if let Some(upstream) = silent {
                            self.record(&upstream, Observation::Unreachable);
                        }
                        sleep(RESERVE_RETRY_DELAY).await;
                        continue;
                    }
                }
            }
            context.returns.lock().record_placed(job, Instant::now());
            share::record_got(context, job);
            self.count += 1;
            match self.attempt(placement, last_event).await {
                Ok(response) => return Ok(response),
                Err(failed) => self.on_failure(&failed.upstream, failed.failure)?,
            }
            patience = Patience::new(&self.job, resumes);
        }
    }

    /// Returns the outcome of a request whose deadline has passed.
    pub(crate) fn expired(&self) -> Unanswered {
        Unanswered::Expired(self.failover.may_have_run())
    }

    /// Returns the outcome of a request that was handed to this daemon, which is cut off itself.
    fn cut_off(&mut self) -> Unanswered {
        if self.failover.may_have_run() {
            return self.unanswered("cut_off");
        }
        Unanswered::CutOff
    }

    /// Returns the number of upstreams on which the request may still run.
    pub(crate) fn attempts_left(&self) -> u64 {
        self.failover.runs_left()
    }

    /// Returns the outcome of a request for which no further attempt may be made.
    pub(crate) fn unanswered(&mut self, reason: &'static str) -> Unanswered {
        if let Some(buffered) = self.reported.take() {
            return Unanswered::Reported(Box::new(buffered));
        }
        if self.failover.may_have_run() {
            return Unanswered::Uncertain(reason);
        }
        Unanswered::NotRun(reason)
    }

    /// Records a failed attempt; returns `Ok` if another attempt may be made.
    ///
    /// # Errors
    ///
    /// Returns why no further attempt may be made.
    pub(crate) fn on_failure(
        &mut self,
        upstream: &Arc<Upstream>,
        failure: Failure,
    ) -> Result<(), Unanswered> {
        let now = Instant::now();
        let service = &self.job.service.name;
        self.excluded.insert(Arc::clone(&upstream.id));
        let next = self.failover.on_failure(failure, || {
            self.context.allowance.lock().try_retry(service, now)
        });
        log::info!(
            request = self.job.request.id.as_str(),
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
    async fn attempt(
        &mut self,
        mut placement: Placement,
        last_event: Option<u64>,
    ) -> Result<Response, Failed> {
        let upstream = Arc::clone(&placement.upstream);
        placement.waiting = Some(Waiting::begin(&self.context, &upstream.id));
        let remaining = self.job.remaining();
        let gate = self.gate(&upstream);
        let request = match forward::request(&self.job, &placement, remaining, last_event) {
            Ok(request) => request,
            Err(error) => {
                log::error!(
                    request = self.job.request.id.as_str(),
                    upstream = upstream.id.as_ref(),
                    error:%;
                    "request not sent"
                );
                let failure = Failure::Unsent;
                return Err(Failed { upstream, failure });
            }
        };
        let pool = self.context.pool(upstream.address);
        let options = self.options();
        let limit = self.silence_timeout(Some(&placement));
        let sent_at = Instant::now();
        let sent = {
            let mut sending = pin!(pool.send_with(&options, request, &gate));
            let sent = timeout(limit, sending.as_mut()).await;
            if sent.is_err() && self.context.pauses.is_outdated() {
                // This process was paused, and has not read what the upstream sent meanwhile.
                self.context.pauses.wait_current().await;
                timeout(self.silence_timeout(Some(&placement)), sending).await
            } else {
                sent
            }
        };
        let exchange = match sent {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => {
                let failure = self.on_error(&upstream, &gate, &error);
                return Err(Failed { upstream, failure });
            }
            Err(_elapsed) => {
                let handed = gate.close();
                log::info!(
                    request = self.job.request.id.as_str(),
                    upstream = upstream.id.as_ref(),
                    handed,
                    limit_ms = limit.as_millis() as u64;
                    "no response from upstream in time"
                );
                if !self.is_cut_short() {
                    self.record(&upstream, Observation::Unreachable);
                }
                let failure = if handed {
                    Failure::Lost
                } else {
                    Failure::Unsent
                };
                return Err(Failed { upstream, failure });
            }
        };
        self.on_head(placement, exchange, pool, sent_at).await
    }

    fn on_error(&self, upstream: &Arc<Upstream>, gate: &Gate, error: &Error) -> Failure {
        let handed = gate.close();
        log::info!(
            request = self.job.request.id.as_str(),
            upstream = upstream.id.as_ref(),
            handed,
            error:%;
            "no response from upstream"
        );
        if (gate.has_denied() || error.is_own_shortage()) && !handed {
            return Failure::Unsent;
        }
        self.record(upstream, Observation::Unreachable);
        if !handed {
            self.suspect_down(upstream);
            return Failure::Unsent;
        }
        self.suspect_crash(upstream, false);
        Failure::Lost
    }

    async fn on_head(
        &mut self,
        placement: Placement,
        mut exchange: Exchange,
        pool: Arc<Pool>,
        sent_at: Instant,
    ) -> Result<Response, Failed> {
        let upstream = Arc::clone(&placement.upstream);
        self.context.record_heard();
        let status = exchange.response.status();
        let headers = exchange.response.headers();
        let answer = header::Response::new(status, headers, &self.job.request.id);
        let keep_alive = answer
            .keep_alive
            .map(|time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        let headers = header::end_to_end(headers);
        if let Some(time) = keep_alive {
            exchange.set_idle_timeout(time);
        }
        let hop = self.context.hop_to(&upstream.zone);
        self.context.partitions.lock().record_success(&hop);
        let is_final = header::is_final(status);
        if is_final && answer.not_executed && answer.id_matches {
            self.context.note_answer(&upstream, &answer, sent_at);
            let upstream = self.on_rejection(&placement, &exchange, &answer);
            let failure = Failure::Rejected;
            return Err(Failed { upstream, failure });
        }
        let matches_request = is_final && answer.id_matches && !answer.encoded;
        if !matches_request || (status.is_success() && !answer.has_receipt) {
            log::warn!(
                request = self.job.request.id.as_str(),
                upstream = upstream.id.as_ref(),
                connection = exchange.number().0,
                exchange = exchange.number().1,
                status = status.as_u16(),
                echoed = answer.id_matches,
                receipt = answer.has_receipt;
                "response does not match the request"
            );
            self.record(&upstream, Observation::Failure);
            let failure = Failure::Lost;
            return Err(Failed { upstream, failure });
        }
        self.context.note_answer(&upstream, &answer, sent_at);
        if status.is_success() {
            let mut partitions = self.context.partitions.lock();
            for helper in &placement.helpers {
                partitions.record_success(&hop_between(&upstream, helper));
            }
        } else {
            self.record(&upstream, Observation::Failure);
        }
        let response = Response {
            placement: Some(placement),
            exchange,
            pool,
            status,
            headers,
            closes_connection: answer.closes_connection,
        };
        if status.is_success() {
            return Ok(response);
        }
        let failure = match self.collect(response).await {
            Ok(buffered) => {
                self.reported = Some(buffered);
                Failure::Reported
            }
            Err(failure) => failure,
        };
        Err(Failed { upstream, failure })
    }

    /// Handles a response that says that the request did not run; returns the upstream at fault.
    fn on_rejection(
        &self,
        placement: &Placement,
        exchange: &Exchange,
        answer: &header::Response,
    ) -> Arc<Upstream> {
        let upstream = &placement.upstream;
        let status = exchange.response.status();
        log::info!(
            request = self.job.request.id.as_str(),
            upstream = upstream.id.as_ref(),
            connection = exchange.number().0,
            exchange = exchange.number().1,
            status = status.as_u16(),
            faulty = answer.failed_upstream.as_deref().unwrap_or("");
            "upstream did not run the request"
        );
        // The rejection may blame a helper, by its id or its address.
        let faulty = answer.failed_upstream.as_deref().and_then(|faulty| {
            let mut helpers = placement.helpers.iter();
            helpers
                .find(|helper| helper.id.as_ref() == faulty || helper.address.to_string() == faulty)
        });
        if let Some(helper) = faulty {
            self.record_health(helper, Observation::Unreachable);
            let hop = hop_between(upstream, helper);
            let mut partitions = self.context.partitions.lock();
            partitions.record_failure(&hop, &helper.id, Instant::now());
        } else if status == StatusCode::MISDIRECTED_REQUEST {
            // Another process now listens on the address.
            self.record(upstream, Observation::Unreachable);
        }
        Arc::clone(faulty.unwrap_or(upstream))
    }

    /// Reads the complete body of a response and returns its connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns a failure if the body is incomplete.
    pub(crate) async fn collect(
        &self,
        mut response: Response,
    ) -> Result<BufferedResponse, Failure> {
        let upstream = response.upstream().map(Arc::clone);
        let limit = self.silence_timeout(response.placement.as_ref());
        let limits = body::Limits {
            bytes_max: RESPONSE_BYTES_MAX,
            idle_timeout: limit,
            total_timeout: limit,
        };
        let body = response.exchange.response.body_mut();
        let body = body.map_frame(|frame| {
            if upstream.is_some() {
                self.context.record_heard();
            }
            frame
        });
        match Buffered::collect(body, &limits, &self.context.response_budget).await {
            Ok(body) => {
                let buffered = BufferedResponse {
                    upstream: upstream.map(|upstream| Arc::clone(&upstream.id)),
                    status: response.status,
                    headers: response.headers.clone(),
                    body,
                };
                response.return_connection();
                Ok(buffered)
            }
            Err(error) => {
                log::info!(
                    request = self.job.request.id.as_str(),
                    upstream = upstream.as_ref().map_or("", |upstream| upstream.id.as_ref()),
                    error:%;
                    "failed to read the response body"
                );
                // That no memory is left here is not the fault of the upstream.
                let is_own = error == body::Error::BudgetExhausted || self.is_cut_short();
                if let Some(upstream) = upstream.as_ref().filter(|_| !is_own) {
                    self.record(upstream, Observation::Unreachable);
                    if error == body::Error::Broken {
                        self.suspect_crash(upstream, false);
                    }
                }
                Err(Failure::Lost)
            }
        }
    }

    /// Returns whether a wait has ended because of the client's own timeout, so that it shows nothing of the
    /// upstream.
    pub(crate) fn is_cut_short(&self) -> bool {
        let timeout = self.job.request.timeout;
        timeout.is_some_and(|timeout| timeout < self.job.route.timeout)
            && self.job.remaining() < REMAINING_MIN
    }

    /// Returns whether another attempt may follow if the current one fails.
    pub(crate) fn may_retry(&self) -> bool {
        self.job.route.is_retryable() && u64::from(self.count) < self.job.attempts_max
    }

    /// Returns whether the retry budget allows another attempt now.
    pub(crate) fn has_retry(&self) -> bool {
        let service = &self.job.service.name;
        let mut allowance = self.context.allowance.lock();
        allowance.has_retry(service, Instant::now())
    }

    fn options(&self) -> Options {
        let idle_max = if self.job.route.is_retryable() {
            Options::default().idle_max
        } else {
            IDLE_MAX_NON_IDEMPOTENT
        };
        Options {
            connect_timeout: CONNECT_TIMEOUT,
            idle_max,
        }
    }

    /// Returns how long the upstream of `placement` may be silent before its first event. Another
    /// daemon that placed the request itself limits how long its upstream may be silent.
    pub(crate) fn silence_timeout(&self, placement: Option<&Placement>) -> Duration {
        let remaining = self.job.remaining();
        let Some(placement) = placement else {
            return remaining;
        };
        let may_retry = self.may_retry();
        let limit = match self.job.route.kind {
            Kind::Stream => {
                let expected = Expectation {
                    ready: placement.ready,
                    is_split: !placement.helpers.is_empty(),
                    lease: placement.reservation.as_ref().map(|_| reservation::LEASE),
                    may_retry,
                };
                stall::first_event_timeout(&expected, &self.context.bounds.load())
            }
            Kind::Idempotent | Kind::Once => {
                let call_timeout = self.job.route.latency_target.mul_f64(CALL_TIMEOUT_FACTOR);
                may_retry.then_some(call_timeout.max(SILENCE_TIMEOUT_MIN))
            }
        };
        limit.map_or(remaining, |limit| remaining.min(limit))
    }

    /// Returns a gate that checks before each write that the upstream still accepts work, as far as
    /// the daemon knows and if it knows the current state.
    fn gate(&self, upstream: &Arc<Upstream>) -> Arc<Gate> {
        let context = Arc::clone(&self.context);
        let job = Arc::clone(&self.job);
        let upstream = Arc::clone(upstream);
        let allowed = move |sent_before: bool| {
            let may_send = sent_before
                || (job.remaining() >= REMAINING_MIN
                    && !context.pauses.is_outdated()
                    && !is_quarantined(&context, &job)
                    && context.roster.lock().is_routable(&upstream, Instant::now()));
            may_send && job.handoff.start()
        };
        Arc::new(Gate::new(Arc::default(), allowed))
    }
}

/// Returns whether the request, or a part of its prompt, must not run again.
pub(crate) fn is_quarantined(context: &Context, job: &Job) -> bool {
    let crashes = context.crashes.lock();
    crashes.is_quarantined(&job.crash_causes, Instant::now())
}

/// Returns the hop between the zones of two upstreams.
fn hop_between(from: &Upstream, to: &Upstream) -> Hop {
    (Arc::clone(&from.zone), Arc::clone(&to.zone))
}
