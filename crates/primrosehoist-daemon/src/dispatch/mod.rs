//! The entry daemon's side of a request: runs attempts until one succeeds or the request fails.

mod attempt;
mod choose;
mod entry;
mod exchange;
mod group;
mod sink;

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::request::{Action, Event, Request};
use primrosehoist::coordination::retry::{self, Reach};
use primrosehoist::protocol::outcome::{Failure, Outcome, Reason};
use primrosehoist::protocol::wire::Shard;
use primrosehoist::state::budget;
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::transport::http::body::Buffered;
use tokio::time::{Instant, sleep};

pub(crate) use self::entry::Entry;
pub(crate) use self::sink::{Delivery, Sink};

use self::attempt::Attempt;
use self::group::Group;
use crate::claims;
use crate::node::Node;

/// The maximum time between two events of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);

/// A validated request of a caller.
#[derive(Debug)]
pub(crate) struct Job {
    /// When the request was received.
    pub(crate) received: Instant,
    /// The id of the request.
    pub(crate) id: String,
    pub(crate) workspace: name::Workspace,
    pub(crate) half: name::Half,
    pub(crate) service: name::Service,
    /// Retries allowed per hundred first attempts of the service.
    pub(crate) retry_percent: u32,
    pub(crate) method: String,
    /// The path and query for the upstream.
    pub(crate) path: String,
    pub(crate) content_type: String,
    /// Whether the response is an event stream.
    pub(crate) stream: bool,
    pub(crate) body: Buffered,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) repeatable: bool,
    /// The idempotency key, if the caller gave one.
    pub(crate) key: Option<String>,
    pub(crate) fingerprint: String,
    pub(crate) deadline: Instant,
}

/// Runs `job` and delivers the response through `sink`.
pub(crate) async fn run(node: Arc<Node>, job: Job, sink: Sink) {
    let _running = node.progress.enter();
    node.metrics.in_flight(&job.service, 1);
    let mut plan = Plan::default();
    let outcome = run_claimed(&node, &job, &mut plan, sink).await;
    node.metrics.in_flight(&job.service, -1);
    node.metrics.ended(&job.service, &outcome.name);
    log_end(&job, &plan, &outcome);
}

/// How a request ended, as logged and counted.
#[derive(Debug)]
struct Ending {
    name: String,
    reason: String,
}

impl Ending {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            reason: String::new(),
        }
    }
}

/// Runs the attempts of a request while holding the claim of its idempotency key, if it has one.
async fn run_claimed(node: &Arc<Node>, job: &Job, plan: &mut Plan, mut sink: Sink) -> Ending {
    let claim = match claims::acquire(node, job).await {
        Ok(claim) => claim,
        Err(failure) => return conclude(job, sink, Action::Fail(failure)).await,
    };
    let last = run_attempts(node, job, plan, &mut sink).await;
    if last == Action::Finish {
        node.poison.completed(&job.fingerprint);
    }
    if let Some(claim) = claim {
        let ended = claims::end(&last, plan.attempts, sink.status());
        claims::finish(node, claim, ended).await;
    }
    conclude(job, sink, last).await
}

/// Runs attempts until one succeeds or none may follow; returns the final action.
async fn run_attempts(node: &Arc<Node>, job: &Job, plan: &mut Plan, sink: &mut Sink) -> Action {
    let mut machine = Request::new(Instant::now(), job.deadline, EVENT_TIMEOUT)
        .repeatable(job.repeatable)
        .resumable(job.stream);
    node.entry
        .record_attempt(&job.service, job.retry_percent, Instant::now());
    loop {
        let action = run_attempt(node, job, &mut machine, plan, sink).await;
        let action = match action {
            Action::Retry(failure) if !may_retry(node, job, &failure) => machine.give_up(failure),
            action => action,
        };
        match action {
            Action::Retry(failure) => plan.retry(failure),
            Action::Resume(_, failure) => plan.resume(failure),
            last => return last,
        }
        node.metrics.retried(&job.service);
        if let Some(last) = wait_before_retry(job, &mut machine, plan, sink).await {
            return last;
        }
    }
}

fn may_retry(node: &Node, job: &Job, failure: &Failure) -> bool {
    let unreached = failure.outcome == Outcome::NotRun && failure.reason == Reason::Unavailable;
    let reach = if unreached {
        Reach::Unreached
    } else {
        Reach::Reached
    };
    !node.mechanisms.retry_budget || node.entry.may_retry(&job.service, reach, Instant::now())
}

/// Carries out the final action of a request.
async fn conclude(job: &Job, sink: Sink, last: Action) -> Ending {
    match last {
        Action::Finish => {
            let delivered = sink.finish().await;
            Ending::new(if delivered { "complete" } else { "cancelled" })
        }
        Action::Fail(failure) => {
            let ending = Ending {
                name: failure.outcome.to_string(),
                reason: failure.reason.to_string(),
            };
            sink.fail(failure, &job.id).await;
            ending
        }
        _ => Ending::new("cancelled"),
    }
}

