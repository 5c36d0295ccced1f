//! Hands requests to another daemon while this host is cut off from all upstreams.
//!
//! All attempts that a request has left go with it, so that the upstreams it reaches are counted
//! once. While nothing of it may have run, another daemon is tried. The answer passes as if it came
//! from an upstream.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header::{HeaderMap, RETRY_AFTER};
use http_body_util::BodyExt;
use primrosehoist::protocol::handover::{self, Outcome};
use primrosehoist::state::map::Set;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::upstream::{Exchange, Gate, Options, Pool};
use primrosehoist_platform::header;
use tokio::time::{Instant, sleep, timeout};

use super::answer::{Response, Unanswered};
use super::attempt::{Attempts, REMAINING_MIN, is_quarantined};

/// The largest number of daemons to which a request is handed in turn.
const TARGETS_MAX: usize = 3;

/// The timeout for connecting to another daemon. A live host accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest idle time of a connection that is used again. If the other daemon had just closed
/// the connection, it would be unknown whether the request ran.
const IDLE_MAX: Duration = Duration::from_millis(500);

/// The interval between checks whether upstreams, or a daemon that reaches some, can be reached again.
const LINKS_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// What became of a request at one daemon.
enum Handed {
    Answered(Box<Response>),
    /// The request did not run there and will not, and another daemon may take it.
    Refused,
    Ended(Unanswered),
}

impl Attempts {
    /// Returns whether the request is handed to another daemon now. It is not if all others are cut
    /// off as well: then the upstreams are down.
    pub(crate) fn must_hand_over(&self) -> bool {
        let context = &self.context;
        self.job.entry.is_none()
            && context.is_cut_off()
            && context.handover_target(&Set::default()).is_some()
    }

    /// Returns whether attempts would only fail: this host is cut off, no connection of before works, and
    /// no other daemon takes the request. Each would exclude an upstream that may be back soon.
    pub(crate) fn is_without_links(&self) -> bool {
        self.context.is_cut_off() && !self.context.hears_upstreams() && !self.must_hand_over()
    }

    /// Waits until it is time to check again whether the request is [without
    /// links](Self::is_without_links).
    ///
    /// # Errors
    ///
    /// Returns an error at `give_up_at`.
    pub(crate) async fn wait_for_links(&mut self, give_up_at: Instant) -> Result<(), Unanswered> {
        if Instant::now() >= give_up_at {
            return Err(self.unanswered("cut_off"));
        }
        sleep(LINKS_POLL_INTERVAL).await;
        Ok(())
    }

