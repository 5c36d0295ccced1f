//! Claims of idempotency keys in the platform.
//!
//! `primrosehoist::coordination::claim` decides the steps; this module performs them.

mod sweep;
mod write;

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::coordination::claim::{
    Answer, Claimant, End, Found, Record, Refusal, State, Step, object_name,
};
use primrosehoist::coordination::request::Action;
use primrosehoist::protocol::outcome::{Failure, Outcome, Reason};
use primrosehoist::protocol::platform::{CLAIMS, Metadata, Object};
use primrosehoist::state::name;
use primrosehoist::transport::platform;
use tokio::time::{Instant, sleep, timeout_at};

pub(crate) use self::sweep::run as sweep;
pub(crate) use self::write::{finish, release};

use crate::clock::unix_ms;
use crate::dispatch::Job;
use crate::node::Node;

/// The longest time for a claim; the deadline of the request applies too.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// The bounds of the backoff between attempts of a call to the platform.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The delay after which a caller may retry when the platform cannot record a claim, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// A claim that this daemon created or may have created.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    metadata: Metadata,
    record: Record,
}

/// Claims the idempotency key of `job`, if it has one.
///
/// # Errors
///
/// Returns the failure to report to the caller if the call must not be dispatched.
pub(crate) async fn acquire(node: &Arc<Node>, job: &Job) -> Result<Option<Claim>, Failure> {
    let Some(key) = &job.key else {
        return Ok(None);
    };
    if !node.mechanisms.claim {
        return Ok(None);
    }
    let mut claim = Claim {
        metadata: Metadata {
            name: object_name(&job.workspace, key),
            resource_version: String::new(),
        },
        record: new_record(node, job),
    };
    let deadline = job.deadline.min(Instant::now() + CLAIM_TIMEOUT);
    let mut claimant = Claimant::new(claim.record.clone(), deadline);
    let refusal = run(node, &mut claimant, &mut claim.metadata, deadline).await;
    let Some(refusal) = refusal else {
        return Ok(Some(claim));
    };
    if claimant.needs_release() {
        release(node, claim);
    }
    Err(failure(refusal))
}

fn new_record(node: &Node, job: &Job) -> Record {
    Record {
        nonce: format!("{:032x}", rand::random::<u128>()),
        host: node.host.clone(),
        incarnation: node.incarnation,
        state: State::Claimed,
        body: job.fingerprint.clone(),
        time_ms: unix_ms(),
    }
}

/// Performs the steps of `claimant`. Returns the refusal, or `None` if the call may be dispatched.
async fn run(
    node: &Node,
    claimant: &mut Claimant,
    metadata: &mut Metadata,
    deadline: Instant,
) -> Option<Refusal> {
    let mut failures = 0;
    loop {
        let step = claimant.step().clone();
        let result = match &step {
            Step::Dispatch => return None,
            Step::Refuse(refusal) => return Some(*refusal),
            step => timeout_at(deadline, perform(node, claimant, step, metadata)).await,
        };
        let answer = result.unwrap_or(Answer::Lost);
        let failed = matches!(answer, Answer::Lost | Answer::Rejected);
        claimant.handle_answer(answer, Instant::now());
        if failed {
            failures += 1;
            let delay = backoff::full_jitter(failures, BACKOFF_FIRST, BACKOFF_MAX);
            sleep(delay.min(deadline.saturating_duration_since(Instant::now()))).await;
        }
    }
}

/// Calls the platform for one step.
///
/// `metadata` is set only to the version of the claimant's own record, so that recording the end
/// of this claim cannot replace another claim.
async fn perform(node: &Node, claimant: &Claimant, step: &Step, metadata: &mut Metadata) -> Answer {
    let record = claimant.record();
    let platform = &node.platform;
    match step {
        Step::Create => {
            let created = platform.create(CLAIMS, &metadata.name, record).await;
            write_answer(created, metadata)
        }
        Step::Replace(version) => {
            let released = Metadata {
                name: metadata.name.clone(),
                resource_version: version.clone(),
            };
            let replaced = platform.replace(CLAIMS, &released, record).await;
            write_answer(replaced, metadata)
        }
        _ => match platform.get(CLAIMS, &metadata.name).await {
            Ok(object) => read_answer(node, record, object, metadata),
            Err(platform::Error::NotFound { .. }) => Answer::Missing,
            Err(_) => Answer::Lost,
        },
    }
}

fn write_answer(result: Result<Object, platform::Error>, metadata: &mut Metadata) -> Answer {
    match result {
        Ok(object) => {
            *metadata = object.metadata;
            Answer::Written
        }
        // The record to replace may have been removed because it expired.
        Err(platform::Error::Conflict { .. } | platform::Error::NotFound { .. }) => {
            Answer::Conflict
        }
        Err(error) if error.is_uncertain() => Answer::Lost,
        Err(_) => Answer::Rejected,
    }
}

fn read_answer(node: &Node, own: &Record, object: Object, metadata: &mut Metadata) -> Answer {
    let Ok(record) = serde_json::from_value::<Record>(object.spec) else {
        log::error!(claim = metadata.name.as_str(); "malformed claim in the platform");
        return Answer::Lost;
    };
    let resource_version = object.metadata.resource_version.clone();
    if record == *own {
        *metadata = object.metadata;
    }
    Answer::Found(Found {
        owner_alive: is_alive(node, &record.host, record.incarnation),
        resource_version,
        record,
    })
}

fn is_alive(node: &Node, host: &name::Host, incarnation: u64) -> bool {
    if *host == node.host {
        return incarnation == node.incarnation;
    }
    node.view.load().daemons.contains_key(host)
}

/// Returns how a claimed call ended, given the last action of its request, the number of attempts
/// and the status of the response.
pub(crate) fn end(last: &Action, attempts: u32, status: u16) -> End {
    match last {
        _ if attempts == 0 => End::NotRun,
        Action::Finish => End::Completed { status },
        Action::Fail(failure) if failure.outcome == Outcome::NotRun => End::NotRun,
        _ => End::Unknown,
    }
}

fn failure(refusal: Refusal) -> Failure {
    let (reason, message) = match refusal {
        Refusal::Unavailable => (
            Reason::ClaimUnavailable,
            "the platform cannot record the idempotency key".to_owned(),
        ),
        Refusal::Mismatch => (
            Reason::BodyMismatch,
            "the idempotency key was used for another call".to_owned(),
        ),
        Refusal::InProgress => (
            Reason::Duplicate,
            "a call with this idempotency key is in progress".to_owned(),
        ),
        Refusal::Done(status) => (
            Reason::Duplicate,
            format!("the call with this idempotency key is done, with status {status}"),
        ),
        Refusal::Unknown => (
            Reason::Duplicate,
            "a call with this idempotency key may have run, and will not run again".to_owned(),
        ),
    };
    let may_have_run = refusal.may_have_run();
    Failure {
        outcome: if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        },
        reason,
        message,
        retry_after_ms: (reason == Reason::ClaimUnavailable).then_some(RETRY_AFTER_MS),
    }
}