/// The state that attempts of a request share, and what the next one does.
#[derive(Debug, Default)]
struct Plan {
    /// Failed attempts so far.
    failed: u32,
    /// Started attempts, not counting resumptions.
    attempts: u32,
    /// Upstreams on which an attempt failed.
    excluded: Set<name::Upstream>,
    /// The attempt to run or resume, if any.
    current: Option<Attempt>,
    /// The reservations of the attempt at other upstreams.
    group: Group,
    resumes: bool,
    last_failure: Option<Failure>,
}

impl Plan {
    fn new_attempt(&mut self, job: &Job, upstream: name::Upstream, others: usize) -> String {
        self.attempts += 1;
        let id = format!("{}-{}", job.id, self.attempts);
        let count = others as u64 + 1;
        let shard = (others > 0).then_some(Shard { index: 0, count });
        self.current = Some(Attempt {
            id: id.clone(),
            upstream,
            shard,
        });
        id
    }

    fn retry(&mut self, failure: Failure) {
        self.failed += 1;
        self.resumes = false;
        self.group = Group::default();
        self.last_failure = Some(failure);
        if let Some(attempt) = self.current.take() {
            self.excluded.insert(attempt.upstream);
        }
    }

    fn resume(&mut self, failure: Failure) {
        self.resumes = true;
        self.last_failure = Some(failure);
    }

    fn upstream(&self) -> &str {
        self.current
            .as_ref()
            .map_or("", |attempt| attempt.upstream.as_str())
    }
}

/// Resumes the current attempt or starts a new one, and runs it.
async fn run_attempt(
    node: &Arc<Node>,
    job: &Job,
    machine: &mut Request,
    plan: &mut Plan,
    sink: &mut Sink,
) -> Action {
    if !plan.resumes
        && let Err(event) = prepare_attempt(node, job, plan, sink).await
    {
        return machine.on_event(event, Instant::now());
    }
    let Some(attempt) = plan.current.clone() else {
        return Action::Cancel;
    };
    let action = attempt::run(node, job, &attempt, &mut plan.group, machine, sink).await;
    if !matches!(action, Action::Resume(..)) {
        plan.group = Group::default();
    }
    action
}

/// Chooses the upstream of the next attempt, and reserves memory at other upstreams if needed.
///
/// # Errors
///
/// Returns the event that prevented the attempt.
async fn prepare_attempt(
    node: &Arc<Node>,
    job: &Job,
    plan: &mut Plan,
    sink: &mut Sink,
) -> Result<(), Event> {
    let chosen = tokio::select! {
        chosen = choose::find(node, job, &mut plan.excluded) => chosen,
        () = sink.closed() => return Err(Event::CallerLeft),
    };
    let chosen = chosen.map_err(|failure| {
        let last = plan.last_failure.take();
        let quarantined = failure.reason == Reason::Quarantined;
        Event::Refused(last.filter(|_| !quarantined).unwrap_or(failure))
    })?;
    let id = plan.new_attempt(job, chosen.upstream, chosen.others.len());
    plan.group = tokio::select! {
        group = Group::reserve(node, job, &id, &chosen.others) => group.map_err(Event::Failed)?,
        () = sink.closed() => return Err(Event::CallerLeft),
    };
    Ok(())
}

/// Waits before the next attempt; returns an action if the request ends meanwhile.
async fn wait_before_retry(
    job: &Job,
    machine: &mut Request,
    plan: &Plan,
    sink: &mut Sink,
) -> Option<Action> {
    // A resumption adds no work, so it needs no retry budget and only a short delay.
    let delay = if plan.resumes {
        retry::resume_delay(rand::random())
    } else {
        budget::backoff(plan.failed.saturating_sub(1), rand::random())
    };
    let end = Instant::now() + delay;
    if end >= job.deadline {
        // No further attempt can finish in time, so the last failure is reported.
        let failure = plan.last_failure.clone()?;
        return Some(machine.give_up(failure));
    }
    tokio::select! {
        () = sleep(delay) => None,
        () = sink.closed() => Some(machine.on_event(Event::CallerLeft, Instant::now())),
    }
}

fn log_end(job: &Job, plan: &Plan, ending: &Ending) {
    log::info!(
        request = job.id.as_str(),
        workspace = job.workspace.as_str(),
        service = job.service.as_str(),
        upstream = plan.upstream(),
        attempts = plan.attempts,
        prompt_tokens = job.prompt_tokens,
        outcome = ending.name.as_str(),
        reason = ending.reason.as_str(),
        elapsed_ms = job.received.elapsed().as_millis() as u64;
        "request ended"
    );
}