    /// Hands the request to other daemons until one takes it. A stream starts after `last_event`.
    /// Returns `None` if none of them takes it.
    ///
    /// # Errors
    ///
    /// Returns why the daemon that took the request has no answer.
    pub(crate) async fn hand_over(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Option<Response>, Unanswered> {
        let mut tried = Set::default();
        while tried.len() < TARGETS_MAX {
            let Some(address) = self.context.handover_target(&tried) else {
                break;
            };
            self.context.pauses.wait_current().await;
            if self.job.remaining() < REMAINING_MIN {
                return Err(self.expired());
            }
            tried.insert(address);
            self.count += 1;
            match self.send_to(address, last_event).await {
                Handed::Answered(response) => return Ok(Some(*response)),
                Handed::Refused => {}
                Handed::Ended(unanswered) => return Err(unanswered),
            }
        }
        Ok(None)
    }

    async fn send_to(&mut self, address: IpAddr, last_event: Option<u64>) -> Handed {
        let sending = rand::random();
        let request = match self.request_for_daemon(sending, last_event) {
            Ok(request) => request,
            Err(error) => {
                log::error!(request = self.job.request.id.as_str(), error:%; "request not handed over");
                return Handed::Refused;
            }
        };
        let gate = self.gate_for_daemon();
        let pool = self.context.handover_pool(address);
        let options = Options {
            connect_timeout: CONNECT_TIMEOUT,
            idle_max: IDLE_MAX,
        };
        log::info!(
            request = self.job.request.id.as_str(),
            daemon:% = address,
            attempts = self.attempts_left();
            "request handed over"
        );
        let sent_at = Instant::now();
        let sent = timeout(
            self.job.remaining(),
            pool.send_with(&options, request, &gate),
        )
        .await;
        let (error, is_expired) = match sent {
            Ok(Ok(exchange)) => return self.on_answer(sending, exchange, pool, sent_at).await,
            Ok(Err(error)) => (error.to_string(), false),
            Err(elapsed) => (elapsed.to_string(), true),
        };
        let handed = gate.close();
        log::info!(
            request = self.job.request.id.as_str(),
            daemon:% = address,
            handed,
            error;
            "no response from daemon"
        );
        // Only what was handed over may have run there.
        match (handed, is_expired) {
            (true, true) => Handed::Ended(Unanswered::Expired(true)),
            (true, false) => Handed::Ended(Unanswered::Uncertain("peer")),
            (false, true) => Handed::Ended(self.expired()),
            (false, false) => Handed::Refused,
        }
    }

    async fn on_answer(
        &mut self,
        sending: u64,
        mut exchange: Exchange,
        pool: Arc<Pool>,
        sent_at: Instant,
    ) -> Handed {
        // A connection that is not used again must not take the place of others there.
        exchange.set_idle_timeout(IDLE_MAX);
        let status = exchange.response.status();
        let headers = exchange.response.headers();
        // A statement about another sending says nothing of this one.
        let head = handover::Response::try_from(headers).ok();
        let Some(head) = head.filter(|head| head.sending == sending) else {
            log::warn!(
                request = self.job.request.id.as_str(),
                daemon:% = pool.address(),
                status = status.as_u16();
                "answer of daemon does not match the request"
            );
            return Handed::Ended(Unanswered::Uncertain("peer"));
        };
        log::info!(
            request = self.job.request.id.as_str(),
            daemon:% = pool.address(),
            upstream = head.upstream.as_deref().unwrap_or(""),
            status = status.as_u16(),
            outcome:% = head.outcome,
            reason = head.reason.as_str();
            "daemon answered"
        );
        match head.outcome {
            Outcome::Answered | Outcome::Reported => {}
            Outcome::Busy => return Handed::Refused,
            Outcome::NotRun => {
                self.retry_after = retry_after(headers);
                return Handed::Ended(self.unanswered("peer"));
            }
            Outcome::Uncertain => return Handed::Ended(Unanswered::Uncertain("peer")),
            Outcome::Expired => return Handed::Ended(Unanswered::Expired(true)),
        }
        let answer = header::Response::new(status, headers, &self.job.request.id);
        let is_valid = header::is_final(status) && answer.id_matches && !answer.encoded;
        if !is_valid || (status.is_success() && !answer.has_receipt) {
            log::warn!(
                request = self.job.request.id.as_str(),
                daemon:% = pool.address(),
                status = status.as_u16(),
                echoed = answer.id_matches,
                receipt = answer.has_receipt;
                "response does not match the request"
            );
            return Handed::Ended(Unanswered::Uncertain("peer"));
        }
        // Callers learn from this daemon, too, that the upstream leaves or names a limit.
        let id = head.upstream.as_deref().unwrap_or_default();
        let upstream = self.context.roster.lock().get(id).map(Arc::clone);
        if let Some(upstream) = upstream {
            self.context.note_answer(&upstream, &answer, sent_at);
        }
        let mut headers = header::end_to_end(headers);
        handover::strip(&mut headers);
        let response = Response {
            placement: None,
            exchange,
            pool,
            status,
            headers,
            closes_connection: answer.closes_connection,
        };
        if head.outcome == Outcome::Answered && status.is_success() {
            return Handed::Answered(Box::new(response));
        }
        match self.collect(response).await {
            Ok(buffered) => Handed::Ended(Unanswered::Reported(Box::new(buffered))),
            Err(_failure) => Handed::Ended(Unanswered::Uncertain("peer")),
        }
    }

    /// Returns a gate that checks before the first write that the request may still run.
    fn gate_for_daemon(&self) -> Arc<Gate> {
        let context = Arc::clone(&self.context);
        let job = Arc::clone(&self.job);
        let allowed = move |sent_before: bool| {
            let may_send = sent_before
                || (job.remaining() >= REMAINING_MIN
                    && !context.pauses.is_outdated()
                    && !is_quarantined(&context, &job));
            may_send && job.handoff.start()
        };
        Arc::new(Gate::new(Arc::default(), allowed))
    }

    /// Returns the request to another daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if no header holds what that one must be told.
    fn request_for_daemon(
        &self,
        sending: u64,
        last_event: Option<u64>,
    ) -> Result<Request<Payload>, handover::Error> {
        let head = handover::Request {
            sending,
            host: Arc::clone(&self.context.settings.host),
            workspace: self.job.workspace.clone(),
            elapsed: self.job.received.elapsed(),
            remaining: self.job.remaining(),
            attempts: self.attempts_left(),
            last_event,
            resumes: self.job.resumes || last_event != self.job.request.last_event,
            versions: *self.context.versions.lock(),
        };
        let mut request = Request::new(self.job.body.replay().boxed_unsync());
        *request.method_mut() = self.job.method.clone();
        // The target was parsed from a request, so parsing it again succeeds.
        *request.uri_mut() = self.job.target.parse().unwrap_or_default();
        *request.headers_mut() = header::without_credentials(&self.job.headers);
        head.insert(request.headers_mut())?;
        Ok(request)
    }
}

/// Returns when the caller of a request that did not run may come again.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
