//! Shuts the gateway down, and decides which requests it accepts meanwhile.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use primrosehoist::coordination::shutdown;
use primrosehoist::state::route::Kind;
use primrosehoist::transport::http::Payload;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use super::context::Context;
use super::ingress;
use super::job::Job;
use crate::signals::Cause;

/// How long a daemon that shuts down still accepts connections. The load balancer checks
/// readiness once a second and deregisters the daemon after two failed checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2600);

/// The margin between the end of the shutdown and the platform's kill signal.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How long the last log lines may take after the end of the shutdown, as a part of [`GRACE_MARGIN`].
pub(super) const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How long before the end of the shutdown requests whose answer has not begun are answered.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);

/// The interval between checks for requests in progress during the shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The progress of a shutdown.
#[derive(Debug, Default)]
pub(crate) struct Stopping {
    /// When the process ends at the latest.
    ends_at: Option<Instant>,
    /// When the accepted requests end at the latest, while only those are accepted that do.
    last_end: Option<Instant>,
    /// When the last request was accepted during the shutdown.
    accepted_at: Option<Instant>,
}

/// Shuts down gracefully: fails the readiness check, then finishes the requests in progress. Returns when
/// all had to be finished.
pub(super) async fn shut_down(
    context: &Context,
    cause: Cause,
    stop: &watch::Sender<bool>,
    mut serving: JoinHandle<()>,
) -> Instant {
    context.announce_shutdown();
    let started = Instant::now();
    let end = started
        + context
            .bounds
            .load()
            .shutdown_grace
            .saturating_sub(GRACE_MARGIN);
    let in_progress = || context.in_progress.load(Ordering::Acquire);
    let serving_hosts = context.serving_hosts();
    log::info!(in_progress = in_progress(), serving_hosts, cause = cause.name(); "shutdown started");
    context.stopping.lock().ends_at = Some(end);
    sleep(DEREGISTRATION_DELAY).await;
    if let Some(last) = end.checked_sub(EXPIRY_MARGIN) {
        accept_until(context, last).await;
    }
    context.closing.store(true, Ordering::Release);
    let serving_hosts = context.serving_hosts();
    log::info!(in_progress = in_progress(), serving_hosts; "new requests are refused");
    let expires_at = end.checked_sub(EXPIRY_MARGIN).unwrap_or(end);
    while Instant::now() < expires_at && in_progress() > 0 {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    stop.send_replace(true);
    // Requests whose bodies are still received are in progress only later.
    let mut finished = serving.is_finished() || timeout_at(expires_at, &mut serving).await.is_ok();
    if !finished {
        context.expiring.send_replace(true);
        log::info!(in_progress = in_progress(); "requests without an answer are given up");
        finished = timeout_at(end, serving).await.is_ok();
    }
    log::info!(in_progress = in_progress(), finished; "shutdown finished");
    end
}

/// Accepts requests that end before `last`, while some come and no other host takes requests.
async fn accept_until(context: &Context, last: Instant) {
    let keeps_accepting = || {
        let accepted_at = context.stopping.lock().accepted_at;
        let idle = accepted_at.map_or(Duration::MAX, |at| at.elapsed());
        Instant::now() < last && shutdown::keeps_accepting(context.serving_hosts(), idle)
    };
    if !keeps_accepting() {
        return;
    }
    let in_progress = context.in_progress.load(Ordering::Acquire);
    log::info!(in_progress; "only requests that end in time are accepted, as no other host takes any");
    context.stopping.lock().last_end = Some(last);
    while keeps_accepting() {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Returns whether the requests that other daemons hand over are refused.
pub(super) fn refuses_handovers(context: &Context) -> bool {
    context.is_closing() || context.stopping.lock().last_end.is_some()
}

/// Returns the request with the deadline that a shutdown leaves.
///
/// # Errors
///
/// Returns the refusal of a request that would not end in time.
pub(super) fn admit(context: &Context, mut job: Job) -> Result<Job, Box<Response<Payload>>> {
    if !context.is_draining() {
        return Ok(job);
    }
    let now = Instant::now();
    let last_end = context.stopping.lock().last_end;
    if let Some(last) = last_end {
        let left = last.saturating_duration_since(now);
        let deadline_in = job.deadline.saturating_duration_since(now);
        let answer_time = answer_time(context, &job);
        // A stream that has begun cannot be refused any more.
        let silence = match job.route.kind {
            Kind::Stream => shutdown::SILENCE_MAX,
            Kind::Idempotent | Kind::Once => Duration::ZERO,
        };
        if !shutdown::ends_in_time(deadline_in, answer_time, silence, left) {
            log::info!(
                request = job.request.id.as_str(),
                answer_ms = answer_time.as_millis() as u64,
                left_ms = left.as_millis() as u64;
                "refused, as it would not end before the process"
            );
            return Err(Box::new(refuse(context)));
        }
        job.deadline = job.deadline.min(last);
    }
    context.stopping.lock().accepted_at = Some(now);
    Ok(job)
}

/// Returns the refusal of a request because of the shutdown.
pub(super) fn refuse(context: &Context) -> Response<Payload> {
    ingress::refuse("the daemon shuts down", retry_after(context).as_secs_f64())
}

/// Returns when the callers of requests that are refused because of the shutdown may come again.
pub(super) fn retry_after(context: &Context) -> Duration {
    let ends_at = context.stopping.lock().ends_at;
    let left = ends_at.map_or(Duration::ZERO, |at| {
        at.saturating_duration_since(Instant::now())
    });
    shutdown::retry_after(context.serving_hosts(), left)
}

/// Returns the expected time of the answer to a request.
fn answer_time(context: &Context, job: &Job) -> Duration {
    match (job.route.kind, &job.service.engine) {
        (Kind::Idempotent | Kind::Once, _) => shutdown::call_time(job.route.latency_target),
        (Kind::Stream, None) => Duration::MAX,
        (Kind::Stream, Some(engine)) => {
            let roster = context.roster.lock();
            let occupancy = context.occupancy.lock();
            let upstreams = roster.candidates(&job.service.name, Instant::now());
            let works = upstreams.map(|upstream| occupancy.work(&upstream.id));
            let request = &job.request;
            shutdown::stream_time(
                request.prompt_tokens,
                request.answer_tokens_max,
                engine,
                works,
            )
        }
    }
}
